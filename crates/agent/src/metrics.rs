//! The metrics of an agent. Its main loop updates them.

use crate::state::AgentState;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use role_runtime::metrics::{MetricsSource, counter, gauge};
use std::time::Duration;

/// The metrics of one agent, with the registry that they are exposed from.
pub struct AgentMetrics {
    registry: Registry,
    view: Gauge,
    configuration_sequence: Gauge,
    in_force: Gauge,
    announced: Gauge,
    configuration_lag: Gauge,
    links: Gauge,
    links_made: Counter,
    list_version: Gauge,
    proxy: Gauge,
}

impl Default for AgentMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("marlwinch_agent");
        let mut gauge = |name: &str, help: &str| gauge(&mut registry, name, help);
        let view = gauge("view", "Number of the newest view received from a coordinator");
        let configuration_sequence =
            gauge("configuration_sequence", "Sequence number of the newest configuration received");
        let in_force =
            gauge("in_force_sequence", "Sequence number of the configuration in force at the proxy");
        let announced = gauge(
            "announced_sequence",
            "Sequence number of the newest configuration announced by a coordinator",
        );
        let configuration_lag = gauge(
            "configuration_lag_milliseconds",
            "How long an announced configuration has not been in force at the proxy; 0 if the newest one is",
        );
        let links = gauge("links", "Number of links to coordinators that are up");
        let list_version = gauge("list_version", "Version of the list of backends");
        let proxy = gauge("proxy", "Whether the proxy is connected, 0 or 1");
        let links_made =
            counter(&mut registry, "links_made", "Links to coordinators established since the start");
        AgentMetrics {
            registry,
            view,
            configuration_sequence,
            in_force,
            announced,
            configuration_lag,
            links,
            links_made,
            list_version,
            proxy,
        }
    }
}

impl AgentMetrics {
    /// Counts a link that has just come up.
    pub fn count_link(&self) {
        self.links_made.inc();
    }

    /// Sets the gauges to the state of the agent.
    pub fn update(&self, now: Duration, state: &AgentState) {
        let status = state.status();
        self.view.set(status.view as i64);
        self.configuration_sequence.set(state.configuration_sequence().number() as i64);
        self.in_force.set(status.in_force.number() as i64);
        self.announced.set(status.announced.number() as i64);
        self.configuration_lag.set(state.configuration_lag(now).as_millis() as i64);
        self.links.set(status.links as i64);
        self.list_version.set(status.list_version.number() as i64);
        self.proxy.set(i64::from(state.has_proxy()));
    }
}

impl MetricsSource for AgentMetrics {
    fn refresh(&self) {}

    fn registry(&self) -> &Registry {
        &self.registry
    }
}
