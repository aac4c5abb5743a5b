//! Simulated backends and a discovery service on loopback sockets, for tests and demos of a node.
//!
//! [`backend_model`] models a backend without sockets or clock: cores, a queue, slow start, degradation under
//! overload, idempotency keys. [`script`] reads the file that describes backends, events and faults.
//! [`backend_server`] serves a model on a socket and injects the faults; [`discovery`] publishes the backends
//! as the platform does; [`environment`] starts all of them. [`execution_log`] records each execution by
//! request id, so that tests and reports can check the rules of request execution.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backend_model;
pub mod backend_server;
pub mod clock;
pub mod discovery;
pub mod environment;
pub mod execution_log;
mod fault_schedule;
mod http1;
mod request_handler;
pub mod script;
