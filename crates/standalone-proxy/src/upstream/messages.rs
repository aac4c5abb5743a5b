//! The data of an exchange: the request to a backend, its response, and the result of an attempt. Contains no
//! logic.

use bytes::Bytes;
use http_transport::body::{DEFAULT_MAX_GAP, Download, Upload};
use http_transport::send_permit::CancellationFlag;
use http_transport::tunnel::Tunnel;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, StatusCode};
use join_up_to::{LoadReport, Outcome, ServerId, Settings};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum size of a body, in bytes, that the platform's node forwards in either direction. Guards
/// against responses of gigabytes.
pub const MAX_FORWARDED_BODY: u64 = 40 << 20;

/// What is sent to a backend: a client's request with the headers that are forwarded.
#[derive(Debug)]
pub struct BackendRequest {
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub target: PathAndQuery,
    /// The headers, without those that differ between attempts.
    pub headers: HeaderMap,
    /// The body if it is buffered, else empty.
    pub body: Bytes,
    /// The body if it is too large to be buffered.
    pub upload: Option<Rc<Upload>>,
    /// The time-outs for a backend that makes no progress; `None` for the defaults of the cluster.
    pub timeouts: Option<BackendTimeouts>,
    /// How long the connection may be idle after a switch of protocols; `None` if the request asks for no
    /// switch.
    pub upgrade_idle_timeout: Option<Duration>,
    /// Counts the attempts whose last byte was written.
    pub sent_count: Option<Rc<Cell<u64>>>,
    /// Set once the client has its response or has disconnected: no further attempt starts afterwards.
    pub cancellation: CancellationFlag,
}

/// How long to wait for a backend that makes no progress.
#[derive(Clone, Copy, Debug)]
pub struct BackendTimeouts {
    /// For a connection to be established.
    pub connect: Duration,
    /// For the next bytes of a response that has begun and is not streamed.
    pub stall: Duration,
    /// For the next bytes of a streamed response.
    pub max_gap: Duration,
    /// For the end of a streamed response, from its head on; `None` for no limit.
    pub max_stream: Option<Duration>,
    /// How long a response of unknown length may pause before the part that has arrived is streamed; `None`
    /// for no limit before the deadline of the attempt.
    pub max_buffer_pause: Option<Duration>,
}

/// The connect time-out is at most the latency target divided by this, whatever `ConnectTimeout` is. That
/// leaves time for three more attempts.
const CONNECT_DIVISOR: u32 = 4;

impl BackendTimeouts {
    /// The time-outs for requests with this latency target. Guards against machines that never respond: a
    /// request that waited for one until its own deadline would have no time for another attempt.
    pub fn for_target(latency_target: Duration, settings: &Settings) -> Self {
        let timeout = settings.limits.connect_timeout.min(latency_target / CONNECT_DIVISOR);
        BackendTimeouts {
            connect: timeout,
            stall: timeout,
            max_gap: DEFAULT_MAX_GAP,
            max_stream: None,
            max_buffer_pause: None,
        }
    }
}

/// The deadlines of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptDeadlines {
    /// The time by which the last byte of the request must be written; after that no more of it is sent. A
    /// backend counts the window of an idempotency key from the last byte on, and may have forgotten the key
    /// afterwards.
    pub request_sent: Instant,
    /// The time by which the response must have arrived.
    pub response: Instant,
}

/// The properties of a request that its exchange depends on.
#[derive(Clone, Copy)]
pub struct ExchangeSpec<'p> {
    /// Whether the request is a `HEAD` request, whose response has no body.
    pub head_only: bool,
    /// The size of the body in bytes if it is buffered, else 0.
    pub body_size: usize,
    /// The body if it is streamed.
    pub upload: Option<&'p Rc<Upload>>,
    /// As in [`BackendRequest`].
    pub upgrade_idle_timeout: Option<Duration>,
    /// As in [`BackendRequest`].
    pub sent_count: Option<&'p Rc<Cell<u64>>>,
    /// The deadlines of the attempt.
    pub deadlines: AttemptDeadlines,
    /// The time-outs of the steps of the exchange.
    pub timeouts: BackendTimeouts,
}

/// A backend's response to a request.
#[derive(Debug)]
pub struct BackendResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: ResponseBody,
    /// The backend that sent it.
    pub backend: ServerId,
    /// The number of attempts of the request, including this one.
    pub attempts: u32,
}

impl BackendResponse {
    /// The response to a first attempt.
    pub fn new(backend: ServerId, head: Parts, body: ResponseBody) -> Self {
        BackendResponse { status: head.status, headers: head.headers, body, backend, attempts: 1 }
    }
}

/// The body of a backend's response.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body.
    Buffered(Bytes),
    /// A body that is streamed as it arrives.
    Streaming(Box<Download>),
    /// The connection has switched to another protocol.
    Tunnel(Box<Tunnel>),
}

/// How an attempt or a health check ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The load that the backend reported, if it did.
    pub load_report: Option<LoadReport>,
    /// The response if the outcome is [`Outcome::Served`], or an error response where these are forwarded
    /// too.
    pub response: Option<BackendResponse>,
}

impl AttemptResult {
    /// A result without a response.
    pub fn without_response(outcome: Outcome) -> Self {
        AttemptResult { outcome, load_report: None, response: None }
    }
}
