//! The adaptive concurrency limit of one backend, learned from its responses. Independent of other backends,
//! tenants and queues.
//!
//! Latency is compared with the baseline latency of each class, so that classes of 2 ms and 900 ms under one
//! limit show the same load (`usual_latency`). From the ratio the number of requests queued at the backend is
//! estimated, as in TCP Vegas (`window`), and the limit is kept where a few are queued: the backend is
//! neither idle nor congested. Lowering the limit for latency is a trial, with the rate measured before and
//! after (`trial`). If the rate falls with the limit, load is not the cause of the latency (a slow database,
//! or responses that were unusually fast at the start): the limit is restored, and the new latency becomes
//! the baseline. A node that is the only user of a backend makes trials when measurements indicate them
//! (`dedicated`); nodes that share a backend make them at fixed times of the clock (`shared`).

mod dedicated;
mod shared;
mod trial;
mod usual_latency;
mod window;

use std::collections::VecDeque;
use std::time::Duration;
use trial::Trial;
use usual_latency::BaselineLatency;
use window::{Window, WindowSummary};

/// A threshold for the number of requests queued at a backend: the larger of the two values.
#[derive(Clone, Copy, Debug)]
struct QueueThreshold {
    requests: f64,
    /// As a fraction of the requests in flight.
    share: f64,
}

/// The limit grows while fewer requests than this are queued.
const GROW_BELOW: QueueThreshold = QueueThreshold { requests: 3.0, share: 0.15 };
/// The limit shrinks while more requests than this are queued.
const SHRINK_ABOVE: QueueThreshold = QueueThreshold { requests: 6.0, share: 0.35 };
/// The number of changes kept for [`BackendLimit::recent_changes`].
const MAX_RECENT_CHANGES: usize = 16;

/// The bounds of a concurrency limit, in requests in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitBounds {
    /// The limit at the start, and the only one if it is not adapted.
    pub initial: f64,
    /// The limit is never lowered below this value.
    pub min: f64,
    /// The limit is never raised above this value.
    pub max: f64,
    /// Whether the limit is adapted; it is fixed otherwise.
    pub is_adaptive: bool,
    /// The number of nodes that use the backend, including this one. Capacity left unused by one node is used
    /// by the others, so a trial of a single node shows nothing: all make theirs at the same times of the
    /// clock, without communication.
    pub nodes: f64,
}

/// What the end of an attempt shows about the load of its backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
    /// The backend responded; its latency shows the load.
    Served,
    /// The backend rejected the request without executing it, which it does when overloaded.
    Rejected,
    /// The backend did not respond in time.
    TimedOut,
    /// The connection could not be established or was reset.
    ConnectionFailed,
    /// Nothing: the latency of an error is not that of the work.
    Neutral,
}

/// The cause of a change of a limit. The names of the variants appear in log lines at level `debug`, and a
/// test of `marlwinch` checks them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The limit was in full use and few requests were queued at the backend, or a trial showed that it was
    /// too low.
    Room,
    /// Too many requests were queued at the backend, or a trial lowers the limit.
    Waiting,
    /// The backend rejected requests without executing them.
    Refused,
    /// Attempts ended without a response in time.
    Late,
    /// Connections failed or were reset.
    Failed,
    /// The rate fell with the limit, so load is not the cause of the latency.
    NotLoad,
}

/// A change of a limit, with the measurements that caused it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The time of the change, on the clock that callers pass as `now`.
    pub at: Duration,
    /// The limit before, in requests in flight.
    pub from: f64,
    /// The limit after, in requests in flight.
    pub to: f64,
    /// The reason for the change, as shown by the last window.
    pub cause: Cause,
    /// The latency in that window as a multiple of the baseline latency.
    pub latency_ratio: f64,
    /// The responses per second in that window.
    pub responses_per_s: f64,
}

/// The adaptive concurrency limit of a backend, with the measurements that it is computed from.
#[derive(Debug)]
pub struct BackendLimit {
    bounds: LimitBounds,
    limit: f64,
    in_flight: u32,
    baseline_latencies: Vec<BaselineLatency>,
    window: Window,
    /// Whether the limit has been lowered since the start or since latency proved not to be caused by load.
    /// Until then it grows fast.
    has_decreased: bool,
    trial: Trial,
    /// The number of windows for which the limit is not lowered for latency or time-outs.
    hold_off: u32,
    /// The number of saturated windows since the last trial.
    windows_since_trial: u32,
    /// The limit at the end of the last trial.
    last_trial_limit: f64,
    recent_changes: VecDeque<LimitChange>,
}

impl BackendLimit {
    /// The limit of a backend without any measurements.
    pub fn new(bounds: LimitBounds, now: Duration) -> Self {
        BackendLimit {
            bounds,
            limit: bounds.initial.clamp(bounds.min, bounds.max),
            in_flight: 0,
            baseline_latencies: Vec::new(),
            window: Window::new(now, 0),
            has_decreased: false,
            trial: Trial::Idle,
            hold_off: 0,
            windows_since_trial: 0,
            last_trial_limit: bounds.initial,
            recent_changes: VecDeque::new(),
        }
    }

    /// Replaces the bounds. A learned limit is kept, clamped to the new bounds; a fixed one is set anew.
    pub fn set_bounds(&mut self, bounds: LimitBounds) {
        let is_reset = !bounds.is_adaptive || !self.bounds.is_adaptive && bounds != self.bounds;
        let limit = if is_reset { bounds.initial } else { self.limit };
        (self.limit, self.bounds) = (limit.clamp(bounds.min, bounds.max), bounds);
    }

    /// The maximum number of attempts in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// The number of attempts in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The baseline latency of a class, in seconds; `None` before its first response.
    pub fn baseline_latency(&self, class: usize) -> Option<f64> {
        self.baseline_latencies
            .get(class)
            .filter(|baseline| baseline.responses > 0)
            .map(|baseline| baseline.seconds)
    }

    /// The number of responses recorded for a class.
    pub fn response_count(&self, class: usize) -> u32 {
        self.baseline_latencies.get(class).map_or(0, |baseline| baseline.responses)
    }

    /// The highest index of a class with a response; `None` before the first response.
    pub fn highest_class(&self) -> Option<usize> {
        self.baseline_latencies.len().checked_sub(1)
    }

    /// The latest changes of the limit, oldest first; at most 16.
    pub fn recent_changes(&self) -> impl Iterator<Item = &LimitChange> {
        self.recent_changes.iter()
    }

    /// Records that an attempt is sent.
    pub fn attempt_sent(&mut self, now: Duration) {
        // Time without any attempt does not count for the backend's rate.
        if self.in_flight == 0 && self.window.ended() == 0 {
            self.window.started_at = now;
        }
        self.in_flight += 1;
        self.window.peak_in_flight = self.window.peak_in_flight.max(self.in_flight);
    }

    /// Records the end of an attempt, `elapsed` after it was sent. Returns whether the limit has changed.
    pub fn attempt_ended(
        &mut self,
        now: Duration,
        class: usize,
        signal: LoadSignal,
        elapsed: Duration,
    ) -> bool {
        self.window.in_flight_sum += f64::from(self.in_flight);
        self.in_flight = self.in_flight.saturating_sub(1);
        match signal {
            LoadSignal::Served => {
                if self.baseline_latencies.len() <= class {
                    self.baseline_latencies.resize(class + 1, BaselineLatency::default());
                }
                let seconds = elapsed.as_secs_f64();
                let baseline = &mut self.baseline_latencies[class];
                baseline.record(seconds);
                self.window.record_served(seconds, baseline.seconds);
            }
            LoadSignal::Rejected => self.window.rejected += 1,
            LoadSignal::TimedOut => self.window.timed_out += 1,
            LoadSignal::ConnectionFailed => self.window.failed += 1,
            LoadSignal::Neutral => {}
        }
        let age = now.saturating_sub(self.window.started_at);
        self.window.is_complete(age) && self.evaluate_window(now, age)
    }

    /// Adjusts the limit after a complete window and starts the next window.
    fn evaluate_window(&mut self, now: Duration, age: Duration) -> bool {
        let window = std::mem::replace(&mut self.window, Window::new(now, self.in_flight));
        let summary = WindowSummary::of(window, now, age);
        for baseline in &mut self.baseline_latencies {
            match self.trial {
                Trial::Idle => baseline.follow_window(summary.latency_ratio),
                _ => baseline.discard_window(),
            }
        }
        self.hold_off = self.hold_off.saturating_sub(1);
        if let Some(changed) = self.back_off(&summary) {
            return changed;
        }
        let is_reached = f64::from(summary.window.peak_in_flight) >= (self.limit * 0.9).floor();
        // Whether the rate was bounded by the limit and not by arrivals. Only then does it show an effect of
        // the limit.
        let is_saturated = is_reached && summary.in_flight >= 0.8 * self.limit;
        if !is_saturated {
            self.trial = Trial::Idle;
            return is_reached && self.may_grow(&summary) && self.increase(&summary, 1.0 / 16.0);
        }
        match self.bounds.nodes > 1.0 {
            true => self.adjust_shared(&summary),
            false => self.adjust_dedicated(&summary),
        }
    }

    /// Multiplicative decrease if many attempts failed, were rejected or timed out; `None` if there were few.
    fn back_off(&mut self, summary: &WindowSummary) -> Option<bool> {
        let (window, ended, limit) = (&summary.window, summary.window.ended(), self.limit);
        let used = limit.min(f64::from(window.peak_in_flight));
        if window.failed * 2 > ended {
            self.trial = Trial::Idle;
            return Some(self.move_to(used / 2.0, Cause::Failed, summary));
        }
        if window.rejected * 50 > ended {
            (self.has_decreased, self.trial) = (true, Trial::Idle);
            return Some(self.move_to(used * 0.85, Cause::Refused, summary));
        }
        if window.timed_out * 5 > ended && self.hold_off == 0 {
            (self.has_decreased, self.trial) = (true, Trial::Idle);
            return Some(self.move_to(limit * 0.8, Cause::Late, summary));
        }
        None
    }

    /// Raises the limit by the fraction `share`, at least by one.
    fn increase(&mut self, summary: &WindowSummary, share: f64) -> bool {
        self.move_to(self.limit + (self.limit * share).max(1.0), Cause::Room, summary)
    }

    /// Sets the limit, within its bounds. Returns whether it has changed.
    fn move_to(&mut self, to: f64, cause: Cause, summary: &WindowSummary) -> bool {
        let from = self.limit;
        let to = to.clamp(self.bounds.min, self.bounds.max);
        if !self.bounds.is_adaptive || (to - from).abs() < 1e-9 && cause != Cause::NotLoad {
            return false;
        }
        self.limit = to;
        if self.recent_changes.len() == MAX_RECENT_CHANGES {
            self.recent_changes.pop_front();
        }
        self.recent_changes.push_back(LimitChange {
            at: summary.ended_at,
            from,
            to,
            cause,
            latency_ratio: summary.latency_ratio,
            responses_per_s: summary.responses_per_s,
        });
        true
    }

    /// A queue threshold in requests. Its fixed part is divided by the number of nodes.
    fn queue_threshold(&self, summary: &WindowSummary, threshold: QueueThreshold) -> f64 {
        f64::max(threshold.requests / self.bounds.nodes, threshold.share * summary.in_flight)
    }

    /// Multiplies all baseline latencies by a factor.
    fn scale_baseline_latencies(&mut self, factor: f64) {
        self.baseline_latencies.iter_mut().for_each(|baseline| baseline.seconds *= factor);
    }

    /// Whether few enough requests are queued at the backend for the limit to grow.
    fn may_grow(&self, summary: &WindowSummary) -> bool {
        summary.queued < self.queue_threshold(summary, GROW_BELOW) && summary.window.served > 0
    }
}
