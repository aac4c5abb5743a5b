//! A test backend: it has a few slots and a short queue, streams events at the pace of an inference engine,
//! and records what it executes.

use crate::DemoError;
use crate::block_cache::BlockCache;
use crate::configuration::HOLDINGS_PATH;
use crate::http::{self, Frames, ServerResponse};
use crate::observations::{Arrival, hash};
use crate::request_kind::{MODEL_SERVICE, RequestKind};
use crate::state::DemoState;
use crate::topology::ZONES;
use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::{AbortHandle, spawn_local};

/// The largest number of requests that wait for a slot.
const MAX_QUEUED: u32 = 8;
/// The execution time of a plain call.
const PLAIN_TIME: Duration = Duration::from_millis(25);
/// The time between two events of a stream on an idle backend. It grows with the load, up to twice this with
/// all slots taken.
const EVENT_INTERVAL: Duration = Duration::from_millis(12);
/// The number of prompt tokens that are prefilled per millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 57;
/// The capacity of the KV cache of a backend, in tokens.
const KV_CAPACITY_TOKENS: u64 = 100_000;
/// The tokens of the KV cache that a running request uses.
const KV_TOKENS_PER_REQUEST: u64 = 4000;
/// The length of the body of a plain response, in bytes.
const PLAIN_BYTES: usize = 800;
/// How long a request without a deadline header waits for a slot.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// A running backend.
pub struct Backend {
    /// Its instance id.
    pub instance: String,
    /// Its service.
    pub service: &'static str,
    /// The address at which it listens.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: &'static str,
    /// The number of requests that it executes concurrently.
    pub slots: u32,
    /// Whether it drains.
    pub draining: Cell<bool>,
    running: Cell<u32>,
    waiting: Cell<u32>,
    free: Arc<Semaphore>,
    block_cache: RefCell<BlockCache>,
    serving: RefCell<Option<AbortHandle>>,
}

/// Increments a gauge of a backend until it is dropped.
struct GaugeGuard {
    backend: Rc<Backend>,
    gauge: fn(&Backend) -> &Cell<u32>,
}

impl GaugeGuard {
    fn new(backend: &Rc<Backend>, gauge: fn(&Backend) -> &Cell<u32>) -> Self {
        gauge(backend).set(gauge(backend).get() + 1);
        GaugeGuard { backend: backend.clone(), gauge }
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        let gauge = (self.gauge)(&self.backend);
        gauge.set(gauge.get() - 1);
    }
}

/// The slot of a request while it is executed.
struct OccupiedSlot {
    _running: GaugeGuard,
    _permit: OwnedSemaphorePermit,
}

/// The values of the request headers that control its execution.
struct RequestHead {
    id: String,
    resume_after: Option<u32>,
    deadline: Duration,
    prefill_time: Duration,
}

impl Backend {
    /// Starts a backend that accepts requests. Its instance id and zone are derived from `number`.
    ///
    /// # Errors
    /// It can't listen at the address.
    pub async fn start(
        state: &Rc<DemoState>,
        address: SocketAddrV4,
        service: &'static str,
        number: usize,
    ) -> Result<Rc<Backend>, DemoError> {
        let listen_error = |error| DemoError::Io("listen at the address of a test backend", error);
        let listener = TcpListener::bind(address).await.map_err(listen_error)?;
        let SocketAddr::V4(address) = listener.local_addr().map_err(listen_error)? else {
            return Err(listen_error(std::io::Error::other("not an IPv4 address")));
        };
        let slots = if service == MODEL_SERVICE { 16 } else { 6 };
        let backend = Rc::new(Backend {
            instance: format!("i-{:04x}", 0x1000 + number * 0x11),
            service,
            address,
            zone: ZONES[number % ZONES.len()],
            slots,
            draining: Cell::new(false),
            running: Cell::new(0),
            waiting: Cell::new(0),
            free: Arc::new(Semaphore::new(slots as usize)),
            block_cache: RefCell::default(),
            serving: RefCell::default(),
        });
        let (server, state) = (backend.clone(), state.clone());
        let serving = http::serve(listener, move |request| respond(server.clone(), state.clone(), request));
        *backend.serving.borrow_mut() = Some(serving);
        Ok(backend)
    }

    /// Stops it, and closes its connections.
    pub fn stop(&self) {
        if let Some(serving) = self.serving.borrow_mut().take() {
            serving.abort();
        }
    }

    fn load(&self) -> String {
        format!("{},{},{}", self.running.get(), self.waiting.get(), self.slots)
    }

    fn report(&self) -> String {
        let used = u64::from(self.running.get()) * KV_TOKENS_PER_REQUEST;
        serde_json::json!({"stage": "both", "models": [{"name": "m", "generation": 1, "adapters": []}],
            "busy": false, "sequence": 0, "queued": self.waiting.get(), "active": self.running.get(),
            "kv_used": used, "kv_total": KV_CAPACITY_TOKENS, "handles": 0})
        .to_string()
    }

    /// The time to prefill the blocks of a prompt that are not cached. Adds them to the cache.
    fn prefill(&self, model: &str, prompt: &str) -> Duration {
        let uncached = self.block_cache.borrow_mut().read_prompt(model, prompt, KV_CAPACITY_TOKENS);
        Duration::from_millis(uncached / PREFILL_TOKENS_PER_MS)
    }

    /// Evicts a cached block without reporting it. Returns its key; `None` if no block is suitable.
    pub fn lose_block(&self) -> Option<u64> {
        self.block_cache.borrow_mut().lose_block()
    }

    fn event_interval(&self) -> Duration {
        EVENT_INTERVAL + EVENT_INTERVAL * self.running.get() / self.slots
    }

    fn signed_head(&self, status: StatusCode, id: &str, content: u64) -> hyper::http::response::Builder {
        let signature = format!("{}.{:x}.{content:x}", self.instance, hash(id.as_bytes()));
        let head = self.head(status).header("x-request-id", id).header("x-response-signature", signature);
        head.header("versions", "1")
    }

    fn head(&self, status: StatusCode) -> hyper::http::response::Builder {
        let head = Response::builder().status(status).header("x-backend-load", self.load());
        if self.draining.get() { head.header("connection", "close") } else { head }
    }

    /// The response to a request that is not executed.
    fn reject(&self, status: StatusCode, id: &str) -> ServerResponse {
        finish(self.signed_head(status, id, 0).header("x-not-executed", "1"), Bytes::new())
    }
}

fn finish(head: hyper::http::response::Builder, body: Bytes) -> ServerResponse {
    http::finish(head, Either::Left(Full::new(body)))
}

async fn respond(backend: Rc<Backend>, state: Rc<DemoState>, request: Request<Incoming>) -> ServerResponse {
    match request.uri().path() {
        "/health" => {
            let status =
                if backend.draining.get() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
            finish(backend.head(status).header("x-instance-id", &backend.instance), Bytes::new())
        }
        "/api/report" => finish(backend.head(StatusCode::OK), backend.report().into()),
        HOLDINGS_PATH => report_digest(&backend, request.uri().query().unwrap_or_default()),
        _ => execute(backend, state, request).await,
    }
}

fn report_digest(backend: &Backend, query: &str) -> ServerResponse {
    match backend.block_cache.borrow().digest_reply(&backend.instance, query) {
        Some(reply) => finish(backend.head(StatusCode::OK), reply.to_string().into()),
        None => finish(backend.head(StatusCode::BAD_REQUEST), Bytes::new()),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

async fn execute(backend: Rc<Backend>, state: Rc<DemoState>, request: Request<Incoming>) -> ServerResponse {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let Some(id) = header_text(&head.headers, "x-request-id").map(str::to_string) else {
        return backend.reject(StatusCode::BAD_REQUEST, "");
    };
    if header_text(&head.headers, "x-expected-instance").is_some_and(|expected| expected != backend.instance)
    {
        return backend.reject(StatusCode::MISDIRECTED_REQUEST, &id);
    }
    let deadline = header_text(&head.headers, "x-deadline-ms").and_then(|text| text.parse().ok());
    let request = RequestHead {
        resume_after: header_text(&head.headers, "last-event-id").and_then(|text| text.parse().ok()),
        deadline: deadline.map_or(DEFAULT_DEADLINE, Duration::from_millis),
        prefill_time: backend.prefill(
            header_text(&head.headers, "x-model").unwrap_or_default(),
            header_text(&head.headers, "x-prompt-prefix").unwrap_or_default(),
        ),
        id,
    };
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let arrival = state.record_arrival(Arrival {
        request_id: request.id.clone(),
        at: state.now(),
        service: backend.service,
        instance: backend.instance.clone(),
        path: path.to_string(),
        tenant: header_text(&head.headers, "x-tenant-id").map(str::to_string),
        body_hash: hash(&body),
        resume_after: request.resume_after,
        executed: false,
    });
    let Some(slot) = wait_for_slot(&backend, request.deadline).await else {
        return backend.reject(StatusCode::SERVICE_UNAVAILABLE, &request.id);
    };
    state.record_execution(arrival);
    let kind = RequestKind::ALL.into_iter().find(|kind| path.starts_with(&format!("/{}/", kind.name())));
    match kind.filter(|kind| kind.is_stream()) {
        Some(kind) => stream(backend, request, kind, slot),
        None => respond_plain(&backend, &request, slot).await,
    }
}

async fn wait_for_slot(backend: &Rc<Backend>, deadline: Duration) -> Option<OccupiedSlot> {
    if backend.waiting.get() >= MAX_QUEUED {
        return None;
    }
    let waiting = GaugeGuard::new(backend, |backend| &backend.waiting);
    let permit = tokio::time::timeout(deadline, backend.free.clone().acquire_owned()).await.ok()?.ok()?;
    drop(waiting);
    Some(OccupiedSlot { _running: GaugeGuard::new(backend, |backend| &backend.running), _permit: permit })
}

async fn respond_plain(backend: &Rc<Backend>, request: &RequestHead, slot: OccupiedSlot) -> ServerResponse {
    tokio::time::sleep(PLAIN_TIME).await;
    drop(slot);
    let body = format!("{:<PLAIN_BYTES$}", format!("{} {}", request.id, backend.instance));
    finish(backend.signed_head(StatusCode::OK, &request.id, hash(body.as_bytes())), body.into())
}

fn stream(
    backend: Rc<Backend>,
    request: RequestHead,
    kind: RequestKind,
    slot: OccupiedSlot,
) -> ServerResponse {
    let (frames, body) = Frames::new();
    let head =
        backend.signed_head(StatusCode::OK, &request.id, 0).header("content-type", "text/event-stream");
    spawn_local(async move {
        let _slot = slot;
        tokio::time::sleep(request.prefill_time).await;
        for number in request.resume_after.unwrap_or(0) + 1..=kind.event_count() {
            tokio::time::sleep(backend.event_interval()).await;
            let event = format!("id: {number}\ndata: {} {}\n\n", request.id, backend.instance);
            if frames.send(event.into()).await.is_err() {
                return;
            }
        }
    });
    http::finish(head, Either::Right(body))
}
