//! An index of a history that the checkers share: its attempts by id, and the time spans of downtimes and
//! faults.

use crate::history::{Entry, Event, History, Idempotency, ProcessEvent, ResponseKind};
use std::collections::{BTreeMap, HashMap};

/// The start of an attempt's execution at a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct Execution {
    /// When it started, µs.
    pub at_us: u64,
    /// The backend.
    pub backend: String,
    /// The index of the entry that records it.
    pub entry: usize,
}

/// An attempt of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Its id.
    pub id: String,
    /// The id of the request, which is that of its first attempt.
    pub request: String,
    /// The node that it was sent to.
    pub node: String,
    /// Whether its request may be executed more than once.
    pub idempotency: Idempotency,
    /// When it was sent, µs.
    pub sent_us: u64,
    /// How long its client waits for a response, µs.
    pub timeout_us: u64,
    /// When it ended for its client, µs, and how; `None` if the history does not have its end.
    pub end: Option<(u64, AttemptEnd)>,
    /// The index of the entry that records bytes after its final response, if any arrived.
    pub unexpected_data: Option<usize>,
    /// Its executions at backends, by time.
    pub executions: Vec<Execution>,
    /// The indexes of the entries that record its sending, executions and end, by time.
    pub entries: Vec<usize>,
}

/// How an attempt ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With a response.
    Response(ResponseKind),
    /// The client timed out and closed the connection.
    TimedOut,
    /// The connection ended without a complete response.
    ConnectionLost,
    /// No connection could be opened.
    ConnectFailed,
}

/// A span of time, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeSpan {
    /// Its start, µs.
    pub from_us: u64,
    /// Its end, µs.
    pub to_us: u64,
}

impl TimeSpan {
    fn overlaps(self, other: TimeSpan) -> bool {
        self.from_us <= other.to_us && other.from_us <= self.to_us
    }
}

/// All attempts of a history, and its downtimes and faults.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// The attempts, by id.
    pub by_id: BTreeMap<String, Attempt>,
    /// The spans in which a node was paused, not running, starting or shutting down, by node.
    downtimes: HashMap<String, Vec<TimeSpan>>,
    /// When a node was killed, µs, by node. Bytes that it has written to its sockets before may still be
    /// delivered.
    kills: HashMap<String, Vec<u64>>,
    /// The spans of faults, sorted by start.
    pub faults: Vec<TimeSpan>,
}

impl Attempts {
    /// Indexes a history.
    pub fn of(history: &History) -> Self {
        let mut reader = AttemptReader::default();
        for (index, entry) in history.entries.iter().enumerate() {
            reader.read(index, entry);
        }
        reader.finish(history.entries.last().map_or(0, |entry| entry.at_us))
    }

    /// Whether a node was paused, not running, starting or shutting down at any time of a span.
    pub fn was_down(&self, node: &str, span: TimeSpan) -> bool {
        self.downtimes.get(node).into_iter().flatten().any(|downtime| downtime.overlaps(span))
    }

    /// Whether the node of an attempt could not cancel an execution at this time: the node was down then, or
    /// was killed after it got the attempt. Bytes in the send buffer of a socket are delivered even if the
    /// process is killed.
    pub fn could_not_cancel(&self, attempt: &Attempt, executed_us: u64) -> bool {
        let kills = self.kills.get(&attempt.node).into_iter().flatten();
        self.was_down(&attempt.node, TimeSpan { from_us: executed_us, to_us: executed_us })
            || kills.into_iter().any(|at| (attempt.sent_us..=executed_us).contains(at))
    }

    /// Whether any fault was active at any time of a span.
    pub fn was_faulty(&self, span: TimeSpan) -> bool {
        self.faults.iter().any(|fault| fault.overlaps(span))
    }
}

/// Reads the entries of a history in their order.
#[derive(Default)]
struct AttemptReader<'h> {
    attempts: Attempts,
    /// The nodes that are down, with the start of the downtime, µs.
    down_since: HashMap<&'h str, u64>,
    /// The start of each active fault, µs, by its index in the plan.
    fault_since: HashMap<usize, u64>,
}

impl<'h> AttemptReader<'h> {
    fn read(&mut self, index: usize, entry: &'h Entry) {
        let at_us = entry.at_us;
        match &entry.event {
            Event::AttemptSent { id, request, node, idempotency, timeout_ms, .. } => {
                let attempt = Attempt {
                    id: id.clone(),
                    request: request.clone(),
                    node: node.clone(),
                    idempotency: *idempotency,
                    sent_us: at_us,
                    timeout_us: timeout_ms * 1000,
                    end: None,
                    unexpected_data: None,
                    executions: Vec::new(),
                    entries: vec![index],
                };
                self.attempts.by_id.insert(id.clone(), attempt);
            }
            Event::ResponseReceived { id, kind, .. } => {
                self.read_end(index, at_us, id, AttemptEnd::Response(*kind));
            }
            Event::TimedOut { id } => self.read_end(index, at_us, id, AttemptEnd::TimedOut),
            Event::ConnectionLost { id } => self.read_end(index, at_us, id, AttemptEnd::ConnectionLost),
            Event::ConnectFailed { id } => self.read_end(index, at_us, id, AttemptEnd::ConnectFailed),
            Event::UnexpectedData { id } => {
                if let Some(attempt) = self.attempts.by_id.get_mut(id) {
                    attempt.unexpected_data = Some(index);
                }
            }
            Event::ExecutionStarted { id } => {
                if let Some(attempt) = self.attempts.by_id.get_mut(id) {
                    let backend = entry.source.clone();
                    attempt.executions.push(Execution { at_us, backend, entry: index });
                    attempt.entries.push(index);
                }
            }
            Event::Process { event } => self.read_process(&entry.source, at_us, *event),
            Event::FaultStarted { fault, .. } => {
                self.fault_since.insert(*fault, at_us);
            }
            Event::FaultEnded { fault } => {
                let since = self.fault_since.remove(fault);
                self.attempts.faults.extend(since.map(|from_us| TimeSpan { from_us, to_us: at_us }));
            }
            _ => {}
        }
    }

    fn read_end(&mut self, index: usize, at_us: u64, id: &str, end: AttemptEnd) {
        if let Some(attempt) = self.attempts.by_id.get_mut(id) {
            attempt.end.get_or_insert((at_us, end));
            attempt.entries.push(index);
        }
    }

    fn read_process(&mut self, node: &'h str, at_us: u64, event: ProcessEvent) {
        if event == ProcessEvent::Killed {
            self.attempts.kills.entry(node.to_string()).or_default().push(at_us);
        }
        match event {
            ProcessEvent::Paused
            | ProcessEvent::Killed
            | ProcessEvent::Terminating
            | ProcessEvent::Exited(_) => {
                self.down_since.entry(node).or_insert(at_us);
            }
            ProcessEvent::Ready | ProcessEvent::Resumed => {
                if let Some(from_us) = self.down_since.remove(node) {
                    let downtimes = self.attempts.downtimes.entry(node.to_string()).or_default();
                    downtimes.push(TimeSpan { from_us, to_us: at_us });
                }
            }
        }
    }

    /// Ends the downtimes and faults that are still open at the end of the history.
    fn finish(mut self, end_us: u64) -> Attempts {
        let mut attempts = self.attempts;
        for (node, from_us) in self.down_since {
            let downtimes = attempts.downtimes.entry(node.to_string()).or_default();
            downtimes.push(TimeSpan { from_us, to_us: end_us });
        }
        let lasting = self.fault_since.drain().map(|(_, from_us)| TimeSpan { from_us, to_us: end_us });
        attempts.faults.extend(lasting);
        attempts.faults.sort_unstable();
        attempts
    }
}
