//! A demonstration of a small fleet on loopback. Coordinators and frontends are real processes of the
//! program; the backends, the platform, the operator and the clients are simulated within this process. A run
//! sends requests, injects faults, and checks the observations of the backends and clients against the rules
//! of the deployment.
//!
//! - [`run`](run()): a run from its start to its verdict.
//! - [`loopback_block`], [`topology`], [`node_settings`], [`configuration`]: the addresses of the fleet, and the documents that
//!   describe it.
//! - [`fleet`], [`processes`]: the processes, started, killed and restarted.
//! - [`scenario`]: the faults and configuration changes of a run.
//! - [`backend`], [`block_cache`], [`platform`], [`operator`], [`clients`], [`outgoing_request`],
//!   [`response_check`]: the test servers and clients.
//! - [`monitoring`]: polls readiness and status of the fleet.
//! - [`observations`], [`rules`], [`tables`]: the recorded observations, the rules that they are checked
//!   against, and the printed tables.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backend;
pub mod block_cache;
pub mod clients;
pub mod configuration;
pub mod error;
pub mod fleet;
pub mod http;
pub mod loopback_block;
pub mod monitoring;
pub mod node_settings;
pub mod observations;
pub mod operator;
pub mod outgoing_request;
pub mod platform;
pub mod processes;
pub mod request_kind;
pub mod response_check;
pub mod rules;
mod run;
pub mod scenario;
pub mod state;
pub mod tables;
pub mod topology;

pub use error::DemoError;
pub use run::{DemoOptions, DemoOutcome, run};
