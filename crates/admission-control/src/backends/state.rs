//! The state of one backend: its list entry, its limit, its share of errors and its rate when saturated.

use crate::limit::{BackendLimit, Cause, LimitBounds, LimitChange, LoadSignal};
use join_up_to::{Outcome, ServerId};
use std::time::Duration;

/// The weight of one response in the moving average of the share of errors.
const ERROR_SMOOTHING: f64 = 1.0 / 16.0;
/// An attempt that was cancelled after more than this multiple of the baseline latency counts as timed out.
const OVERDUE_FACTOR: f64 = 3.0;
/// The saturated rate is the mean over up to this number of windows, and an exponential moving average after
/// that.
const MAX_MEAN_WINDOWS: f64 = 8.0;

/// A backend's entry in the list of its cluster.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// The id under which attempts and capacities of the backend are reported.
    pub id: ServerId,
    /// The configured weight relative to the others, which may stand for speed or for concurrency.
    pub weight: f64,
    /// The machine kind: a new backend is assumed to be as fast as others of its kind.
    pub kind: u8,
    /// Whether the backend accepts requests.
    pub ready: bool,
    /// When the backend was added, for the slow start; `None` if it is not new.
    pub added_at: Option<Duration>,
}

/// The capacity of a backend that is passed to the balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// The id of the backend in the list of endpoints.
    pub backend: ServerId,
    /// The maximum number of this node's requests in flight at the backend, at least 1.
    pub max_in_flight: u32,
    /// The capacity relative to the mean of the cluster; positive and finite.
    pub relative: f64,
}

/// The state of a backend, for diagnostics.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendStatus {
    /// The capacity that was published last.
    pub capacity: Capacity,
    /// The number of this node's attempts in flight at the backend.
    pub in_flight: u32,
    /// The latest changes of the backend's limit, oldest first.
    pub recent_changes: Vec<LimitChange>,
}

/// The mean rate of responses while a backend was saturated.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SaturatedRate {
    /// Responses per second.
    pub(super) per_s: f64,
    /// The number of windows in which the rate was measured.
    pub(super) windows: f64,
}

impl SaturatedRate {
    fn add_window(&mut self, per_s: f64) {
        let step = 1.0 / (self.windows + 1.0).min(MAX_MEAN_WINDOWS);
        self.per_s += (per_s - self.per_s) * step;
        self.windows += 1.0;
    }
}

#[derive(Debug)]
pub(super) struct BackendState {
    pub(super) endpoint: Endpoint,
    pub(super) limit: BackendLimit,
    /// Moving average of the share of errors among responses, from 0 to 1.
    pub(super) error_share: f64,
    pub(super) saturated_rate: SaturatedRate,
    /// The capacity that was published last.
    pub(super) published: Option<Capacity>,
    /// The number of changes of the limit.
    pub(super) change_count: usize,
}

impl BackendState {
    /// A backend without any measurements.
    pub(super) fn new(endpoint: Endpoint, bounds: LimitBounds, now: Duration) -> Self {
        BackendState {
            endpoint,
            limit: BackendLimit::new(bounds, now),
            error_share: 0.0,
            saturated_rate: SaturatedRate::default(),
            published: None,
            change_count: 0,
        }
    }

    /// Records the end of an attempt. Returns the resulting change of the limit, if any.
    pub(super) fn attempt_ended(
        &mut self,
        now: Duration,
        class: usize,
        outcome: Outcome,
        elapsed: Duration,
    ) -> Option<LimitChange> {
        let signal = self.load_signal(class, outcome, elapsed);
        self.record_error(outcome);
        if !self.limit.attempt_ended(now, class, signal, elapsed) {
            return None;
        }
        let change = *self.limit.recent_changes().last()?;
        self.change_count += 1;
        // A limit is lowered for queueing only if the backend is saturated, so this is its maximum rate.
        if change.cause == Cause::Waiting && change.responses_per_s > 0.0 {
            self.saturated_rate.add_window(change.responses_per_s);
        }
        Some(change)
    }

    fn load_signal(&self, class: usize, outcome: Outcome, elapsed: Duration) -> LoadSignal {
        let baseline = self.limit.baseline_latency(class);
        let is_overdue = baseline.is_some_and(|baseline| elapsed.as_secs_f64() > OVERDUE_FACTOR * baseline);
        match outcome {
            Outcome::Served => LoadSignal::Served,
            Outcome::Rejected => LoadSignal::Rejected,
            Outcome::TimedOut => LoadSignal::TimedOut,
            Outcome::Cancelled if is_overdue => LoadSignal::TimedOut,
            Outcome::ConnectFailed | Outcome::Reset => LoadSignal::ConnectionFailed,
            Outcome::Error | Outcome::Cancelled | Outcome::NotSent => LoadSignal::Neutral,
        }
    }

    fn record_error(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Served => self.error_share -= self.error_share * ERROR_SMOOTHING,
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => {
                self.error_share += (1.0 - self.error_share) * ERROR_SMOOTHING
            }
            _ => {}
        }
    }
}
