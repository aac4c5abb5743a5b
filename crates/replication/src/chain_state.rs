//! State of this member in the chain of the view in force.

use crate::identifiers::ViewNumber;
use crate::message::ChainProgress;
use crate::register::{EntryKey, ReplicationProgress, StateTransfer};
use std::time::Duration;

/// The state of this member in the chain of the view in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChainState {
    /// The key of the newest entry on disk.
    pub(crate) durable_newest: EntryKey,
    /// The replication progress as recorded on disk.
    pub(crate) durable_progress: ReplicationProgress,
    /// Whether every member from this one to the tail is synced in this view.
    pub(crate) active: bool,
    /// The progress that the successor reported last.
    pub(crate) successor_progress: Option<ChainProgress>,
    /// The newest entry when an entry or a transfer was last sent to the successor, and when that was.
    pub(crate) last_sent: Option<(EntryKey, Duration)>,
    pub(crate) offered_at: Option<Duration>,
    /// The progress that was last reported to the predecessor.
    pub(crate) reported_progress: Option<ChainProgress>,
}

impl ChainState {
    pub(crate) fn enter_view(&mut self) {
        self.active = false;
        self.reported_progress = None;
        self.reset_successor();
    }

    /// Resets the state of the successor, because another member is successor now or it has restarted.
    pub(crate) fn reset_successor(&mut self) {
        self.successor_progress = None;
        self.last_sent = None;
        self.offered_at = None;
    }
}

/// A copy of the committed state that was received outside the chain.
pub(crate) struct ReceivedCopy {
    /// The number of the view that the sender knows.
    pub(crate) view: ViewNumber,
    pub(crate) transfer: StateTransfer,
    /// Whether the whole chain is synced in that view.
    pub(crate) active: bool,
}
