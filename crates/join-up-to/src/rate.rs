//! A rate estimate with exponential decay.

use std::time::Duration;

/// A sum that decays with a fixed time constant, read as a rate per second.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    sum: f64,
    /// When `sum` was last updated.
    updated_at: Duration,
    /// The time constant in seconds.
    time_constant_s: f64,
    /// When the first amount was added.
    first_at: Option<Duration>,
}

impl Rate {
    /// A rate without any amount, with this time constant in seconds; at least a millisecond.
    pub fn new(time_constant_s: f64) -> Self {
        Rate {
            sum: 0.0,
            updated_at: Duration::ZERO,
            time_constant_s: time_constant_s.max(1e-3),
            first_at: None,
        }
    }

    /// Adds an amount. A time before that of the previous amount counts as that time.
    pub fn add(&mut self, now: Duration, amount: f64) {
        self.first_at.get_or_insert(now);
        (self.sum, self.updated_at) = (self.recent_sum(now) + amount, now.max(self.updated_at));
    }

    /// The sum of all amounts, each decayed by its age.
    pub fn recent_sum(&self, now: Duration) -> f64 {
        self.sum * (-now.saturating_sub(self.updated_at).as_secs_f64() / self.time_constant_s).exp()
    }

    /// The amount per second, averaged over the time constant. Too low until about that time has been
    /// observed.
    pub fn per_s(&self, now: Duration) -> f64 {
        self.recent_sum(now) / self.time_constant_s
    }

    /// The amount per second, corrected for the time since the first amount, or for `min_observed_s` seconds
    /// if that is longer. A short observation is therefore not mistaken for a low rate.
    pub fn per_s_since_first(&self, now: Duration, min_observed_s: f64) -> f64 {
        let age = self.first_at.map_or(0.0, |first_at| now.saturating_sub(first_at).as_secs_f64());
        let seen = 1.0 - (-age.max(min_observed_s) / self.time_constant_s).exp();
        self.recent_sum(now) / (self.time_constant_s * seen)
    }
}
