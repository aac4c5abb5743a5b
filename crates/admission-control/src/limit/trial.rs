//! Trials of a limit, which show whether the rate of served work follows the limit.

use super::window::WindowSummary;

/// The factor by which a trial lowers the limit if latency indicates queueing: the smallest measurable
/// reduction.
pub(super) const CUT: f64 = 0.7;
/// The factor by which a trial lowers the limit to find the limit at which queueing starts.
pub(super) const DEEP_CUT: f64 = 0.5;
/// The factor by which a trial raises the limit. A limit that has never been lowered is raised first, which
/// serves queued requests.
pub(super) const RAISE: f64 = 2.0;

/// The size of a rate measurement: it is sufficient when it reaches either value.
#[derive(Clone, Copy, Debug)]
pub(super) struct MeasurementSize {
    /// The effective number of responses.
    pub(super) samples: f64,
    /// The total length of the measured windows, in seconds.
    pub(super) seconds: f64,
}

/// Sufficient to show a difference by a sixth, as after a [`CUT`].
pub(super) const FINE_MEASUREMENT: MeasurementSize = MeasurementSize { samples: 96.0, seconds: 3.0 };
/// Sufficient to show a difference by a third.
pub(super) const COARSE_MEASUREMENT: MeasurementSize = MeasurementSize { samples: 48.0, seconds: 1.5 };

/// A measurement of the rate of served work.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateMeasurement {
    /// The sum of the baseline latencies of served attempts, in seconds.
    work: f64,
    work_squares: f64,
    seconds: f64,
}

impl RateMeasurement {
    /// The measurement extended by a complete window.
    pub(super) fn with(self, summary: &WindowSummary) -> Self {
        RateMeasurement {
            work: self.work + summary.window.work,
            work_squares: self.work_squares + summary.window.work_squares,
            seconds: self.seconds + summary.seconds,
        }
    }

    /// Whether the measurement is large enough, by Kish's effective sample size or by its duration.
    pub(super) fn is_sufficient(&self, size: MeasurementSize) -> bool {
        self.work * self.work >= size.samples * self.work_squares.max(1e-18) || self.seconds >= size.seconds
    }

    /// The work served per second.
    pub(super) fn rate(&self) -> f64 {
        self.work / self.seconds.max(1e-3)
    }
}

/// The state of a trial of whether load causes the latency.
#[derive(Clone, Copy, Debug)]
pub(super) enum Trial {
    /// No trial is in progress.
    Idle,
    /// Measures the rate under the current limit, before it is changed.
    MeasuringBefore { deep: bool, measurement: RateMeasurement },
    /// Waits until attempts sent under the previous limit no longer affect the measurement.
    Settling(TrialStep),
    /// Measures the rate under the changed limit.
    MeasuringAfter(TrialStep, RateMeasurement),
}

/// A step of a trial: limit and rate before it, and the factor by which it changes the limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrialStep {
    pub(super) previous_limit: f64,
    pub(super) previous_rate: f64,
    pub(super) factor: f64,
}

impl TrialStep {
    /// The size of the rate measurement after the step.
    pub(super) fn measurement_size(&self) -> MeasurementSize {
        if self.factor == CUT { FINE_MEASUREMENT } else { COARSE_MEASUREMENT }
    }

    /// Whether the rate has followed the limit: it has changed by more than the square root of the limit's
    /// factor.
    pub(super) fn is_followed_by(&self, rate: f64) -> bool {
        let middle = self.previous_rate * self.factor.sqrt();
        if self.factor > 1.0 { rate > middle } else { rate < middle }
    }
}
