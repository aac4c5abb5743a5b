//! Errors of requests, and the responses by which the node reports them.

use crate::response_body::ResponseBody;
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// Why the node responds to a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The request's framing is ambiguous, its body is broken, or it names no host.
    Malformed,
    /// The route requires a key, and the request has none or an unknown one.
    Unauthorized,
    /// No route matches the request, or the route has no service.
    NoRoute,
    /// The request's body did not arrive in time. The request has not run.
    BodyTimeout,
    /// The request's body is longer than the configuration allows.
    BodyTooLarge,
    /// The tenant's quota is used up. The request has not run, and the client may retry after this time.
    QuotaExceeded(Duration),
    /// No backend accepts the request now. It has not run, and the client may retry after this time.
    Unavailable(Duration),
    /// A backend failed. The request may have run.
    BackendFailed,
    /// No response arrived in time. The request may have run.
    BackendTimeout,
}

impl RequestError {
    /// The HTTP status by which the error is reported.
    pub fn status(self) -> StatusCode {
        match self {
            RequestError::Malformed => StatusCode::BAD_REQUEST,
            RequestError::Unauthorized => StatusCode::UNAUTHORIZED,
            RequestError::NoRoute => StatusCode::NOT_FOUND,
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::QuotaExceeded(_) => StatusCode::TOO_MANY_REQUESTS,
            RequestError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::BackendFailed => StatusCode::BAD_GATEWAY,
            RequestError::BackendTimeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn retry_after(self) -> Option<Duration> {
        match self {
            RequestError::QuotaExceeded(after) | RequestError::Unavailable(after) => Some(after),
            _ => None,
        }
    }

    /// Whether the connection has to be closed, since the next bytes on it may not be the start of a request.
    pub fn closes_connection(self) -> bool {
        matches!(self, RequestError::Malformed | RequestError::BodyTimeout | RequestError::BodyTooLarge)
    }

    /// The response for the client, without a body. `Retry-After` is in seconds with three decimals.
    pub fn response(self) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::buffered(Bytes::new()));
        *response.status_mut() = self.status();
        let after = self.retry_after().map(|after| format!("{:.3}", after.as_secs_f64()));
        if let Some(after) = after.and_then(|after| HeaderValue::try_from(after).ok()) {
            response.headers_mut().insert(header::RETRY_AFTER, after);
        }
        response
    }
}
