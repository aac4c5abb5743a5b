//! The operator's HTTP API: replaces and returns the configuration, and shows the coordinator's status.
//!
//! The texts of errors are response bodies that clients may match, so they stay as they are.

use crate::node::CoordinatorNode;
use crate::status::CoordinatorStatus;
use bytes::Bytes;
use poem::error::ReadBodyError;
use poem::http::{HeaderMap, StatusCode, header};
use poem::listener::TcpAcceptor;
use poem::web::Data;
use poem::{Body, EndpointExt, IntoEndpoint, Request, Response, Route, Server, get, handler, post};
use quick_error::quick_error;
use replication::{Change, Generation, RequestOutcome};
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// The largest configuration that is accepted, in bytes. It has to fit into one frame, and several into
/// memory.
pub const MAX_BODY_BYTES: usize = 8 << 20;
/// The time limit for receiving a request's body. A slow client does not delay others.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a request waits for the replica. A safety limit: the replica responds earlier, and clients time
/// out long before.
const REPLICA_TIMEOUT: Duration = Duration::from_secs(10);
/// The same while this coordinator has no quorum contact. Short, because a response is then unlikely, and the
/// client may find another coordinator that can respond.
const REPLICA_TIMEOUT_WITHOUT_QUORUM: Duration = Duration::from_millis(400);
/// Connections on which nothing is sent or received for this long are closed. Longer than a request may wait.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long requests in progress may take to finish at a shutdown.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(1000);
/// The request header with the generation on which a configuration is based.
const BASE_HEADER: &str = "X-Base-Revision";
/// The longest text of validation errors in one response or log line, in characters.
const MAX_ERROR_CHARACTERS: usize = 600;

quick_error! {
    /// Why the body of a request could not be read.
    #[derive(Debug)]
    enum BodyError {
        TooLarge { display("the body is over {MAX_BODY_BYTES} bytes") }
        Unreadable(error: ReadBodyError) {
            display("the body can't be read: {error}")
            source(error)
        }
        TimedOut { display("the body does not come") }
    }
}

impl BodyError {
    fn status(&self) -> StatusCode {
        match self {
            BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Unreadable(_) => StatusCode::BAD_REQUEST,
            BodyError::TimedOut => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

/// The response to a committed change.
#[derive(Serialize)]
struct ReplaceResponse {
    generation: Generation,
}

/// The response to a failed request.
#[derive(Serialize)]
struct ErrorResponse {
    error: String,
    /// The location of the first error in the document, as a JSON pointer.
    #[serde(skip_serializing_if = "Option::is_none")]
    place: Option<String>,
    /// The generation of the current configuration.
    #[serde(skip_serializing_if = "Option::is_none")]
    current: Option<Generation>,
}

/// Serves requests until the shutdown, and then finishes those in progress.
pub async fn run(
    node: Arc<CoordinatorNode>,
    listener: TcpListener,
    shutdown: impl Future<Output = ()>,
) -> io::Result<()> {
    let server = Server::new_with_acceptor(TcpAcceptor::from_tokio(listener)?).idle_timeout(IDLE_TIMEOUT);
    server.run_with_graceful_shutdown(endpoint(node), shutdown, Some(SHUTDOWN_GRACE)).await
}

fn endpoint(node: Arc<CoordinatorNode>) -> impl IntoEndpoint<Endpoint: 'static> {
    Route::new()
        .at("/api/Config.Replace", post(replace))
        .at("/api/Config.Describe", get(describe))
        .at("/api/status", get(show_status))
        .data(node)
        .catch_all_error(
            |error: poem::Error| async move { error_response(error.status(), error.to_string()) },
        )
}

#[handler]
async fn replace(node: Data<&Arc<CoordinatorNode>>, request: &Request, body: Body) -> Response {
    let Some(base) = base_generation(request.headers()) else {
        return error_response(StatusCode::BAD_REQUEST, format!("{BASE_HEADER} is not a whole number"));
    };
    let document = match read_body(body).await {
        Ok(document) => document,
        Err(error) => return error_response(error.status(), error.to_string()),
    };
    let generation = match configuration::check(&document) {
        Ok(configuration) => Generation(configuration.generation),
        Err(errors) => {
            node.counters.record_invalid_change();
            return invalid_configuration(&errors);
        }
    };
    let pending = node.replica.write(change(base, generation, document));
    let outcome = tokio::time::timeout(replica_timeout(&node), pending.outcome()).await;
    let outcome = outcome.unwrap_or(RequestOutcome::Unknown);
    node.counters.record_change(&outcome);
    log_change(base, generation, &outcome);
    change_response(base, generation, &outcome)
}

#[handler]
async fn describe(node: Data<&Arc<CoordinatorNode>>) -> Response {
    let pending = node.replica.read();
    let outcome = tokio::time::timeout(replica_timeout(&node), pending.outcome()).await;
    let outcome = outcome.unwrap_or(RequestOutcome::Unknown);
    node.counters.record_read(&outcome);
    match outcome {
        RequestOutcome::Current(Some(entry)) => {
            let document = entry.change.document.to_vec();
            Response::builder().content_type("application/json").body(document)
        }
        RequestOutcome::Current(None) => {
            error_response(StatusCode::NOT_FOUND, "there is no configuration yet".into())
        }
        _ => unknown_outcome(),
    }
}

#[handler]
fn show_status(node: Data<&Arc<CoordinatorNode>>) -> Response {
    json_response(StatusCode::OK, &CoordinatorStatus::of(&node))
}

fn replica_timeout(node: &CoordinatorNode) -> Duration {
    let has_quorum_contact = node.replica.role_status().borrow().has_quorum_contact;
    if has_quorum_contact { REPLICA_TIMEOUT } else { REPLICA_TIMEOUT_WITHOUT_QUORUM }
}

/// The generation on which a configuration is based: [`Generation::NONE`] if the header is absent. `None` if
/// the header is invalid.
fn base_generation(headers: &HeaderMap) -> Option<Generation> {
    match headers.get(BASE_HEADER) {
        None => Some(Generation::NONE),
        Some(value) => value.to_str().ok()?.trim().parse().ok().map(Generation),
    }
}

async fn read_body(body: Body) -> Result<Bytes, BodyError> {
    match tokio::time::timeout(BODY_TIMEOUT, body.into_bytes_limit(MAX_BODY_BYTES)).await {
        Ok(Ok(document)) => Ok(document),
        Ok(Err(ReadBodyError::PayloadTooLarge)) => Err(BodyError::TooLarge),
        Ok(Err(error)) => Err(BodyError::Unreadable(error)),
        Err(_) => Err(BodyError::TimedOut),
    }
}

fn change(base: Generation, generation: Generation, document: Bytes) -> Change {
    let digest =
        Sha256::new().chain_update(base.get().to_be_bytes()).chain_update(&document).finalize().into();
    let document = Arc::new(serde_bytes::ByteBuf::from(Vec::from(document)));
    Change { base, generation, digest, document }
}

fn change_response(base: Generation, generation: Generation, outcome: &RequestOutcome) -> Response {
    match *outcome {
        RequestOutcome::Committed { .. } => json_response(StatusCode::OK, &ReplaceResponse { generation }),
        RequestOutcome::Conflict { current } => {
            let error = format!("it builds upon {base}, but {current} is current");
            let response = ErrorResponse { error, place: None, current: Some(current) };
            json_response(StatusCode::PRECONDITION_FAILED, &response)
        }
        RequestOutcome::NotHigher { current } => {
            let error = format!("generation {generation} is not higher than {current}, which is current");
            let response = ErrorResponse { error, place: Some("/generation".into()), current: Some(current) };
            json_response(StatusCode::BAD_REQUEST, &response)
        }
        RequestOutcome::TooOld { current } => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            format!("it is too old to tell whether it was taken; {current} is current"),
        ),
        RequestOutcome::Current(_) | RequestOutcome::ReadIndex { .. } | RequestOutcome::Unknown => {
            unknown_outcome()
        }
    }
}

fn invalid_configuration(errors: &[configuration::ConfigurationError]) -> Response {
    let place = errors.first().map(|error| error.location().to_string()).filter(|place| !place.is_empty());
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    let error: String = texts.join("; ").chars().take(MAX_ERROR_CHARACTERS).collect();
    log::info!("configuration rejected: {error}");
    json_response(StatusCode::BAD_REQUEST, &ErrorResponse { error, place, current: None })
}

fn log_change(base: Generation, generation: Generation, outcome: &RequestOutcome) {
    match outcome {
        RequestOutcome::Committed { sequence } => {
            log::info!("configuration {generation} on base {base}: accepted, sequence {sequence}");
        }
        RequestOutcome::Conflict { current } | RequestOutcome::NotHigher { current } => {
            log::info!("configuration {generation} on base {base}: rejected, {current} is current");
        }
        RequestOutcome::TooOld { current } => {
            log::info!(
                "configuration {generation} on base {base}: outcome unknown, older than the history; \
                 {current} is current"
            );
        }
        RequestOutcome::Current(_) | RequestOutcome::ReadIndex { .. } | RequestOutcome::Unknown => {
            log::info!("configuration {generation} on base {base}: outcome unknown");
        }
    }
}

/// The response to a request whose outcome is not known. The client may repeat it, also a change.
fn unknown_outcome() -> Response {
    error_response(StatusCode::SERVICE_UNAVAILABLE, "there is no clear answer now; ask again".into())
}

fn error_response(status: StatusCode, error: String) -> Response {
    json_response(status, &ErrorResponse { error, place: None, current: None })
}

fn json_response(status: StatusCode, content: &impl Serialize) -> Response {
    let body = serde_json::to_vec(content).unwrap_or_default();
    Response::builder().status(status).header(header::CONTENT_TYPE, "application/json").body(body)
}
