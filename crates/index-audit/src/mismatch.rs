//! Mismatches between the index and a backend, and the log of them.

use crate::ids::{BackendKey, BlockKey};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::ops::AddAssign;
use std::time::Duration;

/// The number of mismatches that are retained. Older ones are only counted.
const MAX_RETAINED: usize = 256;

/// How the index and the backend differ. The names of the variants are part of the status interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MismatchKind {
    /// The index has a block that the backend has not cached.
    Dropped,
    /// The backend has cached a block that is not in the index.
    Forgotten,
    /// Both have the block, with different numbers of tokens.
    SizeDiffers,
}

/// How a mismatch was resolved. The names of the variants are part of the status interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MismatchOutcome {
    /// A second observation confirmed it, and the index was corrected.
    IndexCorrected,
    /// The difference was gone when the backend was compared again.
    GoneByItself,
}

/// A mismatch between the index and a backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mismatch {
    /// The backend whose index differed.
    pub backend: BackendKey,
    /// The instance id of the backend.
    pub instance_id: String,
    /// The block that differed.
    pub block: BlockKey,
    /// How the index and the backend differed.
    pub kind: MismatchKind,
    /// The block's tokens in the index; `None` if it was not there.
    pub tokens_in_index: Option<u64>,
    /// The block's tokens in the backend's report; `None` if it was not cached.
    pub tokens_at_backend: Option<u64>,
    /// The end of the round that first observed the difference.
    pub first_observed: Duration,
    /// When the mismatch was recorded.
    pub recorded_at: Duration,
    /// The number of rounds that observed the difference.
    pub observations: u32,
    /// How the mismatch was resolved.
    pub outcome: MismatchOutcome,
}

/// The number of mismatches by kind. The names of the fields are part of the status interface.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MismatchCounts {
    /// Mismatches of the kind [`MismatchKind::Dropped`].
    pub dropped: u64,
    /// Mismatches of the kind [`MismatchKind::Forgotten`].
    pub forgotten: u64,
    /// Mismatches of the kind [`MismatchKind::SizeDiffers`].
    pub size_differs: u64,
    /// Mismatches of any kind with the outcome [`MismatchOutcome::GoneByItself`], which are included above.
    pub gone_by_themselves: u64,
}

impl MismatchCounts {
    /// Adds one mismatch.
    pub fn count(&mut self, kind: MismatchKind, outcome: MismatchOutcome) {
        let count = match kind {
            MismatchKind::Dropped => &mut self.dropped,
            MismatchKind::Forgotten => &mut self.forgotten,
            MismatchKind::SizeDiffers => &mut self.size_differs,
        };
        *count += 1;
        self.gone_by_themselves += u64::from(outcome == MismatchOutcome::GoneByItself);
    }
}

impl AddAssign for MismatchCounts {
    fn add_assign(&mut self, other: Self) {
        self.dropped += other.dropped;
        self.forgotten += other.forgotten;
        self.size_differs += other.size_differs;
        self.gone_by_themselves += other.gone_by_themselves;
    }
}

/// The log of mismatches: the newest ones, and the number of those before them.
#[derive(Clone, Debug, Default)]
pub(crate) struct MismatchLog {
    retained: VecDeque<Mismatch>,
    older: u64,
}

impl MismatchLog {
    pub fn record(&mut self, mismatch: Mismatch) {
        if self.retained.len() >= MAX_RETAINED {
            self.retained.pop_front();
            self.older += 1;
        }
        self.retained.push_back(mismatch);
    }

    /// The retained mismatches, the oldest first.
    pub fn retained(&self) -> impl Iterator<Item = &Mismatch> {
        self.retained.iter()
    }

    /// The retained mismatches after the first `recorded` ones that were ever recorded, the oldest first.
    pub fn since(&self, recorded: u64) -> impl Iterator<Item = &Mismatch> {
        let count = usize::try_from(self.recorded().saturating_sub(recorded)).unwrap_or(usize::MAX);
        self.retained.iter().skip(self.retained.len().saturating_sub(count))
    }

    /// The number of mismatches that were ever recorded.
    pub fn recorded(&self) -> u64 {
        self.older + self.retained.len() as u64
    }

    /// The number of mismatches that are no longer retained.
    pub fn older(&self) -> u64 {
        self.older
    }
}
