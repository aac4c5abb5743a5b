//! The event loop of a simulation. The modules handle the events: `clients` those of clients, `nodes` those
//! of nodes, `backends` those of backends. The decisions of nodes are those of `join_up_to`.

mod backends;
mod clients;
mod nodes;

use crate::backend::{AttemptKey, Backend, Job, LoadSample};
use crate::event_queue::EventQueue;
use crate::node::Node;
use crate::scenario::{BackendSpec, Scenario};
use crate::tally::{ClassTally, SecondTally, Tally};
use clients::Client;
use join_up_to::{Event, ListKind, Outcome, ServerEntry, ServerId, ServerState};
use rand::{Rng, SeedableRng};
use rand_distr::LogNormal;
use rand_pcg::Pcg64Mcg;

/// The one-way latency between a node and a backend of the same zone, in seconds.
const SAME_ZONE_LATENCY: f64 = 0.000_25;
/// How long a simulation continues after the last arrival, in seconds: longer than any request with its
/// retries takes.
const DRAIN_TIME: f64 = 8.0;

/// Whether an attempt opens a connection or reuses one.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Connection {
    New,
    Reused,
}

/// The kinds of events.
enum SimulationEvent {
    /// The next client sends its request.
    Arrival,
    /// A client retries its request.
    ClientRetry {
        client: usize,
    },
    /// An attempt arrives at a backend, which had this incarnation when the attempt was sent.
    AttemptArrival {
        backend: usize,
        incarnation: u32,
        job: Job,
        connection: Connection,
    },
    /// A backend has finished a job that it started in this incarnation.
    JobEnd {
        backend: usize,
        incarnation: u32,
        key: AttemptKey,
    },
    /// A node learns the outcome of an attempt.
    AttemptEnd {
        key: AttemptKey,
        outcome: Outcome,
        report: Option<LoadSample>,
    },
    /// An attempt times out.
    AttemptTimeout {
        key: AttemptKey,
    },
    /// A timer of a balancer expires.
    Timer {
        node: usize,
        token: u64,
    },
    /// A backend samples its load.
    LoadSample {
        backend: usize,
    },
    FaultStart {
        number: usize,
    },
    FaultEnd {
        number: usize,
    },
    /// A second of the simulation ends.
    Second,
}

struct Simulation<'s> {
    scenario: &'s Scenario,
    now: f64,
    events: EventQueue<SimulationEvent>,
    random: Pcg64Mcg,
    nodes: Vec<Node>,
    /// The cumulative sums of the nodes' traffic shares, by which a node is drawn.
    share_sums: Vec<f64>,
    backends: Vec<Backend>,
    clients: Vec<Client>,
    /// The distribution of the work of requests, in seconds on a core of speed 1.
    work: LogNormal<f64>,
    open_connections: u64,
    tally: Tally,
}

/// Simulates a scenario, and some more time in which the last requests end.
///
/// # Panics
///
/// If the mean work of the scenario or its deviation is not a positive number.
pub fn simulate(scenario: &Scenario) -> Tally {
    let mut simulation = Simulation::new(scenario);
    simulation.run();
    simulation.tally
}

impl<'s> Simulation<'s> {
    fn new(scenario: &'s Scenario) -> Self {
        let variance = (1.0 + scenario.work_deviation * scenario.work_deviation).ln();
        let mut sum = 0.0;
        let share_sums = scenario.nodes.iter().map(|node| {
            sum += node.share;
            sum
        });
        #[expect(clippy::expect_used, reason = "documented: the work and its deviation are positive numbers")]
        let work = LogNormal::new(scenario.work.ln() - variance / 2.0, variance.sqrt())
            .expect("the work and its deviation are positive numbers");
        Simulation {
            scenario,
            now: 0.0,
            events: EventQueue::new(),
            random: Pcg64Mcg::seed_from_u64(scenario.seed ^ 0x5eed),
            share_sums: share_sums.collect(),
            nodes: (0..scenario.nodes.len()).map(|index| Node::new(scenario, index)).collect(),
            backends: scenario.backends.iter().copied().map(Backend::new).collect(),
            clients: Vec::new(),
            work,
            open_connections: 0,
            tally: Tally {
                by_class: vec![ClassTally::default(); scenario.class_mix.len()],
                ..Tally::default()
            },
        }
    }

    /// Schedules an event after some seconds.
    fn schedule(&mut self, after: f64, event: SimulationEvent) {
        self.events.add(self.now + after, event);
    }

    fn run(&mut self) {
        self.start();
        let end = self.scenario.length + DRAIN_TIME;
        while let Some((at, event)) = self.events.next().filter(|(at, _)| *at <= end) {
            self.now = at;
            self.handle(event);
        }
        self.tally.overloaded =
            self.backends.iter().filter(|backend| backend.was_overloaded()).count() as u64;
    }

    /// Sends the list of backends to all nodes, and schedules the first events.
    fn start(&mut self) {
        let entry = |(index, spec): (usize, &BackendSpec)| ServerEntry {
            id: ServerId(index as u64),
            zone: spec.zone,
            cell: u16::from(spec.zone),
            state: ServerState::Ready,
            kind: spec.kind,
            weight: 1.0,
            ..ServerEntry::default()
        };
        let entries: Vec<_> = self.scenario.backends.iter().enumerate().map(entry).collect();
        for node in 0..self.nodes.len() {
            let list = Event::List { kind: ListKind::Full, version: 1, entries: entries.clone() };
            self.handle_at_node(node, list);
        }
        for backend in 0..self.backends.len() {
            let phase = self.random.random::<f64>() * self.scenario.reporting.period;
            self.schedule(phase, SimulationEvent::LoadSample { backend });
        }
        for (number, fault) in self.scenario.faults.iter().enumerate() {
            self.schedule(fault.from, SimulationEvent::FaultStart { number });
            self.schedule(fault.to, SimulationEvent::FaultEnd { number });
        }
        self.schedule(1.0, SimulationEvent::Second);
        self.schedule(0.0, SimulationEvent::Arrival);
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival => self.client_arrives(),
            SimulationEvent::ClientRetry { client } => self.send_request(client),
            SimulationEvent::AttemptArrival { backend, incarnation, job, connection } => {
                self.attempt_arrives(backend, incarnation, job, connection);
            }
            SimulationEvent::JobEnd { backend, incarnation, key } => self.job_ends(backend, incarnation, key),
            SimulationEvent::AttemptEnd { key, outcome, report } => self.attempt_ends(key, outcome, report),
            SimulationEvent::AttemptTimeout { key } => self.attempt_times_out(key),
            SimulationEvent::Timer { node, token } => self.handle_at_node(node, Event::Timer { token }),
            SimulationEvent::LoadSample { backend } => self.sample_load(backend),
            SimulationEvent::FaultStart { number } => self.start_fault(number),
            SimulationEvent::FaultEnd { number } => self.end_fault(number),
            SimulationEvent::Second => self.second_ends(),
        }
    }

    fn second_ends(&mut self) {
        let in_flight = self.backends.iter().map(|backend| backend.in_flight() as f64).sum::<f64>();
        let mean_in_flight = in_flight / self.backends.len() as f64;
        let overloaded = self.backends.iter().filter(|backend| backend.is_overloaded()).count() as u32;
        let second = self.second(self.now - 0.5);
        (second.mean_in_flight, second.overloaded) = (mean_in_flight, overloaded);
        self.schedule(1.0, SimulationEvent::Second);
    }

    /// The results of the second that contains a time.
    fn second(&mut self, at: f64) -> &mut SecondTally {
        let second = at.max(0.0) as usize;
        if self.tally.seconds.len() <= second {
            self.tally.seconds.resize(second + 1, SecondTally::default());
        }
        &mut self.tally.seconds[second]
    }

    /// The one-way latency between a node and a backend, in seconds.
    fn latency(&self, node: usize, backend: usize) -> f64 {
        let is_same_zone = self.nodes[node].spec.zone == self.backends[backend].spec.zone;
        if is_same_zone { SAME_ZONE_LATENCY } else { self.scenario.cross_zone_latency }
    }
}
