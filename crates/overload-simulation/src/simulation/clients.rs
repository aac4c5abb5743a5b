//! Events of clients: requests, retries and responses.

use super::{START, Simulation, SimulationEvent};
use crate::surge::ClientRetry;
use admission_control::{AdmissionDecision, Arrival, RequestFingerprint};
use join_up_to::{Event, NewRequest, Outcome, Repeat, RequestId, Scope, ServerId};
use std::time::Duration;

/// The delay of [`ClientRetry::AtOnce`].
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// The time after the deadline within which a response is not late: timers have a limited precision.
const LATE_TOLERANCE: Duration = Duration::from_millis(5);

/// An attempt that a node has sent.
pub(super) struct SentAttempt {
    pub(super) server: ServerId,
    pub(super) sent: Duration,
    /// `None` while it is in flight.
    pub(super) outcome: Option<Outcome>,
}

impl SentAttempt {
    /// Whether the attempt may have been executed.
    pub(super) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// A request at a node. Each retry of a client is another request.
pub(super) struct Request {
    pub(super) stream: usize,
    pub(super) node: usize,
    /// The client's first request, whose id all its retries share as their fingerprint.
    first: RequestId,
    /// When the first request arrived.
    pub(super) first_arrival: Duration,
    pub(super) deadline: Duration,
    pub(super) attempts: Vec<SentAttempt>,
    pub(super) has_response: bool,
    /// Whether the balancer rejected or failed it. Attempts that are cancelled afterwards count as timed out.
    pub(super) ended_by_balancer: bool,
    /// How often the client has sent it, including this time.
    sends: u32,
}

impl Simulation<'_> {
    /// Sends the request of a new client, and schedules the stream's next client. Returns the node.
    pub(super) fn client_arrives(&mut self, stream: usize) -> usize {
        let spec = &self.surge.streams[stream];
        let next = self.seconds() + self.draw_exponential() / spec.rate;
        if next < spec.to.min(f64::from(self.surge.seconds)) {
            self.schedule(START + Duration::from_secs_f64(next), SimulationEvent::Arrival { stream });
        }
        self.tally.streams[stream].arrived += 1;
        let first = RequestId(self.next_id);
        self.send_request(stream, first, self.now, 1);
        spec.node
    }

    /// Sends the client's request again. Returns the node.
    pub(super) fn client_retries(&mut self, request: RequestId) -> Option<usize> {
        let before = self.requests.get(&request)?;
        let (stream, first, first_arrival, sends) =
            (before.stream, before.first, before.first_arrival, before.sends);
        self.send_request(stream, first, first_arrival, sends + 1);
        Some(self.surge.streams[stream].node)
    }

    /// Sends a first request or a retry to the gate of its node.
    fn send_request(&mut self, stream: usize, first: RequestId, first_arrival: Duration, sends: u32) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let spec = &self.surge.streams[stream];
        let request = Request {
            stream,
            node: spec.node,
            first,
            first_arrival,
            deadline: self.now + spec.timeout,
            attempts: Vec::new(),
            has_response: false,
            ended_by_balancer: false,
            sends,
        };
        self.requests.insert(id, request);
        let arrival = Arrival {
            id,
            class: spec.class,
            tenant: spec.tenant,
            remaining: spec.timeout,
            fingerprint: Some(RequestFingerprint(first.0)),
        };
        let gate = self.nodes[spec.node].gate.as_mut();
        let decision = gate.map_or(AdmissionDecision::Admit, |gate| gate.arrive(self.now, arrival));
        match decision {
            AdmissionDecision::Admit => self.admit(id),
            AdmissionDecision::Queue => {}
            AdmissionDecision::Reject(rejection) => self.reject(id, rejection.retry_after),
        }
    }

    /// Passes an admitted request to the balancer.
    pub(super) fn admit(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let spec = &self.surge.streams[request.stream];
        let node = request.node;
        let new = NewRequest {
            id,
            class: spec.class,
            tenant: spec.tenant,
            key: 0,
            remaining: request.deadline.saturating_sub(self.now),
            cost: None,
            client_retry: request.sends > 1,
        };
        self.handle_at_node(node, Event::Request(new));
    }

    /// Records a response to a request, and checks that it is not late. Returns whether it is the first.
    pub(super) fn record_response(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        if request.has_response {
            self.tally.violations.push(format!("request {} has a second answer", id.0));
            return false;
        }
        request.has_response = true;
        if self.now > request.deadline + LATE_TOLERANCE {
            let late = self.now - request.deadline;
            self.tally.violations.push(format!("request {} was answered {late:?} late", id.0));
        }
        true
    }

    /// Rejects a request, whose client may retry.
    pub(super) fn reject(&mut self, id: RequestId, retry_after: Duration) {
        if !self.record_response(id) {
            return;
        }
        let request = &self.requests[&id];
        let (stream, sends) = (request.stream, request.sends);
        let may_have_run = request.attempts.iter().any(|attempt| attempt.may_have_run());
        let class = &self.surge.settings.classes[self.surge.streams[stream].class];
        let is_repeatable = matches!(class.repeat, Repeat::Safe | Repeat::Keyed { scope: Scope::All, .. });
        if may_have_run && !is_repeatable {
            self.tally.violations.push(format!("request {} was refused though it may have run", id.0));
        }
        let remaining = request.deadline.saturating_sub(self.now);
        let took = self.surge.streams[stream].timeout.saturating_sub(remaining);
        let tally = &mut self.tally.streams[stream];
        tally.rejections += 1;
        tally.slowest_rejection = tally.slowest_rejection.max(took);
        let wait = match self.surge.streams[stream].retry {
            ClientRetry::WhenAllowed(max) if sends <= max => Some(retry_after),
            ClientRetry::AtOnce(max) if sends <= max => Some(RETRY_DELAY),
            _ => None,
        };
        let end = f64::from(self.surge.seconds);
        match wait.filter(|wait| self.seconds() + wait.as_secs_f64() < end) {
            Some(wait) => self.schedule(self.now + wait, SimulationEvent::ClientRetry { request: id }),
            None => self.tally.streams[stream].rejected += 1,
        }
        self.remove_finished(id);
    }
}
