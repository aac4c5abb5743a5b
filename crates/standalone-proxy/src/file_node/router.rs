//! Routes requests by the operator's file: the route determines the class, the cluster and what is forwarded.

use crate::decision_loop::event::NodeEvent;
use crate::downstream::request_router::{
    AdmissionKey, PeerAddress, RequestError, RequestRouter, RequestedUpgrade, RetryAfterPrecision,
    RoutedRequest, affinity_key, client_request_id, header_text,
};
use crate::headers::{CORRELATION, IDEMPOTENCY_KEY, REPEAT, TIME_LEFT, parse_seconds};
use crate::telemetry::exchanges::ExchangeLabels;
use crate::telemetry::recorder::TraceLabels;
use crate::upstream::messages::BackendTimeouts;
use http_body_util::Full;
use http_forwarding::forward::{self, Forwarding, Hop, MaxForwards};
use http_transport::body::MessageBody;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Response, StatusCode, Version};
use join_up_to::{NewRequest, RequestId, ServerId};
use route_config::model::UpgradeRule;
use route_config::resolve::ResolvedSettings;
use route_config::route::RouteMatch;
use route_config::{BackendPlan, KeySource, Plan, target};
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Routes the requests of a node that runs from a file. Each version of the file has its own router.
pub struct FileRouter {
    plan: Rc<Plan>,
    /// The channels of the clusters' tasks, in the order of the plan.
    clusters: Vec<mpsc::UnboundedSender<NodeEvent>>,
    ids: Rc<IdGenerator>,
    /// For each cluster, the index of each backend in the list of the cluster. Used to look up the names of
    /// backends.
    backend_indices: Vec<HashMap<ServerId, usize>>,
}

/// Generates ids for requests without one. Shared by all versions of the file, so that ids stay unique.
pub struct IdGenerator {
    prefix: u64,
    next: Cell<u64>,
}

impl IdGenerator {
    /// A generator of ids with this prefix, which must differ for each start of a node.
    pub fn new(prefix: u64) -> Self {
        IdGenerator { prefix, next: Cell::new(0) }
    }

    fn generate(&self) -> HeaderValue {
        let number = self.next.get();
        self.next.set(number + 1);
        // Digits, letters and a hyphen always form a valid header value.
        HeaderValue::try_from(format!("{:016x}-{number:x}", self.prefix))
            .unwrap_or(HeaderValue::from_static("made"))
    }
}

impl FileRouter {
    /// A router for a plan, with the channels of its clusters.
    pub fn new(
        plan: Rc<Plan>,
        clusters: Vec<mpsc::UnboundedSender<NodeEvent>>,
        ids: Rc<IdGenerator>,
    ) -> Self {
        let indices = |backends: &[BackendPlan]| {
            backends.iter().enumerate().map(|(index, backend)| (backend.entry.id, index)).collect()
        };
        let backend_indices = plan.clusters.iter().map(|cluster| indices(&cluster.backends)).collect();
        FileRouter { plan, clusters, ids, backend_indices }
    }

    /// The plan by which it routes.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The index of the tenant of the request; `None` if the file has no tenants.
    fn tenant(&self, head: &Parts) -> Result<Option<usize>, RequestError> {
        if self.plan.tenants.is_empty() {
            return Ok(None);
        }
        let name = &self.plan.tenant_header;
        let tenant =
            header_text(head, name)?.ok_or_else(|| RequestError::bad_request(format!("{name}: missing")))?;
        let number = self.plan.tenants.iter().position(|known| known == tenant);
        number.map(Some).ok_or_else(|| RequestError::bad_request(format!("{name}: unknown")))
    }

    /// Returns the id that the client has given the request, or else a generated one, which is added to the
    /// headers.
    fn correlation_id(
        &self,
        head: &Parts,
        headers: &mut Vec<(HeaderName, HeaderValue)>,
    ) -> Result<HeaderValue, RequestError> {
        if let Some(id) = client_request_id(head)? {
            return Ok(id);
        }
        let generated = self.ids.generate();
        headers.push((CORRELATION, generated.clone()));
        Ok(generated)
    }
}

/// Checks that a request has its idempotency key. Returns the key if it must be added to the headers, as it
/// comes from the path.
fn idempotency_key(
    source: &KeySource,
    head: &Parts,
    captured: impl Fn(usize) -> String,
) -> Result<Option<HeaderValue>, RequestError> {
    match source {
        KeySource::Header(name) => {
            // With two keys, this node and a backend could use different ones.
            let mut keys = head.headers.get_all(name).iter();
            match (keys.next(), keys.next()) {
                (Some(key), None) if !key.is_empty() => Ok(None),
                (Some(_), Some(_)) => Err(RequestError::bad_request(format!("{name}: said twice"))),
                _ => Err(RequestError::bad_request(format!("{name}: missing"))),
            }
        }
        KeySource::Capture(number) => HeaderValue::try_from(captured(*number))
            .map(Some)
            .map_err(|_| RequestError::bad_request("the key in the path is no text")),
    }
}

/// The host of a request.
struct RequestHost {
    /// The normalized host by which routes are matched; `None` if the request names none.
    name: Option<String>,
    /// The `Host` header to forward in place of the client's, if the host comes from the target.
    header: Option<HeaderValue>,
}

fn host(head: &Parts) -> Result<RequestHost, RequestError> {
    let mut hosts = head.headers.get_all(header::HOST).iter();
    let (first, second) = (hosts.next(), hosts.next());
    if second.is_some() {
        return Err(RequestError::bad_request("host: said twice"));
    }
    let invalid = || RequestError::bad_request("host: not a host");
    // A target in absolute form takes precedence over the header (RFC 9112, section 3.2.2).
    if let Some(authority) = head.uri.authority() {
        let name = target::normalize_host(authority.as_str()).ok_or_else(invalid)?.into_owned();
        let header = HeaderValue::try_from(authority.as_str()).map_err(|_| invalid())?;
        return Ok(RequestHost { name: Some(name), header: Some(header) });
    }
    match first {
        None if head.version == Version::HTTP_10 => Ok(RequestHost { name: None, header: None }),
        None => Err(RequestError::bad_request("host: missing")),
        Some(value) => {
            let text = value.to_str().map_err(|_| invalid())?;
            let name = target::normalize_host(text).ok_or_else(invalid)?.into_owned();
            Ok(RequestHost { name: Some(name), header: None })
        }
    }
}

/// The switch of protocols that a request asks for, if it does so according to RFC 9110 (section 7.8) and the
/// route forwards that protocol.
fn requested_upgrade(head: &Parts, rule: &UpgradeRule) -> Option<RequestedUpgrade> {
    let protocol = head.headers.get(header::UPGRADE)?;
    let name = protocol.to_str().ok()?.to_ascii_lowercase();
    let is_listed = forward::list_contains(&head.headers, header::CONNECTION, "upgrade");
    let is_plain_get = head.method == Method::GET && head.version == Version::HTTP_11;
    (is_listed && is_plain_get && rule.to.contains(&name))
        .then(|| RequestedUpgrade { protocol: protocol.clone(), idle_timeout: rule.idle })
}

/// The value of `Max-Forwards` to forward, if the request has one.
fn remaining_forwards(head: &Parts) -> Result<Option<u32>, RequestError> {
    match forward::max_forwards(&head.method, &head.headers) {
        MaxForwards::Forward(remaining) => Ok(remaining),
        // The request must not be forwarded. RFC 9110 (section 9.3.7) demands a response with status 200 to
        // OPTIONS.
        MaxForwards::RespondLocally => {
            Err(RequestError::new(StatusCode::OK, "this node; no further, as Max-Forwards says"))
        }
    }
}

/// How long the client waits, limited by the time-out of the route.
fn remaining_time(head: &Parts, allowed: Duration) -> Result<Duration, RequestError> {
    let Some(text) = header_text(head, &TIME_LEFT)? else { return Ok(allowed) };
    let remaining =
        parse_seconds(text).ok_or_else(|| RequestError::bad_request("x-time-left: not a time"))?;
    Ok(remaining.min(allowed))
}

/// The path and query that are forwarded: those of the client, unless the path was rewritten or normalized.
/// `None` if they are not valid.
fn forwarded_target(head: &Parts, path: &str, rewritten: Option<String>) -> Option<PathAndQuery> {
    match rewritten {
        None if path == head.uri.path() => head.uri.path_and_query().cloned(),
        rewritten => {
            let path = rewritten.unwrap_or_else(|| path.to_string());
            let query = head.uri.query().map_or(String::new(), |query| format!("?{query}"));
            PathAndQuery::from_maybe_shared(path + &query).ok()
        }
    }
}

fn backend_timeouts(settings: &ResolvedSettings) -> BackendTimeouts {
    BackendTimeouts {
        connect: settings.connect_timeout.value,
        stall: settings.max_attempt_duration(),
        max_gap: settings.max_stream_gap.value,
        max_stream: settings.max_stream_duration.value,
        max_buffer_pause: Some(settings.stream_flush_delay.value),
    }
}

impl RequestRouter for FileRouter {
    fn retry_after_precision(&self) -> RetryAfterPrecision {
        RetryAfterPrecision::WholeSeconds
    }

    fn fallback(&self, route: Option<usize>) -> Option<Response<MessageBody>> {
        let fallback = self.plan.routes[route?].settings.fallback.value.as_ref()?;
        let mut response = Response::new(Full::from(fallback.body.clone()).into());
        *response.status_mut() = StatusCode::from_u16(fallback.status).ok()?;
        response.headers_mut().insert(header::CONTENT_TYPE, fallback.media_type.clone());
        // The fallback is temporary and must not be cached.
        response.headers_mut().insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        Some(response)
    }

    fn exchange_labels(&self, routed: &RoutedRequest) -> Option<ExchangeLabels> {
        let route = &self.plan.routes[routed.route?];
        let TraceLabels { tenant, .. } = self.trace_labels(routed);
        Some(ExchangeLabels {
            class: route.class_name.clone(),
            cluster: self.plan.clusters[route.cluster].name.clone(),
            route: route.name.clone(),
            tenant,
        })
    }

    fn backend_name(&self, route: Option<usize>, backend: ServerId) -> Option<String> {
        let cluster = self.plan.routes[route?].cluster;
        let index = *self.backend_indices[cluster].get(&backend)?;
        Some(self.plan.clusters[cluster].backends[index].name.clone())
    }

    fn forwarding(&self) -> &Forwarding {
        &self.plan.forwarding
    }

    fn trace_labels(&self, routed: &RoutedRequest) -> TraceLabels {
        let class = routed.route.map(|number| self.plan.routes[number].class_name.clone());
        let tenant = routed.admission.and_then(|key| self.plan.tenants.get(key.tenant?));
        TraceLabels { class: class.unwrap_or_default(), tenant: tenant.cloned() }
    }

    fn route(&self, head: &Parts) -> Result<RoutedRequest, RequestError> {
        let plan = &self.plan;
        let host = host(head)?;
        let path = target::normalize_path(head.uri.path(), plan.encoded_slash)
            .map_err(|error| RequestError::bad_request(error.to_string()))?;
        let found = plan.table.find(host.name.as_deref(), &path, &head.method, &head.headers);
        let (number, captures) = match found {
            RouteMatch::Route { number, captures } => (number, captures),
            RouteMatch::MethodNotAllowed(methods) => return Err(method_not_allowed(&methods)),
            RouteMatch::NotFound => return Err(RequestError::new(StatusCode::NOT_FOUND, "no such route")),
        };
        let route = &plan.routes[number];
        let max_forwards = remaining_forwards(head)?;
        let captured = |number| captures.get(&path, number).unwrap_or_default().to_string();
        let tenant = self.tenant(head)?;
        let mut headers: Vec<(HeaderName, HeaderValue)> = Vec::new();
        headers.extend(host.header.map(|host| (header::HOST, host)));
        headers.extend(max_forwards.map(|remaining| (header::MAX_FORWARDS, HeaderValue::from(remaining))));
        if let Some(source) = &route.key {
            let key = idempotency_key(source, head, captured)?;
            headers.extend(key.map(|key| (IDEMPOTENCY_KEY, key)));
        }
        let correlation_id = self.correlation_id(head, &mut headers)?;
        let settings = &route.settings;
        let remaining = remaining_time(head, settings.timeout.value)?;
        let target = forwarded_target(head, &path, route.forwarded_path(&path, &captures));
        let subject = route.subject.map(captured).filter(|subject| !subject.is_empty());
        let request = NewRequest {
            id: RequestId(0),
            class: route.class,
            tenant: tenant.unwrap_or(0),
            key: subject.map_or(0, |subject| affinity_key(&subject)),
            remaining,
            cost: None,
            client_retry: header_text(head, &REPEAT)? == Some("1"),
        };
        Ok(RoutedRequest {
            metrics: None,
            request,
            correlation_id,
            events: self.clusters[route.cluster].clone(),
            target: target.ok_or_else(|| RequestError::bad_request("no path"))?,
            headers,
            timeouts: Some(backend_timeouts(settings)),
            upgrade: settings.upgrade.value.as_ref().and_then(|rule| requested_upgrade(head, rule)),
            repeat: route.repeat,
            max_buffered_body: usize::try_from(settings.replay_limit.value).unwrap_or(usize::MAX),
            hop: head.extensions.get().map(|PeerAddress(from)| Hop {
                from: *from,
                secure: false,
                version: head.version,
            }),
            route: Some(number),
            admission: Some(AdmissionKey { limit: route.limit, tenant }),
        })
    }
}

/// The error for a path that has routes for other methods only.
fn method_not_allowed(methods: &[Method]) -> RequestError {
    let methods: Vec<_> = methods.iter().map(Method::as_str).collect();
    let allow = HeaderValue::try_from(methods.join(", ")).ok();
    RequestError::new(StatusCode::METHOD_NOT_ALLOWED, "this path takes other methods")
        .with_header(header::ALLOW, allow)
}
