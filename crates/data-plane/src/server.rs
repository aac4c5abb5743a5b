//! The listening socket for clients: accepts connections, closes idle ones, and shuts down gracefully.

use crate::client_connection::serve_connection;
use crate::state::DataPlaneState;
use http_transport::client_connections::{ConnectionState, Connections};
use http_transport::stream_deadline::StreamDeadline;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, sleep_until, timeout};

/// The interval between two checks of the open connections for time-outs.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// How long the node goes on accepting connections after a termination signal. The platform checks the
/// readiness each second, and stops sending clients after two failed checks.
const ACCEPT_GRACE: Duration = Duration::from_millis(2300);
/// How long before the end of the shutdown grace period the process exits even if connections are open.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// The interval between two checks for open connections during shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The idle time after which a connection is closed during shutdown, once no new ones are accepted.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_millis(100);
/// How long the node waits for another connection from the listen queue after the grace for accepting.
const LAST_ACCEPT_TIMEOUT: Duration = Duration::from_millis(5);
/// The pause after an error of `accept`.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// Sent to a client that connects when the maximum number of clients is reached.
const REJECTION: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.3\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

type Accepted = io::Result<(TcpStream, SocketAddr)>;

/// Serves clients until `shutdown` completes, and then shuts down gracefully.
pub async fn serve(state: &Rc<DataPlaneState>, listener: TcpListener, shutdown: impl Future<Output = ()>) {
    let connections = Rc::new(Connections::default());
    let mut shutdown = pin!(shutdown);
    let mut sweeps = interval(SWEEP_INTERVAL);
    sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            () = &mut shutdown => break,
            _ = sweeps.tick() => sweep(state, &connections),
            accepted = listener.accept() => accept(state, &connections, accepted).await,
        }
    }
    shut_down(state, &connections, listener).await;
}

/// Goes on accepting for a while, and then waits until all connections have ended or the grace period is
/// almost over.
async fn shut_down(state: &Rc<DataPlaneState>, connections: &Rc<Connections>, listener: TcpListener) {
    let started_at = Instant::now();
    let grace = Duration::try_from_secs_f64(state.bounds.grace_s).unwrap_or_default();
    let max_duration = grace.saturating_sub(EXIT_MARGIN);
    state.shutting_down.set(true);
    log::info!("shutting down: {} connections open", connections.open.borrow().len());
    accept_until(state, connections, &listener, started_at + ACCEPT_GRACE.min(max_duration / 2)).await;
    drop(listener);
    while !connections.open.borrow().is_empty() && started_at.elapsed() < max_duration {
        connections.close_after_responses(DRAIN_IDLE_TIMEOUT);
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    log::info!("exiting: {} connections open", connections.open.borrow().len());
}

/// Accepts connections until `deadline`, and then those that are left in the listen queue.
async fn accept_until(
    state: &Rc<DataPlaneState>,
    connections: &Rc<Connections>,
    listener: &TcpListener,
    deadline: Instant,
) {
    loop {
        tokio::select! {
            biased;
            () = sleep_until(deadline) => break,
            accepted = listener.accept() => accept(state, connections, accepted).await,
        }
    }
    while let Ok(accepted) = timeout(LAST_ACCEPT_TIMEOUT, listener.accept()).await {
        accept(state, connections, accepted).await;
    }
}

/// Closes connections that were idle for too long, and aborts those whose client does not complete a request
/// head, does not close after its last response, or does not read a streamed response.
fn sweep(state: &DataPlaneState, connections: &Connections) {
    let limits = state.client_limits();
    let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
    let header_timeout = Duration::from_millis(limits.header_timeout_ms);
    connections.close_idle(idle_timeout);
    for connection in connections.open.borrow().values() {
        let is_idle = connection.idle_since.get().is_some();
        let head_since = connection.heads.incomplete_since();
        let head_timed_out = head_since.is_some_and(|since| since.elapsed() >= header_timeout);
        let close_timed_out =
            connection.closing_since.get().is_some_and(|since| since.elapsed() >= header_timeout);
        let stream_timed_out =
            connection.response_deadline.borrow().as_ref().is_some_and(StreamDeadline::has_passed);
        if is_idle && (head_timed_out || close_timed_out) || stream_timed_out {
            connection.abort_requested.notify_one();
        }
    }
}

/// Serves an accepted connection in a task of its own, or rejects it if the maximum number of clients is
/// reached.
async fn accept(state: &Rc<DataPlaneState>, connections: &Rc<Connections>, accepted: Accepted) {
    let stream = match accepted {
        Ok((stream, _)) => stream,
        Err(error) => {
            connections.accept_error_log.warn(|| format!("cannot accept a client connection: {error}"));
            return sleep(ACCEPT_BACKOFF).await;
        }
    };
    if connections.open.borrow().len() >= state.max_clients {
        connections.evict();
        // Nothing was read from the connection, so that none of its requests has run.
        let _ = stream.try_write(REJECTION);
        return;
    }
    let number = connections.next_id.get();
    connections.next_id.set(number + 1);
    let connection = Rc::new(ConnectionState::new());
    connections.open.borrow_mut().insert(number, connection.clone());
    let (state, connections) = (state.clone(), connections.clone());
    spawn_local(async move {
        serve_connection(&state, stream, &connection).await;
        connections.open.borrow_mut().remove(&number);
    });
}
