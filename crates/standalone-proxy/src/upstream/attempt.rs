//! Builds and sends the requests of attempts and health checks.

use crate::headers::TIME_LEFT;
use crate::upstream::backend_client::BackendClient;
use crate::upstream::messages::{
    AttemptDeadlines, AttemptResult, BackendRequest, BackendResponse, ExchangeSpec, ResponseBody,
};
use http_body_util::Full;
use http_transport::body::MessageBody;
use http_transport::send_permit::CancellationFlag;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Uri};
use join_up_to::ServerId;
use tokio::time::Instant;

impl BackendClient {
    /// Sends a request to a backend and waits for the response until the deadlines. If the last byte was not
    /// written by then, the request has certainly not been executed; otherwise that is unknown.
    pub async fn attempt(
        &self,
        backend: ServerId,
        payload: &BackendRequest,
        deadlines: AttemptDeadlines,
    ) -> AttemptResult {
        let remaining = deadlines.response.saturating_duration_since(Instant::now());
        let mut headers = payload.headers.clone();
        // Digits and a decimal point always form a valid header value.
        if let Ok(remaining) = HeaderValue::from_str(&format!("{:.3}", remaining.as_secs_f64())) {
            headers.insert(TIME_LEFT, remaining);
        }
        let request = || {
            let mut request = Request::new(match &payload.upload {
                None => Full::new(payload.body.clone()).into(),
                Some(upload) => MessageBody::upload(upload),
            });
            *request.method_mut() = payload.method.clone();
            *request.uri_mut() = Uri::from(payload.target.clone());
            *request.headers_mut() = headers.clone();
            request
        };
        let spec = ExchangeSpec {
            head_only: payload.method == Method::HEAD,
            body_size: payload.body.len(),
            upload: payload.upload.as_ref(),
            upgrade_idle_timeout: payload.upgrade_idle_timeout,
            sent_count: payload.sent_count.as_ref(),
            deadlines,
            timeouts: payload.timeouts.unwrap_or(self.default_timeouts.get()),
        };
        self.exchange(backend, request, spec, payload.cancellation.clone()).await
    }

    /// Requests the load report of a backend. The connect time-out applies to the whole exchange.
    pub async fn check_health(&self, backend: ServerId) -> AttemptResult {
        let request = || {
            let mut request = Request::new(Full::default().into());
            *request.uri_mut() = Uri::from_static("/status/load");
            request.headers_mut().insert(header::HOST, HeaderValue::from_static("backend"));
            request
        };
        let deadline = Instant::now() + self.health_check_timeout.get();
        let spec = ExchangeSpec {
            head_only: false,
            body_size: 0,
            upload: None,
            upgrade_idle_timeout: None,
            sent_count: None,
            deadlines: AttemptDeadlines { request_sent: deadline, response: deadline },
            timeouts: self.default_timeouts.get(),
        };
        let mut result = self.exchange(backend, request, spec, CancellationFlag::default()).await;
        if let (None, Some(BackendResponse { body: ResponseBody::Buffered(body), .. })) =
            (&result.load_report, &result.response)
        {
            result.load_report = self.parse_report(body);
        }
        result
    }
}
