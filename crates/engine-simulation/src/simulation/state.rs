//! The state of a simulation: requests, nodes, backends, and the clock.

use crate::engine::{Engine, EngineOutput};
use crate::event_queue::{Event, EventQueue};
use crate::plain_backend::PlainBackend;
use crate::request_stream::{ClientRequest, draw_requests};
use crate::selection::{SelectionPolicy, Selector};
use crate::site::Site;
use crate::statistics::{ClassStatistics, Statistics};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use routing::{AttemptId, BackendId, EngineSettings, Load};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// The one-way latency between machines, and between clients and nodes, in ms.
pub const HOP_MS: f64 = 1.0;

/// The kind of backends that serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Engines.
    Engine,
    /// Plain backends.
    Plain,
}

/// A node with a selector for each kind of backends.
pub struct Node {
    /// Selects engines.
    pub engines: Selector,
    /// Selects plain backends.
    pub plain: Selector,
}

impl Node {
    /// The selector for a kind of backends.
    pub fn selector(&mut self, kind: ServiceKind) -> &mut Selector {
        match kind {
            ServiceKind::Engine => &mut self.engines,
            ServiceKind::Plain => &mut self.plain,
        }
    }
}

/// The health of an engine's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineHealth {
    /// It serves requests.
    Up,
    /// It refuses connections.
    Refusing,
    /// It does not reply, so that connects time out.
    Unresponsive,
    /// It has crashed and been replaced.
    Gone,
}

/// The load of an engine at the end of a step.
#[derive(Clone, Copy, Debug)]
pub struct LoadSample {
    /// The time, in ms.
    pub at_ms: f64,
    /// The load.
    pub load: Load,
}

/// An engine on its machine.
pub struct EngineInstance {
    /// The listed id.
    pub id: BackendId,
    /// The model of the engine.
    pub engine: Engine,
    /// The health of the machine.
    pub health: EngineHealth,
    /// The number of crashes. The end of a step of an earlier incarnation is ignored.
    pub incarnation: u64,
    /// Whether a step is in progress.
    pub is_stepping: bool,
    /// The results of the step in progress.
    pub outputs: Vec<EngineOutput>,
    /// The load at the end of the last steps, oldest first.
    pub samples: VecDeque<LoadSample>,
    /// The time of a step as a multiple of the normal time.
    pub slowdown: f64,
}

/// The state of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestState {
    /// The node to which it was sent last.
    pub node: usize,
    /// The backends that the node has tried since the client sent it last.
    pub tried: Vec<BackendId>,
    /// The number of attempts that have reached a backend since the client sent it last.
    pub reached: u32,
    /// The attempt in flight, as the node's selector knows it.
    pub attempt: Option<AttemptId>,
    /// The index of the engine or plain backend of the last attempt.
    pub backend: usize,
    /// The urgency that the selector has assigned.
    pub urgency: u8,
    /// How often the client has sent it.
    pub sends: u32,
    /// When the client sent it last, in ms.
    pub sent_at_ms: f64,
    /// Whether it was rejected early enough that a retry in time earns more than the late value.
    pub rejected_early: bool,
    /// When its first event left the engine, in ms.
    pub first_event_ms: Option<f64>,
    /// When it reached its engine or the engine last sent an event, in ms.
    pub last_progress_ms: f64,
    /// Whether a gap between two events was too long.
    pub has_stalled: bool,
    /// The number of silence timers started. Older timers are ignored.
    pub silence_timer: u64,
    /// Whether it has ended for its client: served, failed or finally rejected.
    pub is_done: bool,
}

/// The state of a simulation. The sibling modules handle its events.
pub struct Simulation<'a> {
    /// The deployment.
    pub site: &'a Site,
    /// The policy of all nodes.
    pub policy: SelectionPolicy,
    /// The requests, sorted by time.
    pub requests: Vec<ClientRequest>,
    /// Whether each request is among the tenth of its class with the largest prompts.
    pub is_large: Vec<bool>,
    /// The state of each request.
    pub states: Vec<RequestState>,
    /// All engines, including those that have been replaced.
    pub engines: Vec<EngineInstance>,
    /// The indices of the engines on the platform's list.
    pub listed: Vec<usize>,
    /// The plain backends.
    pub plain: Vec<PlainBackend>,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// Pending events.
    pub queue: EventQueue,
    /// The virtual time, in ms since the start.
    pub now_ms: f64,
    /// The time at which each shared block was last used by an admitted request, in ms, by key.
    pub last_read_ms: FxHashMap<u64, f64>,
    /// The indices of the engines that each fault has slowed down.
    pub slowed: Vec<Vec<usize>>,
    /// The results so far.
    pub statistics: Statistics,
    /// The source of random draws of clients and the platform.
    pub random: Pcg64Mcg,
}

impl<'a> Simulation<'a> {
    /// A simulation at its start, without engines or events.
    pub fn new(site: &'a Site, policy: SelectionPolicy, seed: u64) -> Self {
        let requests = draw_requests(site, seed);
        let settings = EngineSettings {
            slots: site.engine.slots as u32,
            kv_capacity_tokens: site.engine.kv_capacity_tokens,
            tokens_per_event: site.engine.tokens_per_event,
        };
        let count = site.node_shares.len() as u32;
        let node = |index: u64| {
            let seed = seed * 1000 + index;
            let engines = Selector::new(policy, Some(settings), count, seed);
            Node { engines, plain: Selector::new(policy, None, count, seed + 500) }
        };
        let plain = site.plain;
        Simulation {
            is_large: largest_tenth(&requests, site.classes.len()),
            states: vec![RequestState::default(); requests.len()],
            requests,
            engines: Vec::new(),
            listed: Vec::new(),
            plain: (0..plain.count).map(|_| PlainBackend::new(plain.slots, plain.max_queued)).collect(),
            nodes: (0..u64::from(count)).map(node).collect(),
            queue: EventQueue::default(),
            now_ms: 0.0,
            last_read_ms: FxHashMap::default(),
            slowed: vec![Vec::new(); site.faults.len()],
            statistics: Statistics {
                classes: vec![ClassStatistics::default(); site.classes.len()],
                ..Statistics::default()
            },
            random: Pcg64Mcg::seed_from_u64(seed ^ 0x5EED),
            site,
            policy,
        }
    }

    /// Schedules an event after a delay in ms.
    pub fn schedule(&mut self, delay_ms: f64, event: Event) {
        self.queue.push(self.now_ms + delay_ms, event);
    }

    /// The virtual time since the start.
    pub fn now(&self) -> Duration {
        Duration::from_secs_f64(self.now_ms / 1e3)
    }

    /// The kind of backends that serve a request.
    pub fn service_kind(&self, request: usize) -> ServiceKind {
        let class = &self.site.classes[self.requests[request].class];
        if class.is_plain() { ServiceKind::Plain } else { ServiceKind::Engine }
    }
}

/// Whether each request is among the tenth of its class with the largest prompts.
fn largest_tenth(requests: &[ClientRequest], classes: usize) -> Vec<bool> {
    let tokens = |request: &ClientRequest| request.shape.prompt_tokens;
    let threshold = |class| {
        let of_class = requests.iter().filter(|request| request.class == class);
        let mut sizes: Vec<u32> = of_class.map(tokens).collect();
        sizes.sort_unstable();
        sizes.get(sizes.len() * 9 / 10).copied().unwrap_or(u32::MAX)
    };
    let thresholds: Vec<u32> = (0..classes).map(threshold).collect();
    requests.iter().map(|request| tokens(request) >= thresholds[request.class]).collect()
}
