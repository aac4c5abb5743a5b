//! The history of a run: each observation with its source and time, stored as one JSON object a line. The
//! checkers need no other input.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, Write};
use std::time::Duration;

// Histories are stored in files, and reports show their keys and values: `rename` keeps these stable.

/// Whether the requests of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// Any number of times.
    Safe,
    /// Only at backends that recognize its idempotency key as seen.
    Keyed,
    /// At most once.
    Unsafe,
}

/// The class of a response, by its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResponseKind {
    /// 2xx.
    Served,
    /// 429 or 503: the request was not executed, so a retry is safe.
    #[serde(rename = "refused")]
    Rejected,
    /// Any other status.
    Failed,
}

/// A change of the state of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessEvent {
    /// It accepts requests.
    Ready,
    /// It was paused (SIGSTOP).
    #[serde(rename = "stopped")]
    Paused,
    /// It was resumed (SIGCONT).
    #[serde(rename = "woken")]
    Resumed,
    /// It was killed (SIGKILL).
    Killed,
    /// It was asked to shut down (SIGTERM).
    #[serde(rename = "told")]
    Terminating,
    /// It exited, with its exit code or the negative number of the signal that ended it.
    #[serde(rename = "ended")]
    Exited(i32),
}

/// The resources of a process, as `/proc` reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Holds")]
pub struct ResourceUsage {
    /// Open file descriptors.
    pub descriptors: u64,
    /// Threads.
    pub threads: u64,
    /// Resident memory, KiB.
    pub memory_kib: u64,
}

/// The limits that the checkers apply to a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    /// How long after a drain notification a node may still send requests to the draining backend, ms.
    pub grace_ms: u64,
    /// How long after its client has abandoned a request a backend may still start it, ms. Covers the time
    /// that bytes spend on links and in their buffers.
    pub slack_ms: u64,
    /// How long after the last fault service may take to recover, ms.
    #[serde(rename = "recovers_ms")]
    pub recovery_ms: u64,
    /// The share of requests, 0 to 1, that must be served outside faults.
    #[serde(rename = "served")]
    pub served_share: f64,
    /// Connections that all nodes together may open to one backend within any second.
    pub connections_per_s: u64,
    /// Connections that all nodes together may open to discovery within any 100 ms.
    #[serde(rename = "calls_per_100ms")]
    pub discovery_calls_per_100ms: u64,
    /// By how many a node's open file descriptors may grow from before traffic to after it.
    pub descriptors: u64,
    /// By how much a node's resident memory may grow from before traffic to after it, KiB.
    pub memory_kib: u64,
    /// How late the trial's own timers may be for a verdict to be valid, ms.
    #[serde(rename = "bears_ms")]
    pub max_lateness_ms: u64,
}

/// An observation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum Event {
    /// The first entry: the configuration of the run.
    #[serde(rename = "begun")]
    RunStarted {
        /// The plan's name.
        plan: String,
        /// The seed of all random choices.
        seed: u64,
        /// The names of the nodes.
        nodes: Vec<String>,
        /// The name and the site of each backend.
        #[serde(rename = "boxes")]
        backends: Vec<(String, String)>,
        /// The limits that the checkers apply.
        bounds: Bounds,
    },
    /// A client sends an attempt of a request.
    #[serde(rename = "sent")]
    AttemptSent {
        /// The attempt.
        id: String,
        /// The request: the id of its first attempt.
        #[serde(rename = "of")]
        request: String,
        /// The node.
        node: String,
        /// The class of the request.
        class: String,
        /// Whether requests of the class may be executed more than once.
        #[serde(rename = "repeat")]
        idempotency: Idempotency,
        /// How long the client waits for a response, ms.
        #[serde(rename = "patience_ms")]
        timeout_ms: u64,
    },
    /// A client has received the complete response to an attempt.
    #[serde(rename = "answered")]
    ResponseReceived {
        /// The attempt.
        id: String,
        /// The class of the response.
        #[serde(rename = "how")]
        kind: ResponseKind,
        /// The HTTP status code.
        status: u16,
    },
    /// The client of an attempt has timed out and closed the connection.
    #[serde(rename = "gave-up")]
    TimedOut {
        /// The attempt.
        id: String,
    },
    /// The connection of an attempt ended without a complete response.
    #[serde(rename = "lost")]
    ConnectionLost {
        /// The attempt.
        id: String,
    },
    /// No connection could be opened for an attempt: nothing was sent.
    #[serde(rename = "not-taken")]
    ConnectFailed {
        /// The attempt.
        id: String,
    },
    /// Bytes arrived after the final response to an attempt.
    #[serde(rename = "extra")]
    UnexpectedData {
        /// The attempt.
        id: String,
    },
    /// A backend has received an attempt and executes or queues it.
    #[serde(rename = "began")]
    ExecutionStarted {
        /// The attempt.
        id: String,
    },
    /// A backend crashed because it was overloaded while it warmed up.
    #[serde(rename = "fell-over")]
    BackendCrashed,
    /// A node was notified that a backend drains or is removed.
    #[serde(rename = "drained")]
    DrainNotified {
        /// The node.
        node: String,
        /// The backend.
        #[serde(rename = "of")]
        backend: String,
    },
    /// A node was notified that a backend is in service again.
    #[serde(rename = "back")]
    ReturnNotified {
        /// The node.
        node: String,
        /// The backend.
        #[serde(rename = "of")]
        backend: String,
    },
    /// A node opened a connection to this backend, or to discovery.
    Connected {
        /// The node.
        node: String,
    },
    /// A fault begins.
    #[serde(rename = "fault")]
    FaultStarted {
        /// Its index in the plan.
        #[serde(rename = "number")]
        fault: usize,
        /// What it is.
        text: String,
    },
    /// A fault ends.
    #[serde(rename = "healed")]
    FaultEnded {
        /// Its index in the plan.
        #[serde(rename = "number")]
        fault: usize,
    },
    /// The state of a process has changed.
    Process {
        /// The change.
        #[serde(rename = "did")]
        event: ProcessEvent,
    },
    /// The resources of a process when it became ready and after traffic had ended.
    #[serde(rename = "holds")]
    ResourcesMeasured {
        /// When it became ready.
        before: ResourceUsage,
        /// After traffic.
        after: ResourceUsage,
    },
    /// Clients start to send requests.
    #[serde(rename = "traffic-began")]
    TrafficStarted,
    /// The outcomes of all requests are known.
    TrafficEnded,
    /// The maximum lateness of the trial's own timers during the run.
    #[serde(rename = "late")]
    TimersLate {
        /// The maximum lateness, ms.
        by_ms: u64,
    },
}

/// An entry of a history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Line")]
pub struct Entry {
    /// Monotonic time since the start of the run, µs.
    #[serde(rename = "t")]
    pub at_us: u64,
    /// Who observed it, or whom it concerns: the name of a node or a backend, `discovery`, `client`, or `rig`
    /// for the trial itself.
    #[serde(rename = "by")]
    pub source: String,
    /// What was observed.
    #[serde(flatten)]
    pub event: Event,
}

impl Entry {
    /// An entry at a time since the start of the run.
    pub fn new(at: Duration, source: impl Into<String>, event: Event) -> Self {
        Entry { at_us: at.as_micros() as u64, source: source.into(), event }
    }
}

quick_error! {
    /// Why a history can't be read.
    #[derive(Debug)]
    pub enum HistoryError {
        /// A line can't be read.
        Read(line: usize, source: io::Error) {
            display("line {line}: {source}")
            source(source)
        }
        /// A line is not a valid entry.
        Parse(line: usize, source: serde_json::Error) {
            display("line {line}: {source}")
            source(source)
        }
        /// The first entry is not [`Event::RunStarted`].
        NoBeginning {
            display("line 1: a history must start with an entry `begun`")
        }
    }
}

/// The entries of a run, sorted by time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// The entries.
    pub entries: Vec<Entry>,
}

impl History {
    /// Sorts the entries of several sources by time. The sort is stable: entries with equal times keep their
    /// order.
    pub fn sorted(mut entries: Vec<Entry>) -> Self {
        entries.sort_by_key(|entry| entry.at_us);
        History { entries }
    }

    /// Writes the entries, one JSON object a line.
    ///
    /// # Errors
    /// `to` can't be written.
    pub fn write(&self, mut to: impl Write) -> io::Result<()> {
        for entry in &self.entries {
            serde_json::to_writer(&mut to, entry)?;
            to.write_all(b"\n")?;
        }
        to.flush()
    }

    /// Reads a history as [`History::write`] writes it, and sorts it by time.
    ///
    /// # Errors
    /// A line can't be read or is not a valid entry, or the first entry is not [`Event::RunStarted`].
    pub fn read(from: impl BufRead) -> Result<Self, HistoryError> {
        let mut entries = Vec::new();
        for (number, text) in (1..).zip(from.lines()) {
            let text = text.map_err(|e| HistoryError::Read(number, e))?;
            entries.push(serde_json::from_str(&text).map_err(|e| HistoryError::Parse(number, e))?);
        }
        match entries.first() {
            Some(Entry { event: Event::RunStarted { .. }, .. }) => Ok(History::sorted(entries)),
            _ => Err(HistoryError::NoBeginning),
        }
    }

    /// The limits that the checkers apply; `None` without an entry [`Event::RunStarted`].
    pub fn bounds(&self) -> Option<&Bounds> {
        self.entries.iter().find_map(|entry| match &entry.event {
            Event::RunStarted { bounds, .. } => Some(bounds),
            _ => None,
        })
    }
}
