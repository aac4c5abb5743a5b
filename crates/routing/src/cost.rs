//! The estimated cost of an attempt at a backend: the prefill of uncached prompt blocks and the time to the
//! first byte.

use crate::backend::Backend;
use crate::interface::Load;
use policy::Routing as RoutingPolicy;
use std::time::Duration;

/// A reported load that is older than this is ignored.
pub const LOAD_MAX_AGE: Duration = Duration::from_millis(1000);
/// The window over which traffic is measured, in seconds.
pub const RATE_WINDOW_S: f64 = 3.0;
/// Upper bound on the estimated utilization of all backends together.
pub const MAX_UTILIZATION: f64 = 0.9;
/// Added to the time to the first byte at a backend without a free slot, in multiples of the latency target.
const FULL_PENALTY: f64 = 0.5;

/// Estimates for the service as a whole at the time of a decision.
#[derive(Clone, Copy, Debug)]
pub struct ServiceEstimate {
    pub now: Duration,
    /// Prefilled tokens per ms at a backend.
    pub prefill_rate: f64,
    /// The time to the first byte without prefill, in ms.
    pub base_latency_ms: f64,
    /// This node's share of the service's traffic, from 0 to 1.
    pub traffic_share: f64,
    /// Tokens to prefill for a request on average.
    pub mean_prefill_tokens: f64,
    /// Whether the backends prefill prompts. Otherwise all of the response time counts as work.
    pub prefills_prompts: bool,
    /// The share of time that the backends together spend on prefill.
    pub utilization: f64,
    /// The latency target of the request, in ms.
    pub latency_target_ms: f64,
    pub policy: RoutingPolicy,
}

impl ServiceEstimate {
    /// The time for which the requests that are already at the backend delay another one, in ms.
    pub fn wait_ms(&self, backend: &Backend) -> f64 {
        if self.prefills_prompts { self.prefill_wait_ms(backend) } else { self.queue_wait_ms(backend) }
    }

    fn prefill_wait_ms(&self, backend: &Backend) -> f64 {
        let own_ms = backend.pending_tokens / self.prefill_rate;
        let reported_ms = backend
            .reported_load
            .filter(|report| self.now.saturating_sub(report.received_at) <= LOAD_MAX_AGE)
            .map(|report| {
                let age_ms = self.now.saturating_sub(report.received_at).as_secs_f64() * 1e3;
                let queued_ms = f64::from(report.load.waiting) * self.mean_prefill_tokens / self.prefill_rate;
                let is_full = report.load.running + report.sends_since >= report.load.slots.max(1);
                let penalty = if is_full { FULL_PENALTY * self.latency_target_ms } else { 0.0 };
                (queued_ms + report.tokens_since / self.prefill_rate - age_ms).max(0.0) + penalty
            });
        own_ms.max(reported_ms.unwrap_or(0.0))
    }

    fn queue_wait_ms(&self, backend: &Backend) -> f64 {
        let Some(report) = backend
            .reported_load
            .filter(|report| self.now.saturating_sub(report.received_at) <= LOAD_MAX_AGE)
        else {
            return 0.0;
        };
        let Load { running, waiting, slots } = report.load;
        let slots = f64::from(slots.max(1));
        let queued = f64::from(running + waiting + report.sends_since) - slots;
        (queued + 1.0).max(0.0) / slots * self.base_latency_ms
    }

    /// The expected time to the first byte of an attempt, in ms.
    pub fn first_byte_ms(&self, backend: &Backend, uncached_tokens: f64) -> f64 {
        let prefill_ms = if self.prefills_prompts { uncached_tokens / self.prefill_rate } else { 0.0 };
        let slowness = if self.policy.slowness { backend.slowness(self.now) } else { 1.0 };
        let slowness = (slowness / self.policy.slow_threshold).max(1.0);
        (self.wait_ms(backend) + prefill_ms + self.base_latency_ms) * slowness
    }

    /// The cost of an attempt in ms: the time to the first byte, and the time of the prefill with a weight
    /// that rises with the utilization.
    pub fn cost(&self, backend: &Backend, uncached_tokens: f64, uncached_shared_tokens: f64) -> f64 {
        let RoutingPolicy { repeated_prefill_cost, prefill_cost, busy_weight, .. } = self.policy;
        let utilization_weight = 1.0 + busy_weight * self.utilization / (1.0 - self.utilization);
        let prefill_cost_ms = (repeated_prefill_cost * uncached_shared_tokens
            + prefill_cost * uncached_tokens)
            / self.prefill_rate
            * utilization_weight;
        prefill_cost_ms + self.first_byte_ms(backend, uncached_tokens)
    }
}
