//! A simulation of clients, nodes, backends and faults in virtual time.
//!
//! - [`state`]: the state of a simulation and its clock.
//! - [`clients`]: requests, their attempts, and what clients receive.
//! - [`backends`]: engines and plain backends.
//! - [`faults`]: faults, and the list updates that follow them.
//! - [`load_reports`]: the load reports that nodes request from engines.
//! - [`events`]: the event loop.

mod backends;
mod clients;
mod events;
mod faults;
mod load_reports;
mod state;

pub use events::run;
