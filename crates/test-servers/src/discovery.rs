//! A discovery service with the platform's API: the full list at `/v1/endpoints`, and a watch that streams
//! changes as lines of JSON.

use crate::http1;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// The interval at which a watch sends an empty line while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// The lifecycle state of a listed backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    /// It accepts requests.
    InService,
    /// It completes its requests and must get no new ones.
    Terminating,
    /// It has been removed.
    Terminated,
}

/// The list entry of a backend. The fields are the keys of the platform's JSON.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Endpoint {
    /// The name of the backend.
    pub instance_id: String,
    /// The listening address.
    pub host_port: SocketAddr,
    /// The zone: the site of the backend.
    pub zone: String,
    /// The machine type; may be empty.
    pub machine_type: String,
    /// The number of the cell.
    pub cell: u16,
    /// The lifecycle state.
    pub lifecycle: Lifecycle,
    /// The relative weight for load balancing; 1 by default.
    pub weight: f64,
    /// The time of the last start, as Unix time in milliseconds; 0 for a start long ago.
    pub started_at_ms: u64,
}

/// The version of the list, incremented by each change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
struct Generation(u32);

impl Generation {
    /// A client without a list. A watch from here begins with the full list.
    const NONE: Generation = Generation(0);
}

/// A line of a watch, and the response to a request for the list.
#[derive(Serialize)]
struct EndpointUpdate<'a> {
    generation: Generation,
    /// Whether `instances` is the full list instead of the changed entries.
    reset: bool,
    instances: Vec<&'a Endpoint>,
}

struct ListedEndpoint {
    endpoint: Endpoint,
    changed_in: Generation,
}

#[derive(Default)]
struct State {
    generation: Generation,
    /// The entries by name.
    endpoints: BTreeMap<String, ListedEndpoint>,
}

impl State {
    /// The changes after a generation as a line of JSON; the full list for [`Generation::NONE`].
    fn update_since(&self, from: Generation) -> String {
        let reset = from == Generation::NONE;
        let changed = self.endpoints.values().filter(|listed| listed.changed_in > from);
        let instances: Vec<_> = changed
            .map(|listed| &listed.endpoint)
            .filter(|endpoint| !reset || endpoint.lifecycle != Lifecycle::Terminated)
            .collect();
        let update = EndpointUpdate { generation: self.generation, reset, instances };
        // Serializing these types to a string can't fail.
        serde_json::to_string(&update).unwrap_or_default() + "\n"
    }
}

/// Whether discovery responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It responds.
    Up,
    /// It ends its watches, and rejects requests with status 503.
    Down,
}

struct Shared {
    state: Mutex<State>,
    generation: watch::Sender<Generation>,
    availability: watch::Sender<Availability>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A discovery service on a socket. Dropping it stops it.
pub struct Discovery {
    shared: Arc<Shared>,
    /// The listening address.
    pub address: SocketAddr,
    _task: JoinSet<()>,
}

impl Discovery {
    /// Starts the service on a free port, with an empty list.
    ///
    /// # Errors
    /// The socket can't be bound.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Mutex::new(State { generation: Generation(1), ..State::default() });
        let shared = Arc::new(Shared {
            state,
            generation: watch::Sender::new(Generation(1)),
            availability: watch::Sender::new(Availability::Up),
        });
        let mut task = JoinSet::new();
        let accepting = shared.clone();
        task.spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        connections.spawn(serve_connection(accepting.clone(), stream));
                    },
                    Some(_) = connections.join_next() => {}
                }
            }
        });
        Ok(Discovery { shared, address, _task: task })
    }

    /// Adds or replaces these endpoints in one change. Watches receive a terminated endpoint once; the full
    /// list omits it.
    pub fn publish(&self, endpoints: impl IntoIterator<Item = Endpoint>) {
        let mut state = self.shared.lock();
        state.generation.0 += 1;
        let generation = state.generation;
        for endpoint in endpoints {
            let name = endpoint.instance_id.clone();
            state.endpoints.insert(name, ListedEndpoint { endpoint, changed_in: generation });
        }
        drop(state);
        self.shared.generation.send_replace(generation);
    }

    /// Makes the service available or unavailable.
    pub fn set_availability(&self, availability: Availability) {
        self.shared.availability.send_replace(availability);
    }

    /// The full list as a line of JSON, in the form that a node's configuration can contain.
    pub fn snapshot(&self) -> String {
        self.shared.lock().update_since(Generation::NONE)
    }
}

async fn serve_connection(shared: Arc<Shared>, mut stream: TcpStream) {
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = http1::read_request(&mut stream, &mut buffer).await {
        let is_down = *shared.availability.borrow() == Availability::Down;
        let response = if is_down || request.path() != "/v1/endpoints" {
            let status = if is_down { "503 Service Unavailable" } else { "404 Not Found" };
            format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n")
        } else if let Some(from) = watched_from(&request.target) {
            let _ = send_changes(&shared, &mut stream, from).await;
            return;
        } else {
            let list = shared.lock().update_since(Generation::NONE);
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
        };
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// The generation after which a request target requests changes; `None` if it does not request a watch.
fn watched_from(target: &str) -> Option<Generation> {
    let (_, query) = target.split_once('?')?;
    let value = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    value("watch").filter(|watch| *watch == "1")?;
    Some(value("from").and_then(|from| from.parse().ok()).map_or(Generation::NONE, Generation))
}

/// Streams the changes after a generation, until the service goes down or a write fails.
async fn send_changes(shared: &Shared, stream: &mut TcpStream, mut from: Generation) -> io::Result<()> {
    let (mut changes, mut availability) = (shared.generation.subscribe(), shared.availability.subscribe());
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let mut first = true;
    loop {
        changes.mark_unchanged();
        let (line, generation) = {
            let state = shared.lock();
            // The client's generation is of an earlier instance of the service, so it gets the full list.
            let known = if from > state.generation { Generation::NONE } else { from };
            (state.update_since(known), state.generation)
        };
        if first || generation > from {
            stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
        }
        (first, from) = (false, generation);
        loop {
            let waited = tokio::select! {
                waited = timeout(HEARTBEAT_INTERVAL, changes.changed()) => waited,
                _ = availability.wait_for(|now| *now == Availability::Down) => return Ok(()),
            };
            match waited {
                Ok(Ok(())) => break,
                Ok(Err(_)) => return Ok(()),
                Err(_) => stream.write_all(b"1\r\n\n\r\n").await?,
            }
        }
    }
}

#[cfg(test)]
mod tests;
