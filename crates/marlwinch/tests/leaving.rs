//! Clients that disconnect while their request waits, at each point where a request can wait. 0.3 s later the
//! request must not be sent, however the client disconnected and whatever it had sent behind its request.

mod peers;
mod sockets;

use peers::{Listener, Node, PEER_TIMEOUT, Peer, config, list};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// The node must notice a disconnect within this time.
const DETECTION_TIME: Duration = Duration::from_millis(300);

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
    /// It closes its sending side and continues to read, which can't be distinguished from a close.
    ShutdownWrite,
}

const DISCONNECTS: [Disconnect; 3] = [Disconnect::Close, Disconnect::Reset, Disconnect::ShutdownWrite];

/// What a client has sent behind its request: a text and its number of repetitions.
const AHEAD: [(&str, usize); 4] =
    [("", 0), ("GET /look/7f", 1), ("POST /correct/a HTTP/1.1\r\nX: y\r\n", 1), ("x", 300_000)];

/// Sends a request that no backend must receive, and the bytes behind it.
fn ask(node: &Node, class: &str, ahead: (&str, usize)) -> Peer {
    let mut client = node.client();
    client.request(class, "X-Correlation-Id: left\r\n", "x");
    send_ahead(&mut client, ahead);
    client
}

fn send_ahead(client: &mut Peer, (ahead, times): (&str, usize)) {
    // As much as the kernel takes, as the node may not read it.
    client.stream.set_nonblocking(true).expect("a socket");
    let _ = std::io::Write::write(&mut client.stream, ahead.repeat(times).as_bytes());
    client.stream.set_nonblocking(false).expect("a socket");
}

/// Disconnects. The returned peer keeps the socket open if only the sending side was closed.
fn leave(client: Peer, how: Disconnect) -> Option<Peer> {
    match how {
        Disconnect::Close => None,
        Disconnect::Reset => {
            socket2::SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).expect("a socket");
            None
        }
        Disconnect::ShutdownWrite => {
            client.stream.shutdown(Shutdown::Write).expect("closed");
            Some(client)
        }
    }
}

/// Sends the request of a client that stays, behind that of a client that disconnects. Waiting requests are
/// sent in the order of their arrival, so this one would reach a backend second.
fn send_staying_request(node: &Node) -> Peer {
    let mut client = node.client();
    client.request("correct", "X-Correlation-Id: stays\r\n", "x");
    // The response to a later request shows that the node has read both.
    let mut other = node.client();
    other.request("nothing", "", "");
    assert_eq!(other.read().status(), 404);
    client
}

/// Asserts that the first request at a backend is that of the client that stays, on an open or a new
/// connection.
fn assert_first_is_staying(mut client: Peer, backend: &Listener, peers: &mut Vec<Peer>) {
    let started = Instant::now();
    loop {
        if let Some(peer) = backend.try_accept() {
            peers.push(peer);
        }
        if let Some(peer) = peers.iter_mut().find(|peer| peer.has_more()) {
            assert_eq!(peer.read().header("x-correlation-id"), Some("stays"));
            peer.answer("200 OK", "", "done");
            break;
        }
        assert!(started.elapsed() < PEER_TIMEOUT, "no request arrives");
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(client.read().status(), 200);
}

/// The request waits until a backend is listed.
#[test]
fn a_request_waiting_for_a_backend_is_not_sent_after_a_disconnect() {
    for how in DISCONNECTS {
        for ahead in AHEAD {
            let (backend, discovery) = (Listener::new(), Listener::new());
            let node = Node::start(&config(discovery.address(), &list(41, true, &[]), |_| {}));
            let mut watch = discovery.open_watch();
            let client = ask(&node, "correct", ahead);
            println!("{how:?} ahead {} x {}", ahead.0.len(), ahead.1);
            let stays = send_staying_request(&node);
            let rest = leave(client, how);
            std::thread::sleep(DETECTION_TIME);
            watch.line(&list(42, true, &[("s-1", backend.address(), "east", "in_service")]));
            assert_first_is_staying(stays, &backend, &mut Vec::new());
            drop(rest);
        }
    }
}

/// The request waits for the connection to its backend. This holds also if the settings forbid to cancel
/// attempts, as nothing has been sent.
#[test]
fn a_request_waiting_for_a_connection_is_not_sent_after_a_disconnect() {
    let cases = [
        (true, Disconnect::Close, AHEAD[0]),
        (false, Disconnect::Reset, AHEAD[1]),
        (false, Disconnect::ShutdownWrite, AHEAD[3]),
    ];
    for (cancel, how, ahead) in cases {
        let (backend, full) = Listener::full();
        let discovery = Listener::new();
        let known = list(1, true, &[("s-1", backend.address(), "east", "in_service")]);
        let node = Node::start(&config(discovery.address(), &known, |c| {
            c["settings"]["Permissions"]["ConnectTimeout"] = 20_000.0.into();
            c["settings"]["Permissions"]["Cancel"] = cancel.into();
        }));
        let client = ask(&node, "correct", ahead);
        let stays = send_staying_request(&node);
        let rest = leave(client, how);
        std::thread::sleep(DETECTION_TIME);
        // Once the backlog has room, the kernel retries the connect, after a second.
        let mut peers = Vec::new();
        full.into_iter().for_each(|_| drop(backend.accept()));
        assert_first_is_staying(stays, &backend, &mut peers);
        // A connection that must not be cancelled is established nevertheless, and serves the next request.
        assert_first_is_staying(send_staying_request(&node), &backend, &mut peers);
        drop(rest);
    }
}

/// The request is at a backend, whose connection must be closed.
#[test]
fn an_attempt_is_cancelled_after_a_disconnect_behind_pipelined_bytes() {
    for how in DISCONNECTS {
        for ahead in AHEAD {
            let (backend, discovery) = (Listener::new(), Listener::new());
            let known = list(1, true, &[("s-1", backend.address(), "east", "in_service")]);
            // The time limit is longer than the test waits: only the disconnect ends the request.
            let node = Node::start(&config(discovery.address(), &known, |c| {
                c["settings"]["Classes"][2]["Target"] = 90_000.0.into();
                c["settings"]["Classes"][2]["GiveUp"] = 90_000.0.into();
            }));
            let client = ask(&node, "correct", ahead);
            let (request, mut peer) = backend.next_message(&mut Vec::new());
            assert_eq!(request.header("x-correlation-id"), Some("left"));
            let rest = leave(client, how);
            peer.expect_end();
            // The id is free again.
            let mut again = node.client();
            again.request("correct", "X-Correlation-Id: left\r\n", "x");
            let mut peer = backend.next_request(&mut Vec::new());
            peer.answer("200 OK", "", "done");
            assert_eq!(again.read().status(), 200);
            drop(rest);
        }
    }
}

/// Which of two events reaches the node first: the disconnect, or the free place for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum First {
    Close,
    Place,
}

/// Starts a node with one backend and one class, which allows one request at a time.
fn node_with_one_place(backend: &Listener) -> Node {
    Node::from_file(&format!(
        "[[listener]]\naddress = \"127.0.0.1:0\"\n[[cluster]]\nname = \"b\"\n[[cluster.box]]\n\
         name = \"b-1\"\naddress = \"{}\"\n[[class]]\nname = \"c\"\nrepeat = \"safe\"\ntime = \"25s\"\n\
         in-hand = 1\nqueue = {{ length = 9, time = \"20s\" }}\n\
         [[route]]\nprefix = \"/\"\nclass = \"c\"\ncluster = \"b\"\n",
        backend.address()
    ))
}

fn get(node: &Node, id: &str) -> Peer {
    let mut client = node.client();
    client.write(format!("GET /{id} HTTP/1.1\r\nHost: a\r\n\r\n"));
    client
}

/// Waits for the rejection of an invalid request, which shows that earlier requests are in the queue.
fn wait_until_queued(node: &Node) {
    let mut fence = node.client();
    fence.write("BREW / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n");
    assert_eq!(fence.read().status(), 400);
}

/// Clients disconnect and the place becomes free while the node is stopped, so that it finds both in one
/// iteration of its event loop, in either order.
#[test]
fn a_queued_request_is_not_sent_if_its_client_disconnects_in_the_iteration_of_its_place() {
    for how in DISCONNECTS {
        // Without the last: behind more bytes than the kernel buffers, the close arrives only when the node
        // reads.
        for (ahead, times) in &AHEAD[..3] {
            for first in [First::Close, First::Place] {
                println!("{how:?} ahead {} x {times}, {first:?} first", ahead.len());
                let backend = Listener::new();
                let node = node_with_one_place(&backend);
                let mut served = get(&node, "first");
                let mut peer = backend.next_request(&mut Vec::new());
                let leaving: Vec<Peer> = (0..4)
                    .map(|_| {
                        let mut client = get(&node, "leaves");
                        send_ahead(&mut client, (ahead, *times));
                        client
                    })
                    .collect();
                let mut stays = get(&node, "stays");
                wait_until_queued(&node);
                let stopped = node.stopped();
                let there = peer.stream.peer_addr().expect("the node's end");
                if first == First::Place {
                    peer.answer("200 OK", "", "done");
                    sockets::wait_for_bytes(there, backend.address());
                }
                let addresses: Vec<_> =
                    leaving.iter().map(|client| client.stream.local_addr().expect("an address")).collect();
                let rest: Vec<_> = leaving.into_iter().map(|client| leave(client, how)).collect();
                addresses.iter().for_each(|client| sockets::wait_for_close(node.address, *client));
                if first == First::Close {
                    peer.answer("200 OK", "", "done");
                    sockets::wait_for_bytes(there, backend.address());
                }
                drop(stopped);
                assert_eq!(served.read().status(), 200);
                let mut peers = vec![peer];
                let mut peer = backend.next_request_of(&mut peers, "GET /stays HTTP/1.1");
                peer.answer("200 OK", "", "done");
                assert_eq!(stays.read().status(), 200);
                drop(rest);
            }
        }
    }
}

/// The request waits for the only place of its class, which becomes free later.
#[test]
fn a_queued_request_is_not_sent_after_a_disconnect() {
    for how in DISCONNECTS {
        for (ahead, times) in AHEAD {
            let backend = Listener::new();
            let node = node_with_one_place(&backend);
            let mut first = get(&node, "first");
            let mut peer = backend.next_request(&mut Vec::new());
            let mut leaves = get(&node, "leaves");
            send_ahead(&mut leaves, (ahead, times));
            let mut stays = get(&node, "stays");
            wait_until_queued(&node);
            let rest = leave(leaves, how);
            std::thread::sleep(DETECTION_TIME);
            peer.answer("200 OK", "", "done");
            assert_eq!(first.read().status(), 200);
            let mut peers = vec![peer];
            let mut peer = backend.next_request_of(&mut peers, "GET /stays HTTP/1.1");
            peer.answer("200 OK", "", "done");
            assert_eq!(stays.read().status(), 200);
            drop(rest);
        }
    }
}

/// 250 clients disconnect at random times before a backend is listed. None of their requests may be sent, and
/// their resources must be free again.
#[test]
fn requests_of_a_burst_of_disconnected_clients_are_not_sent() {
    for seed in 0..4 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (backend, discovery) = (Listener::new(), Listener::new());
        let node = Node::start(&config(discovery.address(), &list(41, true, &[]), |_| {}));
        let mut watch = discovery.open_watch();
        let clients: Vec<_> = (0..250)
            .map(|i| {
                let mut client = node.client();
                client.request("correct", &format!("X-Correlation-Id: left-{i}\r\n"), "x");
                (rng.random_range(0..40u64), client)
            })
            .collect();
        let stays = send_staying_request(&node);
        let mut clients = clients;
        clients.sort_by_key(|(at, _)| *at);
        let mut last = 0;
        for (at, client) in clients {
            std::thread::sleep(Duration::from_millis(at - last));
            last = at;
            leave(client, DISCONNECTS[rng.random_range(0..2)]);
        }
        std::thread::sleep(DETECTION_TIME);
        watch.line(&list(42, true, &[("s-1", backend.address(), "east", "in_service")]));
        println!("seed {seed}");
        assert_first_is_staying(stays, &backend, &mut Vec::new());
    }
}
