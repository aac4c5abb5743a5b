//! The TOML file that describes an environment: its backends, their events and their faults. Reading stops at
//! the first error.

use crate::backend_model::{BackendSpec, ColdStart, Degradation, ServiceTime};
use quick_error::quick_error;
use serde::Deserialize;
use std::time::Duration;
use units::{DurationSetting, FractionSetting};

/// The description of an environment.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// The seed of all random draws.
    pub seed: u64,
    /// The backends.
    pub backends: Vec<ScriptedBackend>,
    /// The events, sorted by time.
    pub events: Vec<Event>,
    /// The faults, in the order of the file: the first that applies to a request is injected.
    pub faults: Vec<FaultRule>,
}

/// A backend of an environment.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptedBackend {
    /// The unique name.
    pub name: String,
    /// The site, which discovery publishes as its zone. Backends of one site share idempotency keys.
    pub site: String,
    /// The machine type that discovery publishes; may be empty.
    pub machine_type: String,
    /// Whether it is unlisted and down until an event starts it.
    pub starts_later: bool,
    /// The interval at which the load report in its responses is refreshed; `None` for responses without one.
    pub load_report_interval: Option<Duration>,
    /// The properties of its model.
    pub spec: BackendSpec,
}

/// A scheduled change of a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// When it happens, since the start of the environment.
    pub at: Duration,
    /// The backend's index in the script.
    pub backend: usize,
    /// The change.
    pub kind: EventKind,
}

/// The kinds of scheduled changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EventKind {
    /// Discovery publishes the drain of the backend, which rejects new requests after a grace period and
    /// completes others.
    Drain,
    /// The backend stops, and discovery publishes its removal.
    Stop,
    /// The backend starts or restarts, cold, and discovery publishes it.
    Start,
    /// The backend slows down by this factor; 1 restores its normal speed.
    SlowDown(f64),
}

/// A kind of failure of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Refuses connections.
    RefuseConnections,
    /// Resets the connection without executing the request.
    ResetBeforeRequest,
    /// Executes the request, and closes the connection after this number of bytes of the response. With 0 it
    /// resets it.
    TruncateResponse(usize),
    /// Executes the request, and delays the response by this time.
    Stall(Duration),
    /// Executes the request, and responds with status 500.
    ServerError,
    /// Rejects the request with status 503 without executing it.
    Reject,
    /// Executes the request, and responds with bytes that are not HTTP.
    InvalidResponse,
    /// Executes the request, and sends the response at this rate in bytes per second.
    SlowResponse(u32),
    /// Sends nothing, and leaves the connection open. The request is not executed.
    NoResponse,
}

/// A fault with the conditions under which it applies.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultRule {
    /// The backend's index in the script.
    pub backend: usize,
    /// The kind of fault.
    pub fault: Fault,
    /// The start of the time in which it applies, since the start of the environment.
    pub from: Duration,
    /// The end of that time, exclusive.
    pub until: Duration,
    /// It applies to requests whose number at the backend is a multiple of this; 1 for all.
    pub every: u64,
    /// The maximum number of requests to which it applies.
    pub limit: u64,
}

quick_error! {
    /// Why a script is rejected. The messages use the keys of the file, since its author reads them.
    #[derive(Debug)]
    pub enum ScriptError {
        /// The file is not TOML, or has an unknown key or an invalid value. The error shows the line.
        Syntax(source: toml::de::Error) {
            from()
            display("{source}")
            source(source)
        }
        /// A backend has no site, no core, or a speed that is not above 0.
        InvalidBackend(name: String) {
            display("box {name}: needs at least one site, at least one core and a speed above 0")
        }
        /// Two backends have the same name.
        DuplicateBackend(name: String) {
            display("box {name}: duplicate name")
        }
        /// An event or a fault refers to an unknown backend.
        UnknownBackend(name: String) {
            display("box {name}: no box has this name")
        }
        /// There are no backends, or more than [`MAX_BACKENDS`].
        BackendCount(count: usize) {
            display("{count} boxes: the number must be 1 to {MAX_BACKENDS}")
        }
        /// A fault lacks a key that its kind requires.
        MissingKey(backend: String, key: &'static str) {
            display("fault of {backend}: requires `{key}`")
        }
        /// A fault has an `every` of 0.
        InvalidEvery(backend: String) {
            display("fault of {backend}: `every` must be at least 1")
        }
    }
}

// Error messages of serde contain the names of types: `expecting` keeps the messages when a type is renamed.

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawScript {
    #[serde(default)]
    seed: u64,
    #[serde(rename = "box")]
    backends: Vec<RawBackend>,
    #[serde(default, rename = "event")]
    events: Vec<RawEvent>,
    #[serde(default, rename = "fault")]
    faults: Vec<RawFault>,
}

#[derive(Deserialize)]
#[serde(expecting = "struct RawBox", deny_unknown_fields, rename_all = "kebab-case")]
struct RawBackend {
    name: String,
    #[serde(default = "default_one")]
    count: u32,
    #[serde(default = "default_sites")]
    sites: Vec<String>,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    later: bool,
    #[serde(default = "default_one")]
    cores: u32,
    #[serde(default = "default_factor")]
    speed: f64,
    #[serde(default = "default_queue")]
    queue: u32,
    #[serde(default)]
    service: RawService,
    cold: Option<RawCold>,
    #[serde(rename = "choke")]
    degradation: Option<RawDegradation>,
    window: Option<DurationSetting>,
    report_every: Option<DurationSetting>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
enum RawService {
    #[default]
    AtOnce,
    Fixed(DurationSetting),
    Uniform([DurationSetting; 2]),
    Exponential(DurationSetting),
    LogNormal {
        median: DurationSetting,
        spread: f64,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct RawCold {
    share: FractionSetting,
    warm_after: DurationSetting,
    factor: f64,
    overload_time: DurationSetting,
}

#[derive(Deserialize)]
#[serde(expecting = "struct RawChoke", deny_unknown_fields)]
struct RawDegradation {
    waiting: f64,
    after: DurationSetting,
    factor: f64,
    recovers: DurationSetting,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawEvent {
    at: DurationSetting,
    #[serde(rename = "box")]
    backend: String,
    #[serde(rename = "do")]
    kind: RawEventKind,
    #[serde(default = "default_factor")]
    factor: f64,
}

#[derive(Deserialize)]
#[serde(expecting = "enum RawBefalls", rename_all = "kebab-case")]
enum RawEventKind {
    Drain,
    Leave,
    Come,
    Slow,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFault {
    #[serde(rename = "box")]
    backend: String,
    #[serde(rename = "what")]
    kind: RawFaultKind,
    from: Option<DurationSetting>,
    until: Option<DurationSetting>,
    #[serde(default = "default_every")]
    every: u64,
    #[serde(rename = "most", default = "default_limit")]
    limit: u64,
    time: Option<DurationSetting>,
    #[serde(default)]
    bytes: u32,
}

#[derive(Deserialize)]
#[serde(expecting = "enum RawWhat", rename_all = "kebab-case")]
enum RawFaultKind {
    Refuse,
    ResetBefore,
    ResetAt,
    Stall,
    Error,
    Away,
    Garbage,
    Trickle,
    Vanish,
}

fn default_one() -> u32 {
    1
}
fn default_every() -> u64 {
    1
}
fn default_limit() -> u64 {
    u64::MAX
}
fn default_factor() -> f64 {
    1.0
}
fn default_queue() -> u32 {
    64
}
fn default_sites() -> Vec<String> {
    vec!["here".into()]
}

/// The largest number of backends, which one machine can run.
const MAX_BACKENDS: usize = 2000;

impl Script {
    /// Parses and validates a script. A `[[box]]` with a `count` stands for that many backends, named
    /// `name-1`, `name-2` etc. and assigned to its `sites` round-robin.
    ///
    /// # Errors
    /// The first error of the script.
    pub fn read(text: &str) -> Result<Self, ScriptError> {
        let raw: RawScript = toml::from_str(text)?;
        let mut backends: Vec<ScriptedBackend> = Vec::new();
        for raw_backend in raw.backends {
            add_backends(raw_backend, &mut backends)?;
        }
        if backends.is_empty() || backends.len() > MAX_BACKENDS {
            return Err(ScriptError::BackendCount(backends.len()));
        }
        let events = raw.events.into_iter().map(|raw| raw.into_event(&backends));
        let mut events = events.collect::<Result<Vec<_>, _>>()?;
        events.sort_by_key(|event| event.at);
        let faults = raw.faults.into_iter().map(|raw| raw.into_rule(&backends));
        let faults = faults.collect::<Result<_, _>>()?;
        Ok(Script { seed: raw.seed, backends, events, faults })
    }
}

/// Adds the backends of one `[[box]]` table.
fn add_backends(raw: RawBackend, backends: &mut Vec<ScriptedBackend>) -> Result<(), ScriptError> {
    let is_valid_speed = raw.speed.is_finite() && raw.speed > 0.0;
    if raw.sites.is_empty() || raw.cores == 0 || !is_valid_speed {
        return Err(ScriptError::InvalidBackend(raw.name));
    }
    let spec = BackendSpec {
        cores: raw.cores,
        speed: raw.speed,
        queue: raw.queue,
        service_time: raw.service.into_service_time(),
        cold_start: raw.cold.map(RawCold::into_cold_start),
        degradation: raw.degradation.map(RawDegradation::into_degradation),
        deduplication_window: raw.window.map_or(Duration::ZERO, |window| window.get()),
    };
    for number in 1..=raw.count {
        let name = if raw.count == 1 { raw.name.clone() } else { format!("{}-{number}", raw.name) };
        if backends.iter().any(|known| known.name == name) {
            return Err(ScriptError::DuplicateBackend(name));
        }
        backends.push(ScriptedBackend {
            name,
            site: raw.sites[(number as usize - 1) % raw.sites.len()].clone(),
            machine_type: raw.kind.clone(),
            starts_later: raw.later,
            load_report_interval: raw.report_every.map(|interval| interval.get()),
            spec: spec.clone(),
        });
    }
    Ok(())
}

fn backend_index(backends: &[ScriptedBackend], name: &str) -> Result<usize, ScriptError> {
    let index = backends.iter().position(|backend| backend.name == name);
    index.ok_or_else(|| ScriptError::UnknownBackend(name.to_string()))
}

impl RawService {
    fn into_service_time(self) -> ServiceTime {
        match self {
            RawService::AtOnce => ServiceTime::Fixed(Duration::ZERO),
            RawService::Fixed(time) => ServiceTime::Fixed(time.get()),
            RawService::Uniform([min, max]) => ServiceTime::Uniform(min.get(), max.get()),
            RawService::Exponential(mean) => ServiceTime::Exponential(mean.get()),
            RawService::LogNormal { median, spread } => ServiceTime::LogNormal(median.get(), spread),
        }
    }
}

impl RawCold {
    fn into_cold_start(self) -> ColdStart {
        ColdStart {
            initial_share: self.share.get(),
            warm_up_time: self.warm_after.get(),
            overload_factor: self.factor,
            overload_time: self.overload_time.get(),
        }
    }
}

impl RawDegradation {
    fn into_degradation(self) -> Degradation {
        Degradation {
            queued_per_core: self.waiting,
            onset: self.after.get(),
            factor: self.factor,
            recovery_time: self.recovers.get(),
        }
    }
}

impl RawEvent {
    fn into_event(self, backends: &[ScriptedBackend]) -> Result<Event, ScriptError> {
        let kind = match self.kind {
            RawEventKind::Drain => EventKind::Drain,
            RawEventKind::Leave => EventKind::Stop,
            RawEventKind::Come => EventKind::Start,
            RawEventKind::Slow => EventKind::SlowDown(self.factor),
        };
        Ok(Event { at: self.at.get(), backend: backend_index(backends, &self.backend)?, kind })
    }
}

impl RawFault {
    fn into_rule(self, backends: &[ScriptedBackend]) -> Result<FaultRule, ScriptError> {
        let fault = self.fault()?;
        if self.every == 0 {
            return Err(ScriptError::InvalidEvery(self.backend));
        }
        Ok(FaultRule {
            backend: backend_index(backends, &self.backend)?,
            fault,
            from: self.from.map_or(Duration::ZERO, |from| from.get()),
            until: self.until.map_or(Duration::MAX, |until| until.get()),
            every: self.every,
            limit: self.limit,
        })
    }

    fn fault(&self) -> Result<Fault, ScriptError> {
        let missing = |key| ScriptError::MissingKey(self.backend.clone(), key);
        Ok(match self.kind {
            RawFaultKind::Refuse => Fault::RefuseConnections,
            RawFaultKind::ResetBefore => Fault::ResetBeforeRequest,
            RawFaultKind::ResetAt => Fault::TruncateResponse(self.bytes as usize),
            RawFaultKind::Stall => Fault::Stall(self.time.as_ref().ok_or_else(|| missing("time"))?.get()),
            RawFaultKind::Error => Fault::ServerError,
            RawFaultKind::Away => Fault::Reject,
            RawFaultKind::Garbage => Fault::InvalidResponse,
            RawFaultKind::Trickle if self.bytes == 0 => return Err(missing("bytes")),
            RawFaultKind::Trickle => Fault::SlowResponse(self.bytes),
            RawFaultKind::Vanish => Fault::NoResponse,
        })
    }
}

#[cfg(test)]
mod tests;
