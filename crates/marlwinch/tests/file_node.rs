//! A node from an operator's file, as a process on loopback sockets: what it takes, what reaches a backend
//! and how often, limits, and files that change under traffic.

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

/// A file with one cluster of these backends, each with its zone, and more text.
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

/// One class for all paths.
fn simple(backends: &[SocketAddr], terms: &str) -> String {
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

// ---- What is taken and what is sent on -----------------------------------------------------------

#[test]
fn what_is_matched_is_what_is_sent_on() {
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
        // The client gave none; a backend needs one to tell repeats.
        assert!(request.header("x-correlation-id").is_some_and(|id| !id.is_empty()));
        peer.answer("200 OK", "", "");
        assert_eq!(client.read().status(), 200);
    }
}

#[test]
fn what_no_route_takes_is_answered_and_never_sent() {
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
fn answers_of_every_sort_are_passed_on_as_they_are() {
    let backend = Listener::new();
    let node = Node::from_file(&simple(&[backend.address()], SAFE));
    let mut client = node.client();
    client.write("HEAD /a HTTP/1.1\r\nHost: t\r\n\r\n");
    let mut peer = backend.accept();
    assert_eq!(peer.read().first, "HEAD /a HTTP/1.1");
    peer.write("HTTP/1.1 200 OK\r\nContent-Length: 70\r\nETag: \"1\"\r\n\r\n");
    // A reader of this test would wait for the body that a HEAD does not have.
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
    // The class is safe: to try again is harmless, whatever the backend means by it.
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
fn the_key_in_the_path_goes_to_the_backend() {
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

// ---- Terms ---------------------------------------------------------------------------------------

/// The whole time, the time of an attempt and the client's own, each with backends that never answer.
#[test]
fn times_of_a_class_are_held() {
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

/// What an unsafe class may have: another attempt after what never ran, and none after anything else.
#[test]
fn two_thousand_unsafe_requests_and_none_runs_twice() {
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
    // One more that refuses every connection.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    let nobody = socket.local_addr().ok().and_then(|a| a.as_socket()).expect("an address");
    let mut addresses = backends.addresses.clone();
    addresses.push(nobody);
    let terms = format!(
        "{UNSAFE}\nattempts = 4\nback-off = {{ first = \"1ms\" }}\nbudget = {{ share = 1, floor = \"100/s\" }}"
    );
    let node = Node::from_file(&simple(&addresses, &terms));
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
                        assert_eq!(answer.body, id.as_bytes(), "the answer made for this request");
                    }
                    statuses.insert(id, answer.status());
                }
                statuses
            })
        })
        .collect();
    let statuses: HashMap<String, u16> =
        clients.into_iter().flat_map(|client| client.join().expect("a client")).collect();
    assert_eq!(statuses.len() as u64, CLIENTS * EACH, "one answer each");
    let mut seen: HashMap<u16, usize> = HashMap::new();
    for (id, status) in &statuses {
        let runs = backends.execution_log.executions_of(id).len();
        assert!(runs <= 1, "{id} ran {runs} times");
        match status {
            200 => assert_eq!(runs, 1, "{id} is served and has run"),
            503 => assert_eq!(runs, 0, "{id} is refused, and ran"),
            // Nothing came, or the backend's own word that something went wrong.
            500 | 502 => {}
            other => panic!("{id}: {other}"),
        }
        *seen.entry(*status).or_default() += 1;
    }
    // The faults were there, and retries made up for those that are harmless.
    assert!(seen[&502] + seen[&500] > 100 && seen[&200] > 1000, "{seen:?}");
    println!("answers by status: {seen:?}");
}

/// Keyed: repeats only in the zone of the first that may have run, within the window.
#[test]
fn keyed_requests_repeat_within_their_zone_and_window() {
    let faults =
        fault_for_each(6, "error", "every = 3") + &fault_for_each(6, "reset-at", "every = 4\nbytes = 0");
    let backends = Backends::with_faults(6, &faults);
    let zones = ["east", "west"];
    let addresses: Vec<_> = backends.addresses.iter().enumerate().map(|(i, a)| (*a, zones[i % 2])).collect();
    // The window is long beside what a slow machine may add; the order of things is what is tested.
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
        let met: std::collections::HashSet<_> = runs.iter().map(|run| &run.backend).collect();
        assert_eq!(met.len(), runs.len(), "twice to one box: {runs:?}");
    }
    assert!(served > 200 && repeated > 50, "{served} served, {repeated} repeated");
}

// ---- Limits --------------------------------------------------------------------------------------

#[test]
fn so_many_are_in_hand_the_next_wait_and_the_rest_are_refused_at_once() {
    let backend = Listener::new();
    let terms =
        format!("{SAFE}\nin-hand = 1\nqueue = {{ length = 1, time = \"15s\" }}\nretry-after = \"1.2s\"");
    let node = Node::from_file(&simple(&[backend.address()], &terms));
    let (mut first, mut second, mut third) = (node.client(), node.client(), node.client());
    let send_request = |client: &mut Peer| client.write("GET /a HTTP/1.1\r\nHost: t\r\n\r\n");
    send_request(&mut first);
    let mut peer = backend.accept();
    peer.read();
    // Whichever of these comes second waits, and the other one is refused while that does.
    send_request(&mut second);
    send_request(&mut third);
    let started = Instant::now();
    let waits = loop {
        assert!(started.elapsed() < PEER_TIMEOUT, "nobody is refused");
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
    // The one that waited is in hand now; a client that leaves while it waits makes room for nobody but the
    // next. The node has seen it leave once it closes its own side: a place that comes free before that may
    // be given to it, as `a_place_is_free_again_where_its_request_was_sent_before_its_client_left` shows.
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
fn a_place_is_free_again_where_its_request_was_sent_before_its_client_left() {
    let backend = Listener::new();
    let terms = format!("{SAFE}\nin-hand = 1\nqueue = {{ length = 1, time = \"15s\" }}");
    let node = Node::from_file(&simple(&[backend.address()], &terms));
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
    // The attempt is called off with its connection, and the next request gets the place and another
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
    let text =
        simple(&[backend.address()], &terms) + "[[tenant]]\nname = \"pati\"\n[[tenant]]\nname = \"kudus\"\n";
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
    assert!((2..=30).contains(&after), "the next one is allowed 30 s after the first: {after}");
    served(&mut client, "kudus");
}

// ---- Files that change ---------------------------------------------------------------------------

/// A class turns from keyed into unsafe while one of its requests is in hand: that one is still sent again
/// after an error, the next one is not; and the other way round.
#[test]
fn a_request_in_hand_keeps_the_terms_that_it_was_taken_under() {
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
    assert_eq!(second.read().header("idempotency-key"), Some("1"), "sent again, as it was promised");
    // This one is taken under the new file: an error ends it, and its key means nothing.
    let mut late = node.client();
    post(&mut late, "/submit", "");
    let mut peers = [peer, second];
    let started = Instant::now();
    let third = loop {
        assert!(started.elapsed() < PEER_TIMEOUT, "the request reaches no box");
        if let Some(found) = [0, 1].into_iter().find(|i| peers[*i].has_more()) {
            break found;
        }
        std::thread::sleep(std::time::Duration::from_millis(1));
    };
    assert_eq!(third, 0, "the other connection has a request in hand");
    peers[0].read();
    peers[0].answer("500 Broken", "", "");
    assert_eq!(late.read().status(), 500, "unsafe: the box's own answer, and not sent again");
    peers[1].answer("200 OK", "", "kept");
    assert_eq!(client.read().body, b"kept");
    assert!(one.is_untouched() && other.is_untouched());
}

/// A copy is out when the file changes to one without copies and another cluster: the copy still brings the
/// answer.
#[test]
fn a_copy_that_is_out_outlives_its_file() {
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
    // The old cluster has ended only once what it had taken is answered.
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

/// Files change 200 times under traffic, every other one bad: each request has one answer, and each is served
/// under one file: its cluster, its class and its path belong together.
#[test]
fn two_hundred_reloads_under_traffic_lose_and_mix_nothing() {
    let backends = Backends::with_faults(4, "");
    // Boxes 0 and 1 are cluster `a` and know `/a/…`, boxes 2 and 3 are `b` and know `/b/…`.
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
        // Some traffic between any two.
        let started = Instant::now();
        while requests.load(Ordering::Relaxed) < before + 8 {
            assert!(started.elapsed() < PEER_TIMEOUT, "no traffic");
            std::thread::yield_now();
        }
    }
    finished.store(true, Ordering::Relaxed);
    let sent: u64 = clients.into_iter().map(|client| client.join().expect("a client")).sum();
    let all = backends.execution_log.all_executions();
    assert_eq!(all.len() as u64, sent, "each has run");
    let mut by_cluster = [0, 0];
    for (id, runs) in &all {
        assert_eq!(runs.len(), 1, "{id}: {runs:?}");
        let cluster = backend_index(&runs[0].backend) / 2;
        assert_eq!(runs[0].path, format!("/{}/{id}", ["a", "b"][cluster]), "a mixed configuration");
        by_cluster[cluster] += 1;
    }
    assert!(by_cluster.iter().all(|n| *n > 100), "{by_cluster:?}");
}

/// A backend that the new file says drains gets nothing more; what it has in hand is answered.
#[test]
fn a_backend_that_drains_by_the_file_gets_nothing_new() {
    let (one, other) = (Listener::new(), Listener::new());
    let text = simple(&[one.address(), other.address()], SAFE);
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

/// Listeners may change with the file; one that can't be opened leaves everything as it was.
#[test]
fn listeners_change_with_the_file_or_nothing_does() {
    let backend = Listener::new();
    let taken = Listener::new();
    let text = simple(&[backend.address()], SAFE);
    let node = Node::from_file(&text);
    node.reload(&text.replace("127.0.0.1:0", &taken.address().to_string()));
    node.logged("rejected; the previous configuration stays active");
    let mut client = node.client();
    client.write("GET /a HTTP/1.1\r\nHost: t\r\n\r\n");
    let mut peer = backend.accept();
    peer.read();
    peer.answer("200 OK", "", "");
    assert_eq!(client.read().status(), 200);
    // Another address of loopback, at a port that was free a moment ago on all of them.
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
fn sigterm_ends_it_once_all_is_answered() {
    let backend = Listener::new();
    let mut node = Node::from_file(&simple(&[backend.address()], SAFE));
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
fn a_bad_file_does_not_start_and_exits_with_its_own_code() {
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

/// A pipe in place of a file would hold up a check, or a node that reads it anew, for ever.
#[test]
fn a_pipe_is_no_file() {
    let path = std::env::temp_dir().join(format!("marlwinch-pipe-{}", std::process::id()));
    let made = std::process::Command::new("mkfifo").arg(&path).status().expect("mkfifo");
    assert!(made.success());
    let ended = command(&["check", path.to_str().expect("a path")]);
    let _ = std::fs::remove_file(&path);
    assert_eq!(ended.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&ended.stderr).contains("is not a regular file"));
}

#[test]
fn check_says_nothing_of_a_good_file_and_one_object_with_json() {
    let good = OnDisk::new(&simple(&[SocketAddr::from(([127, 0, 0, 1], 9001))], SAFE));
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
    let bad = OnDisk::new(&simple(
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

/// The example of the README, with real backends behind it.
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

/// What the node takes is written down and can be replayed; a file without a trace ends it.
#[test]
fn what_is_taken_is_recorded_as_a_trace() {
    let backends = Backends::with_faults(1, "");
    let trace = OnDisk::new("");
    let text = simple(&backends.addresses, UNSAFE) + "[[tenant]]\nname = \"pati\"\n";
    let traced = format!("{text}[trace]\nfile = \"{}\"\n", trace.path());
    let mut node = Node::from_file(&traced);
    let mut client = node.client();
    for number in 0..20 {
        post(&mut client, &format!("/sheet/{number}?a=b"), "X-Account: pati\r\nIdempotency-Key: k\r\n");
        assert_eq!(client.read().status(), 200);
    }
    // The size of a body in chunks is known when it has come.
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
