//! Runs a node from an operator's file: starts a task for each cluster, listens, and applies the file again
//! on SIGHUP, completely or not at all. `route_config` interprets the file.

use crate::decision_loop::clock::Clock;
use crate::downstream::admission::AdmissionQueue;
use crate::downstream::serve;
use crate::downstream::state::DownstreamState;
use crate::file_node::clusters::{ClusterError, Clusters};
use crate::file_node::diagnostics;
use crate::file_node::router::{FileRouter, IdGenerator};
use crate::file_node::source::{self as file_source, InvalidSource};
use crate::resource_limits::ResourceLimits;
use crate::telemetry::admin::{self, AdminState};
use crate::telemetry::exchanges::Telemetry;
use crate::telemetry::logging::{self, Logging};
use crate::telemetry::recorder::Recorder;
use crate::upstream::pool::SocketBudget;
use http_transport::client_connections::Connections;
use http_transport::listeners::{ListenError, Listeners};
use http_transport::process_pause::StallDetector;
use quick_error::quick_error;
use route_config::Plan;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::{LocalSet, spawn_local};
use tracing::{error, info, warn};

/// After what time a client is asked to retry that was rejected for lack of memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a node did not run or stopped running.
pub enum RunError {
    /// The file was rejected.
    InvalidFile(InvalidSource),
    /// The node could not start or continue.
    Failed(NodeError),
}

quick_error! {
    /// Why a node could not start or continue.
    #[derive(Debug)]
    pub enum NodeError {
        /// The async runtime could not be created.
        Runtime(error: io::Error) { display("cannot start the async runtime: {error}") source(error) }
        /// The handler of a signal could not be installed.
        Signal(name: &'static str, error: io::Error) {
            display("cannot handle {name}: {error}")
            source(error)
        }
        /// The node could not listen for clients.
        Listen(error: ListenError) { display("{error}") from() source(error) }
        /// The file of the trace could not be created.
        Trace(path: PathBuf, error: io::Error) {
            display("cannot create the trace file {}: {error}", path.display())
            source(error)
        }
        /// The node could not listen at its admin address.
        Admin(address: SocketAddr, error: io::Error) {
            display("cannot listen on the admin address {address}: {error}")
            source(error)
        }
        /// The task of a cluster has failed.
        Cluster(error: ClusterError) { display("{error}") from() source(error) }
    }
}

/// Runs the node that a file describes, until a termination signal.
///
/// # Errors
/// The file is rejected, or the node cannot start or continue.
pub fn run(path: &Path) -> Result<(), RunError> {
    let plan = file_source::load(path).map_err(RunError::InvalidFile)?.loaded.plan;
    let logging = logging::start_queued(&plan.log);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| RunError::Failed(NodeError::Runtime(error)))?;
    LocalSet::new()
        .block_on(&runtime, serve_file(path.to_path_buf(), plan, logging))
        .map_err(RunError::Failed)
}

async fn serve_file(path: PathBuf, plan: Plan, logging: Logging) -> Result<(), NodeError> {
    let mut terminate = handle_signal(SignalKind::terminate(), "SIGTERM")?;
    let mut interrupt = handle_signal(SignalKind::interrupt(), "SIGINT")?;
    let hangup = handle_signal(SignalKind::hangup(), "SIGHUP")?;
    let listeners = Rc::new(Listeners::default());
    listeners.replace(&plan.listeners)?;
    let limits = ResourceLimits::new(plan.max_sockets, (plan.max_memory >> 10) as usize);
    let (error_sender, mut errors) = mpsc::unbounded_channel();
    let ClusterParts { mut clusters, ids, stalls } = create_clusters(&plan, &limits, error_sender);
    let cluster_events = clusters.apply(&plan);
    let admission = AdmissionQueue::default();
    admission.replace(&plan.limits, &plan.tenants);
    for address in listeners.addresses() {
        info!("{} listens on {address}: at most {} clients", plan.name, limits.max_clients);
    }
    log_plan(&path, &plan);
    let recorder = open_recorder(&plan)?;
    let telemetry = Rc::new(Telemetry::new(plan.log.exchanges, Some(logging)));
    let shutting_down: Rc<Cell<bool>> = Rc::default();
    if let Some(address) = plan.admin {
        start_admin(address, &telemetry, &shutting_down).await?;
    }
    let startup = StartupSettings::of(&plan);
    let trace = plan.trace.clone();
    let router = FileRouter::new(Rc::new(plan), cluster_events, ids.clone());
    let reports = Reports { recorder, telemetry: telemetry.clone() };
    let downstream = Rc::new(downstream_state(router, admission, reports, shutting_down, &limits, stalls));
    let reload = FileReload {
        path,
        startup,
        trace,
        clusters,
        ids,
        telemetry,
        downstream: downstream.clone(),
        listeners: listeners.clone(),
    };
    spawn_local(reload.run(hangup));
    let end = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    tokio::select! {
        () = serve::serve(downstream, listeners, limits.max_clients, end) => Ok(()),
        Some(error) = errors.recv() => Err(error.into()),
    }
}

/// The clusters of a node, none of them started, and the other parts that depend on its clock and seed.
struct ClusterParts {
    clusters: Clusters,
    ids: Rc<IdGenerator>,
    stalls: Rc<StallDetector>,
}

fn create_clusters(
    plan: &Plan,
    limits: &ResourceLimits,
    errors: mpsc::UnboundedSender<ClusterError>,
) -> ClusterParts {
    let clock = Clock::start();
    // Without a configured seed, it differs for each start: nodes must not make the same random choices at
    // the same time.
    let seed =
        plan.seed.unwrap_or_else(|| clock.now().as_nanos() as u64 ^ u64::from(std::process::id()) << 32);
    let stalls = StallDetector::start();
    let sockets = SocketBudget::new(limits.max_backend_connections);
    let clusters = Clusters::new(plan, clock, seed, sockets, stalls.clone(), errors);
    let ids = Rc::new(IdGenerator::new(seed.rotate_left(32) ^ clock.now().as_nanos() as u64));
    ClusterParts { clusters, ids, stalls }
}

/// The parts that report requests.
struct Reports {
    recorder: Option<Recorder>,
    telemetry: Rc<Telemetry>,
}

fn downstream_state(
    router: FileRouter,
    admission: AdmissionQueue,
    reports: Reports,
    shutting_down: Rc<Cell<bool>>,
    limits: &ResourceLimits,
    stalls: Rc<StallDetector>,
) -> DownstreamState {
    let (line_endings, stream_grace) = (router.plan().line_endings, router.plan().stream_end);
    DownstreamState {
        router: RefCell::new(Rc::new(router)),
        admission,
        recorder: RefCell::new(reports.recorder),
        retry_after: Cell::new(Some(MEMORY_RETRY_AFTER)),
        metrics: Rc::default(),
        telemetry: Some(reports.telemetry),
        ready: Rc::new(Cell::new(true)),
        shutting_down,
        next_request_id: Cell::new(1),
        connections: Connections::default(),
        body_memory_kib: Arc::new(Semaphore::new(limits.body_memory_kib)),
        max_body: u64::MAX,
        line_endings: Cell::new(line_endings),
        stream_grace: Cell::new(stream_grace),
        stalls,
        correlation_ids: RefCell::default(),
    }
}

fn handle_signal(kind: SignalKind, name: &'static str) -> Result<Signal, NodeError> {
    signal(kind).map_err(|error| NodeError::Signal(name, error))
}

/// Serves the metrics at this address.
async fn start_admin(
    address: SocketAddr,
    telemetry: &Rc<Telemetry>,
    shutting_down: &Rc<Cell<bool>>,
) -> Result<(), NodeError> {
    let listener = TcpListener::bind(address).await.map_err(|error| NodeError::Admin(address, error))?;
    let address = listener.local_addr().unwrap_or(address);
    info!("metrics are served at http://{address}/metrics");
    let state = AdminState { telemetry: telemetry.clone(), shutting_down: shutting_down.clone() };
    spawn_local(admin::run(listener, state));
    Ok(())
}

/// The settings of which a change takes effect at the next start only.
struct StartupSettings {
    admin: Option<SocketAddr>,
    log: route_config::model::Log,
    sockets: usize,
    memory: u64,
}

impl StartupSettings {
    fn of(plan: &Plan) -> Self {
        StartupSettings {
            admin: plan.admin,
            log: plan.log.clone(),
            sockets: plan.max_sockets,
            memory: plan.max_memory,
        }
    }

    fn changes_admin_or_log(&self, plan: &Plan) -> bool {
        plan.admin != self.admin || plan.log.format != self.log.format || plan.log.queue != self.log.queue
    }

    fn changes_limits(&self, plan: &Plan) -> bool {
        plan.max_sockets != self.sockets || plan.max_memory != self.memory
    }
}

/// Reloads the file on SIGHUP. Holds what a reload may change.
struct FileReload {
    path: PathBuf,
    startup: StartupSettings,
    /// The trace that is being recorded.
    trace: Option<route_config::model::Trace>,
    clusters: Clusters,
    ids: Rc<IdGenerator>,
    telemetry: Rc<Telemetry>,
    downstream: Rc<DownstreamState>,
    listeners: Rc<Listeners>,
}

impl FileReload {
    /// Reloads the file at each signal.
    async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            if let Some(plan) = self.load().await {
                self.apply(plan);
            }
        }
    }

    /// Loads the plan from the file; `None` if the file is invalid, which is logged.
    async fn load(&self) -> Option<Plan> {
        // On another thread, as loading a file of 10,000 routes takes about 80 ms, in which no request would
        // be answered.
        let file = self.path.clone();
        let loaded = tokio::task::spawn_blocking(move || {
            let source = file_source::load(&file);
            source.map(|source| source.loaded.plan).map_err(|invalid| diagnostics::lines(&file, &invalid))
        });
        match loaded.await {
            Ok(Ok(plan)) => Some(plan),
            Ok(Err(lines)) => {
                error!("{}: rejected; the previous configuration stays active", self.path.display());
                lines.iter().for_each(|line| error!("{line}"));
                None
            }
            Err(e) => {
                error!(
                    "{}: cannot be loaded; the previous configuration stays active: {e}",
                    self.path.display()
                );
                None
            }
        }
    }

    fn apply(&mut self, plan: Plan) {
        let path = self.path.display();
        // The last step that can fail; a failure leaves everything unchanged.
        if let Err(e) = self.listeners.replace(&plan.listeners) {
            return error!("{path}: rejected; the previous configuration stays active: {e}");
        }
        if self.startup.changes_admin_or_log(&plan) {
            warn!("{path}: changes of `[admin]`, `format` and `queue` take effect at the next start");
        }
        self.telemetry.set_logged_share(plan.log.exchanges);
        if self.startup.changes_limits(&plan) {
            warn!("{path}: changes of `sockets` and `memory` take effect at the next start");
        }
        if plan.trace != self.trace {
            match open_recorder(&plan) {
                Ok(recorder) => drop(self.downstream.recorder.replace(recorder)),
                // The node can serve without the new trace.
                Err(e) => warn!("cannot open the new trace: {e}"),
            }
            self.trace = plan.trace.clone();
        }
        let cluster_events = self.clusters.apply(&plan);
        self.downstream.admission.replace(&plan.limits, &plan.tenants);
        log_plan(&self.path, &plan);
        self.downstream.line_endings.set(plan.line_endings);
        self.downstream.stream_grace.set(plan.stream_end);
        let router = FileRouter::new(Rc::new(plan), cluster_events, self.ids.clone());
        self.downstream.router.replace(Rc::new(router));
    }
}

/// Opens the trace, if the file configures one.
fn open_recorder(plan: &Plan) -> Result<Option<Recorder>, NodeError> {
    let Some(trace) = &plan.trace else { return Ok(None) };
    let path = Path::new(&trace.file);
    let recorder = Recorder::to_file(path, trace.queue, trace.max_size);
    recorder.map(Some).map_err(|error| NodeError::Trace(path.to_path_buf(), error))
}

fn log_plan(path: &Path, plan: &Plan) {
    let backends: usize = plan.clusters.iter().map(|cluster| cluster.backends.len()).sum();
    info!(
        "{} applied: {} routes, {} clusters, {backends} backends",
        path.display(),
        plan.routes.len(),
        plan.clusters.len()
    );
}
