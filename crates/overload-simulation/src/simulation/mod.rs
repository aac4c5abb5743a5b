//! The event loop of a simulation. The modules handle the events: `clients` those of clients, `nodes` those
//! of gates and balancers, `backends` those of backends. Each response is checked against the rules.

mod backends;
mod clients;
mod nodes;

use crate::backend::{AttemptKey, Backend};
use crate::surge::{ListedBackend, Surge};
use crate::tally::{BackendTally, StreamTally, Tally};
use admission_control::{Endpoint, Gate};
use clients::Request;
use join_up_to::{
    CapacitySource, Event, ListKind, Outcome, RequestId, ServerEntry, ServerId, ServerState, Settings,
};
use nodes::Node;
use rand::SeedableRng;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time of the start of a simulation on the clock of gates and balancers.
const START: Duration = Duration::from_secs(1_000);

/// The kinds of events.
enum SimulationEvent {
    /// The next client of a stream sends its request.
    Arrival { stream: usize },
    /// The client of a rejected request retries.
    ClientRetry { request: RequestId },
    /// A backend has finished an attempt that it started in this incarnation.
    JobEnd { backend: usize, incarnation: u64, key: AttemptKey },
    /// A node learns that an attempt has failed.
    AttemptFailure { key: AttemptKey, outcome: Outcome },
    /// An attempt times out.
    AttemptTimeout { key: AttemptKey },
    /// A timer of a balancer expires.
    Timer { node: usize, token: u64 },
    /// A gate is due for a tick.
    GateTick { node: usize },
    /// The fault with this index begins or ends.
    Fault { number: usize },
}

struct Simulation<'s> {
    surge: &'s Surge,
    now: Duration,
    /// Pending events, keyed by time and by the order in which they were scheduled.
    events: BTreeMap<(Duration, u64), SimulationEvent>,
    /// The number of events scheduled so far.
    scheduled: u64,
    random: Pcg64Mcg,
    nodes: Vec<Node>,
    backends: Vec<Backend>,
    requests: FxHashMap<RequestId, Request>,
    next_id: u64,
    tally: Tally,
}

/// Simulates a surge until no event is pending, which includes the responses to all requests.
pub fn simulate(surge: &Surge) -> Tally {
    let mut simulation = Simulation::new(surge);
    simulation.start();
    while let Some(((at, _), event)) = simulation.events.pop_first() {
        simulation.now = simulation.now.max(at);
        if let Some(node) = simulation.handle(event) {
            simulation.follow_gate(node);
        }
    }
    simulation.finish()
}

impl<'s> Simulation<'s> {
    fn new(surge: &'s Surge) -> Self {
        let mut settings = surge.settings.clone();
        if surge.gate.is_none() {
            settings.capacity_source = CapacitySource::Learned;
        }
        let node = |number: u32| {
            let settings = Settings { node: number, ..settings.clone() };
            Node::new(settings, surge.seed ^ u64::from(number), surge.gate.clone())
        };
        Simulation {
            surge,
            now: START,
            events: BTreeMap::new(),
            scheduled: 0,
            random: Pcg64Mcg::seed_from_u64(surge.seed),
            nodes: (0..settings.nodes.max(1)).map(node).collect(),
            backends: surge.backends.iter().map(|backend| Backend::new(backend.spec)).collect(),
            requests: FxHashMap::default(),
            next_id: 1,
            tally: Tally {
                streams: vec![StreamTally::default(); surge.streams.len()],
                served_by_second: vec![0; surge.seconds as usize + 1],
                ..Tally::default()
            },
        }
    }

    /// Sends the list of backends to all nodes, and schedules the first events.
    fn start(&mut self) {
        let entry = |(number, backend): (usize, &ListedBackend)| ServerEntry {
            id: ServerId(number as u64),
            kind: backend.kind,
            weight: backend.weight as f32,
            state: ServerState::Ready,
            ..ServerEntry::default()
        };
        let entries: Vec<_> = self.surge.backends.iter().enumerate().map(entry).collect();
        let endpoint = |(entry, backend): (&ServerEntry, &ListedBackend)| Endpoint {
            id: entry.id,
            weight: backend.weight,
            kind: backend.kind,
            ready: true,
            added_at: None,
        };
        let endpoints: Vec<_> = entries.iter().zip(&self.surge.backends).map(endpoint).collect();
        for node in 0..self.nodes.len() {
            let list = Event::List { kind: ListKind::Full, version: 1, entries: entries.clone() };
            self.handle_at_node(node, list);
            if let Some(gate) = &mut self.nodes[node].gate {
                gate.set_endpoints(START, &endpoints);
            }
            self.follow_gate(node);
        }
        for (stream, spec) in self.surge.streams.iter().enumerate() {
            if spec.rate > 0.0 {
                let first = spec.from + self.draw_exponential() / spec.rate;
                self.schedule(START + Duration::from_secs_f64(first), SimulationEvent::Arrival { stream });
            }
        }
        for (number, fault) in self.surge.faults.iter().enumerate() {
            self.schedule(START + Duration::from_secs_f64(fault.at), SimulationEvent::Fault { number });
        }
    }

    /// Handles an event. Returns the node whose gate may have new decisions.
    fn handle(&mut self, event: SimulationEvent) -> Option<usize> {
        match event {
            SimulationEvent::Arrival { stream } => Some(self.client_arrives(stream)),
            SimulationEvent::ClientRetry { request } => self.client_retries(request),
            SimulationEvent::JobEnd { backend, incarnation, key } => self.job_ends(backend, incarnation, key),
            SimulationEvent::AttemptFailure { key, outcome } => self.end_attempt(key, outcome),
            SimulationEvent::AttemptTimeout { key } => self.attempt_times_out(key),
            SimulationEvent::Timer { node, token } => {
                self.handle_at_node(node, Event::Timer { token });
                Some(node)
            }
            SimulationEvent::GateTick { node } => {
                self.nodes[node].tick_at = None;
                if let Some(gate) = &mut self.nodes[node].gate {
                    gate.tick(self.now);
                }
                Some(node)
            }
            SimulationEvent::Fault { number } => {
                self.apply_fault(number);
                None
            }
        }
    }

    /// Completes the results at the end.
    fn finish(mut self) -> Tally {
        let unanswered = self.requests.values().filter(|request| !request.has_response).count();
        if unanswered > 0 {
            self.tally.violations.push(format!("{unanswered} requests have no answer at the end"));
        }
        let backend = |backend: &Backend| BackendTally {
            started: backend.started,
            max_in_flight: backend.max_in_flight,
        };
        self.tally.backends = self.backends.iter().map(backend).collect();
        self.tally.limits = vec![0.0; self.backends.len()];
        for gate in self.nodes.iter().filter_map(|node| node.gate.as_ref()) {
            self.tally.brownout_level = self.tally.brownout_level.max(gate.status().brownout_level);
            self.tally.limit_change_count += gate.backends().change_count();
            for (number, limit) in self.tally.limits.iter_mut().enumerate() {
                *limit += f64::from(limit_at(gate, number));
            }
        }
        self.tally
    }

    /// Draws from an exponential distribution with mean 1.
    fn draw_exponential(&mut self) -> f64 {
        Exp1.sample(&mut self.random)
    }

    fn schedule(&mut self, at: Duration, event: SimulationEvent) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    /// The time since the start, in seconds.
    fn seconds(&self) -> f64 {
        self.now.saturating_sub(START).as_secs_f64()
    }
}

/// A gate's limit for a backend; 0 if it doesn't know the backend.
fn limit_at(gate: &Gate, backend: usize) -> u32 {
    let status = gate.backends().status(ServerId(backend as u64));
    status.map(|status| status.capacity.max_in_flight).unwrap_or_default()
}
