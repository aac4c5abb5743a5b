//! Executes a run: starts the fleet, sends requests while the scenario injects faults, and checks the
//! observations against the rules.

use crate::DemoError;
use crate::clients::Clients;
use crate::fleet::Fleet;
use crate::platform::Platform;
use crate::processes::Processes;
use crate::rules::check_rules;
use crate::scenario::Scenario;
use crate::state::DemoState;
use crate::topology::FRONTENDS;
use crate::{monitoring, operator, tables};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

/// How long the frontends may take to become ready.
pub(crate) const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// How long to wait for the responses after the last request was sent: longer than every deadline.
const FINISH_TIMEOUT: Duration = Duration::from_secs(6);
/// The poll interval of conditions that are waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The options of a run.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// The path of the program whose subcommands are the roles of the fleet.
    pub program: PathBuf,
    /// How long clients send requests.
    pub length: Duration,
    /// Requests per second, in total over all frontends.
    pub rate: f64,
    /// Whether the folder with settings, data and logs is kept after the run.
    pub keep: bool,
    /// The seed of the clients' random choices.
    pub seed: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DemoOutcome {
    /// No rule was broken.
    RulesKept,
    /// A rule was broken.
    RuleBroken,
    /// SIGINT or SIGTERM, by number, ended the run.
    Interrupted(i32),
}

/// Runs the demonstration and prints its events and results. All processes have exited when this returns.
///
/// # Errors
/// A server or process can't be started, the frontends are not ready in time, or a configuration is rejected
/// or not acknowledged in time.
pub fn run(options: &DemoOptions) -> Result<DemoOutcome, DemoError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| DemoError::Io("create the async runtime", error))?;
    let folder = tempfile::Builder::new().prefix("marlwinch-fleet-").tempdir();
    let folder = folder.map_err(|error| DemoError::Io("create a temporary folder", error))?;
    let local = LocalSet::new();
    let outcome = local.block_on(&runtime, run_until_signal(options, folder.path()));
    // Dropping the tasks kills the processes, which must exit before their folder is removed.
    drop(local);
    drop(runtime);
    if options.keep {
        keep_folder(folder);
    }
    outcome
}

fn keep_folder(folder: TempDir) {
    println!("Settings, data and logs are kept in {}", folder.keep().display());
}

async fn run_until_signal(options: &DemoOptions, folder: &Path) -> Result<DemoOutcome, DemoError> {
    let listen_error = |error| DemoError::Io("listen for signals", error);
    let mut interrupt = signal(SignalKind::interrupt()).map_err(listen_error)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(listen_error)?;
    tokio::select! {
        outcome = run_to_end(options, folder) => outcome,
        _ = interrupt.recv() => Ok(DemoOutcome::Interrupted(SignalKind::interrupt().as_raw_value())),
        _ = terminate.recv() => Ok(DemoOutcome::Interrupted(SignalKind::terminate().as_raw_value())),
    }
}

async fn run_to_end(options: &DemoOptions, folder: &Path) -> Result<DemoOutcome, DemoError> {
    let state = DemoState::new()?;
    let platform = Platform::start(state.topology.platform_address()).await?;
    let scenario = Scenario::new(&state, &platform);
    scenario.start_backends().await?;
    let processes = Processes::prepare(&options.program, folder, &state.topology, platform.address)?;
    let fleet = Fleet::new(&state, processes);
    println!("Settings, data and logs: {}", folder.display());
    fleet.start_all().await?;
    fleet.print_introduction();
    let clients = Clients::new(&state, options.seed);
    let start = state.now();
    scenario.configure().await?;
    wait_until_ready(&state).await?;
    state.print_event(&format!(
        "all frontends are ready after {:.1} s; sending {:.0} requests/s for {:.0} s (seed {})",
        (state.now() - start).as_secs_f64(),
        options.rate,
        options.length.as_secs_f64(),
        options.seed,
    ));
    send_traffic(&state, &fleet, &scenario, &clients, options).await?;
    operator::read_back(&state).await;
    monitoring::wait_for_mismatches(&state).await;
    let results = check_rules(&state.observations.borrow());
    println!("\n{}", tables::format_observations(&state.observations.borrow()));
    println!("{}", tables::format_rules(&results));
    fleet.shut_down().await;
    let rules_kept = results.iter().all(|rule| rule.violations.is_empty());
    Ok(if rules_kept { DemoOutcome::RulesKept } else { DemoOutcome::RuleBroken })
}

/// Starts to poll the fleet, and waits until all frontends are ready.
async fn wait_until_ready(state: &Rc<DemoState>) -> Result<(), DemoError> {
    for frontend in 0..FRONTENDS {
        spawn_local(monitoring::poll_readiness(state.clone(), frontend));
    }
    spawn_local(monitoring::poll_status(state.clone()));
    let start = state.now();
    while !monitoring::all_ready(state) {
        if state.now() - start > READY_TIMEOUT {
            return Err(DemoError::NotReady);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Sends requests while the scenario runs and processes are restarted, then waits for pending responses
/// and restarts.
async fn send_traffic(
    state: &DemoState,
    fleet: &Fleet,
    scenario: &Scenario,
    clients: &Rc<Clients>,
    options: &DemoOptions,
) -> Result<(), DemoError> {
    let scenario_run = scenario.run(fleet, options.length);
    let traffic = async {
        let probes = clients.probe();
        let sending = async { tokio::join!(clients.run(options.rate, options.length), scenario_run).1 };
        tokio::select! {
            result = sending => result,
            () = probes => Ok(()),
        }
    };
    let finished = async {
        traffic.await?;
        let end = state.now();
        while clients.in_flight() > 0 && state.now() - end < FINISH_TIMEOUT {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        while fleet.has_pending_restarts() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    };
    tokio::select! {
        result = finished => result,
        error = fleet.supervise() => Err(error),
    }
}
