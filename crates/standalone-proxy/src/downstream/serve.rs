//! Accepts clients' connections and serves each of them to its end.

use crate::downstream::request::respond;
use crate::downstream::request_router::{PeerAddress, RequestError};
use crate::downstream::state::DownstreamState;
use crate::headers::MAX_HEAD_SIZE;
use http_transport::body::MessageBody;
use http_transport::client_connections::{BusyGuard, ConnectionState};
use http_transport::listeners::Listeners;
use http_transport::read_ahead::{READ_AHEAD_SIZE, wait_for_disconnect};
use http_transport::request_heads::MonitoredClientStream;
use http_transport::shared_stream::SharedStream;
use http_transport::tunnel;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tracing::{debug, info};

/// A connection that has been idle for this long is closed.
const MAX_IDLE: Duration = Duration::from_secs(75);
/// How often connections are checked for being idle or stuck.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// How long the node continues to accept connections after a termination signal.
const ACCEPT_GRACE: Duration = Duration::from_millis(500);
/// How long a connection may be idle during that time.
const MAX_IDLE_DURING_GRACE: Duration = Duration::from_millis(500);
/// How often connections are checked during that time.
const GRACE_SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// How long a connection may be idle once no further one is accepted. A client that connected to send a
/// request has sent it by then. The time is short so that requests that still arrive are answered before the
/// process is killed.
const MAX_IDLE_AFTER_GRACE: Duration = Duration::from_millis(100);
/// How often the node checks whether all connections have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long one step waits for a slot or for a connection to accept.
const ACCEPT_STEP: Duration = Duration::from_millis(5);
/// The pause after a connection that could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// How long the node waits for a client to close its connection after the last response. Guards that response
/// against a reset.
const LINGER: Duration = Duration::from_millis(250);

/// Logged when a connection is aborted by `Connections::sweep` or `Connections::evict`.
const DROPPED: &str =
    "client connection dropped: stuck, past its deadline, or silent while connections are scarce";

/// Accepts connections, at most `max_clients` at a time, until `end` resolves and all requests are answered.
/// The limit keeps descriptors free for backends and discovery. Once it is reached, an idle connection is
/// closed for a new one, which waits if none is idle.
pub async fn serve(
    state: Rc<DownstreamState>,
    listeners: Rc<Listeners>,
    max_clients: usize,
    end: impl Future<Output = ()>,
) {
    let slots = Arc::new(Semaphore::new(max_clients));
    let mut end = pin!(end);
    let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        tokio::select! {
            biased;
            () = &mut end => break,
            _ = sweep.tick() => state.connections.sweep(MAX_IDLE),
            accepted = accept(&state, &listeners, &slots) => spawn_connection(&state, accepted),
            // Polled last: reached only if no connection waits to be accepted or there is no slot for one.
            () = state.stalls.wait_for_pending_accepts() => state.stalls.mark_all_accepted(),
        }
    }
    info!("shutting down: {} connections open", state.connections.open.borrow().len());
    state.shutting_down.set(true);
    let stream_deadline = state.stream_grace.get().map(|grace| Instant::now() + grace);
    // If a successor process has the same sockets, it accepts the new connections.
    if !listeners.is_paused() {
        accept_during_grace(&state, &listeners, &slots).await;
    }
    listeners.close();
    while !state.connections.open.borrow().is_empty() {
        state.connections.sweep(MAX_IDLE_AFTER_GRACE);
        stream_deadline.into_iter().for_each(|deadline| state.connections.limit_streams(deadline));
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    info!("all requests are answered");
}

/// Continues to accept connections for a while: clients may be connecting, and no other process accepts them.
async fn accept_during_grace(state: &Rc<DownstreamState>, listeners: &Listeners, slots: &Arc<Semaphore>) {
    let deadline = Instant::now() + ACCEPT_GRACE;
    let mut sweep = tokio::time::interval(GRACE_SWEEP_INTERVAL);
    loop {
        tokio::select! {
            biased;
            () = sleep_until(deadline) => break,
            _ = sweep.tick() => state.connections.sweep(MAX_IDLE_DURING_GRACE),
            accepted = accept(state, listeners, slots) => spawn_connection(state, accepted),
            () = state.stalls.wait_for_pending_accepts() => state.stalls.mark_all_accepted(),
        }
    }
    // Connections in the system's queue are served too, as long as slots become free in time.
    while let Ok(accepted) = timeout(ACCEPT_STEP, accept(state, listeners, slots)).await {
        spawn_connection(state, accepted);
    }
}

/// An accepted connection, and its slot in the limit of client connections.
struct AcceptedConnection {
    stream: TcpStream,
    slot: OwnedSemaphorePermit,
}

async fn accept(
    state: &DownstreamState,
    listeners: &Listeners,
    slots: &Arc<Semaphore>,
) -> AcceptedConnection {
    loop {
        // Accepts only once there is a slot, so that no connection is lost if this future is dropped.
        let slot = match slots.clone().try_acquire_owned() {
            Ok(slot) => slot,
            Err(_) => {
                state.connections.evict();
                let waited = timeout(ACCEPT_STEP, slots.clone().acquire_owned()).await;
                let Ok(Ok(slot)) = waited else { continue };
                slot
            }
        };
        match listeners.accept().await {
            Ok(stream) => return AcceptedConnection { stream, slot },
            Err(e) => {
                let log = &state.connections.accept_error_log;
                log.warn(|| format!("cannot accept a client connection: {e}"));
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

fn spawn_connection(state: &Rc<DownstreamState>, accepted: AcceptedConnection) {
    let connections = &state.connections;
    let id = connections.next_id.get();
    connections.next_id.set(id + 1);
    let connection = Rc::new(ConnectionState::new());
    connections.open.borrow_mut().insert(id, connection.clone());
    let state = state.clone();
    spawn_local(async move {
        serve_connection(&state, accepted.stream, &connection).await;
        state.connections.open.borrow_mut().remove(&id);
        drop(accepted.slot);
    });
}

/// Serves one connection to its end. hyper continues to read while a response is pending, so that a
/// disconnect ends this and drops the future of the response, which notifies the node.
async fn serve_connection(state: &Rc<DownstreamState>, stream: TcpStream, connection: &Rc<ConnectionState>) {
    let peer = stream.peer_addr().ok().map(PeerAddress);
    if let Err(e) = stream.set_nodelay(true) {
        debug!("client connection: cannot set TCP_NODELAY: {e}");
    }
    let service = service_fn(|mut request: Request<Incoming>| {
        let (state, connection) = (state.clone(), connection.clone());
        if let Some(peer) = peer {
            request.extensions_mut().insert(peer);
        }
        async move { Ok::<_, Infallible>(serve_request(&state, request, &connection).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    let socket = SharedStream::new(stream);
    let line_endings = state.line_endings.get();
    let io = TokioIo::new(MonitoredClientStream::new(socket.clone(), connection.heads.clone(), line_endings));
    let mut served = builder.max_buf_size(MAX_HEAD_SIZE).serve_connection(io, service);
    let mut unread_input = UnreadInput::Discard;
    {
        let mut disconnect = pin!(wait_for_disconnect(&socket, connection, &state.body_memory_kib));
        loop {
            tokio::select! {
                end = &mut served => match end {
                    Ok(()) => break,
                    Err(e) => return debug!("client connection failed: {e}"),
                },
                () = &mut disconnect => {
                    return debug!("client connection: closed by the client before the response");
                }
                // A request that has arrived and is unread would be lost by a close. It is answered, as the
                // last one on the connection.
                () = connection.close_requested.notified() => if !socket.has_unread() {
                    let is_idle = connection.idle_since.get().is_some();
                    unread_input = if is_idle { UnreadInput::Leave } else { UnreadInput::Discard };
                    std::pin::Pin::new(&mut served).graceful_shutdown();
                },
                () = connection.abort_requested.notified() => return debug!("{DROPPED}"),
            }
        }
    }
    // HTTP may have ended because the connection has switched to another protocol.
    let tunnel = connection.tunnel.take();
    let read_buf = served.into_parts().read_buf;
    if let Some(tunnel) = tunnel {
        let Some((stream, ahead)) = socket.into_stream() else { return };
        let received = [read_buf, ahead].concat().into();
        tokio::select! {
            () = tunnel::relay((stream, received), *tunnel) => {}
            () = connection.abort_requested.notified() => debug!("{DROPPED}"),
        }
        return;
    }
    linger(&socket, unread_input).await;
}

/// What happens to input that arrives after HTTP has ended on a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum UnreadInput {
    /// It is read and discarded.
    Discard,
    /// It is not read: the connection was closed between requests, and the client will retry on another one.
    Leave,
}

/// Waits for a client to close its connection, after the node has closed its sending side. If the node closed
/// the socket with input unread or in flight, the system would reset the connection, and the client would
/// lose the unread part of its response.
async fn linger(socket: &SharedStream, unread_input: UnreadInput) {
    let _ = timeout(LINGER, async {
        while unread_input == UnreadInput::Discard && socket.wait_for_unread().await {
            socket.discard(READ_AHEAD_SIZE);
        }
        socket.wait_for_close().await;
    })
    .await;
}

/// Answers a request, and decides whether it is the last one on its connection.
async fn serve_request(
    state: &Rc<DownstreamState>,
    request: Request<Incoming>,
    connection: &Rc<ConnectionState>,
) -> Response<MessageBody> {
    let busy = BusyGuard::new(connection);
    let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let response = match connection.heads.fault() {
        Some(fault) => {
            let status = StatusCode::from_u16(fault.status()).unwrap_or(StatusCode::BAD_REQUEST);
            Err(RequestError::new(status, fault.to_string()))
        }
        None => respond(state, request, connection).await,
    };
    // A request that arrived while its connection was being closed is the last one on it.
    let is_last = state.shutting_down.get() || connection.closing_since.get().is_some();
    // The connection is also closed after a request that was not accepted, as the start of the next one is
    // uncertain, and after a chunked one, as heads are not monitored behind it.
    let close = is_last || is_chunked || response.is_err();
    let mut response = response.unwrap_or_else(RequestError::into_response);
    if close && response.status() != StatusCode::SWITCHING_PROTOCOLS {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    attach_to_connection(&mut response, connection, busy);
    response
}

/// Marks the connection as busy until a streamed response or a tunnel has ended.
fn attach_to_connection(response: &mut Response<MessageBody>, connection: &ConnectionState, busy: BusyGuard) {
    match response.body_mut() {
        MessageBody::Download(body) => {
            connection.response_deadline.replace(Some(body.deadline.clone()));
            body.attach_guard(busy);
        }
        MessageBody::Tunnel(tunnel) => {
            if let Some(mut tunnel) = tunnel.take() {
                connection.response_deadline.replace(Some(tunnel.deadline.clone()));
                tunnel.guards.push(Box::new(busy));
                connection.tunnel.replace(Some(tunnel));
            }
        }
        _ => {}
    }
}
