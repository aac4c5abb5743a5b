//! Parses the JSON settings of a platform into [`Settings`] and [`HostSettings`]. The simulator adapter
//! receives them with each instance, the standalone proxy in its configuration. The raw types mirror the
//! JSON, so their fields and variants keep its names; the names of the types themselves are part of error
//! texts.

use crate::{
    AttemptPolicy, CapacitySource, Class, Goal, Limits, LoadReport, Prices, Repeat, ReportSource, Rules,
    Scope, Settings, Tenant,
};
use quick_error::quick_error;
use serde::Deserialize;
use serde::de::IntoDeserializer;
use serde::de::value::StrDeserializer;
use std::time::Duration;

/// The value that a column of load reports has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Column {
    /// Requests in flight at the server.
    Concurrent,
    /// Requests waiting in the server's queue.
    Depth,
    /// The fraction of its processors in use, from 0 to 1.
    LoadShare,
    /// The recent service time in milliseconds.
    MeanMs,
    /// Requests that it serves per second.
    Tps,
    /// Errors that the server returns per second.
    ErrPs,
    /// A column that this version doesn't know.
    #[serde(other)]
    Unknown,
}

impl Column {
    /// The column with this name on the wire; [`Column::Unknown`] if there is none.
    pub fn from_name(name: &str) -> Self {
        let name: StrDeserializer<serde::de::value::Error> = name.into_deserializer();
        Column::deserialize(name).unwrap_or(Column::Unknown)
    }

    /// Sets the value of this column in a report. A value that is not finite is stored as missing.
    pub fn set(self, report: &mut LoadReport, value: f32) {
        let field = match self {
            Column::Concurrent => &mut report.in_flight,
            Column::Depth => &mut report.queue,
            Column::LoadShare => &mut report.utilisation,
            Column::MeanMs => &mut report.latency_ms,
            Column::Tps => &mut report.throughput,
            Column::ErrPs => &mut report.errors,
            Column::Unknown => return,
        };
        *field = value.is_finite().then_some(value);
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Idempotency {
    Free,
    Guarded,
    SingleShot,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Via {
    Piggyback,
    Pull,
    #[default]
    Silent,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Mode {
    #[default]
    Push,
    Ask,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum CountedBy {
    #[default]
    Request,
    Work,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawClass {
    #[serde(default)]
    name: String,
    #[serde(default)]
    aim_stretch: f64,
    target: f64,
    give_up: f64,
    idempotency: Idempotency,
    #[serde(default)]
    group: Group,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    window: f64,
    #[serde(default = "one")]
    credit: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawTenant {
    #[serde(default)]
    name: String,
    #[serde(default)]
    allowance_per_s: f64,
    #[serde(default)]
    share: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawReport {
    columns: Vec<Column>,
    via: Via,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawLimits {
    attempts_cap: u32,
    cancel: bool,
    connect_timeout: f64,
    idle_close: f64,
    max_retry_after: f64,
    parallel_tries: bool,
    probes: bool,
    retry_after: bool,
}

impl Default for RawLimits {
    fn default() -> Self {
        RawLimits {
            attempts_cap: 1,
            cancel: false,
            connect_timeout: 250.0,
            idle_close: 15_000.0,
            max_retry_after: 0.0,
            parallel_tries: false,
            probes: false,
            retry_after: false,
        }
    }
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawPrices {
    probe: f64,
    cross_zone: f64,
    waste: f64,
    late_fail: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawGoal {
    whole: f64,
    worst_class: f64,
    worst_tenant: f64,
    worst_window: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawRules {
    must_ask_in: f64,
    cold_from: f64,
    drain_grace: f64,
    overload_factor: f64,
    ramp_time: f64,
    tip_after: f64,
}

impl Default for RawRules {
    fn default() -> Self {
        RawRules {
            must_ask_in: 10_000.0,
            cold_from: 1.0,
            drain_grace: 0.0,
            overload_factor: 1.0,
            ramp_time: 0.0,
            tip_after: 1000.0,
        }
    }
}

#[derive(Deserialize)]
// The name of this type is part of error texts.
#[serde(rename_all = "PascalCase")]
struct Raw {
    #[serde(default = "one_node")]
    n_instances: u32,
    #[serde(default)]
    ordinal: u32,
    #[serde(default)]
    zone: u8,
    classes: Vec<RawClass>,
    #[serde(default)]
    localities: Vec<String>,
    #[serde(default)]
    host_types: Vec<String>,
    #[serde(default)]
    projects: Vec<RawTenant>,
    #[serde(default = "one")]
    over_share_worth: f64,
    #[serde(default)]
    counted_by: CountedBy,
    #[serde(default)]
    load_report: RawReport,
    #[serde(default)]
    permissions: RawLimits,
    #[serde(default)]
    rules: RawRules,
    #[serde(default)]
    prices: RawPrices,
    #[serde(default)]
    goal: RawGoal,
    #[serde(default)]
    registry_mode: Mode,
    #[serde(default = "one")]
    quantum: f64,
}

fn one() -> f64 {
    1.0
}

fn one_node() -> u32 {
    1
}

/// Converts milliseconds to a duration, rounded to microseconds. Values below 0 and NaN become 0; values
/// above 1e15 ms are clamped.
pub fn millis(ms: f64) -> Duration {
    const LONGEST_US: f64 = 1e18;
    Duration::from_micros((ms * 1000.0).round().clamp(0.0, LONGEST_US) as u64)
}

/// Settings that are used by the host of the balancer and not by the balancer itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostSettings {
    /// The columns of load reports, in the order of their values.
    pub columns: Vec<Column>,
    /// The names of the classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// The names of the tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// The names of the zones, by zone number.
    pub zones: Vec<String>,
    /// The names of the machine kinds, by the number of the kind.
    pub kinds: Vec<String>,
    /// The time after which a server closes an idle connection.
    pub idle_close: Duration,
}

quick_error! {
    /// The reason why the JSON settings of a platform were rejected.
    #[derive(Debug)]
    pub enum SettingsError {
        /// A field is missing or has an invalid value, or the text is not valid JSON.
        Field(error: serde_path_to_error::Error<serde_json::Error>) {
            from()
            display("bad settings: {}, in {}", error.inner(), error.path())
            source(error.inner())
        }
        /// There is further text after the JSON value.
        TrailingText(error: serde_json::Error) {
            from()
            display("bad settings: {}", error)
            source(error)
        }
        /// The list of classes is empty; at least one class is required.
        NoClasses {
            display("bad settings: no classes")
        }
    }
}

/// Parses the JSON settings of a platform. Unknown fields are ignored.
pub fn parse(text: &[u8]) -> Result<(Settings, HostSettings), SettingsError> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let raw: Raw = serde_path_to_error::deserialize(&mut json)?;
    json.end()?;
    if raw.classes.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    let settings = balancer_settings(&raw);
    let host = HostSettings {
        columns: raw.load_report.columns,
        classes: raw.classes.into_iter().map(|class| class.name).collect(),
        tenants: raw.projects.into_iter().map(|tenant| tenant.name).collect(),
        zones: raw.localities,
        kinds: raw.host_types,
        idle_close: millis(raw.permissions.idle_close),
    };
    Ok((settings, host))
}

fn balancer_settings(raw: &Raw) -> Settings {
    Settings {
        nodes: raw.n_instances.max(1),
        node: raw.ordinal,
        zone: raw.zone,
        classes: raw.classes.iter().map(class).collect(),
        tenants: raw
            .projects
            .iter()
            .map(|t| Tenant { allowance_per_s: t.allowance_per_s, share: t.share })
            .collect(),
        over_share_value: raw.over_share_worth,
        value_by_cost: matches!(raw.counted_by, CountedBy::Work),
        reports: match raw.load_report.via {
            Via::Piggyback => ReportSource::Answers,
            Via::Pull => ReportSource::Probes,
            Via::Silent => ReportSource::None,
        },
        limits: limits(&raw.permissions),
        rules: rules(&raw.rules),
        prices: Prices {
            probe: raw.prices.probe,
            cross_zone: raw.prices.cross_zone,
            waste: raw.prices.waste,
            late_failure: raw.prices.late_fail,
        },
        goal: Goal {
            whole: raw.goal.whole,
            worst_window: raw.goal.worst_window,
            worst_class: raw.goal.worst_class,
            worst_tenant: raw.goal.worst_tenant,
        },
        list_on_request: matches!(raw.registry_mode, Mode::Ask),
        tick: millis(raw.quantum),
        capacity_source: CapacitySource::Learned,
    }
}

fn class(raw: &RawClass) -> Class {
    let scope = match raw.group {
        Group::All => Scope::All,
        Group::Zone => Scope::Zone,
        Group::Cell => Scope::Cell,
    };
    Class {
        latency_target: millis(raw.target),
        latency_target_stretch: raw.aim_stretch,
        deadline: millis(raw.give_up),
        value: raw.credit,
        late_value: raw.late_worth,
        repeat: match raw.idempotency {
            Idempotency::Free => Repeat::Safe,
            Idempotency::Guarded => Repeat::Keyed { scope, window: millis(raw.window) },
            Idempotency::SingleShot => Repeat::Unsafe,
        },
        streamed: raw.stream,
        attempt_policy: AttemptPolicy::default(),
    }
}

fn limits(raw: &RawLimits) -> Limits {
    Limits {
        max_attempts: raw.attempts_cap,
        cancel: raw.cancel,
        probes: raw.probes,
        parallel_attempts: raw.parallel_tries,
        max_retry_after: raw.retry_after.then(|| millis(raw.max_retry_after)),
        connect_timeout: millis(raw.connect_timeout),
    }
}

fn rules(raw: &RawRules) -> Rules {
    Rules {
        drain_grace: millis(raw.drain_grace),
        initial_capacity: raw.cold_from,
        slow_start: millis(raw.ramp_time),
        overload_factor: raw.overload_factor,
        overload_time: millis(raw.tip_after),
        list_request_interval: millis(raw.must_ask_in),
    }
}
