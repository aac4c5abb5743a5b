//! A tenant's limit, and the division of its burst allowance between the fleet's bucket and the nodes'
//! reserves.

use crate::settings::QuotaSettings;
use configuration::{Tenant, Unit};
use policy::Limits as LimitsPolicy;
use std::time::Duration;

/// The longest time between the admission of a request and its being counted as use.
const COUNTING_DELAY: Duration = Duration::from_millis(600);
/// The smallest fraction of the allowance that is used, even if [`COUNTING_DELAY`] of the rate takes up more
/// of it.
const MIN_USED_FRACTION: f64 = 0.6;
/// The fraction of the rate that all nodes together use after a long time without contact.
const ISOLATED_FRACTION: f64 = 0.3;
/// The highest fallback rate of a node as a multiple of its even share of the rate. With this bound, the next
/// quota leader can bound the use of the nodes that it has no contact with by their number.
pub(crate) const MAX_SHARE_FACTOR: f64 = 2.0;
/// The number of nodes that is assumed before it is known.
pub(crate) const ASSUMED_NODES: u32 = 16;
/// The smallest number of nodes that is assumed, since the count is too low while a fleet starts.
const MIN_NODES: u32 = 4;

/// A tenant's rate and burst for all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Limit {
    /// The rate of all nodes together, in requests or tokens per second.
    pub rate: f64,
    /// Requests or tokens that may be used at once beyond the rate.
    pub burst: f64,
    unit: Unit,
}

/// The amounts that may be used beyond the rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BurstAllowance {
    /// The capacity of the fleet's bucket.
    pub depth: f64,
    /// The amount by which the fleet's bucket may be overdrawn.
    pub debt: f64,
    /// The capacity of the reserves of all nodes together.
    pub reserves: f64,
    /// The cost above which a request is never granted quota.
    pub max_cost: f64,
}

impl Limit {
    /// The limit of a tenant; `None` if it has no rate above 0.
    pub fn of(tenant: &Tenant) -> Option<Self> {
        let rate = tenant.rate_per_s.filter(|rate| *rate > 0.0)?;
        let burst = tenant.burst.unwrap_or(0.0).max(0.0);
        Some(Limit { rate, burst, unit: tenant.unit })
    }

    /// Divides what may be used beyond the rate: the burst and the tolerated excess, less what is admitted
    /// but not counted yet.
    pub fn allowance(&self, settings: &QuotaSettings, policy: &LimitsPolicy) -> BurstAllowance {
        let slack = if self.unit == Unit::Tokens { settings.token_slack } else { 0.0 };
        let total =
            self.burst + settings.overuse_ratio * (self.rate * settings.window_s + self.burst) + slack;
        let uncounted = self.rate * COUNTING_DELAY.as_secs_f64();
        let used = (total - uncounted).max(total * MIN_USED_FRACTION) * policy.used_part;
        let shared = used * policy.shared_part;
        let one_request = if self.unit == Unit::Requests { 1.0 } else { 0.0 };
        BurstAllowance {
            depth: shared * policy.depth_part,
            debt: shared * (1.0 - policy.depth_part),
            reserves: used - shared,
            max_cost: shared.max(one_request),
        }
    }

    /// The rate that a node may use after a long time without contact.
    pub fn isolated_rate(&self, nodes: u32) -> f64 {
        self.rate * ISOLATED_FRACTION / f64::from(nodes.max(MIN_NODES))
    }
}

impl BurstAllowance {
    /// The capacity of one node's reserve.
    pub fn reserve(&self, nodes: u32) -> f64 {
        self.reserves / f64::from(nodes.max(MIN_NODES))
    }

    /// The amount by which a node without contact may overdraw its reserve: its share of what remains in the
    /// fleet's bucket, as nothing is granted from it then. `unused` is the amount left there at the last
    /// grant and the inflow until nodes use their fallback rates.
    pub fn isolated_debt(&self, unused: f64, nodes: u32) -> f64 {
        unused.clamp(0.0, self.depth + self.debt) / f64::from(nodes.max(MIN_NODES))
    }
}
