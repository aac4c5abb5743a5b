//! The model of a configuration. Field names are those of the operator's JSON document, unless changed by
//! `#[serde(rename)]`.

use crate::lenient::{integer, integer_or_default, integer_or_none, or_default};
use serde::{Deserialize, Deserializer, Serialize};

/// The content of the operator's JSON document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The version of the document; higher is newer. At least 1.
    #[serde(deserialize_with = "integer")]
    pub generation: u64,
    /// The routes, in any order.
    #[serde(default, deserialize_with = "or_default")]
    pub routes: Vec<Route>,
    /// The services that routes refer to by name, in any order.
    #[serde(default, deserialize_with = "or_default")]
    pub services: Vec<Service>,
    /// Limits on the requests and connections of clients.
    #[serde(default, deserialize_with = "or_default")]
    pub limits: Limits,
    /// The tenants. If there are none, requests need no API keys.
    #[serde(default, deserialize_with = "or_default")]
    pub tenants: Vec<Tenant>,
}

/// Whether a route's requests may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteType {
    /// Requests are idempotent and may be executed more than once.
    Safe,
    /// A request may be executed at most once.
    NonIdempotent,
    /// The response is an event stream. A request may be executed at most once, unless its stream may be
    /// resumed.
    Streaming,
}

/// A route: the requests to a host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub name: String,
    /// The host in the `Host` header of requests, compared without regard to case.
    pub hostname: String,
    /// The prefix of the paths of requests. Begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be executed more than once.
    pub route_type: RouteType,
    /// The time-out of a request, in milliseconds.
    #[serde(deserialize_with = "integer")]
    pub timeout_ms: u64,
    /// The latency target, in milliseconds; 0 for none.
    #[serde(default, deserialize_with = "integer_or_default")]
    pub target_latency_ms: u64,
    /// The priority; 0 is the highest.
    #[serde(default, deserialize_with = "integer_or_default")]
    pub priority: u8,
    /// The service, if there is a single one.
    #[serde(default)]
    pub service: Option<String>,
    /// The services with their weights, if the traffic is split between several.
    #[serde(default, deserialize_with = "or_default")]
    pub traffic_split: Vec<WeightedService>,
    /// The most attempts for one request, including the first; 1 if absent.
    #[serde(default = "one", deserialize_with = "integer_or_one")]
    pub max_attempts: u32,
    /// Whether requests need no API key.
    #[serde(default, deserialize_with = "or_default")]
    pub public: bool,
    /// Whether the requests of a session should go to the same backend.
    #[serde(default, deserialize_with = "or_default")]
    pub session_affinity: bool,
    /// Whether an interrupted stream may be resumed at another backend.
    #[serde(default, deserialize_with = "or_default")]
    pub stream_resume: bool,
    /// The target for the time between two events of a stream, in milliseconds.
    #[serde(rename = "gap_aim_ms", default, deserialize_with = "integer_or_none")]
    pub gap_target_ms: Option<u64>,
}

fn one() -> u32 {
    1
}

fn integer_or_one<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    Ok(integer_or_none(deserializer)?.unwrap_or_else(one))
}

/// A service that gets a part of the requests of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The name of the service.
    pub service: String,
    /// The weight relative to those of the other services of the split.
    #[serde(deserialize_with = "integer")]
    pub weight: u64,
}

/// A service: a group of equivalent backends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name by which routes refer to the service.
    pub name: String,
    /// The path of a backend's health check.
    #[serde(default, deserialize_with = "or_default")]
    pub health_check_path: String,
    /// The most connections that a backend accepts from all nodes together; `None` for no limit.
    #[serde(default, deserialize_with = "integer_or_none")]
    pub max_connections: Option<u64>,
    /// The inference engine, if the service is a language model.
    #[serde(default)]
    pub engine: Option<Engine>,
    /// The path at which the backends serve digests of their prefix caches; `None` if they serve none.
    #[serde(default)]
    pub holdings_path: Option<String>,
}

/// The inference engine of a language model's backends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// The number of requests that a backend processes concurrently.
    #[serde(default, deserialize_with = "integer_or_default")]
    pub slots: u32,
    /// The capacity of a backend's KV cache, in tokens.
    #[serde(default, deserialize_with = "integer_or_default")]
    pub kv_capacity_tokens: u64,
    /// The number of tokens in each event of a stream.
    #[serde(default, deserialize_with = "integer_or_none")]
    pub stride: Option<u32>,
}

/// Limits on the requests and connections of clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The largest request head (request line and headers), in bytes.
    #[serde(deserialize_with = "integer")]
    pub max_header_bytes: u64,
    /// The largest request body, in bytes.
    #[serde(deserialize_with = "integer")]
    pub max_body_bytes: u64,
    /// The time-out for receiving a request head, in milliseconds.
    #[serde(deserialize_with = "integer")]
    pub header_timeout_ms: u64,
    /// The time-out of an idle connection, in milliseconds.
    #[serde(deserialize_with = "integer")]
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15000,
        }
    }
}

/// What a tenant's rate and burst are measured in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// The limit counts tokens. A request that states no number counts as `plain_tokens`, else 1.
    Tokens,
    /// The limit counts requests. Also used for any other name in the document.
    #[default]
    #[serde(other)]
    Requests,
}

/// A client of the fleet, with its API keys, its priority and its limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// The name of the tenant.
    pub name: String,
    /// The API keys by which requests are recognized as those of the tenant.
    #[serde(default, deserialize_with = "or_default")]
    pub api_keys: Vec<String>,
    /// The tenant's priority, which is compared before that of the route; 0 is the highest.
    #[serde(default, deserialize_with = "integer_or_default")]
    pub priority: u8,
    /// The unit of the tenant's limit.
    #[serde(default, deserialize_with = "or_default")]
    pub unit: Unit,
    /// The number of tokens that are assumed for a request which does not state it.
    #[serde(default)]
    pub plain_tokens: Option<f64>,
    /// The rate limit per second of all nodes together; 0 or absent for none.
    #[serde(default)]
    pub rate_per_s: Option<f64>,
    /// The burst that is admitted beyond the rate, in the tenant's unit.
    #[serde(default)]
    pub burst: Option<f64>,
}
