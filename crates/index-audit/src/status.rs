//! The status of an audit, for operators.

use crate::error::AuditError;
use crate::mismatch::{Mismatch, MismatchCounts};
use std::time::Duration;

/// The status of the audit of all backends.
#[derive(Clone, Debug)]
pub struct AuditStatus {
    /// The status of each backend, ordered by instance id.
    pub backends: Vec<BackendAuditStatus>,
    /// The mismatches that are retained, the oldest first.
    pub mismatches: Vec<Mismatch>,
    /// The number of older mismatches, which are no longer retained.
    pub older_mismatches: u64,
    /// The number of backends whose last round found no mismatch.
    pub matching: usize,
}

/// The status of the audit of one backend.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendAuditStatus {
    /// The backend's instance id.
    pub instance_id: String,
    /// The result of the last round.
    pub state: BackendAuditState,
    /// The number of blocks in the index of the backend.
    pub blocks: usize,
    /// The number of differences that were observed but not confirmed by a second observation.
    pub unconfirmed: usize,
    /// When the last complete round ended; `None` before the first one.
    pub compared_at: Option<Duration>,
    /// The number of the backend's mismatches so far.
    pub counts: MismatchCounts,
}

/// The result of the last round with a backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendAuditState {
    /// No round is complete yet.
    NotCompared,
    /// The last round confirmed no mismatch. It may have observed differences for the first time.
    Matching,
    /// The last round confirmed this number of mismatches, which were recorded and corrected.
    Differing(usize),
    /// The last round failed with this error. The backend does not count as matching.
    NotAudited(AuditError),
}
