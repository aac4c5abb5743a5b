//! Deserialization of values with a check of their range. An error is raised where the value is, so that its
//! location is reported.

use serde::de::{Deserialize, Deserializer, Error};
use std::time::Duration;

/// The longest duration in a policy, in milliseconds. Catches typing errors.
const MAX_MS: f64 = 600_000.0;
/// The largest factor in a policy.
const MAX_FACTOR: f64 = 1000.0;
/// The largest count in a policy.
const MAX_COUNT: usize = 100_000;

fn check_range<E: Error>(value: f64, min: f64, max: f64) -> Result<f64, E> {
    if (min..=max).contains(&value) {
        return Ok(value);
    }
    Err(E::custom(format_args!("{value} is not between {min} and {max}")))
}

/// Deserializes a fraction, from 0 to 1.
pub fn fraction<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    check_range(f64::deserialize(deserializer)?, 0.0, 1.0)
}

/// Deserializes a factor, from 0 to 1000.
pub fn factor<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    check_range(f64::deserialize(deserializer)?, 0.0, MAX_FACTOR)
}

/// Deserializes a count, from 1 to 100,000.
pub fn count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    let value = usize::deserialize(deserializer)?;
    if (1..=MAX_COUNT).contains(&value) {
        return Ok(value);
    }
    Err(D::Error::custom(format_args!("{value} is not between 1 and {MAX_COUNT}")))
}

/// Deserializes a duration, from 0 to 600,000 milliseconds.
pub fn milliseconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let value = check_range(f64::deserialize(deserializer)?, 0.0, MAX_MS)?;
    Ok(Duration::from_secs_f64(value / 1000.0))
}
