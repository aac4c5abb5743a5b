//! Clients that disconnect at random times around the release of their waiting requests, at each point where
//! a request can wait. The request of a client that disconnected at least 0.3 s before the release must not
//! be sent; others may be.

mod peers;

use peers::{Listener, Message, Node, PEER_TIMEOUT, Peer, config, list};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The node must notice a disconnect within this time.
const DETECTION_TIME: Duration = Duration::from_millis(300);
/// Clients disconnect at random times within this span. Their requests are released at two thirds of it.
const SPAN: Duration = Duration::from_millis(900);
const CLIENTS: usize = 60;
const SEEDS: u64 = 3;

/// When each client disconnected, by its id.
type Left = BTreeMap<String, Instant>;

/// Disconnects waiting clients at random times, by a close or a reset, some behind pipelined bytes. Calls
/// `release` within that time. Returns the times of the disconnects and of the release.
fn disconnect_around(seed: u64, clients: Vec<(String, Peer)>, release: impl FnOnce()) -> (Left, Instant) {
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

/// Responds to requests at the backends until a client that stays has its response. Asserts that no client is
/// among them that disconnected [`DETECTION_TIME`] or more before its request was released, as `released_at`
/// returns it.
fn answer_until_served(
    backends: &[Listener],
    peers: &mut Vec<Peer>,
    ask: impl Fn() -> Peer,
    left: &Left,
    released_at: impl Fn(&str) -> Option<Instant>,
) {
    let (started, mut sent_on, mut stays) = (Instant::now(), 0, ask());
    loop {
        if stays.has_more() {
            match stays.read().status() {
                200 => break,
                // Attempts that must not be cancelled are still at the backend, whose concurrency limit is
                // reached.
                503 => stays = ask(),
                other => panic!("the client that stays has the status {other}"),
            }
        }
        peers.extend(backends.iter().filter_map(Listener::try_accept));
        for peer in peers.iter_mut().filter(|peer| peer.has_more()) {
            let Some(request) = peer.try_read() else { continue };
            let id = id_of(&request);
            if let (Some(left), Some(released)) = (left.get(&id), released_at(&id)) {
                let ago = released.saturating_duration_since(*left);
                assert!(
                    ago < DETECTION_TIME,
                    "{id} had disconnected {ago:?} before its release, and was sent"
                );
                sent_on += 1;
            }
            let _ = std::io::Write::write(&mut peer.stream, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
        assert!(started.elapsed() < PEER_TIMEOUT, "the client that stays is not served");
        std::thread::sleep(Duration::from_millis(1));
    }
    let in_time = |(id, at): &(&String, &Instant)| {
        released_at(id).is_some_and(|released| **at + DETECTION_TIME <= released)
    };
    let left_in_time = left.iter().filter(in_time).count();
    println!("{left_in_time} disconnected in time, {sent_on} of the others were sent");
}

fn id_of(request: &Message) -> String {
    request.header("x-correlation-id").unwrap_or_default().to_string()
}

/// Sends a request of each client, each with its own id, and waits until the node has read them.
fn send_requests(node: &Node, text: impl Fn(&str) -> String) -> Vec<(String, Peer)> {
    let client = |i| {
        let (id, mut client) = (format!("leaves-{i}"), node.client());
        client.write(text(&id));
        (id, client)
    };
    let clients = (0..CLIENTS).map(client).collect();
    wait_until_read(node);
    clients
}

/// Waits for the response to an invalid request, which shows that the node has read the requests before it.
fn wait_until_read(node: &Node) {
    let mut other = node.client();
    other.write("BREW / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n");
    assert_eq!(other.read().status(), 400);
}

/// A request of the class `correct` of the platform's node.
fn post(id: &str) -> String {
    format!(
        "POST /correct/7f HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\nX-Account: acme\r\n\
         Content-Length: 1\r\n\r\nx"
    )
}

/// A request that the operator's file of these tests routes.
fn get(id: &str) -> String {
    format!("GET /7f HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\n\r\n")
}

/// Sends the request of a client that stays connected.
fn send_staying_request(node: &Node, text: impl Fn(&str) -> String) -> Peer {
    let mut client = node.client();
    client.write(text("stays"));
    client
}

#[test]
fn disconnects_around_the_listing_of_a_backend() {
    for seed in 0..SEEDS {
        let (backend, discovery) = (Listener::new(), Listener::new());
        // Waiting requests look for a backend again after a sixteenth of the shortest target.
        let node = Node::start(&config(discovery.address(), &list(41, true, &[]), |c| {
            c["settings"]["Classes"][2]["Target"] = 1600.0.into();
        }));
        let mut watch = discovery.open_watch();
        let clients = send_requests(&node, post);
        let lists = list(42, true, &[("s-1", backend.address(), "east", "in_service")]);
        let (left, released) = disconnect_around(seed, clients, || watch.line(&lists));
        answer_until_served(
            &[backend],
            &mut Vec::new(),
            || send_staying_request(&node, post),
            &left,
            |_| Some(released),
        );
    }
}

/// With and without the permission to cancel attempts.
#[test]
fn disconnects_around_the_establishment_of_a_connection() {
    for seed in 0..SEEDS {
        let (backend, full) = Listener::full();
        let discovery = Listener::new();
        let known = list(1, true, &[("s-1", backend.address(), "east", "in_service")]);
        let node = Node::start(&config(discovery.address(), &known, |c| {
            c["settings"]["Permissions"]["ConnectTimeout"] = 20_000.0.into();
            c["settings"]["Permissions"]["Cancel"] = (seed % 2 == 0).into();
        }));
        let clients = send_requests(&node, post);
        // Once the backlog has room, the kernel retries the connect.
        let (left, released) =
            disconnect_around(seed, clients, || full.into_iter().for_each(|_| drop(backend.accept())));
        answer_until_served(
            &[backend],
            &mut Vec::new(),
            || send_staying_request(&node, post),
            &left,
            |_| Some(released),
        );
    }
}

fn file(backends: &[Listener], class: &str) -> String {
    let line = |(i, backend): (usize, &Listener)| {
        format!("[[cluster.box]]\nname = \"b-{i}\"\naddress = \"{}\"\n", backend.address())
    };
    let sections: String = backends.iter().enumerate().map(line).collect();
    format!(
        "[[listener]]\naddress = \"127.0.0.1:0\"\n[[cluster]]\nname = \"b\"\n{sections}[[class]]\nname = \"c\"\nrepeat = \"safe\"\ntime = \"25s\"\n{class}\n\
         [[route]]\nprefix = \"/\"\nclass = \"c\"\ncluster = \"b\"\n"
    )
}

#[test]
fn disconnects_around_the_release_of_a_queued_request() {
    for seed in 0..SEEDS {
        let backends = [Listener::new()];
        let queue = "in-hand = 1\nqueue = { length = 100, time = \"20s\" }";
        let node = Node::from_file(&file(&backends, queue));
        let mut first = node.client();
        first.write(get("first"));
        let mut peer = backends[0].next_request(&mut Vec::new());
        let clients = send_requests(&node, get);
        let (left, released) = disconnect_around(seed, clients, || peer.answer("200 OK", "", "done"));
        assert_eq!(first.read().status(), 200);
        answer_until_served(
            &backends,
            &mut vec![peer],
            || send_staying_request(&node, get),
            &left,
            |_| Some(released),
        );
    }
}

/// Each request has had an attempt that did not run, and waits 600 ms for the next one.
#[test]
fn disconnects_around_the_end_of_a_back_off() {
    const BACK_OFF: Duration = Duration::from_millis(600);
    for seed in 0..SEEDS {
        // The second attempt goes to the other backend.
        let backends = [Listener::new(), Listener::new()];
        let terms = "attempts = 2\nback-off = { first = \"600ms\", jitter = 0 }\n\
                     budget = { share = 1, floor = \"1000/s\" }";
        let node = Node::from_file(&file(&backends, terms));
        let clients = send_requests(&node, get);
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
        let (left, _) = disconnect_around(seed, clients, || {});
        let released_at = |id: &str| rejected_at.get(id).map(|at| *at + BACK_OFF);
        answer_until_served(&backends, &mut peers, || send_staying_request(&node, get), &left, released_at);
    }
}
