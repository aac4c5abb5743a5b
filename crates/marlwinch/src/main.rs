//! The program `marlwinch`. Its code is in the library, so that tests can call it.
#![forbid(unsafe_code)]

use marlwinch::command::{cli, system};
use std::process::ExitCode;

fn main() -> ExitCode {
    match std::env::args().nth(1) {
        Some(name) if system::is_command(&name) => system::main(),
        _ => cli::main(),
    }
}
