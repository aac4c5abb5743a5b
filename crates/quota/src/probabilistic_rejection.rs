//! Probabilistic rejection of requests of a tenant far beyond its limit.
//!
//! Without it, whoever asks the quota leader at the right moment gets what has flowed in: nodes with few of the tenant's
//! requests would admit all of theirs, busy nodes few. With it, each request has the same chance to be asked for, at each node
//! and at each moment.

use range_digest::mix64;
use std::time::Duration;

/// The time after which a reported pressure no longer counts: the tenant may have stopped.
const PRESSURE_TIMEOUT: Duration = Duration::from_millis(1500);

/// What a node knows of the pressure on a limit, and what it has rejected for it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbabilisticRejection {
    /// The demand of all nodes as a multiple of what can be granted.
    pressure: f64,
    updated_at: Duration,
    /// The number of draws.
    draws: u64,
    /// The cost of rejected requests that the quota leader does not know of yet.
    rejected_cost: f64,
}

impl ProbabilisticRejection {
    /// Sets the pressure that the quota leader has reported.
    pub fn set_pressure(&mut self, now: Duration, pressure: f64) {
        (self.pressure, self.updated_at) = (pressure, now);
    }

    /// Draws whether a request may be asked for. The draw follows from the time, the cost and the number of draws.
    pub fn draw(&mut self, now: Duration, cost: f64) -> bool {
        let pressure = self.pressure(now);
        if pressure <= 1.0 {
            return true;
        }
        self.draws += 1;
        let drawn = mix64(mix64(now.as_nanos() as u64) ^ cost.to_bits() ^ mix64(self.draws));
        (drawn as f64 / u64::MAX as f64) * pressure < 1.0
    }

    /// The current pressure; 1 where there is none.
    fn pressure(&self, now: Duration) -> f64 {
        let is_current = now < self.updated_at + PRESSURE_TIMEOUT;
        if is_current { self.pressure.max(1.0) } else { 1.0 }
    }

    /// Records a request that was rejected without asking for quota.
    pub fn record_rejected(&mut self, cost: f64) {
        self.rejected_cost += cost;
    }

    /// The cost of all requests recorded since the last call.
    pub fn take_rejected_cost(&mut self) -> f64 {
        std::mem::take(&mut self.rejected_cost)
    }
}
