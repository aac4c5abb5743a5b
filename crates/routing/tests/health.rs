//! Outlier ejection: failing backends are ejected, tried with one request, and readmitted step by step. At
//! most half of the backends are ejected at a time.

mod common;

use common::*;
use quickcheck::quickcheck;
use routing::*;
use std::collections::BTreeSet;
use std::time::Duration;

const OUTCOMES: [Outcome; 7] = [
    Outcome::Served,
    Outcome::Failed,
    Outcome::Rejected,
    Outcome::Misdirected,
    Outcome::NotConnected,
    Outcome::Broken,
    Outcome::Cancelled,
];

quickcheck! {
    fn at_most_half_of_the_backends_are_ejected(seed: u64, count: u8, steps: Vec<(u8, u16)>) -> bool {
        let mut count = usize::from(count % 12) + 1;
        let mut service = plain_service(count, 4, seed);
        let mut now = ms(0);
        for (step, gap) in steps {
            now += ms(u64::from(gap % 700));
            if step % 16 == 15 {
                count = (count / 2).max(1);
                service.replace_backends(now, entries(count));
            }
            if let Decision::Forward { attempt, .. } = service.decide(now, &request(), &[]) {
                let outcome = OUTCOMES[usize::from(step) % OUTCOMES.len()];
                service.attempt_ended(now + ms(3), attempt, outcome, None);
            }
            if 2 * service.ejected().count() > count {
                return false;
            }
        }
        true
    }

    fn a_request_is_rejected_only_if_all_backends_recently_rejected_requests_or_are_ejected(
        seed: u64, steps: Vec<(u8, u16)>
    ) -> bool {
        let mut service = plain_service(5, 4, seed);
        let mut now = ms(0);
        let mut rejected_at = std::collections::BTreeMap::new();
        for (step, gap) in steps {
            now += ms(u64::from(gap % 90));
            match service.decide(now, &request(), &[]) {
                Decision::Forward { attempt, backend, .. } => {
                    let outcome = OUTCOMES[usize::from(step) % OUTCOMES.len()];
                    service.attempt_ended(now, attempt, outcome, None);
                    if outcome == Outcome::Rejected {
                        rejected_at.insert(backend, now);
                    }
                }
                Decision::Reject { retry_after } => {
                    let is_recent = |at: &&Duration| now - **at <= Duration::from_secs(1);
                    let full = rejected_at.values().filter(is_recent).count();
                    let ejected = service.ejected().count();
                    if full + ejected < 5 || retry_after.is_zero() {
                        return false;
                    }
                }
            }
        }
        true
    }
}

/// Makes all connections to one backend fail until it is ejected. Returns the time of the ejection.
fn fail_until_ejected(service: &mut Service, failing: &BackendId, from: Duration) -> Duration {
    for turn in 0..200 {
        let now = from + ms(10 * turn);
        let (attempt, backend) = forwarded(&service.decide(now, &request(), &[]));
        let outcome = if backend == *failing { Outcome::NotConnected } else { Outcome::Served };
        service.attempt_ended(now + ms(1), attempt, outcome, None);
        if service.ejected().any(|id| id == failing) {
            return now;
        }
    }
    panic!("the backend is not ejected after 200 requests")
}

#[test]
fn a_backend_that_refuses_connections_is_ejected_and_then_tried_by_a_single_request() {
    let mut service = plain_service(4, 1, 11);
    let at = fail_until_ejected(&mut service, &id(2), ms(0));
    for turn in 0..20 {
        let (attempt, backend) = forwarded(&service.decide(at + ms(10 * turn), &request(), &[]));
        assert_ne!(backend, id(2), "a request is sent to the ejected backend");
        service.attempt_ended(at + ms(10 * turn + 2), attempt, Outcome::Served, None);
    }
    let later = at + ms(900);
    let mut trials = Vec::new();
    for _ in 0..50 {
        let (attempt, backend) = forwarded(&service.decide(later, &request(), &[]));
        if backend == id(2) {
            trials.push(attempt);
        }
    }
    assert_eq!(trials.len(), 1, "trials after the ejection");
    service.attempt_ended(later + ms(5), trials[0], Outcome::NotConnected, None);
    assert!(service.ejected().any(|ejected| *ejected == id(2)), "not ejected again after a failed trial");
    let soon = later + ms(550);
    for _ in 0..50 {
        let backend = forwarded(&service.decide(soon, &request(), &[])).1;
        assert_ne!(backend, id(2), "the second ejection is no longer than the first");
    }
}

#[test]
fn a_readmitted_backend_gets_one_request_at_first_and_more_after_each_success() {
    let mut service = plain_service(4, 1, 11);
    let at = fail_until_ejected(&mut service, &id(2), ms(0)) + ms(1000);
    let attempts_there = |service: &mut Service, now| {
        (0..100)
            .filter_map(|_| {
                let (attempt, backend) = forwarded(&service.decide(now, &request(), &[]));
                (backend == id(2)).then_some(attempt)
            })
            .collect::<Vec<_>>()
    };
    let first = attempts_there(&mut service, at);
    assert_eq!(first.len(), 1);
    service.attempt_ended(at + ms(5), first[0], Outcome::Served, None);
    assert_eq!(service.ejected().count(), 0);
    let second = attempts_there(&mut service, at + ms(6));
    assert_eq!(second.len(), 1, "more than one request in flight right after the trial");
    service.attempt_ended(at + ms(9), second[0], Outcome::Served, None);
    let third = attempts_there(&mut service, at + ms(10));
    assert!((2..=6).contains(&third.len()), "{}", third.len());
}

#[test]
fn failures_of_all_backends_eject_at_most_one() {
    let mut service = plain_service(6, 1, 11);
    for turn in 0..300 {
        let now = ms(10 * turn);
        let (attempt, _) = forwarded(&service.decide(now, &request(), &[]));
        let outcome = if turn % 2 == 0 { Outcome::Broken } else { Outcome::Served };
        service.attempt_ended(now + ms(2), attempt, outcome, None);
    }
    assert!(service.ejected().count() <= 1, "{:?}", service.ejected().collect::<Vec<_>>());
}

#[test]
fn a_silent_backend_gets_no_further_requests_until_it_responds() {
    let mut service = plain_service(4, 1, 11);
    let (pending, silent) = forwarded(&service.decide(ms(0), &request(), &[]));
    let mut used = BTreeSet::new();
    for turn in 0..100 {
        let now = ms(600 + 5 * turn);
        let (attempt, backend) = forwarded(&service.decide(now, &request(), &[]));
        used.insert(backend);
        service.attempt_ended(now + ms(3), attempt, Outcome::Served, None);
    }
    assert!(!used.contains(&silent));
    service.response_started(ms(1200), pending);
    let is_used_again = (0..100).any(|_| forwarded(&service.decide(ms(1201), &request(), &[])).1 == silent);
    assert!(is_used_again);
}

#[test]
fn a_request_is_not_sent_to_the_same_backend_twice() {
    let mut service = plain_service(3, 1, 11);
    let mut attempted = Vec::new();
    for _ in 0..3 {
        let (attempt, backend) = forwarded(&service.decide(ms(0), &request(), &attempted));
        assert!(!attempted.contains(&backend));
        service.attempt_ended(ms(1), attempt, Outcome::NotConnected, None);
        attempted.push(backend);
    }
    assert!(matches!(service.decide(ms(2), &request(), &attempted), Decision::Reject { .. }));
}

#[test]
fn ejections_end_soon_after_failures_at_all_backends() {
    let mut service = plain_service(12, 8, 11);
    for turn in 0..200 {
        let now = ms(25 * turn);
        let Decision::Forward { attempt, .. } = service.decide(now, &request(), &[]) else { continue };
        service.attempt_ended(now + ms(20), attempt, Outcome::NotConnected, None);
    }
    assert_eq!(service.ejected().count(), 6, "half of the backends are ejected");
    for turn in 0..300 {
        let now = ms(5000 + 5 * turn);
        let (attempt, _) = forwarded(&service.decide(now, &request(), &[]));
        service.attempt_ended(now + ms(2), attempt, Outcome::Served, None);
    }
    assert_eq!(service.ejected().count(), 0, "1.5 s after the last failure");
}

#[test]
fn a_backend_that_rejects_its_trial_is_readmitted() {
    let mut service = plain_service(2, 1, 11);
    let at = fail_until_ejected(&mut service, &id(1), ms(0)) + ms(1000);
    let trial = (0..50).find_map(|_| {
        let (attempt, backend) = forwarded(&service.decide(at, &request(), &[]));
        (backend == id(1)).then_some(attempt)
    });
    service.attempt_ended(at + ms(2), trial.expect("a trial"), Outcome::Rejected, None);
    assert_eq!(service.ejected().count(), 0);
}

#[test]
fn without_a_backend_list_retry_after_is_about_800_ms_with_jitter() {
    let mut service = Service::new(None, 8, 11);
    let mut request = request();
    request.latency_target = ms(150);
    let waits: BTreeSet<Duration> = (0..50)
        .filter_map(|_| match service.decide(ms(1), &request, &[]) {
            Decision::Reject { retry_after } => Some(retry_after),
            Decision::Forward { .. } => None,
        })
        .collect();
    assert!(waits.len() > 40, "{waits:?}");
    assert!(waits.iter().all(|wait| (ms(400)..=ms(1200)).contains(wait)), "{waits:?}");
}
