//! A node with an operator's file, as a process on loopback sockets: which requests it accepts, what reaches
//! a backend and how often, limits, and reloads under traffic.

mod backends;
mod peers;

use backends::{Backends, backend_index, fault_for_each};
use peers::{Listener, Message, Node, OnDisk, PEER_TIMEOUT, Peer, command};
use std::collections::HashMap;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;
use test_servers::execution_log::Execution;

/// A file with one cluster of these backends, each with its zone, and further sections.
fn file(backends: &[(SocketAddr, &str)], more: &str) -> String {
    format!("[[listener]]\naddress = \"127.0.0.1:0\"\n{}{more}", cluster("tally", backends))
}

fn cluster(name: &str, backends: &[(SocketAddr, &str)]) -> String {
    let mut text = format!("[[cluster]]\nname = \"{name}\"\n");
    for (i, (address, zone)) in backends.iter().enumerate() {
        text +=
            &format!("[[cluster.box]]\nname = \"{name}-{i}\"\naddress = \"{address}\"\nzone = \"{zone}\"\n");
    }
    text
}

fn class(name: &str, terms: &str) -> String {
    format!("[[class]]\nname = \"{name}\"\n{terms}\n")
}

fn route(path: &str, class: &str, more: &str) -> String {
    format!("[[route]]\n{path}\nclass = \"{class}\"\ncluster = \"tally\"\n{more}\n")
}

const SAFE: &str = "repeat = \"safe\"\ntime = \"20s\"";
const UNSAFE: &str = "repeat = \"unsafe\"\ntime = \"20s\"";

/// A file with one class for all paths.
fn file_with_one_class(backends: &[SocketAddr], terms: &str) -> String {
    let backends: Vec<_> = backends.iter().map(|address| (*address, "east")).collect();
    file(&backends, &(class("c", terms) + &route("prefix = \"/\"", "c", "")))
}

fn get(client: &mut Peer, target: &str, more: &str) -> Message {
    client.write(format!("GET {target} HTTP/1.1\r\nHost: tally.example\r\n{more}\r\n"));
    client.read()
}

fn post(client: &mut Peer, target: &str, more: &str) {
    client
        .write(format!("POST {target} HTTP/1.1\r\nHost: tally.example\r\nContent-Length: 1\r\n{more}\r\nx"));
}

// ---- Routing and forwarding ----------------------------------------------------------------------

#[test]
fn the_path_that_was_matched_is_forwarded() {
    let backend = Listener::new();
    let more = class("c", SAFE)
        + &route("template = \"/old/{district}/{station}\"", "c", "rewrite = \"/v2/{station}/{district}\"")
        + &route("prefix = \"/tally\"", "c", "host = \"*.example\"")
        + &route("path = \"/only\"", "c", "headers = { x-api = \"2\" }");
    let node = Node::from_file(&file(&[(backend.address(), "east")], &more));
    let mut client = node.client();
    let mut peer: Option<Peer> = None;
    for (target, host, sent) in [
        ("/tally/a?x=%2F..", "tally.example", "/tally/a?x=%2F.."),
        ("/tally/%2e%2E/tally//%61/./b%3a", "TALLY.Example:80", "/tally/a/b%3A"),
        ("http://Tally.Example:8080/tally/a", "other.invalid", "/tally/a"),
        ("/old/pati/7f3a?y", "anything", "/v2/7f3a/pati?y"),
        ("/x/../only", "anything", "/only"),
    ] {
        client.write(format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nX-Api: 2\r\n\r\n"));
        let peer = peer.get_or_insert_with(|| backend.accept());
        let request = peer.read();
        assert_eq!(request.first, format!("GET {sent} HTTP/1.1"));
        let expected = if target.starts_with("http") { "Tally.Example:8080" } else { host };
        assert_eq!(request.header("host"), Some(expected), "{target}");
        // The client sent no id; the node adds one, as backends need it to recognize repeats.
        assert!(request.header("x-correlation-id").is_some_and(|id| !id.is_empty()));
        peer.answer("200 OK", "", "");
        assert_eq!(client.read().status(), 200);
    }
}

#[test]
fn requests_without_a_route_or_with_invalid_fields_are_rejected_and_not_sent() {
    let backend = Listener::new();
    let more = class("c", SAFE)
        + &class("u", UNSAFE)
        + &class(
            "k",
            "repeat = \"keyed\"\nscope = \"zone\"\nwindow = \"600ms\"\nkey-header = \"idempotency-key\"",
        )
        + &route("path = \"/a\"", "c", "")
        + &route("path = \"/u\"", "u", "methods = [\"POST\", \"PUT\"]")
        + &route("path = \"/k\"", "k", "")
        + "[[tenant]]\nname = \"pati\"\n";
    let node = Node::from_file(&file(&[(backend.address(), "east")], &more));
    let head = |line: &str, more: &str| {
        format!("{line} HTTP/1.1\r\nHost: t.example\r\nX-Account: pati\r\n{more}\r\n")
    };
    let cases = [
        (head("GET /b", ""), 404),
        (head("GET /a/", ""), 404),
        (head("GET /u", ""), 405),
        (head("DELETE /u", ""), 405),
        (head("GET /a%2Fb", ""), 400),
        (head("GET /../a", ""), 400),
        (head("GET /a/..;/a", ""), 400),
        (head("GET /a%00", ""), 400),
        (head("GET /a", "Host: u.example\r\n"), 400),
        ("GET /a HTTP/1.1\r\nX-Account: pati\r\n\r\n".into(), 400),
        ("GET /a HTTP/1.1\r\nHost: t.example\r\n\r\n".into(), 400),
        ("GET /a HTTP/1.1\r\nHost: t.example\r\nX-Account: kudus\r\n\r\n".into(), 400),
        (head("GET /a", "X-Time-Left: soon\r\n"), 400),
        (head("GET /a", "Content-Length: 1\r\n") + "x", 400),
        (head("POST /k", "Content-Length: 0\r\n"), 400),
        (head("POST /k", "Content-Length: 0\r\nIdempotency-Key: \r\n"), 400),
        (head("POST /k", "Content-Length: 0\r\nIdempotency-Key: 1\r\nIdempotency-Key: 2\r\n"), 400),
        (head("POST /u", "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n", 400),
    ];
    for (request, status) in cases {
        let mut client = node.client();
        client.write(&request);
        let answer = client.read();
        assert_eq!(answer.status(), status, "{request}");
        if status == 405 {
            assert_eq!(answer.header("allow"), Some("POST, PUT"));
        }
    }
    assert_eq!(get(&mut node.client(), "/ready", "").status(), 200);
    assert!(backend.is_untouched());
}

#[test]
fn responses_of_every_kind_are_forwarded_unchanged() {
    let backend = Listener::new();
    let node = Node::from_file(&file_with_one_class(&[backend.address()], SAFE));
    let mut client = node.client();
    client.write("HEAD /a HTTP/1.1\r\nHost: t\r\n\r\n");
    let mut peer = backend.accept();
    assert_eq!(peer.read().first, "HEAD /a HTTP/1.1");
    peer.write("HTTP/1.1 200 OK\r\nContent-Length: 70\r\nETag: \"1\"\r\n\r\n");
    // `Peer::read` would wait for the body, which a response to HEAD does not have.
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        client.stream.read_exact(&mut byte).expect("a head");
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    assert!(head.starts_with("http/1.1 200 ok\r\n") && head.contains("content-length: 70\r\n"), "{head}");
    for (status, body) in [
        ("204 No Content", None),
        ("304 Not Modified", None),
        ("404 Not Found", Some("none")),
        ("409 Conflict", Some("late")),
        ("302 Found", Some("")),
        ("200 OK", Some("whole")),
    ] {
        client.write("GET /a HTTP/1.1\r\nHost: t\r\n\r\n");
        peer.read();
        match body {
            Some(body) => peer.answer(status, "X-Of-Box: 1\r\n", body),
            None => peer.write(format!("HTTP/1.1 {status}\r\nX-Of-Box: 1\r\n\r\n")),
        }
        let answer = client.read();
        assert_eq!(answer.first, format!("HTTP/1.1 {status}"));
        assert_eq!((answer.header("x-of-box"), &answer.body[..]), (Some("1"), body.unwrap_or("").as_bytes()));
    }
    // The class is safe, so a retry is harmless whether the request ran or not.
    for (status, expected) in [("429 Slow Down", 429), ("503 Later", 503), ("500 Broken", 500)] {
        client.write("GET /a HTTP/1.1\r\nHost: t\r\n\r\n");
        peer.read();
        peer.answer(status, "Retry-After: 9\r\n", "why");
        let answer = client.read();
        assert_eq!((answer.status(), answer.header("retry-after")), (expected, Some("9")), "{status}");
        assert_eq!(answer.body, b"why");
    }
}

#[test]
fn the_idempotency_key_of_the_path_is_sent_to_the_backend() {
    let backend = Listener::new();
    let keyed = class("k", "repeat = \"keyed\"\nscope = \"zone\"\nwindow = \"600ms\"\ntime = \"20s\"")
        + &route("template = \"/submit/{sheet}\"", "k", "key = \"sheet\"\nsubject = \"sheet\"");
    let node = Node::from_file(&file(&[(backend.address(), "east")], &keyed));
    let mut client = node.client();
    post(&mut client, "/submit/7f3a", "Idempotency-Key: of-the-client\r\n");
    let mut peer = backend.accept();
    let request = peer.read();
    assert_eq!(request.headers.iter().filter(|line| line.starts_with("idempotency-key")).count(), 1);
    assert_eq!(request.header("idempotency-key"), Some("7f3a"));
    peer.answer("200 OK", "", "");
    assert_eq!(client.read().status(), 200);
}

// ---- Time limits and retries ---------------------------------------------------------------------

/// The time limits of a request, of an attempt, and of the client, each with backends that do not respond.
#[test]
fn time_limits_of_a_class_are_kept() {
    let backends = Backends::with_faults(3, &fault_for_each(3, "stall", "time = \"1h\""));
    let executions = &backends.execution_log;
    let addresses: Vec<_> = backends.addresses.iter().map(|address| (*address, "east")).collect();
    let tried = "repeat = \"safe\"\ntime = \"900ms\"\nattempts = 3\nattempt-time = \"200ms\"\nretry-on = [\"timed-out\"]\nbudget = { share = 1, floor = \"9/s\" }";
    let more = class("short", "repeat = \"unsafe\"\ntime = \"300ms\"")
        + &class("tried", tried)
        + &class("long", "repeat = \"unsafe\"\ntime = \"20s\"")
        + &route("path = \"/short\"", "short", "")
        + &route("path = \"/tried\"", "tried", "")
        + &route("path = \"/long\"", "long", "");
    let node = Node::from_file(&file(&addresses, &more));
    let mut client = node.client();
    let started = Instant::now();
    post(&mut client, "/short", "X-Correlation-Id: s\r\n");
    assert_eq!(client.read().status(), 504, "it may have run");
    let took = started.elapsed();
    assert!(took.as_millis() >= 250 && took.as_secs() < 15, "{took:?}");
    let started = Instant::now();
    assert_eq!(get(&mut client, "/tried", "X-Correlation-Id: t\r\n").status(), 503, "safe: refused");
    let took = started.elapsed();
    assert!(took.as_millis() >= 550 && took.as_secs() < 15, "three attempts of 200 ms: {took:?}");
    assert_eq!(executions.executions_of("t").len(), 3);
    post(&mut client, "/long", "X-Correlation-Id: l\r\nX-Time-Left: 0.2\r\n");
    assert_eq!(client.read().status(), 504);
    assert_eq!((executions.executions_of("s").len(), executions.executions_of("l").len()), (1, 1));
}

/// An unsafe request is retried only if it did not run.
#[test]
fn none_of_two_thousand_unsafe_requests_runs_twice() {
    const CLIENTS: u64 = 8;
    const EACH: u64 = 250;
    let faults = [
        ("reset-before", "every = 11"),
        ("reset-at", "every = 13\nbytes = 0"),
        ("garbage", "every = 17"),
        ("error", "every = 19"),
        ("away", "every = 5"),
    ];
    let faults: String = faults.iter().map(|(what, more)| fault_for_each(4, what, more)).collect();
    let backends = Backends::with_faults(4, &faults);
    // One more backend refuses every connection.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    let refusing = socket.local_addr().ok().and_then(|a| a.as_socket()).expect("an address");
    let mut addresses = backends.addresses.clone();
    addresses.push(refusing);
    let terms = format!(
        "{UNSAFE}\nattempts = 4\nback-off = {{ first = \"1ms\" }}\nbudget = {{ share = 1, floor = \"100/s\" }}"
    );
    let node = Node::from_file(&file_with_one_class(&addresses, &terms));
    let address = node.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            std::thread::spawn(move || {
                let mut statuses = HashMap::new();
                let mut peer = Peer::connect(address);
                for number in 0..EACH {
                    let id = format!("{client}-{number}");
                    post(&mut peer, "/correct", &format!("X-Correlation-Id: {id}\r\n"));
                    let answer = peer.read();
                    if answer.status() == 200 {
                        assert_eq!(answer.body, id.as_bytes(), "the response belongs to this request");
                    }
                    statuses.insert(id, answer.status());
                }
                statuses
            })
        })
        .collect();
    let statuses: HashMap<String, u16> =
        clients.into_iter().flat_map(|client| client.join().expect("a client")).collect();
    assert_eq!(statuses.len() as u64, CLIENTS * EACH, "one response each");
    let mut seen: HashMap<u16, usize> = HashMap::new();
    for (id, status) in &statuses {
        let runs = backends.execution_log.executions_of(id).len();
        assert!(runs <= 1, "{id} ran {runs} times");
        match status {
            200 => assert_eq!(runs, 1, "{id} is served, and did not run once"),
            503 => assert_eq!(runs, 0, "{id} is rejected, and ran"),
            // No response arrived, or the backend responded with an error.
            500 | 502 => {}
            other => panic!("{id}: {other}"),
        }
        *seen.entry(*status).or_default() += 1;
    }
    // The faults took place, and retries compensated for the harmless ones.
    assert!(seen[&502] + seen[&500] > 100 && seen[&200] > 1000, "{seen:?}");
    println!("responses by status: {seen:?}");
}

/// A keyed request is retried only in the zone of the first attempt that may have run, and within the window.
#[test]
fn keyed_requests_are_retried_only_within_their_zone_and_window() {
    let faults =
        fault_for_each(6, "error", "every = 3") + &fault_for_each(6, "reset-at", "every = 4\nbytes = 0");
    let backends = Backends::with_faults(6, &faults);
    let zones = ["east", "west"];
    let addresses: Vec<_> = backends.addresses.iter().enumerate().map(|(i, a)| (*a, zones[i % 2])).collect();
    // The window is much longer than delays of a slow machine, as the test is about the order of events.
    let keyed = "repeat = \"keyed\"\nscope = \"zone\"\nwindow = \"10s\"\nkey-header = \"idempotency-key\"\n\
        time = \"9s\"\nretry-on = [\"error\", \"reset\"]\nattempts = 3\nattempt-time = \"2s\"\n\
        budget = { share = 1 }";
    let node = Node::from_file(&file(&addresses, &(class("k", keyed) + &route("prefix = \"/\"", "k", ""))));
    let mut client = node.client();
    let (mut served, mut repeated) = (0, 0);
    for id in 0..400 {
        post(&mut client, "/submit", &format!("X-Correlation-Id: {id}\r\nIdempotency-Key: k{id}\r\n"));
        served += usize::from(client.read().status() == 200);
        let runs = backends.execution_log.executions_of(&id.to_string());
        repeated += usize::from(runs.len() > 1);
        assert!(!runs.is_empty() && runs.len() <= 3);
        let zone = |run: &Execution| backend_index(&run.backend) % 2;
        assert!(runs.iter().all(|run| zone(run) == zone(&runs[0])), "left its zone: {runs:?}");
        assert!(
            runs.iter().all(|run| run.received_at < runs[0].received_at + std::time::Duration::from_secs(10))
        );
        assert!(runs.iter().all(|run| run.key.as_deref() == Some(&format!("k{id}"))));
        let distinct: std::collections::HashSet<_> = runs.iter().map(|run| &run.backend).collect();
        assert_eq!(distinct.len(), runs.len(), "twice to one backend: {runs:?}");
    }
    assert!(served > 200 && repeated > 50, "{served} served, {repeated} repeated");
}

// ---- Limits --------------------------------------------------------------------------------------

#[test]
fn requests_beyond_the_concurrency_limit_wait_and_those_beyond_the_queue_are_rejected() {
    let backend = Listener::new();
    let terms =
        format!("{SAFE}\nin-hand = 1\nqueue = {{ length = 1, time = \"15s\" }}\nretry-after = \"1.2s\"");
    let node = Node::from_file(&file_with_one_class(&[backend.address()], &terms));
    let (mut first, mut second, mut third) = (node.client(), node.client(), node.client());
    let send_request = |client: &mut Peer| client.write("GET /a HTTP/1.1\r\nHost: t\r\n\r\n");
    send_request(&mut first);
    let mut peer = backend.accept();
    peer.read();
    // The node queues one of these two and rejects the other, depending on which it reads first.
    send_request(&mut second);
    send_request(&mut third);
    let started = Instant::now();
    let waits = loop {
        assert!(started.elapsed() < PEER_TIMEOUT, "no request is rejected");
        if third.has_more() {
            break (&mut second, &mut third);
        }
        if second.has_more() {
            break (&mut third, &mut second);
        }
        std::thread::sleep(std::time::Duration::from_millis(1));
    };
    let (waits, rejected) = waits;
    let answer = rejected.read();
    assert_eq!(
        (answer.status(), answer.header("retry-after")),
        (503, Some("2")),
        "whole seconds, rounded up"
    );
    peer.answer("200 OK", "", "first");
    assert_eq!(first.read().body, b"first");
    peer.read();
    // The queued request is in progress now. A client that disconnects while its request is queued only frees
    // its place in the queue. The node has noticed that once it closes its own side: a place that becomes
    // free before may still go to it, as in
    // `a_place_is_free_again_if_its_client_disconnects_after_the_request_was_sent`.
    send_request(&mut first);
    first.stream.shutdown(std::net::Shutdown::Write).expect("closed");
    first.expect_end();
    peer.answer("200 OK", "", "second");
    assert_eq!(waits.read().body, b"second");
    let mut next = node.client();
    send_request(&mut next);
    peer.read();
    peer.answer("200 OK", "", "next");
    assert_eq!(next.read().body, b"next");
}

#[test]
fn a_place_is_free_again_if_its_client_disconnects_after_the_request_was_sent() {
    let backend = Listener::new();
    let terms = format!("{SAFE}\nin-hand = 1\nqueue = {{ length = 1, time = \"15s\" }}");
    let node = Node::from_file(&file_with_one_class(&[backend.address()], &terms));
    let (mut first, mut leaves) = (node.client(), node.client());
    let send_request = |client: &mut Peer| client.write("GET /a HTTP/1.1\r\nHost: t\r\n\r\n");
    send_request(&mut first);
    let mut peer = backend.accept();
    peer.read();
    send_request(&mut leaves);
    peer.answer("200 OK", "", "first");
    assert_eq!(first.read().body, b"first");
    peer.read();
    drop(leaves);
    // The attempt is cancelled by closing its connection, and the next request gets the place and another
    // connection.
    peer.expect_end();
    let mut next = node.client();
    send_request(&mut next);
    let mut peer = backend.accept();
    peer.read();
    peer.answer("200 OK", "", "next");
    assert_eq!(next.read().body, b"next");
}

#[test]
fn a_tenant_beyond_its_rate_is_rejected_with_the_time_to_retry() {
    let backend = Listener::new();
    let terms = format!("{SAFE}\ntenant-rate = {{ rate = \"2/m\", burst = 2 }}\nbudget = {{ share = 0.2 }}");
    let text = file_with_one_class(&[backend.address()], &terms)
        + "[[tenant]]\nname = \"pati\"\n[[tenant]]\nname = \"kudus\"\n";
    let node = Node::from_file(&text);
    let mut client = node.client();
    let mut peer: Option<Peer> = None;
    let mut served = |client: &mut Peer, tenant: &str| {
        client.write(format!("GET /a HTTP/1.1\r\nHost: t\r\nX-Account: {tenant}\r\n\r\n"));
        let peer = peer.get_or_insert_with(|| backend.accept());
        peer.read();
        peer.answer("200 OK", "", "");
        assert_eq!(client.read().status(), 200);
    };
    served(&mut client, "pati");
    served(&mut client, "pati");
    let answer = get(&mut client, "/a", "X-Account: pati\r\n");
    assert_eq!(answer.status(), 429);
    let after: u64 = answer.header("retry-after").and_then(|t| t.parse().ok()).expect("a wait");
    assert!((2..=30).contains(&after), "the next request is allowed 30 s after the first: {after}");
    served(&mut client, "kudus");
}

// ---- Reloads -------------------------------------------------------------------------------------

/// A class changes from keyed to unsafe while one of its requests is in progress: this one is still retried
/// after an error, the next one is not.
#[test]
fn a_request_in_progress_keeps_the_settings_under_which_it_was_accepted() {
    let (one, other) = (Listener::new(), Listener::new());
    let backends = [(one.address(), "east"), (other.address(), "east")];
    let keyed = "repeat = \"keyed\"\nscope = \"zone\"\nwindow = \"19s\"\nkey-header = \"idempotency-key\"\n\
        time = \"18s\"\nretry-on = [\"error\"]\nattempts = 2\nattempt-time = \"9s\"";
    let with = |terms: &str| file(&backends, &(class("c", terms) + &route("prefix = \"/\"", "c", "")));
    let node = Node::from_file(&with(keyed));
    let mut client = node.client();
    post(&mut client, "/submit", "Idempotency-Key: 1\r\n");
    let (first, mut peer) = Listener::accept_any(&[&one, &other]);
    peer.read();
    node.reload(&with(UNSAFE));
    node.logged("applied: 1 routes");
    node.logged("applied: 1 routes");
    peer.answer("500 Broken", "", "");
    let mut second = [&one, &other][1 - first].accept();
    assert_eq!(second.read().header("idempotency-key"), Some("1"), "retried under the old settings");
    // This request is accepted under the new file: it is not retried after an error, and its key is ignored.
    let mut late = node.client();
    post(&mut late, "/submit", "");
    let mut peers = [peer, second];
    let started = Instant::now();
    let third = loop {
        assert!(started.elapsed() < PEER_TIMEOUT, "the request reaches no backend");
        if let Some(found) = [0, 1].into_iter().find(|i| peers[*i].has_more()) {
            break found;
        }
        std::thread::sleep(std::time::Duration::from_millis(1));
    };
    assert_eq!(third, 0, "the other connection has a request in progress");
    peers[0].read();
    peers[0].answer("500 Broken", "", "");
    assert_eq!(late.read().status(), 500, "unsafe: the backend's own response, and no retry");
    peers[1].answer("200 OK", "", "kept");
    assert_eq!(client.read().body, b"kept");
    assert!(one.is_untouched() && other.is_untouched());
}

/// A hedged copy of a request is at a backend when a reload removes copies and the cluster: the response of
/// the copy must still reach the client.
#[test]
fn a_copy_in_progress_outlives_its_file() {
    let (one, other, new) = (Listener::new(), Listener::new(), Listener::new());
    let backends = [(one.address(), "east"), (other.address(), "east")];
    let copied = "repeat = \"safe\"\ntime = \"20s\"\ncopies = { after = \"5ms\", share = 1 }";
    let text = file(&backends, &(class("c", copied) + &route("prefix = \"/\"", "c", "")));
    let node = Node::from_file(&text);
    let mut client = node.client();
    client.write("GET /a HTTP/1.1\r\nHost: t\r\n\r\n");
    let (first, mut peer) = Listener::accept_any(&[&one, &other]);
    let request = peer.read();
    let mut copy = [&one, &other][1 - first].accept();
    assert_eq!(copy.read().header("x-correlation-id"), request.header("x-correlation-id"));
    let text =
        format!("[[listener]]\naddress = \"127.0.0.1:0\"\n{}", cluster("fresh", &[(new.address(), "east")]))
            + &class("c", SAFE)
            + "[[route]]\nprefix = \"/\"\nclass = \"c\"\ncluster = \"fresh\"\n";
    node.reload(&text);
    node.logged("removed from the file");
    node.logged("applied: 1 routes, 1 clusters, 1 backends");
    // The old cluster ends only once its requests have responses.
    copy.answer("200 OK", "", "by the copy");
    assert_eq!(client.read().body, b"by the copy");
    peer.expect_end();
    node.logged("cluster tally has stopped");
    client.write("GET /a HTTP/1.1\r\nHost: t\r\n\r\n");
    let mut peer = new.accept();
    peer.read();
    peer.answer("200 OK", "", "fresh");
    assert_eq!(client.read().body, b"fresh");
}

/// Every other of 200 reloads under traffic has an invalid file. Each request must have one response and must
/// be handled under a single file: its cluster, its class and its path belong together.
#[test]
fn two_hundred_reloads_under_traffic_lose_no_request_and_mix_no_files() {
    let backends = Backends::with_faults(4, "");
    // Backends 0 and 1 are cluster `a` with paths `/a/…`, backends 2 and 3 are cluster `b` with paths `/b/…`.
    let of = |name: &str, backends: &[SocketAddr]| {
        let backends: Vec<_> = backends.iter().map(|address| (*address, "east")).collect();
        cluster(name, &backends)
    };
    let with = |name: &str, backends: &[SocketAddr], class: &str| {
        format!(
            "[[listener]]\naddress = \"127.0.0.1:0\"\n{}[[class]]\nname = \"{class}\"\n{UNSAFE}\n",
            of(name, backends)
        ) + &format!(
            "[[route]]\ntemplate = \"/sheet/{{id}}\"\nrewrite = \"/{name}/{{id}}\"\nclass = \"{class}\"\ncluster = \"{name}\"\n"
        )
    };
    let files = [with("a", &backends.addresses[..2], "one"), with("b", &backends.addresses[2..], "two")];
    let bad = format!("{}retry-on = [\"error\"]\n", files[0]);
    let node = Node::from_file(&files[0]);
    node.logged("applied: 1 routes");
    let (finished, requests) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..4)
        .map(|client| {
            let (finished, requests, address) = (finished.clone(), requests.clone(), node.address);
            std::thread::spawn(move || {
                let mut peer = Peer::connect(address);
                let mut number = 0u64;
                while !finished.load(Ordering::Relaxed) {
                    let id = format!("{client}-{number}");
                    number += 1;
                    requests.fetch_add(1, Ordering::Relaxed);
                    post(&mut peer, &format!("/sheet/{id}"), &format!("X-Correlation-Id: {id}\r\n"));
                    let answer = peer.read();
                    assert_eq!((answer.status(), &answer.body[..]), (200, id.as_bytes()));
                }
                number
            })
        })
        .collect();
    for round in 0..200 {
        let before = requests.load(Ordering::Relaxed);
        if round % 2 == 0 {
            node.reload(&files[(round / 2 + 1) % 2]);
            node.logged("applied: 1 routes");
        } else {
            node.reload(&bad);
            node.logged("MW100");
        }
        // Some traffic between two reloads.
        let started = Instant::now();
        while requests.load(Ordering::Relaxed) < before + 8 {
            assert!(started.elapsed() < PEER_TIMEOUT, "no traffic");
            std::thread::yield_now();
        }
    }
    finished.store(true, Ordering::Relaxed);
    let sent: u64 = clients.into_iter().map(|client| client.join().expect("a client")).sum();
    let all = backends.execution_log.all_executions();
    assert_eq!(all.len() as u64, sent, "each request ran");
    let mut by_cluster = [0, 0];
    for (id, runs) in &all {
        assert_eq!(runs.len(), 1, "{id}: {runs:?}");
        let cluster = backend_index(&runs[0].backend) / 2;
        assert_eq!(runs[0].path, format!("/{}/{id}", ["a", "b"][cluster]), "two files are mixed");
        by_cluster[cluster] += 1;
    }
    assert!(by_cluster.iter().all(|n| *n > 100), "{by_cluster:?}");
}

/// A reload sets a backend to draining while it has a request in progress.
#[test]
fn a_backend_that_the_file_drains_gets_no_new_requests() {
    let (one, other) = (Listener::new(), Listener::new());
    let text = file_with_one_class(&[one.address(), other.address()], SAFE);
    let node = Node::from_file(&text);
    let mut client = node.client();
    client.write("GET /a HTTP/1.1\r\nHost: t\r\n\r\n");
    let (first, mut held) = Listener::accept_any(&[&one, &other]);
    held.read();
    let name = format!("name = \"tally-{first}\"\n");
    node.reload(&text.replace(&name, &format!("{name}state = \"draining\"\n")));
    node.logged("applied: 1 routes");
    node.logged("applied: 1 routes");
    let mut second = node.client();
    let mut peer: Option<Peer> = None;
    for _ in 0..20 {
        second.write("GET /a HTTP/1.1\r\nHost: t\r\n\r\n");
        let peer = peer.get_or_insert_with(|| [&one, &other][1 - first].accept());
        peer.read();
        peer.answer("200 OK", "", "");
        assert_eq!(second.read().status(), 200);
    }
    held.answer("200 OK", "", "held");
    assert_eq!(client.read().body, b"held");
    held.expect_end();
    assert!([&one, &other][first].is_untouched());
}

/// If a new listener can't be opened, the reload changes nothing.
#[test]
fn a_reload_changes_listeners_or_nothing() {
    let backend = Listener::new();
    let taken = Listener::new();
    let text = file_with_one_class(&[backend.address()], SAFE);
    let node = Node::from_file(&text);
    node.reload(&text.replace("127.0.0.1:0", &taken.address().to_string()));
    node.logged("rejected; the previous configuration stays active");
    let mut client = node.client();
    client.write("GET /a HTTP/1.1\r\nHost: t\r\n\r\n");
    let mut peer = backend.accept();
    peer.read();
    peer.answer("200 OK", "", "");
    assert_eq!(client.read().status(), 200);
    // Another loopback address, with a port that has just been free on all of them.
    let free = TcpStream::connect(node.address).expect("a connection").local_addr().expect("its port").port();
    let moved = SocketAddr::from(([127, 0, 0, 7], free));
    node.reload(&text.replace("127.0.0.1:0", &moved.to_string()));
    node.logged("applied: 1 routes");
    // The old connection is still served, and the new address too.
    for mut client in [client, Peer::connect(moved)] {
        client.write("GET /a HTTP/1.1\r\nHost: t\r\n\r\n");
        peer.read();
        peer.answer("200 OK", "", "");
        assert_eq!(client.read().status(), 200);
    }
}

#[test]
fn after_sigterm_the_node_exits_once_all_requests_have_responses() {
    let backend = Listener::new();
    let mut node = Node::from_file(&file_with_one_class(&[backend.address()], SAFE));
    let mut client = node.client();
    client.write("GET /a HTTP/1.1\r\nHost: t\r\n\r\n");
    let mut peer = backend.accept();
    peer.read();
    node.terminate();
    node.logged("shutting down");
    peer.answer("200 OK", "", "last");
    let answer = client.read();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(node.wait().success());
}

// ---- The command line ----------------------------------------------------------------------------

#[test]
fn run_and_check_of_an_invalid_file_exit_with_code_3() {
    let bad = OnDisk::new("[[listener]]\naddress = \"127.0.0.1:0\"\nport = 1\n");
    let folder = std::env::temp_dir();
    for command_name in ["run", "check"] {
        let ended = command(&[command_name, bad.path()]);
        let output = String::from_utf8_lossy(&ended.stderr);
        assert_eq!(ended.status.code(), Some(3), "{output}");
        assert!(output.contains("MW010") && output.contains(":3:1"), "{output}");
        let ended = command(&[command_name, folder.to_str().expect("a path")]);
        assert_eq!(ended.status.code(), Some(3));
        assert!(String::from_utf8_lossy(&ended.stderr).contains("is a directory"));
        let ended = command(&[command_name, "/nowhere/at-all.toml"]);
        assert_eq!(ended.status.code(), Some(3));
        assert!(String::from_utf8_lossy(&ended.stderr).contains("MW003"));
    }
    assert_eq!(command(&["check"]).status.code(), Some(2));
    assert_eq!(command(&["swim"]).status.code(), Some(2));
}

/// Reading a pipe would block a check, or a node at a reload, forever.
#[test]
fn a_pipe_is_rejected_as_a_file() {
    let path = std::env::temp_dir().join(format!("marlwinch-pipe-{}", std::process::id()));
    let made = std::process::Command::new("mkfifo").arg(&path).status().expect("mkfifo");
    assert!(made.success());
    let ended = command(&["check", path.to_str().expect("a path")]);
    let _ = std::fs::remove_file(&path);
    assert_eq!(ended.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&ended.stderr).contains("is not a regular file"));
}

#[test]
fn check_prints_nothing_for_a_valid_file_and_one_object_with_json() {
    let good = OnDisk::new(&file_with_one_class(&[SocketAddr::from(([127, 0, 0, 1], 9001))], SAFE));
    let ended = command(&["check", good.path()]);
    assert_eq!((ended.status.code(), ended.stdout.len(), ended.stderr.len()), (Some(0), 0, 0));
    let json = |path: &str| -> (Option<i32>, serde_json::Value) {
        let ended = command(&["check", "--json", path]);
        (ended.status.code(), serde_json::from_slice(&ended.stdout).expect("JSON"))
    };
    let (code, report) = json(good.path());
    assert_eq!(
        (code, &report["accepted"], &report["faults"]),
        (Some(0), &true.into(), &serde_json::json!([]))
    );
    let bad = OnDisk::new(&file_with_one_class(
        &[SocketAddr::from(([127, 0, 0, 1], 9001))],
        "repeat = \"unsafe\"\nretry-on = [\"error\"]",
    ));
    let (code, report) = json(bad.path());
    assert_eq!((code, &report["accepted"]), (Some(3), &false.into()));
    let fault = &report["faults"][0];
    assert_eq!((&fault["code"], &fault["rule"]), (&"MW100".into(), &"no-effect-twice".into()));
    assert_eq!(fault["start"], serde_json::json!({"line": 12, "column": 12}));
    assert!(fault["help"].as_str().is_some_and(|help| help.contains("never-ran")));
    assert_eq!(fault["also"][0]["start"]["line"], 11);
}

#[test]
fn explain_shows_the_route_the_limits_and_the_attempts() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/example.toml");
    let explained = |rest: &[&str]| {
        let ended = command(&[&["explain", example][..], rest].concat());
        (ended.status.code(), String::from_utf8_lossy(&ended.stdout).into_owned(), ended.stderr)
    };
    let (code, text, _) = explained(&["POST", "/tally-submit/%37f3a?a=b", "-H", "Idempotency-Key: 1"]);
    assert_eq!(code, Some(0));
    for line in [
        "class    tally-submit: keyed, repeats are dropped within a zone for 600ms",
        "sent as  POST /tally-submit/7f3a?a=b",
        "defaults, line 13",
        "class, line 53",
        "built in",
        "3  from 0ms to 500ms, over by 750ms; once one may have run, to boxes of its zone within 600ms of that",
    ] {
        assert!(text.contains(line), "{line} is not in\n{text}");
    }
    let (code, _, output) = explained(&["GET", "/tally-submit/7f3a"]);
    assert_eq!((code, String::from_utf8_lossy(&output).contains("405")), (Some(4), true));
    let (code, _, output) = explained(&["GET", "/tally/..%2f"]);
    assert_eq!((code, String::from_utf8_lossy(&output).contains("400")), (Some(4), true));
}

/// The example of the README, with test backends.
#[test]
fn the_example_serves_each_of_its_classes() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/example.toml");
    let mut text = std::fs::read_to_string(example).expect("the example");
    let backends = Backends::with_faults(3, "");
    for (i, address) in backends.addresses.iter().enumerate() {
        text = text.replace(&format!("127.0.0.1:900{}", i + 1), &address.to_string());
    }
    let node = Node::from_file(&text.replace("127.0.0.1:8080", "127.0.0.1:0"));
    let mut client = node.client();
    assert_eq!(get(&mut client, "/tally/7f3a", "X-Correlation-Id: 1\r\n").body, b"1");
    post(&mut client, "/tally-submit/7f3a", "X-Correlation-Id: 2\r\nIdempotency-Key: k\r\n");
    assert_eq!(client.read().body, b"2");
    post(&mut client, "/tally-correct/7f3a", "X-Correlation-Id: 3\r\n");
    assert_eq!(client.read().body, b"3");
}

/// The node writes a trace that the load generator can replay. A reload of a file without `[trace]` ends it.
#[test]
fn accepted_requests_are_recorded_as_a_trace() {
    let backends = Backends::with_faults(1, "");
    let trace = OnDisk::new("");
    let text = file_with_one_class(&backends.addresses, UNSAFE) + "[[tenant]]\nname = \"pati\"\n";
    let traced = format!("{text}[trace]\nfile = \"{}\"\n", trace.path());
    let mut node = Node::from_file(&traced);
    let mut client = node.client();
    for number in 0..20 {
        post(&mut client, &format!("/sheet/{number}?a=b"), "X-Account: pati\r\nIdempotency-Key: k\r\n");
        assert_eq!(client.read().status(), 200);
    }
    // The size of a chunked body is known only at its end.
    let mut chunked = node.client();
    chunked.write(
        "POST /chunks HTTP/1.1\r\nHost: t.example\r\nX-Account: pati\r\nTransfer-Encoding: chunked\r\n\r\n\
         5\r\nsheet\r\n0\r\n\r\n",
    );
    assert_eq!(chunked.read().status(), 200);
    node.reload(&text);
    node.logged("trace recording ended, 0 lines were dropped");
    post(&mut client, "/after", "X-Account: pati\r\n");
    assert_eq!(client.read().status(), 200);
    node.terminate();
    assert!(node.wait().success());
    let mut trace = load_generator::trace::read(&std::fs::read(&trace.0).expect("a trace"), 1.0);
    let last = trace.requests.pop().expect("a line").entry;
    assert_eq!((last.target.as_str(), last.body), ("/chunks", 5));
    assert_eq!((trace.requests.len(), trace.invalid_lines, trace.out_of_order), (20, 0, 0));
    for (number, request) in trace.requests.iter().enumerate() {
        let line = &request.entry;
        assert_eq!((line.method.as_str(), line.target.clone()), ("POST", format!("/sheet/{number}?a=b")));
        assert_eq!(
            (line.class.as_str(), line.tenant.as_deref(), line.key, line.body),
            ("c", Some("pati"), true, 1)
        );
    }
    let from = load_generator::plan::Plan::steady(1.0, std::time::Duration::from_secs(1), "GET", "/")
        .expect("a plan");
    assert_eq!(load_generator::plan::Plan::from_trace(trace, &from).expect("a plan").requests().count(), 20);
}
