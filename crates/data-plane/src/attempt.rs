//! One attempt: sends a request to one backend and receives the head of the response, or determines what a
//! failure proves about the execution of the request.

use crate::backend::{Backend, Connection, IdleLookup};
use crate::header_names::{DEADLINE, EXPECTED_INSTANCE, LOAD, NOT_EXECUTED, REQUEST_ID};
use crate::retry_safety::{AttemptEnd, ExecutionEvidence, RequestBytes, ResponseOwner, execution_evidence};
use crate::state::DataPlaneState;
use bytes::Bytes;
use http_body_util::Full;
use http_transport::response_framing::validate_framing;
use http_transport::send_permit::{CancellationFlag, SendPermit};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, StatusCode, Uri};
use routing::Load;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// How many times an attempt waits for the reuse delay of an idle connection before it opens a new one.
const MAX_IDLE_WAITS: u32 = 2;
/// How many idle connections may turn out to be closed before the attempt fails.
const MAX_STALE_CONNECTIONS: u32 = 8;
/// The deadline given to a backend is earlier than the client's by this much, so that a rejection arrives in
/// time.
const BACKEND_DEADLINE_MARGIN: Duration = Duration::from_millis(35);

/// A client's request as one attempt sends it to a backend.
pub struct BackendRequest<'r> {
    /// The method of the client's request.
    pub method: &'r Method,
    /// The path and query of the client's request.
    pub target: &'r PathAndQuery,
    /// All headers but those that are added on sending: the expected instance and the deadline.
    pub headers: &'r HeaderMap,
    /// The complete body; requests are buffered before they are forwarded.
    pub body: &'r Bytes,
    /// The time at which the client stops waiting for a response.
    pub client_deadline: Instant,
    /// When the attempt is abandoned. Not after `client_deadline`.
    pub attempt_deadline: Instant,
}

/// A response whose head has arrived.
pub struct BackendResponse {
    /// The status that the backend sent.
    pub status: StatusCode,
    /// The headers except the one that reports the backend's load.
    pub headers: HeaderMap,
    /// The body, of which nothing was read yet.
    pub body: Incoming,
    /// The connection on which the body arrives.
    pub connection: Connection,
    /// The load of the backend; `None` if the head does not state it.
    pub load: Option<Load>,
    /// What the response proves about the execution of the request.
    pub evidence: ExecutionEvidence,
}

/// The result of an attempt.
pub enum AttemptResult {
    /// The head of a response has arrived; its body has not been read.
    Response(Box<BackendResponse>),
    /// No usable response arrived; the value is what that proves about the execution of the request.
    Failed(ExecutionEvidence),
}

/// Sends a request on an idle connection, or on a new one if fewer than `max_connections` are open to the
/// backend.
pub async fn send(
    backend: &Backend,
    max_connections: usize,
    state: &DataPlaneState,
    request: &BackendRequest<'_>,
) -> AttemptResult {
    let serving = backend.serving.clone();
    let permit =
        SendPermit { deadline: request.attempt_deadline, cancellation: CancellationFlag::default(), serving };
    let (mut idle_waits, mut stale_connections) = (0, 0);
    while permit.is_valid() && stale_connections < MAX_STALE_CONNECTIONS {
        let (connection, is_reused) = match backend.take_idle() {
            IdleLookup::Ready(connection) => (connection, true),
            IdleLookup::ReadyAt(at) if idle_waits < MAX_IDLE_WAITS => {
                idle_waits += 1;
                sleep_until(at).await;
                continue;
            }
            _ => match open_connection(backend, max_connections, state).await {
                Some(connection) => (connection, false),
                None => return AttemptResult::Failed(ExecutionEvidence::NotWritten),
            },
        };
        if !permit.is_valid() {
            backend.store_unused(connection);
            return AttemptResult::Failed(ExecutionEvidence::NotWritten);
        }
        match send_on(connection, &permit, backend, request).await {
            Some(result) => return result,
            // The backend closed the connection while it was idle, which is no sign of a failure.
            None if is_reused => stale_connections += 1,
            None => return AttemptResult::Failed(ExecutionEvidence::NotWritten),
        }
    }
    AttemptResult::Failed(ExecutionEvidence::NotWritten)
}

async fn open_connection(
    backend: &Backend,
    max_connections: usize,
    state: &DataPlaneState,
) -> Option<Connection> {
    if backend.open_connections() >= max_connections || !state.make_connection_capacity() {
        let open = backend.open_connections();
        log::debug!(
            "backend {}: no capacity for a connection: {open} of {max_connections} are open there",
            backend.id.0
        );
        return None;
    }
    match backend.connect(&state.connection_limit).await {
        Ok(connection) => Some(connection),
        Err(error) => {
            log::debug!("backend {}: cannot connect to {}: {error}", backend.id.0, backend.address);
            None
        }
    }
}

/// Sends the request on a connection. `None` if the connection was closed before anything was written.
async fn send_on(
    mut connection: Connection,
    permit: &SendPermit,
    backend: &Backend,
    request: &BackendRequest<'_>,
) -> Option<AttemptResult> {
    let progress = connection.progress.clone();
    progress.begin(request.body.len(), None);
    progress.set_permit(permit.clone());
    let response = tokio::select! {
        biased;
        response = connection.sender.send_request(http_request(backend, request)) => response,
        () = sleep_until(request.attempt_deadline) => {
            let written = match progress.is_untouched() {
                true => RequestBytes::NoneWritten,
                false => RequestBytes::SomeWritten,
            };
            return Some(AttemptResult::Failed(execution_evidence(written, AttemptEnd::TimedOut)));
        }
    };
    match response {
        Ok(response) => Some(read_head(response, connection, backend, request)),
        Err(_) if progress.is_untouched() => None,
        Err(error) => {
            log::debug!("backend {}: connection failed during a request: {error}", backend.id.0);
            let evidence = execution_evidence(RequestBytes::SomeWritten, AttemptEnd::ConnectionBroken);
            Some(AttemptResult::Failed(evidence))
        }
    }
}

fn http_request(backend: &Backend, request: &BackendRequest<'_>) -> Request<Full<Bytes>> {
    let mut http_request = Request::new(Full::new(request.body.clone()));
    *http_request.method_mut() = request.method.clone();
    *http_request.uri_mut() = Uri::from(request.target.clone());
    let mut headers = request.headers.clone();
    headers.insert(EXPECTED_INSTANCE, backend.instance_header.clone());
    let remaining = request.client_deadline.saturating_duration_since(Instant::now());
    let remaining = remaining.saturating_sub(BACKEND_DEADLINE_MARGIN);
    headers.insert(DEADLINE, HeaderValue::from(remaining.as_millis().max(1) as u64));
    *http_request.headers_mut() = headers;
    http_request
}

fn read_head(
    response: Response<Incoming>,
    connection: Connection,
    backend: &Backend,
    request: &BackendRequest<'_>,
) -> AttemptResult {
    let (mut head, body) = response.into_parts();
    let load = head.headers.remove(LOAD).and_then(|value| parse_load(value.to_str().ok()?));
    let owner = response_owner(&head.headers, request);
    let not_executed = head.headers.contains_key(NOT_EXECUTED);
    let end = AttemptEnd::Response { status: head.status, not_executed, owner };
    let evidence = execution_evidence(RequestBytes::SomeWritten, end);
    let may_have_run = evidence == ExecutionEvidence::MayHaveRun;
    // A backend that rejects a request it could not parse does not know the request's id.
    if owner == ResponseOwner::OtherRequest || (owner == ResponseOwner::Unknown && may_have_run) {
        log::warn!("backend {}: the request id in a response is wrong or missing: {owner:?}", backend.id.0);
        return AttemptResult::Failed(ExecutionEvidence::MayHaveRun);
    }
    let has_no_body = *request.method == Method::HEAD
        || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if let Some(error) = validate_framing(&head.headers).err().filter(|_| !has_no_body && may_have_run) {
        log::warn!("backend {}: invalid framing of a response: {error}", backend.id.0);
        return AttemptResult::Failed(ExecutionEvidence::MayHaveRun);
    }
    let (status, headers) = (head.status, head.headers);
    AttemptResult::Response(Box::new(BackendResponse { status, headers, body, connection, load, evidence }))
}

/// Determines which request a response belongs to. A request without an id owns any response.
fn response_owner(headers: &HeaderMap, request: &BackendRequest<'_>) -> ResponseOwner {
    match (headers.get(REQUEST_ID), request.headers.get(REQUEST_ID)) {
        (_, None) => ResponseOwner::ThisRequest,
        (None, Some(_)) => ResponseOwner::Unknown,
        (Some(received), Some(expected)) if received == expected => ResponseOwner::ThisRequest,
        (Some(_), Some(_)) => ResponseOwner::OtherRequest,
    }
}

/// Parses `running,waiting,slots`.
fn parse_load(text: &str) -> Option<Load> {
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    let mut next = || numbers.next().flatten();
    Some(Load { running: next()?, waiting: next()?, slots: next()? })
}
