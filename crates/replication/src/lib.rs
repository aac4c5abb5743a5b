//! A single replicated register: a chain of members keeps it under an agreed membership view.
//!
//! The protocol is chain replication (van Renesse and Schneider, "Chain Replication for Supporting High
//! Throughput and Availability", OSDI 2004): the head orders changes, each member writes an entry to disk
//! before it forwards it, and the tail commits. Instead of the external configuration master of the paper,
//! the members decide on each view themselves: view n + 1 is decided by one instance of the Paxos synod whose
//! acceptors are the voters of view n. Reads are linearizable: the tail responds after a majority of the
//! voters has confirmed that its view is the latest, like a read index in Raft.
//!
//! [`Replica`] is a deterministic state machine that does no I/O and reads no clock or random source: it
//! takes an [`Input`] and the current time, and returns the [`Output`]s to be performed in order.
//! `docs/design/kept-state.md` describes the protocol.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// Whether this fault is injected into a replica.
#[cfg(feature = "planted-faults")]
macro_rules! has_fault {
    ($replica:expr, $fault:ident) => {
        $replica.fault == Some(crate::fault::Fault::$fault)
    };
}

/// Always false: faults can be injected only with the feature `planted-faults`.
#[cfg(not(feature = "planted-faults"))]
macro_rules! has_fault {
    ($replica:expr, $fault:ident) => {
        false
    };
}

mod catch_up;
mod chain;
mod chain_state;
mod disk_health;
mod durability;
#[cfg(feature = "planted-faults")]
mod fault;
mod heartbeats;
mod identifiers;
mod interface;
mod membership;
mod message;
mod model;
mod paxos;
mod peers;
mod pending_requests;
mod persistence;
mod read_index;
mod record;
mod register;
mod replica;
mod request_routing;
mod request_serving;
mod transport;
mod view_adoption;
mod view_change;
mod view_planning;
mod write_queue;

#[cfg(feature = "planted-faults")]
pub use fault::Fault;
pub use identifiers::{Generation, MemberId, RequestId, Sequence, ViewNumber, WriteId};
pub use interface::*;
pub use message::Message;
pub use model::{Change, Entry, Member, RequestOutcome, View};
pub use record::Record;
pub use replica::Replica;
