//! Duration of a decision with 12 and with 4,000 backends.

use criterion::{Criterion, criterion_group, criterion_main};
use routing::*;
use std::time::Duration;

fn entries(count: u32) -> Vec<BackendEntry> {
    let entry = |at| BackendEntry {
        id: BackendId(format!("i-{at:08x}").into()),
        same_zone: at % 4 == 0,
        slots: 64,
        slow_start_remaining: Duration::ZERO,
    };
    (0..count).map(entry).collect()
}

fn request(turn: u64) -> RequestShape {
    let blocks = vec![
        PromptBlock { id: turn % 4, tokens: 2520 },
        PromptBlock { id: 100 + turn % 168, tokens: 3780 },
        PromptBlock { id: 1_000_000 + turn, tokens: 2890 },
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

fn bench(criterion: &mut Criterion) {
    for (name, has_engine) in [("prompts", true), ("plain", false)] {
        for count in [12, 4000] {
            let engine = EngineSettings { slots: 64, kv_capacity_tokens: 400_000, tokens_per_event: 6 };
            let mut service = Service::new(has_engine.then_some(engine), 8, 7);
            service.replace_backends(Duration::ZERO, entries(count));
            let mut turn = 0;
            criterion.bench_function(&format!("{name}, {count} backends"), |bencher| {
                bencher.iter(|| {
                    turn += 1;
                    let now = Duration::from_millis(20 * turn);
                    let mut request = request(turn);
                    if !has_engine {
                        (request.blocks, request.prompt_tokens) = (Vec::new(), 0);
                    }
                    let Decision::Forward { attempt, .. } = service.decide(now, &request, &[]) else {
                        return;
                    };
                    let load = Load { running: 3, waiting: 0, slots: 64 };
                    service.load_received(now + Duration::from_millis(15), attempt, load);
                    service.response_started(now + Duration::from_millis(15), attempt);
                    service.attempt_ended(now + Duration::from_millis(19), attempt, Outcome::Served, None);
                })
            });
        }
    }
}

criterion_group! { name = benches; config = Criterion::default().sample_size(20).measurement_time(Duration::from_secs(2)); targets = bench }
criterion_main!(benches);
