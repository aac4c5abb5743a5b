//! The lifecycle of a request: arrival, deadline, timers and final response.

use super::probing::{MAX_PROBE_COST, MAX_PROBE_ROUNDS};
use super::{Balancer, RETRY_SHARE, SMOOTHING};
use crate::interface::*;
use crate::state::{Request, Server};
use std::time::Duration;

impl Balancer {
    /// Handles an arriving request. `upload` is the maximum time for a body that is forwarded while it
    /// arrives.
    pub(super) fn on_request(
        &mut self,
        new: NewRequest,
        upload: Option<Duration>,
        actions: &mut Vec<Action>,
    ) {
        if self.requests.contains_key(&new.id) {
            return; // Ids are unique: a duplicate must not replace a request that is owed its response.
        }
        let class = self.classes.add_request(new.class, self.now);
        let upload = upload.map(|within| within.min(MAX_DURATION));
        let deadline = self.response_deadline(&new, &self.classes[class], upload);
        let relative_cost = self.average_cost.record(new.cost, SMOOTHING / 8.0);
        self.arrived_cost.add(self.now, relative_cost);
        self.request_rate.add(self.now, 1.0);
        self.retry_tokens = (self.retry_tokens + RETRY_SHARE).min(2.0 / RETRY_SHARE);
        let tokens_per_request = MAX_PROBE_COST / self.settings.prices.probe.max(1e-9);
        self.probe_tokens = (self.probe_tokens + tokens_per_request).min(self.fleet.len() as f64);
        let request = Request {
            class,
            cost: new.cost,
            relative_cost,
            deadline,
            probe_rounds: self.initial_probe_rounds(),
            upload_timeout: upload,
            ..Default::default()
        };
        self.requests.insert(new.id, request);
        if self.cannot_meet_deadline(new.cost, deadline) || self.is_throttled() {
            return self.finish(new.id, actions);
        }
        actions.push(Action::SetTimer { after: deadline - self.now, token: new.id.0 });
        self.dispatch(new.id, actions);
    }

    /// The deadline for the final response: the latency target or, if a late response still has value, the
    /// time at which the client gives up.
    fn response_deadline(&self, new: &NewRequest, class: &Class, upload: Option<Duration>) -> Duration {
        // The timer may be a tick late, and the response must arrive before the client gives up.
        let client_leaves = self.now + new.remaining.saturating_sub(2 * self.settings.tick);
        let stretch = new.cost.unwrap_or_default().mul_f64(class.latency_target_stretch.min(1e3));
        let target = if class.late_value > 0.0 { new.remaining } else { class.latency_target + stretch };
        let deadline = client_leaves.min(self.now + target) + upload.unwrap_or_default();
        deadline.min(self.shutdown_deadline.max(self.now))
    }

    /// Whether a request would be late even at an idle server, given the current slowdown.
    fn cannot_meet_deadline(&mut self, cost: Option<Duration>, deadline: Duration) -> bool {
        // While most servers are idle an attempt is still worthwhile, as costs are not exact.
        let longest = (deadline - self.now) * if self.own_traffic.busy_fraction() < 0.5 { 2 } else { 1 };
        let cannot_meet = cost.is_some_and(|cost| cost.as_secs_f64() * self.slowdown > longest.as_secs_f64());
        if cannot_meet {
            // Without attempts a recovery would go unnoticed, so the slowdown decays with each rejection.
            self.slowdown += (1.0 - self.slowdown) * SMOOTHING / 8.0;
        }
        cannot_meet
    }

    /// Whether adaptive throttling rejects this request, by a random draw.
    fn is_throttled(&mut self) -> bool {
        let fraction = if self.has_many_peers() { self.throttle.rejection_fraction(self.now) } else { 0.0 };
        let throttled = fraction > 0.0 && self.fleet.random() < fraction;
        if throttled {
            self.throttle.record_rejection(self.now);
        }
        throttled
    }

    /// The initial count of probe rounds: the maximum, which allows none, if load is not learned from probes.
    fn initial_probe_rounds(&self) -> u32 {
        if self.settings.learns_load_from_probes() { 0 } else { MAX_PROBE_ROUNDS }
    }

    /// Handles the end of an upload: the time of the request and of its attempts starts now.
    pub(super) fn on_uploaded(&mut self, id: RequestId, remaining: Duration, actions: &mut Vec<Action>) {
        let remaining = remaining.min(MAX_DURATION).saturating_sub(2 * self.settings.tick);
        let is_uploading = |request: &&mut Request| !request.is_closed && request.upload_timeout.is_some();
        let Some(request) = self.requests.get_mut(&id).filter(is_uploading) else { return };
        let class = &self.classes[request.class];
        let target = if class.late_value > 0.0 { remaining } else { remaining.min(class.latency_target) };
        request.deadline = request.deadline.min(self.now + target).min(self.shutdown_deadline.max(self.now));
        request.attempts.iter_mut().for_each(|attempt| attempt.sent = self.now);
        actions.push(Action::SetTimer { after: request.deadline - self.now, token: id.0 });
    }

    /// Handles the start of a shutdown. The node closes all connections after `within`: no deadline is later.
    pub(super) fn on_shutdown(&mut self, within: Duration, actions: &mut Vec<Action>) {
        self.shutdown_deadline = self.shutdown_deadline.min(self.now + within.min(MAX_DURATION));
        let deadline = self.shutdown_deadline;
        let is_later = |request: &Request| !request.is_closed && request.deadline > deadline;
        for (id, request) in self.requests.iter_mut().filter(|(_, request)| is_later(request)) {
            request.deadline = deadline;
            actions.push(Action::SetTimer { after: deadline - self.now, token: id.0 });
        }
    }

    /// Handles a timer, of a request or of the server list.
    pub(super) fn on_timer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.request_list_if_due(actions);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if self.now >= request.deadline {
            return self.finish(id, actions);
        }
        if self.waiting_for_probes.contains(&id) {
            request.probe_rounds = MAX_PROBE_ROUNDS; // The maximum wait for probes is over.
            self.waiting_for_probes.retain(|waiting| *waiting != id);
        }
        if request.hedge_at.is_some_and(|at| self.now >= at) {
            self.hedge(id);
        }
        self.dispatch(id, actions);
    }

    /// Decides whether a hedged attempt that is due may be sent.
    fn hedge(&mut self, id: RequestId) {
        let probe_rounds = self.initial_probe_rounds();
        let Some(request) = self.requests.get_mut(&id) else { return };
        let last = request.attempts.last().and_then(|attempt| self.fleet.get(&attempt.server.id));
        // The last attempt is probably lost if its server is unresponsive or failed recently.
        let is_lost = |server: &Server| {
            server.failure_rate > SMOOTHING / 2.0
                || server.is_unresponsive(self.now, 2.0 * self.response_time)
        };
        let hedge = match self.classes[request.class].attempt_policy.hedging {
            Hedging::Automatic => last.is_some_and(is_lost) || self.own_traffic.busy_fraction() < 0.5,
            _ => request.is_in_flight() && self.classes.hedges_left(request.class) >= 1.0,
        };
        (request.hedge_at, request.may_hedge) = (None, hedge && !self.restrictions.no_hedging);
        request.probe_rounds = probe_rounds;
    }

    /// Sends the final response of a request without success: a rejection if a retry by the client is safe,
    /// else a failure. This is the only place that does.
    pub(super) fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let is_owed = |request: &&Request| !request.is_closed && !request.is_streaming;
        let Some(request) = self.requests.get(&id).filter(is_owed) else { return };
        if request.is_in_flight() && self.now < request.deadline {
            return; // The attempt in flight may still get a response.
        }
        let class = &self.classes[request.class];
        let is_retry_safe = match class.repeat {
            Repeat::Safe | Repeat::Keyed { scope: Scope::All, .. } => true,
            _ => !request.may_have_run(),
        };
        let retry_after = class.attempt_policy.retry_after.or(self.settings.limits.max_retry_after);
        actions.push(if is_retry_safe { Action::Refuse { id, retry_after } } else { Action::Fail { id } });
        self.close(id, actions);
    }

    /// Closes a request: nothing more is sent for it. Its attempts in flight are cancelled where the site
    /// permits it, and it is removed once they have ended.
    pub(super) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.waiting_for_probes.retain(|waiting| *waiting != id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.is_closed && self.settings.limits.cancel && !request.is_streaming {
            let attempts = request.attempts.iter().enumerate();
            let in_flight = attempts.filter(|(_, attempt)| attempt.outcome.is_none());
            actions.extend(in_flight.map(|(number, _)| Action::Cancel { id, attempt: number as u32 }));
        }
        request.is_closed = true;
        if !request.is_in_flight() {
            self.classes.remove_request(request.class);
            self.requests.remove(&id);
        }
    }
}
