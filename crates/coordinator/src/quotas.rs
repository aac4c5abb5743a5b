//! The allocation of tenants' rate limits to nodes, while this coordinator is the acting head of the chain.

use crate::membership::RoleStatus;
use configuration::Tenant;
use control_protocol::{QuotaRequest, QuotaResponse};
use node_settings::Bounds;
use policy::Limits as LimitsPolicy;
use quota::{QuotaAllocator, QuotaSettings};
use replication::ViewNumber;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The quota allocator, which exists only while this coordinator is the acting head, and the limits that it
/// allocates.
pub struct Quotas {
    settings: QuotaSettings,
    policy: LimitsPolicy,
    state: Mutex<QuotaState>,
}

#[derive(Default)]
struct QuotaState {
    allocator: Option<QuotaAllocator>,
    /// Added to the allocator's response numbers, so that an allocator that starts later in the same view
    /// uses higher numbers.
    number_offset: u64,
    view: ViewNumber,
    tenants: Vec<Tenant>,
}

impl Quotas {
    /// Starts without an allocator. The accounting window, the allowed overuse and the token slack are taken
    /// from the settings.
    pub fn new(bounds: &Bounds, policy: LimitsPolicy) -> Self {
        let settings = QuotaSettings {
            window_s: bounds.quota_window_s,
            overuse_ratio: bounds.quota_over,
            token_slack: bounds.quota_slack,
        };
        Quotas { settings, policy, state: Mutex::default() }
    }

    /// Applies a change of this member's role: starts an allocator when it becomes the acting head, and drops
    /// it when it no longer is. `number_offset` has to be higher for each new allocator; otherwise nodes
    /// reject its responses for a while.
    pub fn set_role_status(&self, role: RoleStatus, now: Duration, number_offset: u64) {
        let mut state = self.state();
        if !role.acting_head {
            state.allocator = None;
        } else if state.allocator.is_none() {
            state.allocator = Some(QuotaAllocator::with_policy(self.settings, self.policy, now));
            state.number_offset = number_offset;
            state.configure(now);
        }
    }

    /// Applies a new view.
    pub fn set_view(&self, number: ViewNumber, now: Duration) {
        let mut state = self.state();
        state.view = number;
        state.configure(now);
    }

    /// Applies the tenants of a newly committed configuration.
    pub fn set_tenants(&self, tenants: Vec<Tenant>, now: Duration) {
        let mut state = self.state();
        state.tenants = tenants;
        state.configure(now);
    }

    /// Responds to a node's request; `nodes` is the number of nodes that carry traffic. `None` while this
    /// coordinator has no allocator.
    pub fn respond(
        &self,
        node: &str,
        request: &QuotaRequest,
        nodes: u32,
        now: Duration,
    ) -> Option<QuotaResponse> {
        let mut state = self.state();
        let number_offset = state.number_offset;
        let allocator = state.allocator.as_mut()?;
        allocator.set_known_nodes(nodes);
        let mut response = allocator.handle_request(now, node, request);
        response.number += number_offset;
        Some(response)
    }

    /// Removes a node that has shut down gracefully. Returns whether an allocator runs here and has recorded
    /// that.
    ///
    /// If it returns false, and the node has not reported all its use of quota, the node has to keep counting
    /// until it expires: an allocator that starts later must allow for requests that the node admitted
    /// without a grant.
    pub fn remove_node(&self, node: &str, now: Duration) -> bool {
        let mut state = self.state();
        let Some(allocator) = &mut state.allocator else { return false };
        allocator.remove_node(now, node);
        true
    }

    fn state(&self) -> MutexGuard<'_, QuotaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl QuotaState {
    fn configure(&mut self, now: Duration) {
        if let Some(allocator) = &mut self.allocator {
            allocator.configure(now, self.view.get(), &self.tenants);
        }
    }
}
