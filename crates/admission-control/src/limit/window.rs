//! Counts of a backend's responses in a short time window, and the load estimated from them.

use std::time::Duration;

/// The effective number of responses that a window needs; with fewer the result is noise.
const MIN_SAMPLES: f64 = 32.0;
const MIN_LENGTH: Duration = Duration::from_millis(100);
/// A window in which any attempt has ended is complete at this age.
const MAX_LENGTH: Duration = Duration::from_secs(1);
/// A window without a response ends after this number of failed connections.
const MIN_FAILURES: u32 = 4;
/// Latency up to this multiple of the baseline does not indicate queueing, as service times vary.
pub(super) const TOLERANCE: f64 = 1.3;

/// The attempts that have ended since the start of the window.
#[derive(Clone, Copy, Debug)]
pub(super) struct Window {
    pub(super) started_at: Duration,
    pub(super) served: u32,
    pub(super) rejected: u32,
    pub(super) timed_out: u32,
    pub(super) failed: u32,
    /// The sum of the latencies of served attempts, in seconds.
    pub(super) latency_sum: f64,
    /// The work served: the sum of the baseline latencies of served attempts, in seconds.
    pub(super) work: f64,
    /// The sum of the squares of these baseline latencies.
    pub(super) work_squares: f64,
    /// The maximum number of attempts in flight.
    pub(super) peak_in_flight: u32,
    /// The sum of the numbers of attempts in flight at each end of an attempt.
    pub(super) in_flight_sum: f64,
}

impl Window {
    /// An empty window that starts with this many attempts in flight.
    pub(super) fn new(started_at: Duration, in_flight: u32) -> Self {
        Window {
            started_at,
            served: 0,
            rejected: 0,
            timed_out: 0,
            failed: 0,
            latency_sum: 0.0,
            work: 0.0,
            work_squares: 0.0,
            peak_in_flight: in_flight,
            in_flight_sum: 0.0,
        }
    }

    /// Kish's effective sample size, (Σw)²/Σw²: with 100 fast responses and two slow ones, the two dominate.
    fn effective_samples(&self) -> f64 {
        self.work * self.work / self.work_squares.max(1e-18)
    }

    /// The number of attempts that have ended.
    pub(super) fn ended(&self) -> u32 {
        self.served + self.rejected + self.timed_out + self.failed
    }

    /// Records a response with its latency and the baseline latency of its class.
    pub(super) fn record_served(&mut self, seconds: f64, baseline_seconds: f64) {
        self.served += 1;
        self.latency_sum += seconds;
        self.work += baseline_seconds;
        self.work_squares += baseline_seconds * baseline_seconds;
    }

    /// Whether the window is complete at this age.
    pub(super) fn is_complete(&self, age: Duration) -> bool {
        let samples = self.effective_samples() + f64::from(self.ended() - self.served);
        let has_samples = samples >= MIN_SAMPLES && age >= MIN_LENGTH;
        // A failing backend is recognized before there are enough samples.
        let is_failing = self.failed >= MIN_FAILURES && self.served == 0;
        has_samples || is_failing || self.ended() > 0 && age >= MAX_LENGTH
    }
}

/// The measurements of a complete window.
#[derive(Clone, Copy, Debug)]
pub(super) struct WindowSummary {
    pub(super) window: Window,
    pub(super) ended_at: Duration,
    /// The length of the window in seconds.
    pub(super) seconds: f64,
    /// Latency as a multiple of the baseline latency.
    pub(super) latency_ratio: f64,
    /// Responses per second.
    pub(super) responses_per_s: f64,
    /// The mean number of attempts in flight.
    pub(super) in_flight: f64,
    /// The estimated number of these that were queued at the backend.
    pub(super) queued: f64,
}

impl WindowSummary {
    /// Summarizes a window that ends now at this age. Queued attempts are estimated as in TCP Vegas: the
    /// number in flight times the fraction of the latency in excess of the baseline.
    pub(super) fn of(window: Window, now: Duration, age: Duration) -> Self {
        let seconds = age.as_secs_f64();
        let latency_ratio = if window.work > 0.0 { window.latency_sum / window.work } else { 1.0 };
        let in_flight = window.in_flight_sum / f64::from(window.ended().max(1));
        WindowSummary {
            window,
            ended_at: now,
            seconds,
            latency_ratio,
            responses_per_s: f64::from(window.served) / seconds.max(1e-3),
            in_flight,
            queued: in_flight * (1.0 - TOLERANCE / latency_ratio.max(TOLERANCE)),
        }
    }
}
