//! The stages of an attempt and the events that end it: what the end proves about the execution of the
//! request, and whether a retry is allowed. Starts no attempt and selects no backend.

use join_up_to::{Outcome, Repeat};

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AttemptStage {
    /// No byte of the request was written to the backend.
    NothingSent,
    /// Only a part of the head was written.
    SendingHead,
    /// The head was written completely, the body was not.
    SendingBody,
    /// The last byte was written: from here on the backend may have executed the request.
    RequestSent,
    /// The head of the final response was received, and nothing of it was forwarded.
    ResponseStarted,
    /// The head of the final response is being forwarded or was forwarded.
    ForwardingResponse,
    /// The response was received and forwarded completely.
    Complete,
}

impl AttemptStage {
    /// All stages, from the first to the last.
    pub const ALL: [AttemptStage; 7] = [
        AttemptStage::NothingSent,
        AttemptStage::SendingHead,
        AttemptStage::SendingBody,
        AttemptStage::RequestSent,
        AttemptStage::ResponseStarted,
        AttemptStage::ForwardingResponse,
        AttemptStage::Complete,
    ];
}

/// An event that ends an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEvent {
    /// No connection was established.
    ConnectFailed,
    /// The connection was closed or reset.
    ConnectionLost,
    /// The received bytes are not an HTTP response, or the end of the response cannot be determined.
    InvalidResponse,
    /// The attempt has timed out, or its connection has made no progress for too long.
    TimedOut,
    /// The client aborted the body or sent fewer bytes than announced: the rest will not arrive.
    ClientBodyFailed,
    /// The client closed its connection.
    ClientDisconnected,
    /// Another attempt of the same request received its response first.
    Superseded,
}

impl AttemptEvent {
    /// All events, in the order of their declaration.
    pub const ALL: [AttemptEvent; 7] = [
        AttemptEvent::ConnectFailed,
        AttemptEvent::ConnectionLost,
        AttemptEvent::InvalidResponse,
        AttemptEvent::TimedOut,
        AttemptEvent::ClientBodyFailed,
        AttemptEvent::ClientDisconnected,
        AttemptEvent::Superseded,
    ];
}

/// What a connection was used for before the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// Nothing: the attempt is the first exchange on it.
    New,
    /// Another exchange. A backend may close an idle connection at any time, which says nothing about its
    /// health.
    Reused,
}

/// What the proxy does after an event of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptAction {
    /// Nothing was sent: the same attempt continues on another connection.
    UseOtherConnection,
    /// The attempt has ended with this outcome.
    End(Outcome),
    /// A part of the response was forwarded and the rest is missing: the client's connection is aborted
    /// rather than closed cleanly, so that the client detects the truncation.
    AbortClientConnection,
    /// The response was already forwarded completely.
    NoAction,
}

/// Determines the action after an event.
///
/// Whatever the event, a request whose last byte was written may have been executed. One whose last byte was
/// not written was not executed: a backend that executes an incomplete request violates HTTP (RFC 9112,
/// section 8).
pub fn action_after(stage: AttemptStage, event: AttemptEvent, connection: ConnectionUse) -> AttemptAction {
    use AttemptAction::{AbortClientConnection, End, NoAction, UseOtherConnection};
    use AttemptEvent::*;
    use AttemptStage::*;
    match (stage, event) {
        (Complete, _) => NoAction,
        // The client has received a part of this response, which a retry can no longer replace.
        (ForwardingResponse, _) => AbortClientConnection,
        (_, ClientDisconnected | Superseded) => End(Outcome::Cancelled),
        (NothingSent, ConnectionLost | InvalidResponse) if connection == ConnectionUse::Reused => {
            UseOtherConnection
        }
        (NothingSent | SendingHead | SendingBody, TimedOut | ClientBodyFailed) => End(Outcome::NotSent),
        (NothingSent | SendingHead | SendingBody, _) => End(Outcome::ConnectFailed),
        (_, TimedOut) => End(Outcome::TimedOut),
        // The backend is reachable: an invalid response says less about its health than a lost connection.
        (_, InvalidResponse) => End(Outcome::Error),
        (_, ConnectionLost | ConnectFailed | ClientBodyFailed) => End(Outcome::Reset),
    }
}

/// How much of the body of a request is available for another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BodyAvailability {
    /// The whole body is buffered.
    Complete,
    /// The body is only partly buffered, but every byte that was sent is still buffered.
    NothingSent,
    /// Bytes were sent that are no longer available.
    Incomplete,
}

/// Whether another attempt is allowed. `previous` is the outcome of an earlier attempt that may have been
/// executed if there is one, else that of any earlier attempt; `None` before the first attempt. A request
/// that may have been executed is sent again only if its class is idempotent, and one whose body is no longer
/// available is never sent again. Time-outs, retry budgets and scopes are checked elsewhere.
pub fn may_retry(repeat: Repeat, previous: Option<Outcome>, body: BodyAvailability) -> bool {
    let may_have_been_executed = previous.is_some_and(|outcome| !outcome.never_ran());
    let has_body = match body {
        BodyAvailability::Complete => true,
        // A body that is still being received can be sent only once: another attempt requires proof that no
        // earlier one was executed.
        BodyAvailability::NothingSent => !may_have_been_executed,
        BodyAvailability::Incomplete => false,
    };
    has_body && (!may_have_been_executed || repeat != Repeat::Unsafe)
}

/// The parts of a response head that determine the outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// Whether the backend declares that it did not execute the request.
    pub unprocessed: bool,
}

/// Which responses count as success.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuccessCriterion {
    /// Status 200 only.
    Status200,
    /// Every status that does not indicate a failure of the backend: those below 500 except 101 and 429.
    NoBackendFailure,
}

/// Determines the outcome of an attempt from the head of its response.
pub fn response_outcome(head: ResponseHead, criterion: SuccessCriterion) -> Outcome {
    let accepts_all = criterion == SuccessCriterion::NoBackendFailure;
    match (head.status, head.unprocessed) {
        (200, _) => Outcome::Served,
        (503 | 504, true) => Outcome::Rejected,
        (429, true) if accepts_all => Outcome::Rejected,
        (101 | 429, _) => Outcome::Error,
        (status, _) if accepts_all && status < 500 => Outcome::Served,
        _ => Outcome::Error,
    }
}
