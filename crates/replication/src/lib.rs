//! One register, replicated by a chain of members under an agreed membership view.
//!
//! Chain replication as of van Renesse and Schneider, "Chain Replication for Supporting High Throughput and Availability"
//! (OSDI 2004): the head orders changes, each member writes an entry to disk before it forwards it, and the tail commits. The
//! configuration master of the paper is replaced by an agreement of the voters: each view is decided by one instance of the
//! Paxos synod among the voters of the view before it. Reads are linearizable: the tail responds after a majority of the voters
//! has confirmed that its view is the latest (as a read index in Raft).
//!
//! [`Replica`] is a state machine without I/O, clock or random source of its own: it takes an [`Input`] and the time, and
//! returns [`Output`]s to be performed in order. `docs/design/kept-state.md` describes the protocol.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// Whether a replica has this deliberate fault.
#[cfg(feature = "planted-faults")]
macro_rules! planted {
    ($replica:expr, $fault:ident) => {
        $replica.fault == Some(crate::fault::Fault::$fault)
    };
}

/// Outside of tests there are no deliberate faults.
#[cfg(not(feature = "planted-faults"))]
macro_rules! planted {
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
