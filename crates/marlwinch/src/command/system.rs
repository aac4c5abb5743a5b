//! The commands of the distributed system, parsed with bpaf: its roles and its tools. The environment names
//! the settings file of a role.

use super::checks;
use super::demo_fleet::{self, DemoFleet, demo_fleet};
use bpaf::{Bpaf, Parser, long};
use node_settings::Settings;
use policy::Policy;
use role_runtime::metrics::MetricsEndpoint;
use role_runtime::process::RoleOptions;
use simplelog::{ConfigBuilder, LevelFilter, SimpleLogger};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::ExitCode;

/// The environment variable with the level of the log: error, warn, info, debug or trace.
const LOG_VARIABLE: &str = "MARLWINCH_LOG";

/// A command of the system. The doc comments of the variants and fields are the help text.
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Run the data plane of a frontend node: accept clients' requests and forward each to a backend
    #[bpaf(command("data-plane"))]
    DataPlane(#[bpaf(external(role_options))] RoleOptions),
    /// Run the agent of a frontend node: connect its data plane to the coordinators
    #[bpaf(command)]
    Agent(#[bpaf(external(role_options))] RoleOptions),
    /// Run a coordinator: a member of the replicated core
    #[bpaf(command)]
    Coordinator(#[bpaf(external(role_options))] RoleOptions),
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
        Command::DataPlane(options) => run_role(data_plane::run, options),
        Command::Agent(options) => run_role(agent::run, options),
        Command::Coordinator(options) => run_role(coordinator::run, options),
        Command::CheckSettings { file } => checks::check_settings(&file, out),
        Command::CheckConfiguration { file } => checks::check_configuration(&file, out),
        Command::CheckPolicy { file } => checks::check_policy(&file, out),
        Command::Status { address } => checks::show_status(address, out),
        Command::DemoFleet(arguments) => demo_fleet::main(&arguments),
    }
}

/// The option for the HTTP endpoint of the role's metrics; none by default.
fn metrics_endpoint() -> impl Parser<Option<MetricsEndpoint>> {
    long("metrics")
        .help("Port and path of the HTTP endpoint for metrics, in text format")
        .argument::<MetricsEndpoint>("PORT/PATH")
        .optional()
}

/// The option for the policy of the role. Its file is read while the command line is parsed.
fn policy() -> impl Parser<Policy> {
    long("policy")
        .help("Policy file of the role; defaults apply without it")
        .argument::<PathBuf>("FILE")
        .parse(|file| checks::read_policy(&file))
        .fallback(Policy::default())
}

fn role_options() -> impl Parser<RoleOptions> {
    let (metrics, policy) = (metrics_endpoint(), policy());
    bpaf::construct!(RoleOptions { metrics, policy })
}

/// Starts logging, reads the settings and runs a role until it ends.
fn run_role(role: fn(Settings, RoleOptions) -> ExitCode, options: RoleOptions) -> ExitCode {
    start_log();
    match Settings::from_environment() {
        Ok(settings) => role(settings, options),
        Err(error) => {
            log::error!("settings: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Starts logging at the level of [`LOG_VARIABLE`], or at `info` if it is unset or invalid.
fn start_log() {
    let level = std::env::var(LOG_VARIABLE).ok().and_then(|level| level.parse().ok());
    let config = ConfigBuilder::new().set_time_level(LevelFilter::Off).build();
    // It fails only if a logger is set already, as in tests.
    let _ = SimpleLogger::init(level.unwrap_or(LevelFilter::Info), config);
}
