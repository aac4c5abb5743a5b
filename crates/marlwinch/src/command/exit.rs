//! Exit codes that several commands share, and the line on standard error for a command that fails.

use std::fmt::Display;
use std::process::ExitCode;

/// The command failed: for example, a node could not start or stopped with an error, or a file could not be
/// written.
pub const FAILURE: u8 = 1;
/// The command line, or a file that it names, is invalid. The same as clap's code for invalid arguments.
pub const USAGE: u8 = 2;
/// A settings, configuration, policy or node file is invalid, or a coordinator's status could not be fetched.
pub const INVALID_FILE: u8 = 3;

/// Writes `marlwinch: ERROR` to standard error and returns the exit code.
pub fn fail(error: &dyn Display, code: u8) -> ExitCode {
    eprintln!("marlwinch: {error}");
    ExitCode::from(code)
}
