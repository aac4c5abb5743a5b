//! The audit of one backend: its index, the round in progress, and the differences that are not confirmed
//! yet.

use crate::error::AuditError;
use crate::ids::{BackendKey, BlockKey, RoundNumber};
use crate::index::BackendIndex;
use crate::mismatch::{Mismatch, MismatchCounts, MismatchKind, MismatchOutcome};
use crate::request::RangeReport;
use crate::round::{Round, RoundProgress};
use crate::settings::AuditSettings;
use crate::status::{BackendAuditState, BackendAuditStatus};
use range_digest::{Difference, KeyRange};
use std::collections::BTreeMap;
use std::time::Duration;

/// The most blocks in the index of one backend. Bounds the memory of the auditor.
const MAX_INDEXED_BLOCKS: usize = 200_000;
/// After consecutive failures, the next round begins after as many round intervals, up to this number.
const MAX_BACKOFF_FACTOR: u32 = 6;

/// A difference that was observed and is not confirmed yet.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedDifference {
    kind: MismatchKind,
    difference: Difference,
    first_observed: Duration,
    /// When the index entry had last changed at the time of the observation.
    index_changed_at: Option<Duration>,
    /// The number of rounds that observed the difference.
    observations: u32,
}

impl UnconfirmedDifference {
    fn block(&self) -> BlockKey {
        BlockKey(self.difference.key)
    }
}

/// The audit of one backend.
pub(crate) struct BackendAudit {
    key: BackendKey,
    instance_id: String,
    index: BackendIndex,
    state: BackendAuditState,
    counts: MismatchCounts,
    /// When the last complete round ended.
    compared_at: Option<Duration>,
    next_round_at: Duration,
    /// The number of failures since the last complete round.
    failures: u32,
    /// The round in progress.
    round: Option<Round>,
    /// The differences that the last complete round observed and did not confirm.
    unconfirmed: BTreeMap<BlockKey, UnconfirmedDifference>,
}

impl BackendAudit {
    pub fn new(key: BackendKey, instance_id: String, next_round_at: Duration) -> Self {
        BackendAudit {
            key,
            instance_id,
            index: BackendIndex::default(),
            state: BackendAuditState::NotCompared,
            counts: MismatchCounts::default(),
            compared_at: None,
            next_round_at,
            failures: 0,
            round: None,
            unconfirmed: BTreeMap::new(),
        }
    }

    pub fn key(&self) -> BackendKey {
        self.key
    }

    pub fn instance_id(&self) -> &str {
        &self.instance_id
    }

    pub fn index_mut(&mut self) -> &mut BackendIndex {
        &mut self.index
    }

    pub fn counts(&self) -> MismatchCounts {
        self.counts
    }

    pub fn next_round_at(&self) -> Duration {
        self.next_round_at
    }

    pub fn is_index_full(&self) -> bool {
        self.index.len() > MAX_INDEXED_BLOCKS
    }

    /// Whether a round is due and none is in progress.
    pub fn is_round_due(&self, now: Duration) -> bool {
        self.round.is_none() && self.next_round_at <= now
    }

    /// Whether this round is the one in progress.
    pub fn is_in_round(&self, number: RoundNumber) -> bool {
        self.round.as_ref().is_some_and(|round| round.number() == number)
    }

    /// Begins a round, and returns the range of its first request.
    pub fn begin_round(&mut self, number: RoundNumber) -> KeyRange {
        self.round = Some(Round::new(number));
        KeyRange::ALL
    }

    /// The range of the next request in the round in progress.
    pub fn next_range(&mut self) -> Option<KeyRange> {
        self.round.as_mut()?.next_range()
    }

    /// Aborts the round in progress, and records the error as the result of the audit.
    pub fn fail(&mut self, error: AuditError) {
        self.round = None;
        self.failures = self.failures.saturating_add(1);
        self.state = BackendAuditState::NotAudited(error);
    }

    /// Schedules the next round after a failed one.
    pub fn schedule_retry(&mut self, now: Duration, settings: &AuditSettings) {
        self.next_round_at = now + settings.round_interval * self.failures.min(MAX_BACKOFF_FACTOR);
    }

    /// Applies the report of a range. Returns the mismatches once the round is complete, and `None` before.
    pub fn apply_report(
        &mut self,
        now: Duration,
        settings: &AuditSettings,
        range: KeyRange,
        report: &RangeReport,
    ) -> Result<Option<Vec<Mismatch>>, AuditError> {
        report.verify(self.key)?;
        let Some(round) = &mut self.round else { return Ok(None) };
        match round.apply_report(self.index.digested(), range, report)? {
            RoundProgress::Ongoing => Ok(None),
            RoundProgress::Complete => Ok(Some(self.complete_round(now, settings))),
        }
    }

    fn complete_round(&mut self, now: Duration, settings: &AuditSettings) -> Vec<Mismatch> {
        let mismatches = self.assess_round(now, settings.settling_time);
        let corrected =
            mismatches.iter().filter(|mismatch| mismatch.outcome == MismatchOutcome::IndexCorrected).count();
        self.state = match corrected {
            0 => BackendAuditState::Matching,
            corrected => BackendAuditState::Differing(corrected),
        };
        self.compared_at = Some(now);
        self.failures = 0;
        let pause =
            if self.unconfirmed.is_empty() { settings.round_interval } else { settings.settling_time };
        self.next_round_at = now + pause;
        mismatches.iter().for_each(|mismatch| self.counts.count(mismatch.kind, mismatch.outcome));
        mismatches
    }

    /// Ends the round, and compares its differences with those of the round before. A difference that is
    /// observed again is a mismatch, and so is one that is gone.
    fn assess_round(&mut self, now: Duration, settling_time: Duration) -> Vec<Mismatch> {
        let differences = self.round.take().map(Round::into_differences).unwrap_or_default();
        let mut previous = std::mem::take(&mut self.unconfirmed);
        let mut mismatches = Vec::new();
        for difference in differences {
            let earlier = previous.remove(&BlockKey(difference.key));
            mismatches.extend(self.assess(now, settling_time, difference, earlier));
        }
        let gone = previous.into_values();
        mismatches.extend(gone.filter_map(|gone| self.gone_mismatch(now, settling_time, gone)));
        mismatches
    }

    /// Assesses a difference of this round. `earlier` is the difference of the same block in the round
    /// before, if any.
    fn assess(
        &mut self,
        now: Duration,
        settling_time: Duration,
        difference: Difference,
        earlier: Option<UnconfirmedDifference>,
    ) -> Option<Mismatch> {
        let kind = mismatch_kind(difference)?;
        let block = BlockKey(difference.key);
        let index_changed_at = self.index.changed_at(block);
        if index_changed_at.is_some_and(|at| now < at + settling_time) {
            // The change of the index, or one at the backend, may not have reached the other side yet.
            return earlier.and_then(|earlier| self.gone_mismatch(now, settling_time, earlier));
        }
        let is_same = |earlier: &UnconfirmedDifference| {
            earlier.kind == kind && earlier.index_changed_at == index_changed_at
        };
        let observed_before = earlier.filter(is_same);
        let observations = observed_before.map_or(1, |earlier| earlier.observations + 1);
        let first_observed = observed_before.map_or(now, |earlier| earlier.first_observed);
        let current =
            UnconfirmedDifference { kind, difference, first_observed, index_changed_at, observations };
        if observations > 1 && now >= first_observed + settling_time {
            self.correct_index(now, difference);
            return Some(self.mismatch(now, current, MismatchOutcome::IndexCorrected));
        }
        self.unconfirmed.insert(block, current);
        // If the earlier difference is not the same, it is gone and this one has taken its place.
        let replaced = earlier.filter(|earlier| !is_same(earlier));
        replaced.and_then(|replaced| self.gone_mismatch(now, settling_time, replaced))
    }

    /// The mismatch for a difference that is gone. `None` if the index entry changed within the settling time
    /// after the first observation: a report of the change was then in transit, and the backend was only
    /// ahead of it.
    fn gone_mismatch(
        &self,
        now: Duration,
        settling_time: Duration,
        gone: UnconfirmedDifference,
    ) -> Option<Mismatch> {
        let changed_at = self.index.changed_at(gone.block());
        let was_in_transit = changed_at != gone.index_changed_at
            && changed_at.is_some_and(|changed_at| changed_at < gone.first_observed + settling_time);
        (!was_in_transit).then(|| self.mismatch(now, gone, MismatchOutcome::GoneByItself))
    }

    fn mismatch(&self, now: Duration, observed: UnconfirmedDifference, outcome: MismatchOutcome) -> Mismatch {
        Mismatch {
            backend: self.key,
            instance_id: self.instance_id.clone(),
            block: observed.block(),
            kind: observed.kind,
            tokens_in_index: observed.difference.own,
            tokens_at_backend: observed.difference.other,
            first_observed: observed.first_observed,
            recorded_at: now,
            observations: observed.observations,
            outcome,
        }
    }

    fn correct_index(&mut self, now: Duration, difference: Difference) {
        let block = BlockKey(difference.key);
        match difference.other {
            Some(tokens) => self.index.correct(now, block, u32::try_from(tokens).unwrap_or(u32::MAX)),
            None => self.index.remove(now, block),
        }
    }

    pub fn status(&self) -> BackendAuditStatus {
        BackendAuditStatus {
            instance_id: self.instance_id.clone(),
            state: self.state.clone(),
            blocks: self.index.len(),
            unconfirmed: self.unconfirmed.len(),
            compared_at: self.compared_at,
            counts: self.counts,
        }
    }
}

fn mismatch_kind(difference: Difference) -> Option<MismatchKind> {
    match (difference.own, difference.other) {
        (Some(_), None) => Some(MismatchKind::Dropped),
        (None, Some(_)) => Some(MismatchKind::Forgotten),
        (Some(_), Some(_)) => Some(MismatchKind::SizeDiffers),
        (None, None) => None,
    }
}
