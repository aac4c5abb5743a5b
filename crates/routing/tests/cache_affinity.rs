//! Cache affinity: prompts with the same shared blocks are sent to the same backend, and to several if one
//! can't serve them all.

mod common;

use common::*;
use routing::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Forwards one request, whose first byte arrives after `first_byte`, and returns its backend.
fn serve(service: &mut Service, now: Duration, request: &RequestShape, first_byte: Duration) -> BackendId {
    let (attempt, backend) = forwarded(&service.decide(now, request, &[]));
    let load = Load { running: 1, waiting: 0, slots: 64 };
    service.load_received(now + first_byte, attempt, load);
    service.response_started(now + first_byte, attempt);
    service.attempt_ended(now + first_byte + ms(100), attempt, Outcome::Served, None);
    backend
}

#[test]
fn nodes_select_the_same_backend_for_a_shared_block_without_exchanging_messages() {
    let (mut one, mut other) = (engine_service(12, 8, 1), engine_service(12, 8, 2));
    let mut used = BTreeMap::new();
    for topic in 0..100 {
        let now = ms(2000 * topic);
        let first = serve(&mut one, now, &prompt_request(topic, topic), ms(90));
        let second = serve(&mut other, now + ms(1000), &prompt_request(topic, 1000 + topic), ms(90));
        assert_eq!(first, second, "topic {topic}");
        *used.entry(first).or_insert(0) += 1;
    }
    assert_eq!(used.len(), 12);
    assert!(used.values().all(|count| *count <= 20), "{used:?}");
}

#[test]
fn removing_a_backend_moves_only_its_prompts() {
    let mut service = engine_service(12, 8, 1);
    let before: Vec<_> =
        (0..60).map(|at| serve(&mut service, ms(2000 * at), &prompt_request(at, at), ms(90))).collect();
    let remaining = entries(12).into_iter().filter(|entry| entry.id != id(5));
    let remaining = remaining.map(|entry| BackendEntry { slots: 64, ..entry }).collect();
    service.replace_backends(ms(150_000), remaining);
    for (topic, before) in before.iter().enumerate() {
        let topic = topic as u64;
        let now = ms(150_000 + 2000 * topic);
        let after = serve(&mut service, now, &prompt_request(topic, 500 + topic), ms(90));
        assert!(after == *before || *before == id(5), "topic {topic} moved from {before:?} to {after:?}");
    }
}

#[test]
fn a_block_with_many_requests_is_cached_on_several_backends_and_one_with_few_is_not() {
    let backends_used = |interval_ms: u64| {
        let mut service = engine_service(12, 8, 1);
        // Lets the node observe the prefill rate of the backends.
        for at in 0..40 {
            let mut request = prompt_request(at, at);
            request.blocks[2].tokens = 500 * (at as u32 % 8);
            request.prompt_tokens = 6300 + 500 * (at as u32 % 8);
            serve(&mut service, ms(100 * at), &request, ms(40 + 10 * (at % 8)));
        }
        let mut used = BTreeMap::new();
        for at in 0..60 {
            let now = ms(10_000 + interval_ms * at);
            let backend = serve(&mut service, now, &prompt_request(7, 100 + at), ms(90));
            *used.entry(backend).or_insert(0) += 1;
        }
        used.len()
    };
    assert_eq!(backends_used(3000), 1, "a request each 3 s at each of eight nodes");
    assert!(
        backends_used(300) >= 2,
        "27 requests per second at all nodes are more than one backend can prefill"
    );
}

#[test]
fn a_session_returns_to_the_backend_that_has_cached_its_own_block() {
    let mut service = engine_service(12, 8, 1);
    let mut request = prompt_request(3, 3);
    request.blocks.remove(0);
    request.blocks.remove(0);
    request.prompt_tokens = 2890;
    let first = serve(&mut service, ms(0), &request, ms(60));
    for turn in 1..20 {
        assert_eq!(serve(&mut service, ms(1000 * turn), &request, ms(40)), first);
    }
}

#[test]
fn a_backend_with_a_long_queue_is_avoided_even_for_prompts_that_it_has_cached() {
    let mut service = engine_service(12, 8, 1);
    let first = serve(&mut service, ms(0), &prompt_request(7, 1), ms(90));
    let (attempt, _) = forwarded(&service.decide(ms(200), &prompt_request(7, 2), &[]));
    service.load_received(ms(300), attempt, Load { running: 40, waiting: 30, slots: 64 });
    service.response_started(ms(300), attempt);
    let next = forwarded(&service.decide(ms(310), &prompt_request(7, 3), &[])).1;
    assert_ne!(next, first);
    let later = forwarded(&service.decide(ms(9000), &prompt_request(7, 4), &[])).1;
    assert!(later == first || later == next, "sent to {later:?}, which does not have the blocks cached");
}

#[test]
fn backends_without_a_free_slot_are_avoided_while_others_have_some() {
    let mut service = plain_service(3, 1, 5);
    let full = Load { running: 8, waiting: 6, slots: 8 };
    let mut request = request();
    request.latency_target = ms(150);
    let mut full_backends = Vec::new();
    for _ in 0..2 {
        let (attempt, backend) = forwarded(&service.decide(ms(10), &request, &full_backends));
        service.attempt_ended(ms(40), attempt, Outcome::Served, Some(full));
        full_backends.push(backend);
    }
    for at in 0..5 {
        let (attempt, backend) = forwarded(&service.decide(ms(50 + at), &request, &[]));
        assert!(!full_backends.contains(&backend));
        service.attempt_ended(ms(51 + at), attempt, Outcome::Served, Some(IDLE));
    }
}

#[test]
fn a_backend_in_slow_start_gets_a_growing_share() {
    let mut service = plain_service(4, 1, 5);
    let mut list = entries(5);
    list[4].slow_start_remaining = Duration::from_secs(10);
    service.replace_backends(ms(0), list);
    let mut share = |from: u64| {
        let mut count = 0;
        for at in 0..400 {
            let now = ms(from + 5 * at);
            let (attempt, backend) = forwarded(&service.decide(now, &request(), &[]));
            count += u32::from(backend == id(4));
            service.response_started(now, attempt);
            if at % 2 == 0 {
                service.attempt_ended(now + ms(1), attempt, Outcome::Served, None);
            }
        }
        count
    };
    let (during, after) = (share(0), share(20_000));
    assert!(during < 50 && after > 60, "{during} of 400 requests during slow start, {after} of 400 after it");
}

/// The backends of two attempts in flight, with the same shared blocks, at a node of a large fleet. The
/// node's share of a backend's slots is one there, so that the first attempt reaches m.
fn two_attempts_in_a_large_fleet(spill_over: bool) -> (BackendId, BackendId) {
    let policy = RoutingPolicy { spill_over, ..RoutingPolicy::default() };
    let mut service = Service::with_policy(Some(ENGINE), 82, 1, policy);
    let with_slots = entries(140).into_iter().map(|entry| BackendEntry { slots: 12, ..entry });
    service.replace_backends(Duration::ZERO, with_slots.collect());
    let first = forwarded(&service.decide(ms(10), &prompt_request(7, 1), &[])).1;
    let second = forwarded(&service.decide(ms(60), &prompt_request(7, 2), &[])).1;
    (first, second)
}

#[test]
fn in_a_large_fleet_requests_stay_with_the_backend_of_their_shared_blocks_unless_spill_over_is_enabled() {
    let (first, second) = two_attempts_in_a_large_fleet(false);
    assert_eq!(first, second);
    let (first, second) = two_attempts_in_a_large_fleet(true);
    assert_ne!(first, second, "the second request does not spill over although that is enabled");
}
