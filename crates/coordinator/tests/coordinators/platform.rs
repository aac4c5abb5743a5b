//! A stub of the platform's API, which lists backends in pages of two entries.

use poem::http::StatusCode;
use poem::listener::TcpAcceptor;
use poem::web::{Data, Query};
use poem::{EndpointExt, Response, Route, Server, get, handler};
use serde::Deserialize;
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};

const PAGE_SIZE: usize = 2;

/// The stub. It runs until the runtime ends on which it was started.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddrV4,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    instances: Vec<Value>,
    calls: u64,
    rejection: Option<StatusCode>,
}

#[derive(Deserialize)]
struct PageQuery {
    page_token: Option<usize>,
}

impl Platform {
    /// Starts the stub on a free port of this address, with an empty list.
    pub async fn start(ip: Ipv4Addr) -> Self {
        let listener = tokio::net::TcpListener::bind((ip, 0)).await.expect("listen");
        let SocketAddr::V4(address) = listener.local_addr().expect("address") else { panic!("no IPv4") };
        let platform = Platform { address, state: Arc::default() };
        let endpoint = Route::new().at("/instances", get(instances)).data(platform.clone());
        let acceptor = TcpAcceptor::from_tokio(listener).expect("acceptor");
        tokio::spawn(Server::new_with_acceptor(acceptor).run(endpoint));
        platform
    }

    /// Sets the state of a backend, which is added to the list if necessary.
    pub fn set(&self, name: &str, state: &str) {
        let mut inner = self.state.lock().expect("no panic");
        inner.instances.retain(|instance| instance["instance_id"] != name);
        let number = name.bytes().map(u32::from).sum::<u32>() % 250;
        inner.instances.push(json!({
            "instance_id": name, "service": "s", "address": format!("10.9.0.{number}:80"), "zone": "z",
            "generation": "v1", "slots": 4, "state": state, "cold_remaining_ms": 0, "not_known": {"to": "anybody"},
        }));
    }

    /// Lists a ready backend at a real address, in place of one with the same name.
    pub fn add(&self, name: &str, address: SocketAddrV4) {
        self.set(name, "ready");
        let mut inner = self.state.lock().expect("no panic");
        let listed = inner.instances.iter_mut().find(|instance| instance["instance_id"] == name);
        listed.expect("it was set")["address"] = address.to_string().into();
    }

    /// Sets the status with which requests are rejected; `None` to serve the list again.
    pub fn set_rejection(&self, status: Option<StatusCode>) {
        self.state.lock().expect("no panic").rejection = status;
    }

    /// The number of requests so far.
    pub fn calls(&self) -> u64 {
        self.state.lock().expect("no panic").calls
    }
}

#[handler]
fn instances(platform: Data<&Platform>, query: Query<PageQuery>) -> Response {
    let mut state = platform.state.lock().expect("no panic");
    state.calls += 1;
    if let Some(status) = state.rejection {
        return Response::builder().status(status).finish();
    }
    let from = query.page_token.unwrap_or(0);
    let page: Vec<Value> = state.instances.iter().skip(from).take(PAGE_SIZE).cloned().collect();
    let next = (from + PAGE_SIZE < state.instances.len()).then(|| (from + PAGE_SIZE).to_string());
    let body = json!({"instances": page, "next_page_token": next});
    Response::builder().content_type("application/json").body(body.to_string())
}
