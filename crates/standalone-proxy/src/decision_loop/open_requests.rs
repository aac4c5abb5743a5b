//! The open requests, and the start of their attempts. The balancer decides which attempt is started at which
//! backend.

use crate::decision_loop::event::{NodeEvent, PendingResponse};
use crate::upstream::backend_client::BackendClient;
use crate::upstream::messages::{AttemptDeadlines, BackendRequest, BackendResponse};
use http_forwarding::attempt::{self, BodyAvailability};
use join_up_to::{AttemptEnd, Event, Outcome, Repeat, RequestId, ServerId};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::Instant;
use tracing::warn;

/// A request that has no response yet or has attempts in flight.
pub struct OpenRequest {
    /// What is sent to backends.
    pub payload: Rc<BackendRequest>,
    /// `None` once the response is sent or the client has disconnected.
    pub response: Option<PendingResponse>,
    /// Its attempts, in the order in which they were started.
    pub attempts: Vec<Attempt>,
    /// Whether the balancer has abandoned it. An attempt that is cancelled after that counts as timed out.
    pub abandoned: bool,
    /// The time that the client had left when the request was passed to the balancer.
    pub remaining: Duration,
    /// Whether and where it may be sent again.
    pub repeat: Repeat,
    /// The error response that ended the last attempt, if the backend sent one.
    pub error_response: Option<BackendResponse>,
}

impl OpenRequest {
    /// Whether an attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.task.is_some())
    }

    /// The first attempt that is not known to have remained unexecuted.
    fn first_possible_execution(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.outcome.is_none_or(|outcome| !outcome.never_ran()))
    }

    /// Whether the class of the request and the availability of its body allow another attempt.
    fn allows_attempt(&self) -> bool {
        let possible_execution = self.first_possible_execution();
        let outcome = possible_execution.map(|attempt| attempt.outcome.unwrap_or(Outcome::Cancelled));
        let body =
            self.payload.upload.as_ref().map_or(BodyAvailability::Complete, |upload| upload.availability());
        attempt::may_retry(self.repeat, outcome, body)
    }

    /// The deadlines of an attempt that starts at `now` and times out after `timeout`.
    fn deadlines(&self, now: Instant, timeout: Duration) -> AttemptDeadlines {
        // The balancer checks the window of an idempotency key when it selects a backend, but a connection
        // that opens slowly could delay the attempt past the end of the window.
        let window_end = match (self.repeat, self.first_possible_execution()) {
            (Repeat::Keyed { window, .. }, Some(first)) => first.sent_at.checked_add(window),
            _ => None,
        };
        let response = now + timeout;
        AttemptDeadlines { request_sent: window_end.map_or(response, |end| end.min(response)), response }
    }
}

/// An attempt of a request at a backend, in flight or ended.
pub struct Attempt {
    /// The backend that it was sent to.
    pub backend: ServerId,
    /// When it was started, or when a streamed body had arrived completely.
    pub sent_at: Instant,
    /// Its task; `None` once it has ended or was cancelled.
    pub task: Option<AbortHandle>,
    /// Whether it ended with a time-out.
    pub timed_out: bool,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

/// Marks a request as abandoned. Returns its pending response, if that has not been sent.
pub fn abandon(open: &mut HashMap<RequestId, OpenRequest>, id: RequestId) -> Option<PendingResponse> {
    let open = open.get_mut(&id)?;
    open.abandoned = true;
    open.response.take()
}

/// Starts an attempt of `request` as a task, which reports its end to `events`. Nothing is sent if the
/// request has its response or may not be sent again; the end of such an attempt is added to
/// `balancer_events` at once.
pub fn start_attempt(
    request: &mut OpenRequest,
    backends: &Rc<BackendClient>,
    events: &mpsc::UnboundedSender<NodeEvent>,
    (id, backend, timeout): (RequestId, ServerId, Duration),
    balancer_events: &mut VecDeque<Event>,
) {
    let (sent_at, number) = (Instant::now(), request.attempts.len() as u32);
    // A safeguard against wrong decisions of the balancer: a request that may have been executed is sent
    // again only if its class allows that and its body is available.
    let is_allowed = request.allows_attempt();
    if !is_allowed {
        warn!("attempt {number} of {id:?} at {backend:?} suppressed: the class or the body allows no retry");
    }
    if request.response.is_none() || !is_allowed {
        let outcome = Some(Outcome::NotSent);
        request.attempts.push(Attempt { backend, sent_at, task: None, timed_out: false, outcome });
        return balancer_events.push_back(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: number,
            server: backend,
            outcome: Outcome::NotSent,
            elapsed: Duration::ZERO,
            finished: request.response.is_none(),
            report: None,
        }));
    }
    let deadlines = request.deadlines(sent_at, timeout);
    let (backends, events, payload) = (backends.clone(), events.clone(), request.payload.clone());
    let task = spawn_local(async move {
        let result = backends.attempt(backend, &payload, deadlines).await;
        let _ = events.send(NodeEvent::AttemptEnded { id, attempt: number, result });
    });
    let task = Some(task.abort_handle());
    request.error_response = None;
    request.attempts.push(Attempt { backend, sent_at, task, timed_out: false, outcome: None });
}
