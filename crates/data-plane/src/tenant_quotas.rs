//! Tenants' quotas at this node: admits requests, waits for a response of the quota leader if the reserve
//! does not cover a request, and sends quota requests through the agent.

use crate::request_error::RequestError;
use configuration::{Tenant, Unit};
use control_protocol::{QuotaRequest, QuotaResponse};
use node_settings::Bounds;
use quota::{Admission, PendingAdmission, QuotaSettings, TenantLimits};
use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout_at};

/// The cost of a request in the unit of its tenant's limit. `tokens` is the number that the request states;
/// without one, a limit in tokens charges the tenant's `plain_tokens`, or 1.
pub fn cost(tenant: &Tenant, tokens: Option<u64>) -> f64 {
    match (tenant.unit, tokens) {
        (Unit::Requests, _) => 1.0,
        (Unit::Tokens, Some(tokens)) => tokens as f64,
        (Unit::Tokens, None) => tenant.plain_tokens.unwrap_or(1.0),
    }
}

/// The limits of all tenants, shared by the requests that wait for quota.
pub struct TenantQuotas {
    /// The origin of the times in `limits`.
    started_at: Instant,
    limits: RefCell<TenantLimits>,
    /// Notified when requests that wait for quota may be decided: after a response of the quota leader or
    /// another configuration.
    decidable: Notify,
    /// Notified when the next quota request may be due earlier than before.
    due_changed: Notify,
}

/// The cost of an admitted request, by which it can be refunded.
pub struct AdmittedCost {
    tenant: Arc<Tenant>,
    cost: f64,
}

impl TenantQuotas {
    /// Starts without tenants. `started_at` is any instant that is not in the future.
    pub fn new(bounds: &Bounds, policy: policy::Limits, started_at: Instant) -> Self {
        let settings = QuotaSettings {
            window_s: bounds.quota_window_s,
            overuse_ratio: bounds.quota_over,
            token_slack: bounds.quota_slack,
        };
        let limits = RefCell::new(TenantLimits::with_policy(settings, policy, Duration::ZERO));
        TenantQuotas { started_at, limits, decidable: Notify::new(), due_changed: Notify::new() }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Applies the tenants of a new configuration.
    pub fn configure(&self, tenants: &[Tenant]) {
        self.limits.borrow_mut().configure(self.now(), tenants);
        self.decidable.notify_waiters();
        self.due_changed.notify_one();
    }

    /// Applies a response of the quota leader.
    pub fn apply_response(&self, response: &QuotaResponse) {
        self.limits.borrow_mut().apply_response(self.now(), response);
        self.decidable.notify_waiters();
        self.due_changed.notify_one();
    }

    /// Admits a request of this cost, or waits for quota if the node's reserve does not cover it.
    ///
    /// # Errors
    /// [`RequestError::QuotaExceeded`], with the time after which the client may retry.
    pub async fn admit(&self, tenant: &Arc<Tenant>, cost: f64) -> Result<AdmittedCost, RequestError> {
        let first = self.limits.borrow_mut().admit(self.now(), &tenant.name, cost);
        self.due_changed.notify_one();
        let admission = match first {
            Admission::Pending(pending) => self.wait_for_decision(tenant, cost, pending).await,
            decided => decided,
        };
        match admission {
            Admission::Rejected(after) => Err(RequestError::QuotaExceeded(after)),
            _ => Ok(AdmittedCost { tenant: tenant.clone(), cost }),
        }
    }

    async fn wait_for_decision(
        &self,
        tenant: &Tenant,
        cost: f64,
        mut pending: PendingAdmission,
    ) -> Admission {
        loop {
            // Created before the decision, so that no notification is missed.
            let decidable = self.decidable.notified();
            match self.limits.borrow_mut().decide(self.now(), &tenant.name, cost, pending) {
                Admission::Pending(next) => pending = next,
                decided => return decided,
            }
            // The request may wait for another grant, so that another quota request is due.
            self.due_changed.notify_one();
            let _ = timeout_at(self.started_at + pending.deadline, decidable).await;
        }
    }

    /// Credits the cost of an admitted request that was not run and will not be.
    pub fn refund(&self, admitted: AdmittedCost) {
        self.limits.borrow_mut().refund(self.now(), &admitted.tenant.name, admitted.cost);
    }

    /// Calls `send` with each quota request when it is due. Runs for as long as the process does.
    pub async fn send_requests(&self, send: impl Fn(QuotaRequest)) {
        loop {
            let due = self.limits.borrow().next_request_at();
            match due {
                None => self.due_changed.notified().await,
                Some(due) if self.now() < due => tokio::select! {
                    () = sleep_until(self.started_at + due) => {}
                    () = self.due_changed.notified() => {}
                },
                Some(_) => {
                    let request = self.limits.borrow_mut().create_request(self.now());
                    send(request);
                }
            }
        }
    }
}
