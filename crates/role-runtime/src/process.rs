//! The process of a role: its command-line options, its runtime, and its exit code.

use crate::metrics::MetricsEndpoint;
use policy::Policy;
use std::error::Error;
use std::future::Future;
use std::process::ExitCode;

/// The command-line options of a role.
#[derive(Clone, Debug, Default)]
pub struct RoleOptions {
    /// The metrics endpoint; `None` if metrics are not served.
    pub metrics: Option<MetricsEndpoint>,
    /// The policy that the role's decisions follow.
    pub policy: Policy,
}

/// Runs a role on a single-threaded Tokio runtime until it ends. An error is logged with the name of the
/// role, and makes the exit code a failure. Does not wait for blocking threads, which may hang in a write to
/// the disk.
pub fn run(role: &str, serve: impl Future<Output = Result<(), Box<dyn Error>>>) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(serve);
    runtime.shutdown_background();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{role}: {error}");
            ExitCode::FAILURE
        }
    }
}
