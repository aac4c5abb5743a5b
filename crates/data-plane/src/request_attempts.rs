//! The attempts of one request: whether another one may be made, at which backend, and the error if none may.

use crate::attempt::{AttemptResult, BackendRequest, BackendResponse, send};
use crate::backend::Backend;
use crate::header_names::{LAST_EVENT_ID, PRIORITY};
use crate::request::ProxyRequest;
use crate::request_error::RequestError;
use crate::retry_safety::{AttemptHistory, ExecutionEvidence, RetryPolicy};
use crate::service::InFlightAttempt;
use crate::state::DataPlaneState;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};
use routing::{BackendId, Decision, Outcome};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// How long before the client's deadline the node gives up and responds itself.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);
/// No attempt is made with less time than this before the deadline, as no backend could respond in it.
const MIN_REMAINING: Duration = Duration::from_millis(50);
/// How long the body of a discarded response is read, so that the connection can be reused.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);
/// The largest body of a discarded response that is read, in bytes.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

/// A response that is to be forwarded to the client.
pub struct StartedResponse {
    /// The head, and the body of which nothing was read yet.
    pub response: BackendResponse,
    /// The attempt to which the backend responds.
    pub attempt: InFlightAttempt,
    /// The backend that has sent the response.
    pub backend: Rc<Backend>,
}

/// The backend that was selected for an attempt.
struct SelectedBackend {
    attempt: InFlightAttempt,
    backend: Rc<Backend>,
    /// The value of the `Priority` header, from 0 (most urgent) to 9.
    urgency: u8,
}

/// A request and the state of its attempts: the backends tried and what is known of them.
pub struct RequestAttempts {
    state: Rc<DataPlaneState>,
    /// The request that is sent, with the client's deadline.
    pub request: Rc<ProxyRequest>,
    /// The backends that were selected before, which are not selected again.
    attempted: Vec<BackendId>,
    history: AttemptHistory,
}

impl RequestAttempts {
    /// Prepares the attempts of a request, without starting one.
    pub fn new(state: Rc<DataPlaneState>, request: Rc<ProxyRequest>) -> Self {
        RequestAttempts { state, request, attempted: Vec::new(), history: AttemptHistory::default() }
    }

    /// Makes attempts until one has a response that is to be forwarded. `resume_after` is the id of the last
    /// event that the client has received, for a stream that is resumed.
    ///
    /// # Errors
    /// No further attempt may be made.
    pub async fn next_response(
        &mut self,
        resume_after: Option<&str>,
    ) -> Result<StartedResponse, RequestError> {
        loop {
            let SelectedBackend { attempt, backend, urgency } = self.select_backend()?;
            let response = match self.send(&backend, urgency, resume_after).await {
                AttemptResult::Failed(evidence) => {
                    self.record(evidence);
                    attempt.end(outcome(evidence), None);
                    continue;
                }
                AttemptResult::Response(response) => *response,
            };
            self.record(response.evidence);
            if let Some(load) = response.load {
                attempt.load_received(load);
            }
            if response.evidence != ExecutionEvidence::MayHaveRun {
                attempt.end(outcome(response.evidence), response.load);
                discard(response, backend);
                continue;
            }
            if is_failure(response.status) && self.request.is_idempotent() && self.may_retry() {
                attempt.end(Outcome::Failed, response.load);
                discard(response, backend);
                continue;
            }
            return Ok(StartedResponse { response, attempt, backend });
        }
    }

    /// Whether the response stream may be resumed at another backend.
    pub fn may_resume(&self) -> bool {
        self.state.policy.retries.resume_streams && self.request.is_resumable()
    }

    /// When the node gives up and responds itself.
    pub fn response_deadline(&self) -> Instant {
        self.request.deadline - RESPONSE_MARGIN
    }

    fn record(&mut self, evidence: ExecutionEvidence) {
        self.state.metrics.attempt_ended(evidence);
        self.history.record(evidence);
    }

    fn retry_policy(&self) -> RetryPolicy {
        let idempotent = self.request.is_idempotent();
        RetryPolicy { idempotent, max_attempts: self.request.route.max_attempts }
    }

    async fn send(&self, backend: &Backend, urgency: u8, resume_after: Option<&str>) -> AttemptResult {
        let request = &self.request;
        let headers = attempt_headers(&request.headers, urgency, resume_after);
        let backend_request = BackendRequest {
            method: &request.method,
            target: &request.target,
            headers: &headers,
            body: &request.body,
            client_deadline: request.deadline,
            attempt_deadline: self.attempt_deadline(),
        };
        send(backend, request.service.max_connections(), &self.state, &backend_request).await
    }

    /// When an attempt is abandoned: at its own time-out if the request may then be sent to another backend.
    fn attempt_deadline(&self) -> Instant {
        let response_deadline = self.response_deadline();
        let has_own_timeout = self.request.is_idempotent() && !self.request.is_resumable();
        if !has_own_timeout || !self.may_retry() {
            return response_deadline;
        }
        let policy = &self.state.policy.retries;
        let timeout = self.request.latency_target().mul_f64(policy.timeout_factor).max(policy.min_timeout);
        response_deadline.min(Instant::now() + timeout)
    }

    /// Whether the policy, the route's limit on attempts, the deadline and the retry budget allow a retry.
    fn may_retry(&self) -> bool {
        let request = &self.request;
        if !self.state.policy.retries.enabled {
            return false;
        }
        let has_time = request.deadline.saturating_duration_since(Instant::now()) > MIN_REMAINING;
        self.history.has_attempts_left(self.retry_policy()) && has_time && request.service.has_retry_budget()
    }

    /// Selects the backend for the next attempt. Charges the attempt to the retry budget if it is a retry.
    fn select_backend(&mut self) -> Result<SelectedBackend, RequestError> {
        let request = self.request.clone();
        let is_retry = self.history.has_reached_backend();
        if !self.history.allows_attempt(self.retry_policy()) || (is_retry && !self.may_retry()) {
            return Err(self.final_error(None));
        }
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        if remaining < MIN_REMAINING {
            return Err(self.final_error(None));
        }
        let shape = self.current_shape(remaining);
        loop {
            let (attempt_id, id, urgency) = match request.service.decide(&shape, &self.attempted) {
                Decision::Reject { retry_after } => return Err(self.final_error(Some(retry_after))),
                Decision::Forward { attempt, backend, urgency } => (attempt, backend, urgency),
            };
            let attempt = InFlightAttempt::new(request.service.clone(), attempt_id);
            self.attempted.push(id.clone());
            let Some(backend) = request.service.get(&id).filter(|backend| backend.serving.is_serving())
            else {
                attempt.end(Outcome::NotConnected, None);
                continue;
            };
            if is_retry {
                if !request.service.spend_retry_budget() {
                    return Err(self.final_error(None));
                }
                self.state.metrics.retry();
            }
            return Ok(SelectedBackend { attempt, backend, urgency });
        }
    }

    /// The properties of the request with the times that remain now.
    fn current_shape(&self, remaining: Duration) -> routing::RequestShape {
        let mut shape = self.request.shape.clone();
        shape.latency_target = shape.latency_target.saturating_sub(self.request.received_at.elapsed());
        shape.deadline = remaining;
        shape
    }

    /// The error for the client if no further attempt is made. `retry_after` is given if the selection
    /// rejected the request.
    fn final_error(&self, retry_after: Option<Duration>) -> RequestError {
        // Without a list of backends, the rejection is due to the node's start and not to load.
        let retry_after =
            if self.state.has_backend_list() { retry_after } else { Some(self.state.startup_retry_after()) };
        let is_late = Instant::now() + MIN_REMAINING >= self.request.deadline;
        match (self.history.may_have_run(), is_late) {
            (true, true) => RequestError::BackendTimeout,
            (true, false) => RequestError::BackendFailed,
            (false, _) => {
                RequestError::Unavailable(retry_after.unwrap_or_else(|| self.default_retry_after()))
            }
        }
    }

    fn default_retry_after(&self) -> Duration {
        let policy = &self.state.policy.retries;
        let retry_after = self.request.latency_target().mul_f64(policy.retry_after_factor);
        retry_after.min(policy.max_retry_after).max(policy.min_retry_after)
    }
}

fn attempt_headers(headers: &HeaderMap, urgency: u8, resume_after: Option<&str>) -> HeaderMap {
    let mut headers = headers.clone();
    headers.insert(PRIORITY, HeaderValue::from(u16::from(urgency)));
    if let Some(event_id) = resume_after.and_then(|event_id| HeaderValue::from_str(event_id).ok()) {
        headers.insert(LAST_EVENT_ID, event_id);
    }
    headers
}

/// The outcome for the selection of backends of an attempt without a usable response.
fn outcome(evidence: ExecutionEvidence) -> Outcome {
    match evidence {
        ExecutionEvidence::NotWritten => Outcome::NotConnected,
        ExecutionEvidence::Rejected => Outcome::Rejected,
        ExecutionEvidence::Misdirected => Outcome::Misdirected,
        ExecutionEvidence::MayHaveRun => Outcome::Broken,
    }
}

/// Whether a response with this status is a failure that another backend may not have.
fn is_failure(status: StatusCode) -> bool {
    let is_rejection = [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS].contains(&status);
    status.is_server_error() || is_rejection
}

/// Reads the body of a response that is not forwarded, and then stores the connection for reuse.
fn discard(response: BackendResponse, backend: Rc<Backend>) {
    use http_body_util::{BodyExt, Limited};
    let BackendResponse { headers, body, connection, .. } = response;
    spawn_local(async move {
        let rest = Limited::new(body, MAX_DISCARDED_BYTES).collect();
        if let Ok(Ok(_)) = timeout(DISCARD_TIMEOUT, rest).await {
            backend.store_idle(connection, &headers);
        }
    });
}
