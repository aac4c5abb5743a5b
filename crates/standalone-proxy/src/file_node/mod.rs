//! A node that runs from an operator's file: its start and reloads, its routes, and reading of the file.
//! `route_config` interprets the file.

mod clusters;
pub mod diagnostics;
mod router;
pub mod run;
pub mod source;
