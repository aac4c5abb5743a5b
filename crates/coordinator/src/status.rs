//! A coordinator's status, for operators.
//!
//! Operators' tools read it as JSON, in which some fields keep their older names by `serde(rename)`.

use crate::agents::AgentStatus;
use crate::index_audits::IndexStatus;
use crate::membership::members_in_order;
use crate::node::CoordinatorNode;
use control_protocol::BackendListVersion;
use replication::{Generation, Member, MemberId, Sequence, View, ViewNumber};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::time::Duration;

/// A coordinator from which a message arrived this recently is shown as reachable.
const CONTACT_WITHIN: Duration = Duration::from_secs(2);

/// The response to `GET /api/status`.
#[derive(Debug, Serialize, Deserialize)]
pub struct CoordinatorStatus {
    /// The name of the coordinator's node.
    pub node: String,
    /// The coordinator's member id, which is stored on its disk, in hex.
    pub member: String,
    /// Whether the coordinator has recently received messages from a quorum of the voters.
    #[serde(rename = "in_touch")]
    pub has_quorum_contact: bool,
    /// Whether the coordinator is the acting head of the chain.
    pub acting_head: bool,
    /// The newest view that the coordinator knows; `None` if it knows none yet.
    pub view: Option<ViewStatus>,
    /// The replicated configuration, as far as this coordinator knows it.
    pub configuration: ConfigurationStatus,
    /// The endpoint list, as far as this coordinator knows it.
    #[serde(rename = "backends")]
    pub endpoints: EndpointListStatus,
    /// The number of nodes that carry traffic, as far as this coordinator knows.
    pub nodes: u32,
    /// The agents connected to this coordinator, in the order of their nodes' names.
    pub agents: Vec<AgentStatus>,
    /// The audit of the index of prompt blocks; `None` unless it runs on this coordinator.
    #[serde(default)]
    pub index: Option<IndexStatus>,
}

/// A view of the core's membership.
#[derive(Debug, Serialize, Deserialize)]
pub struct ViewStatus {
    /// The number of the view; each new view has a higher one.
    pub number: ViewNumber,
    /// The members: the chain from head to tail, then the voters that are not in the chain.
    pub members: Vec<MemberStatus>,
}

/// A member of a view, as this coordinator knows it.
#[derive(Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member's id, which is stored on its disk, in hex.
    pub member: String,
    /// The name of the member's node; `None` until a message has arrived from it.
    pub node: Option<String>,
    /// The member's internal address, at which it listens for coordinators and agents.
    pub address: SocketAddrV4,
    /// The zone of the member's machine.
    pub zone: String,
    /// The member's position in the chain, starting with 1 for the head; `None` if it is only a voter.
    #[serde(rename = "place")]
    pub chain_position: Option<usize>,
    /// Whether a message arrived recently from the member. True for the coordinator itself.
    #[serde(rename = "heard")]
    pub has_recent_contact: bool,
}

/// The replicated configuration, as far as a coordinator knows it.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConfigurationStatus {
    /// The sequence of the newest entry on the coordinator's disk; 0 if none.
    #[serde(rename = "stored")]
    pub stored_sequence: Sequence,
    /// The sequence of the newest entry known to be committed; 0 if none.
    #[serde(rename = "committed")]
    pub committed_sequence: Sequence,
    /// The generation of the newest entry known to be committed; 0 if none.
    pub generation: Generation,
}

/// The endpoint list, as far as a coordinator knows it.
#[derive(Debug, Serialize, Deserialize)]
pub struct EndpointListStatus {
    /// The name of the node whose coordinator read the list last, if known.
    pub reader: Option<String>,
    /// The internal address of the coordinator that read the list last, if known.
    pub reader_address: Option<SocketAddrV4>,
    /// The version of the newest read; 0 if there is no list yet.
    pub version: BackendListVersion,
    /// How long ago the coordinator learned of the newest read, in milliseconds.
    pub age_ms: u64,
    /// The number of endpoints on the list.
    pub count: usize,
}

impl CoordinatorStatus {
    /// Collects the current status from a coordinator's components.
    pub fn of(node: &CoordinatorNode) -> Self {
        let replica = node.replica.status();
        let list = node.endpoints.summary();
        CoordinatorStatus {
            node: node.name.clone(),
            member: hex(replica.id),
            has_quorum_contact: replica.has_quorum_contact,
            acting_head: node.replica.role_status().borrow().acting_head,
            view: replica.view.as_ref().map(|view| ViewStatus::of(node, view)),
            configuration: ConfigurationStatus {
                stored_sequence: replica.stored,
                committed_sequence: replica.committed,
                generation: replica.generation,
            },
            endpoints: EndpointListStatus {
                reader: list.reader.and_then(|reader| node.peers.node_name(reader)),
                reader_address: list.reader,
                version: list.version,
                age_ms: list.age.as_millis() as u64,
                count: list.endpoints,
            },
            nodes: node.agents.node_count(),
            agents: node.agents.status(),
            index: node.index_audits.status(),
        }
    }
}

impl ViewStatus {
    fn of(node: &CoordinatorNode, view: &View) -> Self {
        let own_address = node.peers.own_address();
        let status = |member: &Member| MemberStatus {
            member: hex(member.id),
            node: node.peers.node_name(member.address),
            address: member.address,
            zone: member.zone.clone(),
            chain_position: view.chain.iter().position(|id| *id == member.id).map(|index| index + 1),
            has_recent_contact: member.address == own_address
                || node.peers.has_recent_contact(member.address, CONTACT_WITHIN),
        };
        ViewStatus { number: view.number, members: members_in_order(view).into_iter().map(status).collect() }
    }
}

fn hex(id: MemberId) -> String {
    format!("{:016x}", id.get())
}
