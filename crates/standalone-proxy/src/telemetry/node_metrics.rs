//! The metrics of the platform's node since its start, which operators read. Counts only: decides nothing and
//! sends nothing.

use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The counts of one class. They cover the whole time since the start: a class that is removed from the
/// settings keeps its counts.
#[derive(Debug, Default, Serialize)]
pub struct ClassMetrics {
    /// Requests that were served.
    pub ok: Cell<u64>,
    /// Requests that were rejected without being executed, so that a retry is harmless.
    pub shed: Cell<u64>,
    /// Requests that failed.
    pub errors: Cell<u64>,
}

/// The counts of a node. The serialized names are an interface for operators' tools and must not change.
#[derive(Debug, Default, Serialize)]
pub struct NodeMetrics {
    responses: RefCell<BTreeMap<String, Rc<ClassMetrics>>>,
    /// Attempts whose last byte was written to a backend.
    #[serde(rename = "tries")]
    pub attempts: Rc<Cell<u64>>,
    /// Requests in flight.
    #[serde(rename = "active")]
    in_flight: Rc<Cell<u64>>,
    /// Backends on the list.
    pub pool_size: Cell<usize>,
    /// Backends on the list that are currently ejected.
    pub pool_ejected: Cell<usize>,
    /// Changed configurations that were applied.
    pub config_applied: Cell<u64>,
    /// Changed configurations that were rejected.
    pub config_rejected: Cell<u64>,
}

/// Adds one to a count.
pub fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl NodeMetrics {
    /// Returns the counts of the class with this name, all 0 if it is new.
    pub fn class(&self, name: &str) -> Rc<ClassMetrics> {
        self.responses.borrow_mut().entry(name.to_string()).or_default().clone()
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn begin_request(&self) -> InFlightGuard {
        increment(&self.in_flight);
        InFlightGuard(self.in_flight.clone())
    }

    /// All counts as one line of JSON.
    pub fn json(&self) -> String {
        // Names and numbers can always be serialized.
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Rc<Cell<u64>>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

#[cfg(test)]
mod tests;
