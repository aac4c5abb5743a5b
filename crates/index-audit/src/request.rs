//! Requests to backends for the blocks that they have cached in a range of keys, and their reports.

use crate::error::AuditError;
use crate::ids::{BackendKey, RoundNumber};
use range_digest::{DigestedSet, KeyRange, RangeContent, RangeDigest};

/// A request to a backend for the blocks that it has cached in a range of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeRequest {
    /// The backend to send the request to.
    pub backend: BackendKey,
    /// The instance id of the backend.
    pub instance_id: String,
    /// The range of block keys.
    pub range: KeyRange,
    /// The round that the request belongs to.
    pub(crate) round: RoundNumber,
}

/// A backend's report of the blocks that it has cached in a range of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeReport {
    /// The backend that responded.
    pub backend: BackendKey,
    /// The digest of all blocks in the range.
    pub digest: RangeDigest,
    /// The blocks in the range, or the digests of its parts.
    pub content: RangeContent,
}

/// The result of a request: the report, or why there is none.
pub type RangeResult = Result<RangeReport, AuditError>;

impl RangeReport {
    /// Verifies that the report is from this backend, and that its digest matches its content.
    ///
    /// # Errors
    ///
    /// [`AuditError::InstanceMismatch`] or [`AuditError::DigestMismatch`].
    pub fn verify(&self, backend: BackendKey) -> Result<(), AuditError> {
        if self.backend != backend {
            return Err(AuditError::InstanceMismatch);
        }
        let content_digest = match &self.content {
            RangeContent::Parts(digests) => digests.iter().copied().sum(),
            RangeContent::Items(items) => {
                items.iter().copied().collect::<DigestedSet>().digest(KeyRange::ALL)
            }
        };
        if content_digest == self.digest { Ok(()) } else { Err(AuditError::DigestMismatch) }
    }
}
