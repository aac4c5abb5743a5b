//! Computes the times at which rejected clients are asked to retry, spread so that they do not retry
//! simultaneously. No random numbers are needed: the additive recurrence of the golden ratio, a
//! low-discrepancy sequence, spreads any number of successive rejections evenly over the range.

use std::time::Duration;

/// The fractional part of the golden ratio. Its multiples, modulo 1, fill an interval more evenly than random
/// numbers.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;
/// The maximum wait of a client, as a multiple of the minimum.
pub const MAX_WAIT_FACTOR: f64 = 8.0;

/// Spreads the retry times of successively rejected clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryAfterSpread {
    /// The position in the sequence, from 0 to 1.
    position: f64,
}

impl RetryAfterSpread {
    /// The wait for the next client, from `min` to `min` times `pressure`, the ratio of arriving work to the
    /// work that can be served: at twice the capacity half of the work must arrive later, so the maximum wait
    /// is doubled. The range spans at least one second, the unit of the header field, or `min` if that is
    /// shorter.
    pub fn next(&mut self, min: Duration, pressure: f64) -> Duration {
        self.position = (self.position + GOLDEN_RATIO_FRACTION).fract();
        let factor =
            if pressure.is_finite() { pressure.clamp(1.0, MAX_WAIT_FACTOR) } else { MAX_WAIT_FACTOR };
        let span = min.mul_f64(factor - 1.0).max(min.min(Duration::from_secs(1)));
        min + span.mul_f64(self.position)
    }
}
