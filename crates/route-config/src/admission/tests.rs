//! Tests of `admission`, which see its private items.

use super::*;
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limit(max_in_flight: Option<u32>, queue: Option<(u32, u64)>, rate: Option<(f64, f64)>) -> Limit {
    Limit {
        name: "a".into(),
        max_in_flight,
        queue: queue.map(|(length, time)| Queue { max_length: length, max_time: ms(time) }),
        tenant_rate: rate.map(|(per_s, burst)| TenantRate { per_s, burst }),
        retry_after: ms(500),
    }
}

#[test]
fn requests_beyond_the_maximum_are_queued_and_admitted_in_order() {
    let mut admission = Admission::new(&[limit(Some(2), Some((2, 100)), None)], &[]);
    let mut arrive = |id| admission.admit(ms(id), 0, None, id);
    assert_eq!([arrive(1), arrive(2)], [AdmissionDecision::Admit, AdmissionDecision::Admit]);
    assert_eq!(
        [arrive(3), arrive(4)],
        [3, 4].map(|at| AdmissionDecision::Queue { deadline: ms(at + 100), retry_after: ms(500) })
    );
    assert_eq!(
        arrive(5),
        AdmissionDecision::Reject { reason: RejectionReason::QueueFull, retry_after: ms(500) }
    );
    assert_eq!(admission.finish(1), Some(3));
    assert_eq!(admission.finish(4), None, "a request that leaves the queue frees no capacity");
    assert_eq!(admission.finish(2), None);
    assert_eq!((admission.finish(3), admission.finish(3), admission.counts()), (None, None, (0, 0)));
}

#[test]
fn each_tenant_has_its_own_rate_limit_and_retry_after() {
    let tenants = ["x".to_string(), "y".to_string()];
    let mut admission = Admission::new(&[limit(None, None, Some((0.5, 2.0)))], &tenants);
    let mut arrive = |now, tenant, id| admission.admit(ms(now), 0, Some(tenant), id);
    assert_eq!([arrive(0, 0, 1), arrive(0, 0, 2)], [AdmissionDecision::Admit, AdmissionDecision::Admit]);
    assert_eq!(
        arrive(0, 0, 3),
        AdmissionDecision::Reject { reason: RejectionReason::RateLimit, retry_after: ms(2000) }
    );
    assert_eq!(arrive(0, 1, 4), AdmissionDecision::Admit, "another tenant");
    assert_eq!(
        arrive(1900, 0, 5),
        AdmissionDecision::Reject { reason: RejectionReason::RateLimit, retry_after: ms(500) }
    );
    assert_eq!(arrive(2000, 0, 6), AdmissionDecision::Admit);
    // A clock that goes backwards adds no tokens.
    assert!(matches!(arrive(1000, 0, 7), AdmissionDecision::Reject { .. }));
}

#[test]
fn a_reload_keeps_counts_and_admits_queued_requests_that_fit_the_new_limits() {
    let tenants = ["x".to_string()];
    let tight = Limit {
        tenant_rate: Some(TenantRate { per_s: 1.0, burst: 5.0 }),
        ..limit(Some(1), Some((9, 100)), None)
    };
    let mut admission = Admission::new(std::slice::from_ref(&tight), &tenants);
    for id in 1..=4 {
        admission.admit(ms(0), 0, Some(0), id);
    }
    assert!(admission.replace(std::slice::from_ref(&tight), &tenants).is_empty());
    assert!(matches!(admission.admit(ms(0), 0, Some(0), 5), AdmissionDecision::Queue { .. }));
    assert!(matches!(
        admission.admit(ms(0), 0, Some(0), 6),
        AdmissionDecision::Reject { reason: RejectionReason::RateLimit, .. }
    ));
    let wide = Limit { max_in_flight: Some(3), ..tight.clone() };
    assert_eq!(admission.replace(&[wide], &tenants), [2, 3]);
    assert_eq!(admission.replace(&[], &tenants), [4, 5], "requests queued at a removed limit are admitted");
    assert_eq!((1..=5).filter_map(|id| admission.finish(id)).count(), 0);
    assert_eq!(admission.counts(), (0, 0));
}

#[derive(Clone, Debug)]
enum Step {
    Arrive { limit: usize, tenant: usize, after: u64 },
    Finish(usize),
    Replace(Vec<(Option<u32>, Option<u32>)>),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..3, 0usize..3, 0u64..50)
            .prop_map(|(limit, tenant, after)| Step::Arrive { limit, tenant, after }),
        4 => any::<usize>().prop_map(Step::Finish),
        1 => prop::collection::vec((prop::option::of(1u32..4), prop::option::of(1u32..4)), 0..3)
            .prop_map(Step::Replace),
    ]
}

proptest! {
    /// Nothing is queued while there is capacity, nothing is counted twice, and nothing is left once all are
    /// finished.
    #[test]
    fn no_request_is_lost_or_counted_twice(steps in prop::collection::vec(step(), 1..200)) {
        let mut admission = Admission::default();
        let (mut now, mut id, mut in_flight, mut queued) = (ms(0), 0, Vec::new(), Vec::new());
        let move_to_in_flight = |admitted: Vec<u64>, in_flight: &mut Vec<u64>, queued: &mut Vec<u64>| {
            for id in admitted {
                assert!(queued.contains(&id), "{id} is admitted but was not queued");
                queued.retain(|other| *other != id);
                in_flight.push(id);
            }
        };
        for step in steps {
            match step {
                Step::Arrive { limit, tenant, after } => {
                    (now, id) = (now + ms(after), id + 1);
                    match admission.admit(now, limit, Some(tenant), id) {
                        AdmissionDecision::Admit => in_flight.push(id),
                        AdmissionDecision::Queue { .. } => queued.push(id),
                        AdmissionDecision::Reject { .. } => {}
                    }
                }
                Step::Finish(which) => {
                    let all = in_flight.len() + queued.len();
                    if all == 0 { continue }
                    let which = which % all;
                    let id = match which.checked_sub(in_flight.len()) {
                        None => in_flight.remove(which),
                        Some(which) => queued.remove(which),
                    };
                    let admitted = admission.finish(id);
                    move_to_in_flight(admitted.into_iter().collect(), &mut in_flight, &mut queued);
                }
                Step::Replace(limits) => {
                    let limits: Vec<_> = limits.iter().enumerate().map(|(i, (max_in_flight, queue))| Limit {
                        name: format!("limit {i}"),
                        ..limit(*max_in_flight, queue.map(|length| (length, 100)), None)
                    }).collect();
                    let admitted = admission.replace(&limits, &[]);
                    move_to_in_flight(admitted, &mut in_flight, &mut queued);
                }
            }
            for slot in &admission.slots {
                prop_assert!(slot.queue.is_empty() || !slot.has_capacity(), "{slot:?}");
            }
            prop_assert_eq!(admission.counts().1, queued.len());
        }
        while let Some(id) = in_flight.pop().or_else(|| queued.pop()) {
            let admitted = admission.finish(id);
            move_to_in_flight(admitted.into_iter().collect(), &mut in_flight, &mut queued);
        }
        prop_assert_eq!(admission.counts(), (0, 0));
    }
}
