//! Newtypes for identifiers and counters, so that one can't be passed for another.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Defines an identifier: an opaque number that is compared and transmitted, with no arithmetic.
macro_rules! identifier {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the identifier as an untyped number.
            pub const fn get(self) -> u64 {
                self.0
            }
        }
    };
}

/// Defines a counter that begins at 1. The default, 0, means "none".
macro_rules! counter {
    ($(#[$attribute:meta])* $name:ident) => {
        identifier!($(#[$attribute])* #[derive(Default)] $name);

        impl $name {
            /// The value 0, which stands for "none": the first real number is 1.
            pub const NONE: Self = Self(0);

            /// Returns the number that is higher by one; after [`Self::NONE`] comes 1.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

identifier! {
    /// Identifies a member. The identity is generated when its disk is initialized, so a machine that lost
    /// its disk comes back as a different member.
    MemberId
}

identifier! {
    /// Identifies a client request. Assigned by the driver of the replica that received the request.
    RequestId
}

identifier! {
    /// Identifies a write to the log. Assigned by the replica that ordered the write.
    WriteId
}

counter! {
    /// The number of a membership view; consecutive views have consecutive numbers.
    ViewNumber
}

counter! {
    /// The position of an entry in the order of committed changes.
    Sequence
}

counter! {
    /// The generation of a configuration, chosen by its author. Increases with each change, by one or more.
    Generation
}

impl ViewNumber {
    /// The number before this one, which must not be [`ViewNumber::NONE`].
    pub(crate) const fn previous(self) -> Self {
        Self(self.0 - 1)
    }
}

/// Identifies one run of a member's process; drawn at random when the process starts. Lets a restarted
/// process discard messages that were meant for its predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Incarnation(pub(crate) u64);

/// The number of a confirmation round (see `read_index`), assigned by the member that requests the
/// confirmation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct ConfirmationRound(u64);

impl ConfirmationRound {
    /// The starting value for the rounds of an incarnation. Derived from the incarnation, so that the rounds
    /// of two incarnations do not overlap.
    pub(crate) fn before_first(incarnation: Incarnation) -> Self {
        Self(incarnation.0)
    }

    pub(crate) fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
