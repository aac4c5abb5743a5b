//! Whether the first byte of an attempt may still be sent. This is checked immediately before the byte is
//! passed to the system, as the situation may have changed since the backend was selected, for example while
//! a connection was opened slowly. Sends nothing and selects no backend.

use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// Whether a request has been cancelled or has its response, so that no further attempt may start. The
/// handler of the request sets it, and each attempt of the request checks a clone.
#[derive(Clone, Debug, Default)]
pub struct CancellationFlag(Rc<Cell<bool>>);

impl CancellationFlag {
    /// Whether no further attempt may start.
    pub fn is_cancelled(&self) -> bool {
        self.0.get()
    }
    /// Prevents further attempts.
    pub fn cancel(&self) {
        self.0.set(true);
    }
}

/// Whether a backend accepts new requests at its address. It does not once the list of backends shows it as
/// draining, removed or at another address.
#[derive(Clone, Debug)]
pub struct ServingFlag(Rc<Cell<bool>>);

impl ServingFlag {
    /// A flag in the given state, which its clones share.
    pub fn new(is_serving: bool) -> Self {
        ServingFlag(Rc::new(Cell::new(is_serving)))
    }
    /// Whether the backend accepts new requests.
    pub fn is_serving(&self) -> bool {
        self.0.get()
    }
    /// Sets whether the backend accepts new requests.
    pub fn set(&self, is_serving: bool) {
        self.0.set(is_serving);
    }
}

/// The conditions for sending the first byte of an attempt. They have no effect once it is sent.
#[derive(Clone, Debug)]
pub struct SendPermit {
    /// The time by which the first byte must be sent.
    pub deadline: Instant,
    /// Whether the request has been cancelled.
    pub cancellation: CancellationFlag,
    /// Whether the backend accepts new requests.
    pub serving: ServingFlag,
}

impl SendPermit {
    /// Whether the first byte may be sent now.
    pub fn is_valid(&self) -> bool {
        !self.cancellation.is_cancelled() && self.serving.is_serving() && Instant::now() < self.deadline
    }
}
