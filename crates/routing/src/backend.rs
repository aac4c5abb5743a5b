//! A node's state for one backend. Makes no decisions.

use crate::affinity::hash_of;
use crate::health::Health;
use crate::interface::*;
use join_up_to::join::Estimate;
use std::time::Duration;

/// An attempt whose first byte has not arrived.
#[derive(Clone, Copy, Debug)]
pub struct PendingAttempt {
    pub attempt: AttemptId,
    pub sent_at: Duration,
    /// Tokens to prefill for the attempt.
    pub tokens: f64,
    /// The expected time from `sent_at` to the first byte, in ms.
    pub expected_ms: f64,
}

/// A load that a backend reported, and what this node has sent there since.
#[derive(Clone, Copy, Debug)]
pub struct ReportedLoad {
    pub load: Load,
    pub received_at: Duration,
    /// This node's attempts since then.
    pub sends_since: u32,
    /// Tokens to prefill for those attempts.
    pub tokens_since: f64,
}

/// A node's state for one backend. "Attempts" are those of this node.
#[derive(Clone, Debug)]
pub struct Backend {
    pub entry: BackendEntry,
    /// A number that no other backend of this service ever had.
    pub number: u32,
    /// The hash of the backend's id, the same at all nodes.
    pub hash: u64,
    pub slow_start_began: Duration,
    pub slow_start_ends: Duration,
    /// The estimate of Join-Up-To(m).
    pub estimate: Estimate,
    /// When the last attempt was sent.
    pub last_send: Option<Duration>,
    /// The number of attempts in flight.
    pub in_flight: u32,
    /// The attempts in flight whose first byte has not arrived, the oldest first.
    pub pending: Vec<PendingAttempt>,
    /// Tokens to prefill for the pending attempts.
    pub pending_tokens: f64,
    pub reported_load: Option<ReportedLoad>,
    /// When anything was last received from the backend.
    pub last_received: Option<Duration>,
    /// Whether the last attempt to end was served.
    pub last_was_served: bool,
    /// When the backend stops counting as full after it rejected a request.
    pub full_until: Duration,
    /// The shortest queue length at which the backend rejected a request.
    pub full_queue_length: Option<u32>,
    /// When a load report was last requested.
    pub report_requested_at: Option<Duration>,
    /// The smoothed ratio of observed to expected times to the first byte, as of `slowness_updated_at`.
    pub slowness: f64,
    pub slowness_updated_at: Duration,
    pub health: Health,
}

/// Time constant of the decay of slowness to 1, in seconds. The decay lets a backend that was slow be tried
/// again.
const SLOWNESS_TIME_CONSTANT_S: f64 = 5.0;
/// A backend in slow start gets at least this fraction of the requests that others get.
const MIN_SLOW_START_FACTOR: f64 = 0.1;
/// The weight of one response in the slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;
/// Bounds on the slowness of a single response.
const MIN_SLOWNESS: f64 = 0.25;
const MAX_SLOWNESS: f64 = 16.0;
/// The multiple of the expected time to the first byte after which a backend without a sign of life counts as
/// silent.
const SILENCE_FACTOR: f64 = 4.0;

impl Backend {
    pub fn new(entry: BackendEntry, number: u32, now: Duration) -> Self {
        let hash = hash_of(entry.id.0.as_bytes());
        let slow_start_ends = now + entry.slow_start_remaining;
        Backend {
            entry,
            number,
            hash,
            slow_start_began: now,
            slow_start_ends,
            estimate: Estimate::default(),
            last_send: None,
            in_flight: 0,
            pending: Vec::new(),
            pending_tokens: 0.0,
            reported_load: None,
            last_received: None,
            last_was_served: false,
            full_until: Duration::ZERO,
            full_queue_length: None,
            report_requested_at: None,
            slowness: 1.0,
            slowness_updated_at: now,
            health: Health::default(),
        }
    }

    /// The requests that the backend gets relative to others. Grows linearly to 1 during slow start.
    pub fn slow_start_factor(&self, now: Duration) -> f64 {
        if now >= self.slow_start_ends {
            return 1.0;
        }
        let duration_s = (self.slow_start_ends - self.slow_start_began).as_secs_f64();
        let elapsed_s = now.saturating_sub(self.slow_start_began).as_secs_f64();
        (elapsed_s / duration_s).clamp(MIN_SLOW_START_FACTOR, 1.0)
    }

    pub fn record_attempt(&mut self, now: Duration, attempt: PendingAttempt) {
        self.estimate.record_send();
        self.last_send = Some(now);
        self.in_flight += 1;
        self.pending_tokens += attempt.tokens;
        if let Some(reported_load) = &mut self.reported_load {
            reported_load.sends_since += 1;
            reported_load.tokens_since += attempt.tokens;
        }
        self.pending.push(attempt);
    }

    /// Whether an estimate above zero is out of date: no attempt is in flight, the last one was served, and
    /// nothing was received for `min_idle`. The last reported load is then out of date too, and no other
    /// arrives unless a request is sent.
    pub fn has_stale_estimate(&self, now: Duration, min_idle: Duration) -> bool {
        let is_idle =
            self.last_received.is_some_and(|received_at| now.saturating_sub(received_at) >= min_idle);
        self.in_flight == 0 && self.last_was_served && is_idle && self.estimate != Estimate::default()
    }

    /// Removes an attempt whose first byte has arrived or which has ended. Returns it if it was pending.
    pub fn remove_pending(&mut self, attempt: AttemptId) -> Option<PendingAttempt> {
        let index = self.pending.iter().position(|other| other.attempt == attempt)?;
        let removed = self.pending.remove(index);
        self.pending_tokens =
            if self.pending.is_empty() { 0.0 } else { self.pending_tokens - removed.tokens };
        Some(removed)
    }

    /// Updates the slowness with the ratio of the observed to the expected time to a first byte.
    pub fn observe_slowness(&mut self, now: Duration, ratio: f64) {
        let current = self.slowness(now);
        self.slowness = current + (ratio.clamp(MIN_SLOWNESS, MAX_SLOWNESS) - current) * SLOWNESS_WEIGHT;
        self.slowness_updated_at = now;
    }

    /// The smoothed ratio of observed to expected times to the first byte, decayed to the present.
    pub fn slowness(&self, now: Duration) -> f64 {
        if self.slowness == 1.0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.slowness_updated_at).as_secs_f64();
        1.0 + (self.slowness - 1.0) * (-age / SLOWNESS_TIME_CONSTANT_S).exp()
    }

    /// Whether the oldest pending attempt has waited for its first byte for longer than `min_timeout` and a
    /// multiple of the expected time, and nothing else was received from the backend since it was sent.
    pub fn is_silent(&self, now: Duration, min_timeout: Duration) -> bool {
        let Some(oldest) = self.pending.first() else { return false };
        let timeout = min_timeout.max(Duration::from_secs_f64(SILENCE_FACTOR * 1e-3 * oldest.expected_ms));
        let received_since = self.last_received.is_some_and(|received_at| received_at >= oldest.sent_at);
        now.saturating_sub(oldest.sent_at) > timeout && !received_since
    }
}
