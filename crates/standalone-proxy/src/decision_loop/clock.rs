//! The balancer's clock. Reads the system clocks and sets no timer.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The balancer's clock: Unix time as of the start of the node, advanced from then on by the monotonic clock.
/// The start time of a backend, which is reported in Unix time, can be compared with it.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix_start: Duration,
}

impl Clock {
    /// Starts the clock at the current system time.
    pub fn start() -> Self {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::from_secs(1));
        Clock { started: Instant::now(), unix_start }
    }

    /// The current time, as the duration since 1970-01-01 UTC.
    pub fn now(&self) -> Duration {
        self.unix_start + self.started.elapsed()
    }

    /// Converts a time of this clock to an instant. Times before the start become the instant of the start.
    pub fn instant(&self, time: Duration) -> Instant {
        self.started + time.saturating_sub(self.unix_start)
    }
}
