//! Connects the admission gate of a cluster to the node: holds the queued requests, and passes the gate's
//! limits to the balancer. `admission_control` decides.

use crate::decision_loop::event::{Arrival, FinalResponse};
use admission_control::retry_storm::{AttemptKind, RetryStormGuard};
use admission_control::{
    AdmissionDecision, Endpoint, Gate, GateSettings, QueueDecision, Rejection, RequestFingerprint,
};
use join_up_to::{AttemptRestrictions, Event, Outcome, RequestId, ServerId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tracing::debug;

/// A gate and the requests that are queued at it.
pub struct AdmissionGate {
    gate: Gate,
    queued: HashMap<RequestId, Arrival>,
    /// Limits the additional attempts of all clusters together.
    retry_storm: Rc<RefCell<RetryStormGuard>>,
    /// The restrictions of which the balancer was last notified.
    notified_restrictions: AttemptRestrictions,
}

/// The result for a request that has arrived or was queued.
pub enum GateOutcome {
    /// It is to be passed to the balancer.
    Admitted(Arrival),
    /// It was rejected, and the rejection was sent.
    Rejected,
}

impl AdmissionGate {
    /// A gate without requests. `now` is the current time.
    pub fn new(now: Duration, settings: GateSettings, retry_storm: Rc<RefCell<RetryStormGuard>>) -> Self {
        AdmissionGate {
            gate: Gate::new(now, settings),
            queued: HashMap::new(),
            retry_storm,
            notified_restrictions: AttemptRestrictions::default(),
        }
    }

    /// Replaces the settings.
    pub fn reconfigure(&mut self, now: Duration, settings: GateSettings) {
        self.gate.reconfigure(now, settings);
    }

    /// Replaces the list of backends.
    pub fn set_endpoints(&mut self, now: Duration, endpoints: &[Endpoint]) {
        self.gate.set_endpoints(now, endpoints);
    }

    /// Handles a new request. `None` if it is queued.
    pub fn arrive(&mut self, now: Duration, arrival: Arrival) -> Option<GateOutcome> {
        let request = &arrival.request;
        let remaining = request.remaining.saturating_sub(arrival.arrived_at.elapsed());
        let (id, class, tenant) = (request.id, request.class, request.tenant);
        let fingerprint = arrival.fingerprint.map(RequestFingerprint);
        match self.gate.arrive(now, admission_control::Arrival { id, class, tenant, remaining, fingerprint })
        {
            AdmissionDecision::Admit => Some(GateOutcome::Admitted(arrival)),
            AdmissionDecision::Queue => {
                self.queued.insert(id, arrival);
                None
            }
            AdmissionDecision::Reject(rejection) => {
                self.retry_storm.borrow_mut().record_rejection(now);
                Some(reject(arrival, rejection))
            }
        }
    }

    /// Removes the request of a client that has disconnected. Returns whether it was queued here.
    pub fn remove_waiting(&mut self, now: Duration, id: RequestId) -> bool {
        let was_queued = self.queued.remove(&id).is_some();
        if was_queued {
            self.gate.request_finished(now, id);
        }
        was_queued
    }

    /// The requests that have left the queue since the last call, in the order of the decisions.
    pub fn take_dequeued(&mut self) -> Vec<GateOutcome> {
        let decisions = self.gate.take_decisions();
        let outcome = |decision: QueueDecision| {
            let arrival = self.queued.remove(&decision.id)?;
            Some(match decision.rejection {
                None => GateOutcome::Admitted(arrival),
                Some(rejection) => reject(arrival, rejection),
            })
        };
        decisions.into_iter().filter_map(outcome).collect()
    }

    /// The events of which the balancer is to be notified: changed capacities and restrictions.
    pub fn take_events(&mut self, now: Duration) -> Vec<Event> {
        for (server, change) in self.gate.take_limit_changes() {
            debug!(
                "concurrency limit of {server:?}: {:.1} to {:.1} \
                 ({:?}; latency {:.2} times the baseline, {:.0} responses/s)",
                change.from, change.to, change.cause, change.latency_ratio, change.responses_per_s
            );
        }
        let capacities = self.gate.take_capacity_updates().into_iter();
        let mut events: Vec<_> = capacities
            .map(|capacity| Event::Capacity {
                server: capacity.backend,
                max_in_flight: capacity.max_in_flight,
                relative: capacity.relative,
            })
            .collect();
        let no_retries = self.retry_storm.borrow_mut().is_exceeded(now);
        let restrictions = AttemptRestrictions { no_retries, ..self.gate.attempt_restrictions() };
        if restrictions != self.notified_restrictions {
            self.notified_restrictions = restrictions;
            events.push(Event::Restrict(restrictions));
        }
        events
    }

    /// Records the start of an attempt.
    pub fn attempt_sent(&mut self, now: Duration, backend: ServerId, kind: AttemptKind) {
        self.gate.attempt_sent(now, backend);
        self.retry_storm.borrow_mut().record_attempt(now, kind);
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(
        &mut self,
        now: Duration,
        id: RequestId,
        backend: ServerId,
        outcome: Outcome,
        elapsed: Duration,
    ) {
        self.gate.attempt_ended(now, id, backend, outcome, elapsed);
    }

    /// Records the end of a request that was admitted.
    pub fn request_finished(&mut self, now: Duration, id: RequestId) {
        self.gate.request_finished(now, id);
    }

    /// Performs the periodic work of the gate that is due at this time.
    pub fn tick(&mut self, now: Duration) {
        self.gate.tick(now);
    }

    /// When [`Self::tick`] is due next.
    pub fn next_tick(&self) -> Option<Duration> {
        self.gate.next_tick()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// The counts of the gate, as a log line.
    pub fn summary(&self) -> String {
        let status = self.gate.status();
        let counts = self.gate.counts();
        format!(
            concat!(
                "admission: in flight {} of {}, queued {}; admitted at once {} from the queue {} ",
                "rejected {} client retries {}; brownout level {}; limit changes {}",
            ),
            status.in_flight,
            status.capacity,
            status.queued,
            counts.admitted_at_once,
            counts.admitted_from_queue,
            counts.rejected,
            counts.client_retries,
            status.brownout_level,
            self.gate.backends().change_count()
        )
    }
}

fn reject(arrival: Arrival, rejection: Rejection) -> GateOutcome {
    let retry_after = Some(rejection.retry_after);
    arrival.response.send(FinalResponse::Rejected { retry_after, fallback: rejection.fallback });
    GateOutcome::Rejected
}
