//! Compares the node's side of the discovery protocol with golden files: its requests as bytes, the size of
//! its pool after each list, and its log lines about invalid lists, entries and load reports and about
//! configurations at a reload. `GOLDEN=write cargo test -p marlwinch --test golden_platform_discovery` writes
//! the files below `tests/golden/platform`. `platform_golden` lists what is replaced in them; besides,
//! `<column>` stands for columns in configurations.

mod peers;
mod platform_golden;

use golden_files::shows_a_type;
use peers::{Listener, Node, PEER_TIMEOUT, Peer, config, list};
use platform_golden::{check, log_line, message, without_digits, without_ports};
use serde_json::{Value, json};
use std::io::Read;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Reads the head of a message as received.
fn raw_head(peer: &mut Peer) -> String {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        assert_eq!(peer.stream.read(&mut byte).expect("a head"), 1, "it ends");
        head.push(byte[0]);
    }
    message(&String::from_utf8(head).expect("a text"))
}

/// Starts a node with a console. Returns the node, the console's address and the configuration.
fn node_with_console(discovery: SocketAddr, known: &str) -> (Node, SocketAddr, String) {
    let text = config(discovery, known, |config| config["console"] = "127.0.0.1:0".into());
    let node = Node::start(&text);
    let line = node.logged("console listens at");
    let console =
        line.trim_end().rsplit(' ').next().and_then(|address| address.parse().ok()).expect("an address");
    (node, console, text)
}

/// The metrics of a node.
fn metrics(console: SocketAddr) -> Value {
    let mut peer = Peer::connect(console);
    peer.write("DUMP\n");
    let (bytes, _) = peer.read_to_end();
    let text = String::from_utf8(bytes).expect("a text");
    serde_json::from_str(text.lines().next().expect("a line")).expect("JSON")
}

/// Waits until a metric has a value. The node updates its metrics five times a second.
fn wait_for(console: SocketAddr, metric: &str, value: u64) {
    let started = Instant::now();
    while metrics(console)[metric] != json!(value) {
        assert!(started.elapsed() < PEER_TIMEOUT, "{metric} is never {value}: {}", metrics(console));
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Several lists on one watch, and then watches that end in each possible way.
#[test]
fn watches_and_lists_match_the_golden_file() {
    let (backends, discovery) = ([Listener::new(), Listener::new(), Listener::new()], Listener::new());
    let [one, two, three] = [0, 1, 2].map(|at| backends[at].address());
    let known = list(41, true, &[("s-1", one, "east", "in_service")]);
    let (node, console, _) = node_with_console(discovery.address(), &known);
    let mut text = String::new();
    let mut watch = discovery.accept();
    text += &raw_head(&mut watch);
    watch.begin_watch();
    wait_for(console, "pool_size", 1);
    // Entries with the required fields only; `list` writes all fields.
    let least = |name: &str, address: SocketAddr, lifecycle: &str| json!({"instanceId": name, "hostPort": address.to_string(), "zone": "west", "lifecycle": lifecycle});
    let changes = |generation: u32, instances: Vec<Value>| {
        json!({"generation": generation, "instances": instances}).to_string()
    };
    let steps = [
        (changes(42, vec![least("s-2", two, "in_service"), least("s-3", three, "in_service")]), 3),
        (changes(43, vec![least("s-1", one, "terminated")]), 2),
        // A draining backend is still in the pool.
        (changes(44, vec![least("s-2", two, "terminating"), least("s-3", three, "terminated")]), 1),
        (list(50, true, &[("s-1", one, "east", "in_service"), ("s-3", three, "west", "terminating")]), 2),
        (list(51, true, &[("s-4", two, "west", "in_service")]), 1),
        (
            serde_json::to_string_pretty(
                &json!({"generation": 52, "reset": true, "instances": [], "new": 1}),
            )
            .expect("JSON"),
            0,
        ),
        (list(53, false, &[("s-1", one, "east", "in_service"), ("s-2", two, "west", "in_service")]), 2),
    ];
    for (line, pool) in steps {
        watch.line(&line);
        wait_for(console, "pool_size", pool);
        text += &format!("list {}\npool {pool}\n", without_ports(&line));
    }
    watch.line("");
    watch.line(&list(40, true, &[]));
    text += &format!("{}\n", log_line(&node.logged("older than")));
    drop(watch);
    text += &format!("{}\n", log_line(&node.logged("watch of")));
    let mut watch = discovery.accept();
    text += &raw_head(&mut watch);
    watch.answer("503 Service Unavailable", "", "");
    text += &format!("{}\n", log_line(&node.logged("watch of")));
    drop(watch);
    let mut watch = discovery.accept();
    text += &raw_head(&mut watch);
    watch.begin_watch();
    watch.line("");
    // The watch is silent from here on.
    text += &format!("{}\n", log_line(&node.logged("watch of")));
    wait_for(console, "pool_size", 2);
    check("discovery_lists.txt", &text);
}

/// Each invalid line goes to a node of its own, as a node logs at most one such line per second.
#[test]
fn invalid_lists_match_the_golden_files() {
    let (mut text, mut with_types) = (String::new(), String::new());
    for line in [
        "{\"generation\":",
        "[1, 2]",
        "nothing",
        "{}",
        r#"{"generation":-1,"instances":[]}"#,
        r#"{"generation":"1","instances":[]}"#,
        r#"{"generation":1,"reset":1,"instances":[]}"#,
        r#"{"generation":1,"reset":true}"#,
        r#"{"generation":1,"instances":7}"#,
    ] {
        let discovery = Listener::new();
        let node = Node::start(&config(discovery.address(), &list(41, true, &[]), |_| {}));
        let mut watch = discovery.accept();
        watch.read();
        watch.begin_watch();
        watch.line(line);
        // An empty line ends an incomplete list.
        watch.line("");
        let said = log_line(&node.logged("skipped"));
        let into = if shows_a_type(&said) { &mut with_types } else { &mut text };
        *into += &format!("{line}\n  {said}\n");
    }
    check("discovery_lines.txt", &text);
    check("discovery_lines_that_show_rust_types.txt", &with_types);
}

/// Each invalid load report goes to a node of its own.
#[test]
fn invalid_load_reports_match_the_golden_file() {
    let mut text = String::new();
    for report in [
        "concurrent=lots",
        "concurrent",
        "concurrent=-1",
        "depth=1,concurrent=NaN",
        "other=1",
        "concurrent=1e9",
        "",
    ] {
        let (backend, discovery) = (Listener::new(), Listener::new());
        let known = list(41, true, &[("s-1", backend.address(), "east", "in_service")]);
        let node = Node::start(&config(discovery.address(), &known, |_| {}));
        let mut client = node.client();
        client.request("look", "", "");
        let mut peer = backend.next_request(&mut Vec::new());
        peer.answer("200 OK", &format!("X-Backend-Load: {report}\r\n"), "");
        assert_eq!(client.read().header("x-backend-load"), None);
        text += &format!("{report:?}\n  {}\n", log_line(&node.logged("load report skipped")));
    }
    check("discovery_load_reports.txt", &text);
}

/// The next log line about a reload. Columns are replaced, as they vary with the length of the ports in the
/// file.
fn reload_line(node: &Node) -> String {
    let line = node.logged("configuration reload:");
    without_digits(&log_line(&line), "line 1 column ", "<column>")
}

/// Reloads of a running node: the log line of each, the counts of applied and rejected configurations, and
/// the discovery that the node uses afterwards.
#[test]
fn reloads_match_the_golden_file() {
    let (before, after, backend) = (Listener::new(), Listener::new(), Listener::new());
    let known = list(41, true, &[("s-1", backend.address(), "east", "in_service")]);
    let (node, console, complete_config) = node_with_console(before.address(), &known);
    let mut watch = before.accept();
    let mut text = raw_head(&mut watch);
    watch.begin_watch();
    watch.line("");
    let changed = |change: &dyn Fn(&mut Value)| {
        let mut config: Value = serde_json::from_str(&complete_config).expect("JSON");
        change(&mut config);
        config.to_string()
    };
    let remove = |config: &mut Value, parent: &str, name: &str| {
        config.pointer_mut(parent).and_then(Value::as_object_mut).expect("a table").remove(name);
    };
    let cases: [(&str, String); 8] = [
        ("half of it", complete_config[..complete_config.len() / 2].to_string()),
        ("without listen", changed(&|config| remove(config, "", "listen"))),
        ("without a rule", changed(&|config| remove(config, "/settings/Rules", "DrainGrace"))),
        ("without a class's name", changed(&|config| remove(config, "/settings/Classes/1", "Name"))),
        ("without a section", changed(&|config| remove(config, "/settings", "Permissions"))),
        ("no attempts", changed(&|config| config["settings"]["Permissions"]["AttemptsCap"] = 0.into())),
        ("the same", complete_config.clone()),
        (
            "another name of a class",
            changed(&|config| config["settings"]["Classes"][0]["Name"] = "peek".into()),
        ),
    ];
    for (about, config) in cases {
        node.reload(&config);
        text += &format!("{about}\n  {}\n", reload_line(&node));
    }
    let config = changed(&|config| {
        config["settings"]["Classes"][0]["Name"] = "peek".into();
        config["discovery"] = after.address().to_string().into();
    });
    node.reload(&config);
    let said = [(); 2].map(|()| reload_line(&node));
    text += &format!("another discovery\n  {}\n", said.join("\n  "));
    // The new discovery has generations of its own, so the watch starts at 0.
    let mut watch = after.accept();
    text += &raw_head(&mut watch);
    let metrics = metrics(console);
    text += &format!("applied {} rejected {}\n", metrics["config_applied"], metrics["config_rejected"]);
    check("discovery_reloads.txt", &text);
}
