//! Admission control for a cluster of backends under overload. Before a request reaches the balancer, a
//! [`Gate`] admits, queues or rejects it. The responses of the backends adjust their concurrency limits, and
//! the [`Capacity`] of each backend is passed to the balancer.
//!
//! - [`limit`]: the adaptive concurrency limit of one backend.
//! - [`backends`]: the limits of all backends of a cluster, their relative capacity, and slow start.
//! - [`fair_queue`]: a queue that serves tenants by share and requests by priority weight.
//! - [`gate`]: combines these for one cluster.
//! - [`brownout`]: disables features of an overloaded cluster step by step.
//! - [`client_retries`]: recognizes requests that were rejected before.
//! - [`retry_storm`]: bounds additional attempts over all clusters of a node.
//! - [`retry_after`]: spreads the times at which rejected clients retry.
//!
//! The package `overload-simulation` tests the combination in simulated overload scenarios.
//!
//! Nothing here opens a socket, reads a clock or draws random numbers: the same calls give the same results.
//! Points in time are durations since an origin chosen by the caller.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backends;
pub mod brownout;
pub mod client_retries;
pub mod fair_queue;
pub mod gate;
pub mod limit;
pub mod retry_after;
pub mod retry_storm;

pub use backends::{Backends, Capacity, Endpoint};
pub use client_retries::RequestFingerprint;
pub use gate::{AdmissionDecision, Arrival, Gate, GateSettings, QueueDecision, Rejection, RejectionReason};
