//! Connections to backends.

use crate::value::{factor, milliseconds};
use serde::Deserialize;
use std::time::Duration;

/// Number and reuse of connections to a backend. The keys in the policy file are the names in the `serde`
/// attributes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// The most connections of a node to a backend, as a multiple of the node's even share of those that the
    /// backend accepts. More than 1, since load is unevenly distributed over nodes.
    #[serde(rename = "part_of_most", deserialize_with = "factor")]
    pub share_factor: f64,
    /// Whether connections are reused for further requests.
    #[serde(rename = "keep")]
    pub reuse: bool,
    /// The longest idle time of a connection, in milliseconds, where the backend does not state its time-out.
    #[serde(rename = "longest_idle_untold_ms", deserialize_with = "milliseconds")]
    pub default_max_idle: Duration,
    /// The longest idle time of a connection, in milliseconds, where the backend states its time-out.
    #[serde(rename = "longest_idle_ms", deserialize_with = "milliseconds")]
    pub max_idle: Duration,
}

impl Default for Connections {
    fn default() -> Self {
        Connections {
            share_factor: 1.5,
            reuse: true,
            default_max_idle: Duration::from_secs(10),
            max_idle: Duration::from_secs(60),
        }
    }
}
