//! The backends and the platform that lists them.

use crate::TrialError;
use crate::addresses::AddressBlock;
use crate::document::SERVICES;
use bytes::Bytes;
use fleet_demo::http::{self, ServerResponse};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::http::response::Builder;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use std::net::{SocketAddr, SocketAddrV4};
use tokio::net::TcpListener;

/// The number of backends of a service.
const BACKENDS_PER_SERVICE: usize = 2;
/// The header by which a frontend names the instance that it expects.
const EXPECTED_INSTANCE: &str = "x-expected-instance";
/// The header with the id of a request.
const REQUEST_ID: &str = "x-request-id";

/// Starts the backends and the platform. Returns the platform's address. They serve as long as the tasks of
/// this thread run.
///
/// # Errors
/// An address can't be listened at.
pub async fn start(addresses: AddressBlock) -> Result<SocketAddrV4, TrialError> {
    let mut entries = Vec::new();
    for number in 0..SERVICES.len() * BACKENDS_PER_SERVICE {
        let service = SERVICES[number % SERVICES.len()];
        let instance = format!("i-{number}");
        let (listener, address) = listen(addresses.backend(number)).await?;
        entries.push(entry(&instance, service, address));
        http::serve(listener, move |request| respond(instance.clone(), service, request));
    }
    let (listener, address) = listen(addresses.platform()).await?;
    let list = Bytes::from(json!({"instances": entries, "next_page_token": null}).to_string());
    http::serve(listener, move |_| {
        let list = list.clone();
        async move { finish(Response::builder().header("content-type", "application/json"), list) }
    });
    Ok(address)
}

async fn listen(address: SocketAddrV4) -> Result<(TcpListener, SocketAddrV4), TrialError> {
    let failed = |error| TrialError::Io("listen at the address of a stand-in", error);
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    match listener.local_addr().map_err(failed)? {
        SocketAddr::V4(address) => Ok((listener, address)),
        SocketAddr::V6(_) => Err(failed(std::io::Error::other("not an IPv4 address"))),
    }
}

fn entry(instance: &str, service: &str, address: SocketAddrV4) -> Value {
    json!({"instance_id": instance, "service": service, "address": address.to_string(), "zone": "zone",
        "generation": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0})
}

fn finish(head: Builder, body: Bytes) -> ServerResponse {
    http::finish(head, Either::Left(Full::new(body)))
}

/// Runs a request, unless it is meant for another instance. The body is the name of the service.
async fn respond(instance: String, service: &'static str, request: Request<Incoming>) -> ServerResponse {
    let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
    let id = header(REQUEST_ID).unwrap_or_default();
    if header(EXPECTED_INSTANCE).is_some_and(|expected| expected != instance) {
        let head = Response::builder().status(StatusCode::MISDIRECTED_REQUEST).header(REQUEST_ID, id);
        return finish(head, Bytes::new());
    }
    let signature = format!("{instance}.{id}");
    let head = Response::builder().header(REQUEST_ID, id).header("x-response-signature", signature);
    finish(head, Bytes::from_static(service.as_bytes()))
}
