//! An exchange: one request and its response, within their deadlines. Tries further connections as long as
//! the ones that it gets turn out to be closed before the first byte.

use crate::upstream::backend_client::BackendClient;
use crate::upstream::messages::{AttemptDeadlines, AttemptResult, ExchangeSpec};
use crate::upstream::pool::{Connection, store_idle};
use crate::upstream::response::invalid_response;
use http_forwarding::attempt::{self, AttemptAction, AttemptEvent, AttemptStage, ConnectionUse};
use http_transport::backend_stream::ExchangeProgress;
use http_transport::body::MessageBody;
use http_transport::send_permit::{CancellationFlag, SendPermit};
use hyper::Request;
use join_up_to::{Outcome, ServerId};
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};
use tracing::debug;

/// The state of an exchange that remains available when its future is dropped.
struct ExchangeState {
    permit: SendPermit,
    /// How much of the request was written. Needed to determine the outcome after the deadline.
    progress: RefCell<Option<Rc<ExchangeProgress>>>,
}

impl ExchangeState {
    fn is_complete(&self) -> bool {
        self.progress.borrow().as_ref().is_some_and(|progress| progress.is_complete())
    }

    fn stage(&self) -> AttemptStage {
        self.progress.borrow().as_ref().map_or(AttemptStage::NothingSent, |progress| progress.stage())
    }
}

impl BackendClient {
    /// Sends a request to a backend and reads the response. Nothing is sent once `cancellation` is set.
    pub(super) async fn exchange(
        &self,
        backend: ServerId,
        request: impl Fn() -> Request<MessageBody>,
        spec: ExchangeSpec<'_>,
        cancellation: CancellationFlag,
    ) -> AttemptResult {
        let serving = self.pools.borrow().get(&backend).map(|pool| pool.serving.clone());
        // The backend is no longer on the list, and nothing was sent to it.
        let Some(serving) = serving else { return AttemptResult::without_response(Outcome::NotSent) };
        let permit = SendPermit { deadline: spec.deadlines.request_sent, cancellation, serving };
        let state = ExchangeState { permit, progress: RefCell::default() };
        let stall_count = self.stalls.stall_count();
        let work = async {
            loop {
                // A backend that was selected before a stall was selected by outdated information. The
                // deadline may have passed as well without its timer having fired yet.
                if self.stalls.stall_count() != stall_count || !state.permit.is_valid() {
                    return AttemptResult::without_response(Outcome::NotSent);
                }
                let (connection, connection_use) = match self.acquire(backend, &spec).await {
                    Ok(Some(acquired)) => acquired,
                    Ok(None) => continue,
                    Err(outcome) => return AttemptResult::without_response(outcome),
                };
                if !state.permit.is_valid() {
                    // The connection is available too late for this attempt, and is kept for another one.
                    store_idle(&self.pools, backend, connection);
                    return AttemptResult::without_response(Outcome::NotSent);
                }
                let sent = self.send_on(backend, connection, connection_use, &request, &spec, &state);
                if let Some(result) = sent.await {
                    return result;
                }
            }
        };
        self.within_deadlines(spec.deadlines, &state, work).await
    }

    /// Sends a request on a connection. `None` if it must be sent on another one.
    async fn send_on(
        &self,
        backend: ServerId,
        mut connection: Connection,
        connection_use: ConnectionUse,
        request: &impl Fn() -> Request<MessageBody>,
        spec: &ExchangeSpec<'_>,
        state: &ExchangeState,
    ) -> Option<AttemptResult> {
        let progress = connection.progress.clone();
        match spec.upload {
            None => progress.begin(spec.body_size, spec.sent_count.cloned()),
            Some(upload) => progress.begin_upload(upload, spec.sent_count.cloned()),
        }
        progress.set_permit(state.permit.clone());
        *state.progress.borrow_mut() = Some(progress.clone());
        let stall_timeout = spec.timeouts.stall;
        let response = tokio::select! {
            biased;
            response = connection.sender.send_request(request()) => response,
            () = progress.wait_for_stall(stall_timeout) => {
                let reason = format!("incomplete head, nothing received for {stall_timeout:?}");
                return Some(invalid_response(backend, &reason));
            }
        };
        match response {
            Ok(response) => Some(tokio::select! {
                biased;
                result = self.read_response(backend, connection, response, spec) => result,
                () = progress.wait_for_stall(stall_timeout) => {
                    let reason = format!("incomplete body, nothing received for {stall_timeout:?}");
                    invalid_response(backend, &reason)
                }
            }),
            Err(error) => self.result_of_failure(backend, &error, &progress, connection_use),
        }
    }

    /// The result of an exchange that failed before a response arrived. `None` if the request must be sent on
    /// another connection.
    fn result_of_failure(
        &self,
        backend: ServerId,
        error: &hyper::Error,
        progress: &ExchangeProgress,
        connection_use: ConnectionUse,
    ) -> Option<AttemptResult> {
        debug!("backend {backend:?}: request failed: {error}");
        let event = match () {
            () if error.is_user() => AttemptEvent::ClientBodyFailed,
            () if error.is_parse() || progress.is_flooded() => AttemptEvent::InvalidResponse,
            () => AttemptEvent::ConnectionLost,
        };
        let is_withheld = progress.is_untouched() && progress.is_withheld();
        let connection_use = if is_withheld { ConnectionUse::Reused } else { connection_use };
        match attempt::action_after(progress.stage(), event, connection_use) {
            AttemptAction::End(outcome) => Some(AttemptResult::without_response(outcome)),
            AttemptAction::UseOtherConnection => {
                // If the first byte was not withheld, the backend had closed the idle connection.
                if !is_withheld {
                    self.counters.stale.set(self.counters.stale.get() + 1);
                }
                None
            }
            // These follow only after the head of a response, which has not arrived.
            AttemptAction::AbortClientConnection | AttemptAction::NoAction => {
                Some(AttemptResult::without_response(Outcome::Error))
            }
        }
    }

    /// Waits for the end of an exchange until its deadlines. The exchange and its connection are dropped when
    /// this returns, so that no further byte is written.
    async fn within_deadlines(
        &self,
        deadlines: AttemptDeadlines,
        state: &ExchangeState,
        work: impl Future<Output = AttemptResult>,
    ) -> AttemptResult {
        let mut work = pin!(work);
        let mut result = timeout_at(deadlines.request_sent, &mut work).await;
        if result.is_err() && state.is_complete() {
            result = timeout_at(deadlines.response, &mut work).await;
        }
        if result.is_err() && self.stalls.is_catching_up() {
            // The response may have arrived during a stall of this process, so it is read before the deadline
            // is applied.
            self.stalls.wait_until_caught_up().await;
            result = timeout_at(Instant::now(), &mut work).await;
        }
        let Ok(result) = result else {
            let action = attempt::action_after(state.stage(), AttemptEvent::TimedOut, ConnectionUse::New);
            let outcome = if let AttemptAction::End(outcome) = action { outcome } else { Outcome::TimedOut };
            return AttemptResult::without_response(outcome);
        };
        result
    }
}
