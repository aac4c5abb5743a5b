//! One round: the comparison of a backend's index with the backend's complete cache.

use crate::error::AuditError;
use crate::ids::RoundNumber;
use crate::request::RangeReport;
use range_digest::{Difference, DigestedSet, KeyRange, RangeDigest, Walk};

/// The most requests in one round. A backend that would need more can't be audited.
const MAX_REQUESTS_PER_ROUND: u32 = 600;

/// A round in progress.
pub(crate) struct Round {
    number: RoundNumber,
    /// `None` until the digest of all keys has arrived.
    walk: Option<Walk>,
    /// The differences that were located so far.
    differences: Vec<Difference>,
    /// The number of requests so far.
    requests: u32,
}

/// Whether a round needs further requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RoundProgress {
    Ongoing,
    Complete,
}

impl Round {
    /// A new round. The caller sends its first request, which is for all keys.
    pub fn new(number: RoundNumber) -> Self {
        Round { number, walk: None, differences: Vec::new(), requests: 1 }
    }

    pub fn number(&self) -> RoundNumber {
        self.number
    }

    /// The range of the next request; `None` if none is needed or the first one has no report yet.
    pub fn next_range(&mut self) -> Option<KeyRange> {
        let range = self.walk.as_mut()?.next_request()?;
        self.requests += 1;
        Some(range)
    }

    /// Compares a verified report on a range with the index.
    pub fn apply_report(
        &mut self,
        index: &DigestedSet,
        range: KeyRange,
        report: &RangeReport,
    ) -> Result<RoundProgress, AuditError> {
        let walk = self.walk.get_or_insert_with(|| begin_walk(index, report.digest));
        if !walk.is_finished() {
            self.differences.extend(walk.apply_response(index, range, &report.content)?);
        }
        if walk.is_finished() {
            return Ok(RoundProgress::Complete);
        }
        if self.requests >= MAX_REQUESTS_PER_ROUND {
            return Err(AuditError::TooManyDifferences);
        }
        Ok(RoundProgress::Ongoing)
    }

    /// The differences that the round has located.
    pub fn into_differences(self) -> Vec<Difference> {
        self.differences
    }
}

/// Begins a walk. Its first request, for all keys, is skipped, as it was sent to get `digest`.
fn begin_walk(index: &DigestedSet, digest: RangeDigest) -> Walk {
    let mut walk = Walk::begin(index, digest);
    walk.next_request();
    walk
}
