//! Handles a request from its head to its response: reads it, applies the limits, passes it to the task of
//! the node, and returns the response. Does not decide where it is sent.

use crate::decision_loop::event::{Arrival, FinalResponse, NodeEvent, PendingResponse};
use crate::downstream::admission::AdmissionPermit;
use crate::downstream::fingerprint::{FingerprintInput, IdOrigin, fingerprint};
use crate::downstream::request_router::{RequestError, RequestRouter, RequestedUpgrade, RoutedRequest};
use crate::downstream::response::{ResponseForm, client_response, rejection_response};
use crate::downstream::state::DownstreamState;
use crate::headers::{CORRELATION, IDEMPOTENCY_KEY};
use crate::telemetry::exchanges::{Exchange, ServedBy};
use crate::telemetry::node_metrics::{ClassMetrics, InFlightGuard, increment};
use crate::telemetry::recorder::RecordedRequest;
use crate::upstream::messages::BackendRequest;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_forwarding::forward::{Hop, list_contains, strip_hop_by_hop};
use http_transport::body::{
    BodyBuffer, MAX_BUFFERED_BODY, MessageBody, ReadBody, Upload, UploadEvent, upload_timeout,
};
use http_transport::client_connections::ConnectionState;
use http_transport::send_permit::CancellationFlag;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use join_up_to::{Repeat, RequestId};
use std::rc::Rc;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

/// The memory that a request in flight may occupy in addition to its body, in KiB: that of a buffered
/// response.
const RESPONSE_KIB: usize = MAX_BUFFERED_BODY >> 10;

/// Answers a request. Counts the response in the metrics of the class if the head was accepted.
///
/// # Errors
/// The request is not accepted.
pub async fn respond(
    state: &Rc<DownstreamState>,
    request: Request<Incoming>,
    connection: &ConnectionState,
) -> Result<Response<MessageBody>, RequestError> {
    let mut class_metrics = None;
    let response = handle(state, request, connection, &mut class_metrics).await;
    if let Some(metrics) = &class_metrics {
        match response.as_ref().map_or_else(RequestError::status, Response::status) {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => increment(&metrics.shed),
            status if status.as_u16() < 400 => increment(&metrics.ok),
            _ => increment(&metrics.errors),
        }
    }
    response
}

async fn handle(
    state: &Rc<DownstreamState>,
    request: Request<Incoming>,
    connection: &ConnectionState,
    class_metrics: &mut Option<Rc<ClassMetrics>>,
) -> Result<Response<MessageBody>, RequestError> {
    let (head, mut body) = request.into_parts();
    let router = state.router.borrow().clone();
    let mut routed = match router.route(&head) {
        // A route of the file for this path takes precedence.
        Err(error) if error.status() == StatusCode::NOT_FOUND && is_readiness_check(&head) => {
            return Ok(readiness_response(state));
        }
        routed => routed?,
    };
    *class_metrics = routed.metrics.clone();
    let id_guard = RequestIdGuard::new(state, routed.correlation_id.clone())?;
    let size = body.size_hint().exact();
    validate_body(state, &head, &body)?;
    let Some(memory) = reserve_memory(state, size, routed.max_buffered_body) else {
        let precision = router.retry_after_precision();
        return Ok(rejection_response(StatusCode::SERVICE_UNAVAILABLE, state.retry_after.get(), precision));
    };
    let read = read_body(&mut body, routed.max_buffered_body).await?;
    if matches!(read, ReadBody::Complete(_)) {
        connection.mark_request_complete();
    }
    let arrived_at = arrival_time(state, routed.repeat);
    let in_flight = state.metrics.begin_request();
    let exchange = begin_exchange(state, &*router, &routed, &head.method);
    let mut guards =
        RequestGuards { _id: id_guard, _memory: memory, _in_flight: in_flight, permit: None, exchange };
    // A request is accepted once its body was read as far as it is buffered, by the router that is active
    // then.
    let router = route_again(state, router, &head, &mut routed)?;
    let id = RequestId(state.next_request_id.get());
    state.next_request_id.set(id.0 + 1);
    if let Some(key) = routed.admission {
        match state.admission.admit(key, id.0).await {
            Ok(permit) => guards.permit = Some(permit),
            Err(rejection) => {
                if let Some(exchange) = &guards.exchange {
                    exchange.response_started(rejection.status.as_u16(), None);
                    exchange.completion_flag().set(true);
                }
                let (after, precision) = (Some(rejection.retry_after), router.retry_after_precision());
                return Ok(rejection_response(rejection.status, after, precision));
            }
        }
    }
    // The file may have been replaced while the request was queued.
    let router = route_again(state, router, &head, &mut routed)?;
    routed.request.id = id;
    record(state, &*router, &routed, &head, read.size(size));
    let accepted = AcceptedRequest { head, routed, read, body, size, arrived_at };
    forward(accepted, state, &*router, guards).await
}

fn is_readiness_check(head: &Parts) -> bool {
    head.uri.path() == "/ready" && head.method == Method::GET
}

fn readiness_response(state: &DownstreamState) -> Response<MessageBody> {
    let is_ready = state.ready.get() && !state.shutting_down.get();
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    RequestError::new(status, if is_ready { "ready" } else { "not ready" }).into_response()
}

/// Checks the size that the head announces, and that a GET request has no body.
fn validate_body(state: &DownstreamState, head: &Parts, body: &Incoming) -> Result<(), RequestError> {
    if body.size_hint().exact().is_some_and(|size| size > state.max_body) {
        let message = format!("a body holds at most {} bytes", state.max_body);
        return Err(RequestError::new(StatusCode::PAYLOAD_TOO_LARGE, message));
    }
    if head.method == Method::GET && !body.is_end_stream() {
        return Err(RequestError::bad_request("this class takes no body"));
    }
    Ok(())
}

/// Reserves memory for the buffered part of a request and for its response. `None` if there is not enough
/// memory.
fn reserve_memory(
    state: &DownstreamState,
    size: Option<u64>,
    max_buffered_body: usize,
) -> Option<OwnedSemaphorePermit> {
    let buffered = size.unwrap_or(u64::MAX).min(max_buffered_body as u64);
    let kib = buffered.div_ceil(1 << 10) as u32 + RESPONSE_KIB as u32;
    state.body_memory_kib.clone().try_acquire_many_owned(kib).ok()
}

/// The time from which the time that the client waits is counted: the arrival of the last byte. That may have
/// arrived at the start of a stall that has just ended, which is assumed unless the request is idempotent:
/// then a late attempt does no harm.
fn arrival_time(state: &DownstreamState, repeat: Repeat) -> Instant {
    let earliest = state.stalls.earliest_arrival();
    if repeat == Repeat::Safe { Instant::now() } else { earliest }
}

fn begin_exchange(
    state: &DownstreamState,
    router: &dyn RequestRouter,
    routed: &RoutedRequest,
    method: &Method,
) -> Option<Exchange> {
    let telemetry = state.telemetry.as_ref()?;
    let labels = router.exchange_labels(routed)?;
    Some(Exchange::begin(telemetry, labels, method.as_str()))
}

/// Routes a head again if the router was replaced since it was routed. Returns the current router.
fn route_again(
    state: &DownstreamState,
    last: Rc<dyn RequestRouter>,
    head: &Parts,
    routed: &mut RoutedRequest,
) -> Result<Rc<dyn RequestRouter>, RequestError> {
    let router = state.router.borrow().clone();
    if !Rc::ptr_eq(&last, &router) {
        let id = routed.correlation_id.clone();
        *routed = router.route(head)?;
        // The request keeps its id, which is the one that is guarded against duplicates.
        routed.headers.retain(|(name, _)| *name != CORRELATION);
        routed.headers.push((CORRELATION, id.clone()));
        routed.correlation_id = id;
    }
    Ok(router)
}

/// Adds a request to the trace, if one is recorded.
fn record(
    state: &DownstreamState,
    router: &dyn RequestRouter,
    routed: &RoutedRequest,
    head: &Parts,
    body_size: usize,
) {
    if let Some(recorder) = &*state.recorder.borrow() {
        recorder.record(RecordedRequest {
            method: head.method.as_str(),
            target: head.uri.path_and_query().map_or("/", |target| target.as_str()),
            labels: router.trace_labels(routed),
            has_key: head.headers.contains_key(IDEMPOTENCY_KEY),
            body_size,
        });
    }
}

/// Reads a body as far as it is buffered. The time-out grows with the received bytes; a body that arrives too
/// slowly is not forwarded.
async fn read_body(body: &mut Incoming, max_size: usize) -> Result<ReadBody, RequestError> {
    let (begun, mut buffer) = (Instant::now(), BodyBuffer::new(max_size));
    loop {
        let Ok(frame) = timeout_at(begun + upload_timeout(buffer.len()), body.frame()).await else {
            return Err(RequestError::new(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"));
        };
        match frame.transpose().map_err(|e| RequestError::bad_request(e.to_string()))? {
            None => return Ok(ReadBody::Complete(buffer.into_bytes())),
            Some(frame) => {
                if !buffer.add(frame) {
                    return Ok(ReadBody::Partial(buffer.into_bytes()));
                }
            }
        }
    }
}

/// The resources that are released when a request and its response have ended.
struct RequestGuards {
    _id: RequestIdGuard,
    _memory: OwnedSemaphorePermit,
    _in_flight: InFlightGuard,
    permit: Option<AdmissionPermit>,
    exchange: Option<Exchange>,
}

impl RequestGuards {
    /// Reports the head of the response, and attaches the guards to a streamed body or a tunnel so that they
    /// live until its end.
    fn attach(self, response: &mut Response<MessageBody>, served_by: Option<ServedBy>) {
        if let Some(exchange) = &self.exchange {
            exchange.response_started(response.status().as_u16(), served_by);
            match response.body_mut() {
                MessageBody::Download(body) => body.set_completion_flag(exchange.completion_flag()),
                // A buffered response and a tunnel count as complete, however they end.
                _ => exchange.completion_flag().set(true),
            }
        }
        match response.body_mut() {
            MessageBody::Download(body) => body.attach_guard(self),
            MessageBody::Tunnel(Some(tunnel)) => tunnel.guards.push(Box::new(self)),
            _ => {}
        }
    }
}

/// A request that was read as far as it is buffered, and that was admitted.
struct AcceptedRequest {
    head: Parts,
    routed: RoutedRequest,
    read: ReadBody,
    /// The rest of the body.
    body: Incoming,
    /// The size of the body that the head announces, in bytes.
    size: Option<u64>,
    arrived_at: Instant,
}

/// A request in the form in which it is passed to the task of the node.
struct PreparedRequest {
    arrival: Arrival,
    /// The body if it is streamed.
    upload: Option<Rc<Upload>>,
    /// The channel of the task of the node.
    events: mpsc::UnboundedSender<NodeEvent>,
}

impl AcceptedRequest {
    fn response_form(&self, router: &dyn RequestRouter) -> ResponseForm {
        let accepts_trailers = list_contains(&self.head.headers, header::TE, "trailers");
        ResponseForm {
            retry_after_precision: router.retry_after_precision(),
            head_only: self.head.method == Method::HEAD,
            trailers: accepts_trailers && self.routed.hop.is_some(),
        }
    }

    /// Converts the request into the form that is sent to backends.
    fn prepare(
        self,
        state: &DownstreamState,
        router: &dyn RequestRouter,
        form: ResponseForm,
        response: PendingResponse,
        cancellation: CancellationFlag,
    ) -> PreparedRequest {
        let AcceptedRequest { head, routed, read, body, size, arrived_at } = self;
        let (request, repeat, events) = (routed.request, routed.repeat, routed.events);
        let (body, upload) = split_body(read, body, size, state.max_body, (request.id, &events));
        let upload_timeout = upload.as_ref().map(|_| upload_timeout(size.unwrap_or(state.max_body)));
        let has_id = head.headers.get(CORRELATION).is_some_and(|id| !id.is_empty());
        let id_origin = if has_id { IdOrigin::Client } else { IdOrigin::Generated };
        let (upgrade, hop) = (routed.upgrade, routed.hop);
        let headers = forwarded_headers(head.headers, routed.headers, upgrade.as_ref(), form, hop, router);
        // Only buffered requests of a node that runs from a file are compared.
        let fingerprint = routed.route.filter(|_| upload.is_none()).and_then(|_| {
            fingerprint(&FingerprintInput {
                headers: &headers,
                id_origin,
                method: &head.method,
                target: &routed.target,
                tenant: request.tenant,
                body: &body,
            })
        });
        let payload = Rc::new(BackendRequest {
            method: head.method,
            target: routed.target,
            headers,
            body,
            upload: upload.clone(),
            timeouts: routed.timeouts,
            upgrade_idle_timeout: upgrade.map(|upgrade| upgrade.idle_timeout),
            sent_count: Some(state.metrics.attempts.clone()),
            cancellation,
        });
        let arrival = Arrival { request, arrived_at, payload, upload_timeout, fingerprint, repeat, response };
        PreparedRequest { arrival, upload, events }
    }
}

/// Passes a request to the task of the node, waits for the response, and converts it for the client.
async fn forward(
    accepted: AcceptedRequest,
    state: &DownstreamState,
    router: &dyn RequestRouter,
    guards: RequestGuards,
) -> Result<Response<MessageBody>, RequestError> {
    let (id, route, form) =
        (accepted.routed.request.id, accepted.routed.route, accepted.response_form(router));
    let cancellation = CancellationFlag::default();
    let (sender, receiver) = oneshot::channel();
    let response = PendingResponse::new(sender, cancellation.clone());
    let prepared = accepted.prepare(state, router, form, response, cancellation.clone());
    let PreparedRequest { arrival, upload, events } = prepared;
    let mut disconnect = DisconnectGuard { id, events: &events, cancellation, is_armed: true };
    let sent = events.send(NodeEvent::Arrived(arrival));
    let response = receiver.await;
    disconnect.is_armed = false;
    let served_by = response.as_ref().ok().and_then(|response| served_by(response, router, route));
    let mut response = match (sent, response) {
        (Ok(()), Ok(response)) => form_response(response, router, route, form),
        // The task of the node has ended, and the process will end as well.
        _ => return Err(RequestError::new(StatusCode::INTERNAL_SERVER_ERROR, "the node has failed")),
    };
    guards.attach(&mut response, served_by);
    // If the response came before the end of the body, the rest is not read just to reuse the connection.
    if upload.is_some_and(|upload| !upload.is_finished()) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Returns a body in the form that is sent to backends: buffered, or empty and a stream, whose progress is
/// reported to the node.
fn split_body(
    read: ReadBody,
    rest: Incoming,
    size: Option<u64>,
    max_size: u64,
    (id, events): (RequestId, &mpsc::UnboundedSender<NodeEvent>),
) -> (Bytes, Option<Rc<Upload>>) {
    match read {
        ReadBody::Complete(body) => (body, None),
        ReadBody::Partial(begun) => {
            let events = events.clone();
            let on_event = move |event| drop(events.send(upload_event(id, event)));
            (Bytes::new(), Some(Rc::new(Upload::new(begun, rest, size, max_size, on_event))))
        }
    }
}

/// Converts an event of a streamed body to one of the node.
fn upload_event(id: RequestId, event: UploadEvent) -> NodeEvent {
    match event {
        UploadEvent::Streaming => NodeEvent::UploadStreaming(id),
        UploadEvent::Finished => NodeEvent::UploadFinished(id),
    }
}

/// Builds the headers that are forwarded to backends.
fn forwarded_headers(
    client_headers: HeaderMap,
    replaced: Vec<(HeaderName, HeaderValue)>,
    upgrade: Option<&RequestedUpgrade>,
    form: ResponseForm,
    hop: Option<Hop>,
    router: &dyn RequestRouter,
) -> HeaderMap {
    let mut headers = strip_hop_by_hop(client_headers);
    for (name, value) in replaced {
        headers.insert(name, value);
    }
    if let Some(upgrade) = upgrade {
        headers.insert(header::UPGRADE, upgrade.protocol.clone());
        headers.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
    } else if form.trailers {
        headers.insert(header::TE, HeaderValue::from_static("trailers"));
        headers.insert(header::CONNECTION, HeaderValue::from_static("te"));
    }
    if let Some(hop) = hop {
        router.forwarding().write(&mut headers, hop);
    }
    headers
}

/// The name of the backend that a response came from; `None` for a local response.
fn served_by(response: &FinalResponse, router: &dyn RequestRouter, route: Option<usize>) -> Option<ServedBy> {
    let (FinalResponse::Served(response) | FinalResponse::BackendError(response)) = response else {
        return None;
    };
    let backend = router.backend_name(route, response.backend)?;
    Some(ServedBy { backend, attempts: response.attempts })
}

/// The response to the client, or the fallback of the route in place of a rejection.
fn form_response(
    response: FinalResponse,
    router: &dyn RequestRouter,
    route: Option<usize>,
    form: ResponseForm,
) -> Response<MessageBody> {
    if let FinalResponse::Rejected { fallback: true, retry_after } = response {
        return router.fallback(route).unwrap_or_else(|| {
            rejection_response(StatusCode::SERVICE_UNAVAILABLE, retry_after, form.retry_after_precision)
        });
    }
    client_response(response, form)
}

/// Notifies the node if the request is dropped without a response, as its client has closed the connection.
struct DisconnectGuard<'a> {
    id: RequestId,
    events: &'a mpsc::UnboundedSender<NodeEvent>,
    cancellation: CancellationFlag,
    is_armed: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            // Set immediately: the node handles the event later, and an attempt could be written before that.
            self.cancellation.cancel();
            let _ = self.events.send(NodeEvent::ClientDisconnected(self.id));
        }
    }
}

/// Reserves the id of a request in flight. A second request with the same id is rejected, as a backend could
/// not distinguish the two. The first one is not affected.
struct RequestIdGuard {
    state: Rc<DownstreamState>,
    id: HeaderValue,
}

impl RequestIdGuard {
    fn new(state: &Rc<DownstreamState>, id: HeaderValue) -> Result<Self, RequestError> {
        if !state.correlation_ids.borrow_mut().insert(id.clone()) {
            let message = "x-correlation-id: that of a request in hand";
            return Err(RequestError::new(StatusCode::CONFLICT, message));
        }
        Ok(RequestIdGuard { state: state.clone(), id })
    }
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        self.state.correlation_ids.borrow_mut().remove(&self.id);
    }
}
