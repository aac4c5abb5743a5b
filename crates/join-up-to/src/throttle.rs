//! Client-side adaptive throttling: the fraction of requests that a node rejects at once, computed from the
//! time left when responses arrive. Used where many nodes share the servers, so that a node's own sends say
//! little about server load and only its responses show it. All nodes together then send what the servers can
//! serve in time, without communication. Reads no clock and draws no random numbers.

use crate::rate::Rate;
use std::time::Duration;

/// Permitted attempts per response with full margin. High enough to notice that servers have free capacity
/// again, low enough not to overload them until they slow down.
const OVERSEND_FACTOR: f64 = 1.35;
/// A response with at least this fraction of the attempt's time left counts in full: a response without
/// queueing does not indicate load.
const FULL_MARGIN: f64 = 1.0 / 1.4;
/// This number of attempts may fail before a request is rejected: a node with little traffic has few samples.
const SLACK: f64 = 0.5;
/// The time constant as a fraction of `overload_time`, short because server queues fill up within a second.
const WINDOW_FRACTION: f64 = 1.0 / 6.0;

/// Decayed sums of recent attempts and of the margins of their responses.
pub struct Throttle {
    /// The time constant of both rates in seconds.
    window_s: f64,
    attempts: Rate,
    /// The sum of the margins of responses, each from 0 to 1.
    margin: Rate,
}

impl Throttle {
    /// A throttle for servers that collapse after an overload of this duration.
    pub fn new(overload_time: Duration) -> Self {
        let window_s = (overload_time.as_secs_f64() * WINDOW_FRACTION).max(1e-3);
        Throttle { window_s, attempts: Rate::new(window_s), margin: Rate::new(window_s) }
    }

    /// Records the end of an attempt. `time_left` is the fraction of its time that was left, 0 after a
    /// time-out.
    pub fn record_attempt(&mut self, now: Duration, time_left: f64) {
        self.attempts.add(now, 1.0);
        self.margin.add(now, (time_left / FULL_MARGIN).clamp(0.0, 1.0));
    }

    /// Records a request that was rejected without an attempt.
    pub fn record_rejection(&mut self, now: Duration) {
        self.attempts.add(now, 1.0);
    }

    /// The fraction of arriving requests to reject; none if it is 0 or negative.
    pub fn rejection_fraction(&self, now: Duration) -> f64 {
        let attempts = self.attempts.per_s(now) * self.window_s;
        let margin = self.margin.per_s(now) * self.window_s;
        (attempts - SLACK - OVERSEND_FACTOR * margin) / (attempts + 1.0)
    }
}

#[cfg(test)]
mod tests;
