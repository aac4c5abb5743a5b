//! Handles one request of a client: matches it, reads its body, has it admitted by the tenant's quota, and
//! forwards it.

use crate::request::{ProxyRequest, RouteMatch};
use crate::request_attempts::RequestAttempts;
use crate::request_body::read_body;
use crate::request_error::RequestError;
use crate::response::respond;
use crate::response_body::ResponseBody;
use crate::state::DataPlaneState;
use http_transport::client_connections::{BusyGuard, ConnectionState};
use http_transport::stream_deadline::StreamDeadline;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long after the deadline of a streamed response a client that does not read it is dropped, which frees
/// the slot of the backend.
const SLOW_READER_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest body that is read of a request that is rejected, so that its connection can be kept, in bytes.
const MAX_REJECTED_BODY_BYTES: u64 = 64 << 10;

/// Handles one request and returns the response for its client.
pub async fn handle(
    state: &Rc<DataPlaneState>,
    connection: &Rc<ConnectionState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let busy = BusyGuard::new(connection);
    let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    state.metrics.request_received();
    let result = match connection.heads.fault() {
        Some(fault) => {
            log::debug!("request rejected: {fault}");
            Err(RequestError::Malformed)
        }
        None => proxy(state, connection, request).await,
    };
    if let Err(error) = &result {
        state.metrics.local_response(*error);
    }
    // The connection can't be kept after a chunked body, since the heads that follow it are not checked.
    let is_last = state.shutting_down.get() || connection.closing_since.get().is_some() || is_chunked;
    let closes = is_last || result.as_ref().is_err_and(|error| error.closes_connection());
    let mut response = result.unwrap_or_else(RequestError::response);
    if closes {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    if let Some(deadline) = response.body().deadline() {
        let read_deadline = StreamDeadline::default();
        read_deadline.bring_forward(deadline + SLOW_READER_TIMEOUT);
        connection.response_deadline.replace(Some(read_deadline));
    }
    response.body_mut().attach(busy);
    response
}

async fn proxy(
    state: &Rc<DataPlaneState>,
    connection: &ConnectionState,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, RequestError> {
    let received_at = Instant::now();
    let (head, body) = request.into_parts();
    state.wait_until_ready().await;
    if let Some(error) = RouteMatch::new(state, &head).err().filter(|_| is_large(&body)) {
        return Ok(rejection_without_body(error));
    }
    let (body, memory) = read_body(state, body, state.client_limits().max_body_bytes).await?;
    connection.mark_request_complete();
    // Matched again, as another configuration may have become active while the body arrived.
    let matched = RouteMatch::new(state, &head)?;
    let request = ProxyRequest::new(state, matched, head, body, received_at)?;
    request.service.record_request();
    let admitted = match &request.tenant {
        Some(tenant) => Some(state.quotas.admit(tenant, request.quota_cost()).await?),
        None => None,
    };
    let result = respond(RequestAttempts::new(state.clone(), Rc::new(request))).await;
    if let (Err(RequestError::Unavailable(_)), Some(admitted)) = (&result, admitted) {
        state.quotas.refund(admitted);
    }
    let mut response = result?;
    response.body_mut().attach(memory);
    Ok(response)
}

/// Whether a body is too large to be read just so that the connection can be kept.
fn is_large(body: &Incoming) -> bool {
    body.size_hint().upper().is_none_or(|upper| upper > MAX_REJECTED_BODY_BYTES)
}

/// The response to a request whose body is not read. It is the last one on the connection.
fn rejection_without_body(error: RequestError) -> Response<ResponseBody> {
    let mut response = error.response();
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
