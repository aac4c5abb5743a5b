//! Connections to backends.

use crate::value::{factor, milliseconds};
use serde::Deserialize;
use std::time::Duration;

/// How many connections a node opens to a backend and how long it keeps them.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// What a node may open of the connections that a backend takes from all nodes, in multiples of an even share. Load is
    /// uneven over nodes.
    #[serde(deserialize_with = "factor")]
    pub part_of_most: f64,
    /// Whether connections are kept for further requests.
    pub keep: bool,
    /// The longest rest of a connection, in milliseconds, where the backend does not say how long it keeps one.
    #[serde(rename = "longest_idle_untold_ms", deserialize_with = "milliseconds")]
    pub longest_idle_untold: Duration,
    /// The longest rest of a connection, in milliseconds, where the backend says so.
    #[serde(rename = "longest_idle_ms", deserialize_with = "milliseconds")]
    pub longest_idle: Duration,
}

impl Default for Connections {
    fn default() -> Self {
        Connections {
            part_of_most: 1.5,
            keep: true,
            longest_idle_untold: Duration::from_secs(10),
            longest_idle: Duration::from_secs(60),
        }
    }
}
