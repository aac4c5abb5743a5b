//! Adjustment of the limit of a backend that is used by this node only: by trials of one or more steps, as
//! long as a step indicates that the next one may help.

use super::trial::{
    COARSE_MEASUREMENT, CUT, DEEP_CUT, FINE_MEASUREMENT, RAISE, RateMeasurement, Trial, TrialStep,
};
use super::window::WindowSummary;
use super::{BackendLimit, Cause, SHRINK_ABOVE};
use std::ops::ControlFlow::{self, Break, Continue};

/// After this number of saturated windows there is a trial even without high latency: the baseline latency
/// may have been learned while requests were permanently queued.
const WINDOWS_BETWEEN_TRIALS: u32 = 300;
/// There is also a trial when the limit exceeds twice that of the last trial plus this number.
const GROWTH_BETWEEN_TRIALS: f64 = 16.0;
/// After load proved not to be the cause of latency, the limit is not lowered for latency for this number of
/// windows.
const HOLD_OFF_WINDOWS: u32 = 20;

/// `Continue` with the next step of a trial; `Break` if there is none, with whether the limit has changed.
type TrialFlow = ControlFlow<bool, TrialStep>;

impl BackendLimit {
    /// Adjusts the limit after a saturated window, at a backend that is used by this node only.
    pub(super) fn adjust_dedicated(&mut self, summary: &WindowSummary) -> bool {
        let may_shrink = self.hold_off == 0 && self.limit > self.bounds.min;
        let is_congested = summary.queued > self.queue_threshold(summary, SHRINK_ABOVE) && may_shrink;
        let flow = match self.trial {
            Trial::Idle => self.consider_trial(is_congested, summary),
            Trial::MeasuringBefore { deep, measurement } => {
                self.measure_before(deep, measurement.with(summary), is_congested)
            }
            Trial::Settling(step) => {
                self.trial = Trial::MeasuringAfter(step, RateMeasurement::default());
                Break(false)
            }
            Trial::MeasuringAfter(step, measurement) => {
                self.measure_after(step, measurement.with(summary), is_congested, summary)
            }
        };
        match flow {
            Break(changed) => changed,
            Continue(step) => self.start_step(step, summary),
        }
    }

    /// Without a trial in progress: starts one if it is due, or lets the limit grow.
    fn consider_trial(&mut self, is_congested: bool, summary: &WindowSummary) -> TrialFlow {
        self.windows_since_trial += 1;
        let is_due = self.windows_since_trial >= WINDOWS_BETWEEN_TRIALS
            || self.limit > 2.0 * self.last_trial_limit + GROWTH_BETWEEN_TRIALS;
        let deep = is_due && self.has_decreased && self.limit > self.bounds.min;
        if is_congested || deep {
            let measurement = RateMeasurement::default();
            self.trial = Trial::MeasuringBefore { deep: deep && !is_congested, measurement };
            self.windows_since_trial = 0;
            return Break(false);
        }
        if !self.may_grow(summary) {
            return Break(false);
        }
        if self.has_decreased {
            return Break(self.increase(summary, 1.0 / 16.0));
        }
        let previous_rate = summary.window.work / summary.seconds.max(1e-3);
        Continue(TrialStep { previous_limit: self.limit, previous_rate, factor: RAISE })
    }

    /// Extends the measurement of the rate under the current limit. Once it is sufficient, returns the first
    /// step.
    fn measure_before(&mut self, deep: bool, measurement: RateMeasurement, is_congested: bool) -> TrialFlow {
        if !is_congested && !deep {
            self.trial = Trial::Idle;
            return Break(false);
        }
        self.trial = Trial::MeasuringBefore { deep, measurement };
        if !measurement.is_sufficient(if deep { COARSE_MEASUREMENT } else { FINE_MEASUREMENT }) {
            return Break(false);
        }
        let factor = match (self.has_decreased, deep) {
            (false, _) if self.limit < self.bounds.max => RAISE,
            (_, true) => DEEP_CUT,
            (_, false) => CUT,
        };
        Continue(TrialStep { previous_limit: self.limit, previous_rate: measurement.rate(), factor })
    }

    /// Extends the measurement of the rate under the changed limit. Once it is sufficient, evaluates the
    /// step.
    fn measure_after(
        &mut self,
        step: TrialStep,
        measurement: RateMeasurement,
        is_congested: bool,
        summary: &WindowSummary,
    ) -> TrialFlow {
        self.trial = Trial::MeasuringAfter(step, measurement);
        let follows = step.is_followed_by(measurement.rate());
        // A risen rate needs no sufficient measurement: attempts under the previous limit can only lower it.
        if !(measurement.is_sufficient(step.measurement_size()) || follows && step.factor == RAISE) {
            return Break(false);
        }
        (self.trial, self.windows_since_trial) = (Trial::Idle, 0);
        // The next step is compared with this one, not with the best: more load may have made the backend
        // slower.
        let mut rate = measurement.rate();
        self.last_trial_limit = if follows == (step.factor > 1.0) { self.limit } else { step.previous_limit };
        if follows || step.factor < 1.0 {
            // If the rate has followed the limit, the current latency is the new baseline; otherwise only a
            // lower one.
            let ratio = summary.latency_ratio;
            let factor = if follows { ratio.max(1.0) } else { ratio.min(1.0) };
            self.scale_baseline_latencies(factor);
            // Work is counted in baseline latencies, so the rate is converted to the new baseline.
            rate *= factor;
        }
        self.conclude_step(step, follows, rate, is_congested, summary)
    }

    /// Draws the conclusion of a step: the next step, or the end of the trial.
    fn conclude_step(
        &mut self,
        step: TrialStep,
        follows: bool,
        rate: f64,
        is_congested: bool,
        summary: &WindowSummary,
    ) -> TrialFlow {
        match (follows, step.factor) {
            (true, RAISE) => {
                Continue(TrialStep { previous_limit: self.limit, previous_rate: rate, factor: RAISE })
            }
            // The limit is too low: restore the previous one, at which the rate had not fallen yet.
            (true, DEEP_CUT) => Break(self.move_to(step.previous_limit, Cause::Room, summary)),
            (true, _) => {
                (self.hold_off, self.has_decreased) = (HOLD_OFF_WINDOWS, false);
                Break(self.move_to(step.previous_limit, Cause::NotLoad, summary))
            }
            // A higher limit did not raise the rate, so a lower one may not reduce it.
            (false, RAISE) => {
                self.has_decreased = true;
                self.trial = Trial::Settling(TrialStep {
                    previous_limit: step.previous_limit,
                    previous_rate: rate,
                    factor: DEEP_CUT,
                });
                Break(self.move_to(step.previous_limit * DEEP_CUT, Cause::Waiting, summary))
            }
            (false, factor) if (is_congested || factor == DEEP_CUT) && self.limit > self.bounds.min => {
                Continue(TrialStep { previous_limit: self.limit, previous_rate: rate, factor })
            }
            _ => Break(false),
        }
    }

    /// Changes the limit for a step of a trial.
    fn start_step(&mut self, step: TrialStep, summary: &WindowSummary) -> bool {
        if step.factor < 1.0 {
            (self.has_decreased, self.trial) = (true, Trial::Settling(step));
            return self.move_to(self.limit * step.factor, Cause::Waiting, summary);
        }
        self.trial = Trial::MeasuringAfter(step, RateMeasurement::default());
        let has_grown = self.move_to(self.limit * step.factor, Cause::Room, summary);
        if !has_grown {
            self.trial = Trial::Idle;
        }
        has_grown
    }
}
