//! Applies a changed configuration on SIGHUP: the address of discovery, and the settings of all parts of the
//! node.

use crate::decision_loop::event::NodeEvent;
use crate::downstream::state::DownstreamState;
use crate::platform_node::config::{self, Config};
use crate::platform_node::discovery::{WatchTarget, maintain_watch};
use crate::platform_node::router::PlatformRouter;
use crate::platform_node::settings::{NodeSettings, merge_for_changeover};
use crate::telemetry::node_metrics::{NodeMetrics, increment};
use crate::upstream::backend_client::BackendClient;
use http_transport::scoped_task::ScopedTask;
use join_up_to::Settings;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tracing::{error, info};

/// How long the classes of the old settings are accepted beside the new ones. Clients learn of new settings
/// 1.2 s after the node.
const CHANGEOVER: Duration = Duration::from_millis(2500);

/// The platform sends SIGKILL after SIGTERM once the longest deadline of a class, but at most this much of
/// it, and [`KILL_DELAY`] have passed.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// How long the platform waits in addition to the deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// How long before SIGKILL all requests must be answered. Requests that are open then are lost.
const KILL_MARGIN: Duration = Duration::from_millis(200);

/// The time after SIGTERM within which all requests must be answered.
pub fn shutdown_time(settings: &Settings) -> Duration {
    let longest = settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    longest.min(MAX_COUNTED_DEADLINE) + KILL_DELAY - KILL_MARGIN
}

/// The parts of a node to which settings are passed.
#[derive(Clone)]
pub struct SettingsTargets {
    /// The channel of the task of the node.
    pub events: mpsc::UnboundedSender<NodeEvent>,
    /// The connections to backends.
    pub backends: Rc<BackendClient>,
    /// The state that all client connections share.
    pub downstream: Rc<DownstreamState>,
    /// The metrics, to which new classes are added.
    pub metrics: Rc<NodeMetrics>,
}

impl SettingsTargets {
    /// Passes settings to all parts. The balancer gets them before any request that is routed by them, as
    /// both pass through the same channel.
    fn apply(&self, settings: NodeSettings) {
        let NodeSettings { balancer, host } = &settings;
        self.backends.reconfigure(balancer, host.idle_close, host.columns.clone());
        self.downstream.retry_after.set(balancer.limits.max_retry_after);
        let _ = self.events.send(NodeEvent::SettingsChanged(Box::new(balancer.clone())));
        let router = PlatformRouter::new(settings, self.events.clone(), &self.metrics);
        self.downstream.router.replace(Rc::new(router));
    }
}

/// Reloads the configuration on SIGHUP. Holds what a reload may change.
pub struct ConfigReload {
    targets: SettingsTargets,
    shutdown_time: Rc<Cell<Duration>>,
    watch_target: WatchTarget,
    watch: ScopedTask,
    settings: NodeSettings,
    settings_source: serde_json::Value,
    /// The number of changes of the settings. The second step of a change is skipped if another change has
    /// begun.
    changes: Rc<Cell<u64>>,
}

impl ConfigReload {
    /// Starts with the configuration of the running node.
    pub fn new(
        targets: SettingsTargets,
        shutdown_time: Rc<Cell<Duration>>,
        (watch_target, watch): (WatchTarget, ScopedTask),
        settings: NodeSettings,
        settings_source: serde_json::Value,
    ) -> Self {
        let changes = Rc::default();
        ConfigReload { targets, shutdown_time, watch_target, watch, settings, settings_source, changes }
    }

    /// Reloads the configuration at each signal.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match config::reload(|name| std::env::var(name).ok(), &self.settings_source) {
                Ok(config) => {
                    increment(&self.targets.metrics.config_applied);
                    self.apply(config);
                }
                Err(e) => {
                    increment(&self.targets.metrics.config_rejected);
                    error!("configuration reload: rejected, the previous configuration stays active: {e}");
                }
            }
        }
    }

    fn apply(&mut self, config: Config) {
        let settings = config.settings;
        self.watch_target.retry_interval.reconfigure(&settings.balancer);
        self.shutdown_time.set(shutdown_time(&settings.balancer));
        let is_renamed =
            self.watch_target.registry.borrow_mut().rename(&settings.host.zones, &settings.host.kinds);
        if config.discovery != self.watch_target.address || is_renamed {
            info!("configuration reload: discovery is at {}", config.discovery);
            self.watch_target.address = config.discovery;
            self.replace_watch();
        }
        if settings == self.settings {
            return info!("configuration reload: settings unchanged");
        }
        info!("configuration reload: settings changed, classes {:?}", settings.host.classes);
        self.change_settings(settings, config.settings_source);
    }

    /// Replaces the watch. The previous one continues until the first list has arrived on the new one.
    fn replace_watch(&mut self) {
        let predecessor = std::mem::replace(&mut self.watch, ScopedTask::spawn(std::future::ready(())));
        self.watch = ScopedTask::spawn(maintain_watch(self.watch_target.clone(), Some(predecessor)));
    }

    /// Applies the settings in two steps: first with the old classes beside the new ones, later without them.
    fn change_settings(&mut self, settings: NodeSettings, source: serde_json::Value) {
        increment(&self.changes);
        let merged = merge_for_changeover(&settings, &self.settings);
        (self.settings, self.settings_source) = (settings, source);
        let targets = self.targets.clone();
        targets.apply(merged);
        let (changes, change, settings) = (self.changes.clone(), self.changes.get(), self.settings.clone());
        spawn_local(async move {
            sleep(CHANGEOVER).await;
            if changes.get() == change {
                targets.apply(settings);
            }
        });
    }
}
