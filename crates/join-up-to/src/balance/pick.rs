//! Server selection: filters servers by health and load, and applies Join-Up-To(m) to the rest. Neither sends
//! nor rejects requests.

use super::Balancer;
use crate::interface::*;
use crate::join;
use crate::state::Server;
use std::time::Duration;

/// Minimum size of the subset of servers that a node uses, for power-of-d choices and tolerance of failures.
const MIN_SUBSET: usize = 5;
/// From this number of nodes on, an overloaded server has fewer than one request of each node in flight, so a
/// node can't tell it from an idle one by its own sends.
const MANY_NODES: u32 = 8;

impl Balancer {
    /// Whether a server is neither ejected nor unresponsive. After an ejection it gets one request at a time
    /// until one is served.
    pub(super) fn is_healthy(&self, server: &Server) -> bool {
        server.ejected_until.is_none_or(|until| self.now >= until && server.in_flight == 0)
            && !server.is_unresponsive(self.now, 2.0 * self.response_time)
    }

    /// The load of a server: its recent report, or this node's attempts in flight if that is higher.
    pub(super) fn load(&self, server: &Server) -> f64 {
        let in_flight = f64::from(server.in_flight) / server.relative_capacity();
        self.recent_load(server).map_or(in_flight, |load| load.max(in_flight))
    }

    /// The load that a recent probe returned, plus this node's sends since. `None` where load is not learned
    /// from probes: reports that arrive with responses are too old.
    pub(super) fn recent_load(&self, server: &Server) -> Option<f64> {
        let load =
            server.load.filter(|load| self.settings.learns_load_from_probes() && self.is_recent(load.at));
        load.map(|load| load.requests)
    }

    /// Whether a report from this time is still valid. A queue turns over within about one response time.
    fn is_recent(&self, at: Duration) -> bool {
        (self.now - at).as_secs_f64() <= self.response_time / 4.0
    }

    /// Whether so many nodes share the servers that this node's sends do not show their load. Load reports
    /// and the margin of responses are used instead.
    pub(super) fn has_many_peers(&self) -> bool {
        self.settings.nodes >= MANY_NODES && self.settings.capacity_source == CapacitySource::Learned
    }

    /// Whether idle reports expire: other nodes send to the servers too, and cheap probes renew the reports.
    pub(super) fn idle_reports_expire(&self) -> bool {
        self.settings.learns_load_from_probes() && self.settings.nodes > 1
    }

    /// The subset of servers that this node sends to and probes. It is small enough that each server gets two
    /// sends within `overload_time`; with fewer, no idle report would arrive to reset an estimate. It changes
    /// only with the list: a node that changed its servers would open a new connection for each request, and
    /// servers accept a limited number of connections.
    pub(super) fn subset(&self) -> &[ServerId] {
        let span = self.settings.rules.overload_time.as_secs_f64();
        let size = (self.request_rate.per_s_since_first(self.now, span.max(1.0)) * span / 2.0) as usize;
        &self.fleet.ready[..size.max(MIN_SUBSET).min(self.fleet.ready.len())]
    }

    /// The servers to select from: those with a recent report, else the subset, else all servers if none of
    /// the subset can be used. Unhealthy servers are returned only if there is no healthy one.
    pub(super) fn candidates(&mut self, id: RequestId) -> Vec<ServerId> {
        let Some(request) = self.requests.get(&id) else { return Vec::new() };
        let is_permitted =
            |id: &ServerId| self.fleet.get(id).is_some_and(|server| self.permits(server, request));
        let is_healthy = |id: &ServerId| self.is_healthy(&self.fleet[id]);
        let mut reporting = self.fleet.reporting.clone();
        reporting.retain(|id| is_permitted(id) && is_healthy(id));
        if !reporting.is_empty() {
            return reporting;
        }
        let is_usable = |id: &ServerId| is_permitted(id) && is_healthy(id) && self.fleet[id].has_capacity();
        let subset = self.subset();
        let mut considered = if subset.iter().any(is_usable) { subset } else { &self.fleet.ready }.to_vec();
        considered.retain(is_permitted);
        let (healthy, unhealthy): (Vec<_>, _) = considered.into_iter().partition(is_healthy);
        if healthy.is_empty() { unhealthy } else { healthy }
    }

    /// Join-Up-To(m): the server with the lowest estimate strictly below m; ties are broken at random.
    pub(super) fn below_cap(&mut self, candidates: &[ServerId]) -> Option<ServerId> {
        let cap = self.own_traffic.cap();
        let ties = join::lowest_below(candidates, |id| self.estimate(&self.fleet[id], cap), cap)?;
        self.fleet.draw_weighted(&ties)
    }

    /// This node's sends since the last idle report, divided by the server's relative capacity. The count is
    /// the cap if idle reports expire and there is no recent one.
    fn estimate(&self, server: &Server, cap: u32) -> f64 {
        let has_recent_idle_report = server.last_idle_report_at.is_some_and(|at| self.is_recent(at));
        let is_expired = self.idle_reports_expire() && !has_recent_idle_report;
        f64::from(if is_expired { cap } else { server.estimate.value() }) / server.relative_capacity()
    }

    /// Removes overloaded servers: those at whose load most responses are late, or, with provided capacities,
    /// those without free capacity while others have some. Of the rest, keeps those with at most the average
    /// load.
    pub(super) fn without_overloaded(&self, mut candidates: Vec<ServerId>) -> Vec<ServerId> {
        let load = |id: &ServerId| self.load(&self.fleet[id]);
        let level = |id: &ServerId| load(id).round() as usize;
        match self.settings.capacity_source {
            CapacitySource::Learned => {
                candidates.retain(|id| level(id) == 0 || self.on_time_rates.at(level(id)) >= 0.5);
            }
            // The source of the capacities has admitted the request, so it is sent even without free
            // capacity.
            CapacitySource::Provided if candidates.iter().any(|id| self.fleet[id].has_capacity()) => {
                candidates.retain(|id| self.fleet[id].has_capacity());
            }
            CapacitySource::Provided => {}
        }
        let is_overloaded = |id: &ServerId| self.has_reported_overload(&self.fleet[id]);
        if self.has_many_peers() && !candidates.iter().all(is_overloaded) {
            candidates.retain(|id| !is_overloaded(id));
        }
        let average = candidates.iter().map(load).sum::<f64>() / candidates.len() as f64 + 1e-9;
        candidates.retain(|id| load(id) <= average);
        candidates
    }

    /// Whether a server recently reported a load far above the average. Reports lag, so one is used only for
    /// a short time.
    fn has_reported_overload(&self, server: &Server) -> bool {
        let validity = self.settings.rules.overload_time / 3;
        server.load.is_some_and(|load| {
            self.now.saturating_sub(load.at) < validity && self.weights.is_far_above_average(load.requests)
        })
    }
}
