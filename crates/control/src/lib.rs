//! The coordinator on core machines and the agent beside each proxy.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod agent;
pub mod coordinator;
pub mod link;
pub mod metrics;
pub mod process;
