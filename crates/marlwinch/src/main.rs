//! The command: with no argument, the platform's node.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    marlwinch::platform::main()
}
