//! Tests of `backend_model`, which see its private items.

use super::*;
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn started(token: u64, completes_at: Duration) -> StartedRequest {
    StartedRequest { token: RequestToken(token), completes_at }
}

fn spec() -> BackendSpec {
    BackendSpec {
        cores: 2,
        speed: 1.0,
        queue: 3,
        service_time: ServiceTime::Fixed(ms(100)),
        cold_start: None,
        degradation: None,
        deduplication_window: ms(600),
    }
}

#[test]
fn requests_beyond_the_cores_queue_in_order_and_those_beyond_the_queue_are_rejected() {
    let mut model = BackendModel::new(spec(), 1, None);
    let runs = Admission::Runs { completes_at: ms(100) };
    let admitted: Vec<_> = (0..6).map(|token| model.arrive(ms(0), RequestToken(token))).collect();
    assert_eq!(
        admitted,
        [runs, runs, Admission::Queued, Admission::Queued, Admission::Queued, Admission::Rejected]
    );
    assert_eq!(model.load(), ModelLoad { in_flight: 5, queued: 3 });
    assert_eq!(model.complete(ms(100)), [started(2, ms(200))]);
    assert!(model.cancel_queued(ms(100), RequestToken(3)) && !model.cancel_queued(ms(100), RequestToken(3)));
    assert_eq!(model.complete(ms(100)), [started(4, ms(200))]);
    assert_eq!((model.complete(ms(200)), model.load()), (vec![], ModelLoad { in_flight: 1, queued: 0 }));
    model.start_draining();
    assert_eq!(model.arrive(ms(200), RequestToken(9)), Admission::Rejected);
}

#[test]
fn a_cold_backend_is_slow_at_first_and_crashes_of_overload() {
    let cold = ColdStart {
        initial_share: 0.25,
        warm_up_time: ms(1000),
        overload_factor: 4.0,
        overload_time: ms(500),
    };
    let spec = BackendSpec { cold_start: Some(cold), queue: 1000, ..spec() };
    let mut model = BackendModel::new(spec.clone(), 1, Some(ms(0)));
    assert_eq!(model.arrive(ms(0), RequestToken(0)), Admission::Runs { completes_at: ms(400) });
    assert_eq!(model.capacity_share(ms(500)), 0.625);
    let mut late = BackendModel::new(spec, 1, Some(ms(0)));
    assert_eq!(late.arrive(ms(1000), RequestToken(0)), Admission::Runs { completes_at: ms(1100) });
    // The limit is 4 times a quarter of the work of 2 cores in 0.5 s: 10 requests of 100 ms.
    for token in 1..10 {
        model.arrive(ms(token), RequestToken(token));
        assert!(!model.has_crashed(), "{token}");
    }
    model.arrive(ms(10), RequestToken(10));
    model.arrive(ms(11), RequestToken(11));
    assert!(model.has_crashed());
    assert_eq!(model.arrive(ms(5000), RequestToken(12)), Admission::Rejected, "it stays crashed");
    model.restart(ms(6000));
    assert!(matches!(model.arrive(ms(6000), RequestToken(13)), Admission::Runs { .. }));
}

#[test]
fn an_overloaded_backend_degrades_and_recovers_once_its_queue_has_been_empty() {
    let degradation =
        Degradation { queued_per_core: 1.0, onset: ms(300), factor: 3.0, recovery_time: ms(500) };
    let mut model =
        BackendModel::new(BackendSpec { degradation: Some(degradation), queue: 50, ..spec() }, 1, None);
    for token in 0..20 {
        model.arrive(ms(0), RequestToken(token));
    }
    assert!(!model.is_degraded());
    model.complete(ms(299));
    assert!(!model.is_degraded());
    let started = model.complete(ms(300));
    model.arrive(ms(301), RequestToken(99));
    assert!(model.is_degraded(), "{started:?}");
    assert_eq!(model.complete(ms(400))[0].completes_at, ms(700), "three times the normal time");
    while model.load().queued > 0 {
        model.complete(ms(1000));
    }
    model.complete(ms(1499));
    assert!(model.is_degraded());
    model.complete(ms(1500));
    assert!(!model.is_degraded());
}

#[test]
fn a_key_is_remembered_for_the_window_after_its_first_request() {
    let mut keys = IdempotencyKeys::default();
    assert!(keys.insert_if_new("a", ms(0), ms(600)));
    assert!(!keys.insert_if_new("a", ms(599), ms(600)));
    assert!(keys.insert_if_new("b", ms(599), ms(600)));
    assert!(keys.insert_if_new("a", ms(600), ms(600)));
    assert!(!keys.insert_if_new("b", ms(1198), ms(600)));
    assert!(
        (keys.insert_if_new("c", ms(9000), ms(600)), keys.received.len()) == (true, 1),
        "expired keys are removed"
    );
}

#[test]
fn service_times_have_their_distribution() {
    let mut rng = Pcg64Mcg::new(7);
    let mut mean = |service: ServiceTime| {
        (0..20_000).map(|_| service.draw(&mut rng).as_secs_f64()).sum::<f64>() / 20_000.0 * 1000.0
    };
    assert_eq!(mean(ServiceTime::Fixed(ms(10))).round(), 10.0);
    assert!((mean(ServiceTime::Uniform(ms(10), ms(30))) - 20.0).abs() < 0.2);
    assert!((mean(ServiceTime::Exponential(ms(20))) - 20.0).abs() < 0.6);
    // The mean of a log-normal distribution is the median times exp(spread^2 / 2).
    assert!((mean(ServiceTime::LogNormal(ms(20), 0.5)) - 20.0 * (0.125f64).exp()).abs() < 0.6);
}

proptest! {
    /// No more requests run than there are cores, none is queued while a core is free, and each starts in
    /// order or is cancelled.
    #[test]
    fn the_limits_of_cores_and_queue_are_never_exceeded(
        seed: u64,
        steps in prop::collection::vec((0u8..3, 0u64..60), 1..200),
    ) {
        let mut model = BackendModel::new(BackendSpec { service_time: ServiceTime::Exponential(ms(50)), ..spec() }, seed, None);
        let (mut now, mut next, mut running, mut waiting) = (ms(0), 0u64, 0u32, Vec::new());
        for (step, pause) in steps {
            now += ms(pause);
            match step {
                0 => {
                    next += 1;
                    match model.arrive(now, RequestToken(next)) {
                        Admission::Runs { completes_at } => { prop_assert!(completes_at >= now); running += 1 }
                        Admission::Queued => waiting.push(RequestToken(next)),
                        Admission::Rejected => prop_assert_eq!(waiting.len(), 3),
                    }
                }
                1 if running > 0 => {
                    running -= 1;
                    for StartedRequest { token, completes_at } in model.complete(now) {
                        prop_assert!(completes_at >= now);
                        prop_assert_eq!(waiting.remove(0), token, "in order");
                        running += 1;
                    }
                }
                2 if !waiting.is_empty() => {
                    let token = waiting.remove(waiting.len() / 2);
                    prop_assert!(model.cancel_queued(now, token));
                }
                _ => {}
            }
            prop_assert!(running <= 2 && (waiting.is_empty() || running == 2));
            let queued = waiting.len() as u32;
            prop_assert_eq!(model.load(), ModelLoad { in_flight: running + queued, queued });
        }
    }
}
