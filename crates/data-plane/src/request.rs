//! A client's request: matches its head against the active configuration, and determines the headers that a
//! backend gets. Reads no body and sends nothing.

use crate::header_names::{
    DEADLINE, EXPECTED_INSTANCE, INSTANCE, LOAD, MODEL, NOT_EXECUTED, PRIORITY, PROMPT_PREFIX, SIGNATURE,
    TENANT, TOKEN_USAGE,
};
use crate::request_error::RequestError;
use crate::service::Service;
use crate::state::DataPlaneState;
use crate::tenant_quotas;
use bytes::Bytes;
use configuration::{Route, RouteTable, RouteType, Tenant};
use http_forwarding::forward::strip_hop_by_hop;
use hyper::Method;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use routing::{RequestShape, parse_prompt_blocks};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The scheme of the `Authorization` header that carries a tenant's key.
const KEY_SCHEME: &str = "token ";
/// The priority of a request without a tenant, the lowest.
const NO_TENANT_PRIORITY: u8 = 9;

/// The route and the tenant that a request's head matches.
pub struct RouteMatch {
    /// The route for the head's host and path.
    pub route: Arc<Route>,
    /// The tenant that owns the key in the head; `None` without a valid key.
    pub tenant: Option<Arc<Tenant>>,
}

impl RouteMatch {
    /// Matches a head against the active configuration.
    ///
    /// # Errors
    /// The node has no configuration, the head names no host, no route matches, or the key is
    /// missing or unknown.
    pub fn new(state: &DataPlaneState, head: &Parts) -> Result<Self, RequestError> {
        let no_configuration = || RequestError::Unavailable(state.startup_retry_after());
        let active = state.active_configuration().ok_or_else(no_configuration)?;
        let host = requested_host(head).ok_or(RequestError::Malformed)?;
        let matched = active.table.route(&host, head.uri.path()).ok_or(RequestError::NoRoute)?;
        let tenant = authenticated_tenant(&active.table, &head.headers);
        if tenant.is_none() && active.table.requires_keys() && !matched.route.public {
            return Err(RequestError::Unauthorized);
        }
        Ok(RouteMatch { route: matched.route, tenant })
    }
}

/// The host that a request is for, without user information and port. `None` if the head names none.
fn requested_host(head: &Parts) -> Option<String> {
    let from_header = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = head.uri.authority().map(|authority| authority.as_str()).or(from_header)?;
    let host = host.rsplit_once('@').map_or(host, |(_, host)| host);
    let is_port = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
    let name = host.rsplit_once(':').filter(|(_, end)| is_port(end)).map_or(host, |(name, _)| name);
    Some(name.to_owned())
}

fn authenticated_tenant(table: &RouteTable, headers: &HeaderMap) -> Option<Arc<Tenant>> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_at_checked(KEY_SCHEME.len())?;
    if !scheme.eq_ignore_ascii_case(KEY_SCHEME) {
        return None;
    }
    table.tenant(key.trim()).cloned()
}

/// A complete request that is to be forwarded.
pub struct ProxyRequest {
    /// The method that the client sent.
    pub method: Method,
    /// The path and query that a backend gets.
    pub target: PathAndQuery,
    /// The headers that a backend gets, except those that an attempt adds.
    pub headers: HeaderMap,
    /// The complete body, which each attempt sends again.
    pub body: Bytes,
    /// The route that the head matches.
    pub route: Arc<Route>,
    /// The service that the route's traffic split selected.
    pub service: Rc<Service>,
    /// `None` for a request without a valid key.
    pub tenant: Option<Arc<Tenant>>,
    /// The properties for the selection of a backend. Times in it count from `received_at`.
    pub shape: RequestShape,
    /// The time at which the request's head arrived.
    pub received_at: Instant,
    /// When the client stops waiting or the route's time-out ends, whichever is earlier.
    pub deadline: Instant,
}

impl ProxyRequest {
    /// Builds a request from its head and body.
    ///
    /// # Errors
    /// The route names no service.
    pub fn new(
        state: &DataPlaneState,
        matched: RouteMatch,
        head: Parts,
        body: Bytes,
        received_at: Instant,
    ) -> Result<Self, RequestError> {
        let RouteMatch { route, tenant } = matched;
        let service = state.service(select_service(state, &route).ok_or(RequestError::NoRoute)?);
        let client_timeout =
            numeric_header(&head.headers, &DEADLINE).map(|ms| Duration::from_secs_f64(ms / 1000.0));
        let route_timeout = Duration::from_millis(route.timeout_ms);
        let timeout = client_timeout.map_or(route_timeout, |timeout| timeout.min(route_timeout));
        let deadline = received_at + timeout;
        let shape = request_shape(&head.headers, &route, tenant.as_deref(), deadline - received_at);
        let target = head.uri.path_and_query().cloned().unwrap_or(PathAndQuery::from_static("/"));
        let headers = forwarded_headers(head.headers, tenant.as_deref());
        let method = head.method;
        Ok(ProxyRequest {
            method,
            target,
            headers,
            body,
            route,
            service,
            tenant,
            shape,
            received_at,
            deadline,
        })
    }

    /// Whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.route.route_type {
            RouteType::Safe => true,
            RouteType::NonIdempotent => false,
            RouteType::Streaming => self.route.stream_resume,
        }
    }

    /// Whether the response is a stream that may be resumed at another backend.
    pub fn is_resumable(&self) -> bool {
        self.route.route_type == RouteType::Streaming && self.route.stream_resume
    }

    /// The time from `received_at` by which the response, or the first event of a stream, should arrive.
    pub fn latency_target(&self) -> Duration {
        self.shape.latency_target
    }

    /// The cost of the request in the unit of its tenant's limit; 0 without a tenant.
    pub fn quota_cost(&self) -> f64 {
        let tokens = u64::from(self.shape.prompt_tokens) + u64::from(self.shape.output_tokens);
        let tokens = Some(tokens).filter(|_| self.headers.contains_key(TOKEN_USAGE));
        self.tenant.as_ref().map_or(0.0, |tenant| tenant_quotas::cost(tenant, tokens))
    }
}

/// Selects the service for a request: at random by weight if the route splits its traffic among several.
fn select_service<'r>(state: &DataPlaneState, route: &'r Route) -> Option<&'r str> {
    let total: u64 = route.traffic_split.iter().map(|share| share.weight).sum();
    if total == 0 {
        return route.service.as_deref();
    }
    let mut drawn = state.random_below(total);
    for share in &route.traffic_split {
        match drawn.checked_sub(share.weight) {
            Some(remainder) => drawn = remainder,
            None => return Some(&share.service),
        }
    }
    None
}

fn numeric_header(headers: &HeaderMap, name: &HeaderName) -> Option<f64> {
    let text = headers.get(name)?.to_str().ok()?;
    text.trim().parse().ok().filter(|number: &f64| (0.0..1e9).contains(number))
}

fn text_header<'h>(headers: &'h HeaderMap, name: &HeaderName) -> &'h str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

fn request_shape(
    headers: &HeaderMap,
    route: &Route,
    tenant: Option<&Tenant>,
    deadline: Duration,
) -> RequestShape {
    let usage = text_header(headers, &TOKEN_USAGE);
    let mut tokens = usage.split(',').map(|number| number.trim().parse().unwrap_or(0));
    let latency_target = match route.target_latency_ms {
        0 => deadline,
        ms => Duration::from_millis(ms),
    };
    RequestShape {
        model: text_header(headers, &MODEL).to_owned(),
        prompt_tokens: tokens.next().unwrap_or(0),
        output_tokens: tokens.next().unwrap_or(0),
        blocks: parse_prompt_blocks(text_header(headers, &PROMPT_PREFIX)),
        tenant_priority: tenant.map_or(NO_TENANT_PRIORITY, |tenant| tenant.priority),
        route_priority: route.priority,
        latency_target,
        deadline,
        streaming: route.route_type == RouteType::Streaming,
    }
}

/// The headers that a backend gets: those of the client without hop-by-hop headers, the tenant's key, and the
/// headers that only the node or a backend may set.
fn forwarded_headers(headers: HeaderMap, tenant: Option<&Tenant>) -> HeaderMap {
    let mut headers = strip_hop_by_hop(headers);
    let reserved = [TENANT, EXPECTED_INSTANCE, PRIORITY, LOAD, NOT_EXECUTED, SIGNATURE, INSTANCE];
    reserved.iter().chain([&header::AUTHORIZATION]).for_each(|name| drop(headers.remove(name)));
    if let Some(name) = tenant.and_then(|tenant| HeaderValue::from_str(&tenant.name).ok()) {
        headers.insert(TENANT, name);
    }
    headers
}
