//! Messages between an agent and a coordinator, over a long-lived connection that the agent opens.

use crate::backend::Backend;
use crate::backend_list_version::BackendListVersion;
use crate::backends::{BackendChanges, BackendList};
use crate::configuration_sequence::ConfigurationSequence;
use crate::index::IndexChange;
use crate::quota::{QuotaRequest, QuotaResponse};
use range_digest::{KeyRange, RangeContent, RangeDigest};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// A coordinator that is a member of the agreed view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoreMember {
    /// The identifier of the member, which it keeps for as long as it keeps its disk.
    pub id: u64,
    /// The address at which it accepts connections from agents and other coordinators.
    pub address: SocketAddrV4,
    /// The zone of the member's machine.
    pub zone: String,
}

/// A message from an agent to a coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromAgent {
    /// The first message of a connection.
    Hello {
        /// The sender's protocol version, [`crate::VERSION`].
        version: u16,
        /// The name of the node that the agent runs on.
        node: String,
        /// The address of the node's machine.
        ip: std::net::Ipv4Addr,
        /// The zone of the node's machine.
        zone: String,
        /// The sequence number of the newest configuration that the agent has received; 0 for none.
        #[serde(rename = "have")]
        configuration_sequence: ConfigurationSequence,
    },
    /// Requests the configuration with this sequence number or a newer one.
    #[serde(rename = "Fetch")]
    FetchConfiguration {
        /// The lowest acceptable sequence number.
        sequence: ConfigurationSequence,
        /// Identifies the request; unique within the agent's process.
        #[serde(rename = "question")]
        request_id: u64,
    },
    /// States that the proxy has this configuration in force.
    #[serde(rename = "InForce")]
    ConfigurationApplied {
        /// The sequence number of that configuration; higher is newer.
        sequence: ConfigurationSequence,
    },
    /// Requests quota from the tenants' limits. Only the quota leader responds.
    #[serde(rename = "Demands")]
    QuotaRequest(QuotaRequest),
    /// States that another coordinator has sent the agent a list of this version, which is newer than the
    /// last list of this coordinator. Keeps the versions of coordinators that cannot reach each other from
    /// falling behind.
    BackendsSeen {
        /// The version of the list from the other coordinator.
        version: BackendListVersion,
    },
    /// Requests the complete list of backends. Sent if the agent has no list to compare, or if too many
    /// backends differ.
    FetchBackends,
    /// Requests the digest of the coordinator's list, to compare it with a list from another coordinator.
    FetchBackendsDigest,
    /// Requests the content of a range of keys, after the digests of the two lists have differed.
    CompareBackends {
        /// The version of the list.
        version: BackendListVersion,
        /// A range of backend keys ([`Backend::key`]).
        range: KeyRange,
    },
    /// Requests the entries of backends that were found to differ.
    #[serde(rename = "WantBackends")]
    RequestBackends {
        /// The version of the list.
        version: BackendListVersion,
        /// The keys of the backends ([`Backend::key`]).
        keys: Vec<u64>,
    },
    /// Changes of the node's index of prompt blocks. Sent only to the head of the chain, which audits the
    /// index.
    IndexChanges {
        /// Whether this message is the first of those that send the complete index again.
        restart: bool,
        /// The new states of blocks. A block that is no longer cached has no tokens.
        changes: Vec<IndexChange>,
    },
    /// The node shuts down gracefully: its proxy has ended and admits no more requests. The last message of a
    /// connection.
    Leaving {
        /// Whether the proxy was in contact with the quota leader until its end, so that the leader knows all
        /// of its use.
        #[serde(rename = "settled")]
        quota_use_reported: bool,
    },
    /// Keeps the connection alive while the agent has nothing else to send.
    Heartbeat,
}

/// A message from a coordinator to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// The view that the coordinators have agreed on. The first message of a connection; sent again after
    /// each change.
    View {
        /// The number of the view; higher is newer.
        number: u64,
        /// The members. The first one is the head of the chain.
        members: Vec<CoreMember>,
        /// The number of nodes that this coordinator knows to carry traffic.
        nodes: u32,
        /// Whether this coordinator has recently been in contact with a majority of the voters.
        #[serde(rename = "in_touch")]
        has_quorum_contact: bool,
    },
    /// Announces the newest committed configuration.
    #[serde(rename = "Available")]
    ConfigurationAvailable {
        /// The sequence number of the configuration; higher is newer.
        sequence: ConfigurationSequence,
    },
    /// States that the next configuration on this connection was the newest one at a moment after the
    /// request.
    #[serde(rename = "Newest")]
    NewestConfiguration {
        /// The [`FromAgent::FetchConfiguration`] that this responds to.
        #[serde(rename = "question")]
        request_id: u64,
        /// The sequence number that a majority has confirmed to be the newest after the request arrived.
        sequence: ConfigurationSequence,
    },
    /// The requested configuration. Follows [`ToAgent::NewestConfiguration`].
    Configuration {
        /// The sequence number of that configuration; higher is newer.
        sequence: ConfigurationSequence,
        /// The operator's JSON document.
        #[serde(with = "serde_bytes")]
        document: Vec<u8>,
    },
    /// The complete list of backends. Responds to [`FromAgent::FetchBackends`].
    Backends(BackendList),
    /// The differences between the previous list and a newer one. Sent on every connection.
    BackendsChanged {
        /// The version of the list to which the changes apply.
        base: BackendListVersion,
        /// The version of the list that results from the changes.
        version: BackendListVersion,
        /// The backends to alter in the list of version `base`.
        changes: BackendChanges,
    },
    /// The platform's list was read again and is unchanged.
    BackendsConfirmed {
        /// The version of the new read, which becomes that of the list.
        version: BackendListVersion,
    },
    /// The digest of the coordinator's list, which the agent compares with that of its own list. Sent when a
    /// connection opens, every few seconds, and in response to [`FromAgent::FetchBackendsDigest`].
    BackendsDigest {
        /// The version of the list.
        version: BackendListVersion,
        /// The digest of the complete list, as computed by [`crate::list_digest`].
        digest: RangeDigest,
    },
    /// The content of a range of the coordinator's list. Responds to [`FromAgent::CompareBackends`].
    BackendsRange {
        /// The version of the list.
        version: BackendListVersion,
        /// A range of backend keys ([`Backend::key`]).
        range: KeyRange,
        /// The entries of the range, or the digests of its parts.
        content: RangeContent,
    },
    /// The entries of the coordinator's list that were requested by [`FromAgent::RequestBackends`]. A
    /// requested backend without an entry here is not on the list.
    #[serde(rename = "BackendsMended")]
    BackendsRepaired {
        /// The version of the list.
        version: BackendListVersion,
        /// The keys of the request, whether the list has entries for them or not.
        keys: Vec<u64>,
        /// The entries of those requested backends that are on the list.
        #[serde(with = "crate::backend_table")]
        backends: Vec<Backend>,
    },
    /// Requests the node's complete index of prompt blocks, as the auditor does not have it.
    #[serde(rename = "IndexWanted")]
    IndexRequested,
    /// Corrections of the node's index after an audit.
    IndexCorrections(Vec<IndexChange>),
    /// Grants of quota from the tenants' limits. Responds to [`FromAgent::QuotaRequest`].
    #[serde(rename = "Allotments")]
    QuotaResponse(QuotaResponse),
    /// Keeps the connection alive while the coordinator has nothing else to send.
    Heartbeat,
}
