//! A coordinator's metrics. Gauges are set from its state when the metrics are requested; the counters are
//! those of [`OutcomeCounters`](crate::outcome_counters::OutcomeCounters).

use crate::node::CoordinatorNode;
use crate::status::CoordinatorStatus;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use role_runtime::metrics::{MetricsSource, gauge};
use std::sync::{Arc, Weak};

/// The metrics of a coordinator. They do not keep the coordinator alive.
pub struct CoordinatorMetrics {
    node: Weak<CoordinatorNode>,
    registry: Registry,
    gauges: CoordinatorGauges,
}

struct CoordinatorGauges {
    has_quorum_contact: Gauge,
    acting_head: Gauge,
    view: Gauge,
    chain_length: Gauge,
    committed_sequence: Gauge,
    stored_sequence: Gauge,
    generation: Gauge,
    list_version: Gauge,
    list_age_ms: Gauge,
    endpoints: Gauge,
    nodes: Gauge,
    agents: Gauge,
    agent_connections_opened: Gauge,
    index_mismatches: Gauge,
}

impl CoordinatorGauges {
    /// Registers the gauges. Metrics keep their older names, which differ from those of the fields.
    fn register(registry: &mut Registry) -> Self {
        let mut gauge = |name: &str, help: &str| gauge(registry, name, help);
        CoordinatorGauges {
            has_quorum_contact: gauge(
                "in_touch",
                "Whether messages from a majority of the voters arrived recently (1) or not (0)",
            ),
            acting_head: gauge(
                "acting_head",
                "Whether this coordinator is the acting head of the chain (1) or not (0)",
            ),
            view: gauge("view", "Number of the newest known view"),
            chain_length: gauge("chain_members", "Number of members in the chain"),
            committed_sequence: gauge(
                "committed_sequence",
                "Sequence of the newest entry known to be committed",
            ),
            stored_sequence: gauge("stored_sequence", "Sequence of the newest entry on this disk"),
            generation: gauge("generation", "Generation of the newest configuration known to be committed"),
            list_version: gauge("list_version", "Version of the list of backends"),
            list_age_ms: gauge(
                "list_age_milliseconds",
                "Time since this coordinator learned of the newest read of the list of backends",
            ),
            endpoints: gauge("backends", "Number of backends in the list"),
            nodes: gauge("nodes", "Number of frontend nodes known to carry traffic"),
            agents: gauge("agents", "Number of connected agents"),
            agent_connections_opened: gauge(
                "agent_links_made",
                "Number of connections opened by agents since the start",
            ),
            index_mismatches: gauge(
                "index_mismatches",
                "Number of mismatches of the index of prompt blocks in the status",
            ),
        }
    }
}

impl CoordinatorMetrics {
    /// Registers the metrics of a coordinator.
    pub fn new(node: &Arc<CoordinatorNode>) -> Self {
        let mut registry = Registry::with_prefix("marlwinch_coordinator");
        let gauges = CoordinatorGauges::register(&mut registry);
        node.counters.register(&mut registry);
        CoordinatorMetrics { node: Arc::downgrade(node), registry, gauges }
    }
}

impl MetricsSource for CoordinatorMetrics {
    fn refresh(&self) {
        let Some(node) = self.node.upgrade() else { return };
        let replica = node.replica.status();
        let list = node.endpoints.summary();
        let view = replica.view.as_ref();
        let gauges = &self.gauges;
        gauges.has_quorum_contact.set(i64::from(replica.has_quorum_contact));
        gauges.acting_head.set(i64::from(node.replica.is_acting_head()));
        gauges.view.set(view.map_or(0, |view| view.number.get() as i64));
        gauges.chain_length.set(view.map_or(0, |view| view.chain.len() as i64));
        gauges.committed_sequence.set(replica.committed.get() as i64);
        gauges.stored_sequence.set(replica.stored.get() as i64);
        gauges.generation.set(replica.generation.get() as i64);
        gauges.list_version.set(list.version.number() as i64);
        gauges.list_age_ms.set(list.age.as_millis() as i64);
        gauges.endpoints.set(list.endpoints as i64);
        gauges.nodes.set(i64::from(node.agents.node_count()));
        gauges.agents.set(node.agents.connection_count() as i64);
        gauges.agent_connections_opened.set(node.agents.connections_opened() as i64);
        let index = CoordinatorStatus::of(&node).index;
        gauges.index_mismatches.set(index.map_or(0, |index| index.mismatches.len()) as i64);
    }

    fn registry(&self) -> &Registry {
        &self.registry
    }
}
