//! Simulated overload: each hard case by itself, with the bounds that it must stay within.

use admission_control::GateSettings;
use admission_control::backends::LimitSettings;
use admission_control::brownout::{BrownoutAction, BrownoutStep};
use admission_control::gate::{ClassSettings, TenantSettings};
use admission_control::limit::LimitBounds;
use join_up_to::{AttemptPolicy, CapacitySource, Class, Repeat, RetryOn, Settings};
use overload_simulation::tally::jain_index;
use overload_simulation::{
    BackendSpec, ClientRetry, FaultEvent, InjectedFault, ListedBackend, ServiceTime, Stream, Surge, Tally,
    simulate,
};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use std::time::Duration;

const ADAPTIVE: LimitBounds =
    LimitBounds { initial: 16.0, min: 2.0, max: 10_000.0, is_adaptive: true, nodes: 1.0 };

fn class(repeat: Repeat) -> Class {
    let attempt_policy = AttemptPolicy {
        max_attempts: Some(3),
        retry_on: RetryOn { never_ran: true, error: false, reset: false, timed_out: false },
        hedging: join_up_to::Hedging::Never,
        retry_budget: Some(join_up_to::RetryBudget { share: 0.2, per_s: 1.0 }),
        retry_after: Some(Duration::from_secs(1)),
        ..AttemptPolicy::default()
    };
    Class {
        deadline: Duration::from_secs(1),
        late_value: 1.0,
        repeat,
        attempt_policy,
        ..Settings::default().classes[0].clone()
    }
}

fn class_settings(name: &str, priority_weight: f64) -> ClassSettings {
    ClassSettings {
        name: name.into(),
        priority_weight,
        min_retry_after: Duration::from_secs(1),
        max_queue_time: None,
    }
}

/// The defaults of the operator's file.
fn brownout() -> Vec<BrownoutStep> {
    let step = |at, back, after, does| BrownoutStep {
        threshold: at,
        release_threshold: back,
        hold_time: Duration::from_secs(after),
        action: does,
    };
    vec![
        step(0.02, 0.005, 1, BrownoutAction::DisableHedging),
        step(0.1, 0.02, 2, BrownoutAction::DisableRetries),
    ]
}

/// One class and no tenants, with these backends.
fn surge(backends: &[BackendSpec], seconds: u32, streams: Vec<Stream>) -> Surge {
    let mut settings = Settings {
        capacity_source: CapacitySource::Provided,
        classes: vec![class(Repeat::Safe)],
        ..Settings::default()
    };
    settings.limits.cancel = true;
    settings.limits.max_attempts = u32::MAX;
    Surge {
        settings,
        gate: Some(GateSettings {
            limits: LimitSettings { bounds: Some(ADAPTIVE), slow_start: None },
            classes: vec![class_settings("c", 1.0)],
            tenants: Vec::new(),
            brownout: brownout(),
        }),
        backends: backends.iter().map(|spec| listed(*spec, 1.0, 0)).collect(),
        streams,
        faults: Vec::new(),
        seconds,
        seed: 7,
    }
}

fn listed(spec: BackendSpec, weight: f64, kind: u8) -> ListedBackend {
    ListedBackend { spec, weight, kind }
}

fn fault(at: f64, backend: usize, event: FaultEvent) -> InjectedFault {
    InjectedFault { at, backend, event }
}

fn stream(rate: f64, service_time: ServiceTime) -> Stream {
    Stream {
        class: 0,
        tenant: 0,
        node: 0,
        rate,
        from: 0.0,
        to: 1e9,
        timeout: Duration::from_secs(1),
        service_time,
        retry: ClientRetry::Never,
    }
}

fn assert_rules(tally: &Tally) {
    assert!(tally.violations.is_empty(), "{:?}", &tally.violations[..tally.violations.len().min(5)]);
}

/// Four backends of four cores that are half as fast when more than four requests are queued per core.
fn degrading_backends() -> Vec<BackendSpec> {
    vec![BackendSpec { cores: 4, speed: 1.0, queue: 1000, degraded_above: 4.0, degradation: 2.0 }; 4]
}

#[test]
fn goodput_stays_near_capacity_at_any_load() {
    // 16 cores at 20 ms: 800 a second.
    for times in [2.0, 5.0, 10.0, 20.0] {
        for service in [ServiceTime::Fixed(0.02), ServiceTime::Exponential(0.02)] {
            let tally = simulate(&surge(&degrading_backends(), 30, vec![stream(800.0 * times, service)]));
            assert_rules(&tally);
            let goodput = tally.goodput(10, 30);
            assert!(
                goodput > 0.9 * 800.0,
                "{times} x {service:?}: {goodput} of 800, limits {:?}",
                tally.limits
            );
            assert!(tally.swing(10, 30) < 0.2, "{times} x {service:?}: swings by {}", tally.swing(10, 30));
            let p99 = tally.streams[0].latency.value_at_quantile(0.99);
            assert!(p99 < 600_000, "{times} x {service:?}: p99 {p99} us");
        }
    }
}

#[test]
fn nothing_is_rejected_below_capacity() {
    for share in [0.1, 0.5, 0.8] {
        let tally = simulate(&surge(
            &degrading_backends(),
            30,
            vec![stream(800.0 * share, ServiceTime::Fixed(0.02))],
        ));
        assert_rules(&tally);
        assert_eq!(tally.streams[0].rejections + tally.streams[0].failed, 0, "at {share}");
    }
}

#[test]
fn all_requests_are_served_again_within_a_second_after_a_surge() {
    let surge_of = Stream { from: 10.0, to: 20.0, ..stream(8000.0, ServiceTime::Exponential(0.02)) };
    let tally = simulate(&surge(
        &degrading_backends(),
        40,
        vec![stream(400.0, ServiceTime::Exponential(0.02)), surge_of],
    ));
    assert_rules(&tally);
    let late = |from: usize| tally.served_by_second[from..39].iter().all(|served| *served > 300);
    assert!(late(22), "{:?}", &tally.served_by_second[18..30]);
    assert_eq!(tally.brownout_level, 0, "no brownout is left active");
}

#[test]
fn a_limit_learned_at_low_load_rises_for_a_surge() {
    let backends = vec![BackendSpec::without_degradation(64); 3];
    // 192 cores at 40 ms: 4,800 a second.
    let day = Stream { from: 60.0, ..stream(4300.0, ServiceTime::Fixed(0.04)) };
    let tally = simulate(&surge(&backends, 75, vec![stream(5.0, ServiceTime::Fixed(0.04)), day]));
    assert_rules(&tally);
    let day = &tally.streams[1];
    let refused = day.rejected as f64 / day.arrived as f64;
    assert!(refused < 0.01, "{refused} refused");
    assert!(tally.goodput(65, 75) > 0.98 * 4300.0, "{}", tally.goodput(65, 75));
}

#[test]
fn backends_with_many_cores_are_used_from_the_first_second() {
    // As the plain threaded boxes of the trial: 40 ms, many at once; 33 or so at each box.
    let tally = simulate(&surge(
        &[BackendSpec::without_degradation(100); 3],
        6,
        vec![stream(2300.0, ServiceTime::Fixed(0.04))],
    ));
    assert_rules(&tally);
    let all = &tally.streams[0];
    assert!((all.rejected as f64) < 0.01 * all.arrived as f64, "{} of {}", all.rejected, all.arrived);
}

#[test]
fn latency_that_rises_for_another_reason_does_not_starve_backends() {
    let mut surge = surge(
        &[BackendSpec::without_degradation(1000); 3],
        60,
        vec![stream(600.0, ServiceTime::Exponential(0.02))],
    );
    // A database below all backends takes ten times as long for 20 s.
    for number in 0..3 {
        surge.faults.extend([
            fault(20.0, number, FaultEvent::Slow(10.0)),
            fault(40.0, number, FaultEvent::Slow(1.0)),
        ]);
    }
    let tally = simulate(&surge);
    assert_rules(&tally);
    assert!(tally.goodput(25, 39) > 0.95 * 600.0, "meanwhile {}", tally.goodput(25, 39));
    assert!(tally.goodput(45, 60) > 0.97 * 600.0, "and after {}", tally.goodput(45, 60));
    assert!(tally.limits.iter().all(|limit| *limit >= 16.0), "{:?}", tally.limits);
}

#[test]
fn quick_and_slow_requests_share_one_limit() {
    let backends = vec![BackendSpec { degradation: 1.0, ..BackendSpec::without_degradation(16) }; 4];
    let mut surge = surge(&backends, 40, Vec::new());
    surge.settings.classes.push(Class { deadline: Duration::from_secs(5), ..class(Repeat::Unsafe) });
    if let Some(gate) = &mut surge.gate {
        gate.classes.push(class_settings("correct", 1.0));
    }
    // Looks take 4 cores in all, corrections 36 of 64.
    let looks = stream(2000.0, ServiceTime::Exponential(0.002));
    let timeout = Duration::from_secs(5);
    let corrections = Stream { class: 1, timeout, ..stream(40.0, ServiceTime::Exponential(0.9)) };
    surge.streams = vec![looks.clone(), corrections.clone()];
    let tally = simulate(&surge);
    assert_rules(&tally);
    let lost: u64 = tally.streams.iter().map(|s| s.rejected + s.failed).sum();
    assert!(lost < 40, "{lost} of {:?}", tally.streams.iter().map(|s| s.arrived).collect::<Vec<_>>());
    // And with five times as many corrections as there is room for, both are still served.
    surge.streams = vec![looks, Stream { rate: 400.0, ..corrections }];
    let tally = simulate(&surge);
    assert_rules(&tally);
    let work: f64 = tally.streams.iter().map(|s| s.work).sum::<f64>() / 40.0;
    assert!(work > 0.8 * 64.0, "{work} of 64 cores");
    let looks = &tally.streams[0];
    let part = looks.served as f64 / looks.arrived as f64;
    assert!(
        part > 0.95,
        "looks are worth more for their time: {part}, work {work}, limits {:?}",
        tally.limits
    );
}

fn tenants(shares: &[(Option<f64>, f64)]) -> Vec<TenantSettings> {
    let tenant = |(number, (share, allowance)): (usize, &(Option<f64>, f64))| TenantSettings {
        name: format!("t{number}"),
        share: *share,
        guaranteed_rate: *allowance,
    };
    shares.iter().enumerate().map(tenant).collect()
}

#[test]
fn tenants_have_their_shares_and_allowances_whatever_one_of_them_sends() {
    let service = ServiceTime::Exponential(0.02);
    let of = |tenant, rate| Stream { tenant, ..stream(rate, service) };
    // The last two have nothing but an allowance, or an even part of the rest: 10%.
    let streams = vec![of(0, 4000.0), of(1, 2000.0), of(2, 1500.0), of(3, 1000.0), of(4, 20.0)];
    let mut surge = surge(&degrading_backends(), 40, streams);
    let shares = [(Some(0.4), 0.0), (Some(0.3), 0.0), (Some(0.2), 0.0), (None, 0.0), (Some(0.0), 25.0)];
    if let Some(gate) = &mut surge.gate {
        gate.tenants = tenants(&shares);
    }
    let tally = simulate(&surge);
    assert_rules(&tally);
    let allowed = &tally.streams[4];
    assert!(
        allowed.served as f64 > 0.99 * allowed.arrived as f64,
        "{} of {}",
        allowed.served,
        allowed.arrived
    );
    let all: f64 = tally.streams[..4].iter().map(|s| s.work).sum();
    for (share, tally) in [0.4, 0.3, 0.2, 0.1].iter().zip(&tally.streams) {
        let got = tally.work / all;
        assert!((got / share - 1.0).abs() < 0.05, "{got} of {share}");
    }
}

#[test]
fn one_tenant_with_ten_thousand_times_the_traffic_takes_nothing_from_the_others() {
    let of = |tenant, rate| Stream { tenant, ..stream(rate, ServiceTime::Fixed(0.02)) };
    let mut streams: Vec<_> = (0..8).map(|tenant| of(tenant, 2.0)).collect();
    streams.push(of(8, 20_000.0));
    let mut surge = surge(&degrading_backends(), 20, streams);
    if let Some(gate) = &mut surge.gate {
        gate.tenants = tenants(&[(None, 0.0); 9]);
    }
    let tally = simulate(&surge);
    assert_rules(&tally);
    for small in &tally.streams[..8] {
        assert_eq!(
            (small.rejections, small.failed),
            (0, 0),
            "who asks for less than its share has all of it"
        );
    }
    assert!(tally.goodput(5, 20) > 0.9 * 800.0, "and what they leave is lent on: {}", tally.goodput(5, 20));
}

#[test]
fn equal_tenants_are_served_equally() {
    let streams = (0..50)
        .map(|tenant| Stream { tenant, ..stream(20.0 * (1.0 + tenant as f64), ServiceTime::Fixed(0.02)) });
    let mut surge = surge(&degrading_backends(), 40, streams.collect());
    if let Some(gate) = &mut surge.gate {
        gate.tenants = tenants(&[(None, 0.0); 50]);
    }
    let tally = simulate(&surge);
    assert_rules(&tally);
    let parts: Vec<_> = tally.streams.iter().map(|s| s.work).collect();
    assert!(jain_index(&parts) > 0.99, "{}", jain_index(&parts));
}

/// The same surge as over sockets in `crates/marlwinch/tests/overload.rs`, without a machine that may be busy: whoever is not
/// served within the time in the queue hears it then, and not later.
#[test]
fn rejections_come_when_the_time_in_the_queue_is_over() {
    /// What a client waits for its response.
    const TIMEOUT: Duration = Duration::from_secs(3);
    /// A request without a time of its own may wait for a quarter of what is left.
    const LONGEST: Duration = Duration::from_millis(750);
    let backend = BackendSpec { cores: 2, speed: 1.0, queue: 1000, degraded_above: 3.0, degradation: 2.0 };
    for rate in [100.0, 300.0, 900.0, 2_500.0] {
        for seed in 1..=4 {
            let streams = (0..4).map(|tenant| Stream {
                tenant,
                timeout: TIMEOUT,
                retry: ClientRetry::WhenAllowed(3),
                ..stream(rate / 4.0, ServiceTime::Exponential(0.06))
            });
            let mut surge = surge(&[backend; 2], 24, streams.collect());
            surge.seed = seed;
            let limits = LimitBounds { initial: 3.0, min: 3.0, max: 3.0, is_adaptive: false, nodes: 1.0 };
            let gate = surge.gate.as_mut().expect("a gate");
            gate.limits.bounds = Some(limits);
            gate.tenants = tenants(&[(Some(0.5), 0.0), (Some(0.3), 0.0), (Some(0.2), 0.0), (Some(0.0), 4.0)]);
            surge.settings.classes[0].deadline = TIMEOUT;
            let tally = simulate(&surge);
            assert_rules(&tally);
            let slowest = tally.streams.iter().map(|stream| stream.slowest_rejection).max();
            let rejections: u64 = tally.streams.iter().map(|stream| stream.rejections).sum();
            println!("{rate} a second, seed {seed}: {rejections} rejections, the slowest after {slowest:?}");
            assert!(rejections > 0, "{rate} a second, seed {seed}");
            assert!(slowest.is_some_and(|took| took <= LONGEST), "{rate}, seed {seed}: {slowest:?}");
        }
    }
}

#[test]
fn requests_with_the_least_value_for_their_time_are_rejected_first() {
    let mut surge = surge(&degrading_backends(), 30, Vec::new());
    surge.settings.classes.push(class(Repeat::Unsafe));
    if let Some(gate) = &mut surge.gate {
        gate.classes.push(class_settings("correct", 10.0));
    }
    let looks = stream(3000.0, ServiceTime::Fixed(0.02));
    surge.streams = vec![looks, Stream { class: 1, ..stream(300.0, ServiceTime::Fixed(0.02)) }];
    let tally = simulate(&surge);
    assert_rules(&tally);
    let correct = &tally.streams[1];
    assert!(
        correct.served as f64 > 0.99 * correct.arrived as f64,
        "{} of {}",
        correct.served,
        correct.arrived
    );
    assert!(tally.goodput(5, 30) > 0.9 * 800.0);
}

#[test]
fn client_retries_do_not_lower_the_goodput() {
    for retry in [ClientRetry::WhenAllowed(20), ClientRetry::AtOnce(50)] {
        let surging = Stream { retry, ..stream(2400.0, ServiceTime::Exponential(0.02)) };
        let tally = simulate(&surge(&degrading_backends(), 30, vec![surging]));
        assert_rules(&tally);
        assert!(tally.goodput(5, 29) > 0.9 * 800.0, "{retry:?}: {}", tally.goodput(5, 29));
        assert!(tally.swing(8, 29) < 0.25, "{retry:?}: swings by {}", tally.swing(8, 29));
    }
}

#[test]
fn a_backend_lost_during_a_surge_costs_only_its_own_part() {
    let mut surge = surge(&degrading_backends(), 50, vec![stream(4000.0, ServiceTime::Exponential(0.02))]);
    surge.faults = vec![fault(15.0, 2, FaultEvent::Crash), fault(30.0, 2, FaultEvent::Recover)];
    let tally = simulate(&surge);
    assert_rules(&tally);
    assert!(tally.goodput(18, 30) > 0.9 * 600.0, "without it {}", tally.goodput(18, 30));
    assert!(tally.goodput(38, 50) > 0.9 * 800.0, "with it again {}", tally.goodput(38, 50));
}

#[test]
fn a_backend_that_responds_with_errors_at_once_does_not_attract_load() {
    let mut surge = surge(&degrading_backends(), 40, vec![stream(400.0, ServiceTime::Exponential(0.02))]);
    surge.faults = vec![fault(10.0, 1, FaultEvent::StartErrors), fault(25.0, 1, FaultEvent::EndErrors)];
    let tally = simulate(&surge);
    assert_rules(&tally);
    assert!(
        tally.streams[0].failed + tally.streams[0].rejected < 150,
        "{} of 6,000",
        tally.streams[0].failed
    );
    assert!(tally.goodput(33, 40) > 0.95 * 400.0, "{}", tally.goodput(33, 40));
}

#[test]
fn weights_from_one_to_a_thousand_in_one_cluster() {
    let mut surge = surge(&[], 30, vec![stream(2000.0, ServiceTime::Exponential(0.02))]);
    let small = BackendSpec { queue: 20, ..BackendSpec::without_degradation(1) };
    surge.backends = vec![listed(small, 1.0, 0), listed(BackendSpec::without_degradation(1000), 1000.0, 0)];
    let tally = simulate(&surge);
    assert_rules(&tally);
    assert!(tally.streams[0].rejections + tally.streams[0].failed < 60, "1 in 1,000");
    let part = tally.backends[0].started as f64 / tally.streams[0].arrived as f64;
    assert!(part < 0.03, "the small one had {part}");
}

#[test]
fn backends_of_unequal_speed_are_detected() {
    let mut surge = surge(&[], 40, vec![stream(600.0, ServiceTime::Exponential(0.02))]);
    let slow = BackendSpec { speed: 0.25, ..BackendSpec::without_degradation(4) };
    // 250 a second altogether from the slow ones, 400 from the others; the file says nothing of it.
    let fast = BackendSpec::without_degradation(4);
    surge.backends =
        vec![listed(fast, 1.0, 0), listed(fast, 1.0, 0), listed(slow, 1.0, 1), listed(slow, 1.0, 1)];
    surge.streams[0].rate = 400.0;
    let tally = simulate(&surge);
    assert_rules(&tally);
    let slow: u64 = tally.backends[2..].iter().map(|backend| backend.started).sum();
    let part = slow as f64 / tally.streams[0].arrived as f64;
    assert!(part < 0.3, "the slow ones had {part}");
    assert!(tally.streams[0].rejected < tally.streams[0].arrived / 100, "{}", tally.streams[0].rejected);
}

#[test]
fn nodes_share_backends_without_any_communication() {
    for parts in [[0.25; 4], [0.85, 0.05, 0.05, 0.05]] {
        let stream_of = |(node, part): (usize, &f64)| Stream {
            node,
            ..stream(2400.0 * part, ServiceTime::Exponential(0.02))
        };
        let mut surge = surge(&degrading_backends(), 40, parts.iter().enumerate().map(stream_of).collect());
        surge.settings.nodes = 4;
        if let Some(gate) = &mut surge.gate {
            gate.limits.bounds = Some(LimitBounds { initial: 4.0, nodes: 4.0, ..ADAPTIVE });
        }
        let tally = simulate(&surge);
        assert_rules(&tally);
        assert!(tally.goodput(15, 40) > 0.85 * 800.0, "{parts:?}: {}", tally.goodput(15, 40));
    }
}

#[test]
fn a_fixed_limit_stays_and_no_limit_admits_everything() {
    let mut of = surge(&degrading_backends(), 20, vec![stream(8000.0, ServiceTime::Fixed(0.02))]);
    let fixed = LimitBounds { initial: 8.0, min: 1.0, max: 8.0, is_adaptive: false, nodes: 1.0 };
    let set = |of: &mut Surge, bounds| of.gate.iter_mut().for_each(|gate| gate.limits.bounds = bounds);
    set(&mut of, Some(fixed));
    let tally = simulate(&of);
    assert_rules(&tally);
    assert!(tally.backends.iter().all(|backend| backend.max_in_flight <= 8), "{:?}", tally.backends);
    set(&mut of, None);
    let bare = simulate(&of);
    assert!(bare.backends.iter().any(|backend| backend.max_in_flight > 100), "{:?}", bare.backends);
    assert!(bare.goodput(5, 20) < tally.goodput(5, 20), "which serves fewer");
}

/// A cluster and its load.
#[derive(Debug)]
struct Drawn {
    cores: Vec<(u32, f64)>,
    service_ms: f64,
    load: f64,
    exponential: bool,
    seed: u64,
}

prop_compose! {
    fn drawn()(
        cores in prop::collection::vec((1u32..9, 0.5f64..2.0), 1..6),
        service_ms in 5f64..60.0,
        load in 0.3f64..8.0,
        exponential in any::<bool>(),
        seed in any::<u64>(),
    ) -> Drawn {
        Drawn { cores, service_ms, load, exponential, seed }
    }
}

/// The requests served in time, relative to a fluid: all that arrive, or the capacity of the backends.
fn beside_a_fluid(drawn: &Drawn) -> (f64, Tally) {
    let service = drawn.service_ms / 1000.0;
    let able: f64 = drawn.cores.iter().map(|(cores, speed)| f64::from(*cores) * speed / service).sum();
    let spec = |(cores, speed): &(u32, f64)| BackendSpec {
        speed: *speed,
        degraded_above: 8.0,
        degradation: 1.5,
        ..BackendSpec::without_degradation(*cores)
    };
    let backends: Vec<_> = drawn.cores.iter().map(spec).collect();
    let service =
        if drawn.exponential { ServiceTime::Exponential(service) } else { ServiceTime::Fixed(service) };
    let surge = Surge { seed: drawn.seed, ..surge(&backends, 25, vec![stream(able * drawn.load, service)]) };
    let tally = simulate(&surge);
    (tally.goodput(10, 25) / (able * drawn.load.min(1.0)), tally)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, max_shrink_iters: 0, ..ProptestConfig::default() })]
    /// 0.8 of it, for chance and for learning. The cases are the same each time: see the soak for others.
    #[test]
    fn close_to_what_a_fluid_would_have(drawn in drawn()) {
        let (part, tally) = beside_a_fluid(&drawn);
        prop_assert!(tally.violations.is_empty(), "{:?}", tally.violations.first());
        prop_assert!(part > 0.8, "{part} of it: limits {:?}", tally.limits);
    }
}

/// Of many clusters, how many fall short, and by how much: `docs/performance.md` has the figures and the command. Those
/// that do are one box of one core, whose limit settles above where it degrades.
#[test]
#[ignore = "a soak of five minutes"]
fn few_of_a_thousand_clusters_fall_short() {
    let config = ProptestConfig::default();
    println!("seed {:?}", config.rng_seed);
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let mut short = Vec::new();
    for _ in 0..1200 {
        let drawn = drawn().new_tree(&mut runner).expect("a case").current();
        let (part, tally) = beside_a_fluid(&drawn);
        assert!(tally.violations.is_empty(), "{drawn:?}: {:?}", tally.violations.first());
        assert!(part > 0.5, "{part}: {drawn:?}, limits {:?}", tally.limits);
        if part <= 0.8 {
            println!("{part:.3} {drawn:?} {:?}", tally.limits);
            short.push(part);
        }
    }
    assert!(short.len() <= 12, "{} of 1,200: {short:?}", short.len());
}

#[test]
fn the_same_surge_and_seed_give_the_same_result() {
    let of = surge(&degrading_backends(), 5, vec![stream(3000.0, ServiceTime::Exponential(0.02))]);
    let (one, two) = (simulate(&of), simulate(&of));
    assert_eq!(
        (one.served_by_second, one.backends, one.attempts, one.additional_attempts),
        (two.served_by_second, two.backends, two.attempts, two.additional_attempts)
    );
}
