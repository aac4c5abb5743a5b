//! Input and output types of the backend selection.

use std::sync::Arc;
use std::time::Duration;

/// The instance id of a backend. A backend that restarts has another one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub Arc<str>);

/// A backend that accepts new requests.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendEntry {
    /// Unique among the backends of a service.
    pub id: BackendId,
    /// Whether the backend is in the node's own zone.
    pub same_zone: bool,
    /// The number of requests that the backend runs at once.
    pub slots: u32,
    /// The remaining time of slow start; zero after it.
    pub slow_start_remaining: Duration,
}

/// The engines of a service that serves a language model. All its backends have the same settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSettings {
    /// The number of requests that an engine runs at once.
    pub slots: u32,
    /// The capacity of an engine's KV cache, in tokens.
    pub kv_capacity_tokens: u64,
    /// The tokens in one event of a response stream.
    pub tokens_per_event: u32,
}

/// A block of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptBlock {
    /// Equal for blocks with equal content.
    pub id: u64,
    /// The number of tokens in the block.
    pub tokens: u32,
}

/// The properties of a request that the selection of a backend considers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestShape {
    /// The model's name; empty for none.
    pub model: String,
    /// The length of the prompt, in tokens; 0 if unknown.
    pub prompt_tokens: u32,
    /// The maximum length of the response, in tokens; 0 if unknown.
    pub output_tokens: u32,
    /// The blocks of the prompt in order. The last one belongs to this request or its session alone; the
    /// others may be shared.
    pub blocks: Vec<PromptBlock>,
    /// The priority of the tenant; 0 is the highest.
    pub tenant_priority: u8,
    /// The priority of the route; 0 is the highest.
    pub route_priority: u8,
    /// The time from now by which the response, or the first event of a stream, should arrive.
    pub latency_target: Duration,
    /// The time from now for which the client waits.
    pub deadline: Duration,
    /// Whether the response is a stream of events.
    pub streaming: bool,
}

/// Identifies an attempt among those of one service at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// What to do with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it to a backend.
    Forward {
        /// The attempt, which counts as in flight until [`crate::Service::attempt_ended`] is called with it.
        attempt: AttemptId,
        /// The selected backend.
        backend: BackendId,
        /// The value of the `Priority` header, from 0 (most urgent) to 9.
        urgency: u8,
    },
    /// Reject it at once with status 503.
    Reject {
        /// The value of `Retry-After`.
        retry_after: Duration,
    },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response is complete and has a status below 500.
    Served,
    /// The response is an error, and the request may have run.
    Failed,
    /// The backend rejected the request without running it, as it was full or the deadline too close.
    Rejected,
    /// Another instance than the selected one responds at the address.
    Misdirected,
    /// No connection could be opened, so nothing was sent.
    NotConnected,
    /// The connection broke or the attempt timed out. The request may have run.
    Broken,
    /// The client disconnected, or this node abandoned the attempt.
    Cancelled,
}

/// The load that a backend reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// The number of requests that are running.
    pub running: u32,
    /// The number of requests in the backend's queue.
    pub waiting: u32,
    /// The number of requests that the backend runs at once.
    pub slots: u32,
}

/// A backend's response to `GET /api/report`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// The number of requests in the backend's queue.
    pub queued: u32,
    /// The number of requests that are running.
    pub active: u32,
    /// Tokens in the KV cache that can't be evicted.
    pub kv_used: u64,
    /// The capacity of the KV cache, in tokens.
    pub kv_total: u64,
}
