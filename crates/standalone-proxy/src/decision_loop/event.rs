//! The events that other tasks send to the task of the node, and the response to a request. Contains no
//! logic.

use crate::endpoint_update::EndpointUpdate;
use crate::upstream::messages::{AttemptResult, BackendRequest, BackendResponse};
use http_transport::send_permit::CancellationFlag;
use join_up_to::{NewRequest, Repeat, RequestId, ServerId, Settings};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A client's request for the balancer, with what is needed to carry it out.
pub struct Arrival {
    /// The properties by which the balancer decides.
    pub request: NewRequest,
    /// When it had arrived. The time that the client waits counts from then.
    pub arrived_at: Instant,
    /// What is sent to a backend.
    pub payload: Rc<BackendRequest>,
    /// How long the body may take to arrive; `None` if it has arrived completely.
    pub upload_timeout: Option<Duration>,
    /// Identifies repetitions of the same request by its client; `None` if they cannot be recognized.
    pub fingerprint: Option<u64>,
    /// Whether and where it may be sent again, as its class says.
    pub repeat: Repeat,
    /// Receives its response.
    pub response: PendingResponse,
}

/// The response to a request, not sent yet. Once it is sent or this is dropped, no further attempt of the
/// request starts.
#[derive(Debug)]
pub struct PendingResponse {
    sender: Option<oneshot::Sender<FinalResponse>>,
    cancellation: CancellationFlag,
}

impl PendingResponse {
    /// A response that will be sent to `sender`. `cancellation` is set when it is sent or dropped.
    pub fn new(sender: oneshot::Sender<FinalResponse>, cancellation: CancellationFlag) -> Self {
        PendingResponse { sender: Some(sender), cancellation }
    }

    /// Sends the response. A disconnect of the client in the meantime is reported as an event of its own.
    pub fn send(mut self, response: FinalResponse) {
        if let Some(sender) = self.sender.take() {
            let _ = sender.send(response);
        }
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        self.cancellation.cancel();
    }
}

/// A new version of a cluster in the operator's file.
pub struct ClusterChange {
    /// The settings of the balancer.
    pub settings: Settings,
    /// The list of backends.
    pub update: EndpointUpdate,
    /// The settings of the admission gate.
    pub gate: admission_control::GateSettings,
    /// How long streams may continue once their backend drains; `None` for no limit.
    pub stream_grace: Option<Duration>,
    /// The list of backends for the admission gate.
    pub gate_endpoints: Vec<admission_control::Endpoint>,
}

/// The response to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// The response of a backend that served the request.
    Served(BackendResponse),
    /// The error response of a backend, where no further attempt follows.
    BackendError(BackendResponse),
    /// The request was rejected without being executed.
    Rejected {
        /// After what time the client is asked to retry; `None` if it is told no time.
        retry_after: Option<Duration>,
        /// Whether the fallback response of the route replaces the rejection.
        fallback: bool,
    },
    /// The request failed.
    Failed {
        /// Whether an attempt timed out or was still in flight.
        timed_out: bool,
    },
}

/// What other tasks send to the task of the node. The number of queued events is bounded: each client
/// connection has at most one arrival and one disconnect in the queue, and each attempt and health check one
/// end.
pub enum NodeEvent {
    /// The settings and the list of backends in the operator's file have changed. Requests in flight keep the
    /// old ones.
    ClusterChanged(Box<ClusterChange>),
    /// The settings have changed. Requests in flight keep the old ones.
    SettingsChanged(Box<Settings>),
    /// The node shuts down. All requests must be answered within this time.
    ShuttingDown(Duration),
    /// No further request will arrive. The task ends once all requests are answered.
    ClusterRemoved,
    /// A client's request has arrived.
    Arrived(Arrival),
    /// The client has disconnected before it got the response.
    ClientDisconnected(RequestId),
    /// A part of a streamed body has been sent that is not retained, so it can't be sent again.
    UploadStreaming(RequestId),
    /// A streamed body has arrived completely.
    UploadFinished(RequestId),
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The index of the attempt among those of the request.
        attempt: u32,
        /// How it ended.
        result: AttemptResult,
    },
    /// A health check has ended.
    HealthCheckEnded {
        /// The backend.
        backend: ServerId,
        /// How long it took.
        elapsed: Duration,
        /// How it ended.
        result: AttemptResult,
    },
}
