//! The plan of a run: which requests are sent, when, and how clients behave. Built from a TOML file, from
//! options of the command line or from a trace, and validated as a whole.

use crate::mix::{DrawnRequest, KeyDistribution, RequestClass, RequestMix};
use crate::schedule::{Schedule, Shape, Spacing};
use crate::trace::Trace;
use quick_error::quick_error;
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;
use units::{DurationSetting, FractionSetting};

/// A validated plan.
#[derive(Clone, Debug)]
pub struct Plan {
    /// When requests are due.
    pub schedule: Schedule,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The tenants; empty for requests without a tenant.
    pub tenants: Vec<TenantWeight>,
    /// The distribution of request keys.
    pub keys: KeyDistribution,
    /// How clients time out and retry.
    pub clients: ClientBehaviour,
    /// Recorded requests that replace the schedule and the request mix; `None` to generate them.
    pub trace: Option<Arc<Trace>>,
    /// The maximum number of connections over all threads.
    pub connections: usize,
    /// The number of sending threads, 1 to 64.
    pub threads: usize,
    /// The 99th percentile of the send lag above which a run is invalid.
    pub max_lag: Duration,
}

/// A tenant and its relative frequency.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantWeight {
    /// The name, sent as `X-Account`.
    pub name: String,
    /// The relative frequency of the tenant's requests.
    pub weight: f64,
}

/// How clients react to rejections and failures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientBehaviour {
    /// The share of requests, 0 to 1, that are retried after a rejection, a failure or no response.
    pub retry_share: f64,
    /// The maximum number of retries of a request.
    pub max_retries: u32,
    /// The delay before a retry.
    pub retry_delay: Duration,
    /// The share of requests, 0 to 1, whose clients wait as long as `Retry-After` says instead.
    pub honour_share: f64,
}

/// A request with its due time.
#[derive(Clone, Debug)]
pub struct ScheduledRequest {
    /// The number of the request in the plan, from 0.
    pub number: u64,
    /// When it is due, since the start of the run.
    pub at: Duration,
    /// The class, tenant, key and random bits.
    pub drawn: DrawnRequest,
}

quick_error! {
    /// Why a plan is rejected. The messages use the keys of the file, since its author reads them.
    #[derive(Debug)]
    pub enum PlanError {
        /// The file is not TOML, or has an unknown key or an invalid value. The error shows the line.
        Syntax(source: toml::de::Error) {
            from()
            display("{source}")
            source(source)
        }
        /// `for` is missing.
        MissingDuration {
            display("the plan has no `for`, the duration of the run, such as \"30s\"")
        }
        /// The trace has no valid lines.
        EmptyTrace {
            display("the trace contains no valid request")
        }
        /// A rate or the count of a burst is not a finite number, or larger than [`MAX_RATE`].
        InvalidRate {
            display("a rate or count must be a number of at most {MAX_RATE}")
        }
        /// There is no shape, or the duration is zero.
        NothingToSend {
            display("the plan sends nothing: it needs a `for` above 0 and at least one `[[shape]]`")
        }
        /// There is no class.
        NoClass {
            display("the plan has no `[[class]]`")
        }
        /// A weight is negative or not a finite number.
        InvalidWeight {
            display("a weight is negative or not a number")
        }
        /// All classes have a weight of 0.
        NoWeight {
            display("no class has a weight above 0")
        }
        /// A class has an invalid path: the class and the path.
        InvalidPath(class: String, path: String) {
            display("class {class}: {path:?} is not a valid path")
        }
        /// A class has an invalid method: the class and the method.
        InvalidMethod(class: String, method: String) {
            display("class {class}: {method:?} is not a valid method")
        }
        /// A class has a time-out of 0 or a body larger than [`MAX_BODY`].
        InvalidClass(class: String) {
            display("class {class}: `patience` must be above 0, and `body` at most {MAX_BODY} bytes")
        }
        /// The number of connections or of threads is out of range.
        InvalidCapacity {
            display("`connections` must be at least 1, and `threads` 1 to {MAX_THREADS}")
        }
        /// The count or the exponent of the key distribution is out of range.
        InvalidKeys {
            display("`keys` needs a `count` above 0 and a `zipf` of 0 or more")
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct RawPlan {
    #[serde(default)]
    seed: u64,
    #[serde(rename = "for")]
    length: Option<DurationSetting>,
    #[serde(default)]
    spacing: RawSpacing,
    #[serde(default, rename = "shape")]
    shapes: Vec<RawShape>,
    #[serde(default, rename = "class")]
    classes: Vec<RawClass>,
    #[serde(default, rename = "tenant")]
    tenants: Vec<RawTenant>,
    #[serde(default)]
    keys: RawKeys,
    #[serde(default)]
    clients: RawClients,
    connections: Option<usize>,
    threads: Option<usize>,
    most_lag: Option<DurationSetting>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RawSpacing {
    Even,
    #[default]
    Poisson,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
enum RawShape {
    Constant { rate: f64 },
    Ramp { from: f64, to: f64, over: DurationSetting },
    Step { from: DurationSetting, until: DurationSetting, rate: f64 },
    Sine { mean: f64, swing: f64, period: DurationSetting },
    Burst { at: DurationSetting, count: u64 },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawClass {
    name: String,
    #[serde(default = "default_weight")]
    weight: f64,
    method: String,
    path: String,
    #[serde(default)]
    keyed: bool,
    #[serde(default)]
    body: usize,
    patience: Option<DurationSetting>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTenant {
    name: String,
    #[serde(default = "default_weight")]
    weight: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawKeys {
    count: u64,
    zipf: f64,
}

impl Default for RawKeys {
    fn default() -> Self {
        RawKeys { count: DEFAULT_KEYS.count, zipf: DEFAULT_KEYS.exponent }
    }
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
struct RawClients {
    retry: FractionSetting,
    retries: u32,
    wait: DurationSetting,
    honour_retry_after: FractionSetting,
}

fn default_weight() -> f64 {
    1.0
}

/// The time-out of a class that sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
/// Leaves some of the usual limit of 1024 file descriptors per process.
const DEFAULT_CONNECTIONS: usize = 900;
/// The default limit of the 99th percentile of the send lag. A larger lag would distort the reported
/// percentiles.
const DEFAULT_MAX_LAG: Duration = Duration::from_millis(10);
/// The largest rate in requests per second, far above what one machine can send; also the largest count of a
/// burst.
const MAX_RATE: f64 = 1e7;
/// The largest request body, in bytes.
const MAX_BODY: usize = 16 << 20;
/// The largest number of sending threads.
const MAX_THREADS: usize = 64;
/// The key distribution of a plan that sets none.
const DEFAULT_KEYS: KeyDistribution = KeyDistribution { count: 10_000, exponent: 0.9 };

impl RawShape {
    fn into_shape(self) -> Shape {
        match self {
            RawShape::Constant { rate } => Shape::Constant(rate),
            RawShape::Ramp { from, to, over } => Shape::Ramp { from, to, over: over.get() },
            RawShape::Step { from, until, rate } => {
                Shape::Step { from: from.get(), until: until.get(), rate }
            }
            RawShape::Sine { mean, swing, period } => {
                Shape::Sine { mean, amplitude: swing, period: period.get() }
            }
            RawShape::Burst { at, count } => Shape::Burst { at: at.get(), count },
        }
    }
}

impl RawClass {
    fn into_class(self) -> RequestClass {
        RequestClass {
            name: self.name,
            weight: self.weight,
            method: self.method,
            path: self.path,
            keyed: self.keyed,
            body: self.body,
            timeout_ms: self.patience.map_or(DEFAULT_TIMEOUT, |timeout| timeout.get()).as_millis() as u64,
        }
    }
}

impl RawClients {
    fn into_behaviour(self) -> ClientBehaviour {
        ClientBehaviour {
            retry_share: self.retry.get(),
            max_retries: self.retries,
            retry_delay: self.wait.get(),
            honour_share: self.honour_retry_after.get(),
        }
    }
}

impl RawPlan {
    fn into_plan(self) -> Result<Plan, PlanError> {
        let length = self.length.ok_or(PlanError::MissingDuration)?.get();
        let spacing = match self.spacing {
            RawSpacing::Even => Spacing::Even,
            RawSpacing::Poisson => Spacing::Poisson,
        };
        let shapes = self.shapes.into_iter().map(RawShape::into_shape).collect();
        let tenants = self.tenants.into_iter();
        Ok(Plan {
            schedule: Schedule { shapes, spacing, length, seed: self.seed },
            classes: self.classes.into_iter().map(RawClass::into_class).collect(),
            tenants: tenants.map(|t| TenantWeight { name: t.name, weight: t.weight }).collect(),
            keys: KeyDistribution { count: self.keys.count, exponent: self.keys.zipf },
            clients: self.clients.into_behaviour(),
            trace: None,
            connections: self.connections.unwrap_or(DEFAULT_CONNECTIONS),
            threads: self.threads.unwrap_or(1),
            max_lag: self.most_lag.map_or(DEFAULT_MAX_LAG, |lag| lag.get()),
        })
    }
}

impl Plan {
    /// A plan with a constant rate of requests without a body to one path.
    ///
    /// # Errors
    /// The rate, the duration, the method or the path is invalid.
    pub fn steady(rate: f64, length: Duration, method: &str, path: &str) -> Result<Self, PlanError> {
        let class = RequestClass {
            name: "all".into(),
            weight: 1.0,
            method: method.into(),
            path: path.into(),
            keyed: false,
            body: 0,
            timeout_ms: DEFAULT_TIMEOUT.as_millis() as u64,
        };
        let schedule =
            Schedule { shapes: vec![Shape::Constant(rate)], spacing: Spacing::Poisson, length, seed: 1 };
        let clients = ClientBehaviour {
            retry_share: 0.0,
            max_retries: 0,
            retry_delay: Duration::ZERO,
            honour_share: 0.0,
        };
        Plan {
            schedule,
            classes: vec![class],
            tenants: Vec::new(),
            keys: DEFAULT_KEYS,
            clients,
            trace: None,
            connections: DEFAULT_CONNECTIONS,
            threads: 1,
            max_lag: DEFAULT_MAX_LAG,
        }
        .checked()
    }

    /// Parses and validates a plan in TOML.
    ///
    /// # Errors
    /// The text is not a plan in TOML, or its values are invalid or don't fit together.
    pub fn read(text: &str) -> Result<Self, PlanError> {
        let raw: RawPlan = toml::from_str(text)?;
        raw.into_plan()?.checked()
    }

    /// A plan that replays a trace. Its classes, tenants and duration are those of the trace, all else is as
    /// in `base`.
    ///
    /// # Errors
    /// The trace has no request, or the resulting plan is invalid.
    pub fn from_trace(trace: Trace, base: &Plan) -> Result<Self, PlanError> {
        let Some(last) = trace.requests.last() else { return Err(PlanError::EmptyTrace) };
        let mut plan = base.clone();
        (plan.classes, plan.tenants) = (Vec::new(), Vec::new());
        plan.schedule.length = last.at;
        let default_ms = DEFAULT_TIMEOUT.as_millis() as u64;
        for entry in trace.requests.iter().map(|request| &request.entry) {
            if !plan.classes.iter().any(|class| class.name == entry.class) {
                plan.classes.push(RequestClass {
                    name: entry.class.clone(),
                    weight: 1.0,
                    method: entry.method.clone(),
                    path: "/".into(),
                    keyed: false,
                    body: 0,
                    timeout_ms: base.classes.first().map_or(default_ms, |class| class.timeout_ms),
                });
            }
            if let Some(name) = &entry.tenant
                && !plan.tenants.iter().any(|tenant| tenant.name == *name)
            {
                plan.tenants.push(TenantWeight { name: name.clone(), weight: 1.0 });
            }
        }
        plan.trace = Some(Arc::new(trace));
        plan.checked()
    }

    /// Returns the plan if it is valid.
    fn checked(self) -> Result<Self, PlanError> {
        self.check_schedule()?;
        self.check_weights()?;
        self.classes.iter().try_for_each(check_class)?;
        if self.connections == 0 || self.threads == 0 || self.threads > MAX_THREADS {
            return Err(PlanError::InvalidCapacity);
        }
        if self.keys.count == 0 || !self.keys.exponent.is_finite() || self.keys.exponent < 0.0 {
            return Err(PlanError::InvalidKeys);
        }
        Ok(self)
    }

    fn check_schedule(&self) -> Result<(), PlanError> {
        let is_rate = |n: f64| n.is_finite() && n.abs() <= MAX_RATE;
        let are_rates = self.schedule.shapes.iter().all(|shape| match shape {
            Shape::Constant(rate) => is_rate(*rate),
            Shape::Ramp { from, to, .. } => is_rate(*from) && is_rate(*to),
            Shape::Step { rate, .. } => is_rate(*rate),
            Shape::Sine { mean, amplitude, .. } => is_rate(*mean) && is_rate(*amplitude),
            Shape::Burst { count, .. } => is_rate(*count as f64),
        });
        if !are_rates {
            return Err(PlanError::InvalidRate);
        }
        if self.trace.is_none() && (self.schedule.shapes.is_empty() || self.schedule.length.is_zero()) {
            return Err(PlanError::NothingToSend);
        }
        Ok(())
    }

    fn check_weights(&self) -> Result<(), PlanError> {
        if self.classes.is_empty() {
            return Err(PlanError::NoClass);
        }
        let classes = self.classes.iter().map(|class| class.weight);
        let tenants = self.tenants.iter().map(|tenant| tenant.weight);
        if !classes.chain(tenants).all(|weight| weight.is_finite() && weight >= 0.0) {
            return Err(PlanError::InvalidWeight);
        }
        if self.classes.iter().all(|class| class.weight == 0.0) {
            return Err(PlanError::NoWeight);
        }
        Ok(())
    }

    /// All requests of the plan, in the order of their due times.
    pub fn requests(&self) -> Box<dyn Iterator<Item = ScheduledRequest> + Send + '_> {
        let tenants: Vec<_> = self.tenants.iter().map(|tenant| tenant.weight).collect();
        let mut mix = RequestMix::new(&self.classes, &tenants, self.keys, self.schedule.seed);
        if let Some(trace) = &self.trace {
            let recorded = (0..).zip(&trace.requests).map(move |(number, request)| {
                let entry = &request.entry;
                let class = self.classes.iter().position(|class| class.name == entry.class).unwrap_or(0);
                let tenant = entry.tenant.as_ref();
                let tenant = tenant.and_then(|name| self.tenants.iter().position(|t| t.name == *name));
                let drawn = DrawnRequest { class, tenant, key: number, ..mix.draw() };
                ScheduledRequest { number, at: request.at, drawn }
            });
            return Box::new(recorded);
        }
        let numbered = (0..).zip(self.schedule.times());
        Box::new(numbered.map(move |(number, at)| ScheduledRequest { number, at, drawn: mix.draw() }))
    }
}

fn check_class(class: &RequestClass) -> Result<(), PlanError> {
    let path = class.path.replace("{key}", "0");
    let is_invalid = |b: u8| b <= b' ' || b >= 0x7f || b"{}\"<>\\^`|#".contains(&b);
    if !path.starts_with('/') || path.bytes().any(is_invalid) {
        return Err(PlanError::InvalidPath(class.name.clone(), class.path.clone()));
    }
    if class.method.is_empty() || !class.method.bytes().all(|b| b.is_ascii_uppercase()) {
        return Err(PlanError::InvalidMethod(class.name.clone(), class.method.clone()));
    }
    if class.timeout_ms == 0 || class.body > MAX_BODY {
        return Err(PlanError::InvalidClass(class.name.clone()));
    }
    Ok(())
}

#[cfg(test)]
mod tests;
