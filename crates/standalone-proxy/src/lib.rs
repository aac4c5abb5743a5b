//! The load-balancing proxy for existing deployments, on real sockets. `join_up_to` decides; this package
//! accepts clients' requests, carries out the decisions, and reports their results.
//!
//! - [`platform_node`], [`file_node`]: the two kinds of node, which differ in where their configuration comes
//!   from.
//! - `decision_loop`: the task that owns the balancer.
//! - `downstream`, `upstream`: the connections of clients, and those to backends.
//! - `telemetry`: log, metrics and traces of requests.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod decision_loop;
mod downstream;
mod endpoint_update;
pub mod file_node;
mod headers;
pub mod platform_node;
mod resource_limits;
mod telemetry;
mod upstream;
