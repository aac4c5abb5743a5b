//! The tenants of a gate: their shares of the queue, and their guaranteed rates.

use super::settings::TenantSettings;
use crate::fair_queue::FairQueue;
use rustc_hash::FxHashMap;
use std::time::Duration;

/// The size of a token bucket, in seconds of the guaranteed rate.
const BURST_S: f64 = 1.0;

/// The guaranteed rate of a tenant, enforced by a token bucket.
#[derive(Clone, Copy, Debug)]
struct GuaranteedRate {
    /// Requests per second.
    per_s: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl GuaranteedRate {
    /// The rate with a full bucket, so that a first burst is within it.
    fn new(now: Duration, per_s: f64) -> Self {
        GuaranteedRate { per_s, tokens: (per_s * BURST_S).max(1.0), refilled_at: now }
    }

    /// Takes a token if there is one. Returns whether there was.
    fn take(&mut self, now: Duration) -> bool {
        if self.per_s <= 0.0 {
            return false;
        }
        let refill = self.per_s * now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + refill).min((self.per_s * BURST_S).max(1.0));
        self.refilled_at = now.max(self.refilled_at);
        let has_token = self.tokens >= 1.0 - 1e-9;
        self.tokens -= f64::from(u8::from(has_token));
        has_token
    }
}

/// The tenants, with a slot for each name that has ever been in the settings.
#[derive(Debug, Default)]
pub(super) struct Tenants {
    slots_by_name: FxHashMap<String, usize>,
    /// The slot of each tenant, by its index in the current settings.
    slots: Vec<usize>,
    /// The guaranteed rate of each slot.
    guaranteed_rates: Vec<GuaranteedRate>,
}

impl Tenants {
    /// Replaces the tenants of the settings. Queued requests of removed tenants are served last.
    pub(super) fn set_tenants(&mut self, now: Duration, tenants: &[TenantSettings], queue: &mut FairQueue) {
        let sum_of_shares: f64 = tenants.iter().filter_map(|tenant| tenant.share).sum();
        let without_share = tenants.iter().filter(|tenant| tenant.share.is_none()).count();
        let default_share = (1.0 - sum_of_shares).max(0.0) / without_share.max(1) as f64;
        let previous: Vec<_> = self.slots_by_name.values().copied().collect();
        previous.iter().for_each(|slot| queue.set_share(*slot, 0.0));
        self.slots.clear();
        for tenant in tenants {
            let next = self.slots_by_name.len();
            let slot = *self.slots_by_name.entry(tenant.name.clone()).or_insert(next);
            queue.set_share(slot, tenant.share.unwrap_or(default_share));
            self.slots.push(slot);
            self.set_guaranteed_rate(now, slot, tenant.guaranteed_rate);
        }
        if tenants.is_empty() {
            queue.set_share(0, 1.0);
        }
    }

    /// Sets a guaranteed rate, in requests per second. A new or changed rate starts with a full bucket.
    fn set_guaranteed_rate(&mut self, now: Duration, slot: usize, per_s: f64) {
        match self.guaranteed_rates.get_mut(slot) {
            Some(known) if known.per_s == per_s => {}
            Some(known) => *known = GuaranteedRate::new(now, per_s),
            None => self.guaranteed_rates.push(GuaranteedRate::new(now, per_s)),
        }
    }

    /// The slot of a tenant by its index in the settings; 0 if there is no such tenant.
    pub(super) fn slot(&self, tenant: usize) -> usize {
        self.slots.get(tenant).copied().unwrap_or(0)
    }

    /// Takes a token of the tenant's guaranteed rate. Returns whether there was one.
    pub(super) fn take_guaranteed(&mut self, now: Duration, slot: usize) -> bool {
        self.guaranteed_rates.get_mut(slot).is_some_and(|rate| rate.take(now))
    }
}
