//! The configurations that the operator sends: routes, services and tenants.

use crate::request_kind::{HOST, MODEL_SERVICE, PLAIN_SERVICE, RequestKind};
use serde_json::{Value, json};

/// The path at which backends of the language model report digests of the prompt blocks that they cache.
pub const HOLDINGS_PATH: &str = "/api/holdings";

/// A tenant, with its credentials and its rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: &'static str,
    /// The API key that its requests are sent with.
    pub api_key: &'static str,
    /// The rate limit in requests per second, which is also the burst size; 0 for no limit.
    pub rate_per_s: f64,
}

/// The tenant without a rate limit.
pub const UNLIMITED_TENANT: Tenant = Tenant { name: "desk", api_key: "key-of-desk", rate_per_s: 0.0 };
/// The tenant with a rate limit.
pub const LIMITED_TENANT: Tenant = Tenant { name: "visitors", api_key: "key-of-visitors", rate_per_s: 6.0 };
/// All tenants.
pub const TENANTS: [Tenant; 2] = [UNLIMITED_TENANT, LIMITED_TENANT];

/// The path prefix of the route that a generation adds.
pub fn added_route_prefix(generation: u64) -> String {
    format!("/added-{generation}/")
}

/// The configuration of a generation, as JSON. `added_generations` are the generations up to it that added a
/// route.
pub fn configuration(generation: u64, added_generations: &[u64]) -> String {
    let usual = RequestKind::ALL.into_iter().filter(|kind| *kind != RequestKind::Added);
    let usual = usual.map(|kind| route(kind.name(), &format!("/{}/", kind.name()), kind));
    let added = added_generations.iter().map(|generation| {
        route(&format!("added-{generation}"), &added_route_prefix(*generation), RequestKind::Added)
    });
    let routes: Vec<Value> = usual.chain(added).collect();
    let tenants: Vec<Value> = TENANTS.iter().map(tenant).collect();
    json!({"generation": generation, "routes": routes, "tenants": tenants,
        "services": [
            {"name": MODEL_SERVICE, "health_check_path": "/health", "max_connections": 200, "protocol": "h1",
                "tls": false,
                "engine": {"slots": 16, "kv_capacity_tokens": 100_000, "kv_token_bytes": 18_432, "stride": 6,
                    "models": [{"name": "m"}]}, "holdings_path": HOLDINGS_PATH},
            {"name": PLAIN_SERVICE, "health_check_path": "/health", "max_connections": 96, "protocol": "h1",
                "tls": false}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 1_048_576, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000}})
    .to_string()
}

fn tenant(tenant: &Tenant) -> Value {
    let Tenant { name, api_key, rate_per_s } = tenant;
    json!({"name": name, "api_keys": [api_key], "priority": 1, "rate_per_s": rate_per_s, "burst": rate_per_s})
}

fn route(name: &str, prefix: &str, kind: RequestKind) -> Value {
    json!({"name": name, "hostname": HOST, "path_prefix": prefix, "route_type": kind.route_type(),
        "timeout_ms": kind.deadline().as_millis() as u64, "target_latency_ms": 500, "priority": 1,
        "service": kind.service(), "max_attempts": 2, "public": false, "session_affinity": kind.is_stream(),
        "stream_resume": kind == RequestKind::Question, "gap_aim_ms": 600})
}
