//! The clients' side: connections that are taken, requests that become events, final answers that go back.

use crate::backends::{CORRELATION, LARGEST_BODY, LARGEST_HEAD, Payload, Reply, TIME_LEFT};
use crate::heads::{Heads, WatchedClient};
use crate::logging;
use crate::node::{Answer, Arrival, NodeEvent};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use larchspread::settings::HostSettings;
use larchspread::{NewRequest, Repeat, RequestId, Settings};
use log::{debug, info};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// A connection idle for so long is closed; one that does not end after that is dropped.
const LONGEST_IDLE: Duration = Duration::from_secs(75);
const LAST_WORDS: Duration = Duration::from_secs(5);
/// How long a new connection may say nothing, a head may take to come, and a body after it. Guards against clients that
/// hold a place and never send a request.
const SLOWEST: Duration = Duration::from_secs(2);
/// A new connection that has said nothing for so long gives way first when there is no room: whoever opens one for a
/// request sends that at once.
const HESITANT: Duration = Duration::from_millis(50);
/// How often connections are looked at for these.
const SWEEP_EVERY: Duration = Duration::from_millis(250);
/// What a request in hand may hold besides its body: an answer.
const KIB_AN_ANSWER: usize = LARGEST_BODY >> 10;
/// How long the node goes on accepting after it was told to end.
const FAREWELL: Duration = Duration::from_millis(500);
/// How long a connection may be without a request before it is closed, once the node ends.
const LAST_CALL: Duration = Duration::from_millis(500);

const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
const WEIGHT_HINT: HeaderName = HeaderName::from_static("x-weight-hint");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// What all connections share.
pub struct Clients {
    pub settings: Settings,
    pub host: HostSettings,
    pub events: mpsc::UnboundedSender<NodeEvent>,
    /// Whether there is a list of backends to work with.
    pub ready: Rc<Cell<bool>>,
    /// Whether the node has been told to end.
    pub ending: Cell<bool>,
    pub taken: Cell<u64>,
    pub connections: Connections,
    /// The KiB that bodies and answers in hand may still take. Guards the node's memory.
    pub room_in_hand: Semaphore,
    /// The ids of the requests in hand.
    pub ids: RefCell<HashSet<HeaderValue>>,
}

/// The connections that are open.
#[derive(Default)]
pub struct Connections {
    next: Cell<u64>,
    open: RefCell<HashMap<u64, Rc<State>>>,
    not_taken: logging::Limited,
}

/// What is known of a connection from outside its task.
struct State {
    /// Since when it has had no request in hand; `None` while it has one.
    idle_since: Cell<Option<Instant>>,
    /// Whether it has ever had one.
    asked: Cell<bool>,
    heads: Rc<Heads>,
    /// Tells the task to close it once it is between requests, and since when it has been told.
    close: Notify,
    closing: Cell<Option<Instant>>,
    /// Tells the task to drop it as it is.
    cut: Notify,
}

impl State {
    fn idle_for(&self, long: Duration) -> bool {
        self.idle_since.get().is_some_and(|since| since.elapsed() >= long)
    }
    fn close(&self) {
        self.closing.set(self.closing.get().or_else(|| Some(Instant::now())));
        self.close.notify_one();
    }
    /// Whether it is of no use: it never says what it wants, or doesn't take its answer.
    fn is_stuck(&self) -> bool {
        let long_ago = |since: Option<Instant>, long| since.is_some_and(|since| since.elapsed() >= long);
        !self.asked.get() && self.idle_for(SLOWEST)
            || self.idle_since.get().is_some() && long_ago(self.heads.coming_since(), SLOWEST)
            || self.idle_for(LAST_WORDS) && long_ago(self.closing.get(), LAST_WORDS)
    }
}

impl Connections {
    /// Closes a connection to make room: one that hesitates to send its first request, else the one that has been idle
    /// for longest. One that has just come is about to ask.
    fn evict(&self) {
        let open = self.open.borrow();
        let idle = open.values().filter(|state| state.closing.get().is_none());
        let idle = idle.filter_map(|state| Some((state.asked.get(), state.idle_since.get()?, state)));
        let idle = idle.filter(|(asked, since, _)| *asked || since.elapsed() >= HESITANT);
        match idle.min_by_key(|(asked, since, _)| (*asked, *since)) {
            Some((true, _, state)) => state.close(),
            Some((false, _, state)) => state.cut.notify_one(),
            None => {}
        }
    }

    fn close_idle(&self, for_longer_than: Duration) {
        for state in self.open.borrow().values() {
            if state.idle_for(for_longer_than) {
                state.close();
            }
        }
    }

    /// Closes what has been idle for long and drops what is stuck.
    fn sweep(&self, longest_idle: Duration) {
        self.close_idle(longest_idle);
        self.open.borrow().values().filter(|state| state.is_stuck()).for_each(|state| state.cut.notify_one());
    }
}

/// Takes connections, `most` at a time, until `end` comes and all that was taken is answered. The limit guards the
/// descriptors of backends and discovery: over it, an idle connection is closed for the new one, and where none is
/// idle the new one waits.
pub async fn serve(clients: Rc<Clients>, listener: TcpListener, most: usize, end: impl Future<Output = ()>) {
    let room = Arc::new(Semaphore::new(most));
    let mut end = pin!(end);
    let mut sweep = tokio::time::interval(SWEEP_EVERY);
    loop {
        tokio::select! {
            stream = accept(&clients, &listener, &room) => take(&clients, stream),
            _ = sweep.tick() => clients.connections.sweep(LONGEST_IDLE),
            () = &mut end => break,
        }
    }
    info!("told to end: {} connections are open", clients.connections.open.borrow().len());
    clients.ending.set(true);
    let farewell = Instant::now() + FAREWELL;
    let mut sweep = tokio::time::interval(Duration::from_millis(50));
    loop {
        tokio::select! {
            stream = accept(&clients, &listener, &room) => take(&clients, stream),
            _ = sweep.tick() => clients.connections.sweep(LAST_CALL),
            () = tokio::time::sleep_until(farewell) => break,
        }
    }
    // What the system has accepted already is taken too; it waits for as long as there is room within a turn.
    while let Ok(stream) = timeout(Duration::from_millis(5), accept(&clients, &listener, &room)).await {
        take(&clients, stream);
    }
    drop(listener);
    while !clients.connections.open.borrow().is_empty() {
        clients.connections.sweep(LAST_CALL);
        sleep(Duration::from_millis(10)).await;
    }
    info!("all is answered");
}

type Accepted = (TcpStream, tokio::sync::OwnedSemaphorePermit);

async fn accept(clients: &Clients, listener: &TcpListener, room: &Arc<Semaphore>) -> Accepted {
    loop {
        // Looks for somebody who waits only once there is room, so that a cancelled call loses no connection.
        let permit = match room.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                clients.connections.evict();
                let waited = timeout(Duration::from_millis(5), room.clone().acquire_owned()).await;
                let Ok(Ok(permit)) = waited else { continue };
                permit
            }
        };
        match listener.accept().await {
            Ok((stream, _)) => return (stream, permit),
            Err(e) => {
                clients.connections.not_taken.warn(|| format!("a client's connection was not taken: {e}"));
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

fn take(clients: &Rc<Clients>, (stream, permit): Accepted) {
    let connections = &clients.connections;
    let number = connections.next.get();
    connections.next.set(number + 1);
    let state = Rc::new(State {
        idle_since: Cell::new(Some(Instant::now())),
        asked: Cell::new(false),
        heads: Rc::default(),
        close: Notify::new(),
        closing: Cell::new(None),
        cut: Notify::new(),
    });
    connections.open.borrow_mut().insert(number, state.clone());
    let clients = clients.clone();
    spawn_local(async move {
        connection(&clients, stream, &state).await;
        clients.connections.open.borrow_mut().remove(&number);
        drop(permit);
    });
}

/// Serves one connection to its end. hyper reads on while an answer is pending, so that a client's close ends this
/// at once and drops the answer's future, which tells the node.
async fn connection(clients: &Rc<Clients>, stream: TcpStream, state: &Rc<State>) {
    if let Err(e) = stream.set_nodelay(true) {
        debug!("a client's socket: {e}");
    }
    let service = service_fn(|request| {
        let (clients, state) = (clients.clone(), state.clone());
        async move {
            state.idle_since.set(None);
            state.asked.set(true);
            let in_chunks = request.headers().contains_key(header::TRANSFER_ENCODING);
            let answer = if state.heads.are_ambiguous() {
                Err(Bad::request("content-length: said twice, or beside transfer-encoding"))
            } else {
                answer(&clients, request).await
            };
            // After a request that is not taken, what follows may be anything; after one in chunks, heads are not watched.
            let close = clients.ending.get() || in_chunks || answer.is_err();
            let mut answer = answer.unwrap_or_else(|bad| bad.response());
            if close {
                answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            state.idle_since.set(Some(Instant::now()));
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    let io = TokioIo::new(WatchedClient::new(stream, state.heads.clone()));
    let mut served = pin!(builder.max_buf_size(LARGEST_HEAD).serve_connection(io, service));
    loop {
        tokio::select! {
            end = &mut served => return end.unwrap_or_else(|e| debug!("a client's connection: {e}")),
            () = state.close.notified() => served.as_mut().graceful_shutdown(),
            () = state.cut.notified() => return debug!("a client's connection is dropped: it was of no use"),
        }
    }
}

/// Why a request is not taken. All of these are failures: they promise nothing about other tries.
#[derive(Debug)]
struct Bad(StatusCode, String);

impl Bad {
    fn request(what: impl Into<String>) -> Self {
        Bad(StatusCode::BAD_REQUEST, what.into())
    }
    fn response(self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::from(self.1 + "\n"));
        *response.status_mut() = self.0;
        response
    }
}

async fn answer(clients: &Rc<Clients>, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Bad> {
    let at = Instant::now();
    if request.uri().path() == "/ready" && request.method() == Method::GET {
        let ready = clients.ready.get() && !clients.ending.get();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return Ok(Bad(status, if ready { "ready" } else { "not ready" }.into()).response());
    }
    let (head, body) = request.into_parts();
    let mut new = read_head(clients, &head)?;
    let _open = OpenId::new(clients, head.headers.get(&CORRELATION))?;
    let size = body.size_hint().exact().unwrap_or(LARGEST_BODY as u64);
    if size > LARGEST_BODY as u64 {
        return Err(too_large());
    }
    if head.method == Method::GET && !body.is_end_stream() {
        return Err(Bad::request("this class takes no body"));
    }
    let kib = size.div_ceil(1 << 10) as u32 + KIB_AN_ANSWER as u32;
    let Ok(_in_hand) = clients.room_in_hand.try_acquire_many(kib) else {
        return Ok(final_answer(Answer::Refused { retry_after: clients.settings.limits.max_retry_after }));
    };
    let body = read_body(body, new.remaining.min(SLOWEST)).await?;
    new.id = RequestId(clients.taken.get());
    clients.taken.set(new.id.0 + 1);
    let target = head.uri.path_and_query().cloned().ok_or_else(|| Bad::request("no path"))?;
    let payload = Rc::new(Payload { method: head.method, target, headers: end_to_end(head.headers), body });
    let (sender, receiver) = oneshot::channel();
    let mut present = Present { id: new.id, events: &clients.events, owed: true };
    let arrived = clients.events.send(NodeEvent::Arrived(Arrival { new, at, payload, answer: sender }));
    let answer = receiver.await;
    present.owed = false;
    match (arrived, answer) {
        (Ok(()), Ok(answer)) => Ok(final_answer(answer)),
        // The node's task has ended, and the process ends with it.
        _ => Err(Bad(StatusCode::INTERNAL_SERVER_ERROR, "the node has failed".into())),
    }
}

/// Tells the node when the client closes its connection before it has its answer.
struct Present<'a> {
    id: RequestId,
    events: &'a mpsc::UnboundedSender<NodeEvent>,
    owed: bool,
}

impl Drop for Present<'_> {
    fn drop(&mut self) {
        if self.owed {
            let _ = self.events.send(NodeEvent::Gone(self.id));
        }
    }
}

/// The id of a request in hand. A second request with it fails, and the first is left alone: to a backend both would be
/// one.
struct OpenId<'a>(&'a Clients, HeaderValue);

impl<'a> OpenId<'a> {
    fn new(clients: &'a Clients, id: Option<&HeaderValue>) -> Result<Self, Bad> {
        let id = id.cloned().ok_or_else(|| Bad::request("x-correlation-id: missing"))?;
        if !clients.ids.borrow_mut().insert(id.clone()) {
            return Err(Bad(StatusCode::CONFLICT, "x-correlation-id: that of a request in hand".into()));
        }
        Ok(OpenId(clients, id))
    }
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.0.ids.borrow_mut().remove(&self.1);
    }
}

/// What the head says of the request, if it is one of those that the settings describe.
fn read_head(clients: &Clients, head: &hyper::http::request::Parts) -> Result<NewRequest, Bad> {
    let mut parts = head.uri.path().split('/').skip(1);
    let name = parts.next().unwrap_or_default();
    let key = parts.last().filter(|key| !key.is_empty());
    let class = clients.host.classes.iter().position(|class| class == name && !name.is_empty());
    let class = class.ok_or_else(|| Bad(StatusCode::NOT_FOUND, "no such class".into()))?;
    let header = |name: &HeaderName| match head.headers.get(name).map(HeaderValue::to_str) {
        None => Ok(None),
        Some(Ok(text)) => Ok(Some(text)),
        Some(Err(_)) => Err(Bad::request(format!("{name}: not a text"))),
    };
    let terms = &clients.settings.classes[class];
    let method = if terms.repeat == Repeat::Safe { Method::GET } else { Method::POST };
    if head.method != method {
        return Err(Bad::request(format!("this class takes {method}")));
    }
    if matches!(terms.repeat, Repeat::Keyed { .. }) && header(&IDEMPOTENCY_KEY)?.is_none_or(str::is_empty) {
        // Without its key a repeat could not be dropped.
        return Err(Bad::request("idempotency-key: missing"));
    }
    if header(&CORRELATION)?.is_none_or(str::is_empty) {
        return Err(Bad::request("x-correlation-id: missing"));
    }
    let tenant = match header(&ACCOUNT)? {
        _ if clients.host.tenants.is_empty() => 0,
        Some(name) => {
            let tenant = clients.host.tenants.iter().position(|tenant| tenant == name);
            tenant.ok_or_else(|| Bad::request("x-account: unknown"))?
        }
        None => return Err(Bad::request("x-account: missing")),
    };
    let remaining = match header(&TIME_LEFT)? {
        None => terms.deadline,
        // No client waits longer than its class allows, whatever it says.
        Some(text) => {
            seconds(text).ok_or_else(|| Bad::request("x-time-left: not a time"))?.min(terms.deadline)
        }
    };
    let cost = match header(&WEIGHT_HINT)? {
        None => None,
        Some(text) => {
            let micros = text.parse::<f64>().ok().filter(|micros| (0.0..1e15).contains(micros));
            Some(Duration::from_micros(
                micros.ok_or_else(|| Bad::request("x-weight-hint: not a number"))? as u64
            ))
        }
    };
    Ok(NewRequest {
        id: RequestId(0),
        class,
        tenant,
        key: key.map_or(0, key_number),
        remaining,
        cost,
        client_retry: header(&REPEAT)? == Some("1"),
    })
}

fn seconds(text: &str) -> Option<Duration> {
    let seconds = text.trim().parse::<f64>().ok().filter(|s| s.is_finite() && *s >= 0.0)?;
    Duration::try_from_secs_f64(seconds.min(Settings::LONGEST.as_secs_f64())).ok()
}

/// A number for the subject of a request, never 0, which stands for none.
fn key_number(key: &str) -> u64 {
    u64::from_str_radix(key, 16).unwrap_or_else(|_| crate::listing::server_id(key).0).max(1)
}

fn too_large() -> Bad {
    Bad(StatusCode::PAYLOAD_TOO_LARGE, format!("a body holds at most {LARGEST_BODY} bytes"))
}

/// Reads a body whole. Too large a one, or one that does not come in time, is never passed on.
async fn read_body(body: Incoming, within: Duration) -> Result<Bytes, Bad> {
    match timeout(within, Limited::new(body, LARGEST_BODY).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(e)) => Err(Bad::request(e.to_string())),
        Err(_) => Err(Bad(StatusCode::REQUEST_TIMEOUT, "the body did not come in time".into())),
    }
}

fn final_answer(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Served(Reply { headers, body }) => {
            let mut response = Response::new(Full::new(body));
            *response.headers_mut() = end_to_end(headers);
            response
        }
        Answer::Refused { retry_after } => {
            let mut response =
                Bad(StatusCode::SERVICE_UNAVAILABLE, "refused; try again later".into()).response();
            let after =
                retry_after.and_then(|after| HeaderValue::try_from(after.as_secs_f64().to_string()).ok());
            response.headers_mut().extend(after.map(|after| (header::RETRY_AFTER, after)));
            response
        }
        Answer::Failed { timed_out: true } => {
            Bad(StatusCode::GATEWAY_TIMEOUT, "no answer in time".into()).response()
        }
        Answer::Failed { timed_out: false } => Bad(StatusCode::BAD_GATEWAY, "failed".into()).response(),
    }
}

/// Takes out what concerns one connection only, and the length, which each message has of its own.
fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<_> = headers.get_all(header::CONNECTION).iter().cloned().collect();
    for list in named.iter().filter_map(|list| list.to_str().ok()) {
        list.split(',').for_each(|name| drop(headers.remove(name.trim())));
    }
    let own =
        ["connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade"];
    own.iter().chain(&["content-length", "expect"]).for_each(|name| drop(headers.remove(*name)));
    headers
}
