//! The commands of the roles, parsed with bpaf. The environment names the settings file of a role.

use crate::logging;
use crate::policy_file::read_policy;
use bpaf::{Bpaf, Parser, long};
use policy::Policy;
use role_runtime::metrics::MetricsEndpoint;
use role_runtime::process::RoleOptions;
use std::path::PathBuf;
use std::process::ExitCode;

/// The command of a role. The doc comments of the variants are the help text.
#[derive(Clone, Debug, Bpaf)]
pub enum RoleCommand {
    /// Run the data plane of a frontend node: accept clients' requests and forward each to a backend
    #[bpaf(command("data-plane"))]
    DataPlane(#[bpaf(external(role_options))] RoleOptions),
    /// Run the agent of a frontend node: connect its data plane to the coordinators
    #[bpaf(command)]
    Agent(#[bpaf(external(role_options))] RoleOptions),
    /// Run a coordinator: a member of the replicated core
    #[bpaf(command)]
    Coordinator(#[bpaf(external(role_options))] RoleOptions),
}

impl RoleCommand {
    /// Starts logging and runs the role until it ends.
    pub fn run(self) -> ExitCode {
        logging::start();
        match self {
            RoleCommand::DataPlane(options) => data_plane::run(options),
            RoleCommand::Agent(options) => agent::run(options),
            RoleCommand::Coordinator(options) => coordinator::run(options),
        }
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
        .parse(|file| read_policy(&file))
        .fallback(Policy::default())
}

fn role_options() -> impl Parser<RoleOptions> {
    let (metrics, policy) = (metrics_endpoint(), policy());
    bpaf::construct!(RoleOptions { metrics, policy })
}
