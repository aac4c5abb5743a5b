//! The platform's node as a process on loopback sockets: its responses, the requests that reach a backend,
//! and the outcome of each failure.

mod peers;

use peers::{
    Listener, Node, PEER_TIMEOUT, Peer, begin_watch, config, fails_to_start, list, node_at, node_with,
    serve_on, serve_on_new_connection,
};
use std::net::SocketAddr;

/// An address that refuses connections as long as the socket is held: it is bound and does not listen, so
/// that no other test gets its port.
fn refusing_address() -> (socket2::Socket, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    let address = socket.local_addr().ok().and_then(|address| address.as_socket()).expect("an address");
    (socket, address)
}

#[test]
fn a_request_and_its_response_are_forwarded_unchanged() {
    let backend = Listener::new();
    let (node, _discovery) = node_with(&[&backend]);
    let mut client = node.client();
    client.request(
        "submit",
        "X-Correlation-Id: 9b1f\r\nX-Time-Left: 9.5\r\nX-Facts: a=1\r\nConnection: keep-alive, x-hop\r\nX-Hop: 1\r\n",
        "sheet",
    );
    let mut peer = backend.accept();
    let request = peer.read();
    assert_eq!(request.first, "POST /submit/7f3a?x=1 HTTP/1.1");
    assert_eq!(request.body, b"sheet");
    assert_eq!(request.header("x-correlation-id"), Some("9b1f"));
    assert_eq!(request.header("idempotency-key"), Some("5c0f"));
    assert_eq!(request.header("x-facts"), Some("a=1"));
    assert_eq!(request.header("x-hop"), None, "a hop-by-hop header is not forwarded");
    let left: f64 = request.header("x-time-left").and_then(|t| t.parse().ok()).expect("the time left");
    assert!(left > 0.0 && left <= 9.5, "{left}");
    peer.answer("200 OK", "X-Backend-Load: inflight=1,queue=0\r\nContent-Type: text/plain\r\n", "counted");
    let answer = client.read();
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"counted"[..]));
    assert_eq!((answer.header("content-type"), answer.header("x-backend-load")), (Some("text/plain"), None));
    // The next request uses the same connection on both sides.
    client.request("look", "", "");
    assert_eq!(peer.read().first, "GET /look/7f3a?x=1 HTTP/1.1");
    peer.answer("200 OK", "Transfer-Encoding-Not: 1\r\n", "");
    assert_eq!(client.read().status(), 200);
    assert!(backend.is_untouched());
}

#[test]
fn after_a_refused_connection_the_request_is_retried_elsewhere_or_rejected() {
    let (backend, (_socket, refusing)) = (Listener::new(), refusing_address());
    let (node, _discovery) = node_at(&[refusing, backend.address()], "east");
    let mut client = node.client();
    let mut peer: Option<Peer> = None;
    for _ in 0..4 {
        match &mut peer {
            Some(peer) => serve_on(peer, &mut client),
            None => peer = Some(serve_on_new_connection(&backend, &mut client)),
        }
    }

    let (node, _discovery) = node_at(&[refusing], "east");
    let mut client = node.client();
    client.request("correct", "", "x");
    let answer = client.read();
    assert_eq!((answer.status(), answer.header("retry-after")), (503, Some("1.5")));
}

#[test]
fn a_request_rejected_before_execution_is_retried() {
    let (one, other) = (Listener::new(), Listener::new());
    let (node, _discovery) = node_with(&[&one, &other]);
    let mut client = node.client();
    client.request("correct", "", "x");
    let (first, mut peer) = Listener::accept_any(&[&one, &other]);
    peer.read();
    peer.answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", "full");
    let mut peer = [&one, &other][1 - first].accept();
    peer.read();
    peer.answer("200 OK", "", "done");
    assert_eq!(client.read().body, b"done");
}

/// A request may have run after an error, a close behind its last byte, an invalid response, one without end,
/// or a 503 that does not say that it did not run. An unsafe request then fails with 502 and no hint to
/// retry.
#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_retried() {
    let flood = "HTTP/1.1 100 Continue\r\n\r\n".repeat(40);
    let ends: [&dyn Fn(&mut Peer); 15] = [
        &|peer| peer.answer("500 Internal Server Error", "", "broken"),
        &|peer| peer.answer("503 Service Unavailable", "", "who knows"),
        &|peer| peer.stream.shutdown(std::net::Shutdown::Both).expect("closed"),
        &|peer| peer.write("SSH-2.0-nothing of the kind\r\n\r\n"),
        &|peer| peer.write("HTTP/1.1 200 OK\r\nContent-Length: nine\r\n\r\n"),
        // The end of the body is unknown, ambiguous or never reached. The connection stays open.
        &|peer| peer.write("HTTP/1.1 200 OK\r\nX: y\r\n\r\nwhole?"),
        &|peer| peer.write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx"),
        &|peer| peer.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ndone"),
        &|peer| peer.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ndone"),
        &|peer| peer.write("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"),
        &|peer| {
            peer.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
        },
        &|peer| peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nlots\r\n"),
        &|peer| peer.write("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"),
        &|peer| peer.write(&flood),
        &|peer| {
            peer.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
            peer.stream.shutdown(std::net::Shutdown::Both).expect("closed");
        },
    ];
    for (i, end) in ends.iter().enumerate() {
        let (one, other) = (Listener::new(), Listener::new());
        let (mut node, _discovery) = node_with(&[&one, &other]);
        let mut client = node.client();
        client.request("correct", "", "x");
        let (first, mut peer) = Listener::accept_any(&[&one, &other]);
        peer.read();
        end(&mut peer);
        let answer = client.read();
        assert_eq!((answer.status(), answer.header("retry-after")), (502, None), "end {i}");
        assert!([&one, &other][1 - first].is_untouched(), "end {i}");
        assert!(node.is_running(), "end {i}");
        // Only after a valid response is the connection reused.
        if i > 1 {
            peer.expect_end();
        }
    }
}

#[test]
fn a_silent_backend_times_out_and_its_connection_is_closed() {
    let backend = Listener::new();
    let (node, _discovery) = node_with(&[&backend]);
    let mut client = node.client();
    client.request("correct", "X-Time-Left: 0.3\r\n", "x");
    let mut peer = backend.next_request(&mut Vec::new());
    let answer = client.read();
    assert_eq!((answer.status(), answer.header("retry-after")), (504, None));
    peer.expect_end();
}

#[test]
fn a_disconnect_of_the_client_cancels_its_attempt() {
    let backend = Listener::new();
    let (node, _discovery) = node_with(&[&backend]);
    let mut client = node.client();
    client.request("correct", "", "x");
    let mut peer = backend.next_request(&mut Vec::new());
    drop(client);
    peer.expect_end();
    // The node continues to serve.
    let mut client = node.client();
    client.request("look", "", "");
    let mut peer = backend.next_request(&mut Vec::new());
    peer.answer("200 OK", "", "still here");
    assert_eq!(client.read().body, b"still here");
}

#[test]
fn a_draining_backend_gets_no_new_requests_and_finishes_its_own() {
    let (old, new) = (Listener::new(), Listener::new());
    let (node, discovery) = node_with(&[&old]);
    let mut watch = begin_watch(&discovery, 41);
    let (mut busy, mut idle) = (node.client(), node.client());
    busy.request("correct", "", "long");
    let mut working = old.next_request(&mut Vec::new());
    idle.request("correct", "", "short");
    let mut resting = old.next_request(&mut Vec::new());
    resting.answer("200 OK", "", "done");
    assert_eq!(idle.read().status(), 200);

    watch.line(&list(
        42,
        false,
        &[("s-1", old.address(), "east", "terminating"), ("s-2", new.address(), "east", "in_service")],
    ));
    // The node closes the idle connection once it knows of the drain.
    resting.expect_end();
    let mut fresh: Option<Peer> = None;
    for _ in 0..10 {
        match &mut fresh {
            Some(peer) => serve_on(peer, &mut idle),
            None => fresh = Some(serve_on_new_connection(&new, &mut idle)),
        }
    }
    assert!(old.is_untouched());
    working.answer("200 OK", "", "finished");
    assert_eq!(busy.read().body, b"finished");
}

#[test]
fn a_lost_or_silent_watch_is_reopened_from_its_generation_and_the_list_stays() {
    let backend = Listener::new();
    let (node, discovery) = node_with(&[&backend]);
    let mut watch = begin_watch(&discovery, 41);
    watch.line(&list(57, true, &[("s-1", backend.address(), "east", "in_service")]));
    drop(watch);
    let mut watch = discovery.accept();
    assert_eq!(watch.read().first, "GET /v1/endpoints?watch=1&from=57 HTTP/1.1");
    // A rejected watch counts as lost.
    watch.answer("503 Service Unavailable", "", "");
    drop(watch);
    let mut watch = begin_watch(&discovery, 57);
    watch.line("");
    // From here on it is silent, and its connection stays open.
    let mut next = discovery.accept();
    assert_eq!(next.read().first, "GET /v1/endpoints?watch=1&from=57 HTTP/1.1");
    let mut client = node.client();
    serve_on_new_connection(&backend, &mut client);
}

#[test]
fn invalid_lists_entries_and_load_reports_are_skipped() {
    let (old, new) = (Listener::new(), Listener::new());
    let (mut node, discovery) = node_with(&[&old]);
    let mut watch = begin_watch(&discovery, 41);
    // A list may have several lines. An empty line ends an incomplete one.
    watch.line("{\"generation\":");
    watch.line("");
    node.logged("line skipped");
    watch.line("[1, 2]");
    // An invalid entry leaves its backend unchanged, also in a full list; the other entries are applied.
    let good = list(50, true, &[("s-2", new.address(), "east", "in_service")]);
    let mixed = good
        .replace("\"instances\":[", "\"instances\":[{\"instanceId\":\"s-1\",\"hostPort\":\"nowhere\"},7,");
    watch.line(&mixed);
    let mut client = node.client();
    let mut peers: [Option<Peer>; 2] = [None, None];
    let mut both = |client: &mut Peer, report: &str| {
        client.request("correct", "", "x");
        // The attempt goes to one of the two, each time on a new connection.
        let (at, mut peer) = Listener::accept_any(&[&old, &new]);
        peer.read();
        peer.answer("200 OK", &format!("Connection: close\r\n{report}"), "done");
        assert_eq!(client.read().status(), 200);
        peers[at] = Some(peer);
        peers.iter().all(Option::is_some)
    };
    let met = (0..200).any(|i| {
        both(&mut client, ["X-Backend-Load: inflight=lots\r\n", "X-Backend-Load: \u{e9}\r\n"][i % 2])
    });
    assert!(met, "both backends are used");
    node.logged("load report skipped");
    assert!(node.is_running());
}

#[test]
fn invalid_requests_are_rejected_and_reach_no_backend() {
    let backend = Listener::new();
    let (node, _discovery) = node_with(&[&backend]);
    let ok = "Host: b\r\nX-Correlation-Id: 9b1f\r\nX-Account: acme\r\n";
    let large = format!("POST /correct/1 HTTP/1.1\r\n{ok}Content-Length: 41943041\r\n\r\n");
    let long_head = format!("POST /correct/1 HTTP/1.1\r\n{ok}X-Long: {}\r\n", "x".repeat(64 << 10));
    let cases = [
        ("nonsense\r\n\r\n".to_string(), 400),
        (format!("POST /unheard/1 HTTP/1.1\r\n{ok}Content-Length: 0\r\n\r\n"), 404),
        (format!("GET / HTTP/1.1\r\n{ok}\r\n"), 404),
        (format!("GET /correct/1 HTTP/1.1\r\n{ok}\r\n"), 400),
        (format!("POST /submit/1 HTTP/1.1\r\n{ok}Content-Length: 0\r\n\r\n"), 400),
        ("POST /correct/1 HTTP/1.1\r\nHost: b\r\nX-Account: acme\r\nContent-Length: 0\r\n\r\n".to_string(), 400),
        ("POST /correct/1 HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: 1\r\nX-Account: nobody\r\nContent-Length: 0\r\n\r\n".to_string(), 400),
        (format!("POST /correct/1 HTTP/1.1\r\n{ok}X-Time-Left: soon\r\nContent-Length: 0\r\n\r\n"), 400),
        (format!("POST /correct/1 HTTP/1.1\r\n{ok}X-Time-Left: NaN\r\nContent-Length: 0\r\n\r\n"), 400),
        (format!("POST /correct/1 HTTP/1.1\r\n{ok}X-Time-Left: inf\r\nContent-Length: 0\r\n\r\n"), 400),
        (format!("POST /correct/1 HTTP/1.1\r\n{ok}Content-Length: -4\r\n\r\n"), 400),
        (format!("POST /correct/1 HTTP/1.1\r\n{ok}Content-Length: +4\r\n\r\nbody"), 400),
        (format!("POST /correct/1 HTTP/1.1\r\n{ok}Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody"), 400),
        (format!("POST /correct/1 HTTP/1.1\r\n{ok}Content-Length: 62914560\r\n\r\nx"), 413),
        (format!("POST /correct/1 HTTP/1.1\r\n{ok}Content-Length: 99999999999999999999\r\n\r\n"), 400),
        (format!("GET /look/1 HTTP/1.1\r\n{ok}Content-Length: 4\r\n\r\nbody"), 400),
        (format!("POST /correct/1 HTTP/1.1\r\n{ok}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 400),
        (format!("POST /correct/1 HTTP/1.1\r\n{ok}Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n"), 400),
        (format!("POST /correct/1 HTTP/1.1\r\n{ok}Content-Length: 9\r\n\r\nhalf"), 408),
        (large, 413),
        (long_head, 431),
    ];
    for (text, status) in cases {
        let mut client = node.client();
        // The node may respond and close before all is written.
        let _ = std::io::Write::write_all(&mut client.stream, text.as_bytes());
        assert_eq!(client.read().status(), status, "{}", text.lines().next().unwrap_or_default());
    }
    assert!(backend.is_untouched());
}

#[test]
fn a_node_with_an_invalid_configuration_logs_one_line_and_exits() {
    let discovery = SocketAddr::from(([127, 0, 0, 1], 9));
    let good = || config(discovery, &list(1, true, &[]), |_| {});
    let field = |change: fn(&mut serde_json::Value)| config(discovery, &list(1, true, &[]), change);
    let cases = [
        ("{".to_string(), "EOF"),
        (good() + "x", "trailing"),
        (field(|c| c["listen"] = "here".into()), "listen"),
        (field(|c| c["limits"]["sockets"] = "many".into()), "limits.sockets"),
        (field(|c| c["limits"]["sockets"] = 5.into()), "limits.sockets"),
        (field(|c| c["seed"] = "xyz".into()), "seed"),
        (field(|c| drop(c.as_object_mut().map(|c| c.remove("discovery")))), "discovery"),
        (field(|c| c["settings"]["Classes"][1]["Target"] = "soon".into()), "Classes[1].Target"),
        (field(|c| c["settings"]["RegistryMode"] = "shout".into()), "RegistryMode"),
        (field(|c| c["known"] = 5.into()), "known"),
    ];
    for (text, named) in cases {
        let (status, lines) = fails_to_start(&text);
        assert!(!status.success(), "{named}");
        assert_eq!(lines.len(), 1, "{named}: {lines:?}");
        assert!(lines[0].contains(named) && lines[0].contains(".json"), "{named}: {lines:?}");
    }
}

#[test]
fn after_sigterm_the_node_exits_once_all_accepted_requests_have_responses() {
    let backend = Listener::new();
    let (mut node, _discovery) = node_with(&[&backend]);
    let (mut busy, mut idle) = (node.client(), node.client());
    idle.request("correct", "", "x");
    let mut peer = backend.next_request(&mut Vec::new());
    peer.answer("200 OK", "", "done");
    assert_eq!(idle.read().header("connection"), None);
    busy.request("correct", "", "x");
    peer.read();
    node.terminate();
    node.logged("shutting down");
    // It still accepts connections, ...
    let mut late = node.client();
    late.request("correct", "", "x");
    let mut second = backend.next_request(&mut Vec::new());
    second.answer("200 OK", "", "late");
    let answer = late.read();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    late.expect_end();
    // ... closes idle ones, and responds to the requests in progress.
    idle.expect_end();
    assert!(node.is_running());
    peer.answer("200 OK", "", "in the end");
    let answer = busy.read();
    assert_eq!((&answer.body[..], answer.header("connection")), (&b"in the end"[..], Some("close")));
    busy.expect_end();
    assert!(node.wait().success());
}

#[test]
fn idle_connections_leave_room_for_other_clients() {
    let backend = Listener::new();
    let discovery = Listener::new();
    let known = list(1, true, &[("s-1", backend.address(), "east", "in_service")]);
    let node = Node::start(&config(discovery.address(), &known, |c| c["limits"]["sockets"] = 96.into()));
    // More connections than the node has descriptors, without a request.
    let crowd: Vec<Peer> = (0..150).map(|_| node.client()).collect();
    let mut client = node.client();
    serve_on_new_connection(&backend, &mut client);
    drop(crowd);
}

/// If clients held more than a third of the descriptors, further connections would be rejected before the
/// node accepts them.
#[test]
fn idle_connections_are_closed_before_they_hold_more_than_a_third_of_the_descriptors() {
    let discovery = Listener::new();
    let change = |c: &mut serde_json::Value| c["limits"]["sockets"] = 192.into();
    let node = Node::start(&config(discovery.address(), &list(1, true, &[]), change));
    let mut crowd: Vec<Peer> = Vec::new();
    for _ in 0..100 {
        let mut client = node.client();
        is_ready(&mut client);
        crowd.push(client);
    }
    crowd[..100 - 192 / 3].iter_mut().for_each(Peer::expect_end);
}

/// Requests `/ready` until the node is ready.
fn wait_until_ready(client: &mut Peer) {
    let started = std::time::Instant::now();
    while !is_ready(client) {
        assert!(started.elapsed() < PEER_TIMEOUT, "never ready");
    }
}

fn is_ready(client: &mut Peer) -> bool {
    client.write("GET /ready HTTP/1.1\r\nHost: n\r\n\r\n");
    client.read().status() == 200
}

#[test]
fn the_node_is_ready_once_a_backend_is_known() {
    let discovery = Listener::new();
    let node = Node::start(&config(discovery.address(), &list(0, true, &[]), |_| {}));
    let mut client = node.client();
    assert!(!is_ready(&mut client));
    let mut watch = begin_watch(&discovery, 0);
    watch.line(&list(1, true, &[("s-1", discovery.address(), "east", "in_service")]));
    wait_until_ready(&mut client);
}

/// The list in the configuration may be old, but while discovery is silent there is no better one.
#[test]
fn a_node_is_ready_with_the_list_of_its_configuration_while_discovery_is_silent() {
    let backend = Listener::new();
    let (node, discovery) = node_with(&[&backend]);
    let _silent = discovery.accept();
    wait_until_ready(&mut node.client());
}

#[test]
fn an_older_list_does_not_affect_connections() {
    let backend = Listener::new();
    let (node, discovery) = node_with(&[&backend]);
    let mut watch = begin_watch(&discovery, 41);
    watch.line(&list(40, true, &[]));
    node.logged("older than");
    let mut client = node.client();
    serve_on_new_connection(&backend, &mut client);
}

/// At a reload the file overrides `ROUTER_DISCOVERY`. The other discovery has generations of its own.
#[test]
fn a_reload_moves_the_watch_to_the_discovery_in_the_file() {
    let (old, new) = (Listener::new(), Listener::new());
    let (before, after) = (Listener::new(), Listener::new());
    let config_of = |discovery: &Listener| {
        config(discovery.address(), &list(41, true, &[("s-1", old.address(), "east", "in_service")]), |_| {})
    };
    let mut node = Node::start_with(&config_of(&before), Some(before.address()));
    let mut first = begin_watch(&before, 41);
    first.line("");
    let mut client = node.client();
    let mut peer = serve_on_new_connection(&old, &mut client);
    node.reload(&config_of(&after));
    let mut watch = begin_watch(&after, 0);
    // The old watch applies until the first list of the new one arrives.
    first.line(&list(42, false, &[("s-1", old.address(), "east", "terminating")]));
    peer.expect_end();
    watch.line(&list(7, true, &[("s-2", new.address(), "east", "in_service")]));
    first.expect_end();
    let mut peer = serve_on_new_connection(&new, &mut client);
    watch.line(&list(8, false, &[("s-2", new.address(), "east", "terminating")]));
    peer.expect_end();
    drop(watch);
    // A later watch starts from a generation of the new discovery.
    begin_watch(&after, 8);
    assert!(node.is_running());
}

#[test]
fn a_reload_of_an_invalid_file_changes_nothing() {
    let backend = Listener::new();
    let (mut node, discovery) = node_with(&[&backend]);
    let mut watch = begin_watch(&discovery, 41);
    for (bad, named) in [("{", "EOF"), (r#"{"name":"n0"}"#, "listen")] {
        node.reload(bad);
        let line = node.logged("the previous configuration stays active");
        assert!(line.contains(named) && line.contains(".json"), "{line}");
    }
    watch.line(&list(42, false, &[("s-1", backend.address(), "east", "in_service")]));
    let mut client = node.client();
    serve_on_new_connection(&backend, &mut client);
    assert!(node.is_running() && discovery.is_untouched());
}

#[test]
fn a_client_without_a_complete_head_is_disconnected() {
    let backend = Listener::new();
    let (node, _discovery) = node_with(&[&backend]);
    let mut good = node.client();
    let mut peer = serve_on_new_connection(&backend, &mut good);
    let (mut silent, mut half) = (node.client(), node.client());
    half.write("POST /correct/1 HTTP/1.1\r\nHost: b\r\n");
    silent.expect_end();
    half.expect_end();
    // A connection that has had a request may be idle for longer.
    serve_on(&mut peer, &mut good);
}

#[test]
fn the_id_of_a_request_in_progress_is_rejected() {
    let backend = Listener::new();
    let (node, _discovery) = node_with(&[&backend]);
    let (mut first, mut second) = (node.client(), node.client());
    first.request("correct", "X-Correlation-Id: 9b1f\r\n", "x");
    let mut peer = backend.next_request(&mut Vec::new());
    second.request("correct", "X-Correlation-Id: 9b1f\r\n", "x");
    assert_eq!(second.read().status(), 409);
    peer.answer("200 OK", "", "done");
    assert_eq!(first.read().body, b"done");
    // After the response the id is free.
    first.request("correct", "X-Correlation-Id: 9b1f\r\n", "x");
    peer.read();
    peer.answer("200 OK", "", "again");
    assert_eq!(first.read().body, b"again");
    assert!(backend.is_untouched());
}

#[test]
fn the_time_limit_of_the_class_bounds_that_of_the_client() {
    let (backend, discovery) = (Listener::new(), Listener::new());
    let known = list(1, true, &[("s-1", backend.address(), "east", "in_service")]);
    let change = |c: &mut serde_json::Value| c["settings"]["Classes"][2]["GiveUp"] = 300.0.into();
    let node = Node::start(&config(discovery.address(), &known, change));
    let mut client = node.client();
    client.request("correct", "X-Time-Left: 90000\r\n", "x");
    let mut peer = backend.accept();
    let request = peer.read();
    let left: f64 = request.header("x-time-left").and_then(|t| t.parse().ok()).expect("the time left");
    assert!(left <= 0.3, "{left}");
    assert_eq!(client.read().status(), 504);
}

/// The memory limit allows the bodies and responses of four requests; a fifth is rejected before it is sent
/// to a backend.
#[test]
fn a_request_beyond_the_memory_limit_is_rejected() {
    let (one, other, discovery) = (Listener::new(), Listener::new(), Listener::new());
    let backends = [&one, &other].map(|b| b.address());
    let known = list(
        1,
        true,
        &[("s-1", backends[0], "east", "in_service"), ("s-2", backends[1], "east", "in_service")],
    );
    let change = |c: &mut serde_json::Value| c["limits"]["memory_mb"] = 1.into();
    let node = Node::start(&config(discovery.address(), &known, change));
    let body = "x".repeat(64 << 10);
    let mut in_progress = Vec::new();
    for _ in 0..4 {
        let mut client = node.client();
        client.request("correct", "", &body);
        let (_, mut peer) = Listener::accept_any(&[&one, &other]);
        assert_eq!(peer.read().body.len(), body.len());
        in_progress.push((client, peer));
    }
    let mut client = node.client();
    client.request("correct", "", &body);
    let answer = client.read();
    assert_eq!((answer.status(), answer.header("retry-after")), (503, Some("1.5")));
    assert!(one.is_untouched() && other.is_untouched());
}
