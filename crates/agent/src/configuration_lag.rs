//! How long the proxy has been without a configuration that a coordinator has announced. No I/O, no clock.

use control_protocol::ConfigurationSequence;
use std::time::Duration;

/// How long the proxy may be behind before it is reported, and the interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// The newest announced configuration, and since when the proxy lacks it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConfigurationLag {
    newest_announced: ConfigurationSequence,
    in_force: ConfigurationSequence,
    /// When the proxy last took a step towards the newest configuration, or when that was announced; `None`
    /// while the proxy is not behind.
    behind_since: Option<Duration>,
    next_report: Duration,
}

impl ConfigurationLag {
    /// Records that a coordinator has announced a configuration.
    pub fn record_announced(&mut self, now: Duration, sequence: ConfigurationSequence) {
        self.newest_announced = self.newest_announced.max(sequence);
        if self.newest_announced > self.in_force && self.behind_since.is_none() {
            self.restart(now);
        }
    }

    /// Records the configuration that is in force at the proxy.
    pub fn record_in_force(&mut self, now: Duration, sequence: ConfigurationSequence) {
        self.in_force = sequence;
        self.behind_since = None;
        if self.newest_announced > sequence {
            self.restart(now);
        }
    }

    fn restart(&mut self, now: Duration) {
        self.behind_since = Some(now);
        self.next_report = now + REPORT_INTERVAL;
    }

    /// The newest configuration that was announced; 0 for none.
    pub fn newest_announced(&self) -> ConfigurationSequence {
        self.newest_announced
    }

    /// How long the proxy has been behind without a step towards the newest configuration.
    pub fn age(&self, now: Duration) -> Duration {
        self.behind_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Whether the lag is to be reported now. True once for each report that is due.
    pub fn take_due_report(&mut self, now: Duration) -> bool {
        let is_due = self.behind_since.is_some() && now >= self.next_report;
        if is_due {
            self.next_report = now + REPORT_INTERVAL;
        }
        is_due
    }
}
