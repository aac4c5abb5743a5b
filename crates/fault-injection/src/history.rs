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
    /// They may be executed any number of times.
    Safe,
    /// Clients may retry them under the same idempotency key, which backends remember for a time.
    Keyed,
    /// They may be executed at most once, also when the response is lost.
    Unsafe,
}

/// The class of a response, by its HTTP status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResponseKind {
    /// The status is 200 to 299.
    Served,
    /// 429 or 503: the request was not executed, so a retry is safe.
    #[serde(rename = "refused")]
    Rejected,
    /// Any other status: the request may have been executed.
    Failed,
}

/// A change of the state of a process, or a signal that the trial sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessEvent {
    /// The process accepts requests after a start or restart.
    Ready,
    /// The trial paused the process with SIGSTOP.
    #[serde(rename = "stopped")]
    Paused,
    /// The trial resumed the process with SIGCONT.
    #[serde(rename = "woken")]
    Resumed,
    /// The trial killed the process with SIGKILL.
    Killed,
    /// The trial asked the process to shut down with SIGTERM.
    #[serde(rename = "told")]
    Terminating,
    /// The process exited, with its exit code or the negative number of the signal that ended it.
    #[serde(rename = "ended")]
    Exited(i32),
}

/// The resources of a process, as `/proc` reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Holds")]
pub struct ResourceUsage {
    /// The number of open file descriptors.
    pub descriptors: u64,
    /// The number of threads.
    pub threads: u64,
    /// The resident memory, in KiB.
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

/// An observation of the trial, stored under its kind in the key `what`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum Event {
    /// The first entry: the configuration of the run.
    #[serde(rename = "begun")]
    RunStarted {
        /// The name of the plan that is executed.
        plan: String,
        /// The seed of the run's random choices.
        seed: u64,
        /// The names of the nodes, by index.
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
        /// The id of the attempt, unique in the run.
        id: String,
        /// The id of the request, which is that of its first attempt.
        #[serde(rename = "of")]
        request: String,
        /// The name of the node that it is sent to.
        node: String,
        /// The class of the client group that sends it.
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
        /// The id of the attempt.
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
        /// The id of the attempt.
        id: String,
    },
    /// The connection of an attempt ended without a complete response.
    #[serde(rename = "lost")]
    ConnectionLost {
        /// The id of the attempt.
        id: String,
    },
    /// No connection could be opened for an attempt: nothing was sent.
    #[serde(rename = "not-taken")]
    ConnectFailed {
        /// The id of the attempt.
        id: String,
    },
    /// Bytes arrived after the final response to an attempt.
    #[serde(rename = "extra")]
    UnexpectedData {
        /// The id of the attempt.
        id: String,
    },
    /// A backend has received an attempt and executes or queues it.
    #[serde(rename = "began")]
    ExecutionStarted {
        /// The id of the attempt.
        id: String,
    },
    /// A backend crashed because it was overloaded while it warmed up.
    #[serde(rename = "fell-over")]
    BackendCrashed,
    /// A node was notified that a backend drains or is removed.
    #[serde(rename = "drained")]
    DrainNotified {
        /// The name of the notified node.
        node: String,
        /// The name of the backend that drains or is removed.
        #[serde(rename = "of")]
        backend: String,
    },
    /// A node was notified that a backend is in service again.
    #[serde(rename = "back")]
    ReturnNotified {
        /// The name of the notified node.
        node: String,
        /// The name of the backend that is in service again.
        #[serde(rename = "of")]
        backend: String,
    },
    /// A node opened a connection to this backend, or to discovery.
    Connected {
        /// The name of the node that opened the connection.
        node: String,
    },
    /// A fault of the plan begins, recorded by the trial itself.
    #[serde(rename = "fault")]
    FaultStarted {
        /// The index of the fault in the plan.
        #[serde(rename = "number")]
        fault: usize,
        /// A description of the fault for reports.
        text: String,
    },
    /// A fault of the plan ends: its effect is undone.
    #[serde(rename = "healed")]
    FaultEnded {
        /// The index of the fault in the plan.
        #[serde(rename = "number")]
        fault: usize,
    },
    /// The state of a process has changed.
    Process {
        /// The new state, or the signal that was sent to the process.
        #[serde(rename = "did")]
        event: ProcessEvent,
    },
    /// The resources of a process when it became ready and after traffic had ended.
    #[serde(rename = "holds")]
    ResourcesMeasured {
        /// The usage when the process became ready.
        before: ResourceUsage,
        /// The usage after traffic had ended.
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
        /// The longest time by which a timer overran, ms.
        by_ms: u64,
    },
}

/// An observation with its time and source; one line of a stored history.
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
    /// The observation; its keys are stored beside the time and the source.
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
        /// Reading a line, numbered from 1, failed or it is not UTF-8.
        Read(line: usize, source: io::Error) {
            display("line {line}: {source}")
            source(source)
        }
        /// A line, numbered from 1, is not the JSON of an [`Entry`].
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
    /// The entries, from the oldest to the newest.
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
