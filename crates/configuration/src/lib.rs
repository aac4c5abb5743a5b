//! An operator's configuration: its model, its validation, and the routing table by which requests are
//! matched.
//!
//! No I/O, no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod check;
mod error;
mod lenient;
mod model;
mod rules;
mod table;

pub use check::{MAX_ERRORS, SCHEMA, check, compile_schema};
pub use error::ConfigurationError;
pub use model::*;
pub use table::{RouteMatch, RouteTable};
