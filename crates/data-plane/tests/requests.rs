//! The data plane without faults: what a backend gets of a client's request, what the client gets of the
//! response, and which requests the data plane responds to itself.

mod harness;

use harness::{
    DataPlane, chunk, configuration, event, next_request, ready_backends, request, response, settings,
    stream_head, transcript,
};
use test_peers::{Listener, Peer};

#[test]
fn a_request_is_forwarded_and_its_response_returned() {
    let backend = Listener::new();
    let plane = DataPlane::new(&configuration(|_| {}), &[&backend]);
    let mut client = plane.client();
    let more = "X-Tenant-Id: other\r\nX-Expected-Instance: i-9\r\nPriority: 0\r\nX-Backend-Load: 0,0,0\r\n\
                X-Model: m\r\nConnection: x-hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\n";
    client.write(request("POST /order/7f?x=1%20&y", "r-1", more, "the body"));
    let (message, mut peer) = next_request(&backend, &mut Vec::new());
    assert_eq!(
        transcript(&message),
        "POST /order/7f?x=1%20&y HTTP/1.1\n\
         content-length: 8\n\
         host: shop.example\n\
         priority: 0\n\
         x-deadline-ms: (left)\n\
         x-expected-instance: i-1\n\
         x-model: m\n\
         x-request-id: r-1\n\
         x-tenant-id: acme\n\
         \n\
         the body"
    );
    let remaining: u64 = message.header("x-deadline-ms").and_then(|ms| ms.parse().ok()).expect("a number");
    assert!(remaining > 10_000 && remaining < 15_000, "{remaining} ms");
    let more = "X-Backend-Load: 1,0,8\r\nKeep-Alive: timeout=9\r\nContent-Type: text/plain\r\n";
    peer.write(response("200 OK", "r-1", more, "done"));
    assert_eq!(
        transcript(&client.read()),
        "HTTP/1.1 200 OK\n\
         content-length: 4\n\
         content-type: text/plain\n\
         x-request-id: r-1\n\
         x-response-signature: stamp-r-1\n\
         \n\
         done"
    );
    // Both connections are reused.
    client.write(request("GET /look/1", "r-2", "", ""));
    let (message, mut peer) = next_request(&backend, &mut vec![peer]);
    assert_eq!(message.first, "GET /look/1 HTTP/1.1");
    peer.write(response("404 Not Found", "r-2", "", "none"));
    assert_eq!(
        transcript(&client.read()),
        "HTTP/1.1 404 Not Found\ncontent-length: 4\nx-request-id: r-2\nx-response-signature: stamp-r-2\n\nnone"
    );
    assert!(backend.is_untouched());
}

#[test]
fn a_chunked_body_is_forwarded_unchanged() {
    let backend = Listener::new();
    let plane = DataPlane::new(&configuration(|_| {}), &[&backend]);
    let mut client = plane.client();
    client.write(
        "POST /order/1 HTTP/1.1\r\nHost: shop.example:80\r\nX-Request-Id: r-1\r\nAuthorization: Token k-2\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
    );
    client.write(chunk("one ") + &chunk("two"));
    assert!(backend.is_untouched());
    client.write("0\r\n\r\n");
    let (message, mut peer) = next_request(&backend, &mut Vec::new());
    assert_eq!(message.body, b"one two");
    peer.write(response("200 OK", "r-1", "", ""));
    assert_eq!(client.read().status(), 200);
}

#[test]
fn events_are_forwarded_as_they_arrive() {
    let backend = Listener::new();
    let plane = DataPlane::new(&configuration(|_| {}), &[&backend]);
    for route in ["ask", "read"] {
        let mut client = plane.client();
        client.write(request(&format!("POST /{route}/1"), "r-1", "", "x"));
        let (_, mut peer) = next_request(&backend, &mut Vec::new());
        peer.write(stream_head("r-1") + &chunk(&event(1)));
        let mut buffer = vec![0; 4096];
        let mut received = String::new();
        while !received.contains("d1\n\n") {
            let count = std::io::Read::read(&mut client.stream, &mut buffer).expect("the first event");
            received += std::str::from_utf8(&buffer[..count]).expect("UTF-8");
        }
        assert!(received.starts_with("HTTP/1.1 200 OK\r\n") && !received.contains("d2"), "{received}");
        peer.write(chunk(&event(2)) + "0\r\n\r\n");
        while !received.ends_with("0\r\n\r\n") {
            let count = std::io::Read::read(&mut client.stream, &mut buffer).expect("the second event");
            received += std::str::from_utf8(&buffer[..count]).expect("UTF-8");
        }
        let (head, body) = received.split_once("\r\n\r\n").expect("a head");
        assert!(
            head.contains("x-response-signature: stamp-r-1") && head.contains("text/event-stream"),
            "{head}"
        );
        assert_eq!(body, chunk(&event(1)) + &chunk(&event(2)) + "0\r\n\r\n");
        drop(peer);
    }
}

#[test]
fn invalid_unauthorized_and_unroutable_requests_reach_no_backend() {
    let backend = Listener::new();
    let open = configuration(|c| c["routes"][0]["public"] = true.into());
    let plane = DataPlane::new(&open, &[&backend]);
    let status = |text: &str| {
        let mut client = plane.client();
        client.write(text);
        client.read().status()
    };
    assert_eq!(status(&request("GET /other/1", "r", "", "")), 404);
    assert_eq!(status(&request("GET /look", "r", "", "")), 404);
    assert_eq!(status(&request("GET /order/1", "r", "", "").replace("shop.example", "shop.other")), 404);
    assert_eq!(status(&request("GET /order/1", "r", "", "").replace("k-1", "k-9")), 401);
    assert_eq!(
        status(&request("GET /order/1", "r", "", "").replace("Authorization: Token k-1\r\n", "")),
        401
    );
    assert_eq!(status(&request("GET /order/1", "r", "", "").replace("Token", "Bearer")), 401);
    assert_eq!(status(&request("POST /order/1", "r", "", &"x".repeat(100_001))), 413);
    assert_eq!(
        status(&request("GET /order/1", "r", &format!("X-Long: {}\r\n", "x".repeat(17_000)), "")),
        431
    );
    assert_eq!(status(&request("GET /order/1", "r", "Content-Length: 0\r\n", "")), 400);
    assert_eq!(status(&request("GET /order/1", "r", "Transfer-Encoding: chunked\r\n", "")), 400);
    assert!(backend.is_untouched());
    // A public route requires no key, and a request with an unknown key has no tenant.
    let mut client = plane.client();
    client.write(request("GET /look/1", "r-1", "X-Tenant-Id: acme\r\n", "").replace("k-1", "k-9"));
    let (message, _peer) = next_request(&backend, &mut Vec::new());
    assert_eq!((message.header("x-tenant-id"), message.header("authorization")), (None, None));
}

#[test]
fn the_node_is_ready_once_it_has_a_configuration_and_a_list_of_backends() {
    let backend = Listener::new();
    let mut plane = DataPlane::empty(settings(""));
    assert_eq!(plane.readiness_status(), 503);
    let mut client = plane.client();
    client.write(request("GET /look/1", "r-1", "", ""));
    assert_eq!(client.read().status(), 503);
    plane.configure(&configuration(|_| {}));
    assert_eq!(plane.readiness_status(), 503);
    plane.set_backends(&ready_backends(&[&backend]));
    plane.configure(&configuration(|_| {}));
    assert_eq!(plane.readiness_status(), 200);
    plane.terminate();
    while plane.readiness_status() != 503 {}
}

#[test]
fn without_backends_a_request_is_rejected_at_once_with_retry_after() {
    let plane = DataPlane::new(&configuration(|_| {}), &[]);
    let mut client: Peer = plane.client();
    client.write(request("POST /order/1", "r-1", "", "x"));
    // At least half the latency target of ten seconds, but at most two seconds.
    assert_eq!(
        transcript(&client.read()),
        "HTTP/1.1 503 Service Unavailable\ncontent-length: 0\nretry-after: 2.000"
    );
}
