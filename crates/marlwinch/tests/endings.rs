//! The node's ends: what is still owed at each instant between SIGTERM and the last close, and what comes on connections
//! just then.

mod peers;

use peers::{Listener, Node, PEER_TIMEOUT, Peer, config, list};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A node with these backends, whose requests may take far longer than it has to end.
fn node_with(backends: &[SocketAddr]) -> (Node, Listener) {
    let names = ["s-1", "s-2"];
    let lines: Vec<_> =
        backends.iter().zip(names).map(|(at, name)| (name, *at, "east", "in_service")).collect();
    let discovery = Listener::new();
    let node = Node::start(&config(discovery.address(), &list(41, true, &lines), |_| {}));
    (node, discovery)
}

/// Backends hang throughout the end, and deadlines are longer than the time to SIGKILL, which comes 3.7 s after SIGTERM: all
/// has its answer before, whatever it waits for, and refusals are said only where nothing may have run.
#[test]
fn all_is_answered_before_the_kill_though_backends_hang_and_deadlines_are_long() {
    // One backend, which hangs; one request is out there.
    let backend = Listener::new();
    let (mut node, _discovery) = node_with(&[backend.address()]);
    let mut out = node.client();
    out.request("correct", "", "x");
    let _peer = backend.next_request(&mut Vec::new());
    // None at all: it waits for one.
    let (mut other, _other_discovery) = node_with(&[]);
    let mut waits = other.client();
    waits.request("correct", "", "x");
    let mut fence = other.client();
    fence.request("nothing", "", "");
    assert_eq!(fence.read().status(), 404);

    node.terminate();
    other.terminate();
    let begun = Instant::now();
    let answer = out.read();
    assert_eq!((answer.status(), answer.header("retry-after")), (504, None));
    let answer = waits.read();
    assert_eq!((answer.status(), answer.header("retry-after")), (503, Some("1.5")));
    assert!(begun.elapsed() < Duration::from_secs(10), "their deadline is 20 s: {:?}", begun.elapsed());
    assert!(node.wait().success() && other.wait().success());
}

/// What has come on a connection that is about to be closed between requests is answered, at whichever moment it came, and
/// as the last there: requests are sent at offsets around the moment at which the node lets go of idle connections.
#[test]
fn a_request_that_crosses_the_close_of_its_connection_is_answered_or_was_never_read() {
    let backend = Listener::new();
    let (mut node, _discovery) = node_with(&[backend.address()]);
    let mut clients: Vec<Peer> = (0..40).map(|_| node.client()).collect();
    // Each has asked once, so that its connection is a kept one.
    for client in &mut clients {
        client.request("nothing", "Connection: keep-alive\r\n", "");
        assert_eq!(client.read().status(), 404);
    }
    drop(clients);
    let mut clients = Vec::new();
    let mut at_backend: Option<Peer> = None;
    for _ in 0..40 {
        // Opened one by one: a connection without a request for 2.5 s is closed.
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
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_millis(2500) {
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
    let begun = Instant::now();
    for (i, mut client) in clients.into_iter().enumerate() {
        // Every 25 ms up to 1 s.
        let at = Duration::from_millis(25 * i as u64);
        std::thread::sleep(at.saturating_sub(begun.elapsed()));
        match client.try_request("look") {
            Some(answer) => {
                assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
                answered += 1;
            }
            None => closed += 1,
        }
    }
    println!("{answered} answered, {closed} closed before they asked");
    assert!(answered > 0, "those of the first moments are answered");
    assert!(node.wait().success());
    assert!(begun.elapsed() < PEER_TIMEOUT);
    backend_thread.join().expect("the box");
}

/// An answer is on its way to a client that reads slowly and has sent more than the node reads: it comes whole although
/// the node closes behind it.
#[test]
fn a_slow_reader_gets_its_last_answer_whole_with_bytes_of_its_own_unread() {
    let backend = Listener::new();
    let (mut node, _discovery) = node_with(&[backend.address()]);
    let mut client = node.client();
    socket2::SockRef::from(&client.stream).set_recv_buffer_size(4096).expect("a socket");
    client.request("look", "Connection: close\r\n", "");
    let mut peer = backend.next_request(&mut Vec::new());
    // More than the node reads for itself: what its system holds unread at the close would break the connection.
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
            Err(e) => panic!("it breaks off after {} bytes: {e}", all.len()),
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    assert!(all.ends_with(b"y") && all.len() > body.len());
    assert!(node.wait().success());
}

/// A second SIGTERM and a SIGHUP during the end change nothing of what is owed.
#[test]
fn further_signals_during_the_end_lose_nothing() {
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

/// A body of which half has come at SIGTERM: the rest is still read, and the request answered, as the last there.
#[test]
fn a_body_half_read_at_the_end_is_read_and_its_request_answered() {
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
