//! Join-Up-To(m): which events change an estimate, and which backend is selected by the estimates.

mod common;

use common::*;
use quickcheck::{QuickCheck, TestResult, quickcheck};
use routing::*;
use std::collections::BTreeSet;

const FAILURES: [Outcome; 6] = [
    Outcome::Failed,
    Outcome::Rejected,
    Outcome::Misdirected,
    Outcome::NotConnected,
    Outcome::Broken,
    Outcome::Cancelled,
];

quickcheck! {
    fn the_backend_with_the_lowest_estimate_below_m_is_selected_and_its_estimate_rises_by_one(
        seed: u64, steps: Vec<(u8, bool)>
    ) -> bool {
        let mut service = plain_service(6, 1, seed);
        let mut in_flight = Vec::new();
        let mut now = ms(0);
        for (step, is_busy) in steps {
            now += ms(u64::from(step % 4) + 6);
            if step % 3 == 0 && !in_flight.is_empty() {
                let attempt = in_flight.remove(0);
                service.attempt_ended(now, attempt, Outcome::Served, Some(if is_busy { BUSY } else { IDLE }));
                continue;
            }
            now += ms(2000); // Reported loads are then too old to make a difference between backends.
            let before: Vec<u32> = (0..6).filter_map(|at| service.estimate(&id(at))).collect();
            let cap = service.cap();
            let (attempt, backend) = forwarded(&service.decide(now, &request(), &[]));
            service.response_started(now, attempt); // Silent backends would be avoided.
            in_flight.push(attempt);
            let at = (0..6).find(|at| id(*at) == backend).expect("a listed backend");
            if service.estimate(&backend) != Some(before[at] + 1) {
                return false;
            }
            let lowest = before.iter().min().copied().unwrap_or_default();
            if lowest < 8 * cap && before[at] != lowest {
                return false;
            }
        }
        true
    }

    fn attempts_that_are_not_served_change_no_estimate(seed: u64, sends: u8, kinds: Vec<u8>) -> bool {
        let mut service = plain_service(5, 4, seed);
        let ids: Vec<BackendId> = (0..5).map(id).collect();
        let decisions: Vec<_> =
            (0..sends % 40).map(|at| service.decide(ms(u64::from(at)), &request(), &[])).collect();
        let in_flight = decisions.iter().map(|decision| forwarded(decision).0);
        for (at, (attempt, kind)) in in_flight.zip(kinds).enumerate() {
            let before: Vec<_> = ids.iter().map(|id| service.estimate(id)).collect();
            let outcome = FAILURES[usize::from(kind) % FAILURES.len()];
            service.attempt_ended(ms(50 + at as u64), attempt, outcome, None);
            let after: Vec<_> = ids.iter().map(|id| service.estimate(id)).collect();
            if before != after {
                return false;
            }
        }
        true
    }
}

#[test]
fn with_all_estimates_at_m_a_random_backend_is_selected() {
    let mut service = plain_service(4, 8, 3);
    let mut after_cap = BTreeSet::new();
    for at in 0..200 {
        let lowest = (0..4).filter_map(|at| service.estimate(&id(at))).min().unwrap_or_default();
        let cap = service.cap();
        let (_, backend) = forwarded(&service.decide(ms(at), &request(), &[]));
        if lowest >= cap {
            after_cap.insert(backend);
        }
    }
    assert_eq!(after_cap.len(), 4, "some backends were never selected with all estimates at m");
    let estimates: BTreeSet<_> = (0..4).filter_map(|at| service.estimate(&id(at))).collect();
    assert!(
        estimates.len() > 1,
        "equal estimates are a sign that the lowest one was selected instead: {estimates:?}"
    );
}

#[test]
fn ties_are_broken_at_random() {
    let property = |seed: u64| {
        let mut service = plain_service(8, 1, seed);
        TestResult::from_bool(forwarded(&service.decide(ms(1), &request(), &[])).1 == id(0))
    };
    let first = (0..64).filter(|seed| !property(*seed).is_failure()).count();
    assert!((2..=20).contains(&first), "the first of eight backends is selected in {first} of 64 runs");
    QuickCheck::new().tests(1).quickcheck((|_| true) as fn(u64) -> bool);
}

#[test]
fn the_load_of_an_idle_backend_resets_its_estimate_and_that_of_a_busy_one_does_not() {
    let mut service = plain_service(1, 8, 3);
    let (first, backend) = forwarded(&service.decide(ms(0), &request(), &[]));
    let (second, _) = forwarded(&service.decide(ms(1), &request(), &[]));
    service.attempt_ended(ms(50), first, Outcome::Served, Some(BUSY));
    assert_eq!(service.estimate(&backend), Some(2));
    service.attempt_ended(ms(60), second, Outcome::Served, Some(IDLE));
    assert_eq!(service.estimate(&backend), Some(0));
}

#[test]
fn an_idle_load_that_may_be_older_than_the_last_attempt_does_not_reset_the_estimate() {
    let mut service = plain_service(1, 8, 3);
    let report = LoadReport { queued: 0, active: 0, kv_used: 0, kv_total: 1000 };
    let (_, backend) = forwarded(&service.decide(ms(0), &request(), &[]));
    service.report_received(ms(120), &backend, ms(100), Some(report));
    assert_eq!(service.estimate(&backend), Some(1), "the report may be older than the attempt");
    service.report_received(ms(1120), &backend, ms(1100), Some(report));
    assert_eq!(service.estimate(&backend), Some(0));
}

#[test]
fn without_reported_loads_the_response_to_the_last_attempt_in_flight_resets_the_estimate() {
    let mut service = plain_service(1, 8, 3);
    let (first, backend) = forwarded(&service.decide(ms(0), &request(), &[]));
    let (second, _) = forwarded(&service.decide(ms(1), &request(), &[]));
    service.attempt_ended(ms(50), first, Outcome::Served, None);
    assert_eq!(service.estimate(&backend), Some(2));
    service.attempt_ended(ms(60), second, Outcome::Served, None);
    assert_eq!(service.estimate(&backend), Some(0));
}

#[test]
fn load_reports_are_requested_only_at_the_cap_and_at_most_once_a_second() {
    let mut service = plain_service(4, 8, 3);
    assert!(service.due_load_reports(ms(0)).is_empty(), "a report is due before any attempt");
    for at in 0..100 {
        service.decide(ms(at), &request(), &[]);
    }
    let requested: usize = (0..40).map(|turn| service.due_load_reports(ms(200 + 100 * turn)).len()).sum();
    assert_eq!(requested, 4, "load reports in four seconds");
}

#[test]
fn the_idle_load_of_a_failed_attempt_does_not_reset_the_estimate() {
    for outcome in FAILURES {
        let mut service = plain_service(1, 8, 3);
        let (attempt, backend) = forwarded(&service.decide(ms(0), &request(), &[]));
        service.load_received(ms(5), attempt, IDLE);
        service.response_started(ms(6), attempt);
        service.attempt_ended(ms(7), attempt, outcome, Some(IDLE));
        assert_eq!(service.estimate(&backend), Some(1), "{outcome:?}");
    }
}

#[test]
fn the_load_in_a_head_is_as_of_the_arrival_of_the_head() {
    let mut service = plain_service(1, 8, 3);
    let (first, backend) = forwarded(&service.decide(ms(0), &request(), &[]));
    service.load_received(ms(20), first, IDLE);
    service.response_started(ms(20), first);
    let (second, _) = forwarded(&service.decide(ms(500), &request(), &[]));
    service.attempt_ended(ms(900), first, Outcome::Served, Some(IDLE));
    assert_eq!(service.estimate(&backend), Some(2), "the second attempt was sent after the first head");
    service.load_received(ms(950), second, IDLE);
    service.attempt_ended(ms(1500), second, Outcome::Served, Some(IDLE));
    assert_eq!(service.estimate(&backend), Some(0));
}

#[test]
fn an_estimate_expires_after_two_seconds_without_attempts_if_the_last_one_was_served() {
    let mut service = plain_service(1, 8, 3);
    let (served, backend) = forwarded(&service.decide(ms(0), &request(), &[]));
    service.attempt_ended(ms(20), served, Outcome::Served, Some(BUSY));
    service.due_load_reports(ms(1500));
    assert_eq!(service.estimate(&backend), Some(1));
    service.due_load_reports(ms(2100));
    assert_eq!(service.estimate(&backend), Some(0));
    let (failed, _) = forwarded(&service.decide(ms(3000), &request(), &[]));
    service.attempt_ended(ms(3020), failed, Outcome::Failed, Some(IDLE));
    service.due_load_reports(ms(9000));
    assert_eq!(service.estimate(&backend), Some(1), "an estimate expired after a failed attempt");
}
