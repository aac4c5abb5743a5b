//! Messages between an agent and the proxy on its machine, over loopback. The proxy opens the connection.

use crate::backends::BackendList;
use crate::configuration_sequence::ConfigurationSequence;
use crate::index::IndexChange;
use crate::quota::{QuotaRequest, QuotaResponse};
use serde::{Deserialize, Serialize};

/// A message from a proxy to the agent on its machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromProxy {
    /// The first message of a connection.
    Hello {
        /// The sender's protocol version, [`crate::VERSION`].
        version: u16,
        /// The sequence number of the configuration in force; 0 for none.
        in_force: ConfigurationSequence,
    },
    /// States that the proxy has this configuration in force.
    #[serde(rename = "InForce")]
    ConfigurationApplied {
        /// The sequence number of that configuration; higher is newer.
        sequence: ConfigurationSequence,
    },
    /// Requests quota from the tenants' limits. Sent every [`QUOTA_REQUEST_INTERVAL_MS`].
    #[serde(rename = "Demands")]
    QuotaRequest(QuotaRequest),
    /// Changes of the index of prompt blocks. Sent only if the index is audited.
    IndexChanges {
        /// Whether this message is the first of those that send the complete index again.
        restart: bool,
        /// The new states of blocks. A block that is no longer cached has no tokens.
        changes: Vec<IndexChange>,
    },
    /// Keeps the connection alive while the proxy has nothing else to send.
    Heartbeat,
}

/// A message from an agent to its proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToProxy {
    /// A configuration that is newer than all others that were sent on this connection.
    Configuration {
        /// The sequence number; higher is newer. A proxy never applies a configuration that is older than the
        /// one in force.
        sequence: ConfigurationSequence,
        /// The operator's JSON document.
        #[serde(with = "serde_bytes")]
        document: Vec<u8>,
    },
    /// The complete list of backends. Sent after each change.
    Backends(BackendList),
    /// How current the agent's list is. Sent when the platform's list was read again and is unchanged, or
    /// could not be read.
    #[serde(rename = "Link")]
    ControlPlaneStatus {
        /// The time since the agent's list was last confirmed, in milliseconds.
        #[serde(rename = "list_age_ms")]
        endpoints_age_ms: u64,
        /// Whether the agent has a link to a coordinator that is in contact with a majority of the voters.
        #[serde(rename = "in_touch")]
        has_quorum_contact: bool,
    },
    /// Requests the complete index of prompt blocks, as the auditor does not have it.
    #[serde(rename = "IndexWanted")]
    IndexRequested,
    /// Corrections of the index after an audit.
    IndexCorrections(Vec<IndexChange>),
    /// Grants of quota from the tenants' limits. Responds to [`FromProxy::QuotaRequest`].
    #[serde(rename = "Allotments")]
    QuotaResponse(QuotaResponse),
    /// The number of nodes that are known to carry traffic. Sent after each change.
    Nodes {
        /// The number of nodes, including this one.
        nodes: u32,
    },
    /// Keeps the connection alive while the agent has nothing else to send.
    Heartbeat,
}

/// The interval at which a proxy sends a [`QuotaRequest`], in milliseconds.
pub const QUOTA_REQUEST_INTERVAL_MS: u64 = 400;
