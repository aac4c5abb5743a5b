//! A worker: sends its share of a plan's requests, with retries, over its own connections.

use super::connect::Connect;
use super::observation::{AttemptLog, AttemptResult, Progress};
use crate::mix::RequestClass;
use crate::plan::{Plan, ScheduledRequest};
use crate::record::{AttemptKind, Outcome, Record};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

const CORRELATION: HeaderName = HeaderName::from_static("x-correlation-id");
const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
const KEY: HeaderName = HeaderName::from_static("idempotency-key");
const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
const SERVED_BY: HeaderName = HeaderName::from_static("x-served-by");

/// `X-Time-Left` is less than the client's time-out by this, so that a response at the last moment is still
/// received.
const TIMEOUT_SLACK: Duration = Duration::from_millis(50);
/// The longest sleep of a sending thread, so that it notices an early stop before the next request is due.
const MAX_SLEEP: Duration = Duration::from_millis(50);
/// How often a worker checks at the end whether requests are still in flight.
const COMPLETION_POLL: Duration = Duration::from_millis(1);
/// The suffixes of an attempt's id, one per send. An attempt is sent again if the server closed its reused
/// connection before the request was received.
const RESEND_SUFFIXES: [&str; 3] = ["", "a", "b"];
/// The longest `Retry-After`, in seconds.
const MAX_RETRY_AFTER_S: f64 = 86_400.0;
/// Error numbers of Linux.
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const EADDRNOTAVAIL: i32 = 99;

/// What wakes the sender when a request is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendTimer {
    /// A thread that sleeps, precise to about 0.1 ms.
    Thread,
    /// The runtime's timer, precise to 1 ms; tests can pause its time.
    Runtime,
}

/// The inputs of a worker.
pub(super) struct WorkerOptions {
    pub(super) plan: Arc<Plan>,
    pub(super) connect: Arc<dyn Connect>,
    pub(super) progress: Arc<Progress>,
    /// The worker's index; it sends every request whose number modulo the number of threads equals it.
    pub(super) number: usize,
    pub(super) timer: SendTimer,
    /// When the run begins.
    pub(super) start: Instant,
    pub(super) attempt_log: AttemptLog,
}

/// The results of a worker.
pub(super) struct WorkerOutput {
    pub(super) record: Record,
    /// The outcome of each attempt; empty unless they are kept.
    pub(super) attempts: Vec<AttemptResult>,
}

/// The state that the tasks of a worker share.
struct Worker {
    plan: Arc<Plan>,
    connect: Arc<dyn Connect>,
    progress: Arc<Progress>,
    start: Instant,
    record: RefCell<Record>,
    attempts: RefCell<Vec<AttemptResult>>,
    attempt_log: AttemptLog,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
    /// A permit for each exchange in flight, which bounds the number of connections in use.
    connections: Semaphore,
    in_flight: Cell<usize>,
}

/// Sends the worker's share of the plan, and waits until its last request has completed.
pub(super) async fn run(options: WorkerOptions) -> WorkerOutput {
    let WorkerOptions { plan, connect, progress, number, timer, start, attempt_log } = options;
    let worker = Rc::new(Worker {
        connections: Semaphore::new((plan.connections / plan.threads).max(1)),
        record: RefCell::new(Record::new(plan.classes.len())),
        attempts: RefCell::default(),
        idle: RefCell::default(),
        in_flight: Cell::new(0),
        connect,
        progress: progress.clone(),
        start,
        attempt_log,
        plan: plan.clone(),
    });
    let threads = plan.threads as u64;
    let is_mine = move |request: &ScheduledRequest| request.number % threads == number as u64;
    match timer {
        SendTimer::Runtime => {
            for request in plan.requests().filter(is_mine) {
                sleep_until(start + request.at).await;
                if progress.stop.load(Ordering::Relaxed) {
                    break;
                }
                worker.spawn(request);
            }
        }
        SendTimer::Thread => {
            let (sender, mut due) = mpsc::unbounded_channel();
            std::thread::spawn(move || send_when_due(&plan, is_mine, start, &progress, &sender));
            while let Some(request) = due.recv().await {
                worker.spawn(request);
            }
        }
    }
    // Terminates: each request ends at its deadline at the latest.
    while worker.in_flight.get() > 0 {
        sleep(COMPLETION_POLL).await;
    }
    let record = worker.record.replace(Record::new(0));
    WorkerOutput { record, attempts: worker.attempts.take() }
}

/// Sends each request to the worker through the channel when it is due, until the run is stopped.
fn send_when_due(
    plan: &Plan,
    is_mine: impl Fn(&ScheduledRequest) -> bool,
    start: Instant,
    progress: &Progress,
    due: &mpsc::UnboundedSender<ScheduledRequest>,
) {
    for request in plan.requests().filter(is_mine) {
        let at = start + request.at;
        loop {
            let remaining = at.saturating_duration_since(Instant::now());
            if progress.stop.load(Ordering::Relaxed) {
                return;
            }
            if remaining.is_zero() {
                break;
            }
            std::thread::sleep(remaining.min(MAX_SLEEP));
        }
        if due.send(request).is_err() {
            return;
        }
    }
}

/// The result of an attempt.
struct AttemptEnd {
    outcome: Outcome,
    /// The backend that responded, from `X-Served-By`.
    backend: Option<String>,
    retry_after: Option<Duration>,
}

impl AttemptEnd {
    fn without_response(outcome: Outcome) -> Self {
        AttemptEnd { outcome, backend: None, retry_after: None }
    }

    fn of_response(headers: &HeaderMap, outcome: Outcome) -> Self {
        let text = |name: HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let retry_after = text(header::RETRY_AFTER).and_then(|text| text.trim().parse::<f64>().ok());
        let retry_after =
            retry_after.and_then(|s| Duration::try_from_secs_f64(s.min(MAX_RETRY_AFTER_S)).ok());
        AttemptEnd { outcome, backend: text(SERVED_BY).map(String::from), retry_after }
    }
}

/// Which side caused a connection failure.
enum ConnectFailure {
    /// The generator has no file descriptor or local port left.
    Generator(&'static str),
    /// The target did not accept the connection.
    Target,
}

/// One attempt of a request.
struct Attempt<'a> {
    request: &'a ScheduledRequest,
    class: &'a RequestClass,
    /// The number of the attempt, 0 for the first.
    number: u32,
    /// When the client gives up on the request.
    deadline: Instant,
}

impl Attempt<'_> {
    fn kind(&self) -> AttemptKind {
        if self.number == 0 { AttemptKind::First } else { AttemptKind::Retry }
    }
}

impl Worker {
    fn spawn(self: &Rc<Self>, request: ScheduledRequest) {
        let worker = self.clone();
        worker.in_flight.set(worker.in_flight.get() + 1);
        spawn_local(async move {
            worker.send_request(&request).await;
            worker.in_flight.set(worker.in_flight.get() - 1);
        });
    }

    /// Sends a request and its retries, and records the final outcome.
    async fn send_request(&self, request: &ScheduledRequest) {
        let class = &self.plan.classes[request.drawn.class];
        let due = self.start + request.at;
        let deadline = due + Duration::from_millis(class.timeout_ms);
        self.progress.sent.fetch_add(1, Ordering::Relaxed);
        let clients = self.plan.clients;
        // The two halves of the random number are independent draws.
        let (high, low) = (request.drawn.random >> 32, request.drawn.random & 0xffff_ffff);
        let share = |half: u64| half as f64 / (1u64 << 32) as f64;
        let max_retries = if share(high) < clients.retry_share { clients.max_retries } else { 0 };
        let honours_retry_after = share(low) < clients.honour_share;
        let (mut number, mut intended) = (0, due);
        let last = loop {
            let lag = Instant::now().saturating_duration_since(intended);
            let end = self.send_attempt(&Attempt { request, class, number, deadline }, lag).await;
            let may_retry = match end.outcome {
                Outcome::Served | Outcome::Unsent => false,
                Outcome::Rejected | Outcome::Failed | Outcome::Lost => number < max_retries,
            };
            let delay = end.retry_after.filter(|_| honours_retry_after).unwrap_or(clients.retry_delay);
            intended = Instant::now() + delay;
            if !may_retry || intended >= deadline {
                break end;
            }
            number += 1;
            sleep_until(intended).await;
        };
        let latency = Instant::now().saturating_duration_since(due);
        let backend = last.backend.as_deref();
        let class = request.drawn.class;
        self.record.borrow_mut().record_request(class, backend, request.at, latency, last.outcome);
        self.progress.completed[last.outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Sends an attempt with a unique id. Sends it again, with another id, if its reused connection was
    /// already closed.
    async fn send_attempt(&self, attempt: &Attempt<'_>, lag: Duration) -> AttemptEnd {
        let at = self.start.elapsed();
        self.record.borrow_mut().record_sent(lag, attempt.kind(), at);
        for suffix in RESEND_SUFFIXES {
            let (seed, request) = (self.plan.schedule.seed, attempt.request.number);
            let id = format!("{seed:x}-{request:x}-{}{suffix}", attempt.number);
            if let Some(end) = self.exchange(attempt, &id).await {
                if self.attempt_log == AttemptLog::Keep {
                    self.attempts.borrow_mut().push(AttemptResult { id, outcome: end.outcome });
                }
                return end;
            }
        }
        AttemptEnd::without_response(Outcome::Lost)
    }

    /// Sends a request and reads its response. `None` if the server had closed the reused connection, so that
    /// the request was not received.
    async fn exchange(&self, attempt: &Attempt<'_>, id: &str) -> Option<AttemptEnd> {
        let deadline = attempt.deadline;
        let permit = match self.connections.try_acquire() {
            Ok(permit) => permit,
            Err(_) => {
                self.record.borrow_mut().connection_waits += 1;
                match timeout_at(deadline, self.connections.acquire()).await {
                    Ok(Ok(permit)) => permit,
                    _ => return Some(AttemptEnd::without_response(Outcome::Unsent)),
                }
            }
        };
        let idle = self.take_idle();
        let is_reused = idle.is_some();
        let mut sender = match idle {
            Some(sender) => sender,
            None => match timeout_at(deadline, self.open()).await {
                Ok(Ok(sender)) => sender,
                Ok(Err(ConnectFailure::Generator(reason))) => {
                    self.record.borrow_mut().record_generator_error(reason);
                    return Some(AttemptEnd::without_response(Outcome::Unsent));
                }
                Ok(Err(ConnectFailure::Target)) | Err(_) => {
                    return Some(AttemptEnd::without_response(Outcome::Lost));
                }
            },
        };
        let sent = Instant::now();
        let request = self.http_request(attempt, id, deadline.saturating_duration_since(sent));
        let response = timeout_at(deadline, async {
            let response = sender.send_request(request).await?;
            let (head, body) = response.into_parts();
            body.collect().await?;
            Ok::<_, hyper::Error>(head)
        });
        let end = match response.await {
            Ok(Ok(head)) => {
                let outcome = outcome_of(head.status);
                if outcome == Outcome::Served {
                    self.record.borrow_mut().record_service_time(sent.elapsed());
                }
                self.idle.borrow_mut().push(sender);
                AttemptEnd::of_response(&head.headers, outcome)
            }
            Ok(Err(e)) if is_reused && (e.is_canceled() || e.is_incomplete_message()) => return None,
            Ok(Err(_)) | Err(_) => AttemptEnd::without_response(Outcome::Lost),
        };
        drop(permit);
        Some(end)
    }

    /// Takes the most recently used idle connection that is ready.
    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|sender| !sender.is_closed());
        idle.iter().rposition(SendRequest::is_ready).map(|at| idle.swap_remove(at))
    }

    async fn open(&self) -> Result<SendRequest<Full<Bytes>>, ConnectFailure> {
        let io = self.connect.connect().await.map_err(|e| match e.raw_os_error() {
            Some(ENFILE | EMFILE) => ConnectFailure::Generator("no descriptor left"),
            Some(EADDRNOTAVAIL) => ConnectFailure::Generator("no port left"),
            _ => ConnectFailure::Target,
        })?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(io)).await.map_err(|_| ConnectFailure::Target)?;
        spawn_local(async move {
            // An error of the connection is returned to the exchange that uses it.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn http_request(&self, attempt: &Attempt, id: &str, remaining: Duration) -> Request<Full<Bytes>> {
        let Attempt { request: scheduled, class, number, .. } = attempt;
        let recorded = self.plan.trace.as_ref().map(|trace| &trace.requests[scheduled.number as usize].entry);
        let (method, target, is_keyed, body) = match recorded {
            Some(entry) => (entry.method.as_str(), entry.target.clone(), entry.key, entry.body),
            None => {
                let key = format!("{:x}", scheduled.drawn.key);
                (class.method.as_str(), class.path.replace("{key}", &key), class.keyed, class.body)
            }
        };
        let mut request = Request::new(Full::new(Bytes::from(vec![b'x'; body])));
        // The plan was validated, so the fallbacks are not reached.
        *request.method_mut() = Method::from_bytes(method.as_bytes()).unwrap_or(Method::GET);
        *request.uri_mut() = target.parse().unwrap_or_default();
        let headers = request.headers_mut();
        headers.insert(header::HOST, HeaderValue::from_static("load.local"));
        let mut add = |name: HeaderName, text: String| {
            headers.extend(HeaderValue::try_from(text).ok().map(|value| (name, value)));
        };
        add(CORRELATION, id.to_string());
        add(TIME_LEFT, format!("{:.3}", remaining.saturating_sub(TIMEOUT_SLACK).as_secs_f64()));
        if is_keyed {
            add(KEY, format!("{:x}-{:x}", self.plan.schedule.seed, scheduled.number));
        }
        if let Some(tenant) = scheduled.drawn.tenant.map(|tenant| &self.plan.tenants[tenant]) {
            add(ACCOUNT, tenant.name.clone());
        }
        if *number > 0 {
            add(REPEAT, "1".into());
        }
        request
    }
}

fn outcome_of(status: StatusCode) -> Outcome {
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Outcome::Rejected,
        status if status.as_u16() < 400 => Outcome::Served,
        _ => Outcome::Failed,
    }
}
