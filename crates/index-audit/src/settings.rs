//! The settings of an audit.

use std::time::Duration;

/// Intervals and limits of an audit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AuditSettings {
    /// How long an index entry must have been unchanged for a difference to count, and the shortest time
    /// between the two observations that make a difference a mismatch. Has to be longer than a request may be
    /// queued at a backend before its prompt is prefilled.
    pub settling_time: Duration,
    /// The pause between two rounds with a backend without differences.
    pub round_interval: Duration,
    /// The shortest time between a request to any backend and the start of the next round.
    pub min_request_interval: Duration,
    /// The number of requests in flight from which on no further round is started.
    pub max_in_flight: usize,
}

impl Default for AuditSettings {
    fn default() -> Self {
        AuditSettings {
            settling_time: Duration::from_secs(2),
            round_interval: Duration::from_secs(4),
            min_request_interval: Duration::from_millis(20),
            max_in_flight: 16,
        }
    }
}
