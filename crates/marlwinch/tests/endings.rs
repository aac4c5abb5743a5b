//! Shutdown of the node: every request has its response between SIGTERM and the last close, also requests
//! that arrive during that time.

mod peers;

use peers::{Listener, Node, PEER_TIMEOUT, Peer, config, list};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Starts a node with these backends. The time limits of requests are much longer than the time for a
/// shutdown.
fn node_with(backends: &[SocketAddr]) -> (Node, Listener) {
    let names = ["s-1", "s-2"];
    let lines: Vec<_> =
        backends.iter().zip(names).map(|(at, name)| (name, *at, "east", "in_service")).collect();
    let discovery = Listener::new();
    let node = Node::start(&config(discovery.address(), &list(41, true, &lines), |_| {}));
    (node, discovery)
}

/// SIGKILL follows 3.7 s after SIGTERM, while backends hang and time limits are longer than that. Every
/// request must have its response before, and a rejection only if it did not run.
#[test]
fn requests_have_responses_before_sigkill_though_backends_hang_and_time_limits_are_long() {
    // A request is at the only backend, which hangs.
    let backend = Listener::new();
    let (mut node, _discovery) = node_with(&[backend.address()]);
    let mut out = node.client();
    out.request("correct", "", "x");
    let _peer = backend.next_request(&mut Vec::new());
    // A request waits for a backend, as there is none.
    let (mut other, _other_discovery) = node_with(&[]);
    let mut waits = other.client();
    waits.request("correct", "", "x");
    let mut fence = other.client();
    fence.request("nothing", "", "");
    assert_eq!(fence.read().status(), 404);

    node.terminate();
    other.terminate();
    let started = Instant::now();
    let answer = out.read();
    assert_eq!((answer.status(), answer.header("retry-after")), (504, None));
    let answer = waits.read();
    assert_eq!((answer.status(), answer.header("retry-after")), (503, Some("1.5")));
    assert!(started.elapsed() < Duration::from_secs(10), "their deadline is 20 s: {:?}", started.elapsed());
    assert!(node.wait().success() && other.wait().success());
}

/// Requests are sent at offsets around the time when the node closes idle connections. Each must have a
/// response with `Connection: close`, or its connection was closed before the node read it.
#[test]
fn a_request_at_the_close_of_an_idle_connection_is_answered_or_was_not_read() {
    let backend = Listener::new();
    let (mut node, _discovery) = node_with(&[backend.address()]);
    let mut clients: Vec<Peer> = (0..40).map(|_| node.client()).collect();
    // Each sends a request first, so that its connection is a persistent one.
    for client in &mut clients {
        client.request("nothing", "Connection: keep-alive\r\n", "");
        assert_eq!(client.read().status(), 404);
    }
    drop(clients);
    let mut clients = Vec::new();
    let mut at_backend: Option<Peer> = None;
    for _ in 0..40 {
        // Opened one by one, as a connection without a request is closed after 2.5 s.
        let mut client = node.client();
        client.request("look", "", "");
        let peer = at_backend.get_or_insert_with(|| backend.accept());
        peer.read();
        peer.answer("200 OK", "", "first");
        assert_eq!(client.read().header("connection"), None);
        clients.push(client);
    }
    let backend_thread = std::thread::spawn(move || {
        let mut peers: Vec<Peer> = at_backend.into_iter().collect();
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(2500) {
            peers.extend(backend.try_accept());
            for peer in peers.iter_mut().filter(|peer| peer.has_more()) {
                if peer.try_read().is_some() {
                    peer.answer("200 OK", "", "second");
                }
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    });
    node.terminate();
    node.logged("shutting down");
    let (mut answered, mut closed) = (0, 0);
    let started = Instant::now();
    for (i, mut client) in clients.into_iter().enumerate() {
        // Every 25 ms up to 1 s.
        let at = Duration::from_millis(25 * i as u64);
        std::thread::sleep(at.saturating_sub(started.elapsed()));
        match client.try_request("look") {
            Some(answer) => {
                assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
                answered += 1;
            }
            None => closed += 1,
        }
    }
    println!("{answered} answered, {closed} closed before the request");
    assert!(answered > 0, "the first requests are answered");
    assert!(node.wait().success());
    assert!(started.elapsed() < PEER_TIMEOUT);
    backend_thread.join().expect("the backend");
}

/// A client reads slowly and has sent more than the node reads. Its last response must arrive complete
/// although the node closes the connection with unread bytes, which would cause a reset.
#[test]
fn a_slow_client_with_unread_bytes_gets_its_last_response_complete() {
    let backend = Listener::new();
    let (mut node, _discovery) = node_with(&[backend.address()]);
    let mut client = node.client();
    socket2::SockRef::from(&client.stream).set_recv_buffer_size(4096).expect("a socket");
    client.request("look", "Connection: close\r\n", "");
    let mut peer = backend.next_request(&mut Vec::new());
    // More than the node reads: unread bytes in the kernel at the close would reset the connection.
    client.write("x".repeat(200_000));
    let body = "y".repeat(60_000);
    peer.answer("200 OK", "", &body);
    node.terminate();
    node.logged("shutting down");
    let mut all = Vec::new();
    loop {
        let mut piece = [0; 4000];
        match std::io::Read::read(&mut client.stream, &mut piece) {
            Ok(0) => break,
            Ok(count) => all.extend_from_slice(&piece[..count]),
            Err(e) => panic!("it ends after {} bytes: {e}", all.len()),
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    assert!(all.ends_with(b"y") && all.len() > body.len());
    assert!(node.wait().success());
}

/// A second SIGTERM and a SIGHUP during the shutdown.
#[test]
fn further_signals_during_shutdown_lose_no_responses() {
    let backend = Listener::new();
    let discovery = Listener::new();
    let known = list(41, true, &[("s-1", backend.address(), "east", "in_service")]);
    let text = config(discovery.address(), &known, |_| {});
    let mut node = Node::start(&text);
    let mut client = node.client();
    client.request("correct", "", "x");
    let mut peer = backend.next_request(&mut Vec::new());
    node.terminate();
    node.logged("shutting down");
    node.terminate();
    let elsewhere = Listener::new();
    node.reload(&config(elsewhere.address(), &known, |_| {}));
    node.logged("configuration reload:");
    peer.answer("200 OK", "", "in the end");
    let answer = client.read();
    assert_eq!((&answer.body[..], answer.header("connection")), (&b"in the end"[..], Some("close")));
    drop(client);
    assert!(node.wait().success());
}

/// Half of the body has arrived at SIGTERM.
#[test]
fn a_body_that_is_half_read_at_sigterm_is_read_and_its_request_answered() {
    let backend = Listener::new();
    let (mut node, _discovery) = node_with(&[backend.address()]);
    let mut client = node.client();
    client.write(
        "POST /correct/7f HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: half\r\nX-Account: acme\r\n\
         Content-Length: 8\r\n\r\nhalf",
    );
    let mut fence = node.client();
    fence.request("nothing", "", "");
    assert_eq!(fence.read().status(), 404);
    node.terminate();
    node.logged("shutting down");
    client.write("half");
    let (request, mut peer) = backend.next_message(&mut Vec::new());
    assert_eq!(request.body, b"halfhalf");
    peer.answer("200 OK", "", "done");
    let answer = client.read();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    drop((client, fence));
    assert!(node.wait().success());
}
