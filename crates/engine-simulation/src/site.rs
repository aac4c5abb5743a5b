//! The input of a simulation: engines, plain backends, nodes, classes of requests and scheduled faults.

use crate::engine::EngineSpec;
use crate::fault::ScheduledFault;

/// The blocks at one position that prompts of a class share.
#[derive(Clone, Copy, Debug)]
pub struct SharedBlocks {
    /// The mean number of tokens of a block.
    pub mean_tokens: f64,
    /// The standard deviation of the logarithm of the number of tokens.
    pub log_spread: f64,
    /// The number of different blocks.
    pub count: u64,
    /// The Zipf exponent of their popularity: the n-th block has a weight of n to the power of minus this.
    pub zipf_exponent: f64,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The name in reports.
    pub name: &'static str,
    /// The normal rate of requests per second over all nodes.
    pub rate_per_s: f64,
    /// The shared blocks of a prompt, by position.
    pub shared_blocks: Vec<SharedBlocks>,
    /// The mean number of tokens of the last block, which each request has for itself.
    pub mean_own_tokens: f64,
    /// The standard deviation of the logarithm of the number of its tokens.
    pub own_log_spread: f64,
    /// The maximum number of its tokens.
    pub max_own_tokens: f64,
    /// The mean number of events of a response; 0 for plain calls.
    pub mean_events: f64,
    /// The standard deviation of the logarithm of the number of events.
    pub events_log_spread: f64,
    /// The mean time that a plain call takes at a backend, in ms.
    pub mean_work_ms: f64,
    /// The latency target of the first event, in ms.
    pub latency_target_ms: f64,
    /// The longest gap between two events with which a response is in time, in ms.
    pub max_gap_ms: f64,
    /// The time that a client waits for the complete response, in ms.
    pub deadline_ms: f64,
    /// The value of a request of mean size that is served in time.
    pub value: f64,
    /// The value of a request of mean size that is served late.
    pub late_value: f64,
    /// The priority; 0 is served first.
    pub priority: u8,
    /// The share of requests, 0 to 1, that repeat the complete prompt of a recent request.
    pub repeated_share: f64,
}

impl RequestClass {
    /// Whether it is served by plain backends.
    pub fn is_plain(&self) -> bool {
        self.mean_events == 0.0
    }
}

/// The number and the capacity of the backends for plain calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlainBackends {
    /// The number of backends.
    pub count: usize,
    /// The maximum number of running calls at each.
    pub slots: usize,
    /// The maximum number of queued calls at each.
    pub max_queued: usize,
}

/// A deployment with its workload.
#[derive(Clone, Debug)]
pub struct Site {
    /// The name in reports.
    pub name: String,
    /// The number of engines.
    pub engines: usize,
    /// The speed and the capacity of each engine.
    pub engine: EngineSpec,
    /// The backends for plain calls.
    pub plain: PlainBackends,
    /// The share of all requests, 0 to 1, that each node receives from clients.
    pub node_shares: Vec<f64>,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// How long clients send new requests, in seconds.
    pub length_s: f64,
    /// The scheduled faults.
    pub faults: Vec<ScheduledFault>,
    /// A shared block counts as reread if it is prefilled again within this time, in seconds.
    pub reread_window_s: f64,
}

impl Site {
    /// A site of medium size. `load` is a multiple of its normal load.
    pub fn reference(load: f64) -> Site {
        Site {
            name: "usual".into(),
            engines: 12,
            engine: EngineSpec {
                slots: 64,
                max_queued: 192,
                kv_capacity_tokens: 380_000,
                step_ms: 3.09,
                step_ms_per_running: 0.102,
                step_ms_per_k_context: 0.00183,
                prefill_tokens_per_ms: 56.9,
                attention_ms_per_m_pairs: 0.165,
                first_token_ms: 13.0,
                prefill_chunk_tokens: 4096,
                tokens_per_event: 6,
            },
            plain: PlainBackends { count: 4, slots: 6, max_queued: 24 },
            node_shares: vec![0.075, 0.075, 0.075, 0.155, 0.155, 0.11, 0.11, 0.245],
            classes: vec![form_class(load), chat_class(load), plain_class(load)],
            length_s: 34.0,
            faults: Vec::new(),
            reread_window_s: 8.1,
        }
    }
}

/// The blocks at one position of the prompts of a class.
fn blocks(mean_tokens: f64, log_spread: f64, count: u64, zipf_exponent: f64) -> SharedBlocks {
    SharedBlocks { mean_tokens, log_spread, count, zipf_exponent }
}

/// Long prompts and short responses.
fn form_class(load: f64) -> RequestClass {
    RequestClass {
        name: "form",
        rate_per_s: 44.6 * load,
        shared_blocks: vec![blocks(2520.0, 0.4, 4, 0.0), blocks(3780.0, 0.7, 168, 0.3)],
        mean_own_tokens: 2890.0,
        own_log_spread: 1.0,
        max_own_tokens: 39_600.0,
        mean_events: 8.7,
        events_log_spread: 1.0,
        mean_work_ms: 0.0,
        latency_target_ms: 600.0,
        max_gap_ms: 600.0,
        deadline_ms: 4000.0,
        value: 2.0,
        late_value: 0.6,
        priority: 1,
        repeated_share: 0.0,
    }
}

/// Short prompts and long responses.
fn chat_class(load: f64) -> RequestClass {
    RequestClass {
        name: "chat",
        rate_per_s: 30.6 * load,
        shared_blocks: vec![blocks(119.0, 0.4, 20, 0.0), blocks(79.4, 0.7, 259, 0.3)],
        mean_own_tokens: 628.0,
        max_own_tokens: 3310.0,
        mean_events: 48.6,
        events_log_spread: 0.69,
        latency_target_ms: 500.0,
        deadline_ms: 12_000.0,
        value: 3.0,
        late_value: 0.9,
        priority: 0,
        repeated_share: 0.3,
        ..form_class(load)
    }
}

/// Plain calls.
fn plain_class(load: f64) -> RequestClass {
    RequestClass {
        name: "plain",
        rate_per_s: 18.8 * load,
        shared_blocks: Vec::new(),
        mean_own_tokens: 0.0,
        mean_events: 0.0,
        mean_work_ms: 30.0,
        latency_target_ms: 150.0,
        deadline_ms: 1500.0,
        value: 1.0,
        late_value: 0.3,
        priority: 2,
        ..form_class(load)
    }
}
