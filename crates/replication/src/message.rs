//! Messages between replicas. Types, variants and fields that were renamed are serialized under the names that deployed programs
//! know.

use crate::disk_health::DiskHealth;
use crate::identifiers::{ConfirmationRound, Incarnation, MemberId, RequestId, Sequence, ViewNumber};
use crate::model::{Change, Entry, Member, RequestOutcome, View};
use crate::register::{EntryKey, StateTransfer};
use serde::{Deserialize, Serialize};

/// A message between replicas. Opaque to the driver, which only transports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub(crate) sender: MemberId,
    /// The number of the view that the sender knows.
    pub(crate) view: ViewNumber,
    pub(crate) body: MessageBody,
}

/// The number of a Paxos proposal. The incarnation is part of it, so that a process that has forgotten its last attempt can't
/// use the same number for another proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct ProposalNumber {
    pub(crate) round: u64,
    pub(crate) member: MemberId,
    #[serde(rename = "life")]
    pub(crate) incarnation: Incarnation,
}

/// A proposed view, not yet known to be decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Proposal {
    #[serde(rename = "ballot")]
    pub(crate) number: ProposalNumber,
    pub(crate) view: View,
}

/// The content of a message. In messages of the Paxos synod, `slot` is the number of the view to be decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum MessageBody {
    Heartbeat(Box<Heartbeat>),
    /// A decided view, last, preceded by the few decided before it, the oldest first.
    Decided(Vec<View>),
    /// Phase 1a of Paxos.
    Prepare {
        slot: ViewNumber,
        #[serde(rename = "ballot")]
        number: ProposalNumber,
        /// Whether no member that has all committed entries is reachable: members of the chain that are not synced in this view
        /// are to give up being synced in it.
        #[serde(rename = "rescue")]
        forced: bool,
    },
    /// Phase 1b of Paxos.
    Promise {
        slot: ViewNumber,
        #[serde(rename = "ballot")]
        number: ProposalNumber,
        accepted: Option<Proposal>,
        /// Whether the sender is in the chain of this view and synced in it.
        synced: bool,
    },
    /// Phase 2a of Paxos.
    Accept {
        slot: ViewNumber,
        proposal: Proposal,
    },
    /// Phase 2b of Paxos.
    Accepted {
        slot: ViewNumber,
        #[serde(rename = "ballot")]
        number: ProposalNumber,
    },
    /// The voter has promised a higher number.
    #[serde(rename = "Refused")]
    Rejected {
        slot: ViewNumber,
        promised: ProposalNumber,
    },
    /// To the successor in the chain: the entry after `previous`.
    Append {
        previous: EntryKey,
        entry: Entry,
    },
    /// To the successor in the chain: the newest entry on the sender's disk.
    Offer {
        newest: EntryKey,
    },
    /// To the successor in the chain: what it lacks of the register.
    Sync(Box<StateTransfer>),
    /// To the predecessor in the chain.
    Progress(ChainProgress),
    /// From a member outside the chain: its newest entry.
    CopyRequest {
        newest: EntryKey,
    },
    /// To a member outside the chain: what it lacks of the committed state.
    Copy {
        transfer: Box<StateTransfer>,
        /// Whether all of the chain is synced in this view, so that nothing is needed of a member outside.
        active: bool,
    },
    /// A client request for the head (a change) or the tail (a read).
    Forward {
        #[serde(rename = "caller")]
        origin: RequestOrigin,
        request: Request,
    },
    #[serde(rename = "Reply")]
    Response {
        #[serde(rename = "caller")]
        origin: RequestOrigin,
        #[serde(rename = "answer")]
        outcome: RequestOutcome,
    },
    /// Asks a voter to confirm that the sender's view is the latest.
    #[serde(rename = "Confirm")]
    ConfirmView {
        round: ConfirmationRound,
    },
    /// The voter has accepted no view later than the one to be confirmed.
    #[serde(rename = "Confirmed")]
    ViewConfirmed {
        round: ConfirmationRound,
    },
}

/// The progress of the chain from the sender to the tail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChainProgress {
    /// The newest entry: on disk, if `synced`.
    pub(crate) newest: EntryKey,
    /// Whether the sender has all that its predecessor had when the view began.
    pub(crate) synced: bool,
    /// Whether every member from the sender to the tail is synced.
    pub(crate) active: bool,
    /// The sequence of the newest entry that it knows to be committed.
    pub(crate) committed: Sequence,
}

/// Where a client request was received. A restarted process numbers its requests anew, so the incarnation is part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct RequestOrigin {
    pub(crate) member: MemberId,
    #[serde(rename = "life")]
    pub(crate) incarnation: Incarnation,
    #[serde(rename = "call")]
    pub(crate) request: RequestId,
    /// The member that forwarded the request, where its origin and the server can't reach each other.
    pub(crate) relay: Option<MemberId>,
}

/// A client request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Request {
    Write(Change),
    Read,
    #[serde(rename = "Prove")]
    ReadIndex,
}

/// The state that a member sends to all others several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(crate) member: Member,
    #[serde(rename = "life")]
    pub(crate) incarnation: Incarnation,
    /// The sender's clock in milliseconds.
    #[serde(rename = "sent")]
    pub(crate) sent_ms: u64,
    /// Whether its disk is slow, hangs or rejects writes.
    #[serde(rename = "trouble")]
    pub(crate) disk_unhealthy: bool,
    /// Whether its disk is slow and completes writes all the same. Left out where it is not, as earlier versions did.
    #[serde(rename = "slow", default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) disk_slow: bool,
    /// Whether its process is shutting down.
    #[serde(rename = "leaving")]
    pub(crate) shutting_down: bool,
    /// The number of the last view up to which it has all committed entries.
    pub(crate) complete: ViewNumber,
    /// The number of the last view in which it is synced.
    pub(crate) synced: ViewNumber,
    /// Whether it has given up being synced in the view that it knows.
    #[serde(rename = "renounced")]
    pub(crate) gave_up_sync: bool,
    /// Whether all from it to the tail are synced in the view that it knows.
    pub(crate) active: bool,
    /// The newest entry that it knows to be committed.
    pub(crate) committed: EntryKey,
    /// The newest entry that it has.
    pub(crate) newest: EntryKey,
    /// The members whose heartbeats it receives.
    pub(crate) heard: Vec<HeardPeer>,
}

impl Heartbeat {
    /// The state of the sender's disk.
    pub(crate) fn disk_health(&self) -> DiskHealth {
        match (self.disk_unhealthy, self.disk_slow) {
            (false, _) => DiskHealth::Healthy,
            (true, true) => DiskHealth::Slow,
            (true, false) => DiskHealth::Failed,
        }
    }
}

/// A member whose heartbeats the sender of a heartbeat receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeardPeer {
    pub(crate) id: MemberId,
    /// `sent_ms` of the last heartbeat from there; 0 if none has arrived yet.
    #[serde(rename = "sent")]
    pub(crate) sent_ms: u64,
}
