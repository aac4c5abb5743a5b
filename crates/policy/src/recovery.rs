//! Requests to a node that has started and has no configuration or no list of backends yet.

use crate::value::milliseconds;
use serde::Deserialize;
use std::time::Duration;

/// Handling of requests while the node is not ready yet. The keys in the policy file are the names in the
/// `serde` attributes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Recovery {
    /// The time from the start within which a node has its configuration and its list of backends after the
    /// whole fleet has lost power, in milliseconds.
    #[serde(rename = "ready_after_ms", deserialize_with = "milliseconds")]
    pub ready_after: Duration,
    /// The time from the start for which arriving requests wait until the node is ready, in milliseconds. A
    /// node that starts alone is ready within a third of the default, and a fleet that has lost power after
    /// 0.3 to 0.7 s, within the latency target of most requests. A request that is rejected instead misses
    /// its target, and few clients retry twice.
    #[serde(rename = "waits_from_start_ms", deserialize_with = "milliseconds")]
    pub startup_wait: Duration,
    /// The shortest time after which a rejected client is to retry, in milliseconds.
    #[serde(rename = "soonest_back_ms", deserialize_with = "milliseconds")]
    pub min_retry_after: Duration,
    /// The time over which the retries of clients are spread, in milliseconds.
    #[serde(rename = "spread_ms", deserialize_with = "milliseconds")]
    pub retry_spread: Duration,
}

impl Default for Recovery {
    fn default() -> Self {
        Recovery {
            ready_after: Duration::from_millis(900),
            startup_wait: Duration::from_millis(700),
            min_retry_after: Duration::from_millis(300),
            retry_spread: Duration::from_millis(100),
        }
    }
}
