//! The commands of the distributed system, parsed with bpaf: its roles and its tools.

use super::checks;
use super::demo_fleet::{self, DemoFleet, demo_fleet};
use bpaf::{Bpaf, Parser};
use marlwinch_roles::{RoleCommand, role_command};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::ExitCode;

/// A command of the system. The doc comments of the variants and fields are the help text.
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// A role of the system.
    Role(#[bpaf(external(boxed_role_command))] Box<RoleCommand>),
    /// Check a settings file: exit code 3 and the first error with its location if it is invalid
    #[bpaf(command("check-settings"))]
    CheckSettings {
        /// Settings file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a configuration as a coordinator does: exit code 3 and one line for each error if it is invalid
    #[bpaf(command("check-configuration"))]
    CheckConfiguration {
        /// Configuration file (JSON), as sent to the coordinators
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a policy file: exit code 3 and the first error with its location if it is invalid
    #[bpaf(command("check-policy"))]
    CheckPolicy {
        /// Policy file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the status of the core, the configuration, the backends and the nodes, as a coordinator reports
    /// it
    #[bpaf(command)]
    Status {
        /// Control address of the coordinator, such as 10.0.0.4:8080
        #[bpaf(positional("ADDRESS"))]
        address: SocketAddrV4,
    },
    /// Run a small fleet on loopback: 3 coordinators and 4 frontends as processes, with test servers for
    /// backends, platform, operator and clients. Faults are injected, and the results are checked against the
    /// rules. Process ids are printed, so that you can kill processes as well. Exit code 4 if a rule was
    /// broken
    #[bpaf(command("demo-fleet"))]
    DemoFleet(#[bpaf(external(demo_fleet))] DemoFleet),
}

/// The commands of the roles, whose options are far larger than those of the tools.
fn boxed_role_command() -> impl Parser<Box<RoleCommand>> {
    role_command().map(Box::new)
}

/// Whether this is the name of a command of the system. [`cli`](super::cli) parses all other command lines.
pub fn is_command(name: &str) -> bool {
    const NAMES: [&str; 8] = [
        "data-plane",
        "agent",
        "coordinator",
        "check-settings",
        "check-configuration",
        "check-policy",
        "status",
        "demo-fleet",
    ];
    NAMES.contains(&name)
}

/// Parses the command line and runs the command.
pub fn main() -> ExitCode {
    let command = command().to_options().descr("Run a role of the system or one of its tools").run();
    let out = &mut std::io::stdout();
    match command {
        Command::Role(role) => role.run(),
        Command::CheckSettings { file } => checks::check_settings(&file, out),
        Command::CheckConfiguration { file } => checks::check_configuration(&file, out),
        Command::CheckPolicy { file } => checks::check_policy(&file, out),
        Command::Status { address } => checks::show_status(address, out),
        Command::DemoFleet(arguments) => demo_fleet::main(&arguments),
    }
}
