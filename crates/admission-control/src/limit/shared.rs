//! Adjustment of the limit of a backend that several nodes use. Capacity left unused by one node is used by
//! the others, so all nodes make their trials at the same times of the clock, without communication.

use super::trial::{COARSE_MEASUREMENT, DEEP_CUT, MeasurementSize, RateMeasurement, Trial, TrialStep};
use super::window::WindowSummary;
use super::{BackendLimit, Cause, GROW_BELOW, SHRINK_ABOVE};
use std::time::Duration;

/// All nodes start a trial when the clock is at a multiple of this period. Clocks may differ by some tenths
/// of a second.
const PERIOD: Duration = Duration::from_secs(16);
/// The time in the period at which the measurement under the current limit ends and limits are halved.
const CUT_AT: Duration = Duration::from_millis(1500);
/// The time in the period at which the measurement under the halved limit starts.
const SETTLED_AT: Duration = Duration::from_millis(2200);
/// The time in the period at which the trial is evaluated.
const EVALUATED_AT: Duration = Duration::from_millis(3700);

/// The time since the start of the period.
fn phase_of(now: Duration) -> Duration {
    Duration::from_nanos((now.as_nanos() % PERIOD.as_nanos()) as u64)
}

impl BackendLimit {
    /// Adjusts the limit after a saturated window, at a backend that other nodes use as well.
    pub(super) fn adjust_shared(&mut self, summary: &WindowSummary) -> bool {
        let phase = phase_of(summary.ended_at);
        match self.trial {
            Trial::MeasuringBefore { measurement, .. } => {
                self.measure_shared_before(measurement.with(summary), phase, summary)
            }
            Trial::Settling(step) => {
                if phase >= SETTLED_AT {
                    self.trial = Trial::MeasuringAfter(step, RateMeasurement::default());
                }
                false
            }
            Trial::MeasuringAfter(step, measurement) => {
                self.measure_shared_after(step, measurement.with(summary), phase, summary)
            }
            Trial::Idle if phase < CUT_AT && self.limit > self.bounds.min => {
                self.trial = Trial::MeasuringBefore { deep: true, measurement: RateMeasurement::default() };
                false
            }
            Trial::Idle => self.follow_queueing(summary),
        }
    }

    /// Measures the rate under the current limit, until all nodes halve their limits.
    fn measure_shared_before(
        &mut self,
        measurement: RateMeasurement,
        phase: Duration,
        summary: &WindowSummary,
    ) -> bool {
        self.trial = Trial::MeasuringBefore { deep: true, measurement };
        if phase < CUT_AT {
            return false;
        }
        let step =
            TrialStep { previous_limit: self.limit, previous_rate: measurement.rate(), factor: DEEP_CUT };
        let size = MeasurementSize { samples: COARSE_MEASUREMENT.samples / 2.0, seconds: f64::MAX };
        let is_valid = measurement.is_sufficient(size) && phase < SETTLED_AT;
        self.trial = if is_valid { Trial::Settling(step) } else { Trial::Idle };
        is_valid && self.move_to(self.limit * DEEP_CUT, Cause::Waiting, summary)
    }

    /// Measures the rate under half the limit, until all nodes evaluate the trial.
    fn measure_shared_after(
        &mut self,
        step: TrialStep,
        measurement: RateMeasurement,
        phase: Duration,
        summary: &WindowSummary,
    ) -> bool {
        self.trial = Trial::MeasuringAfter(step, measurement);
        if (SETTLED_AT..EVALUATED_AT).contains(&phase) {
            return false;
        }
        (self.trial, self.has_decreased) = (Trial::Idle, true);
        let follows = step.is_followed_by(measurement.rate());
        // At half the limit there is little queueing: the latency is the baseline, or closer to it than
        // before.
        let ratio = summary.latency_ratio;
        self.scale_baseline_latencies(if follows { ratio } else { ratio.min(1.0) });
        self.last_trial_limit = if follows { step.previous_limit } else { self.limit };
        self.move_to(self.last_trial_limit, Cause::Room, summary)
    }

    /// Between trials: adjusts the limit by the number of requests queued at the backend.
    fn follow_queueing(&mut self, summary: &WindowSummary) -> bool {
        let limit = self.limit;
        if summary.queued > self.queue_threshold(summary, SHRINK_ABOVE) {
            self.has_decreased = true;
            let target = limit - (summary.queued - self.queue_threshold(summary, GROW_BELOW)) / 2.0;
            let to = target.max(limit * 0.85).max(self.bounds.initial).min(limit);
            return self.move_to(to, Cause::Waiting, summary);
        }
        // At most twice the limit of the last trial: the baseline may have been learned while requests were
        // queued.
        if self.may_grow(summary) && limit < 2.0 * self.last_trial_limit {
            return self.increase(summary, if self.has_decreased { 1.0 / 16.0 } else { 1.0 / 4.0 });
        }
        false
    }
}
