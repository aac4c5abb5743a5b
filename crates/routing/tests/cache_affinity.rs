//! Which backends prompts are sent to: the same one while it can carry them, several where not.

mod common;

use common::*;
use routing::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Sends one request and has it answered after its time.
fn serve(service: &mut Service, now: Duration, request: &RequestShape, took: Duration) -> BackendId {
    let (send, backend) = sent(&service.decide(now, request, &[]));
    let load = Load { running: 1, waiting: 0, slots: 64 };
    service.load_received(now + took, send, load);
    service.response_started(now + took, send);
    service.attempt_ended(now + took + ms(100), send, Outcome::Served, None);
    backend
}

#[test]
fn nodes_agree_on_the_backend_of_a_shared_block_without_messages() {
    let (mut one, mut other) = (model(12, 8, 1), model(12, 8, 2));
    let mut used = BTreeMap::new();
    for subject in 0..100 {
        let now = ms(2000 * subject);
        let first = serve(&mut one, now, &form(subject, subject), ms(90));
        let second = serve(&mut other, now + ms(1000), &form(subject, 1000 + subject), ms(90));
        assert_eq!(first, second, "subject {subject}");
        *used.entry(first).or_insert(0) += 1;
    }
    assert_eq!(used.len(), 12);
    assert!(used.values().all(|count| *count <= 20), "{used:?}");
}

#[test]
fn removing_a_backend_moves_only_the_prompts_that_were_there() {
    let mut service = model(12, 8, 1);
    let before: Vec<_> =
        (0..60).map(|at| serve(&mut service, ms(2000 * at), &form(at, at), ms(90))).collect();
    let left = entries(12).into_iter().filter(|entry| entry.id != id(5));
    service.replace_backends(ms(150_000), left.map(|entry| BackendEntry { slots: 64, ..entry }).collect());
    for (subject, place) in before.iter().enumerate() {
        let subject = subject as u64;
        let now = serve(&mut service, ms(150_000 + 2000 * subject), &form(subject, 500 + subject), ms(90));
        assert!(now == *place || *place == id(5), "subject {subject} moved from {place:?} to {now:?}");
    }
}

#[test]
fn a_hot_block_gets_more_backends_and_a_usual_one_does_not() {
    let spread = |gap: u64| {
        let mut service = model(12, 8, 1);
        // What the backends read in a ms has to be known.
        for at in 0..40 {
            let mut request = form(at, at);
            request.blocks[2].tokens = 500 * (at as u32 % 8);
            request.prompt_tokens = 6300 + 500 * (at as u32 % 8);
            serve(&mut service, ms(100 * at), &request, ms(40 + 10 * (at % 8)));
        }
        let mut used = BTreeMap::new();
        for at in 0..60 {
            let place = serve(&mut service, ms(10_000 + gap * at), &form(7, 100 + at), ms(90));
            *used.entry(place).or_insert(0) += 1;
        }
        used.len()
    };
    assert_eq!(spread(3000), 1, "a request each 3 s at each of eight nodes");
    assert!(spread(300) >= 2, "27 a second over all nodes are more than one backend reads");
}

#[test]
fn a_session_returns_to_the_backend_that_has_cached_its_own_block() {
    let mut service = model(12, 8, 1);
    let mut request = form(3, 3);
    request.blocks.remove(0);
    request.blocks.remove(0);
    request.prompt_tokens = 2890;
    let first = serve(&mut service, ms(0), &request, ms(60));
    for turn in 1..20 {
        assert_eq!(serve(&mut service, ms(1000 * turn), &request, ms(40)), first);
    }
}

#[test]
fn a_backend_with_a_long_queue_is_avoided_even_for_what_it_has_cached() {
    let mut service = model(12, 8, 1);
    let place = serve(&mut service, ms(0), &form(7, 1), ms(90));
    let (send, _) = sent(&service.decide(ms(200), &form(7, 2), &[]));
    service.load_received(ms(300), send, Load { running: 40, waiting: 30, slots: 64 });
    service.response_started(ms(300), send);
    let next = sent(&service.decide(ms(310), &form(7, 3), &[])).1;
    assert_ne!(next, place);
    let later = sent(&service.decide(ms(9000), &form(7, 4), &[])).1;
    assert!(later == place || later == next, "a second copy is where it has gone meanwhile");
}

#[test]
fn backends_without_a_free_slot_are_avoided_while_others_have_some() {
    let mut service = plain(3, 1, 5);
    let full = Load { running: 8, waiting: 6, slots: 8 };
    let mut request = request();
    request.latency_target = ms(150);
    let mut full_backends = Vec::new();
    for _ in 0..2 {
        let (send, backend) = sent(&service.decide(ms(10), &request, &full_backends));
        service.attempt_ended(ms(40), send, Outcome::Served, Some(full));
        full_backends.push(backend);
    }
    for at in 0..5 {
        let (send, backend) = sent(&service.decide(ms(50 + at), &request, &[]));
        assert!(!full_backends.contains(&backend));
        service.attempt_ended(ms(51 + at), send, Outcome::Served, Some(IDLE));
    }
}

#[test]
fn a_backend_in_slow_start_gets_a_growing_share() {
    let mut service = plain(4, 1, 5);
    let mut list = entries(5);
    list[4].slow_start_remaining = Duration::from_secs(10);
    service.replace_backends(ms(0), list);
    let mut share = |from: u64| {
        let mut count = 0;
        for at in 0..400 {
            let now = ms(from + 5 * at);
            let (send, backend) = sent(&service.decide(now, &request(), &[]));
            count += u32::from(backend == id(4));
            service.response_started(now, send);
            if at % 2 == 0 {
                service.attempt_ended(now + ms(1), send, Outcome::Served, None);
            }
        }
        count
    };
    let (cold, warm) = (share(0), share(20_000));
    assert!(cold < 50 && warm > 60, "{cold} of 400 cold, {warm} warm");
}

/// A node of a large fleet, whose share of a backend's slots is one, and the backends of two attempts in flight.
fn large_fleet(spill_over: bool) -> (BackendId, BackendId) {
    let policy = RoutingPolicy { spill_over, ..RoutingPolicy::default() };
    let mut service = Service::with_policy(Some(ENGINE), 82, 1, policy);
    let with_slots = entries(140).into_iter().map(|entry| BackendEntry { slots: 12, ..entry });
    service.replace_backends(Duration::ZERO, with_slots.collect());
    let first = sent(&service.decide(ms(10), &form(7, 1), &[])).1;
    let second = sent(&service.decide(ms(60), &form(7, 2), &[])).1;
    (first, second)
}

#[test]
fn in_a_large_fleet_a_shared_block_stays_where_it_is_although_an_attempt_there_is_in_flight() {
    let (first, second) = large_fleet(false);
    assert_eq!(first, second);
    let (first, second) = large_fleet(true);
    assert_ne!(first, second, "it spills over where that is on");
}
