//! Clients that leave while their request waits, at each point at which one can: what waited is not sent on
//! 0.3 s later, however they leave and whatever they had sent ahead.

mod peers;
mod sockets;

use peers::{Listener, Node, PEER_TIMEOUT, Peer, config, list};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// From then on nothing may be sent on for a client that has left.
const TERM: Duration = Duration::from_millis(300);

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum How {
    Closes,
    Resets,
    /// It ends its sending and goes on reading, which can't be told from a close.
    EndsSending,
}

const HOWS: [How; 3] = [How::Closes, How::Resets, How::EndsSending];

/// What a client has sent behind its request.
const AHEAD: [(&str, usize); 4] =
    [("", 0), ("GET /look/7f", 1), ("POST /correct/a HTTP/1.1\r\nX: y\r\n", 1), ("x", 300_000)];

/// Sends a request that is never to be seen by a backend, and what comes behind it.
fn ask(node: &Node, class: &str, ahead: (&str, usize)) -> Peer {
    let mut client = node.client();
    client.request(class, "X-Correlation-Id: left\r\n", "x");
    send_ahead(&mut client, ahead);
    client
}

fn send_ahead(client: &mut Peer, (ahead, times): (&str, usize)) {
    // As much as the node's system takes: it may read none of it.
    client.stream.set_nonblocking(true).expect("a socket");
    let _ = std::io::Write::write(&mut client.stream, ahead.repeat(times).as_bytes());
    client.stream.set_nonblocking(false).expect("a socket");
}

/// Leaves. What is returned holds a socket open that is still the client's.
fn leave(client: Peer, how: How) -> Option<Peer> {
    match how {
        How::Closes => None,
        How::Resets => {
            socket2::SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).expect("a socket");
            None
        }
        How::EndsSending => {
            client.stream.shutdown(Shutdown::Write).expect("closed");
            Some(client)
        }
    }
}

/// A client that asks behind the one that leaves, and stays: what waits is sent on in the order in which it
/// came, so that its request would come to a backend second.
fn stay(node: &Node) -> Peer {
    let mut client = node.client();
    client.request("correct", "X-Correlation-Id: stays\r\n", "x");
    // Both are with the node by the time at which it answers one that came behind them.
    let mut other = node.client();
    other.request("nothing", "", "");
    assert_eq!(other.read().status(), 404);
    client
}

/// The request of the client that stays has to be the first that a backend gets, on a connection that is open
/// or a new one.
fn first_is_who_stays(mut client: Peer, backend: &Listener, peers: &mut Vec<Peer>) {
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
        assert!(started.elapsed() < PEER_TIMEOUT, "nobody asks");
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(client.read().status(), 200);
}

/// It waits as no backend is listed. Then one is.
#[test]
fn what_waits_for_a_backend_is_not_sent_once_its_client_has_left() {
    for how in HOWS {
        for ahead in AHEAD {
            let (backend, discovery) = (Listener::new(), Listener::new());
            let node = Node::start(&config(discovery.address(), &list(41, true, &[]), |_| {}));
            let mut watch = discovery.open_watch();
            let client = ask(&node, "correct", ahead);
            println!("{how:?} ahead {} x {}", ahead.0.len(), ahead.1);
            let stays = stay(&node);
            let rest = leave(client, how);
            std::thread::sleep(TERM);
            watch.line(&list(42, true, &[("s-1", backend.address(), "east", "in_service")]));
            first_is_who_stays(stays, &backend, &mut Vec::new());
            drop(rest);
        }
    }
}

/// It has been picked for a backend, and the connection there is not up yet. Then it comes up. Whether the
/// settings allow attempts to be called off or not: nothing has gone out that could be.
#[test]
fn what_waits_for_a_connection_is_not_written_once_its_client_has_left() {
    let cases =
        [(true, How::Closes, AHEAD[0]), (false, How::Resets, AHEAD[1]), (false, How::EndsSending, AHEAD[3])];
    for (cancel, how, ahead) in cases {
        let (backend, full) = Listener::full();
        let discovery = Listener::new();
        let known = list(1, true, &[("s-1", backend.address(), "east", "in_service")]);
        let node = Node::start(&config(discovery.address(), &known, |c| {
            c["settings"]["Permissions"]["ConnectTimeout"] = 20_000.0.into();
            c["settings"]["Permissions"]["Cancel"] = cancel.into();
        }));
        let client = ask(&node, "correct", ahead);
        let stays = stay(&node);
        let rest = leave(client, how);
        std::thread::sleep(TERM);
        // Once those that filled its queue are out of it, the system tries again by itself, after a second.
        let mut peers = Vec::new();
        full.into_iter().for_each(|_| drop(backend.accept()));
        first_is_who_stays(stays, &backend, &mut peers);
        // What can't be called off comes up all the same, and is there for whoever asks next.
        first_is_who_stays(stay(&node), &backend, &mut peers);
        drop(rest);
    }
}

/// It is out at a backend, which is told by the end of its connection.
#[test]
fn what_is_out_is_called_off_once_its_client_has_left_behind_bytes_sent_ahead() {
    for how in HOWS {
        for ahead in AHEAD {
            let (backend, discovery) = (Listener::new(), Listener::new());
            let known = list(1, true, &[("s-1", backend.address(), "east", "in_service")]);
            // Its time is longer than the test waits: only its client's leaving ends it.
            let node = Node::start(&config(discovery.address(), &known, |c| {
                c["settings"]["Classes"][2]["Target"] = 90_000.0.into();
                c["settings"]["Classes"][2]["GiveUp"] = 90_000.0.into();
            }));
            let client = ask(&node, "correct", ahead);
            let (request, mut peer) = backend.next_message(&mut Vec::new());
            assert_eq!(request.header("x-correlation-id"), Some("left"));
            let rest = leave(client, how);
            peer.expect_end();
            // Its id is free again.
            let mut again = node.client();
            again.request("correct", "X-Correlation-Id: left\r\n", "x");
            let mut peer = backend.next_request(&mut Vec::new());
            peer.answer("200 OK", "", "done");
            assert_eq!(again.read().status(), 200);
            drop(rest);
        }
    }
}

/// What the node finds first of a client that has left and of the place that has come free for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum First {
    Close,
    Place,
}

/// A node whose one class allows one request at a time, before one backend.
fn one_at_a_time(backend: &Listener) -> Node {
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

/// What was sent before is in the queue by the time at which a later request is refused.
fn wait_until_queued(node: &Node) {
    let mut fence = node.client();
    fence.write("BREW / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n");
    assert_eq!(fence.read().status(), 400);
}

/// Clients leave and the place of their requests comes free while the node does not run, so that it finds
/// both in one turn, in either order: none of these requests is sent.
#[test]
fn what_waits_in_a_queue_is_not_sent_where_its_client_leaves_in_the_turn_of_its_place() {
    for how in HOWS {
        // Of more than the system's buffers hold the close does not arrive before the node reads.
        for (ahead, times) in &AHEAD[..3] {
            for first in [First::Close, First::Place] {
                println!("{how:?} ahead {} x {times}, {first:?} first", ahead.len());
                let backend = Listener::new();
                let node = one_at_a_time(&backend);
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

/// It waits for a place that its class allows only one request at a time. Then the place is free.
#[test]
fn what_waits_in_a_queue_is_not_sent_once_its_client_has_left() {
    for how in HOWS {
        for (ahead, times) in AHEAD {
            let backend = Listener::new();
            let node = one_at_a_time(&backend);
            let mut first = get(&node, "first");
            let mut peer = backend.next_request(&mut Vec::new());
            let mut leaves = get(&node, "leaves");
            send_ahead(&mut leaves, (ahead, times));
            let mut stays = get(&node, "stays");
            wait_until_queued(&node);
            let rest = leave(leaves, how);
            std::thread::sleep(TERM);
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

/// Hundreds at once, at drawn times around the moment at which a backend comes on the list: whoever left long
/// enough before is not sent on, and all that they held is free again.
#[test]
fn a_burst_that_leaves_is_not_sent_on() {
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
        let stays = stay(&node);
        let mut clients = clients;
        clients.sort_by_key(|(at, _)| *at);
        let mut last = 0;
        for (at, client) in clients {
            std::thread::sleep(Duration::from_millis(at - last));
            last = at;
            leave(client, HOWS[rng.random_range(0..2)]);
        }
        std::thread::sleep(TERM);
        watch.line(&list(42, true, &[("s-1", backend.address(), "east", "in_service")]));
        println!("seed {seed}");
        first_is_who_stays(stays, &backend, &mut Vec::new());
    }
}
