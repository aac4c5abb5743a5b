//! Outlier ejection: when a failing backend is ejected, for how long, and how it is readmitted.

use policy::Routing as RoutingPolicy;
use std::time::Duration;

/// Weight of one outcome in the exponentially smoothed failure rate.
const OUTCOME_WEIGHT: f64 = 0.25;
/// Weight of a failed connection attempt. Higher, since a running process accepts connections.
const CONNECT_FAILURE_WEIGHT: f64 = 0.6;
/// Failure rate above which a backend is ejected, unless the others fail about as often.
const EJECTION_FAILURE_RATE: f64 = 0.5;
/// The failure rate of an outlier exceeds the mean of all backends by this factor.
const OUTLIER_FACTOR: f64 = 1.5;
/// Attempts that a recovering backend may have in flight at first.
const INITIAL_CONCURRENCY: u32 = 1;
/// Attempts by which each success raises the limit of a recovering backend.
const CONCURRENCY_STEP: u32 = 2;
/// Limit on attempts in flight at which a recovering backend counts as healthy.
const HEALTHY_CONCURRENCY: u32 = 16;

/// The kind of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened.
    NoConnection,
    /// An error response, a broken connection or a time-out.
    Broken,
}

/// Whether a backend is sent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum EjectionState {
    #[default]
    Healthy,
    /// No requests until `until`; after that, one at a time as a trial.
    Ejected { until: Duration, trial_in_flight: bool },
    /// Readmitted, with a limit on the attempts in flight.
    Recovering { max_in_flight: u32 },
}

/// The health of one backend.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    state: EjectionState,
    failure_rate: f64,
    /// Ejections since the backend was last healthy.
    ejections: u32,
}

impl Health {
    /// The smoothed failure rate, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether the failure rate is high enough for an ejection.
    pub fn is_failing(&self) -> bool {
        self.failure_rate > EJECTION_FAILURE_RATE
    }

    /// Whether the backend is ejected. It is until a trial has succeeded.
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, EjectionState::Ejected { .. })
    }

    /// When the ejection ends. `None` if the backend is not ejected.
    pub fn ejected_until(&self) -> Option<Duration> {
        match self.state {
            EjectionState::Ejected { until, .. } => Some(until),
            _ => None,
        }
    }

    /// Whether the backend may be sent a request while this node has `in_flight` attempts there.
    pub fn admits(&self, now: Duration, in_flight: u32) -> bool {
        match self.state {
            EjectionState::Healthy => true,
            EjectionState::Ejected { until, trial_in_flight } => now >= until && !trial_in_flight,
            EjectionState::Recovering { max_in_flight } => in_flight < max_in_flight,
        }
    }

    /// Records an attempt. Returns whether it is the trial of an ejected backend.
    pub fn record_attempt(&mut self) -> bool {
        let EjectionState::Ejected { trial_in_flight, .. } = &mut self.state else { return false };
        !std::mem::replace(trial_in_flight, true)
    }

    /// Records a successful attempt. Returns whether it was a trial that ended the ejection.
    pub fn record_success(&mut self, was_trial: bool) -> bool {
        self.failure_rate -= self.failure_rate * OUTCOME_WEIGHT;
        match self.state {
            EjectionState::Ejected { .. } if was_trial => {
                self.state = EjectionState::Recovering { max_in_flight: INITIAL_CONCURRENCY };
                self.failure_rate = self.failure_rate.min(EJECTION_FAILURE_RATE / 2.0);
                return true;
            }
            EjectionState::Recovering { max_in_flight }
                if max_in_flight + CONCURRENCY_STEP >= HEALTHY_CONCURRENCY =>
            {
                (self.state, self.ejections) = (EjectionState::Healthy, 0);
            }
            EjectionState::Recovering { max_in_flight } => {
                let max_in_flight = max_in_flight + CONCURRENCY_STEP;
                self.state = EjectionState::Recovering { max_in_flight };
            }
            _ => {}
        }
        false
    }

    /// Records a failed attempt. Returns whether the backend should be ejected, provided that enough others
    /// remain. `mean_failure_rate` is that of all backends.
    pub fn record_failure(&mut self, failure: Failure, was_trial: bool, mean_failure_rate: f64) -> bool {
        let weight = match failure {
            Failure::NoConnection => CONNECT_FAILURE_WEIGHT,
            Failure::Broken => OUTCOME_WEIGHT,
        };
        self.failure_rate += (1.0 - self.failure_rate) * weight;
        match self.state {
            EjectionState::Ejected { .. } => was_trial,
            EjectionState::Recovering { .. } => true,
            EjectionState::Healthy => {
                self.failure_rate > EJECTION_FAILURE_RATE
                    && self.failure_rate > OUTLIER_FACTOR * mean_failure_rate
            }
        }
    }

    /// Records that the trial ended with neither a success nor a failure, so that another may follow.
    pub fn cancel_trial(&mut self) {
        if let EjectionState::Ejected { trial_in_flight, .. } = &mut self.state {
            *trial_in_flight = false;
        }
    }

    /// Ejects the backend and returns for how long: twice as long as the last time, up to the policy's
    /// maximum. `jitter`, from 0 to 1, varies the duration by a quarter either way, so that nodes do not all
    /// try the backend at once.
    pub fn eject(&mut self, now: Duration, policy: &RoutingPolicy, jitter: f64) -> Duration {
        let nominal =
            policy.first_ejection.saturating_mul(1 << self.ejections.min(10)).min(policy.max_ejection);
        let duration = nominal.mul_f64(0.75 + jitter / 2.0);
        self.ejections = self.ejections.saturating_add(1);
        self.state = EjectionState::Ejected { until: now + duration, trial_in_flight: false };
        duration
    }

    /// Shortens the ejection to `remaining` at most, and the next one to the first duration. For when many
    /// backends fail at once, as the fault may then be this node's own.
    pub fn shorten_ejection(&mut self, now: Duration, remaining: Duration) {
        self.ejections = 0;
        if let EjectionState::Ejected { until, .. } = &mut self.state {
            *until = (*until).min(now + remaining);
        }
    }

    /// Ends the ejection without a trial, since too many backends are ejected.
    pub fn readmit(&mut self) {
        self.state = EjectionState::Recovering { max_in_flight: INITIAL_CONCURRENCY };
    }
}
