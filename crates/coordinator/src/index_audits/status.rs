//! The status of the audit, for operators. Some fields keep their older names in JSON by `serde(rename)`.

use index_audit::{
    AuditStatus, BackendAuditState, BackendAuditStatus, Mismatch, MismatchCounts, MismatchKind,
    MismatchOutcome,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How many mismatches the status shows at most: the newest ones.
const MAX_SHOWN: usize = 50;

/// The status of the audit of the index.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct IndexStatus {
    /// The state of each backend that is compared with the index.
    pub backends: Vec<AuditedBackend>,
    /// The newest mismatches, in the order in which they were recorded.
    pub mismatches: Vec<MismatchStatus>,
    /// How many older mismatches were recorded that are no longer shown.
    pub older_mismatches: u64,
}

/// The status of a backend under audit.
#[derive(Debug, Serialize, Deserialize)]
pub struct AuditedBackend {
    /// The backend's instance id, as on the platform's list.
    pub instance_id: String,
    /// The result of the last comparison: `matching`, `differing in N`, `not looked at` if there was none
    /// yet, or `not audited: ` and the error.
    pub state: String,
    /// How many blocks the index has for this backend.
    #[serde(rename = "parts")]
    pub blocks: usize,
    /// How many differences were observed once and have not been confirmed by a second observation.
    pub unconfirmed: usize,
    /// How long ago the backend was compared, in milliseconds; `None` if it has not been yet.
    pub compared_ms_ago: Option<u64>,
    /// The backend's mismatches since the audit started, by kind.
    pub mismatches: MismatchCounts,
}

/// A mismatch between the index and a backend.
#[derive(Debug, Serialize, Deserialize)]
pub struct MismatchStatus {
    /// The backend's instance id, as on the platform's list.
    pub instance_id: String,
    /// The key of the prompt block, in hex.
    #[serde(rename = "part")]
    pub block: String,
    /// How the index and the backend differ.
    pub kind: MismatchKind,
    /// The block's number of tokens in the index; `None` if the index lacked it.
    pub tokens_in_index: Option<u64>,
    /// The block's number of tokens at the backend; `None` if the backend lacked it.
    pub tokens_at_backend: Option<u64>,
    /// How long ago the mismatch was first observed, in milliseconds.
    pub first_seen_ms_ago: u64,
    /// How many comparisons with the backend observed the mismatch.
    #[serde(rename = "looks")]
    pub observations: u32,
    /// Whether the index was corrected or the mismatch resolved itself.
    pub outcome: MismatchOutcome,
}

impl IndexStatus {
    /// Converts the status of an audit, with ages as of `now`.
    pub(super) fn of(audit: AuditStatus, now: Duration) -> Self {
        let shown = audit.mismatches.iter().rev().take(MAX_SHOWN).rev();
        let mismatches: Vec<MismatchStatus> =
            shown.map(|mismatch| MismatchStatus::of(mismatch, now)).collect();
        let older_mismatches = audit.older_mismatches + (audit.mismatches.len() - mismatches.len()) as u64;
        let backends = audit.backends.into_iter().map(|backend| AuditedBackend::of(backend, now)).collect();
        IndexStatus { backends, mismatches, older_mismatches }
    }
}

impl AuditedBackend {
    fn of(backend: BackendAuditStatus, now: Duration) -> Self {
        AuditedBackend {
            instance_id: backend.instance_id,
            state: state_text(&backend.state),
            blocks: backend.blocks,
            unconfirmed: backend.unconfirmed,
            compared_ms_ago: backend.compared_at.map(|at| ms_between(at, now)),
            mismatches: backend.counts,
        }
    }
}

impl MismatchStatus {
    fn of(mismatch: &Mismatch, now: Duration) -> Self {
        MismatchStatus {
            instance_id: mismatch.instance_id.clone(),
            block: format!("{:016x}", mismatch.block.0),
            kind: mismatch.kind,
            tokens_in_index: mismatch.tokens_in_index,
            tokens_at_backend: mismatch.tokens_at_backend,
            first_seen_ms_ago: ms_between(mismatch.first_observed, now),
            observations: mismatch.observations,
            outcome: mismatch.outcome,
        }
    }
}

fn ms_between(at: Duration, now: Duration) -> u64 {
    now.saturating_sub(at).as_millis() as u64
}

fn state_text(state: &BackendAuditState) -> String {
    match state {
        BackendAuditState::NotCompared => "not looked at".to_string(),
        BackendAuditState::Matching => "matching".to_string(),
        BackendAuditState::Differing(mismatches) => format!("differing in {mismatches}"),
        BackendAuditState::NotAudited(error) => format!("not audited: {error}"),
    }
}
