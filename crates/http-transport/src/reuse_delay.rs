//! How long a connection must be idle after a response before the next request may be sent on it. The delay
//! is derived from how late backends have sent stray bytes after their responses. An HTTP/1.1 response does
//! not name its request, so stray bytes that arrive after the next request was sent would be read as its
//! response. Closes nothing and sends nothing.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The minimum delay. Bytes that a backend sends directly after a response have arrived by then.
const MIN_DELAY: Duration = Duration::from_millis(3);
/// The maximum delay, as the next request waits for it. Bytes that arrive later cannot be separated by a
/// delay. They need not be stray responses: backends also announce that they close a connection that has been
/// idle for long.
const MAX_DELAY: Duration = Duration::from_millis(25);
/// For how long an observation of stray bytes determines the delay.
const OBSERVATION_LIFETIME: Duration = Duration::from_secs(60);

/// The delay for all backends of a cluster. They run the same program, so that all of them are expected to
/// behave like one of them.
pub struct ReuseDelay {
    max_delay: Cell<Duration>,
    /// The greatest lateness of stray bytes that was observed recently, and the time of the last observation.
    latest: Cell<Option<(Duration, Instant)>>,
}

impl ReuseDelay {
    /// The delay for requests that can wait for `max_delay`, which is limited to 3 to 25 ms.
    pub fn new(max_delay: Duration) -> Self {
        let delay = ReuseDelay { max_delay: Cell::default(), latest: Cell::default() };
        delay.set_max(max_delay);
        delay
    }

    /// Sets the maximum delay, which is limited to 3 to 25 ms.
    pub fn set_max(&self, max_delay: Duration) {
        self.max_delay.set(max_delay.clamp(MIN_DELAY, MAX_DELAY));
    }

    /// How long a connection must currently be idle between two requests.
    pub fn current(&self) -> Duration {
        // Twice the greatest lateness, as later ones may exceed those observed so far.
        self.recent_lateness().map_or(MIN_DELAY, |late| (2 * late).clamp(MIN_DELAY, self.max_delay.get()))
    }

    /// Records stray bytes that arrived `lateness` after a response. Returns whether that changes the delay.
    pub fn record_late_bytes(&self, lateness: Duration) -> bool {
        if lateness > self.max_delay.get() {
            return false;
        }
        let before = self.current();
        let latest = self.recent_lateness().unwrap_or_default().max(lateness);
        self.latest.set(Some((latest, Instant::now())));
        self.current() != before
    }

    fn recent_lateness(&self) -> Option<Duration> {
        let latest = self.latest.get().filter(|(_, at)| at.elapsed() < OBSERVATION_LIFETIME);
        latest.map(|(lateness, _)| lateness)
    }
}

#[cfg(test)]
mod tests;
