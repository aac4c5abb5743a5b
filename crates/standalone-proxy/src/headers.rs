//! The header fields that the node itself reads or writes, and the maximum size of a message head.

use hyper::header::HeaderName;
use join_up_to::MAX_DURATION;
use std::time::Duration;

/// The maximum size of a message head, in bytes. Limits what hyper buffers for a connection.
pub const MAX_HEAD_SIZE: usize = 16 << 10;

/// The id that the client has given a request.
pub const CORRELATION: HeaderName = HeaderName::from_static("x-correlation-id");
/// How long the client waits for the response, in seconds.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
/// The tenant of the platform's requests.
pub const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
/// `1` if the client has sent the request before.
pub const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
/// The expected cost of a request, in microseconds.
pub const WEIGHT_HINT: HeaderName = HeaderName::from_static("x-weight-hint");
/// The key by which a backend recognizes a request that it has already executed.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Parses a duration in seconds, with decimals, as in [`TIME_LEFT`]. Larger values are reduced to
/// [`MAX_DURATION`].
pub fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds = text.trim().parse::<f64>().ok().filter(|s| s.is_finite() && *s >= 0.0)?;
    Duration::try_from_secs_f64(seconds.min(MAX_DURATION.as_secs_f64())).ok()
}
