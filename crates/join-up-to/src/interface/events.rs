//! The events that a node passes to its [`Balancer`](crate::Balancer).

use super::ids::{RequestId, ServerId};
use super::outcome::Outcome;
use super::servers::{ListKind, LoadReport, ServerEntry};
use super::settings::MAX_DURATION;
use std::time::Duration;

/// A client's request with the properties that the balancer decides by.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// Chosen by the node and never reused; actions refer to the request by it.
    pub id: RequestId,
    /// The index of the request's class in [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// The index of the request's tenant in [`Settings::tenants`](super::Settings::tenants).
    pub tenant: usize,
    /// The key of the entity that it concerns; 0 for none.
    pub key: u64,
    /// How long the client waits for this request.
    pub remaining: Duration,
    /// The expected processing time on a standard core; `None` if unknown.
    pub cost: Option<Duration>,
    /// Whether the client has marked it as a retry of an earlier request.
    pub client_retry: bool,
}

impl NewRequest {
    /// The same request with its durations clamped to [`MAX_DURATION`].
    pub fn clamped(self) -> Self {
        let cost = self.cost.map(|cost| cost.min(MAX_DURATION));
        NewRequest { remaining: self.remaining.min(MAX_DURATION), cost, ..self }
    }
}

/// The outcome and duration of an attempt, and the load report that came with it.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request that the attempt belongs to.
    pub id: RequestId,
    /// The number of the attempt, in the order of sending, from 0.
    pub attempt: u32,
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// Whether the attempt succeeded, and if not, whether it may have been executed.
    pub outcome: Outcome,
    /// The time from the start of the attempt to its end.
    pub elapsed: Duration,
    /// Whether the client has received the final response; otherwise the node still has to send one.
    pub finished: bool,
    /// The server's load report, if the response carried one.
    pub report: Option<LoadReport>,
}

/// The outcome and duration of a probe, and the load report that came with it.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeEnd {
    /// The server that was probed.
    pub server: ServerId,
    /// [`Outcome::Served`] if the server responded with success.
    pub outcome: Outcome,
    /// The time from the start of the probe to its end.
    pub elapsed: Duration,
    /// The server's load report, if the response carried one.
    pub report: Option<LoadReport>,
}

/// The kinds of additional attempts that are disabled because servers are overloaded; by default none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptRestrictions {
    /// No second attempt is sent while one is in flight.
    pub no_hedging: bool,
    /// No retries once an attempt may have been executed.
    pub no_retries_after_execution: bool,
    /// No retries, whatever the outcome of the first attempt.
    pub no_retries: bool,
}

/// An input of the balancer, for [`Balancer::handle`](crate::Balancer::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The server list or changes of it, depending on `kind`.
    List {
        /// Whether the entries are changes or the full list.
        kind: ListKind,
        /// The version of the list, which never decreases. An update older than the current list is ignored.
        version: u32,
        /// The changed servers, or all servers of the list, depending on `kind`.
        entries: Vec<ServerEntry>,
    },
    /// A client's request has arrived. It must get exactly one final response.
    Request(NewRequest),
    /// An upload has arrived: a request whose body is forwarded while it arrives. After
    /// [`Event::BodyConsumed`] it can't be sent again, as the forwarded bytes are not buffered. Its time
    /// starts when the body is complete.
    Upload {
        /// The request without its body.
        request: NewRequest,
        /// The maximum time until its body is complete.
        within: Duration,
    },
    /// Bytes of an upload's body that are not buffered were forwarded, so no other attempt can send the body.
    /// Before this event an attempt that was certainly not executed may be followed by another one.
    BodyConsumed {
        /// The request whose body was forwarded in part.
        id: RequestId,
    },
    /// The body of an upload has arrived and was forwarded completely.
    Uploaded {
        /// The request whose body is complete.
        id: RequestId,
        /// How long the client still waits for the response.
        remaining: Duration,
    },
    /// A streamed response has started. No further attempt of the request is made.
    Started {
        /// The request whose response is streamed.
        id: RequestId,
        /// The number of the attempt, in the order of sending, from 0.
        attempt: u32,
        /// The server that sends the response.
        server: ServerId,
    },
    /// An attempt has ended. Each [`Action::Send`](super::Action::Send) is followed by exactly one such
    /// event.
    AttemptEnded(AttemptEnd),
    /// The client has disconnected; no response is needed.
    ClientGone {
        /// The request of the disconnected client.
        id: RequestId,
    },
    /// The node shuts down: open and new requests must get their final response within this time.
    Ending {
        /// The time until the node closes its connections.
        within: Duration,
    },
    /// A timer set by this node is due.
    Timer {
        /// The token of [`Action::SetTimer`](super::Action::SetTimer).
        token: u64,
    },
    /// A probe that [`Action::Probe`](super::Action::Probe) requested has ended.
    Probed(ProbeEnd),
    /// The capacity of a server, for [`CapacitySource::Provided`](super::CapacitySource::Provided).
    Capacity {
        /// The server that the capacity is provided for.
        server: ServerId,
        /// The maximum of this node's attempts in flight there, as long as another server has capacity.
        max_in_flight: u32,
        /// The server's capacity relative to the mean of all servers, which is 1.
        relative: f64,
    },
    /// Replaces the restrictions on additional attempts.
    Restrict(AttemptRestrictions),
    /// A message that another node sent with [`Action::Tell`](super::Action::Tell).
    Peer {
        /// The number of the sending node.
        from: u32,
        /// The content of the message, as in [`Action::Tell`](super::Action::Tell).
        data: Vec<u8>,
    },
}
