//! Compares the console of the platform's node (`HEALTH`, `DUMP`), and its responses to clients, with golden
//! files, byte for byte. `GOLDEN=write cargo test -p marlwinch --test golden_platform_console` writes the
//! files below `tests/golden/platform`. `platform_golden` lists what is replaced in them; besides,
//! `<seconds>` stands for the time that a request has left.

mod peers;
mod platform_golden;

use peers::{Listener, Node, PEER_TIMEOUT, Peer, config, list, serve_on_new_connection};
use platform_golden::{check, message};
use std::io::Read;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn console_address(node: &Node) -> SocketAddr {
    let line = node.logged("console listens at");
    line.trim_end().rsplit(' ').next().and_then(|address| address.parse().ok()).expect("an address")
}

/// Sends a command to the console and returns the whole response.
fn call(console: SocketAddr, text: &str) -> String {
    let mut peer = Peer::connect(console);
    peer.write(text);
    let (bytes, _) = peer.read_to_end();
    String::from_utf8(bytes).expect("a text")
}

/// Repeats a command until the response contains this text.
fn wait_for(console: SocketAddr, text: &str, holds: &str) -> String {
    let started = Instant::now();
    loop {
        let answer = call(console, text);
        if answer.contains(holds) {
            return answer;
        }
        assert!(started.elapsed() < PEER_TIMEOUT, "no response to {text:?} contains {holds:?}: {answer}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn console_responses_match_the_golden_file() {
    let (backend, discovery) = (Listener::new(), Listener::new());
    let mut text = String::new();
    let mut node = Node::start(&config(discovery.address(), &list(0, true, &[]), |config| {
        config["console"] = "127.0.0.1:0".into();
    }));
    let console = console_address(&node);
    let mut note = |command: &str, answer: String| text += &format!("{command:?}\n{answer}\n");
    note("HEALTH\n", call(console, "HEALTH\n"));
    note("DUMP\n", call(console, "DUMP\n"));
    let mut watch = discovery.open_watch();
    watch.line(&list(1, true, &[("s-1", backend.address(), "east", "in_service")]));
    note("HEALTH\n", wait_for(console, "HEALTH\n", "ACK"));
    for command in [" HEALTH \r\n", "HEALTH\nDUMP\n", "health\n", "\n", "STATUS\n"] {
        note(command, call(console, command));
    }
    let long = "x".repeat(300);
    note("300 bytes without an end", call(console, &long));
    // One request is served, one fails at the backend, one is rejected as its work takes longer than its time
    // limit.
    let mut client = node.client();
    let mut peer = serve_on_new_connection(&backend, &mut client);
    client.request("correct", "", "x");
    peer.read();
    peer.answer("500 Internal Server Error", "", "broken");
    assert_eq!(client.read().status(), 502);
    client.request("submit", "X-Weight-Hint: 900000000\r\n", "x");
    assert_eq!(client.read().status(), 503);
    wait_for(console, "DUMP\n", "\"active\":0");
    note("DUMP\n", wait_for(console, "DUMP\n", "\"pool_size\":1"));
    // A request is in progress, so that the node does not exit at once.
    client.request("correct", "", "x");
    let mut peer = backend.next_request(&mut vec![peer]);
    node.terminate();
    note("HEALTH\n", wait_for(console, "HEALTH\n", "ending"));
    peer.answer("200 OK", "", "done");
    assert!(node.wait().success());
    check("console.txt", &text);
}

/// Reads a message with its body, as received.
fn raw(peer: &mut Peer) -> String {
    let (mut bytes, mut byte) = (Vec::new(), [0]);
    while !bytes.ends_with(b"\r\n\r\n") {
        assert_eq!(peer.stream.read(&mut byte).expect("a head"), 1, "it ends");
        bytes.push(byte[0]);
    }
    let head = String::from_utf8(bytes).expect("a text");
    let length = head
        .lines()
        .find_map(|line| line.to_lowercase().strip_prefix("content-length: ")?.trim().parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    peer.stream.read_exact(&mut body).expect("a body");
    message(&(head + &String::from_utf8(body).expect("a text")))
}

/// Replaces the remaining time, which varies.
fn without_time_left(text: &str) -> String {
    let lines = text
        .lines()
        .map(|line| if line.starts_with("x-time-left: ") { "x-time-left: <seconds>" } else { line });
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn forwarded_requests_and_their_responses_match_the_golden_file() {
    let (backend, discovery) = (Listener::new(), Listener::new());
    let known = list(41, true, &[("s-1", backend.address(), "east", "in_service")]);
    let node = Node::start(&config(discovery.address(), &known, |_| {}));
    let mut client = node.client();
    let mut text = String::new();
    let mut peers = Vec::new();
    for (request, answer) in [
        (
            "POST /submit/7f3a?x=1 HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: 9b1f\r\nX-Account: acme\r\nX-Time-Left: 9.5\r\n\
             Idempotency-Key: 5c0f\r\nX-Repeat: 1\r\nX-Weight-Hint: 1500\r\nX-Facts: a=1\r\nConnection: keep-alive, x-hop\r\n\
             X-Hop: 1\r\nContent-Length: 5\r\n\r\nsheet",
            "HTTP/1.1 200 OK\r\nX-Backend-Load: concurrent=1,depth=0\r\nX-Served-By: s-1\r\nContent-Type: text/plain\r\n\
             Content-Length: 7\r\n\r\ncounted",
        ),
        (
            "GET /look/7f3a HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: 9b20\r\nX-Account: acme\r\n\r\n",
            "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
        ),
        (
            "POST /correct/7f3a HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: 9b21\r\nX-Account: acme\r\nContent-Length: 1\r\n\r\nx",
            "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nbroken",
        ),
        (
            "POST /correct/7f3a HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: 9b22\r\nX-Account: acme\r\nContent-Length: 1\r\n\r\nx",
            "HTTP/1.1 200 OK\r\nContent-Length: nine\r\n\r\n",
        ),
    ] {
        client.write(request);
        let started = Instant::now();
        let mut peer = loop {
            peers.extend(backend.try_accept());
            if let Some(at) = peers.iter().position(Peer::has_more) {
                break peers.swap_remove(at);
            }
            assert!(started.elapsed() < PEER_TIMEOUT, "no request arrives");
            std::thread::sleep(Duration::from_millis(1));
        };
        text += &format!("# passed on\n{}\n", without_time_left(&raw(&mut peer)));
        peer.write(answer);
        text += &format!("# answered\n{}\n", raw(&mut client));
        peers.push(peer);
    }
    check("front_passed_on.txt", &text);
}

#[test]
fn responses_to_rejected_requests_match_the_golden_file() {
    let (backend, discovery) = (Listener::new(), Listener::new());
    let known = list(41, true, &[("s-1", backend.address(), "east", "in_service")]);
    let node = Node::start(&config(discovery.address(), &known, |_| {}));
    let good = "Host: b\r\nX-Correlation-Id: 9b1f\r\nX-Account: acme\r\n";
    let cases = [
        "nonsense\r\n\r\n".to_string(),
        format!("POST /unheard/1 HTTP/1.1\r\n{good}Content-Length: 0\r\n\r\n"),
        format!("GET / HTTP/1.1\r\n{good}\r\n"),
        format!("GET /correct/1 HTTP/1.1\r\n{good}\r\n"),
        format!("POST /look/1 HTTP/1.1\r\n{good}Content-Length: 0\r\n\r\n"),
        format!("POST /submit/1 HTTP/1.1\r\n{good}Content-Length: 0\r\n\r\n"),
        format!("POST /submit/1 HTTP/1.1\r\n{good}Idempotency-Key:\r\nContent-Length: 0\r\n\r\n"),
        "GET /look/1 HTTP/1.1\r\nHost: b\r\nX-Account: acme\r\n\r\n".into(),
        "GET /look/1 HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: 1\r\n\r\n".into(),
        "GET /look/1 HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: 1\r\nX-Account: nobody\r\n\r\n".into(),
        format!("GET /look/1 HTTP/1.1\r\n{good}X-Time-Left: soon\r\n\r\n"),
        format!("GET /look/1 HTTP/1.1\r\n{good}X-Weight-Hint: much\r\n\r\n"),
        format!("GET /look/1 HTTP/1.1\r\n{good}X-Weight-Hint: 900000000\r\n\r\n"),
        format!("POST /correct/1 HTTP/1.1\r\n{good}Content-Length: 62914560\r\n\r\nx"),
        format!("GET /look/1 HTTP/1.1\r\n{good}Content-Length: 4\r\n\r\nbody"),
    ];
    let mut text = String::new();
    for request in cases {
        let mut client = node.client();
        client.write(&request);
        text += &format!("{request:?}\n{}\n", raw(&mut client));
    }
    assert!(backend.is_untouched());
    check("front_not_taken.txt", &text);
}
