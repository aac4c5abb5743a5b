//! Tenants' limits, as nodes and grantor divide them.

use crate::value::{milliseconds, share};
use serde::Deserialize;
use std::time::Duration;

/// How a tenant's limit is divided between the fleet's bucket and the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The part of what the rule leaves beyond the rate that is used at all.
    #[serde(deserialize_with = "share")]
    pub used: f64,
    /// The part of that which is the fleet's bucket; the rest is in the nodes' reserves.
    #[serde(deserialize_with = "share")]
    pub pool: f64,
    /// The part of the fleet's bucket that is its depth; the rest is what it may owe.
    #[serde(deserialize_with = "share")]
    pub depth: f64,
    /// What is left in the fleet's bucket when reserves are filled up, as a part of its depth.
    #[serde(deserialize_with = "share")]
    pub left_by_top_ups: f64,
    /// Whether nodes refuse requests of a tenant far beyond its limit by themselves, each with the same chance.
    pub thinning: bool,
    /// The part of the depth of the fleet's bucket at which its level stays then, so that nearly all that is asked for is given.
    /// Less than `left_by_top_ups`, or reserves take what is left.
    #[serde(deserialize_with = "share")]
    pub kept_level: f64,
    /// The longest time that a request waits for the grantor's answer, in milliseconds.
    #[serde(rename = "longest_wait_ms", deserialize_with = "milliseconds")]
    pub longest_wait: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            used: 0.95,
            pool: 0.7,
            depth: 0.65,
            left_by_top_ups: 0.25,
            thinning: true,
            kept_level: 0.2,
            longest_wait: Duration::from_millis(150),
        }
    }
}
