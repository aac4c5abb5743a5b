//! Simulates a fleet in virtual time: hundreds of nodes, each with its own [`join_up_to::Balancer`] and no
//! shared state, in front of backends that degrade under overload, run out of connections, become
//! unresponsive and restart. Without I/O or a clock: the same [`Scenario`] gives the same [`Tally`].
//!
//! ```
//! let mut scenario = fleet_simulation::Scenario::generate(7);
//! scenario.length = 2.0;
//! let tally = fleet_simulation::simulate(&scenario);
//! assert_eq!(tally.offered, tally.in_time + tally.late + tally.rejected + tally.failed);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backend;
mod event_queue;
mod node;
mod scenario;
mod simulation;
mod tally;

pub use scenario::{
    BackendSpec, Burst, ClientBehavior, Fault, FaultKind, LoadReporting, NodeSpec, OverloadCurve, Scenario,
};
pub use simulation::simulate;
pub use tally::{ClassTally, SecondTally, Tally};
