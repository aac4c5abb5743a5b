//! Services, backends and requests for the tests.
#![allow(dead_code)]

use routing::*;
use std::time::Duration;

pub const ENGINE: EngineSettings =
    EngineSettings { slots: 64, kv_capacity_tokens: 400_000, tokens_per_event: 6 };

pub fn id(at: usize) -> BackendId {
    BackendId(format!("i-{at:08x}").into())
}

pub fn entry(at: usize) -> BackendEntry {
    BackendEntry { id: id(at), same_zone: false, slots: 8, slow_start_remaining: Duration::ZERO }
}

pub fn entries(count: usize) -> Vec<BackendEntry> {
    (0..count).map(entry).collect()
}

/// A service without a language model, with this number of backends.
pub fn plain_service(count: usize, nodes: u32, seed: u64) -> Service {
    let mut service = Service::new(None, nodes, seed);
    service.replace_backends(Duration::ZERO, entries(count));
    service
}

/// A service of a language model, with this number of backends.
pub fn engine_service(count: usize, nodes: u32, seed: u64) -> Service {
    let mut service = Service::new(Some(ENGINE), nodes, seed);
    let with_slots = entries(count).into_iter().map(|entry| BackendEntry { slots: 64, ..entry });
    service.replace_backends(Duration::ZERO, with_slots.collect());
    service
}

/// A request whose latency target and deadline are too long to affect decisions.
pub fn request() -> RequestShape {
    RequestShape {
        latency_target: Duration::from_secs(60),
        deadline: Duration::from_secs(600),
        ..RequestShape::default()
    }
}

/// A request with two blocks shared by all requests of its topic, and one of its own.
pub fn prompt_request(topic: u64, own: u64) -> RequestShape {
    let blocks = vec![
        PromptBlock { id: topic % 4, tokens: 2520 },
        PromptBlock { id: 100 + topic, tokens: 3780 },
        PromptBlock { id: 1_000_000 + own, tokens: 2890 },
    ];
    RequestShape {
        model: "m".into(),
        prompt_tokens: 9190,
        output_tokens: 54,
        blocks,
        latency_target: Duration::from_millis(600),
        deadline: Duration::from_secs(4),
        streaming: true,
        ..RequestShape::default()
    }
}

/// The attempt and the backend of a decision to forward a request.
pub fn forwarded(decision: &Decision) -> (AttemptId, BackendId) {
    match decision {
        Decision::Forward { attempt, backend, .. } => (*attempt, backend.clone()),
        Decision::Reject { .. } => panic!("the request is rejected"),
    }
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub const IDLE: Load = Load { running: 1, waiting: 0, slots: 8 };
pub const BUSY: Load = Load { running: 8, waiting: 3, slots: 8 };
