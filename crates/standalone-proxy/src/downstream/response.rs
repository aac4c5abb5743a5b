//! Builds the responses to clients.

use crate::decision_loop::event::FinalResponse;
use crate::downstream::request_router::{RequestError, RetryAfterPrecision};
use crate::upstream::messages::{BackendResponse, ResponseBody};
use http_body_util::Full;
use http_forwarding::forward::strip_hop_by_hop;
use http_transport::body::MessageBody;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// The properties of a request and its node that the form of the response depends on.
#[derive(Clone, Copy)]
pub struct ResponseForm {
    /// The precision of `Retry-After`.
    pub retry_after_precision: RetryAfterPrecision,
    /// Whether the request is a `HEAD` request.
    pub head_only: bool,
    /// Whether trailers are forwarded, as the client accepts them.
    pub trailers: bool,
}

/// The response to a rejected request. It tells the client that a retry is harmless: the request was not
/// executed.
pub fn rejection_response(
    status: StatusCode,
    retry_after: Option<Duration>,
    precision: RetryAfterPrecision,
) -> Response<MessageBody> {
    let seconds = retry_after.map(|after| after.as_secs_f64());
    let seconds = seconds.map(|seconds| match precision {
        RetryAfterPrecision::WholeSeconds => seconds.ceil().max(1.0),
        RetryAfterPrecision::Exact => seconds,
    });
    let after = seconds.and_then(|seconds| HeaderValue::try_from(seconds.to_string()).ok());
    RequestError::new(status, "refused; try again later")
        .with_header(header::RETRY_AFTER, after)
        .into_response()
}

/// Builds the response to the client.
pub fn client_response(response: FinalResponse, form: ResponseForm) -> Response<MessageBody> {
    match response {
        FinalResponse::Served(response) | FinalResponse::BackendError(response) => {
            forwarded_response(response, form)
        }
        FinalResponse::Rejected { retry_after, .. } => {
            rejection_response(StatusCode::SERVICE_UNAVAILABLE, retry_after, form.retry_after_precision)
        }
        FinalResponse::Failed { timed_out: true } => {
            RequestError::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time").into_response()
        }
        FinalResponse::Failed { timed_out: false } => {
            RequestError::new(StatusCode::BAD_GATEWAY, "failed").into_response()
        }
    }
}

/// Converts the response of a backend to the form in which it is forwarded.
fn forwarded_response(response: BackendResponse, form: ResponseForm) -> Response<MessageBody> {
    let BackendResponse { status, mut headers, body, .. } = response;
    // The length that the backend announces in its response to a HEAD request; hyper would send 0.
    let length = headers.remove(header::CONTENT_LENGTH).filter(|_| form.head_only);
    let mut response = Response::new(match body {
        ResponseBody::Buffered(body) => Full::new(body).into(),
        ResponseBody::Streaming(body) => MessageBody::Download(body),
        ResponseBody::Tunnel(tunnel) => MessageBody::Tunnel(Some(tunnel)),
    });
    *response.status_mut() = status;
    // hyper sends trailers only where they are announced.
    let trailers = headers.remove(header::TRAILER).filter(|_| form.trailers);
    let protocol = headers.remove(header::UPGRADE).filter(|_| status == StatusCode::SWITCHING_PROTOCOLS);
    *response.headers_mut() = strip_hop_by_hop(headers);
    response.headers_mut().extend(trailers.map(|trailers| (header::TRAILER, trailers)));
    if let Some(protocol) = protocol {
        response.headers_mut().insert(header::UPGRADE, protocol);
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
    }
    response.headers_mut().extend(length.map(|length| (header::CONTENT_LENGTH, length)));
    response
}
