//! The components of a coordinator, as its interfaces and background tasks use them.

use crate::agents::Agents;
use crate::clock::Clock;
use crate::endpoints::EndpointRegistry;
use crate::index_audits::IndexAudits;
use crate::outcome_counters::OutcomeCounters;
use crate::peers::Peers;
use crate::quotas::Quotas;
use crate::replica_driver::ReplicaDriver;
use std::sync::Arc;

/// The components of one coordinator process.
pub struct CoordinatorNode {
    /// The name of the node, from its settings.
    pub name: String,
    /// The replica of the configuration register, with the driver that runs it.
    pub replica: ReplicaDriver,
    /// The connections to other coordinators.
    pub peers: Arc<Peers>,
    /// The connected agents and the state that they are sent.
    pub agents: Arc<Agents>,
    /// The list of endpoints that the platform runs.
    pub endpoints: Arc<EndpointRegistry>,
    /// The allocation of the tenants' rate limits to nodes.
    pub quotas: Quotas,
    /// The audit of the fleet's index of cached prompt blocks.
    pub index_audits: Arc<IndexAudits>,
    /// The counters of requests by outcome.
    pub counters: OutcomeCounters,
    /// The monotonic clock that all components share.
    pub clock: Clock,
}
