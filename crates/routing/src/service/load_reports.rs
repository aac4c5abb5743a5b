//! Which load reports are due: few, since each costs as much as a health check.

use super::Service;
use crate::backend::Backend;
use crate::interface::*;
use std::time::Duration;

/// At most one report is requested in this time, of a backend at the cap whose load was not reported for as long.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// After so long without an attempt of this node there, and all before ended, an estimate says nothing any more.
const STALE_AFTER: Duration = Duration::from_secs(2);

impl Service {
    /// An estimate that stays high while others are reset by responses keeps all requests away, and so the responses that
    /// would reset it.
    fn reset_stale_estimates(&mut self, now: Duration) {
        if !self.policy.estimate_expiry {
            return;
        }
        let stale = self.backends.iter_mut().filter(|backend| backend.has_stale_estimate(now, STALE_AFTER));
        stale.for_each(|backend| backend.estimate.record_idle());
    }

    /// The backends whose load report is due. To be called a few times a second.
    pub fn due_load_reports(&mut self, now: Duration) -> Vec<BackendId> {
        self.reset_stale_estimates(now);
        if !self.policy.load_reports
            || self.last_report_at.is_some_and(|at| now.saturating_sub(at) < REPORT_INTERVAL)
        {
            return Vec::new();
        }
        let cap = f64::from(self.traffic.cap());
        let is_due = |backend: &&Backend| {
            let at_cap = f64::from(backend.estimate.value()) / self.slot_share(backend, now) >= cap;
            let last_known =
                backend.reported_load.map(|reported_load| reported_load.at).max(backend.report_requested_at);
            let is_old = last_known.is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL);
            at_cap && is_old && !backend.health.is_ejected()
        };
        let oldest = |backend: &&Backend| {
            backend.reported_load.map(|reported_load| reported_load.at).max(backend.report_requested_at)
        };
        let due = self.backends.iter().filter(is_due).min_by_key(oldest).map(|b| b.entry.id.clone());
        let Some(&at) = due.as_ref().and_then(|id| self.positions.get(id)) else { return Vec::new() };
        self.last_report_at = Some(now);
        self.backends[at].report_requested_at = Some(now);
        due.into_iter().collect()
    }
}
