//! A rate measured over an exponentially decaying window.

use std::time::Duration;

/// A sum that decays exponentially with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingRate {
    /// The decayed sum as of `updated_at`.
    sum: f64,
    updated_at: Duration,
}

impl DecayingRate {
    /// Adds an amount. `window_s` is the time constant of the decay in seconds, the same for all calls.
    pub fn add(&mut self, now: Duration, window_s: f64, amount: f64) {
        self.sum = self.per_s(now, window_s) * window_s + amount;
        self.updated_at = now;
    }

    /// The amount per second.
    pub fn per_s(&self, now: Duration, window_s: f64) -> f64 {
        if self.sum == 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.sum * (-age / window_s).exp() / window_s
    }
}
