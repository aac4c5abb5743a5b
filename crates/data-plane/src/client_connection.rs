//! One client's connection: serves HTTP/1.1 until it ends, and closes it without losing the last response.

use crate::request_handler::handle;
use crate::state::DataPlaneState;
use http_forwarding::framing::LineEndings;
use http_transport::client_connections::ConnectionState;
use http_transport::read_ahead::wait_for_disconnect;
use http_transport::request_heads::MonitoredClientStream;
use http_transport::shared_stream::SharedStream;
use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long the node waits after the last response for the client to close. A reset could destroy that
/// response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(250);
/// How many bytes after the last request are read and discarded at a time.
const DISCARD_BYTES: usize = 16 << 10;
/// The smallest limit on a head that hyper accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Serves one connection until it ends. If the client closes it while a response is pending, that is detected
/// at once and the work on the response is dropped.
pub async fn serve_connection(
    state: &Rc<DataPlaneState>,
    stream: TcpStream,
    connection: &Rc<ConnectionState>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("client socket: cannot set TCP_NODELAY: {error}");
    }
    let service = service_fn(|request: Request<Incoming>| {
        let (state, connection) = (state.clone(), connection.clone());
        async move { Ok::<_, Infallible>(handle(&state, &connection, request).await) }
    });
    let socket = SharedStream::new(stream);
    let io = TokioIo::new(MonitoredClientStream::new(
        socket.clone(),
        connection.heads.clone(),
        LineEndings::Strict,
    ));
    let max_head_bytes = (state.client_limits().max_header_bytes as usize).max(MIN_HEAD_BYTES);
    let mut builder = hyper::server::conn::http1::Builder::new();
    let mut served = builder.max_buf_size(max_head_bytes).serve_connection(io, service);
    let mut closed_while_idle = false;
    {
        let mut disconnected = pin!(wait_for_disconnect(&socket, connection, &state.body_memory_kib));
        loop {
            tokio::select! {
                end = &mut served => match end {
                    Ok(()) => break,
                    Err(error) => return log::debug!("client connection failed: {error}"),
                },
                () = &mut disconnected => return log::debug!("client disconnected"),
                // Unread bytes are a request that would be lost. It is served as the last one on the
                // connection.
                () = connection.close_requested.notified() => if !socket.has_unread() {
                    closed_while_idle = connection.idle_since.get().is_some();
                    std::pin::Pin::new(&mut served).graceful_shutdown();
                },
                () = connection.abort_requested.notified() => {
                    return log::debug!("client connection timed out");
                }
            }
        }
    }
    drop(served);
    linger(&socket, closed_while_idle).await;
}

/// Discards what the client still sends until it closes the connection. Closing a socket with unread bytes
/// resets the connection, by which the client may lose the last response.
async fn linger(socket: &SharedStream, closed_while_idle: bool) {
    let _ = timeout(LINGER_TIMEOUT, async {
        while !closed_while_idle && socket.wait_for_unread().await {
            socket.discard(DISCARD_BYTES);
        }
        socket.wait_for_close().await;
    })
    .await;
}
