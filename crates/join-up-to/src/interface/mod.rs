//! The interface of the balancer: settings, events and actions.
//!
//! There is no decision logic here. A point in time is a [`Duration`](std::time::Duration) since a fixed
//! origin of the host's monotonic clock.
//!
//! `tests/recorded` holds hashes of the `Debug` output of events and actions, so renaming a type, variant or
//! field changes these hashes.

mod actions;
mod class;
mod events;
mod ids;
mod outcome;
mod servers;
mod settings;

pub use actions::*;
pub use class::*;
pub use events::*;
pub use ids::*;
pub use outcome::*;
pub use servers::*;
pub use settings::*;
