//! Sending a request again.

use crate::value::{factor, milliseconds};
use serde::Deserialize;
use std::time::Duration;

/// When a backend is given up for a request, and what a client is told that may come back.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sends {
    /// Whether a request that may run again is sent to another backend after one has failed.
    pub again: bool,
    /// Whether a stream that broke off is taken up at another backend, where its route allows that.
    pub resume: bool,
    /// A silent backend is given up after so many times the aim, where the request may run again.
    #[serde(deserialize_with = "factor")]
    pub silent_aims: f64,
    /// It is not given up sooner than this, in milliseconds.
    #[serde(rename = "least_silence_ms", deserialize_with = "milliseconds")]
    pub least_silence: Duration,
    /// When a client may come back whose backends have refused, in parts of its aim.
    #[serde(deserialize_with = "factor")]
    pub come_back_aims: f64,
    /// The least of that, in milliseconds.
    #[serde(rename = "soonest_back_ms", deserialize_with = "milliseconds")]
    pub soonest_back: Duration,
    /// The most of that, in milliseconds.
    #[serde(rename = "latest_back_ms", deserialize_with = "milliseconds")]
    pub latest_back: Duration,
}

impl Default for Sends {
    fn default() -> Self {
        Sends {
            again: true,
            resume: true,
            silent_aims: 2.0,
            least_silence: Duration::from_millis(500),
            come_back_aims: 1.0 / 3.0,
            soonest_back: Duration::from_millis(40),
            latest_back: Duration::from_millis(400),
        }
    }
}
