//! Routes the platform's requests. The first segment of the path is the class, the last one the affinity key;
//! the rest is in headers. Classes and tenants are those of the settings.

use crate::decision_loop::event::NodeEvent;
use crate::downstream::request_router::{
    RequestError, RequestRouter, RetryAfterPrecision, RoutedRequest, affinity_key, client_request_id,
    header_text,
};
use crate::headers::{ACCOUNT, IDEMPOTENCY_KEY, REPEAT, TIME_LEFT, WEIGHT_HINT, parse_seconds};
use crate::platform_node::settings::NodeSettings;
use crate::telemetry::node_metrics::{ClassMetrics, NodeMetrics};
use crate::telemetry::recorder::TraceLabels;
use crate::upstream::messages::BackendTimeouts;
use http_forwarding::forward::Forwarding;
use http_transport::body::MAX_BUFFERED_BODY;
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use join_up_to::{Class, NewRequest, Repeat, RequestId};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Routes the requests of the platform's node.
pub struct PlatformRouter {
    settings: NodeSettings,
    forwarding: Forwarding,
    events: mpsc::UnboundedSender<NodeEvent>,
    /// The metrics of the classes, in the order of the settings.
    metrics: Vec<Rc<ClassMetrics>>,
}

impl PlatformRouter {
    /// A router for these settings, which passes requests to `events`.
    pub fn new(
        settings: NodeSettings,
        events: mpsc::UnboundedSender<NodeEvent>,
        metrics: &NodeMetrics,
    ) -> Self {
        let metrics = settings.host.classes.iter().map(|name| metrics.class(name)).collect();
        PlatformRouter { settings, forwarding: Forwarding::default(), events, metrics }
    }

    /// The index of the class of a request. While settings change, there may be two classes with the same
    /// name: that is then the class whose form the request has, or the newer one if it has the form of
    /// neither.
    fn class(&self, name: &str, head: &Parts) -> Option<usize> {
        let has_name = |i: &usize| self.settings.host.classes[*i] == name && !name.is_empty();
        let mut classes = (0..self.settings.balancer.classes.len()).filter(has_name);
        let has_key = head.headers.get(&IDEMPOTENCY_KEY).is_some_and(|key| !key.is_empty());
        let form = RequestForm { method: &head.method, has_key };
        let first = classes.clone().next()?;
        let matching = classes.find(|i| form.matches(&self.settings.balancer.classes[*i]));
        Some(matching.unwrap_or(first))
    }

    /// The index of the tenant of the request; 0 if there are no tenants.
    fn tenant(&self, head: &Parts) -> Result<usize, RequestError> {
        let tenants = &self.settings.host.tenants;
        match header_text(head, &ACCOUNT)? {
            _ if tenants.is_empty() => Ok(0),
            Some(name) => {
                let tenant = tenants.iter().position(|tenant| tenant == name);
                tenant.ok_or_else(|| RequestError::bad_request("x-account: unknown"))
            }
            None => Err(RequestError::bad_request("x-account: missing")),
        }
    }
}

/// The method that the requests of a class must have.
fn method_of(class: &Class) -> Method {
    if class.repeat == Repeat::Safe { Method::GET } else { Method::POST }
}

/// The properties by which requests of classes with the same name are distinguished.
struct RequestForm<'h> {
    method: &'h Method,
    has_key: bool,
}

impl RequestForm<'_> {
    /// Whether requests of this class have this form.
    fn matches(&self, class: &Class) -> bool {
        *self.method == method_of(class) && self.has_key == matches!(class.repeat, Repeat::Keyed { .. })
    }
}

/// Checks that a request has the method and the idempotency key that its class demands.
fn validate_form(class: &Class, head: &Parts) -> Result<(), RequestError> {
    let method = method_of(class);
    if head.method != method {
        return Err(RequestError::bad_request(format!("this class takes {method}")));
    }
    if matches!(class.repeat, Repeat::Keyed { .. })
        && header_text(head, &IDEMPOTENCY_KEY)?.is_none_or(str::is_empty)
    {
        // Without the key, backends could not recognize a repeated request.
        return Err(RequestError::bad_request("idempotency-key: missing"));
    }
    Ok(())
}

/// How long the client waits, limited by the deadline of the class.
fn remaining_time(class: &Class, head: &Parts) -> Result<Duration, RequestError> {
    let Some(text) = header_text(head, &TIME_LEFT)? else { return Ok(class.deadline) };
    let remaining =
        parse_seconds(text).ok_or_else(|| RequestError::bad_request("x-time-left: not a time"))?;
    Ok(remaining.min(class.deadline))
}

/// The cost of the request as estimated by the client, if it says one.
fn expected_cost(head: &Parts) -> Result<Option<Duration>, RequestError> {
    let Some(text) = header_text(head, &WEIGHT_HINT)? else { return Ok(None) };
    let micros = text.parse::<f64>().ok().filter(|micros| (0.0..1e15).contains(micros));
    let micros = micros.ok_or_else(|| RequestError::bad_request("x-weight-hint: not a number"))?;
    Ok(Some(Duration::from_micros(micros as u64)))
}

impl RequestRouter for PlatformRouter {
    fn retry_after_precision(&self) -> RetryAfterPrecision {
        RetryAfterPrecision::Exact
    }

    fn forwarding(&self) -> &Forwarding {
        &self.forwarding
    }

    fn trace_labels(&self, routed: &RoutedRequest) -> TraceLabels {
        let host = &self.settings.host;
        let class = host.classes.get(routed.request.class).cloned().unwrap_or_default();
        TraceLabels { class, tenant: host.tenants.get(routed.request.tenant).cloned() }
    }

    fn route(&self, head: &Parts) -> Result<RoutedRequest, RequestError> {
        let mut parts = head.uri.path().split('/').skip(1);
        let name = parts.next().unwrap_or_default();
        let key = parts.last().filter(|key| !key.is_empty());
        let number = self
            .class(name, head)
            .ok_or_else(|| RequestError::new(StatusCode::NOT_FOUND, "no such class"))?;
        let class = &self.settings.balancer.classes[number];
        validate_form(class, head)?;
        let correlation_id =
            client_request_id(head)?.ok_or_else(|| RequestError::bad_request("x-correlation-id: missing"))?;
        let tenant = self.tenant(head)?;
        let remaining = remaining_time(class, head)?;
        let cost = expected_cost(head)?;
        let target =
            head.uri.path_and_query().cloned().ok_or_else(|| RequestError::bad_request("no path"))?;
        let request = NewRequest {
            id: RequestId(0),
            class: number,
            tenant,
            key: key.map_or(0, affinity_key),
            remaining,
            cost,
            client_retry: header_text(head, &REPEAT)? == Some("1"),
        };
        Ok(RoutedRequest {
            request,
            correlation_id,
            events: self.events.clone(),
            target,
            headers: Vec::new(),
            // Derived from the latency target of its own class, so that a class with a short target does not
            // shorten the attempts of the others.
            timeouts: Some(BackendTimeouts::for_target(class.latency_target, &self.settings.balancer)),
            route: None,
            admission: None,
            metrics: self.metrics.get(number).cloned(),
            repeat: class.repeat,
            upgrade: None,
            max_buffered_body: MAX_BUFFERED_BODY,
            hop: None,
        })
    }
}
