//! The interface by which a node routes a request by its head, the routed request, and the error of a request
//! that is not accepted. Reads no body and sends nothing.

use crate::decision_loop::event::NodeEvent;
use crate::headers::CORRELATION;
use crate::telemetry::exchanges::ExchangeLabels;
use crate::telemetry::node_metrics::ClassMetrics;
use crate::telemetry::recorder::TraceLabels;
use crate::upstream::messages::BackendTimeouts;
use http_body_util::Full;
use http_forwarding::forward::{Forwarding, Hop};
use http_transport::body::MessageBody;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Response, StatusCode};
use join_up_to::{NewRequest, Repeat, ServerId};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Routes requests by their heads. If the router was replaced while the body of a request arrived, the new
/// router routes the head again.
pub trait RequestRouter {
    /// Routes a request.
    ///
    /// # Errors
    /// The request is not accepted, with the response that says why.
    fn route(&self, head: &Parts) -> Result<RoutedRequest, RequestError>;
    /// The precision of `Retry-After` in responses.
    fn retry_after_precision(&self) -> RetryAfterPrecision;
    /// The fallback response of a route, which replaces a rejection, if it has one.
    fn fallback(&self, _route: Option<usize>) -> Option<Response<MessageBody>> {
        None
    }
    /// The labels of a request in metrics and log lines, if the node reports single exchanges.
    fn exchange_labels(&self, _routed: &RoutedRequest) -> Option<ExchangeLabels> {
        None
    }
    /// The name of a backend that a request of this route was sent to.
    fn backend_name(&self, _route: Option<usize>, _backend: ServerId) -> Option<String> {
        None
    }
    /// Which fields about clients are forwarded to backends.
    fn forwarding(&self) -> &Forwarding;
    /// The labels of a request in a recorded trace.
    fn trace_labels(&self, routed: &RoutedRequest) -> TraceLabels;
}

/// The precision of `Retry-After`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfterPrecision {
    /// Rounded up to whole seconds, the form that HTTP defines.
    WholeSeconds,
    /// In seconds with decimals, for the platform's clients.
    Exact,
}

/// A limit and a tenant, by their indices in the operator's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionKey {
    /// The index of the limit.
    pub limit: usize,
    /// The index of the tenant; `None` if the file has no tenants.
    pub tenant: Option<usize>,
}

/// A switch of protocols that a request asks for and that is forwarded.
pub struct RequestedUpgrade {
    /// The value of `Upgrade`.
    pub protocol: HeaderValue,
    /// How long both sides may be silent after the switch.
    pub idle_timeout: Duration,
}

/// A request whose head was accepted.
pub struct RoutedRequest {
    /// The properties by which the balancer decides. Its id is set later.
    pub request: NewRequest,
    /// The id of the request, set by the client or generated. Ids of requests in flight are unique.
    pub correlation_id: HeaderValue,
    /// The channel of the task that balances it.
    pub events: mpsc::UnboundedSender<NodeEvent>,
    /// The path and query that are forwarded.
    pub target: PathAndQuery,
    /// Headers that replace those of the client when the request is forwarded.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The time-outs for a backend that makes no progress; `None` for the defaults of the cluster.
    pub timeouts: Option<BackendTimeouts>,
    /// The index of its route; `None` if the node has no routes.
    pub route: Option<usize>,
    /// The limit that applies to it; `None` if the node has no limits.
    pub admission: Option<AdmissionKey>,
    /// The switch of protocols that it asks for, if it does.
    pub upgrade: Option<RequestedUpgrade>,
    /// Whether and where it may be sent again, as its class says.
    pub repeat: Repeat,
    /// The maximum size, in bytes, of a body that is buffered so that it can be sent again.
    pub max_buffered_body: usize,
    /// The connection on which it was received; `None` if nothing about the client is forwarded.
    pub hop: Option<Hop>,
    /// The metrics of its class; `None` if the node counts none by class.
    pub metrics: Option<Rc<ClassMetrics>>,
}

/// The address of the client, as an extension of the request head.
#[derive(Clone, Copy, Debug)]
pub struct PeerAddress(pub SocketAddr);

/// Why a request is not accepted, and the response that says so. Says nothing about whether a retry is
/// harmless.
#[derive(Debug)]
pub struct RequestError {
    status: StatusCode,
    message: String,
    header: Option<(HeaderName, HeaderValue)>,
}

impl RequestError {
    /// An error with this status and message.
    pub fn new(status: StatusCode, message: impl Into<String>) -> Self {
        RequestError { status, message: message.into(), header: None }
    }

    /// The error of a malformed request.
    pub fn bad_request(message: impl Into<String>) -> Self {
        RequestError::new(StatusCode::BAD_REQUEST, message)
    }

    /// Adds a header to the response if `value` is given. Replaces a header added before.
    pub fn with_header(mut self, name: HeaderName, value: Option<HeaderValue>) -> Self {
        self.header = value.map(|value| (name, value));
        self
    }

    /// The status of the response.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// The response, with the message as its body.
    pub fn into_response(self) -> Response<MessageBody> {
        let mut response = Response::new(Full::from(self.message + "\n").into());
        *response.status_mut() = self.status;
        response.headers_mut().extend(self.header);
        response
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for RequestError {}

/// Returns the value of a header as text; `None` if the head has no such header.
///
/// # Errors
/// The value is not visible ASCII text.
pub fn header_text<'h>(head: &'h Parts, name: &HeaderName) -> Result<Option<&'h str>, RequestError> {
    match head.headers.get(name).map(HeaderValue::to_str) {
        None => Ok(None),
        Some(Ok(text)) => Ok(Some(text)),
        Some(Err(_)) => Err(RequestError::bad_request(format!("{name}: not a text"))),
    }
}

/// Returns the id that the client has given the request; `None` if it is missing or empty.
///
/// # Errors
/// The id is not visible ASCII text.
pub fn client_request_id(head: &Parts) -> Result<Option<HeaderValue>, RequestError> {
    let is_given = header_text(head, &CORRELATION)?.is_some_and(|id| !id.is_empty());
    Ok(head.headers.get(&CORRELATION).filter(|_| is_given).cloned())
}

/// Derives the affinity key from the subject of a request. Never 0, which means that a request has none.
pub fn affinity_key(subject: &str) -> u64 {
    u64::from_str_radix(subject, 16).unwrap_or_else(|_| ServerId::named(subject).0).max(1)
}
