//! Recorded traffic: one JSON object per line. Invalid lines are skipped and counted.
//!
//! ```text
//! {"t":0.016,"method":"POST","target":"/tally-submit/7f3a","class":"tally-submit","tenant":"pati","key":true,"body":212}
//! ```
//!
//! `t` is the time in seconds from an arbitrary origin; the earliest counts as 0. `tenant`, `key` (whether
//! the request had an `Idempotency-Key`) and `body` (its size in bytes) are optional. Other fields are
//! ignored.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A line of a trace. Its fields are the keys of the JSON object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Line")] // the name in error messages
pub struct TraceEntry {
    /// When the request was sent, in seconds from an arbitrary origin.
    pub t: f64,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub target: String,
    /// The name of the class in reports.
    pub class: String,
    /// The tenant; `None` for a request without one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// Whether the request had an idempotency key.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub key: bool,
    /// The size of the body, in bytes.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub body: usize,
}

fn is_zero(n: &usize) -> bool {
    *n == 0
}

/// A request of a trace with its due time.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceRequest {
    /// When it is due, since the first request and scaled by the speed.
    pub at: Duration,
    /// The recorded line.
    pub entry: TraceEntry,
}

/// An invalid line of a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidLine {
    /// The line number, from 1.
    pub number: usize,
    /// Why the line is invalid.
    pub reason: String,
}

/// A trace that can be replayed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace {
    /// The valid requests by due time.
    pub requests: Vec<TraceRequest>,
    /// The number of invalid lines.
    pub invalid_lines: usize,
    /// The first invalid line; `None` if all are valid.
    pub first_invalid: Option<InvalidLine>,
    /// The number of lines whose time is before that of the previous valid line. They are sent at their own
    /// times.
    pub out_of_order: usize,
    /// Whether the last line is incomplete, in which case it is not sent.
    pub is_truncated: bool,
}

quick_error! {
    /// Why a line of a trace is invalid.
    #[derive(Debug)]
    enum EntryError {
        /// The line is not an entry in JSON.
        Parse(source: serde_json::Error) {
            from()
            display("{source}")
            source(source)
        }
        /// The time is not a finite number.
        InvalidTime {
            display("t: not a time")
        }
        /// The target does not begin with a slash, or has a space or a control character.
        InvalidTarget {
            display("target: not a path")
        }
        /// The method is not in capital letters.
        InvalidMethod {
            display("method: not a method")
        }
        /// The body is larger than [`MAX_BODY`].
        BodyTooLarge {
            display("body: {MAX_BODY} bytes at most")
        }
    }
}

/// The largest request body, in bytes.
const MAX_BODY: usize = 16 << 20;

/// Parses a trace. A `speed` of 2 replays it twice as fast as it was recorded; a speed that is not above 0
/// counts as 1.
pub fn read(text: &[u8], speed: f64) -> Trace {
    let mut trace = Trace::default();
    let mut entries: Vec<TraceEntry> = Vec::new();
    let is_complete = text.ends_with(b"\n") || text.is_empty();
    let lines: Vec<_> = text.split(|byte| *byte == b'\n').collect();
    let count = lines.len();
    for (number, line) in (1..).zip(lines) {
        if line.trim_ascii().is_empty() {
            continue;
        }
        match read_entry(line) {
            Ok(entry) => {
                let is_out_of_order = entries.last().is_some_and(|last| last.t > entry.t);
                trace.out_of_order += usize::from(is_out_of_order);
                entries.push(entry);
            }
            // A truncated trace ends in the middle of a line: that line counts as incomplete, not as invalid.
            Err(_) if number == count && !is_complete => trace.is_truncated = true,
            Err(error) => {
                trace.invalid_lines += 1;
                trace.first_invalid.get_or_insert_with(|| InvalidLine { number, reason: error.to_string() });
            }
        }
    }
    entries.sort_by(|a, b| a.t.total_cmp(&b.t));
    let first = entries.first().map_or(0.0, |entry| entry.t);
    let speed = if speed.is_finite() && speed > 0.0 { speed } else { 1.0 };
    let at = |t: f64| Duration::try_from_secs_f64((t - first) / speed).unwrap_or(Duration::MAX);
    trace.requests = entries.into_iter().map(|entry| TraceRequest { at: at(entry.t), entry }).collect();
    trace
}

fn read_entry(line: &[u8]) -> Result<TraceEntry, EntryError> {
    let entry: TraceEntry = serde_json::from_slice(line)?;
    if !entry.t.is_finite() {
        return Err(EntryError::InvalidTime);
    }
    if !entry.target.starts_with('/') || entry.target.bytes().any(|b| b <= b' ' || b == 0x7f) {
        return Err(EntryError::InvalidTarget);
    }
    if entry.method.is_empty() || !entry.method.bytes().all(|b| b.is_ascii_uppercase()) {
        return Err(EntryError::InvalidMethod);
    }
    if entry.body > MAX_BODY {
        return Err(EntryError::BodyTooLarge);
    }
    Ok(entry)
}

#[cfg(test)]
mod tests;
