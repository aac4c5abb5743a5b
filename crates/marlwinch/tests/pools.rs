//! The node's connections to backends: which are reused, and what happens with unexpected bytes on them.

mod peers;

use peers::{Listener, Node, begin_watch, config, list, node_with, serve_on, serve_on_new_connection};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A response that stalls fails long before the client's time limit.
#[test]
fn a_stalled_response_is_aborted() {
    for part in ["HTTP/1.1 200 OK\r\nContent-", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"] {
        let (backend, discovery) = (Listener::new(), Listener::new());
        let known = list(1, true, &[("s-1", backend.address(), "east", "in_service")]);
        let change =
            |c: &mut serde_json::Value| c["settings"]["Permissions"]["ConnectTimeout"] = 300.0.into();
        let node = Node::start(&config(discovery.address(), &known, change));
        let mut client = node.client();
        client.request("correct", "", "x");
        let mut peer = backend.next_request(&mut Vec::new());
        peer.write(part);
        // 504 would mean that the time limit was reached.
        assert_eq!(client.read().status(), 502);
        peer.expect_end();
    }
}

#[test]
fn a_response_after_interim_responses_is_served() {
    let backend = Listener::new();
    let (node, _discovery) = node_with(&[&backend]);
    let mut client = node.client();
    client.request("correct", "", "x");
    let mut peer = backend.next_request(&mut Vec::new());
    peer.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
    peer.answer("200 OK", "", "done");
    assert_eq!(client.read().body, b"done");
    serve_on(&mut peer, &mut client);
}

/// Bytes behind a response must not be taken for the next response.
#[test]
fn a_connection_with_bytes_behind_its_response_is_not_reused() {
    for behind in ["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", "\u{0}\u{1}noise"] {
        let backend = Listener::new();
        let (node, _discovery) = node_with(&[&backend]);
        let mut client = node.client();
        for apart in [false, true, false, true] {
            client.request("correct", "", "x");
            let mut peer = backend.next_request(&mut Vec::new());
            let answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
            if apart {
                peer.write(answer);
                peer.write(behind);
            } else {
                peer.write([answer, behind].concat());
            }
            assert_eq!(client.read().body, b"done");
            peer.expect_end();
        }
    }
}

/// After a backend has sent a second response some milliseconds late, the node waits that long before it
/// reuses a connection to it: the second response would be taken for that of the next request.
#[test]
fn a_late_second_response_is_not_taken_for_that_of_the_next_request() {
    const LATE: Duration = Duration::from_millis(10);
    let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let backend = Listener::new();
    let (node, _discovery) = node_with(&[&backend]);
    let mut client = node.client();
    client.request("correct", "", "x");
    let mut peer = backend.next_request(&mut Vec::new());
    peer.write(answer("first"));
    assert_eq!(client.read().body, b"first");
    // There is no request meanwhile, so the node sees that the response is unsolicited.
    std::thread::sleep(LATE);
    peer.write(answer("stray"));
    peer.expect_end();
    // From now on the next request follows at once. A round in which this test itself was late is not
    // counted.
    let mut counted = 0;
    for _ in 0..100 {
        client.request("correct", "", "x");
        let mut peer = backend.next_request(&mut Vec::new());
        let at = Instant::now();
        peer.write(answer("second"));
        assert_eq!(client.read().body, b"second");
        client.request("correct", "", "x");
        while at.elapsed() < LATE && !peer.has_more() {
            std::thread::sleep(Duration::from_micros(200));
        }
        if at.elapsed() < LATE + Duration::from_millis(3) {
            counted += 1;
            peer.write(answer("stray"));
            // The next request must arrive on another connection; otherwise the stray response was taken for
            // its response.
            let mut other = backend.next_request(&mut Vec::new());
            other.write(answer("third"));
            assert_eq!(client.read().body, b"third");
        } else {
            let mut peer = backend.next_request(&mut vec![peer]);
            peer.write(answer("third"));
            assert_eq!(client.read().body, b"third");
        }
        if counted == 3 {
            return;
        }
    }
    panic!("this machine is too slow for this test: {counted} rounds");
}

#[test]
fn a_connection_that_the_backend_closed_while_idle_is_not_written_to() {
    let backend = Listener::new();
    let (node, _discovery) = node_with(&[&backend]);
    let mut client = node.client();
    for _ in 0..5 {
        client.request("correct", "", "x");
        let mut peer = backend.next_request(&mut Vec::new());
        peer.answer("200 OK", "", "done");
        // The connection has ended before the client gets the response.
        drop(peer);
        assert_eq!(client.read().status(), 200);
    }
}

/// If a request were written to a connection that the backend is about to close, it would be unknown whether
/// it ran.
#[test]
fn an_idle_connection_is_closed_before_the_backend_would() {
    let (backend, discovery) = (Listener::new(), Listener::new());
    let known = list(1, true, &[("s-1", backend.address(), "east", "in_service")]);
    let change = |c: &mut serde_json::Value| c["settings"]["Permissions"]["IdleClose"] = 2000.0.into();
    let node = Node::start(&config(discovery.address(), &known, change));
    let mut client = node.client();
    let mut peer = serve_on_new_connection(&backend, &mut client);
    peer.expect_end();
}

/// A backend that moves keeps its id, and its new address is used at once.
#[test]
fn a_changed_address_of_a_backend_is_used_at_once() {
    let (old, new) = (Listener::new(), Listener::new());
    let (node, discovery) = node_with(&[&old]);
    let mut watch = begin_watch(&discovery, 41);
    let mut client = node.client();
    let mut peer = serve_on_new_connection(&old, &mut client);
    watch.line(&list(42, false, &[("s-1", new.address(), "east", "in_service")]));
    peer.expect_end();
    client.request("correct", "", "x");
    let mut peer = new.next_request(&mut Vec::new());
    peer.answer("200 OK", "", "moved");
    assert_eq!(client.read().body, b"moved");
}

/// A connect that may take all of the request's time would leave none for another attempt.
#[test]
fn a_backend_that_accepts_no_connection_is_given_up_in_time_for_another_attempt() {
    let silent = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    silent.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    silent.listen(0).expect("a backlog");
    let address = silent.local_addr().ok().and_then(|address| address.as_socket()).expect("an address");
    // Once its backlog is full, connects are not answered.
    let connect_timeout = std::time::Duration::from_millis(200);
    let full: Vec<_> =
        (0..8).map_while(|_| std::net::TcpStream::connect_timeout(&address, connect_timeout).ok()).collect();
    assert!(full.len() < 8, "its backlog is never full");

    let (backend, discovery) = (Listener::new(), Listener::new());
    let known = list(
        1,
        true,
        &[("s-1", address, "east", "in_service"), ("s-2", backend.address(), "east", "in_service")],
    );
    let change = |c: &mut serde_json::Value| {
        c["settings"]["Permissions"]["ConnectTimeout"] = 20000.0.into();
        c["settings"]["Classes"][2]["Target"] = 8000.0.into();
    };
    let node = Node::start(&config(discovery.address(), &known, change));
    let mut client = node.client();
    let mut peer = serve_on_new_connection(&backend, &mut client);
    for _ in 0..4 {
        serve_on(&mut peer, &mut client);
    }
}
