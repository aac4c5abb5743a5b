//! A backend as the platform lists it.

use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};
use std::hash::{Hash, Hasher};
use std::net::SocketAddrV4;

/// A backend's readiness, as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendState {
    /// The backend accepts new requests.
    Ready,
    /// The backend only finishes its requests in flight.
    Draining,
}

/// A backend's process, as an entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// The identifier of the backend's process. A restarted process has another one.
    pub instance_id: String,
    /// The name of the backend's service.
    pub service: String,
    /// The address at which the backend accepts requests.
    pub address: SocketAddrV4,
    /// The zone of the backend's machine.
    pub zone: String,
    /// The generation of the backend's software.
    pub generation: String,
    /// The number of requests that the backend processes concurrently.
    pub slots: u32,
    /// The backend's readiness at the time when the list was read.
    pub state: BackendState,
    /// The time until the backend has warmed up after its start, in milliseconds. The name is the platform's.
    pub cold_remaining_ms: u64,
}

/// The hash of an instance id. All processes compute the same value.
pub fn instance_key(instance_id: &str) -> u64 {
    let mut hasher = FxHasher::default();
    instance_id.hash(&mut hasher);
    hasher.finish()
}

impl Backend {
    /// The hash of the instance id. All processes compute the same value.
    pub fn key(&self) -> u64 {
        instance_key(&self.instance_id)
    }

    /// The hash of all fields except the remaining warm-up, which changes with time. All processes compute
    /// the same value.
    pub fn content_hash(&self) -> u64 {
        let Backend { instance_id, service, address, zone, generation, slots, state, .. } = self;
        let mut hasher = FxHasher::default();
        (instance_id, service, address, zone, generation, slots, state).hash(&mut hasher);
        hasher.finish()
    }

    /// Whether all fields except the remaining warm-up are equal, as for [`Self::content_hash`].
    pub fn has_same_content(&self, other: &Backend) -> bool {
        self.instance_id == other.instance_id
            && self.state == other.state
            && self.address == other.address
            && self.service == other.service
            && self.zone == other.zone
            && self.generation == other.generation
            && self.slots == other.slots
    }
}
