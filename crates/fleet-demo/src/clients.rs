//! Open-loop clients: the send times of requests do not depend on earlier responses.

use crate::DemoError;
use crate::configuration::{LIMITED_TENANT, Tenant, UNLIMITED_TENANT, added_route_prefix};
use crate::http::{self, Connection};
use crate::observations::{Attempt, Outcome, hash};
use crate::outgoing_request::OutgoingRequest;
use crate::request_kind::RequestKind;
use crate::response_check::{ReceivedResponse, receive};
use crate::state::DemoState;
use crate::topology::FRONTENDS;
use bytes::Bytes;
use hyper::Response;
use hyper::body::Incoming;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// How long an idle connection may be reused: less than the idle time-out of the frontends, so that they do
/// not close it first.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);
/// The largest number of idle connections to a frontend.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// The time between two probes of each frontend, which request the newest added route.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// The share of requests that are sent for the tenant with a rate limit.
const LIMITED_TENANT_SHARE: f64 = 0.15;
/// The longest wait before a retry, even if the rejection asks for more.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The number of sessions. Requests of one session share prompt blocks.
const SESSIONS: u32 = 24;

struct IdleConnection {
    since: Instant,
    connection: Connection,
}

/// The clients, with their idle connections.
pub struct Clients {
    state: Rc<DemoState>,
    random: RefCell<Pcg64Mcg>,
    /// The idle connections by frontend.
    idle: RefCell<Vec<Vec<IdleConnection>>>,
    last_number: Cell<u64>,
    in_flight: Cell<usize>,
}

impl Clients {
    /// Clients without connections. The seed determines the kinds, tenants and frontends of their requests.
    pub fn new(state: &Rc<DemoState>, seed: u64) -> Rc<Self> {
        Rc::new(Clients {
            state: state.clone(),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            idle: RefCell::new((0..FRONTENDS).map(|_| Vec::new()).collect()),
            last_number: Cell::new(0),
            in_flight: Cell::new(0),
        })
    }

    /// The number of requests in flight, probes included.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Sends `rate` requests per second for a duration, without waiting for the responses.
    pub async fn run(self: &Rc<Self>, rate: f64, length: Duration) {
        let start = Instant::now();
        let mut due = Duration::ZERO;
        while due < length {
            tokio::time::sleep_until(start + due).await;
            let request = self.draw_request();
            self.send(request);
            due += Duration::from_secs_f64(1.0 / rate);
        }
    }

    /// Probes every frontend periodically until dropped: requests the route that the newest configuration
    /// added.
    pub async fn probe(self: &Rc<Self>) {
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let Some(generation) = self.state.newest_added_route() else { continue };
            for frontend in 0..FRONTENDS {
                let mut request = self.new_request(RequestKind::Added, UNLIMITED_TENANT, frontend);
                request.path = format!("{}{}", added_route_prefix(generation), request.id);
                self.send(request);
            }
        }
    }

    fn draw_request(&self) -> OutgoingRequest {
        let (kind, is_limited) = {
            let mut random = self.random.borrow_mut();
            let kind = match random.random_range(0..100) {
                0..30 => RequestKind::Form,
                30..50 => RequestKind::Question,
                50..75 => RequestKind::Pull,
                _ => RequestKind::Lookup,
            };
            (kind, random.random_bool(LIMITED_TENANT_SHARE))
        };
        // The tenant with a rate limit only sends lookups.
        let (kind, tenant) =
            if is_limited { (RequestKind::Lookup, LIMITED_TENANT) } else { (kind, UNLIMITED_TENANT) };
        self.new_request(kind, tenant, self.draw_frontend())
    }

    /// Draws one of the ready frontends, or any frontend if none is ready.
    fn draw_frontend(&self) -> usize {
        let ready = self.state.ready.borrow();
        let ready: Vec<usize> = (0..FRONTENDS).filter(|frontend| ready[*frontend]).collect();
        let mut random = self.random.borrow_mut();
        match ready.len() {
            0 => random.random_range(0..FRONTENDS),
            count => ready[random.random_range(0..count)],
        }
    }

    fn new_request(&self, kind: RequestKind, tenant: Tenant, frontend: usize) -> OutgoingRequest {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let body = match kind {
            RequestKind::Lookup | RequestKind::Added => Bytes::new(),
            _ => format!("{{\"form\":\"{id}\"}}").into(),
        };
        let session = self.random.borrow_mut().random_range(0..SESSIONS);
        let prompt = match kind {
            RequestKind::Form => Some(format!("f0a1:1400,{:x}:600,{number:x}a:300", 0xf100 + session)),
            RequestKind::Question => Some(format!("9e01:200,{:x}:300,{number:x}b:80", 0x9e00 + session)),
            _ => None,
        };
        let path = format!("/{}/{id}", kind.name());
        OutgoingRequest { id, kind, tenant, frontend, path, body, prompt }
    }

    fn send(self: &Rc<Self>, request: OutgoingRequest) {
        let clients = self.clone();
        self.in_flight.set(self.in_flight.get() + 1);
        spawn_local(async move {
            clients.send_with_retry(request).await;
            clients.in_flight.set(clients.in_flight.get() - 1);
        });
    }

    /// Makes an attempt, and a second one if the first was rejected with a retry time and the request may be
    /// retried.
    async fn send_with_retry(&self, request: OutgoingRequest) {
        let retry_after = self.attempt(&request).await;
        let may_retry = request.tenant == UNLIMITED_TENANT && request.kind != RequestKind::Added;
        let Some(delay) = retry_after.filter(|_| may_retry) else { return };
        tokio::time::sleep(delay.min(MAX_RETRY_DELAY)).await;
        let retry = self.new_request(request.kind, request.tenant, self.draw_frontend());
        self.attempt(&retry).await;
    }

    /// Makes an attempt and records it. Returns the retry time of a rejection that has one.
    async fn attempt(&self, request: &OutgoingRequest) -> Option<Duration> {
        let sent_at = self.state.now();
        let response = tokio::time::timeout(request.kind.deadline(), self.exchange(request)).await;
        let response = response.unwrap_or_else(|_| ReceivedResponse::none(Outcome::TimedOut));
        self.state.record_attempt(Attempt {
            request_id: request.id.clone(),
            kind: request.kind,
            tenant: request.tenant.name,
            frontend: request.frontend,
            path: request.path.clone(),
            body_hash: hash(&request.body),
            sent_at,
            first_byte: response.first_byte,
            ended_at: self.state.now(),
            outcome: response.outcome,
            mismatch: response.mismatch,
        });
        response.retry_after
    }

    async fn exchange(&self, request: &OutgoingRequest) -> ReceivedResponse {
        let started_at = Instant::now();
        match self.request_response(request).await {
            Ok((connection, response)) => {
                let received = receive(request, response, started_at).await;
                self.keep_idle(request.frontend, connection);
                received
            }
            Err(error) => ReceivedResponse::none(Outcome::Interrupted(error.to_string())),
        }
    }

    /// Sends a request. If an idle connection is found closed before anything was written, the next one is
    /// tried.
    async fn request_response(
        &self,
        request: &OutgoingRequest,
    ) -> Result<(Connection, Response<Incoming>), DemoError> {
        let peer = self.state.topology.client_address(request.frontend);
        loop {
            let idle = self.take_idle(request.frontend);
            let was_idle = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => http::connect(peer).await?,
            };
            match connection.send_request(request.to_http()).await {
                Ok(response) => return Ok((connection, response)),
                Err(error) if was_idle && error.is_canceled() => {}
                Err(error) => return Err(DemoError::PeerHttp("get a response from", peer, error)),
            }
        }
    }

    fn take_idle(&self, frontend: usize) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(IdleConnection { since, connection }) = idle[frontend].pop() {
            if since.elapsed() < MAX_IDLE_TIME && connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn keep_idle(&self, frontend: usize, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if !connection.is_closed() && idle[frontend].len() < MAX_IDLE_CONNECTIONS {
            idle[frontend].push(IdleConnection { since: Instant::now(), connection });
        }
    }
}
