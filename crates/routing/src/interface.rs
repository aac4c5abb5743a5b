//! The inputs and outputs of the choice of a backend.

use std::sync::Arc;
use std::time::Duration;

/// A backend: the identity of one start of its process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub Arc<str>);

/// A backend that accepts new requests.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendEntry {
    /// Its identity.
    pub id: BackendId,
    /// Whether it is in the node's own zone.
    pub same_zone: bool,
    /// Requests that it works on at once.
    pub slots: u32,
    /// How much of its slow start is left.
    pub slow_start_remaining: Duration,
}

/// What is known of a service's engines, where it serves a language model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSettings {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that its KV cache holds.
    pub kv_capacity_tokens: u64,
    /// Tokens in an event of a stream.
    pub tokens_per_event: u32,
}

/// A block of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptBlock {
    /// Equal blocks have equal ids.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What the choice of a backend considers of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestShape {
    /// The model's name; empty for none.
    pub model: String,
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens of the response.
    pub output_tokens: u32,
    /// The blocks of the prompt in order; the last one is the request's own or its session's.
    pub blocks: Vec<PromptBlock>,
    /// The rank of the tenant, 0 first.
    pub tenant_priority: u8,
    /// The rank of the route, 0 first.
    pub route_priority: u8,
    /// The time within which a response (a stream: its first event) has its full value, from now.
    pub latency_target: Duration,
    /// How long the client waits from now.
    pub deadline: Duration,
    /// Whether the response is a stream of events.
    pub streaming: bool,
}

/// Id of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// What to do with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it to a backend. The attempt counts as in flight until [`crate::Service::attempt_ended`].
    Forward {
        /// The attempt.
        attempt: AttemptId,
        /// The backend.
        backend: BackendId,
        /// The value of the `Priority` header, 0 first.
        urgency: u8,
    },
    /// Reject it at once with 503.
    Reject {
        /// The value of `Retry-After`.
        retry_after: Duration,
    },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Complete response, with a status under 500.
    Served,
    /// Error response after it ran, or one that does not say.
    Failed,
    /// Response that proves that it did not run (full, too late).
    Rejected,
    /// The address belongs to another instance.
    Misdirected,
    /// No connection could be opened; nothing was sent.
    NotConnected,
    /// The connection broke or timed out; it may have run.
    Broken,
    /// The client disconnected or this node abandoned it.
    Cancelled,
}

/// The load that a backend reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// A backend's response to `GET /api/report`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests waiting.
    pub queued: u32,
    /// Requests running.
    pub active: u32,
    /// Tokens of its KV cache that can't be evicted.
    pub kv_used: u64,
    /// Tokens of its KV cache.
    pub kv_total: u64,
}
