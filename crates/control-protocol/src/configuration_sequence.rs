//! The number that orders the committed configurations.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The position of a configuration in the order in which coordinators committed them, from 1. Serialized as a
/// number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ConfigurationSequence(pub u64);

impl ConfigurationSequence {
    /// The sequence number while there is no configuration.
    pub const NONE: Self = ConfigurationSequence(0);

    /// The sequence number as an integer; 0 for none.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ConfigurationSequence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

// `{:?}` prints the number alone, as log lines also print optional sequence numbers.
impl fmt::Debug for ConfigurationSequence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, formatter)
    }
}
