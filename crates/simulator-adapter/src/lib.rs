//! Connects the balancer of `join-up-to` to a simulator: many nodes in one process, without sockets. The
//! adapter reads batches of events, and writes one reply with the actions of all instances for each.
#![forbid(unsafe_code)]

pub mod adapter;
pub mod instance;
pub mod wire;
