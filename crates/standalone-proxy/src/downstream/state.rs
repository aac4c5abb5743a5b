//! The state that all client connections share. Accepts neither connections nor requests.

use crate::downstream::admission::AdmissionQueue;
use crate::downstream::request_router::RequestRouter;
use crate::telemetry::exchanges::Telemetry;
use crate::telemetry::node_metrics::NodeMetrics;
use crate::telemetry::recorder::Recorder;
use http_forwarding::framing::LineEndings;
use http_transport::client_connections::Connections;
use http_transport::process_pause::StallDetector;
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// The state that all client connections share.
pub struct DownstreamState {
    /// Routes requests. It may be replaced at any time.
    pub router: RefCell<Rc<dyn RequestRouter>>,
    /// The limits of the operator's file; without any on the platform's node.
    pub admission: AdmissionQueue,
    /// Records requests, if a trace is configured.
    pub recorder: RefCell<Option<Recorder>>,
    /// After what time a client is asked to retry that was rejected for lack of memory; `None` if it is told
    /// no time.
    pub retry_after: Cell<Option<Duration>>,
    /// The metrics of the node.
    pub metrics: Rc<NodeMetrics>,
    /// The metrics and log lines of single exchanges, if the node reports them.
    pub telemetry: Option<Rc<Telemetry>>,
    /// Whether the node has a list of backends.
    pub ready: Rc<Cell<bool>>,
    /// Whether the node is shutting down.
    pub shutting_down: Rc<Cell<bool>>,
    /// The id of the next request.
    pub next_request_id: Cell<u64>,
    /// The open client connections.
    pub connections: Connections,
    /// The memory, in KiB, that is left for buffered bodies and responses.
    pub body_memory_kib: Arc<Semaphore>,
    /// The maximum size of a request body, in bytes.
    pub max_body: u64,
    /// Which line endings heads may have. A change applies to connections accepted after it.
    pub line_endings: Cell<LineEndings>,
    /// How long streams may continue once the node shuts down; `None` for no limit.
    pub stream_grace: Cell<Option<Duration>>,
    /// Detects stalls of the process.
    pub stalls: Rc<StallDetector>,
    /// The ids that clients gave the requests in flight, or that were generated for them.
    pub correlation_ids: RefCell<HashSet<HeaderValue>>,
}
