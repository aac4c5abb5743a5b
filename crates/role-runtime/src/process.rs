//! The process of a role: its command-line options, its signals, its runtime, and its exit code.

use crate::metrics::MetricsEndpoint;
use crate::signals::Signals;
use node_settings::Settings;
use policy::Policy;
use std::error::Error;
use std::process::ExitCode;

/// The command-line options of a role.
#[derive(Clone, Debug, Default)]
pub struct RoleOptions {
    /// The metrics endpoint; `None` if metrics are not served.
    pub metrics: Option<MetricsEndpoint>,
    /// The policy that the role's decisions follow.
    pub policy: Policy,
}

/// What the process of a role begins with.
#[derive(Debug)]
pub struct RoleStart {
    /// The settings, as their file had them at the start.
    pub settings: Settings,
    /// The command-line options.
    pub options: RoleOptions,
    /// The signals to the process, from its start on.
    pub signals: Signals,
}

/// Why a role's process ends with a failure.
pub type RoleError = Box<dyn Error>;

/// Runs a role on a single-threaded Tokio runtime until it ends. Signals are received from before the settings
/// are read. An error is logged with the name of the role, and makes the exit code a failure. Does not wait for
/// blocking threads, which may hang in a write to the disk.
pub fn run(
    role: &'static str,
    options: RoleOptions,
    serve: impl AsyncFnOnce(RoleStart) -> Result<(), RoleError>,
) -> ExitCode {
    log_panics(role);
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let exit_code = runtime.block_on(load_and_serve(role, options, serve));
    runtime.shutdown_background();
    exit_code
}

async fn load_and_serve(
    role: &str,
    options: RoleOptions,
    serve: impl AsyncFnOnce(RoleStart) -> Result<(), RoleError>,
) -> ExitCode {
    let signals = match Signals::register() {
        Ok(signals) => signals,
        Err(error) => {
            log::error!("{role}: cannot handle signals: {error}");
            return ExitCode::FAILURE;
        }
    };
    let settings = match Settings::from_environment() {
        Ok(settings) => settings,
        Err(error) => {
            log::error!("settings: {error}");
            return ExitCode::FAILURE;
        }
    };
    match serve(RoleStart { settings, options, signals }).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{role}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Makes every panic a line of the log, with its place. The panic then goes its way: it ends its task, or the
/// process.
fn log_panics(role: &'static str) {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |failure| {
        log::error!("{role}: {failure}");
        report(failure);
    }));
}
