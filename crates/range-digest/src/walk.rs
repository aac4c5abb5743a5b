//! The walk from the range of all keys down to the items in which two sets differ.

use crate::range::{FAN_OUT, KeyRange, RangeDigest};
use crate::set::{DigestedSet, RangeContent};
use quick_error::quick_error;
use std::collections::BTreeSet;

/// The maximum number of ranges that wait to be requested. Limits the memory that a remote side can cause by
/// differing everywhere.
const MAX_PENDING: usize = 4096;

/// An item in which the two sets differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Difference {
    /// The key of the item.
    pub key: u64,
    /// The value in the local set; `None` if the key is absent.
    pub own: Option<u64>,
    /// The value in the remote set; `None` if the key is absent.
    pub other: Option<u64>,
}

quick_error! {
    /// The reason why a response of the remote side was rejected.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum WalkError {
        /// The response is for a range that was not requested.
        Unsolicited(range: KeyRange) {
            display("an answer for keys from {:016x}, which were not asked for", range.first())
        }
        /// The response does not have the digests of sixteen parts.
        WrongPartCount(count: usize) { display("{count} parts of a range, there are {FAN_OUT}") }
        /// The response has parts, but the range is a single key and has none.
        Indivisible(key: u64) { display("parts of the single key {key:016x}") }
        /// The response has a key outside the requested range.
        OutsideRange(key: u64) { display("key {key:016x} is not in the range that was asked for") }
        /// The keys are not in strictly ascending order.
        Unordered(key: u64) { display("key {key:016x} does not rise above the one before it") }
        /// More ranges differ than the walk can track.
        TooManyRanges { display("more than {MAX_PENDING} ranges differ") }
    }
}

/// Compares the local set with a remote one, range by range. The local set may change in the meantime: each
/// response is compared with the set as it is at that time.
#[derive(Clone, Debug, Default)]
pub struct Walk {
    pending: BTreeSet<KeyRange>,
    requested: BTreeSet<KeyRange>,
    responses: u32,
}

impl Walk {
    /// Begins a walk with the digest of the whole remote set. If the local set has the same digest, the walk
    /// is finished immediately.
    pub fn begin(own: &DigestedSet, other: RangeDigest) -> Self {
        let mut walk = Walk::default();
        if own.digest(KeyRange::ALL) != other {
            walk.pending.insert(KeyRange::ALL);
        }
        walk
    }

    /// The next range to request the content of; `None` if no request is due at present.
    pub fn next_request(&mut self) -> Option<KeyRange> {
        let range = self.pending.pop_first()?;
        self.requested.insert(range);
        Some(range)
    }

    /// Whether no request is due and no response is outstanding: all differences have been found.
    pub fn is_finished(&self) -> bool {
        self.pending.is_empty() && self.requested.is_empty()
    }

    /// The number of responses to requested ranges so far, including rejected ones.
    pub fn responses(&self) -> u32 {
        self.responses
    }

    /// Applies the content of a range in the remote set. Returns the items that differ. After an error the
    /// response is counted and the range no longer counts as requested; nothing else has changed.
    pub fn apply_response(
        &mut self,
        own: &DigestedSet,
        range: KeyRange,
        content: &RangeContent,
    ) -> Result<Vec<Difference>, WalkError> {
        if !self.requested.remove(&range) {
            return Err(WalkError::Unsolicited(range));
        }
        self.responses += 1;
        match content {
            RangeContent::Parts(digests) => self.apply_parts(own, range, digests).map(|()| Vec::new()),
            RangeContent::Items(items) => differences(own, range, items),
        }
    }

    fn apply_parts(
        &mut self,
        own: &DigestedSet,
        range: KeyRange,
        digests: &[RangeDigest],
    ) -> Result<(), WalkError> {
        if digests.len() != FAN_OUT {
            return Err(WalkError::WrongPartCount(digests.len()));
        }
        let parts: Vec<KeyRange> = range.parts().collect();
        if parts.is_empty() {
            return Err(WalkError::Indivisible(range.first()));
        }
        let differing = parts.into_iter().zip(digests).filter(|(part, other)| own.digest(*part) != **other);
        let differing: Vec<KeyRange> = differing.map(|(part, _)| part).collect();
        if self.pending.len() + differing.len() > MAX_PENDING {
            return Err(WalkError::TooManyRanges);
        }
        self.pending.extend(differing);
        Ok(())
    }
}

/// The differences within a range, given the items of the remote set in it.
fn differences(
    own: &DigestedSet,
    range: KeyRange,
    items: &[(u64, u64)],
) -> Result<Vec<Difference>, WalkError> {
    check_items(range, items)?;
    let mut found = Vec::new();
    for (key, value) in items {
        let own_value = own.get(*key);
        if own_value != Some(*value) {
            found.push(Difference { key: *key, own: own_value, other: Some(*value) });
        }
    }
    for (key, value) in own.iter_range(range) {
        if items.binary_search_by_key(&key, |(key, _)| *key).is_err() {
            found.push(Difference { key, own: Some(value), other: None });
        }
    }
    found.sort_unstable();
    Ok(found)
}

fn check_items(range: KeyRange, items: &[(u64, u64)]) -> Result<(), WalkError> {
    let mut before = None;
    for (key, _) in items {
        if !range.contains(*key) {
            return Err(WalkError::OutsideRange(*key));
        }
        if before.is_some_and(|before| before >= *key) {
            return Err(WalkError::Unordered(*key));
        }
        before = Some(*key);
    }
    Ok(())
}
