//! The input of a simulation: the fleet, its load and its faults. Scenarios can be generated from a seed.

use join_up_to::{AttemptPolicy, Class, Limits, Prices, Repeat, ReportSource, Rules, Scope, Settings};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The number of zones of a generated fleet.
const ZONES: u8 = 4;

/// The properties of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeSpec {
    /// The zone.
    pub zone: u8,
    /// The relative amount of traffic that it receives.
    pub share: f64,
}

/// The properties of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendSpec {
    /// The zone.
    pub zone: u8,
    /// The number of the machine kind in the list of backends.
    pub kind: u8,
    /// The number of cores, each of which runs one request at a time.
    pub cores: u32,
    /// The speed of its cores, in seconds of work per second.
    pub speed: f64,
    /// The maximum number of queued requests; more are rejected.
    pub queue: u32,
    /// The maximum number of connections; more are refused.
    pub connections: u32,
}

/// The degradation of a backend under overload. Durations are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadCurve {
    /// It degrades when its mean number of jobs exceeds the number of cores by this multiple of their square
    /// root.
    pub threshold: f64,
    /// The window of that mean; its time constant is half of this.
    pub load_window: f64,
    /// The factor by which work takes longer while it is degraded.
    pub slowdown: f64,
    /// The minimum duration of a degradation, and the window of the mean utilization of its cores.
    pub recovery_window: f64,
    /// The mean utilization, as a fraction, below which it recovers.
    pub recovery_utilization: f64,
    /// The maximum duration of a degradation, after which it recovers in any case.
    pub max_duration: f64,
}

/// The load reports of backends. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReporting {
    /// The interval of load samples.
    pub period: f64,
    /// The time from a sample until responses report it.
    pub delay: f64,
}

/// A temporary increase of traffic. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Burst {
    /// The start.
    pub from: f64,
    /// The end.
    pub to: f64,
    /// The rate after the ramp, as a multiple of the normal rate.
    pub factor: f64,
    /// The time over which the rate rises linearly.
    pub ramp: f64,
}

/// What clients do after a rejection or a failure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientBehavior {
    /// The maximum number of retries.
    pub retries: u32,
    /// The delay before a retry, in seconds.
    pub wait: f64,
    /// The fraction of retries that wait for the retry-after time of the rejection instead.
    pub honors_retry_after: f64,
}

/// A temporary fault of some backends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// The index of the first affected backend.
    pub first: usize,
    /// The number of affected backends, which are consecutive.
    pub backends: usize,
    /// The start, in seconds.
    pub from: f64,
    /// The end, in seconds.
    pub to: f64,
    /// The kind of fault.
    pub kind: FaultKind,
}

/// The effect of a fault on a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Work takes longer by this factor.
    Slow(f64),
    /// It responds to each attempt with an immediate error.
    Errors,
    /// It neither responds nor accepts connections, and restarts at the end.
    Unresponsive,
}

/// A fleet with its load and its faults. Times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The seed of all random draws.
    pub seed: u64,
    /// How long new clients arrive.
    pub length: f64,
    /// The normal rate of requests per second over all nodes, without client retries.
    pub rate: f64,
    /// A burst of requests; `None` for a constant rate.
    pub burst: Option<Burst>,
    /// The nodes.
    pub nodes: Vec<NodeSpec>,
    /// The backends.
    pub backends: Vec<BackendSpec>,
    /// The degradation of backends under overload; `None` for none.
    pub overload: Option<OverloadCurve>,
    /// The mean work of a request, in seconds on a core of speed 1.
    pub work: f64,
    /// The standard deviation of the work, relative to the mean.
    pub work_deviation: f64,
    /// The work of a backend for a new connection, in seconds on a core of speed 1.
    pub handshake: f64,
    /// The one-way latency between zones.
    pub cross_zone_latency: f64,
    /// The load reports of backends.
    pub reporting: LoadReporting,
    /// What clients do after a rejection or a failure.
    pub clients: ClientBehavior,
    /// The faults.
    pub faults: Vec<Fault>,
    /// The settings of the nodes' balancers; each node sets its own number and zone.
    pub settings: Settings,
    /// The relative frequency of each class.
    pub class_mix: Vec<f64>,
}

impl Scenario {
    /// Generates a fleet like those that operators run: 240 to 330 nodes of uneven traffic, and 140 to 200
    /// backends of two kinds in four zones, at a load of 60% to 74% of their capacity and with a burst of
    /// 150% of that for some seconds.
    pub fn generate(seed: u64) -> Self {
        // The scenario of a seed depends on the order of the draws.
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let nodes = generate_nodes(240 + seed % 91, &mut random);
        let backends = generate_backends(&mut random);
        let work = random.random_range(0.059..0.11);
        let capacity = capacity(&backends) / work;
        let from = random.random_range(5.0..8.0);
        let ramp = random.random_range(1.5..3.5);
        let overload = generate_overload_curve(&mut random);
        Scenario {
            seed,
            length: 20.0,
            rate: capacity * random.random_range(0.6..0.74),
            burst: Some(Burst { from, to: from + random.random_range(4.0..7.0), factor: 1.5, ramp }),
            overload: Some(overload),
            work,
            work_deviation: random.random_range(0.25..0.7),
            handshake: random.random_range(0.021..0.034),
            cross_zone_latency: random.random_range(0.0014..0.0026),
            reporting: LoadReporting {
                period: random.random_range(0.35..1.4),
                delay: random.random_range(0.11..0.43),
            },
            clients: ClientBehavior {
                retries: random.random_range(0..3),
                wait: random.random_range(0.02..0.16),
                honors_retry_after: random.random_range(0.3..0.9),
            },
            faults: Vec::new(),
            settings: settings(nodes.len() as u32),
            class_mix: vec![0.68, 0.32],
            nodes,
            backends,
        }
    }

    /// The scenario with the nodes and backends divided by `divisor`, and the rate scaled by capacity.
    pub fn scaled_down(mut self, divisor: usize) -> Self {
        let before = self.capacity();
        self.nodes.truncate((self.nodes.len() / divisor).max(1));
        self.backends.truncate((self.backends.len() / divisor).max(1));
        self.settings.nodes = self.nodes.len() as u32;
        self.rate *= self.capacity() / before;
        self
    }

    /// The total capacity of the backends, in seconds of work per second.
    pub fn capacity(&self) -> f64 {
        capacity(&self.backends)
    }

    /// The rate of requests per second at a time, without client retries.
    pub fn rate_at(&self, at: f64) -> f64 {
        let burst = self.burst.filter(|burst| (burst.from..burst.to).contains(&at));
        let progress = |burst: Burst| ((at - burst.from) / burst.ramp.max(1e-3)).min(1.0);
        self.rate * burst.map_or(1.0, |burst| 1.0 + (burst.factor - 1.0) * progress(burst))
    }
}

fn capacity(backends: &[BackendSpec]) -> f64 {
    backends.iter().map(|backend| f64::from(backend.cores) * backend.speed).sum::<f64>()
}

fn generate_nodes(count: u64, random: &mut Pcg64Mcg) -> Vec<NodeSpec> {
    #[expect(clippy::expect_used, reason = "a standard deviation of 0.7 is finite and positive")]
    let shares = LogNormal::new(0.0, 0.7).expect("a finite deviation");
    (0..count)
        .map(|_| NodeSpec { zone: random.random_range(0..ZONES), share: shares.sample(random) })
        .collect()
}

fn generate_backends(random: &mut Pcg64Mcg) -> Vec<BackendSpec> {
    let fast = random.random_range(0.85..1.1);
    let slow = random.random_range(0.51..0.69);
    let count = random.random_range(140..=200);
    let spec = |_| {
        let kind = u8::from(random.random_bool(0.46));
        BackendSpec {
            zone: random.random_range(0..ZONES),
            kind,
            cores: 4,
            speed: if kind == 0 { fast } else { slow } * random.random_range(0.85..1.15),
            queue: 1000,
            connections: 76,
        }
    };
    (0..count).map(spec).collect()
}

fn generate_overload_curve(random: &mut Pcg64Mcg) -> OverloadCurve {
    OverloadCurve {
        threshold: random.random_range(4.0..7.0),
        load_window: random.random_range(1.5..2.5),
        slowdown: random.random_range(2.0..3.0),
        recovery_window: random.random_range(2.4..4.8),
        recovery_utilization: random.random_range(0.25..0.4),
        max_duration: random.random_range(15.0..33.0),
    }
}

/// Balancer settings with a keyed and an unsafe class, load reports in responses, cancellation and hedging.
fn settings(nodes: u32) -> Settings {
    let ms = Duration::from_millis;
    let class = |latency_target, deadline, value, repeat| Class {
        latency_target: ms(latency_target),
        latency_target_stretch: 0.0,
        deadline: ms(deadline),
        value,
        late_value: 0.0,
        repeat,
        streamed: false,
        attempt_policy: AttemptPolicy::default(),
    };
    Settings {
        nodes,
        classes: vec![
            class(400, 1000, 10.0, Repeat::Keyed { scope: Scope::Zone, window: ms(600) }),
            class(500, 2500, 2.0, Repeat::Unsafe),
        ],
        reports: ReportSource::Answers,
        limits: Limits {
            max_attempts: 3,
            cancel: true,
            probes: true,
            parallel_attempts: true,
            max_retry_after: Some(ms(2000)),
            connect_timeout: ms(200),
        },
        rules: Rules {
            drain_grace: ms(2000),
            initial_capacity: 0.32,
            slow_start: ms(7800),
            overload_factor: 4.0,
            overload_time: ms(1500),
            list_request_interval: ms(10_000),
        },
        prices: Prices { probe: 0.05, cross_zone: 0.01, waste: 0.04, late_failure: 0.03 },
        tick: ms(5),
        ..Settings::default()
    }
}
