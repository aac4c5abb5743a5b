//! Nodes: their gates and balancers, the actions of these, and attempts.

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

/// The time after which a node learns that an attempt failed at once.
const ROUND_TRIP: Duration = Duration::from_micros(200);
/// How long a rejected client is asked to wait where the balancer doesn't decide that.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// With more requests than this, old ones are removed from time to time: with this probability, in 2^-32.
const MAX_REQUESTS: usize = 1 << 17;
const REMOVAL_PROBABILITY: u32 = 1 << 12;
/// A request is old when its deadline passed before this time.
const REQUEST_RETENTION: Duration = Duration::from_secs(60);

/// A node: its gate and balancer, and what the simulation knows of them.
pub(super) struct Node {
    balancer: Balancer,
    pub(super) gate: Option<Gate>,
    /// The restrictions that the balancer has.
    restrictions: AttemptRestrictions,
    /// When the next tick of the gate is scheduled.
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
    /// Carries out what a gate has decided, until it decides nothing more.
    pub(super) fn follow_gate(&mut self, number: usize) {
        while self.apply_gate_decisions(number) {}
        let node = &mut self.nodes[number];
        let next = node.gate.as_ref().and_then(Gate::next_tick).map(|at| at.max(self.now));
        if let Some(at) = next.filter(|at| node.tick_at.is_none_or(|set| *at < set)) {
            node.tick_at = Some(at);
            self.schedule(at, SimulationEvent::GateTick { node: number });
        }
    }

    /// Carries out what a gate has decided; returns whether there was anything.
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

    /// A balancer handles an event, and those that its actions cause at once.
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

    /// Carries out an action; returns an event that it causes at once.
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

    /// Cancels an attempt in flight; returns the event for the balancer.
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

    /// Ends an attempt, if it is in flight. Returns its node.
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

    /// Ends a request that has its response and no attempt in flight. It is stored while its client may retry.
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
