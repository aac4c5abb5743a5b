//! The agent that runs next to each proxy. It keeps links (long-lived connections) to coordinators, and
//! forwards the configuration, the list of backends and quota grants to the proxy on the same machine over
//! loopback.
//!
//! [`AgentState`] is the state machine and does no I/O; [`Agent`] drives it, with one task for each
//! connection.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backend_lists;
mod configuration_fetch;
mod configuration_lag;
pub mod coordinator_selection;
mod effect;
mod event;
mod ids;
mod links;
mod main_loop;
pub mod metrics;
pub mod monitor_ring;
mod proxy_connections;
mod quota_contact;
mod repair;
mod state;

pub use configuration_fetch::{FETCH_TIMEOUT, FRESHNESS_LIMIT};
pub use effect::{Configuration, Effect};
pub use ids::LinkId;
pub use links::{AgentIdentity, COORDINATOR_TIMEOUT};
pub use main_loop::Agent;
pub use state::{AgentState, AgentStatus, POLL_INTERVAL};

use control_link::AddressTranslation;
use node_settings::{Settings, SettingsWatcher};
use role_runtime::process::{self, RoleError, RoleOptions, RoleStart};
use role_runtime::signals::SignalRequest;
use std::net::SocketAddrV4;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior, sleep_until};

/// The interval at which the settings file is checked for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// How long before the platform would kill the process it exits by itself.
const KILL_MARGIN: Duration = Duration::from_secs(1);
/// The longest wait for coordinators to close their links after the node's last message.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);
/// The longest wait at shutdown for a proxy to connect, if none is connected.
const PROXY_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs an agent until SIGTERM, and after that until its proxy has disconnected or the grace period is about
/// to end. The exit code is a failure if the agent could not start.
pub fn run(options: RoleOptions) -> ExitCode {
    process::run("agent", options, serve)
}

async fn serve(start: RoleStart) -> Result<(), RoleError> {
    let RoleStart { settings, options, mut signals } = start;
    let mut watcher =
        std::env::var_os(node_settings::PATH_VARIABLE).map(|path| SettingsWatcher::new(path.into()));
    let listener = control_link::listen(settings.agent_address())?;
    let translation = AddressTranslation::new(settings.address_translation.clone());
    let mut agent = Agent::start(identity(&settings), seeds(&settings), translation, listener);
    role_runtime::metrics::start(settings.ip, options.metrics.as_ref(), agent.metrics());
    log::info!("agent of {}: listening for its proxy at {}", settings.node_name, settings.agent_address());
    let mut watch = tokio::time::interval(SETTINGS_POLL_INTERVAL);
    watch.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let changed = tokio::select! {
            () = agent.step() => continue,
            request = signals.next() => match request {
                SignalRequest::ShutDown => break,
                SignalRequest::Reload => watcher.as_mut().map(SettingsWatcher::reload),
            },
            _ = watch.tick() => watcher.as_mut().and_then(SettingsWatcher::poll),
        };
        match changed {
            Some(Ok(settings)) => agent.set_seeds(seeds(&settings)),
            Some(Err(error)) => log::warn!("settings: {error}; the previous settings stay in force"),
            None => {}
        }
    }
    log::info!("agent: received SIGTERM, shutting down");
    serve_until_proxy_ends(&mut agent, &settings).await;
    if !agent.has_proxy() {
        agent.leave(LEAVE_TIMEOUT).await;
    }
    Ok(())
}

/// Serves the proxy until it has disconnected: while it finishes its requests, it must still learn which
/// backends drain.
async fn serve_until_proxy_ends(agent: &mut Agent, settings: &Settings) {
    let grace = Duration::from_secs_f64(settings.bounds.grace_s.max(0.0));
    let started_at = Instant::now();
    let deadline = started_at + grace.saturating_sub(KILL_MARGIN);
    while Instant::now() < deadline && (agent.has_proxy() || started_at.elapsed() < PROXY_CONNECT_TIMEOUT) {
        let until =
            if agent.has_proxy() { deadline } else { deadline.min(started_at + PROXY_CONNECT_TIMEOUT) };
        tokio::select! {
            () = agent.step() => {}
            () = sleep_until(until) => {}
        }
    }
}

fn identity(settings: &Settings) -> AgentIdentity {
    AgentIdentity {
        node: settings.node_name.clone(),
        ip: settings.ip,
        zone: settings.zone.clone(),
        configuration_sequence: 0.into(),
    }
}

/// The addresses at which the coordinators on the seed machines accept connections from agents.
fn seeds(settings: &Settings) -> Vec<SocketAddrV4> {
    settings.seed_nodes.iter().map(|seed| settings.coordinator_address(*seed.ip())).collect()
}
