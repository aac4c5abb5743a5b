//! The monotonic clock of a process, and the wall clock for uses that tolerate a wrong time.

use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// The time that the clock shows at its start. Longer than every lease and timeout, so that "now minus a
/// lease" never underflows.
const ORIGIN: Duration = Duration::from_secs(3600);

/// A monotonic clock: the time since an origin one hour before its start. Unaffected by changes of the wall
/// clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock, whose copies all show the same time.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// Returns the time since the origin, which is at least one hour.
    pub fn now(&self) -> Duration {
        ORIGIN + self.start.elapsed()
    }

    /// Converts a time of this clock to an instant for a timer. Times before the start give the start.
    pub fn instant(&self, time: Duration) -> Instant {
        self.start + time.saturating_sub(ORIGIN)
    }
}

/// The wall-clock time since 1970, in whole milliseconds. May be wrong and may go backwards: only for uses
/// that recover from that on their own.
pub fn unix_time() -> Duration {
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    time.map_or(Duration::ZERO, |time| Duration::from_millis(time.as_millis() as u64))
}
