//! Whether a proxy was in contact with the quota leader until its end. No I/O, no clock.

use std::time::Duration;

/// The longest interval between the last two responses, and between the last response and the end of the
/// proxy, for which the proxy cannot have admitted anything without a grant. Shorter than the 1.1 s after
/// which a node uses its fallback rate, by the time that a request may be in flight.
const MAX_RESPONSE_GAP: Duration = Duration::from_millis(700);

/// The times of the quota leader's last responses to the proxy.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QuotaContact {
    last: Option<Duration>,
    second_last: Option<Duration>,
    /// Whether the proxy that disconnected last was in contact until its end.
    lasted_until_end: bool,
}

impl QuotaContact {
    /// Records a response of the quota leader.
    pub fn record_response(&mut self, now: Duration) {
        self.second_last = self.last.replace(now);
    }

    /// Records that the proxy has disconnected.
    pub fn record_disconnect(&mut self, now: Duration) {
        let responses = self.second_last.zip(self.last);
        self.lasted_until_end = responses.is_some_and(|(second_last, last)| {
            last <= second_last + MAX_RESPONSE_GAP && now <= last + MAX_RESPONSE_GAP
        });
    }

    /// Whether the proxy that disconnected last was in contact until its end.
    pub fn lasted_until_end(&self) -> bool {
        self.lasted_until_end
    }
}
