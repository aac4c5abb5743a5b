//! Handling of events of attempts in flight, which update the state of their backends.

use super::{InFlightAttempt, Service};
use crate::backend::ReportedLoad;
use crate::health::Failure;
use crate::interface::*;
use crate::rejection;
use join_up_to::join::ServerActivity;
use rand::Rng;
use std::time::Duration;

/// The longest time between a backend's measurement of the load in a response head and the arrival of that
/// head.
const HEAD_LAG: Duration = Duration::from_millis(5);
/// The longest time between a backend's measurement of the load in a load report and the request for that
/// report.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// The factor by which the weight of earlier observations of the traffic share is multiplied at each
/// observation.
const DECAY: f64 = 0.995;

impl Service {
    /// Records that bytes of a response's body have arrived. Only the first call for an attempt counts as its
    /// first byte.
    pub fn response_started(&mut self, now: Duration, attempt: AttemptId) {
        let Some(in_flight) = self.attempts.get_mut(&attempt) else { return };
        let was_trial = std::mem::take(&mut in_flight.is_trial);
        let is_first = !std::mem::replace(&mut in_flight.has_started, true);
        let chain = std::mem::take(&mut in_flight.chain);
        let Some(&position) = self.positions.get(&in_flight.backend) else { return };
        self.backends[position].last_received = Some(now);
        self.prefix_cache.record_prefill(self.backends[position].number, &chain);
        if is_first {
            self.observe_first_byte(now, attempt, position);
            self.record_success(position, was_trial);
        }
    }

    /// Records the end of an attempt. `load` is the load in the head of its response, if any; it is ignored
    /// after [`Service::load_received`], which was called when the head arrived and so has its exact time.
    pub fn attempt_ended(&mut self, now: Duration, attempt: AttemptId, outcome: Outcome, load: Option<Load>) {
        if let Some(load) = load {
            self.load_received(now, attempt, load);
        }
        let Some(in_flight) = self.attempts.remove(&attempt) else { return };
        let Some(&position) = self.positions.get(&in_flight.backend) else { return };
        self.backends[position].in_flight = self.backends[position].in_flight.saturating_sub(1);
        self.backends[position].last_was_served = outcome == Outcome::Served;
        if outcome == Outcome::Served {
            self.prefix_cache.record_prefill(self.backends[position].number, &in_flight.chain);
            self.observe_first_byte(now, attempt, position);
        } else {
            self.backends[position].remove_pending(attempt);
        }
        match outcome {
            Outcome::Served if in_flight.has_started => self.apply_idle_signal(position, &in_flight),
            Outcome::Served => {
                self.record_success(position, in_flight.is_trial);
                self.apply_idle_signal(position, &in_flight);
            }
            Outcome::Failed | Outcome::Broken => {
                self.record_failure(now, position, Failure::Broken, in_flight.is_trial)
            }
            Outcome::NotConnected => {
                let number = self.backends[position].number;
                self.prefix_cache.remove_backend(number);
                self.record_failure(now, position, Failure::NoConnection, in_flight.is_trial);
            }
            // The instance was replaced. It is ejected until the list of backends reflects that.
            Outcome::Misdirected => {
                self.record_failure(now, position, Failure::NoConnection, in_flight.is_trial)
            }
            Outcome::Rejected => {
                rejection::record_rejection(&mut self.backends[position], now);
                self.backends[position].last_received = Some(now);
                // A backend that rejects requests is healthy, as it responds.
                self.record_success(position, in_flight.is_trial);
            }
            Outcome::Cancelled if in_flight.is_trial => self.backends[position].health.cancel_trial(),
            Outcome::Cancelled => {}
        }
    }

    /// Records the load in the head of a response. Whether it shows an idle backend is evaluated only once
    /// the attempt was served, as the response may still break off.
    pub fn load_received(&mut self, now: Duration, attempt: AttemptId, load: Load) {
        let Some(in_flight) =
            self.attempts.get_mut(&attempt).filter(|in_flight| in_flight.reported_load.is_none())
        else {
            return;
        };
        in_flight.reported_load = Some((load, now));
        let Some(&position) = self.positions.get(&in_flight.backend) else { return };
        self.reports_load = true;
        let backend = &mut self.backends[position];
        backend.last_received = Some(now);
        backend.reported_load =
            Some(ReportedLoad { load, received_at: now, sends_since: 0, tokens_since: 0.0 });
        let own = f64::from(backend.in_flight.saturating_sub(1));
        let total = f64::from((load.running + load.waiting).saturating_sub(1)).max(own);
        self.own_in_flight = self.own_in_flight * DECAY + own;
        self.total_in_flight = self.total_in_flight * DECAY + total;
    }

    /// Resets the estimate of a backend if the served attempt shows it to be idle: by the load in the
    /// response, or, where backends report no loads, if no other attempt of this node is in flight there.
    fn apply_idle_signal(&mut self, position: usize, attempt: &InFlightAttempt) {
        if let Some((load, received_at)) = attempt.reported_load {
            let measured_after = received_at.saturating_sub(HEAD_LAG).max(attempt.sent_at);
            return self.apply_load(position, measured_after, load);
        }
        if !self.reports_load && self.backends[position].in_flight == 0 {
            self.record_activity(position, ServerActivity::Idle);
        }
    }

    /// Records a load report that was requested at `requested_at`. `report` is `None` if none arrived.
    pub fn report_received(
        &mut self,
        now: Duration,
        backend: &BackendId,
        requested_at: Duration,
        report: Option<LoadReport>,
    ) {
        let (Some(&position), Some(report)) = (self.positions.get(backend), report) else { return };
        let slots = self.backends[position].entry.slots;
        let load = Load { running: report.active, waiting: report.queued, slots };
        let backend = &mut self.backends[position];
        backend.last_received = Some(now);
        let Some(measured_after) = requested_at.checked_sub(REPORT_LAG) else { return };
        if backend.reported_load.is_none_or(|previous| previous.received_at <= measured_after) {
            backend.reported_load =
                Some(ReportedLoad { load, received_at: now, sends_since: 0, tokens_since: 0.0 });
        }
        self.apply_load(position, measured_after, load);
    }

    /// Applies a load that was measured at `measured_after` or later. It shows an idle backend if no request
    /// waited and enough slots were free, but resets the estimate only if this node has sent nothing there
    /// since.
    fn apply_load(&mut self, position: usize, measured_after: Duration, load: Load) {
        let backend = &self.backends[position];
        let max_running = (f64::from(load.slots.max(1)) * self.policy.idle_share).max(1.0);
        let is_idle = load.waiting == 0 && f64::from(load.running) <= max_running;
        let includes_last_send = backend.last_send.is_none_or(|sent_at| sent_at <= measured_after);
        if !is_idle || includes_last_send {
            self.record_activity(position, if is_idle { ServerActivity::Idle } else { ServerActivity::Busy });
        }
    }

    fn record_activity(&mut self, position: usize, activity: ServerActivity) {
        let backend = &mut self.backends[position];
        self.traffic.record_report(activity, backend.estimate);
        if activity == ServerActivity::Idle {
            backend.estimate.record_idle();
        }
    }

    /// Updates the latency model and the slowness of the backend with the time to the first byte.
    fn observe_first_byte(&mut self, now: Duration, attempt: AttemptId, position: usize) {
        let backend = &mut self.backends[position];
        backend.last_received = Some(now);
        let Some(pending) = backend.remove_pending(attempt) else { return };
        let elapsed = now.saturating_sub(pending.sent_at);
        backend.observe_slowness(now, elapsed.as_secs_f64() * 1e3 / pending.expected_ms.max(1.0));
        self.latency_model.observe(pending.tokens, elapsed);
    }

    // ---- Health -----------------------------------------------------------------------------

    fn record_success(&mut self, position: usize, was_trial: bool) {
        let backend = &mut self.backends[position];
        if backend.health.record_success(was_trial) {
            log::info!("backend {} readmitted after a successful trial", backend.entry.id.0);
        }
    }

    fn record_failure(&mut self, now: Duration, position: usize, failure: Failure, was_trial: bool) {
        let count = self.backends.len();
        let mean_failure_rate =
            self.backends.iter().map(|backend| backend.health.failure_rate()).sum::<f64>() / count as f64;
        let ejected = self.backends.iter().filter(|backend| backend.health.is_ejected()).count();
        let jitter = self.random.random::<f64>();
        let backend = &mut self.backends[position];
        let was_ejected = backend.health.is_ejected();
        let may_eject = was_ejected || 2 * (ejected + 1) <= count;
        let is_outlier =
            backend.health.record_failure(failure, was_trial, mean_failure_rate) && self.policy.ejection;
        if is_outlier && may_eject {
            let duration = backend.health.eject(now, &self.policy, jitter);
            log::info!("backend {} ejected for {duration:?} after {failure:?}", backend.entry.id.0);
        } else if !may_eject && backend.health.is_failing() {
            let remaining = self.policy.first_ejection;
            self.backends.iter_mut().for_each(|other| other.health.shorten_ejection(now, remaining));
        }
    }

    /// Readmits backends, those whose ejections end first, until at most half of the listed ones are ejected.
    /// Needed when the list has become shorter.
    pub(super) fn readmit_beyond_half(&mut self) {
        loop {
            let ejected = self.backends.iter().filter(|backend| backend.health.is_ejected());
            if 2 * ejected.clone().count() <= self.backends.len() {
                return;
            }
            let first =
                ejected.min_by_key(|backend| backend.health.ejected_until()).map(|b| b.entry.id.clone());
            let Some(&position) = first.and_then(|id| self.positions.get(&id)) else { return };
            self.backends[position].health.readmit();
        }
    }
}
