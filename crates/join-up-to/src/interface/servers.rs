//! Entries of the server list, and load reports of servers.

use super::ids::ServerId;
use std::time::Duration;

/// The state of a server in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// The server accepts requests.
    Ready,
    /// The server completes its requests in flight and accepts no new ones.
    Draining,
    /// The server has been removed from the list.
    #[default]
    Gone,
}

/// A server with its place, kind, state and weight, as the list has it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// The same for this server in every update of the list.
    pub id: ServerId,
    /// The number of the zone; servers of a zone may deduplicate each other's requests.
    pub zone: u8,
    /// The number of the machine kind; servers of a kind have similar capacity.
    pub kind: u8,
    /// The number of the cell; servers of a cell may deduplicate each other's requests.
    pub cell: u16,
    /// Whether the server accepts requests, drains or has been removed.
    pub state: ServerState,
    /// The configured weight relative to other servers.
    pub weight: f32,
    /// When the server's process last started; `None` if too long ago to matter for slow start.
    pub started: Option<Duration>,
}

/// The kind of an update of the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that have changed; other servers stay as they are.
    Changes,
    /// The full list; servers that are not in it have been removed.
    Full,
    /// The full list as stored by this node before its last start; may be out of date.
    Cached,
    /// A request for the list failed, or the subscription was lost. There are no entries.
    Failed,
}

/// A load report of a server; `None` for a value that it does not report. Reports lag and are noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at the server.
    pub in_flight: Option<f32>,
    /// Requests waiting in the server's queue.
    pub queue: Option<f32>,
    /// The fraction of the server's processors in use, from 0 to 1.
    pub utilisation: Option<f32>,
    /// The recent service time in milliseconds.
    pub latency_ms: Option<f32>,
    /// Requests that it serves per second.
    pub throughput: Option<f32>,
    /// Errors that the server returns per second.
    pub errors: Option<f32>,
}
