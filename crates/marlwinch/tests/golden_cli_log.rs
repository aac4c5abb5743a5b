//! Compares log lines, which operators may parse, with approved texts, byte for byte: the log of a node with
//! a configuration file (text and JSON) with a line for each exchange, the log of the platform's node and the
//! metrics of its console, and the logs of the roles of the system.
//!
//! The approved texts are below `tests/golden/cli/log`. `GOLDEN=write cargo test -p marlwinch --test
//! golden_cli_log` writes them; without that variable a missing or different text fails its test. Fixed words
//! stand for what differs from run to run: `(time)` for times, `(ms)` for measured times, `(address)` for an
//! address with its port, `(net)` for the network of a test, `(file)` and `(folder)` for paths, `(n)` for
//! counts that depend on timing, `(id)` for random numbers, `(module)` for the target of a line. The targets
//! are in `log/modules.txt`.

mod golden_cli_support;
mod peers;

use golden_cli_support::{LoggedProcess, ON_ERROR, Run, TempFolder, approve, without_numbers};
use peers::{Listener, PEER_TIMEOUT, Peer, config, list};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The address that follows these words in a line.
fn address_after(line: &str, words: &str) -> SocketAddr {
    let (_, rest) = line.split_once(words).unwrap_or_else(|| panic!("{line}"));
    let is_part = |c: char| c.is_ascii_digit() || ".:".contains(c);
    let end = rest.find(|c| !is_part(c)).unwrap_or(rest.len());
    rest[..end].trim_end_matches(':').parse().unwrap_or_else(|error| panic!("{line}: {error}"))
}

/// Waits for the line with the address of a node, and from now on replaces the address. Returns both.
fn wait_until_listening(node: &mut LoggedProcess) -> (SocketAddr, String) {
    let line = node.raw("listens on");
    let address = address_after(&line, "listens on ");
    node.replace(address.to_string(), "(address)");
    (address, node.normalized(&line) + "\n")
}

fn get(client: &mut Peer, path: &str) {
    client.write(format!("GET {path} HTTP/1.1\r\nHost: t.example\r\nX-Account: pati\r\n\r\n"));
}

// ---- A node from a file --------------------------------------------------------------------------

/// A file that logs all exchanges, with a cluster for the backend and further sections.
fn node_file(backends: &[&Listener], format: &str, more: &str) -> String {
    format!(
        "[node]\nname = \"n-1\"\nseed = 5\n[log]\nformat = \"{format}\"\nexchanges = 1\n\
         [[listener]]\naddress = \"127.0.0.1:0\"\n[[tenant]]\nname = \"pati\"\n\
         [[class]]\nname = \"look\"\nrepeat = \"safe\"\ntime = \"20s\"\nattempts = 1\n\
         [[class]]\nname = \"few\"\nrepeat = \"safe\"\ntime = \"20s\"\ntenant-rate = {{ rate = \"1/h\", burst = 1 }}\n\
         budget = {{ share = 0.2 }}\n\
         [[route]]\nprefix = \"/look\"\nclass = \"look\"\ncluster = \"tally\"\nname = \"looks\"\n\
         [[route]]\nprefix = \"/few\"\nclass = \"few\"\ncluster = \"tally\"\n\
         [[cluster]]\nname = \"tally\"\n[[cluster.box]]\nname = \"b-1\"\naddress = \"{}\"\n{more}",
        backends[0].address()
    )
}

/// A second cluster and its route.
fn second_cluster(backend: &Listener) -> String {
    format!(
        "[[cluster]]\nname = \"other\"\n[[cluster.box]]\nname = \"o-1\"\naddress = \"{}\"\n\
         [[route]]\npath = \"/other\"\nclass = \"look\"\ncluster = \"other\"\n",
        backend.address()
    )
}

/// Replaces the measured times in the line of an exchange, in text or in JSON.
fn without_measured_times(line: &str) -> String {
    let line = without_numbers(line, &["first_byte_ms=", "whole_ms="], "(ms)");
    without_numbers(&line, &["\"first_byte_ms\":", "\"whole_ms\":"], "\"(ms)\"")
}

/// Makes exchanges with each possible `end`, and returns their log lines: complete, complete with a response
/// of the node itself, cut off by the backend, and abandoned by the client.
fn exchange_lines(node: &mut LoggedProcess, address: SocketAddr, backend: &Listener) -> String {
    let mut transcript = String::new();
    let (mut client, mut peers) = (Peer::connect(address), Vec::new());
    for status in ["200 OK", "503 Later"] {
        get(&mut client, "/look/a?b=c");
        let mut peer = backend.next_request(&mut peers);
        peer.answer(status, "", "x");
        client.read();
        peers.push(peer);
        transcript += &without_measured_times(&node.line("exchange"));
    }
    // The node itself rejects the second request within an hour.
    get(&mut client, "/few");
    let mut peer = backend.next_request(&mut peers);
    peer.answer("204 No Content", "", "");
    client.read();
    peers.push(peer);
    transcript += &without_measured_times(&node.line("exchange"));
    get(&mut client, "/few");
    assert_eq!(client.read().status(), 429);
    transcript += &without_measured_times(&node.line("exchange"));
    // The backend closes after the client has received a part of the body.
    get(&mut client, "/look");
    let mut peer = backend.next_request(&mut peers);
    peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n");
    let mut received = Vec::new();
    while !received.ends_with(b"ab\r\n") {
        let mut byte = [0];
        // Unlike `read`, this continues after an interruption, such as a stop of the test itself.
        client.stream.read_exact(&mut byte).expect("the beginning of the answer");
        received.push(byte[0]);
    }
    peer.stream.shutdown(Shutdown::Both).expect("closed");
    client.read_to_end();
    transcript += &without_measured_times(&node.line("exchange"));
    // The client disconnects before there is a response.
    let mut client = Peer::connect(address);
    get(&mut client, "/look");
    let peer = backend.next_request(&mut peers);
    drop(client);
    transcript += &without_measured_times(&node.line("exchange"));
    drop(peer);
    transcript
}

/// The log of a node with a configuration file: at its start, of exchanges, at reloads and at shutdown. Also
/// returns the remaining lines.
fn file_node_log(format: &str, level: &str) -> (String, Vec<String>) {
    let folder = TempFolder::new(&format!("log-{format}"));
    let (backend, other) = (Listener::new(), Listener::new());
    let admin = "[admin]\naddress = \"127.0.0.1:0\"\n[trace]\nfile = \"trace.jsonl\"\n";
    folder.write("node.toml", node_file(&[&backend], format, &(second_cluster(&other) + admin)));
    let run = Run::new(&["run", "node.toml"]).within(&folder.0).with("MARLWINCH_LOG", level);
    let mut node = LoggedProcess::start(&run);
    let (address, mut transcript) = wait_until_listening(&mut node);
    for text in
        ["applied: ", "recording a trace to", "metrics are served at", "requests received 0", "admission: "]
    {
        let line = node.raw(text);
        if text == "metrics are served at" {
            let admin = address_after(&line, "http://").to_string();
            node.replace(admin, "(address)");
        }
        transcript += &(node.normalized(&line) + "\n");
    }
    transcript += &exchange_lines(&mut node, address, &backend);
    // A rejected file changes nothing. A valid file may have changes that take effect only at the next start.
    folder.write("node.toml", "[[listener]]\nport = 1\n");
    node.signal("HUP");
    transcript += &node.line("rejected; the previous configuration");
    transcript += &node.line("MW010");
    transcript += &node.line("MW012");
    let nowhere = node_file(&[&backend], format, "").replace("127.0.0.1:0", "203.0.113.1:80");
    folder.write("node.toml", nowhere);
    node.signal("HUP");
    transcript += &node.line("rejected; the previous configuration");
    let changed = node_file(&[&backend], format, "").replace("seed = 5", "seed = 5\nsockets = 512");
    folder.write("node.toml", changed);
    node.signal("HUP");
    for text in
        ["`[admin]`, ", "`sockets` and", "trace recording ended", "removed from the file", "applied: "]
    {
        transcript += &node.line(text);
    }
    transcript += &node.line("cluster other has stopped");
    node.signal("TERM");
    transcript += &without_numbers(&node.line("shutting down"), &["shutting down: "], "(n)");
    transcript += &node.line("all requests are answered");
    let (code, rest) = node.end();
    transcript += &format!("exit code {}\n", code.expect("a code"));
    (transcript, rest)
}

#[test]
fn text_log_of_a_file_node_matches_the_approved_text() {
    let (transcript, rest) = file_node_log("text", "info");
    approve("log/file-node.txt", &transcript);
    // There are no other lines except for the metrics, which are logged every ten seconds.
    let is_known =
        |line: &String| ["requests received ", "admission: "].iter().any(|known| line.contains(known));
    let unknown: Vec<_> = rest.iter().filter(|line| !is_known(line)).collect();
    assert!(unknown.is_empty(), "{unknown:#?}");
}

/// The value of a string member of a JSON line.
fn string_member(line: &str, name: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(line).unwrap_or_else(|e| panic!("{line}: {e}"));
    value[name].as_str().unwrap_or_else(|| panic!("{line}: no {name}")).to_string()
}

#[test]
fn json_log_of_a_file_node_matches_the_approved_text() {
    let (transcript, _) = file_node_log("json", "info");
    let mut fixed = String::new();
    let mut modules = BTreeSet::new();
    for line in transcript.lines() {
        let Some(line) = line.strip_prefix(ON_ERROR) else {
            fixed += &format!("{line}\n");
            continue;
        };
        let (time, module) = (string_member(line, "timestamp"), string_member(line, "target"));
        // Such as 2025-12-02T16:00:00.123456Z.
        assert!(time.len() == 27 && time.ends_with('Z') && time.as_bytes()[10] == b'T', "{time}");
        let line = line.replacen(&time, "(time)", 1);
        // The target of an exchange's line is a fixed name instead of a module.
        let line = match module.as_str() {
            "marlwinch::exchange" => line,
            _ => line.replacen(&format!("\"target\":\"{module}\""), "\"target\":\"(module)\"", 1),
        };
        fixed += &format!("{ON_ERROR}{line}\n");
        modules.insert(module);
    }
    approve("log/file-node-json.txt", &fixed);
    // Targets are part of the interface, as `MARLWINCH_LOG` may name them.
    let modules: Vec<_> = modules.into_iter().collect();
    approve("log/modules.txt", &(modules.join("\n") + "\n"));
}

#[test]
fn debug_log_of_failed_attempts_matches_the_approved_text() {
    let folder = TempFolder::new("log-debug");
    let backend = Listener::new();
    folder.write("node.toml", node_file(&[&backend], "text", ""));
    let run = Run::new(&["run", "node.toml"]).within(&folder.0).with("MARLWINCH_LOG", "debug");
    let mut node = LoggedProcess::start(&run);
    let (address, _) = wait_until_listening(&mut node);
    let mut client = Peer::connect(address);
    let mut transcript = String::new();
    let closed = "HTTP/1.1 503 Later\r\nConnection: close\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
    for answer in ["HTTP/1.1 500 Broken\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", closed, ""] {
        get(&mut client, "/look");
        let mut peer = backend.accept();
        peer.read();
        peer.write(answer);
        drop(peer);
        client.read();
        let line = node.line("attempt 0 of ");
        let (line, _) = line.split_once(" after ").expect("a time");
        transcript += &format!("{} after (time)\n", without_numbers(line, &["at ServerId("], "(id)"));
    }
    approve("log/debug.txt", &transcript);
}

/// At `debug` the log has the `Debug` names of the causes of limit changes.
#[test]
fn debug_names_of_limit_change_causes_are_stable() {
    use admission_control::limit::Cause;
    let word = |cause: Cause| match cause {
        Cause::Room => "Room",
        Cause::Waiting => "Waiting",
        Cause::Refused => "Refused",
        Cause::Late => "Late",
        Cause::Failed => "Failed",
        Cause::NotLoad => "NotLoad",
    };
    let all = [Cause::Room, Cause::Waiting, Cause::Refused, Cause::Late, Cause::Failed, Cause::NotLoad];
    for cause in all {
        assert_eq!(format!("{cause:?}"), word(cause));
    }
}

// ---- The platform's node -------------------------------------------------------------------------

/// Sends a command to the console, and returns the command with its response.
fn call(address: SocketAddr, words: &str) -> String {
    let mut caller = Peer::connect(address);
    caller.write(format!("{words}\n"));
    let mut answer = String::new();
    caller.stream.read_to_string(&mut answer).expect("an answer");
    format!("> {words}\n{answer}")
}

/// Rejects every request at a backend until the client has its response.
fn reject_all(backend: &Listener, peers: &mut Vec<Peer>, client: &Peer) {
    while !client.has_more() {
        peers.extend(backend.try_accept());
        match peers.iter_mut().find(|peer| peer.has_more()) {
            Some(peer) => match peer.try_read() {
                Some(_) => peer.answer("503 Later", "X-Unprocessed: 1\r\n", ""),
                None => peers.clear(),
            },
            None => std::thread::yield_now(),
        }
    }
}

#[test]
fn log_and_console_of_the_platform_node_match_the_approved_texts() {
    let folder = TempFolder::new("log-platform");
    let (backend, discovery, elsewhere) = (Listener::new(), Listener::new(), Listener::new());
    let known = list(41, true, &[("s-1", backend.address(), "east", "in_service")]);
    let text = |change: &dyn Fn(&mut serde_json::Value)| {
        config(discovery.address(), &known, |config| {
            config["console"] = "127.0.0.1:0".into();
            change(config);
        })
    };
    folder.write("node.json", text(&|_| {}));
    let run = Run::new(&[]).within(&folder.0).with("ROUTER_CONFIG", "node.json");
    let mut node = LoggedProcess::start(&run);
    node.replace(discovery.address().to_string(), "(discovery)");
    node.replace(elsewhere.address().to_string(), "(other discovery)");
    let (address, mut transcript) = wait_until_listening(&mut node);
    let line = node.raw("console listens at");
    let console = address_after(&line, "listens at ");
    node.replace(console.to_string(), "(second address)");
    transcript += &(node.normalized(&line) + "\n");
    transcript += &node.line("requests received 0");
    let mut calls = call(console, "DUMP");
    let mut watch = discovery.accept();
    watch.read();
    watch.begin_watch();
    watch.line(&list(42, true, &[("s-1", backend.address(), "east", "in_service")]));
    // One request is served, one fails, one is rejected.
    let (mut client, mut peers) = (Peer::connect(address), Vec::new());
    for (class, status) in [("look", "200 OK"), ("correct", "500 Broken"), ("submit", "")] {
        client.request(class, "", if class == "look" { "" } else { "x" });
        if class == "submit" {
            reject_all(&backend, &mut peers, &client);
        } else {
            let mut peer = backend.next_request(&mut peers);
            peer.answer(status, "", "");
            peers.push(peer);
        }
        client.read();
    }
    calls += &without_numbers(&call(console, "DUMP"), &["\"tries\":"], "(n)");
    for words in ["HEALTH", "health", ""] {
        calls += &call(console, words);
    }
    // One byte more than the maximum length of a command, without a newline.
    let mut caller = Peer::connect(console);
    caller.write("x".repeat(257));
    let mut answer = String::new();
    caller.stream.read_to_string(&mut answer).expect("an answer");
    calls += &format!("> (257 bytes)\n{answer}");
    // Reloads: an unchanged configuration, invalid ones, changed settings, another discovery.
    node.signal("HUP");
    transcript += &node.line("settings unchanged");
    folder.write("node.json", text(&|config| config["settings"]["Classes"][0]["GiveUp"] = 0.into()));
    node.signal("HUP");
    transcript += &node.line("the previous configuration stays active");
    folder.write(
        "node.json",
        text(&|config| drop(config["settings"].as_object_mut().map(|o| o.remove("Rules")))),
    );
    node.signal("HUP");
    transcript += &node.line("the previous configuration stays active");
    folder.write("node.json", "{");
    node.signal("HUP");
    transcript += &node.line("the previous configuration stays active");
    folder.write("node.json", text(&|config| config["settings"]["Classes"][0]["Name"] = "see".into()));
    node.signal("HUP");
    transcript += &node.line("settings changed");
    let moved = config(elsewhere.address(), &known, |config| {
        config["console"] = "127.0.0.1:0".into();
        config["settings"]["Classes"][0]["Name"] = "see".into();
    });
    folder.write("node.json", moved);
    node.signal("HUP");
    transcript += &node.line("discovery is at");
    transcript += &node.line("settings unchanged");
    calls += &without_numbers(&call(console, "DUMP"), &["\"tries\":"], "(n)");
    node.signal("TERM");
    transcript += &without_numbers(&node.line("shutting down"), &["shutting down: "], "(n)");
    calls += &call(console, "HEALTH");
    drop(client);
    transcript += &node.line("all requests are answered");
    let (code, _) = node.end();
    transcript += &format!("exit code {}\n", code.expect("a code"));
    approve("log/platform-node.txt", &transcript);
    // A node that knows no backends.
    folder.write("node.json", text(&|config| config["known"] = serde_json::Value::Null));
    let mut node = LoggedProcess::start(&run);
    let console = address_after(&node.raw("console listens at"), "listens at ");
    calls += &call(console, "HEALTH");
    approve("log/second-address.txt", &calls);
}

// ---- The roles of the system ---------------------------------------------------------------------

/// A loopback network for the machines of a test: 127.A.B.1 and on, where no other process listens.
struct Net([u8; 2]);

impl Net {
    /// `salt` differs from test to test.
    fn find(salt: u32) -> Net {
        // `demo-fleet` uses 127.20.0.0 to 127.219.255.255.
        let first = std::process::id().wrapping_mul(2) + salt;
        let blocks = (0..500u32).map(|step| first.wrapping_add(step.wrapping_mul(14)));
        let mut nets = blocks.map(|number| Net([220 + (number % 30) as u8, (number / 30 % 250) as u8]));
        nets.find(Net::is_free).expect("a network without used addresses")
    }

    /// Whether no process listens at the ports that are used. The sockets of this check do not listen: a
    /// process that another test starts meanwhile inherits them until its `exec`, and a listening socket
    /// would block the address.
    fn is_free(&self) -> bool {
        let is_free = |machine, port| {
            let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
            let socket = socket.expect("a socket");
            socket.set_reuse_address(true).expect("a socket");
            socket.bind(&SocketAddr::from((self.machine(machine), port)).into()).is_ok()
        };
        let ports = [7680, 7681, 8662, 8663, 8665, 9464, 9465];
        (1..=2).all(|machine| ports.iter().all(|port| is_free(machine, *port)))
    }

    fn machine(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0[0], self.0[1], number)
    }

    /// The common prefix of its addresses.
    fn prefix(&self) -> String {
        format!("127.{}.{}.", self.0[0], self.0[1])
    }

    fn settings(&self, name: &str, machine: u8, more: &str) -> String {
        format!(
            "node_name: {name}\nip: {}\nzone: east\ninternal_port_range: [7680, 7695]\n\
             seed_nodes: [\"{}:8665\"]\nbounds: {{grace_s: 2}}\n{more}",
            self.machine(machine),
            self.machine(1)
        )
    }
}

/// Starts a platform API that lists one backend, which drains once `draining` is set.
fn start_platform(net: &Net, draining: Arc<Mutex<bool>>) -> SocketAddr {
    let listener = TcpListener::bind((net.machine(9), 0)).expect("a port");
    let (address, backend) = (listener.local_addr().expect("bound"), net.machine(8));
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let draining = draining.clone();
            std::thread::spawn(move || {
                let mut lines = BufReader::new(stream.try_clone().expect("a stream"));
                let mut line = String::new();
                while lines.read_line(&mut line).is_ok_and(|count| count > 0) {
                    let is_end_of_head = line == "\r\n";
                    line.clear();
                    if !is_end_of_head {
                        continue;
                    }
                    let state = if *draining.lock().expect("a state") { "draining" } else { "ready" };
                    let list = serde_json::json!({"instances": [{"instance_id": "i-1", "service": "pool",
                        "address": format!("{backend}:9000"), "zone": "east", "generation": "v1", "slots": 8,
                        "state": state, "cold_remaining_ms": 0}], "next_page_token": null});
                    let list = list.to_string();
                    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length:";
                    if stream.write_all(format!("{head} {}\r\n\r\n{list}", list.len()).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Sends a configuration to the coordinator and returns the status of the response. Retries after a 503.
fn replace_configuration(net: &Net, base: u64, document: &str) -> u16 {
    let address = SocketAddr::from((net.machine(1), 8665));
    let started = Instant::now();
    loop {
        let mut operator = Peer::connect(address);
        operator.write(format!(
            "POST /api/Config.Replace HTTP/1.1\r\nHost: {address}\r\nX-Base-Revision: {base}\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{document}",
            document.len()
        ));
        let status = operator.read().status();
        if status != 503 || started.elapsed() > PEER_TIMEOUT {
            return status;
        }
    }
}

fn configuration(generation: u64) -> String {
    serde_json::json!({"generation": generation, "routes": [{"name": "look", "hostname": "shop.example",
        "path_prefix": "/", "route_type": "safe", "timeout_ms": 4000, "service": "pool", "public": true}],
        "services": [{"name": "pool", "max_connections": 10}]})
    .to_string()
}

/// Waits for a line with each of these texts. Returns the lines in this order, with the name of their
/// process.
fn wait_for_lines(name: &str, process: &mut LoggedProcess, texts: &[&str]) -> String {
    let transcript = texts.iter().map(|text| {
        // The versions of lists depend on timing, and connections have any port.
        let line = without_numbers(&process.line(text), &["list ", " 127.0.0.1:"], "(n)");
        format!("{name} | {line}")
    });
    transcript.collect()
}

/// Waits for the line about the end of a connection. Replaces the reason at its end, which may differ.
fn wait_for_connection_end(name: &str, process: &mut LoggedProcess, text: &str) -> String {
    let line = wait_for_lines(name, process, &[text]);
    let (transcript, _) = line.rsplit_once(": ").expect("a reason");
    format!("{transcript}: (reason)\n")
}

#[test]
fn logs_of_the_roles_match_the_approved_text() {
    let (folder, net) = (TempFolder::new("log-roles"), Net::find(0));
    let draining: Arc<Mutex<bool>> = Arc::default();
    let platform = start_platform(&net, draining.clone());
    let data = folder.0.join("data");
    std::fs::create_dir_all(&data).expect("a folder");
    let core = format!(
        "listen: {{control: \"{}:8665\"}}\ncounts_for_quorum: true\nbootstrap: true\ndata_dir: {}\n\
         cloud_api: {{address: \"{platform}\"}}\n",
        net.machine(1),
        data.display()
    );
    let front = format!("listen: {{frontend: \"{0}:8662\", readiness: \"{0}:8663\"}}\n", net.machine(2));
    let (core, front) = (net.settings("core-1", 1, &core), net.settings("frontend-1", 2, &front));
    folder.write("core.yaml", &core);
    folder.write("front.yaml", &front);
    let start = |role: &str, file: &str| {
        let run =
            Run::new(&[role, "--metrics", if role == "agent" { "9465/metrics" } else { "9464/metrics" }]);
        let run = run.within(&folder.0).with("MARLWINCH_NODE_FILE", file);
        let run = run.replacing(platform.to_string(), "(platform)").replacing(net.prefix(), "(net)");
        LoggedProcess::start(&run)
    };
    let mut coordinator = start("coordinator", "core.yaml");
    let mut transcript = wait_for_lines(
        "coordinator",
        &mut coordinator,
        &[
            "coordinator of",
            "metrics: ",
            "] view ",
            "] contact with a majority established",
            "] acting as head of",
            "the list of backends is read by",
            ": 1 backends",
        ],
    );
    assert_eq!(replace_configuration(&net, 0, &configuration(7)), 200);
    transcript +=
        &wait_for_lines("coordinator", &mut coordinator, &["accepted, sequence", "committed, sequence"]);
    assert_eq!(replace_configuration(&net, 3, &configuration(8)), 412);
    assert_eq!(replace_configuration(&net, 7, "{\"generation\":0}"), 400);
    transcript +=
        &wait_for_lines("coordinator", &mut coordinator, &[": rejected, ", "configuration rejected: "]);
    let mut agent = start("agent", "front.yaml");
    transcript += &wait_for_lines(
        "agent",
        &mut agent,
        &["agent of", "metrics: ", ": connected", "view ", "configuration 1 of"],
    );
    transcript += &wait_for_lines("coordinator", &mut coordinator, &["agent of frontend-1 connected"]);
    let mut data_plane = start("data-plane", "front.yaml");
    transcript += &wait_for_lines(
        "data-plane",
        &mut data_plane,
        &["metrics: ", ": connected", "is active", "first backend list"],
    );
    transcript += &wait_for_lines("agent", &mut agent, &["proxy connected"]);
    *draining.lock().expect("a state") = true;
    transcript += &wait_for_lines("data-plane", &mut data_plane, &["is draining"]);
    // Invalid settings, and valid ones again.
    folder.write("core.yaml", core.replace("node_name: core-1\n", ""));
    folder.write("front.yaml", front.replace("node_name: frontend-1\n", ""));
    coordinator.signal("HUP");
    transcript += &wait_for_lines("coordinator", &mut coordinator, &["settings: core.yaml"]);
    agent.signal("HUP");
    transcript += &wait_for_lines("agent", &mut agent, &["the previous settings stay in force"]);
    data_plane.signal("HUP");
    transcript += &wait_for_lines("data-plane", &mut data_plane, &["settings: invalid"]);
    folder.write("front.yaml", &front);
    data_plane.signal("HUP");
    transcript += &wait_for_lines("data-plane", &mut data_plane, &["settings: valid"]);
    folder.write("core.yaml", core.replace(":8665\"]", &format!(":8665\", \"{}:8665\"]", net.machine(2))));
    coordinator.signal("HUP");
    transcript += &wait_for_lines("coordinator", &mut coordinator, &["settings: seeds changed to"]);
    data_plane.signal("TERM");
    transcript += &wait_for_lines("data-plane", &mut data_plane, &["shutting down", "exiting"]);
    transcript += &format!("data-plane | exit code {}\n", data_plane.end().0.expect("a code"));
    transcript += &wait_for_connection_end("agent", &mut agent, "proxy 127.0.0.1:");
    agent.signal("TERM");
    transcript += &wait_for_lines("agent", &mut agent, &["received SIGTERM"]);
    transcript += &format!("agent | exit code {}\n", agent.end().0.expect("a code"));
    transcript +=
        &wait_for_connection_end("coordinator", &mut coordinator, "agent of frontend-1 disconnected: ");
    coordinator.signal("TERM");
    transcript += &wait_for_lines("coordinator", &mut coordinator, &["shutdown requested"]);
    transcript += &format!("coordinator | exit code {}\n", coordinator.end().0.expect("a code"));
    approve("log/roles.txt", &transcript);
}

/// At `debug` a line has the thread and the module before its text.
#[test]
fn debug_line_of_a_role_matches_the_approved_text() {
    let (folder, net) = (TempFolder::new("log-role-debug"), Net::find(1));
    folder.write("front.yaml", net.settings("frontend-1", 2, ""));
    let run = Run::new(&["agent"]).within(&folder.0).with("MARLWINCH_NODE_FILE", "front.yaml");
    let run = run.with("MARLWINCH_LOG", "debug").replacing(net.prefix(), "(net)");
    let mut agent = LoggedProcess::start(&run);
    let line = agent.line("Connection refused");
    agent.signal("TERM");
    let (code, rest) = agent.end();
    assert_eq!(code, Some(0), "{rest:#?}");
    approve("log/role-debug.txt", &line);
}
