//! The messages on the internal port: the first frame of a connection, and the messages between coordinators.
//! The messages of agents after the first frame are in [`control_protocol`].
//!
//! Some types keep their older names on the wire by `serde(rename)`.

use control_protocol::{Backend, BackendChanges, BackendListVersion};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The first frame of a connection, which identifies the client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Hello {
    /// A coordinator, which continues with [`PeerMessage`]s. Nothing is sent back on this connection.
    Peer {
        /// The [`control_protocol::VERSION`] of the sender; connections of other versions are rejected.
        version: u16,
        /// The name of the coordinator's node.
        node: String,
        /// The address at which the coordinator itself listens.
        address: SocketAddrV4,
    },
    /// An agent. Encoded in the same bytes as [`control_protocol::FromAgent::Hello`].
    #[serde(rename = "Hello")]
    Agent {
        /// The [`control_protocol::VERSION`] of the sender; connections of other versions are rejected.
        version: u16,
        /// The name of the agent's node.
        node: String,
        /// The address of the agent's machine.
        ip: Ipv4Addr,
        /// The zone of the agent's machine.
        zone: String,
        /// The sequence of the configuration that the agent has; 0 if none.
        #[serde(rename = "have")]
        configuration_sequence: u64,
    },
}

/// A message from one coordinator to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message from one replica to another.
    Replica(replication::Message),
    /// The result of a read of the platform's list.
    #[serde(rename = "Backends")]
    EndpointList(EndpointListUpdate),
    /// Requests the full list: the sender lacks the one on which an update builds, or has just started.
    #[serde(rename = "BackendsWanted")]
    EndpointListRequest,
    /// The sender is shutting down: others have to take over its work.
    Leaving,
}

/// The result of a read of the platform's list, with the content as far as it is new.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointListUpdate {
    /// The version of the read that first saw this content.
    #[serde(rename = "content")]
    pub content_version: BackendListVersion,
    /// The version of the newest read that saw this content.
    pub version: BackendListVersion,
    /// How the receiver obtains the content.
    #[serde(rename = "body")]
    pub content: EndpointListContent,
}

/// The content of an endpoint list, in full or relative to a list that was sent before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EndpointListContent {
    /// The content is the same as that sent before under the content version.
    #[serde(rename = "Same")]
    Unchanged,
    /// The differences from a base list.
    Changes {
        /// The version of the read that first saw the base list.
        base: BackendListVersion,
        /// The differences of the new list from the base list.
        changes: BackendChanges,
    },
    /// All endpoints on the list, for a receiver that lacks the base of the changes.
    #[serde(rename = "Whole")]
    Full(#[serde(with = "control_protocol::backend_table")] Vec<Backend>),
}
