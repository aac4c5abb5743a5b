//! Dispatch: selects a server for a request's first or next attempt and sends it.

use super::Balancer;
use super::probing::MAX_PROBE_ROUNDS;
use super::rules::AttemptKind;
use crate::interface::*;
use crate::state::{Attempt, Request, TokenBucket};
use std::time::Duration;

impl Balancer {
    /// Sends the next attempt of a request, defers it, or finishes the request if no attempt is possible.
    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| r.is_dispatchable()) else { return };
        let (has_attempts, is_waiting) =
            (!request.attempts.is_empty(), self.waiting_for_probes.contains(&id));
        if request.backoff_until.is_some_and(|until| self.now < until) && self.now < request.deadline {
            return;
        }
        if self.now >= request.deadline || has_attempts && !self.has_budget(request) {
            return self.finish(id, actions);
        }
        let may_probe = !is_waiting && request.probe_rounds < MAX_PROBE_ROUNDS;
        self.warm_server_rate = self.served_per_warm_server();
        let recent = Duration::from_secs_f64(self.response_time / 4.0);
        self.fleet.forget_reports_before(self.now.saturating_sub(recent));
        // Without a recent report all estimates are at the cap, so servers are not compared before probing.
        let no_reports = may_probe && self.idle_reports_expire() && self.fleet.reporting.is_empty();
        if no_reports && self.probe(id, actions) {
            return;
        }
        let candidates = self.candidates(id);
        if candidates.is_empty() && !has_attempts {
            // No server is listed, or only servers in slow start without allowance left: try again soon.
            let after = Duration::from_secs_f64(self.response_time / 8.0).max(self.settings.tick);
            return actions.push(Action::SetTimer { after, token: id.0 });
        }
        let candidates = self.without_overloaded(candidates);
        let mut choice = self.below_cap(&candidates);
        if choice.is_none() && !is_waiting {
            if may_probe && self.probe(id, actions) {
                return;
            }
            choice = self.fleet.draw_weighted(&candidates); // All estimates have reached m.
        }
        match choice {
            Some(server) => self.send(id, server, actions),
            None if is_waiting => {}
            // All servers are too loaded to respond in time: reject now instead of after the deadline.
            None => self.finish(id, actions),
        }
    }

    /// Sends an attempt. This is the only place that does, so all rules are checked here once more.
    fn send(&mut self, id: RequestId, to: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let (Some(request), Some(server)) = (self.requests.get(&id), self.fleet.get(&to)) else { return };
        let is_allowed = self.has_attempts_left(request) && self.permits(server, request);
        if !request.is_dispatchable() || now >= request.deadline || !is_allowed {
            return self.finish(id, actions);
        }
        let policy = self.classes[request.class].attempt_policy;
        let upload = request.upload_timeout.unwrap_or_default();
        let max_duration = policy.attempt_timeout.unwrap_or(Duration::MAX).saturating_add(upload);
        let timeout = (request.deadline - now).min(max_duration);
        let credit = TokenBucket::new(self.slow_start_credit(server) - request.relative_cost, now);
        let load_level = self.load(server).round() as usize;
        let attempt = Attempt { server: server.entry, sent: now, load_level, outcome: None };
        let (class, hedged) = (request.class, request.is_next_hedged());
        let hedges = request.hedges + u32::from(hedged);
        let hedge_delay = self.hedge_delay(request, timeout, hedges);
        if !request.attempts.is_empty() {
            let kind = if hedged { AttemptKind::Hedged } else { AttemptKind::Retry };
            self.spend(class, kind);
        }
        self.requests.entry(id).and_modify(|request| {
            request.attempts.push(attempt);
            (request.may_hedge, request.hedges) = (false, hedges);
            request.hedge_at = hedge_delay.map(|delay| now + delay);
            request.backoff_until = None;
        });
        self.fleet.modify(to, |server| server.record_send(now, credit));
        actions.push(Action::Send { id, server: to, timeout });
        actions.extend(hedge_delay.map(|after| Action::SetTimer { after, token: id.0 }));
        self.waiting_for_probes.retain(|waiting| *waiting != id);
        self.own_traffic.record_send();
    }

    /// The delay between an attempt with this time-out and a hedged one; `None` for no hedging. `hedges` is
    /// the number of hedged attempts of the request so far.
    fn hedge_delay(&self, request: &Request, timeout: Duration, hedges: u32) -> Option<Duration> {
        let policy = self.classes[request.class].attempt_policy;
        let delay = match policy.hedging {
            Hedging::Automatic => {
                // The latest time at which a hedged attempt can still respond in time. No hedging while
                // servers are so slow that most requests would be hedged.
                let cost = request.cost.map_or(self.response_time, |cost| cost.as_secs_f64());
                let delay = timeout.saturating_sub(Duration::from_secs_f64(1.5 * cost));
                let is_rare = delay.as_secs_f64() >= 1.5 * cost || self.own_traffic.busy_fraction() < 0.5;
                let is_first = request.attempts.is_empty();
                (is_first && self.settings.limits.parallel_attempts && is_rare).then_some(delay)
            }
            Hedging::Never => None,
            Hedging::After { delay, max_per_request, .. } => {
                (hedges < max_per_request && delay < timeout).then_some(delay)
            }
        };
        delay.filter(|_| request.upload_timeout.is_none())
    }
}
