//! Values with units as files write them: durations, shares, rates, sizes. Knows nothing of files.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use serde::{Deserialize, Deserializer, de};
use std::time::Duration;

/// The longest duration that is read.
pub const DAY: Duration = Duration::from_secs(86_400);

/// Why a text is no duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadDuration {
    /// A number alone.
    NoUnit,
    /// More than a day.
    TooLong,
    /// Anything else.
    Form,
}

/// Units, and how many nanoseconds each has. The longer suffix is found first.
const UNITS: [(&str, f64); 6] =
    [("ns", 1.0), ("us", 1e3), ("ms", 1e6), ("s", 1e9), ("m", 60e9), ("h", 3600e9)];

/// Reads `250ms`, `1.5s`, `2m`. A number has digits and at most one point.
pub fn duration(text: &str) -> Result<Duration, BadDuration> {
    let text = text.trim();
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
    let number: f64 = number.parse().map_err(|_| BadDuration::Form)?;
    let unit = unit.trim_start();
    if unit.is_empty() {
        return Err(BadDuration::NoUnit);
    }
    let (_, nanos) = UNITS.iter().find(|(name, _)| *name == unit).ok_or(BadDuration::Form)?;
    let nanos = number * nanos;
    if nanos > DAY.as_nanos() as f64 {
        return Err(BadDuration::TooLong);
    }
    Ok(Duration::from_nanos(nanos.round() as u64))
}

/// Writes a duration as the file would, in the largest unit that keeps it short.
pub fn show(time: Duration) -> String {
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

/// Reads `26%`.
pub fn percent(text: &str) -> Option<f64> {
    let number: f64 = text.trim().strip_suffix('%')?.trim_end().parse().ok()?;
    Some(number / 100.0)
}

/// Reads `50/s`, `300/m`, `10/h`: so many a second.
pub fn rate(text: &str) -> Option<f64> {
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

/// Reads `64KiB`, `1MiB`, `512B`: so many bytes.
pub fn bytes(text: &str) -> Option<u64> {
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

/// A duration in a file that is read by serde.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Time(pub Duration);

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let units = "write a number and a unit, such as `250ms` or `1.5s`";
        duration(&text).map(Time).map_err(|e| {
            de::Error::custom(match e {
                BadDuration::NoUnit => format!("{text:?} has no unit: {units}"),
                BadDuration::TooLong => format!("{text:?} is longer than a day"),
                BadDuration::Form => format!("{text:?} is no duration: {units}"),
            })
        })
    }
}

/// A share in a file that is read by serde: a number from 0 to 1, or `20%`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share(pub f64);

impl<'de> Deserialize<'de> for Share {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Written {
            Number(f64),
            Text(String),
        }
        let read = match Written::deserialize(from)? {
            Written::Number(number) => Some(number),
            Written::Text(text) => percent(&text),
        };
        let share = read.filter(|share| (0.0..=1.0).contains(share));
        share
            .map(Share)
            .ok_or_else(|| de::Error::custom("a share is a number from 0 to 1, or a text such as \"20%\""))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn durations_are_read_with_their_units() {
        for (text, micros) in
            [("250ms", 250_000), ("1.5s", 1_500_000), ("2m", 120_000_000), ("1 h", 3_600_000_000), ("7us", 7)]
        {
            assert_eq!(duration(text), Ok(Duration::from_micros(micros)), "{text}");
        }
        assert_eq!(duration("250"), Err(BadDuration::NoUnit));
        assert_eq!(duration("25h"), Err(BadDuration::TooLong));
        for text in ["", "ms", "-1s", "1e3s", "1.2.3s", "1sec", "NaN s", "1s1s"] {
            assert_eq!(duration(text), Err(BadDuration::Form), "{text}");
        }
    }

    #[test]
    fn durations_are_written_as_they_are_read() {
        for text in ["250ms", "1.5s", "120s", "7us", "0ms"] {
            assert_eq!(show(duration(text).expect("a duration")), text);
        }
    }

    #[test]
    fn shares_rates_and_sizes() {
        assert_eq!((percent("26%"), percent("26"), percent("%")), (Some(0.26), None, None));
        assert_eq!((rate("30/m"), rate("5/s"), rate("5"), rate("-1/s")), (Some(0.5), Some(5.0), None, None));
        assert_eq!((rate("NaN/s"), rate("inf/s"), rate("5/d")), (None, None, None));
        assert_eq!((bytes("64KiB"), bytes("64"), bytes("99999999999999GiB")), (Some(65_536), None, None));
    }
}
