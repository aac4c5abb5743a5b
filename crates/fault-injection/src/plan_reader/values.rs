//! Readers of values that only plans have, and helpers for defaults and errors.

use crate::plan::DurationRange;
use route_config::diagnostic::{Code, Diagnostic, Report};
use route_config::read::{self, Value};
use std::ops::Range;
use std::time::Duration;
use toml::de::DeValue;

/// Reports an error of the text, with a help text on how to correct it.
pub(super) fn push(report: &mut Report, code: Code, at: Range<usize>, what: String, help: &str) {
    report.push(Diagnostic::new(code, at, what, help));
}

/// Reads a value; a missing or invalid one is replaced by the default.
pub(super) fn or_default<T>(value: Option<Value>, default: T, read: impl FnOnce(Value) -> Option<T>) -> T {
    value.and_then(read).unwrap_or(default)
}

/// Whether a duration may be zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ZeroDuration {
    Allowed,
    Rejected,
}

/// Reads a duration; an invalid one is reported.
pub(super) fn duration(value: Value, zero: ZeroDuration, report: &mut Report) -> Option<Duration> {
    Some(read::duration(value, zero == ZeroDuration::Allowed, report)?.value)
}

/// Reads a fixed duration, or an array of two durations as a range; an invalid one is reported.
pub(super) fn duration_range(value: Value, zero: ZeroDuration, report: &mut Report) -> Option<DurationRange> {
    let DeValue::Array(items) = value.get_ref() else {
        return duration(value, zero, report).map(DurationRange::fixed);
    };
    let [min, max] = items.iter().collect::<Vec<_>>()[..] else {
        let help = "write two durations, such as `[\"1s\", \"3s\"]`";
        push(report, Code::WrongType, value.span(), "a range needs exactly two durations".into(), help);
        return None;
    };
    let (min, max) = (duration(min, zero, report)?, duration(max, zero, report)?);
    if min > max {
        let what = "the second duration is shorter than the first".to_string();
        push(report, Code::NumberOutOfRange, value.span(), what, "write the shorter one first");
        return None;
    }
    Some(DurationRange { min, max })
}
