//! Forwards a backend's response to the client: buffered if it is short, streamed otherwise, and resumed at
//! another backend if a stream breaks off.

use crate::backend::{Backend, Connection};
use crate::event_stream::EventSplitter;
use crate::request_attempts::{RequestAttempts, StartedResponse};
use crate::request_error::RequestError;
use crate::response_body::{ChunkSender, ResponseBody, TruncatedBody};
use crate::service::InFlightAttempt;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use http_forwarding::forward::strip_hop_by_hop;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap};
use hyper::{Method, Response, StatusCode};
use routing::{Load, Outcome};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The largest response that is buffered until it is complete, in bytes. A larger one is streamed.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// How long after the client's deadline a stream that is not complete is cut off.
const STREAM_CUT_DELAY: Duration = Duration::from_millis(120);
/// Statuses from which a client may conclude that its request has not run.
const NOT_EXECUTED_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Makes attempts until there is a response for the client.
///
/// # Errors
/// No backend gave a response that could be forwarded.
pub async fn respond(mut attempts: RequestAttempts) -> Result<Response<ResponseBody>, RequestError> {
    loop {
        let started = attempts.next_response(None).await?;
        if let Some(response) = read_start(&mut attempts, started).await? {
            return Ok(response.into_response(attempts));
        }
    }
}

/// The body of a backend's response, with what is needed to end the attempt.
struct BackendStream {
    body: Incoming,
    headers: HeaderMap,
    connection: Connection,
    backend: Rc<Backend>,
    attempt: InFlightAttempt,
    load: Option<Load>,
    events: Option<EventSplitter>,
}

/// A response of which enough was read to start forwarding it.
struct ResponseStart {
    status: StatusCode,
    headers: HeaderMap,
    body: StartedBody,
}

enum StartedBody {
    Complete(Bytes),
    /// The first bytes, and the stream of the others.
    Streaming(Bytes, Box<BackendStream>),
}

/// The result of reading from a backend's body.
enum ReadResult {
    /// Bytes to forward; empty if they do not complete an event.
    Data(Bytes),
    Complete,
    /// The connection failed before the body was complete.
    Broken,
    /// The deadline passed before the body was complete.
    TimedOut,
}

/// Reads a body until it is complete, or until it has to be streamed. `None` if the connection failed, after
/// which the caller may make another attempt.
async fn read_start(
    attempts: &mut RequestAttempts,
    started: StartedResponse,
) -> Result<Option<ResponseStart>, RequestError> {
    let status = started.response.status;
    let is_streamed = status.is_success() && is_event_stream(&started.response.headers);
    let implies_not_executed = NOT_EXECUTED_STATUSES.contains(&status);
    let events = (is_streamed && attempts.may_resume()).then(EventSplitter::default);
    let mut stream = BackendStream::new(started, events);
    let headers = stream.headers.clone();
    let mut buffered = BytesMut::new();
    loop {
        match stream.read(attempts.response_deadline()).await {
            ReadResult::Data(bytes) => buffered.extend_from_slice(&bytes),
            ReadResult::Complete => {
                buffered.extend_from_slice(&stream.take_partial_event());
                stream.finish(status);
                break;
            }
            ReadResult::Broken => {
                stream.attempt.end(Outcome::Broken, None);
                // The next call of `next_response` decides whether another attempt may be made.
                return Ok(None);
            }
            ReadResult::TimedOut => {
                stream.attempt.end(Outcome::Broken, None);
                return Err(RequestError::BackendTimeout);
            }
        }
        let is_large = buffered.len() > MAX_BUFFERED_BYTES;
        if !buffered.is_empty() && (is_streamed || is_large) && !implies_not_executed {
            let body = StartedBody::Streaming(buffered.freeze(), Box::new(stream));
            return Ok(Some(ResponseStart { status, headers, body }));
        }
    }
    // The client would conclude that its request has not run, which the backend has not proved.
    if implies_not_executed && !attempts.request.is_idempotent() {
        return Err(RequestError::BackendFailed);
    }
    Ok(Some(ResponseStart { status, headers, body: StartedBody::Complete(buffered.freeze()) }))
}

impl ResponseStart {
    fn into_response(self, attempts: RequestAttempts) -> Response<ResponseBody> {
        let mut headers = self.headers;
        // hyper sets the length itself, except for HEAD: there it is the length that the body would have.
        let is_head = attempts.request.method == Method::HEAD;
        let length = headers.remove(header::CONTENT_LENGTH).filter(|_| is_head);
        let body = match self.body {
            StartedBody::Complete(bytes) => ResponseBody::buffered(bytes),
            StartedBody::Streaming(first, stream) => {
                let deadline = attempts.request.deadline + STREAM_CUT_DELAY;
                ResponseBody::streamed(deadline, |client| forward_body(attempts, *stream, first, client))
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = strip_hop_by_hop(headers);
        response.headers_mut().extend(length.map(|length| (header::CONTENT_LENGTH, length)));
        response
    }
}

/// Forwards a body as it arrives. If it breaks off, resumes it at another backend or truncates the response.
async fn forward_body(
    mut attempts: RequestAttempts,
    mut stream: BackendStream,
    first: Bytes,
    client: ChunkSender,
) {
    if client.send(Ok(first)).await.is_err() {
        return;
    }
    let deadline = attempts.request.deadline + STREAM_CUT_DELAY;
    loop {
        match stream.read(deadline).await {
            ReadResult::Data(bytes) if bytes.is_empty() => {}
            ReadResult::Data(bytes) => {
                if client.send(Ok(bytes)).await.is_err() {
                    return;
                }
            }
            ReadResult::Complete => {
                let partial = stream.take_partial_event();
                if !partial.is_empty() && client.send(Ok(partial)).await.is_err() {
                    return;
                }
                return stream.finish(StatusCode::OK);
            }
            ReadResult::TimedOut => {
                stream.attempt.end(Outcome::Broken, None);
                let _ = client.send(Err(TruncatedBody)).await;
                return;
            }
            ReadResult::Broken => match resume(&mut attempts, stream).await {
                Some(resumed) => stream = resumed,
                None => {
                    let _ = client.send(Err(TruncatedBody)).await;
                    return;
                }
            },
        }
    }
}

/// Resumes a stream at another backend, after the last complete event that was forwarded. `None` if that is
/// not possible.
async fn resume(attempts: &mut RequestAttempts, broken: BackendStream) -> Option<BackendStream> {
    let BackendStream { attempt, events, backend, .. } = broken;
    attempt.end(Outcome::Broken, None);
    let last_event_id = events?.last_event_id()?.to_owned();
    log::info!("backend {}: stream failed after event {last_event_id}, resuming it elsewhere", backend.id.0);
    loop {
        let started = attempts.next_response(Some(&last_event_id)).await.ok()?;
        if !started.response.status.is_success() || !is_event_stream(&started.response.headers) {
            started.attempt.end(Outcome::Failed, started.response.load);
            continue;
        }
        let events = Some(EventSplitter::resuming_after(last_event_id));
        return Some(BackendStream::new(started, events));
    }
}

impl BackendStream {
    fn new(started: StartedResponse, events: Option<EventSplitter>) -> Self {
        let StartedResponse { response, attempt, backend } = started;
        let (body, headers) = (response.body, response.headers);
        let (connection, load) = (response.connection, response.load);
        BackendStream { body, headers, connection, backend, attempt, load, events }
    }

    /// Reads the next part of the body.
    async fn read(&mut self, deadline: Instant) -> ReadResult {
        if self.body.is_end_stream() {
            return ReadResult::Complete;
        }
        match timeout_at(deadline, self.body.frame()).await {
            Err(_) => ReadResult::TimedOut,
            Ok(None) => ReadResult::Complete,
            Ok(Some(Err(error))) => {
                log::debug!("backend {}: response failed before its end: {error}", self.backend.id.0);
                ReadResult::Broken
            }
            Ok(Some(Ok(frame))) => {
                // Trailers are not forwarded.
                let bytes = frame.into_data().unwrap_or_default();
                self.attempt.body_received();
                ReadResult::Data(match &mut self.events {
                    Some(events) => events.push(&bytes),
                    None => bytes,
                })
            }
        }
    }

    /// Takes the bytes after the last complete event.
    fn take_partial_event(&mut self) -> Bytes {
        self.events.as_mut().map(EventSplitter::take_partial).unwrap_or_default()
    }

    /// Ends the attempt after a complete response, and stores the connection for reuse.
    fn finish(self, status: StatusCode) {
        let outcome = if status.is_server_error() { Outcome::Failed } else { Outcome::Served };
        self.attempt.end(outcome, self.load);
        self.backend.store_idle(self.connection, &self.headers);
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|value| value.trim().to_ascii_lowercase().starts_with("text/event-stream"))
}
