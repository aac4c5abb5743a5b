//! The interface between a replica and its driver: inputs, outputs, settings, status.

use crate::identifiers::{Generation, MemberId, RequestId, Sequence, WriteId};
use crate::message::Message;
use crate::model::{Change, Entry, RequestOutcome, View};
use crate::record::Record;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::time::Duration;

/// An event that the driver reports to the replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed. The driver sends it every [`TICK_INTERVAL`].
    Tick,
    /// A message was received. It may be delayed or duplicated.
    Received {
        /// The address that the sender claims to have.
        from: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// This record and all records ordered before it are on disk.
    Stored(WriteId),
    /// A record could not be written because the disk is full or failing. The log is intact up to the record
    /// before. The driver must report every record ordered after it as not stored too, without an attempt to
    /// write it, until the next [`Output::Rewrite`].
    NotStored(WriteId),
    /// A change submitted to this member by an operator. Any member accepts changes.
    Write(RequestId, Change),
    /// A linearizable read of the newest entry. Any member accepts reads.
    Read(RequestId),
    /// A linearizable read of only the sequence of the newest entry.
    ReadIndex(RequestId),
    /// The client no longer waits for this request; there is no response to it.
    Cancel(RequestId),
    /// This process is about to exit: other members should take over its roles.
    Shutdown,
    /// Replaces the seed addresses at which other members may be found.
    SetSeeds(Vec<SocketAddrV4>),
}

/// An effect for the driver to perform.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message. Delivery is not guaranteed.
    Send {
        /// Where the recipient accepts connections of the other programs of the fleet.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// Append a record to the log, and report [`Input::Stored`] once it is durable.
    Store(WriteId, Record),
    /// Rewrite the log: these records replace all earlier ones. To be reported as stored once the new log has
    /// replaced the old one.
    Rewrite(WriteId, Vec<Record>),
    /// Respond to the client request with this id, which is no longer pending afterwards.
    Respond(RequestId, RequestOutcome),
    /// A newer entry is committed. Only the newest one is reported: entries between two reports are skipped.
    Committed(Entry),
    /// This view is in force at this member: newly adopted, or restored from the log at the start.
    ViewChanged(View),
}

/// The default for [`Settings::history_length`].
pub const DEFAULT_HISTORY_LENGTH: usize = 4_608;

/// The interval at which the driver sends [`Input::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The configuration that a replica is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address on which this member accepts connections of the other programs of the fleet.
    pub address: SocketAddrV4,
    /// The availability zone of this member, which it reports to the others in its heartbeats.
    pub zone: String,
    /// Addresses at which members may be found; may contain the address of this member.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether this is the first start of the whole system. If so, a member with an empty disk whose address
    /// is among the seeds starts with a first view that consists of the seeds.
    pub bootstrap: bool,
    /// The number of members that may fail at the same time, f. There are 2f + 1 voters, and a chain has at
    /// least f + 1 members.
    pub tolerated_failures: usize,
    /// The number of entry keys that are kept to recognize retried changes; at least 2.
    pub history_length: usize,
}

/// What a replica knows of the group, shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The id that was generated when the disk of this member was initialized.
    pub id: MemberId,
    /// The newest decided view that this member knows; `None` until it learns of one.
    pub view: Option<View>,
    /// The sequence of the newest entry on this member's disk.
    pub stored: Sequence,
    /// The sequence of the newest entry that this member knows to be committed.
    pub committed: Sequence,
    /// The generation of the newest entry that this member knows to be committed; 0 if there is none.
    pub generation: Generation,
    /// Whether this member has recently exchanged messages with a majority of the voters. Serialized under
    /// its old name.
    #[serde(rename = "in_touch")]
    pub has_quorum_contact: bool,
}
