//! The file as it is written: every value with its position. Nothing here is checked against anything else. The docs of
//! types name their tables in the file.

use crate::target::EncodedSlash;
use http::{HeaderName, HeaderValue, Method};
use http_forwarding::framing::LineEndings;
use ipnet::IpNet;
use join_up_to::{Backoff, Repeat, RetryBudget, RetryOn, ServerState};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

/// Bytes of the text.
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
    /// A value at a position.
    pub fn new(value: T, span: Span) -> Self {
        Located { value, span }
    }
}

/// A file.
#[derive(Clone, Debug, Default)]
pub struct File {
    /// `[node]`.
    pub node: Node,
    /// `[forwarding]`.
    pub forwarding: ForwardingRule,
    /// `[log]`: the format of the log, and which exchanges are logged.
    pub log: Log,
    /// `[admin]`: where metrics are served.
    pub admin: Option<Located<SocketAddr>>,
    /// `[trace]`: where accepted requests are recorded.
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
    /// The number of nodes that share the requests.
    pub fn node_count(&self) -> u32 {
        self.node.nodes.as_ref().map_or(1, |nodes| nodes.value)
    }
}

/// `[node]`: the node itself.
#[derive(Clone, Debug, Default)]
pub struct Node {
    /// Its name in logs.
    pub name: Option<Located<String>>,
    /// Its zone.
    pub zone: Option<Located<String>>,
    /// The number of nodes that share the requests, this one included.
    pub nodes: Option<Located<u32>>,
    /// The number of this node among them, from 0.
    pub number: Option<Located<u32>>,
    /// The seed of random numbers; another one at each start where it is not set.
    pub seed: Option<Located<u64>>,
    /// The maximum number of file descriptors.
    pub max_sockets: Option<Located<u32>>,
    /// The maximum memory for requests in flight, in bytes.
    pub max_memory: Option<Located<u64>>,
    /// The header that names the tenant.
    pub tenant_header: Option<Located<HeaderName>>,
    /// Whether `%2F` in a path is kept, or such a request rejected.
    pub encoded_slash: Option<Located<EncodedSlash>>,
    /// The budget of retries over all clusters.
    pub retry_budget: Option<Located<RetryBudget>>,
    /// Whether a head with a line that ends without CR is accepted.
    pub line_endings: Option<Located<LineEndings>>,
    /// How long responses in progress go on after a shutdown began or their backend drains; `None` inside for no limit.
    pub stream_end: Option<Located<Option<Duration>>>,
}

/// `[forwarding]`: the fields that tell backends of clients.
#[derive(Clone, Debug, Default)]
pub struct ForwardingRule {
    /// The fields that are written.
    pub write: Option<Located<Vec<ForwardedField>>>,
    /// The hops whose fields are trusted.
    pub trusted: Vec<Located<IpNet>>,
    /// The name of the node in `Via`.
    pub via_name: Option<Located<String>>,
}

/// A field, or a family of fields, that tells backends of a client.
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
    /// The format. A change applies from the next start on.
    pub format: LogFormat,
    /// The fraction of exchanges that are logged, from 0 to 1.
    pub exchanges: f64,
    /// The maximum number of entries that wait to be written; more are dropped and counted. A change applies from the next
    /// start on.
    pub queue: usize,
}

impl Default for Log {
    /// Text, no exchanges, and a queue for a second of a busy node.
    fn default() -> Self {
        Log { format: LogFormat::Text, exchanges: 0.0, queue: 10_000 }
    }
}

/// The format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// A JSON object on each line.
    Json,
}

/// `[trace]`: accepted requests are recorded, to be replayed.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The path of the record.
    pub file: String,
    /// The maximum number of entries that wait for the disk; more are dropped and counted.
    pub queue: usize,
    /// The maximum size of the record, in bytes.
    pub max_size: u64,
}

/// `[[listener]]`.
#[derive(Clone, Debug)]
pub struct Listener {
    /// Where clients connect.
    pub address: Located<SocketAddr>,
}

/// `[[cluster]]`: backends that serve the same requests.
#[derive(Clone, Debug)]
pub struct Cluster {
    /// Its name.
    pub name: Located<String>,
    /// How long a backend keeps an idle connection.
    pub idle_close: Option<Located<Duration>>,
    /// Whether its backends report their load.
    pub reports: Option<Located<LoadReports>>,
    /// `cold`: the capacity of its backends after their start.
    pub warm_up: Option<Located<WarmUp>>,
    /// The limit of requests in flight at a backend; `None` inside for none.
    pub limit: Option<Located<Option<LimitRule>>>,
    /// The time over which a backend that is added later gets its full part of the requests.
    pub slow_start: Option<Located<Duration>>,
    /// `[[cluster.step]]`: brownout; `None` for what is built in.
    pub brownout: Option<Vec<BrownoutRule>>,
    /// `[[cluster.box]]`: its backends.
    pub backends: Vec<Backend>,
}

/// `limit`: the limit of requests in flight at a backend of average weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitRule {
    /// It adapts to the backend's responses, within bounds.
    Adaptive {
        /// The initial limit.
        initial: f64,
        /// The minimum.
        min: f64,
        /// The maximum.
        max: f64,
    },
    /// Fixed, over all nodes.
    Fixed(f64),
}

/// `[[cluster.step]]`: something that an overloaded cluster goes without.
#[derive(Clone, Debug)]
pub struct BrownoutRule {
    /// The fraction of rejected cost from which on it is active.
    pub threshold: Located<f64>,
    /// The fraction below which it ends.
    pub release_threshold: Located<f64>,
    /// How long a threshold must be passed.
    pub hold_time: Duration,
    /// What the cluster goes without.
    pub action: BrownoutRuleAction,
    /// The classes to shed.
    pub classes: Vec<Located<String>>,
}

/// What a brownout rule switches off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrownoutRuleAction {
    /// Hedged requests.
    DisableHedging,
    /// Retries once an attempt may have been executed.
    DisableRetries,
    /// Some classes of requests.
    ShedClasses,
    /// Rejections on routes that have a fallback, which is served in their place.
    ServeFallback,
}

/// `fallback`: the response in place of a rejection, once a brownout rule is active that serves it.
#[derive(Clone, Debug, PartialEq)]
pub struct Fallback {
    /// The status, from 200 to 599.
    pub status: u16,
    /// The media type.
    pub media_type: HeaderValue,
    /// The body.
    pub body: String,
}

/// `load-reports`: whether responses carry load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReports {
    /// In `X-Backend-Load`, as `concurrent=7,depth=2`.
    ResponseHeader,
    /// They carry none.
    None,
}

/// `cold`: the capacity of a backend after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// The fraction of its capacity that it has at least when it starts.
    pub initial_capacity: f64,
    /// After this time it has its full capacity.
    pub duration: Duration,
    /// It collapses when it receives more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this time.
    pub overload_time: Duration,
}

/// `[[cluster.box]]`: a backend.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its name, which identifies it whatever its address.
    pub name: Located<String>,
    /// Where it listens.
    pub address: Located<SocketAddr>,
    /// Its zone.
    pub zone: Option<Located<String>>,
    /// Its machine kind.
    pub kind: Option<Located<String>>,
    /// Its cell.
    pub cell: Option<Located<u16>>,
    /// Its weight relative to other backends.
    pub weight: Option<Located<f64>>,
    /// Whether it accepts requests or is draining.
    pub state: Option<Located<ServerState>>,
}

/// `[[tenant]]`.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name, as in the tenant header.
    pub name: Located<String>,
    /// Its share of the service, from 0 to 1.
    pub share: Option<Located<f64>>,
    /// Requests per second that it is guaranteed, over all nodes.
    pub allowance: Option<Located<f64>>,
}

/// `[[class]]`.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: Located<String>,
    /// How far its requests may be repeated.
    pub repeat: Located<Repeat>,
    /// The header with the key of a keyed class.
    pub key_header: Option<Located<HeaderName>>,
    /// Its own settings.
    pub settings: RequestSettings,
}

/// `[[route]]`.
#[derive(Clone, Debug)]
pub struct Route {
    /// The position of the header of its table.
    pub span: Span,
    /// Its name for logs and limits.
    pub name: Option<Located<String>>,
    /// The host that it matches: exact, or `*.` and a suffix.
    pub host: Option<Located<String>>,
    /// The methods that it matches; all that its class allows where none are set.
    pub methods: Option<Located<Vec<Method>>>,
    /// The path that it matches.
    pub path: Option<Located<PathRule>>,
    /// Headers that must be present, and their values where these matter.
    pub headers: Vec<Located<(HeaderName, Option<HeaderValue>)>>,
    /// The class of its requests.
    pub class: Located<String>,
    /// The cluster that serves them.
    pub cluster: Located<String>,
    /// The path that is forwarded, with captures in braces.
    pub rewrite: Option<Located<String>>,
    /// The capture with the key of a keyed class.
    pub key: Option<Located<String>>,
    /// The capture that identifies what the request is about.
    pub subject: Option<Located<String>>,
    /// Its own settings.
    pub settings: RequestSettings,
}

/// A route's path as it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathRule {
    /// `path`: this path alone.
    Exact(String),
    /// `prefix`: this path and all below it.
    Prefix(String),
    /// `template`: segments, some of them `{captures}`.
    Template(String),
}

impl PathRule {
    /// The text of the path.
    pub fn text(&self) -> &str {
        match self {
            PathRule::Exact(text) | PathRule::Prefix(text) | PathRule::Template(text) => text,
        }
    }
}

/// `copies`: hedged requests, sent while an earlier attempt is in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgingRule {
    /// The time after the attempt before.
    pub delay: Duration,
    /// The maximum number for a request.
    pub max_per_request: u32,
    /// The maximum as a fraction of requests.
    pub max_fraction: f64,
}

/// `queue`: where requests wait while the maximum of requests in flight is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Queue {
    /// The maximum number of waiting requests.
    pub max_length: u32,
    /// The maximum time that a request waits.
    pub max_time: Duration,
}

/// `upgrade`: switches of protocol that are forwarded; after them bytes are relayed in both directions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpgradeRule {
    /// The protocols, in small letters.
    pub to: Vec<String>,
    /// The maximum time without any byte in either direction.
    pub idle: Duration,
}

/// `tenant-rate`: a rate limit for each tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantRate {
    /// Requests per second, over all nodes.
    pub per_s: f64,
    /// The maximum burst after a time without requests.
    pub burst: f64,
}

/// The settings of requests that `[defaults]`, a class or a route may have. What is not set is inherited.
#[derive(Clone, Debug, Default)]
pub struct RequestSettings {
    /// `time`: the maximum time of a request at this node.
    pub timeout: Option<Located<Duration>>,
    /// `aim`: a response within this time has its full value.
    pub latency_target: Option<Located<Duration>>,
    /// `late-worth`: the fraction of the value that a later response has.
    pub late_value: Option<Located<f64>>,
    /// `worth`: the value of a response, as a weight against other classes.
    pub priority_weight: Option<Located<f64>>,
    /// `patience`: how long clients usually wait.
    pub client_timeout: Option<Located<Duration>>,
    /// `attempts`: the maximum number of attempts, hedged ones included.
    pub max_attempts: Option<Located<u32>>,
    /// `attempt-time`: the maximum duration of an attempt.
    pub attempt_timeout: Option<Located<Duration>>,
    /// `connect-time`: the maximum duration of a connect.
    pub connect_timeout: Option<Located<Duration>>,
    /// `retry-on`: the outcomes after which a retry is allowed.
    pub retry_on: Option<Located<RetryOn>>,
    /// `back-off`: the wait before a retry; `None` inside for none.
    pub backoff: Option<Located<Option<Backoff>>>,
    /// `copies`: hedged requests; `None` inside for none.
    pub hedging: Option<Located<Option<HedgingRule>>>,
    /// `budget`: the budget of retries.
    pub retry_budget: Option<Located<RetryBudget>>,
    /// `in-hand`: the maximum number of requests in flight; `None` inside for no maximum.
    pub max_in_flight: Option<Located<Option<u32>>>,
    /// `queue`: where more of them wait; `None` inside for no queue.
    pub queue: Option<Located<Option<Queue>>>,
    /// `tenant-rate`: the rate limit of each tenant; `None` inside for none.
    pub tenant_rate: Option<Located<Option<TenantRate>>>,
    /// `retry-after`: how long a rejected client is asked to wait.
    pub retry_after: Option<Located<Duration>>,
    /// `wait`: the maximum time that a request waits for capacity of the backends.
    pub max_queue_time: Option<Located<Duration>>,
    /// `fallback`: the response in place of a rejection; `None` inside for none.
    pub fallback: Option<Located<Option<Fallback>>>,
    /// `upgrade`: the switches of protocol that are forwarded; `None` inside for none.
    pub upgrade: Option<Located<Option<UpgradeRule>>>,
    /// `gap`: the maximum time without any byte within a response that is forwarded while it arrives.
    pub max_stream_gap: Option<Located<Duration>>,
    /// `whole`: the maximum duration of such a response; `None` inside for no maximum.
    pub max_stream_duration: Option<Located<Option<Duration>>>,
    /// `hold`: how long a response of unknown length may pause before what has arrived of it is forwarded.
    pub stream_flush_delay: Option<Located<Duration>>,
    /// `replay`: the maximum size in bytes of a request's body that is buffered so that it can be sent again.
    pub replay_limit: Option<Located<u64>>,
}
