//! A node's reserve: the quota of one tenant that it was granted in advance.

use crate::limit::{ASSUMED_NODES, BurstAllowance, Limit};
use crate::probabilistic_rejection::ProbabilisticRejection;
use crate::settings::{CONTACT_TIMEOUT, FALLBACK_DURATION, QuotaSettings};
use control_protocol::{QuotaDemand, QuotaGrant};
use policy::Limits as LimitsPolicy;
use std::time::Duration;

/// How long a grant for waiting requests is earmarked for them.
const EARMARK_DURATION: Duration = Duration::from_millis(300);
/// The most waiting requests in one demand. Bounds the size of a message under overload.
const MAX_WAITING: usize = 64;
/// The fraction of the reserve's capacity that has to be missing before a top-up is demanded.
const MIN_TOP_UP_FRACTION: f64 = 0.05;
/// The shortest time that a quota request and its response take.
const MIN_ROUND_TRIP: Duration = Duration::from_millis(15);
/// The shortest time after which a rejected client is to retry. Clients would use up their attempts at once
/// without it.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The longest time after which a rejected client is to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The longest interval between two demands for a tenant, sent even if nothing is needed, so that the quota
/// leader can redistribute the fallback rates.
const MAX_DEMAND_INTERVAL: Duration = Duration::from_secs(4);

/// A granted fallback rate below this fraction of the previous one is reported back at once.
const REPORTED_RATE_FRACTION: f64 = 0.9;

/// What a node does with a new request of a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ReserveDecision {
    /// The reserve covers the cost, which is spent.
    Admitted,
    /// The request waits for a grant of the quota leader.
    Waiting,
    /// The request is beyond the limit; the client is to retry after this time.
    Rejected(Duration),
}

/// The use without grants that was reported to the quota leader in the last demand with a grant.
#[derive(Clone, Copy, Debug)]
struct AcknowledgedUse {
    used_without_grants: f64,
    granted_at: Duration,
}

/// A node's reserve for one tenant.
///
/// The parameter `last_contact` of its functions is when the newest request with a response was sent; `None`
/// if there was none yet.
#[derive(Clone, Debug)]
pub(crate) struct NodeReserve {
    limit: Limit,
    allowance: BurstAllowance,
    policy: LimitsPolicy,
    rejection: ProbabilisticRejection,
    /// The number of nodes that share the limit.
    nodes: u32,
    /// The amount that may be used now. Below 0 if the node has overdrawn the reserve while it had no
    /// contact.
    credit: f64,
    /// The part of the credit that is earmarked for waiting requests.
    earmarked: f64,
    earmarked_until: Duration,
    /// The costs of waiting requests for which no quota was demanded yet.
    waiting: Vec<f64>,
    /// The rate that the node may use without contact; 0 before the first grant.
    fallback_rate: f64,
    /// The amount left in the fleet's bucket at the last grant; 0 before the first.
    shared_remaining: f64,
    /// `None` if the quota leader has no report of this node's use yet, or has to be sent another one.
    acknowledged: Option<AcknowledgedUse>,
    /// When the quota leader expects to have quota to grant again.
    exhausted_until: Duration,
    /// When a rejected client is expected to be admitted.
    retry_at: Duration,
    /// When the credit was last increased without a grant.
    accrued_at: Duration,
    /// The amount that was added to the credit without grants since the process started.
    used_without_grants: f64,
}

impl NodeReserve {
    /// Creates a reserve without credit, for a node that has had no grant yet.
    pub fn new(limit: Limit, settings: &QuotaSettings, policy: &LimitsPolicy, now: Duration) -> Self {
        NodeReserve {
            limit,
            allowance: limit.allowance(settings, policy),
            policy: *policy,
            rejection: ProbabilisticRejection::default(),
            nodes: ASSUMED_NODES,
            credit: 0.0,
            earmarked: 0.0,
            earmarked_until: now,
            waiting: Vec::new(),
            fallback_rate: 0.0,
            shared_remaining: 0.0,
            acknowledged: None,
            exhausted_until: now,
            retry_at: now,
            accrued_at: now,
            used_without_grants: 0.0,
        }
    }

    /// Changes the limit. Credit beyond the new capacity is dropped.
    pub fn set_limit(&mut self, limit: Limit, settings: &QuotaSettings, now: Duration) {
        if limit == self.limit {
            return;
        }
        self.fallback_rate *= limit.rate / self.limit.rate;
        self.limit = limit;
        self.allowance = limit.allowance(settings, &self.policy);
        self.earmarked = 0.0;
        self.acknowledged = None;
        self.exhausted_until = now;
        self.limit_credit(now);
    }

    fn capacity(&self) -> f64 {
        self.allowance.reserve(self.nodes)
    }

    /// Drops credit beyond the capacity, apart from what is earmarked for waiting requests.
    fn limit_credit(&mut self, now: Duration) {
        if now >= self.earmarked_until {
            self.earmarked = 0.0;
        }
        self.credit = self.credit.min(self.capacity() + self.earmarked);
    }

    /// Adds to the credit what the node may use without grants since it lost contact: its fallback rate at
    /// first, and the isolated rate after [`FALLBACK_DURATION`].
    fn accrue(&mut self, now: Duration, last_contact: Option<Duration>) {
        let isolated_at = last_contact.map_or(Duration::ZERO, |contact| contact + CONTACT_TIMEOUT);
        let from = self.accrued_at.max(isolated_at);
        self.accrued_at = self.accrued_at.max(now);
        let fallback_end = last_contact.map_or(Duration::ZERO, |_| isolated_at + FALLBACK_DURATION);
        let fallback_s = now.min(fallback_end).saturating_sub(from).as_secs_f64();
        let isolated_s = now.saturating_sub(from.max(fallback_end)).as_secs_f64();
        self.limit_credit(now);
        let missing = (self.capacity() + self.earmarked - self.credit).max(0.0);
        let added = (fallback_s * self.fallback_rate + isolated_s * self.limit.isolated_rate(self.nodes))
            .min(missing);
        self.credit += added;
        self.used_without_grants += added;
    }

    /// Admits or rejects a new request, or lets it wait for a grant.
    pub fn admit(&mut self, now: Duration, cost: f64, last_contact: Option<Duration>) -> ReserveDecision {
        self.accrue(now, last_contact);
        if self.credit - self.earmarked >= cost {
            self.credit -= cost;
            return ReserveDecision::Admitted;
        }
        if cost > self.allowance.max_cost.max(self.capacity()) {
            return ReserveDecision::Rejected(MAX_RETRY_AFTER);
        }
        if last_contact.is_none_or(|contact| now >= contact + CONTACT_TIMEOUT) {
            return self.admit_isolated(now, cost, last_contact);
        }
        if self.policy.probabilistic_rejection && !self.rejection.draw(now, cost) {
            self.rejection.record_rejected(cost);
            return ReserveDecision::Rejected(self.retry_after(now, cost));
        }
        if now < self.exhausted_until {
            self.rejection.record_rejected(cost);
            return ReserveDecision::Rejected(self.retry_after(now, cost));
        }
        if self.waiting.len() >= MAX_WAITING {
            self.rejection.record_rejected(cost);
            return ReserveDecision::Rejected(accrual_time(cost, self.limit.rate));
        }
        self.waiting.push(cost);
        ReserveDecision::Waiting
    }

    /// Decides on a new request while the node has no contact with a quota leader. The reserve may be
    /// overdrawn.
    fn admit_isolated(
        &mut self,
        now: Duration,
        cost: f64,
        last_contact: Option<Duration>,
    ) -> ReserveDecision {
        let unused = self.shared_remaining + self.limit.rate * CONTACT_TIMEOUT.as_secs_f64();
        let missing = cost - self.credit - self.allowance.isolated_debt(unused, self.nodes);
        if missing <= 0.0 {
            self.credit -= cost;
            return ReserveDecision::Admitted;
        }
        let has_fallback =
            last_contact.is_some_and(|contact| now < contact + CONTACT_TIMEOUT + FALLBACK_DURATION);
        let rate = if has_fallback { self.fallback_rate } else { self.limit.isolated_rate(self.nodes) };
        ReserveDecision::Rejected(accrual_time(missing, rate))
    }

    /// Admits a waiting request if the credit covers its cost. Returns whether it was admitted.
    pub fn admit_waiting(&mut self, now: Duration, cost: f64, last_contact: Option<Duration>) -> bool {
        self.accrue(now, last_contact);
        if self.credit < cost {
            return false;
        }
        self.credit -= cost;
        self.earmarked = (self.earmarked - cost).max(0.0);
        true
    }

    /// The time after which the client of a rejected request is to retry, from 100 ms to 30 s.
    pub fn retry_after(&self, now: Duration, cost: f64) -> Duration {
        if now < self.retry_at {
            return (self.retry_at - now).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        }
        accrual_time(cost, self.limit.rate)
    }

    /// Credits the cost of an admitted request that was not run and will not be.
    pub fn refund(&mut self, now: Duration, cost: f64, last_contact: Option<Duration>) {
        self.accrue(now, last_contact);
        self.credit += cost;
        self.limit_credit(now);
    }

    /// Makes a request for which the last grant was not enough wait for the next one, if that may arrive
    /// before the request's deadline. Returns whether it waits.
    pub fn wait_again(&mut self, now: Duration, cost: f64, deadline: Duration) -> bool {
        let next_grant = self.exhausted_until.max(now) + MIN_ROUND_TRIP;
        let may_wait = next_grant < deadline && self.waiting.len() < MAX_WAITING;
        if may_wait {
            self.waiting.push(cost);
        }
        may_wait
    }

    /// When quota for waiting requests is to be demanded; `None` if it was for all of them.
    pub fn request_at(&self) -> Option<Duration> {
        (!self.waiting.is_empty()).then_some(self.exhausted_until)
    }

    /// Makes the node report its use again, since there is another quota leader.
    pub fn forget_acknowledged(&mut self) {
        self.acknowledged = None;
    }

    /// Sets the number of nodes that share the limit.
    pub fn set_node_count(&mut self, nodes: u32) {
        self.nodes = nodes;
    }

    /// The demand of the node, with what it has to report; `None` if there is nothing to demand or report.
    /// Quota for a waiting request is demanded once. `pending_top_up` is the amount that pending quota
    /// requests already demand.
    pub fn demand(
        &mut self,
        tenant: &str,
        now: Duration,
        pending_top_up: f64,
        last_contact: Option<Duration>,
    ) -> Option<QuotaDemand> {
        self.accrue(now, last_contact);
        let capacity = self.capacity();
        let missing = capacity - (self.credit - self.earmarked) - pending_top_up;
        let waiting = if now < self.exhausted_until { Vec::new() } else { std::mem::take(&mut self.waiting) };
        let top_up = if missing > capacity * MIN_TOP_UP_FRACTION { missing } else { 0.0 };
        let is_current = |acknowledged: AcknowledgedUse| {
            acknowledged.used_without_grants == self.used_without_grants
                && now < acknowledged.granted_at + MAX_DEMAND_INTERVAL
        };
        if waiting.is_empty() && top_up == 0.0 && self.acknowledged.is_some_and(is_current) {
            return None;
        }
        Some(QuotaDemand {
            tenant: tenant.to_owned(),
            waiting,
            top_up,
            fallback_rate: self.fallback_rate,
            used_without_grants: self.used_without_grants,
            rejected_cost: self.rejection.take_rejected_cost(),
        })
    }

    /// Applies a grant. `waiting` is the total cost of the waiting requests in its demand,
    /// `used_without_grants` the use that the demand reported.
    pub fn apply_grant(&mut self, now: Duration, grant: &QuotaGrant, waiting: f64, used_without_grants: f64) {
        let fallback_rate = grant.fallback_rate.clamp(0.0, self.limit.rate);
        // The quota leader keeps the previous rate reserved until the node reports the lower one.
        let is_lower = fallback_rate < self.fallback_rate * REPORTED_RATE_FRACTION;
        self.acknowledged = (!is_lower).then_some(AcknowledgedUse { used_without_grants, granted_at: now });
        self.fallback_rate = fallback_rate;
        self.shared_remaining = grant.remaining;
        self.rejection.set_pressure(now, grant.pressure);
        if grant.wait_ms > 0 {
            self.exhausted_until = now + Duration::from_millis(grant.wait_ms);
            self.retry_at = now + Duration::from_millis(grant.retry_ms);
        }
        self.limit_credit(now);
        self.earmarked += waiting.min(grant.amount).max(0.0);
        self.earmarked_until = now + EARMARK_DURATION;
        self.credit += grant.amount.max(0.0);
        self.limit_credit(now);
    }
}

/// The time in which an amount accrues at a rate, bounded as [`NodeReserve::retry_after`] is.
fn accrual_time(amount: f64, rate: f64) -> Duration {
    let seconds = (amount / rate.max(f64::MIN_POSITIVE)).min(MAX_RETRY_AFTER.as_secs_f64());
    Duration::from_secs_f64(seconds.max(0.0)).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
