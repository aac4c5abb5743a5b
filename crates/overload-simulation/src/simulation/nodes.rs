//! Events of nodes: decisions of gates, actions of balancers, and attempts.

use super::clients::SentAttempt;
use super::{START, Simulation, SimulationEvent};
use crate::backend::{ArrivalResult, AttemptKey};
use crate::tally::NodeLimitChange;
use admission_control::{Gate, GateSettings};
use join_up_to::{
    Action, AttemptEnd, AttemptRestrictions, Balancer, Event, Outcome, Repeat, RequestId, ServerId, Settings,
};
use rand::Rng;
use std::collections::VecDeque;
use std::time::Duration;

/// The time until a node learns that an attempt has failed immediately.
const ROUND_TRIP: Duration = Duration::from_micros(200);
/// The retry-after time if the balancer does not set one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The number of stored requests above which old ones are removed.
const MAX_REQUESTS: usize = 1 << 17;
/// The probability of such a removal when a request finishes, in units of 2^-32. Most calls avoid the scan of
/// all requests.
const REMOVAL_PROBABILITY: u32 = 1 << 12;
/// How long after its deadline a finished request is kept.
const REQUEST_RETENTION: Duration = Duration::from_secs(60);

/// A node with its gate and balancer, and their state as the simulation last saw it.
pub(super) struct Node {
    balancer: Balancer,
    pub(super) gate: Option<Gate>,
    /// The attempt restrictions that were last passed to the balancer.
    restrictions: AttemptRestrictions,
    /// The time of the scheduled tick of the gate; `None` if none is scheduled.
    pub(super) tick_at: Option<Duration>,
    brownout_level: usize,
}

impl Node {
    pub(super) fn new(settings: Settings, seed: u64, gate: Option<GateSettings>) -> Self {
        Node {
            balancer: Balancer::new(settings, seed),
            gate: gate.map(|settings| Gate::new(START, settings)),
            restrictions: AttemptRestrictions::default(),
            tick_at: None,
            brownout_level: 0,
        }
    }
}

impl Simulation<'_> {
    /// Applies the decisions of a gate until there are no more, and schedules its next tick.
    pub(super) fn follow_gate(&mut self, number: usize) {
        while self.apply_gate_decisions(number) {}
        let node = &mut self.nodes[number];
        let next = node.gate.as_ref().and_then(Gate::next_tick).map(|at| at.max(self.now));
        if let Some(at) = next.filter(|at| node.tick_at.is_none_or(|set| *at < set)) {
            node.tick_at = Some(at);
            self.schedule(at, SimulationEvent::GateTick { node: number });
        }
    }

    /// Applies the present decisions of a gate. Returns whether there were any.
    fn apply_gate_decisions(&mut self, number: usize) -> bool {
        let node = &mut self.nodes[number];
        let Some(gate) = &mut node.gate else { return false };
        let (decisions, capacities, restrictions) =
            (gate.take_decisions(), gate.take_capacity_updates(), gate.attempt_restrictions());
        let changes = gate.take_limit_changes().into_iter();
        let changes =
            changes.map(|(server, change)| NodeLimitChange { node: number, backend: server.0, change });
        self.tally.limit_changes.extend(changes);
        let level = gate.status().brownout_level;
        self.tally.brownout_changes += u64::from(level != node.brownout_level);
        node.brownout_level = level;
        let has_changed = std::mem::replace(&mut node.restrictions, restrictions) != restrictions;
        if decisions.is_empty() && capacities.is_empty() && !has_changed {
            return false;
        }
        for capacity in capacities {
            let event = Event::Capacity {
                server: capacity.backend,
                max_in_flight: capacity.max_in_flight,
                relative: capacity.relative,
            };
            self.handle_at_node(number, event);
        }
        if has_changed {
            self.handle_at_node(number, Event::Restrict(restrictions));
        }
        for decision in decisions {
            match decision.rejection {
                None => self.admit(decision.id),
                Some(rejection) => self.reject(decision.id, rejection.retry_after),
            }
        }
        true
    }

    /// Passes an event to a balancer, and then the events that its actions cause immediately.
    pub(super) fn handle_at_node(&mut self, node: usize, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.nodes[node].balancer.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.carry_out(node, action));
            }
        }
    }

    /// Performs an action of a balancer. Returns the event that it causes immediately.
    fn carry_out(&mut self, node: usize, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, server, timeout } => self.send_attempt(id, server, timeout),
            Action::Refuse { id, retry_after } => {
                self.requests.entry(id).and_modify(|request| request.ended_by_balancer = true);
                self.reject(id, retry_after.unwrap_or(DEFAULT_RETRY_AFTER));
            }
            Action::Fail { id } => {
                self.requests.entry(id).and_modify(|request| request.ended_by_balancer = true);
                if self.record_response(id) {
                    let stream = self.requests[&id].stream;
                    self.tally.streams[stream].failed += 1;
                }
                self.remove_finished(id);
            }
            Action::Cancel { id, attempt } => {
                return self.cancel_attempt(node, AttemptKey { request: id, attempt });
            }
            Action::SetTimer { after, token } => {
                self.schedule(self.now + after, SimulationEvent::Timer { node, token });
            }
            _ => {}
        }
        None
    }

    fn send_attempt(&mut self, id: RequestId, server: ServerId, timeout: Duration) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.len() as u32;
        let class = &self.surge.settings.classes[self.surge.streams[request.stream].class];
        if class.repeat == Repeat::Unsafe && request.attempts.iter().any(SentAttempt::may_have_run) {
            self.tally.violations.push(format!("request {} may run twice", id.0));
        }
        request.attempts.push(SentAttempt { server, sent: self.now, outcome: None });
        self.tally.attempts += 1;
        self.tally.additional_attempts += u64::from(attempt > 0);
        let service_time = self.surge.streams[request.stream].service_time;
        if let Some(gate) = &mut self.nodes[request.node].gate {
            gate.attempt_sent(self.now, server);
        }
        let number = server.0 as usize;
        let key = AttemptKey { request: id, attempt };
        let failure = |outcome| SimulationEvent::AttemptFailure { key, outcome };
        let backend = &mut self.backends[number];
        if !backend.is_up || backend.returns_errors {
            let outcome = if backend.is_up { Outcome::Error } else { Outcome::ConnectFailed };
            return self.schedule(self.now + ROUND_TRIP, failure(outcome));
        }
        match backend.arrive(key, service_time, &mut self.random) {
            ArrivalResult::Started(duration) => {
                let incarnation = backend.incarnation;
                let end = SimulationEvent::JobEnd { backend: number, incarnation, key };
                self.schedule(self.now + duration, end);
            }
            ArrivalResult::Queued => {}
            ArrivalResult::Rejected => {
                return self.schedule(self.now + ROUND_TRIP, failure(Outcome::Rejected));
            }
        }
        self.schedule(self.now + timeout, SimulationEvent::AttemptTimeout { key });
    }

    /// Cancels an attempt in flight. Returns the event for the balancer.
    fn cancel_attempt(&mut self, node: usize, key: AttemptKey) -> Option<Event> {
        let (id, attempt) = (key.request, key.attempt);
        let request = self.requests.get_mut(&id)?;
        let (finished, ended_by_balancer) = (request.has_response, request.ended_by_balancer);
        let sent = request.attempts.get_mut(attempt as usize)?;
        if sent.outcome.replace(Outcome::Cancelled).is_some() {
            return None;
        }
        let (server, elapsed) = (sent.server, self.now - sent.sent);
        self.backends[server.0 as usize].cancel(key);
        if let Some(gate) = &mut self.nodes[node].gate {
            let outcome = if ended_by_balancer { Outcome::TimedOut } else { Outcome::Cancelled };
            gate.attempt_ended(self.now, id, server, outcome, elapsed);
        }
        let (outcome, report) = (Outcome::Cancelled, None);
        let end = AttemptEnd { id, attempt, server, outcome, elapsed, finished, report };
        self.remove_finished(id);
        Some(Event::AttemptEnded(end))
    }

    /// Ends an attempt with an outcome, if it is in flight. Returns its node.
    pub(super) fn end_attempt(&mut self, key: AttemptKey, outcome: Outcome) -> Option<usize> {
        let (id, attempt) = (key.request, key.attempt);
        let request = self.requests.get_mut(&id)?;
        let sent = request.attempts.get_mut(attempt as usize)?;
        if sent.outcome.replace(outcome).is_some() {
            return None;
        }
        let (server, elapsed) = (sent.server, self.now - sent.sent);
        let (stream, first_arrival, node) = (request.stream, request.first_arrival, request.node);
        if outcome == Outcome::Served && !request.has_response && self.record_response(id) {
            self.record_served(stream, first_arrival);
        }
        let finished = self.requests.get(&id).is_none_or(|request| request.has_response);
        if let Some(gate) = &mut self.nodes[node].gate {
            gate.attempt_ended(self.now, id, server, outcome, elapsed);
        }
        let report = None;
        let end = AttemptEnd { id, attempt, server, outcome, elapsed, finished, report };
        self.handle_at_node(node, Event::AttemptEnded(end));
        self.remove_finished(id);
        Some(node)
    }

    fn record_served(&mut self, stream: usize, first_arrival: Duration) {
        let second = self.seconds() as usize;
        if let Some(count) = self.tally.served_by_second.get_mut(second) {
            *count += 1;
        }
        let tally = &mut self.tally.streams[stream];
        tally.served += 1;
        tally.work += self.surge.streams[stream].service_time.mean();
        tally.latency.saturating_record((self.now - first_arrival).as_micros() as u64);
    }

    /// Finishes a request that has its response and no attempt in flight. It stays stored, since its client
    /// may retry.
    pub(super) fn remove_finished(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.has_response || request.attempts.iter().any(|attempt| attempt.outcome.is_none()) {
            return;
        }
        if let Some(gate) = &mut self.nodes[request.node].gate {
            gate.request_finished(self.now, id);
        }
        request.attempts = Vec::new();
        if self.requests.len() > MAX_REQUESTS && self.random.random::<u32>() < REMOVAL_PROBABILITY {
            let now = self.now;
            self.requests.retain(|_, request| {
                !request.has_response
                    || request.deadline + REQUEST_RETENTION > now
                    || !request.attempts.is_empty()
            });
        }
    }
}
