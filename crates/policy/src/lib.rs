//! The policy: the parameters by which the system decides on requests, with their units and defaults.
//!
//! An operator may set them in a TOML file with one table for each part ([`Policy::parse`]). Keys that are
//! not in the file have their defaults. An unknown key or a value out of range is an error that states its
//! location.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod connections;
mod limits;
mod parse;
mod policy;
mod recovery;
mod retries;
mod routing;
mod value;

pub use connections::Connections;
pub use limits::Limits;
pub use parse::{PolicyError, SyntaxError};
pub use policy::Policy;
pub use recovery::Recovery;
pub use retries::Retries;
pub use routing::Routing;
