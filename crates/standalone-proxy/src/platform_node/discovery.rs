//! The watch that receives the list of backends from discovery: opens it, reads it, and opens it again.

use crate::decision_loop::list_requests::ListRequests;
use crate::endpoint_update::EndpointUpdate;
use crate::platform_node::endpoint_registry::{EndpointRegistry, Generation, ListSource, is_list};
use crate::platform_node::json_segments::{JsonSegments, Segment};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use http_transport::scoped_task::ScopedTask;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use join_up_to::{ListKind, Settings};
use quick_error::quick_error;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tracing::{debug, info};

/// The time without a line after which a watch is considered dead. A line is due every 2 s. Discovery assumes
/// that a node knows of a change at the latest 6 s after the last line on its watch, which leaves time for a
/// second watch that is silent as well.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3000);
/// The time-out for the response to a request. Guards against an address that accepts connections and never
/// responds.
const OPEN_TIMEOUT: Duration = Duration::from_millis(4500);
/// The time-out for the first line of an open watch. That is due at once, and at the latest with the first
/// heartbeat after 2 s.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(2250);
/// A watch that ended within this time is not reopened at once. Otherwise a discovery that ends every watch
/// would get requests without pause.
const SHORT_LIVED: Duration = Duration::from_millis(500);
/// The maximum number of requests for a watch that are in flight at once.
const MAX_REQUESTS: usize = 4;
/// Requests to a discovery that does not respond are repeated after the drain grace divided by this, so that
/// its return is noticed early within the grace.
const DRAIN_GRACE_DIVISOR: u32 = 4;
/// The maximum size of a line, in bytes, enough for several thousand backends. Guards the memory against a
/// line that never ends.
const MAX_LINE_SIZE: usize = 2 << 20;
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

quick_error! {
    /// Why a watch ended.
    #[derive(Debug)]
    enum WatchEnd {
        /// It could not be opened.
        NotOpened(error: OpenError) { display("not opened: {error}") source(error) }
        /// No line arrived in time.
        TimedOut { display("no line received in time") }
        /// The response ended.
        ResponseEnded { display("end of the response") }
        /// The connection was lost.
        ConnectionLost(error: hyper::Error) { display("connection lost: {error}") source(error) }
        /// The node no longer reads updates.
        NodeEnded { display("the node no longer reads updates") }
        /// A line exceeds the maximum.
        LineTooLong { display("a line of more than {MAX_LINE_SIZE} bytes") }
    }
}

quick_error! {
    /// Why a watch could not be opened.
    #[derive(Debug)]
    enum OpenError {
        /// The connection could not be established.
        Connect(error: io::Error) { display("{error}") from() source(error) }
        /// The connection was lost, or the received bytes are not HTTP.
        Http(error: hyper::Error) { display("{error}") from() source(error) }
        /// The request could not be built.
        InvalidRequest(error: hyper::http::Error) { display("{error}") from() source(error) }
        /// The response has another status than 200.
        Status(status: StatusCode) { display("status {status}") }
        /// No response arrived in time.
        TimedOut { display("no response within {OPEN_TIMEOUT:?}") }
    }
}

/// The interval between requests to a discovery that does not respond. Where lists are pushed, discovery
/// assumes that a node knows a list whether or not the node has a watch open. Its return must therefore be
/// noticed well within the drain grace, and a request costs little. Clones share the interval, so that a
/// reload of settings can change it.
#[derive(Clone)]
pub struct RetryInterval(Rc<Cell<Duration>>);

impl RetryInterval {
    /// The interval for these settings.
    pub fn new(settings: &Settings) -> Self {
        let interval = RetryInterval(Rc::default());
        interval.reconfigure(settings);
        interval
    }

    /// Changes the interval to that of other settings.
    pub fn reconfigure(&self, settings: &Settings) {
        self.0.set((settings.rules.drain_grace / DRAIN_GRACE_DIVISOR).max(Duration::from_millis(10)));
    }

    fn get(&self) -> Duration {
        self.0.get()
    }
}

/// The source of the lists of a watch, and where they are passed.
#[derive(Clone)]
pub struct WatchTarget {
    /// The address of discovery.
    pub address: SocketAddr,
    /// The backends that are known so far.
    pub registry: Rc<RefCell<EndpointRegistry>>,
    /// The channel for changes of the list.
    pub updates: mpsc::Sender<EndpointUpdate>,
    /// The balancer's requests for the list; `None` if lists are pushed.
    pub list_requests: Option<Rc<ListRequests>>,
    /// The interval between requests to a discovery that does not respond.
    pub retry_interval: RetryInterval,
}

/// Keeps a watch open for as long as the node runs, and passes on the lists that it receives. If the watch
/// fails, the node keeps the list that it has. A predecessor, the watch of another discovery, continues until
/// the first list has arrived here. Where the list must be requested, each watch waits for a request, and one
/// that ended or did not open is passed on as a failed list: the balancer decides when to retry.
pub async fn maintain_watch(target: WatchTarget, predecessor: Option<ScopedTask>) {
    let (address, list_requests) = (target.address, target.list_requests.clone());
    // The operator has just configured another discovery, which gets a request at once.
    let mut is_immediate = predecessor.is_some();
    let mut watch = Watch { has_list: predecessor.is_none(), target, predecessor, has_received: false };
    let mut backoff = Duration::ZERO;
    let mut is_down = false;
    loop {
        if let Some(requests) = list_requests.as_ref().filter(|_| !std::mem::take(&mut is_immediate)) {
            requests.wait_for_request().await;
        }
        watch.has_received = false;
        let begun = Instant::now();
        let end = watch.run().await;
        if watch.target.updates.is_closed() {
            return;
        }
        let (has_received, retry_interval) = (watch.has_received, &watch.target.retry_interval);
        // A watch that worked is reopened at once.
        let has_worked = has_received && begun.elapsed() >= SHORT_LIVED;
        backoff = if has_worked { Duration::ZERO } else { next_backoff(backoff, retry_interval) };
        if has_received || !is_down {
            let generation = watch.target.registry.borrow().generation();
            info!("discovery: watch of {address} from generation {generation} ended: {end}");
        } else {
            debug!("discovery: watch of {address} still not open: {end}");
        }
        is_down = !has_received;
        if list_requests.is_none() {
            sleep(backoff).await;
            continue;
        }
        let version = watch.target.registry.borrow().version();
        let failed = EndpointUpdate { kind: ListKind::Failed, version, endpoints: Vec::new() };
        if watch.target.updates.send(failed).await.is_err() {
            return;
        }
    }
}

/// The pause before a watch that could not be opened, or ended early, is opened again. It doubles each time.
fn next_backoff(last: Duration, retry_interval: &RetryInterval) -> Duration {
    let max = MAX_BACKOFF.min(retry_interval.get());
    (2 * last).clamp(MIN_BACKOFF.min(max), max)
}

/// A watch of one discovery, which can be opened any number of times.
struct Watch {
    target: WatchTarget,
    /// Whether a list has arrived from this discovery. Until then it is unknown whether its generations
    /// continue those of the registry.
    has_list: bool,
    /// The watch that this one replaces, until the first list.
    predecessor: Option<ScopedTask>,
    /// Whether a line has arrived since the watch was last opened.
    has_received: bool,
}

impl Watch {
    /// Opens the watch and reads it until it ends.
    async fn run(&mut self) -> WatchEnd {
        // Another discovery may number its lists differently, so the complete list is requested from it.
        let from =
            if self.has_list { self.target.registry.borrow().generation() } else { Generation::default() };
        let mut watch = match open(&self.target, from).await {
            Ok(watch) => watch,
            Err(error) => return WatchEnd::NotOpened(error),
        };
        let mut segments = JsonSegments::default();
        loop {
            let silence_timeout = if self.has_received { SILENCE_TIMEOUT } else { FIRST_LINE_TIMEOUT };
            let frame = match timeout(silence_timeout, watch.body.frame()).await {
                Err(_) => return WatchEnd::TimedOut,
                Ok(None) => return WatchEnd::ResponseEnded,
                Ok(Some(Err(error))) => return WatchEnd::ConnectionLost(error),
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(data) = frame.into_data() else { continue };
            segments.add(&data);
            while let Some(segment) = segments.next(is_list) {
                self.has_received = true;
                if let Segment::Value(text) = segment
                    && let Err(end) = self.apply(&text).await
                {
                    return end;
                }
            }
            if segments.len() > MAX_LINE_SIZE {
                return WatchEnd::LineTooLong;
            }
        }
    }

    /// Applies the text of a list and passes the change on. An invalid list is logged and ignored.
    async fn apply(&mut self, text: &[u8]) -> Result<(), WatchEnd> {
        let source = if self.has_list { ListSource::SameDiscovery } else { ListSource::NewDiscovery };
        let applied = self.target.registry.borrow_mut().apply_text(text, source);
        match applied {
            Ok(update) => {
                debug!("discovery: {update:?}");
                self.has_list = true;
                self.predecessor = None;
                self.target.updates.send(update).await.map_err(|_| WatchEnd::NodeEnded)
            }
            Err(error) => {
                let registry = self.target.registry.borrow();
                registry.error_log().warn(|| format!("discovery: line skipped: {error}"));
                Ok(())
            }
        }
    }
}

/// A watch whose response has begun.
struct OpenWatch {
    body: Incoming,
    _sender: SendRequest<Empty<Bytes>>,
    _driver: ScopedTask,
}

/// Requests a watch until a request is answered. A discovery that is down may accept a connection and never
/// respond on it, even once it is up again. Where lists are pushed, further requests are therefore made in
/// the meantime, and the oldest is abandoned. Where the requests of all nodes go to one service, only one
/// request is made at a time.
async fn open(target: &WatchTarget, from: Generation) -> Result<OpenWatch, OpenError> {
    let hedging = target.list_requests.is_none().then_some(&target.retry_interval);
    let (mut requests, mut order) = (JoinSet::new(), VecDeque::<AbortHandle>::new());
    let deadline = Instant::now() + OPEN_TIMEOUT;
    loop {
        if order.len() >= MAX_REQUESTS
            && let Some(oldest) = order.pop_front()
        {
            oldest.abort();
        }
        order.push_back(requests.spawn_local(request_watch(target.address, from)));
        let next_request = hedging.map_or(deadline, |interval| Instant::now() + interval.get());
        loop {
            tokio::select! {
                biased;
                Some(ended) = requests.join_next() => match ended {
                    Ok(Ok(watch)) => return Ok(watch),
                    Ok(Err(error)) if requests.is_empty() => return Err(error),
                    // Others are in flight, or it was abandoned.
                    Ok(Err(_)) | Err(_) => {}
                },
                () = sleep_until(next_request.min(deadline)) => break,
            }
        }
        if Instant::now() >= deadline {
            return Err(OpenError::TimedOut);
        }
    }
}

/// Makes one request for a watch.
async fn request_watch(address: SocketAddr, from: Generation) -> Result<OpenWatch, OpenError> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    let driver = ScopedTask::spawn_connection(connection);
    let request = Request::get(format!("/v1/endpoints?watch=1&from={from}"))
        .header(header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(OpenError::Status(response.status()));
    }
    Ok(OpenWatch { body: response.into_body(), _sender: sender, _driver: driver })
}
