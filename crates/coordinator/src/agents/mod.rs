//! The connected agents, and the state that is distributed to all of them.

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

/// How often [`Agents::sweep`] has to be called. An agent to which nothing was sent for about this long is
/// sent a heartbeat.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(450);
/// A heartbeat is due after a little less than the interval, so that a sweep that runs slightly early still
/// sends it.
const HEARTBEAT_AFTER: Duration = SWEEP_INTERVAL.saturating_sub(Duration::from_millis(45));
/// An agent from which nothing arrives for this long is disconnected.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// A node counts as carrying traffic for this long after its agent's last message.
const NODE_EXPIRY: Duration = Duration::from_secs(10);
/// How often agents are sent the digest of the endpoint list, which they compare with that of their own list.
const DIGEST_INTERVAL: Duration = Duration::from_secs(2);

/// The status of a connected agent, for operators. Some fields keep their older names in JSON by
/// `serde(rename)`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The name of the agent's node.
    pub node: String,
    /// The zone of the agent's machine.
    pub zone: String,
    /// The sequence of the configuration that the agent's proxy has applied; 0 if none.
    #[serde(rename = "in_force")]
    pub applied_sequence: Sequence,
    /// The difference between the newest committed sequence and the applied one.
    pub lag: u64,
    /// How long ago the agent's last message arrived, in milliseconds.
    #[serde(rename = "heard_ms_ago")]
    pub last_received_ms_ago: u64,
}

/// The connected agents, and the state that is distributed to them.
pub struct Agents {
    clock: Clock,
    state: Mutex<AgentsState>,
    /// Notified when an agent requests the newest configuration.
    read_index_needed: Notify,
}

#[derive(Default)]
struct AgentsState {
    connections: HashMap<AgentConnectionId, AgentConnection>,
    connections_opened: u64,
    /// The nodes that carry traffic, with the time of the last message from each node's agent.
    nodes: BTreeMap<String, Duration>,
    /// The number of nodes that was last broadcast to agents.
    sent_node_count: u32,
    view: Option<Arc<View>>,
    role: RoleStatus,
    committed: Option<Arc<Entry>>,
    /// The encoded newest configuration, cached once an agent has been sent it.
    configuration_frame: Option<Bytes>,
    requests: PendingConfigurationRequests,
    endpoints: Option<AdvertisedEndpoints>,
    digest_sent_at: Duration,
}

impl Agents {
    /// Starts without connections, configuration or endpoint list.
    pub fn new(clock: Clock) -> Self {
        Agents { clock, state: Mutex::default(), read_index_needed: Notify::new() }
    }

    /// Adds an agent that has connected, and sends it the current state.
    pub fn connect(&self, identity: AgentIdentity, outgoing: FrameWriter) -> AgentConnectionId {
        let now = self.clock.now();
        let mut state = self.state();
        state.nodes.insert(identity.node.clone(), now);
        state.connections_opened += 1;
        let id = AgentConnectionId::new(state.connections_opened);
        let connection = AgentConnection::new(identity, outgoing, now);
        // The other agents are sent the new number of nodes by the next sweep, because a whole fleet may
        // connect at once.
        for frame in state.snapshot_frames() {
            connection.send_frame(frame);
        }
        state.connections.insert(id, connection);
        id
    }

    /// Removes a connection that has ended. Its node still counts as carrying traffic until it expires.
    pub fn disconnect(&self, id: AgentConnectionId) {
        let mut state = self.state();
        state.connections.remove(&id);
        state.requests.remove(id);
    }

    /// Stops counting a node as carrying traffic, because it has shut down gracefully.
    pub fn remove_node(&self, node: &str) {
        let now = self.clock.now();
        let mut state = self.state();
        state.nodes.remove(node);
        state.broadcast_node_count(now);
    }

    /// Records that a message has arrived from an agent.
    pub fn record_received(&self, id: AgentConnectionId) {
        let now = self.clock.now();
        let mut state = self.state();
        let Some(connection) = state.connections.get_mut(&id) else { return };
        connection.last_received = now;
        let node = connection.identity.node.clone();
        state.nodes.insert(node, now);
    }

    /// Records that an agent's proxy has applied the configuration with this sequence.
    pub fn record_applied(&self, id: AgentConnectionId, sequence: Sequence) {
        if let Some(connection) = self.state().connections.get_mut(&id) {
            connection.applied_sequence = sequence;
        }
    }

    /// Records an agent's request for the newest configuration, which has to have at least this sequence. The
    /// agent is sent it once a majority has confirmed, after this call, which one is the newest, and this
    /// coordinator has it.
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

    /// Waits until an agent has requested the newest configuration, so that a read index is needed.
    pub async fn read_index_needed(&self) {
        self.read_index_needed.notified().await;
    }

    /// Starts a read index for all requests that have arrived so far. `None` if no request needs one.
    pub fn begin_read_index(&self) -> Option<ReadIndexTicket> {
        self.state().requests.begin_read_index()
    }

    /// Applies a confirmed read index: this sequence was the newest at some moment since the ticket was
    /// issued.
    pub fn complete_read_index(&self, ticket: ReadIndexTicket, sequence: Sequence) {
        let now = self.clock.now();
        let mut state = self.state();
        state.requests.complete_read_index(ticket, sequence);
        state.answer_requests(now);
    }

    /// Sends a message to one agent; nothing if its connection has ended.
    pub fn send_to(&self, id: AgentConnectionId, message: &ToAgent) {
        let now = self.clock.now();
        if let Some(connection) = self.state().connections.get_mut(&id) {
            connection.last_sent = now;
            connection.send(message);
        }
    }

    /// Queues a message on the connection of every agent.
    pub fn broadcast(&self, message: &ToAgent) {
        let now = self.clock.now();
        self.state().broadcast(now, message);
    }

    /// The endpoints that are advertised to agents; `None` if there is no list yet.
    pub fn endpoints(&self) -> Option<Arc<Vec<Backend>>> {
        self.with_advertised(|advertised| advertised.endpoints.clone())
    }

    /// The names of the nodes that carry traffic, as far as this coordinator knows.
    pub fn node_names(&self) -> BTreeSet<String> {
        self.state().nodes.keys().cloned().collect()
    }

    /// Applies a new view and broadcasts it.
    pub fn set_view(&self, view: Arc<View>) {
        let now = self.clock.now();
        let mut state = self.state();
        state.view = Some(view);
        state.broadcast_view(now);
    }

    /// Applies a change of this member's role. Broadcasts the view message if quorum contact or the number of
    /// nodes has changed.
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

    /// Applies a newly committed configuration: announces it to all agents and answers the requests that wait
    /// for it.
    pub fn set_committed(&self, entry: Arc<Entry>) {
        let now = self.clock.now();
        let mut state = self.state();
        let sequence = configuration_sequence(entry.sequence);
        state.committed = Some(entry);
        state.configuration_frame = None;
        state.answer_requests(now);
        state.broadcast(now, &ToAgent::ConfigurationAvailable { sequence });
    }

    /// Replaces the advertised list and broadcasts the differences, or the digest if it is the first list.
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

    /// Broadcasts that the advertised list was read again, unchanged, and now has this version.
    pub fn confirm_endpoints(&self, version: BackendListVersion) {
        let now = self.clock.now();
        let mut state = self.state();
        if let Some(advertised) = &mut state.endpoints {
            advertised.version = version;
        }
        state.broadcast(now, &ToAgent::BackendsConfirmed { version });
    }

    /// Sends an agent the full endpoint list, if there is one.
    pub fn send_endpoints(&self, id: AgentConnectionId) {
        let now = self.clock.now();
        let mut state = self.state();
        let Some(frames) = state.endpoints.as_mut().map(AdvertisedEndpoints::full_frames) else { return };
        let Some(connection) = state.connections.get_mut(&id) else { return };
        connection.last_sent = now;
        frames.into_iter().for_each(|frame| connection.send_frame(frame));
    }

    /// Sends an agent the digest of the endpoint list, if there is one.
    pub fn send_endpoints_digest(&self, id: AgentConnectionId) {
        if let Some(message) = self.with_advertised(AdvertisedEndpoints::digest_message) {
            self.send_to(id, &message);
        }
    }

    /// Sends an agent the content of the endpoint list in a range of keys, so that it can locate the
    /// differences from its own list.
    pub fn send_range_content(&self, id: AgentConnectionId, range: KeyRange) {
        let content = self.with_advertised(|advertised| (advertised.version, advertised.content(range)));
        let Some((version, content)) = content else { return };
        self.send_to(id, &ToAgent::BackendsRange { version, range, content });
    }

    /// Sends an agent the endpoints with these keys, in which its own list differs. Keys without an endpoint
    /// are those that the agent has to remove.
    pub fn send_repair(&self, id: AgentConnectionId, keys: Vec<u64>) {
        let entries = self.with_advertised(|advertised| (advertised.version, advertised.with_keys(&keys)));
        let Some((version, backends)) = entries else { return };
        log::info!("list {version}: repairing {} entries that differ in an agent's list", keys.len());
        self.send_to(id, &ToAgent::BackendsRepaired { version, keys, backends });
    }

    fn with_advertised<T>(&self, read: impl FnOnce(&AdvertisedEndpoints) -> T) -> Option<T> {
        self.state().endpoints.as_ref().map(read)
    }

    /// Does the periodic work: expires nodes, broadcasts the digest when due, disconnects agents that have
    /// timed out, and sends heartbeats to those that were sent nothing else. Has to be called every
    /// [`SWEEP_INTERVAL`].
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        state.nodes.retain(|_, last_received| now < *last_received + NODE_EXPIRY);
        state.broadcast_node_count(now);
        state.broadcast_digest(now);
        let heartbeat = encode_frame(&ToAgent::Heartbeat);
        for connection in state.connections.values_mut() {
            if now >= connection.last_received + RECEIVE_TIMEOUT {
                let (node, timeout) = (&connection.identity.node, RECEIVE_TIMEOUT.as_secs());
                log::info!("agent of {node}: disconnecting, no message within {timeout} s");
                connection.close();
            } else if now >= connection.last_sent + HEARTBEAT_AFTER {
                connection.last_sent = now;
                connection.send_frame(heartbeat.clone());
            }
        }
    }

    /// The number of nodes that carry traffic, as far as this coordinator knows.
    pub fn node_count(&self) -> u32 {
        self.state().node_count()
    }

    /// The number of open connections of agents.
    pub fn connection_count(&self) -> usize {
        self.state().connections.len()
    }

    /// The number of connections that agents have opened since this process started.
    pub fn connections_opened(&self) -> u64 {
        self.state().connections_opened
    }

    /// The status of each connected agent, in the order of their nodes' names.
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

    /// Broadcasts the view message if the number of nodes that it carries has changed.
    fn broadcast_node_count(&mut self, now: Duration) {
        if self.node_count() != self.sent_node_count {
            self.broadcast_view(now);
        }
    }

    /// Broadcasts the digest of the endpoint list if it is due.
    fn broadcast_digest(&mut self, now: Duration) {
        let is_due = now >= self.digest_sent_at + DIGEST_INTERVAL;
        let Some(advertised) = self.endpoints.as_ref().filter(|_| is_due) else { return };
        let message = advertised.digest_message();
        self.digest_sent_at = now;
        self.broadcast(now, &message);
    }

    /// The current state for a new connection. Of the configuration and the endpoint list only the sequence
    /// and the digest are included: agents request the content if they lack it.
    fn snapshot_frames(&self) -> Vec<Bytes> {
        let mut messages = vec![self.view_message()];
        let available = |entry: &Arc<Entry>| ToAgent::ConfigurationAvailable {
            sequence: configuration_sequence(entry.sequence),
        };
        messages.extend(self.committed.as_ref().map(available));
        messages.extend(self.endpoints.as_ref().map(AdvertisedEndpoints::digest_message));
        messages.iter().map(encode_frame).collect()
    }

    /// Sends the newest configuration to the agents whose requests it answers.
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

/// Converts the sequence of a committed entry to the type of the messages to agents.
fn configuration_sequence(sequence: Sequence) -> ConfigurationSequence {
    ConfigurationSequence(sequence.get())
}

fn encode_configuration(entry: &Entry) -> Bytes {
    let document = entry.change.document.to_vec();
    encode_frame(&ToAgent::Configuration { sequence: configuration_sequence(entry.sequence), document })
}
