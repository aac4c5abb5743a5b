//! The state of a simulated node: its balancer, open requests and idle connections. All decisions are the
//! balancer's.

use crate::scenario::{NodeSpec, Scenario};
use join_up_to::{Balancer, Outcome, ServerId};
use rustc_hash::FxHashMap;

/// A request at a node.
pub struct OpenRequest {
    /// The index of the client that sent it.
    pub client: usize,
    /// Whether the client has its final response.
    pub has_response: bool,
    pub attempts: Vec<SentAttempt>,
}

/// An attempt that a node has sent.
pub struct SentAttempt {
    pub server: ServerId,
    /// The time of sending, in seconds.
    pub sent_at: f64,
    /// `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

pub struct Node {
    pub spec: NodeSpec,
    pub balancer: Balancer,
    pub open_requests: FxHashMap<u64, OpenRequest>,
    /// The number of idle connections to each backend.
    pub idle_connections: FxHashMap<ServerId, u32>,
    /// The id of the last request; ids are consecutive.
    pub last_request: u64,
}

impl Node {
    pub fn new(scenario: &Scenario, index: usize) -> Self {
        let spec = scenario.nodes[index];
        let settings =
            join_up_to::Settings { node: index as u32, zone: spec.zone, ..scenario.settings.clone() };
        let seed = scenario.seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9);
        Node {
            spec,
            balancer: Balancer::new(settings, seed),
            open_requests: FxHashMap::default(),
            idle_connections: FxHashMap::default(),
            last_request: 0,
        }
    }

    /// Takes an idle connection to a backend. Returns `false` if there is none.
    pub fn reuse_connection(&mut self, server: ServerId) -> bool {
        let idle = self.idle_connections.get_mut(&server).filter(|idle| **idle > 0);
        let Some(idle) = idle else { return false };
        *idle -= 1;
        true
    }

    /// Removes a request if it has its response and no attempt in flight.
    pub fn remove_finished(&mut self, id: u64) {
        let is_finished = |request: &OpenRequest| {
            request.has_response && request.attempts.iter().all(|attempt| attempt.outcome.is_some())
        };
        if self.open_requests.get(&id).is_some_and(is_finished) {
            self.open_requests.remove(&id);
        }
    }
}
