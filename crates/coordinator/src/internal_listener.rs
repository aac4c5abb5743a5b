//! The internal listener: accepts connections from other coordinators and from agents, and dispatches their
//! messages to the components of the node.

use crate::agents::{AgentConnectionId, AgentIdentity, ConfigurationRequestId};
use crate::index_audits::IndexReport;
use crate::node::CoordinatorNode;
use crate::peer_protocol::{Hello, PeerMessage};
use control_link::{FrameReader, LinkError, LinkStep};
use control_protocol::{FromAgent, QuotaRequest, ToAgent, VERSION};
use replication::{Input, Sequence};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// The time limit for the first frame of a connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Connections of coordinators on which nothing arrives for this long are closed. A coordinator that is still
/// alive opens another one when it has something to send.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum number of concurrent connections, so that clients can't exhaust the file descriptors.
const MAX_CONNECTIONS: usize = 1500;
/// The pause after a connection could not be accepted, for example because file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Accepts connections and serves each in a task of its own. Never returns.
pub async fn run(node: Arc<CoordinatorNode>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, peer)) => {
                let node = node.clone();
                tokio::spawn(async move {
                    serve_connection(node, stream, peer).await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!("internal listener: cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(node: Arc<CoordinatorNode>, stream: TcpStream, peer: SocketAddr) {
    if let Err(error) = control_link::configure_accepted(&stream) {
        log::debug!("connection from {peer}: cannot set socket options: {error}");
    }
    let (mut incoming, outgoing) = control_link::split(stream, peer);
    let hello = tokio::time::timeout(HELLO_TIMEOUT, incoming.next::<Hello>()).await;
    match hello {
        Ok(Ok(Hello::Peer { version, .. } | Hello::Agent { version, .. })) if version != VERSION => {
            log::warn!("connection from {peer}: rejected, protocol version {version}, expected {VERSION}");
        }
        Ok(Ok(Hello::Peer { node: name, address, .. })) => {
            let error = serve_peer(&node, &mut incoming, &name, address).await;
            log::debug!("coordinator {name} {address}: connection ended: {error}");
        }
        Ok(Ok(Hello::Agent { node: name, zone, configuration_sequence, .. })) => {
            log::info!("agent of {name} connected, has configuration sequence {configuration_sequence}");
            let id = node.agents.connect(AgentIdentity { node: name.clone(), zone }, outgoing);
            let error = serve_agent(&node, &mut incoming, id, &name).await;
            node.agents.disconnect(id);
            log::info!("agent of {name} disconnected: {error}");
        }
        Ok(Err(error)) => log::debug!("no valid first frame: {error}"),
        Err(_) => log::debug!("connection from {peer}: no first frame within {HELLO_TIMEOUT:?}"),
    }
}

async fn serve_peer(
    node: &CoordinatorNode,
    incoming: &mut FrameReader,
    name: &str,
    from: SocketAddrV4,
) -> LinkError {
    loop {
        let message = match tokio::time::timeout(PEER_IDLE_TIMEOUT, incoming.next::<PeerMessage>()).await {
            Ok(Ok(message)) => message,
            Ok(Err(error)) => return error,
            Err(_) => return LinkError::TimedOut(LinkStep::Read, incoming.peer()),
        };
        node.peers.record_received(from, name);
        match message {
            PeerMessage::Replica(message) => node.replica.handle(Input::Received { from, message }),
            PeerMessage::EndpointList(update) => node.endpoints.apply_update(from, update),
            PeerMessage::EndpointListRequest => node.endpoints.send_full_list(from),
            PeerMessage::Leaving => {
                log::info!("coordinator {name} {from} is shutting down");
                node.peers.record_leaving(from);
                node.endpoints.reconsider_reading();
            }
        }
    }
}

async fn serve_agent(
    node: &CoordinatorNode,
    incoming: &mut FrameReader,
    id: AgentConnectionId,
    name: &str,
) -> LinkError {
    loop {
        let message = match incoming.next::<FromAgent>().await {
            Ok(message) => message,
            Err(error) => return error,
        };
        node.agents.record_received(id);
        if let FromAgent::Leaving { quota_use_reported } = message {
            // If the allocator runs here, it releases the node's quota. Otherwise the node counts until it
            // expires, unless it has reported all its use of quota.
            let is_released = node.quotas.remove_node(name, node.clock.now());
            if quota_use_reported || is_released {
                node.agents.remove_node(name);
            }
            return LinkError::Closed(incoming.peer());
        }
        handle_agent_message(node, id, name, message);
    }
}

fn handle_agent_message(node: &CoordinatorNode, id: AgentConnectionId, name: &str, message: FromAgent) {
    match message {
        FromAgent::FetchConfiguration { sequence, request_id } => {
            let request = ConfigurationRequestId::new(request_id);
            node.agents.request_configuration(id, Sequence(sequence.number()), request);
        }
        FromAgent::ConfigurationApplied { sequence } => {
            node.agents.record_applied(id, Sequence(sequence.number()))
        }
        FromAgent::QuotaRequest(request) => respond_to_quota_request(node, id, name, &request),
        FromAgent::BackendsSeen { version } => {
            node.endpoints.observe_version(version);
        }
        FromAgent::FetchBackends => node.agents.send_endpoints(id),
        FromAgent::FetchBackendsDigest => node.agents.send_endpoints_digest(id),
        FromAgent::CompareBackends { range, .. } => node.agents.send_range_content(id, range),
        FromAgent::RequestBackends { keys, .. } => node.agents.send_repair(id, keys),
        FromAgent::IndexChanges { restart, changes } => {
            node.index_audits.apply_report(&IndexReport { frontend: name, restart, changes: &changes });
        }
        FromAgent::Leaving { .. } | FromAgent::Heartbeat | FromAgent::Hello { .. } => {}
    }
}

fn respond_to_quota_request(
    node: &CoordinatorNode,
    id: AgentConnectionId,
    name: &str,
    request: &QuotaRequest,
) {
    // Checked again here, because the process may have been suspended since the role was last published.
    if !node.replica.is_acting_head() {
        return;
    }
    let nodes = node.agents.node_count();
    if let Some(response) = node.quotas.respond(name, request, nodes, node.clock.now()) {
        node.agents.send_to(id, &ToAgent::QuotaResponse(response));
    }
}
