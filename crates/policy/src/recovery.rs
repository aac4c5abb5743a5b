//! A node that has started and knows no configuration or no backends yet.

use crate::value::milliseconds;
use serde::Deserialize;
use std::time::Duration;

/// What clients are told while the node is not ready.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Recovery {
    /// A fleet that has lost all power has its configuration and its list again so long after its nodes have started, in
    /// milliseconds.
    #[serde(rename = "ready_after_ms", deserialize_with = "milliseconds")]
    pub ready_after: Duration,
    /// A request that comes within this time of the start waits until the node is ready, in milliseconds. A node that starts alone
    /// is ready within a third of it, a fleet that has lost all power (measured: 0.3 to 0.7 s) within the aim of most requests:
    /// one that is sent away instead is late, and few clients come back twice.
    #[serde(rename = "waits_from_start_ms", deserialize_with = "milliseconds")]
    pub waits_from_start: Duration,
    /// Clients come back to a node that is not ready no sooner than this, in milliseconds.
    #[serde(rename = "soonest_back_ms", deserialize_with = "milliseconds")]
    pub soonest_back: Duration,
    /// Their coming back is spread over this time, in milliseconds.
    #[serde(rename = "spread_ms", deserialize_with = "milliseconds")]
    pub spread: Duration,
}

impl Default for Recovery {
    fn default() -> Self {
        Recovery {
            ready_after: Duration::from_millis(900),
            waits_from_start: Duration::from_millis(700),
            soonest_back: Duration::from_millis(300),
            spread: Duration::from_millis(100),
        }
    }
}
