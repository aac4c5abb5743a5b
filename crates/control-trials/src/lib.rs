//! Trials of the control side with real processes. The roles of the deploy file run on loopback, each machine
//! at an address of its own, and every connection to a coordinator goes through a relay that can delay, stall,
//! drop and reset it. Backends, platform, operator and clients are stand-ins within this process. A trial
//! draws disruptions of processes and links from a seed, lets them come in series and overlap, records what
//! the operator, the clients and the backends have seen, and judges rule CONFIG by that record alone.
//!
//! - [`trial`]: a trial from its start to its verdict; [`disruption`] draws what happens and [`disruptor`]
//!   carries it out.
//! - [`addresses`], [`deploy_file`], [`machines`], [`links`]: the processes and the relays between them.
//! - [`disk_monitor`]: whether the disk that the coordinators share was slow.
//! - [`process_end`], [`resource_peak`]: whether a process ended by itself, and what the processes used at most.
//! - [`document`], [`operator`], [`clients`], [`held_connections`], [`stand_ins`]: configurations, and who sends
//!   and observes them.
//! - [`history`]: the record. [`contact`] tells from it which machines were in touch, and [`checker`] which
//!   sentences of the rule were broken.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod addresses;
pub mod checker;
pub mod clients;
pub mod contact;
mod core_status;
pub mod deploy_file;
pub mod disk_monitor;
pub mod disruption;
pub mod disruptor;
pub mod document;
mod error;
pub mod held_connections;
pub mod history;
pub mod links;
pub mod machines;
pub mod operator;
pub mod process_end;
pub mod resource_peak;
pub mod stand_ins;
pub mod trial;
mod world;

pub use error::TrialError;
pub use trial::{TrialOptions, TrialOutcome, run};
