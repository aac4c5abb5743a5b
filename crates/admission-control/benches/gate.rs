//! The cost of an admission and of a rejection with 5,000 tenants, most of which are idle.

use admission_control::backends::LimitSettings;
use admission_control::gate::{ClassSettings, TenantSettings};
use admission_control::limit::LimitBounds;
use admission_control::{Arrival, Endpoint, Gate, GateSettings, RequestFingerprint};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use join_up_to::{Outcome, RequestId, ServerId};
use std::time::Duration;

const TENANTS: usize = 5_000;

fn gate(backends: u64, capacity: f64) -> Gate {
    let tenant = |n: usize| TenantSettings {
        name: format!("t{n}"),
        share: None,
        guaranteed_rate: f64::from(u8::from(n.is_multiple_of(2))),
    };
    let bounds = LimitBounds { initial: capacity, min: 1.0, max: capacity, is_adaptive: false, nodes: 1.0 };
    let class = |name: &str, priority_weight| ClassSettings {
        name: name.into(),
        priority_weight,
        min_retry_after: Duration::from_secs(1),
        max_queue_time: None,
    };
    let settings = GateSettings {
        limits: LimitSettings { bounds: Some(bounds), slow_start: None },
        classes: vec![class("look", 1.0), class("submit", 2.0), class("correct", 5.0)],
        tenants: (0..TENANTS).map(tenant).collect(),
        brownout: Vec::new(),
    };
    let mut gate = Gate::new(Duration::ZERO, settings);
    let endpoint = |id| Endpoint { id: ServerId(id), weight: 1.0, kind: 0, ready: true, added_at: None };
    gate.set_endpoints(Duration::ZERO, &(0..backends).map(endpoint).collect::<Vec<_>>());
    gate
}

fn arrival(id: u64) -> Arrival {
    // One tenant in fifty is busy.
    let tenant = (id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as usize % (TENANTS / 50);
    Arrival {
        id: RequestId(id),
        class: id as usize % 3,
        tenant,
        remaining: Duration::from_secs(1),
        fingerprint: Some(RequestFingerprint(id)),
    }
}

fn costs(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("gate");
    for backends in [3, 1000] {
        group.bench_function(format!("admitted, sent, ended and finished, {backends} backends"), |bencher| {
            let mut gate = gate(backends, 100.0);
            let (mut id, mut now) = (0, Duration::ZERO);
            bencher.iter(|| {
                (id, now) = (id + 1, now + Duration::from_micros(50));
                let server = ServerId(id % backends);
                let decision = gate.arrive(now, arrival(id));
                gate.attempt_sent(now, server);
                gate.attempt_ended(now, RequestId(id), server, Outcome::Served, Duration::from_millis(20));
                gate.request_finished(now, RequestId(id));
                decision
            });
        });
    }
    // The queue is full: each arrival is rejected or displaces a queued request.
    let full = || {
        let mut gate = gate(3, 100.0);
        (0..20_000).for_each(|id| {
            gate.arrive(Duration::from_micros(id), arrival(id));
        });
        gate.take_decisions();
        gate
    };
    group.bench_function("rejected, or displaces another", |bencher| {
        let mut gate = full();
        let mut id = 20_000;
        bencher.iter(|| {
            id += 1;
            let decision = gate.arrive(Duration::from_millis(20), arrival(id));
            if id % 256 == 0 {
                gate.take_decisions();
            }
            decision
        });
    });
    group.bench_function("one finished and the next from the queue", |bencher| {
        bencher.iter_batched_ref(
            full,
            |gate| {
                for id in 0..256 {
                    gate.request_finished(Duration::from_millis(20), RequestId(id));
                }
                gate.take_decisions().len()
            },
            BatchSize::LargeInput,
        );
    });
    group.finish();
}

criterion_group!(benches, costs);
criterion_main!(benches);
