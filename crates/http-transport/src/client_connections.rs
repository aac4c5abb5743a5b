//! The open client connections: which one is closed when there is no capacity, and which ones are idle or
//! stuck. Reads none.

use crate::rate_limited_log;
use crate::request_heads::HeadMonitor;
use crate::stream_deadline::StreamDeadline;
use crate::tunnel::Tunnel;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long an idle connection may stay open after its close was requested.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a new connection may be silent, and how long the head of a request may take to arrive. Guards
/// against clients that occupy a connection and never send a request.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);

/// A new connection that has been silent for this long is closed first when there is no capacity. A client
/// that opens a connection to send a request sends it at once.
const SILENT_CONNECTION_AGE: Duration = Duration::from_millis(50);

/// The open client connections.
#[derive(Default)]
pub struct Connections {
    /// The id of the next connection.
    pub next_id: Cell<u64>,
    /// The open connections by id.
    pub open: RefCell<HashMap<u64, Rc<ConnectionState>>>,
    /// The log for warnings about connections that could not be accepted.
    pub accept_error_log: rate_limited_log::RateLimitedLog,
}

/// The state of a connection that is accessible outside its task.
pub struct ConnectionState {
    /// Since when it has had no request in flight; `None` while it has one.
    pub idle_since: Cell<Option<Instant>>,
    /// Whether it has ever had a request.
    pub has_had_request: Cell<bool>,
    /// Whether the request in flight has arrived completely, so that further bytes belong to pipelined
    /// requests.
    pub request_complete: Cell<bool>,
    /// Notified when a request begins, and when it is complete.
    pub request_progress: Notify,
    /// Monitors the heads of its requests.
    pub heads: Rc<HeadMonitor>,
    /// Notifies the task that it must close the connection once no request is in flight.
    pub close_requested: Notify,
    /// Since when the connection is being closed.
    pub closing_since: Cell<Option<Instant>>,
    /// Notifies the task that it must drop the connection at once.
    pub abort_requested: Notify,
    /// The deadline of the streamed response or tunnel, if there is one.
    pub response_deadline: RefCell<Option<StreamDeadline>>,
    /// The connection to the backend, once this connection switches to another protocol.
    pub tunnel: RefCell<Option<Box<Tunnel>>>,
}

impl Default for ConnectionState {
    fn default() -> Self {
        ConnectionState::new()
    }
}

impl ConnectionState {
    /// The state of a connection that was just accepted.
    pub fn new() -> Self {
        ConnectionState {
            idle_since: Cell::new(Some(Instant::now())),
            has_had_request: Cell::new(false),
            request_complete: Cell::new(false),
            request_progress: Notify::new(),
            heads: Rc::default(),
            close_requested: Notify::new(),
            closing_since: Cell::new(None),
            abort_requested: Notify::new(),
            response_deadline: RefCell::default(),
            tunnel: RefCell::default(),
        }
    }
    /// Records that the request in flight has arrived completely.
    pub fn mark_request_complete(&self) {
        self.request_complete.set(true);
        self.request_progress.notify_one();
    }
    /// Whether it has had no request in flight for `duration`.
    pub fn is_idle_for(&self, duration: Duration) -> bool {
        self.idle_since.get().is_some_and(|since| since.elapsed() >= duration)
    }
    /// Asks the task to close the connection once no request is in flight.
    pub fn close(&self) {
        self.closing_since.set(self.closing_since.get().or_else(|| Some(Instant::now())));
        self.close_requested.notify_one();
    }
    /// Whether the client sends no request, does not finish a head, does not close the connection when asked
    /// to, or has a response past its deadline.
    pub fn is_stuck(&self) -> bool {
        if self.response_deadline.borrow().as_ref().is_some_and(StreamDeadline::has_passed) {
            return true;
        }
        let exceeds = |since: Option<Instant>, limit| since.is_some_and(|since| since.elapsed() >= limit);
        !self.has_had_request.get() && self.is_idle_for(HEAD_TIMEOUT)
            || self.idle_since.get().is_some() && exceeds(self.heads.incomplete_since(), HEAD_TIMEOUT)
            || self.is_idle_for(CLOSE_TIMEOUT) && exceeds(self.closing_since.get(), CLOSE_TIMEOUT)
    }
}

/// Marks a connection as busy from the head of a request to the last byte of the response.
pub struct BusyGuard(Rc<ConnectionState>);

impl BusyGuard {
    /// Marks the connection as busy until the guard is dropped.
    pub fn new(state: &Rc<ConnectionState>) -> Self {
        state.idle_since.set(None);
        state.has_had_request.set(true);
        state.request_progress.notify_one();
        BusyGuard(state.clone())
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.response_deadline.take();
        self.0.request_complete.set(false);
        self.0.idle_since.set(Some(Instant::now()));
    }
}

impl Connections {
    /// Closes one connection to free capacity: one that is slow to send its first request, else the one that
    /// has been idle for longest. A connection that was just opened is not closed, as its first request is
    /// about to arrive.
    pub fn evict(&self) {
        let open = self.open.borrow();
        let idle = open.values().filter(|state| state.closing_since.get().is_none());
        let idle =
            idle.filter_map(|state| Some((state.has_had_request.get(), state.idle_since.get()?, state)));
        let idle =
            idle.filter(|(had_request, since, _)| *had_request || since.elapsed() >= SILENT_CONNECTION_AGE);
        match idle.min_by_key(|(had_request, since, _)| (*had_request, *since)) {
            Some((true, _, state)) => state.close(),
            Some((false, _, state)) => state.abort_requested.notify_one(),
            None => {}
        }
    }

    /// Closes the connections that have been idle for `min_idle`.
    pub fn close_idle(&self, min_idle: Duration) {
        for state in self.open.borrow().values() {
            if state.is_idle_for(min_idle) {
                state.close();
            }
        }
    }

    /// Closes the connections that have been idle for `min_idle`, and busy ones once their response has
    /// ended. Otherwise a client whose response ends just before the process does would send its next request
    /// on a connection that is no longer served.
    pub fn close_after_responses(&self, min_idle: Duration) {
        for state in self.open.borrow().values() {
            let is_busy = state.idle_since.get().is_none();
            if is_busy || state.is_idle_for(min_idle) {
                state.close();
            }
        }
    }

    /// Brings the deadlines of all streamed responses forward to `deadline`.
    pub fn limit_streams(&self, deadline: Instant) {
        let open = self.open.borrow();
        let streams = open.values().filter_map(|state| state.response_deadline.borrow().clone());
        streams.for_each(|stream| stream.bring_forward(deadline));
    }

    /// Closes the connections that have been idle for `max_idle`, and drops those that are stuck or whose
    /// stream is past its deadline.
    pub fn sweep(&self, max_idle: Duration) {
        self.close_idle(max_idle);
        let open = self.open.borrow();
        open.values().filter(|state| state.is_stuck()).for_each(|state| state.abort_requested.notify_one());
    }
}
