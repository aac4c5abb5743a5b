//! Measures overload: arriving work, rejected work and unused capacity, all in seconds of backend time per
//! second.

use join_up_to::rate::Rate;
use std::time::Duration;

/// The time constant of the rates in seconds.
const WINDOW_S: f64 = 2.0;
/// The minimum time over which a rate is computed, in seconds: a single request does not show a rate.
const MIN_OBSERVED_S: f64 = 0.05;

/// Compares arriving work with the work that can be served.
#[derive(Debug)]
pub(super) struct Pressure {
    arrived: Rate,
    rejected: Rate,
    spare: Rate,
    /// The time up to which spare capacity has been recorded.
    spare_until: Duration,
}

impl Pressure {
    pub(super) fn new(now: Duration) -> Self {
        Pressure {
            arrived: Rate::new(WINDOW_S),
            rejected: Rate::new(WINDOW_S),
            spare: Rate::new(WINDOW_S),
            spare_until: now,
        }
    }

    /// Records arriving work, in seconds of backend time.
    pub(super) fn record_arrival(&mut self, now: Duration, cost: f64) {
        self.arrived.add(now, cost);
    }

    /// Records rejected work, in seconds of backend time.
    pub(super) fn record_rejection(&mut self, now: Duration, cost: f64) {
        self.rejected.add(now, cost);
    }

    /// Records that there was unused capacity for this many requests since the last call.
    pub(super) fn record_spare(&mut self, now: Duration, requests: u32) {
        let span = now.saturating_sub(self.spare_until).as_secs_f64();
        self.spare.add(now, f64::from(requests) * span);
        self.spare_until = now.max(self.spare_until);
    }

    /// The share of arriving work that exceeds the capacity, from 0 to 1: rejected work less unused capacity.
    /// Unused capacity is subtracted because shedding must end once there is capacity for the shed work
    /// again.
    pub(super) fn unserved_share(&self, now: Duration) -> f64 {
        let per_s = |rate: &Rate| rate.per_s_since_first(now, MIN_OBSERVED_S);
        let arrived = per_s(&self.arrived);
        let unserved = per_s(&self.rejected) - per_s(&self.spare);
        if arrived > 0.0 { (unserved / arrived).clamp(0.0, 1.0) } else { 0.0 }
    }
}
