//! Enforcement of the limits of all tenants at one node.

use crate::limit::Limit;
use crate::reserve::{NodeReserve, ReserveDecision};
use crate::settings::{CONTACT_TIMEOUT, FALLBACK_DURATION, QuotaSettings};
use configuration::Tenant;
use control_protocol::{QuotaDemand, QuotaRequest, QuotaResponse};
use policy::Limits as LimitsPolicy;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The most quota requests without a response that are kept. Bounds the memory if the quota leader never
/// responds.
const MAX_PENDING_REQUESTS: usize = 64;
/// The shortest interval between two quota requests. Under overload, each client's request would cause one
/// without it.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// The longest interval between two quota requests, which also serve as heartbeats.
const MAX_REQUEST_INTERVAL: Duration = Duration::from_millis(control_protocol::QUOTA_REQUEST_INTERVAL_MS);
/// The time after which the response to a quota request is no longer expected, so that its top-up is demanded
/// again.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// The decision on a client's request under its tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The request may be forwarded, and its cost is spent.
    Admitted,
    /// Quota is demanded for the request. The caller is to hold it, and to call [`TenantLimits::decide`]
    /// after the next [`TenantLimits::apply_response`] and at the deadline.
    Pending(PendingAdmission),
    /// The request is beyond the limit, and nothing is spent. The client is to retry after this time.
    Rejected(Duration),
}

/// Identifies a client's request that waits for quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingAdmission {
    /// The number of the quota request that demands quota for the client's request.
    request_number: u64,
    /// When the request is decided at the latest.
    pub deadline: Duration,
}

/// A request to the quota leader without a response.
#[derive(Clone, Debug)]
struct PendingRequest {
    number: u64,
    sent_at: Duration,
    /// The amounts that were demanded, by tenant.
    demanded: HashMap<String, DemandedAmounts>,
}

/// The amounts that a quota request demands and reports for a tenant.
#[derive(Clone, Copy, Debug)]
struct DemandedAmounts {
    /// The total cost of the waiting requests.
    waiting: f64,
    /// The amount that was missing in the reserve.
    top_up: f64,
    /// The amount that the node had used without grants.
    used_without_grants: f64,
}

impl DemandedAmounts {
    fn of(demand: &QuotaDemand) -> Self {
        DemandedAmounts {
            waiting: demand.waiting.iter().sum(),
            top_up: demand.top_up,
            used_without_grants: demand.used_without_grants,
        }
    }
}

/// Enforces the limits of all tenants at one node. The cost of a request is 1 or its number of tokens,
/// depending on the tenant's unit.
#[derive(Clone, Debug)]
pub struct TenantLimits {
    settings: QuotaSettings,
    policy: LimitsPolicy,
    reserves: HashMap<String, NodeReserve>,
    /// The number of the last quota request.
    last_number: u64,
    last_sent_at: Option<Duration>,
    /// The quota requests without a response, the oldest first.
    pending: VecDeque<PendingRequest>,
    /// The epoch of the last response that was applied.
    epoch: u64,
    /// The highest number of a quota request with a response.
    last_answered: u64,
    /// When the newest quota request with a response was sent.
    last_contact: Option<Duration>,
    started_at: Duration,
}

impl TenantLimits {
    /// Without tenants, and with the default policy.
    pub fn new(settings: QuotaSettings, now: Duration) -> Self {
        TenantLimits::with_policy(settings, LimitsPolicy::default(), now)
    }

    /// As [`Self::new`], with a policy, which has to be the same for all nodes and quota leaders of a fleet.
    pub fn with_policy(settings: QuotaSettings, policy: LimitsPolicy, now: Duration) -> Self {
        TenantLimits {
            settings,
            policy,
            reserves: HashMap::new(),
            last_number: 0,
            last_sent_at: None,
            pending: VecDeque::new(),
            epoch: 0,
            last_answered: 0,
            last_contact: None,
            started_at: now,
        }
    }

    /// Applies the tenants of a configuration. Reserves are retained as far as the new limits allow.
    pub fn configure(&mut self, now: Duration, tenants: &[Tenant]) {
        let mut previous = std::mem::take(&mut self.reserves);
        for tenant in tenants {
            let Some(limit) = Limit::of(tenant) else { continue };
            let mut reserve = previous
                .remove(&tenant.name)
                .unwrap_or_else(|| NodeReserve::new(limit, &self.settings, &self.policy, now));
            reserve.set_limit(limit, &self.settings, now);
            self.reserves.insert(tenant.name.clone(), reserve);
        }
    }

    /// Decides on a client's new request. A request of a tenant without a limit is always admitted.
    pub fn admit(&mut self, now: Duration, tenant: &str, cost: f64) -> Admission {
        let Some(reserve) = self.reserves.get_mut(tenant) else { return Admission::Admitted };
        match reserve.admit(now, cost, self.last_contact) {
            ReserveDecision::Admitted => Admission::Admitted,
            ReserveDecision::Waiting => Admission::Pending(PendingAdmission {
                request_number: self.last_number + 1,
                deadline: now + self.policy.max_wait,
            }),
            ReserveDecision::Rejected(retry_after) => Admission::Rejected(retry_after),
        }
    }

    /// Decides on a client's request that waits for quota. It is admitted once the reserve covers its cost.
    /// It is rejected at its deadline, or after a response that granted too little if no further one may
    /// arrive before the deadline.
    pub fn decide(
        &mut self,
        now: Duration,
        tenant: &str,
        cost: f64,
        admission: PendingAdmission,
    ) -> Admission {
        let Some(reserve) = self.reserves.get_mut(tenant) else { return Admission::Admitted };
        if reserve.admit_waiting(now, cost, self.last_contact) {
            return Admission::Admitted;
        }
        if self.last_answered < admission.request_number && now < admission.deadline {
            return Admission::Pending(admission);
        }
        if now < admission.deadline && reserve.wait_again(now, cost, admission.deadline) {
            let request_number = self.last_number + 1;
            return Admission::Pending(PendingAdmission { request_number, ..admission });
        }
        Admission::Rejected(reserve.retry_after(now, cost))
    }

    /// Credits the cost of an admitted request that was not run and will not be.
    pub fn refund(&mut self, now: Duration, tenant: &str, cost: f64) {
        if let Some(reserve) = self.reserves.get_mut(tenant) {
            reserve.refund(now, cost, self.last_contact);
        }
    }

    /// When [`Self::create_request`] is to be called next; `None` while no tenant has a limit.
    pub fn next_request_at(&self) -> Option<Duration> {
        if self.reserves.is_empty() {
            return None;
        }
        let Some(last_sent_at) = self.last_sent_at else { return Some(Duration::ZERO) };
        let urgent = self.reserves.values().filter_map(NodeReserve::request_at).min();
        let urgent = urgent.map(|urgent| urgent.max(last_sent_at + MIN_REQUEST_INTERVAL));
        let latest = last_sent_at + MAX_REQUEST_INTERVAL;
        Some(urgent.unwrap_or(latest).min(latest))
    }

    /// Creates a quota request, which is to be sent at once. It leaves out tenants for which there is nothing
    /// to demand or report.
    pub fn create_request(&mut self, now: Duration) -> QuotaRequest {
        self.last_number += 1;
        self.last_sent_at = Some(now);
        self.remove_expired_requests(now);
        let last_contact = self.last_contact.unwrap_or(self.started_at);
        let last_answered_ms_ago = now.saturating_sub(last_contact).as_millis() as u64;
        let mut demands = Vec::new();
        for (tenant, reserve) in &mut self.reserves {
            let pending_top_up = pending_top_up(&self.pending, now, tenant);
            demands.extend(reserve.demand(tenant, now, pending_top_up, self.last_contact));
        }
        demands.sort_by(|a, b| a.tenant.cmp(&b.tenant));
        let demanded =
            demands.iter().map(|demand| (demand.tenant.clone(), DemandedAmounts::of(demand))).collect();
        let number = self.last_number;
        self.pending.push_back(PendingRequest { number, sent_at: now, demanded });
        QuotaRequest { number, last_answered: self.last_answered, last_answered_ms_ago, demands }
    }

    fn remove_expired_requests(&mut self, now: Duration) {
        self.pending.retain(|request| now < request.sent_at + CONTACT_TIMEOUT);
        while self.pending.len() >= MAX_PENDING_REQUESTS {
            self.pending.pop_front();
        }
    }

    /// Applies a response of the quota leader. Ignored are duplicates, responses to expired requests and
    /// responses of an earlier epoch. Once the node no longer uses its fallback rates, a response of any
    /// epoch is applied, since epochs start again if the coordinators are set up from scratch.
    pub fn apply_response(&mut self, now: Duration, response: &QuotaResponse) {
        self.remove_expired_requests(now);
        let is_isolated =
            self.last_contact.is_some_and(|contact| now >= contact + CONTACT_TIMEOUT + FALLBACK_DURATION);
        if response.epoch < self.epoch && !is_isolated {
            return;
        }
        let Some(index) = self.pending.iter().position(|request| request.number == response.request_id)
        else {
            return;
        };
        let Some(mut request) = self.pending.remove(index) else { return };
        if response.epoch != self.epoch {
            self.reserves.values_mut().for_each(NodeReserve::forget_acknowledged);
        }
        self.epoch = response.epoch;
        self.last_answered = self.last_answered.max(request.number);
        self.last_contact = self.last_contact.max(Some(request.sent_at));
        self.reserves.values_mut().for_each(|reserve| reserve.set_node_count(response.nodes));
        for grant in &response.grants {
            let Some(reserve) = self.reserves.get_mut(&grant.tenant) else { continue };
            let Some(demanded) = request.demanded.remove(&grant.tenant) else { continue };
            reserve.apply_grant(now, grant, demanded.waiting, demanded.used_without_grants);
        }
    }
}

/// The top-up of a tenant's reserve that is demanded by quota requests whose response is still expected.
fn pending_top_up(pending: &VecDeque<PendingRequest>, now: Duration, tenant: &str) -> f64 {
    let expected = pending.iter().filter(|request| now < request.sent_at + RESPONSE_TIMEOUT);
    expected.filter_map(|request| request.demanded.get(tenant)).map(|demanded| demanded.top_up).sum()
}
