//! The connected agents, what was sent to each, and what is sent to all of them.

mod advertised_endpoints;
mod configuration_requests;
mod connection;

pub use advertised_endpoints::AdvertisedEndpoints;
pub use configuration_requests::{
    AnswerableRequest, ConfigurationRequestId, PendingConfigurationRequests, ReadIndexTicket,
};
pub use connection::{AgentConnectionId, AgentIdentity};

use crate::clock::Clock;
use crate::membership::{RoleStatus, members_in_order};
use bytes::Bytes;
use connection::{AgentConnection, encode_frame};
use control_link::FrameWriter;
use control_protocol::{
    Backend, BackendChanges, BackendListVersion, ConfigurationSequence, CoreMember, ToAgent,
};
use range_digest::KeyRange;
use replication::{Entry, Member, Sequence, View};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// How often [`Agents::sweep`] is to be called. A connection on which nothing was sent for about this long gets a heartbeat.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(450);
/// The part of the interval after which a heartbeat is due, so that a sweep that comes a little early sends it as well.
const HEARTBEAT_AFTER: Duration = SWEEP_INTERVAL.saturating_sub(Duration::from_millis(45));
/// An agent that sends nothing for this long is disconnected.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// A node counts among those that carry traffic for this long after its last message.
const NODE_EXPIRY: Duration = Duration::from_secs(10);
/// How often agents are sent the digest of the endpoint list, to compare with that of their own.
const DIGEST_INTERVAL: Duration = Duration::from_secs(2);

/// The status of a connected agent, for operators. In JSON some fields have older names, which `serde(rename)` keeps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The name of its node.
    pub node: String,
    /// The zone of its machine.
    pub zone: String,
    /// The sequence of the configuration that its proxy serves under; 0 for none.
    #[serde(rename = "in_force")]
    pub applied_sequence: Sequence,
    /// By how many sequences that trails the newest one committed.
    pub lag: u64,
    /// How long ago its last message arrived, in milliseconds.
    #[serde(rename = "heard_ms_ago")]
    pub last_received_ms_ago: u64,
}

/// The connected agents, and the state that all of them are sent.
pub struct Agents {
    clock: Clock,
    state: Mutex<AgentsState>,
    /// Notified when a request for the newest configuration arrives.
    read_index_needed: Notify,
}

#[derive(Default)]
struct AgentsState {
    connections: HashMap<AgentConnectionId, AgentConnection>,
    connections_so_far: u64,
    /// The nodes that carry traffic, each with the time of its last message.
    nodes: BTreeMap<String, Duration>,
    /// The number of nodes that was last sent to agents.
    sent_node_count: u32,
    view: Option<Arc<View>>,
    role: RoleStatus,
    committed: Option<Arc<Entry>>,
    /// The frame of the newest configuration, once an agent has requested it.
    configuration_frame: Option<Bytes>,
    requests: PendingConfigurationRequests,
    endpoints: Option<AdvertisedEndpoints>,
    digest_sent_at: Duration,
}

impl Agents {
    /// No connections yet.
    pub fn new(clock: Clock) -> Self {
        Agents { clock, state: Mutex::default(), read_index_needed: Notify::new() }
    }

    /// Adds an agent that has connected, and sends it the state in force.
    pub fn connect(&self, identity: AgentIdentity, outgoing: FrameWriter) -> AgentConnectionId {
        let now = self.clock.now();
        let mut state = self.state();
        state.nodes.insert(identity.node.clone(), now);
        state.connections_so_far += 1;
        let id = AgentConnectionId::new(state.connections_so_far);
        let connection = AgentConnection::new(identity, outgoing, now);
        // The others are sent the new number of nodes by the next sweep: a whole fleet may connect at once.
        for frame in state.snapshot_frames() {
            connection.send_frame(frame);
        }
        state.connections.insert(id, connection);
        id
    }

    /// Removes a connection that has ended.
    pub fn disconnect(&self, id: AgentConnectionId) {
        let mut state = self.state();
        state.connections.remove(&id);
        state.requests.remove(id);
    }

    /// Removes a node that has shut down gracefully from those that carry traffic.
    pub fn remove_node(&self, node: &str) {
        let now = self.clock.now();
        let mut state = self.state();
        state.nodes.remove(node);
        state.broadcast_node_count(now);
    }

    /// Records that a message of an agent has arrived.
    pub fn record_received(&self, id: AgentConnectionId) {
        let now = self.clock.now();
        let mut state = self.state();
        let Some(connection) = state.connections.get_mut(&id) else { return };
        connection.last_received = now;
        let node = connection.identity.node.clone();
        state.nodes.insert(node, now);
    }

    /// Records that an agent's proxy serves under the configuration of a sequence.
    pub fn record_applied(&self, id: AgentConnectionId, sequence: Sequence) {
        if let Some(connection) = self.state().connections.get_mut(&id) {
            connection.applied_sequence = sequence;
        }
    }

    /// An agent requests the configuration of this sequence or a newer one. It is sent once a majority has confirmed, after
    /// this, which one is the newest, and that one is known here.
    pub fn request_configuration(
        &self,
        id: AgentConnectionId,
        min_sequence: Sequence,
        request: ConfigurationRequestId,
    ) {
        let mut state = self.state();
        if state.connections.contains_key(&id) {
            state.requests.add(id, min_sequence, request);
        }
        self.read_index_needed.notify_one();
    }

    /// Waits until a read index is needed.
    pub async fn read_index_needed(&self) {
        self.read_index_needed.notified().await;
    }

    /// Begins a read index, for all requests that have arrived by now. `None` if none waits for one.
    pub fn begin_read_index(&self) -> Option<ReadIndexTicket> {
        self.state().requests.begin_read_index()
    }

    /// The read index of a ticket was confirmed: this sequence was the newest at some moment since it was begun.
    pub fn complete_read_index(&self, ticket: ReadIndexTicket, sequence: Sequence) {
        let now = self.clock.now();
        let mut state = self.state();
        state.requests.complete_read_index(ticket, sequence);
        state.answer_requests(now);
    }

    /// Sends a message to one agent.
    pub fn send_to(&self, id: AgentConnectionId, message: &ToAgent) {
        let now = self.clock.now();
        if let Some(connection) = self.state().connections.get_mut(&id) {
            connection.last_sent = now;
            connection.send(message);
        }
    }

    /// Sends a message to all agents.
    pub fn broadcast(&self, message: &ToAgent) {
        let now = self.clock.now();
        self.state().broadcast(now, message);
    }

    /// The endpoints that are advertised to agents.
    pub fn endpoints(&self) -> Option<Arc<Vec<Backend>>> {
        self.with_advertised(|advertised| advertised.endpoints.clone())
    }

    /// The names of the nodes that carry traffic, as far as this coordinator knows.
    pub fn node_names(&self) -> BTreeSet<String> {
        self.state().nodes.keys().cloned().collect()
    }

    /// Another view is in force.
    pub fn set_view(&self, view: Arc<View>) {
        let now = self.clock.now();
        let mut state = self.state();
        state.view = Some(view);
        state.broadcast_view(now);
    }

    /// This member's role has changed.
    pub fn set_role_status(&self, role: RoleStatus) {
        let now = self.clock.now();
        let mut state = self.state();
        let before = std::mem::replace(&mut state.role, role);
        if before.has_quorum_contact == role.has_quorum_contact {
            state.broadcast_node_count(now);
        } else {
            state.broadcast_view(now);
        }
    }

    /// A newer configuration is committed.
    pub fn set_committed(&self, entry: Arc<Entry>) {
        let now = self.clock.now();
        let mut state = self.state();
        let sequence = configuration_sequence(entry.sequence);
        state.committed = Some(entry);
        state.configuration_frame = None;
        state.answer_requests(now);
        state.broadcast(now, &ToAgent::ConfigurationAvailable { sequence });
    }

    /// Advertises another list of endpoints.
    pub fn advertise_endpoints(&self, version: BackendListVersion, endpoints: &Arc<Vec<Backend>>) {
        let now = self.clock.now();
        let mut state = self.state();
        let message = match &mut state.endpoints {
            Some(advertised) => {
                let base = advertised.version;
                let changes = BackendChanges::between(&advertised.endpoints, endpoints);
                advertised.replace(version, endpoints.clone(), &changes);
                ToAgent::BackendsChanged { base, version, changes }
            }
            None => {
                let advertised = AdvertisedEndpoints::new(version, endpoints.clone());
                let digest = advertised.digest_message();
                state.endpoints = Some(advertised);
                digest
            }
        };
        state.broadcast(now, &message);
    }

    /// The advertised list was read again, unchanged, under this version.
    pub fn confirm_endpoints(&self, version: BackendListVersion) {
        let now = self.clock.now();
        let mut state = self.state();
        if let Some(advertised) = &mut state.endpoints {
            advertised.version = version;
        }
        state.broadcast(now, &ToAgent::BackendsConfirmed { version });
    }

    /// Sends an agent the full list.
    pub fn send_endpoints(&self, id: AgentConnectionId) {
        let now = self.clock.now();
        let mut state = self.state();
        let Some(frames) = state.endpoints.as_mut().map(AdvertisedEndpoints::full_frames) else { return };
        let Some(connection) = state.connections.get_mut(&id) else { return };
        connection.last_sent = now;
        frames.into_iter().for_each(|frame| connection.send_frame(frame));
    }

    /// Sends an agent the digest of the list.
    pub fn send_endpoints_digest(&self, id: AgentConnectionId) {
        if let Some(message) = self.with_advertised(AdvertisedEndpoints::digest_message) {
            self.send_to(id, &message);
        }
    }

    /// Sends an agent the content of the list in a range, for it to find the differences from its own.
    pub fn send_range_content(&self, id: AgentConnectionId, range: KeyRange) {
        let content = self.with_advertised(|advertised| (advertised.version, advertised.content(range)));
        let Some((version, content)) = content else { return };
        self.send_to(id, &ToAgent::BackendsRange { version, range, content });
    }

    /// Sends an agent the endpoints with these keys, which differ from its own.
    pub fn send_repair(&self, id: AgentConnectionId, keys: Vec<u64>) {
        let entries = self.with_advertised(|advertised| (advertised.version, advertised.with_keys(&keys)));
        let Some((version, backends)) = entries else { return };
        log::info!("list {version}: an agent differed in {} backends; repaired", keys.len());
        self.send_to(id, &ToAgent::BackendsRepaired { version, keys, backends });
    }

    fn with_advertised<T>(&self, read: impl FnOnce(&AdvertisedEndpoints) -> T) -> Option<T> {
        self.state().endpoints.as_ref().map(read)
    }

    /// Sends heartbeats where nothing else was sent, disconnects agents that are timed out, and removes nodes that are gone. To be
    /// called every [`SWEEP_INTERVAL`].
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        state.nodes.retain(|_, last_received| now < *last_received + NODE_EXPIRY);
        state.broadcast_node_count(now);
        state.broadcast_digest(now);
        let heartbeat = encode_frame(&ToAgent::Heartbeat);
        for connection in state.connections.values_mut() {
            if now >= connection.last_received + RECEIVE_TIMEOUT {
                log::info!("agent of {}: timed out, dropped", connection.identity.node);
                connection.close();
            } else if now >= connection.last_sent + HEARTBEAT_AFTER {
                connection.last_sent = now;
                connection.send_frame(heartbeat.clone());
            }
        }
    }

    /// How many nodes carry traffic, as far as this coordinator knows.
    pub fn node_count(&self) -> u32 {
        self.state().node_count()
    }

    /// How many agents are connected.
    pub fn connection_count(&self) -> usize {
        self.state().connections.len()
    }

    /// How many connections agents have opened since the start.
    pub fn connections_opened(&self) -> u64 {
        self.state().connections_so_far
    }

    /// The status of each connected agent, by the names of their nodes.
    pub fn status(&self) -> Vec<AgentStatus> {
        let now = self.clock.now();
        let state = self.state();
        let newest = state.committed.as_ref().map_or(0, |entry| entry.sequence.get());
        let status = |connection: &AgentConnection| AgentStatus {
            node: connection.identity.node.clone(),
            zone: connection.identity.zone.clone(),
            applied_sequence: connection.applied_sequence,
            lag: newest.saturating_sub(connection.applied_sequence.get()),
            last_received_ms_ago: now.saturating_sub(connection.last_received).as_millis() as u64,
        };
        let mut agents: Vec<AgentStatus> = state.connections.values().map(status).collect();
        agents.sort_by(|one, other| one.node.cmp(&other.node));
        agents
    }

    fn state(&self) -> MutexGuard<'_, AgentsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AgentsState {
    fn node_count(&self) -> u32 {
        self.nodes.len() as u32
    }

    fn view_message(&self) -> ToAgent {
        let (number, members) =
            self.view.as_ref().map_or((0, Vec::new()), |view| (view.number.get(), core_members(view)));
        let has_quorum_contact = self.role.has_quorum_contact;
        ToAgent::View { number, members, nodes: self.node_count(), has_quorum_contact }
    }

    fn broadcast_view(&mut self, now: Duration) {
        self.sent_node_count = self.node_count();
        let message = self.view_message();
        self.broadcast(now, &message);
    }

    /// Sends the view if the number of nodes in it has changed.
    fn broadcast_node_count(&mut self, now: Duration) {
        if self.node_count() != self.sent_node_count {
            self.broadcast_view(now);
        }
    }

    /// Sends the digest of the list if that is due.
    fn broadcast_digest(&mut self, now: Duration) {
        let is_due = now >= self.digest_sent_at + DIGEST_INTERVAL;
        let Some(advertised) = self.endpoints.as_ref().filter(|_| is_due) else { return };
        let message = advertised.digest_message();
        self.digest_sent_at = now;
        self.broadcast(now, &message);
    }

    /// The state in force, except for what is large: agents request that.
    fn snapshot_frames(&self) -> Vec<Bytes> {
        let mut messages = vec![self.view_message()];
        let available = |entry: &Arc<Entry>| ToAgent::ConfigurationAvailable {
            sequence: configuration_sequence(entry.sequence),
        };
        messages.extend(self.committed.as_ref().map(available));
        messages.extend(self.endpoints.as_ref().map(AdvertisedEndpoints::digest_message));
        messages.iter().map(encode_frame).collect()
    }

    /// Sends the newest configuration to those whose requests it answers.
    fn answer_requests(&mut self, now: Duration) {
        let Some(entry) = self.committed.clone() else { return };
        for request in self.requests.take_answerable(entry.sequence) {
            let frame = self.configuration_frame.get_or_insert_with(|| encode_configuration(&entry)).clone();
            if let Some(connection) = self.connections.get_mut(&request.connection) {
                connection.last_sent = now;
                let (request_id, sequence) = (request.id.number(), configuration_sequence(entry.sequence));
                connection.send(&ToAgent::NewestConfiguration { request_id, sequence });
                connection.send_frame(frame);
            }
        }
    }

    fn broadcast(&mut self, now: Duration, message: &ToAgent) {
        if self.connections.is_empty() {
            return;
        }
        let frame = encode_frame(message);
        for connection in self.connections.values_mut() {
            connection.last_sent = now;
            connection.send_frame(frame.clone());
        }
    }
}

fn core_members(view: &View) -> Vec<CoreMember> {
    let core_member = |member: &Member| CoreMember {
        id: member.id.get(),
        address: member.address,
        zone: member.zone.clone(),
    };
    members_in_order(view).into_iter().map(core_member).collect()
}

/// The sequence of a committed entry, as messages to agents have it.
fn configuration_sequence(sequence: Sequence) -> ConfigurationSequence {
    ConfigurationSequence(sequence.get())
}

fn encode_configuration(entry: &Entry) -> Bytes {
    let document = entry.change.document.to_vec();
    encode_frame(&ToAgent::Configuration { sequence: configuration_sequence(entry.sequence), document })
}
