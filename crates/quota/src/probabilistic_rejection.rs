//! Probabilistic rejection of requests of a tenant that is far beyond its limit.
//!
//! Without it, the inflow of the bucket goes to whichever node demands quota at the right moment: nodes with
//! few requests of the tenant admit all of them, and busy nodes admit few. With it, quota is demanded for
//! each request with the same probability, whichever node it arrives at.

use range_digest::mix64;
use std::time::Duration;

/// The time after which a reported pressure expires, as the tenant may have stopped sending.
const PRESSURE_TIMEOUT: Duration = Duration::from_millis(1500);

/// The pressure on a limit as a node knows it, and the requests that the node has rejected because of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbabilisticRejection {
    /// The demand of all nodes as a multiple of what can be granted.
    pressure: f64,
    updated_at: Duration,
    /// The number of draws so far.
    draws: u64,
    /// The total cost of rejected requests that was not reported to the quota leader yet.
    rejected_cost: f64,
}

impl ProbabilisticRejection {
    /// Sets the pressure that the quota leader has reported.
    pub fn set_pressure(&mut self, now: Duration, pressure: f64) {
        (self.pressure, self.updated_at) = (pressure, now);
    }

    /// Draws whether quota may be demanded for a request, with a probability of 1 / pressure. The draw is a
    /// hash of the time, the cost and the number of draws, so that it is reproducible.
    pub fn draw(&mut self, now: Duration, cost: f64) -> bool {
        let pressure = self.pressure(now);
        if pressure <= 1.0 {
            return true;
        }
        self.draws += 1;
        let drawn = mix64(mix64(now.as_nanos() as u64) ^ cost.to_bits() ^ mix64(self.draws));
        (drawn as f64 / u64::MAX as f64) * pressure < 1.0
    }

    /// The current pressure, at least 1; 1 if it has expired.
    fn pressure(&self, now: Duration) -> f64 {
        let is_current = now < self.updated_at + PRESSURE_TIMEOUT;
        if is_current { self.pressure.max(1.0) } else { 1.0 }
    }

    /// Records a request for which no quota was demanded.
    pub fn record_rejected(&mut self, cost: f64) {
        self.rejected_cost += cost;
    }

    /// Takes the total cost of the requests recorded since the last call.
    pub fn take_rejected_cost(&mut self) -> f64 {
        std::mem::take(&mut self.rejected_cost)
    }
}
