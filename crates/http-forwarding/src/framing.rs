//! The framing of requests: where a request ends, and whether two readers of its head could disagree about
//! that (RFC 9112, sections 2.2, 5 and 6). An ambiguous head is rejected, never repaired: a recipient that
//! reads it the other way finds a second request in the body of the first (request smuggling). Only heads are
//! parsed.

use quick_error::quick_error;

/// The maximum number of header lines in a head, the same as that of hyper.
pub const MAX_HEADERS: usize = 100;

/// Which line endings a head may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineEndings {
    /// Every line must end with CR LF.
    Strict,
    /// A line may also end with LF alone, as RFC 9112 (section 2.2) permits.
    Lenient,
}

/// What delimits the body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// A length in bytes.
    Length(u64),
    /// The chunked coding, whose last chunk ends the body.
    Chunked,
}

quick_error! {
    /// Why the framing of a request is rejected. The texts are sent to clients.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum FramingError {
        /// `Content-Length` occurs twice, or beside `Transfer-Encoding`.
        ConflictingLengths {
            display("content-length: said twice, or beside transfer-encoding")
        }
        /// `Content-Length` is not a number.
        InvalidLength {
            display("content-length: not a number")
        }
        /// `chunked` occurs more than once, or is not the last transfer coding.
        InvalidChunked {
            display("transfer-encoding: chunked, and that more than once or not last")
        }
        /// An unsupported transfer coding: the body could not be forwarded unchanged.
        UnsupportedCoding {
            display("transfer-encoding: a coding that is not passed on")
        }
        /// A transfer coding in HTTP/1.0, which defines none.
        CodingInHttp10 {
            display("transfer-encoding: HTTP/1.0 has none")
        }
        /// A line ends with LF alone.
        BareLineFeed {
            display("a line of the head ends without CR")
        }
        /// A line is continued on the next one (obsolete line folding).
        FoldedLine {
            display("a line of the head goes on in the next")
        }
    }
}

impl FramingError {
    /// The status code of the response to the client.
    pub fn status(self) -> u16 {
        if self == FramingError::UnsupportedCoding { 501 } else { 400 }
    }
}

/// A complete head of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The length of the head in bytes, including the blank line.
    pub length: usize,
    /// The framing of the body, or why it is rejected.
    pub body: Result<BodyFraming, FramingError>,
}

/// Parses the head at the start of these bytes. Uses the parser that hyper uses, so that both agree. `None`
/// if the head is incomplete.
///
/// # Errors
/// The parser rejects the head, as hyper will.
pub fn parse_head(bytes: &[u8], endings: LineEndings) -> Result<Option<RequestHead>, httparse::Error> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(length) = request.parse(bytes)? else { return Ok(None) };
    let lines = match endings {
        LineEndings::Strict => check_line_endings(&bytes[..length]),
        LineEndings::Lenient => Ok(()),
    };
    let body = lines.and_then(|()| body_framing(request.headers, request.version));
    Ok(Some(RequestHead { length, body }))
}

/// Checks that each line of a head ends with CR LF and is not folded.
fn check_line_endings(head: &[u8]) -> Result<(), FramingError> {
    // Every parser skips empty lines before the request line.
    let start = head.iter().position(|byte| !matches!(byte, b'\r' | b'\n')).unwrap_or(head.len());
    let mut previous = 0;
    for (offset, byte) in head.iter().enumerate().skip(start) {
        if *byte == b'\n' {
            if previous != b'\r' {
                return Err(FramingError::BareLineFeed);
            }
            if matches!(head.get(offset + 1), Some(b' ' | b'\t')) {
                return Err(FramingError::FoldedLine);
            }
        }
        previous = *byte;
    }
    Ok(())
}

/// Determines the framing of the body from the header fields. `minor_version` is that of HTTP/1.x.
fn body_framing(
    headers: &[httparse::Header],
    minor_version: Option<u8>,
) -> Result<BodyFraming, FramingError> {
    let values = |name: &'static str| {
        headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
    };
    let mut lengths = values("content-length");
    let (length, second_length) = (lengths.next(), lengths.next());
    let mut codings = values("transfer-encoding").flat_map(|value| value.split(|byte| *byte == b','));
    let first_coding = codings.next();
    if second_length.is_some() || length.is_some() && first_coding.is_some() {
        return Err(FramingError::ConflictingLengths);
    }
    if let Some(first) = first_coding {
        if minor_version == Some(0) {
            return Err(FramingError::CodingInHttp10);
        }
        return match (first.trim_ascii().eq_ignore_ascii_case(b"chunked"), codings.next()) {
            (true, None) => Ok(BodyFraming::Chunked),
            (true, Some(_)) => Err(FramingError::InvalidChunked),
            (false, _) => Err(FramingError::UnsupportedCoding),
        };
    }
    length.map_or(Ok(BodyFraming::Length(0)), parse_length)
}

/// Parses the value of `Content-Length`. Accepts digits only; the parser of `u64` would also accept a sign.
fn parse_length(value: &[u8]) -> Result<BodyFraming, FramingError> {
    let text = std::str::from_utf8(value.trim_ascii()).ok();
    let digits = text.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
    digits.and_then(|digits| digits.parse().ok()).map(BodyFraming::Length).ok_or(FramingError::InvalidLength)
}

/// The position of the next byte in a stream of requests. The result does not depend on how the stream is
/// divided into reads.
#[derive(Debug)]
pub enum StreamPosition {
    /// In a head, of which these bytes have been received.
    Head(Vec<u8>),
    /// In a body with this number of bytes remaining.
    Body(u64),
    /// In a part that is not checked: hyper has rejected the head, or the connection is closed after this
    /// request, as it is after one with a chunked body.
    Unchecked,
}

impl Default for StreamPosition {
    fn default() -> Self {
        StreamPosition::Head(Vec::new())
    }
}

/// What the bytes of one read contained.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct HeadObservation {
    /// The first framing error in any of the heads.
    pub error: Option<FramingError>,
    /// Whether the bytes end within a head.
    pub is_head_incomplete: bool,
}

impl StreamPosition {
    /// Advances the position by these bytes, and reports what they contain.
    pub fn advance(&mut self, mut bytes: &[u8], endings: LineEndings) -> HeadObservation {
        let mut observed = HeadObservation::default();
        while !bytes.is_empty() {
            match self {
                StreamPosition::Unchecked => return observed,
                StreamPosition::Body(remaining) => {
                    let skipped = (*remaining).min(bytes.len() as u64);
                    bytes = &bytes[skipped as usize..];
                    *remaining -= skipped;
                    if *remaining == 0 {
                        *self = StreamPosition::default();
                    }
                }
                StreamPosition::Head(received) => {
                    let received_before = received.len();
                    received.extend_from_slice(bytes);
                    // Only a line feed can complete a head. This avoids parsing a head again for each byte
                    // where it arrives byte by byte.
                    let head = if bytes.contains(&b'\n') { parse_head(received, endings) } else { Ok(None) };
                    match head {
                        Ok(Some(head)) => {
                            bytes = &bytes[head.length.saturating_sub(received_before)..];
                            observed.error = observed.error.or(head.body.err());
                            *self = StreamPosition::after(head);
                        }
                        Ok(None) => {
                            observed.is_head_incomplete = true;
                            return observed;
                        }
                        Err(_) => {
                            *self = StreamPosition::Unchecked;
                            return observed;
                        }
                    }
                }
            }
        }
        observed
    }

    /// The position after a complete head.
    fn after(head: RequestHead) -> Self {
        match head.body {
            Ok(BodyFraming::Length(0)) => StreamPosition::default(),
            Ok(BodyFraming::Length(length)) => StreamPosition::Body(length),
            Ok(BodyFraming::Chunked) | Err(_) => StreamPosition::Unchecked,
        }
    }
}
