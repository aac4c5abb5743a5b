//! The policy of the system: every figure and switch by which it decides on requests, with defaults and units.
//!
//! An operator may change it by a TOML file with one table for each part ([`Policy::parse`]). Without a file the defaults hold.
//! A key that is not known, or a value outside its bounds, is one error with its place.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod connections;
mod limits;
mod parse;
mod recovery;
mod routing;
mod sends;
mod value;

pub use connections::Connections;
pub use limits::Limits;
pub use parse::{Fault, PolicyError};
pub use recovery::Recovery;
pub use routing::Routing;
pub use sends::Sends;

use serde::Deserialize;

/// The whole policy.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// The choice of a backend and what is learnt about backends.
    pub routing: Routing,
    /// How often and when a request is sent again.
    pub sends: Sends,
    /// Connections to backends.
    pub connections: Connections,
    /// Tenants' limits.
    pub limits: Limits,
    /// What clients are told while the node is not ready.
    pub recovery: Recovery,
}
