//! The replicated data and the membership: members, views, changes, entries.

use crate::identifiers::{Generation, MemberId, Sequence, ViewNumber};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// A process that takes part in the replication, as views and heartbeats describe it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The identity of its disk; a machine that loses its disk becomes another member.
    pub id: MemberId,
    /// The address on which it accepts connections of the other programs of the fleet.
    pub address: SocketAddrV4,
    /// Availability zone; empty in the first view, where the zones are not known yet.
    pub zone: String,
}

/// A membership view: who votes on the next view, and which of the voters replicate the register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// One more than the number of the view before.
    pub number: ViewNumber,
    /// The members that decide on the next view, by majority.
    pub voters: Vec<Member>,
    /// The voters that replicate the register, in chain order: the head first, the tail last.
    pub chain: Vec<MemberId>,
    /// Set in a forced view: the number of the latest earlier view that may have committed something. Nothing
    /// was committed in the views between that one and this one, so a member that has everything committed up
    /// to that view has all committed entries. `None` in all other views.
    #[serde(default)]
    pub idle_since: Option<ViewNumber>,
}

/// A change submitted by an operator, already validated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The generation that the change replaces; 0 for the first change.
    pub base: Generation,
    /// The generation of the new configuration; must be higher than `base`.
    pub generation: Generation,
    /// Digest of the base and the document. A retried change is recognized by it.
    pub digest: [u8; 32],
    /// The configuration document; opaque to this package.
    pub document: Arc<serde_bytes::ByteBuf>,
}

/// A change at its position in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The position in the order of changes; the first entry has 1.
    pub sequence: Sequence,
    /// The number of the view in which the head assigned the position.
    pub view: ViewNumber,
    /// The change as the operator submitted it.
    pub change: Change,
}

/// The outcome of a client request.
///
/// Renamed variants keep the names that deployed programs expect on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// The change is committed: it is on the disk of every member of the chain.
    #[serde(rename = "Taken")]
    Committed {
        /// The position of the change in the order of changes; the first change has 1.
        sequence: Sequence,
    },
    /// A generation later than the base is already committed, so the change can never be applied. (A change
    /// whose base has not arrived yet is not rejected: it waits for the base and may end as
    /// [`RequestOutcome::Unknown`]. After a rejection, another copy of the change that is still in flight
    /// could be accepted.)
    Conflict {
        /// The newest committed generation, on which the operator can base another change; 0 for none.
        current: Generation,
    },
    /// The base is current, but the generation of the change is not higher. The change can never be applied.
    NotHigher {
        /// The newest committed generation, on which the operator can base another change; 0 for none.
        current: Generation,
    },
    /// The change is as old as entries whose keys were pruned from the history, so it is no longer known
    /// whether it was committed.
    TooOld {
        /// The newest committed generation, on which the operator can base another change; 0 for none.
        current: Generation,
    },
    /// The newest committed entry at the time of a linearizable read; `None` if there is none.
    Current(Option<Entry>),
    /// The sequence of the newest committed entry at the time of a linearizable read; 0 if there is none.
    #[serde(rename = "Proven")]
    ReadIndex {
        /// The position of that entry in the order of changes; 0 if there is none.
        sequence: Sequence,
    },
    /// The outcome is unknown, for example after a time-out: a change may or may not be committed later.
    #[serde(rename = "Unclear")]
    Unknown,
}
