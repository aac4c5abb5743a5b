//! The audit of all backends: the schedule of requests, the log of mismatches and the corrections.

use crate::backend::BackendAudit;
use crate::early_reports::{EarlyReport, EarlyReports};
use crate::error::AuditError;
use crate::ids::{BackendKey, BlockKey, FrontendId, RoundNumber};
use crate::mismatch::{Mismatch, MismatchCounts, MismatchLog, MismatchOutcome};
use crate::request::{RangeRequest, RangeResult};
use crate::settings::AuditSettings;
use crate::status::{AuditStatus, BackendAuditState, BackendAuditStatus};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long it is remembered that a backend was removed from the list, in case it is listed again under the
/// same instance id.
const RELISTING_WINDOW: Duration = Duration::from_secs(60);

/// A correction that frontends are to apply to their own indexes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Correction {
    /// The backend whose index is corrected.
    pub backend: BackendKey,
    /// The block that is added, changed or removed.
    pub block: BlockKey,
    /// The block's tokens at the backend; `None` if the backend has not cached it.
    pub tokens: Option<u32>,
}

/// The actions that follow from the result of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditOutput {
    /// The corrections to send to all frontends.
    pub corrections: Vec<Correction>,
    /// The next request of the same round, to be sent at once; `None` if the round has ended.
    pub next_request: Option<RangeRequest>,
}

/// The audit of all backends.
pub struct Audit {
    settings: AuditSettings,
    backends: BTreeMap<BackendKey, BackendAudit>,
    /// The frontends that have ever reported, by name.
    frontends: FxHashMap<String, FrontendId>,
    /// Reports on backends that are not listed yet.
    early_reports: EarlyReports,
    /// When backends were removed from the list, within [`RELISTING_WINDOW`].
    delisted_at: BTreeMap<BackendKey, Duration>,
    /// Whether a backend was listed again after its index was dropped.
    has_relisted: bool,
    log: MismatchLog,
    /// The counts of backends that are no longer listed.
    delisted_counts: MismatchCounts,
    /// The number of rounds that were begun.
    rounds: u64,
    /// The number of requests without a result.
    in_flight: usize,
    /// When the next round may begin.
    next_request_at: Duration,
}

impl Audit {
    /// An audit without backends.
    pub fn new(settings: AuditSettings) -> Self {
        Audit {
            settings,
            backends: BTreeMap::new(),
            frontends: FxHashMap::default(),
            early_reports: EarlyReports::default(),
            delisted_at: BTreeMap::new(),
            has_relisted: false,
            log: MismatchLog::default(),
            delisted_counts: MismatchCounts::default(),
            rounds: 0,
            in_flight: 0,
            next_request_at: Duration::ZERO,
        }
    }

    /// Sets the backends to audit, each with its instance id. The index of a backend that is no longer listed
    /// is dropped.
    pub fn set_backends(&mut self, now: Duration, backends: &[(BackendKey, String)]) {
        self.delisted_at.retain(|_, at| now < *at + RELISTING_WINDOW);
        self.backends.retain(|key, backend| {
            let is_listed = backends.iter().any(|(listed, _)| listed == key);
            if !is_listed {
                self.delisted_counts += backend.counts();
                self.delisted_at.insert(*key, now);
            }
            is_listed
        });
        let first_round_at = now + self.settings.settling_time;
        for (key, instance_id) in backends {
            let added = || BackendAudit::new(*key, instance_id.clone(), first_round_at);
            self.backends.entry(*key).or_insert_with(added);
            self.has_relisted |= self.delisted_at.remove(key).is_some();
        }
        let is_listed = |key| self.backends.contains_key(&key);
        for early in self.early_reports.take(is_listed) {
            let EarlyReport { frontend, backend, block, tokens, .. } = early;
            self.apply_report(now, frontend, backend, block, tokens);
        }
    }

    /// Whether reports were lost since the last call, so that frontends have to report their complete index
    /// again. Reports are lost if too many arrive on backends that are not listed yet, and if a backend is
    /// listed again after its index was dropped, since the platform had left it out of the list for a while.
    pub fn take_lost_reports(&mut self) -> bool {
        self.early_reports.take_has_lost() | std::mem::take(&mut self.has_relisted)
    }

    /// Applies a frontend's report that a backend has cached a block (`Some` with the block's tokens) or no
    /// longer has it (`None`). A report on a backend that is not listed yet is retained until it is.
    pub fn apply_index_change(
        &mut self,
        now: Duration,
        frontend: &str,
        backend: BackendKey,
        block: BlockKey,
        tokens: Option<u32>,
    ) {
        let frontend = self.frontend_id(frontend);
        if self.backends.contains_key(&backend) {
            self.apply_report(now, frontend, backend, block, tokens);
        } else {
            self.early_reports.push(EarlyReport { frontend, backend, block, tokens, received_at: now });
        }
    }

    fn apply_report(
        &mut self,
        now: Duration,
        frontend: FrontendId,
        backend: BackendKey,
        block: BlockKey,
        tokens: Option<u32>,
    ) {
        let Some(backend) = self.backends.get_mut(&backend) else { return };
        match tokens {
            Some(_) if backend.is_index_full() => backend.fail(AuditError::IndexTooLarge),
            Some(tokens) => backend.index_mut().report(now, frontend, block, tokens),
            None => backend.index_mut().withdraw(now, frontend, block),
        }
    }

    /// Withdraws all reports of a frontend. To be called when it has left, and before it reports its complete
    /// index again.
    pub fn forget_frontend(&mut self, now: Duration, frontend: &str) {
        let frontend = self.frontend_id(frontend);
        self.early_reports.forget_frontend(frontend);
        self.backends.values_mut().for_each(|backend| backend.index_mut().forget_frontend(now, frontend));
    }

    fn frontend_id(&mut self, frontend: &str) -> FrontendId {
        if let Some(known) = self.frontends.get(frontend) {
            return *known;
        }
        let id = FrontendId(u32::try_from(self.frontends.len()).unwrap_or(u32::MAX));
        self.frontends.insert(frontend.to_string(), id);
        id
    }

    /// Begins a round if one is due, and returns its first request. The caller passes the result of each
    /// request to [`Audit::apply_result`], which returns the next one of the round.
    pub fn next_request(&mut self, now: Duration) -> Option<RangeRequest> {
        if now < self.next_request_at || self.in_flight >= self.settings.max_in_flight {
            return None;
        }
        let due = self.backends.values_mut().filter(|backend| backend.is_round_due(now));
        let backend = due.min_by_key(|backend| backend.next_round_at())?;
        self.rounds += 1;
        let round = RoundNumber(self.rounds);
        let range = backend.begin_round(round);
        let instance_id = backend.instance_id().to_string();
        let request = RangeRequest { backend: backend.key(), instance_id, range, round };
        self.count_request(now);
        Some(request)
    }

    fn count_request(&mut self, now: Duration) {
        self.in_flight += 1;
        self.next_request_at = now + self.settings.min_request_interval;
    }

    /// Applies the result of a request. The mismatches that it confirms are recorded before this returns
    /// their corrections.
    pub fn apply_result(
        &mut self,
        now: Duration,
        request: &RangeRequest,
        result: RangeResult,
    ) -> AuditOutput {
        self.in_flight = self.in_flight.saturating_sub(1);
        let settings = self.settings;
        let Some(backend) = self.backends.get_mut(&request.backend) else { return AuditOutput::default() };
        if !backend.is_in_round(request.round) {
            return AuditOutput::default();
        }
        let mismatches =
            result.and_then(|report| backend.apply_report(now, &settings, request.range, &report));
        match mismatches {
            Ok(Some(mismatches)) => self.record_mismatches(mismatches),
            Ok(None) => {
                let range = backend.next_range();
                self.continue_round(now, range.map(|range| RangeRequest { range, ..request.clone() }))
            }
            Err(error) => {
                backend.fail(error);
                backend.schedule_retry(now, &settings);
                AuditOutput::default()
            }
        }
    }

    fn continue_round(&mut self, now: Duration, next_request: Option<RangeRequest>) -> AuditOutput {
        if next_request.is_some() {
            self.count_request(now);
        }
        AuditOutput { corrections: Vec::new(), next_request }
    }

    fn record_mismatches(&mut self, mismatches: Vec<Mismatch>) -> AuditOutput {
        let corrections = mismatches.iter().filter_map(correction).collect();
        mismatches.into_iter().for_each(|mismatch| self.log.record(mismatch));
        AuditOutput { corrections, next_request: None }
    }

    /// The number of mismatches that were ever recorded.
    pub fn recorded_mismatches(&self) -> u64 {
        self.log.recorded()
    }

    /// The retained mismatches after the first `recorded` ones that were ever recorded, the oldest first.
    pub fn mismatches_since(&self, recorded: u64) -> impl Iterator<Item = &Mismatch> {
        self.log.since(recorded)
    }

    /// The retained mismatches, the oldest first.
    pub fn mismatches(&self) -> impl Iterator<Item = &Mismatch> {
        self.log.retained()
    }

    /// The number of mismatches of all backends that were ever listed.
    pub fn counts(&self) -> MismatchCounts {
        let mut counts = self.delisted_counts;
        self.backends.values().for_each(|backend| counts += backend.counts());
        counts
    }

    /// The status, for operators.
    pub fn status(&self) -> AuditStatus {
        let mut backends: Vec<BackendAuditStatus> =
            self.backends.values().map(BackendAudit::status).collect();
        backends.sort_by(|one, other| one.instance_id.cmp(&other.instance_id));
        let is_matching = |backend: &&BackendAuditStatus| backend.state == BackendAuditState::Matching;
        AuditStatus {
            matching: backends.iter().filter(is_matching).count(),
            backends,
            mismatches: self.log.retained().cloned().collect(),
            older_mismatches: self.log.older(),
        }
    }
}

fn correction(mismatch: &Mismatch) -> Option<Correction> {
    if mismatch.outcome != MismatchOutcome::IndexCorrected {
        return None;
    }
    let tokens = mismatch.tokens_at_backend.map(|tokens| u32::try_from(tokens).unwrap_or(u32::MAX));
    Some(Correction { backend: mismatch.backend, block: mismatch.block, tokens })
}
