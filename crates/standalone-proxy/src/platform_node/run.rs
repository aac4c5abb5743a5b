//! Runs the platform's node: one thread, with its configuration from the platform and its list of backends
//! from discovery. Connects the parts and handles signals.

use crate::decision_loop::clock::Clock;
use crate::decision_loop::event::NodeEvent;
use crate::decision_loop::list_requests::ListRequests;
use crate::decision_loop::node::Node;
use crate::downstream::admission::AdmissionQueue;
use crate::downstream::serve;
use crate::downstream::state::DownstreamState;
use crate::platform_node::config::{self, Config};
use crate::platform_node::console::{self, ConsoleState};
use crate::platform_node::discovery::{RetryInterval, WatchTarget, maintain_watch};
use crate::platform_node::handover::{self, InheritedSockets};
use crate::platform_node::reload::{ConfigReload, SettingsTargets, shutdown_time};
use crate::platform_node::router::PlatformRouter;
use crate::platform_node::settings::NodeSettings;
use crate::resource_limits::ResourceLimits;
use crate::telemetry::logging;
use crate::telemetry::node_metrics::NodeMetrics;
use crate::upstream::backend_client::BackendClient;
use crate::upstream::messages::MAX_FORWARDED_BODY;
use crate::upstream::pool::SocketBudget;
use http_forwarding::attempt::SuccessCriterion;
use http_forwarding::framing::LineEndings;
use http_transport::client_connections::Connections;
use http_transport::listeners::{BACKLOG, Listeners};
use http_transport::process_pause::StallDetector;
use http_transport::scoped_task::ScopedTask;
use join_up_to::Balancer;
use quick_error::quick_error;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::pin::pin;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::{JoinError, LocalSet, spawn_local};
use tokio::time::sleep;
use tracing::{error, info, warn};

/// How often a starting process checks whether it has a list of backends.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The maximum number of changes of the list that wait for the task of the node.
const UPDATE_QUEUE: usize = 4;

quick_error! {
    /// Why a node did not start or continue.
    #[derive(Debug)]
    pub enum RunError {
        /// The handler of a signal could not be installed.
        Signal(name: &'static str, error: io::Error) {
            display("cannot handle {name}: {error}")
            source(error)
        }
        /// The node could not listen at its address.
        Listen(address: SocketAddr, error: io::Error) {
            display("cannot listen on {address}: {error}")
            source(error)
        }
        /// The listening socket, which may be that of the predecessor, cannot be used.
        Socket(error: io::Error) { display("the listening socket cannot be used: {error}") source(error) }
        /// The task of the decision loop has ended, so that no request would be answered. `None` if it ended
        /// without a panic.
        TaskEnded(error: Option<JoinError>) { display("the task of the decision loop ended: {error:?}") }
    }
}

/// Runs the node that the platform's environment variables describe, until a termination signal.
pub fn main() -> ExitCode {
    logging::start();
    let config = match config::load(|name| std::env::var(name).ok()) {
        Ok(config) => config,
        Err(e) => {
            error!("{e}");
            return ExitCode::FAILURE;
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            error!("cannot start the async runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    match LocalSet::new().block_on(&runtime, run(config, |_| {})) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!("{e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the node until SIGTERM and then until all requests are answered. `on_listening` gets the address at
/// which clients connect.
///
/// # Errors
/// The node cannot handle signals or cannot listen, or the task of its decision loop has ended.
pub async fn run(config: Config, on_listening: impl FnOnce(SocketAddr)) -> Result<(), RunError> {
    // Installed first, as a signal without a handler would kill the process.
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| RunError::Signal("SIGTERM", e))?;
    let hangup = signal(SignalKind::hangup()).map_err(|e| RunError::Signal("SIGHUP", e))?;
    let (listener, predecessor) = inherit_or_bind(&config)?;
    let limits = ResourceLimits::new(config.sockets, config.memory_mb << 10);
    let stalls = StallDetector::start();
    let backends = Rc::new(backend_client(&config.settings, &limits, &stalls));
    let (events, event_receiver) = mpsc::unbounded_channel();
    let (updates, update_receiver) = mpsc::channel(UPDATE_QUEUE);
    let (ready, accepting) = (Rc::new(Cell::new(false)), Rc::<Cell<bool>>::default());
    let address = listener.local_addr().map_err(RunError::Socket)?;
    info!("{} listens on {address}: at most {} clients", config.name, limits.max_clients);
    on_listening(address);

    let metrics = Rc::new(NodeMetrics::default());
    let settings = config.settings;
    let balancer = Balancer::new(settings.balancer.clone(), config.seed);
    let (clock, node_stalls) = (Clock::start(), stalls.clone());
    let node = Node::new(balancer, clock, backends.clone(), events.clone(), ready.clone(), node_stalls);
    let list_requests = settings.balancer.list_on_request.then(Rc::<ListRequests>::default);
    let node = node.with_metrics(metrics.clone()).with_list_requests(list_requests.clone());
    let node = spawn_local(node.run(event_receiver, update_receiver, config.initial_list));
    let watch_target = WatchTarget {
        address: config.discovery,
        registry: Rc::new(RefCell::new(config.registry)),
        updates,
        list_requests,
        retry_interval: RetryInterval::new(&settings.balancer),
    };
    let watch = ScopedTask::spawn(maintain_watch(watch_target.clone(), None));
    let router = PlatformRouter::new(settings.clone(), events.clone(), &metrics);
    let downstream = Rc::new(downstream_state(router, &settings, &limits, ready.clone(), &metrics, stalls));
    let listeners = Rc::new(Listeners::new(vec![listener]));
    if let Some(address) = config.console {
        let (ready, shutting_down) = (Rc::clone(&accepting), downstream.shutting_down.clone());
        let state = ConsoleState { metrics: metrics.clone(), ready, shutting_down };
        spawn_local(console::run(address, state));
    }
    let handover_path = config.handover_folder.map(|folder| handover::socket_path(&folder, address));
    spawn_local(start_accepting(listeners.clone(), handover_path, predecessor, ready, accepting));
    let shutdown_time = Rc::new(Cell::new(shutdown_time(&settings.balancer)));
    let targets =
        SettingsTargets { events: events.clone(), backends, downstream: downstream.clone(), metrics };
    let reload = ConfigReload::new(
        targets,
        shutdown_time.clone(),
        (watch_target, watch),
        settings,
        config.settings_source,
    );
    spawn_local(reload.run(hangup));
    let end = async move {
        terminate.recv().await;
        let _ = events.send(NodeEvent::ShuttingDown(shutdown_time.get()));
    };
    tokio::select! {
        () = serve::serve(downstream, listeners, limits.max_clients, end) => Ok(()),
        // It runs for as long as its channel has a sender, so its end is a fault.
        end = node => Err(RunError::TaskEnded(end.err())),
    }
}

/// Returns the listening socket of the predecessor and the connection to it, or a new socket if there is no
/// predecessor.
fn inherit_or_bind(config: &Config) -> Result<(TcpListener, Option<UnixStream>), RunError> {
    let path = config.handover_folder.as_deref().map(|folder| handover::socket_path(folder, config.listen));
    if let Some(inherited) = path.as_deref().and_then(handover::request_sockets) {
        let InheritedSockets { listeners, predecessor } = inherited;
        let at_address = |socket: &std::net::TcpListener| {
            socket.local_addr().is_ok_and(|address| address == config.listen)
        };
        if let Some(socket) = listeners.into_iter().find(at_address) {
            return Ok((TcpListener::from_std(socket).map_err(RunError::Socket)?, Some(predecessor)));
        }
    }
    let listener = bind(config.listen).map_err(|error| RunError::Listen(config.listen, error))?;
    Ok((listener, None))
}

/// Opens a listening socket. Its address may be shared with another process of this node, the predecessor.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

fn backend_client(
    settings: &NodeSettings,
    limits: &ResourceLimits,
    stalls: &Rc<StallDetector>,
) -> BackendClient {
    BackendClient::new(
        Rc::new(SocketBudget::new(limits.max_backend_connections)),
        SuccessCriterion::Status200,
        &settings.balancer,
        settings.host.idle_close,
        settings.host.columns.clone(),
        stalls.clone(),
    )
}

fn downstream_state(
    router: PlatformRouter,
    settings: &NodeSettings,
    limits: &ResourceLimits,
    ready: Rc<Cell<bool>>,
    metrics: &Rc<NodeMetrics>,
    stalls: Rc<StallDetector>,
) -> DownstreamState {
    DownstreamState {
        router: RefCell::new(Rc::new(router)),
        admission: AdmissionQueue::default(),
        recorder: RefCell::default(),
        retry_after: Cell::new(settings.balancer.limits.max_retry_after),
        metrics: metrics.clone(),
        telemetry: None,
        ready,
        shutting_down: Rc::default(),
        next_request_id: Cell::new(1),
        connections: Connections::default(),
        body_memory_kib: Arc::new(Semaphore::new(limits.body_memory_kib)),
        max_body: MAX_FORWARDED_BODY,
        line_endings: Cell::new(LineEndings::Lenient),
        stream_grace: Cell::new(None),
        stalls,
        correlation_ids: RefCell::default(),
    }
}

/// Starts to accept connections: at once, or, if there is a predecessor, once there is a list of backends.
/// From then on offers the sockets to a successor.
async fn start_accepting(
    listeners: Rc<Listeners>,
    handover_path: Option<PathBuf>,
    predecessor: Option<UnixStream>,
    ready: Rc<Cell<bool>>,
    accepting: Rc<Cell<bool>>,
) {
    listeners.set_paused(predecessor.is_some());
    let is_ready = async {
        while !ready.get() {
            sleep(READY_POLL_INTERVAL).await;
        }
    };
    let mut is_ready = pin!(is_ready);
    let mut _connection = None;
    if let Some(predecessor) = predecessor {
        is_ready.as_mut().await;
        match handover::take_over(predecessor).await {
            Ok(connection) => _connection = Some(connection),
            Err(e) => warn!("handover: cannot notify the previous process: {e}"),
        }
        listeners.set_paused(false);
        accepting.set(true);
    }
    let offer = async {
        match handover_path {
            Some(path) => handover::offer(path, listeners).await,
            None => std::future::pending().await,
        }
    };
    let wait_until_ready = async {
        if !accepting.get() {
            is_ready.await;
            accepting.set(true);
        }
    };
    tokio::join!(offer, wait_until_ready);
}
