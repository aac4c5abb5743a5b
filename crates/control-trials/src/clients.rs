//! The clients: each frontend has one that asks all the time on a connection that it keeps until the process
//! closes it, and records what became of each request.

use crate::document::{Generation, HOST, Handling, SERVICES, TestRequest};
use crate::history::{ChangeOutcome, FrontendId, Observation};
use crate::machines::Machine;
use crate::world::World;
use bytes::Bytes;
use fleet_demo::http::{self, Connection};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

/// The pause between two requests to a frontend.
const REQUEST_INTERVAL: Duration = Duration::from_millis(70);
/// How long a client waits for an answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2500);
/// How many of the newest versions are asked for.
const RECENT_VERSIONS: usize = 14;

/// The client of one frontend.
pub struct Client {
    world: Rc<World>,
    machine: Rc<Machine>,
    frontend: FrontendId,
    address: SocketAddrV4,
    random: Pcg64Mcg,
    connection: Option<Connection>,
    sent: u64,
}

impl Client {
    /// A client of a frontend, which has not connected yet.
    pub fn new(world: &Rc<World>, machine: &Rc<Machine>, number: usize, seed: u64) -> Self {
        Client {
            world: world.clone(),
            machine: machine.clone(),
            frontend: FrontendId(number),
            address: world.addresses.client(number),
            random: Pcg64Mcg::seed_from_u64(seed.wrapping_add(number as u64)),
            connection: None,
            sent: 0,
        }
    }

    /// Sends requests until the task is dropped.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(REQUEST_INTERVAL).await;
            let request = self.draw_request();
            self.observe(request).await;
        }
    }

    /// Mostly the newest versions, as these show whether a change is in force; also those that were refused.
    fn draw_request(&mut self) -> TestRequest {
        let older = self.random.random_range(0..RECENT_VERSIONS);
        let before = if self.random.random_bool(0.6) { 0 } else { older };
        let generation = self.recent_generation(before);
        let invalid = self.world.history.borrow().invalid_changes.last().map(|change| change.number);
        match (self.random.random_range(0..10), generation, invalid) {
            (0, _, _) => TestRequest::Lasting,
            (1 | 2, _, _) => TestRequest::Moving,
            (3 | 4, Some(generation), _) => TestRequest::Key(generation),
            (5, _, Some(number)) => TestRequest::Invalid(number),
            (_, Some(generation), _) => TestRequest::Added(generation),
            _ => TestRequest::Lasting,
        }
    }

    /// The generation of the change before the newest clear one by this many; `None` if there are not as many.
    fn recent_generation(&self, before: usize) -> Option<Generation> {
        let history = self.world.history.borrow();
        let clear = history.changes.iter().rev().filter(|change| change.outcome != ChangeOutcome::Unclear);
        clear.map(|change| change.version.generation).nth(before)
    }

    async fn observe(&mut self, request: TestRequest) {
        let (incarnation, sent_at) = (self.machine.incarnation(), self.world.now());
        let exchange = tokio::time::timeout(RESPONSE_TIMEOUT, self.exchange(request)).await;
        let handling = exchange.ok().flatten().unwrap_or(Handling::Unknown);
        if handling == Handling::Unknown {
            self.connection = None;
        }
        let ended_at = self.world.now();
        let frontend = self.frontend;
        let seen = Observation { frontend, incarnation, sent_at, ended_at, request, handling };
        self.world.history.borrow_mut().observations.push(seen);
    }

    /// Sends one request, on the open connection if there is one. `None` without a complete answer.
    async fn exchange(&mut self, request: TestRequest) -> Option<Handling> {
        self.connection.take_if(|connection| connection.is_closed());
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => http::connect(self.address).await.ok()?,
        };
        connection.ready().await.ok()?;
        let response = connection.send_request(self.request(request)).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        self.connection = Some(connection);
        Some(handling(status, &body))
    }

    fn request(&mut self, request: TestRequest) -> Request<Full<Bytes>> {
        self.sent += 1;
        let id = format!("{}-{}", self.frontend, self.sent);
        let request = Request::get(request.path())
            .header("host", HOST)
            .header("x-request-id", id)
            .header("x-deadline-ms", RESPONSE_TIMEOUT.as_millis() as u64)
            .header("authorization", format!("Token {}", request.key()));
        // Fails only with an invalid header, which no request has.
        request.body(Full::default()).unwrap_or_default()
    }
}

fn handling(status: u16, body: &[u8]) -> Handling {
    let service = SERVICES.into_iter().find(|service| service.as_bytes() == body);
    match (status, service) {
        (200, Some(service)) => Handling::RunBy(service),
        (401 | 403 | 404, _) => Handling::Refused(status),
        _ => Handling::Unknown,
    }
}
