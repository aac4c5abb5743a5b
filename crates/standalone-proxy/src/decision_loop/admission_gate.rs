//! The admission gate of a cluster on the node's side: holds the requests that wait, and passes to the balancer what the gate
//! has learnt. The decisions are those of `admission_control`.

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

/// A gate and the requests that wait at it.
pub struct AdmissionGate {
    gate: Gate,
    waiting: HashMap<RequestId, Arrival>,
    /// The additional attempts of all clusters.
    retry_storm: Rc<RefCell<RetryStormGuard>>,
    /// The restrictions that the balancer was notified of last.
    notified_restrictions: AttemptRestrictions,
}

/// What becomes of a request that has arrived or has waited.
pub enum GateOutcome {
    /// It goes to the balancer.
    Admitted(Arrival),
    /// It was rejected, and has its response.
    Rejected,
}

impl AdmissionGate {
    /// A gate without requests, at the time `now`.
    pub fn new(now: Duration, settings: GateSettings, retry_storm: Rc<RefCell<RetryStormGuard>>) -> Self {
        AdmissionGate {
            gate: Gate::new(now, settings),
            waiting: HashMap::new(),
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

    /// Handles a new request. `None` if it waits.
    pub fn arrive(&mut self, now: Duration, arrival: Arrival) -> Option<GateOutcome> {
        let request = &arrival.request;
        let remaining = request.remaining.saturating_sub(arrival.arrived_at.elapsed());
        let (id, class, tenant) = (request.id, request.class, request.tenant);
        let fingerprint = arrival.fingerprint.map(RequestFingerprint);
        match self.gate.arrive(now, admission_control::Arrival { id, class, tenant, remaining, fingerprint })
        {
            AdmissionDecision::Admit => Some(GateOutcome::Admitted(arrival)),
            AdmissionDecision::Queue => {
                self.waiting.insert(id, arrival);
                None
            }
            AdmissionDecision::Reject(rejection) => {
                self.retry_storm.borrow_mut().record_rejection(now);
                Some(reject(arrival, rejection))
            }
        }
    }

    /// Removes the request of a client that has disconnected, if it waits here. Returns whether it did.
    pub fn remove_waiting(&mut self, now: Duration, id: RequestId) -> bool {
        let waited = self.waiting.remove(&id).is_some();
        if waited {
            self.gate.request_finished(now, id);
        }
        waited
    }

    /// The requests that wait no longer, in order.
    pub fn take_decided(&mut self) -> Vec<GateOutcome> {
        let decisions = self.gate.take_decisions();
        let outcome = |decision: QueueDecision| {
            let arrival = self.waiting.remove(&decision.id)?;
            Some(match decision.rejection {
                None => GateOutcome::Admitted(arrival),
                Some(rejection) => reject(arrival, rejection),
            })
        };
        decisions.into_iter().filter_map(outcome).collect()
    }

    /// The events that the balancer is due.
    pub fn take_events(&mut self, now: Duration) -> Vec<Event> {
        for (server, change) in self.gate.take_limit_changes() {
            debug!(
                "limit of {server:?}: {:.1} to {:.1} ({:?}; latency {:.2} times the usual, {:.0} answers a second)",
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

    /// Records an attempt that is sent.
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

    /// Runs what is due at this time.
    pub fn tick(&mut self, now: Duration) {
        self.gate.tick(now);
    }

    /// When [`Self::tick`] is due next.
    pub fn next_tick(&self) -> Option<Duration> {
        self.gate.next_tick()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Its counts, as a line for the log.
    pub fn summary(&self) -> String {
        let status = self.gate.status();
        let counts = self.gate.counts();
        format!(
            concat!(
                "at the boxes {} of {}, waiting {}; at once {} after a wait {} refused {} repeats {}; ",
                "steps taken {}; limits changed {}",
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
