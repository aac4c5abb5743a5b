//! One backend: its address, its pool of idle connections, and the opening of new ones. Sends no requests.

use bytes::Bytes;
use http_body_util::Full;
use http_transport::backend_stream::{ExchangeProgress, MonitoredStream};
use http_transport::open_count::OpenGuard;
use http_transport::reuse_delay::ReuseDelay;
use http_transport::scoped_task::ScopedTask;
use http_transport::send_permit::ServingFlag;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper_util::rt::TokioIo;
use policy::Connections;
use routing::{BackendEntry, BackendId};
use rustix::net::sockopt;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// How long a connection may take to open, as machines that are down do not respond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long written bytes may stay unacknowledged before the system closes the connection
/// (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 2000;
/// The idle time after which the system sends a TCP keep-alive probe, and the interval between two probes.
const TCP_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unacknowledged TCP keep-alive probes after which the system closes the connection.
const TCP_KEEPALIVE_COUNT: u32 = 2;
/// An idle connection is closed this long before the keep-alive time-out that its backend stated.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(600);
/// The largest head of a response, in bytes. Bounds the buffer of a connection.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// A limit on the connections to all backends together.
pub struct ConnectionLimit {
    open: Rc<Cell<usize>>,
    max: usize,
}

impl ConnectionLimit {
    /// Creates a limit of `max` open connections, none of which is open.
    pub fn new(max: usize) -> Self {
        ConnectionLimit { open: Rc::default(), max }
    }

    /// Whether one more connection may be opened.
    pub fn has_capacity(&self) -> bool {
        self.open.get() < self.max
    }
}

/// An open connection. Dropping it closes it.
pub struct Connection {
    /// hyper's handle for sending requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// The progress of the exchange in flight.
    pub progress: Rc<ExchangeProgress>,
    _driver: ScopedTask,
    _open: [OpenGuard; 2],
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    expires_at: Instant,
}

/// The result of a search for an idle connection.
pub enum IdleLookup {
    /// An idle connection whose reuse delay is over.
    Ready(Connection),
    /// There are idle connections, and the reuse delay of one is over at this time.
    ReadyAt(Instant),
    /// There is no idle connection that may be reused.
    Empty,
}

/// An instance of a backend on the list, and the connections to it.
pub struct Backend {
    /// The instance id, by which the routing identifies the backend.
    pub id: BackendId,
    /// The instance id as the value of the header that states the expected instance.
    pub instance_header: HeaderValue,
    /// The address at which the instance accepts requests.
    pub address: SocketAddrV4,
    /// Whether the instance accepts new requests.
    pub serving: ServingFlag,
    /// The remaining time of slow start in the last list of backends.
    pub slow_start_remaining: Cell<Duration>,
    policy: Connections,
    same_zone: bool,
    slots: u32,
    idle: RefCell<Vec<IdleConnection>>,
    open: Rc<Cell<usize>>,
    reuse_delay: Rc<ReuseDelay>,
}

impl Backend {
    /// A listed backend. `zone` is the zone of this node. `None` if the instance id is not a valid header
    /// value.
    pub fn new(
        id: BackendId,
        listed: &control_protocol::Backend,
        zone: &str,
        reuse_delay: Rc<ReuseDelay>,
        policy: &Connections,
    ) -> Option<Self> {
        let instance_header = HeaderValue::from_str(&listed.instance_id).ok()?;
        Some(Backend {
            id,
            instance_header,
            policy: policy.clone(),
            address: listed.address,
            serving: ServingFlag::new(true),
            slow_start_remaining: Cell::new(Duration::from_millis(listed.cold_remaining_ms)),
            same_zone: listed.zone == zone,
            slots: listed.slots,
            idle: RefCell::default(),
            open: Rc::default(),
            reuse_delay,
        })
    }

    /// The entry for the selection of a backend.
    pub fn routing_entry(&self) -> BackendEntry {
        BackendEntry {
            id: self.id.clone(),
            same_zone: self.same_zone,
            slots: self.slots,
            slow_start_remaining: self.slow_start_remaining.get(),
        }
    }

    /// Prevents new requests to the backend, and closes its idle connections. Requests in flight continue.
    pub fn retire(&self) {
        self.serving.set(false);
        self.idle.borrow_mut().clear();
    }

    /// The number of open connections, both idle and in use.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Takes the newest idle connection whose reuse delay is over.
    pub fn take_idle(&self) -> IdleLookup {
        self.prune_idle();
        let mut idle = self.idle.borrow_mut();
        let delay = self.reuse_delay.current();
        let is_reusable =
            |idle: &IdleConnection| idle.idle_since.elapsed() >= delay && idle.connection.sender.is_ready();
        if let Some(position) = idle.iter().rposition(is_reusable) {
            return IdleLookup::Ready(idle.remove(position).connection);
        }
        let mut reusable_at = idle.iter().map(|idle| idle.idle_since + delay);
        reusable_at.find(|at| *at > Instant::now()).map_or(IdleLookup::Empty, IdleLookup::ReadyAt)
    }

    /// Removes idle connections that have expired or were closed by the backend.
    pub fn prune_idle(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|idle| !idle.connection.sender.is_closed() && now < idle.expires_at);
    }

    /// Closes the connection that has been idle for the longest time. Returns whether there was one.
    pub fn close_oldest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let has_idle = !idle.is_empty();
        if has_idle {
            idle.remove(0);
        }
        has_idle
    }

    /// Stores a connection for reuse after a response with this head. Closes it instead if the exchange is
    /// not complete or the head has `Connection: close`.
    pub fn store_idle(&self, connection: Connection, head: &HeaderMap) {
        let closes = http_forwarding::forward::list_contains(head, header::CONNECTION, "close");
        if closes || !connection.progress.is_complete() {
            return;
        }
        self.store_with_timeout(connection, self.idle_timeout(head));
    }

    /// Stores a connection on which no request was sent.
    pub fn store_unused(&self, connection: Connection) {
        self.store_with_timeout(connection, self.policy.default_max_idle);
    }

    fn store_with_timeout(&self, connection: Connection, idle_timeout: Duration) {
        if !self.serving.is_serving() || !self.policy.reuse || idle_timeout.is_zero() {
            return;
        }
        connection.progress.mark_idle();
        let idle_since = Instant::now();
        let expires_at = idle_since + idle_timeout;
        self.idle.borrow_mut().push(IdleConnection { connection, idle_since, expires_at });
    }

    /// How long a connection may stay idle after a response with this head, by its `Keep-Alive` header (RFC
    /// 2068, section 19.7.1). A value without `timeout=` is taken as a number of seconds.
    fn idle_timeout(&self, head: &HeaderMap) -> Duration {
        const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
        let default = self.policy.default_max_idle;
        let Some(list) = head.get(KEEP_ALIVE).and_then(|value| value.to_str().ok()) else { return default };
        let timeout = list.split(',').find_map(|parameter| parameter.trim().strip_prefix("timeout="));
        let text = timeout.unwrap_or(list).trim();
        let Ok(seconds) = text.parse::<u64>() else { return default };
        Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN).min(self.policy.max_idle)
    }

    /// Opens a connection, which counts as open in `limit` until it is dropped. Does not check the limit.
    ///
    /// # Errors
    /// The connection failed or did not open in time, or a socket option could not be set.
    pub async fn connect(&self, limit: &ConnectionLimit) -> io::Result<Connection> {
        let open = [OpenGuard::new(&limit.open), OpenGuard::new(&self.open)];
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let stream = connected.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        set_socket_options(&stream)?;
        let progress = Rc::new(ExchangeProgress::default());
        progress.reset_when_abandoned();
        let monitored = MonitoredStream::new(stream, progress.clone(), None, self.reuse_delay.clone());
        let mut builder = http1::Builder::new();
        let handshake = builder.max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(monitored));
        let (sender, driver) = handshake.await.map_err(io::Error::other)?;
        Ok(Connection { sender, progress, _driver: ScopedTask::spawn_connection(driver), _open: open })
    }
}

/// Disables Nagle's algorithm, and makes the system detect a peer that no longer responds.
fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_TIMEOUT_MS)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, TCP_KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, TCP_KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, TCP_KEEPALIVE_COUNT)?;
    Ok(())
}
