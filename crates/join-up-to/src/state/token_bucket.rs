//! A token bucket.

use std::time::Duration;

/// A token bucket: the number of tokens at the time of the last update. Rate and maximum are held by the
/// caller.
#[derive(Clone, Copy, Default)]
pub struct TokenBucket {
    pub tokens: f64,
    pub at: Duration,
}

impl TokenBucket {
    pub fn new(tokens: f64, at: Duration) -> Self {
        TokenBucket { tokens, at }
    }
    /// The bucket at a later time, after `rate` tokens per second were added, up to `max`.
    pub fn refilled(self, now: Duration, rate: f64, max: f64) -> Self {
        let added = rate * now.saturating_sub(self.at).as_secs_f64();
        TokenBucket::new((self.tokens + added).min(max), now)
    }
}
