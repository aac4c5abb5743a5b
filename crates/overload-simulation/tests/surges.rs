//! Simulations of difficult overload scenarios, with bounds for their results.

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

/// The default brownout steps of operators' settings.
fn brownout() -> Vec<BrownoutStep> {
    let step = |threshold, release_threshold, hold_s, action| BrownoutStep {
        threshold,
        release_threshold,
        hold_time: Duration::from_secs(hold_s),
        action,
    };
    vec![
        step(0.02, 0.005, 1, BrownoutAction::DisableHedging),
        step(0.1, 0.02, 2, BrownoutAction::DisableRetries),
    ]
}

/// A surge with one class and without tenants.
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

fn assert_no_violations(tally: &Tally) {
    assert!(tally.violations.is_empty(), "{:?}", &tally.violations[..tally.violations.len().min(5)]);
}

/// Four backends of four cores that are half as fast when more than four requests are queued per core.
fn degrading_backends() -> Vec<BackendSpec> {
    vec![BackendSpec { cores: 4, speed: 1.0, queue: 1000, degraded_above: 4.0, degradation: 2.0 }; 4]
}

#[test]
fn goodput_stays_near_capacity_at_any_load() {
    // 16 cores with 20 ms per request: 800 requests per second.
    for times in [2.0, 5.0, 10.0, 20.0] {
        for service in [ServiceTime::Fixed(0.02), ServiceTime::Exponential(0.02)] {
            let tally = simulate(&surge(&degrading_backends(), 30, vec![stream(800.0 * times, service)]));
            assert_no_violations(&tally);
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
        assert_no_violations(&tally);
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
    assert_no_violations(&tally);
    let all_served_from = |from: usize| tally.served_by_second[from..39].iter().all(|served| *served > 300);
    assert!(all_served_from(22), "{:?}", &tally.served_by_second[18..30]);
    assert_eq!(tally.brownout_level, 0, "no brownout is left active");
}

#[test]
fn a_limit_learned_at_low_load_rises_for_a_surge() {
    let backends = vec![BackendSpec::without_degradation(64); 3];
    // 192 cores with 40 ms per request: 4,800 requests per second.
    let surge_stream = Stream { from: 60.0, ..stream(4300.0, ServiceTime::Fixed(0.04)) };
    let tally = simulate(&surge(&backends, 75, vec![stream(5.0, ServiceTime::Fixed(0.04)), surge_stream]));
    assert_no_violations(&tally);
    let surge_tally = &tally.streams[1];
    let rejected_share = surge_tally.rejected as f64 / surge_tally.arrived as f64;
    assert!(rejected_share < 0.01, "{rejected_share} of the requests rejected");
    assert!(tally.goodput(65, 75) > 0.98 * 4300.0, "{}", tally.goodput(65, 75));
}

#[test]
fn backends_with_many_cores_are_used_from_the_first_second() {
    // Threaded backends as in a trial: 40 ms, many requests at once. 2,300 requests per second are about 31
    // in flight per backend, well above the initial limit of 16.
    let tally = simulate(&surge(
        &[BackendSpec::without_degradation(100); 3],
        6,
        vec![stream(2300.0, ServiceTime::Fixed(0.04))],
    ));
    assert_no_violations(&tally);
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
    // A database that all backends use takes ten times as long for 20 s.
    for number in 0..3 {
        surge.faults.extend([
            fault(20.0, number, FaultEvent::Slow(10.0)),
            fault(40.0, number, FaultEvent::Slow(1.0)),
        ]);
    }
    let tally = simulate(&surge);
    assert_no_violations(&tally);
    assert!(tally.goodput(25, 39) > 0.95 * 600.0, "during the slowdown {}", tally.goodput(25, 39));
    assert!(tally.goodput(45, 60) > 0.97 * 600.0, "after it {}", tally.goodput(45, 60));
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
    // Quick requests need 4 of the 64 cores, slow ones 36.
    let quick = stream(2000.0, ServiceTime::Exponential(0.002));
    let timeout = Duration::from_secs(5);
    let slow = Stream { class: 1, timeout, ..stream(40.0, ServiceTime::Exponential(0.9)) };
    surge.streams = vec![quick.clone(), slow.clone()];
    let tally = simulate(&surge);
    assert_no_violations(&tally);
    let lost: u64 = tally.streams.iter().map(|s| s.rejected + s.failed).sum();
    assert!(lost < 40, "{lost} of {:?}", tally.streams.iter().map(|s| s.arrived).collect::<Vec<_>>());
    // Slow requests at 5.6 times the capacity: quick ones are still served.
    surge.streams = vec![quick, Stream { rate: 400.0, ..slow }];
    let tally = simulate(&surge);
    assert_no_violations(&tally);
    let work: f64 = tally.streams.iter().map(|s| s.work).sum::<f64>() / 40.0;
    assert!(work > 0.8 * 64.0, "{work} of 64 cores");
    let quick = &tally.streams[0];
    let served_share = quick.served as f64 / quick.arrived as f64;
    assert!(
        served_share > 0.95,
        "quick requests have more value for their time: {served_share}, work {work}, limits {:?}",
        tally.limits
    );
}

/// Tenants with these shares and guaranteed rates.
fn tenants(shares: &[(Option<f64>, f64)]) -> Vec<TenantSettings> {
    let tenant = |(number, (share, guaranteed_rate)): (usize, &(Option<f64>, f64))| TenantSettings {
        name: format!("t{number}"),
        share: *share,
        guaranteed_rate: *guaranteed_rate,
    };
    shares.iter().enumerate().map(tenant).collect()
}

#[test]
fn tenants_get_their_shares_and_guaranteed_rates_at_any_rate_of_the_others() {
    let service = ServiceTime::Exponential(0.02);
    let of = |tenant, rate| Stream { tenant, ..stream(rate, service) };
    // The fourth tenant gets the remaining share of 10%, the last one only its guaranteed rate.
    let streams = vec![of(0, 4000.0), of(1, 2000.0), of(2, 1500.0), of(3, 1000.0), of(4, 20.0)];
    let mut surge = surge(&degrading_backends(), 40, streams);
    let shares = [(Some(0.4), 0.0), (Some(0.3), 0.0), (Some(0.2), 0.0), (None, 0.0), (Some(0.0), 25.0)];
    if let Some(gate) = &mut surge.gate {
        gate.tenants = tenants(&shares);
    }
    let tally = simulate(&surge);
    assert_no_violations(&tally);
    let guaranteed = &tally.streams[4];
    assert!(
        guaranteed.served as f64 > 0.99 * guaranteed.arrived as f64,
        "{} of {}",
        guaranteed.served,
        guaranteed.arrived
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
    assert_no_violations(&tally);
    for small in &tally.streams[..8] {
        assert_eq!(
            (small.rejections, small.failed),
            (0, 0),
            "a tenant that sends less than its share is not rejected"
        );
    }
    assert!(
        tally.goodput(5, 20) > 0.9 * 800.0,
        "unused shares are available to others: {}",
        tally.goodput(5, 20)
    );
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
    assert_no_violations(&tally);
    let parts: Vec<_> = tally.streams.iter().map(|s| s.work).collect();
    assert!(jain_index(&parts) > 0.99, "{}", jain_index(&parts));
}

/// A request that can't be served is rejected at the end of its maximum time in the queue, and not later.
/// This is the surge of `crates/marlwinch/tests/overload.rs`, which uses sockets, without the noise of a busy
/// machine.
#[test]
fn rejections_are_not_later_than_the_maximum_queue_time() {
    /// The time that a client waits for a response.
    const TIMEOUT: Duration = Duration::from_secs(3);
    /// Without a configured queue time, a request is queued for at most a quarter of its remaining time.
    const MAX_QUEUE_TIME: Duration = Duration::from_millis(750);
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
            assert_no_violations(&tally);
            let slowest = tally.streams.iter().map(|stream| stream.slowest_rejection).max();
            let rejections: u64 = tally.streams.iter().map(|stream| stream.rejections).sum();
            println!(
                "{rate} requests/s, seed {seed}: {rejections} rejections, the slowest after {slowest:?}"
            );
            assert!(rejections > 0, "{rate} requests/s, seed {seed}");
            assert!(slowest.is_some_and(|took| took <= MAX_QUEUE_TIME), "{rate}, seed {seed}: {slowest:?}");
        }
    }
}

#[test]
fn requests_with_the_lowest_value_for_their_time_are_rejected_first() {
    let mut surge = surge(&degrading_backends(), 30, Vec::new());
    surge.settings.classes.push(class(Repeat::Unsafe));
    if let Some(gate) = &mut surge.gate {
        gate.classes.push(class_settings("correct", 10.0));
    }
    let low_value = stream(3000.0, ServiceTime::Fixed(0.02));
    surge.streams = vec![low_value, Stream { class: 1, ..stream(300.0, ServiceTime::Fixed(0.02)) }];
    let tally = simulate(&surge);
    assert_no_violations(&tally);
    let high_value = &tally.streams[1];
    assert!(
        high_value.served as f64 > 0.99 * high_value.arrived as f64,
        "{} of {}",
        high_value.served,
        high_value.arrived
    );
    assert!(tally.goodput(5, 30) > 0.9 * 800.0);
}

#[test]
fn client_retries_do_not_lower_the_goodput() {
    for retry in [ClientRetry::WhenAllowed(20), ClientRetry::AtOnce(50)] {
        let surging = Stream { retry, ..stream(2400.0, ServiceTime::Exponential(0.02)) };
        let tally = simulate(&surge(&degrading_backends(), 30, vec![surging]));
        assert_no_violations(&tally);
        assert!(tally.goodput(5, 29) > 0.9 * 800.0, "{retry:?}: {}", tally.goodput(5, 29));
        assert!(tally.swing(8, 29) < 0.25, "{retry:?}: swings by {}", tally.swing(8, 29));
    }
}

#[test]
fn a_crash_during_a_surge_costs_only_the_capacity_of_that_backend() {
    let mut surge = surge(&degrading_backends(), 50, vec![stream(4000.0, ServiceTime::Exponential(0.02))]);
    surge.faults = vec![fault(15.0, 2, FaultEvent::Crash), fault(30.0, 2, FaultEvent::Recover)];
    let tally = simulate(&surge);
    assert_no_violations(&tally);
    assert!(tally.goodput(18, 30) > 0.9 * 600.0, "without the backend {}", tally.goodput(18, 30));
    assert!(tally.goodput(38, 50) > 0.9 * 800.0, "after its recovery {}", tally.goodput(38, 50));
}

#[test]
fn a_backend_that_responds_with_errors_at_once_does_not_attract_load() {
    let mut surge = surge(&degrading_backends(), 40, vec![stream(400.0, ServiceTime::Exponential(0.02))]);
    surge.faults = vec![fault(10.0, 1, FaultEvent::StartErrors), fault(25.0, 1, FaultEvent::EndErrors)];
    let tally = simulate(&surge);
    assert_no_violations(&tally);
    assert!(
        tally.streams[0].failed + tally.streams[0].rejected < 150,
        "{} of 6,000",
        tally.streams[0].failed
    );
    assert!(tally.goodput(33, 40) > 0.95 * 400.0, "{}", tally.goodput(33, 40));
}

#[test]
fn backends_with_weights_of_one_and_a_thousand_get_traffic_in_proportion() {
    let mut surge = surge(&[], 30, vec![stream(2000.0, ServiceTime::Exponential(0.02))]);
    let small = BackendSpec { queue: 20, ..BackendSpec::without_degradation(1) };
    surge.backends = vec![listed(small, 1.0, 0), listed(BackendSpec::without_degradation(1000), 1000.0, 0)];
    let tally = simulate(&surge);
    assert_no_violations(&tally);
    assert!(tally.streams[0].rejections + tally.streams[0].failed < 60, "1 in 1,000");
    let share = tally.backends[0].started as f64 / tally.streams[0].arrived as f64;
    assert!(share < 0.03, "the small backend got {share}");
}

#[test]
fn backends_of_unequal_speed_are_detected() {
    let mut surge = surge(&[], 40, vec![stream(600.0, ServiceTime::Exponential(0.02))]);
    let slow = BackendSpec { speed: 0.25, ..BackendSpec::without_degradation(4) };
    // The slow backends can serve 100 requests per second together, the fast ones 400. All have the same
    // weight.
    let fast = BackendSpec::without_degradation(4);
    surge.backends =
        vec![listed(fast, 1.0, 0), listed(fast, 1.0, 0), listed(slow, 1.0, 1), listed(slow, 1.0, 1)];
    surge.streams[0].rate = 400.0;
    let tally = simulate(&surge);
    assert_no_violations(&tally);
    let slow: u64 = tally.backends[2..].iter().map(|backend| backend.started).sum();
    let share = slow as f64 / tally.streams[0].arrived as f64;
    assert!(share < 0.3, "the slow backends got {share}");
    assert!(tally.streams[0].rejected < tally.streams[0].arrived / 100, "{}", tally.streams[0].rejected);
}

#[test]
fn nodes_share_backends_without_any_communication() {
    for shares in [[0.25; 4], [0.85, 0.05, 0.05, 0.05]] {
        let stream_of = |(node, share): (usize, &f64)| Stream {
            node,
            ..stream(2400.0 * share, ServiceTime::Exponential(0.02))
        };
        let mut surge = surge(&degrading_backends(), 40, shares.iter().enumerate().map(stream_of).collect());
        surge.settings.nodes = 4;
        if let Some(gate) = &mut surge.gate {
            gate.limits.bounds = Some(LimitBounds { initial: 4.0, nodes: 4.0, ..ADAPTIVE });
        }
        let tally = simulate(&surge);
        assert_no_violations(&tally);
        assert!(tally.goodput(15, 40) > 0.85 * 800.0, "{shares:?}: {}", tally.goodput(15, 40));
    }
}

#[test]
fn a_fixed_limit_is_not_exceeded_and_gives_more_goodput_than_no_limit() {
    let mut surge = surge(&degrading_backends(), 20, vec![stream(8000.0, ServiceTime::Fixed(0.02))]);
    let fixed = LimitBounds { initial: 8.0, min: 1.0, max: 8.0, is_adaptive: false, nodes: 1.0 };
    let set_bounds =
        |surge: &mut Surge, bounds| surge.gate.iter_mut().for_each(|gate| gate.limits.bounds = bounds);
    set_bounds(&mut surge, Some(fixed));
    let tally = simulate(&surge);
    assert_no_violations(&tally);
    assert!(tally.backends.iter().all(|backend| backend.max_in_flight <= 8), "{:?}", tally.backends);
    set_bounds(&mut surge, None);
    let unlimited = simulate(&surge);
    assert!(unlimited.backends.iter().any(|backend| backend.max_in_flight > 100), "{:?}", unlimited.backends);
    assert!(unlimited.goodput(5, 20) < tally.goodput(5, 20), "no limit lowers the goodput");
}

/// A random cluster and its load.
#[derive(Debug)]
struct RandomCluster {
    cores: Vec<(u32, f64)>,
    service_ms: f64,
    load: f64,
    exponential: bool,
    seed: u64,
}

prop_compose! {
    fn random_cluster()(
        cores in prop::collection::vec((1u32..9, 0.5f64..2.0), 1..6),
        service_ms in 5f64..60.0,
        load in 0.3f64..8.0,
        exponential in any::<bool>(),
        seed in any::<u64>(),
    ) -> RandomCluster {
        RandomCluster { cores, service_ms, load, exponential, seed }
    }
}

/// The goodput of a cluster, relative to that of a fluid model: the smaller of the arrival rate and the total
/// capacity.
fn relative_to_fluid(cluster: &RandomCluster) -> (f64, Tally) {
    let service = cluster.service_ms / 1000.0;
    let capacity: f64 = cluster.cores.iter().map(|(cores, speed)| f64::from(*cores) * speed / service).sum();
    let spec = |(cores, speed): &(u32, f64)| BackendSpec {
        speed: *speed,
        degraded_above: 8.0,
        degradation: 1.5,
        ..BackendSpec::without_degradation(*cores)
    };
    let backends: Vec<_> = cluster.cores.iter().map(spec).collect();
    let service =
        if cluster.exponential { ServiceTime::Exponential(service) } else { ServiceTime::Fixed(service) };
    let surge =
        Surge { seed: cluster.seed, ..surge(&backends, 25, vec![stream(capacity * cluster.load, service)]) };
    let tally = simulate(&surge);
    (tally.goodput(10, 25) / (capacity * cluster.load.min(1.0)), tally)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, max_shrink_iters: 0, ..ProptestConfig::default() })]
    /// The difference to 1 allows for random variation and for the time in which limits adapt. The cases are
    /// the same in each run; the soak test below draws others.
    #[test]
    fn goodput_is_at_least_0_8_of_a_fluid_model(cluster in random_cluster()) {
        let (share, tally) = relative_to_fluid(&cluster);
        prop_assert!(tally.violations.is_empty(), "{:?}", tally.violations.first());
        prop_assert!(share > 0.8, "{share} of the fluid model, limits {:?}", tally.limits);
    }
}

/// Of 1,200 random clusters at most 12 have less than 0.8 of the goodput of a fluid model: clusters of a
/// single backend with one core, whose limit settles above the queue length at which it degrades.
/// `docs/performance.md` has the results and the command.
#[test]
#[ignore = "a soak of five minutes"]
fn few_of_a_thousand_clusters_have_less_goodput() {
    let config = ProptestConfig::default();
    println!("seed {:?}", config.rng_seed);
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let mut below = Vec::new();
    for _ in 0..1200 {
        let cluster = random_cluster().new_tree(&mut runner).expect("a case").current();
        let (share, tally) = relative_to_fluid(&cluster);
        assert!(tally.violations.is_empty(), "{cluster:?}: {:?}", tally.violations.first());
        assert!(share > 0.5, "{share}: {cluster:?}, limits {:?}", tally.limits);
        if share <= 0.8 {
            println!("{share:.3} {cluster:?} {:?}", tally.limits);
            below.push(share);
        }
    }
    assert!(below.len() <= 12, "{} of 1,200: {below:?}", below.len());
}

#[test]
fn the_same_surge_and_seed_give_the_same_result() {
    let surge = surge(&degrading_backends(), 5, vec![stream(3000.0, ServiceTime::Exponential(0.02))]);
    let (one, two) = (simulate(&surge), simulate(&surge));
    assert_eq!(
        (one.served_by_second, one.backends, one.attempts, one.additional_attempts),
        (two.served_by_second, two.backends, two.attempts, two.additional_attempts)
    );
}
