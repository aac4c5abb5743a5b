//! Retries of keyed requests that may have been executed. Backends drop repeats by their key, but only within
//! a group of backends and within a time window.

mod peers;

use peers::{Listener, Node, PEER_TIMEOUT, Peer, config, list, node_at};
use std::time::{Duration, Instant};

/// A backend closes its connection after it has received a whole request. The connection to the only other
/// backend is established after the time window of the key: the request must not be written there, and the
/// client must have its response before.
#[test]
fn a_retry_is_not_written_to_a_connection_established_after_the_window() {
    let (first, (second, full)) = (Listener::new(), Listener::full());
    let discovery = Listener::new();
    let known = list(41, true, &[("s-1", first.address(), "east", "in_service")]);
    let node = Node::start(&config(discovery.address(), &known, |c| {
        c["settings"]["Classes"][1]["Window"] = 500.0.into();
    }));
    let mut watch = discovery.open_watch();
    let mut client = node.client();
    client.request("submit", "", "x");
    let mut peer = first.next_request(&mut Vec::new());
    peer.answer("200 OK", "", "done");
    assert_eq!(client.read().status(), 200);
    let both =
        [("s-1", first.address(), "east", "in_service"), ("s-2", second.address(), "east", "in_service")];
    client.request("submit", "", "x");
    let peer = first.next_request(&mut vec![peer]);
    watch.line(&list(42, false, &both));
    // The node has applied the list once it asks for later changes.
    drop(watch);
    let mut watch = discovery.accept();
    assert!(watch.read().first.contains("from=42 "));
    drop(peer);
    // The window is over, and the connections are established.
    std::thread::sleep(Duration::from_millis(600));
    full.into_iter().for_each(|_| drop(second.accept()));
    let (started, mut peers) = (Instant::now(), Vec::new());
    while !client.has_more() {
        peers.extend(second.try_accept());
        assert!(!peers.iter().any(Peer::has_more), "the retry is written after its window");
        assert!(started.elapsed() < PEER_TIMEOUT, "the request has no response");
        std::thread::sleep(Duration::from_millis(1));
    }
    let answer = client.read();
    assert_eq!((answer.status(), answer.header("retry-after")), (502, None), "it may have run");

    // The first request at the other backend is one of another client.
    watch.begin_watch();
    watch.line(&list(43, false, &[("s-1", first.address(), "east", "terminating")]));
    let mut other = node.client();
    other.request("look", "", "");
    let (request, mut peer) = second.next_message(&mut peers);
    assert_eq!(request.first, "GET /look/7f3a?x=1 HTTP/1.1");
    peer.answer("200 OK", "", "done");
    assert_eq!(other.read().status(), 200);
}

#[test]
fn a_keyed_request_that_may_have_run_is_retried_only_within_its_zone() {
    for zone in ["east", "west"] {
        let (one, other) = (Listener::new(), Listener::new());
        let (node, _discovery) = node_at(&[one.address(), other.address()], zone);
        let mut client = node.client();
        client.request("submit", "", "x");
        let (first, mut peer) = Listener::accept_any(&[&one, &other]);
        peer.read();
        drop(peer);
        if zone == "east" {
            let mut peer = [&one, &other][1 - first].accept();
            assert_eq!(peer.read().header("idempotency-key"), Some("5c0f"));
            peer.answer("200 OK", "", "once");
            assert_eq!(client.read().body, b"once");
        } else {
            assert_eq!(client.read().status(), 502);
            assert!([&one, &other][1 - first].is_untouched());
        }
    }
}
