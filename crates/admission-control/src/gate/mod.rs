//! The gate of a cluster, which decides whether a request is forwarded to the balancer now, queued, or
//! rejected. The balancer then selects a backend and sends attempts.
//!
//! While the backends have capacity, every request is admitted at once. Beyond that requests are queued, but
//! only as many as can be served within their maximum time in the queue. A request that is displaced or has
//! been queued for its maximum time is rejected at once, with a retry time that is spread in proportion to
//! the overload. Requests that are queued or rejected here have never been sent to a backend.

mod class_costs;
mod decision;
mod pressure;
mod settings;
mod tenants;

pub use decision::{
    AdmissionDecision, Arrival, GateStatus, QueueDecision, Rejection, RejectionReason, RequestCounts,
};
pub use settings::{ClassSettings, GateSettings, TenantSettings};

use crate::backends::{Backends, Capacity, Endpoint};
use crate::brownout::{BrownoutAction, BrownoutLevels};
use crate::client_retries::{ClientRetries, RequestFingerprint};
use crate::fair_queue::{FairQueue, QueuedRequest};
use crate::limit::LimitChange;
use crate::retry_after::RetryAfterSpread;
use class_costs::ClassCosts;
use join_up_to::{AttemptRestrictions, Outcome, RequestId, ServerId};
use pressure::Pressure;
use rustc_hash::FxHashMap;
use std::time::Duration;
use tenants::Tenants;

/// The maximum number of queued requests. Bounds memory independently of their estimated costs.
const MAX_QUEUED: usize = 1 << 14;
/// The maximum number of requests displaced by one arrival. Bounds the work per arrival; later arrivals
/// displace the rest.
const MAX_DISPLACED: usize = 4;
/// The minimum retry time for a class that is not in the settings.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that is queued or in flight.
#[derive(Clone, Copy, Debug)]
struct TrackedRequest {
    class_slot: usize,
    min_retry_after: Duration,
    fingerprint: Option<RequestFingerprint>,
    is_queued: bool,
    cost: f64,
    /// Whether the request is new work, as opposed to a client's retry after a rejection.
    is_first: bool,
}

/// The gate of a cluster, with its queue and the concurrency limits of its backends.
#[derive(Debug)]
pub struct Gate {
    settings: GateSettings,
    backends: Backends,
    queue: FairQueue,
    requests: FxHashMap<RequestId, TrackedRequest>,
    /// The fingerprints of queued requests.
    queued_fingerprints: FxHashMap<RequestFingerprint, RequestId>,
    in_flight: u32,
    costs: ClassCosts,
    tenants: Tenants,
    client_retries: ClientRetries,
    retry_after: RetryAfterSpread,
    pressure: Pressure,
    brownout: BrownoutLevels,
    decisions: Vec<QueueDecision>,
    counts: RequestCounts,
}

impl Gate {
    /// A gate without backends; see [`Gate::set_endpoints`].
    pub fn new(now: Duration, settings: GateSettings) -> Self {
        let mut gate = Gate {
            backends: Backends::new(settings.limits),
            brownout: BrownoutLevels::new(settings.brownout.clone()),
            queue: FairQueue::default(),
            requests: FxHashMap::default(),
            queued_fingerprints: FxHashMap::default(),
            in_flight: 0,
            costs: ClassCosts::default(),
            tenants: Tenants::default(),
            client_retries: ClientRetries::default(),
            retry_after: RetryAfterSpread::default(),
            pressure: Pressure::new(now),
            decisions: Vec::new(),
            counts: RequestCounts::default(),
            settings,
        };
        gate.apply_settings(now);
        gate
    }

    /// Replaces the settings. Queued requests remain queued under the new shares; learned limits and costs
    /// are kept.
    pub fn reconfigure(&mut self, now: Duration, settings: GateSettings) {
        self.settings = settings;
        self.backends.set_limit_settings(now, self.settings.limits);
        self.brownout.set_steps(self.settings.brownout.clone());
        self.apply_settings(now);
        self.admit_queued(now);
    }

    fn apply_settings(&mut self, now: Duration) {
        self.costs.set_classes(&self.settings.classes);
        self.tenants.set_tenants(now, &self.settings.tenants, &mut self.queue);
    }

    /// Replaces the list of backends. See [`Backends::set_endpoints`].
    pub fn set_endpoints(&mut self, now: Duration, endpoints: &[Endpoint]) {
        self.backends.set_endpoints(now, endpoints);
        self.admit_queued(now);
    }

    /// The larger of requests and attempts in flight: hedged attempts use capacity too, and a request in a
    /// backoff will use it again.
    fn used_capacity(&self) -> u32 {
        self.in_flight.max(self.backends.in_flight())
    }

    fn has_capacity(&self) -> bool {
        self.used_capacity() < self.backends.total_capacity()
    }

    /// Decides whether an arriving request is admitted, queued or rejected.
    pub fn arrive(&mut self, now: Duration, arrival: Arrival) -> AdmissionDecision {
        self.advance(now);
        let request = self.track(now, &arrival);
        let tenant = self.tenants.slot(arrival.tenant);
        let guaranteed = self.tenants.take_guaranteed(now, tenant);
        if !guaranteed && self.sheds(arrival.class) {
            return AdmissionDecision::Reject(self.reject(now, &request, RejectionReason::Shed));
        }
        if self.queue.is_empty() && self.has_capacity() {
            self.admit(arrival.id, request);
            self.counts.admitted_at_once += 1;
            return AdmissionDecision::Admit;
        }
        if arrival.fingerprint.is_some_and(|print| self.queued_fingerprints.contains_key(&print)) {
            return AdmissionDecision::Reject(self.reject(now, &request, RejectionReason::Duplicate));
        }
        let class = self.settings.classes.get(arrival.class);
        let max_queue_time = class.and_then(|class| class.max_queue_time).unwrap_or(arrival.remaining / 4);
        let queue_time = max_queue_time.min(arrival.remaining);
        let queued = QueuedRequest {
            id: arrival.id,
            tenant,
            cost: request.cost,
            priority_weight: class.map_or(1.0, |class| class.priority_weight),
            deadline: now + queue_time,
            guaranteed,
        };
        if !self.make_queue_space(now, &queued, queue_time) {
            return AdmissionDecision::Reject(self.reject(now, &request, RejectionReason::QueueFull));
        }
        self.queue.push(queued);
        self.requests.insert(arrival.id, TrackedRequest { is_queued: true, ..request });
        if let Some(fingerprint) = arrival.fingerprint {
            self.queued_fingerprints.insert(fingerprint, arrival.id);
        }
        AdmissionDecision::Queue
    }

    /// Counts an arrival as new work or as a client's retry, so that work counts only once if its client
    /// retries.
    fn track(&mut self, now: Duration, arrival: &Arrival) -> TrackedRequest {
        let class_slot = self.costs.slot(arrival.class);
        let cost = self.costs.cost(class_slot);
        let rejections =
            arrival.fingerprint.map_or(0, |print| self.client_retries.rejection_count(now, print));
        let is_first = rejections == 0;
        if is_first {
            self.pressure.record_arrival(now, cost);
        } else {
            self.counts.client_retries += 1;
        }
        let class = self.settings.classes.get(arrival.class);
        TrackedRequest {
            class_slot,
            min_retry_after: class.map_or(DEFAULT_RETRY_AFTER, |class| class.min_retry_after),
            fingerprint: arrival.fingerprint,
            is_queued: false,
            cost,
            is_first,
        }
    }

    fn sheds(&self, class: usize) -> bool {
        self.brownout.active_steps().iter().any(|step| match &step.action {
            BrownoutAction::ShedClasses(classes) => classes.contains(&class),
            _ => false,
        })
    }

    /// Rejects the requests that a new one displaces. Returns whether there is space for it in the queue.
    fn make_queue_space(&mut self, now: Duration, new: &QueuedRequest, queue_time: Duration) -> bool {
        // By Little's law, a capacity of n requests in flight serves n seconds of backend time per second.
        let max_cost = queue_time.as_secs_f64() * f64::from(self.backends.total_capacity().max(1));
        for _ in 0..MAX_DISPLACED {
            if self.queue.is_empty()
                || self.queue.cost() + new.cost <= max_cost && self.queue.len() < MAX_QUEUED
            {
                return true;
            }
            match self.queue.displaced_by(new) {
                Some(id) if id != new.id => self.reject_queued(now, id, RejectionReason::Displaced),
                _ => return false,
            }
        }
        // The maximum number of requests has been displaced; the queue may exceed the cost limit for now.
        self.queue.len() < MAX_QUEUED
    }

    fn reject_queued(&mut self, now: Duration, id: RequestId, reason: RejectionReason) {
        self.queue.remove(id);
        if let Some(request) = self.requests.remove(&id) {
            self.remove_queued_fingerprint(&request, id);
            let rejection = self.reject(now, &request, reason);
            self.decisions.push(QueueDecision { id, rejection: Some(rejection) });
        }
    }

    fn remove_queued_fingerprint(&mut self, request: &TrackedRequest, id: RequestId) {
        let own = request.fingerprint.filter(|print| self.queued_fingerprints.get(print) == Some(&id));
        if let Some(fingerprint) = own {
            self.queued_fingerprints.remove(&fingerprint);
        }
    }

    /// Counts a rejection and computes the retry time for its client.
    fn reject(&mut self, now: Duration, request: &TrackedRequest, reason: RejectionReason) -> Rejection {
        self.counts.rejected += 1;
        if request.is_first {
            self.pressure.record_rejection(now, request.cost);
        }
        let unserved = self.unserved_share(now);
        let retry_after = self.retry_after.next(request.min_retry_after, 1.0 / (1.0 - unserved).max(1e-3));
        if let Some(fingerprint) = request.fingerprint {
            self.client_retries.record_rejection(now, fingerprint, retry_after);
        }
        Rejection { reason, retry_after, fallback: self.is_active(&BrownoutAction::ServeFallback) }
    }

    fn is_active(&self, action: &BrownoutAction) -> bool {
        self.brownout.active_steps().iter().any(|step| step.action == *action)
    }

    fn admit(&mut self, id: RequestId, request: TrackedRequest) {
        self.in_flight += 1;
        self.requests.insert(id, TrackedRequest { is_queued: false, ..request });
    }

    /// The share of arriving work that exceeds the capacity, from 0 to 1.
    pub fn unserved_share(&self, now: Duration) -> f64 {
        self.pressure.unserved_share(now)
    }

    fn record_spare_capacity(&mut self, now: Duration) {
        let spare = self.backends.total_capacity().saturating_sub(self.used_capacity());
        self.pressure.record_spare(now, spare);
    }

    /// Rejects requests whose maximum time in the queue has passed, and updates the brownout level.
    fn advance(&mut self, now: Duration) {
        while let Some(request) = self.queue.expire(now) {
            self.reject_queued(now, request.id, RejectionReason::QueueTimeout);
        }
        self.record_spare_capacity(now);
        let unserved = self.unserved_share(now);
        self.brownout.update(now, unserved);
        self.backends.tick(now);
    }

    /// Admits queued requests while there is capacity.
    fn admit_queued(&mut self, now: Duration) {
        self.advance(now);
        while self.has_capacity()
            && let Some(queued) = self.queue.pop()
        {
            let Some(request) = self.requests.get(&queued.id).copied() else { continue };
            self.remove_queued_fingerprint(&request, queued.id);
            self.admit(queued.id, request);
            self.counts.admitted_from_queue += 1;
            self.decisions.push(QueueDecision { id: queued.id, rejection: None });
        }
    }

    /// Records that an attempt is sent to a backend.
    pub fn attempt_sent(&mut self, now: Duration, backend: ServerId) {
        self.record_spare_capacity(now);
        self.backends.attempt_sent(now, backend);
    }

    /// Records the end of an attempt, `elapsed` after it was sent, and admits queued requests.
    pub fn attempt_ended(
        &mut self,
        now: Duration,
        id: RequestId,
        backend: ServerId,
        outcome: Outcome,
        elapsed: Duration,
    ) {
        self.record_spare_capacity(now);
        let request = self.requests.get(&id).copied();
        let class_slot = request.map_or(0, |request| request.class_slot);
        if outcome == Outcome::Served {
            self.costs.record(class_slot, elapsed);
            if let Some(fingerprint) = request.and_then(|request| request.fingerprint) {
                self.client_retries.record_served(fingerprint);
            }
        }
        self.backends.attempt_ended(now, backend, class_slot, outcome, elapsed);
        self.admit_queued(now);
    }

    /// Records that a request is finished or that its client has disconnected, and reuses its capacity.
    pub fn request_finished(&mut self, now: Duration, id: RequestId) {
        self.record_spare_capacity(now);
        if let Some(request) = self.requests.remove(&id) {
            if request.is_queued && self.queue.remove(id).is_some() {
                self.remove_queued_fingerprint(&request, id);
            } else {
                self.in_flight = self.in_flight.saturating_sub(1);
            }
        }
        self.admit_queued(now);
    }

    /// Processes expired queue times, slow start and brownout levels. To be called no later than
    /// [`Gate::next_tick`].
    pub fn tick(&mut self, now: Duration) {
        self.admit_queued(now);
    }

    /// The time of the next call of [`Gate::tick`]; `None` if none is needed.
    pub fn next_tick(&self) -> Option<Duration> {
        match (self.queue.next_deadline(), self.backends.next_refresh()) {
            (Some(deadline), Some(refresh)) => Some(deadline.min(refresh)),
            (deadline, refresh) => deadline.or(refresh),
        }
    }

    /// The decisions on queued requests since the last call, in order. There is exactly one for each queued
    /// request, unless [`Gate::request_finished`] removed it.
    pub fn take_decisions(&mut self) -> Vec<QueueDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// The capacities of backends that have changed since the last call.
    pub fn take_capacity_updates(&mut self) -> Vec<Capacity> {
        self.backends.take_capacity_updates()
    }

    /// The changes of limits since the last call, with the measurements that caused them.
    pub fn take_limit_changes(&mut self) -> Vec<(ServerId, LimitChange)> {
        self.backends.take_limit_changes()
    }

    /// The additional attempts that the balancer must not make at the current brownout level.
    pub fn attempt_restrictions(&self) -> AttemptRestrictions {
        AttemptRestrictions {
            no_hedging: self.is_active(&BrownoutAction::DisableHedging),
            no_retries_after_execution: self.is_active(&BrownoutAction::DisableRetries),
            no_retries: false,
        }
    }

    /// The current load and brownout level, for diagnostics.
    pub fn status(&self) -> GateStatus {
        GateStatus {
            in_flight: self.in_flight,
            capacity: self.backends.total_capacity(),
            queued: self.queue.len(),
            brownout_level: self.brownout.level(),
        }
    }

    /// The request counts since the gate was created.
    pub fn counts(&self) -> RequestCounts {
        self.counts
    }

    /// The backends with their limits and learned capacities, for diagnostics.
    pub fn backends(&self) -> &Backends {
        &self.backends
    }
}
