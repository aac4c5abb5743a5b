//! Events of nodes: actions of balancers, and attempts.

use super::{Connection, Simulation, SimulationEvent};
use crate::backend::{AttemptKey, Job, LoadSample};
use crate::node::SentAttempt;
use join_up_to::{Action, AttemptEnd, Event, LoadReport, Outcome, RequestId, ServerId};
use std::collections::VecDeque;
use std::time::Duration;

/// The time of the nodes' clocks at the start of a simulation, in seconds. Not zero, like the clock of a real
/// machine.
const CLOCK_START: f64 = 1000.0;
/// The delay of the timers of balancers, in seconds, so that rounding never makes one expire early.
const TIMER_DELAY: f64 = 1e-6;
/// The number of one-way latencies until a request on a new connection arrives: a round trip precedes it.
const NEW_CONNECTION_WAYS: f64 = 3.0;

impl Simulation<'_> {
    /// Passes an event to a balancer, and then the events that its actions cause immediately.
    pub(super) fn handle_at_node(&mut self, node: usize, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            let ended = if let Event::AttemptEnded(end) = &event { Some(end.id.0) } else { None };
            let now = Duration::from_secs_f64(CLOCK_START + self.now);
            self.nodes[node].balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.carry_out(node, action));
            }
            if let Some(id) = ended {
                self.nodes[node].remove_finished(id);
            }
        }
    }

    /// Performs an action of a balancer. Returns the event that it causes immediately.
    fn carry_out(&mut self, node: usize, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, server, timeout } => self.send_attempt(node, id.0, server, timeout),
            Action::Refuse { id, retry_after } => {
                self.respond(node, id.0, Outcome::Rejected, retry_after);
                self.nodes[node].remove_finished(id.0);
            }
            Action::Fail { id } => {
                self.respond(node, id.0, Outcome::Error, None);
                self.nodes[node].remove_finished(id.0);
            }
            Action::Cancel { id, attempt } => {
                let key = AttemptKey { node: node as u32, request: id.0, attempt };
                return self.end_attempt(key, Outcome::Cancelled, None);
            }
            Action::SetTimer { after, token } => {
                self.schedule(after.as_secs_f64() + TIMER_DELAY, SimulationEvent::Timer { node, token });
            }
            // Probes and list requests are not simulated: the list is sent at the start.
            _ => {}
        }
        None
    }

    fn send_attempt(&mut self, node: usize, id: u64, server: ServerId, timeout: Duration) {
        let backend = server.0 as usize;
        let latency = self.latency(node, backend);
        let is_reused = self.nodes[node].reuse_connection(server);
        let connection = if is_reused { Connection::Reused } else { Connection::New };
        let Some(request) = self.nodes[node].open_requests.get_mut(&id) else { return };
        let key = AttemptKey { node: node as u32, request: id, attempt: request.attempts.len() as u32 };
        request.attempts.push(SentAttempt { server, sent_at: self.now, outcome: None });
        let work = self.clients[request.client].work;
        self.tally.attempts += 1;
        self.second(self.now).attempts += 1;
        let (handshake, delay) = match connection {
            Connection::New => (self.scenario.handshake, NEW_CONNECTION_WAYS * latency),
            Connection::Reused => (0.0, latency),
        };
        if connection == Connection::New {
            self.tally.connections_opened += 1;
            self.second(self.now).connections_opened += 1;
        }
        let job = Job { key, work: work + handshake };
        let incarnation = self.backends[backend].incarnation;
        self.schedule(delay, SimulationEvent::AttemptArrival { backend, incarnation, job, connection });
        self.schedule(timeout.as_secs_f64(), SimulationEvent::AttemptTimeout { key });
    }

    /// Whether an attempt is in flight.
    pub(super) fn is_in_flight(&self, key: AttemptKey) -> bool {
        let request = self.nodes[key.node as usize].open_requests.get(&key.request);
        let attempt = request.and_then(|request| request.attempts.get(key.attempt as usize));
        attempt.is_some_and(|attempt| attempt.outcome.is_none())
    }

    /// Ends an attempt at its node, if it is in flight. Returns the event for the balancer. Its connection
    /// becomes idle if it was served or rejected, and is closed otherwise.
    fn end_attempt(
        &mut self,
        key: AttemptKey,
        outcome: Outcome,
        report: Option<LoadSample>,
    ) -> Option<Event> {
        let node = &mut self.nodes[key.node as usize];
        let request = node.open_requests.get_mut(&key.request)?;
        let finished = request.has_response;
        let attempt = request.attempts.get_mut(key.attempt as usize);
        let sent = attempt.filter(|attempt| attempt.outcome.is_none())?;
        sent.outcome = Some(outcome);
        let (server, elapsed) = (sent.server, Duration::from_secs_f64(self.now - sent.sent_at));
        if matches!(outcome, Outcome::Served | Outcome::Rejected) {
            *node.idle_connections.entry(server).or_default() += 1;
        } else if outcome != Outcome::ConnectFailed {
            let backend = &mut self.backends[server.0 as usize];
            backend.update(self.now, self.scenario.overload);
            backend.cancel(key);
            backend.open_connections = backend.open_connections.saturating_sub(1);
            self.open_connections = self.open_connections.saturating_sub(1);
        }
        let report = report.map(|sample| LoadReport {
            in_flight: Some(sample.in_flight),
            queue: Some(sample.queued),
            ..LoadReport::default()
        });
        let (id, attempt) = (RequestId(key.request), key.attempt);
        Some(Event::AttemptEnded(AttemptEnd { id, attempt, server, outcome, elapsed, finished, report }))
    }

    /// Handles the outcome of an attempt at its node.
    pub(super) fn attempt_ends(&mut self, key: AttemptKey, outcome: Outcome, report: Option<LoadSample>) {
        let node = key.node as usize;
        if !self.is_in_flight(key) {
            return;
        }
        if outcome == Outcome::Served {
            self.respond(node, key.request, outcome, None);
        }
        if let Some(event) = self.end_attempt(key, outcome, report) {
            self.handle_at_node(node, event);
        }
    }

    pub(super) fn attempt_times_out(&mut self, key: AttemptKey) {
        if let Some(event) = self.end_attempt(key, Outcome::TimedOut, None) {
            self.handle_at_node(key.node as usize, event);
        }
    }
}
