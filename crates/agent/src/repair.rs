//! Repair of a list of backends that differs from the coordinator's (anti-entropy): the digests of ranges are
//! compared to find the differing entries, which are then replaced by the coordinator's. No I/O, no clock.

use control_protocol::{Backend, BackendListVersion};
use quick_error::quick_error;
use range_digest::{Difference, DigestedSet, KeyRange, RangeContent, RangeDigest, Walk, WalkError};

/// The most differing backends that a repair replaces. If more differ, the complete list is requested.
const MAX_DIFFERENCES: usize = 256;
/// The most responses that a comparison may take. If it needs more, the complete list is requested.
const MAX_RESPONSES: u32 = 512;

quick_error! {
    /// Why a repair was abandoned.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RepairError {
        /// A response contradicts an earlier one.
        InvalidResponse(error: WalkError) { display("{error}") from() source(error) }
        /// Too many backends differ, or the comparison has taken too many responses. Holds the number of
        /// differing backends found until then.
        TooManyDifferences(found: usize) {
            display("comparison abandoned after {found} differing backends were found")
        }
    }
}

/// A request to a coordinator about its list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListRequest {
    /// Requests the complete list.
    FullList,
    /// Requests the digest of the list.
    Digest,
    /// Requests the content of a range of backend keys.
    Range(KeyRange),
    /// Requests the entries of the backends with these keys.
    Backends(Vec<u64>),
}

/// The reason for a comparison of two lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ComparisonReason {
    /// The coordinator has not sent its list yet. The list at hand is that of another coordinator and may
    /// differ.
    FirstContact,
    /// The coordinator has sent this list, so a difference is an error.
    Verification,
}

impl ComparisonReason {
    fn level(self) -> log::Level {
        match self {
            ComparisonReason::FirstContact => log::Level::Debug,
            ComparisonReason::Verification => log::Level::Error,
        }
    }
}

/// A comparison of a list with the coordinator's, and the differences found so far.
#[derive(Clone, Debug)]
pub struct Repair {
    reason: ComparisonReason,
    version: BackendListVersion,
    own: DigestedSet,
    walk: Walk,
    found: Vec<Difference>,
}

impl Repair {
    /// Begins a comparison if the digests of the two lists differ; `None` if they are equal.
    pub fn begin(
        reason: ComparisonReason,
        version: BackendListVersion,
        backends: &[Backend],
        coordinator: RangeDigest,
    ) -> Option<Self> {
        // Lists are nearly always equal; the set is built only if they differ.
        let local = control_protocol::list_digest(backends);
        if local == coordinator {
            return None;
        }
        log::log!(
            reason.level(),
            "list {version} differs: {} backends with sum {:016x} here, {} with {:016x} at the coordinator",
            local.count,
            local.sum,
            coordinator.count,
            coordinator.sum
        );
        let own = control_protocol::list_digest_set(backends);
        let walk = Walk::begin(&own, coordinator);
        Some(Repair { reason, version, own, walk, found: Vec::new() })
    }

    /// The version of the list.
    pub fn version(&self) -> BackendListVersion {
        self.version
    }

    /// What to request next; `None` while a response is awaited, or if no difference was found.
    pub fn next_request(&mut self) -> Option<ListRequest> {
        match self.walk.next_request() {
            Some(range) => Some(ListRequest::Range(range)),
            None if self.walk.is_finished() && !self.found.is_empty() => {
                Some(ListRequest::Backends(self.found.iter().map(|difference| difference.key).collect()))
            }
            None => None,
        }
    }

    /// Whether this comparison has requested exactly these keys. A late response to an earlier comparison, of
    /// a list that has changed since, has other keys and must not end this one.
    pub fn has_requested(&self, keys: &[u64]) -> bool {
        self.walk.is_finished() && self.found.iter().map(|difference| difference.key).eq(keys.iter().copied())
    }

    /// Compares the coordinator's content of a range.
    ///
    /// # Errors
    ///
    /// If the response is invalid, too many backends differ, or too many responses were needed. The repair
    /// cannot continue.
    pub fn compare_range(&mut self, range: KeyRange, content: &RangeContent) -> Result<(), RepairError> {
        let found = self.walk.apply_response(&self.own, range, content)?;
        for difference in &found {
            log::log!(
                self.reason.level(),
                "list {}: key {:016x} in the range from {:016x} differs: {} here, {} at the coordinator",
                self.version,
                difference.key,
                range.first(),
                describe(difference.own),
                describe(difference.other)
            );
        }
        self.found.extend(found);
        if self.found.len() > MAX_DIFFERENCES || self.walk.responses() > MAX_RESPONSES {
            return Err(RepairError::TooManyDifferences(self.found.len()));
        }
        Ok(())
    }
}

/// The list with the entries of these keys replaced by the coordinator's, in the order of instance ids. A key
/// without a replacement is removed.
pub fn repaired(before: &[Backend], keys: &[u64], replacements: &[Backend]) -> Vec<Backend> {
    let mut list: Vec<Backend> =
        before.iter().filter(|backend| !keys.contains(&backend.key())).cloned().collect();
    list.extend(replacements.iter().cloned());
    list.sort_by(|one, other| one.instance_id.cmp(&other.instance_id));
    list.dedup_by(|one, other| one.instance_id == other.instance_id);
    list
}

fn describe(content: Option<u64>) -> String {
    content.map_or("absent".to_string(), |hash| format!("{hash:016x}"))
}
