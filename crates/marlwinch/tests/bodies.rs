//! Bodies too large to buffer, in both directions: they are streamed, complete or visibly truncated, and sent
//! only once.

mod peers;

use peers::{Listener, Node, Peer, config, list};
use std::net::Shutdown;
use std::time::Duration;

/// A body of this length without repetitions, so that a misplaced part is detected.
fn body(length: usize) -> String {
    let mut text = String::with_capacity(length + 8);
    let mut i = 0u32;
    while text.len() < length {
        text += &format!("{i:x}.");
        i += 1;
    }
    text.truncate(length);
    text
}

fn node(backends: &[&Listener], change: impl FnOnce(&mut serde_json::Value)) -> (Node, Listener) {
    let names = ["s-1", "s-2"];
    let lines: Vec<_> =
        backends.iter().zip(names).map(|(b, name)| (name, b.address(), "east", "in_service")).collect();
    let discovery = Listener::new();
    let node = Node::start(&config(discovery.address(), &list(41, true, &lines), change));
    (node, discovery)
}

fn chunks(text: &str, size: usize) -> String {
    let pieces = text.as_bytes().chunks(size);
    pieces.map(|p| format!("{:x}\r\n{}\r\n", p.len(), String::from_utf8_lossy(p))).collect()
}

#[test]
fn a_large_response_arrives_complete_with_each_kind_of_framing() {
    let backend = Listener::new();
    let (node, _discovery) = node(&[&backend], |_| {});
    let (mut client, large) = (node.client(), body(3 << 20));
    client.request("correct", "", "x");
    let mut peer = backend.accept();
    for end in 0..3 {
        peer.read();
        match end {
            0 => peer.answer("200 OK", "X-Note: 1\r\n", &large),
            1 => {
                peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                peer.write(chunks(&large, 7000) + "0\r\n\r\n");
            }
            _ => {
                peer.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
                peer.write(&large);
                peer.stream.shutdown(Shutdown::Write).expect("closed");
            }
        }
        let answer = client.read();
        assert_eq!(answer.status(), 200);
        assert!(answer.body == large.as_bytes(), "end {end}: {} bytes", answer.body.len());
        // The connection is reused until it closes.
        client.request("correct", "", "x");
        if end == 2 {
            let mut other = backend.next_request(&mut Vec::new());
            other.answer("200 OK", "", "done");
        }
    }
    assert_eq!(client.read().body, b"done");
    // A small response that ends with its connection is buffered and forwarded with its length.
    client.request("correct", "", "x");
    let (_, mut last) = (0, backend.next_request(&mut vec![peer]));
    last.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nsmall");
    last.stream.shutdown(Shutdown::Write).expect("closed");
    let answer = client.read();
    assert_eq!((answer.header("content-length"), &answer.body[..]), (Some("5"), &b"small"[..]));
}

#[test]
fn a_truncated_large_response_is_truncated_for_the_client_and_not_retried() {
    let (one, other) = (Listener::new(), Listener::new());
    let (mut node, _discovery) = node(&[&one, &other], |_| {});
    let large = body(1 << 20);
    for in_chunks in [false, true] {
        let mut client = node.client();
        client.request("look", "", "");
        let mut peer = Listener::accept_any(&[&one, &other]).1;
        peer.read();
        if in_chunks {
            peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            peer.write(chunks(&large, 9000));
        } else {
            peer.write("HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n");
            peer.write(&large);
        }
        peer.stream.shutdown(Shutdown::Both).expect("closed");
        let (all, _) = client.read_to_end();
        let text = String::from_utf8_lossy(&all);
        assert!(text.starts_with("HTTP/1.1 200"), "{}", &text[..40]);
        let (head, rest) = text.split_once("\r\n\r\n").expect("a head");
        if in_chunks {
            assert!(!rest.ends_with("0\r\n\r\n"), "it looks complete");
        } else {
            assert!(head.to_lowercase().contains("content-length: 2000000") && rest.len() < 2_000_000);
        }
        assert!(one.is_untouched() && other.is_untouched());
        assert!(node.is_running());
    }
}

#[test]
fn a_large_request_is_streamed_and_its_time_limit_starts_with_its_last_byte() {
    let backend = Listener::new();
    let (node, _discovery) = node(&[&backend], |config| {
        for class in config["settings"]["Classes"].as_array_mut().expect("classes") {
            (class["Target"], class["GiveUp"]) = (600.into(), 800.into());
        }
    });
    let large = body(300_000);
    let mut peers = Vec::new();
    for in_chunks in [false, true] {
        let mut client = node.client();
        let id = if in_chunks { "b" } else { "a" };
        let head =
            format!("POST /correct/1 HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: {id}\r\nX-Account: acme\r\n");
        let (length, text) = match in_chunks {
            false => (format!("Content-Length: {}\r\n\r\n", large.len()), large.clone()),
            true => ("Transfer-Encoding: chunked\r\n\r\n".into(), chunks(&large, 5000) + "0\r\n\r\n"),
        };
        let (first, last) = text.split_at(200_000);
        client.write(format!("{head}{length}{first}"));
        // The backend must receive the first part while the client takes longer than the time limit of its
        // class.
        let started = std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(1300));
            client
        });
        let mut peer = match peers.pop() {
            Some(peer) => peer,
            None => backend.accept(),
        };
        let mut seen = [0; 1000];
        std::io::Read::read_exact(&mut peer.stream, &mut seen).expect("a head");
        let mut client = started.join().expect("a client");
        client.write(last);
        let rest = read_rest(&mut peer, &seen);
        assert!(rest.ends_with(if in_chunks { "0\r\n\r\n" } else { &large[large.len() - 100..] }));
        // Another 300 ms are within the target of the class, which starts at the last byte.
        std::thread::sleep(Duration::from_millis(300));
        peer.answer("200 OK", "", "done");
        assert_eq!(client.read().body, b"done");
        peers.push(peer);
    }
}

/// Reads the rest of a request of which the first bytes were read.
fn read_rest(peer: &mut Peer, seen: &[u8]) -> String {
    let mut text = String::from_utf8_lossy(seen).into_owned();
    let mut piece = [0; 4096];
    loop {
        let complete = text.split_once("\r\n\r\n").is_some_and(|(head, body)| {
            let head = head.to_lowercase();
            let length = head.split("content-length: ").nth(1).and_then(|n| n.lines().next()?.parse().ok());
            length.map_or(body.ends_with("\r\n0\r\n\r\n"), |length: usize| body.len() >= length)
        });
        if complete {
            return text;
        }
        let n = std::io::Read::read(&mut peer.stream, &mut piece).expect("more of it");
        assert!(n > 0, "it ends after {} bytes", text.len());
        text += &String::from_utf8_lossy(&piece[..n]);
    }
}

#[test]
fn an_incomplete_large_request_did_not_run_and_is_not_retried() {
    let (one, other) = (Listener::new(), Listener::new());
    let (mut node, _discovery) = node(&[&one, &other], |_| {});
    let large = body(400_000);
    let half = format!("Content-Length: 400000\r\n\r\n{}", &large[..200_000]);
    let head = "POST /correct/1 HTTP/1.1\r\nHost: b\r\nX-Account: acme\r\nX-Correlation-Id: ";
    // The client disconnects: the backend's connection is closed.
    let mut client = node.client();
    client.write(format!("{head}1\r\n{half}"));
    let (_, mut peer) = Listener::accept_any(&[&one, &other]);
    drop(client);
    let (come, _) = peer.read_to_end();
    assert!(come.len() < 300_000, "{} bytes", come.len());
    // The backend disconnects: a retry is harmless, which the client learns at once.
    let mut client = node.client();
    client.write(format!("{head}2\r\n{half}"));
    let (_, mut peer) = Listener::accept_any(&[&one, &other]);
    // A part of the body was read: if the backend left before the first byte, a retry would be right.
    let mut come = vec![0; 10_000];
    std::io::Read::read_exact(&mut peer.stream, &mut come).expect("some of the body");
    peer.stream.shutdown(Shutdown::Both).expect("closed");
    drop(peer);
    let _ = std::io::Write::write_all(&mut client.stream, &large.as_bytes()[200_000..]);
    assert_eq!(client.read().status(), 503);
    assert!(one.is_untouched() && other.is_untouched());
    // The client stalls: its connection and that of the backend are closed.
    let mut client = node.client();
    client.write(format!("{head}3\r\nContent-Length: 400000\r\n\r\n{}", &large[..70_000]));
    let (_, mut peer) = Listener::accept_any(&[&one, &other]);
    assert_eq!(client.read().status(), 503);
    peer.read_to_end();
    assert!(node.is_running());
}

#[test]
fn a_slow_response_without_long_pauses_is_forwarded_beyond_its_target() {
    let backend = Listener::new();
    let (node, _discovery) = node(&[&backend], |config| {
        for class in config["settings"]["Classes"].as_array_mut().expect("classes") {
            (class["Target"], class["GiveUp"]) = (800.into(), 6000.into());
        }
    });
    let mut client = node.client();
    client.request("correct", "", "x");
    let mut peer = backend.next_request(&mut Vec::new());
    peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    // It lasts longer than the target of the class, without a long pause.
    let started = std::time::Instant::now();
    let mut sent = String::new();
    while started.elapsed() < Duration::from_millis(1200) {
        let piece = body(100 + sent.len() % 7);
        peer.write(format!("{:x}\r\n{piece}\r\n", piece.len()));
        sent += &piece;
        std::thread::sleep(Duration::from_millis(10));
    }
    peer.write("0\r\n\r\n");
    let answer = client.read();
    assert_eq!(answer.status(), 200);
    assert!(answer.body == sent.as_bytes());
}

/// If the first part of a stalled response were forwarded at its target, the client would have a truncated
/// response where another attempt is still possible.
#[test]
fn a_stalled_response_is_not_forwarded_at_its_target() {
    let (one, other) = (Listener::new(), Listener::new());
    let (node, _discovery) = node(&[&one, &other], |config| {
        for class in config["settings"]["Classes"].as_array_mut().expect("classes") {
            (class["Target"], class["GiveUp"]) = (800.into(), 6000.into());
        }
        config["settings"]["Permissions"]["ConnectTimeout"] = 60000.into();
    });
    // After a late head there is no time left to detect that the body stalls.
    for text in ["Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "Content-Length: 50\r\n\r\nhello"] {
        let mut client = node.client();
        client.request("correct", "", "x");
        let mut peer = Listener::accept_any(&[&one, &other]).1;
        peer.read();
        std::thread::sleep(Duration::from_millis(650));
        peer.write(format!("HTTP/1.1 200 OK\r\n{text}"));
        let answer = client.read();
        assert_eq!(answer.status(), 504, "{text}");
    }
}
