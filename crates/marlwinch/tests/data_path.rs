//! The data path of a node with an operator's file, on loopback: which response a client gets, streaming and
//! truncated responses, retries, forwarding headers, upgrades, and the exchanges that are logged.

mod backends;
mod peers;

use backends::Backends;
use peers::{Listener, Node, PEER_TIMEOUT, Peer};
use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const UNSAFE: &str = "repeat = \"unsafe\"\ntime = \"20s\"";
const SAFE: &str = "repeat = \"safe\"\ntime = \"20s\"";

/// A file with these backends, an unsafe class for `/w` and a safe one for `/`, both with these settings, and
/// further sections.
fn file(backends: &[SocketAddr], terms: &str, more: &str) -> String {
    let mut text =
        format!("[[listener]]\naddress = \"127.0.0.1:0\"\n{more}\n[[cluster]]\nname = \"tally\"\n");
    for (i, address) in backends.iter().enumerate() {
        text += &format!("[[cluster.box]]\nname = \"b-{i}\"\naddress = \"{address}\"\n");
    }
    for (class, repeat, path) in [("r", SAFE, "/"), ("w", UNSAFE, "/w")] {
        text += &format!("[[class]]\nname = \"{class}\"\n{repeat}\n{terms}\n");
        text += &format!("[[route]]\nprefix = \"{path}\"\nclass = \"{class}\"\ncluster = \"tally\"\n");
    }
    text
}

fn node(backends: &[&Listener], terms: &str, more: &str) -> Node {
    let addresses: Vec<_> = backends.iter().map(|b| b.address()).collect();
    Node::from_file(&file(&addresses, terms, more))
}

fn get(client: &mut Peer, path: &str) {
    client.write(format!("GET {path} HTTP/1.1\r\nHost: t.example\r\n\r\n"));
}

/// Reads until this text has arrived, and returns all that was read.
fn read_until(peer: &mut Peer, wanted: &str) -> String {
    let (mut all, mut chunk) = (Vec::new(), [0; 4096]);
    while !String::from_utf8_lossy(&all).contains(wanted) {
        let n = peer.stream.read(&mut chunk).expect("more bytes");
        assert!(n > 0, "no {wanted:?} in {:?}", String::from_utf8_lossy(&all));
        all.extend_from_slice(&chunk[..n]);
    }
    String::from_utf8_lossy(&all).into_owned()
}

// ---- Choice of the response ----------------------------------------------------------------------

#[test]
fn the_backends_error_response_is_forwarded_unless_it_wrongly_allows_a_retry() {
    let backend = Listener::new();
    let node = node(&[&backend], "attempts = 1", "");
    let (mut client, mut peers) = (node.client(), Vec::new());
    let long = "x".repeat(100_000);
    for (path, status, unprocessed, expected) in [
        ("/", "500 Broken", "", 500),
        ("/", "501 No", "", 501),
        ("/", "503 Later", "", 503),
        ("/w", "500 Broken", "", 500),
        ("/w", "501 No", "", 501),
        // The request may have run, so the status must not say that a retry is harmless.
        ("/w", "503 Later", "", 502),
        ("/w", "429 Slow", "", 502),
        // The backend says that it did not run.
        ("/w", "503 Later", "X-Unprocessed: 1\r\n", 503),
        ("/w", "429 Slow", "X-Unprocessed: 1\r\n", 429),
    ] {
        for text in ["the backend says why", &long] {
            if path == "/w" {
                client.write("POST /w HTTP/1.1\r\nHost: t\r\nContent-Length: 1\r\n\r\nx");
            } else {
                get(&mut client, path);
            }
            let mut peer = backend.next_request(&mut peers);
            peer.answer(status, &format!("X-Of-Box: 1\r\nRetry-After: 7\r\n{unprocessed}"), text);
            let answer = client.read();
            assert_eq!(answer.status(), expected, "{path} {status}");
            assert!(answer.body == text.as_bytes(), "{path} {status}: {} bytes", answer.body.len());
            assert_eq!(answer.header("x-of-box"), Some("1"));
            let again = (expected != 502).then_some("7");
            assert_eq!(answer.header("retry-after"), again, "{path} {status}");
            peers.push(peer);
        }
    }
}

#[test]
fn the_outcome_of_a_retry_replaces_the_error_before_it() {
    let (one, other) = (Listener::new(), Listener::new());
    let terms = "attempts = 2\nretry-on = [\"never-ran\", \"error\", \"reset\"]";
    let terms = format!("{terms}\nbudget = {{ share = \"100%\", floor = \"100/s\" }}");
    let node = Node::from_file(
        &file(&[one.address(), other.address()], "", "")
            .replace("name = \"r\"\n", &format!("name = \"r\"\n{terms}\n")),
    );
    for second in ["serves", "breaks"] {
        let mut client = node.client();
        get(&mut client, "/");
        let (first, mut peer) = Listener::accept_any(&[&one, &other]);
        peer.read();
        peer.answer("500 Broken", "Connection: close\r\n", "first");
        let mut again = if first == 0 { other.accept() } else { one.accept() };
        again.read();
        match second {
            "serves" => {
                again.answer("200 OK", "Connection: close\r\n", "second");
                assert_eq!(client.read().body, b"second");
            }
            _ => {
                again.stream.shutdown(Shutdown::Both).expect("closed");
                // The last attempt had no response, so the node rejects the request itself, as the class is
                // safe.
                let answer = client.read();
                assert_eq!((answer.status(), &answer.body[..5]), (503, &b"refus"[..]));
            }
        }
    }
}

// ---- Streams -------------------------------------------------------------------------------------

#[test]
fn each_part_of_a_streamed_response_is_forwarded_at_once() {
    let backend = Listener::new();
    let node = node(&[&backend], "", "");
    let mut client = node.client();
    get(&mut client, "/events");
    let mut peer = backend.next_request(&mut Vec::new());
    peer.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    // The head is forwarded before the body starts.
    let head = read_until(&mut client, "\r\n\r\n");
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    for n in 0..5 {
        let event = format!("data: {n}\n\n");
        peer.write(format!("{:x}\r\n{event}\r\n", event.len()));
        read_until(&mut client, &event);
    }
    peer.write("0\r\n\r\n");
    read_until(&mut client, "0\r\n\r\n");
    // The connection is reused.
    get(&mut client, "/events");
    backend.next_request(&mut vec![peer]).answer("200 OK", "", "next");
    assert_eq!(client.read().body, b"next");
}

#[test]
fn trailers_are_forwarded_if_both_sides_announce_them() {
    let backend = Listener::new();
    let node = node(&[&backend], "", "");
    let mut client = node.client();
    client.write("GET / HTTP/1.1\r\nHost: t\r\nTE: trailers\r\nConnection: te\r\n\r\n");
    let mut peer = backend.accept();
    assert_eq!(peer.read().header("te"), Some("trailers"));
    peer.write("HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-Sum: 7\r\n\r\n");
    let all = read_until(&mut client, "\r\n0\r\n");
    let all = if all.ends_with("\r\n\r\n") { all } else { all + &read_until(&mut client, "\r\n\r\n") };
    assert!(all.to_lowercase().contains("0\r\nx-sum: 7\r\n"), "{all}");
}

#[test]
fn a_truncated_stream_is_visibly_truncated_and_not_retried() {
    // Where the backend closes: before and after the end of the head.
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for cut in ["", "HTTP/1.1 20", &format!("{head}5\r\nhello\r\n"), &format!("{head}5\r\nhe")] {
        let backend = Listener::new();
        let node = node(&[&backend], "retry-on = [\"never-ran\"]", "");
        let mut client = node.client();
        get(&mut client, "/");
        let mut peer = backend.next_request(&mut Vec::new());
        peer.write(cut);
        if cut.len() > head.len() {
            read_until(&mut client, "he");
        }
        peer.stream.shutdown(Shutdown::Both).expect("closed");
        if cut.len() > head.len() {
            let (rest, _) = client.read_to_end();
            assert!(!String::from_utf8_lossy(&rest).contains("0\r\n\r\n"), "{cut:?} looks complete");
        } else {
            assert_eq!(client.read().status(), 503, "{cut:?}");
        }
        assert!(backend.is_untouched());
    }
}

#[test]
fn a_stalled_response_and_one_without_end_are_aborted() {
    let backend = Listener::new();
    let node = node(&[&backend], "gap = \"300ms\"\nwhole = \"1s\"", "");
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
    let mut stopped = node.client();
    get(&mut stopped, "/");
    let mut peer = backend.next_request(&mut Vec::new());
    peer.write(head);
    let started = Instant::now();
    let (all, _) = stopped.read_to_end();
    assert!(String::from_utf8_lossy(&all).contains("ab") && !all.ends_with(b"0\r\n\r\n"));
    assert!(started.elapsed() < Duration::from_secs(15), "not aborted by `gap`");
    drop(peer);
    // A response without end that never stalls.
    let mut endless = node.client();
    get(&mut endless, "/");
    let mut peer = backend.next_request(&mut Vec::new());
    peer.write(head);
    let writer = std::thread::spawn(move || {
        let started = Instant::now();
        while started.elapsed() < PEER_TIMEOUT {
            if std::io::Write::write_all(&mut peer.stream, b"2\r\nab\r\n").is_err() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    });
    let started = Instant::now();
    let (all, _) = endless.read_to_end();
    assert!(started.elapsed() >= Duration::from_millis(900) && !all.ends_with(b"0\r\n\r\n"));
    assert!(writer.join().expect("a writer"), "the backend does not notice the end");
}

#[test]
fn streams_end_within_the_limit_at_a_drain_and_at_shutdown() {
    let (one, other) = (Listener::new(), Listener::new());
    let text = file(&[one.address(), other.address()], "", "[node]\nstream-end = \"700ms\"");
    let mut node = Node::from_file(&text);
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
    let mut streams: Vec<(usize, Peer, Peer)> = Vec::new();
    while streams.iter().map(|(at, ..)| *at).collect::<std::collections::HashSet<usize>>().len() < 2 {
        let mut client = node.client();
        get(&mut client, "/");
        let (at, mut peer) = Listener::accept_any(&[&one, &other]);
        peer.read();
        peer.write(head);
        read_until(&mut client, "ab");
        streams.push((at, client, peer));
    }
    let started = Instant::now();
    node.reload(&text.replacen("name = \"b-0\"\n", "name = \"b-0\"\nstate = \"draining\"\n", 1));
    let (of_drained, of_other): (Vec<_>, Vec<_>) = streams.into_iter().partition(|(at, ..)| *at == 0);
    for (_, mut client, _peer) in of_drained {
        let (rest, _) = client.read_to_end();
        assert!(
            rest.is_empty() && started.elapsed() >= Duration::from_millis(600),
            "{:?}",
            started.elapsed()
        );
    }
    // The streams of the other backend continue; at shutdown they get the same time.
    let mut left = Vec::new();
    for (_, mut client, mut peer) in of_other {
        peer.write("2\r\ncd\r\n");
        read_until(&mut client, "cd");
        left.push((client, peer));
    }
    let started = Instant::now();
    node.terminate();
    for (client, _peer) in &mut left {
        let (rest, _) = client.read_to_end();
        assert!(!rest.ends_with(b"0\r\n\r\n") && started.elapsed() >= Duration::from_millis(600));
    }
    assert!(node.wait().success());
}

#[test]
fn two_hundred_slow_readers_block_no_other_client_and_hold_little_memory() {
    let backends = Backends::with_faults(1, "");
    let backend = Listener::new();
    let more = format!(
        "[[cluster]]\nname = \"plain\"\n[[cluster.box]]\nname = \"p\"\naddress = \"{}\"\n\
         [[route]]\nprefix = \"/plain\"\nclass = \"r\"\ncluster = \"plain\"\n",
        backends.addresses[0]
    );
    let text = file(&[backend.address()], "", "[node]\nsockets = 2048") + &more;
    let node = Node::from_file(&text);
    const SLOW: usize = 200;
    let address = backend.address();
    // Each response is much larger than socket buffers.
    let server = std::thread::spawn(move || {
        let mut writers = Vec::new();
        for _ in 0..SLOW {
            let mut peer = backend.accept();
            writers.push(std::thread::spawn(move || {
                peer.read();
                peer.write("HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n");
                let piece = vec![b'x'; 1 << 16];
                // Ends when the node exits.
                while std::io::Write::write_all(&mut peer.stream, &piece).is_ok() {}
            }));
        }
        writers
    });
    let mut slow = Vec::new();
    for _ in 0..SLOW {
        let mut client = node.client();
        get(&mut client, "/");
        read_until(&mut client, "\r\n\r\n");
        slow.push(client);
    }
    let _ = (address, server.join().expect("a server").len());
    for round in 0..50 {
        let mut byte = [0];
        slow.iter_mut().for_each(|client| client.stream.read_exact(&mut byte).expect("a byte"));
        let mut quick = node.client();
        get(&mut quick, "/plain");
        assert_eq!(quick.read().status(), 200, "round {round}");
    }
    // The node itself, and hyper's buffers: two connections for each stream.
    let bound = 24_000 + SLOW as u64 * 2 * 200;
    let held = node.memory_kib();
    assert!(held < bound, "{held} KiB, {bound} at most");
}

// ---- Retries -------------------------------------------------------------------------------------

#[test]
fn a_request_with_a_large_body_of_which_nothing_was_sent_is_retried() {
    let gone = Listener::new();
    let address = gone.address();
    drop(gone);
    let backend = Listener::new();
    let terms = "budget = { share = \"100%\", floor = \"100/s\" }";
    let node = Node::from_file(&file(&[address, backend.address()], terms, ""));
    let body = "y".repeat(300_000);
    let mut peers = Vec::new();
    for _ in 0..10 {
        let mut client = node.client();
        client.write(format!("POST /w HTTP/1.1\r\nHost: t\r\nContent-Length: 300000\r\n\r\n{body}"));
        let mut peer = backend.next_request(&mut peers);
        peer.answer("200 OK", "", "done");
        assert_eq!(client.read().status(), 200);
        peers.push(peer);
    }
}

#[test]
fn a_body_is_replayed_up_to_the_limit_and_not_beyond() {
    let (one, other) = (Listener::new(), Listener::new());
    let keyed = "repeat = \"keyed\"\nscope = \"all\"\nwindow = \"30s\"\nkey-header = \"idempotency-key\"\ntime = \"20s\"\n\
        attempt-time = \"5s\"\nretry-on = [\"never-ran\", \"reset\"]\nreplay = \"200KiB\"\n\
        budget = { share = \"100%\", floor = \"100/s\" }";
    let text = file(&[one.address(), other.address()], "", "").replace(UNSAFE, keyed);
    let node = Node::from_file(&text);
    for (size, again) in [(200 << 10, true), ((200 << 10) + 1, false)] {
        let body = "z".repeat(size);
        let mut client = node.client();
        client.write(format!(
            "POST /w HTTP/1.1\r\nHost: t\r\nIdempotency-Key: {size}\r\nContent-Length: {size}\r\n\r\n{body}"
        ));
        let (first, mut peer) = Listener::accept_any(&[&one, &other]);
        assert_eq!(peer.read().body.len(), size);
        // The backend has received the whole body, and closes without a response.
        peer.stream.shutdown(Shutdown::Both).expect("closed");
        drop(peer);
        if again {
            let mut second = if first == 0 { other.accept() } else { one.accept() };
            assert!(second.read().body == body.as_bytes());
            second.answer("200 OK", "Connection: close\r\n", "");
            assert_eq!(client.read().status(), 200);
        } else {
            // All backends know the key, so a retry by the client is harmless.
            assert_eq!(client.read().status(), 503);
            assert!(one.is_untouched() && other.is_untouched());
        }
    }
}

// ---- Forwarding headers --------------------------------------------------------------------------

#[test]
fn forwarding_headers_are_written_as_the_file_says() {
    let client_headers = "X-Forwarded-For: 6.6.6.6\r\nForwarded: for=6.6.6.6\r\nVia: 1.0 before\r\nX-Forwarded-Proto: https\r\n";
    for (more, xff, forwarded, via, proto) in [
        ("", Some("127.0.0.1"), None, Some("1.0 before, 1.1 marlwinch"), Some("http")),
        (
            "[forwarding]\ntrusted = [\"127.0.0.0/8\"]\nvia-name = \"n-1\"\nwrite = [\"x-forwarded\", \"forwarded\", \"via\"]",
            Some("6.6.6.6, 127.0.0.1"),
            Some("for=6.6.6.6, for=127.0.0.1;host=\"t.example\";proto=http"),
            Some("1.0 before, 1.1 n-1"),
            Some("https"),
        ),
        ("[forwarding]\nwrite = []", None, None, Some("1.0 before"), None),
    ] {
        let backend = Listener::new();
        let node = node(&[&backend], "", more);
        let mut client = node.client();
        client.write(format!("GET / HTTP/1.1\r\nHost: t.example\r\n{client_headers}\r\n"));
        let mut peer = backend.accept();
        let request = peer.read();
        assert_eq!(request.header("x-forwarded-for"), xff, "{more}");
        assert_eq!(request.header("forwarded"), forwarded, "{more}");
        assert_eq!(request.header("via"), via, "{more}");
        assert_eq!(request.header("x-forwarded-proto"), proto, "{more}");
        peer.answer("200 OK", "", "");
        assert_eq!(client.read().status(), 200);
        // `Max-Forwards` is decremented, and the node responds itself at 0.
        client.write("OPTIONS / HTTP/1.1\r\nHost: t\r\nMax-Forwards: 0\r\n\r\n");
        assert_eq!(client.read().status(), 200);
        let mut client = node.client();
        client.write("OPTIONS / HTTP/1.1\r\nHost: t\r\nMax-Forwards: 3\r\n\r\n");
        assert_eq!(peer.read().header("max-forwards"), Some("2"));
    }
}

// ---- Log lines and metrics of exchanges ----------------------------------------------------------

#[test]
fn exchanges_are_logged_and_counted() {
    let backend = Listener::new();
    let more = "[log]\nformat = \"json\"\nexchanges = 1\n[admin]\naddress = \"127.0.0.1:0\"";
    let (node, admin) = Node::from_file_with_admin(&file(&[backend.address()], "attempts = 1", more));
    let (mut client, mut peers) = (node.client(), Vec::new());
    for status in ["200 OK", "500 Broken"] {
        get(&mut client, "/a");
        let mut peer = backend.next_request(&mut peers);
        peer.answer(status, "", "x");
        client.read();
        peers.push(peer);
        let line: serde_json::Value =
            serde_json::from_str(&node.logged("\"exchange\"")).expect("a line of JSON");
        let of = |name: &str| line[name].as_str().unwrap_or_default().to_string();
        assert_eq!(
            [of("class"), of("cluster"), of("server"), of("end"), of("method")],
            ["r", "tally", "b-0", "whole", "GET"]
        );
        assert_eq!(line["status"].as_u64(), status[..3].parse().ok(), "{line}");
    }
    // A truncated response has the end `cut`.
    get(&mut client, "/a");
    let mut peer = backend.next_request(&mut peers);
    peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n");
    read_until(&mut client, "ab");
    peer.stream.shutdown(Shutdown::Both).expect("closed");
    client.read_to_end();
    assert!(node.logged("\"exchange\"").contains("\"end\":\"cut\""));
    let mut scraper = Peer::connect(admin);
    scraper.write("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
    let metrics = String::from_utf8(scraper.read().body).expect("text");
    for line in [
        "marlwinch_answers_total{class=\"r\",cluster=\"tally\",code=\"200\"} 2",
        "marlwinch_answers_total{class=\"r\",cluster=\"tally\",code=\"500\"} 1",
        "marlwinch_box_first_byte_seconds_count{cluster=\"tally\",name=\"b-0\"} 3",
        "marlwinch_cut_total{class=\"r\",cluster=\"tally\"} 1",
    ] {
        assert!(metrics.contains(line), "{line} in {metrics}");
    }
    for (asked, status) in [("GET /ready", 200), ("POST /metrics", 405), ("GET /", 404)] {
        let mut scraper = Peer::connect(admin);
        scraper.write(format!("{asked} HTTP/1.1\r\nHost: a\r\n\r\n"));
        assert_eq!(scraper.read().status(), status);
    }
}

// ---- Connections that switch to another protocol -------------------------------------------------

const UPGRADE_REQUEST: &str = "GET /ws HTTP/1.1\r\nHost: t\r\nConnection: keep-alive, Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Key: k\r\n\r\n";
const SWITCH: &str = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Accept: a\r\n\r\n";

#[test]
fn an_upgraded_connection_carries_bytes_both_ways_until_both_sides_close() {
    let backend = Listener::new();
    let text = file(&[backend.address()], "", "")
        .replace(SAFE, &format!("{SAFE}\nupgrade = {{ to = [\"websocket\"] }}"));
    let node = Node::from_file(&text);
    let mut client = node.client();
    // Bytes right behind the head belong to the new protocol, on both sides.
    client.write(format!("{UPGRADE_REQUEST}early"));
    let mut peer = backend.accept();
    let asked = read_until(&mut peer, "\r\n\r\n").to_lowercase();
    assert!(asked.contains("connection: upgrade\r\n") && asked.contains("upgrade: websocket\r\n"), "{asked}");
    assert!(asked.contains("sec-websocket-key: k\r\n"));
    peer.write(format!("{SWITCH}hello"));
    read_until(&mut peer, "early");
    let answer = read_until(&mut client, "hello").to_lowercase();
    assert!(answer.starts_with("http/1.1 101") && answer.contains("\r\nupgrade: websocket\r\n"), "{answer}");
    assert!(answer.contains("sec-websocket-accept: a"));
    // More than socket buffers hold, in each direction.
    let large = "z".repeat(4 << 20);
    for turn in 0..2 {
        let mut from =
            if turn == 0 { client.stream.try_clone() } else { peer.stream.try_clone() }.expect("a socket");
        let text = large.clone();
        let writer = std::thread::spawn(move || std::io::Write::write_all(&mut from, text.as_bytes()));
        let to = if turn == 0 { &mut peer } else { &mut client };
        let mut come = vec![0; large.len()];
        to.stream.read_exact(&mut come).expect("all of it");
        assert!(come == large.as_bytes());
        writer.join().expect("a writer").expect("written");
    }
    // The close of one direction is forwarded, and the other direction still works.
    client.stream.shutdown(Shutdown::Write).expect("closed");
    assert_eq!(peer.stream.read(&mut [0]).expect("an end"), 0);
    peer.write("last");
    read_until(&mut client, "last");
    peer.stream.shutdown(Shutdown::Write).expect("closed");
    client.expect_end();
}

#[test]
fn without_permission_or_agreement_of_the_backend_an_upgrade_request_is_plain_http() {
    let backend = Listener::new();
    let rule = format!("{SAFE}\nupgrade = {{ to = [\"websocket\"] }}");
    for (upgrade, ask, asked) in [
        (false, UPGRADE_REQUEST.to_string(), false),
        (true, UPGRADE_REQUEST.replace("websocket", "other"), false),
        (true, UPGRADE_REQUEST.replace(", Upgrade", ""), false),
        (true, UPGRADE_REQUEST.to_string(), true),
    ] {
        let text = file(&[backend.address()], "", "").replace(SAFE, if upgrade { &rule } else { SAFE });
        let node = Node::from_file(&text);
        let mut client = node.client();
        client.write(ask);
        let mut peer = backend.accept();
        let request = peer.read();
        assert_eq!(request.header("upgrade").is_some(), asked);
        peer.answer("200 OK", "", "plain");
        assert_eq!(client.read().body, b"plain");
        get(&mut client, "/next");
        let mut again = backend.next_request(&mut vec![peer]);
        // A 101 without an upgrade request is not a valid response.
        again.write(SWITCH);
        assert_eq!(client.read().status(), 503);
    }
}

#[test]
fn an_upgraded_connection_ends_when_idle_at_a_drain_and_at_shutdown() {
    let rule = format!("{SAFE}\nupgrade = {{ to = [\"websocket\"], idle = \"500ms\" }}");
    let (backend, other) = (Listener::new(), Listener::new());
    let text = file(&[backend.address()], "", "[node]\nstream-end = \"300ms\"").replace(SAFE, &rule);
    let mut node = Node::from_file(&text);
    for why in ["idle", "drain", "end"] {
        let mut client = node.client();
        client.write(UPGRADE_REQUEST);
        let mut peer = backend.next_request(&mut Vec::new());
        peer.write(SWITCH);
        read_until(&mut client, "\r\n\r\n");
        // A side that sends all the time.
        let talk = |mut from: TcpStream| {
            std::thread::spawn(move || {
                while std::io::Write::write_all(&mut from, b".").is_ok() {
                    std::thread::sleep(Duration::from_millis(20));
                }
            })
        };
        let talker = (why != "idle").then(|| talk(client.stream.try_clone().expect("a socket")));
        match why {
            // The backend is removed from the file, as a file whose only backend drains is invalid.
            "drain" => {
                let (before, after) = (backend.address().to_string(), other.address().to_string());
                node.reload(&text.replace("b-0", "b-9").replace(&before, &after));
            }
            "end" => node.terminate(),
            _ => {}
        }
        peer.read_to_end();
        if let Some(talker) = talker {
            talker.join().expect("it ends as well");
        }
        if why == "drain" {
            node.reload(&text);
            // The lines of the start, of the other file, and of this file again.
            (0..3).for_each(|_| drop(node.logged("applied:")));
        }
    }
    assert!(node.wait().success());
}

// ---- Soak tests ----------------------------------------------------------------------------------

/// Starts a backend that sends a response of this size on each connection, as fast as it is read.
fn start_bulk_backend(bytes: u64) -> SocketAddr {
    let backend = Listener::new();
    let address = backend.address();
    std::thread::spawn(move || {
        loop {
            let mut peer = backend.accept();
            std::thread::spawn(move || {
                peer.read();
                peer.write(format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {bytes}\r\nConnection: close\r\n\r\n"
                ));
                let piece = vec![b'x'; 1 << 16];
                let mut left = bytes;
                while left > 0 {
                    let part = left.min(piece.len() as u64) as usize;
                    if std::io::Write::write_all(&mut peer.stream, &piece[..part]).is_err() {
                        return;
                    }
                    left -= part as u64;
                }
            });
        }
    });
    address
}

/// Reads a response of this size. Returns the rate in MB/s.
fn download_rate(at: SocketAddr, bytes: u64) -> f64 {
    let mut client = Peer::connect(at);
    let started = Instant::now();
    get(&mut client, "/");
    let (mut chunk, mut received) = (vec![0; 1 << 16], 0);
    loop {
        match client.stream.read(&mut chunk).expect("more bytes") {
            0 => break,
            n => received += n as u64,
        }
        if received > bytes {
            break;
        }
    }
    assert!(received >= bytes, "{received} of {bytes}");
    bytes as f64 / 1e6 / started.elapsed().as_secs_f64()
}

/// `docs/performance.md` has the results and the command.
#[test]
#[ignore = "a soak: ten gigabytes"]
fn ten_gigabytes_through_a_node_of_64_mib() {
    for (what, bytes) in [("10 MiB", 10 << 20), ("1 GiB", 1 << 30), ("10 GB", 10_000_000_000)] {
        let address = start_bulk_backend(bytes);
        let node = Node::from_file(&file(&[address], "", "[node]\nmemory = \"64MiB\""));
        let (direct, through) = (download_rate(address, bytes), download_rate(node.address, bytes));
        let held = node.memory_kib() >> 10;
        println!("{what}: {direct:.0} MB/s directly, {through:.0} through the node, {held} MiB held");
        assert!(held < 64, "{held} MiB");
    }
}

/// A pseudorandom number that depends only on the seed and the number.
fn hash(seed: u64, number: u64) -> u64 {
    let mut x = (seed ^ number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x ^= x >> 29;
    x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ (x >> 32)
}

/// The response to a request: its body, and its bytes on the wire.
fn generated_response(seed: u64, number: u64) -> (Vec<u8>, Vec<u8>) {
    let random = hash(seed, number);
    let length =
        if random.is_multiple_of(4) { random as usize / 4 % 300_000 } else { random as usize / 4 % 3_000 };
    let body: Vec<u8> = (0..length as u64).map(|at| hash(random, at) as u8).collect();
    let mut text = b"HTTP/1.1 200 OK\r\n".to_vec();
    if random & 64 == 0 {
        text.extend(format!("Content-Length: {length}\r\n\r\n").bytes());
        text.extend(&body);
    } else {
        text.extend(b"Transfer-Encoding: chunked\r\n\r\n");
        for chunk in body.chunks(1 + random as usize % 5_000) {
            text.extend(format!("{:x}\r\n", chunk.len()).bytes());
            text.extend(chunk);
            text.extend(b"\r\n");
        }
        text.extend(b"0\r\n\r\n");
    }
    (body, text)
}

/// The body of a response if the response is complete by its framing.
fn complete_body(text: &[u8]) -> Option<Vec<u8>> {
    let end = text.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&text[..end]).to_lowercase();
    let mut rest = &text[end..];
    if let Some(length) = head.split("content-length: ").nth(1) {
        let length: usize = length.lines().next()?.trim().parse().ok()?;
        return (rest.len() == length).then(|| rest.to_vec());
    }
    let mut body = Vec::new();
    loop {
        let line = rest.windows(2).position(|w| w == b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&rest[..line]).ok()?, 16).ok()?;
        rest = rest.get(line + 2..)?;
        if size == 0 {
            return (rest == b"\r\n").then_some(body);
        }
        body.extend(rest.get(..size)?);
        rest = rest.get(size + 2..)?;
    }
}

/// Half of the responses are truncated at a random byte. Each response must be delivered complete and
/// unchanged, or visibly truncated, and no unsafe request may run twice.
fn random_truncations(exchanges: u64, seed: u64) {
    const CLIENTS: u64 = 8;
    println!("seed {seed}");
    let ran = std::sync::Arc::new(std::sync::Mutex::new(std::collections::HashMap::<u64, u32>::new()));
    let backends = [Listener::new(), Listener::new()];
    let addresses: Vec<_> = backends.iter().map(Listener::address).collect();
    for listener in backends {
        let ran = ran.clone();
        std::thread::spawn(move || {
            loop {
                let (mut peer, ran) = (listener.accept_without_timeout(), ran.clone());
                std::thread::spawn(move || {
                    while let Some(request) = peer.try_read() {
                        let number = request.first.split(['/', ' ']).nth(3).and_then(|n| n.parse().ok());
                        let number: u64 = number.expect("its number");
                        let times = {
                            let mut ran = ran.lock().expect("a log");
                            let times = ran.entry(number).or_default();
                            *times += 1;
                            u64::from(*times)
                        };
                        let (_, text) = generated_response(seed, number);
                        let cut = hash(seed + times, number);
                        let until = if cut & 1 == 0 { text.len() } else { cut as usize / 2 % text.len() };
                        let sent = std::io::Write::write_all(&mut peer.stream, &text[..until]);
                        if sent.is_err() || until < text.len() {
                            return;
                        }
                    }
                });
            }
        });
    }
    let text = file(&addresses, "budget = { share = \"100%\", floor = \"1000/s\" }", "");
    let text = text.replace(SAFE, &format!("{SAFE}\nretry-on = [\"never-ran\", \"reset\", \"error\"]"));
    let text = text.replace("name = \"tally\"\n", "name = \"tally\"\nlimit = false\n");
    let node = Node::from_file(&text);
    let address = node.address;
    let one = move |number: u64| {
        let mut client = Peer::connect(address);
        client.write(match number % 2 {
            0 => format!("GET /r/{number} HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n"),
            _ => format!(
                "POST /w/{number} HTTP/1.1\r\nHost: t\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx"
            ),
        });
        let (all, broke) = client.read_to_end();
        match (all.starts_with(b"HTTP/1.1 200"), complete_body(&all)) {
            (true, Some(body)) if !broke => {
                assert!(body == generated_response(seed, number).0, "{number}: a different body");
                (1, 0)
            }
            (true, _) => (0, 1),
            _ => {
                let status = String::from_utf8_lossy(&all[..all.len().min(12)]).into_owned();
                assert!(["HTTP/1.1 502", "HTTP/1.1 503"].contains(&status.as_str()), "{number}: {status:?}");
                (0, 0)
            }
        }
    };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            std::thread::spawn(move || {
                let numbers = (0..exchanges / CLIENTS).map(|n| n * CLIENTS + client);
                numbers.map(one).fold((0, 0), |(a, b), (c, d)| (a + c, b + d))
            })
        })
        .collect();
    let sums = clients.into_iter().map(|client| client.join().expect("a client"));
    let (complete, broken) = sums.fold((0u64, 0u64), |(a, b), (c, d)| (a + c, b + d));
    println!("{complete} whole, {broken} visibly broken of {exchanges}");
    // Half of the responses are not truncated, and the truncations took place.
    assert!(complete * 10 > exchanges * 4 && broken > exchanges / 50, "{complete} whole, {broken} broken");
    let twice: Vec<_> =
        ran.lock().expect("a log").iter().filter(|(n, t)| **n % 2 == 1 && **t > 1).map(|(n, _)| *n).collect();
    assert!(twice.is_empty(), "ran twice: {twice:?}");
}

#[test]
fn randomly_truncated_responses_are_complete_or_visibly_truncated() {
    random_truncations(1_600, 20_261_201);
}

#[test]
#[ignore = "a soak: 20,000 exchanges"]
fn twenty_thousand_randomly_truncated_responses() {
    random_truncations(20_000, 7);
}
