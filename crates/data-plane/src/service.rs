//! One service at this node: its backends, the selection among them, and its retry budget.

use crate::backend::Backend;
use http_transport::reuse_delay::ReuseDelay;
use node_settings::Bounds;
use policy::{Connections, Policy};
use quota::RetryBudget;
use routing::{AttemptId, BackendId, Decision, EngineSettings, Load, Outcome, RequestShape};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The longest delay before an idle connection is reused, for backends that send bytes after the end of a
/// response.
const MAX_REUSE_DELAY: Duration = Duration::from_millis(25);
/// The tokens in one event of a stream if the configuration does not state them.
const DEFAULT_TOKENS_PER_EVENT: u32 = 1;

/// The fraction of the configured retry ratio that a node uses. The margin covers the difference between each
/// node's own sliding window and that of the fleet.
const USED_RATIO_FRACTION: f64 = 0.75;
/// The retries per window that a node may make beyond the ratio, so that a single failure is retried under
/// low traffic too.
const MIN_RETRIES_PER_WINDOW: f64 = 2.0;

/// The least number of connections to a backend, so that a node can have two requests in flight there.
const MIN_CONNECTIONS: usize = 2;

/// This node's share of the connections that a backend accepts from all nodes: `factor` times an even share.
fn connection_share(max_connections: u64, nodes: u32, factor: f64) -> usize {
    let share = max_connections as f64 * factor / f64::from(nodes.max(1));
    (share as usize).clamp(MIN_CONNECTIONS, (max_connections as usize).max(MIN_CONNECTIONS))
}

fn budget(bounds: &Bounds) -> RetryBudget {
    let window = Duration::try_from_secs_f64(bounds.budget_window_s).unwrap_or(Duration::from_secs(10));
    RetryBudget::new(bounds.retry_budget_ratio * USED_RATIO_FRACTION, window, MIN_RETRIES_PER_WINDOW)
}

/// The state of a service at this node.
pub struct Service {
    /// The service's name in the configuration.
    pub name: String,
    connection_policy: Connections,
    /// The origin of the times in `routing` and `budget`.
    started_at: Instant,
    routing: RefCell<routing::Service>,
    backends: RefCell<HashMap<BackendId, Rc<Backend>>>,
    budget: RefCell<RetryBudget>,
    reuse_delay: Rc<ReuseDelay>,
    max_connections: Cell<usize>,
    /// Whether the backends are engines, which report their load on request.
    serves_load_reports: Cell<bool>,
}

impl Service {
    /// A service without backends. `started_at` is any instant that is not in the future, `nodes` the number
    /// of frontend nodes that share the backends.
    pub fn new(
        name: &str,
        started_at: Instant,
        bounds: &Bounds,
        policy: &Policy,
        nodes: u32,
        seed: u64,
    ) -> Self {
        Service {
            name: name.to_owned(),
            connection_policy: policy.connections.clone(),
            started_at,
            routing: RefCell::new(routing::Service::with_policy(None, nodes, seed, policy.routing)),
            backends: RefCell::default(),
            budget: RefCell::new(budget(bounds)),
            reuse_delay: Rc::new(ReuseDelay::new(MAX_REUSE_DELAY)),
            max_connections: Cell::new(usize::MAX),
            serves_load_reports: Cell::new(false),
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Applies the service's entry in a configuration.
    pub fn reconfigure(&self, configured: &configuration::Service, nodes: u32) {
        let engine = configured.engine.as_ref().map(|engine| EngineSettings {
            slots: engine.slots,
            kv_capacity_tokens: engine.kv_capacity_tokens,
            tokens_per_event: engine.stride.unwrap_or(DEFAULT_TOKENS_PER_EVENT),
        });
        self.serves_load_reports.set(engine.is_some());
        let audited = engine.is_some() && configured.holdings_path.is_some();
        let mut routing = self.routing.borrow_mut();
        routing.reconfigure(engine, nodes);
        routing.set_audited(audited);
        let factor = self.connection_policy.share_factor;
        let max_connections =
            configured.max_connections.map_or(usize::MAX, |max| connection_share(max, nodes, factor));
        self.max_connections.set(max_connections);
    }

    /// The most connections that this node opens to one backend of the service.
    pub fn max_connections(&self) -> usize {
        self.max_connections.get()
    }

    /// The backend for a listed instance: the present one if its address is unchanged, or a new one. `None`
    /// if the instance id is not a valid header value.
    pub fn backend(&self, listed: &control_protocol::Backend, zone: &str) -> Option<Rc<Backend>> {
        let id = BackendId(listed.instance_id.as_str().into());
        let present =
            self.backends.borrow().get(&id).filter(|present| present.address == listed.address).cloned();
        if let Some(present) = present {
            present.slow_start_remaining.set(Duration::from_millis(listed.cold_remaining_ms));
            return Some(present);
        }
        Backend::new(id, listed, zone, self.reuse_delay.clone(), &self.connection_policy).map(Rc::new)
    }

    /// Replaces the backends that accept new requests. Those that are no longer among them get none from now
    /// on.
    pub fn replace_backends(&self, backends: Vec<Rc<Backend>>) {
        let now = self.now();
        let entries = backends.iter().map(|backend| backend.routing_entry()).collect();
        let next: HashMap<_, _> = backends.into_iter().map(|backend| (backend.id.clone(), backend)).collect();
        let previous = self.backends.replace(next);
        for (id, backend) in previous {
            if !self.backends.borrow().get(&id).is_some_and(|current| Rc::ptr_eq(current, &backend)) {
                backend.retire();
            }
        }
        self.routing.borrow_mut().replace_backends(now, entries);
    }

    /// The backends that accept new requests.
    pub fn backends(&self) -> Vec<Rc<Backend>> {
        self.backends.borrow().values().cloned().collect()
    }

    /// The backend with this id, if it accepts new requests.
    pub fn get(&self, id: &BackendId) -> Option<Rc<Backend>> {
        self.backends.borrow().get(id).cloned()
    }

    /// Counts a client's request to this service, by which the retry budget grows.
    pub fn record_request(&self) {
        self.budget.borrow_mut().record_request(self.now());
    }

    /// Whether the retry budget allows a retry now.
    pub fn has_retry_budget(&self) -> bool {
        self.budget.borrow_mut().has_capacity(self.now())
    }

    /// Counts a retry if the retry budget allows it. Returns whether it does.
    pub fn spend_retry_budget(&self) -> bool {
        self.budget.borrow_mut().try_retry(self.now())
    }

    /// Selects a backend for a request, or rejects it. `attempted` are the backends that it was sent to
    /// before.
    pub fn decide(&self, shape: &RequestShape, attempted: &[BackendId]) -> Decision {
        self.routing.borrow_mut().decide(self.now(), shape, attempted)
    }

    /// The backends to request a load report of now. None unless they are engines, as others would handle it
    /// as a client's request.
    pub fn due_load_reports(&self) -> Vec<Rc<Backend>> {
        if !self.serves_load_reports.get() {
            return Vec::new();
        }
        let due = self.routing.borrow_mut().due_load_reports(self.now());
        due.iter().filter_map(|id| self.get(id)).collect()
    }

    /// Takes the changes of the prompt index since the last call.
    pub fn index_changes(&self) -> Vec<control_protocol::IndexChange> {
        self.routing.borrow_mut().index_changes().iter().map(protocol_change).collect()
    }

    /// Returns the complete prompt index as far as it is reported to auditors. Includes the changes so far,
    /// which [`Self::index_changes`] does not return again.
    pub fn complete_index(&self) -> Vec<control_protocol::IndexChange> {
        self.routing.borrow_mut().complete_index().iter().map(protocol_change).collect()
    }

    /// Applies the corrections of an audit. Those for backends of other services are ignored.
    pub fn correct_index(&self, changes: &[control_protocol::IndexChange]) {
        let backends = self.backends.borrow();
        let by_key: HashMap<u64, &BackendId> =
            backends.keys().map(|id| (control_protocol::instance_key(&id.0), id)).collect();
        let mut routing = self.routing.borrow_mut();
        for change in changes {
            if let Some(id) = by_key.get(&change.backend) {
                routing.correct_index(id, change.block, change.tokens);
            }
        }
    }

    /// Applies a load report that was requested at `requested_at`. `report` is `None` if none arrived.
    pub fn report_received(
        &self,
        backend: &BackendId,
        requested_at: Instant,
        report: Option<routing::LoadReport>,
    ) {
        let requested_at = requested_at.saturating_duration_since(self.started_at);
        self.routing.borrow_mut().report_received(self.now(), backend, requested_at, report);
    }
}

fn protocol_change(change: &routing::IndexChange) -> control_protocol::IndexChange {
    let backend = control_protocol::instance_key(&change.backend.0);
    control_protocol::IndexChange { backend, block: change.block, tokens: change.tokens }
}

/// An attempt that counts as in flight in the selection of backends. Counts as cancelled if it is dropped
/// before [`InFlightAttempt::end`].
pub struct InFlightAttempt {
    service: Rc<Service>,
    id: AttemptId,
    has_ended: bool,
}

impl InFlightAttempt {
    /// Wraps the attempt of a decision to forward a request.
    pub fn new(service: Rc<Service>, id: AttemptId) -> Self {
        InFlightAttempt { service, id, has_ended: false }
    }

    /// Records that bytes of the response's body have arrived.
    pub fn body_received(&self) {
        let service = &self.service;
        service.routing.borrow_mut().response_started(service.now(), self.id);
    }

    /// Records the load in the head of the response.
    pub fn load_received(&self, load: Load) {
        let service = &self.service;
        service.routing.borrow_mut().load_received(service.now(), self.id, load);
    }

    /// Records the end of the attempt, with the load in the head of its response, if any.
    pub fn end(mut self, outcome: Outcome, load: Option<Load>) {
        self.record_end(outcome, load);
    }

    fn record_end(&mut self, outcome: Outcome, load: Option<Load>) {
        if !std::mem::replace(&mut self.has_ended, true) {
            let service = &self.service;
            service.routing.borrow_mut().attempt_ended(service.now(), self.id, outcome, load);
        }
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.record_end(Outcome::Cancelled, None);
    }
}
