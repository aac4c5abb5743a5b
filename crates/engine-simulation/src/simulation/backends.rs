//! Events of engines and plain backends: arrivals of attempts, steps, and ends of calls.

use super::state::{EngineHealth, EngineInstance, LoadSample, ServiceKind, Simulation};
use crate::engine::{Engine, EngineOutput, Job};
use crate::event_queue::Event;
use crate::plain_backend::PlainAdmission;
use rand::Rng;
use routing::{BackendEntry, BackendId, Load, Outcome};
use std::collections::VecDeque;
use std::time::Duration;

/// How long load samples of an engine are kept, in ms.
const SAMPLE_RETENTION_MS: f64 = 400.0;
/// The time until an attempt that reaches an unresponsive machine fails, in ms.
const LOST_CONNECTION_MS: f64 = 150.0;
/// The prefix of the ids of plain backends, before their index.
const PLAIN_ID_PREFIX: &str = "p-";

impl Simulation<'_> {
    /// Adds an engine with a new id. Returns its index.
    pub fn add_engine(&mut self) -> usize {
        let id = BackendId(format!("i-{:016x}", self.random.random::<u64>()).into());
        self.engines.push(EngineInstance {
            id,
            engine: Engine::new(self.site.engine),
            health: EngineHealth::Up,
            incarnation: 0,
            is_stepping: false,
            outputs: Vec::new(),
            samples: VecDeque::new(),
            slowdown: 1.0,
        });
        self.engines.len() - 1
    }

    /// The list of engines for nodes.
    pub fn engine_entries(&self) -> Vec<BackendEntry> {
        let slots = self.site.engine.slots as u32;
        self.listed.iter().map(|index| backend_entry(self.engines[*index].id.clone(), slots)).collect()
    }

    /// The list of plain backends for nodes.
    pub fn plain_entries(&self) -> Vec<BackendEntry> {
        let slots = self.site.plain.slots as u32;
        let id = |index| BackendId(format!("{PLAIN_ID_PREFIX}{index}").into());
        (0..self.plain.len()).map(|index| backend_entry(id(index), slots)).collect()
    }

    /// The index of a plain backend by its id.
    pub fn plain_index(&self, id: &BackendId) -> usize {
        id.0.strip_prefix(PLAIN_ID_PREFIX).and_then(|index| index.parse().ok()).unwrap_or_default()
    }

    /// Handles the arrival of an attempt at its backend.
    pub fn attempt_arrived(&mut self, request: usize) {
        if self.states[request].is_done {
            return;
        }
        let backend = self.states[request].backend;
        self.states[request].reached += 1;
        match self.service_kind(request) {
            ServiceKind::Engine => self.arrive_at_engine(request, backend),
            ServiceKind::Plain => self.arrive_at_plain(request, backend),
        }
    }

    fn arrive_at_engine(&mut self, request: usize, engine: usize) {
        match self.engines[engine].health {
            EngineHealth::Up => {}
            EngineHealth::Unresponsive => {
                return self.schedule(LOST_CONNECTION_MS, Event::ConnectFailure { request });
            }
            EngineHealth::Refusing | EngineHealth::Gone => {
                return self.schedule(0.0, Event::ConnectFailure { request });
            }
        }
        let sent = &self.requests[request];
        let job = Job {
            id: request as u64,
            urgency: self.states[request].urgency,
            prompt: sent.prompt.clone(),
            events: sent.events.max(1),
        };
        self.states[request].last_progress_ms = self.now_ms;
        if !self.engines[engine].engine.offer(job) {
            let load = self.engine_load(engine);
            return self.attempt_failed(request, Outcome::Rejected, Some(load));
        }
        self.start_silence_timer(request);
        self.start_step(engine);
    }

    fn engine_load(&self, engine: usize) -> Load {
        let load = self.engines[engine].engine.load();
        Load { running: load.running, waiting: load.waiting, slots: self.site.engine.slots as u32 }
    }

    /// Starts a step, unless one is in progress, the engine is idle or its machine is down.
    fn start_step(&mut self, engine: usize) {
        let instance = &mut self.engines[engine];
        if instance.is_stepping || instance.engine.is_idle() || instance.health != EngineHealth::Up {
            return;
        }
        instance.outputs.clear();
        let time_ms = instance.engine.step(&mut instance.outputs) * instance.slowdown;
        instance.is_stepping = true;
        let incarnation = instance.incarnation;
        self.schedule(time_ms, Event::StepEnd { engine, incarnation });
    }

    /// A step ends: what it has done takes effect.
    pub fn step_ended(&mut self, engine: usize, incarnation: u64) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        self.engines[engine].is_stepping = false;
        let load = self.engine_load(engine);
        self.keep_sample(engine, load);
        let outputs = std::mem::take(&mut self.engines[engine].outputs);
        for output in &outputs {
            match *output {
                EngineOutput::Admitted { id, cached_tokens } => self.count_blocks(id as usize, cached_tokens),
                EngineOutput::Prefilled { tokens, .. } => self.statistics.prefilled_tokens += tokens as f64,
                EngineOutput::Event { id, last, .. } => self.event_sent(id as usize, last, load),
            }
        }
        self.engines[engine].outputs = outputs;
        self.start_step(engine);
    }

    fn keep_sample(&mut self, engine: usize, load: Load) {
        let now_ms = self.now_ms;
        let samples = &mut self.engines[engine].samples;
        samples.push_back(LoadSample { at_ms: now_ms, load });
        while samples.front().is_some_and(|sample| sample.at_ms < now_ms - SAMPLE_RETENTION_MS) {
            samples.pop_front();
        }
    }

    /// Counts the tokens of the shared blocks of an admitted request, and those that are prefilled although a
    /// backend has prefilled the block within the reread window.
    fn count_blocks(&mut self, request: usize, cached_tokens: u64) {
        let prompt = &self.requests[request].prompt;
        let window_ms = self.site.reread_window_s * 1e3;
        let mut end = 0;
        for block in &prompt[..prompt.len().saturating_sub(1)] {
            end += block.tokens;
            self.statistics.shared_tokens += block.tokens as f64;
            let read_before = self.last_read_ms.insert(block.key, self.now_ms);
            if end > cached_tokens && read_before.is_some_and(|at_ms| self.now_ms - at_ms <= window_ms) {
                self.statistics.reread_tokens += block.tokens as f64;
            }
        }
    }

    fn arrive_at_plain(&mut self, request: usize, backend: usize) {
        match self.plain[backend].offer(request as u64) {
            PlainAdmission::Running => {
                self.schedule(self.requests[request].work_ms, Event::PlainCallEnd { request, backend });
            }
            PlainAdmission::Queued => {}
            PlainAdmission::Rejected => {
                let load = self.plain_load(backend);
                self.attempt_failed(request, Outcome::Rejected, Some(load));
            }
        }
    }

    fn plain_load(&self, backend: usize) -> Load {
        let plain = &self.plain[backend];
        Load { running: plain.running(), waiting: plain.queued(), slots: self.site.plain.slots as u32 }
    }

    /// Handles the end of a plain call, and starts the next queued one.
    pub fn plain_call_ended(&mut self, request: usize, backend: usize) {
        if let Some(next) = self.plain[backend].finish() {
            let next = next as usize;
            self.schedule(self.requests[next].work_ms, Event::PlainCallEnd { request: next, backend });
        }
        if self.states[request].is_done {
            return;
        }
        let load = self.plain_load(backend);
        self.complete(request, Some(load));
    }
}

fn backend_entry(id: BackendId, slots: u32) -> BackendEntry {
    BackendEntry { id, same_zone: false, slots, slow_start_remaining: Duration::ZERO }
}
