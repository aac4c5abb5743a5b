//! Streams whose backend breaks off: what the client receives, and what is requested of another backend.

mod harness;

use harness::{DataPlane, chunk, configuration, event, next_request_of, request, response, stream_head};
use test_peers::{Listener, Message, Peer};

/// A request for a stream, which one of four backends has received.
struct BrokenStreamTest {
    plane: DataPlane,
    client: Peer,
    /// The backends that have not received the request.
    backends: Vec<Listener>,
    /// The connection to the first backend.
    first: Peer,
}

impl BrokenStreamTest {
    fn new(route: &str, more: &str) -> (BrokenStreamTest, Message) {
        let mut backends = vec![Listener::new(), Listener::new(), Listener::new(), Listener::new()];
        let plane = DataPlane::new(&configuration(|_| {}), &backends.iter().collect::<Vec<_>>());
        let mut client = plane.client();
        client.write(request(&format!("POST /{route}/1"), "r-1", more, "x"));
        let (index, message, first) = next_request_of(&backends.iter().collect::<Vec<_>>());
        backends.remove(index);
        (BrokenStreamTest { plane, client, backends, first }, message)
    }

    /// Reads the next request at one of the other backends.
    fn next(&self) -> (Message, Peer) {
        let (_, message, peer) = next_request_of(&self.backends.iter().collect::<Vec<_>>());
        (message, peer)
    }

    fn are_untouched(&self) -> bool {
        self.backends.iter().all(Listener::is_untouched)
    }

    /// Closes the connection to the first backend, and puts an unused one in its place.
    fn break_off(&mut self) {
        let unused = self.plane.client();
        drop(std::mem::replace(&mut self.first, unused));
    }

    /// Reads until the client's connection ends. Returns the body, and whether it is complete by its framing.
    fn end(mut self) -> (String, bool) {
        let (received, _) = self.client.read_to_end();
        let received = String::from_utf8(received).expect("UTF-8");
        let Some((head, mut body)) = received.split_once("\r\n\r\n") else { return (String::new(), false) };
        assert!(head.starts_with("HTTP/1.1 200 OK"), "{head}");
        let mut text = String::new();
        while let Some((size, rest)) = body.split_once("\r\n") {
            let size = usize::from_str_radix(size, 16).expect("a size");
            if size == 0 {
                return (text, true);
            }
            text += &rest[..size];
            body = &rest[size + 2..];
        }
        (text, false)
    }
}

#[test]
fn a_stream_that_is_not_resumable_is_truncated_when_its_backend_breaks_off() {
    let (mut test, _) = BrokenStreamTest::new("ask", "");
    test.first.write(stream_head("r-1") + &chunk(&event(1)) + &chunk("id: 2\nda"));
    test.break_off();
    assert!(test.are_untouched());
    let (text, complete) = test.end();
    assert_eq!((text.as_str(), complete), ("id: 1\ndata: d1\n\nid: 2\nda", false));
}

#[test]
fn a_stream_resumes_after_the_last_complete_event_in_the_same_response() {
    let (mut test, _) = BrokenStreamTest::new("read", "Connection: close\r\n");
    test.first.write(stream_head("r-1") + &chunk(&event(1)) + &chunk(&(event(2) + "id: 3\nda")));
    test.break_off();
    let (message, mut second) = test.next();
    assert_eq!(message.first, "POST /read/1 HTTP/1.1");
    assert_eq!((message.header("last-event-id"), message.header("x-request-id")), (Some("2"), Some("r-1")));
    assert_eq!(message.body, b"x");
    let head = stream_head("r-1").replace("stamp-r-1", "stamp-of-the-second");
    second.write(head + &chunk(&event(3)) + &chunk(&event(4)) + "0\r\n\r\n");
    let (text, complete) = test.end();
    assert_eq!((text, complete), (event(1) + &event(2) + &event(3) + &event(4), true));
}

#[test]
fn a_stream_is_resumed_at_most_twice() {
    let (mut test, _) = BrokenStreamTest::new("read", "");
    test.first.write(stream_head("r-1") + &chunk(&event(1)));
    test.break_off();
    let (message, mut second) = test.next();
    assert_eq!(message.header("last-event-id"), Some("1"));
    second.write(stream_head("r-1") + &chunk(&event(2)));
    drop(second);
    let (message, mut third) = test.next();
    assert_eq!(message.header("last-event-id"), Some("2"));
    third.write(stream_head("r-1") + &chunk(&event(3)));
    drop(third);
    let (text, complete) = test.end();
    assert_eq!((text, complete), (event(1) + &event(2) + &event(3), false));
}

#[test]
fn a_stream_that_breaks_off_before_its_first_event_is_restarted_at_another_backend() {
    for broken in [stream_head("r-1"), stream_head("r-1") + &chunk("id: 1\nda"), String::new()] {
        let (mut test, _) = BrokenStreamTest::new("read", "Connection: close\r\nLast-Event-Id: 7\r\n");
        test.first.write(broken);
        test.break_off();
        let (message, mut second) = test.next();
        assert_eq!(message.header("last-event-id"), Some("7"), "the value that the client sent");
        second.write(stream_head("r-1") + &chunk(&event(8)) + "0\r\n\r\n");
        assert_eq!(test.end(), (event(8), true));
    }
}

#[test]
fn a_resumed_stream_that_a_backend_rejects_is_sent_to_another() {
    let (mut test, _) = BrokenStreamTest::new("read", "Connection: close\r\n");
    test.first.write(stream_head("r-1") + &chunk(&event(1)));
    test.break_off();
    let (_, mut second) = test.next();
    second.write(response("503 Service Unavailable", "r-1", "X-Not-Executed: 1\r\n", "full"));
    let (message, mut third) = test.next();
    assert_eq!(message.header("last-event-id"), Some("1"));
    third.write(stream_head("r-1") + &chunk(&event(2)) + "0\r\n\r\n");
    assert_eq!(test.end(), (event(1) + &event(2), true));
}

#[test]
fn a_stream_without_ids_is_not_resumed() {
    let (mut test, _) = BrokenStreamTest::new("read", "");
    test.first.write(stream_head("r-1") + &chunk("data: d1\n\n"));
    test.break_off();
    let backends = std::mem::take(&mut test.backends);
    let (text, complete) = test.end();
    assert_eq!((text.as_str(), complete), ("data: d1\n\n", false));
    assert!(backends.iter().all(Listener::is_untouched));
}

#[test]
fn events_that_a_resumed_stream_repeats_are_not_forwarded_again() {
    let (mut test, _) = BrokenStreamTest::new("read", "Connection: close\r\n");
    test.first.write(stream_head("r-1") + &chunk(&(event(1) + &event(2))));
    test.break_off();
    let (_, mut second) = test.next();
    second.write(stream_head("r-1") + &chunk(&(event(2) + &event(3))) + "0\r\n\r\n");
    assert_eq!(test.end(), (event(1) + &event(2) + &event(3), true));
}
