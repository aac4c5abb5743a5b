//! Repair of a list of backends that differs from the coordinator's (anti-entropy): the differing ranges are found by their
//! digests, and the differing entries are replaced with the coordinator's. No I/O, no clock.

use control_protocol::{Backend, BackendListVersion};
use quick_error::quick_error;
use range_digest::{Difference, DigestedSet, KeyRange, RangeContent, RangeDigest, Walk, WalkError};

/// The most differing backends that a repair replaces. With more, the complete list is requested.
const MAX_DIFFERENCES: usize = 256;
/// The most responses that a comparison takes. With more, the complete list is requested.
const MAX_RESPONSES: u32 = 512;

quick_error! {
    /// A repair was abandoned.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RepairError {
        /// A response contradicts an earlier one.
        InvalidResponse(error: WalkError) { display("{error}") from() source(error) }
        /// Too many backends differ.
        TooManyDifferences(found: usize) { display("{found} backends found to differ, and no end") }
    }
}

/// What to request of a coordinator about its list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListRequest {
    /// The complete list.
    FullList,
    /// The digest of the list.
    Digest,
    /// The content of a range of keys.
    Range(KeyRange),
    /// The entries of the backends with these keys.
    Backends(Vec<u64>),
}

/// The reason for a comparison of two lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ComparisonReason {
    /// The coordinator has not sent a list yet; the list is that of another coordinator, and may differ.
    FirstContact,
    /// The coordinator has sent this list: a difference is a fault.
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

/// A comparison of one list with the coordinator's, and the differences found so far.
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
        // Lists agree nearly always; the set is only built if they don't.
        let local = control_protocol::list_digest(backends);
        if local == coordinator {
            return None;
        }
        log::log!(
            reason.level(),
            "list {version}: {} backends with sum {:016x} here, {} with {:016x} at the coordinator",
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

    /// What to request next; `None` while a response is awaited, and if the lists are equal.
    pub fn next_request(&mut self) -> Option<ListRequest> {
        match self.walk.next_request() {
            Some(range) => Some(ListRequest::Range(range)),
            None if self.walk.is_finished() && !self.found.is_empty() => {
                Some(ListRequest::Backends(self.found.iter().map(|difference| difference.key).collect()))
            }
            None => None,
        }
    }

    /// Whether a response with these keys is the one to this comparison's request. The response to an earlier one, of a list that
    /// has changed meanwhile, names other keys, and says nothing of what is different now.
    pub fn requested(&self, keys: &[u64]) -> bool {
        self.walk.is_finished() && self.found.iter().map(|difference| difference.key).eq(keys.iter().copied())
    }

    /// Compares the coordinator's content of a range.
    ///
    /// # Errors
    ///
    /// Where the response is invalid or too much differs: the repair cannot go on.
    pub fn compare_range(&mut self, range: KeyRange, content: &RangeContent) -> Result<(), RepairError> {
        let found = self.walk.apply_response(&self.own, range, content)?;
        for difference in &found {
            log::log!(
                self.reason.level(),
                "list {}: key {:016x} from {:016x} on: {} here, {} at the coordinator",
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

/// A list in which the entries with these keys are replaced with the coordinator's.
pub fn repaired(before: &[Backend], keys: &[u64], replacements: &[Backend]) -> Vec<Backend> {
    let mut list: Vec<Backend> =
        before.iter().filter(|backend| !keys.contains(&backend.key())).cloned().collect();
    list.extend(replacements.iter().cloned());
    list.sort_by(|one, other| one.instance_id.cmp(&other.instance_id));
    list.dedup_by(|one, other| one.instance_id == other.instance_id);
    list
}

fn describe(content: Option<u64>) -> String {
    content.map_or("nothing".to_string(), |hash| format!("{hash:016x}"))
}
