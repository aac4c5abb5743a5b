//! The fleet's token bucket for one tenant's limit, at the quota leader.

use crate::limit::{BurstAllowance, Limit, MAX_SHARE_FACTOR};
use crate::rate_meter::RateMeter;
use crate::settings::{CONTACT_TIMEOUT, FALLBACK_DURATION, QuotaSettings};
use control_protocol::{QuotaDemand, QuotaGrant};
use policy::Limits as LimitsPolicy;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time constant of the measured use of nodes, by which the fallback rates are distributed.
const USE_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// The time constant of the measured demand for a tenant at all nodes.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(1500);
/// Lower bound on the inflow by which waiting times are estimated, as a fraction of the rate.
const MIN_INFLOW_FRACTION: f64 = 0.01;
/// The shortest wait in a grant, in milliseconds.
const MIN_WAIT_MS: f64 = 10.0;
/// The longest wait in a grant, in milliseconds. Bounds the error of an estimate from few requests.
const MAX_WAIT_MS: f64 = 2000.0;

/// The quota leader's account of a node's use.
#[derive(Clone, Debug)]
struct Account {
    /// The highest fallback rate that the node may have at present.
    fallback_rate: f64,
    /// The measured rate of the quota granted to the node.
    used: RateMeter,
    /// The amount that the node had used without grants at its last report.
    used_without_grants: f64,
    /// The amount that was deducted from the bucket for such use since that report.
    deducted: f64,
}

/// A node that may have lost contact.
#[derive(Clone, Copy)]
pub(crate) struct TimedOutNode<'a> {
    pub name: &'a str,
    /// When the last request arrived whose response the node has acknowledged.
    pub acknowledged_at: Duration,
}

/// The state of the nodes as far as it affects the bucket.
pub(crate) struct FleetStatus<'a> {
    /// The nodes that may have lost contact and use their fallback rates.
    pub timed_out: Vec<TimedOutNode<'a>>,
    /// The number of nodes that share the limits.
    pub node_count: u32,
    /// When this quota leader started.
    pub started_at: Duration,
}

/// The fleet's token bucket for one tenant.
#[derive(Clone, Debug)]
pub(crate) struct SharedBucket {
    limit: Limit,
    allowance: BurstAllowance,
    policy: LimitsPolicy,
    /// The amount in the bucket. Below 0 if it is overdrawn.
    level: f64,
    filled_at: Duration,
    /// The measured demand of all nodes.
    demanded: RateMeter,
    /// The measured rate of the quota granted to all nodes.
    used: RateMeter,
    /// The sum of the fallback rates of all accounts. At most the rate, except for a while after the rate was
    /// lowered.
    fallback_rates: f64,
    /// The sum of the fallback rates that nodes had at their first contact, granted by a previous quota
    /// leader.
    inherited_rates: f64,
    /// The nodes' accounts, by the node's name.
    accounts: BTreeMap<String, Account>,
}

impl SharedBucket {
    /// An empty bucket, since the same limit also covers the use of what a previous quota leader has granted.
    pub fn new(limit: Limit, settings: &QuotaSettings, policy: &LimitsPolicy, now: Duration) -> Self {
        SharedBucket {
            limit,
            allowance: limit.allowance(settings, policy),
            policy: *policy,
            level: 0.0,
            filled_at: now,
            demanded: RateMeter::new(DEMAND_TIME_CONSTANT, now),
            used: RateMeter::new(USE_TIME_CONSTANT, now),
            fallback_rates: 0.0,
            inherited_rates: 0.0,
            accounts: BTreeMap::new(),
        }
    }

    /// Changes the limit. An amount beyond the new capacity is dropped.
    pub fn set_limit(&mut self, limit: Limit, settings: &QuotaSettings) {
        if limit == self.limit {
            return;
        }
        for account in self.accounts.values_mut() {
            account.fallback_rate *= (limit.rate / self.limit.rate).max(1.0);
        }
        self.sum_fallback_rates();
        // Nodes scale their fallback rates when the new limit reaches them.
        self.inherited_rates *= limit.rate / self.limit.rate;
        self.limit = limit;
        self.allowance = limit.allowance(settings, &self.policy);
        self.level = self.level.min(self.allowance.depth);
    }

    fn sum_fallback_rates(&mut self) {
        self.fallback_rates = self.accounts.values().map(|account| account.fallback_rate).sum();
    }

    /// The inflow per second: the rate less the rates that nodes without contact may use.
    fn inflow(&self, now: Duration, fleet: &FleetStatus) -> f64 {
        let timed_out: f64 = fleet.timed_out.iter().map(|node| self.isolated_rate(node, now, fleet)).sum();
        (self.limit.rate - timed_out - self.uncontacted_rate(now, fleet)).max(0.0)
    }

    /// The highest rate that a timed-out node may use.
    fn isolated_rate(&self, node: &TimedOutNode, now: Duration, fleet: &FleetStatus) -> f64 {
        let isolated_rate = self.limit.isolated_rate(fleet.node_count);
        let Some(account) = self.accounts.get(node.name) else { return isolated_rate };
        // Longer than the node's own period by `CONTACT_TIMEOUT`, as the node may count from a request that
        // arrived late. The account's rate also covers a previous limit, if the node does not know the
        // present one yet.
        if now < node.acknowledged_at + 2 * CONTACT_TIMEOUT + FALLBACK_DURATION {
            account.fallback_rate.max(isolated_rate)
        } else {
            isolated_rate
        }
    }

    /// The highest rate that nodes may use which a previous quota leader had contact with and this one has
    /// not: at most what is left of the rate besides the inherited ones, and at most [`MAX_SHARE_FACTOR`]
    /// even shares for each node.
    fn uncontacted_rate(&self, now: Duration, fleet: &FleetStatus) -> f64 {
        if now >= fleet.started_at + 2 * CONTACT_TIMEOUT + FALLBACK_DURATION {
            return 0.0;
        }
        let count = f64::from(fleet.node_count.max(1));
        let uncontacted = (count - self.accounts.len() as f64).max(0.0);
        let max_rate = self.limit.rate * MAX_SHARE_FACTOR / count;
        (self.limit.rate - self.inherited_rates).max(0.0).min(uncontacted * max_rate)
    }

    /// Adds the inflow since the last call. To be called often, since it assumes that the same nodes were
    /// without contact all the time since then.
    pub fn fill(&mut self, now: Duration, fleet: &FleetStatus) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let inflow = elapsed * self.inflow(now, fleet);
        self.level = (self.level + inflow).min(self.allowance.depth).max(self.level);
        for node in &fleet.timed_out {
            let deducted = elapsed * self.isolated_rate(node, now, fleet);
            if let Some(account) = self.accounts.get_mut(node.name) {
                account.deducted += deducted;
            }
        }
    }

    /// Corrects the level by the difference between what a node reports to have used without grants and what
    /// was deducted for such use.
    fn reconcile(&mut self, now: Duration, node: &str, used_without_grants: f64, fallback_rate: f64) {
        if !self.accounts.contains_key(node) {
            let used = RateMeter::new(USE_TIME_CONSTANT, now);
            let account = Account { fallback_rate: 0.0, used, used_without_grants, deducted: 0.0 };
            self.accounts.insert(node.to_string(), account);
            self.inherited_rates += fallback_rate.clamp(0.0, self.limit.rate);
        }
        let Some(account) = self.accounts.get_mut(node) else { return };
        // A process that has restarted reports a lower amount than before.
        let newly_used = if used_without_grants >= account.used_without_grants {
            used_without_grants - account.used_without_grants
        } else {
            used_without_grants
        };
        let deducted = std::mem::take(&mut account.deducted);
        // The return is bounded: an amount deducted long ago but not used would otherwise have overflowed the
        // bucket or been used by other nodes, so that returning all of it at once would count it twice.
        let max_returned = account.fallback_rate * CONTACT_TIMEOUT.as_secs_f64();
        let correction = (newly_used - deducted).max(-max_returned);
        account.used_without_grants = used_without_grants;
        self.level = (self.level - correction).min(self.allowance.depth);
    }

    /// The lowest level at which a request of this cost is granted. It is 0 for costs up to the amount by
    /// which the bucket may be overdrawn, so that large requests wait no longer than small ones.
    fn threshold(&self, cost: f64) -> f64 {
        (cost - self.allowance.debt).max(0.0).min(self.allowance.depth)
    }

    /// Adds the inflow of a period that is not included yet and in which nothing was used.
    pub fn add_unused(&mut self, time: Duration) {
        self.level = (self.level + time.as_secs_f64() * self.limit.rate).min(self.allowance.depth);
    }

    /// Grants a node what it demands, as far as the level allows.
    pub fn grant(
        &mut self,
        now: Duration,
        node: &str,
        demand: &QuotaDemand,
        fleet: &FleetStatus,
    ) -> QuotaGrant {
        self.fill(now, fleet);
        let reported_rate = valid_amount(demand.fallback_rate);
        self.reconcile(now, node, valid_amount(demand.used_without_grants), reported_rate);
        let waiting: f64 = demand.waiting.iter().sum();
        let (granted, missing) = self.grant_waiting(&demand.waiting);
        let top_up = self.grant_top_up(demand.top_up);
        self.demanded.add(now, waiting.max(0.0) + valid_amount(demand.rejected_cost));
        self.used.add(now, granted + top_up);
        let fallback_rate = self.grant_fallback_rate(now, node, granted + top_up, reported_rate, fleet);
        let (wait_ms, retry_ms) = missing.map_or((0, 0), |missing| self.waits_ms(now, missing, fleet));
        QuotaGrant {
            tenant: demand.tenant.clone(),
            amount: granted + top_up,
            fallback_rate,
            remaining: (self.level + self.allowance.debt).max(0.0),
            wait_ms,
            retry_ms,
            pressure: self.pressure(now),
        }
    }

    /// Grants quota for waiting requests in order. Returns the amount, and by how much the level is too low
    /// for the first request without a grant.
    fn grant_waiting(&mut self, waiting: &[f64]) -> (f64, Option<f64>) {
        let (mut granted, mut first_missing) = (0.0, None);
        for cost in waiting.iter().copied().filter(|cost| cost.is_finite() && *cost > 0.0) {
            let missing = self.threshold(cost) - self.level;
            if cost <= self.allowance.max_cost && missing <= 0.0 {
                self.level -= cost;
                granted += cost;
            } else {
                first_missing.get_or_insert(missing);
            }
        }
        (granted, first_missing)
    }

    /// Grants a top-up from what is above the part of the level that the policy reserves for waiting
    /// requests.
    fn grant_top_up(&mut self, demanded: f64) -> f64 {
        let demanded = valid_amount(demanded);
        let granted = (self.level - self.allowance.depth * self.policy.top_up_floor).clamp(0.0, demanded);
        self.level -= granted;
        granted
    }

    /// Grants a node its fallback rate: its recent use and an even share of the unused rate. The rate is
    /// bounded by what other nodes leave of the limit, so that all fallback rates together are within it
    /// however old some of them are, and by [`MAX_SHARE_FACTOR`]. `reported_rate` is the fallback rate that
    /// the node has until the response arrives.
    fn grant_fallback_rate(
        &mut self,
        now: Duration,
        node: &str,
        used: f64,
        reported_rate: f64,
        fleet: &FleetStatus,
    ) -> f64 {
        let all_used = self.used.rate(now);
        let uncontacted = self.uncontacted_rate(now, fleet);
        let count = (fleet.node_count as usize).max(self.accounts.len()).max(1) as f64;
        let (rate, fallback_rates) = (self.limit.rate, self.fallback_rates);
        let Some(account) = self.accounts.get_mut(node) else { return 0.0 };
        account.used.add(now, used);
        let own = account.used.rate(now);
        let fair = if all_used > rate { own * rate / all_used } else { own + (rate - all_used) / count };
        let others = fallback_rates - account.fallback_rate;
        let max_rate = rate * MAX_SHARE_FACTOR / count;
        let granted = fair.min(max_rate).min(rate - others - uncontacted).max(0.0);
        account.fallback_rate = granted.max(reported_rate.clamp(0.0, rate));
        self.fallback_rates = others + account.fallback_rate;
        granted
    }

    /// The pressure on the limit: 1 with a full bucket, as what is in it is granted first, and the demand as
    /// a multiple of the rate once the level has fallen to the policy's target level. With probabilistic
    /// rejection, nodes then demand only 1 / pressure of the tenant's requests, which is about the inflow
    /// however much the tenant sends, so that the level stays near the target and nearly all that is demanded
    /// is granted.
    fn pressure(&mut self, now: Duration) -> f64 {
        let demand_ratio = self.demanded.rate(now) / self.limit.rate;
        let depletion = 1.0 - (self.level / self.allowance.depth.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
        let target_depletion = (1.0 - self.policy.target_level).max(f64::MIN_POSITIVE);
        1.0 + (demand_ratio - 1.0).max(0.0) * (depletion / target_depletion)
    }

    /// The time until the level suffices for a request, and the time after which a rejected client is to
    /// retry, which is longer in proportion to the demand; both in milliseconds. `missing` is by how much the
    /// level is too low.
    fn waits_ms(&mut self, now: Duration, missing: f64, fleet: &FleetStatus) -> (u64, u64) {
        let demand_ratio = (self.demanded.rate(now) / self.limit.rate).max(1.0);
        let inflow = self.inflow(now, fleet).max(self.limit.rate * MIN_INFLOW_FRACTION);
        let wait_ms = missing.max(0.0) / inflow * 1000.0;
        let bounded = |wait_ms: f64| wait_ms.clamp(MIN_WAIT_MS, MAX_WAIT_MS) as u64;
        (bounded(wait_ms), bounded(wait_ms * demand_ratio))
    }

    /// Removes the account of a node that has left.
    pub fn remove_node(&mut self, node: &str) {
        self.accounts.remove(node);
        self.sum_fallback_rates();
    }
}

/// An amount in a message; 0 if it is negative or not finite.
fn valid_amount(amount: f64) -> f64 {
    if amount.is_finite() { amount.max(0.0) } else { 0.0 }
}
