//! Time-outs of attempts, retries, and when rejected clients are to retry.

use crate::value::{factor, milliseconds};
use serde::Deserialize;
use std::time::Duration;

/// Time-outs of attempts, retries, and when rejected clients are to retry. The keys in the policy file are
/// the names in the `serde` attributes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// Whether a request is sent to another backend after an attempt has failed, where that is safe.
    #[serde(rename = "again")]
    pub enabled: bool,
    /// Whether a stream that has broken off is resumed at another backend, if its route allows that.
    #[serde(rename = "resume")]
    pub resume_streams: bool,
    /// The time-out of an attempt of an idempotent request, as a multiple of the latency target.
    #[serde(rename = "silent_aims", deserialize_with = "factor")]
    pub timeout_factor: f64,
    /// The shortest time-out of an attempt, in milliseconds.
    #[serde(rename = "least_silence_ms", deserialize_with = "milliseconds")]
    pub min_timeout: Duration,
    /// The time after which a client is to retry whose request was rejected by backends, as a multiple of the
    /// latency target.
    #[serde(rename = "come_back_aims", deserialize_with = "factor")]
    pub retry_after_factor: f64,
    /// The shortest time after which such a client is to retry, in milliseconds.
    #[serde(rename = "soonest_back_ms", deserialize_with = "milliseconds")]
    pub min_retry_after: Duration,
    /// The longest time after which such a client is to retry, in milliseconds.
    #[serde(rename = "latest_back_ms", deserialize_with = "milliseconds")]
    pub max_retry_after: Duration,
}

impl Default for Retries {
    fn default() -> Self {
        Retries {
            enabled: true,
            resume_streams: true,
            timeout_factor: 2.0,
            min_timeout: Duration::from_millis(500),
            retry_after_factor: 1.0 / 3.0,
            min_retry_after: Duration::from_millis(40),
            max_retry_after: Duration::from_millis(400),
        }
    }
}
