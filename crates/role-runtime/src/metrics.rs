//! The HTTP endpoint of a role's metrics in the OpenMetrics text format: its command-line option, and a
//! server that encodes a registry on each request.

use control_link::{LinkError, LinkStep};
use poem::http::header;
use poem::listener::TcpAcceptor;
use poem::web::Data;
use poem::{EndpointExt, IntoEndpoint, Response, Route, Server, get, handler};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use quick_error::quick_error;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

/// The content type of the OpenMetrics text format, version 1.0.0.
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// A connection on which nothing is received for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

quick_error! {
    /// Why a text is not a valid metrics endpoint. Each variant holds the text.
    #[derive(Debug, PartialEq, Eq)]
    pub enum MetricsEndpointError {
        /// There is no slash.
        MissingPath(text: String) { display("metrics: {text}: expected PORT/PATH") }
        /// The text before the slash is not a port from 1 to 65535.
        InvalidPort(text: String) { display("metrics: {text}: the port is not a number from 1 to 65535") }
        /// The text after the slash is empty, or contains other characters than ASCII letters, digits and
        /// `/._-`.
        InvalidPath(text: String) {
            display("metrics: {text}: the path may only contain letters, digits and / . _ -")
        }
    }
}

/// The endpoint at which metrics are served: a port at the machine's own address, and a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsEndpoint {
    port: u16,
    path: String,
}

impl FromStr for MetricsEndpoint {
    type Err = MetricsEndpointError;

    /// Parses `PORT/PATH`, such as `9464/metrics`.
    fn from_str(text: &str) -> Result<Self, MetricsEndpointError> {
        let (port, path) =
            text.split_once('/').ok_or_else(|| MetricsEndpointError::MissingPath(text.into()))?;
        let port = port.parse().ok().filter(|port| *port > 0);
        let port = port.ok_or_else(|| MetricsEndpointError::InvalidPort(text.into()))?;
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"/._-".contains(&byte);
        if path.is_empty() || !path.bytes().all(is_allowed) {
            return Err(MetricsEndpointError::InvalidPath(text.into()));
        }
        Ok(MetricsEndpoint { port, path: format!("/{path}") })
    }
}

/// Registers a new gauge.
pub fn gauge(registry: &mut Registry, name: &str, help: &str) -> Gauge {
    let gauge = Gauge::default();
    registry.register(name, help, gauge.clone());
    gauge
}

/// Registers a new counter. The exposed name ends with `_total`.
pub fn counter(registry: &mut Registry, name: &str, help: &str) -> Counter {
    let counter = Counter::default();
    registry.register(name, help, counter.clone());
    counter
}

/// A source of a role's metrics.
pub trait MetricsSource: Send + Sync + 'static {
    /// Updates the metrics that are computed from the role's state. Called before each response.
    fn refresh(&self);
    /// The registry with all metrics of the role.
    fn registry(&self) -> &Registry;
}

/// Serves metrics at an endpoint of this machine for as long as the process runs; does nothing without an
/// endpoint. A failure to listen there is only logged, as the role works without its metrics.
pub fn start(ip: Ipv4Addr, metrics_endpoint: Option<&MetricsEndpoint>, source: Arc<dyn MetricsSource>) {
    let Some(MetricsEndpoint { port, path }) = metrics_endpoint else { return };
    let address = SocketAddrV4::new(ip, *port);
    match listen(address, path, source) {
        Ok(()) => log::info!("metrics: served at {address}{path}"),
        Err(error) => log::error!("metrics: {error}"),
    }
}

/// Serves metrics at an address and a path for as long as the process runs.
///
/// # Errors
///
/// [`LinkError::Io`] if listening at the address fails.
pub fn listen(address: SocketAddrV4, path: &str, source: Arc<dyn MetricsSource>) -> Result<(), LinkError> {
    let listener = control_link::listen(address)?;
    let failed = |error| LinkError::Io(LinkStep::Listen, address.into(), error);
    let acceptor = TcpAcceptor::from_tokio(listener).map_err(failed)?;
    tokio::spawn(serve(acceptor, path.to_owned(), source));
    Ok(())
}

async fn serve(acceptor: TcpAcceptor, path: String, source: Arc<dyn MetricsSource>) {
    let server = Server::new_with_acceptor(acceptor).idle_timeout(IDLE_TIMEOUT);
    if let Err(error) = server.run(endpoint(&path, source)).await {
        log::error!("metrics: {error}");
    }
}

fn endpoint(path: &str, source: Arc<dyn MetricsSource>) -> impl IntoEndpoint<Endpoint: 'static> + use<> {
    Route::new().at(path, get(expose)).data(source)
}

#[handler]
fn expose(source: Data<&Arc<dyn MetricsSource>>) -> Response {
    source.refresh();
    let mut text = String::new();
    // Encoding into a string can't fail.
    let _ = encode(&mut text, source.registry());
    Response::builder().header(header::CONTENT_TYPE, CONTENT_TYPE).body(text)
}
