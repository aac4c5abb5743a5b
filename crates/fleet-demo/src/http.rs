//! HTTP/1.1 calls and servers for tasks of a single thread.

use crate::DemoError;
use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};

/// The time-out of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest number of response frames that are buffered before the sender has to wait.
const MAX_BUFFERED_FRAMES: usize = 16;

/// The client's end of a connection.
pub type Connection = SendRequest<Full<Bytes>>;

/// A complete response.
#[derive(Debug)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Bytes,
}

/// Opens a connection.
pub async fn connect(peer: SocketAddrV4) -> Result<Connection, DemoError> {
    const STEP: &str = "connect to";
    let io_error = |error| DemoError::PeerIo(STEP, peer, error);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await;
    let stream = stream.map_err(|_| DemoError::PeerTimeout(STEP, peer))?.map_err(io_error)?;
    stream.set_nodelay(true).map_err(io_error)?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| DemoError::PeerHttp(STEP, peer, error))?;
    // The error is ignored: a failed connection shows in its responses.
    spawn_local(async move { drop(connection.await) });
    Ok(sender)
}

/// Sends a request on a connection of its own and reads the complete response.
pub async fn call(
    peer: SocketAddrV4,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Reply, DemoError> {
    const STEP: &str = "call";
    let http_error = |error| DemoError::PeerHttp(STEP, peer, error);
    let exchange = async {
        let mut connection = connect(peer).await?;
        let response = connection.send_request(request).await.map_err(http_error)?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.map_err(http_error)?;
        Ok(Reply { status, body: body.to_bytes() })
    };
    let reply = tokio::time::timeout(timeout, exchange).await;
    reply.unwrap_or(Err(DemoError::PeerTimeout(STEP, peer)))
}

/// A `GET` without a body.
pub fn get(host: SocketAddrV4, path: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    if let Ok(host) = host.to_string().parse() {
        request.headers_mut().insert("host", host);
    }
    request
}

/// A streamed body: frames are sent as they are produced.
pub struct Frames(mpsc::Receiver<Bytes>);

impl Frames {
    /// A body, and the sender of its frames.
    pub fn new() -> (mpsc::Sender<Bytes>, Frames) {
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_FRAMES);
        (sender, Frames(receiver))
    }
}

impl Body for Frames {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(context).map(|bytes| bytes.map(|bytes| Ok(Frame::data(bytes))))
    }
}

/// A response of a test server, with a body in one piece or in frames.
pub type ServerResponse = Response<Either<Full<Bytes>, Frames>>;

/// Completes a response.
pub fn finish(head: hyper::http::response::Builder, body: Either<Full<Bytes>, Frames>) -> ServerResponse {
    // Building fails only with an invalid header field, which no test server sets.
    head.body(body).unwrap_or_else(|_| Response::new(Either::Left(Full::default())))
}

/// Serves the connections of a listener until the returned handle is aborted, which also closes the
/// connections.
pub fn serve<S, F>(listener: TcpListener, service: S) -> AbortHandle
where
    S: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = ServerResponse> + 'static,
{
    let accepting = async move {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        connections.spawn_local(serve_one(stream, service.clone()));
                    }
                }
                Some(_) = connections.join_next() => {}
            }
        }
    };
    spawn_local(accepting).abort_handle()
}

async fn serve_one<S, F>(stream: TcpStream, service: S)
where
    S: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = ServerResponse> + 'static,
{
    // An error is ignored: it only makes responses slower.
    let _ = stream.set_nodelay(true);
    let service = hyper::service::service_fn(move |request| {
        let response = service(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    // An error is ignored: clients may disconnect at any time.
    let _ = connection.await;
}
