//! Concurrency limits learned from simulated backends with known numbers of cores and latencies.

use admission_control::limit::{BackendLimit, Cause, LimitBounds, LoadSignal};
use std::time::Duration;

const BOUNDS: LimitBounds =
    LimitBounds { initial: 16.0, min: 2.0, max: 1000.0, is_adaptive: true, nodes: 1.0 };

/// Keeps the limit in full use for a time, at a backend that responds after `latency(in_flight)`. Returns the
/// responses per second.
fn fill(limit: &mut BackendLimit, now: &mut Duration, seconds: f64, latency: impl Fn(f64) -> f64) -> f64 {
    let end = *now + Duration::from_secs_f64(seconds);
    let mut served = 0;
    while *now < end {
        while f64::from(limit.in_flight()) < limit.limit().floor() {
            limit.attempt_sent(*now);
        }
        let in_flight = f64::from(limit.in_flight());
        let latency_s = latency(in_flight);
        // By Little's law, the rate of responses is the number in flight divided by the latency.
        *now += Duration::from_secs_f64(latency_s / in_flight);
        limit.attempt_ended(*now, 0, LoadSignal::Served, Duration::from_secs_f64(latency_s));
        served += 1;
    }
    f64::from(served) / seconds
}

/// The latency of a backend with this number of cores and this service time in seconds, by attempts in
/// flight.
fn cores(cores: f64, service: f64) -> impl Fn(f64) -> f64 {
    move |in_flight| service * (in_flight / cores).max(1.0)
}

#[test]
fn a_backend_with_many_cores_gets_a_high_limit() {
    let (mut limit, mut now) = (BackendLimit::new(BOUNDS, Duration::ZERO), Duration::ZERO);
    fill(&mut limit, &mut now, 3.0, cores(1000.0, 0.04));
    assert!(limit.limit() > 100.0, "{limit:?}");
}

#[test]
fn a_backend_with_few_cores_is_fully_used_without_congestion() {
    for (count, service) in [(1.0, 0.005), (4.0, 0.02), (16.0, 0.01)] {
        let (mut limit, mut now) = (BackendLimit::new(BOUNDS, Duration::ZERO), Duration::ZERO);
        // It has responded once without queueing, as backends have before a surge.
        limit.attempt_sent(now);
        limit.attempt_ended(now, 0, LoadSignal::Served, Duration::from_secs_f64(service));
        fill(&mut limit, &mut now, 10.0, cores(count, service));
        let rate = fill(&mut limit, &mut now, 5.0, cores(count, service));
        assert!(rate > 0.95 * count / service, "{count} cores: {rate} per second");
        assert!(limit.limit() < 3.0 * count + 12.0, "{count} cores: {:?}", limit.limit());
    }
}

#[test]
fn latency_that_is_not_caused_by_load_does_not_lower_the_limit_permanently() {
    let (mut limit, mut now) = (BackendLimit::new(BOUNDS, Duration::ZERO), Duration::ZERO);
    fill(&mut limit, &mut now, 5.0, cores(1000.0, 0.01));
    let before = limit.limit();
    // A database behind the backend becomes ten times slower, whatever the load.
    fill(&mut limit, &mut now, 10.0, cores(1000.0, 0.1));
    assert!(limit.limit() > 0.7 * before, "{before} -> {limit:?}");
    assert!(limit.recent_changes().any(|change| change.cause == Cause::NotLoad), "{limit:?}");
    fill(&mut limit, &mut now, 5.0, cores(1000.0, 0.01));
    assert!(limit.limit() > 0.7 * before, "{before} -> {limit:?}");
}

#[test]
fn rejections_failures_and_timeouts_lower_the_limit_but_not_below_the_minimum() {
    for signal in [LoadSignal::Rejected, LoadSignal::ConnectionFailed, LoadSignal::TimedOut] {
        let mut limit = BackendLimit::new(BOUNDS, Duration::ZERO);
        for i in 1..2000u64 {
            limit.attempt_sent(Duration::from_millis(10 * i));
            limit.attempt_ended(Duration::from_millis(10 * i), 0, signal, Duration::from_millis(1));
        }
        assert!(limit.limit() <= 4.0, "{signal:?}: {limit:?}");
        assert!(limit.limit() >= BOUNDS.min, "{signal:?}");
        let mut now = Duration::from_secs(30);
        fill(&mut limit, &mut now, 10.0, cores(1000.0, 0.01));
        assert!(limit.limit() >= 16.0, "the limit recovers after {signal:?}: {:?}", limit.limit());
    }
}

#[test]
fn fast_and_slow_classes_under_one_limit_are_compared_with_their_own_baselines() {
    let (mut limit, mut now) = (BackendLimit::new(BOUNDS, Duration::ZERO), Duration::ZERO);
    for i in 0..40_000u64 {
        while f64::from(limit.in_flight()) < limit.limit().floor() {
            limit.attempt_sent(now);
        }
        // The mix alternates: mostly fast requests, then mostly slow ones.
        let slow = if (i / 4000) % 2 == 0 { i % 20 == 0 } else { i % 20 != 0 };
        let (class, latency_s) = if slow { (1, 0.9) } else { (0, 0.002) };
        now += Duration::from_secs_f64(latency_s / f64::from(limit.in_flight()));
        limit.attempt_ended(now, class, LoadSignal::Served, Duration::from_secs_f64(latency_s));
    }
    assert!(limit.recent_changes().all(|change| change.cause == Cause::Room), "{limit:?}");
    assert!(limit.limit() >= 100.0, "{:?}", limit.limit());
}

#[test]
fn a_limit_learned_at_low_load_grows_in_a_surge() {
    let (mut limit, mut now) = (BackendLimit::new(BOUNDS, Duration::ZERO), Duration::ZERO);
    for _ in 0..20_000 {
        now += Duration::from_millis(50);
        limit.attempt_sent(now);
        limit.attempt_ended(now, 0, LoadSignal::Served, Duration::from_millis(20));
    }
    assert_eq!(limit.limit(), BOUNDS.initial, "the limit does not change while it is not reached");
    fill(&mut limit, &mut now, 2.0, cores(200.0, 0.02));
    assert!(limit.limit() > 100.0, "{limit:?}");
}
