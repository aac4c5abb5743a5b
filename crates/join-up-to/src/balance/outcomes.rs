//! The end of an attempt: retries, and updates of load, health and response times from its outcome and
//! report.

use super::{Balancer, SMOOTHING};
use crate::interface::*;
use crate::join::ServerActivity;
use crate::state::ReportedLoad;
use std::time::Duration;

/// What an attempt adds to the failure rate of its server, from 0 to 1.
const FAILED: f64 = 1.0;
const NEARLY_LATE: f64 = 0.5;
const SERVED: f64 = 0.0;

/// An attempt that has ended, with its timing relative to the request's deadline.
struct EndedAttempt {
    server: ServerId,
    outcome: Outcome,
    elapsed: Duration,
    /// Whether it used up all its time: up to the request's deadline or its own time-out.
    is_overdue: bool,
    /// Whether it ended in the last quarter of the time up to the deadline.
    is_nearly_late: bool,
    /// The load of the server at the send, rounded.
    load_level: usize,
    /// The cost of the request relative to the average.
    relative_cost: f64,
}

impl EndedAttempt {
    /// Whether it got no response in time, which shows that the server is too slow.
    fn is_late(&self) -> bool {
        self.is_overdue && matches!(self.outcome, Outcome::TimedOut | Outcome::Cancelled)
    }
}

impl Balancer {
    /// Handles the end of an attempt: updates the statistics, then closes the request or tries again.
    pub(super) fn on_attempt_end(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let has_many_peers = self.has_many_peers();
        let Some(request) = self.requests.get_mut(&end.id) else { return };
        let Some(attempt) = request.attempts.get_mut(end.attempt as usize) else { return };
        if attempt.outcome.replace(end.outcome).is_some() {
            return;
        }
        let elapsed = end.elapsed.min(MAX_DURATION);
        let is_served = end.outcome == Outcome::Served;
        let is_past_deadline = request.deadline <= self.now && elapsed.as_secs_f64() >= self.response_time;
        let policy = &self.classes[request.class].attempt_policy;
        let hit_attempt_timeout = end.outcome == Outcome::TimedOut && policy.attempt_timeout.is_some();
        let available = request.deadline - attempt.sent;
        let ended = EndedAttempt {
            server: attempt.server.id,
            outcome: end.outcome,
            elapsed,
            is_overdue: is_past_deadline || hit_attempt_timeout,
            is_nearly_late: 4 * elapsed > 3 * available,
            load_level: attempt.load_level,
            relative_cost: request.relative_cost,
        };
        if has_many_peers && (is_served || ended.is_overdue) {
            let available = available.as_secs_f64().max(1e-3);
            let used = if is_served { elapsed.as_secs_f64() / available } else { 1.0 };
            self.throttle.record_attempt(self.now, 1.0 - used);
        }
        if let (0, Some(cost), true) = (ended.load_level, request.cost, ended.is_overdue || is_served) {
            let ratio = elapsed.as_secs_f64() / cost.as_secs_f64().max(1e-3);
            self.slowdown += (ratio - self.slowdown) * SMOOTHING * ended.relative_cost.min(1.0);
        }
        let is_finished = end.finished || request.is_closed;
        self.fleet.record_attempt_end(ended.server, ended.outcome, self.now);
        self.on_report(ended.server, end.report);
        self.record_outcome(&ended);
        if is_finished {
            self.close(end.id, actions);
        } else {
            self.retry_or_finish(end.id, actions);
        }
    }

    /// Retries a request after a failed attempt, at once or after a backoff. Finishes it now if no retry will
    /// be possible at that time.
    fn retry_or_finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let policy = self.classes[request.class].attempt_policy;
        if policy == AttemptPolicy::default() || request.is_in_flight() {
            return self.dispatch(id, actions);
        }
        let wait = policy.backoff.map_or(Duration::ZERO, |backoff| {
            let jitter = backoff.jitter.min(1.0) * self.fleet.random();
            backoff.max_delay_after(request.attempts.len() as u32).mul_f64(1.0 - jitter)
        });
        let at = self.now + wait;
        if !self.may_retry_at(request, at) || !self.has_budget(request) {
            return self.finish(id, actions);
        }
        if wait.is_zero() {
            return self.dispatch(id, actions);
        }
        if self.candidates(id).is_empty() {
            return self.finish(id, actions);
        }
        self.requests.entry(id).and_modify(|request| {
            (request.backoff_until, request.hedge_at, request.may_hedge) = (Some(at), None, false);
        });
        actions.push(Action::SetTimer { after: wait, token: id.0 });
    }

    /// Updates response times, on-time rates and the server's health from an ended attempt.
    fn record_outcome(&mut self, ended: &EndedAttempt) {
        let (server, outcome) = (ended.server, ended.outcome);
        if outcome == Outcome::Served {
            self.response_time += (ended.elapsed.as_secs_f64() - self.response_time) * SMOOTHING / 4.0;
            if self.fleet.get(&server).is_some_and(|server| self.warm_fraction(server) >= 1.0) {
                self.served_cost.add(self.now, ended.relative_cost);
            }
        }
        let is_late = ended.is_late();
        if is_late && self.has_many_peers() {
            self.fleet.modify(server, |server| self.weights.record_late(server));
        }
        match outcome {
            Outcome::Served if !ended.is_nearly_late => {
                self.on_time_rates.record_on_time(ended.load_level, SMOOTHING);
            }
            _ if is_late || matches!(outcome, Outcome::Served | Outcome::Rejected) => {
                self.on_time_rates.record_late(ended.load_level, SMOOTHING);
            }
            _ => {}
        }
        match outcome {
            Outcome::Served => {
                let failure = if ended.is_nearly_late { NEARLY_LATE } else { SERVED };
                self.record_health(server, failure, SMOOTHING * 2.0);
            }
            Outcome::ConnectFailed => self.record_health(server, FAILED, 0.5),
            Outcome::Error | Outcome::Reset => self.record_health(server, FAILED, SMOOTHING * 2.0),
            _ if is_late => self.record_health(server, FAILED, SMOOTHING * 2.0),
            _ => {}
        }
    }

    /// Records that the connection of a probe failed or was lost.
    pub(super) fn record_unreachable(&mut self, server: ServerId) {
        self.record_health(server, FAILED, 1.0);
    }

    /// Updates a server's failure rate and ejects the server if it is an outlier. `failure` is from 0 to 1,
    /// `weight` is the weight of this observation in the moving average.
    fn record_health(&mut self, id: ServerId, failure: f64, weight: f64) {
        let Some(server) = self.fleet.get_mut(&id) else { return };
        server.failure_rate += (failure - server.failure_rate) * weight;
        let (failure_rate, was_ejected) = (server.failure_rate, server.ejected_until.take().is_some());
        let ready = || self.fleet.ready.iter().map(|id| &self.fleet[id]);
        // Where all servers fail, none of them is at fault.
        let is_outlier = || {
            let sum = ready().map(|server| server.failure_rate).sum::<f64>();
            failure_rate > 0.5 && failure_rate > 1.5 * sum / ready().count() as f64
        };
        // At most half of the servers are ejected.
        let may_eject =
            || 2 * ready().filter(|server| server.ejected_until.is_some()).count() + 2 <= ready().count();
        if failure == FAILED && (was_ejected || is_outlier() && may_eject()) {
            let time = self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
            self.fleet.modify(id, |server| server.ejected_until = Some(self.now + time));
        }
    }

    /// Records a load report. It is an idle report if nothing is in flight, or, where only the queue length
    /// is reported, if the queue is empty.
    pub(super) fn on_report(&mut self, id: ServerId, report: Option<LoadReport>) {
        let (from_probes, has_many_peers) = (self.settings.learns_load_from_probes(), self.has_many_peers());
        let (Some(report), Some(server)) = (report, self.fleet.get_mut(&id)) else { return };
        let Some(load) = report.in_flight.or(report.queue).filter(|l| l.is_finite()) else { return };
        let load = f64::from(load.max(0.0));
        server.load = Some(ReportedLoad { requests: load, at: self.now });
        if has_many_peers {
            self.weights.record_load(server, load);
        }
        let activity = if load < 0.5 { ServerActivity::Idle } else { ServerActivity::Busy };
        self.own_traffic.record_report(activity, server.estimate);
        if activity == ServerActivity::Idle {
            server.estimate.record_idle();
            server.last_idle_report_at = Some(self.now);
        }
        if from_probes {
            self.fleet.mark_reporting(id);
        }
    }
}
