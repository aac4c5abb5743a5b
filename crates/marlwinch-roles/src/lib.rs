//! The commands of the roles, as the deploy file starts them: their options, and what they run.
//!
//! The program `marlwinch-roles` has these commands alone, so that a deployment builds no tool. The program
//! `marlwinch` has them beside its tools.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod command;
mod logging;
mod policy_file;

pub use command::{RoleCommand, role_command};
pub use policy_file::{PolicyFileError, read_policy};
