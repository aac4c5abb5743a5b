//! The input of a simulation: nodes, backends, streams of requests, and faults. Times are in seconds of the
//! simulation.

use crate::backend::{BackendSpec, ServiceTime};
use admission_control::GateSettings;
use join_up_to::Settings;
use std::time::Duration;

/// Whether and when clients retry after a rejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientRetry {
    /// Never.
    Never,
    /// After the retry-after time of the rejection, at most this number of times.
    WhenAllowed(u32),
    /// After 10 ms, at most this number of times.
    AtOnce(u32),
}

/// A stream of requests of one class and tenant to one node.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The index of the class in the balancer's settings.
    pub class: usize,
    /// The index of the tenant.
    pub tenant: usize,
    /// The index of the node that receives the requests.
    pub node: usize,
    /// The rate of the Poisson process of arrivals, in requests per second.
    pub rate: f64,
    /// The start of the stream.
    pub from: f64,
    /// The end of the stream, which the end of the surge may precede.
    pub to: f64,
    /// How long a client waits for a response.
    pub timeout: Duration,
    /// The distribution of service times.
    pub service_time: ServiceTime,
    /// What clients do after a rejection.
    pub retry: ClientRetry,
}

/// A change of a backend at the start or the end of a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultEvent {
    /// Its attempts in flight are lost, and connections to it fail from now on.
    Crash,
    /// It accepts connections again after a crash.
    Recover,
    /// It slows down by this factor, independently of its load; 1 restores its speed.
    Slow(f64),
    /// It responds to each attempt with an immediate error from now on.
    StartErrors,
    /// It processes attempts again after [`StartErrors`](Self::StartErrors).
    EndErrors,
}

/// A scheduled change of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InjectedFault {
    /// The time of the change.
    pub at: f64,
    /// The index of the backend.
    pub backend: usize,
    /// The change.
    pub event: FaultEvent,
}

/// A backend with the properties that its list entry has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedBackend {
    /// The model of the backend.
    pub spec: BackendSpec,
    /// The weight in the list.
    pub weight: f64,
    /// The number of the machine kind.
    pub kind: u8,
}

/// The input of a simulation.
#[derive(Clone, Debug)]
pub struct Surge {
    /// The settings of the nodes' balancers, which include the number of nodes.
    pub settings: Settings,
    /// The settings of the nodes' gates; `None` to pass requests to balancers without admission control.
    pub gate: Option<GateSettings>,
    /// The backends, in the order of the list.
    pub backends: Vec<ListedBackend>,
    /// The streams of requests.
    pub streams: Vec<Stream>,
    /// The scheduled faults of backends.
    pub faults: Vec<InjectedFault>,
    /// How long clients send requests, in seconds.
    pub seconds: u32,
    /// The seed of all random draws.
    pub seed: u64,
}
