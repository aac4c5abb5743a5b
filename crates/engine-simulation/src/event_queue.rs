//! The queue of pending events in virtual time.

use routing::{BackendEntry, BackendId};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Whether a scheduled fault begins or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultPhase {
    /// The fault begins.
    Start,
    /// The fault ends.
    End,
}

/// The kinds of events. Requests, nodes, engines, plain backends and faults are identified by their indices.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client sends a request for the first time.
    Arrival {
        /// The request.
        request: usize,
    },
    /// A client retries a rejected request, possibly at another node.
    Retry {
        /// The request.
        request: usize,
        /// The node.
        node: usize,
    },
    /// An attempt reaches its backend.
    AttemptArrival {
        /// The request.
        request: usize,
    },
    /// An attempt has failed to connect.
    ConnectFailure {
        /// The request.
        request: usize,
    },
    /// An engine completes a step.
    StepEnd {
        /// The engine.
        engine: usize,
        /// Its incarnation at the start of the step.
        incarnation: u64,
    },
    /// A plain backend completes a call.
    PlainCallEnd {
        /// The request.
        request: usize,
        /// The plain backend.
        backend: usize,
    },
    /// The deadline of a request expires.
    Deadline {
        /// The request.
        request: usize,
    },
    /// A client gives up a request, unless a newer timer was started for it.
    SilenceTimeout {
        /// The request.
        request: usize,
        /// The number of the timer among those of the request.
        timer: u64,
    },
    /// A fault begins or ends.
    Fault {
        /// The fault.
        fault: usize,
        /// Whether it begins or ends.
        phase: FaultPhase,
    },
    /// An engine is replaced by a new one.
    Replacement {
        /// The engine.
        engine: usize,
    },
    /// The nodes receive a new list of engines.
    ListUpdate(Vec<BackendEntry>),
    /// A node requests load reports that are due.
    ReportPoll {
        /// The node.
        node: usize,
    },
    /// A node receives a load report, or learns that there is none.
    ReportArrival {
        /// The node.
        node: usize,
        /// The listed id of the engine.
        id: BackendId,
        /// The engine.
        engine: usize,
        /// The time of the request for the report, in ms.
        requested_at_ms: f64,
    },
}

struct Entry {
    at_ms: f64,
    sequence: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at_ms.total_cmp(&other.at_ms).then(self.sequence.cmp(&other.sequence))
    }
}

/// Pending events. Events at the same time are returned in the order in which they were added.
#[derive(Default)]
pub struct EventQueue {
    entries: BinaryHeap<Reverse<Entry>>,
    sequence: u64,
}

impl EventQueue {
    /// Adds an event at a time in ms.
    pub fn push(&mut self, at_ms: f64, event: Event) {
        self.sequence += 1;
        self.entries.push(Reverse(Entry { at_ms, sequence: self.sequence, event }));
    }

    /// Removes the next event and returns it with its time in ms.
    pub fn pop(&mut self) -> Option<(f64, Event)> {
        self.entries.pop().map(|Reverse(Entry { at_ms, event, .. })| (at_ms, event))
    }
}
