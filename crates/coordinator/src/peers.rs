//! Connections to other coordinators. They are opened when there is something to send, with a backoff between
//! attempts; no caller waits for them.

use crate::clock::Clock;
use crate::peer_protocol::{Hello, PeerMessage};
use bytes::Bytes;
use control_link::{AddressTranslation, FrameReader, FrameWriter, LinkError};
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The backoff after the first failed connection. It doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// The backoff does not grow beyond this.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// After a connection that lasted this long the backoff starts at its initial value again.
const BACKOFF_RESET_AFTER: Duration = Duration::from_secs(2);
/// How many messages are queued at most while a connection is being opened.
const MAX_QUEUED_FRAMES: usize = 16;
/// How long a coordinator that announced its shutdown counts as unreachable.
const LEAVING_NOTICE_VALID_FOR: Duration = Duration::from_secs(8);
/// How many addresses are remembered at most, in case a peer claims ever new ones.
const MAX_PEERS: usize = 256;

/// The connections to other coordinators, and when each was last heard from.
#[derive(Debug)]
pub struct Peers {
    own_address: SocketAddrV4,
    node: String,
    clock: Clock,
    translation: AddressTranslation,
    connections: Mutex<HashMap<SocketAddrV4, PeerConnection>>,
}

#[derive(Debug, Default)]
struct PeerConnection {
    state: ConnectionState,
    backoff: Duration,
    last_received: Option<Duration>,
    leaving_since: Option<Duration>,
    node: String,
}

#[derive(Debug)]
enum ConnectionState {
    /// There is no connection, and none may be opened before this time.
    Idle {
        retry_at: Duration,
    },
    /// The connection is being opened; these frames are sent once it is open.
    Connecting(Vec<Bytes>),
    Open(FrameWriter),
}

impl Default for ConnectionState {
    fn default() -> Self {
        ConnectionState::Idle { retry_at: Duration::ZERO }
    }
}

impl Peers {
    /// Starts without connections. `own_address` is where this coordinator listens, `node` the name of its
    /// node. `translation` tells where the other coordinators are reached.
    pub fn new(
        own_address: SocketAddrV4,
        node: String,
        clock: Clock,
        translation: AddressTranslation,
    ) -> Self {
        Peers { own_address, node, clock, translation, connections: Mutex::default() }
    }

    /// The address at which this coordinator listens for coordinators and agents.
    pub fn own_address(&self) -> SocketAddrV4 {
        self.own_address
    }

    /// Sends a message without waiting. The message is dropped if there is no connection and none may be
    /// opened yet, or if the queue is full.
    pub fn send(self: &Arc<Self>, to: SocketAddrV4, message: &PeerMessage) {
        match control_protocol::encode(message) {
            Ok(frame) => self.send_frame(to, frame.into()),
            Err(error) => log::error!("message to peer {to} not encoded: {error}"),
        }
    }

    /// Sends an encoded message, as [`Peers::send`] does. For messages that go to several peers.
    pub fn send_frame(self: &Arc<Self>, to: SocketAddrV4, frame: Bytes) {
        let now = self.clock.now();
        let mut connections = self.connections();
        if to == self.own_address || (connections.len() >= MAX_PEERS && !connections.contains_key(&to)) {
            return;
        }
        let connection = connections.entry(to).or_default();
        match &mut connection.state {
            ConnectionState::Open(outgoing) => {
                if let Err(error) = outgoing.send_frame(frame) {
                    log::debug!("message to peer {to} not sent: {error}");
                }
            }
            ConnectionState::Connecting(queued) if queued.len() < MAX_QUEUED_FRAMES => queued.push(frame),
            ConnectionState::Connecting(_) => {}
            ConnectionState::Idle { retry_at } if now < *retry_at => {}
            ConnectionState::Idle { .. } => {
                connection.state = ConnectionState::Connecting(vec![frame]);
                tokio::spawn(self.clone().maintain_connection(to));
            }
        }
    }

    /// Records that a message has arrived from a peer, and the name of its node.
    pub fn record_received(&self, from: SocketAddrV4, node: &str) {
        let now = self.clock.now();
        let mut connections = self.connections();
        if from == self.own_address || (connections.len() >= MAX_PEERS && !connections.contains_key(&from)) {
            return;
        }
        let connection = connections.entry(from).or_default();
        connection.last_received = Some(now);
        if connection.node != node {
            connection.node = node.to_string();
        }
    }

    /// Records that a peer has announced its shutdown.
    pub fn record_leaving(&self, peer: SocketAddrV4) {
        let now = self.clock.now();
        if let Some(connection) = self.connections().get_mut(&peer) {
            connection.leaving_since = Some(now);
        }
    }

    /// Whether a message from this peer arrived within the last `within`, and it has not announced its
    /// shutdown.
    pub fn has_recent_contact(&self, peer: SocketAddrV4, within: Duration) -> bool {
        let now = self.clock.now();
        self.connections().get(&peer).is_some_and(|connection| connection.has_recent_contact(now, within))
    }

    /// The peers with recent contact, as [`Peers::has_recent_contact`] defines it.
    pub fn recent_contacts(&self, within: Duration) -> Vec<SocketAddrV4> {
        let now = self.clock.now();
        let connections = self.connections();
        let recent = connections.iter().filter(|(_, connection)| connection.has_recent_contact(now, within));
        recent.map(|(address, _)| *address).collect()
    }

    /// The name of a peer's node; `None` until a message has arrived from it.
    pub fn node_name(&self, peer: SocketAddrV4) -> Option<String> {
        if peer == self.own_address {
            return Some(self.node.clone());
        }
        let connections = self.connections();
        connections.get(&peer).map(|connection| connection.node.clone()).filter(|node| !node.is_empty())
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<SocketAddrV4, PeerConnection>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a connection, waits for its end and sets the backoff.
    async fn maintain_connection(self: Arc<Self>, to: SocketAddrV4) {
        let started = self.clock.now();
        match self.open(to).await {
            Ok(incoming) => {
                log::debug!("peer {to}: connected");
                let error = wait_for_end(incoming).await;
                log::debug!("peer {to}: connection ended: {error}");
            }
            Err(error) => log::debug!("peer {to}: connection not established: {error}"),
        }
        self.record_end(to, started);
    }

    async fn open(&self, to: SocketAddrV4) -> Result<FrameReader, LinkError> {
        let stream = control_link::connect(self.translation.resolve(to)).await?;
        let (incoming, outgoing) = control_link::split(stream, SocketAddr::V4(to));
        let version = control_protocol::VERSION;
        outgoing.send(&Hello::Peer { version, node: self.node.clone(), address: self.own_address })?;
        let mut connections = self.connections();
        let connection = connections.entry(to).or_default();
        let before = std::mem::replace(&mut connection.state, ConnectionState::Open(outgoing.clone()));
        if let ConnectionState::Connecting(queued) = before {
            for frame in queued {
                outgoing.send_frame(frame)?;
            }
        }
        Ok(incoming)
    }

    fn record_end(&self, to: SocketAddrV4, started: Duration) {
        let now = self.clock.now();
        let mut connections = self.connections();
        let connection = connections.entry(to).or_default();
        let was_open = matches!(connection.state, ConnectionState::Open(_));
        connection.backoff = if was_open && now - started >= BACKOFF_RESET_AFTER {
            INITIAL_BACKOFF
        } else {
            (connection.backoff * 2).clamp(INITIAL_BACKOFF, MAX_BACKOFF)
        };
        connection.state = ConnectionState::Idle { retry_at: now + connection.backoff };
    }
}

impl PeerConnection {
    fn has_recent_contact(&self, now: Duration, within: Duration) -> bool {
        let is_leaving = self.leaving_since.is_some_and(|since| now < since + LEAVING_NOTICE_VALID_FOR);
        !is_leaving && self.last_received.is_some_and(|received| now < received + within)
    }
}

/// Waits for the end of a connection. Nothing is expected on it, because the peer sends on a connection of
/// its own.
async fn wait_for_end(mut incoming: FrameReader) -> LinkError {
    loop {
        if let Err(error) = incoming.next::<PeerMessage>().await {
            return error;
        }
    }
}
