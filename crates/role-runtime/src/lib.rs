//! What the processes of all roles have in common: their command-line options, runtime and exit code, and the
//! metrics endpoint. Independent of what a role does.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod metrics;
pub mod process;
pub mod signals;
