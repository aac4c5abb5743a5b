//! The client requests that this member has received and not yet responded to, wherever head and tail are.

use crate::identifiers::RequestId;
use crate::message::Request;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time after which a request ends with an unknown outcome.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The interval at which a request without a response is resent.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// The initial retry interval of reads; it doubles up to [`RETRY_INTERVAL`]. It is short because messages
/// sent to a member that is still restarting are lost.
const FIRST_READ_RETRY: Duration = Duration::from_millis(50);

/// The retry interval of a change with more than [`LARGE_CHANGE_BYTES`], which takes longer to transmit.
const LARGE_CHANGE_RETRY_INTERVAL: Duration = Duration::from_millis(1_200);

const LARGE_CHANGE_BYTES: usize = 256 << 10;

#[derive(Clone, Debug)]
struct PendingRequest {
    request: Request,
    started_at: Duration,
    sent_at: Option<Duration>,
    sends: u32,
}

impl PendingRequest {
    fn is_due(&self, now: Duration) -> bool {
        self.sent_at.is_none_or(|sent_at| now >= sent_at + self.retry_interval())
    }

    fn retry_interval(&self) -> Duration {
        match &self.request {
            Request::Write(change) if change.document.len() > LARGE_CHANGE_BYTES => {
                LARGE_CHANGE_RETRY_INTERVAL
            }
            Request::Write(_) => RETRY_INTERVAL,
            Request::Read | Request::ReadIndex => {
                let doublings = self.sends.saturating_sub(1).min(8);
                (FIRST_READ_RETRY * (1 << doublings)).min(RETRY_INTERVAL)
            }
        }
    }
}

/// The requests without a response, by their identifier.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingRequests {
    pending: BTreeMap<RequestId, PendingRequest>,
}

impl PendingRequests {
    pub(crate) fn insert(&mut self, now: Duration, id: RequestId, request: Request) {
        self.pending.insert(id, PendingRequest { request, started_at: now, sent_at: None, sends: 0 });
    }

    /// Removes a request. Returns whether it was pending.
    pub(crate) fn remove(&mut self, id: RequestId) -> bool {
        self.pending.remove(&id).is_some()
    }

    /// Removes and returns the requests that have timed out.
    pub(crate) fn remove_timed_out(&mut self, now: Duration) -> Vec<RequestId> {
        let timed_out =
            self.pending.iter().filter(|(_, request)| now >= request.started_at + REQUEST_TIMEOUT);
        let timed_out: Vec<RequestId> = timed_out.map(|(id, _)| *id).collect();
        for id in &timed_out {
            self.pending.remove(id);
        }
        timed_out
    }

    /// Returns the requests that are due to be sent or resent, and marks them as sent now.
    pub(crate) fn take_due(&mut self, now: Duration) -> Vec<(RequestId, Request)> {
        let due = self.pending.iter_mut().filter(|(_, pending)| pending.is_due(now));
        due.map(|(id, pending)| {
            pending.sent_at = Some(now);
            pending.sends += 1;
            (*id, pending.request.clone())
        })
        .collect()
    }

    /// Whether the request was sent before its current transmission.
    pub(crate) fn is_retry(&self, id: RequestId) -> bool {
        self.pending.get(&id).is_some_and(|pending| pending.sent_at != Some(pending.started_at))
    }

    /// Makes all requests due, because another view is in force.
    pub(crate) fn mark_all_due(&mut self) {
        for pending in self.pending.values_mut() {
            pending.sent_at = None;
        }
    }
}
