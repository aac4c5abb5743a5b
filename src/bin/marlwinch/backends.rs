//! The backends' side: connections to each of them, one attempt or probe on one, how it ended, load reports.

use crate::discovery::Update;
use crate::logging::Limited;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited as LimitedBody};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use larchspread::settings::Column;
use larchspread::{ListKind, LoadReport, Outcome, ServerId, ServerState};
use log::debug;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

/// The largest body, of a request or of an answer.
pub const LARGEST_BODY: usize = 64 << 10;
/// The largest head of a message. Bounds what hyper buffers for a connection.
pub const LARGEST_HEAD: usize = 16 << 10;
/// After an answer hyper needs one turn to make its connection ready; one that isn't by then is dropped.
const TURN: Duration = Duration::from_millis(20);

pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
pub const CORRELATION: HeaderName = HeaderName::from_static("x-correlation-id");
const LOAD: HeaderName = HeaderName::from_static("x-backend-load");
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");

/// What goes to a backend: a client's request, whole, with the headers that are passed on.
#[derive(Debug)]
pub struct Payload {
    pub method: Method,
    pub target: PathAndQuery,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A backend's whole answer to a request that it served.
#[derive(Debug)]
pub struct Reply {
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// How an attempt or a probe ended.
#[derive(Debug)]
pub struct Ended {
    pub outcome: Outcome,
    pub report: Option<LoadReport>,
    /// The answer, if the outcome is [`Outcome::Served`].
    pub reply: Option<Reply>,
}

impl Ended {
    fn bare(outcome: Outcome) -> Self {
        Ended { outcome, report: None, reply: None }
    }
}

/// What the connections have cost so far.
#[derive(Default)]
pub struct Counters {
    pub opened: Cell<u64>,
    pub refused: Cell<u64>,
    pub stale: Cell<u64>,
}

/// The connections to all backends.
pub struct Backends {
    pools: RefCell<HashMap<ServerId, Pool>>,
    /// Connections that are open, and the most that there may be.
    open: Rc<Cell<usize>>,
    most: usize,
    connect_timeout: Duration,
    /// Idle connections are dropped after this time, well before the backend would.
    idle_after: Duration,
    columns: Vec<Column>,
    bad_report: Limited,
    pub counters: Counters,
}

struct Pool {
    address: SocketAddr,
    /// Whether new attempts may come, so that idle connections are worth keeping.
    in_service: bool,
    /// The most lately used is last, and used first: the others grow old and are dropped.
    idle: Vec<(Connection, Instant)>,
}

/// An open connection. Dropping it closes it.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    progress: Rc<Progress>,
    address: SocketAddr,
    _driver: Driver,
    _open: OpenOne,
}

/// Counts a connection as open for as long as it lives.
struct OpenOne(Rc<Cell<usize>>);

impl Drop for OpenOne {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// A task that ends when this is dropped: one that moves a connection's bytes closes the socket with it.
pub struct Driver(tokio::task::JoinHandle<()>);

impl Driver {
    pub fn spawn(work: impl Future<Output = ()> + 'static) -> Self {
        Driver(tokio::task::spawn_local(work))
    }
    pub fn of(connection: impl Future<Output = hyper::Result<()>> + 'static) -> Self {
        Driver::spawn(async move {
            if let Err(e) = connection.await {
                debug!("a connection ended: {e}");
            }
        })
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Backends {
    pub fn new(most: usize, connect_timeout: Duration, idle_close: Duration, columns: Vec<Column>) -> Self {
        Backends {
            pools: RefCell::default(),
            open: Rc::default(),
            most,
            connect_timeout,
            idle_after: idle_close / 2,
            columns,
            bad_report: Limited::default(),
            counters: Counters::default(),
        }
    }

    /// Connections that are open now.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Whether there is a backend on the list.
    pub fn any(&self) -> bool {
        !self.pools.borrow().is_empty()
    }

    /// Takes in a change of the list: addresses, and whose idle connections are of no more use.
    pub fn apply(&self, update: &Update) {
        let mut pools = self.pools.borrow_mut();
        if update.kind != ListKind::Changes {
            pools.retain(|id, _| update.entries.iter().any(|(entry, _)| entry.id == *id));
        }
        for (entry, address) in &update.entries {
            if entry.state == ServerState::Gone {
                pools.remove(&entry.id);
                continue;
            }
            let pool = pools.entry(entry.id).or_insert_with(|| Pool {
                address: *address,
                in_service: true,
                idle: Vec::new(),
            });
            pool.in_service = entry.state == ServerState::Ready;
            if !pool.in_service || pool.address != *address {
                pool.idle.clear();
            }
            pool.address = *address;
        }
    }

    /// Closes a backend's idle connections.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&server) {
            pool.idle.clear();
        }
    }

    /// Drops connections that have stood idle for long or were closed by the backend. To be called now and then.
    pub fn prune(&self) {
        for pool in self.pools.borrow_mut().values_mut() {
            pool.idle.retain(|(connection, since)| {
                !connection.sender.is_closed() && since.elapsed() < self.idle_after
            });
        }
    }

    /// Sends a request to a backend and waits for what comes back, until `deadline` at the latest. A request whose
    /// last byte was not written by then has certainly not run; of any other that can't be said.
    pub async fn attempt(&self, server: ServerId, payload: &Payload, deadline: Instant) -> Ended {
        let left = deadline.saturating_duration_since(Instant::now());
        let mut headers = payload.headers.clone();
        // Digits and a point are a header value in every case.
        if let Ok(left) = HeaderValue::from_str(&format!("{:.3}", left.as_secs_f64())) {
            headers.insert(TIME_LEFT, left);
        }
        let request = || {
            let mut request = Request::new(Full::new(payload.body.clone()));
            *request.method_mut() = payload.method.clone();
            *request.uri_mut() = Uri::from(payload.target.clone());
            *request.headers_mut() = headers.clone();
            request
        };
        self.exchange(server, request, payload.body.len(), deadline).await
    }

    /// Asks a backend for its load. The time for a connection is also that for the answer.
    pub async fn probe(&self, server: ServerId) -> Ended {
        let request = || {
            let mut request = Request::new(Full::default());
            *request.uri_mut() = Uri::from_static("/status/load");
            request.headers_mut().insert(header::HOST, HeaderValue::from_static("backend"));
            request
        };
        let mut ended = self.exchange(server, request, 0, Instant::now() + self.connect_timeout).await;
        if let (None, Some(reply)) = (&ended.report, &ended.reply) {
            ended.report = self.report(&reply.body);
        }
        ended
    }

    async fn exchange(
        &self,
        server: ServerId,
        request: impl Fn() -> Request<Full<Bytes>>,
        body: usize,
        deadline: Instant,
    ) -> Ended {
        // What has become of the request stays known when the time is up and the rest is dropped.
        let progress: RefCell<Option<Rc<Progress>>> = RefCell::default();
        let work = async {
            loop {
                let (mut connection, reused) = match self.idle(server) {
                    Some(connection) => (connection, true),
                    None => match self.connect(server).await {
                        Ok(connection) => (connection, false),
                        Err(outcome) => return Ended::bare(outcome),
                    },
                };
                connection.progress.begin(body);
                *progress.borrow_mut() = Some(connection.progress.clone());
                match connection.sender.send_request(request()).await {
                    Ok(answer) => return self.answered(server, connection, answer).await,
                    Err(e) => {
                        debug!("backend {server:?}: {e}");
                        if connection.progress.is_complete() {
                            return Ended::bare(Outcome::Reset);
                        }
                        // Not a byte was written: the connection had been closed while it stood idle. That is no
                        // attempt yet, so another connection carries it.
                        if reused && connection.progress.is_untouched() {
                            self.counters.stale.set(self.counters.stale.get() + 1);
                            continue;
                        }
                        return Ended::bare(Outcome::ConnectFailed);
                    }
                }
            }
        };
        // Both the work and its connection are gone once this returns, so that no further byte gets written.
        match timeout_at(deadline, work).await {
            Ok(ended) => ended,
            Err(_) if progress.borrow().as_ref().is_some_and(|progress| progress.is_complete()) => {
                Ended::bare(Outcome::TimedOut)
            }
            Err(_) => Ended::bare(Outcome::NotSent),
        }
    }

    /// Reads an answer to its end. Whatever is not understood is an outcome too: the request may have run.
    async fn answered(
        &self,
        server: ServerId,
        mut connection: Connection,
        answer: Response<Incoming>,
    ) -> Ended {
        let (mut head, body) = answer.into_parts();
        // The report is for this node and goes no further.
        let report = head.headers.remove(LOAD).and_then(|value| self.report(value.as_bytes()));
        let body = match LimitedBody::new(body, LARGEST_BODY).collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) => {
                debug!("backend {server:?}: answer not whole: {e}");
                let outcome = if e.is::<LengthLimitError>() { Outcome::Error } else { Outcome::Reset };
                return Ended { outcome, report, reply: None };
            }
        };
        let unprocessed = head.headers.get(UNPROCESSED).is_some_and(|value| value == "1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Served,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Outcome::Rejected,
            _ => Outcome::Error,
        };
        if connection.progress.is_complete()
            && matches!(timeout(TURN, connection.sender.ready()).await, Ok(Ok(())))
        {
            self.keep(server, connection);
        }
        let reply = (outcome == Outcome::Served).then_some(Reply { headers: head.headers, body });
        Ended { outcome, report, reply }
    }

    fn idle(&self, server: ServerId) -> Option<Connection> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&server)?;
        while let Some((connection, since)) = pool.idle.pop() {
            if connection.sender.is_ready() && since.elapsed() < self.idle_after {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for the next attempt, unless none is to come.
    fn keep(&self, server: ServerId, connection: Connection) {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&server).filter(|p| p.in_service && p.address == connection.address);
        if let Some(pool) = pool {
            pool.idle.push((connection, Instant::now()));
        }
    }

    async fn connect(&self, server: ServerId) -> Result<Connection, Outcome> {
        // An id that the list no longer has was never sent to.
        let address = self.pools.borrow().get(&server).map(|pool| pool.address).ok_or(Outcome::NotSent)?;
        if self.open.get() >= self.most && !self.evict() {
            return Err(Outcome::NotSent);
        }
        self.open.set(self.open.get() + 1);
        let open = OpenOne(self.open.clone());
        self.counters.opened.set(self.counters.opened.get() + 1);
        let connected = timeout(self.connect_timeout, async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            Ok::<_, io::Error>(stream)
        });
        let failed = |what: &dyn std::fmt::Display| {
            debug!("backend {server:?} at {address}: no connection: {what}");
            self.counters.refused.set(self.counters.refused.get() + 1);
            Outcome::ConnectFailed
        };
        let stream = match connected.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(failed(&e)),
            Err(e) => return Err(failed(&e)),
        };
        let progress = Rc::new(Progress::default());
        let io = TokioIo::new(Watched { stream, progress: progress.clone() });
        let (sender, driver) =
            http1::Builder::new().max_buf_size(LARGEST_HEAD).handshake(io).await.map_err(|e| failed(&e))?;
        Ok(Connection { sender, progress, address, _driver: Driver::of(driver), _open: open })
    }

    /// Makes room by closing the connection that has stood idle for longest.
    fn evict(&self) -> bool {
        let mut pools = self.pools.borrow_mut();
        let oldest =
            pools.values_mut().filter(|pool| !pool.idle.is_empty()).min_by_key(|pool| pool.idle[0].1);
        oldest.map(|pool| pool.idle.remove(0)).is_some()
    }

    /// Reads a load report, `concurrent=7,depth=2`. What can't be read is logged and passed over.
    fn report(&self, text: &[u8]) -> Option<LoadReport> {
        let report = std::str::from_utf8(text).ok().and_then(|text| load_report(text, &self.columns));
        if report.is_none() {
            self.bad_report.warn(|| format!("load report skipped: {:?}", String::from_utf8_lossy(text)));
        }
        report
    }
}

/// The figures of a load report, in the settings' words for them; `None` if one of them is no number or there is none.
fn load_report(text: &str, columns: &[Column]) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value: f32 = value.trim().parse().ok().filter(|value: &f32| value.is_finite())?;
        let column = Column::named(name.trim());
        if columns.contains(&column) {
            column.set(&mut report, value);
        }
    }
    (report != LoadReport::default()).then_some(report)
}

/// How much of the request in hand has been written to a connection. hyper writes out of sight of its caller, and
/// whether a request may have run depends on whether its last byte was written.
#[derive(Default)]
struct Progress {
    body: Cell<usize>,
    /// How much of the blank line that ends the head has come, 4 once it is over; body bytes after that.
    blank_line: Cell<usize>,
    body_written: Cell<usize>,
    touched: Cell<bool>,
}

impl Progress {
    fn begin(&self, body: usize) {
        self.body.set(body);
        self.blank_line.set(0);
        self.body_written.set(0);
        self.touched.set(false);
    }
    fn written(&self, bytes: &[u8]) {
        self.touched.set(self.touched.get() || !bytes.is_empty());
        for (i, byte) in bytes.iter().enumerate() {
            if self.blank_line.get() == 4 {
                return self.body_written.set(self.body_written.get() + bytes.len() - i);
            }
            let next = match (self.blank_line.get(), byte) {
                (0 | 2, b'\r') | (1 | 3, b'\n') => self.blank_line.get() + 1,
                (_, b'\r') => 1,
                _ => 0,
            };
            self.blank_line.set(next);
        }
    }
    fn is_untouched(&self) -> bool {
        !self.touched.get()
    }
    fn is_complete(&self) -> bool {
        self.blank_line.get() == 4 && self.body_written.get() >= self.body.get()
    }
}

/// A backend's socket that tells what was written, and looks for the peer's close before a request's first byte: a
/// write to a connection that the backend has left counts as a request that may have run.
struct Watched {
    stream: TcpStream,
    progress: Rc<Progress>,
}

impl AsyncRead for Watched {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.progress.is_untouched() {
            // Asks the socket itself; the runtime may not have heard yet. Anything to read is out of turn.
            match socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                _ => return Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
            }
        }
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = &written {
            self.progress.written(&bytes[..*count]);
        }
        written
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Write;
    use std::task::Waker;

    #[test]
    fn a_request_is_complete_with_its_last_byte_however_it_is_cut() {
        let text = b"POST /a HTTP/1.1\r\nX: \r\r\nY: 1\r\n\r\n\r\n\r\nbody";
        let body = b"\r\n\r\nbody".len();
        for cut in 1..text.len() {
            let progress = Progress::default();
            progress.begin(body);
            assert!(progress.is_untouched());
            for piece in text.chunks(cut) {
                assert!(!progress.is_complete(), "cut at {cut}");
                progress.written(piece);
                assert!(!progress.is_untouched());
            }
            assert!(progress.is_complete(), "cut at {cut}");
            progress.begin(body);
            progress.written(&text[..text.len() - 1]);
            assert!(!progress.is_complete(), "cut at {cut}");
        }
    }

    #[test]
    fn a_load_report_holds_what_the_settings_name_or_nothing() {
        let columns = [Column::Concurrent, Column::Depth];
        let report = LoadReport { in_flight: Some(7.0), queue: Some(2.5), ..LoadReport::default() };
        // The names are those of the settings.
        assert_eq!(load_report("concurrent=7, depth=2.5,load_share=0.61,new=1", &columns), Some(report));
        for bad in [
            "",
            "concurrent",
            "concurrent=",
            "concurrent=NaN",
            "concurrent=1,depth=inf",
            "load_share=0.5",
            "concurrent=1,,",
        ] {
            assert_eq!(load_report(bad, &columns), None, "{bad}");
        }
    }

    /// The peer's close or stray bytes count even while the runtime has not yet heard of them.
    #[tokio::test]
    async fn not_a_byte_is_written_to_a_connection_that_the_peer_has_left() {
        for stray in [None, Some(b"HTTP/1.1 408 Request Timeout\r\n\r\n")] {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
            let (mut peer, _) = listener.accept().unwrap();
            let progress = Rc::new(Progress::default());
            let mut watched = Watched { stream, progress: progress.clone() };
            let cx = &mut Context::from_waker(Waker::noop());
            progress.begin(0);
            assert!(matches!(Pin::new(&mut watched).poll_write(cx, b"GET"), Poll::Ready(Ok(3))));
            let mut read = [0; 3];
            io::Read::read_exact(&mut peer, &mut read).unwrap();
            if let Some(stray) = stray {
                peer.write_all(stray).unwrap();
            } else {
                drop(peer);
            }
            // Waits for it without the runtime.
            while socket2::SockRef::from(&watched.stream).peek(&mut [MaybeUninit::uninit()]).is_err() {}
            progress.begin(0);
            assert!(matches!(Pin::new(&mut watched).poll_write(cx, b"GET"), Poll::Ready(Err(_))));
            assert!(progress.is_untouched());
        }
    }
}
