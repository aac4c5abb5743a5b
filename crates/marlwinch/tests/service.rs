//! The platform's node in daily service: calls at its second address, other settings at SIGHUP, a new process
//! beside the one that runs.

mod folder;
mod peers;

use folder::Folder;
use peers::{Listener, Node, PEER_TIMEOUT, Peer, config, list};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

/// Where the node answers calls.
fn console(node: &Node) -> SocketAddr {
    let line = node.logged("console listens at");
    line.trim().rsplit(' ').next().and_then(|address| address.parse().ok()).expect("its address")
}

/// Makes a call, and returns the answer's lines.
fn call(console: SocketAddr, text: &str) -> Vec<String> {
    let mut stream = TcpStream::connect(console).expect("it accepts");
    stream.set_read_timeout(Some(PEER_TIMEOUT)).expect("a socket");
    writeln!(stream, "{text}").expect("written");
    BufReader::new(stream).lines().map(|line| line.expect("a line")).collect()
}

fn figures(console: SocketAddr) -> serde_json::Value {
    let lines = call(console, "DUMP");
    assert_eq!(lines.last().map(String::as_str), Some("--"));
    serde_json::from_str(&lines[..lines.len() - 1].join("\n")).expect("figures")
}

/// Waits until the figures are so.
fn until(console: SocketAddr, holds: impl Fn(&serde_json::Value) -> bool) {
    let started = Instant::now();
    loop {
        let figures = figures(console);
        if holds(&figures) {
            return;
        }
        assert!(started.elapsed() < PEER_TIMEOUT, "the figures stay {figures}");
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
}

/// The text of a configuration with a second address and these backends; `change` may alter it.
fn with_console(
    backends: &[&Listener],
    discovery: &Listener,
    change: impl FnOnce(&mut serde_json::Value),
) -> String {
    let names = ["s-1", "s-2", "s-3"];
    let lines: Vec<_> =
        backends.iter().zip(names).map(|(b, name)| (name, b.address(), "east", "in_service")).collect();
    config(discovery.address(), &list(41, true, &lines), |config| {
        config["console"] = "127.0.0.1:0".into();
        change(config);
    })
}

#[test]
fn calls_are_answered_beside_callers_that_say_nothing() {
    let (backend, discovery) = (Listener::new(), Listener::new());
    let node = Node::start(&with_console(&[&backend], &discovery, |_| {}));
    let console = console(&node);
    let dawdlers: Vec<_> = (0..40)
        .map(|i| {
            let mut stream = TcpStream::connect(console).expect("it accepts");
            stream.write_all(&b"HEALT"[..i % 6]).expect("written");
            stream
        })
        .collect();
    let started = Instant::now();
    while call(console, "HEALTH").first().map(String::as_str) != Some("ACK") {
        assert!(started.elapsed() < PEER_TIMEOUT, "it is never ready");
    }
    assert!(call(console, "EXPLODE")[0].starts_with("NAK"));
    assert!(call(console, &"x".repeat(10_000))[0].starts_with("NAK"));

    let mut client = node.client();
    client.request("look", "", "");
    let mut peer = backend.next_request(&mut Vec::new());
    until(console, |f| f["active"] == 1 && f["tries"] == 1 && f["pool_size"] == 1);
    peer.answer("200 OK", "", "seen");
    assert_eq!(client.read().status(), 200);
    client.request("correct", "", "x");
    peer.read();
    peer.answer("500 Internal Server Error", "", "");
    assert_eq!(client.read().status(), 502);
    let figures = figures(console);
    let of = |class: &str, what: &str| figures["responses"][class][what].as_u64();
    assert_eq!((of("look", "ok"), of("correct", "errors"), of("submit", "ok")), (Some(1), Some(1), Some(0)));
    assert_eq!((figures["active"].as_u64(), figures["tries"].as_u64()), (Some(0), Some(2)));
    drop(dawdlers);
}

#[test]
fn other_settings_hold_at_sighup_and_what_is_open_keeps_its_class() {
    let (backend, discovery) = (Listener::new(), Listener::new());
    let text = |change: &dyn Fn(&mut serde_json::Value)| with_console(&[&backend], &discovery, |c| change(c));
    let node = Node::start(&text(&|_| {}));
    let console = console(&node);
    let mut client = node.client();
    client.request("correct", "", "x");
    let peer = backend.next_request(&mut Vec::new());

    // `correct` goes, `audit` comes, and `look` is an unsafe one from now on.
    let others = |config: &mut serde_json::Value| {
        let classes = config["settings"]["Classes"].as_array_mut().expect("classes");
        classes[0]["Idempotency"] = "single_shot".into();
        classes[2]["Name"] = "audit".into();
    };
    node.reload(&text(&others));
    until(console, |f| f["config_applied"] == 1);
    let mut other = node.client();
    other.request("audit", "", "y");
    let mut second = backend.accept();
    assert!(second.read().first.starts_with("POST /audit/"));
    second.answer("200 OK", "", "done");
    assert_eq!(other.read().status(), 200);
    // A client that has not heard of it yet asks for `look` as before, and one that has in the new way.
    for ask in ["GET", "POST"] {
        other.write(format!(
            "{ask} /look/1 HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: {ask}\r\nX-Account: acme\r\nContent-Length: 0\r\n\r\n"
        ));
        assert!(second.read().first.starts_with(ask));
        second.answer("200 OK", "", "done");
        assert_eq!(other.read().status(), 200);
    }
    // The open one is of the class that it came under: it may not run twice.
    peer.stream.shutdown(std::net::Shutdown::Both).expect("closed");
    assert_eq!(client.read().status(), 502);

    // Broken files change nothing, whole.
    let good = text(&others);
    let broken: [String; 6] = [
        String::new(),
        good[..good.len() / 2].to_string(),
        text(&|c| c["settings"]["Classes"][0]["GiveUp"] = 0.into()),
        text(&|c| c["settings"]["Permissions"]["AttemptsCap"] = 0.into()),
        text(&|c| drop(c["settings"].as_object_mut().and_then(|s| s.remove("Rules")))),
        text(&|c| drop(c["settings"]["Rules"].as_object_mut().and_then(|s| s.remove("DrainGrace")))),
    ];
    for (i, broken) in broken.iter().enumerate() {
        node.reload(broken);
        until(console, |f| f["config_rejected"] == i + 1);
    }
    other.request("audit", "", "z");
    second.read();
    second.answer("200 OK", "", "done");
    assert_eq!(other.read().status(), 200);
    assert_eq!(figures(console)["config_applied"], 1);
}

/// Sends a request on a new connection, and lets the backend answer it.
fn served(address: SocketAddr, backend: &Listener, peers: &mut Vec<Peer>) {
    let mut client = Peer::connect(address);
    client.request("correct", "", "x");
    let mut peer = backend.next_request(peers);
    peer.answer("200 OK", "", "done");
    assert_eq!(client.read().status(), 200);
    peers.push(peer);
}

#[test]
fn a_new_process_takes_the_queue_of_connections_and_none_is_rejected() {
    let folder = Folder::new("handover");
    let (backend, discovery) = (Listener::new(), Listener::new());
    let mut peers = Vec::new();
    let mut old = Node::start_in(&with_console(&[&backend], &discovery, |_| {}), &folder.0);
    let address = old.address;
    let old_console = console(&old);
    until(old_console, |f| f["pool_size"] == 1);
    served(address, &backend, &mut peers);
    let beside = |c: &mut serde_json::Value| c["listen"] = address.to_string().into();
    for _generation in 0..2 {
        // A request that is open at the old one stays there.
        let mut open = old.client();
        open.request("correct", "", "open");
        let mut held = backend.next_request(&mut peers);
        let new = Node::start_in(&with_console(&[&backend], &discovery, beside), &folder.0);
        let new_console = console(&new);
        let started = Instant::now();
        while call(new_console, "HEALTH").first().map(String::as_str) != Some("ACK") {
            assert!(started.elapsed() < PEER_TIMEOUT, "the new one never takes clients");
        }
        old.logged("the successor accepts connections");
        // Whoever connects now is the new one's, before and after the old one was told to end.
        let mut early = Peer::connect(address);
        old.terminate();
        old.logged("shutting down");
        let late = Peer::connect(address);
        early.request("correct", "", "early");
        let mut early_peer = backend.next_request(&mut peers);
        early_peer.answer("200 OK", "", "done");
        assert_eq!(early.read().status(), 200);
        held.answer("200 OK", "", "done");
        assert_eq!(open.read().status(), 200);
        assert!(old.wait().success());
        peers.push(early_peer);
        drop(late);
        for _ in 0..20 {
            served(address, &backend, &mut peers);
        }
        assert_eq!(figures(new_console)["responses"]["correct"]["ok"], 21);
        old = new;
    }
}

#[test]
fn a_new_process_that_goes_leaves_the_old_one_as_it_was() {
    let folder = Folder::new("goes");
    let (backend, discovery) = (Listener::new(), Listener::new());
    let mut peers = Vec::new();
    let old = Node::start_in(&with_console(&[&backend], &discovery, |_| {}), &folder.0);
    let address = old.address;
    console(&old);
    served(address, &backend, &mut peers);
    // One that never gets a list of backends takes nothing.
    let mut without = Node::start_in(
        &config(discovery.address(), &list(1, true, &[]), |c| c["listen"] = address.to_string().into()),
        &folder.0,
    );
    served(address, &backend, &mut peers);
    without.kill();
    old.logged("handover failed");
    served(address, &backend, &mut peers);
    // One that took over and goes gives back.
    let mut new = Node::start_in(
        &with_console(&[&backend], &discovery, |c| c["listen"] = address.to_string().into()),
        &folder.0,
    );
    old.logged("the successor accepts connections");
    new.kill();
    old.logged("accepting connections again");
    served(address, &backend, &mut peers);
}

#[test]
fn discovery_that_is_asked_is_asked_again_when_it_fails_and_the_list_stays() {
    let (backend, next, discovery) = (Listener::new(), Listener::new(), Listener::new());
    let node = Node::start(&with_console(&[&backend], &discovery, |config| {
        config["settings"]["RegistryMode"] = "ask".into();
        config["settings"]["Rules"]["MustAskIn"] = 400.into();
    }));
    let console = console(&node);
    // It turns the call away, as one does that is short of room; the node goes on with what it knew.
    let mut call = discovery.accept();
    assert_eq!(call.read().first, "GET /v1/endpoints?watch=1&from=41 HTTP/1.1");
    call.answer("503 Service Unavailable", "", "");
    let mut peers = Vec::new();
    served(node.address, &backend, &mut peers);
    // It asks again, and a list counts.
    let mut watch = discovery.accept();
    watch.read();
    watch.begin_watch();
    let both =
        [("s-1", backend.address(), "east", "terminated"), ("s-2", next.address(), "east", "in_service")];
    watch.line(&list(42, false, &both));
    until(console, |f| f["pool_size"] == 1);
    let started = Instant::now();
    while !backend_is(&node, &next) {
        assert!(started.elapsed() < PEER_TIMEOUT, "the new list is not used");
    }
    // A watch that ends is asked for anew, from there on.
    drop(watch);
    let mut watch = discovery.accept();
    assert_eq!(watch.read().first, "GET /v1/endpoints?watch=1&from=42 HTTP/1.1");
    served(node.address, &next, &mut Vec::new());
}

/// Whether a request goes to that backend, which serves it.
fn backend_is(node: &Node, backend: &Listener) -> bool {
    let mut client = node.client();
    client.request("look", "", "");
    let mut peer = backend.next_request(&mut Vec::new());
    peer.answer("200 OK", "Connection: close\r\n", "done");
    client.read().status() == 200
}
