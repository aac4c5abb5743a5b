//! Periodic maintenance: closes connections that were idle for too long, requests the load reports that are
//! due, and sends the changes of the prompt index to the agent.

use crate::backend::{Backend, Connection, IdleLookup};
use crate::service::Service;
use crate::state::DataPlaneState;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{self, HeaderValue};
use hyper::{Request, StatusCode, Uri};
use routing::LoadReport;
use serde::Deserialize;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

/// The interval between two rounds of maintenance.
const INTERVAL: Duration = Duration::from_millis(250);
/// The time-out of a load report, including a new connection for it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);
/// The largest body of a load report, in bytes.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Runs maintenance for as long as the process runs.
pub async fn run(state: Rc<DataPlaneState>) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        state.send_index_changes();
        for service in state.services() {
            service.backends().iter().for_each(|backend| backend.prune_idle());
            for backend in service.due_load_reports() {
                spawn_local(request_report(state.clone(), service.clone(), backend));
            }
        }
    }
}

async fn request_report(state: Rc<DataPlaneState>, service: Rc<Service>, backend: Rc<Backend>) {
    let requested_at = Instant::now();
    let report = timeout(REPORT_TIMEOUT, fetch_report(&state, &backend)).await.ok().flatten();
    service.report_received(&backend.id, requested_at, report);
}

/// The body of a response to `GET /api/report`.
#[derive(Deserialize)]
struct ReportBody {
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    active: u32,
    #[serde(default)]
    kv_used: u64,
    #[serde(default)]
    kv_total: u64,
}

async fn fetch_report(state: &DataPlaneState, backend: &Rc<Backend>) -> Option<LoadReport> {
    let mut connection = connection_for_report(state, backend).await?;
    let mut request = Request::new(Full::<Bytes>::default());
    *request.uri_mut() = Uri::from_static("/api/report");
    request.headers_mut().insert(header::HOST, HeaderValue::from_static("backend"));
    connection.progress.begin(0, None);
    let response = connection.sender.send_request(request).await.ok()?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_REPORT_BYTES).collect().await.ok()?.to_bytes();
    backend.store_idle(connection, &head.headers);
    if head.status != StatusCode::OK {
        return None;
    }
    let body: ReportBody = serde_json::from_slice(&body).ok()?;
    let ReportBody { queued, active, kv_used, kv_total } = body;
    Some(LoadReport { queued, active, kv_used, kv_total })
}

async fn connection_for_report(state: &DataPlaneState, backend: &Backend) -> Option<Connection> {
    match backend.take_idle() {
        IdleLookup::Ready(connection) => Some(connection),
        _ if state.make_connection_capacity() => backend.connect(&state.connection_limit).await.ok(),
        _ => None,
    }
}
