//! Slow start: limits the rate of requests to servers that have started recently.

use super::Balancer;
use crate::state::{Request, Server};
use std::time::Duration;

impl Balancer {
    /// Rule 4: a server in slow start gets no more requests than this node's share of its current capacity.
    pub(super) fn slow_start_permits(&self, server: &Server, request: &Request) -> bool {
        self.warm_fraction(server) >= 1.0 || self.slow_start_credit(server) >= request.relative_cost.max(1.0)
    }

    /// The guaranteed fraction of a server's full capacity. It rises linearly to 1 during slow start.
    pub(super) fn warm_fraction(&self, server: &Server) -> f64 {
        let rules = &self.settings.rules;
        let Some(started) = server.entry.started else { return 1.0 };
        let age = self.now.saturating_sub(started).as_secs_f64();
        let progress = age / rules.slow_start.as_secs_f64().max(1e-6);
        (rules.initial_capacity + (1.0 - rules.initial_capacity) * progress).min(1.0)
    }

    /// The cost that may still be sent to a server in slow start, relative to the average cost of a request.
    /// This node's share of the allowance is a multiple of the rate at which a server past slow start serves
    /// it: over all nodes these rates add up to less than a server's capacity.
    pub(super) fn slow_start_credit(&self, server: &Server) -> f64 {
        let rules = &self.settings.rules;
        // Half of the permitted multiple is the refill rate, half may be saved up: no period exceeds it.
        let rate = rules.overload_factor / 2.0 * self.warm_fraction(server) * self.warm_server_rate;
        let max = (rate * rules.overload_time.as_secs_f64()).max(1.0);
        server.slow_start_credit.refilled(self.now, rate, max).tokens
    }

    /// The rate at which a server past slow start serves this node, in requests of average cost per second.
    /// If all servers are in slow start, the arrival rate divided by the number of servers.
    pub(super) fn served_per_warm_server(&mut self) -> f64 {
        if self.now >= self.slow_start_check_at {
            self.update_warming_up();
        }
        let warm = self.fleet.ready.len() - self.fleet.warming_up.len();
        let (total, servers) =
            if warm > 0 { (&self.served_cost, warm) } else { (&self.arrived_cost, self.fleet.len()) };
        total.per_s(self.now) / servers.max(1) as f64
    }

    /// Removes servers that have completed slow start from `warming_up`, and schedules the next check.
    fn update_warming_up(&mut self) {
        let mut warming_up = std::mem::take(&mut self.fleet.warming_up);
        warming_up.retain(|id| self.warm_fraction(&self.fleet[id]) < 1.0);
        let first = warming_up.iter().filter_map(|id| self.fleet[id].entry.started).min();
        let warm_at = first.map(|at| at.saturating_add(self.settings.rules.slow_start));
        self.slow_start_check_at = warm_at.map_or(Duration::MAX, |at| at.max(self.now + self.settings.tick));
        self.fleet.warming_up = warming_up;
    }
}
