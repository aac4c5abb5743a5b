//! The fleet of a run: test backends, a discovery server for each node, a relay for each link, and the
//! processes of the nodes. Starts them and applies faults on request; when and to what is up to the caller.

use crate::error::RunError;
use crate::history::{Entry, Event, ProcessEvent, ResourceUsage};
use crate::lock::lock;
use crate::node_files::{self, BackendLink, DrainState, NodePosition};
use crate::plan::{NodeKind, Participant, Plan};
use crate::process::{Launch, Process, Programs};
use crate::process_folder::ProcessFolder;
use crate::recorder::Recorder;
use crate::relay::Relay;
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tempfile::TempDir;
use test_servers::backend_model::{BackendSpec, IdempotencyKeys};
use test_servers::backend_server::BackendServer;
use test_servers::clock::Clock;
use test_servers::discovery::{Discovery, Lifecycle};
use test_servers::execution_log::{ExecutionLog, Observation};
use test_servers::script::ScriptedBackend;

/// How long a process may take to log its listen address, or to exit. On a busy machine either can take
/// seconds.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);
/// The queue length of a backend.
const BACKEND_QUEUE: u32 = 200;
/// How often backends refresh their load reports.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// The poll interval while waiting for a process to be paused.
const PAUSE_POLL: Duration = Duration::from_micros(300);
/// The poll interval while waiting for a link to discovery to be healthy.
const LINK_POLL: Duration = Duration::from_millis(2);
/// The poll interval while waiting for a process to release file descriptors.
const RESOURCE_POLL: Duration = Duration::from_millis(20);
/// The time between two readiness requests to a node.
const READY_POLL: Duration = Duration::from_millis(10);
/// How long a node may take to accept a connection, and to respond to a readiness request.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// The state of a node that restarts and notifications change.
struct NodeState {
    process: Option<Process>,
    starts: u64,
    /// The resources of the process when it became ready.
    initial_resources: ResourceUsage,
    /// The names of the backends whose drain the node was notified of.
    draining: Vec<String>,
}

/// A node with its links and its own discovery server.
pub struct Node {
    /// The name of the node, unique in the fleet.
    pub name: String,
    position: NodePosition,
    folder: ProcessFolder,
    /// The link from the clients to the node.
    pub client_link: Relay,
    /// The links from the node to the backends, by backend index.
    pub backend_links: Vec<Relay>,
    /// The link from the node to its discovery server.
    pub discovery_link: Relay,
    discovery: Discovery,
    state: Mutex<NodeState>,
}

/// All processes, servers and links of a run. Dropping it stops them.
pub struct Fleet {
    plan: Plan,
    seed: u64,
    programs: Programs,
    recorder: Recorder,
    execution_log: Arc<ExecutionLog>,
    backends: Vec<BackendServer>,
    nodes: Vec<Node>,
    folder: TempDir,
}

fn system_error(step: &'static str) -> impl Fn(io::Error) -> RunError {
    move |source| RunError::System(step, source)
}

impl Fleet {
    /// Starts backends, links and nodes. All nodes accept requests once this returns.
    ///
    /// # Errors
    /// A system call fails, or a node does not start.
    pub async fn start(plan: &Plan, seed: u64, programs: &Programs) -> Result<Fleet, RunError> {
        let clock = Clock::start();
        let (recorder, execution_log) = (Recorder::new(clock), Arc::new(ExecutionLog::default()));
        recorder.record(
            "rig",
            Event::RunStarted {
                plan: plan.name.clone(),
                seed,
                nodes: plan.node_names(),
                backends: plan.backend_names(),
                bounds: plan.bounds.clone(),
            },
        );
        let folder = TempDir::new().map_err(system_error("create a temporary folder"))?;
        let backends = start_backends(plan, seed, clock, &execution_log).await?;
        let mut fleet = Fleet {
            plan: plan.clone(),
            seed,
            programs: programs.clone(),
            recorder,
            execution_log,
            backends,
            nodes: Vec::new(),
            folder,
        };
        for index in 0..plan.nodes {
            let node = fleet.prepare_node(index).await?;
            fleet.nodes.push(node);
        }
        // All nodes start at once, as after a power failure, before the first one is waited for.
        for node in &fleet.nodes {
            fleet.launch(node)?;
        }
        for node in &fleet.nodes {
            fleet.wait_until_ready(node)?;
        }
        Ok(fleet)
    }

    /// The nodes, by index.
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// The recorder of the run, which all parts of the fleet record to.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// A node with its links and its discovery server, whose process is not started yet.
    async fn prepare_node(&self, index: usize) -> Result<Node, RunError> {
        let name = format!("node-{}", index + 1);
        let sites = &self.plan.backends.sites;
        // A placeholder until the node has logged its address: the discard port, where nothing listens.
        let no_target = SocketAddr::from(([127, 0, 0, 1], 9));
        let link_error = system_error("start a relay");
        let mut backend_links = Vec::new();
        for backend in &self.backends {
            let on_connect = self.record_connections(&backend.config().name, &name);
            backend_links.push(Relay::start(backend.address, on_connect).await.map_err(&link_error)?);
        }
        let discovery = Discovery::start().await.map_err(system_error("start a discovery server"))?;
        let on_connect = self.record_connections("discovery", &name);
        let discovery_link = Relay::start(discovery.address, on_connect).await.map_err(&link_error)?;
        let client_link = Relay::start(no_target, || {}).await.map_err(&link_error)?;
        let position = NodePosition {
            name: name.clone(),
            site: sites[index % sites.len()].clone(),
            index,
            nodes: self.plan.nodes,
        };
        let folder =
            ProcessFolder::new(self.folder.path(), &name).map_err(system_error("create a node's folder"))?;
        let state = NodeState {
            process: None,
            starts: 0,
            initial_resources: ResourceUsage::default(),
            draining: Vec::new(),
        };
        let node = Node {
            name,
            position,
            folder,
            client_link,
            backend_links,
            discovery_link,
            discovery,
            state: Mutex::new(state),
        };
        let links = self.links_of(&node, &[]);
        let endpoints = links.iter().map(|link| node_files::endpoint(link, Lifecycle::InService, 0));
        node.discovery.publish(endpoints);
        Ok(node)
    }

    fn record_connections(&self, target: &str, node: &str) -> impl Fn() + Send + Sync + 'static {
        let (recorder, target, node) = (self.recorder.clone(), target.to_string(), node.to_string());
        move || recorder.record(&target, Event::Connected { node: node.clone() })
    }

    /// All backends, each with the address of its relay and its drain state for a node.
    fn links_of(&self, node: &Node, draining: &[String]) -> Vec<BackendLink> {
        let links = self.backends.iter().zip(&node.backend_links);
        links
            .map(|(backend, link)| {
                let config = backend.config();
                let is_draining = draining.contains(&config.name);
                BackendLink {
                    name: config.name.clone(),
                    site: config.site.clone(),
                    address: link.address,
                    drain_state: if is_draining { DrainState::Draining } else { DrainState::InService },
                }
            })
            .collect()
    }

    /// Writes the configuration file of a node, with the drains that it is notified of.
    fn write_node_file(&self, node: &Node, state: &NodeState) -> Result<(), RunError> {
        let links = self.links_of(node, &state.draining);
        let text = match &self.plan.node_kind {
            NodeKind::File(text) => node_files::operator_file(text, &node.position, &links)?,
            NodeKind::Platform => {
                let seed =
                    self.seed.wrapping_mul(0x9e37_79b9) ^ (state.starts << 8) ^ node.position.index as u64;
                let endpoints = node.discovery.snapshot();
                let (sites, discovery) = (&self.plan.backends.sites, node.discovery_link.address);
                node_files::platform_configuration(&node.position, sites, discovery, &endpoints, seed)
            }
        };
        // Replaced by a rename: a node that reads the file at the same time must not see a partial one.
        let path = node.folder.path().join(node_files::node_command(&self.plan.node_kind).file);
        let new = path.with_extension("new");
        std::fs::write(&new, text)
            .and_then(|()| std::fs::rename(&new, &path))
            .map_err(system_error("write a node's file"))
    }

    /// Starts the process of a node, without waiting until it is ready.
    ///
    /// # Errors
    /// The node's file can't be written, or its process can't be started.
    pub fn launch(&self, node: &Node) -> Result<(), RunError> {
        let mut state = lock(&node.state);
        state.starts += 1;
        self.write_node_file(node, &state)?;
        let command = node_files::node_command(&self.plan.node_kind);
        let mut launch = Launch {
            program: self.programs.node.clone(),
            arguments: command.arguments.iter().map(Into::into).collect(),
            variables: self.programs.variables.clone(),
            folder: node.folder.path().to_path_buf(),
            log_file: None,
        };
        if self.plan.node_kind == NodeKind::Platform {
            launch.variables.push(("ROUTER_CONFIG".into(), command.file.into()));
        }
        let started = Process::start(&self.programs, &launch);
        state.process = Some(started.map_err(|e| RunError::Node(node.name.clone(), e.to_string()))?);
        Ok(())
    }

    /// Waits until a launched node accepts requests, points its clients' link to it, and records it as ready.
    ///
    /// # Errors
    /// The node exits before that, or takes too long.
    pub fn wait_until_ready(&self, node: &Node) -> Result<(), RunError> {
        let mut state = lock(&node.state);
        let Some(process) = &state.process else { return Ok(()) };
        let Some(address) = process.wait_for_line(PROCESS_TIMEOUT, listen_address) else {
            let last_line = process.log().last().cloned().unwrap_or_else(|| "it logged nothing".into());
            return Err(RunError::Node(node.name.clone(), last_line));
        };
        // The port differs after each start: the system may have assigned the earlier one to another process
        // meanwhile. The clients keep using the address of the relay.
        node.client_link.set_target(address);
        if self.plan.node_kind == NodeKind::Platform && !is_ready(address) {
            return Err(RunError::Node(
                node.name.clone(),
                format!("it did not report that it is ready within {PROCESS_TIMEOUT:?}"),
            ));
        }
        if let Some(usage) = state.process.as_ref().and_then(Process::resource_usage) {
            state.initial_resources = usage;
        }
        self.record_process(node, ProcessEvent::Ready);
        Ok(())
    }

    fn record_process(&self, node: &Node, event: ProcessEvent) {
        self.recorder.record(&node.name, Event::Process { event });
    }

    /// Kills a node and waits for its exit.
    pub fn kill(&self, node: &Node) {
        self.record_process(node, ProcessEvent::Killed);
        let process = lock(&node.state).process.take();
        if let Some(mut process) = process {
            process.kill();
            process.wait_for_exit(PROCESS_TIMEOUT);
        }
    }

    /// Asks a node to shut down, and waits for its exit. A node that does not exit in time is killed, and
    /// recorded with the exit code -1.
    pub fn terminate(&self, node: &Node) {
        let process = lock(&node.state).process.take();
        let Some(mut process) = process else { return };
        let earlier_exit = process.exit_code();
        if earlier_exit.is_none() {
            self.record_process(node, ProcessEvent::Terminating);
            process.terminate();
        }
        let code = earlier_exit.or_else(|| process.wait_for_exit(PROCESS_TIMEOUT)).unwrap_or(-1);
        self.record_process(node, ProcessEvent::Exited(code));
    }

    /// Pauses a node, and returns once the system shows its process as stopped.
    pub fn pause(&self, node: &Node) {
        let mut state = lock(&node.state);
        let Some(process) = &mut state.process else { return };
        process.pause();
        let start = Instant::now();
        while !process.is_paused() && start.elapsed() < PROCESS_TIMEOUT {
            std::thread::sleep(PAUSE_POLL);
        }
        self.record_process(node, ProcessEvent::Paused);
    }

    /// Resumes a paused node.
    pub fn resume(&self, node: &Node) {
        self.record_process(node, ProcessEvent::Resumed);
        if let Some(process) = &mut lock(&node.state).process {
            process.resume();
        }
    }

    /// Notifies a node that a backend drains or is in service again. On the platform the notification is sent
    /// over the node's link to discovery: this waits until the link has no fault, and only then records the
    /// notification.
    ///
    /// # Errors
    /// The node's file can't be written.
    pub async fn notify_drain_state(
        &self,
        node: &Node,
        backend: usize,
        drain_state: DrainState,
    ) -> Result<(), RunError> {
        let name = self.backends[backend].config().name.clone();
        {
            let mut state = lock(&node.state);
            state.draining.retain(|known| *known != name);
            if drain_state == DrainState::Draining {
                state.draining.push(name.clone());
            }
            if matches!(self.plan.node_kind, NodeKind::File(_)) {
                self.write_node_file(node, &state)?;
                state.process.iter_mut().for_each(Process::reload);
            }
        }
        let lifecycle = match drain_state {
            DrainState::Draining => Lifecycle::Terminating,
            DrainState::InService => Lifecycle::InService,
        };
        self.publish(node, backend, lifecycle, 0);
        while self.plan.node_kind == NodeKind::Platform && !node.discovery_link.is_healthy() {
            tokio::time::sleep(LINK_POLL).await;
        }
        let node = node.name.clone();
        let event = match drain_state {
            DrainState::Draining => Event::DrainNotified { node, backend: name },
            DrainState::InService => Event::ReturnNotified { node, backend: name },
        };
        self.recorder.record("rig", event);
        Ok(())
    }

    /// Publishes the state of a backend on the discovery server of a node.
    fn publish(&self, node: &Node, backend: usize, lifecycle: Lifecycle, started_at_ms: u64) {
        let links = self.links_of(node, &[]);
        node.discovery.publish([node_files::endpoint(&links[backend], lifecycle, started_at_ms)]);
    }

    /// Stops a backend, and publishes to all nodes that it has terminated.
    pub fn stop_backend(&self, backend: usize) {
        for node in &self.nodes {
            self.publish(node, backend, Lifecycle::Terminated, 0);
        }
        self.backends[backend].stop();
    }

    /// Restarts a stopped backend, cold, and publishes it to all nodes.
    pub fn restart_backend(&self, backend: usize) {
        self.backends[backend].restart();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        for node in &self.nodes {
            self.publish(node, backend, Lifecycle::InService, now);
        }
    }

    /// The node that a participant names; `None` if it does not name one.
    pub fn find_node(&self, participant: &Participant) -> Option<&Node> {
        self.nodes.iter().find(|node| matches!(participant, Participant::Named(name) if *name == node.name))
    }

    /// The index of the backend that a participant names; `None` if it does not name one.
    pub fn find_backend(&self, participant: &Participant) -> Option<usize> {
        self.backends.iter().position(
            |backend| matches!(participant, Participant::Named(name) if *name == backend.config().name),
        )
    }

    /// Records the resources of each node, once its descriptors are within their bound or after the time-out.
    pub fn measure_resources(&self, timeout: Duration) {
        for node in &self.nodes {
            let state = lock(&node.state);
            let Some(process) = &state.process else { continue };
            let (start, before) = (Instant::now(), state.initial_resources);
            let mut after = process.resource_usage();
            let bound = before.descriptors + self.plan.bounds.descriptors;
            while after.is_some_and(|after| after.descriptors > bound) && start.elapsed() < timeout {
                std::thread::sleep(RESOURCE_POLL);
                after = process.resource_usage();
            }
            if let Some(after) = after {
                self.recorder.record(&node.name, Event::ResourcesMeasured { before, after });
            }
        }
    }

    /// The name and the last log lines of each node.
    pub fn logs(&self) -> Vec<(String, Vec<String>)> {
        let log = |node: &Node| {
            let state = lock(&node.state);
            (node.name.clone(), state.process.as_ref().map(Process::log).unwrap_or_default())
        };
        self.nodes.iter().map(log).collect()
    }

    /// The executions and crashes that the backends have observed, as entries of a history.
    pub fn backend_entries(&self) -> Vec<Entry> {
        let mut entries = Vec::new();
        for (id, executions) in self.execution_log.all_executions() {
            for run in executions {
                let event = Event::ExecutionStarted { id: id.clone() };
                entries.push(Entry::new(run.received_at, run.backend, event));
            }
        }
        for observation in self.execution_log.observations() {
            if let Observation::Crash { backend, at } = observation {
                entries.push(Entry::new(at, backend, Event::BackendCrashed));
            }
        }
        entries
    }
}

async fn start_backends(
    plan: &Plan,
    seed: u64,
    clock: Clock,
    execution_log: &Arc<ExecutionLog>,
) -> Result<Vec<BackendServer>, RunError> {
    let mut keys_by_site: HashMap<String, Arc<Mutex<IdempotencyKeys>>> = HashMap::new();
    let mut backends = Vec::new();
    for (index, (name, site)) in plan.backend_names().into_iter().enumerate() {
        let keys = keys_by_site.entry(site.clone()).or_default().clone();
        let config = ScriptedBackend {
            name,
            site,
            machine_type: "std".into(),
            starts_later: false,
            load_report_interval: Some(LOAD_REPORT_INTERVAL),
            spec: BackendSpec {
                cores: plan.backends.cores,
                speed: 1.0,
                queue: BACKEND_QUEUE,
                service_time: plan.backends.service_time,
                cold_start: plan.backends.cold_start,
                degradation: None,
                deduplication_window: plan.backends.deduplication_window,
            },
        };
        let seed = seed ^ index as u64;
        let started = BackendServer::start(config, Vec::new(), seed, clock, execution_log.clone(), keys);
        backends.push(started.await.map_err(system_error("start a backend"))?);
    }
    Ok(backends)
}

/// The address in the log line of a node that reports where it listens; `None` for other lines.
fn listen_address(line: &str) -> Option<SocketAddr> {
    let (_, rest) = line.split_once("listens on ")?;
    rest.split(' ').next()?.trim_end_matches(':').parse().ok()
}

/// Polls the readiness endpoint of a node until it reports ready; `false` after the time-out of a process.
fn is_ready(address: SocketAddr) -> bool {
    let request_readiness = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, READY_TIMEOUT)?;
        stream.set_read_timeout(Some(READY_TIMEOUT))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: trial\r\nConnection: close\r\n\r\n")?;
        let mut status = [0; 12];
        stream.read_exact(&mut status)?;
        Ok(status == *b"HTTP/1.1 200")
    };
    let start = Instant::now();
    while start.elapsed() < PROCESS_TIMEOUT {
        if request_readiness().unwrap_or(false) {
            return true;
        }
        std::thread::sleep(READY_POLL);
    }
    false
}
