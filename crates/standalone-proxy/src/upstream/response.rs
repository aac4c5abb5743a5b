//! Reads the response to a request: the load report, the outcome, and the body, which is buffered or
//! streamed.

use crate::upstream::backend_client::BackendClient;
use crate::upstream::load_report::load_report;
use crate::upstream::messages::{
    AttemptResult, BackendResponse, BackendTimeouts, ExchangeSpec, MAX_FORWARDED_BODY, ResponseBody,
};
use crate::upstream::pool::{Connection, store_idle};
use http_forwarding::attempt::{self, ResponseHead, SuccessCriterion};
use http_transport::body::{BodyBuffer, Download, MAX_BUFFERED_BODY, ReadEnd, buffer_body};
use http_transport::response_framing::{is_connection_error, validate_framing};
use http_transport::stream_deadline::StreamDeadline;
use http_transport::tunnel::Tunnel;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderName};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use join_up_to::{LoadReport, Outcome, ServerId};
use std::fmt::Display;
use std::time::Duration;
use tokio::time::Instant;
use tracing::debug;

/// How long before the deadline of an attempt a response that is still arriving is streamed. The balancer
/// must learn of the response before the deadline.
const STREAM_LEAD: Duration = Duration::from_millis(30);

const LOAD: HeaderName = HeaderName::from_static("x-backend-load");
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");

/// The result for an invalid response: the request may have been executed, and the connection can't be
/// reused. The backend is reachable, so this says less about its health than a lost connection.
pub(super) fn invalid_response(backend: ServerId, reason: &dyn Display) -> AttemptResult {
    debug!("backend {backend:?}: invalid response: {reason}");
    AttemptResult::without_response(Outcome::Error)
}

impl BackendClient {
    /// Reads a response to its end, or until it is streamed. An invalid response has an outcome too, as the
    /// request may have been executed.
    pub(super) async fn read_response(
        &self,
        backend: ServerId,
        mut connection: Connection,
        response: Response<Incoming>,
        spec: &ExchangeSpec<'_>,
    ) -> AttemptResult {
        let (mut head, body) = response.into_parts();
        // The load report is for this node and is not forwarded.
        let load_report = head.headers.remove(LOAD).and_then(|value| self.parse_report(value.as_bytes()));
        if let (StatusCode::SWITCHING_PROTOCOLS, Some(idle_timeout)) =
            (head.status, spec.upgrade_idle_timeout)
            && let Some(raw) = connection.raw.take()
        {
            let deadline = StreamDeadline::default();
            self.register_stream(backend, &deadline);
            let tunnel = Tunnel { raw, deadline, idle_timeout, guards: vec![Box::new(connection)] };
            let body = ResponseBody::Tunnel(Box::new(tunnel));
            let response = Some(BackendResponse::new(backend, head, body));
            return AttemptResult { outcome: Outcome::Served, load_report, response };
        }
        let result = self.read_http_response(backend, connection, head, body, spec).await;
        AttemptResult { load_report, ..result }
    }

    async fn read_http_response(
        &self,
        backend: ServerId,
        connection: Connection,
        head: Parts,
        mut body: Incoming,
        spec: &ExchangeSpec<'_>,
    ) -> AttemptResult {
        if !self.has_no_body(head.status, spec)
            && let Err(error) = validate_framing(&head.headers)
        {
            return invalid_response(backend, &error);
        }
        let outcome = self.outcome(&head);
        // A response may be forwarded even if the request was not served, in case no attempt follows. That
        // excludes a switch of protocols, which at this point the client has not requested.
        let is_forwarded = outcome == Outcome::Served
            || self.forwards_all() && head.status != StatusCode::SWITCHING_PROTOCOLS;
        if self.criterion == SuccessCriterion::Status200 && body.size_hint().lower() > MAX_FORWARDED_BODY {
            return invalid_response(backend, &format!("body of more than {MAX_FORWARDED_BODY} bytes"));
        }
        let mut buffer = BodyBuffer::new(MAX_BUFFERED_BODY);
        let read_end = if is_forwarded && self.is_streamed_at_once(&head, &body) {
            Ok(ReadEnd::TooLarge)
        } else {
            let stream_at = is_forwarded.then(|| spec.deadlines.response - STREAM_LEAD);
            buffer_response(&mut body, &mut buffer, spec, stream_at).await
        };
        match read_end {
            Ok(ReadEnd::Complete) => {}
            Ok(_) if is_forwarded => {
                let body = self.stream_body(backend, connection, body, buffer, &spec.timeouts);
                let response = Some(BackendResponse::new(backend, head, body));
                return AttemptResult { outcome, load_report: None, response };
            }
            Ok(_) => return invalid_response(backend, &"body too large or too slow to be buffered"),
            Err(error) if is_connection_error(&error) => {
                debug!("backend {backend:?}: connection lost before the end of the response: {error}");
                return AttemptResult::without_response(Outcome::Reset);
            }
            Err(error) => return invalid_response(backend, &error),
        }
        if connection.progress.is_complete() && head.status != StatusCode::SWITCHING_PROTOCOLS {
            store_idle(&self.pools, backend, connection);
        }
        let response = is_forwarded
            .then(|| BackendResponse::new(backend, head, ResponseBody::Buffered(buffer.into_bytes())));
        AttemptResult { outcome, load_report: None, response }
    }

    /// Whether all responses are forwarded, including error responses.
    fn forwards_all(&self) -> bool {
        self.criterion == SuccessCriterion::NoBackendFailure
    }

    /// Whether a response ends with its head, whatever length the head announces.
    fn has_no_body(&self, status: StatusCode, spec: &ExchangeSpec<'_>) -> bool {
        let is_bodiless =
            spec.head_only || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        is_bodiless && self.forwards_all()
    }

    fn outcome(&self, head: &Parts) -> Outcome {
        let unprocessed = head.headers.get(UNPROCESSED).is_some_and(|value| value == "1");
        attempt::response_outcome(ResponseHead { status: head.status.as_u16(), unprocessed }, self.criterion)
    }

    /// Whether a response is streamed without buffering it first, as it is too large or has trailers.
    fn is_streamed_at_once(&self, head: &Parts, body: &Incoming) -> bool {
        let has_trailers = head.headers.contains_key(header::TRAILER);
        body.size_hint().lower() > MAX_BUFFERED_BODY as u64 || self.forwards_all() && has_trailers
    }

    /// Streams the buffered part of a response and then the rest. The connection is kept for reuse once the
    /// body is complete.
    fn stream_body(
        &self,
        backend: ServerId,
        connection: Connection,
        body: Incoming,
        buffer: BodyBuffer,
        timeouts: &BackendTimeouts,
    ) -> ResponseBody {
        let pools = self.pools.clone();
        let on_complete = move || {
            if connection.progress.is_complete() {
                store_idle(&pools, backend, connection);
            }
        };
        let download = Download::new(buffer.into_bytes(), body, timeouts.max_gap, on_complete);
        if let Some(max_stream) = timeouts.max_stream {
            download.deadline.bring_forward(Instant::now() + max_stream);
        }
        self.register_stream(backend, &download.deadline);
        ResponseBody::Streaming(Box::new(download))
    }

    /// Parses a load report such as `concurrent=7,depth=2`. An invalid one is logged and ignored.
    pub(super) fn parse_report(&self, text: &[u8]) -> Option<LoadReport> {
        let report =
            std::str::from_utf8(text).ok().and_then(|text| load_report(text, &self.columns.borrow()));
        if report.is_none() {
            self.load_report_log.warn(|| format!("load report skipped: {:?}", String::from_utf8_lossy(text)));
        }
        report
    }
}

/// Reads a response into the buffer until it is complete, too large, or the time `stream_at` has come at
/// which a response that is forwarded is streamed.
async fn buffer_response(
    body: &mut Incoming,
    buffer: &mut BodyBuffer,
    spec: &ExchangeSpec<'_>,
    stream_at: Option<Instant>,
) -> Result<ReadEnd, hyper::Error> {
    let deadline = spec.deadlines.response;
    // A response of unknown length may be generated while it is sent, and is streamed after a pause.
    let max_pause = spec.timeouts.max_buffer_pause.filter(|_| body.size_hint().exact().is_none());
    match buffer_body(body, buffer, stream_at.unwrap_or(deadline), max_pause).await {
        // A response that is still arriving shortly before the deadline is streamed, even though it will end
        // late. One that has stalled is buffered until the deadline.
        Ok(ReadEnd::TimedOut) if stream_at.is_some() && !buffer.is_arriving() => {
            buffer_body(body, buffer, deadline + STREAM_LEAD, None).await
        }
        read_end => read_end,
    }
}
