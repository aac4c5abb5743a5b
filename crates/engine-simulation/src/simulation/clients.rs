//! Events of clients and nodes: requests, their attempts at backends, and what clients receive.

use super::state::{EngineHealth, HOP_MS, ServiceKind, Simulation};
use crate::baseline::BaselinePolicy;
use crate::event_queue::Event;
use crate::selection::SelectionPolicy;
use rand::Rng;
use routing::{BackendId, Decision, Load, Outcome};
use std::time::Duration;

/// The connect time-out, as a share of the latency target.
const CONNECT_TIMEOUT_SHARE: f64 = 0.25;
/// The time after the arrival of an attempt at its engine after which the client gives up, in ms.
const SILENCE_TIMEOUT_MS: f64 = 4800.0;
/// If a backend was silent for longer than this when its client gave up, the attempt counts as broken, in ms.
const BROKEN_SILENCE_MS: f64 = 2000.0;
/// The weight of a running request for the omniscient policy, in prompt tokens to be prefilled.
const RUNNING_TOKENS: u64 = 100;
/// The maximum number of attempts of a node for a request.
const MAX_ATTEMPTS: usize = 4;
/// The maximum number of those attempts that reach a backend.
const MAX_REACHED: u32 = 2;
/// The retry-after time when a node has made all its attempts.
const EXHAUSTED_RETRY_AFTER: Duration = Duration::from_millis(200);
/// The maximum number of times that a client sends a request.
const MAX_SENDS: u32 = 2;

impl Simulation<'_> {
    /// Sends a request for the first time.
    pub fn send_first(&mut self, request: usize) {
        let node = self.requests[request].node;
        let class = &self.site.classes[self.requests[request].class];
        let (value, deadline_ms) = (class.value * self.size(request), class.deadline_ms);
        let statistics = &mut self.statistics.classes[self.requests[request].class];
        statistics.requests += 1;
        statistics.offered_value += value;
        statistics.largest += u32::from(self.is_large[request]);
        self.schedule(deadline_ms, Event::Deadline { request });
        self.send(request, node);
    }

    /// Sends a rejected request again, unless it has ended.
    pub fn retry(&mut self, request: usize, node: usize) {
        if !self.states[request].is_done {
            self.send(request, node);
        }
    }

    /// Handles the deadline of a request.
    pub fn deadline_reached(&mut self, request: usize) {
        if !self.states[request].is_done {
            self.give_up(request);
        }
    }

    /// Handles a silence time-out. Time-outs of older timers are ignored.
    pub fn silence_timed_out(&mut self, request: usize, timer: u64) {
        let state = &self.states[request];
        if !state.is_done && state.silence_timer == timer {
            self.give_up(request);
        }
    }

    /// The size of a request by its prompt, relative to the mean of its class.
    fn size(&self, request: usize) -> f64 {
        let class = &self.site.classes[self.requests[request].class];
        if class.is_plain() {
            return 1.0;
        }
        let shared: f64 = class.shared_blocks.iter().map(|blocks| blocks.mean_tokens).sum();
        let mean = class.mean_own_tokens + shared;
        (0.3 + 0.7 * f64::from(self.requests[request].shape.prompt_tokens) / mean).min(4.0)
    }

    fn send(&mut self, request: usize, node: usize) {
        let state = &mut self.states[request];
        state.node = node;
        state.sent_at_ms = self.now_ms;
        state.reached = 0;
        state.tried.clear();
        state.sends += 1;
        self.start_attempt(request);
    }

    /// Selects a backend for a request and starts an attempt there, or rejects the request.
    fn start_attempt(&mut self, request: usize) {
        let (now, kind) = (self.now(), self.service_kind(request));
        let mut shape = self.requests[request].shape.clone();
        let sent_at = Duration::from_secs_f64(self.requests[request].at_ms / 1e3);
        shape.deadline = shape.deadline.saturating_sub(now - sent_at);
        let state = &mut self.states[request];
        if state.tried.len() >= MAX_ATTEMPTS || state.reached >= MAX_REACHED {
            return self.rejected(request, EXHAUSTED_RETRY_AFTER);
        }
        match self.nodes[state.node].selector(kind).decide(now, &shape, &state.tried) {
            Decision::Reject { retry_after } => {
                self.count_rejection(kind);
                self.rejected(request, retry_after);
            }
            Decision::Forward { attempt, backend, urgency } => {
                state.attempt = Some(attempt);
                state.tried.push(backend.clone());
                state.urgency = urgency;
                match kind {
                    ServiceKind::Engine => self.connect_to_engine(request, &backend),
                    ServiceKind::Plain => self.connect_to_plain(request, &backend),
                }
            }
        }
    }

    fn connect_to_plain(&mut self, request: usize, backend: &BackendId) {
        self.states[request].backend = self.plain_index(backend);
        self.schedule(HOP_MS, Event::AttemptArrival { request });
    }

    fn connect_to_engine(&mut self, request: usize, backend: &BackendId) {
        if self.policy == SelectionPolicy::Baseline(BaselinePolicy::Omniscient) {
            self.states[request].urgency = 2 * self.requests[request].shape.route_priority;
            self.states[request].backend = self.earliest_engine(request);
            return self.schedule(HOP_MS, Event::AttemptArrival { request });
        }
        let Some(engine) = self.engines.iter().position(|instance| instance.id == *backend) else { return };
        self.states[request].backend = engine;
        match self.engines[engine].health {
            EngineHealth::Unresponsive => {
                let class = &self.site.classes[self.requests[request].class];
                let timeout_ms = CONNECT_TIMEOUT_SHARE * class.latency_target_ms;
                self.schedule(timeout_ms, Event::ConnectFailure { request });
            }
            EngineHealth::Refusing | EngineHealth::Gone => {
                self.schedule(2.0 * HOP_MS, Event::ConnectFailure { request });
            }
            EngineHealth::Up => self.schedule(HOP_MS, Event::AttemptArrival { request }),
        }
    }

    /// The engine that would complete the prefill of the prompt first.
    fn earliest_engine(&self, request: usize) -> usize {
        let prompt = &self.requests[request].prompt;
        let urgency = self.states[request].urgency;
        let is_up = |engine: &usize| self.engines[*engine].health == EngineHealth::Up;
        let work = |engine: &usize| {
            let instance = &self.engines[*engine];
            let backlog = instance.engine.prefill_backlog(urgency, prompt);
            let running = u64::from(instance.engine.load().running);
            let tokens = backlog.ahead_tokens + 2 * backlog.own_tokens + RUNNING_TOKENS * running;
            (tokens as f64 * instance.slowdown) as u64
        };
        self.listed.iter().copied().filter(is_up).min_by_key(work).unwrap_or(self.listed[0])
    }

    fn count_rejection(&mut self, kind: ServiceKind) {
        self.statistics.rejections += 1;
        if kind == ServiceKind::Engine {
            let loads: Vec<_> = self.listed.iter().map(|index| self.engines[*index].engine.load()).collect();
            let running: u32 = loads.iter().map(|load| load.running).sum();
            let slots = (loads.len() * self.site.engine.slots) as u32;
            let is_needless = 2 * running < slots && loads.iter().all(|load| load.waiting == 0);
            self.statistics.needless_rejections += u32::from(is_needless);
        }
    }

    /// Handles the rejection of a request by its node. The client retries once if there is time.
    fn rejected(&mut self, request: usize, retry_after: Duration) {
        let class = &self.site.classes[self.requests[request].class];
        let remaining_ms = self.requests[request].at_ms + class.deadline_ms - self.now_ms;
        let delay_ms = (retry_after.as_secs_f64() * 1e3).min(remaining_ms / 3.0);
        let state = &mut self.states[request];
        state.rejected_early = self.now_ms - state.sent_at_ms <= class.latency_target_ms / 4.0;
        if state.sends < MAX_SENDS && remaining_ms > delay_ms {
            let node = self.random.random_range(0..self.nodes.len());
            return self.schedule(delay_ms, Event::Retry { request, node });
        }
        state.is_done = true;
        self.statistics.classes[self.requests[request].class].rejected += 1;
    }

    fn give_up(&mut self, request: usize) {
        let backend = self.states[request].backend;
        if self.service_kind(request) == ServiceKind::Engine && self.states[request].attempt.is_some() {
            self.engines[backend].engine.cancel(request as u64);
        }
        let is_silent = self.now_ms - self.states[request].last_progress_ms > BROKEN_SILENCE_MS;
        let outcome = if is_silent { Outcome::Broken } else { Outcome::Cancelled };
        self.states[request].is_done = true;
        self.statistics.classes[self.requests[request].class].failed += 1;
        self.notify_attempt_end(request, outcome, None);
    }

    fn notify_attempt_end(&mut self, request: usize, outcome: Outcome, load: Option<Load>) {
        let (now, kind) = (self.now(), self.service_kind(request));
        let Some(attempt) = self.states[request].attempt.take() else { return };
        let node = self.states[request].node;
        self.nodes[node].selector(kind).attempt_ended(now, attempt, outcome, load);
    }

    /// Handles a failure to connect.
    pub fn connect_failed(&mut self, request: usize) {
        self.attempt_failed(request, Outcome::NotConnected, None);
    }

    /// Handles the end of an attempt without success. The node starts another attempt if the request was not
    /// executed.
    pub fn attempt_failed(&mut self, request: usize, outcome: Outcome, load: Option<Load>) {
        if self.states[request].is_done {
            return;
        }
        self.notify_attempt_end(request, outcome, load);
        match outcome {
            Outcome::NotConnected | Outcome::Rejected => self.start_attempt(request),
            _ => {
                self.states[request].is_done = true;
                self.statistics.classes[self.requests[request].class].failed += 1;
            }
        }
    }

    /// Handles the complete response to a request.
    pub fn complete(&mut self, request: usize, load: Option<Load>) {
        self.count_success(request);
        self.notify_attempt_end(request, Outcome::Served, load);
    }

    fn count_success(&mut self, request: usize) {
        let class = &self.site.classes[self.requests[request].class];
        let size = self.size(request);
        let state = &mut self.states[request];
        state.is_done = true;
        let first_event_ms = state.first_event_ms.unwrap_or(self.now_ms) + 2.0 * HOP_MS;
        let latency_ms = first_event_ms - self.requests[request].at_ms;
        let is_in_time = latency_ms <= class.latency_target_ms && !state.has_stalled;
        let is_retry_in_time =
            first_event_ms - state.sent_at_ms <= class.latency_target_ms && !state.has_stalled;
        let value = match (is_in_time, state.rejected_early && is_retry_in_time) {
            (true, _) => class.value,
            (false, true) => (class.value + class.late_value) / 2.0,
            (false, false) => class.late_value,
        };
        let statistics = &mut self.statistics.classes[self.requests[request].class];
        statistics.first_event_ms.push(latency_ms);
        statistics.largest_served += u32::from(self.is_large[request]);
        statistics.in_time += u32::from(is_in_time);
        statistics.late += u32::from(latency_ms > class.latency_target_ms);
        statistics.stalled += u32::from(state.has_stalled);
        statistics.earned_value += value * size;
    }

    /// Handles an event of a stream that its engine has sent.
    pub fn event_sent(&mut self, request: usize, last: bool, load: Load) {
        if self.states[request].is_done {
            return;
        }
        let now = self.now();
        let max_gap_ms = self.site.classes[self.requests[request].class].max_gap_ms;
        let state = &mut self.states[request];
        let Some(attempt) = state.attempt else { return };
        if state.first_event_ms.is_none() {
            state.first_event_ms = Some(self.now_ms);
            let selector = &mut self.nodes[state.node].engines;
            selector.load_received(now, attempt, load);
            selector.response_started(now, attempt);
        } else if self.now_ms - state.last_progress_ms > max_gap_ms {
            state.has_stalled = true;
        }
        state.last_progress_ms = self.now_ms;
        if last {
            self.complete(request, None);
        }
    }

    /// Starts the timer after which the client gives up, unless the request has ended or has reached another
    /// backend.
    pub fn start_silence_timer(&mut self, request: usize) {
        self.states[request].silence_timer += 1;
        let timer = self.states[request].silence_timer;
        self.schedule(SILENCE_TIMEOUT_MS, Event::SilenceTimeout { request, timer });
    }
}
