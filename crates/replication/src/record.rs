//! The records that a replica stores on disk. Renamed types and fields keep their stored names.

use crate::identifiers::{MemberId, ViewNumber};
use crate::message::{Proposal, ProposalNumber};
use crate::model::{Entry, View};
use crate::register::{ReplicationProgress, StateTransfer};
use serde::{Deserialize, Serialize};

/// A record of a replica's log. Opaque to the driver, which only stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record(pub(crate) RecordBody);

impl Record {
    /// An estimate of the size on disk, in bytes.
    pub(crate) fn size(&self) -> usize {
        self.0.size()
    }
}

/// The content of a record. In the Paxos records, `slot` is the number of the view to be decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RecordBody {
    /// The identity of this member, and the first view if the disk was initialized while the whole system
    /// started for the first time.
    Identity { id: MemberId, first_view: Option<View> },
    /// A decided view.
    View(View),
    /// A Paxos promise: no lower proposal number is accepted for the slot.
    Promise {
        slot: ViewNumber,
        #[serde(rename = "ballot")]
        number: ProposalNumber,
        /// Whether this member has also promised not to become synced in the view before `slot`.
        #[serde(default, rename = "renounced")]
        gave_up_sync: bool,
    },
    /// A Paxos acceptance: this member has accepted the proposal.
    Accept { slot: ViewNumber, proposal: Proposal },
    /// The next log entry, and the number of the view in which this member is synced by appending it.
    Entry { entry: Entry, synced: ViewNumber },
    /// This member is synced in the view with this number.
    Synced(ViewNumber),
    /// State received from another member, and how much of the committed state this member has with it.
    Transfer {
        transfer: StateTransfer,
        #[serde(rename = "holding")]
        progress: ReplicationProgress,
    },
}

/// The maximum size of a record without its documents, in bytes.
const RECORD_OVERHEAD: usize = 512;

/// The size of an entry key on disk, in bytes.
const KEY_BYTES: usize = 96;

impl RecordBody {
    /// An estimate of the size on disk, in bytes.
    pub(crate) fn size(&self) -> usize {
        match self {
            RecordBody::Entry { entry, .. } => RECORD_OVERHEAD + entry.change.document.len(),
            RecordBody::Transfer { transfer, .. } => RECORD_OVERHEAD + transfer_size(transfer),
            _ => RECORD_OVERHEAD,
        }
    }
}

fn transfer_size(transfer: &StateTransfer) -> usize {
    let entries = [&transfer.committed, &transfer.pending];
    let documents: usize = entries.into_iter().flatten().map(|entry| entry.change.document.len()).sum();
    documents + transfer.keys.len() * KEY_BYTES
}
