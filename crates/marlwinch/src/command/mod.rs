//! The commands: one module each, with its arguments, errors and output. [`cli`] and [`system`] parse the
//! command line; [`exit`] holds the shared exit codes.

pub mod checks;
pub mod cli;
pub mod demo;
pub mod demo_fleet;
pub mod exit;
pub mod load;
pub mod overload;
pub mod status_client;
pub mod status_table;
pub mod system;
pub mod trial;
