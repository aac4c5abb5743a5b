//! Idle connections to backends, and the limit of connections that all clusters share. Opens none.

use http_transport::backend_stream::ExchangeProgress;
use http_transport::body::MessageBody;
use http_transport::open_count::OpenGuard;
use http_transport::scoped_task::ScopedTask;
use http_transport::send_permit::ServingFlag;
use http_transport::stream_deadline::StreamDeadline;
use http_transport::tunnel::RawConnection;
use hyper::client::conn::http1::SendRequest;
use join_up_to::ServerId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Counts of connections since the start.
#[derive(Default)]
pub struct ConnectionCounters {
    /// Connections that were started.
    pub opened: Cell<u64>,
    /// Connections that could not be established.
    pub failed: Cell<u64>,
    /// Idle connections that the backend turned out to have closed when a request was to be sent.
    pub stale: Cell<u64>,
}

/// The pools of a cluster, by backend.
pub type BackendPools = HashMap<ServerId, BackendPool>;

/// The limit of connections that all clusters share. Once it is reached, the connection that has been idle
/// for longest is closed for a new one, whichever cluster it belongs to.
pub struct SocketBudget {
    /// The number of open connections.
    pub open: Rc<Cell<usize>>,
    /// The maximum number of open connections.
    max_open: usize,
    pools: RefCell<Vec<Weak<RefCell<BackendPools>>>>,
}

impl SocketBudget {
    /// A budget of `max_open` connections.
    pub fn new(max_open: usize) -> Self {
        SocketBudget { open: Rc::default(), max_open, pools: RefCell::default() }
    }

    /// Adds the pools of a cluster, and forgets those of removed clusters.
    pub fn register(&self, pools: &Rc<RefCell<BackendPools>>) {
        let mut registered = self.pools.borrow_mut();
        registered.retain(|pools| pools.strong_count() > 0);
        registered.push(Rc::downgrade(pools));
    }

    /// Whether another connection may be opened.
    pub fn has_capacity(&self) -> bool {
        self.open.get() < self.max_open
    }

    /// Closes the connection that has been idle for longest. Returns whether there was one.
    pub fn evict_idle(&self) -> bool {
        let all: Vec<_> = self.pools.borrow().iter().filter_map(Weak::upgrade).collect();
        let oldest =
            |pools: &BackendPools| pools.values().filter_map(|pool| Some(pool.idle.first()?.since)).min();
        let candidates = all.iter().filter_map(|pools| Some((oldest(&pools.borrow())?, pools)));
        let Some((oldest, pools)) = candidates.min_by_key(|(since, _)| *since) else { return false };
        let mut pools = pools.borrow_mut();
        let pool = pools.values_mut().find(|pool| pool.idle.first().is_some_and(|idle| idle.since == oldest));
        pool.map(|pool| pool.idle.remove(0)).is_some()
    }
}

/// The connections to one backend.
pub struct BackendPool {
    /// The address at which the backend listens.
    pub address: SocketAddr,
    /// When the process of the backend started, if the list says so.
    pub started: Option<Duration>,
    /// Whether new attempts may start. Idle connections are kept only then.
    pub serving: ServingFlag,
    /// The deadlines of streamed responses.
    pub streams: Vec<StreamDeadline>,
    /// The idle connections, the most recently used last. That one is used first, so that the others expire.
    pub idle: Vec<IdleConnection>,
    /// The number of open connections, including those in use.
    pub open: Rc<Cell<usize>>,
}

impl BackendPool {
    /// A pool without connections.
    pub fn new(address: SocketAddr, started: Option<Duration>) -> Self {
        BackendPool {
            address,
            serving: ServingFlag::new(true),
            started,
            streams: Vec::new(),
            idle: Vec::new(),
            open: Rc::default(),
        }
    }

    /// Closes connections that were closed by the backend or have been idle for as long as `max_idle`.
    pub fn close_expired(&mut self, max_idle: Duration) {
        self.idle.retain(|idle| !idle.connection.sender.is_closed() && idle.since.elapsed() < max_idle);
    }
}

impl Drop for BackendPool {
    fn drop(&mut self) {
        // The backend is no longer on the list: attempts that were decided but have sent nothing must not
        // start.
        self.serving.set(false);
    }
}

/// An idle connection.
pub struct IdleConnection {
    /// The open connection.
    pub connection: Connection,
    /// When its last response ended.
    pub since: Instant,
}

/// An open connection. Dropping it closes it.
pub struct Connection {
    /// Receives the raw connection after a switch of protocols; `None` if the request asks for none. A
    /// connection with this is not reused.
    pub raw: Option<oneshot::Receiver<RawConnection>>,
    /// Sends requests on it.
    pub sender: SendRequest<MessageBody>,
    /// The progress of the exchange in flight.
    pub progress: Rc<ExchangeProgress>,
    /// The address to which it was opened.
    pub address: SocketAddr,
    /// The task that drives it.
    pub _driver: ScopedTask,
    /// Counts it as open in [`SocketBudget`] and [`BackendPool`].
    pub _open_guards: [OpenGuard; 2],
}

/// Keeps a connection for the next attempt, unless the backend takes no more attempts at this address.
pub fn store_idle(pools: &RefCell<BackendPools>, backend: ServerId, connection: Connection) {
    if connection.raw.is_some() {
        return;
    }
    let mut pools = pools.borrow_mut();
    let pool = pools
        .get_mut(&backend)
        .filter(|pool| pool.serving.is_serving() && pool.address == connection.address);
    if let Some(pool) = pool {
        connection.progress.mark_idle();
        pool.idle.push(IdleConnection { connection, since: Instant::now() });
    }
}
