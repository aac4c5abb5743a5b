//! A set of items that provides the digests of its ranges.

use crate::range::{KeyRange, RangeDigest};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The maximum number of items for which [`DigestedSet::content`] lists a range item by item.
pub const MAX_ITEMS: u64 = 16;
/// The prefix length of the ranges whose digests are precomputed. Those of smaller ranges are computed on
/// demand.
const PRECOMPUTED_BITS: u32 = 8;
const PRECOMPUTED_RANGES: usize = 1 << PRECOMPUTED_BITS;
/// Digests are precomputed only for sets with more items than this.
const PRECOMPUTE_ABOVE: usize = 512;

/// The content of a range of a set, in a form that depends on its size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RangeContent {
    /// The digests of the sixteen parts of the range, in order.
    Parts(Vec<RangeDigest>),
    /// All items of the range as (key, value), in ascending order of the keys.
    Items(Vec<(u64, u64)>),
}

/// A map from keys to values with digests of its ranges. Takes about 30 bytes per item, and 4 KB for the
/// digests of a set of more than a few hundred items.
#[derive(Clone, Debug, Default)]
pub struct DigestedSet {
    items: BTreeMap<u64, u64>,
    /// The digests of the ranges with a prefix of [`PRECOMPUTED_BITS`] bits; empty while the set is small.
    precomputed: Vec<RangeDigest>,
}

impl DigestedSet {
    /// Returns the number of items, one for each key.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The value of a key; `None` if the key is absent.
    pub fn get(&self, key: u64) -> Option<u64> {
        self.items.get(&key).copied()
    }

    /// All items as (key, value), in ascending order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.items.iter().map(|(key, value)| (*key, *value))
    }

    /// The items in a range as (key, value), in ascending order of the keys.
    pub fn iter_range(&self, range: KeyRange) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.items.range(range.first()..=range.last()).map(|(key, value)| (*key, *value))
    }

    /// Inserts an item or replaces the value of its key. Returns the previous value of the key.
    pub fn insert(&mut self, key: u64, value: u64) -> Option<u64> {
        let before = self.items.insert(key, value);
        if let Some(precomputed) = self.precomputed.get_mut(precomputed_index(key)) {
            if let Some(before) = before {
                precomputed.subtract(key, before);
            }
            precomputed.add(key, value);
        } else if self.items.len() > PRECOMPUTE_ABOVE {
            self.precompute();
        }
        before
    }

    /// Removes an item. Returns its value, or `None` if the key was absent.
    pub fn remove(&mut self, key: u64) -> Option<u64> {
        let value = self.items.remove(&key)?;
        if let Some(precomputed) = self.precomputed.get_mut(precomputed_index(key)) {
            precomputed.subtract(key, value);
        }
        Some(value)
    }

    /// The digest of a range. Computed from precomputed digests for large ranges, from the items otherwise.
    pub fn digest(&self, range: KeyRange) -> RangeDigest {
        if !self.precomputed.is_empty() && range.bits() <= PRECOMPUTED_BITS {
            return self.precomputed[precomputed_index(range.first())..=precomputed_index(range.last())]
                .iter()
                .copied()
                .sum();
        }
        let mut digest = RangeDigest::default();
        for (key, value) in self.iter_range(range) {
            digest.add(key, value);
        }
        digest
    }

    /// The content of a range: its items if they are at most [`MAX_ITEMS`], else the digests of its parts.
    pub fn content(&self, range: KeyRange) -> RangeContent {
        if self.digest(range).count <= MAX_ITEMS {
            return RangeContent::Items(self.iter_range(range).collect());
        }
        RangeContent::Parts(range.parts().map(|part| self.digest(part)).collect())
    }

    fn precompute(&mut self) {
        self.precomputed = vec![RangeDigest::default(); PRECOMPUTED_RANGES];
        for (key, value) in &self.items {
            self.precomputed[precomputed_index(*key)].add(*key, *value);
        }
    }
}

impl FromIterator<(u64, u64)> for DigestedSet {
    fn from_iter<I: IntoIterator<Item = (u64, u64)>>(items: I) -> Self {
        let mut set = DigestedSet { items: items.into_iter().collect(), precomputed: Vec::new() };
        if set.len() > PRECOMPUTE_ABOVE {
            set.precompute();
        }
        set
    }
}

fn precomputed_index(key: u64) -> usize {
    (key >> (u64::BITS - PRECOMPUTED_BITS)) as usize
}
