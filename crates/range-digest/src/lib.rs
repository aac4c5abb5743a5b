//! Digests of ranges of a keyed set, and the search for the differences between two sets (Merkle-style
//! reconciliation).
//!
//! A [`DigestedSet`] maps 64-bit keys to 64-bit values and computes the digest of any aligned range of keys.
//! A [`Walk`] compares the local set with a remote one: it requests the ranges whose digests differ, and each
//! response has either the digests of the sixteen parts of the range or the few items in it. The cost grows
//! with the number of differences, not with the size of the sets (anti-entropy with a Merkle tree: Demers et
//! al., 1987; Merkle, 1987).
//!
//! A digest is a sum of hashes. It detects errors, but is not resistant to deliberate collisions. The package
//! does no I/O and reads no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod range;
mod set;
mod walk;

pub use range::{FAN_OUT, KeyRange, RangeDigest, mix64};
pub use set::{DigestedSet, MAX_ITEMS, RangeContent};
pub use walk::{Difference, Walk, WalkError};
