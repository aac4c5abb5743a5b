//! The framing of request bodies, and heads that could be read in two ways.

use http_forwarding::framing::{BodyFraming, FramingError, LineEndings, StreamPosition, parse_head};
use proptest::prelude::*;

fn body_of(lines: &str, endings: LineEndings) -> Option<Result<BodyFraming, FramingError>> {
    let version = if lines.starts_with('0') { "1.0" } else { "1.1" };
    let head = format!("POST /a HTTP/{version}\r\n{}\r\n\r\n", lines.trim_start_matches('0'));
    parse_head(head.as_bytes(), endings).ok().flatten().map(|head| head.body)
}

#[test]
fn body_framing_is_determined_or_rejected_by_header_and_line_endings() {
    use FramingError::*;
    for (lines, expected) in [
        ("X: y", Ok(BodyFraming::Length(0))),
        ("Content-Length: 5", Ok(BodyFraming::Length(5))),
        ("content-length:   5  ", Ok(BodyFraming::Length(5))),
        ("Transfer-Encoding: chunked", Ok(BodyFraming::Chunked)),
        ("TRANSFER-encoding: \tChunked ", Ok(BodyFraming::Chunked)),
        ("Content-Length: 5\r\nContent-Length: 5", Err(ConflictingLengths)),
        ("Content-Length: 5\r\nContent-Length: 6", Err(ConflictingLengths)),
        ("Content-Length: 5\r\nTransfer-Encoding: chunked", Err(ConflictingLengths)),
        ("Transfer-Encoding: chunked\r\nX: y\r\nContent-Length: 0", Err(ConflictingLengths)),
        ("Content-Length: 5, 5", Err(InvalidLength)),
        ("Content-Length: +5", Err(InvalidLength)),
        ("Content-Length: -1", Err(InvalidLength)),
        ("Content-Length: 0x10", Err(InvalidLength)),
        ("Content-Length: 1e3", Err(InvalidLength)),
        ("Content-Length: 99999999999999999999", Err(InvalidLength)),
        ("Transfer-Encoding: chunked, chunked", Err(InvalidChunked)),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", Err(InvalidChunked)),
        ("Transfer-Encoding: chunked, gzip", Err(InvalidChunked)),
        ("Transfer-Encoding: gzip, chunked", Err(UnsupportedCoding)),
        ("Transfer-Encoding: identity", Err(UnsupportedCoding)),
        ("Transfer-Encoding: xchunked", Err(UnsupportedCoding)),
        ("Transfer-Encoding: \"chunked\"", Err(UnsupportedCoding)),
        ("Transfer-Encoding:", Err(UnsupportedCoding)),
        ("0Transfer-Encoding: chunked", Err(CodingInHttp10)),
        ("0Content-Length: 3", Ok(BodyFraming::Length(3))),
    ] {
        assert_eq!(body_of(lines, LineEndings::Strict), Some(expected), "{lines:?}");
    }
    for text in
        ["POST /a HTTP/1.1\nA: b\r\n\r\n", "POST /a HTTP/1.1\r\nA: b\n\r\n", "POST /a HTTP/1.1\r\nA: b\r\n\n"]
    {
        let of = |endings| parse_head(text.as_bytes(), endings).ok().flatten().map(|head| head.body);
        assert_eq!(of(LineEndings::Strict), Some(Err(BareLineFeed)), "{text:?}");
        assert_eq!(of(LineEndings::Lenient), Some(Ok(BodyFraming::Length(0))), "{text:?}");
    }
    // The parser rejects a folded line by itself.
    assert!(parse_head(b"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", LineEndings::Strict).is_err());
}

proptest! {
    /// The observation does not depend on how the bytes are divided into reads.
    #[test]
    fn splitting_the_bytes_does_not_change_the_observation(
        picks in prop::collection::vec(0usize..8, 1..6),
        chunk_lengths in prop::collection::vec(1usize..40, 1..60),
    ) {
        let requests = [
            "GET /a HTTP/1.1\r\nHost: a\r\n\r\n",
            "POST /a HTTP/1.1\r\nContent-Length: 46\r\n\r\nGET / HTTP/1.1\r\nTransfer-Encoding: a, b\r\n\r\n\0\0",
            "POST /b HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
            "POST /b HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
            "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked, chunked\r\n\r\n",
            "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "GET /a HTTP/1.1\nHost: a\r\n\r\n",
            "\r\nGET /c HTTP/1.1\r\n\r\n",
        ];
        let text: String = picks.iter().map(|pick| requests[*pick]).collect();
        let at_once = StreamPosition::default().advance(text.as_bytes(), LineEndings::Strict);
        let (mut position, mut left, mut error, mut is_head_incomplete) = (StreamPosition::default(), text.as_bytes(), None, false);
        for length in chunk_lengths.iter().cycle() {
            if left.is_empty() { break; }
            let (chunk, rest) = left.split_at((*length).min(left.len()));
            let observed = position.advance(chunk, LineEndings::Strict);
            (error, is_head_incomplete, left) = (error.or(observed.error), observed.is_head_incomplete, rest);
        }
        prop_assert_eq!((error, is_head_incomplete), (at_once.error, at_once.is_head_incomplete));
        // The first error is that of the first faulty request, unless an unchecked one precedes it.
        let first = picks.iter().find_map(|pick| match pick {
            3 => Some(Some(FramingError::ConflictingLengths)),
            4 => Some(Some(FramingError::InvalidChunked)),
            5 => Some(None),
            6 => Some(Some(FramingError::BareLineFeed)),
            _ => None,
        });
        prop_assert_eq!(at_once.error, first.flatten());
    }
}
