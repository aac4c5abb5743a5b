//! A rate estimate with exponential decay.

use std::time::Duration;

/// A sum that decays with a fixed time constant, read as a rate per second.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    sum: f64,
    /// When `sum` was last updated.
    at: Duration,
    /// The time constant in seconds.
    over: f64,
    /// When the first amount was added.
    since: Option<Duration>,
}

impl Rate {
    /// A rate without any amount, with this time constant in seconds; at least a millisecond.
    pub fn over(seconds: f64) -> Self {
        Rate { sum: 0.0, at: Duration::ZERO, over: seconds.max(1e-3), since: None }
    }

    /// Adds an amount. A time before that of the previous amount counts as that time.
    pub fn add(&mut self, now: Duration, amount: f64) {
        self.since.get_or_insert(now);
        (self.sum, self.at) = (self.recent_sum(now) + amount, now.max(self.at));
    }

    /// The sum of all amounts, each decayed by its age.
    pub fn recent_sum(&self, now: Duration) -> f64 {
        self.sum * (-now.saturating_sub(self.at).as_secs_f64() / self.over).exp()
    }

    /// The amount per second, averaged over the time constant. Too low until about that time has been
    /// observed.
    pub fn per_s(&self, now: Duration) -> f64 {
        self.recent_sum(now) / self.over
    }

    /// The amount per second, corrected for the time since the first amount, or for `min_observed_s` seconds
    /// if that is longer. A short observation is therefore not mistaken for a low rate.
    pub fn per_s_since_first(&self, now: Duration, min_observed_s: f64) -> f64 {
        let age = self.since.map_or(0.0, |since| now.saturating_sub(since).as_secs_f64());
        let seen = 1.0 - (-age.max(min_observed_s) / self.over).exp();
        self.recent_sum(now) / (self.over * seen)
    }
}
