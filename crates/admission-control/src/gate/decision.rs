//! The arrivals, decisions, counts and status of a gate.

use crate::client_retries::RequestFingerprint;
use join_up_to::RequestId;
use std::time::Duration;

/// A request at its arrival, before the gate has decided on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// The id that later decisions and calls refer to; unique at this node.
    pub id: RequestId,
    /// The index in [`GateSettings::classes`](super::GateSettings::classes).
    pub class: usize,
    /// The index in [`GateSettings::tenants`](super::GateSettings::tenants); 0 if there are no tenants.
    pub tenant: usize,
    /// The time until the deadline of the request.
    pub remaining: Duration,
    /// Identifies the request when its client retries; `None` if that is not possible.
    pub fingerprint: Option<RequestFingerprint>,
}

/// Why a gate rejects a request, at its arrival or from the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// There is no capacity, and the queue is full of requests with precedence over it.
    QueueFull,
    /// Displaced from the queue by a request of a tenant that uses less of its share, or of a higher priority
    /// weight.
    Displaced,
    /// The request was queued for its maximum time.
    QueueTimeout,
    /// A request with the same fingerprint is in the queue.
    Duplicate,
    /// The class of the request is shed at the current brownout level.
    Shed,
}

/// A rejection and its response to the client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// The reason, for logs and metrics.
    pub reason: RejectionReason,
    /// The time after which the client is asked to retry.
    pub retry_after: Duration,
    /// Whether to serve the fallback response of the class, if it has one.
    pub fallback: bool,
}

/// The decision on a request at its arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// The request is forwarded now. The caller must call
    /// [`Gate::request_finished`](super::Gate::request_finished) later.
    Admit,
    /// The request is queued, until [`Gate::take_decisions`](super::Gate::take_decisions) returns it or
    /// [`Gate::request_finished`](super::Gate::request_finished) removes it.
    Queue,
    /// The request is rejected. The caller must not call
    /// [`Gate::request_finished`](super::Gate::request_finished).
    Reject(Rejection),
}

/// The decision on a request that was queued.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueDecision {
    /// The id from the [`Arrival`] of the request.
    pub id: RequestId,
    /// The rejection; `None` if the request is admitted.
    pub rejection: Option<Rejection>,
}

/// Counts of requests since the gate was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests admitted at arrival, without being queued.
    pub admitted_at_once: u64,
    /// Requests admitted from the queue.
    pub admitted_from_queue: u64,
    /// Rejections, at arrival or from the queue.
    pub rejected: u64,
    /// Arrivals that were recognized as retries after a rejection.
    pub client_retries: u64,
}

/// The state of a gate, for diagnostics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateStatus {
    /// Admitted requests that are not finished.
    pub in_flight: u32,
    /// The maximum number of requests in flight, summed over the backends.
    pub capacity: u32,
    /// The number of requests in the queue.
    pub queued: usize,
    /// The number of active brownout steps.
    pub brownout_level: usize,
}
