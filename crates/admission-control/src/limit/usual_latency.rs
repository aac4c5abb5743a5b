//! The baseline latency of a class at a backend, that is, its latency without queueing. Queueing at the
//! backend is computed from the latency in excess of it.

use super::window::TOLERANCE;

/// The initial estimate is the mean of this number of responses.
const FIRST_RESPONSES: u32 = 8;
/// The smoothing factor of the estimate for lower latencies ...
const FALL: f64 = 0.2;
/// ... and for higher ones, which are followed only while there is little queueing.
const RISE: f64 = 0.02;
/// With this number of responses in a window, its mean counts by a half.
const HALF_CONFIDENCE: f64 = 8.0;

/// The baseline latency of a class at a backend, and the responses of the class in the current window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BaselineLatency {
    /// In seconds; 0 while unknown.
    pub(super) seconds: f64,
    /// The number of responses of the class so far.
    pub(super) responses: u32,
    window_responses: u32,
    window_sum: f64,
}

impl BaselineLatency {
    /// Records the latency of a response.
    pub(super) fn record(&mut self, seconds: f64) {
        self.responses = self.responses.saturating_add(1);
        // A single response may be far from the mean, so the estimate starts with the mean of the first ones.
        if self.responses <= FIRST_RESPONSES {
            self.seconds += (seconds.max(1e-6) - self.seconds) / f64::from(self.responses);
        }
        (self.window_responses, self.window_sum) = (self.window_responses + 1, self.window_sum + seconds);
    }

    /// Ends a window without changing the estimate, as a trial must use one baseline from start to end.
    pub(super) fn discard_window(&mut self) {
        (self.window_responses, self.window_sum) = (0, 0.0);
    }

    /// Ends a window and moves the estimate towards its mean. `latency_ratio` is the latency of all classes
    /// as a multiple of their baselines.
    pub(super) fn follow_window(&mut self, latency_ratio: f64) {
        if self.window_responses == 0 {
            return;
        }
        let responses = f64::from(self.window_responses);
        let mean = self.window_sum / responses;
        let confidence = responses / (responses + HALF_CONFIDENCE);
        // A high latency during queueing does not raise the baseline.
        let step = match mean < self.seconds {
            true => FALL,
            false if latency_ratio < TOLERANCE => RISE,
            false => 0.0,
        };
        self.seconds += (mean - self.seconds) * step * confidence;
        self.discard_window();
    }
}
