//! Request smuggling: raw HTTP/1.1 requests are sent through the node to a backend with a strict parser of
//! its own. The backend must receive the requests as the client meant them, and no ambiguous request may
//! reach it.

mod peers;

use peers::{Node, PEER_TIMEOUT, Peer};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// A request that the backend received: method, target and body.
type RecordedRequest = (String, String, Vec<u8>);

/// A backend with a strict parser of its own. It responds to each request with its method and target.
struct StrictBackend {
    address: SocketAddr,
    recorded: Arc<Mutex<Vec<RecordedRequest>>>,
}

fn start_strict_backend() -> StrictBackend {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let recorded = Arc::new(Mutex::new(Vec::new()));
    let log = recorded.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let log = log.clone();
            std::thread::spawn(move || serve(stream, &log));
        }
    });
    StrictBackend { address, recorded }
}

fn line(from: &mut impl BufRead) -> Option<String> {
    let mut text = Vec::new();
    from.read_until(b'\n', &mut text).ok().filter(|n| *n > 0)?;
    assert!(
        text.ends_with(b"\r\n"),
        "a bare line end reaches the backend: {:?}",
        String::from_utf8_lossy(&text)
    );
    Some(String::from_utf8_lossy(&text[..text.len() - 2]).into_owned())
}

fn serve(stream: TcpStream, log: &Mutex<Vec<RecordedRequest>>) {
    let mut writer = stream.try_clone().expect("a socket");
    let mut from = BufReader::new(stream);
    while let Some(first) = line(&mut from) {
        let (mut length, mut chunked) = (0, false);
        loop {
            let Some(field) = line(&mut from) else { return };
            if field.is_empty() {
                break;
            }
            let (name, value) = field.split_once(':').expect("a field");
            match name.to_ascii_lowercase().as_str() {
                "content-length" => length = value.trim().parse().expect("a length"),
                "transfer-encoding" => {
                    assert_eq!(value.trim(), "chunked");
                    chunked = true;
                }
                _ => {}
            }
        }
        let mut body = vec![0; length];
        if from.read_exact(&mut body).is_err() {
            return;
        }
        while chunked {
            let Some(size) = line(&mut from) else { return };
            let mut chunk = vec![0; usize::from_str_radix(&size, 16).expect("a size") + 2];
            if from.read_exact(&mut chunk).is_err() {
                return;
            }
            body.extend(&chunk[..chunk.len() - 2]);
            chunked = chunk.len() > 2;
        }
        let mut parts = first.split(' ');
        let (method, target) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
        let text = if method == "HEAD" { String::new() } else { format!("{method} {target}") };
        log.lock().expect("a log").push((method.into(), target.into(), body));
        let length = format!("{method} {target}").len();
        if write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{text}").is_err() {
            return;
        }
    }
}

/// The bytes that a client sends, and the expected result: the statuses of the responses in order, and the
/// requests at the backend. Status 0 stands for a close without a response, 4 for a 4xx or 5xx other than
/// 503, or such a close.
struct Case {
    raw: String,
    answers: Vec<u16>,
    recorded: Vec<(&'static str, &'static str, &'static [u8])>,
}

fn case(raw: &str, answers: &[u16], recorded: &[(&'static str, &'static str, &'static [u8])]) -> Case {
    Case { raw: raw.into(), answers: answers.to_vec(), recorded: recorded.to_vec() }
}

/// Valid requests: each must reach the backend once, unchanged.
fn valid_cases() -> Vec<Case> {
    let h = "Host: t.example\r\n";
    let ok = |raw: &str, recorded: &[(&'static str, &'static str, &'static [u8])]| {
        case(raw, &vec![200; recorded.len()], recorded)
    };
    vec![
        ok(&format!("GET /a HTTP/1.1\r\n{h}\r\n"), &[("GET", "/a", b"")]),
        ok(&format!("HEAD /a HTTP/1.1\r\n{h}\r\n"), &[("HEAD", "/a", b"")]),
        ok(&format!("OPTIONS /a HTTP/1.1\r\n{h}\r\n"), &[("OPTIONS", "/a", b"")]),
        ok(&format!("\r\n\r\nGET /a HTTP/1.1\r\n{h}\r\n"), &[("GET", "/a", b"")]),
        ok(&format!("GET /a?x=%20&y=a/b HTTP/1.1\r\n{h}\r\n"), &[("GET", "/a?x=%20&y=a/b", b"")]),
        ok("GET http://t.example/a HTTP/1.1\r\nHost: other\r\n\r\n", &[("GET", "/a", b"")]),
        ok(&format!("GET /./x/../a HTTP/1.1\r\n{h}\r\n"), &[("GET", "/a", b"")]),
        ok("GET /a HTTP/1.1\r\nhOsT:t.example\r\n\r\n", &[("GET", "/a", b"")]),
        ok("GET /a HTTP/1.1\r\nHost: \t t.example \t\r\n\r\n", &[("GET", "/a", b"")]),
        ok(&format!("GET /a HTTP/1.1\r\n{h}X-Odd: a\tb, \"c;d\"\r\n\r\n"), &[("GET", "/a", b"")]),
        ok(&format!("GET /a HTTP/1.1\r\n{h}X-High: \u{e9}\r\n\r\n"), &[("GET", "/a", b"")]),
        ok(&format!("GET /a HTTP/1.1\r\n{h}X-Empty:\r\n\r\n"), &[("GET", "/a", b"")]),
        ok(&format!("GET /a HTTP/1.1\r\n{h}Content-Length: 0\r\n\r\n"), &[("GET", "/a", b"")]),
        ok("GET /a HTTP/1.0\r\n\r\n", &[("GET", "/a", b"")]),
        ok("GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", &[("GET", "/a", b"")]),
        ok(&format!("POST /w HTTP/1.1\r\n{h}Content-Length: 3\r\n\r\nabc"), &[("POST", "/w", b"abc")]),
        ok(&format!("PUT /w HTTP/1.1\r\n{h}Content-Length: 3\r\n\r\nabc"), &[("PUT", "/w", b"abc")]),
        ok(&format!("PATCH /w HTTP/1.1\r\n{h}Content-Length: 3\r\n\r\nabc"), &[("PATCH", "/w", b"abc")]),
        ok(&format!("DELETE /w HTTP/1.1\r\n{h}\r\n"), &[("DELETE", "/w", b"")]),
        ok(&format!("POST /w HTTP/1.1\r\n{h}\r\n"), &[("POST", "/w", b"")]),
        ok(&format!("POST /w HTTP/1.1\r\n{h}Content-Length: 003\r\n\r\nabc"), &[("POST", "/w", b"abc")]),
        ok(&format!("POST /w HTTP/1.1\r\n{h}Content-Length:  3 \r\n\r\nabc"), &[("POST", "/w", b"abc")]),
        ok(
            &format!("POST /w HTTP/1.1\r\n{h}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            &[("POST", "/w", b"")],
        ),
        ok(
            &format!("POST /w HTTP/1.1\r\n{h}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
            &[("POST", "/w", b"abc")],
        ),
        ok(
            &format!("POST /w HTTP/1.1\r\n{h}Transfer-Encoding: Chunked\r\n\r\nA\r\n0123456789\r\n0\r\n\r\n"),
            &[("POST", "/w", b"0123456789")],
        ),
        ok(
            &format!("POST /w HTTP/1.1\r\n{h}Transfer-Encoding: chunked\r\n\r\n003\r\nabc\r\n00\r\n\r\n"),
            &[("POST", "/w", b"abc")],
        ),
        ok(
            &format!(
                "POST /w HTTP/1.1\r\n{h}Transfer-Encoding: chunked\r\n\r\n3;x=y;z=\"q\"\r\nabc\r\n0\r\n\r\n"
            ),
            &[("POST", "/w", b"abc")],
        ),
        ok(
            &format!(
                "POST /w HTTP/1.1\r\n{h}Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\nX-Sum: 1\r\n\r\n"
            ),
            &[("POST", "/w", b"abc")],
        ),
        // A body that looks like a request.
        ok(
            &format!("POST /w HTTP/1.1\r\n{h}Content-Length: 24\r\n\r\nGET /evil HTTP/1.1\r\n\r\n12"),
            &[("POST", "/w", b"GET /evil HTTP/1.1\r\n\r\n12")],
        ),
        ok(
            &format!("POST /w HTTP/1.1\r\n{h}Transfer-Encoding: chunked\r\n\r\n5\r\n0\r\n\r\n\r\n0\r\n\r\n"),
            &[("POST", "/w", b"0\r\n\r\n")],
        ),
        // Pipelined requests.
        ok(
            &format!("GET /a HTTP/1.1\r\n{h}\r\nGET /b HTTP/1.1\r\n{h}\r\n"),
            &[("GET", "/a", b""), ("GET", "/b", b"")],
        ),
        ok(
            &format!("POST /w HTTP/1.1\r\n{h}Content-Length: 1\r\n\r\nxGET /b HTTP/1.1\r\n{h}\r\n"),
            &[("POST", "/w", b"x"), ("GET", "/b", b"")],
        ),
        ok(
            &format!(
                "GET /a HTTP/1.1\r\n{h}\r\nPOST /w HTTP/1.1\r\n{h}Content-Length: 2\r\n\r\nxyGET /b HTTP/1.1\r\n{h}\r\n"
            ),
            &[("GET", "/a", b""), ("POST", "/w", b"xy"), ("GET", "/b", b"")],
        ),
        // `Connection` lists fields that must not be removed.
        ok("GET /a HTTP/1.1\r\nHost: t\r\nConnection: host, x-a\r\nX-A: 1\r\n\r\n", &[("GET", "/a", b"")]),
        ok(
            &format!("POST /w HTTP/1.1\r\n{h}Connection: content-length\r\nContent-Length: 3\r\n\r\nabc"),
            &[("POST", "/w", b"abc")],
        ),
        ok(
            &format!(
                "POST /w HTTP/1.1\r\n{h}Connection: transfer-encoding\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
            ),
            &[("POST", "/w", b"x")],
        ),
    ]
}

/// Invalid requests, some with a hidden request behind them that must not be served.
fn invalid_cases() -> Vec<Case> {
    let hidden = "GET /evil HTTP/1.1\r\nHost: t\r\n\r\n";
    let h = "Host: t.example\r\n";
    let mut cases = Vec::new();
    // The end of the body is ambiguous or unknown.
    for (fields, status) in [
        ("Content-Length: 5\r\nContent-Length: 5", 400),
        ("Content-Length: 5\r\nContent-Length: 0", 400),
        ("Content-Length: 0\r\nContent-Length: 5", 400),
        ("Content-Length: 5, 5", 400),
        ("Content-Length: 5\r\nTransfer-Encoding: chunked", 400),
        ("Transfer-Encoding: chunked\r\nContent-Length: 5", 400),
        ("Content-Length: 5\r\ntransfer-encoding: CHUNKED", 400),
        ("Content-Length: 0\r\nTransfer-Encoding: identity", 400),
        ("Transfer-Encoding: chunked, chunked", 400),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", 400),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity", 400),
        ("Transfer-Encoding: identity\r\nTransfer-Encoding: chunked", 4),
        ("Transfer-Encoding: chunked, identity", 4),
        ("Transfer-Encoding: identity, chunked", 4),
        ("Transfer-Encoding: gzip, chunked", 4),
        ("Transfer-Encoding: gzip", 4),
        ("Transfer-Encoding: identity", 4),
        ("Transfer-Encoding: xchunked", 4),
        ("Transfer-Encoding: chunkedx", 4),
        ("Transfer-Encoding: \"chunked\"", 4),
        ("Transfer-Encoding: chunked;q=1", 4),
        ("Transfer-Encoding:", 4),
        ("Transfer-Encoding: ,chunked", 4),
        ("Transfer-Encoding: chunked,", 4),
        ("Transfer-Encoding: chun ked", 4),
        ("Transfer-Encoding: \u{b}chunked", 4),
        ("Transfer-Encoding : chunked", 4),
        (" Transfer-Encoding: chunked", 4),
        ("Transfer-Encoding\t: chunked", 4),
        ("X: y\r\n Transfer-Encoding: chunked", 4),
        ("Transfer-Encoding:\r\n chunked", 4),
        ("Transfer-Encoding: chunked\r\n , identity", 4),
        ("Content-Length: +5", 4),
        ("Content-Length: -5", 4),
        ("Content-Length: 0x5", 4),
        ("Content-Length: 5a", 4),
        ("Content-Length: 5.0", 4),
        ("Content-Length: 5 5", 4),
        ("Content-Length: \"5\"", 4),
        ("Content-Length:", 4),
        ("Content-Length: 18446744073709551616", 4),
        ("Content-Length: 99999999999999999999999", 4),
        ("Content-Length : 5", 4),
        ("Content-Length\u{0}: 5", 4),
        ("Content-Length: 5\u{0}", 4),
        ("Content-Length: 5\n", 4),
        ("Content-Length: 5\nX: y", 4),
        ("X: y\nContent-Length: 5", 4),
        ("X: a\rContent-Length: 5", 4),
        ("X: a\r\rContent-Length: 5", 4),
    ] {
        cases.push(case(
            &format!("POST /w HTTP/1.1\r\n{h}{fields}\r\n\r\n0\r\n\r\n{hidden}"),
            &[status],
            &[],
        ));
    }
    cases.push(case("POST /w HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", &[4], &[]));
    // Invalid chunks.
    for chunks in [
        "x\r\n",
        "-1\r\nabc\r\n0\r\n\r\n",
        "+3\r\nabc\r\n0\r\n\r\n",
        "0x3\r\nabc\r\n0\r\n\r\n",
        "3\r\nabcd\r\n0\r\n\r\n",
        "3\r\nab\r\n0\r\n\r\n",
        "3\nabc\r\n0\r\n\r\n",
        "3;x\nabc\r\n0\r\n\r\n",
        "3\r\nabc\n0\r\n\r\n",
        "3\r\nabc0\r\n\r\n",
        "\r\n0\r\n\r\n",
        "10000000000000000\r\nabc\r\n0\r\n\r\n",
        "ffffffffffffffffff\r\nabc\r\n0\r\n\r\n",
        "3 x\r\nabc\r\n0\r\n\r\n",
        "\u{0}\r\n",
    ] {
        let raw = format!("POST /w HTTP/1.1\r\n{h}Transfer-Encoding: chunked\r\n\r\n{chunks}{hidden}");
        cases.push(case(&raw, &[4], &[]));
    }
    // Invalid request lines and fields.
    for first in [
        "GET  /a HTTP/1.1",
        "GET /a  HTTP/1.1",
        " GET /a HTTP/1.1",
        "GET\t/a HTTP/1.1",
        "GET /a b HTTP/1.1",
        "GET /a HTTP/1.1 x",
        "GET /a HTTP/2.0",
        "GET /a HTTP/1.11",
        "GET /a HTTP/11",
        "GET /a http/1.1",
        "GET /a",
        "GET /a\u{0} HTTP/1.1",
        "GET /a\u{7f} HTTP/1.1",
        "GET a HTTP/1.1",
        "G(T /a HTTP/1.1",
        "get /a HTTP/1.1",
        "PRI * HTTP/2.0",
        "CONNECT t.example:80 HTTP/1.1",
        "TRACE /a HTTP/1.1",
        "OPTIONS * HTTP/1.1",
        "GET * HTTP/1.1",
        "GET http:// HTTP/1.1",
        "GET /a%2Fb HTTP/1.1",
        "GET /a%00 HTTP/1.1",
        "GET /%zz HTTP/1.1",
        "GET /../a HTTP/1.1",
    ] {
        cases.push(case(&format!("{first}\r\n{h}\r\n"), &[4], &[]));
    }
    for fields in [
        "",
        "Host: a\r\nHost: b\r\n",
        "Host: a\r\nHost: a\r\n",
        "Host: a/b\r\n",
        "Host: a b\r\n",
        "Host: a@b\r\n",
        "Host: a:b\r\n",
        "Host: t\r\nno colon\r\n",
        "Host: t\r\n: no name\r\n",
        "Host: t\r\nbad name: x\r\n",
        "Host: t\r\nx(y: z\r\n",
        "Host: t\r\nX: a\u{0}b\r\n",
        "Host: t\r\nX: a\u{1}b\r\n",
        "Host: t\r\nX: a\u{7f}b\r\n",
        "Host: t\r\n X: folded first\r\n",
        "Host: t\r\nX: a\r\n\tfolded\r\n",
        "Host: t\nX: bare\r\n",
        "Host: t\r\nContent-Length: 1\r\n\r\nx",
    ] {
        let end = if fields.ends_with('x') { "" } else { "\r\n" };
        cases.push(case(&format!("GET /a HTTP/1.1\r\n{fields}{end}"), &[4], &[]));
    }
    let many: String = (0..200).map(|n| format!("X-{n}: y\r\n")).collect();
    cases.push(case(&format!("GET /a HTTP/1.1\r\n{h}{many}\r\n"), &[4], &[]));
    let long = "y".repeat(40_000);
    cases.push(case(&format!("GET /a HTTP/1.1\r\n{h}X: {long}\r\n\r\n"), &[4], &[]));
    cases.push(case(&format!("GET /{long} HTTP/1.1\r\n{h}\r\n"), &[4], &[]));
    // The framing is invalid and the connection persistent: the hidden request must not be served.
    cases.push(case(
        &format!("POST /w HTTP/1.1\r\n{h}Transfer-Encoding: chunked, chunked\r\nConnection: keep-alive\r\n\r\n0\r\n\r\n{hidden}"),
        &[400],
        &[],
    ));
    cases
}

fn node(backend: SocketAddr) -> Node {
    let routes = "[[class]]\nname = \"r\"\nrepeat = \"safe\"\ntime = \"20s\"\n\
        [[class]]\nname = \"w\"\nrepeat = \"unsafe\"\ntime = \"20s\"\n\
        [[route]]\nprefix = \"/\"\nclass = \"r\"\ncluster = \"c\"\n\
        [[route]]\npath = \"/w\"\nclass = \"w\"\ncluster = \"c\"\n";
    Node::from_file(&format!(
        "[[listener]]\naddress = \"127.0.0.1:0\"\n[[cluster]]\nname = \"c\"\n[[cluster.box]]\nname = \"b\"\n\
         address = \"{backend}\"\n{routes}"
    ))
}

/// Sends a case to the node in pieces of this size. Returns a description of the failure if the result is not
/// as expected.
fn check_case(node: &Node, backend: &StrictBackend, case: &Case, piece: usize) -> Option<String> {
    backend.recorded.lock().expect("a log").clear();
    let mut client = node.client();
    for piece in case.raw.as_bytes().chunks(piece) {
        // The node may have closed the connection.
        if client.stream.write_all(piece).is_err() {
            break;
        }
    }
    for expected in &case.answers {
        let is_head = case.raw.trim_start().starts_with("HEAD");
        let status = if is_head { read_head(&mut client) } else { client.try_read().map(|m| m.status()) };
        let good = match (expected, status) {
            (4, None) => true,
            (4, Some(status)) => (400..600).contains(&status) && status != 503,
            (0, status) => status.is_none(),
            (expected, status) => status == Some(*expected),
        };
        if !good {
            return Some(format!("status {status:?}, expected {expected}"));
        }
    }
    if case.recorded.is_empty() {
        // The connection must end without a further response.
        let mut rest = Vec::new();
        client.stream.set_read_timeout(Some(PEER_TIMEOUT)).expect("a socket");
        if let Err(e) = client.stream.read_to_end(&mut rest)
            && e.kind() != std::io::ErrorKind::ConnectionReset
        {
            return Some(format!("its connection does not end: {e}"));
        }
        if rest.windows(5).any(|w| w == b"/evil") || rest.starts_with(b"HTTP/1.1 200") {
            return Some(format!("the hidden request was served: {}", String::from_utf8_lossy(&rest)));
        }
    }
    let recorded = backend.recorded.lock().expect("a log").clone();
    let expected: Vec<_> =
        case.recorded.iter().map(|(m, t, b)| (m.to_string(), t.to_string(), b.to_vec())).collect();
    (recorded != expected).then(|| format!("the backend received {recorded:?}"))
}

fn read_head(client: &mut Peer) -> Option<u16> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        client.stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    String::from_utf8_lossy(&head).split(' ').nth(1)?.parse().ok()
}

#[test]
fn the_backend_receives_the_requests_that_clients_meant() {
    let backend = start_strict_backend();
    let node = node(backend.address);
    let cases: Vec<_> = valid_cases().into_iter().chain(invalid_cases()).collect();
    assert!(cases.len() >= 120, "{} cases", cases.len());
    let mut wrong = Vec::new();
    for piece in [usize::MAX, 7] {
        for case in &cases {
            // Cases with a head of 40,000 bytes are sent at once only, which saves time.
            let piece = if case.raw.len() > 10_000 { usize::MAX } else { piece };
            if let Some(what) = check_case(&node, &backend, case, piece) {
                let raw: String = case.raw.chars().take(200).collect();
                wrong.push(format!("{raw:?} in pieces of {piece}: {what}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{} of {}:\n{}", wrong.len(), 2 * cases.len(), wrong.join("\n"));
}
