//! Parsing and formatting of values with units as they occur in settings files: durations, fractions, rates
//! and sizes. No I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use quick_error::quick_error;
use serde::{Deserialize, Deserializer, de};
use std::time::Duration;

/// The longest duration that is accepted: one day.
pub const MAX_DURATION: Duration = Duration::from_secs(86_400);

quick_error! {
    /// Why a text is not an accepted duration.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum DurationError {
        /// A number without a unit.
        MissingUnit {
            display("the duration has no unit")
        }
        /// Longer than [`MAX_DURATION`].
        TooLong {
            display("the duration is longer than a day")
        }
        /// The text has another form, or an unknown unit.
        Malformed {
            display("not a duration")
        }
    }
}

/// The units of time, with the nanoseconds in each.
const TIME_UNITS: [(&str, f64); 6] =
    [("ns", 1.0), ("us", 1e3), ("ms", 1e6), ("s", 1e9), ("m", 60e9), ("h", 3600e9)];

/// Parses a duration such as `250ms`, `1.5s` or `2m`: digits with at most one decimal point, and a unit (ns,
/// us, ms, s, m, h). The result is rounded to nanoseconds.
pub fn parse_duration(text: &str) -> Result<Duration, DurationError> {
    let text = text.trim();
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
    let number: f64 = number.parse().map_err(|_| DurationError::Malformed)?;
    let unit = unit.trim_start();
    if unit.is_empty() {
        return Err(DurationError::MissingUnit);
    }
    let (_, nanos) = TIME_UNITS.iter().find(|(name, _)| *name == unit).ok_or(DurationError::Malformed)?;
    let nanos = number * nanos;
    if nanos > MAX_DURATION.as_nanos() as f64 {
        return Err(DurationError::TooLong);
    }
    Ok(Duration::from_nanos(nanos.round() as u64))
}

/// Formats a duration as in a settings file: in s, ms or us, with at most three decimals.
pub fn format_duration(time: Duration) -> String {
    let nanos = time.as_nanos() as f64;
    let (name, size) = match nanos {
        0.0 => return "0ms".into(),
        n if n >= 1e9 => ("s", 1e9),
        n if n >= 1e6 => ("ms", 1e6),
        _ => ("us", 1e3),
    };
    let rounded = (nanos / size * 1000.0).round() / 1000.0;
    format!("{rounded}{name}")
}

/// Parses a percentage such as `26%` into a fraction (0.26), which may be outside of 0 to 1. `None` if the
/// text is malformed.
pub fn parse_percent(text: &str) -> Option<f64> {
    let number: f64 = text.trim().strip_suffix('%')?.trim_end().parse().ok()?;
    Some(number / 100.0)
}

/// Parses a rate such as `50/s`, `300/m` or `10/h` into events per second. `None` if the text is malformed,
/// or the rate is negative or not finite.
pub fn parse_rate(text: &str) -> Option<f64> {
    let (number, unit) = text.trim().split_once('/')?;
    let number: f64 = number.trim().parse().ok()?;
    let seconds = match unit.trim() {
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return None,
    };
    Some(number / seconds).filter(|rate| rate.is_finite() && *rate >= 0.0)
}

/// Parses a size such as `64KiB`, `1MiB` or `512B` into bytes. `None` if the text is malformed or the size
/// exceeds `u64`.
pub fn parse_bytes(text: &str) -> Option<u64> {
    let text = text.trim();
    let digits = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
    let shift = match unit.trim_start() {
        "B" => 0,
        "KiB" => 10,
        "MiB" => 20,
        "GiB" => 30,
        _ => return None,
    };
    number.parse::<u64>().ok()?.checked_mul(1 << shift)
}

/// A duration that serde deserializes from a settings file, in the form of [`parse_duration`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DurationSetting(Duration);

impl DurationSetting {
    /// The duration that was set.
    pub fn get(self) -> Duration {
        self.0
    }
}

impl<'de> Deserialize<'de> for DurationSetting {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let units = "write a number and a unit, such as `250ms` or `1.5s`";
        parse_duration(&text).map(DurationSetting).map_err(|e| {
            de::Error::custom(match e {
                DurationError::MissingUnit => format!("{text:?} has no unit: {units}"),
                DurationError::TooLong => format!("{text:?} is longer than a day"),
                DurationError::Malformed => format!("{text:?} is no duration: {units}"),
            })
        })
    }
}

/// A fraction that serde deserializes from a settings file: a number from 0 to 1, or a percentage such as
/// `20%`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FractionSetting(f64);

impl FractionSetting {
    /// The fraction, from 0 to 1.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl<'de> Deserialize<'de> for FractionSetting {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        // Operators see this text if the value has another type. It is the default text of the type's
        // previous name.
        #[serde(untagged, expecting = "data did not match any variant of untagged enum Written")]
        enum FractionForm {
            Number(f64),
            Text(String),
        }
        let parsed = match FractionForm::deserialize(deserializer)? {
            FractionForm::Number(number) => Some(number),
            FractionForm::Text(text) => parse_percent(&text),
        };
        let fraction = parsed.filter(|fraction| (0.0..=1.0).contains(fraction));
        fraction
            .map(FractionSetting)
            .ok_or_else(|| de::Error::custom("a share is a number from 0 to 1, or a text such as \"20%\""))
    }
}
