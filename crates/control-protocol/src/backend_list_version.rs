//! The version of a list of backends.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Orders the reads of the platform's list of backends: a higher version was read later. The lowest bits
/// identify the coordinator that read it. Serialized as a number.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BackendListVersion(pub u64);

impl BackendListVersion {
    /// The version while there is no list.
    pub const NONE: Self = BackendListVersion(0);

    /// The version as a number; 0 for none.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for BackendListVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

// `{:?}` prints the number alone, as log lines also print optional versions.
impl fmt::Debug for BackendListVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, formatter)
    }
}
