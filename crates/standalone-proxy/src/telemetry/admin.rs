//! The admin address of a node that runs from a file: serves metrics and readiness over HTTP. Changes
//! nothing.

use crate::telemetry::exchanges::Telemetry;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tracing::debug;

/// The maximum number of open connections. Keeps descriptors free for clients and backends.
const MAX_CONNECTIONS: usize = 16;
/// How long a head may take to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause after a connection that could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The media type of the OpenMetrics text format.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The state that is served.
#[derive(Clone)]
pub struct AdminState {
    /// The metrics of exchanges.
    pub telemetry: Rc<Telemetry>,
    /// Whether the node is shutting down.
    pub shutting_down: Rc<Cell<bool>>,
}

/// Serves requests until it is dropped.
pub async fn run(listener: TcpListener, state: AdminState) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        // Fails only if the semaphore is closed, which it never is.
        let Ok(slot) = slots.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let state = state.clone();
        spawn_local(async move {
            let _slot = slot;
            let service =
                service_fn(|request| std::future::ready(Ok::<_, Infallible>(respond(&state, &request))));
            let mut builder = hyper::server::conn::http1::Builder::new();
            let builder =
                builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).keep_alive(false);
            if let Err(e) = builder.serve_connection(TokioIo::new(stream), service).await {
                debug!("admin connection failed: {e}");
            }
        });
    }
}

fn respond<B>(state: &AdminState, request: &Request<B>) -> Response<Full<Bytes>> {
    let (status, media_type, text) = match (request.method(), request.uri().path()) {
        (&Method::GET, "/metrics") => (StatusCode::OK, OPENMETRICS, state.telemetry.text()),
        (&Method::GET, "/ready") if state.shutting_down.get() => {
            (StatusCode::SERVICE_UNAVAILABLE, "text/plain", "ending\n".into())
        }
        (&Method::GET, "/ready") => (StatusCode::OK, "text/plain", "ready\n".into()),
        (_, "/metrics" | "/ready") => (StatusCode::METHOD_NOT_ALLOWED, "text/plain", "GET only\n".into()),
        _ => (StatusCode::NOT_FOUND, "text/plain", "/metrics and /ready are here\n".into()),
    };
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(media_type));
    response
}
