//! The connections to the backends of a cluster: which backends are listed, which connections are kept, and
//! how long streams may continue. Opens no connection itself.

use crate::endpoint_update::EndpointUpdate;
use crate::upstream::messages::BackendTimeouts;
use crate::upstream::pool::{BackendPool, BackendPools, ConnectionCounters, SocketBudget};
use http_forwarding::attempt::SuccessCriterion;
use http_transport::process_pause::StallDetector;
use http_transport::rate_limited_log::RateLimitedLog;
use http_transport::reuse_delay::ReuseDelay;
use http_transport::send_permit::ServingFlag;
use http_transport::stream_deadline::StreamDeadline;
use join_up_to::settings::Column;
use join_up_to::{ListKind, ServerId, ServerState, Settings};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The connections to the backends of a cluster.
pub struct BackendClient {
    pub(super) pools: Rc<RefCell<BackendPools>>,
    pub(super) sockets: Rc<SocketBudget>,
    pub(super) criterion: SuccessCriterion,
    pub(super) health_check_timeout: Cell<Duration>,
    /// The time-outs of health checks, and of requests without their own time-outs.
    pub(super) default_timeouts: Cell<BackendTimeouts>,
    /// How long a connection must be idle after a response before its next request.
    pub(super) reuse_delay: Rc<ReuseDelay>,
    /// Idle connections are closed after this time, well before the backend closes them.
    pub(super) max_idle: Cell<Duration>,
    /// The load values that are read from load reports.
    pub(super) columns: RefCell<Vec<Column>>,
    pub(super) load_report_log: RateLimitedLog,
    /// How long streams may continue once their backend drains or is removed; `None` for no limit.
    stream_grace: Cell<Option<Duration>>,
    /// Counts of connections since the start, for the log.
    pub counters: ConnectionCounters,
    pub(super) stalls: Rc<StallDetector>,
}

impl BackendClient {
    /// A client without backends. `idle_close` is the time after which backends close idle connections.
    pub fn new(
        sockets: Rc<SocketBudget>,
        criterion: SuccessCriterion,
        settings: &Settings,
        idle_close: Duration,
        columns: Vec<Column>,
        stalls: Rc<StallDetector>,
    ) -> Self {
        let pools = Rc::new(RefCell::default());
        sockets.register(&pools);
        BackendClient {
            pools,
            sockets,
            criterion,
            health_check_timeout: Cell::new(settings.limits.connect_timeout),
            default_timeouts: Cell::new(default_timeouts(settings)),
            reuse_delay: Rc::new(ReuseDelay::new(max_reuse_delay(settings))),
            max_idle: Cell::new(idle_close / 2),
            columns: RefCell::new(columns),
            load_report_log: RateLimitedLog::default(),
            stream_grace: Cell::new(None),
            counters: ConnectionCounters::default(),
            stalls,
        }
    }

    /// Replaces the settings. Attempts in flight keep the old ones.
    pub fn reconfigure(&self, settings: &Settings, idle_close: Duration, columns: Vec<Column>) {
        self.health_check_timeout.set(settings.limits.connect_timeout);
        self.default_timeouts.set(default_timeouts(settings));
        self.reuse_delay.set_max(max_reuse_delay(settings));
        self.max_idle.set(idle_close / 2);
        self.columns.replace(columns);
    }

    /// Sets how long streams may continue once their backend drains or is removed; `None` for no limit.
    pub fn set_stream_grace(&self, grace: Option<Duration>) {
        self.stream_grace.set(grace);
    }

    /// The number of open connections to the backends of all clusters.
    pub fn open_connections(&self) -> usize {
        self.sockets.open.get()
    }

    /// Whether the list contains a backend.
    pub fn has_endpoints(&self) -> bool {
        !self.pools.borrow().is_empty()
    }

    /// Registers the deadline of a stream. It is brought forward at once if the backend is already draining.
    pub(super) fn register_stream(&self, backend: ServerId, deadline: &StreamDeadline) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&backend) {
            pool.streams.push(deadline.clone());
            if !pool.serving.is_serving() {
                self.limit_streams(pool);
            }
        }
    }

    /// Limits the streams of a backend that drains or is removed to the grace period.
    fn limit_streams(&self, pool: &BackendPool) {
        if let Some(grace) = self.stream_grace.get() {
            pool.streams.iter().for_each(|stream| stream.bring_forward(Instant::now() + grace));
        }
    }

    /// Applies a change of the list: adds and removes pools, and closes idle connections that will not be
    /// used again.
    pub fn apply_update(&self, update: &EndpointUpdate) {
        let mut pools = self.pools.borrow_mut();
        if update.kind != ListKind::Changes {
            let is_listed = |id: &ServerId| update.endpoints.iter().any(|listed| listed.entry.id == *id);
            pools.extract_if(|id, _| !is_listed(id)).for_each(|(_, pool)| self.limit_streams(&pool));
        }
        for listed in &update.endpoints {
            let (entry, address) = (&listed.entry, listed.address);
            if entry.state == ServerState::Gone {
                if let Some(pool) = pools.remove(&entry.id) {
                    self.limit_streams(&pool);
                }
                continue;
            }
            let pool = pools.entry(entry.id).or_insert_with(|| BackendPool::new(address, entry.started));
            // A drain that is listed again does not postpone the deadlines of streams: `bring_forward` never
            // does.
            let is_replaced = pool.address != address || pool.started != entry.started;
            if is_replaced {
                // Another process runs there now: attempts that were decided for the former one must not
                // reach it.
                pool.serving.set(false);
                pool.serving = ServingFlag::new(true);
            }
            pool.serving.set(entry.state == ServerState::Ready);
            if is_replaced || !pool.serving.is_serving() {
                pool.idle.clear();
                self.limit_streams(pool);
            }
            (pool.address, pool.started) = (address, entry.started);
        }
    }

    /// Closes a backend's idle connections.
    pub fn close_idle(&self, backend: ServerId) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&backend) {
            pool.idle.clear();
        }
    }

    /// Closes connections that have been idle for too long or were closed by the backend. Must be called
    /// periodically.
    pub fn prune_idle(&self) {
        for pool in self.pools.borrow_mut().values_mut() {
            pool.streams.retain(|stream| !stream.is_unshared());
            pool.close_expired(self.max_idle.get());
        }
    }
}

/// The maximum reuse delay. It leaves a waiting request at least half of the connect time-out.
fn max_reuse_delay(settings: &Settings) -> Duration {
    default_timeouts(settings).connect / 2
}

/// The time-outs of requests without their own: those for the shortest latency target of all classes.
fn default_timeouts(settings: &Settings) -> BackendTimeouts {
    let target = settings.classes.iter().map(|class| class.latency_target).min().unwrap_or(Duration::MAX);
    BackendTimeouts::for_target(target, settings)
}
