//! Serves a backend on a socket: accepts connections while the backend is up and no fault refuses them, and
//! passes their requests to the request handler.

use crate::backend_model::{IdempotencyKeys, ModelLoad};
use crate::clock::Clock;
use crate::execution_log::ExecutionLog;
use crate::fault_schedule::FaultSchedule;
use crate::http1;
use crate::request_handler::{Backend, ConnectionUse};
use crate::script::{FaultRule, ScriptedBackend};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The delay before a failed bind is retried. The port may be in use by another socket for a short time.
const BIND_RETRY: Duration = Duration::from_millis(10);

/// The load and the health of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendLoad {
    /// The running and queued requests.
    pub requests: ModelLoad,
    /// Whether it is slowed down by overload.
    pub is_degraded: bool,
    /// Whether overload has crashed it while it warmed up.
    pub has_crashed: bool,
}

/// A running backend. Dropping it stops it and closes its connections.
pub struct BackendServer {
    backend: Arc<Backend>,
    /// The listening address, which stays the same after a restart.
    pub address: SocketAddr,
    is_up: watch::Sender<bool>,
    _task: JoinSet<()>,
}

impl BackendServer {
    /// Starts a backend on a free port. With `starts_later` it refuses connections until
    /// [`restart`](Self::restart). `keys` are the idempotency keys that its site shares.
    ///
    /// # Errors
    /// The socket can't be bound.
    pub async fn start(
        config: ScriptedBackend,
        faults: Vec<FaultRule>,
        seed: u64,
        clock: Clock,
        log: Arc<ExecutionLog>,
        keys: Arc<Mutex<IdempotencyKeys>>,
    ) -> io::Result<BackendServer> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let is_up = watch::Sender::new(!config.starts_later);
        let backend = Arc::new(Backend::new(config, FaultSchedule::new(faults), seed, clock, log, keys));
        let mut task = JoinSet::new();
        task.spawn(accept_connections(backend.clone(), listener, address, is_up.subscribe()));
        Ok(BackendServer { backend, address, is_up, _task: task })
    }

    /// The backend's entry of the script.
    pub fn config(&self) -> &ScriptedBackend {
        &self.backend.config
    }

    /// Records that discovery has published the drain or removal of the backend: requests that arrive from
    /// now on are logged as observations.
    pub fn mark_drain_published(&self) {
        self.backend.mark_drain_published();
    }

    /// Rejects new requests from now on.
    pub fn start_draining(&self) {
        self.backend.start_draining();
    }

    /// Stops the backend: closes its connections, and refuses new ones.
    pub fn stop(&self) {
        self.is_up.send_replace(false);
    }

    /// Starts the backend, again or for the first time, cold and without requests.
    pub fn restart(&self) {
        self.backend.restart();
        self.is_up.send_replace(true);
    }

    /// Slows the backend down by a factor; 1 restores its normal speed.
    pub fn set_slowdown(&self, factor: f64) {
        self.backend.set_slowdown(factor);
    }

    /// The current load and health.
    pub fn load(&self) -> BackendLoad {
        self.backend.inspect_model(|model| BackendLoad {
            requests: model.load(),
            is_degraded: model.is_degraded(),
            has_crashed: model.has_crashed(),
        })
    }
}

/// Accepts connections while the backend is up and no fault refuses them. To refuse them it closes the
/// listener, so that the system refuses new connections.
async fn accept_connections(
    backend: Arc<Backend>,
    listener: TcpListener,
    address: SocketAddr,
    mut is_up: watch::Receiver<bool>,
) {
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    loop {
        let up_now = *is_up.borrow_and_update();
        let refused_until = backend.faults.refused_until(backend.clock.now());
        if !up_now || refused_until.is_some() {
            listener = None;
            if !up_now {
                connections.abort_all();
            }
            tokio::select! {
                changed = is_up.changed() => if changed.is_err() { return },
                () = backend.clock.sleep_until(refused_until.unwrap_or(Duration::MAX)), if up_now => {}
            }
            continue;
        }
        if listener.is_none() {
            listener = TcpListener::bind(address).await.ok();
        }
        let Some(open) = &listener else {
            sleep(BIND_RETRY).await;
            continue;
        };
        let next_refusal = backend.faults.next_refusal(backend.clock.now());
        tokio::select! {
            accepted = open.accept() => if let Ok((stream, _)) = accepted {
                let _ = stream.set_nodelay(true);
                connections.spawn(serve_connection(backend.clone(), stream));
            },
            changed = is_up.changed() => if changed.is_err() { return },
            () = backend.clock.sleep_until(next_refusal.unwrap_or_default()), if next_refusal.is_some() => {}
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection(backend: Arc<Backend>, mut stream: TcpStream) {
    let mut buffer = Vec::new();
    // An invalid request ends the connection.
    while let Ok(Some(request)) = http1::read_request(&mut stream, &mut buffer).await {
        if backend.handle(&mut stream, &request).await == ConnectionUse::Close {
            return;
        }
    }
}
