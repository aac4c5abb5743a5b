//! A simulation of frontends, backends and an audit in virtual time, with message latencies and injected
//! faults.

use index_audit::{
    Audit, AuditError, AuditSettings, BackendKey, BlockKey, Correction, RangeReport, RangeRequest,
    RangeResult,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use range_digest::{DigestedSet, KeyRange, RangeContent, RangeDigest};
use std::collections::BTreeMap;
use std::time::Duration;

pub const BACKENDS: u64 = 3;
pub const FRONTENDS: usize = 3;
const STEP: Duration = Duration::from_millis(20);
/// The number of different blocks in inference requests.
const BLOCKS: u64 = 600;
/// The probability of an inference request in a step.
const REQUEST_PROBABILITY: f64 = 0.8;
/// The number of blocks that a backend can cache.
const CACHE_CAPACITY: usize = 200;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How a backend responds to the auditor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    Honest,
    /// Requests time out.
    Unreachable,
    /// Another instance responds at the backend's address.
    Replaced,
    /// Digests do not match the reported content.
    WrongDigest,
    /// The reported content is not valid.
    InvalidContent,
}

/// A backend and its cache.
pub struct SimulatedBackend {
    pub cached: DigestedSet,
    /// The blocks by last use, the oldest first.
    by_last_use: Vec<u64>,
    pub behavior: Behavior,
}

/// The arrival of a message, or a step in the execution of an inference request.
enum Event {
    /// A backend has prefilled a prompt and cached its block, for which it may evict another.
    PromptPrefilled { backend: u64, block: u64, frontend: usize },
    /// A response starts: its frontend expects the block to be cached from now on.
    ResponseStarted { backend: u64, block: u64, frontend: usize },
    /// A frontend's report arrives at the auditor.
    IndexChange { frontend: usize, backend: u64, block: u64, tokens: Option<u32> },
    /// A request of the auditor arrives at a backend.
    AuditRequest(RangeRequest),
    /// The result of a request arrives at the auditor.
    AuditResult(RangeRequest, RangeResult),
    /// A correction arrives at the frontends.
    IndexCorrection(Correction),
}

pub struct Simulation {
    pub now: Duration,
    pub audit: Audit,
    pub backends: BTreeMap<u64, SimulatedBackend>,
    /// The index of each frontend: tokens by backend and block.
    indexes: Vec<BTreeMap<(u64, u64), u32>>,
    in_flight: BTreeMap<(Duration, u64), Event>,
    events_scheduled: u64,
    /// Whether frontends send inference requests.
    pub busy: bool,
    pub random: Pcg64Mcg,
    /// The number of requests that the auditor has sent.
    pub audit_requests: u64,
    /// Whether the auditor sends requests.
    pub audit_enabled: bool,
}

/// The number of tokens in a block.
pub fn tokens(block: u64) -> u32 {
    100 + (block % 7) as u32 * 50
}

/// The key of the block with this number.
pub fn block(number: u64) -> u64 {
    (number % BLOCKS).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let backend = || SimulatedBackend {
            cached: DigestedSet::default(),
            by_last_use: Vec::new(),
            behavior: Behavior::Honest,
        };
        let mut simulation = Simulation {
            now: Duration::ZERO,
            audit: Audit::new(AuditSettings::default()),
            backends: (0..BACKENDS).map(|key| (key, backend())).collect(),
            indexes: vec![BTreeMap::new(); FRONTENDS],
            in_flight: BTreeMap::new(),
            events_scheduled: 0,
            busy: true,
            random: Pcg64Mcg::seed_from_u64(seed),
            audit_requests: 0,
            audit_enabled: true,
        };
        simulation.set_backends();
        simulation
    }

    fn set_backends(&mut self) {
        let backends: Vec<_> =
            (0..BACKENDS).map(|backend| (BackendKey(backend), format!("i-{backend}"))).collect();
        self.audit.set_backends(self.now, &backends);
    }

    /// Makes another coordinator take over the audit. Frontends report their complete indexes to it.
    pub fn replace_auditor(&mut self) {
        self.audit = Audit::new(AuditSettings::default());
        self.set_backends();
        self.in_flight.retain(|_, event| {
            !matches!(event, Event::AuditRequest(_) | Event::AuditResult(..) | Event::IndexChange { .. })
        });
        let reports: Vec<_> = self
            .indexes
            .iter()
            .enumerate()
            .flat_map(|(frontend, index)| index.iter().map(move |(key, tokens)| (frontend, *key, *tokens)))
            .collect();
        for (frontend, (backend, block), tokens) in reports {
            self.report_change(frontend, backend, block, Some(tokens));
        }
    }

    /// Schedules an event after a random latency between two bounds, in milliseconds.
    fn schedule(&mut self, min_ms: u64, max_ms: u64, event: Event) {
        self.events_scheduled += 1;
        let at = self.now + ms(self.random.random_range(min_ms..=max_ms));
        self.in_flight.insert((at, self.events_scheduled), event);
    }

    /// Sends a frontend's report of a change of its index to the auditor. Reports keep their order.
    pub fn report_change(&mut self, frontend: usize, backend: u64, block: u64, tokens: Option<u32>) {
        self.events_scheduled += 1;
        let at = self.now + ms(30);
        self.in_flight
            .insert((at, self.events_scheduled), Event::IndexChange { frontend, backend, block, tokens });
    }

    /// Advances the virtual time by a duration.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let event = entry.remove();
                self.apply(event);
            }
            if self.busy && self.random.random_bool(REQUEST_PROBABILITY) {
                self.send_inference_request();
            }
            while self.audit_enabled
                && let Some(request) = self.audit.next_request(self.now)
            {
                self.send_audit_request(request);
            }
        }
    }

    fn send_audit_request(&mut self, request: RangeRequest) {
        self.audit_requests += 1;
        self.schedule(1, 60, Event::AuditRequest(request));
    }

    /// Sends a random inference request.
    fn send_inference_request(&mut self) {
        let number = self.random.random_range(0..BLOCKS);
        let frontend = self.random.random_range(0..FRONTENDS);
        let backend = number % BACKENDS;
        self.schedule(5, 1500, Event::PromptPrefilled { backend, block: block(number), frontend });
    }

    /// Adds a block to a frontend's index, and reports the change.
    fn add_to_index(&mut self, frontend: usize, backend: u64, block: u64) {
        if self.indexes[frontend].insert((backend, block), tokens(block)).is_none() {
            self.report_change(frontend, backend, block, Some(tokens(block)));
        }
    }

    /// Removes a block from the indexes of all frontends, and reports the changes.
    fn remove_from_indexes(&mut self, backend: u64, block: u64) {
        for frontend in 0..FRONTENDS {
            if self.indexes[frontend].remove(&(backend, block)).is_some() {
                self.report_change(frontend, backend, block, None);
            }
        }
    }

    /// Caches a prompt's block at a backend. Backends do not report evictions; all frontends are assumed to
    /// infer them.
    fn prefill_prompt(&mut self, backend: u64, block: u64, frontend: usize) {
        let simulated = self.backends.get_mut(&backend).expect("the backend exists");
        simulated.cached.insert(block, u64::from(tokens(block)));
        simulated.by_last_use.retain(|other| *other != block);
        simulated.by_last_use.push(block);
        if simulated.by_last_use.len() > CACHE_CAPACITY {
            let oldest = simulated.by_last_use.remove(0);
            simulated.cached.remove(oldest);
            self.remove_from_indexes(backend, oldest);
        }
        self.schedule(5, 300, Event::ResponseStarted { backend, block, frontend });
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::PromptPrefilled { backend, block, frontend } => {
                self.prefill_prompt(backend, block, frontend)
            }
            Event::ResponseStarted { backend, block, frontend } => {
                self.add_to_index(frontend, backend, block)
            }
            Event::IndexChange { frontend, backend, block, tokens } => {
                let name = format!("frontend-{frontend}");
                self.audit.apply_index_change(self.now, &name, BackendKey(backend), BlockKey(block), tokens);
            }
            Event::AuditRequest(request) => {
                let result = self.report_range(&request);
                self.schedule(1, 60, Event::AuditResult(request, result));
            }
            Event::AuditResult(request, result) => {
                let output = self.audit.apply_result(self.now, &request, result);
                for correction in output.corrections {
                    self.schedule(10, 40, Event::IndexCorrection(correction));
                }
                if let Some(next) = output.next_request {
                    self.send_audit_request(next);
                }
            }
            Event::IndexCorrection(Correction { backend, block, tokens }) => {
                self.correct(backend.0, block.0, tokens);
            }
        }
    }

    /// Applies a correction to the indexes of all frontends.
    fn correct(&mut self, backend: u64, block: u64, tokens: Option<u32>) {
        match tokens {
            Some(_) => (0..FRONTENDS).for_each(|frontend| self.add_to_index(frontend, backend, block)),
            None => self.remove_from_indexes(backend, block),
        }
    }

    /// The result of a request, according to the behavior of the backend.
    fn report_range(&self, request: &RangeRequest) -> RangeResult {
        let simulated = &self.backends[&request.backend.0];
        let digest = simulated.cached.digest(request.range);
        let content = simulated.cached.content(request.range);
        let honest = RangeReport { backend: request.backend, digest, content };
        match simulated.behavior {
            Behavior::Honest => Ok(honest),
            Behavior::Unreachable => Err(AuditError::RequestFailed("timed out".into())),
            Behavior::Replaced => Ok(RangeReport { backend: BackendKey(99), ..honest }),
            Behavior::WrongDigest => Ok(RangeReport { digest: RangeDigest { count: 7, sum: 7 }, ..honest }),
            Behavior::InvalidContent => {
                let content = RangeContent::Items(vec![(2, 1), (1, 1)]);
                let digest = [(2, 1), (1, 1)].into_iter().collect::<DigestedSet>().digest(KeyRange::ALL);
                Ok(RangeReport { backend: request.backend, digest, content })
            }
        }
    }

    /// Draws a block that a backend has cached.
    pub fn cached_block(&mut self, backend: u64) -> u64 {
        let blocks: Vec<u64> = self.backends[&backend].cached.iter().map(|(block, _)| block).collect();
        blocks[self.random.random_range(0..blocks.len())]
    }

    /// Removes a block from a backend's cache without the knowledge of the frontends.
    pub fn lose_block(&mut self, backend: u64, block: u64) {
        let simulated = self.backends.get_mut(&backend).expect("the backend exists");
        simulated.cached.remove(block);
        simulated.by_last_use.retain(|other| *other != block);
    }

    /// Adds a block to a backend's cache without the knowledge of the frontends.
    pub fn gain_block(&mut self, backend: u64, block: u64) {
        let simulated = self.backends.get_mut(&backend).expect("the backend exists");
        simulated.cached.insert(block, u64::from(tokens(block)));
        simulated.by_last_use.push(block);
    }
}
