//! The capacity of servers relative to each other, learned from load reports. A server that reports more than
//! the average load gets a lower weight in draws, and so does its machine kind, until all servers have the
//! same load. Used where a node sends to each server too seldom for its own counts to show load.

use crate::state::Server;

/// The step of a report in the log weight of its server, and in that of the server's kind, which the reports
/// of all servers of the kind adjust.
const STEP: f64 = 0.25;
const KIND_STEP: f64 = 0.06;
/// The step of a late response: a server that has become slow responds late at the same load as others.
const LATE_STEP: f64 = 1.0;
/// The maximum log weight of a server or a kind, and negated the minimum of a kind. The range of kinds is limited
/// because the average load may be distorted by a kind that fails.
const MAX_WEIGHT: f64 = 1.0;
/// Negated, the minimum log weight of a server. It then still gets a twentieth of the draws of a server at 0,
/// so that load reports continue.
const MAX_REDUCTION: f64 = 3.0;
/// The weight of a report in the average load.
const SMOOTHING: f64 = 1.0 / 8.0;
/// A load is far above the average if it exceeds this multiple of the average plus this number of requests.
const FAR_ABOVE_FACTOR: f64 = 1.5;
const FAR_ABOVE_MARGIN: f64 = 2.0;

/// The average load, and the log weights of machine kinds. The average starts at 0, so a node that has just
/// started avoids servers with any load until some reports have arrived.
pub struct Weights {
    /// Moving average of all reported loads, in requests.
    average_load: f64,
    /// The log weight of each machine kind.
    kinds: [f64; 256],
}

impl Default for Weights {
    fn default() -> Self {
        Weights { average_load: 0.0, kinds: [0.0; 256] }
    }
}

impl Weights {
    /// Recomputes the log weight of a server from its own deviation and the weight of its kind.
    pub fn apply(&self, server: &mut Server) {
        server.log_weight = server.log_deviation + self.kinds[usize::from(server.entry.kind)];
    }

    /// Records a load report, in requests.
    pub fn record_load(&mut self, server: &mut Server, load: f64) {
        self.average_load += (load - self.average_load) * SMOOTHING;
        let difference = (self.average_load - load) / (self.average_load + 1.0);
        let kind = &mut self.kinds[usize::from(server.entry.kind)];
        *kind = (*kind + KIND_STEP * difference).clamp(-MAX_WEIGHT, MAX_WEIGHT);
        server.log_deviation = (server.log_deviation + STEP * difference).clamp(-MAX_REDUCTION, MAX_WEIGHT);
        self.apply(server);
    }

    /// Records a late response: the server has more load than it can serve, whatever it reports.
    pub fn record_late(&self, server: &mut Server) {
        server.log_deviation = (server.log_deviation - LATE_STEP).max(-MAX_REDUCTION);
        self.apply(server);
    }

    /// Whether a load is far above the average, which indicates overload.
    pub fn is_far_above_average(&self, load: f64) -> bool {
        load > FAR_ABOVE_FACTOR * self.average_load + FAR_ABOVE_MARGIN
    }
}

#[cfg(test)]
mod tests;
