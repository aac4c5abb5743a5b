//! Aligned ranges of keys, and their digests.

use serde::{Deserialize, Serialize};

/// The number of parts into which a range is divided.
pub const FAN_OUT: usize = 16;
/// The number of key bits that select one of these parts.
const FAN_OUT_BITS: u32 = FAN_OUT.trailing_zeros();

/// A range of keys: all keys with a common prefix of bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    first: u64,
    bits: u32,
}

impl KeyRange {
    /// The range of all keys.
    pub const ALL: KeyRange = KeyRange { first: 0, bits: 0 };

    /// The range of keys whose first `bits` bits equal those of `first`. `None` if `first` has other bits
    /// set, or if `bits` is more than 64 or not a multiple of 4 (the bits of one division).
    pub fn new(first: u64, bits: u32) -> Option<Self> {
        let range = KeyRange { first, bits };
        let is_aligned = bits <= u64::BITS && bits.is_multiple_of(FAN_OUT_BITS);
        (is_aligned && first & range.suffix_mask() == 0).then_some(range)
    }

    /// The lowest key.
    pub fn first(self) -> u64 {
        self.first
    }

    /// The highest key (inclusive).
    pub fn last(self) -> u64 {
        self.first | self.suffix_mask()
    }

    /// The length of the common prefix, in bits.
    pub fn bits(self) -> u32 {
        self.bits
    }

    /// Whether the range contains a key.
    pub fn contains(self, key: u64) -> bool {
        (self.first..=self.last()).contains(&key)
    }

    /// The sixteen parts of the range in ascending order; none if it is a single key.
    pub fn parts(self) -> impl Iterator<Item = KeyRange> {
        let bits = self.bits + FAN_OUT_BITS;
        let count = if bits <= u64::BITS { FAN_OUT as u64 } else { 0 };
        (0..count).map(move |part| KeyRange { first: self.first | part << (u64::BITS - bits), bits })
    }

    /// The mask of the bits in which the keys may differ.
    fn suffix_mask(self) -> u64 {
        u64::MAX.checked_shr(self.bits).unwrap_or(0)
    }
}

/// The digest of a range: the number of items and the sum of their hashes. Independent of the order of
/// insertion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeDigest {
    /// The number of items.
    pub count: u64,
    /// The wrapping sum of the hashes of the items.
    pub sum: u64,
}

impl RangeDigest {
    /// Adds an item.
    pub fn add(&mut self, key: u64, value: u64) {
        self.count += 1;
        self.sum = self.sum.wrapping_add(hash_of(key, value));
    }

    /// Subtracts an item, which must have been added before.
    pub fn subtract(&mut self, key: u64, value: u64) {
        self.count -= 1;
        self.sum = self.sum.wrapping_sub(hash_of(key, value));
    }
}

impl std::ops::AddAssign for RangeDigest {
    fn add_assign(&mut self, other: RangeDigest) {
        self.count = self.count.wrapping_add(other.count);
        self.sum = self.sum.wrapping_add(other.sum);
    }
}

impl std::iter::Sum for RangeDigest {
    fn sum<I: Iterator<Item = RangeDigest>>(digests: I) -> Self {
        digests.fold(RangeDigest::default(), |mut sum, digest| {
            sum += digest;
            sum
        })
    }
}

fn hash_of(key: u64, value: u64) -> u64 {
    mix64(mix64(key).wrapping_add(value))
}

/// A hash of a 64-bit number: the finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014), in which
/// every bit of the result depends on every bit of the value. It is the same in every process and release.
pub fn mix64(value: u64) -> u64 {
    let mut bits = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    bits ^ (bits >> 31)
}
