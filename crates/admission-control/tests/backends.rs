//! Capacities of the backends of a cluster, computed from their weights and responses.

use admission_control::backends::{Backends, Endpoint, LimitSettings};
use admission_control::limit::LimitBounds;
use join_up_to::{Outcome, ServerId};
use std::time::Duration;

const BOUNDS: LimitBounds =
    LimitBounds { initial: 16.0, min: 2.0, max: 500.0, is_adaptive: true, nodes: 1.0 };

fn endpoint(id: u64, weight: f64, kind: u8) -> Endpoint {
    Endpoint { id: ServerId(id), weight, kind, ready: true, added_at: None }
}

fn backends(endpoints: &[Endpoint]) -> Backends {
    let mut backends = Backends::new(LimitSettings { bounds: Some(BOUNDS), slow_start: None });
    backends.set_endpoints(Duration::ZERO, endpoints);
    backends
}

fn relative_capacity(backends: &Backends, id: u64) -> f64 {
    backends.status(ServerId(id)).expect("the backend is listed").capacity.relative
}

/// Sends and ends `count` attempts at each backend in turn, each with the backend's outcome and latency.
/// Returns the time after that in seconds.
fn end_attempts(backends: &mut Backends, from_s: f64, count: u32, ends: &[(u64, Outcome, f64)]) -> f64 {
    let mut now = from_s;
    for _ in 0..count {
        for (id, outcome, latency) in ends {
            now += 0.002;
            backends.attempt_sent(Duration::from_secs_f64(now), ServerId(*id));
            let elapsed = Duration::from_secs_f64(*latency);
            backends.attempt_ended(Duration::from_secs_f64(now), ServerId(*id), 0, *outcome, elapsed);
        }
    }
    now
}

#[test]
fn equal_backends_keep_equal_capacities() {
    let mut backends = backends(&[endpoint(1, 1.0, 0), endpoint(2, 1.0, 0), endpoint(3, 1.0, 0)]);
    backends.take_capacity_updates();
    let took = [0.0200, 0.0205, 0.0195].map(|t| (Outcome::Served, t));
    let took: Vec<_> = (1..).zip(took).map(|(id, (outcome, t))| (id, outcome, t)).collect();
    end_attempts(&mut backends, 0.0, 2000, &took);
    assert!(backends.take_capacity_updates().is_empty(), "changes of 5 % are not published");
}

#[test]
fn relative_capacities_equal_the_weights_unless_latencies_contradict_them() {
    let mut backends = backends(&[endpoint(1, 1.0, 0), endpoint(2, 1000.0, 0)]);
    let (small, large) = (relative_capacity(&backends, 1), relative_capacity(&backends, 2));
    assert!((large / small - 1000.0).abs() < 1.0, "{small} {large}");
    let max_in_flight =
        |backends: &Backends, id| backends.status(ServerId(id)).expect("listed").capacity.max_in_flight;
    assert!(max_in_flight(&backends, 1) >= 2 && max_in_flight(&backends, 2) > max_in_flight(&backends, 1));
    // Equal latencies do not contradict a weight, which may stand for the number of concurrent requests.
    end_attempts(&mut backends, 0.0, 2000, &[(1, Outcome::Served, 0.02), (2, Outcome::Served, 0.02)]);
    assert!((relative_capacity(&backends, 2) / relative_capacity(&backends, 1) - 1000.0).abs() < 1.0);
}

#[test]
fn a_backend_slower_than_its_weight_gets_less_capacity_and_so_does_a_new_one_of_its_kind() {
    let mut listed = vec![endpoint(1, 1.0, 0), endpoint(2, 1.0, 0), endpoint(3, 1.0, 1)];
    let mut backends = backends(&listed);
    let served = Outcome::Served;
    let now =
        end_attempts(&mut backends, 0.0, 500, &[(1, served, 0.02), (2, served, 0.02), (3, served, 0.06)]);
    assert!(
        relative_capacity(&backends, 3) < 0.5 * relative_capacity(&backends, 1),
        "{} {}",
        relative_capacity(&backends, 3),
        relative_capacity(&backends, 1)
    );
    listed.push(Endpoint { added_at: Some(Duration::from_secs_f64(now)), ..endpoint(4, 1.0, 1) });
    backends.set_endpoints(Duration::from_secs_f64(now), &listed);
    assert!(
        (relative_capacity(&backends, 4) / relative_capacity(&backends, 3) - 1.0).abs() < 0.3,
        "like the other backend of its kind"
    );
}

#[test]
fn a_backend_that_responds_quickly_with_errors_gets_less_capacity() {
    let mut backends = backends(&[endpoint(1, 1.0, 0), endpoint(2, 1.0, 0), endpoint(3, 1.0, 0)]);
    let took = [(1, Outcome::Served, 0.02), (2, Outcome::Served, 0.02), (3, Outcome::Error, 0.0001)];
    end_attempts(&mut backends, 0.0, 500, &took);
    assert!(relative_capacity(&backends, 3) < 0.05, "{}", relative_capacity(&backends, 3));
    let took = [(1, Outcome::Served, 0.02), (2, Outcome::Served, 0.02), (3, Outcome::Served, 0.02)];
    end_attempts(&mut backends, 10.0, 500, &took);
    assert!(relative_capacity(&backends, 3) > 0.8, "its capacity recovers once it serves requests");
}

#[test]
fn a_new_backend_has_a_slow_start_where_configured() {
    let over = Duration::from_secs(10);
    let mut backends = Backends::new(LimitSettings { bounds: Some(BOUNDS), slow_start: Some(over) });
    let old = endpoint(1, 1.0, 0);
    backends.set_endpoints(Duration::ZERO, &[old]);
    assert_eq!(
        (backends.next_refresh(), relative_capacity(&backends, 1)),
        (None, 1.0),
        "a backend without `added_at` is not new"
    );
    let at = Duration::from_secs(100);
    backends.set_endpoints(at, &[old, Endpoint { added_at: Some(at), ..endpoint(2, 1.0, 0) }]);
    let mut before = relative_capacity(&backends, 2);
    assert!(before < 0.15, "{before}");
    for second in 1..=10 {
        backends.tick(at + Duration::from_secs(second));
        assert!(relative_capacity(&backends, 2) > before, "after {second} s");
        before = relative_capacity(&backends, 2);
    }
    assert_eq!((before, backends.next_refresh()), (1.0, None));
}

#[test]
fn a_draining_backend_does_not_count_in_the_total_capacity() {
    let mut backends = backends(&[endpoint(1, 1.0, 0), endpoint(2, 1.0, 0)]);
    assert_eq!(backends.total_capacity(), 32);
    backends.set_endpoints(
        Duration::ZERO,
        &[endpoint(1, 1.0, 0), Endpoint { ready: false, ..endpoint(2, 1.0, 0) }],
    );
    assert_eq!(backends.total_capacity(), 16);
}
