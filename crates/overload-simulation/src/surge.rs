//! The input of a simulation: nodes, backends, streams of requests, and faults. Times are in seconds of the
//! simulation.

use crate::backend::{BackendSpec, ServiceTime};
use admission_control::GateSettings;
use join_up_to::Settings;
use std::time::Duration;

/// Whether and when clients retry after a rejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientRetry {
    /// Clients do not retry: a rejection is their last response.
    Never,
    /// Clients retry after the retry-after time of the rejection, at most this number of times.
    WhenAllowed(u32),
    /// Clients retry after 10 ms, at most this number of times.
    AtOnce(u32),
}

/// A stream of requests of one class and tenant to one node.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The index of the class in the balancer's settings.
    pub class: usize,
    /// The index of the tenant in the balancer's settings.
    pub tenant: usize,
    /// The index of the node that receives the requests.
    pub node: usize,
    /// The rate of the Poisson process of arrivals, in requests per second.
    pub rate: f64,
    /// The start of the stream, in seconds since the start of the surge.
    pub from: f64,
    /// The end of the stream in seconds, which the end of the surge may precede.
    pub to: f64,
    /// How long a client waits for a response.
    pub timeout: Duration,
    /// The distribution of the time that a request takes on a core of speed 1.
    pub service_time: ServiceTime,
    /// Whether and when clients retry after a rejection.
    pub retry: ClientRetry,
}

/// A change of a backend at the start or the end of a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultEvent {
    /// The backend's attempts in flight are lost, and connections to it fail from now on.
    Crash,
    /// The backend accepts connections again after a crash.
    Recover,
    /// The backend slows down by this factor, independently of its load; 1 restores its speed.
    Slow(f64),
    /// The backend responds to each attempt with an immediate error from now on.
    StartErrors,
    /// The backend processes attempts again after [`StartErrors`](Self::StartErrors).
    EndErrors,
}

/// A scheduled change of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InjectedFault {
    /// The time of the change, in seconds since the start of the surge.
    pub at: f64,
    /// The index in [`Surge::backends`].
    pub backend: usize,
    /// The change, which lasts until a later one ends it.
    pub event: FaultEvent,
}

/// A backend with the properties that its list entry has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedBackend {
    /// The speed and the queue of the simulated backend.
    pub spec: BackendSpec,
    /// The weight in the list, relative to other backends.
    pub weight: f64,
    /// The number of the machine kind; backends of a kind have similar capacity.
    pub kind: u8,
}

/// The nodes, backends, clients and faults of a simulation.
#[derive(Clone, Debug)]
pub struct Surge {
    /// The settings of the nodes' balancers, which include the number of nodes.
    pub settings: Settings,
    /// The settings of the nodes' gates; `None` to pass requests to balancers without admission control.
    pub gate: Option<GateSettings>,
    /// The backends, in the order of the list.
    pub backends: Vec<ListedBackend>,
    /// The streams of requests, which add up to the load.
    pub streams: Vec<Stream>,
    /// The changes of backends during the surge; empty for none.
    pub faults: Vec<InjectedFault>,
    /// How long clients send requests, in seconds.
    pub seconds: u32,
    /// The seed of all random draws; the same surge and seed give the same results.
    pub seed: u64,
}
