//! Division of a tenant's limit between the quota leader and the nodes.

use crate::value::{fraction, milliseconds};
use serde::Deserialize;
use std::time::Duration;

/// Division of a tenant's limit between the fleet's bucket at the quota leader and the reserves of the nodes.
/// The keys in the policy file are the names in the `serde` attributes.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The fraction of the allowance beyond the rate that is used.
    #[serde(rename = "used", deserialize_with = "fraction")]
    pub used_part: f64,
    /// The fraction of that which the fleet's bucket gets; the nodes' reserves get the rest.
    #[serde(rename = "pool", deserialize_with = "fraction")]
    pub shared_part: f64,
    /// The fraction of the fleet's bucket that is its capacity; the rest is the amount by which it may be
    /// overdrawn.
    #[serde(rename = "depth", deserialize_with = "fraction")]
    pub depth_part: f64,
    /// The level of the fleet's bucket below which reserves get no top-ups, as a fraction of its capacity.
    #[serde(rename = "left_by_top_ups", deserialize_with = "fraction")]
    pub top_up_floor: f64,
    /// Whether nodes reject requests of a tenant that is far beyond its limit without demanding quota, all
    /// with the same probability.
    #[serde(rename = "thinning")]
    pub probabilistic_rejection: bool,
    /// The level at which probabilistic rejection holds the fleet's bucket, as a fraction of its capacity, so
    /// that nearly all demands are granted. Has to be less than `top_up_floor`, since top-ups would use up
    /// the level otherwise.
    #[serde(rename = "kept_level", deserialize_with = "fraction")]
    pub target_level: f64,
    /// The longest time that a request waits for quota, in milliseconds.
    #[serde(rename = "longest_wait_ms", deserialize_with = "milliseconds")]
    pub max_wait: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            used_part: 0.95,
            shared_part: 0.7,
            depth_part: 0.65,
            top_up_floor: 0.25,
            probabilistic_rejection: true,
            target_level: 0.2,
            max_wait: Duration::from_millis(150),
        }
    }
}
