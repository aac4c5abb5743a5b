//! The coordinator: a member of the core, the replicated control plane.
//!
//! It stores the configuration in the replicated register, reads the platform's list of endpoints,
//! distributes both to agents, allocates the tenants' rate limits to nodes and audits the index of cached
//! prompt blocks.
//!
//! [`node::CoordinatorNode`] owns the components, one module each. [`startup`] builds them and starts the
//! background tasks that connect them. The interfaces ([`status`], [`metrics`], the operator's HTTP API and
//! the listener for coordinators and agents) depend on the node; the node does not depend on them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod agents;
pub mod cached_blocks;
pub mod clock;
pub mod endpoints;
pub mod index_audits;
mod internal_listener;
pub mod log_file;
pub mod membership;
pub mod metrics;
pub mod node;
mod operator_api;
pub mod outcome_counters;
pub mod peer_protocol;
pub mod peers;
mod process;
pub mod quotas;
pub mod replica_driver;
mod settings_file;
pub mod startup;
pub mod status;
pub mod storage;
mod tasks;

pub use process::run;
