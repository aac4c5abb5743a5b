//! A stub of an inference engine: a backend that only reports the prompt blocks that it caches.

use poem::http::StatusCode;
use poem::listener::TcpAcceptor;
use poem::web::{Data, Query};
use poem::{EndpointExt, Response, Route, Server, get, handler};
use range_digest::{DigestedSet, KeyRange, RangeContent, RangeDigest};
use serde::Deserialize;
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};

/// The stub. It runs until the runtime ends on which it was started.
#[derive(Clone)]
pub struct Engine {
    pub name: &'static str,
    pub address: SocketAddrV4,
    pub cached: Arc<Mutex<DigestedSet>>,
}

#[derive(Deserialize)]
struct RangeQuery {
    first: String,
    bits: u32,
}

impl Engine {
    /// Starts the stub on a free port of this address. `cached` has the keys of its blocks and their numbers
    /// of tokens.
    pub async fn start(ip: Ipv4Addr, name: &'static str, cached: &[(u64, u64)]) -> Self {
        let listener = tokio::net::TcpListener::bind((ip, 0)).await.expect("listen");
        let SocketAddr::V4(address) = listener.local_addr().expect("address") else { panic!("no IPv4") };
        let cached = Arc::new(Mutex::new(cached.iter().copied().collect()));
        let engine = Engine { name, address, cached };
        let endpoint = Route::new().at("/holdings", get(holdings)).data(engine.clone());
        let acceptor = TcpAcceptor::from_tokio(listener).expect("acceptor");
        tokio::spawn(Server::new_with_acceptor(acceptor).run(endpoint));
        engine
    }
}

#[handler]
fn holdings(engine: Data<&Engine>, query: Query<RangeQuery>) -> Response {
    let first = u64::from_str_radix(&query.first, 16).ok();
    let Some(range) = first.and_then(|first| KeyRange::new(first, query.bits)) else {
        return Response::builder().status(StatusCode::BAD_REQUEST).finish();
    };
    let cached = engine.cached.lock().expect("no panic");
    let digest = |digest: &RangeDigest| json!({"count": digest.count, "sum": format!("{:x}", digest.sum)});
    let mut response = digest(&cached.digest(range));
    response["instance_id"] = engine.name.into();
    match cached.content(range) {
        RangeContent::Parts(parts) => response["parts"] = parts.iter().map(digest).collect(),
        RangeContent::Items(items) => {
            let item = |(key, tokens): &(u64, u64)| json!([format!("{key:x}"), tokens]);
            response["items"] = items.iter().map(item).collect::<Vec<Value>>().into();
        }
    }
    Response::builder().content_type("application/json").body(response.to_string())
}
