//! The program `marlwinch-roles`. Its code is in the library, which the program `marlwinch` uses too.
#![forbid(unsafe_code)]

use bpaf::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    let command = marlwinch_roles::role_command();
    command.to_options().descr("Run a role of the system").run().run()
}
