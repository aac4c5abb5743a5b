//! Enforces the limits of the operator's file: `route_config::admission` decides; here a queued request
//! waits, and the slot of a request is released however it ends.

use crate::downstream::request_router::AdmissionKey;
use hyper::StatusCode;
use route_config::admission::{Admission, AdmissionDecision, Limit, RejectionReason};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

/// The limits of a node, and the requests that are queued for them.
#[derive(Clone, Default)]
pub struct AdmissionQueue(Rc<QueueState>);

struct QueueState {
    admission: RefCell<Admission>,
    /// Notifies the queued requests of their admission, by request id.
    queued: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    started: Instant,
}

impl Default for QueueState {
    fn default() -> Self {
        QueueState { admission: RefCell::default(), queued: RefCell::default(), started: Instant::now() }
    }
}

impl QueueState {
    fn wake(&self, id: u64) {
        if let Some(sender) = self.queued.borrow_mut().remove(&id) {
            // A request that has stopped waiting in the meantime releases its slot by itself.
            let _ = sender.send(());
        }
    }
}

/// The slot of a request in its limit or in the queue. Dropping it releases the slot and admits the next
/// request.
pub struct AdmissionPermit {
    state: Rc<QueueState>,
    id: u64,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.state.queued.borrow_mut().remove(&self.id);
        let next = self.state.admission.borrow_mut().finish(self.id);
        if let Some(next) = next {
            self.state.wake(next);
        }
    }
}

/// The rejection of a request that was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRejection {
    /// The status of the response.
    pub status: StatusCode,
    /// After what time the client is asked to retry.
    pub retry_after: Duration,
}

impl AdmissionQueue {
    /// Replaces the limits, and admits queued requests that the new ones allow.
    pub fn replace(&self, limits: &[Limit], tenants: &[String]) {
        let admitted = self.0.admission.borrow_mut().replace(limits, tenants);
        admitted.into_iter().for_each(|id| self.0.wake(id));
    }

    /// Waits for a slot in a limit, for as long as the queue of the limit allows.
    ///
    /// # Errors
    /// The rate limit is exceeded, the queue is full, or the request was queued for too long.
    pub async fn admit(&self, key: AdmissionKey, id: u64) -> Result<AdmissionPermit, AdmissionRejection> {
        let now = self.0.started.elapsed();
        let decision = self.0.admission.borrow_mut().admit(now, key.limit, key.tenant, id);
        let (deadline, retry_after) = match decision {
            AdmissionDecision::Admit => return Ok(AdmissionPermit { state: self.0.clone(), id }),
            AdmissionDecision::Reject { reason: RejectionReason::RateLimit, retry_after } => {
                return Err(AdmissionRejection { status: StatusCode::TOO_MANY_REQUESTS, retry_after });
            }
            AdmissionDecision::Reject { reason: RejectionReason::QueueFull, retry_after } => {
                return Err(AdmissionRejection { status: StatusCode::SERVICE_UNAVAILABLE, retry_after });
            }
            AdmissionDecision::Queue { deadline, retry_after } => (deadline, retry_after),
        };
        let (sender, admitted) = oneshot::channel();
        self.0.queued.borrow_mut().insert(id, sender);
        // From here on the slot, in the limit or in the queue, is released even if the client disconnects.
        let permit = AdmissionPermit { state: self.0.clone(), id };
        tokio::select! {
            biased;
            Ok(()) = admitted => Ok(permit),
            () = sleep_until(self.0.started + deadline) => {
                drop(permit);
                Err(AdmissionRejection { status: StatusCode::SERVICE_UNAVAILABLE, retry_after })
            }
        }
    }
}
