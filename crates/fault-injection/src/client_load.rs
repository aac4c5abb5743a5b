//! The open-loop clients of a run: they send requests at fixed intervals over pooled connections, with
//! time-outs, and retry through the next node. The outcome of each attempt is recorded, not judged.

use crate::history::{Event, Idempotency, ResponseKind};
use crate::lock::lock;
use crate::plan::ClientGroup;
use crate::recorder::Recorder;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How much longer than its time-out a client waits, so that a response that is sent just in time still
/// reaches it.
const TIMEOUT_SLACK: Duration = Duration::from_millis(100);
/// How long a client waits before it retries.
const RETRY_DELAY: Duration = Duration::from_millis(30);
/// The largest number of idle connections to a node.
const MAX_IDLE: usize = 64;
/// The largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Each client group starts later than the one before by this part of its interval between requests, so that
/// groups of equal rates do not send at the same moments.
const GROUP_OFFSET: f64 = 0.137;

struct IdleConnection {
    stream: TcpStream,
    /// The id of the last attempt on it.
    last_attempt: String,
}

impl IdleConnection {
    /// Whether it may be reused: it is open, and no bytes have arrived after its last response. Records such
    /// bytes.
    fn is_reusable(&self, recorder: &Recorder) -> bool {
        match self.stream.try_read(&mut [0; 256]) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => true,
            Ok(n) if n > 0 => {
                recorder.record("client", Event::UnexpectedData { id: self.last_attempt.clone() });
                false
            }
            _ => false,
        }
    }
}

/// The nodes that clients connect to, and the idle connections to them.
pub struct ConnectionPool {
    names: Vec<String>,
    addresses: Vec<SocketAddr>,
    idle: Mutex<HashMap<usize, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// An empty pool for these nodes, each given by its name and the address that clients connect to.
    pub fn new(nodes: Vec<(String, SocketAddr)>) -> Self {
        let (names, addresses) = nodes.into_iter().unzip();
        ConnectionPool { names, addresses, idle: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<usize, Vec<IdleConnection>>> {
        lock(&self.idle)
    }

    /// Takes an idle connection to a node that may be reused, and closes those that may not.
    fn take_idle(&self, node: usize, recorder: &Recorder) -> Option<TcpStream> {
        let mut all = self.lock();
        let idle = all.entry(node).or_default();
        std::iter::from_fn(|| idle.pop())
            .find_map(|connection| connection.is_reusable(recorder).then_some(connection.stream))
    }

    fn put_back(&self, node: usize, connection: IdleConnection) {
        let mut all = self.lock();
        let idle = all.entry(node).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    /// Closes the idle connections, and records those on which unexpected bytes have arrived.
    pub fn close(&self, recorder: &Recorder) {
        for connection in self.lock().drain().flat_map(|(_, idle)| idle) {
            connection.is_reusable(recorder);
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, PartialEq)]
enum AttemptOutcome {
    Response(ResponseKind),
    TimedOut,
    ConnectionLost,
    ConnectFailed,
}

/// The state of a connection after a response.
#[derive(Clone, Copy, PartialEq)]
enum ConnectionState {
    Reusable,
    Closed,
    /// Bytes have arrived after the end of the response.
    UnexpectedData,
}

/// A complete response.
struct Response {
    status: u16,
    connection: ConnectionState,
}

async fn read_response(stream: &mut TcpStream) -> io::Result<Response> {
    let incomplete = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let mut bytes = Vec::new();
    let head_length = loop {
        if let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        if bytes.len() > MAX_HEAD_BYTES || stream.read_buf(&mut bytes).await? == 0 {
            return Err(incomplete());
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_length]).to_ascii_lowercase();
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or_else(incomplete)?;
    let header = |name: &str| {
        head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':').map(|v| v.trim().to_string()))
    };
    let is_persistent = header("connection").is_none_or(|value| value != "close");
    let body_length = header("content-length").and_then(|length| length.parse::<usize>().ok());
    let Some(body_length) = body_length else {
        // The body ends with the connection: backends and nodes send a length where they keep the connection
        // open.
        while stream.read_buf(&mut bytes).await? > 0 {}
        return Ok(Response { status, connection: ConnectionState::Closed });
    };
    let length = head_length + body_length;
    while bytes.len() < length {
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(incomplete());
        }
    }
    let connection = match is_persistent {
        _ if bytes.len() > length => ConnectionState::UnexpectedData,
        true => ConnectionState::Reusable,
        false => ConnectionState::Closed,
    };
    Ok(Response { status, connection })
}

/// Sends the requests of one client group.
pub struct LoadSource {
    /// The group.
    pub clients: ClientGroup,
    /// The index of the group in the plan, which is part of its request ids.
    pub group: usize,
    /// The connections to the nodes.
    pub pool: Arc<ConnectionPool>,
    /// Records the attempts and their outcomes.
    pub recorder: Recorder,
}

/// One attempt of a request.
struct Attempt<'a> {
    id: &'a str,
    /// The id of the first attempt.
    request: &'a str,
    /// The index of the node.
    node: usize,
    /// The number of the request in its group.
    number: usize,
}

impl LoadSource {
    /// Sends requests for a duration, then waits until the outcome of each is known.
    pub async fn run(self: Arc<Self>, duration: Duration) {
        let start = Instant::now();
        let mut in_flight = JoinSet::new();
        let interval = Duration::from_secs_f64(1.0 / self.clients.requests_per_s.max(1e-3));
        let mut due = start + interval.mul_f64(GROUP_OFFSET * (self.group + 1) as f64);
        let mut number = 0usize;
        while due < start + duration {
            sleep_until(due).await;
            self.recorder.record_lateness(due.elapsed());
            in_flight.spawn(self.clone().send_request(number));
            number += 1;
            due += interval;
            while in_flight.try_join_next().is_some() {}
        }
        while in_flight.join_next().await.is_some() {}
    }

    async fn send_request(self: Arc<Self>, number: usize) {
        let request = format!("{:x}-{number:x}", self.group + 1);
        let nodes = self.pool.names.len();
        for retry in 0..=self.clients.max_retries as usize {
            let id = if retry == 0 { request.clone() } else { format!("{request}-{retry}") };
            let attempt = Attempt { id: &id, request: &request, node: (number + retry) % nodes, number };
            let may_retry = match self.send_attempt(attempt).await {
                AttemptOutcome::Response(ResponseKind::Served) => false,
                AttemptOutcome::Response(ResponseKind::Rejected) | AttemptOutcome::ConnectFailed => true,
                _ => self.clients.idempotency != Idempotency::Unsafe,
            };
            if !may_retry {
                return;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn send_attempt(&self, attempt: Attempt<'_>) -> AttemptOutcome {
        let Attempt { id, node, .. } = attempt;
        let text = self.request_text(&attempt);
        let idle = self.pool.take_idle(node, &self.recorder);
        let sent = self.sent_event(&attempt);
        let client_timeout = self.clients.timeout;
        let mut stream = match idle {
            Some(stream) => stream,
            None => match timeout(client_timeout, TcpStream::connect(self.pool.addresses[node])).await {
                Ok(Ok(stream)) => {
                    let _ = stream.set_nodelay(true);
                    stream
                }
                _ => {
                    self.recorder.record("client", sent);
                    self.recorder.record("client", Event::ConnectFailed { id: id.into() });
                    return AttemptOutcome::ConnectFailed;
                }
            },
        };
        // Recorded before the first byte is written: the node can't receive the attempt earlier than that.
        self.recorder.record("client", sent);
        let exchange = async {
            stream.write_all(text.as_bytes()).await?;
            read_response(&mut stream).await
        };
        match timeout(client_timeout + TIMEOUT_SLACK, exchange).await {
            Ok(Ok(response)) => AttemptOutcome::Response(self.accept_response(&attempt, stream, &response)),
            Ok(Err(_)) => {
                // Closed before the end is recorded: what a node forwards after the recorded time, it
                // forwards after the close.
                drop(stream);
                self.recorder.record("client", Event::ConnectionLost { id: id.into() });
                AttemptOutcome::ConnectionLost
            }
            Err(_) => {
                drop(stream);
                self.recorder.record("client", Event::TimedOut { id: id.into() });
                AttemptOutcome::TimedOut
            }
        }
    }

    /// Records a response, and returns its connection to the pool if it may be reused.
    fn accept_response(&self, attempt: &Attempt, stream: TcpStream, response: &Response) -> ResponseKind {
        let Response { status, connection } = *response;
        let kind = match status {
            200..=299 => ResponseKind::Served,
            429 | 503 => ResponseKind::Rejected,
            _ => ResponseKind::Failed,
        };
        let id = attempt.id.to_string();
        self.recorder.record("client", Event::ResponseReceived { id: id.clone(), kind, status });
        match connection {
            ConnectionState::UnexpectedData => self.recorder.record("client", Event::UnexpectedData { id }),
            ConnectionState::Reusable => {
                self.pool.put_back(attempt.node, IdleConnection { stream, last_attempt: id });
            }
            ConnectionState::Closed => {}
        }
        kind
    }

    fn sent_event(&self, attempt: &Attempt) -> Event {
        Event::AttemptSent {
            id: attempt.id.into(),
            request: attempt.request.into(),
            node: self.pool.names[attempt.node].clone(),
            class: self.clients.class.clone(),
            idempotency: self.clients.idempotency,
            timeout_ms: self.clients.timeout.as_millis() as u64,
        }
    }

    /// The HTTP request of an attempt.
    fn request_text(&self, attempt: &Attempt) -> String {
        let (clients, id, request) = (&self.clients, attempt.id, attempt.request);
        let path = clients.path.replace("{n}", &attempt.number.to_string());
        let mut text =
            format!("{} {path} HTTP/1.1\r\nHost: trial\r\nX-Correlation-Id: {id}\r\n", clients.method);
        let has = |name: &str| clients.headers.iter().any(|(known, _)| known.eq_ignore_ascii_case(name));
        if !has("x-account") {
            text += "X-Account: semarang\r\n";
        }
        if clients.idempotency == Idempotency::Keyed && !has("idempotency-key") {
            text += &format!("Idempotency-Key: {request}\r\n");
        }
        for (name, value) in &clients.headers {
            text += &format!("{name}: {}\r\n", value.replace("{id}", id).replace("{key}", request));
        }
        let body = if clients.method == "GET" { String::new() } else { format!("count {id}") };
        if !body.is_empty() {
            text += &format!("Content-Length: {}\r\n", body.len());
        }
        text + "\r\n" + &body
    }
}
