//! The observations of a run by the backends, the clients and the demonstration itself. All times are since
//! the start of the run.

use crate::request_kind::RequestKind;
use std::time::Duration;

/// A request that reached a backend.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The id of the request.
    pub request_id: String,
    /// When it arrived.
    pub at: Duration,
    /// The service of the backend.
    pub service: &'static str,
    /// The instance id of the backend.
    pub instance: String,
    /// The path of the request.
    pub path: String,
    /// The tenant that the fleet added to the request; `None` if it added none.
    pub tenant: Option<String>,
    /// The [`hash`] of the body.
    pub body_hash: u64,
    /// The number of the event after which the stream is to be resumed; `None` for a stream from its start.
    pub resume_after: Option<u32>,
    /// Whether it was executed.
    pub executed: bool,
}

/// How an attempt ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response of a backend.
    Served,
    /// A 408, 421, 429 or 503, each of which states that the request was not executed.
    Rejected(u16),
    /// Any other 4xx; only the fleet sends these.
    Denied(u16),
    /// A 5xx other than 503.
    Failed(u16),
    /// The connection ended without a complete response; with the error.
    Interrupted(String),
    /// The client timed out at the deadline.
    TimedOut,
}

/// An attempt of a client. A retry has an id of its own.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The id of its request.
    pub request_id: String,
    /// Its kind.
    pub kind: RequestKind,
    /// The tenant whose API key it was sent with.
    pub tenant: &'static str,
    /// The number of the frontend that it was sent to.
    pub frontend: usize,
    /// Its path.
    pub path: String,
    /// The [`hash`] of its body.
    pub body_hash: u64,
    /// When it was sent.
    pub sent_at: Duration,
    /// The time from sending to the first byte or event of the response; `None` without a response.
    pub first_byte: Option<Duration>,
    /// When it ended.
    pub ended_at: Duration,
    /// How it ended.
    pub outcome: Outcome,
    /// A description of content in the response that was not produced for this request; `None` if there is
    /// none.
    pub mismatch: Option<String>,
}

/// The drain of a backend.
#[derive(Clone, Debug)]
pub struct Drain {
    /// The instance id of the backend.
    pub instance: String,
    /// When the platform's list first showed the drain.
    pub listed_at: Duration,
}

/// A configuration that was acknowledged.
#[derive(Clone, Debug)]
pub struct AcknowledgedConfiguration {
    /// Its generation.
    pub generation: u64,
    /// The path prefix of the route that it added; `None` for the first configuration, which adds none.
    pub added_route: Option<String>,
    /// The document that was sent.
    pub document: String,
    /// When it was acknowledged.
    pub at: Duration,
}

/// A configuration as a coordinator returned it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadDocument {
    /// The document.
    Received(String),
    /// It returned none; with the reason, as shown in the results.
    Missing(String),
}

/// The configuration that a coordinator returned at the end of the run.
#[derive(Clone, Debug)]
pub struct ReadBack {
    /// The name of the coordinator.
    pub coordinator: String,
    /// The document that it returned.
    pub document: ReadDocument,
}

/// A kill of a process by the scenario or a user, or its restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessFault {
    /// When it was recorded.
    pub at: Duration,
    /// The part of the fleet that the process belongs to.
    pub location: Location,
}

/// The part of the fleet that a process belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Location {
    /// The core: any coordinator.
    Core,
    /// The agent of a frontend, by its number.
    Agent(usize),
    /// The data plane of a frontend, by its number.
    DataPlane(usize),
}

/// A view of the core that was observed for the first time.
#[derive(Clone, Debug)]
pub struct ObservedView {
    /// When it was first observed.
    pub at: Duration,
    /// Its number.
    pub number: u64,
    /// The names of the coordinators in the chain, from head to tail.
    pub chain: Vec<String>,
}

/// A cached prompt block that a backend evicted without reporting it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostBlock {
    /// When it was evicted.
    pub at: Duration,
    /// The instance id of the backend.
    pub instance: String,
    /// The key of the block, in hexadecimal.
    pub block: String,
}

/// A mismatch between the index and a backend that the audit of the index reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedMismatch {
    /// When a coordinator's status first showed it.
    pub at: Duration,
    /// The instance id of the backend.
    pub instance: String,
    /// The key of the block, in hexadecimal.
    pub block: String,
    /// How the index and the backend differed: the `kind` of the status.
    pub kind: String,
}

/// All observations of a run.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// The requests that reached backends, in order of arrival.
    pub arrivals: Vec<Arrival>,
    /// The attempts of the clients, in order of their ends.
    pub attempts: Vec<Attempt>,
    /// The drains of backends.
    pub drains: Vec<Drain>,
    /// The acknowledged configurations, oldest first.
    pub acknowledged: Vec<AcknowledgedConfiguration>,
    /// The configurations that were read back at the end.
    pub read_back: Vec<ReadBack>,
    /// The kills and restarts of processes.
    pub faults: Vec<ProcessFault>,
    /// A line of text for each process that exited by itself.
    pub unexpected_exits: Vec<String>,
    /// The observed views, oldest first.
    pub views: Vec<ObservedView>,
    /// The blocks that backends evicted without reporting it.
    pub lost_blocks: Vec<LostBlock>,
    /// The mismatches that the audit reported.
    pub mismatches: Vec<ReportedMismatch>,
}

/// The 64-bit FNV-1a hash: unlike the standard hasher it has no random state, so it is the same in every
/// process.
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
