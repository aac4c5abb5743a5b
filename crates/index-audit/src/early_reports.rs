//! Reports on backends that are not listed yet: a frontend may have a newer list of backends than the
//! auditor, and an auditor that has just started has none. The reports are retained and applied once their
//! backends are listed.

use crate::ids::{BackendKey, BlockKey, FrontendId};
use std::collections::VecDeque;
use std::time::Duration;

/// The most reports that are retained, which bounds the memory. If there are more, frontends have to report
/// anew.
const MAX_REPORTS: usize = 10_000;
/// How long a report is retained. A backend that is not listed by then is not expected to be.
const RETENTION: Duration = Duration::from_secs(60);

/// A frontend's report on one block of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EarlyReport {
    pub(crate) frontend: FrontendId,
    pub(crate) backend: BackendKey,
    pub(crate) block: BlockKey,
    /// The block's tokens; `None` if the backend is no longer expected to have it cached.
    pub(crate) tokens: Option<u32>,
    pub(crate) received_at: Duration,
}

/// The retained reports, the oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct EarlyReports {
    reports: VecDeque<EarlyReport>,
    /// Whether a report was dropped because of [`MAX_REPORTS`].
    has_lost: bool,
}

impl EarlyReports {
    pub(crate) fn push(&mut self, report: EarlyReport) {
        let is_expired = |old: &EarlyReport| report.received_at >= old.received_at + RETENTION;
        while self.reports.front().is_some_and(is_expired) {
            self.reports.pop_front();
        }
        if self.reports.len() < MAX_REPORTS {
            self.reports.push_back(report);
        } else {
            self.has_lost = true;
        }
    }

    /// Takes the reports on listed backends, the oldest first.
    pub(crate) fn take(&mut self, is_listed: impl Fn(BackendKey) -> bool) -> Vec<EarlyReport> {
        let (taken, kept) = self.reports.drain(..).partition(|report| is_listed(report.backend));
        self.reports = kept;
        Vec::from(taken)
    }

    pub(crate) fn forget_frontend(&mut self, frontend: FrontendId) {
        self.reports.retain(|report| report.frontend != frontend);
    }

    /// Whether reports were dropped since the last call.
    pub(crate) fn take_has_lost(&mut self) -> bool {
        std::mem::take(&mut self.has_lost)
    }
}
