//! Executes one run of a plan: starts the fleet, sends requests, injects each fault when it is due, shuts
//! down, and returns the recorded history. Does not judge it.

use crate::client_load::{ConnectionPool, LoadSource};
use crate::error::RunError;
use crate::fleet::{Fleet, Node};
use crate::history::{Event, History};
use crate::node_files::DrainState;
use crate::plan::{DurationRange, Fault, FaultAction, FaultTrigger, LinkFault, Participant, Plan};
use crate::process::Programs;
use crate::relay::Relay;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The poll interval of a fault that is triggered by a number of requests.
const TRIGGER_POLL: Duration = Duration::from_millis(2);
/// How long nodes may take to release resources once traffic has ended.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(4);
/// The number of threads that run the clients, links and backends.
const WORKER_THREADS: usize = 2;
/// How long tasks that still run at the end may take to finish.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// The result of a run.
pub struct RunOutput {
    /// All that was recorded, sorted by time.
    pub history: History,
    /// The name and the last log lines of each node.
    pub logs: Vec<(String, Vec<String>)>,
}

/// Runs a plan. The seed determines all random choices of the plan.
///
/// # Errors
/// The fleet can't be started, or a node can't be restarted or notified during the run.
pub fn run_plan(plan: &Plan, seed: u64, programs: &Programs) -> Result<RunOutput, RunError> {
    let plan = plan.draw(seed);
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(WORKER_THREADS).enable_all().build();
    let runtime = runtime.map_err(|e| RunError::System("create the async runtime", e))?;
    let output = runtime.block_on(run_drawn_plan(&plan, seed, programs));
    runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    output
}

async fn run_drawn_plan(plan: &Plan, seed: u64, programs: &Programs) -> Result<RunOutput, RunError> {
    let fleet = Arc::new(Fleet::start(plan, seed, programs).await?);
    let recorder = fleet.recorder().clone();
    let nodes = fleet.nodes().iter().map(|node| (node.name.clone(), node.client_link.address)).collect();
    let pool = Arc::new(ConnectionPool::new(nodes));
    let lateness_monitor = recorder.monitor_lateness();
    recorder.record("rig", Event::TrafficStarted);
    let mut traffic = JoinSet::new();
    for (group, clients) in plan.clients.iter().enumerate() {
        let (clients, pool, recorder) = (clients.clone(), pool.clone(), recorder.clone());
        let source = LoadSource { clients, group, pool, recorder };
        traffic.spawn(Arc::new(source).run(plan.traffic_duration));
    }
    let traffic_ended = watch::Sender::new(false);
    let mut faults = spawn_faults(plan, &fleet, &traffic_ended);
    while traffic.join_next().await.is_some() {}
    recorder.record("rig", Event::TrafficEnded);
    traffic_ended.send_replace(true);
    let mut error = None;
    while let Some(fault) = faults.join_next().await {
        if let Ok(Err(e)) = fault {
            error = Some(e);
        }
    }
    drop(lateness_monitor);
    pool.close(&recorder);
    let logs = end_nodes(fleet.clone()).await;
    if let Some(e) = error {
        return Err(e);
    }
    let mut entries = recorder.take_entries();
    entries.extend(fleet.backend_entries());
    Ok(RunOutput { history: History::sorted(entries), logs })
}

fn spawn_faults(
    plan: &Plan,
    fleet: &Arc<Fleet>,
    traffic_ended: &watch::Sender<bool>,
) -> JoinSet<Result<(), RunError>> {
    let starts: Vec<_> = plan.faults.iter().map(|_| watch::Sender::new(None)).collect();
    let starts = Arc::new(starts);
    let mut faults = JoinSet::new();
    for (index, fault) in plan.faults.iter().cloned().enumerate() {
        let (fleet, starts) = (fleet.clone(), starts.clone());
        let injection = Injection { fleet, fault, index, starts, traffic_ended: traffic_ended.subscribe() };
        faults.spawn(injection.run());
    }
    faults
}

/// Measures the resources of the nodes, ends them, and returns their logs.
async fn end_nodes(fleet: Arc<Fleet>) -> Vec<(String, Vec<String>)> {
    let ended = tokio::task::spawn_blocking(move || {
        fleet.measure_resources(RELEASE_TIMEOUT);
        let logs = fleet.logs();
        // In parallel, as each may take as long as its slowest response.
        std::thread::scope(|scope| {
            for node in fleet.nodes() {
                scope.spawn(|| fleet.terminate(node));
            }
        });
        logs
    });
    ended.await.unwrap_or_default()
}

/// The injection of one fault of a drawn plan.
struct Injection {
    fleet: Arc<Fleet>,
    fault: Fault,
    /// Its index in the plan.
    index: usize,
    /// When each fault of the plan began, by index; `None` until then.
    starts: Arc<Vec<watch::Sender<Option<Instant>>>>,
    traffic_ended: watch::Receiver<bool>,
}

impl Injection {
    async fn run(self) -> Result<(), RunError> {
        if !self.wait_until_due().await {
            return Ok(());
        }
        self.starts[self.index].send_replace(Some(Instant::now()));
        let recorder = self.fleet.recorder();
        recorder.record("rig", Event::FaultStarted { fault: self.index, text: self.fault.to_string() });
        let result = self.apply().await;
        recorder.record("rig", Event::FaultEnded { fault: self.index });
        result
    }

    /// Waits until the fault is due. Returns `false` if traffic ends before that.
    async fn wait_until_due(&self) -> bool {
        let due = async {
            match &self.fault.trigger {
                FaultTrigger::At(DurationRange { min, .. }) => sleep(*min).await,
                FaultTrigger::AfterRequests { node, count } => {
                    while self.fleet.recorder().attempts_sent_to(node) < *count {
                        sleep(TRIGGER_POLL).await;
                    }
                }
                FaultTrigger::AfterFault { fault, delay } => {
                    let mut other = self.starts[*fault].subscribe();
                    let start = other.wait_for(Option::is_some).await.map(|start| *start);
                    match start {
                        Ok(Some(start)) => sleep_until(start + delay.min).await,
                        _ => std::future::pending().await,
                    }
                }
            }
        };
        let mut traffic_ended = self.traffic_ended.clone();
        tokio::select! {
            () = due => true,
            _ = traffic_ended.wait_for(|ended| *ended) => false,
        }
    }

    /// Waits until the fault is over: until its duration has passed or traffic has ended, whichever is first.
    async fn wait_for_end(&self) {
        let mut traffic_ended = self.traffic_ended.clone();
        match self.fault.duration {
            Some(duration) => drop(timeout(duration.min, traffic_ended.wait_for(|ended| *ended)).await),
            None => drop(traffic_ended.wait_for(|ended| *ended).await),
        }
    }

    async fn apply(&self) -> Result<(), RunError> {
        let fleet = &self.fleet;
        let nodes: Vec<&Node> =
            self.fault.targets.iter().filter_map(|target| fleet.find_node(target)).collect();
        match &self.fault.action {
            FaultAction::Kill => {
                for_each_node(&nodes, |node| fleet.kill(node));
                if self.fault.duration.is_some() {
                    self.wait_for_end().await;
                    return start_again(fleet, &nodes);
                }
                Ok(())
            }
            FaultAction::Restart => {
                for_each_node(&nodes, |node| fleet.terminate(node));
                start_again(fleet, &nodes)
            }
            FaultAction::Pause => {
                for_each_node(&nodes, |node| fleet.pause(node));
                self.wait_for_end().await;
                for_each_node(&nodes, |node| fleet.resume(node));
                Ok(())
            }
            FaultAction::StopBackend => {
                self.stop_backends().await;
                Ok(())
            }
            FaultAction::Drain(backends) => self.drain(&nodes, backends).await,
            FaultAction::DisturbLinks { to, fault } => {
                self.disturb_links(to, *fault).await;
                Ok(())
            }
        }
    }

    async fn stop_backends(&self) {
        let targets = self.fault.targets.iter();
        let backends: Vec<_> = targets.filter_map(|target| self.fleet.find_backend(target)).collect();
        backends.iter().for_each(|backend| self.fleet.stop_backend(*backend));
        self.wait_for_end().await;
        backends.iter().for_each(|backend| self.fleet.restart_backend(*backend));
    }

    async fn drain(&self, nodes: &[&Node], backends: &[Participant]) -> Result<(), RunError> {
        let mut pairs = Vec::new();
        for node in nodes {
            let backends = backends.iter().filter_map(|backend| self.fleet.find_backend(backend));
            pairs.extend(backends.map(|backend| (*node, backend)));
        }
        // A failed notification does not keep the others from being sent; the first error is returned.
        let mut result = Ok(());
        for (node, backend) in &pairs {
            let notified = self.fleet.notify_drain_state(node, *backend, DrainState::Draining).await;
            result = result.and(notified);
        }
        if self.fault.duration.is_some() {
            self.wait_for_end().await;
            for (node, backend) in &pairs {
                let notified = self.fleet.notify_drain_state(node, *backend, DrainState::InService).await;
                result = result.and(notified);
            }
        }
        result
    }

    async fn disturb_links(&self, to: &[Participant], fault: LinkFault) {
        let links = self.links(to);
        let injected: Vec<_> = links.iter().map(|link| (link, link.inject(fault))).collect();
        if fault != LinkFault::Reset {
            self.wait_for_end().await;
        }
        let interval = self.fault.recovery_time / injected.len().max(1) as u32;
        for (link, id) in injected {
            link.heal(id);
            sleep(interval).await;
        }
    }

    /// The links from each target of the fault to each of these.
    fn links(&self, to: &[Participant]) -> Vec<&Relay> {
        let pairs = self.fault.targets.iter().flat_map(|from| to.iter().map(move |to| (from, to)));
        let links = pairs.filter_map(|(from, to)| match (from, to) {
            (Participant::Clients, to) => self.fleet.find_node(to).map(|node| &node.client_link),
            (from, Participant::Discovery) => self.fleet.find_node(from).map(|node| &node.discovery_link),
            (from, to) => self.fleet.find_node(from)?.backend_links.get(self.fleet.find_backend(to)?),
        });
        links.collect()
    }
}

/// Runs a blocking action for several nodes in parallel, a thread each, so that the fault begins at all of
/// them at once. The runtime's other threads continue.
fn for_each_node(nodes: &[&Node], action: impl Fn(&Node) + Sync) {
    tokio::task::block_in_place(|| {
        std::thread::scope(|scope| {
            for node in nodes {
                scope.spawn(|| action(node));
            }
        });
    });
}

/// Restarts nodes from the files that are left in their folders, and waits until they are ready.
fn start_again(fleet: &Fleet, nodes: &[&Node]) -> Result<(), RunError> {
    tokio::task::block_in_place(|| {
        nodes.iter().try_for_each(|node| fleet.launch(node))?;
        nodes.iter().try_for_each(|node| fleet.wait_until_ready(node))
    })
}
