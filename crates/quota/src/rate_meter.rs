//! Measurement of a rate over an exponentially decaying window.

use std::time::Duration;

/// An exponentially weighted amount per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateMeter {
    /// The time after which the weight of an amount has fallen to 1/e, in seconds.
    time_constant: f64,
    rate: f64,
    updated_at: Duration,
}

impl RateMeter {
    /// A meter with this time constant and the rate 0.
    pub fn new(time_constant: Duration, now: Duration) -> Self {
        RateMeter { time_constant: time_constant.as_secs_f64(), rate: 0.0, updated_at: now }
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.rate *= (-elapsed / self.time_constant).exp();
    }

    /// Adds an amount that was used at this time.
    pub fn add(&mut self, now: Duration, amount: f64) {
        self.decay(now);
        self.rate += amount / self.time_constant;
    }

    /// Returns the rate per second, decayed to this time.
    pub fn rate(&mut self, now: Duration) -> f64 {
        self.decay(now);
        self.rate
    }
}
