//! Simulates backends that serve a language model, and nodes that select among them, in virtual time.
//!
//! - [`Engine`]: a backend with chunked prefill, a prefix cache and preemption.
//! - [`PlainBackend`]: a backend for calls without prompts.
//! - [`Site`]: a deployment with its workload and scheduled [`Fault`]s; [`Site::random`] draws one.
//! - [`draw_requests`]: the requests of the clients of a site.
//! - [`Selector`]: the selection of backends at a node, by the package `routing` or a baseline for comparison.
//! - [`run`]: simulates a site and returns its [`Statistics`].
//!
//! The same site and seed give the same statistics. No sockets or clocks are used.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod baseline;
mod engine;
mod event_queue;
mod fault;
mod plain_backend;
mod prefix_cache;
mod random_site;
mod request_stream;
mod selection;
mod simulation;
mod site;
mod statistics;

pub use baseline::{BaselinePolicy, BaselineSelector};
pub use engine::{Engine, EngineLoad, EngineOutput, EngineSpec, Job, PrefillBacklog};
pub use fault::{CrashMode, Fault, ScheduledFault};
pub use plain_backend::{PlainAdmission, PlainBackend};
pub use prefix_cache::{PrefixBlock, PrefixCache};
pub use random_site::RandomFaults;
pub use request_stream::{ClientRequest, draw_requests};
pub use selection::{SelectionPolicy, Selector};
pub use simulation::run;
pub use site::{PlainBackends, RequestClass, SharedBlocks, Site};
pub use statistics::{ClassStatistics, Statistics};
