//! A simulated frontend machine: its agent, and the rate limits of its data plane under load.

use agent::AgentState;
use configuration::{Tenant, Unit};
use control_protocol::ConfigurationSequence;
use control_protocol::QuotaRequest;
use quota::{Admission, PendingAdmission, QuotaSettings, TenantLimits};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub const TENANT: &str = "t";
pub const QUOTA_SETTINGS: QuotaSettings =
    QuotaSettings { window_s: 8.0, overuse_ratio: 0.1, token_slack: 0.0 };
/// The tenant's limit over all frontends: requests per second, and the size of a burst.
pub const RATE: f64 = 200.0;

pub fn tenant() -> Tenant {
    Tenant {
        name: TENANT.into(),
        api_keys: Vec::new(),
        priority: 0,
        unit: Unit::Requests,
        plain_tokens: None,
        rate_per_s: Some(RATE),
        burst: Some(RATE),
    }
}

/// How many requests the limit allows within a window, overuse included.
pub fn max_admitted_in_window() -> f64 {
    (RATE * QUOTA_SETTINGS.window_s + RATE) * (1.0 + QUOTA_SETTINGS.overuse_ratio)
        + QUOTA_SETTINGS.token_slack
}

pub struct Frontend {
    pub agent: AgentState,
    /// The coordinators that the frontend can't reach.
    pub partitioned_from: BTreeSet<usize>,
    /// When the agent requested the configuration, by the id of the request.
    pub requested_at: BTreeMap<u64, Duration>,
    pub last_polled: Duration,
    limits: TenantLimits,
    waiting: Vec<PendingAdmission>,
    /// The accumulated fraction of a request, which arrives once this reaches 1.
    arriving: f64,
}

impl Frontend {
    pub fn start(now: Duration) -> Self {
        let mut limits = TenantLimits::new(QUOTA_SETTINGS, now);
        limits.configure(now, &[tenant()]);
        let mut agent = AgentState::default();
        // The data plane connects without a configuration.
        agent.handle_proxy_up(now, ConfigurationSequence(0));
        Frontend {
            agent,
            partitioned_from: BTreeSet::new(),
            requested_at: BTreeMap::new(),
            last_polled: now,
            limits,
            waiting: Vec::new(),
            arriving: 0.0,
        }
    }

    /// Lets `count` requests arrive, and returns how many requests were admitted, earlier ones included that
    /// waited.
    pub fn requests(&mut self, now: Duration, count: f64) -> usize {
        let mut admitted = self.decide(now);
        self.arriving += count;
        while self.arriving >= 1.0 {
            self.arriving -= 1.0;
            match self.limits.admit(now, TENANT, 1.0) {
                Admission::Admitted => admitted += 1,
                Admission::Pending(ticket) => self.waiting.push(ticket),
                Admission::Rejected(_) => {}
            }
        }
        admitted
    }

    fn decide(&mut self, now: Duration) -> usize {
        let mut admitted = 0;
        for ticket in std::mem::take(&mut self.waiting) {
            match self.limits.decide(now, TENANT, 1.0, ticket) {
                Admission::Admitted => admitted += 1,
                Admission::Pending(ticket) => self.waiting.push(ticket),
                Admission::Rejected(_) => {}
            }
        }
        admitted
    }

    /// The request to the quota allocator, if one is due.
    pub fn quota_request(&mut self, now: Duration) -> Option<QuotaRequest> {
        let is_due = self.limits.next_request_at().is_some_and(|due| now >= due);
        is_due.then(|| self.limits.create_request(now))
    }

    pub fn apply_quota_response(&mut self, now: Duration, response: &control_protocol::QuotaResponse) {
        self.limits.apply_response(now, response);
    }
}
