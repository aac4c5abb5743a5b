//! A rate limit for warnings that a peer can cause.

use std::cell::Cell;
use std::time::{Duration, Instant};
use tracing::warn;

/// The minimum time between two warnings of one kind.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Logs warnings of one kind, at most one per second. Keeps invalid input from flooding the log.
#[derive(Default)]
pub struct RateLimitedLog {
    last: Cell<Option<Instant>>,
    skipped: Cell<u32>,
}

impl RateLimitedLog {
    /// Logs the text, or only counts it if there was a warning within the last second. The next warning
    /// reports the count.
    pub fn warn(&self, text: impl FnOnce() -> String) {
        if self.last.get().is_some_and(|at| at.elapsed() < MIN_INTERVAL) {
            return self.skipped.set(self.skipped.get().saturating_add(1));
        }
        self.last.set(Some(Instant::now()));
        match self.skipped.take() {
            0 => warn!("{}", text()),
            skipped => warn!("{} (and {skipped} more suppressed)", text()),
        }
    }
}
