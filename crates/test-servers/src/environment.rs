//! The environment that a script describes: starts its backends and discovery, and runs its events when they
//! are due.

use crate::backend_model::IdempotencyKeys;
use crate::backend_server::BackendServer;
use crate::clock::Clock;
use crate::discovery::{Discovery, Endpoint, Lifecycle};
use crate::execution_log::ExecutionLog;
use crate::script::{Event, EventKind, Script};
use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;

/// A running environment. Dropping it stops everything in it.
pub struct Environment {
    /// The backends, in the order of the script.
    pub backends: Arc<Vec<BackendServer>>,
    /// The service that publishes the backends.
    pub discovery: Arc<Discovery>,
    /// The executions of all backends.
    pub execution_log: Arc<ExecutionLog>,
    /// The time since the start, which all components share.
    pub clock: Clock,
    /// The names of the sites, in the order of their first use in the script.
    pub sites: Vec<String>,
    /// The machine types, in the order of their first use in the script.
    pub machine_types: Vec<String>,
    _task: JoinSet<()>,
}

/// How long a backend still accepts requests after discovery has published its drain.
const DRAIN_GRACE: Duration = Duration::from_millis(2000);

/// The distinct names, in the order of their first occurrence.
fn distinct<'a>(names: impl Iterator<Item = &'a str>) -> Vec<String> {
    let mut distinct: Vec<String> = Vec::new();
    for name in names {
        if !distinct.iter().any(|known| known == name) {
            distinct.push(name.to_string());
        }
    }
    distinct
}

impl Environment {
    /// Starts the backends, discovery and the events, whose times count from now.
    ///
    /// # Errors
    /// A socket can't be bound.
    pub async fn start(script: &Script) -> io::Result<Environment> {
        let (execution_log, clock) = (Arc::new(ExecutionLog::default()), Clock::start());
        let discovery = Arc::new(Discovery::start().await?);
        let mut keys_by_site: HashMap<&str, Arc<Mutex<IdempotencyKeys>>> = HashMap::new();
        let mut backends = Vec::with_capacity(script.backends.len());
        for (index, config) in script.backends.iter().enumerate() {
            let faults = script.faults.iter().filter(|rule| rule.backend == index).cloned().collect();
            let keys = keys_by_site.entry(&config.site).or_default().clone();
            let seed = script.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ index as u64;
            let log = execution_log.clone();
            backends.push(BackendServer::start(config.clone(), faults, seed, clock, log, keys).await?);
        }
        let backends = Arc::new(backends);
        let present = backends.iter().filter(|backend| !backend.config().starts_later);
        discovery.publish(present.map(|backend| endpoint(backend, Lifecycle::InService, 0)));
        let mut task = JoinSet::new();
        task.spawn(run_events(script.events.clone(), backends.clone(), discovery.clone(), clock));
        Ok(Environment {
            sites: distinct(script.backends.iter().map(|backend| backend.site.as_str())),
            machine_types: distinct(script.backends.iter().map(|backend| backend.machine_type.as_str())),
            backends,
            discovery,
            execution_log,
            clock,
            _task: task,
        })
    }
}

fn endpoint(backend: &BackendServer, lifecycle: Lifecycle, started_at_ms: u64) -> Endpoint {
    let config = backend.config();
    Endpoint {
        instance_id: config.name.clone(),
        host_port: backend.address,
        zone: config.site.clone(),
        machine_type: config.machine_type.clone(),
        cell: 0,
        lifecycle,
        weight: 1.0,
        started_at_ms,
    }
}

/// Runs events at their times, and then waits for the grace periods of drains.
async fn run_events(
    events: Vec<Event>,
    backends: Arc<Vec<BackendServer>>,
    discovery: Arc<Discovery>,
    clock: Clock,
) {
    let mut drains = JoinSet::new();
    for event in events {
        clock.sleep_until(event.at).await;
        let backend = &backends[event.backend];
        match event.kind {
            EventKind::Drain => {
                discovery.publish([endpoint(backend, Lifecycle::Terminating, 0)]);
                backend.mark_drain_published();
                let backends = backends.clone();
                drains.spawn(async move {
                    tokio::time::sleep(DRAIN_GRACE).await;
                    backends[event.backend].start_draining();
                });
            }
            EventKind::Stop => {
                discovery.publish([endpoint(backend, Lifecycle::Terminated, 0)]);
                backend.mark_drain_published();
                backend.stop();
            }
            EventKind::Start => {
                backend.restart();
                let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                discovery.publish([endpoint(backend, Lifecycle::InService, now.as_millis() as u64)]);
            }
            EventKind::SlowDown(factor) => backend.set_slowdown(factor),
        }
    }
    while drains.join_next().await.is_some() {}
}
