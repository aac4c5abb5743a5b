//! The version that orders the lists of backends of all coordinators.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Orders the reads of the platform's list of backends: a higher version was read later. The lowest bits
/// identify the coordinator that read it. Serialized as a number.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BackendListVersion(pub u64);

impl BackendListVersion {
    /// Stands for the absence of a list; lower than the version of every read.
    pub const NONE: Self = BackendListVersion(0);

    /// Returns the serialized number; 0 stands for no list.
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
