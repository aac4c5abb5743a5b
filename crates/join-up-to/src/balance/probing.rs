//! Probes: requests for load reports of servers whose load is unknown, before one of them is selected.

use super::Balancer;
use crate::interface::*;
use std::time::Duration;

/// The maximum cost of probes as a fraction of the service, in the unit of `Prices::probe`. This is little
/// compared with the cost of sending without any report.
pub(super) const MAX_PROBE_COST: f64 = 0.01;
/// Maximum number of probe rounds of a request. With two probes in each, one request in ten finds no idle
/// server at a load of 0.8.
pub(super) const MAX_PROBE_ROUNDS: u32 = 5;
const PROBES_PER_ROUND: usize = 2;

impl Balancer {
    /// Starts a round of probes for a request, within the probe budget (`probe_tokens`). Returns whether the
    /// request waits for probe results.
    pub(super) fn probe(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let max = PROBES_PER_ROUND.min(self.probe_tokens as usize);
        let (mut sent, mut drawn) = (0, 0);
        let mut subset = if max > 0 { self.subset().to_vec() } else { Vec::new() };
        while sent < max && drawn < subset.len() {
            let server_id = self.fleet.draw_without_replacement(drawn, &mut subset);
            drawn += 1;
            let (Some(request), server) = (self.requests.get(&id), &self.fleet[&server_id]) else { break };
            let is_unknown = !server.is_probed && self.recent_load(server).is_none();
            if is_unknown && self.is_healthy(server) && self.permits(server, request) {
                sent += 1;
                self.fleet.record_probe(server_id);
                actions.push(Action::Probe { server: server_id });
            }
        }
        self.probe_tokens -= sent as f64;
        let waits = self.fleet.probes_in_flight > 0;
        let Some(request) = self.requests.get_mut(&id).filter(|_| waits) else { return false };
        request.probe_rounds += 1;
        self.waiting_for_probes.push(id);
        if request.probe_rounds == 1 {
            // A server that answers a probe later than this is not worth waiting for.
            let max_wait = Duration::from_secs_f64(self.response_time / 8.0).max(4 * self.settings.tick);
            actions.push(Action::SetTimer { after: max_wait, token: id.0 });
        }
        true
    }

    /// Handles the end of a probe: dispatches the waiting requests again. After the last probe in flight,
    /// none of them waits any longer.
    pub(super) fn on_probe_end(&mut self, end: ProbeEnd, actions: &mut Vec<Action>) {
        self.fleet.record_probe_end(end.server);
        if end.outcome == Outcome::Served {
            self.on_report(end.server, end.report);
        } else if matches!(end.outcome, Outcome::ConnectFailed | Outcome::Reset) {
            self.record_unreachable(end.server);
        }
        let is_last = self.fleet.probes_in_flight == 0;
        for id in self.waiting_for_probes.clone() {
            self.waiting_for_probes.retain(|waiting| !is_last || *waiting != id);
            self.dispatch(id, actions);
        }
    }
}
