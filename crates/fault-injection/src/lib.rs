//! Fault-injection trials: runs several processes of the real program, injects planned faults into the
//! processes and the links between them, and checks the recorded history.
//!
//! - A trial is described by a [`plan`]; [`plan_reader`] reads plans from TOML and [`shipped`] holds the
//!   built-in ones.
//! - [`run`](run::run_plan) executes a plan on a [`fleet`]. A [`process`] runs under a [`supervisor`], in a
//!   folder of its own ([`process_folder`]), from the files that [`node_files`] writes. A [`relay`] forwards
//!   the TCP connections of a link and a [`datagram_relay`] its datagrams; [`client_load`] generates the
//!   requests.
//! - The [`recorder`] collects the observations of all of them into a [`history`]. The [`checkers`] judge a
//!   history without any other input, and [`report`] renders it.
//! - [`shrink`] reduces a failing plan to the smallest one that still fails.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod checkers;
pub mod client_load;
pub mod datagram_relay;
mod error;
pub mod fleet;
pub mod history;
mod lock;
pub mod node_files;
pub mod plan;
pub mod plan_reader;
pub mod process;
pub mod process_folder;
pub mod recorder;
pub mod relay;
pub mod report;
pub mod run;
pub mod shipped;
pub mod shrink;
pub mod supervisor;

pub use error::RunError;
