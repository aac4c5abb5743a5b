//! A tenant's limit, and how what the rule leaves beyond the rate is divided between the fleet's bucket and the reserves.

use configuration::{Tenant, Unit};
use policy::Limits as LimitsPolicy;
use std::time::Duration;

/// How long a request may be under way between its admission and the moment at which the rule counts it.
const UNDER_WAY: Duration = Duration::from_millis(600);
/// The least part of the room that is used where a second of the rate is more than all of it.
const LEAST_USED: f64 = 0.6;
/// A node without a grantor for long uses this part of the limit, divided by the number of nodes.
pub(crate) const KEPT_BACK: f64 = 0.3;
/// By how many times its even part of the rate a node is promised at most. Guards against a node that a next grantor does not
/// hear: what it goes on with then is bounded by the number of such nodes.
pub(crate) const MOST_UNEVEN: f64 = 2.0;
/// The number of nodes that is assumed before any is told.
pub(crate) const ASSUMED_NODES: u32 = 16;
/// The least number of nodes that is counted with. Guards against a count from the first moments of a fleet.
pub(crate) const LEAST_NODES: u32 = 4;
/// A node is without a grantor when the last question that was answered is so old.
pub(crate) const CONTACT: Duration = Duration::from_millis(1100);
/// A grantor counts with a node's rate when the last question that the node knows to be answered came so long ago. More than
/// two questions and an answer take; less than [`CONTACT`] by what a message may take.
pub(crate) const SILENT: Duration = Duration::from_millis(900);
/// For so long after that a node goes on with the rate that it was told.
pub(crate) const CONTINUED: Duration = Duration::from_secs(10);

/// The figures of the rule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// The length of the window, in seconds.
    pub window_s: f64,
    /// The part by which all may go beyond the limit.
    pub over: f64,
    /// The amount by which all may go beyond it besides, in tokens.
    pub slack: f64,
}

/// A tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Limit {
    /// Per second.
    pub rate: f64,
    /// At once beyond that.
    pub burst: f64,
    unit: Unit,
}

/// What may be used beyond the rate, and by whom.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Room {
    /// The depth of the fleet's bucket.
    pub depth: f64,
    /// What the fleet's bucket may owe.
    pub debt: f64,
    /// The reserves of all nodes together.
    pub reserves: f64,
    /// The largest request that is ever admitted.
    pub largest: f64,
}

impl Limit {
    /// The limit of a tenant; `None` if it has none.
    pub fn of(tenant: &Tenant) -> Option<Self> {
        let rate = tenant.rate_per_s.filter(|rate| *rate > 0.0)?;
        let burst = tenant.burst.unwrap_or(0.0).max(0.0);
        Some(Limit { rate, burst, unit: tenant.unit })
    }

    /// What may be used beyond the rate.
    pub fn room(&self, terms: &Terms, policy: &LimitsPolicy) -> Room {
        let slack = if self.unit == Unit::Tokens { terms.slack } else { 0.0 };
        let whole = self.burst + terms.over * (self.rate * terms.window_s + self.burst) + slack;
        let under_way = self.rate * UNDER_WAY.as_secs_f64();
        let used = (whole - under_way).max(whole * LEAST_USED) * policy.used;
        let pool = used * policy.pool;
        let one = if self.unit == Unit::Requests { 1.0 } else { 0.0 };
        Room {
            depth: pool * policy.depth,
            debt: pool * (1.0 - policy.depth),
            reserves: used - pool,
            largest: pool.max(one),
        }
    }

    /// What a node uses per second that has heard of no grantor for long.
    pub fn kept_back(&self, nodes: u32) -> f64 {
        self.rate * KEPT_BACK / f64::from(nodes.max(LEAST_NODES))
    }
}

impl Room {
    /// A node's reserve.
    pub fn reserve(&self, nodes: u32) -> f64 {
        self.reserves / f64::from(nodes.max(LEAST_NODES))
    }

    /// What a node without a grantor may owe: its part of what nobody takes out of the fleet's bucket then. `untaken` is what
    /// was left there, with what flows in until nodes go on by themselves.
    pub fn own_debt(&self, untaken: f64, nodes: u32) -> f64 {
        untaken.clamp(0.0, self.depth + self.debt) / f64::from(nodes.max(LEAST_NODES))
    }
}
