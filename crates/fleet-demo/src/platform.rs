//! The test platform: serves the list of backends over HTTP, in pages.

use crate::DemoError;
use crate::backend::Backend;
use crate::http::{self, ServerResponse};
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use tokio::net::TcpListener;

/// The number of entries in a page: small, so that the list has several pages.
const PAGE_ENTRIES: usize = 4;

/// A running platform, with its list of backends.
pub struct Platform {
    /// The address at which it serves the list.
    pub address: SocketAddrV4,
    backends: RefCell<Vec<Rc<Backend>>>,
}

impl Platform {
    /// Starts a platform with an empty list.
    ///
    /// # Errors
    /// It can't listen at the address.
    pub async fn start(address: SocketAddrV4) -> Result<Rc<Self>, DemoError> {
        let listen_error = |error| DemoError::Io("listen at the address of the test platform", error);
        let listener = TcpListener::bind(address).await.map_err(listen_error)?;
        let SocketAddr::V4(address) = listener.local_addr().map_err(listen_error)? else {
            return Err(listen_error(std::io::Error::other("not an IPv4 address")));
        };
        let platform = Rc::new(Platform { address, backends: RefCell::default() });
        let serving = platform.clone();
        http::serve(listener, move |request| respond(serving.clone(), request));
        Ok(platform)
    }

    /// Adds a backend to the end of the list.
    pub fn add(&self, backend: Rc<Backend>) {
        self.backends.borrow_mut().push(backend);
    }

    /// Removes a backend from the list.
    pub fn remove(&self, backend: &Rc<Backend>) {
        self.backends.borrow_mut().retain(|listed| !Rc::ptr_eq(listed, backend));
    }

    /// The backends, in the order of the list.
    pub fn backends(&self) -> Vec<Rc<Backend>> {
        self.backends.borrow().clone()
    }

    /// The entries of the list, of one zone or of all zones.
    fn entries(&self, zone: Option<&str>) -> Vec<Value> {
        let backends = self.backends.borrow();
        let selected = backends.iter().filter(|backend| zone.is_none_or(|zone| zone == backend.zone));
        selected.map(|backend| entry(backend)).collect()
    }
}

fn entry(backend: &Backend) -> Value {
    let state = if backend.draining.get() { "draining" } else { "ready" };
    json!({"instance_id": backend.instance, "service": backend.service,
        "address": backend.address.to_string(), "zone": backend.zone, "generation": "v1",
        "slots": backend.slots, "state": state, "cold_remaining_ms": 0, "stage": "both",
        "models": [{"name": "m", "generation": 1, "adapters": []}]})
}

async fn respond(platform: Rc<Platform>, request: Request<Incoming>) -> ServerResponse {
    if request.uri().path() != "/instances" {
        return json_response(StatusCode::NOT_FOUND, Value::Null);
    }
    let query = request.uri().query().unwrap_or_default();
    let value = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_string())
    };
    let zone = value("zone");
    let from = value("page_token").and_then(|token| token.strip_prefix("p-")?.parse().ok()).unwrap_or(0);
    let entries = platform.entries(zone.as_deref());
    let end = (from + PAGE_ENTRIES).min(entries.len());
    let next = (end < entries.len()).then(|| format!("p-{end}"));
    let page = entries.get(from..end).unwrap_or_default();
    json_response(StatusCode::OK, json!({"instances": page, "next_page_token": next}))
}

fn json_response(status: StatusCode, content: Value) -> ServerResponse {
    let body = Either::Left(Full::new(Bytes::from(content.to_string())));
    let head = Response::builder().status(status).header("content-type", "application/json");
    http::finish(head, body)
}
