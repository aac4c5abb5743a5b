//! The coordinator's process: opens the log on disk, starts the coordinator, applies changes of the settings
//! file, and shuts down on SIGTERM.

use crate::log_file;
use crate::metrics::CoordinatorMetrics;
use crate::settings_file::{self, SettingsFile};
use crate::startup::{RunningCoordinator, StartError};
use crate::storage::ReplicaLog;
use replication::Record;
use role_runtime::process::{RoleError, RoleOptions, RoleStart};
use role_runtime::signals::{SignalRequest, Signals};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::MissedTickBehavior;

/// The pause between attempts to open the log while the disk fails.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Runs a coordinator until SIGTERM. Exits with a failure if it can't start, for example because a setting is
/// missing or an address can't be listened at.
pub fn run(options: RoleOptions) -> ExitCode {
    abort_on_panic();
    role_runtime::process::run("coordinator", options, serve)
}

/// Makes every panic abort the process. A failed assertion means diverged histories or an inconsistent state,
/// after which the process must neither respond nor write. Without this, the runtime would continue without
/// the panicked task.
fn abort_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |failure| {
        report(failure);
        std::process::abort();
    }));
}

async fn serve(start: RoleStart) -> Result<(), RoleError> {
    let RoleStart { settings, options, mut signals } = start;
    let data_dir = settings.data_dir.clone().ok_or(StartError::Missing("data_dir"))?;
    let (log, records) = tokio::select! {
        opened = open_log(data_dir) => opened,
        () = signals.shut_down() => return Ok(()),
    };
    log::info!("coordinator of {} starts with {} records on disk", settings.node_name, records.len());
    configuration::compile_schema();
    let mut coordinator =
        RunningCoordinator::start_with_policy(&settings, &options.policy, log, records, random_seed())?;
    let metrics = Arc::new(CoordinatorMetrics::new(coordinator.node()));
    role_runtime::metrics::start(settings.ip, options.metrics.as_ref(), metrics);
    follow_settings(&mut coordinator, &mut signals).await;
    // The tests of the command line compare this text with a golden file.
    log::info!("coordinator: shutdown requested");
    coordinator.shut_down().await;
    Ok(())
}

/// Applies the settings file whenever it changes or SIGHUP arrives, until SIGTERM.
async fn follow_settings(coordinator: &mut RunningCoordinator, signals: &mut Signals) {
    let mut file = std::env::var_os(node_settings::PATH_VARIABLE).map(|path| SettingsFile::new(path.into()));
    let mut polls = tokio::time::interval(settings_file::POLL_INTERVAL);
    polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let settings = tokio::select! {
            request = signals.next() => match request {
                SignalRequest::ShutDown => return,
                SignalRequest::Reload => file.as_mut().and_then(SettingsFile::read),
            },
            _ = polls.tick() => file.as_mut().and_then(SettingsFile::poll),
        };
        if let Some(settings) = settings {
            coordinator.apply_settings(&settings);
        }
    }
}

/// Opens the log, and retries until the disk allows it.
async fn open_log(data_dir: PathBuf) -> (Box<dyn ReplicaLog>, Vec<Record>) {
    let mut is_failing = false;
    loop {
        let folder = data_dir.clone();
        match tokio::task::spawn_blocking(move || log_file::open(&folder)).await {
            Ok(Ok(opened)) => return opened,
            Ok(Err(error)) if !is_failing => log::warn!("storage: cannot open the log, retrying: {error}"),
            Ok(Err(error)) => log::debug!("storage: cannot open the log: {error}"),
            Err(error) => log::error!("storage: the task that opens the log failed: {error}"),
        }
        is_failing = true;
        tokio::time::sleep(OPEN_RETRY_DELAY).await;
    }
}

/// A seed that differs between starts, also of different machines, with high probability.
fn random_seed() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::hash::RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    // The wall clock may be wrong here; it only adds variation.
    if let Ok(time) = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH) {
        hasher.write_u128(time.as_nanos());
    }
    hasher.finish()
}
