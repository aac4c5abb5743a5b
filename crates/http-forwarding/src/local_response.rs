//! When the proxy replaces the status of a backend's error response with its own, because the backend's
//! status would invite the client to a retry that could execute the request twice.

use join_up_to::Repeat;

/// Whether a local response replaces the error response of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalResponse {
    /// The backend's response is forwarded unchanged.
    NotNeeded,
    /// The body of the backend's response is sent with status 502.
    BadGateway,
}

/// Whether a request may have been executed by any of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No attempt was executed. A backend that reports the request as unprocessed rules it out for its own
    /// attempt.
    RuledOut,
    /// Some attempt may have been executed, the last one included.
    Possible,
}

/// Decides whether the error response of the last attempt, with this status, is replaced. Clients and other
/// proxies retry on their own after 425, 429 and 503 (RFC 8470, section 5.2; RFC 6585, section 4; RFC 9110,
/// section 15.6.4).
pub fn local_response(status: u16, repeat: Repeat, execution: Execution) -> LocalResponse {
    let invites_retry = matches!(status, 425 | 429 | 503);
    if invites_retry && execution == Execution::Possible && repeat != Repeat::Safe {
        LocalResponse::BadGateway
    } else {
        LocalResponse::NotNeeded
    }
}
