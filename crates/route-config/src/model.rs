//! The parsed file: every value with its position in the text, not yet checked against other values. Each
//! type names the table or key of the file that it is parsed from.

use crate::target::EncodedSlash;
use http::{HeaderName, HeaderValue, Method};
use http_forwarding::framing::LineEndings;
use ipnet::IpNet;
use join_up_to::{Backoff, Repeat, RetryBudget, RetryOn, ServerState};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

/// A range of bytes of the file's text.
pub type Span = Range<usize>;

/// A value and its position in the text.
#[derive(Clone, Debug, PartialEq)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Its bytes in the text.
    pub span: Span,
}

impl<T> Located<T> {
    /// Combines a value with its position.
    pub fn new(value: T, span: Span) -> Self {
        Located { value, span }
    }
}

/// A parsed file.
#[derive(Clone, Debug, Default)]
pub struct File {
    /// `[node]`.
    pub node: Node,
    /// `[forwarding]`.
    pub forwarding: ForwardingRule,
    /// `[log]`: the format of the log, and the fraction of exchanges that is logged.
    pub log: Log,
    /// `[admin]`: the address where metrics are served; `None` to serve none.
    pub admin: Option<Located<SocketAddr>>,
    /// `[trace]`: where accepted requests are recorded; `None` to record none.
    pub trace: Option<Trace>,
    /// `[[listener]]`.
    pub listeners: Vec<Listener>,
    /// `[defaults]`: settings that classes and routes inherit.
    pub defaults: RequestSettings,
    /// `[[cluster]]`.
    pub clusters: Vec<Cluster>,
    /// `[[class]]`.
    pub classes: Vec<Class>,
    /// `[[tenant]]`.
    pub tenants: Vec<Tenant>,
    /// `[[route]]`.
    pub routes: Vec<Route>,
}

impl File {
    /// The number of nodes that share the requests; 1 where the file does not set it.
    pub fn node_count(&self) -> u32 {
        self.node.nodes.as_ref().map_or(1, |nodes| nodes.value)
    }
}

/// `[node]`: settings of the node itself.
#[derive(Clone, Debug, Default)]
pub struct Node {
    /// The node's name in logs.
    pub name: Option<Located<String>>,
    /// The node's zone, which must be that of some backend.
    pub zone: Option<Located<String>>,
    /// The number of nodes that share the requests, this one included.
    pub nodes: Option<Located<u32>>,
    /// The index of this node among them, from 0.
    pub number: Option<Located<u32>>,
    /// The seed of the random number generator; a different one at each start if it is not set.
    pub seed: Option<Located<u64>>,
    /// The maximum number of file descriptors.
    pub max_sockets: Option<Located<u32>>,
    /// The maximum memory for requests in flight, in bytes.
    pub max_memory: Option<Located<u64>>,
    /// The request header that names the tenant.
    pub tenant_header: Option<Located<HeaderName>>,
    /// Whether `%2F` in a path is kept, or the request is rejected.
    pub encoded_slash: Option<Located<EncodedSlash>>,
    /// `further-attempts`: the retry budget over all clusters.
    pub retry_budget: Option<Located<RetryBudget>>,
    /// Whether a head with a line that ends in LF alone is accepted.
    pub line_endings: Option<Located<LineEndings>>,
    /// How long responses in progress may continue after a shutdown has begun or their backend drains; `None`
    /// inside for no limit.
    pub stream_end: Option<Located<Option<Duration>>>,
}

/// `[forwarding]`: the header fields that inform backends about the client.
#[derive(Clone, Debug, Default)]
pub struct ForwardingRule {
    /// The fields that are written; `X-Forwarded-*` and `Via` if it is not set.
    pub write: Option<Located<Vec<ForwardedField>>>,
    /// The networks of proxies whose forwarding fields are trusted.
    pub trusted: Vec<Located<IpNet>>,
    /// The node's name in `Via`; the name of `[node]` if it is not set.
    pub via_name: Option<Located<String>>,
}

/// A header field, or a group of them, that informs backends about the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardedField {
    /// `X-Forwarded-For`, `-Host` and `-Proto`.
    XForwarded,
    /// `Forwarded`.
    Forwarded,
    /// `Via`.
    Via,
}

/// `[log]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Log {
    /// The format. A change takes effect at the next start.
    pub format: LogFormat,
    /// The fraction of exchanges that are logged, from 0 to 1.
    pub exchanges: f64,
    /// The maximum number of entries that wait to be written; more are dropped and counted. A change takes
    /// effect at the next start.
    pub queue: usize,
}

impl Default for Log {
    /// Plain text, no exchanges, and a queue for one second of a busy node.
    fn default() -> Self {
        Log { format: LogFormat::Text, exchanges: 0.0, queue: 10_000 }
    }
}

/// The format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text, one entry per line.
    Text,
    /// One JSON object per line.
    Json,
}

/// `[trace]`: the recording of accepted requests, for replay.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The path of the trace file.
    pub file: String,
    /// The maximum number of entries that wait to be written; more are dropped and counted.
    pub queue: usize,
    /// The maximum size of the trace file, in bytes.
    pub max_size: u64,
}

/// `[[listener]]`.
#[derive(Clone, Debug)]
pub struct Listener {
    /// The address where clients connect.
    pub address: Located<SocketAddr>,
}

/// `[[cluster]]`: a group of interchangeable backends.
#[derive(Clone, Debug)]
pub struct Cluster {
    /// The name by which routes refer to it.
    pub name: Located<String>,
    /// The time after which a backend closes an idle connection.
    pub idle_close: Option<Located<Duration>>,
    /// `load-reports`: whether its backends report their load in responses.
    pub reports: Option<Located<LoadReports>>,
    /// `cold`: the capacity of its backends after their start.
    pub warm_up: Option<Located<WarmUp>>,
    /// The limit of requests in flight at a backend; `None` inside for no limit.
    pub limit: Option<Located<Option<LimitRule>>>,
    /// The time over which a newly added backend's share of the requests grows to its full value.
    pub slow_start: Option<Located<Duration>>,
    /// `[[cluster.step]]`: the brownout rules; `None` for the built-in ones.
    pub brownout: Option<Vec<BrownoutRule>>,
    /// `[[cluster.box]]`: the backends.
    pub backends: Vec<Backend>,
}

/// `limit`: the limit of requests in flight at a backend of average weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitRule {
    /// The limit adapts to the backend's responses, within bounds.
    Adaptive {
        /// The initial limit.
        initial: f64,
        /// The minimum.
        min: f64,
        /// The maximum.
        max: f64,
    },
    /// A fixed limit, for all nodes together.
    Fixed(f64),
}

/// `[[cluster.step]]`: a feature or some classes that an overloaded cluster gives up.
#[derive(Clone, Debug)]
pub struct BrownoutRule {
    /// `at`: the fraction of rejected cost at which the rule becomes active.
    pub threshold: Located<f64>,
    /// `back`: the fraction of rejected cost below which it ends.
    pub release_threshold: Located<f64>,
    /// `after`: how long the fraction must stay beyond a threshold.
    pub hold_time: Duration,
    /// `does`: what is switched off.
    pub action: BrownoutRuleAction,
    /// The classes to shed; empty for every other action.
    pub classes: Vec<Located<String>>,
}

/// What a brownout rule switches off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrownoutRuleAction {
    /// Hedged requests.
    DisableHedging,
    /// Retries after an attempt that may have been executed.
    DisableRetries,
    /// Requests of the listed classes.
    ShedClasses,
    /// Rejections on routes that have a fallback: the fallback is served instead.
    ServeFallback,
}

/// `fallback`: the response that is served in place of a rejection while a brownout rule with that action is
/// active.
#[derive(Clone, Debug, PartialEq)]
pub struct Fallback {
    /// The status code, from 200 to 599.
    pub status: u16,
    /// The media type.
    pub media_type: HeaderValue,
    /// The body.
    pub body: String,
}

/// `load-reports`: whether responses carry load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReports {
    /// In the header `X-Backend-Load`, as `concurrent=7,depth=2`.
    ResponseHeader,
    /// Responses carry no load reports.
    None,
}

/// `cold`: the capacity of a backend after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// The minimum fraction of its capacity that it has at its start.
    pub initial_capacity: f64,
    /// The time after which it has its full capacity.
    pub duration: Duration,
    /// The backend collapses if it receives more than this multiple of its current capacity for
    /// `overload_time`.
    pub overload_factor: f64,
    /// The duration of an overload that makes the backend collapse.
    pub overload_time: Duration,
}

/// `[[cluster.box]]`: a backend.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its name, which identifies it even if its address changes.
    pub name: Located<String>,
    /// The address where it listens.
    pub address: Located<SocketAddr>,
    /// Its zone; backends without one form a zone of their own.
    pub zone: Option<Located<String>>,
    /// Its machine type.
    pub kind: Option<Located<String>>,
    /// Its cell; 0 if it is not set.
    pub cell: Option<Located<u16>>,
    /// Its weight relative to other backends; 1 if it is not set.
    pub weight: Option<Located<f64>>,
    /// Whether it is in service or draining; in service if it is not set.
    pub state: Option<Located<ServerState>>,
}

/// `[[tenant]]`.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name, which is the value of the tenant header.
    pub name: Located<String>,
    /// Its share of the service, from 0 to 1.
    pub share: Option<Located<f64>>,
    /// Its guaranteed rate in requests per second, over all nodes.
    pub allowance: Option<Located<f64>>,
}

/// `[[class]]`.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: Located<String>,
    /// Whether and where its requests may be repeated.
    pub repeat: Located<Repeat>,
    /// The header with the idempotency key of a keyed class.
    pub key_header: Option<Located<HeaderName>>,
    /// The settings that it sets itself.
    pub settings: RequestSettings,
}

/// `[[route]]`.
#[derive(Clone, Debug)]
pub struct Route {
    /// The position of its `[[route]]` header.
    pub span: Span,
    /// Its name for logs and limits; one is made of its conditions if it is not set.
    pub name: Option<Located<String>>,
    /// The host that it matches: exact, or `*.` and a suffix.
    pub host: Option<Located<String>>,
    /// The methods that it matches; all that its class allows if none are set.
    pub methods: Option<Located<Vec<Method>>>,
    /// The path that it matches.
    pub path: Option<Located<PathRule>>,
    /// Headers that must be present, with their values; `None` for any value.
    pub headers: Vec<Located<(HeaderName, Option<HeaderValue>)>>,
    /// The name of the class of its requests.
    pub class: Located<String>,
    /// The name of the cluster that serves them.
    pub cluster: Located<String>,
    /// The path that is forwarded, with captures in braces; the requested path if it is not set.
    pub rewrite: Option<Located<String>>,
    /// The capture with the idempotency key of a keyed class.
    pub key: Option<Located<String>>,
    /// The capture that identifies the resource that the request concerns.
    pub subject: Option<Located<String>>,
    /// The settings that it sets itself.
    pub settings: RequestSettings,
}

/// A route's path as written in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathRule {
    /// `path`: exactly this path.
    Exact(String),
    /// `prefix`: this path and all paths below it.
    Prefix(String),
    /// `template`: a path in which some segments are captures, such as `/tally/{station}`.
    Template(String),
}

impl PathRule {
    /// The path as written in the file.
    pub fn text(&self) -> &str {
        match self {
            PathRule::Exact(text) | PathRule::Prefix(text) | PathRule::Template(text) => text,
        }
    }
}

/// `copies`: hedged requests, sent while an earlier attempt is in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgingRule {
    /// `after`: the time from an attempt to the hedged request that follows it.
    pub delay: Duration,
    /// `most`: the maximum number of hedged requests for one request.
    pub max_per_request: u32,
    /// `share`: the maximum number as a fraction of all requests.
    pub max_fraction: f64,
}

/// `queue`: the queue for requests that exceed the maximum of requests in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Queue {
    /// The maximum number of waiting requests.
    pub max_length: u32,
    /// The maximum time that a request waits.
    pub max_time: Duration,
}

/// `upgrade`: the protocol upgrades that are forwarded; after one, bytes are relayed in both directions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpgradeRule {
    /// The protocols, in lower case.
    pub to: Vec<String>,
    /// The maximum time without a byte in either direction.
    pub idle: Duration,
}

/// `tenant-rate`: a rate limit for each tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantRate {
    /// Requests per second, over all nodes.
    pub per_s: f64,
    /// The maximum number of requests in a burst.
    pub burst: f64,
}

/// The settings of requests that `[defaults]`, a class or a route may have. A setting that is `None` is
/// inherited.
#[derive(Clone, Debug, Default)]
pub struct RequestSettings {
    /// `time`: the timeout of a request at this node, all attempts included.
    pub timeout: Option<Located<Duration>>,
    /// `aim`: the latency target; a response within this time has its full value.
    pub latency_target: Option<Located<Duration>>,
    /// `late-worth`: the value of a response after the latency target, as a fraction of the full value.
    pub late_value: Option<Located<f64>>,
    /// `worth`: the priority of the class, as a weight relative to other classes.
    pub priority_weight: Option<Located<f64>>,
    /// `patience`: the time that clients usually wait for a response.
    pub client_timeout: Option<Located<Duration>>,
    /// `attempts`: the maximum number of attempts, hedged ones included.
    pub max_attempts: Option<Located<u32>>,
    /// `attempt-time`: the timeout of an attempt.
    pub attempt_timeout: Option<Located<Duration>>,
    /// `connect-time`: the timeout for opening a connection to a backend.
    pub connect_timeout: Option<Located<Duration>>,
    /// `retry-on`: the outcomes after which a retry is allowed.
    pub retry_on: Option<Located<RetryOn>>,
    /// `back-off`: the delay before a retry; `None` inside for no delay.
    pub backoff: Option<Located<Option<Backoff>>>,
    /// `copies`: hedged requests; `None` inside for none.
    pub hedging: Option<Located<Option<HedgingRule>>>,
    /// `budget`: the retry budget.
    pub retry_budget: Option<Located<RetryBudget>>,
    /// `in-hand`: the maximum number of requests in flight; `None` inside for no maximum.
    pub max_in_flight: Option<Located<Option<u32>>>,
    /// `queue`: the queue for requests beyond that maximum; `None` inside for no queue.
    pub queue: Option<Located<Option<Queue>>>,
    /// `tenant-rate`: the rate limit of each tenant; `None` inside for none.
    pub tenant_rate: Option<Located<Option<TenantRate>>>,
    /// `retry-after`: the minimum `Retry-After` of a rejection.
    pub retry_after: Option<Located<Duration>>,
    /// `wait`: the maximum time that a request is queued until a backend has capacity.
    pub max_queue_time: Option<Located<Duration>>,
    /// `fallback`: the response in place of a rejection; `None` inside for none.
    pub fallback: Option<Located<Option<Fallback>>>,
    /// `upgrade`: the protocol upgrades that are forwarded; `None` inside for none.
    pub upgrade: Option<Located<Option<UpgradeRule>>>,
    /// `gap`: the maximum time without a byte within a streamed response.
    pub max_stream_gap: Option<Located<Duration>>,
    /// `whole`: the maximum duration of a streamed response; `None` inside for no maximum.
    pub max_stream_duration: Option<Located<Option<Duration>>>,
    /// `hold`: after a pause of this length in a response of unknown length, the bytes received so far are
    /// forwarded.
    pub stream_flush_delay: Option<Located<Duration>>,
    /// `replay`: the maximum size in bytes of a request body that is buffered for retries.
    pub replay_limit: Option<Located<u64>>,
}
