//! Readers of single values that check their bounds, so that an error has the place of the value.

use serde::de::{Deserialize, Deserializer, Error};
use std::time::Duration;

/// The longest duration that a policy may name, in milliseconds. Guards against a typing error.
const LONGEST_MS: f64 = 600_000.0;
/// The largest factor that a policy may name.
const LARGEST_FACTOR: f64 = 1000.0;
/// The largest count that a policy may name.
const LARGEST_COUNT: usize = 100_000;

fn within<E: Error>(value: f64, least: f64, most: f64) -> Result<f64, E> {
    if (least..=most).contains(&value) {
        return Ok(value);
    }
    Err(E::custom(format_args!("{value} is not between {least} and {most}")))
}

/// A part of a whole, from 0 to 1.
pub fn share<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    within(f64::deserialize(deserializer)?, 0.0, 1.0)
}

/// A factor, from 0 to 1000.
pub fn factor<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    within(f64::deserialize(deserializer)?, 0.0, LARGEST_FACTOR)
}

/// A count of things, 1 or more.
pub fn count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    let value = usize::deserialize(deserializer)?;
    if (1..=LARGEST_COUNT).contains(&value) {
        return Ok(value);
    }
    Err(D::Error::custom(format_args!("{value} is not between 1 and {LARGEST_COUNT}")))
}

/// Milliseconds.
pub fn milliseconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let value = within(f64::deserialize(deserializer)?, 0.0, LONGEST_MS)?;
    Ok(Duration::from_secs_f64(value / 1000.0))
}
