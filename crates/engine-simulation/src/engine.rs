//! A model of a backend that serves a language model: admission by urgency, chunked prefill between decode
//! steps, a prefix cache, preemption.

use crate::prefix_cache::{PrefixBlock, PrefixCache};

/// The speed and the capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// The maximum number of requests that are prefilled or running.
    pub slots: usize,
    /// The maximum number of queued requests.
    pub max_queued: usize,
    /// The capacity of its KV memory, in tokens.
    pub kv_capacity_tokens: u64,
    /// The base time of a decode step, in ms.
    pub step_ms: f64,
    /// The additional time of a decode step for each running request, in ms.
    pub step_ms_per_running: f64,
    /// The additional time of a decode step for each 1,000 tokens of context, in ms.
    pub step_ms_per_k_context: f64,
    /// The prefill speed without attention, in tokens per ms.
    pub prefill_tokens_per_ms: f64,
    /// The additional prefill time for a million pairs of a prompt token and a preceding token, in ms.
    pub attention_ms_per_m_pairs: f64,
    /// The additional time for a first token, in ms. A quarter of it is added to the time of the step.
    pub first_token_ms: f64,
    /// The maximum number of prompt tokens that are prefilled in a step.
    pub prefill_chunk_tokens: u64,
    /// The number of tokens per event of a stream.
    pub tokens_per_event: u32,
}

/// A request to an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// The id, chosen by the caller.
    pub id: u64,
    /// The urgency; 0 is served first.
    pub urgency: u8,
    /// The prompt.
    pub prompt: Vec<PrefixBlock>,
    /// The number of events of the response.
    pub events: u32,
}

impl Job {
    fn prompt_tokens(&self) -> u64 {
        total_tokens(&self.prompt)
    }
}

fn total_tokens(prompt: &[PrefixBlock]) -> u64 {
    prompt.iter().map(|block| block.tokens).sum()
}

/// A result of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineOutput {
    /// An event of a stream was sent.
    Event {
        /// The id of the request.
        id: u64,
        /// Whether it is the first of its stream.
        first: bool,
        /// Whether it is the last of its stream.
        last: bool,
    },
    /// A request was admitted, and its prefill begins.
    Admitted {
        /// The id of the request.
        id: u64,
        /// The number of cached tokens of its prompt.
        cached_tokens: u64,
    },
    /// A chunk of a prompt was prefilled.
    Prefilled {
        /// The id of the request.
        id: u64,
        /// The number of tokens of the chunk.
        tokens: u64,
    },
}

/// The number of requests at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests that generate tokens.
    pub running: u32,
    /// Requests that are queued or prefilled.
    pub waiting: u32,
}

/// The prompt tokens that an engine would prefill before the first token of another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefillBacklog {
    /// Uncached tokens of the requests that are served before it.
    pub ahead_tokens: u64,
    /// Uncached tokens of its own prompt.
    pub own_tokens: u64,
}

/// A queued request, which may have been preempted before.
#[derive(Clone, Debug)]
struct QueuedJob {
    job: Job,
    /// The number of its arrival among all requests.
    arrival: u64,
    /// The number of tokens that it had generated when it was preempted; 0 if it was not.
    generated_tokens: u64,
}

/// A request that is prefilled or runs.
#[derive(Clone, Debug)]
struct ActiveJob {
    job: Job,
    arrival: u64,
    unread_tokens: u64,
    generated_tokens: u64,
}

impl ActiveJob {
    fn context_tokens(&self) -> u64 {
        self.job.prompt_tokens() + self.generated_tokens
    }
}

/// The state of a backend that serves a language model. It has no clock: [`step`](Engine::step) returns the
/// time of a step.
#[derive(Clone, Debug)]
pub struct Engine {
    spec: EngineSpec,
    cache: PrefixCache,
    queue: Vec<QueuedJob>,
    prefilling: Vec<ActiveJob>,
    running: Vec<ActiveJob>,
    arrivals: u64,
    /// The additional time of the current step for first tokens, in ms.
    extra_ms: f64,
}

impl Engine {
    /// An idle engine with an empty cache.
    pub fn new(spec: EngineSpec) -> Self {
        Engine {
            cache: PrefixCache::new(spec.kv_capacity_tokens),
            spec,
            queue: Vec::new(),
            prefilling: Vec::new(),
            running: Vec::new(),
            arrivals: 0,
            extra_ms: 0.0,
        }
    }

    /// Queues a request. Returns `false` if it is rejected, because the queue is full or because its prompt
    /// and response exceed the KV memory.
    pub fn offer(&mut self, job: Job) -> bool {
        let output_tokens = u64::from(job.events * self.spec.tokens_per_event);
        let is_full = self.queue.len() >= self.spec.max_queued;
        if is_full || job.prompt_tokens() + output_tokens > self.spec.kv_capacity_tokens {
            return false;
        }
        self.arrivals += 1;
        self.queue.push(QueuedJob { job, arrival: self.arrivals, generated_tokens: 0 });
        true
    }

    /// Removes a request, such as one whose client has disconnected.
    pub fn cancel(&mut self, id: u64) {
        self.queue.retain(|queued| queued.job.id != id);
        if let Some(index) = self.prefilling.iter().position(|active| active.job.id == id) {
            self.prefilling.remove(index);
        }
        if let Some(index) = self.running.iter().position(|active| active.job.id == id) {
            let cancelled = self.running.remove(index);
            self.release(&cancelled);
        }
    }

    /// The number of running and waiting requests.
    pub fn load(&self) -> EngineLoad {
        EngineLoad {
            running: self.running.len() as u32,
            waiting: (self.queue.len() + self.prefilling.len()) as u32,
        }
    }

    /// The prefill work before the first token of a request with this urgency and prompt.
    pub fn prefill_backlog(&self, urgency: u8, prompt: &[PrefixBlock]) -> PrefillBacklog {
        let uncached = |prompt: &[PrefixBlock]| total_tokens(prompt) - self.cache.cached_tokens(prompt);
        let queued = self.queue.iter().filter(|queued| queued.job.urgency <= urgency);
        let prefilling = self.prefilling.iter().filter(|active| active.job.urgency <= urgency);
        let queued_tokens: u64 = queued.map(|queued| uncached(&queued.job.prompt)).sum();
        let prefilling_tokens: u64 = prefilling.map(|active| active.unread_tokens).sum();
        PrefillBacklog { ahead_tokens: queued_tokens + prefilling_tokens, own_tokens: uncached(prompt) }
    }

    /// Whether it has no requests.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.prefilling.is_empty() && self.running.is_empty()
    }

    /// The ids of all queued, prefilled and running requests.
    pub fn jobs(&self) -> Vec<u64> {
        let queued = self.queue.iter().map(|queued| queued.job.id);
        queued.chain(self.prefilling.iter().chain(&self.running).map(|active| active.job.id)).collect()
    }

    /// Runs a step, and appends its results to `outputs`. Returns the time of the step in ms.
    pub fn step(&mut self, outputs: &mut Vec<EngineOutput>) -> f64 {
        self.admit(outputs);
        let mut time_ms = self.prefill(outputs);
        if !self.running.is_empty() {
            let context: u64 = self.running.iter().map(ActiveJob::context_tokens).sum();
            time_ms += self.spec.step_ms + self.spec.step_ms_per_running * self.running.len() as f64;
            time_ms += self.spec.step_ms_per_k_context * context as f64 / 1000.0;
            self.decode(outputs);
        }
        time_ms += std::mem::take(&mut self.extra_ms);
        self.preempt();
        time_ms.max(0.1)
    }

    /// Admits queued requests while there are free slots and memory, the most urgent first.
    fn admit(&mut self, outputs: &mut Vec<EngineOutput>) {
        self.queue.sort_by_key(|queued| (queued.job.urgency, queued.arrival));
        while self.running.len() + self.prefilling.len() < self.spec.slots && !self.queue.is_empty() {
            let next = &self.queue[0];
            let reserve = u64::from(self.spec.tokens_per_event) + next.generated_tokens;
            let pending: u64 = self.prefilling.iter().map(|active| active.unread_tokens).sum();
            if !self.cache.fits(&next.job.prompt, reserve + pending) {
                return;
            }
            let QueuedJob { job, arrival, generated_tokens } = self.queue.remove(0);
            let cached_tokens = self.cache.cached_tokens(&job.prompt);
            outputs.push(EngineOutput::Admitted { id: job.id, cached_tokens });
            let unread_tokens = job.prompt_tokens() + generated_tokens - cached_tokens;
            self.prefilling.push(ActiveJob { job, arrival, unread_tokens, generated_tokens });
        }
    }

    /// Prefills one chunk of prompt tokens, the most urgent requests first. Returns the time in ms.
    fn prefill(&mut self, outputs: &mut Vec<EngineOutput>) -> f64 {
        let mut budget = self.spec.prefill_chunk_tokens;
        let mut time_ms = 0.0;
        self.prefilling.sort_by_key(|active| (active.job.urgency, active.arrival));
        while budget > 0 && !self.prefilling.is_empty() {
            let active = &mut self.prefilling[0];
            let tokens = active.unread_tokens.min(budget);
            let context = active.context_tokens() - (active.unread_tokens - tokens);
            time_ms += tokens as f64 / self.spec.prefill_tokens_per_ms;
            time_ms += self.spec.attention_ms_per_m_pairs * tokens as f64 * context as f64 / 1e6;
            active.unread_tokens -= tokens;
            budget -= tokens;
            if tokens > 0 {
                outputs.push(EngineOutput::Prefilled { id: active.job.id, tokens });
            }
            if active.unread_tokens == 0 {
                let active = self.prefilling.remove(0);
                self.start_decoding(active);
            }
        }
        time_ms
    }

    fn start_decoding(&mut self, active: ActiveJob) {
        self.cache.pin(&active.job.prompt);
        self.cache.adjust_generated(active.generated_tokens as i64);
        self.running.push(active);
        self.extra_ms += self.spec.first_token_ms / 4.0;
    }

    /// Generates one token for each running request, and removes the requests that are complete.
    fn decode(&mut self, outputs: &mut Vec<EngineOutput>) {
        let tokens_per_event = u64::from(self.spec.tokens_per_event);
        let total = |active: &ActiveJob| u64::from(active.job.events) * tokens_per_event;
        let mut generated = 0;
        for active in &mut self.running {
            active.generated_tokens += 1;
            generated += 1;
            if active.generated_tokens.is_multiple_of(tokens_per_event) {
                let first = active.generated_tokens == tokens_per_event;
                let last = active.generated_tokens >= total(active);
                outputs.push(EngineOutput::Event { id: active.job.id, first, last });
            }
        }
        self.cache.adjust_generated(generated);
        let is_complete = |active: &ActiveJob| active.generated_tokens >= total(active);
        let (complete, running): (Vec<ActiveJob>, _) =
            std::mem::take(&mut self.running).into_iter().partition(is_complete);
        self.running = running;
        complete.iter().for_each(|active| self.release(active));
    }

    fn release(&mut self, active: &ActiveJob) {
        self.cache.unpin(&active.job.prompt);
        self.cache.adjust_generated(-(active.generated_tokens as i64));
    }

    /// While memory is over capacity, preempts the newest of the least urgent requests: it is queued again,
    /// and its prompt and generated tokens are prefilled again later.
    fn preempt(&mut self) {
        while self.cache.is_over_capacity() && self.running.len() > 1 {
            let newest = (0..self.running.len()).max_by_key(|index| {
                let active = &self.running[*index];
                (active.job.urgency, active.arrival)
            });
            let Some(index) = newest else { return };
            let active = self.running.remove(index);
            self.release(&active);
            let ActiveJob { job, arrival, generated_tokens, .. } = active;
            self.queue.push(QueuedJob { job, arrival, generated_tokens });
        }
    }
}
