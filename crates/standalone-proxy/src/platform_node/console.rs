//! The console, at a second address: operators send calls of one line each and get a response. Calls change
//! nothing, and a slow caller delays nobody else.

use crate::telemetry::node_metrics::NodeMetrics;
use http_transport::rate_limited_log::RateLimitedLog;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};
use tracing::{debug, info};

/// The maximum size of a call, in bytes. Guards against a line that never ends.
const MAX_CALL_SIZE: usize = 256;
/// The time-out for a call and its response together. Guards against callers that keep their connection open.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of callers. Once it is exceeded, the oldest is disconnected, as a caller normally sends
/// its call at once.
const MAX_CALLERS: usize = 12;

const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The state that calls can query.
pub struct ConsoleState {
    /// The metrics of the node.
    pub metrics: Rc<NodeMetrics>,
    /// Whether the node has backends to send to.
    pub ready: Rc<Cell<bool>>,
    /// Whether the node is shutting down.
    pub shutting_down: Rc<Cell<bool>>,
}

impl ConsoleState {
    /// Returns the complete response to a call.
    fn respond(&self, call: &str) -> String {
        match call {
            "HEALTH" if self.shutting_down.get() => "NAK ending\n".into(),
            "HEALTH" if self.ready.get() => "ACK\n".into(),
            "HEALTH" => "NAK no list of backends yet\n".into(),
            "DUMP" => format!("{}\n--\n", self.metrics.json()),
            _ => "NAK unknown call; HEALTH and DUMP are known\n".into(),
        }
    }
}

/// Answers calls at this address until it is dropped. Retries for as long as the address is not available;
/// the node serves clients meanwhile.
pub async fn run(address: SocketAddr, state: ConsoleState) {
    let bind_error_log = RateLimitedLog::default();
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(e) => bind_error_log.warn(|| format!("console: cannot listen on {address}: {e}")),
        }
        sleep(BIND_RETRY_INTERVAL).await;
    };
    if let Ok(address) = listener.local_addr() {
        info!("console listens at {address}");
    }
    accept_callers(listener, state).await;
}

async fn accept_callers(listener: TcpListener, state: ConsoleState) {
    let (state, accept_error_log) = (Rc::new(state), RateLimitedLog::default());
    let callers: RefCell<VecDeque<AbortHandle>> = RefCell::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = state.clone();
                let task = spawn_local(async move {
                    if timeout(CALL_TIMEOUT, serve_call(stream, &state)).await.is_err() {
                        debug!("console: a call took longer than {CALL_TIMEOUT:?}");
                    }
                });
                let mut callers = callers.borrow_mut();
                callers.retain(|caller| !caller.is_finished());
                callers.push_back(task.abort_handle());
                if callers.len() > MAX_CALLERS
                    && let Some(oldest) = callers.pop_front()
                {
                    oldest.abort();
                }
            }
            Err(e) => {
                accept_error_log.warn(|| format!("console: cannot accept a connection: {e}"));
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Reads one line and answers it. A caller that disconnects before the end of the line gets no response.
async fn serve_call(mut stream: TcpStream, state: &ConsoleState) {
    let (mut line, mut chunk) = (Vec::new(), [0; MAX_CALL_SIZE]);
    let response = loop {
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            break state.respond(String::from_utf8_lossy(&line[..end]).trim());
        }
        if line.len() > MAX_CALL_SIZE {
            break "NAK the call is too long\n".into();
        }
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(count) => line.extend_from_slice(&chunk[..count]),
        }
    };
    let written = async {
        stream.write_all(response.as_bytes()).await?;
        stream.shutdown().await
    };
    if let Err(e) = written.await {
        debug!("console: cannot send a response: {e}");
    }
}
