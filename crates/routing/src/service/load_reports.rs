//! Scheduling of load reports. They are rare, since each costs a backend as much as a health check.

use super::Service;
use crate::backend::Backend;
use crate::interface::*;
use std::time::Duration;

/// The shortest interval between two reports of this node's backends, and between two loads of the same
/// backend.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How long nothing may be received from a backend without attempts in flight before its estimate is stale.
const STALE_AFTER: Duration = Duration::from_secs(2);

impl Service {
    /// Resets stale estimates. An estimate that stays high while others are reset by responses keeps requests
    /// away from its backend, and with them the responses that would reset it.
    fn reset_stale_estimates(&mut self, now: Duration) {
        if !self.policy.estimate_expiry {
            return;
        }
        let stale = self.backends.iter_mut().filter(|backend| backend.has_stale_estimate(now, STALE_AFTER));
        stale.for_each(|backend| backend.estimate.record_idle());
    }

    /// The backends to request a load report of now: at most one, whose estimate has reached the cap and
    /// whose last load is the oldest. To be called a few times a second.
    pub fn due_load_reports(&mut self, now: Duration) -> Vec<BackendId> {
        self.reset_stale_estimates(now);
        if !self.policy.load_reports
            || self.last_report_at.is_some_and(|last| now.saturating_sub(last) < REPORT_INTERVAL)
        {
            return Vec::new();
        }
        let cap = f64::from(self.traffic.cap());
        let last_report = |backend: &&Backend| {
            backend.reported_load.map(|report| report.received_at).max(backend.report_requested_at)
        };
        let is_due = |backend: &&Backend| {
            let is_at_cap = f64::from(backend.estimate.value()) / self.slot_share(backend, now) >= cap;
            let is_old = last_report(backend).is_none_or(|last| now.saturating_sub(last) >= REPORT_INTERVAL);
            is_at_cap && is_old && !backend.health.is_ejected()
        };
        let due = self.backends.iter().filter(is_due).min_by_key(last_report).map(|b| b.entry.id.clone());
        let Some(&position) = due.as_ref().and_then(|id| self.positions.get(id)) else { return Vec::new() };
        self.last_report_at = Some(now);
        self.backends[position].report_requested_at = Some(now);
        due.into_iter().collect()
    }
}
