//! Simulates surges of requests in virtual time: the production gate and balancer in front of simulated
//! backends. It shows which requests are served and which are rejected. Overload limits are tested with it,
//! since tests with sockets would be too slow or too noisy.
//!
//! [`surge`] defines the input, [`backend`] models a backend, [`mod@simulation`] connects clients, nodes and
//! backends, and [`tally`] has the results. The same surge and seed give the same results. No sockets, clocks
//! or threads are used.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backend;
pub mod simulation;
pub mod surge;
pub mod tally;

pub use backend::{BackendSpec, ServiceTime};
pub use simulation::simulate;
pub use surge::{ClientRetry, FaultEvent, InjectedFault, ListedBackend, Stream, Surge};
pub use tally::{BackendTally, NodeLimitChange, StreamTally, Tally};
