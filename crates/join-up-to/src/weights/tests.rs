//! Tests of `weights`, which see its private items.

use super::*;
use crate::interface::ServerEntry;

fn server(kind: u8) -> Server {
    Server { entry: ServerEntry { kind, ..ServerEntry::default() }, ..Server::default() }
}

#[test]
fn weights_converge_until_all_servers_have_the_same_load() {
    let (mut weights, mut slow, mut fast) = (Weights::default(), server(1), server(0));
    assert_eq!((slow.relative_capacity(), fast.relative_capacity()), (1.0, 1.0), "nothing is known");
    for _ in 0..200 {
        // Load is proportional to the draws and to the service time; the fast server needs half the time.
        let all = slow.relative_capacity() + fast.relative_capacity();
        let slow_load = 8.0 * slow.relative_capacity() / all;
        let fast_load = 4.0 * fast.relative_capacity() / all;
        weights.record_load(&mut slow, slow_load);
        weights.record_load(&mut fast, fast_load);
    }
    let ratio = fast.relative_capacity() / slow.relative_capacity();
    assert!((1.8..2.2).contains(&ratio), "{ratio}");
    let mut new = server(1);
    weights.apply(&mut new);
    assert!(new.relative_capacity() < 1.0, "a new server starts with the weight of the slow kind");
}

#[test]
fn late_responses_lower_a_servers_weight_whatever_it_reports_until_responses_are_in_time() {
    let (mut weights, mut slow, mut other) = (Weights::default(), server(0), server(0));
    let share = |slow: &Server, other: &Server| {
        slow.relative_capacity() / (slow.relative_capacity() + other.relative_capacity())
    };
    for round in 0..80 {
        weights.record_load(&mut slow, 4.0);
        weights.record_load(&mut other, if round < 40 { 4.0 } else { 3.0 });
        weights.record_late(&mut slow);
    }
    assert!(share(&slow, &other) < 0.1, "{}", share(&slow, &other));
    for _ in 0..40 {
        weights.record_load(&mut slow, 1.0);
        weights.record_load(&mut other, 4.0);
    }
    assert!(share(&slow, &other) > 0.4, "{}", share(&slow, &other));
}

#[test]
fn a_weight_stays_within_bounds_whatever_is_reported() {
    let (mut weights, mut one, mut other) = (Weights::default(), server(0), server(1));
    for _ in 0..10_000 {
        weights.record_load(&mut one, 1e6);
        weights.record_load(&mut other, 0.0);
    }
    assert!((0.018..0.019).contains(&one.relative_capacity()), "{}", one.relative_capacity());
    assert!((7.3..7.4).contains(&other.relative_capacity()), "{}", other.relative_capacity());
}
