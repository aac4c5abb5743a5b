//! Estimate of the prefill rate of backends from observed times to the first byte.

use std::time::Duration;

/// The factor by which the weight of all earlier observations is multiplied at each observation.
const DECAY: f64 = 0.99;
/// Prefilled tokens per ms that are assumed before enough is observed.
const DEFAULT_PREFILL_RATE: f64 = 40.0;
/// Lower bound on the estimated prefill rate, in tokens per ms.
const MIN_PREFILL_RATE: f64 = 2.0;
/// Upper bound on the estimated prefill rate, in tokens per ms.
const MAX_PREFILL_RATE: f64 = 1000.0;
/// Sum of the weights of observations from which on the slope is used.
const MIN_OBSERVATIONS: f64 = 8.0;
/// The time to the first byte that is assumed before the first observation, in ms.
const DEFAULT_FIRST_BYTE_MS: f64 = 40.0;

/// A linear regression of the time to the first byte (y, in ms) on prefilled tokens (x), by exponentially
/// weighted least squares. The observations include the delay by the load of other nodes, as an attempt
/// experiences it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyModel {
    /// Sum of the weights.
    n: f64,
    /// Weighted sums of x, y, x² and xy.
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LatencyModel {
    /// Adds an observation: `tokens` were prefilled and the first byte arrived after `elapsed`.
    pub fn observe(&mut self, tokens: f64, elapsed: Duration) {
        let ms = elapsed.as_secs_f64() * 1e3;
        for sum in [&mut self.n, &mut self.x, &mut self.y, &mut self.xx, &mut self.xy] {
            *sum *= DECAY;
        }
        self.n += 1.0;
        self.x += tokens;
        self.y += ms;
        self.xx += tokens * tokens;
        self.xy += tokens * ms;
    }

    /// Prefilled tokens per ms: the inverse of the slope. The default where prompts differ too little in
    /// length for a slope, or where it is not positive.
    pub fn prefill_rate(&self) -> f64 {
        let variance = self.n * self.xx - self.x * self.x;
        let slope = (self.n * self.xy - self.x * self.y) / variance;
        if self.n < MIN_OBSERVATIONS || variance <= 1e-6 * self.n * self.xx || slope <= 0.0 {
            return DEFAULT_PREFILL_RATE;
        }
        (1.0 / slope).clamp(MIN_PREFILL_RATE, MAX_PREFILL_RATE)
    }

    /// The time to the first byte of an attempt without prefill, in ms: the intercept.
    pub fn base_latency_ms(&self) -> f64 {
        if self.n < 1.0 {
            return DEFAULT_FIRST_BYTE_MS;
        }
        ((self.y - self.x / self.prefill_rate()) / self.n).max(1.0)
    }
}
