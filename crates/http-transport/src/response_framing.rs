//! Checks whether the end of a response is unambiguous (RFC 9112, section 6.3), and whether an error is that
//! of its connection. Reads no socket.

use http_forwarding::forward::list_contains;
use hyper::header::{self, HeaderMap};
use quick_error::quick_error;
use std::error::Error;
use std::io;

quick_error! {
    /// Why a response is not forwarded: a truncation of it could not be detected.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum FramingError {
        /// The head does not delimit the body, or does so in several ways.
        Ambiguous { display("the end of the body is not announced, or in several ways") }
    }
}

/// Checks that a response delimits its body in exactly one way: by one length, in chunks, or by the close of
/// its connection if it announces that close. A response that announces nothing is indistinguishable from a
/// truncated one. If a response announces the close, a lost connection is still recognized, as it shows as a
/// reset.
///
/// # Errors
/// The end of the body is not announced, or announced in several ways.
pub fn validate_framing(headers: &HeaderMap) -> Result<(), FramingError> {
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().map(|l| (true, l));
    let codings = headers.get_all(header::TRANSFER_ENCODING).iter().map(|c| (false, c));
    let mut delimiters = lengths.chain(codings);
    let is_valid = match delimiters.next() {
        Some((true, length)) => length.as_bytes().iter().all(u8::is_ascii_digit),
        Some((false, coding)) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        None => list_contains(headers, header::CONNECTION, "close"),
    };
    if is_valid && delimiters.next().is_none() { Ok(()) } else { Err(FramingError::Ambiguous) }
}

/// Whether a body ended because its connection was lost, rather than because of malformed data.
pub fn is_connection_error(e: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(e);
    while let Some(e) = cause {
        if let Some(e) = e.downcast_ref::<io::Error>() {
            return !matches!(e.kind(), io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput);
        }
        cause = e.source();
    }
    false
}
