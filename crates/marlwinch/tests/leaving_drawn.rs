//! Clients that leave at drawn times around the moment at which what their requests wait for is there, at
//! each point at which one can wait: whoever left 0.3 s before it or earlier is not sent on. Those that left
//! later may be.

mod peers;

use peers::{Listener, Message, Node, PEER_TIMEOUT, Peer, config, list};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// From then on nothing may be sent on for a client that has left.
const TERM: Duration = Duration::from_millis(300);
/// The times at which clients leave are drawn over this span; what they wait for is there at two thirds of
/// it.
const SPAN: Duration = Duration::from_millis(900);
const CLIENTS: usize = 60;
const SEEDS: u64 = 3;

/// When each client left, by its id.
type Left = BTreeMap<String, Instant>;

/// Lets clients that wait leave at drawn times, by a close or a reset, some behind bytes sent ahead. Calls
/// `release` within that time, and returns when it did.
fn leave_around(seed: u64, clients: Vec<(String, Peer)>, release: impl FnOnce()) -> (Left, Instant) {
    println!("seed {seed}");
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut drawn: Vec<_> =
        clients.into_iter().map(|client| (SPAN.mul_f64(rng.random::<f64>()), client)).collect();
    drawn.sort_by_key(|(at, _)| *at);
    let (started, mut left) = (Instant::now(), Left::new());
    let mut go = |(at, (id, mut client)): (Duration, (String, Peer))| {
        std::thread::sleep(at.saturating_sub(started.elapsed()));
        if rng.random_bool(0.5) {
            client.write("GET /ahead");
        }
        left.insert(id, Instant::now());
        if rng.random_bool(0.5) {
            socket2::SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).expect("a socket");
        }
    };
    let later = drawn.split_off(drawn.partition_point(|(at, _)| *at < SPAN * 2 / 3));
    drawn.into_iter().for_each(&mut go);
    std::thread::sleep((SPAN * 2 / 3).saturating_sub(started.elapsed()));
    let released = Instant::now();
    release();
    later.into_iter().for_each(&mut go);
    (left, released)
}

/// Answers what comes to a box until a client that stays has its answer. Nobody who left [`TERM`] before
/// `there` says that what it waits for was there may be among them.
fn answer_until_served(
    backends: &[Listener],
    peers: &mut Vec<Peer>,
    ask: impl Fn() -> Peer,
    left: &Left,
    there: impl Fn(&str) -> Option<Instant>,
) {
    let (started, mut sent_on, mut stays) = (Instant::now(), 0, ask());
    loop {
        if stays.has_more() {
            match stays.read().status() {
                200 => break,
                // What can't be called off is out there still, and nobody else is sent to a crowded backend.
                503 => stays = ask(),
                other => panic!("who stays is answered {other}"),
            }
        }
        peers.extend(backends.iter().filter_map(Listener::try_accept));
        for peer in peers.iter_mut().filter(|peer| peer.has_more()) {
            let Some(request) = peer.try_read() else { continue };
            let id = id_of(&request);
            if let (Some(left), Some(there)) = (left.get(&id), there(&id)) {
                let ago = there.saturating_duration_since(*left);
                assert!(ago < TERM, "{id} had left {ago:?} before, and is sent on");
                sent_on += 1;
            }
            let _ = std::io::Write::write(&mut peer.stream, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
        assert!(started.elapsed() < PEER_TIMEOUT, "who stays is not served");
        std::thread::sleep(Duration::from_millis(1));
    }
    let in_time = |(id, at): &(&String, &Instant)| there(id).is_some_and(|there| **at + TERM <= there);
    let left_in_time = left.iter().filter(in_time).count();
    println!("{left_in_time} had left in time, {sent_on} of the others were sent on");
}

fn id_of(request: &Message) -> String {
    request.header("x-correlation-id").unwrap_or_default().to_string()
}

/// Clients that ask, each with an id of its own, and are with the node by the time at which this returns.
fn ask(node: &Node, text: impl Fn(&str) -> String) -> Vec<(String, Peer)> {
    let client = |i| {
        let (id, mut client) = (format!("leaves-{i}"), node.client());
        client.write(text(&id));
        (id, client)
    };
    let clients = (0..CLIENTS).map(client).collect();
    fence(node);
    clients
}

/// Whatever came before is with the node once this has its answer.
fn fence(node: &Node) {
    let mut other = node.client();
    other.write("BREW / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n");
    assert_eq!(other.read().status(), 400);
}

fn post(id: &str) -> String {
    format!(
        "POST /correct/7f HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\nX-Account: acme\r\n\
         Content-Length: 1\r\n\r\nx"
    )
}

/// The same for a class of an operator's file.
fn get(id: &str) -> String {
    format!("GET /7f HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\n\r\n")
}

/// A client that stays.
fn stays(node: &Node, text: impl Fn(&str) -> String) -> Peer {
    let mut client = node.client();
    client.write(text("stays"));
    client
}

#[test]
fn around_the_listing_of_a_backend() {
    for seed in 0..SEEDS {
        let (backend, discovery) = (Listener::new(), Listener::new());
        // What waits looks for a backend again after a sixteenth of the shortest aim.
        let node = Node::start(&config(discovery.address(), &list(41, true, &[]), |c| {
            c["settings"]["Classes"][2]["Target"] = 1600.0.into();
        }));
        let mut watch = discovery.open_watch();
        let clients = ask(&node, post);
        let lists = list(42, true, &[("s-1", backend.address(), "east", "in_service")]);
        let (left, released) = leave_around(seed, clients, || watch.line(&lists));
        answer_until_served(&[backend], &mut Vec::new(), || stays(&node, post), &left, |_| Some(released));
    }
}

/// Whether attempts may be called off or not.
#[test]
fn around_the_moment_at_which_connections_come_up() {
    for seed in 0..SEEDS {
        let (backend, full) = Listener::full();
        let discovery = Listener::new();
        let known = list(1, true, &[("s-1", backend.address(), "east", "in_service")]);
        let node = Node::start(&config(discovery.address(), &known, |c| {
            c["settings"]["Permissions"]["ConnectTimeout"] = 20_000.0.into();
            c["settings"]["Permissions"]["Cancel"] = (seed % 2 == 0).into();
        }));
        let clients = ask(&node, post);
        // The system tries again by itself once those that filled its queue are out of it.
        let (left, released) =
            leave_around(seed, clients, || full.into_iter().for_each(|_| drop(backend.accept())));
        answer_until_served(&[backend], &mut Vec::new(), || stays(&node, post), &left, |_| Some(released));
    }
}

fn file(backends: &[Listener], class: &str) -> String {
    let line = |(i, backend): (usize, &Listener)| {
        format!("[[cluster.box]]\nname = \"b-{i}\"\naddress = \"{}\"\n", backend.address())
    };
    let boxes: String = backends.iter().enumerate().map(line).collect();
    format!(
        "[[listener]]\naddress = \"127.0.0.1:0\"\n[[cluster]]\nname = \"b\"\n{boxes}[[class]]\nname = \"c\"\nrepeat = \"safe\"\ntime = \"25s\"\n{class}\n\
         [[route]]\nprefix = \"/\"\nclass = \"c\"\ncluster = \"b\"\n"
    )
}

#[test]
fn around_the_moment_at_which_a_place_in_the_queue_comes_free() {
    for seed in 0..SEEDS {
        let backends = [Listener::new()];
        let queue = "in-hand = 1\nqueue = { length = 100, time = \"20s\" }";
        let node = Node::from_file(&file(&backends, queue));
        let mut first = node.client();
        first.write(get("first"));
        let mut peer = backends[0].next_request(&mut Vec::new());
        let clients = ask(&node, get);
        let (left, released) = leave_around(seed, clients, || peer.answer("200 OK", "", "done"));
        assert_eq!(first.read().status(), 200);
        answer_until_served(&backends, &mut vec![peer], || stays(&node, get), &left, |_| Some(released));
    }
}

/// Each has had an attempt that never ran and waits 600 ms for another one.
#[test]
fn around_the_end_of_a_back_off() {
    const BACK_OFF: Duration = Duration::from_millis(600);
    for seed in 0..SEEDS {
        // The other attempt goes to the other backend.
        let backends = [Listener::new(), Listener::new()];
        let terms = "attempts = 2\nback-off = { first = \"600ms\", jitter = 0 }\n\
                     budget = { share = 1, floor = \"1000/s\" }";
        let node = Node::from_file(&file(&backends, terms));
        let clients = ask(&node, get);
        let (started, mut peers, mut rejected_at) = (Instant::now(), Vec::new(), Left::new());
        while rejected_at.len() < CLIENTS {
            peers.extend(backends.iter().filter_map(Listener::try_accept));
            for peer in peers.iter_mut().filter(|peer| peer.has_more()) {
                rejected_at.insert(id_of(&peer.read()), Instant::now());
                peer.answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
            }
            assert!(started.elapsed() < PEER_TIMEOUT, "{} have asked", rejected_at.len());
            std::thread::sleep(Duration::from_millis(1));
        }
        let (left, _) = leave_around(seed, clients, || {});
        let there = |id: &str| rejected_at.get(id).map(|at| *at + BACK_OFF);
        answer_until_served(&backends, &mut peers, || stays(&node, get), &left, there);
    }
}
