//! The header fields that are forwarded, removed and written.

use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, Version};
use http_forwarding::forward::{Forwarding, Hop, MaxForwards, max_forwards, strip_hop_by_hop};

fn headers(lines: &[(&'static str, &'static str)]) -> HeaderMap {
    lines.iter().map(|(n, v)| (HeaderName::from_static(n), HeaderValue::from_static(v))).collect()
}

fn hop(from: &str) -> Hop {
    Hop { from: from.parse().expect("an address"), secure: false, version: Version::HTTP_11 }
}

fn all(trusted: &str) -> Forwarding {
    Forwarding {
        x_forwarded: true,
        forwarded: true,
        via: Some(HeaderValue::from_static("node-1")),
        trusted: vec![trusted.parse().expect("a network")],
    }
}

#[test]
fn untrusted_forwarding_fields_are_removed() {
    let received = [
        ("host", "tally.example:80"),
        ("x-forwarded-for", "6.6.6.6"),
        ("x-forwarded-proto", "https"),
        ("x-forwarded-host", "evil.example"),
        ("x-real-ip", "6.6.6.6"),
        ("forwarded", "for=6.6.6.6"),
        ("via", "1.1 before"),
    ];
    let mut map = headers(&received);
    all("10.0.0.0/8").write(&mut map, hop("192.0.2.7:5000"));
    assert_eq!(map["x-forwarded-for"], "192.0.2.7");
    assert_eq!(map["x-forwarded-proto"], "http");
    assert_eq!(map["x-forwarded-host"], "tally.example:80");
    assert_eq!(map["forwarded"], "for=192.0.2.7;host=\"tally.example:80\";proto=http");
    assert_eq!(map["via"], "1.1 before, 1.1 node-1");
    assert!(!map.contains_key("x-real-ip"));
    // The fields of a trusted hop stay, and the hop itself is appended. An IPv4-mapped IPv6 address is the
    // IPv4 address.
    let mut map = headers(&received);
    all("10.0.0.0/8").write(&mut map, hop("[::ffff:10.1.2.3]:5000"));
    assert_eq!(map["x-forwarded-for"], "6.6.6.6, 10.1.2.3");
    assert_eq!(
        (&map["x-forwarded-proto"], &map["x-forwarded-host"]),
        (&HeaderValue::from_static("https"), &HeaderValue::from_static("evil.example"))
    );
    assert!(map["forwarded"].to_str().expect("text").starts_with("for=6.6.6.6, for=10.1.2.3;"));
    // Without fields to write, those of an untrusted client are removed all the same.
    let mut map = headers(&received);
    Forwarding::default().write(&mut map, hop("192.0.2.7:5000"));
    assert_eq!(map.len(), 2, "{map:?}");
}

#[test]
fn an_ipv6_address_is_quoted_in_forwarded() {
    let mut map = headers(&[("host", "a")]);
    all("10.0.0.0/8").write(&mut map, hop("[2001:db8::7]:5000"));
    assert_eq!(map["forwarded"], "for=\"[2001:db8::7]\";host=\"a\";proto=http");
    assert_eq!(map["x-forwarded-for"], "2001:db8::7");
}

#[test]
fn hop_by_hop_fields_are_removed_and_protected_fields_stay() {
    let map = strip_hop_by_hop(headers(&[
        ("connection", "x-one, Host, Idempotency-Key, close"),
        ("x-one", "1"),
        ("x-two", "2"),
        ("host", "a"),
        ("idempotency-key", "k"),
        ("te", "trailers"),
        ("transfer-encoding", "chunked"),
        ("upgrade", "websocket"),
        ("expect", "100-continue"),
    ]));
    let mut names: Vec<_> = map.keys().map(HeaderName::as_str).collect();
    names.sort_unstable();
    assert_eq!(names, ["host", "idempotency-key", "x-two"]);
}

#[test]
fn max_forwards_counts_for_options_and_trace_only() {
    let of = |method, value| max_forwards(&method, &headers(&[("max-forwards", value)]));
    assert_eq!(of(Method::OPTIONS, "0"), MaxForwards::RespondLocally);
    assert_eq!(of(Method::TRACE, "3"), MaxForwards::Forward(Some(2)));
    assert_eq!(of(Method::GET, "0"), MaxForwards::Forward(None));
    assert_eq!(of(Method::OPTIONS, "many"), MaxForwards::Forward(None));
    assert_eq!(max_forwards(&Method::OPTIONS, &HeaderMap::new()), MaxForwards::Forward(None));
}
