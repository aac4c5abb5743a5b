//! Messages between replicas. Renamed types, variants and fields keep the names that deployed programs expect
//! on the wire.

use crate::disk_health::DiskHealth;
use crate::identifiers::{ConfirmationRound, Incarnation, MemberId, RequestId, Sequence, ViewNumber};
use crate::model::{Change, Entry, Member, RequestOutcome, View};
use crate::register::{EntryKey, StateTransfer};
use serde::{Deserialize, Serialize};

/// A message between replicas. Opaque to the driver, which only delivers it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub(crate) sender: MemberId,
    /// The number of the newest view that the sender knows.
    pub(crate) view: ViewNumber,
    pub(crate) body: MessageBody,
}

/// The number of a Paxos proposal. It includes the incarnation, so that a restarted process, which may have
/// forgotten its last attempt, can't reuse a number for a different proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct ProposalNumber {
    pub(crate) round: u64,
    pub(crate) member: MemberId,
    #[serde(rename = "life")]
    pub(crate) incarnation: Incarnation,
}

/// A proposed view, with its proposal number. Not necessarily decided.
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
    /// The newest decided view as the last element, preceded by a few earlier ones, the oldest first.
    Decided(Vec<View>),
    /// Phase 1a of Paxos: a proposer requests promises for a slot.
    Prepare {
        slot: ViewNumber,
        #[serde(rename = "ballot")]
        number: ProposalNumber,
        /// Whether the attempt is for a forced view, because no member that has all committed entries is
        /// reachable. Chain members that are not synced in the current view then promise not to become synced
        /// in it.
        #[serde(rename = "rescue")]
        forced: bool,
    },
    /// Phase 1b of Paxos: a voter promises to accept no proposal with a lower number.
    Promise {
        slot: ViewNumber,
        #[serde(rename = "ballot")]
        number: ProposalNumber,
        accepted: Option<Proposal>,
        /// Whether the sender is in the chain of the view in force and synced in it.
        synced: bool,
    },
    /// Phase 2a of Paxos: a proposer requests that the voters accept a view.
    Accept {
        slot: ViewNumber,
        proposal: Proposal,
    },
    /// Phase 2b of Paxos: a voter has accepted the proposal with this number.
    Accepted {
        slot: ViewNumber,
        #[serde(rename = "ballot")]
        number: ProposalNumber,
    },
    /// The response of a voter that has promised a higher proposal number.
    #[serde(rename = "Refused")]
    Rejected {
        slot: ViewNumber,
        promised: ProposalNumber,
    },
    /// To the successor in the chain: the entry that follows `previous`.
    Append {
        previous: EntryKey,
        entry: Entry,
    },
    /// To the successor in the chain: the newest entry on the sender's disk, for comparison.
    Offer {
        newest: EntryKey,
    },
    /// To the successor in the chain: all of the register that it lacks.
    Sync(Box<StateTransfer>),
    /// To the predecessor in the chain: the progress of the sender and the members after it.
    Progress(ChainProgress),
    /// From a member outside the chain, to request a copy of the committed state: its newest entry.
    CopyRequest {
        newest: EntryKey,
    },
    /// To a member outside the chain: the part of the committed state that it lacks.
    Copy {
        transfer: Box<StateTransfer>,
        /// Whether the whole chain is synced in this view, so that no entry of a member outside the chain is
        /// needed any more.
        active: bool,
    },
    /// A client request for the head (a change) or the tail (a read), sent by the member that received it or
    /// by a relay.
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
    /// Requests a voter's confirmation that the sender's view is the latest.
    #[serde(rename = "Confirm")]
    ConfirmView {
        round: ConfirmationRound,
    },
    /// A voter's confirmation: it has accepted no view later than the one to be confirmed.
    #[serde(rename = "Confirmed")]
    ViewConfirmed {
        round: ConfirmationRound,
    },
}

/// The replication progress of the part of the chain from the sender to the tail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChainProgress {
    /// The sender's newest entry. Once `synced` is set, only entries on its disk count.
    pub(crate) newest: EntryKey,
    /// Whether the sender has taken over the state that its predecessor had when the view began.
    pub(crate) synced: bool,
    /// Whether every member from the sender to the tail is synced.
    pub(crate) active: bool,
    /// The sequence of the newest entry that the sender knows to be committed.
    pub(crate) committed: Sequence,
}

/// Identifies a client request and the process that received it. Contains the incarnation because a restarted
/// process numbers its requests from the start again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct RequestOrigin {
    pub(crate) member: MemberId,
    #[serde(rename = "life")]
    pub(crate) incarnation: Incarnation,
    #[serde(rename = "call")]
    pub(crate) request: RequestId,
    /// The voter that forwards the request and its response, if the origin and the serving member can't reach
    /// each other.
    pub(crate) relay: Option<MemberId>,
}

/// A client request as members forward it to the member that serves it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Request {
    Write(Change),
    Read,
    #[serde(rename = "Prove")]
    ReadIndex,
}

/// The state that each member sends periodically to all others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(crate) member: Member,
    #[serde(rename = "life")]
    pub(crate) incarnation: Incarnation,
    /// The sender's monotonic clock at the time of sending, in milliseconds.
    #[serde(rename = "sent")]
    pub(crate) sent_ms: u64,
    /// Whether the sender's disk is slow, hangs or rejects writes.
    #[serde(rename = "trouble")]
    pub(crate) disk_unhealthy: bool,
    /// Whether the sender's disk is slow but still completes writes. Omitted if false, as versions without
    /// this field did.
    #[serde(rename = "slow", default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) disk_slow: bool,
    /// Whether the sender's process is shutting down.
    #[serde(rename = "leaving")]
    pub(crate) shutting_down: bool,
    /// The number of the latest view up to which the sender has all committed entries.
    pub(crate) complete: ViewNumber,
    /// The number of the latest view in which the sender is synced.
    pub(crate) synced: ViewNumber,
    /// Whether the sender has promised not to become synced in the view that it knows.
    #[serde(rename = "renounced")]
    pub(crate) gave_up_sync: bool,
    /// Whether all members from the sender to the tail are synced in the view that it knows.
    pub(crate) active: bool,
    /// The newest entry that the sender knows to be committed.
    pub(crate) committed: EntryKey,
    /// The newest entry on the sender's disk.
    pub(crate) newest: EntryKey,
    /// The members whose heartbeats the sender receives.
    pub(crate) heard: Vec<HeardPeer>,
}

impl Heartbeat {
    /// Combines the two disk flags of the heartbeat into one state.
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
    /// The `sent_ms` of the last heartbeat received from that member; 0 if none has been received yet.
    #[serde(rename = "sent")]
    pub(crate) sent_ms: u64,
}
