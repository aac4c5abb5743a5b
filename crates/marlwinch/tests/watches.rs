//! Watches of discovery: silent ones, discovery that is down and comes back, lists in unusual forms, and
//! backends that drain, restart or move between the selection of a backend and the first byte to it.

mod peers;

use peers::{Listener, Node, PEER_TIMEOUT, Peer, config, list};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn node_with(backend: SocketAddr, change: impl FnOnce(&mut Value)) -> (Node, Listener) {
    let discovery = Listener::new();
    let known = list(41, true, &[("s-1", backend, "east", "in_service")]);
    (Node::start(&config(discovery.address(), &known, change)), discovery)
}

/// Accepts the node's next watch, which must ask for changes after this generation.
fn next_watch(discovery: &Listener, from: u32) -> Peer {
    let mut watch = discovery.accept();
    assert_eq!(watch.read().first, format!("GET /v1/endpoints?watch=1&from={from} HTTP/1.1"));
    watch
}

/// Sends an unsafe request that this backend must receive, on a new connection, and serve.
fn serve_on_new_connection(node: &Node, backend: &Listener) -> Peer {
    let mut client = node.client();
    client.request("correct", "", "x");
    let mut peer = backend.next_request(&mut Vec::new());
    peer.answer("200 OK", "", "done");
    assert_eq!(client.read().status(), 200);
    peer
}

/// A drain counts as notified at the latest 6 s after its watch fell silent, so a silent watch must be
/// replaced within that time, also if its replacement falls silent after its head.
#[test]
fn a_silent_watch_and_its_silent_replacement_are_replaced_in_time() {
    let backend = Listener::new();
    let (_node, discovery) = node_with(backend.address(), |_| {});
    let mut first = next_watch(&discovery, 41);
    first.begin_watch();
    first.line("");
    let silent_since = Instant::now();
    let mut second = next_watch(&discovery, 41);
    second.begin_watch();
    let mut third = next_watch(&discovery, 41);
    assert!(silent_since.elapsed() < Duration::from_secs(7), "after {:?}", silent_since.elapsed());
    third.begin_watch();
}

/// While discovery is down it accepts watches and sends nothing on them, also after its return. So the node
/// must open a new watch within the grace period for drains, as lists that discovery has at its return take
/// effect at once.
#[test]
fn discovery_is_asked_again_within_the_drain_grace_after_its_return() {
    let (old, new) = (Listener::new(), Listener::new());
    let (node, discovery) = node_with(old.address(), |c| c["settings"]["Rules"]["DrainGrace"] = 300.0.into());
    let mut idle = serve_on_new_connection(&node, &old);
    let started = Instant::now();
    let mut down = Vec::new();
    while started.elapsed() < Duration::from_millis(700) {
        down.extend(discovery.try_accept());
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(!down.is_empty());
    let back = Instant::now();
    let mut watch = next_watch(&discovery, 41);
    assert!(back.elapsed() < Duration::from_secs(2), "after {:?}", back.elapsed());
    watch.begin_watch();
    let lines = [("s-1", old.address(), "east", "terminating"), ("s-2", new.address(), "east", "in_service")];
    watch.line(&list(42, false, &lines));
    idle.expect_end();
    serve_on_new_connection(&node, &new);
    assert!(old.is_untouched());
}

#[test]
fn an_indented_list_behind_a_truncated_one_is_applied() {
    let (old, new) = (Listener::new(), Listener::new());
    let (node, discovery) = node_with(old.address(), |_| {});
    let mut watch = next_watch(&discovery, 41);
    watch.begin_watch();
    let pretty = |text: &str| {
        let value: Value = serde_json::from_str(text).expect("a list");
        serde_json::to_string_pretty(&value).expect("a text")
    };
    let one = list(42, true, &[("s-1", old.address(), "east", "in_service")]);
    watch.line(&pretty(&one)[..40]);
    watch.line(&list(43, true, &[("s-2", old.address(), "east", "in_service")]));
    let two = list(44, true, &[("s-3", new.address(), "east", "in_service")]);
    for line in pretty(&two).lines() {
        watch.line(line);
    }
    // A new watch starts from the generation that the node has applied.
    drop(watch);
    next_watch(&discovery, 44);
    serve_on_new_connection(&node, &new);
    assert!(old.is_untouched());
}

/// The drain arrives while the connection for a request to this backend is being established.
#[test]
fn nothing_is_written_to_a_backend_whose_drain_was_notified_during_the_connect() {
    let ((old, full), new) = (Listener::full(), Listener::new());
    let (node, discovery) =
        node_with(old.address(), |c| c["settings"]["Permissions"]["ConnectTimeout"] = 20_000.0.into());
    let mut watch = next_watch(&discovery, 41);
    watch.begin_watch();
    watch.line("");
    let mut client = node.client();
    client.request("correct", "", "x");
    let mut other = node.client();
    other.request("nothing", "", "");
    assert_eq!(other.read().status(), 404);
    watch.line(&list(
        42,
        false,
        &[("s-1", old.address(), "east", "terminating"), ("s-2", new.address(), "east", "in_service")],
    ));
    serve_on_new_connection(&node, &new);
    // Once the backlog has room, the kernel retries the connect.
    full.into_iter().for_each(|_| drop(old.accept()));
    let mut peers = vec![old.accept()];
    let started = Instant::now();
    let mut at_new: Vec<Peer> = Vec::new();
    loop {
        peers.extend(old.try_accept());
        assert!(!peers.iter().any(Peer::has_more), "a request is written to a draining backend");
        at_new.extend(new.try_accept());
        if let Some(peer) = at_new.iter_mut().find(|peer| peer.has_more()) {
            peer.read();
            peer.answer("200 OK", "", "done");
            break;
        }
        assert!(started.elapsed() < PEER_TIMEOUT, "no request arrives");
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(client.read().status(), 200);
}

/// A backend that restarted with its id and address is another process, so old connections to it are useless.
#[test]
fn a_restarted_backend_gets_new_connections() {
    let backend = Listener::new();
    let (node, discovery) = node_with(backend.address(), |_| {});
    let mut watch = next_watch(&discovery, 41);
    watch.begin_watch();
    let mut idle = serve_on_new_connection(&node, &backend);
    let line = list(42, false, &[("s-1", backend.address(), "east", "in_service")]);
    watch.line(&line.replace("\"startedAtMs\":0", "\"startedAtMs\":1700000000250"));
    idle.expect_end();
    serve_on_new_connection(&node, &backend);
}

/// A reload names a discovery that is down, and a second reload another one: the node keeps its list
/// meanwhile and uses the last discovery, whatever its generations are.
#[test]
fn two_changes_of_discovery_of_which_the_first_is_down_end_at_the_last() {
    let (old, new) = (Listener::new(), Listener::new());
    let (node, discovery) = node_with(old.address(), |_| {});
    let mut watch = next_watch(&discovery, 41);
    watch.begin_watch();
    watch.line(&list(57, true, &[("s-1", old.address(), "east", "in_service")]));
    let known = list(41, true, &[("s-1", old.address(), "east", "in_service")]);
    let nowhere = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    nowhere.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    let address = nowhere.local_addr().ok().and_then(|address| address.as_socket()).expect("an address");
    node.reload(&config(address, &known, |_| {}));
    node.logged("discovery is at");
    let last = Listener::new();
    node.reload(&config(last.address(), &known, |_| {}));
    let mut moved = next_watch(&last, 0);
    // The previous list applies until the first list of the new discovery arrives.
    drop(serve_on_new_connection(&node, &old));
    moved.begin_watch();
    moved.line(&list(3, true, &[("s-2", new.address(), "east", "in_service")]));
    watch.expect_end();
    serve_on_new_connection(&node, &new);
}

/// A class with a short target does not shorten the time of other classes: a response may pause for longer
/// than a quarter of the shortest target of all classes.
#[test]
fn a_class_with_a_short_target_does_not_shorten_the_time_of_others() {
    let backend = Listener::new();
    let (node, _discovery) = node_with(backend.address(), |c| {
        c["settings"]["Classes"][0]["Target"] = 40.0.into();
        c["settings"]["Classes"][0]["GiveUp"] = 100.0.into();
    });
    let mut client = node.client();
    client.request("correct", "", "x");
    let mut peer = backend.next_request(&mut Vec::new());
    peer.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo");
    std::thread::sleep(Duration::from_millis(300));
    peer.write("ne");
    let answer = client.read();
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"done"[..]));
}

/// Discovery ends each watch right after its head.
#[test]
fn watches_that_end_at_once_are_reopened_with_back_off() {
    let backend = Listener::new();
    let (_node, discovery) = node_with(backend.address(), |_| {});
    let (started, mut calls) = (Instant::now(), 0u32);
    while started.elapsed() < Duration::from_secs(2) {
        if let Some(mut watch) = discovery.try_accept() {
            if watch.try_read().is_some() {
                watch.begin_watch();
                watch.line("");
            }
            calls += 1;
        }
        std::thread::sleep(Duration::from_micros(200));
    }
    // After 0.1, 0.2, 0.4 ... s.
    assert!((2..=6).contains(&calls), "{calls} watches within 2 s");
}

/// A list without end exceeds the size limit: its watch is closed, and the current list stays.
#[test]
fn a_list_beyond_the_size_limit_closes_its_watch_and_changes_nothing() {
    let backend = Listener::new();
    let (node, discovery) = node_with(backend.address(), |_| {});
    let mut watch = next_watch(&discovery, 41);
    watch.begin_watch();
    let piece = format!("{:x}\r\n{}\r\n", 1 << 16, " ".repeat(1 << 16));
    watch.write("20\r\n{\"generation\":99,\"reset\":true, \r\n");
    // More than the limit; the node may close before all of it is written.
    for _ in 0..48 {
        if std::io::Write::write_all(&mut watch.stream, piece.as_bytes()).is_err() {
            break;
        }
    }
    next_watch(&discovery, 41);
    serve_on_new_connection(&node, &backend);
}
