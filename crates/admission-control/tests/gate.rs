//! Tests of the gate without a balancer: queueing, retries, duplicates, guaranteed rates, brownout, changes
//! of settings, and that each request is decided exactly once.

use admission_control::backends::LimitSettings;
use admission_control::brownout::{BrownoutAction, BrownoutStep};
use admission_control::gate::{ClassSettings, GateStatus, TenantSettings};
use admission_control::limit::LimitBounds;
use admission_control::{
    AdmissionDecision, Arrival, Endpoint, Gate, GateSettings, QueueDecision, RejectionReason,
    RequestFingerprint,
};
use join_up_to::{Outcome, RequestId, ServerId};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn class(name: &str, priority_weight: f64, max_queue_ms: Option<u64>) -> ClassSettings {
    ClassSettings {
        name: name.into(),
        priority_weight,
        min_retry_after: ms(1000),
        max_queue_time: max_queue_ms.map(ms),
    }
}

fn tenant(name: &str, share: Option<f64>, guaranteed_rate: f64) -> TenantSettings {
    TenantSettings { name: name.into(), share, guaranteed_rate }
}

/// Settings with a fixed limit per backend and a maximum queue time of 100 ms.
fn settings(limit: u32) -> GateSettings {
    let limit = f64::from(limit);
    let bounds = LimitBounds { initial: limit, min: 1.0, max: limit, is_adaptive: false, nodes: 1.0 };
    GateSettings {
        limits: LimitSettings { bounds: Some(bounds), slow_start: None },
        classes: vec![class("look", 1.0, Some(100)), class("correct", 5.0, Some(100))],
        tenants: Vec::new(),
        brownout: Vec::new(),
    }
}

fn gate(settings: GateSettings) -> Gate {
    let mut gate = Gate::new(ms(0), settings);
    gate.set_endpoints(ms(0), &[endpoint(1, true)]);
    gate
}

fn endpoint(id: u64, ready: bool) -> Endpoint {
    Endpoint { id: ServerId(id), weight: 1.0, kind: 0, ready, added_at: None }
}

fn arrival(id: u64) -> Arrival {
    Arrival { id: RequestId(id), class: 0, tenant: 0, remaining: ms(1000), fingerprint: None }
}

/// The decision to admit a queued request.
fn admitted(id: u64) -> QueueDecision {
    QueueDecision { id: RequestId(id), rejection: None }
}

/// Whether the only decision is the rejection of this request for this reason.
fn is_rejected(decisions: &[QueueDecision], id: u64, reason: RejectionReason) -> bool {
    let [decision] = decisions else { return false };
    decision.id == RequestId(id) && decision.rejection.is_some_and(|rejection| rejection.reason == reason)
}

/// Serves an admitted request, which ends at `now` after this latency.
fn serve(gate: &mut Gate, now: Duration, id: u64, latency: Duration) {
    gate.attempt_sent(now - latency, ServerId(1));
    gate.attempt_ended(now, RequestId(id), ServerId(1), Outcome::Served, latency);
    gate.request_finished(now, RequestId(id));
}

#[test]
fn requests_beyond_the_capacity_are_queued_in_order_for_at_most_their_maximum_time() {
    let mut gate = gate(settings(2));
    assert_eq!(
        [1, 2].map(|id| gate.arrive(ms(0), arrival(id))),
        [AdmissionDecision::Admit, AdmissionDecision::Admit]
    );
    assert_eq!(
        [3, 4].map(|id| gate.arrive(ms(10), arrival(id))),
        [AdmissionDecision::Queue, AdmissionDecision::Queue]
    );
    assert_eq!(gate.next_tick(), Some(ms(110)));
    serve(&mut gate, ms(50), 1, ms(50));
    assert_eq!(gate.take_decisions(), [admitted(3)]);
    gate.tick(ms(109));
    assert!(gate.take_decisions().is_empty());
    gate.tick(ms(110));
    let decisions = gate.take_decisions();
    assert!(is_rejected(&decisions, 4, RejectionReason::QueueTimeout), "{decisions:?}");
    assert_eq!((gate.next_tick(), gate.status().queued), (None, 0));
}

#[test]
fn only_as_many_requests_are_queued_as_can_be_served_in_time() {
    let mut gate = gate(settings(2));
    // The default cost is 20 ms, so two at a time serve ten requests in 100 ms.
    let decisions: Vec<_> = (1..=20).map(|id| gate.arrive(ms(0), arrival(id))).collect();
    let count = |of: fn(&AdmissionDecision) -> bool| decisions.iter().filter(|v| of(v)).count();
    assert_eq!(count(|v| *v == AdmissionDecision::Admit), 2);
    assert_eq!(count(|v| *v == AdmissionDecision::Queue), 10);
    assert_eq!(
        count(
            |v| matches!(v, AdmissionDecision::Reject(rejection) if rejection.reason == RejectionReason::QueueFull)
        ),
        8
    );
    // A higher priority weight for the same cost displaces a lower one, which is rejected at once.
    let high_priority = Arrival { class: 1, ..arrival(21) };
    assert_eq!(gate.arrive(ms(1), high_priority), AdmissionDecision::Queue);
    let decisions = gate.take_decisions();
    assert!(is_rejected(&decisions, 12, RejectionReason::Displaced), "{decisions:?}");
    serve(&mut gate, ms(5), 1, ms(5));
    assert_eq!(gate.take_decisions(), [admitted(21)], "it is admitted first");
}

#[test]
fn capacity_follows_the_list_of_backends() {
    let mut gate = gate(settings(1));
    assert_eq!(gate.arrive(ms(0), arrival(1)), AdmissionDecision::Admit);
    assert_eq!(gate.arrive(ms(0), arrival(2)), AdmissionDecision::Queue);
    gate.set_endpoints(ms(1), &[endpoint(1, true), endpoint(2, true)]);
    assert_eq!(gate.take_decisions(), [admitted(2)]);
    gate.set_endpoints(ms(2), &[endpoint(1, false), endpoint(2, false)]);
    assert_eq!(gate.arrive(ms(3), arrival(3)), AdmissionDecision::Queue, "no backend accepts requests");
    gate.tick(ms(200));
    assert!(matches!(gate.take_decisions()[..], [QueueDecision { id: RequestId(3), rejection: Some(_) }]));
}

#[test]
fn a_client_retry_counts_once_and_a_duplicate_is_not_queued() {
    let mut gate = gate(settings(1));
    let print = |id| Arrival { fingerprint: Some(RequestFingerprint(77)), ..arrival(id) };
    assert_eq!(gate.arrive(ms(0), arrival(1)), AdmissionDecision::Admit);
    assert_eq!(gate.arrive(ms(0), print(2)), AdmissionDecision::Queue);
    let duplicate = gate.arrive(ms(1), print(3));
    assert!(
        matches!(duplicate, AdmissionDecision::Reject(rejection) if rejection.reason == RejectionReason::Duplicate),
        "{duplicate:?}"
    );
    gate.tick(ms(150));
    assert_eq!(gate.take_decisions().len(), 1, "the maximum queue time of the first has passed");
    for id in 4..40 {
        // Repeated retries give no advantage, and count as work only once.
        gate.arrive(ms(150 + 10 * id), print(id));
        gate.take_decisions();
    }
    assert!(gate.counts().client_retries > 30, "{:?}", gate.counts());
    assert!(gate.unserved_share(ms(600)) <= 1.0);
    let mut others = 0;
    for id in 100..110 {
        others += u32::from(matches!(gate.arrive(ms(600), arrival(id)), AdmissionDecision::Reject(_)));
    }
    assert!(others < 10, "other requests can still be queued");
}

#[test]
fn requests_within_a_guaranteed_rate_are_served_before_all_shares() {
    let mut settings = settings(1);
    settings.tenants = vec![tenant("a", Some(0.9), 0.0), tenant("b", Some(0.0), 2.0)];
    let mut gate = gate(settings);
    assert_eq!(gate.arrive(ms(0), arrival(1)), AdmissionDecision::Admit);
    for id in 2..=6 {
        assert_eq!(gate.arrive(ms(0), arrival(id)), AdmissionDecision::Queue);
    }
    let of_b = |id| Arrival { tenant: 1, ..arrival(id) };
    // The token bucket holds two requests. The third exceeds the guaranteed rate, and the tenant has a share
    // of 0.
    let decisions = [7, 8, 9].map(|id| gate.arrive(ms(0), of_b(id)));
    assert_eq!(decisions[..2], [AdmissionDecision::Queue, AdmissionDecision::Queue]);
    assert!(matches!(decisions[2], AdmissionDecision::Reject(_)), "{:?}", decisions[2]);
    let displaced: Vec<_> = gate.take_decisions().into_iter().map(|decision| decision.id.0).collect();
    assert!(
        displaced.iter().all(|id| (2..=6).contains(id)),
        "only requests that are not guaranteed are displaced: {displaced:?}"
    );
    serve(&mut gate, ms(1), 1, ms(1));
    serve(&mut gate, ms(2), 7, ms(1));
    let served: Vec<_> = gate.take_decisions().into_iter().map(|decision| decision.id.0).collect();
    assert_eq!(served, [7, 8]);
}

#[test]
fn retry_times_are_spread_over_a_longer_time_under_higher_overload() {
    let retry_times = |arrivals: u64| {
        let mut gate = gate(settings(1));
        let mut seconds = BTreeSet::new();
        for id in 1..=arrivals {
            if let AdmissionDecision::Reject(rejection) = gate.arrive(ms(id / 100), arrival(id)) {
                seconds.insert(rejection.retry_after.as_secs());
            }
        }
        seconds
    };
    assert!(retry_times(7).iter().all(|s| *s < 3), "{:?}", retry_times(7));
    let overloaded = retry_times(2000);
    assert!(overloaded.contains(&1) && overloaded.contains(&7), "{overloaded:?}");
}

#[test]
fn a_shed_class_is_rejected_at_once_and_admitted_again_when_there_is_capacity() {
    let mut settings = settings(1);
    let step = BrownoutStep {
        threshold: 0.3,
        release_threshold: 0.1,
        hold_time: ms(500),
        action: BrownoutAction::ShedClasses(vec![0]),
    };
    settings.brownout = vec![
        step,
        BrownoutStep {
            threshold: 0.9,
            release_threshold: 0.5,
            hold_time: ms(500),
            action: BrownoutAction::ServeFallback,
        },
    ];
    let mut gate = gate(settings);
    let (mut id, mut shed) = (0, 0);
    for now in 0..2000 {
        id += 1;
        match gate.arrive(ms(now), arrival(id)) {
            AdmissionDecision::Admit => gate.attempt_sent(ms(now), ServerId(1)),
            AdmissionDecision::Reject(rejection) => {
                shed += u32::from(rejection.reason == RejectionReason::Shed)
            }
            AdmissionDecision::Queue => {}
        }
        gate.take_decisions();
    }
    assert!(shed > 1000, "{shed}");
    assert_eq!(gate.status().brownout_level, 2);
    assert!(matches!(gate.arrive(ms(2000), arrival(9999)), AdmissionDecision::Reject(r) if r.fallback));
    // The backend is idle again, and the few arriving requests are all of the shed class.
    gate.attempt_ended(ms(2000), RequestId(1), ServerId(1), Outcome::Served, ms(20));
    gate.request_finished(ms(2000), RequestId(1));
    let mut first_admitted = None;
    for n in 0..100 {
        let now = ms(2000 + 100 * n);
        if gate.arrive(now, arrival(10_000 + n)) == AdmissionDecision::Admit {
            first_admitted.get_or_insert(n);
            gate.request_finished(now, RequestId(10_000 + n));
        }
        gate.take_decisions();
    }
    assert!(first_admitted.is_some_and(|n| n < 90), "{first_admitted:?}");
}

#[test]
fn changed_shares_apply_to_queued_requests_and_no_request_is_lost() {
    let mut settings = settings(1);
    settings.tenants = vec![tenant("a", Some(0.5), 0.0), tenant("b", Some(0.5), 0.0)];
    let mut gate = gate(settings.clone());
    assert_eq!(gate.arrive(ms(0), arrival(1)), AdmissionDecision::Admit);
    for id in 2..=5 {
        assert_eq!(
            gate.arrive(ms(0), Arrival { tenant: (id % 2) as usize, ..arrival(id) }),
            AdmissionDecision::Queue
        );
    }
    // `b` becomes the first tenant with nearly the whole share, and `a` is removed: its requests are served
    // last.
    settings.tenants = vec![tenant("b", Some(0.99), 0.0), tenant("c", Some(0.01), 0.0)];
    settings.classes.reverse();
    gate.reconfigure(ms(1), settings);
    let mut order = Vec::new();
    let mut in_flight = 1;
    for now in 2..10 {
        serve(&mut gate, ms(now), in_flight, ms(1));
        let Some(QueueDecision { id: RequestId(id), rejection: None }) =
            gate.take_decisions().first().copied()
        else {
            break;
        };
        order.push(id);
        in_flight = id;
    }
    assert_eq!(
        order,
        [2, 3, 5, 4],
        "odd ids are of `b`; `a` is served first and then has a high virtual time"
    );
}

#[derive(Clone, Debug)]
enum Event {
    Arrive { class: usize, tenant: usize, remaining: u64, print: Option<u64> },
    Finish { which: usize, outcome: usize },
    Disconnect(usize),
    Pass(u64),
    List(Vec<bool>),
    Replace { limit: u32, is_adaptive: bool, tenants: usize },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        10 => (0usize..3, 0usize..4, 0u64..2000, prop::option::of(0u64..5))
            .prop_map(|(class, tenant, remaining, print)| Event::Arrive { class, tenant, remaining, print }),
        6 => (any::<usize>(), 0usize..8).prop_map(|(which, outcome)| Event::Finish { which, outcome }),
        2 => any::<usize>().prop_map(Event::Disconnect),
        3 => (0u64..400).prop_map(Event::Pass),
        1 => prop::collection::vec(any::<bool>(), 0..4).prop_map(Event::List),
        1 => (1u32..6, any::<bool>(), 0usize..4)
            .prop_map(|(limit, is_adaptive, tenants)| Event::Replace { limit, is_adaptive, tenants }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]
    /// For any order of events: each request is decided once, none is queued beyond its deadline or while
    /// there is capacity, each published capacity is a positive number, and no request remains at the end.
    #[test]
    fn each_request_is_decided_once(events in prop::collection::vec(event(), 1..300)) {
        let mut gate = gate(settings(3));
        let (mut now, mut id) = (ms(1), 0);
        let (mut admitted, mut queued_ids): (Vec<u64>, Vec<(u64, Duration)>) = (Vec::new(), Vec::new());
        for event in events {
            match event {
                Event::Arrive { class, tenant, remaining, print } => {
                    id += 1;
                    let remaining = ms(remaining);
                    match gate.arrive(now, Arrival { id: RequestId(id), class, tenant, remaining, fingerprint: print.map(RequestFingerprint) }) {
                        AdmissionDecision::Admit => admitted.push(id),
                        AdmissionDecision::Queue => queued_ids.push((id, now + remaining)),
                        AdmissionDecision::Reject(rejection) => prop_assert!(rejection.retry_after <= ms(8000)),
                    }
                }
                Event::Finish { which, outcome } if !admitted.is_empty() => {
                    let id = admitted.swap_remove(which % admitted.len());
                    gate.attempt_sent(now, ServerId(1));
                    now += ms(3);
                    gate.attempt_ended(now, RequestId(id), ServerId(1), Outcome::ALL[outcome], ms(3));
                    gate.request_finished(now, RequestId(id));
                }
                Event::Disconnect(which) if !queued_ids.is_empty() => {
                    let at = which % queued_ids.len();
                    let (id, _) = queued_ids.swap_remove(at);
                    gate.request_finished(now, RequestId(id));
                }
                Event::Pass(time) => {
                    now += ms(time);
                    gate.tick(now);
                }
                Event::List(ready) => {
                    let endpoints: Vec<_> = ready.iter().zip(1..).map(|(ready, id)| endpoint(id, *ready)).collect();
                    gate.set_endpoints(now, &endpoints);
                }
                Event::Replace { limit, is_adaptive, tenants } => {
                    let mut settings = settings(limit);
                    settings.limits.bounds.iter_mut().for_each(|b| b.is_adaptive = is_adaptive);
                    settings.tenants = (0..tenants).map(|n| tenant(&format!("t{n}"), (n > 0).then_some(0.3), n as f64)).collect();
                    gate.reconfigure(now, settings);
                }
                _ => {}
            }
            for QueueDecision { id: RequestId(id), rejection } in gate.take_decisions() {
                let at = queued_ids.iter().position(|(known, _)| *known == id);
                prop_assert!(at.is_some(), "{id} is decided and was not queued");
                let (_, until) = queued_ids.swap_remove(at.unwrap_or_default());
                prop_assert!(rejection.is_some() || now <= until, "{id} is admitted after its deadline");
                if rejection.is_none() {
                    admitted.push(id);
                }
            }
            for capacity in gate.take_capacity_updates() {
                prop_assert!(capacity.max_in_flight >= 1 && capacity.relative.is_finite() && capacity.relative > 0.0, "{capacity:?}");
            }
            let GateStatus { in_flight, capacity, queued, .. } = gate.status();
            prop_assert_eq!((in_flight as usize, queued), (admitted.len(), queued_ids.len()));
            prop_assert!(queued == 0 || in_flight >= capacity, "{} queued with {} of {}", queued, in_flight, capacity);
            prop_assert!((0.0..=1.0).contains(&gate.unserved_share(now)));
        }
        for id in admitted {
            gate.request_finished(now, RequestId(id));
        }
        gate.tick(now + ms(5000));
        let last = gate.take_decisions();
        prop_assert_eq!(last.len(), queued_ids.len());
        last.iter().filter(|decision| decision.rejection.is_none()).for_each(|decision| gate.request_finished(now + ms(5000), decision.id));
        prop_assert_eq!(gate.status().queued, 0);
    }
}
