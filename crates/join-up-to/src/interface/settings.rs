//! The settings of a node: the site, its rules, and how results are scored.

use super::class::{AttemptPolicy, Class, Hedging, Repeat};
use std::time::Duration;

/// The maximum duration of a setting or a request. Longer ones are clamped, so that sums of them don't
/// overflow.
pub const MAX_DURATION: Duration = Duration::from_secs(86_400);

/// Numbers of settings are clamped to this value.
const MAX_NUMBER: f64 = 1e9;

/// The settings of a node: where it is, what it may do, and how results are scored.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The number of nodes that the requests are distributed over, including this one; at least 1.
    pub nodes: u32,
    /// The index of this node among them, from 0.
    pub node: u32,
    /// The number of the zone this node is in.
    pub zone: u8,
    /// The classes of requests; events refer to them by index.
    pub classes: Vec<Class>,
    /// The tenants; events refer to them by index. Empty if there are none.
    pub tenants: Vec<Tenant>,
    /// The value of a response beyond its tenant's share, as a fraction of the value of its class.
    pub over_share_value: f64,
    /// Whether the score weights requests by their cost instead of counting them.
    pub value_by_cost: bool,
    /// Whether load reports come with responses, with probe results only, or not at all.
    pub reports: ReportSource,
    /// What the site permits its nodes to do.
    pub limits: Limits,
    /// The parameters of the four rules.
    pub rules: Rules,
    /// The deductions from the score, as fractions of the service.
    pub prices: Prices,
    /// The weights of the parts of the score.
    pub goal: Goal,
    /// Whether the node must request the server list; otherwise changes are pushed.
    pub list_on_request: bool,
    /// The minimum time between two batches of events, which is the precision of timers.
    pub tick: Duration,
    /// Whether the capacity of servers is learned or provided.
    pub capacity_source: CapacitySource,
}

/// The source of the capacity of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CapacitySource {
    /// The balancer learns up to which load responses are in time, and rejects requests that would be late.
    #[default]
    Learned,
    /// The capacity is provided by [`Event::Capacity`](super::Event::Capacity). The sender of that event
    /// queues requests for which there is no capacity.
    Provided,
}

/// The rate and the share of the service that a tenant is entitled to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second within the tenant's share, summed over all nodes.
    pub allowance_per_s: f64,
    /// The tenant's fraction of the service, from 0 to 1.
    pub share: f64,
}

/// How servers report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// Load reports come with responses and with probe results.
    Answers,
    /// Load reports come with probe results only.
    Probes,
    /// Servers do not report their load.
    None,
}

/// What the site permits its nodes to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The maximum number of attempts of a request, including the first; at least 1.
    pub max_attempts: u32,
    /// Whether an attempt in flight may be cancelled.
    pub cancel: bool,
    /// Whether the node may request load reports by probes.
    pub probes: bool,
    /// Whether two attempts of a request may be in flight at once.
    pub parallel_attempts: bool,
    /// The longest wait after a rejection that clients respect; `None` if they are not asked to wait.
    pub max_retry_after: Option<Duration>,
    /// The time-out for establishing a connection.
    pub connect_timeout: Duration,
}

/// The parameters of the four rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Rule 3: how long a node may still send to a server after the list shows it as draining or removed.
    pub drain_grace: Duration,
    /// Rule 4: the fraction of its full capacity that a server has at least when it starts.
    pub initial_capacity: f64,
    /// Rule 4: the duration of slow start, after which a server has its full capacity.
    pub slow_start: Duration,
    /// Rule 4: a server in slow start collapses when it receives more than this multiple of its current
    /// capacity ...
    pub overload_factor: f64,
    /// ... for this time.
    pub overload_time: Duration,
    /// If the list is not pushed: the maximum time without a request for it or a subscription.
    pub list_request_interval: Duration,
}

/// The deductions from the score.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// The deduction, as a fraction of the service, if there is one probe per request.
    pub probe: f64,
    /// The same if each request has one attempt that crosses zones.
    pub cross_zone: f64,
    /// The same if as much work is done without a response as was requested.
    pub waste: f64,
    /// The same if all requests fail only after their latency target.
    pub late_failure: f64,
}

/// The weights of the parts of the score.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Goal {
    /// The weight of the result over the whole time.
    pub whole: f64,
    /// The weight of the worst period.
    pub worst_window: f64,
    /// The weight of the worst-served class.
    pub worst_class: f64,
    /// The weight of the worst-served tenant, within its share.
    pub worst_tenant: f64,
}

impl Settings {
    /// Whether servers report their load to probes only, and probes are permitted.
    pub fn learns_load_from_probes(&self) -> bool {
        self.reports == ReportSource::Probes && self.limits.probes
    }

    /// The same settings with invalid values replaced by the nearest valid ones: durations of at most
    /// [`MAX_DURATION`], finite numbers that are not negative, at least one node, one class and one attempt.
    pub fn clamped(mut self) -> Self {
        if self.classes.is_empty() {
            self.classes = Settings::default().classes;
        }
        self.durations().into_iter().for_each(|duration| *duration = (*duration).min(MAX_DURATION));
        for number in self.numbers() {
            *number = if number.is_finite() { number.clamp(0.0, MAX_NUMBER) } else { 0.0 };
        }
        for class in &mut self.classes {
            class.attempt_policy.max_attempts = class.attempt_policy.max_attempts.map(|max| max.max(1));
        }
        self.rules.initial_capacity = self.rules.initial_capacity.min(1.0);
        self.limits.max_attempts = self.limits.max_attempts.max(1);
        self.nodes = self.nodes.max(1);
        self
    }

    /// The durations that [`Settings::clamped`] limits.
    fn durations(&mut self) -> Vec<&mut Duration> {
        let (rules, limits) = (&mut self.rules, &mut self.limits);
        let mut all = vec![&mut rules.drain_grace, &mut rules.slow_start, &mut rules.overload_time];
        all.extend([&mut rules.list_request_interval, &mut limits.connect_timeout, &mut self.tick]);
        all.extend(&mut limits.max_retry_after);
        for class in &mut self.classes {
            all.extend([&mut class.latency_target, &mut class.deadline]);
            if let Repeat::Keyed { window, .. } = &mut class.repeat {
                all.push(window);
            }
            let policy = &mut class.attempt_policy;
            all.extend(policy.attempt_timeout.iter_mut().chain(&mut policy.retry_after));
            if let Some(backoff) = &mut policy.backoff {
                all.extend([&mut backoff.initial, &mut backoff.max]);
            }
            if let Hedging::After { delay, .. } = &mut policy.hedging {
                all.push(delay);
            }
        }
        all
    }

    /// The floating-point numbers that [`Settings::clamped`] limits.
    fn numbers(&mut self) -> Vec<&mut f64> {
        let (rules, prices) = (&mut self.rules, &mut self.prices);
        let mut all =
            vec![&mut rules.initial_capacity, &mut rules.overload_factor, &mut self.over_share_value];
        all.extend([&mut prices.probe, &mut prices.cross_zone, &mut prices.waste, &mut prices.late_failure]);
        for class in &mut self.classes {
            all.extend([&mut class.latency_target_stretch, &mut class.late_value, &mut class.value]);
            let policy = &mut class.attempt_policy;
            all.extend(policy.backoff.as_mut().map(|backoff| &mut backoff.jitter));
            if let Hedging::After { max_fraction, .. } = &mut policy.hedging {
                all.push(max_fraction);
            }
            if let Some(budget) = &mut policy.retry_budget {
                all.extend([&mut budget.share, &mut budget.per_s]);
            }
        }
        for tenant in &mut self.tenants {
            all.extend([&mut tenant.allowance_per_s, &mut tenant.share]);
        }
        all
    }
}

impl Default for Settings {
    /// Minimal settings: one node, one class of idempotent requests, no tenants, no load reports and no
    /// probes.
    fn default() -> Self {
        Settings {
            nodes: 1,
            node: 0,
            zone: 0,
            classes: vec![Class {
                latency_target: Duration::from_millis(500),
                latency_target_stretch: 0.0,
                deadline: Duration::from_secs(1),
                value: 1.0,
                late_value: 0.0,
                repeat: Repeat::Safe,
                streamed: false,
                attempt_policy: AttemptPolicy::default(),
            }],
            tenants: Vec::new(),
            over_share_value: 1.0,
            value_by_cost: false,
            reports: ReportSource::None,
            limits: Limits {
                max_attempts: 3,
                cancel: false,
                probes: false,
                parallel_attempts: false,
                max_retry_after: None,
                connect_timeout: Duration::from_millis(250),
            },
            rules: Rules {
                drain_grace: Duration::from_secs(1),
                initial_capacity: 1.0,
                slow_start: Duration::ZERO,
                overload_factor: 3.0,
                overload_time: Duration::from_secs(2),
                list_request_interval: Duration::from_secs(10),
            },
            prices: Prices::default(),
            goal: Goal { whole: 1.0, ..Goal::default() },
            list_on_request: false,
            tick: Duration::from_millis(1),
            capacity_source: CapacitySource::Learned,
        }
    }
}
