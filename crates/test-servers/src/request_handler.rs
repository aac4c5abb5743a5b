//! Handles the requests of a backend: the model decides when a request runs, the applicable fault is
//! injected, and the execution is logged.

use crate::backend_model::{
    Admission, BackendModel, IdempotencyKeys, ModelLoad, RequestToken, StartedRequest,
};
use crate::clock::Clock;
use crate::execution_log::{Execution, ExecutionLog, Observation};
use crate::fault_schedule::FaultSchedule;
use crate::http1::Request;
use crate::script::{Fault, ScriptedBackend};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// The response header with the name of the backend, by which the load generator attributes requests to
/// backends.
const SERVED_BY: &str = "X-Served-By";
/// The interval between the chunks of a slow response.
const SLOW_RESPONSE_INTERVAL: Duration = Duration::from_millis(20);
/// How often the connection of a client that has sent a second request is checked for a disconnect.
const DISCONNECT_POLL: Duration = Duration::from_millis(5);

/// Whether a connection stays open after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionUse {
    KeepOpen,
    Close,
}

/// Counts the restarts of a backend. Requests of an earlier incarnation are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Incarnation(u64);

/// A backend: its model and faults, and the log, clock and idempotency keys that it shares with others.
pub(crate) struct Backend {
    pub(crate) config: ScriptedBackend,
    pub(crate) clock: Clock,
    pub(crate) faults: FaultSchedule,
    log: Arc<ExecutionLog>,
    keys: Arc<Mutex<IdempotencyKeys>>,
    state: Mutex<State>,
}

struct State {
    model: BackendModel,
    /// The queued requests, each with the channel that receives its completion time when it starts.
    queued: HashMap<RequestToken, oneshot::Sender<Duration>>,
    last_token: RequestToken,
    /// The number of requests received.
    requests: u64,
    /// When discovery published that the backend drains or is removed.
    drain_published_at: Option<Duration>,
    reported_load: ModelLoad,
    reported_at: Option<Duration>,
    incarnation: Incarnation,
}

/// A request that the model has admitted.
struct AdmittedRequest {
    token: RequestToken,
    incarnation: Incarnation,
    start: RequestStart,
}

enum RequestStart {
    Running { completes_at: Duration },
    Queued { started: oneshot::Receiver<Duration> },
}

/// The result of processing a request.
enum ProcessingEnd {
    Completed,
    Rejected,
    /// The client has disconnected, or the backend has restarted.
    Abandoned,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // No change leaves the state inconsistent, so it is valid even if a task has panicked.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Backend {
    pub(crate) fn new(
        config: ScriptedBackend,
        faults: FaultSchedule,
        seed: u64,
        clock: Clock,
        log: Arc<ExecutionLog>,
        keys: Arc<Mutex<IdempotencyKeys>>,
    ) -> Self {
        let state = State {
            model: BackendModel::new(config.spec.clone(), seed, None),
            queued: HashMap::new(),
            last_token: RequestToken(0),
            requests: 0,
            drain_published_at: None,
            reported_load: ModelLoad::default(),
            reported_at: None,
            incarnation: Incarnation(0),
        };
        Backend { config, clock, faults, log, keys, state: Mutex::new(state) }
    }

    /// Records that discovery has published the drain or removal of the backend. Only the first call counts.
    pub(crate) fn mark_drain_published(&self) {
        let now = self.clock.now();
        lock(&self.state).drain_published_at.get_or_insert(now);
    }

    pub(crate) fn start_draining(&self) {
        lock(&self.state).model.start_draining();
    }

    /// Restarts the backend, cold and without requests.
    pub(crate) fn restart(&self) {
        let mut state = lock(&self.state);
        state.model.restart(self.clock.now());
        state.incarnation.0 += 1;
        state.drain_published_at = None;
        state.queued.clear();
    }

    pub(crate) fn set_slowdown(&self, factor: f64) {
        lock(&self.state).model.set_slowdown(factor);
    }

    /// Calls a function with the model.
    pub(crate) fn inspect_model<T>(&self, read: impl FnOnce(&BackendModel) -> T) -> T {
        read(&lock(&self.state).model)
    }

    /// Processes a request and responds to it, with the fault that applies.
    pub(crate) async fn handle(&self, stream: &mut TcpStream, request: &Request) -> ConnectionUse {
        let id = request.header("x-correlation-id").unwrap_or_default().to_string();
        let number = self.count_request(&id);
        let fault = self.faults.apply(self.clock.now(), number);
        match fault {
            Some(Fault::ResetBeforeRequest) => return reset(stream),
            Some(Fault::NoResponse) => {
                // Waits until the client closes the connection.
                while stream.read(&mut [0; 64]).await.is_ok_and(|n| n > 0) {}
                return ConnectionUse::Close;
            }
            Some(Fault::Reject) => return self.reject(stream).await,
            _ => {}
        }
        match self.process(stream, request, &id).await {
            ProcessingEnd::Completed => {}
            ProcessingEnd::Rejected => return self.reject(stream).await,
            ProcessingEnd::Abandoned => return ConnectionUse::Close,
        }
        if let Some(Fault::Stall(time)) = fault {
            tokio::select! {
                () = sleep(time) => {}
                () = wait_for_disconnect(stream) => return ConnectionUse::Close,
            }
        }
        self.respond(stream, request, &id, fault).await
    }

    /// Counts a request, and logs it if it arrives after the publication of a drain. Returns its number, from
    /// 1.
    fn count_request(&self, id: &str) -> u64 {
        let mut state = lock(&self.state);
        state.requests += 1;
        if let Some(published_at) = state.drain_published_at {
            let delay = self.clock.now().saturating_sub(published_at);
            self.log.record_observation(Observation::RequestAfterDrain {
                backend: self.config.name.clone(),
                request_id: id.to_string(),
                delay,
            });
        }
        state.requests
    }

    /// The header line with the last load report, refreshed if it is due; empty for a backend without
    /// reports.
    fn load_report(&self, state: &mut State) -> String {
        let Some(interval) = self.config.load_report_interval else { return String::new() };
        let now = self.clock.now();
        if state.reported_at.is_none_or(|at| now >= at + interval) {
            (state.reported_load, state.reported_at) = (state.model.load(), Some(now));
        }
        let ModelLoad { in_flight, queued } = state.reported_load;
        format!("X-Backend-Load: concurrent={in_flight},depth={queued}\r\n")
    }

    /// Sends the response to a completed request, changed by the fault.
    async fn respond(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        id: &str,
        fault: Option<Fault>,
    ) -> ConnectionUse {
        let report = self.load_report(&mut lock(&self.state));
        let head = |status: &str, length: usize| {
            let name = &self.config.name;
            format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{SERVED_BY}: {name}\r\n{report}\r\n")
        };
        let response =
            if request.method == "HEAD" { head("200 OK", id.len()) } else { head("200 OK", id.len()) + id };
        match fault {
            Some(Fault::ServerError) => write(stream, head("500 Internal Server Error", 0).as_bytes()).await,
            Some(Fault::InvalidResponse) => {
                write(stream, b"\x16\x03\x01 this is no answer\r\n\r\n").await;
                ConnectionUse::Close
            }
            Some(Fault::TruncateResponse(0)) => reset(stream),
            // A close instead of a reset, so that the bytes that were written arrive.
            Some(Fault::TruncateResponse(bytes)) => {
                write(stream, &response.as_bytes()[..bytes.min(response.len())]).await;
                ConnectionUse::Close
            }
            Some(Fault::SlowResponse(bytes_per_s)) => {
                write_slowly(stream, response.as_bytes(), bytes_per_s).await
            }
            _ => write(stream, response.as_bytes()).await,
        }
    }

    /// Responds that the request was rejected without execution.
    async fn reject(&self, stream: &mut TcpStream) -> ConnectionUse {
        self.log.record_rejection();
        let report = self.load_report(&mut lock(&self.state));
        let response = format!(
            "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n{report}\r\n"
        );
        write(stream, response.as_bytes()).await
    }

    /// Waits for a core and runs a request. A disconnect of the client cancels a queued request, but not a
    /// running one.
    async fn process(&self, stream: &mut TcpStream, request: &Request, id: &str) -> ProcessingEnd {
        let received_at = self.clock.now();
        let Some(admitted) = self.admit(received_at) else { return ProcessingEnd::Rejected };
        let AdmittedRequest { token, incarnation, start } = admitted;
        let completes_at = match start {
            RequestStart::Running { completes_at } => completes_at,
            RequestStart::Queued { started } => {
                match self.wait_for_core(stream, token, incarnation, started).await {
                    Some(completes_at) => completes_at,
                    None => return ProcessingEnd::Abandoned,
                }
            }
        };
        let key = request.header("idempotency-key").map(String::from);
        if self.is_duplicate(key.as_deref()) {
            self.log.record_deduplication();
            let mut state = lock(&self.state);
            if state.incarnation == incarnation {
                state.release_core(self.clock.now());
            }
            return ProcessingEnd::Completed;
        }
        let execution = Execution {
            backend: self.config.name.clone(),
            site: self.config.site.clone(),
            path: request.path().to_string(),
            key,
            received_at,
            completed_at: None,
        };
        let index = self.log.record_start(id, execution);
        self.clock.sleep_until(completes_at).await;
        let now = self.clock.now();
        self.log.record_completion(id, index, now);
        let mut state = lock(&self.state);
        if state.incarnation != incarnation {
            return ProcessingEnd::Abandoned;
        }
        state.release_core(now);
        ProcessingEnd::Completed
    }

    /// Offers a request to the model; `None` if it is rejected.
    fn admit(&self, received_at: Duration) -> Option<AdmittedRequest> {
        let mut state = lock(&self.state);
        let had_crashed = state.model.has_crashed();
        state.last_token.0 += 1;
        let token = state.last_token;
        let admission = state.model.arrive(received_at, token);
        if state.model.has_crashed() && !had_crashed {
            let backend = self.config.name.clone();
            self.log.record_observation(Observation::Crash { backend, at: received_at });
        }
        let start = match admission {
            Admission::Rejected => return None,
            Admission::Runs { completes_at } => RequestStart::Running { completes_at },
            Admission::Queued => {
                let (sender, started) = oneshot::channel();
                state.queued.insert(token, sender);
                RequestStart::Queued { started }
            }
        };
        Some(AdmittedRequest { token, incarnation: state.incarnation, start })
    }

    /// Waits until a queued request starts. Returns when it will complete; `None` if the client disconnects
    /// or the backend restarts before.
    async fn wait_for_core(
        &self,
        stream: &TcpStream,
        token: RequestToken,
        incarnation: Incarnation,
        started: oneshot::Receiver<Duration>,
    ) -> Option<Duration> {
        tokio::select! {
            biased;
            // The sender is dropped when the backend restarts.
            started = started => started.ok(),
            () = wait_for_disconnect(stream) => {
                let mut state = lock(&self.state);
                state.queued.remove(&token);
                let now = self.clock.now();
                if state.incarnation == incarnation && !state.model.cancel_queued(now, token) {
                    // It started in the meantime: its core is free again.
                    state.release_core(now);
                }
                None
            }
        }
    }

    /// Whether a request with this idempotency key was received within the window before. Records the key.
    fn is_duplicate(&self, key: Option<&str>) -> bool {
        let window = self.config.spec.deduplication_window;
        let is_new = key.is_none_or(|key| lock(&self.keys).insert_if_new(key, self.clock.now(), window));
        !is_new && !window.is_zero()
    }
}

impl State {
    /// Frees a core, and starts queued requests.
    fn release_core(&mut self, now: Duration) {
        let mut free = 1;
        while free > 0 {
            free -= 1;
            for StartedRequest { token, completes_at } in self.model.complete(now) {
                let is_waiting =
                    self.queued.remove(&token).is_some_and(|sender| sender.send(completes_at).is_ok());
                // The client of this request has disconnected: its core is free for the next one.
                free += usize::from(!is_waiting);
            }
        }
    }
}

async fn write(stream: &mut TcpStream, bytes: &[u8]) -> ConnectionUse {
    if stream.write_all(bytes).await.is_ok() { ConnectionUse::KeepOpen } else { ConnectionUse::Close }
}

async fn write_slowly(stream: &mut TcpStream, bytes: &[u8], bytes_per_s: u32) -> ConnectionUse {
    let chunk_length = (f64::from(bytes_per_s) * SLOW_RESPONSE_INTERVAL.as_secs_f64()).ceil() as usize;
    for chunk in bytes.chunks(chunk_length.max(1)) {
        if write(stream, chunk).await == ConnectionUse::Close {
            return ConnectionUse::Close;
        }
        sleep(SLOW_RESPONSE_INTERVAL).await;
    }
    ConnectionUse::KeepOpen
}

/// Makes the following close of the connection a reset.
fn reset(stream: &TcpStream) -> ConnectionUse {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    ConnectionUse::Close
}

/// Waits until the client closes the connection. Clients usually send nothing while they wait for a response.
async fn wait_for_disconnect(stream: &TcpStream) {
    loop {
        if stream.readable().await.is_err() {
            return;
        }
        match stream.peek(&mut [0]).await {
            Ok(0) | Err(_) => return,
            // A pipelined request, which is read after the response to the current one.
            Ok(_) => sleep(DISCONNECT_POLL).await,
        }
    }
}
