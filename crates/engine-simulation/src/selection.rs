//! The selection of backends at the nodes of a simulation.

use crate::baseline::{BaselinePolicy, BaselineSelector};
use routing::{
    AttemptId, BackendEntry, BackendId, Decision, EngineSettings, Load, LoadReport, Outcome, RequestShape,
    RoutingPolicy, Service,
};
use std::time::Duration;

/// A selection policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SelectionPolicy {
    /// A baseline.
    Baseline(BaselinePolicy),
    /// The package `routing` with this policy.
    Routing(RoutingPolicy),
}

/// The selector of one node.
pub enum Selector {
    /// A baseline.
    Baseline(Box<BaselineSelector>),
    /// The package `routing`.
    Routing(Box<Service>),
}

impl Selector {
    /// A selector without backends. `engine` is `None` for plain backends; `nodes` is the number of nodes.
    pub fn new(policy: SelectionPolicy, engine: Option<EngineSettings>, nodes: u32, seed: u64) -> Selector {
        match policy {
            SelectionPolicy::Routing(policy) => {
                Selector::Routing(Box::new(Service::with_policy(engine, nodes, seed, policy)))
            }
            SelectionPolicy::Baseline(policy) => {
                Selector::Baseline(Box::new(BaselineSelector::new(policy, engine, nodes, seed)))
            }
        }
    }

    /// See [`Service::replace_backends`].
    pub fn replace_backends(&mut self, now: Duration, entries: Vec<BackendEntry>) {
        match self {
            Selector::Routing(service) => service.replace_backends(now, entries),
            Selector::Baseline(baseline) => baseline.replace_backends(entries),
        }
    }

    /// See [`Service::decide`].
    pub fn decide(&mut self, now: Duration, request: &RequestShape, tried: &[BackendId]) -> Decision {
        match self {
            Selector::Routing(service) => service.decide(now, request, tried),
            Selector::Baseline(baseline) => baseline.decide(request, tried),
        }
    }

    /// See [`Service::response_started`].
    pub fn response_started(&mut self, now: Duration, attempt: AttemptId) {
        if let Selector::Routing(service) = self {
            service.response_started(now, attempt);
        }
    }

    /// See [`Service::load_received`].
    pub fn load_received(&mut self, now: Duration, attempt: AttemptId, load: Load) {
        match self {
            Selector::Routing(service) => service.load_received(now, attempt, load),
            Selector::Baseline(baseline) => baseline.load_received(attempt, load),
        }
    }

    /// See [`Service::attempt_ended`].
    pub fn attempt_ended(&mut self, now: Duration, attempt: AttemptId, outcome: Outcome, load: Option<Load>) {
        match self {
            Selector::Routing(service) => service.attempt_ended(now, attempt, outcome, load),
            Selector::Baseline(baseline) => baseline.attempt_ended(attempt, load),
        }
    }

    /// See [`Service::report_received`].
    pub fn report_received(
        &mut self,
        now: Duration,
        backend: &BackendId,
        requested_at: Duration,
        report: Option<LoadReport>,
    ) {
        if let Selector::Routing(service) = self {
            service.report_received(now, backend, requested_at, report);
        }
    }

    /// See [`Service::due_load_reports`].
    pub fn due_load_reports(&mut self, now: Duration) -> Vec<BackendId> {
        match self {
            Selector::Routing(service) => service.due_load_reports(now),
            Selector::Baseline(_) => Vec::new(),
        }
    }
}
