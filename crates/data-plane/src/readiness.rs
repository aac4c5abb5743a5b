//! The endpoint for the platform's readiness checks.

use crate::state::DataPlaneState;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const PATH: &str = "/api/ready";
/// The longest duration of a connection. The platform checks each second, on the same connection or on new
/// ones.
const MAX_CONNECTION_TIME: Duration = Duration::from_secs(60);
/// The pause after an error of `accept`.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Serves for as long as the process runs.
pub async fn serve(state: Rc<DataPlaneState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(spawn_local(serve_connection(state.clone(), stream))),
            Err(error) => {
                log::warn!("readiness: cannot accept a connection: {error}");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection(state: Rc<DataPlaneState>, stream: TcpStream) {
    let service = service_fn(|request: hyper::Request<hyper::body::Incoming>| {
        let status = match request.uri().path() {
            PATH if state.is_ready() => StatusCode::OK,
            PATH => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        async move {
            let mut response = Response::new(Empty::<Bytes>::new());
            *response.status_mut() = status;
            Ok::<_, Infallible>(response)
        }
    });
    let served = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Ok(Err(error)) = timeout(MAX_CONNECTION_TIME, served).await {
        log::debug!("readiness: connection failed: {error}");
    }
}
