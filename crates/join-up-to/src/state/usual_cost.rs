//! The average cost of a request.

use std::time::Duration;

/// Moving average of the cost of requests, in seconds; 0 while unknown.
#[derive(Default)]
pub struct AverageCost(f64);

impl AverageCost {
    /// Updates the average with the cost of a request, by the fraction `step` of the difference, and returns
    /// the cost relative to the average. A request of unknown cost counts as average.
    pub fn record(&mut self, cost: Option<Duration>, step: f64) -> f64 {
        let Some(cost) = cost.map(|c| c.as_secs_f64()).filter(|c| *c > 0.0) else { return 1.0 };
        self.0 += (cost - self.0) * if self.0 == 0.0 { 1.0 } else { step };
        cost / self.0
    }
}
