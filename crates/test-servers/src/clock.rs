//! The clock of a test environment.

use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Time since the start of an environment, by the runtime's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// The time since the start.
    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }

    /// Waits until this time since the start; returns at once if it has passed.
    pub async fn sleep_until(&self, time: Duration) {
        sleep_until(self.0 + time).await;
    }
}
