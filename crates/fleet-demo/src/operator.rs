//! The operator: sends configurations until they are acknowledged, and reads the current one back from each
//! coordinator.

use crate::DemoError;
use crate::configuration::{added_route_prefix, configuration};
use crate::http;
use crate::observations::{AcknowledgedConfiguration, ReadBack, ReadDocument};
use crate::state::DemoState;
use crate::topology::{COORDINATORS, coordinator_name};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The time-out of a call to a coordinator.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// The wait before a call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a change may take to be acknowledged.
pub(crate) const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long each coordinator may take at the end of the run to return a configuration.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(8);
/// The steps between generations, used in turn: generations increase, but need not be consecutive.
const GENERATION_STEPS: [u64; 3] = [2, 1, 4];

/// Whether a coordinator has acknowledged a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Acknowledgement {
    Received,
    /// The call failed; another coordinator may acknowledge the configuration.
    Missing,
}

/// The operator, with the state of the acknowledged configurations.
#[derive(Default)]
pub struct Operator {
    /// The newest acknowledged generation; 0 before the first.
    generation: RefCell<u64>,
    /// The acknowledged generations that added a route.
    added: RefCell<Vec<u64>>,
}

impl Operator {
    /// Sends the next configuration to the coordinators in turn until one acknowledges it. Each configuration
    /// except the first adds a route. Returns its generation.
    ///
    /// # Errors
    /// A coordinator rejects it, or none acknowledges it in time.
    pub async fn change(&self, state: &Rc<DemoState>) -> Result<u64, DemoError> {
        let base = *self.generation.borrow();
        let generation = base + GENERATION_STEPS[base as usize % GENERATION_STEPS.len()];
        let mut added = self.added.borrow().clone();
        if base > 0 {
            added.push(generation);
        }
        let document = configuration(generation, &added);
        state.record_sent_configuration(generation);
        let start = state.now();
        for turn in 0.. {
            if send(state, turn % COORDINATORS, base, &document).await? == Acknowledgement::Received {
                break;
            }
            if state.now() - start > ACKNOWLEDGE_TIMEOUT {
                return Err(DemoError::NotAcknowledged(generation));
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        let at = state.now();
        let added_route = (base > 0).then(|| added_route_prefix(generation));
        let acknowledged = AcknowledgedConfiguration { generation, added_route, document, at };
        state.observations.borrow_mut().acknowledged.push(acknowledged);
        *self.generation.borrow_mut() = generation;
        *self.added.borrow_mut() = added;
        Ok(generation)
    }
}

/// Sends a configuration that replaces generation `base` to a coordinator. After an error, retrying is
/// useless.
async fn send(
    state: &Rc<DemoState>,
    coordinator: usize,
    base: u64,
    document: &str,
) -> Result<Acknowledgement, DemoError> {
    let peer = state.topology.control_address(coordinator);
    let request = Request::post("/api/Config.Replace")
        .header("host", peer.to_string())
        .header("x-base-revision", base)
        .header("content-type", "application/json")
        .body(Full::new(Bytes::copy_from_slice(document.as_bytes())));
    let request = request.map_err(|error| DemoError::InvalidRequest(peer, error))?;
    match http::call(peer, request, RESPONSE_TIMEOUT).await {
        Ok(reply) if reply.status == 200 => Ok(Acknowledgement::Received),
        Ok(reply) if matches!(reply.status, 400..=499) && !matches!(reply.status, 408 | 429) => {
            let body = String::from_utf8_lossy(&reply.body).into_owned();
            Err(DemoError::ConfigurationRejected(peer, reply.status, body))
        }
        _ => Ok(Acknowledgement::Missing),
    }
}

/// Reads the configuration back from each coordinator, and records the result. A coordinator that returns
/// none is asked again until the time-out.
pub async fn read_back(state: &Rc<DemoState>) {
    for number in 0..COORDINATORS {
        let start = state.now();
        let document = loop {
            let document = read_document(state, number).await;
            let is_received = matches!(document, ReadDocument::Received(_));
            if is_received || state.now() - start > READ_BACK_TIMEOUT {
                break document;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        };
        let coordinator = coordinator_name(number);
        state.observations.borrow_mut().read_back.push(ReadBack { coordinator, document });
    }
}

async fn read_document(state: &Rc<DemoState>, coordinator: usize) -> ReadDocument {
    let peer = state.topology.control_address(coordinator);
    match http::call(peer, http::get(peer, "/api/Config.Describe"), RESPONSE_TIMEOUT).await {
        Ok(reply) if reply.status == 200 => {
            ReadDocument::Received(String::from_utf8_lossy(&reply.body).into_owned())
        }
        Ok(reply) => ReadDocument::Missing(format!("status {}", reply.status)),
        Err(error) => ReadDocument::Missing(error.to_string()),
    }
}
