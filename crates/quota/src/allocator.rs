//! The quota leader: holds the fleet's token buckets and grants quota to the nodes.

use crate::limit::Limit;
use crate::settings::{CONTACT_TIMEOUT, NODE_TIMEOUT, QuotaSettings};
use crate::shared_bucket::{FleetStatus, SharedBucket, TimedOutNode};
use configuration::Tenant;
use control_protocol::{QuotaRequest, QuotaResponse};
use policy::Limits as LimitsPolicy;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The time without a request after which a node is removed.
const NODE_EXPIRY: Duration = Duration::from_secs(120);

/// The most unacknowledged requests of a node that are remembered.
const MAX_UNACKNOWLEDGED: usize = 128;

/// The interval at which all buckets are filled, also those of tenants without demand.
const FILL_INTERVAL: Duration = Duration::from_millis(100);

/// How long a new quota leader waits at most until all nodes have made contact, to determine for how long no
/// quota leader granted anything.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(5);

/// A request whose response the node has not acknowledged.
#[derive(Clone, Copy, Debug)]
struct UnacknowledgedRequest {
    number: u64,
    received_at: Duration,
}

/// The state of the contact with a node.
#[derive(Clone, Debug)]
struct NodeContact {
    /// For how long the node had been granted nothing when this quota leader started.
    ungranted: Duration,
    last_request_at: Duration,
    /// When the last request arrived whose response the node has acknowledged.
    acknowledged_at: Duration,
    /// The requests after that one, the oldest first.
    unacknowledged: VecDeque<UnacknowledgedRequest>,
    /// Whether the node has shut down gracefully and has not returned.
    has_left: bool,
}

impl NodeContact {
    fn new(now: Duration, ungranted: Duration) -> Self {
        let unacknowledged = VecDeque::new();
        NodeContact { ungranted, last_request_at: now, acknowledged_at: now, unacknowledged, has_left: false }
    }

    fn record_request(&mut self, now: Duration, request: &QuotaRequest) {
        self.last_request_at = now;
        self.has_left = false;
        if self.unacknowledged.back().is_some_and(|newest| request.number <= newest.number) {
            // The node's process has restarted.
            *self = NodeContact::new(now, self.ungranted);
        }
        while let Some(oldest) = self.unacknowledged.front().copied() {
            if oldest.number > request.last_answered {
                break;
            }
            self.acknowledged_at = self.acknowledged_at.max(oldest.received_at);
            self.unacknowledged.pop_front();
        }
        if self.unacknowledged.len() >= MAX_UNACKNOWLEDGED {
            self.unacknowledged.pop_front();
        }
        self.unacknowledged.push_back(UnacknowledgedRequest { number: request.number, received_at: now });
    }
}

/// The state of the quota leader. A coordinator creates it when it becomes the head of the chain and has
/// contact with a majority, keeps it across view changes in which it remains the head, and drops it when it
/// no longer is.
#[derive(Clone, Debug)]
pub struct QuotaAllocator {
    settings: QuotaSettings,
    policy: LimitsPolicy,
    epoch: u64,
    started_at: Duration,
    /// The number of the last response.
    last_number: u64,
    /// The number of frontend nodes that the coordinators know of.
    known_nodes: u32,
    /// The nodes that have sent a request, by name.
    contacts: BTreeMap<String, NodeContact>,
    /// Whether the time without a quota leader before the start is accounted for, or can no longer be
    /// determined.
    is_downtime_settled: bool,
    /// The tenants' buckets, by the tenant's name.
    buckets: BTreeMap<String, SharedBucket>,
    filled_at: Duration,
}

impl QuotaAllocator {
    /// A quota leader that starts at `now`, with the default policy. For the first seconds it accounts for
    /// nodes that only a previous quota leader has had contact with.
    pub fn new(settings: QuotaSettings, now: Duration) -> Self {
        QuotaAllocator::with_policy(settings, LimitsPolicy::default(), now)
    }

    /// Does the same as [`Self::new`], with a policy, which has to be the same for all nodes and quota
    /// leaders of a fleet.
    pub fn with_policy(settings: QuotaSettings, policy: LimitsPolicy, now: Duration) -> Self {
        QuotaAllocator {
            settings,
            policy,
            epoch: 0,
            started_at: now,
            last_number: 0,
            known_nodes: 0,
            contacts: BTreeMap::new(),
            is_downtime_settled: false,
            buckets: BTreeMap::new(),
            filled_at: now,
        }
    }

    /// Applies the tenants of a configuration, and the number of the current view as the epoch of responses.
    /// To be called after each change of either.
    pub fn configure(&mut self, now: Duration, epoch: u64, tenants: &[Tenant]) {
        self.epoch = self.epoch.max(epoch);
        let mut previous = std::mem::take(&mut self.buckets);
        for tenant in tenants {
            let Some(limit) = Limit::of(tenant) else { continue };
            let mut bucket = previous
                .remove(&tenant.name)
                .unwrap_or_else(|| SharedBucket::new(limit, &self.settings, &self.policy, now));
            bucket.set_limit(limit, &self.settings);
            self.buckets.insert(tenant.name.clone(), bucket);
        }
    }

    /// Sets the number of frontend nodes that the coordinators together know of.
    pub fn set_known_nodes(&mut self, known_nodes: u32) {
        self.known_nodes = known_nodes;
    }

    /// Handles a node's request. The response is valid for that node only.
    pub fn handle_request(&mut self, now: Duration, node: &str, request: &QuotaRequest) -> QuotaResponse {
        self.record_request(now, node, request);
        self.remove_expired_nodes(now);
        self.add_downtime_inflow(now);
        let node_count = self.node_count();
        let timed_out = timed_out_nodes(&self.contacts, now);
        let fleet = FleetStatus { timed_out, node_count, started_at: self.started_at };
        if now >= self.filled_at + FILL_INTERVAL {
            self.filled_at = now;
            self.buckets.values_mut().for_each(|bucket| bucket.fill(now, &fleet));
        }
        let mut grants = Vec::with_capacity(request.demands.len());
        for demand in &request.demands {
            let Some(bucket) = self.buckets.get_mut(&demand.tenant) else { continue };
            grants.push(bucket.grant(now, node, demand, &fleet));
        }
        self.last_number += 1;
        QuotaResponse {
            request_id: request.number,
            epoch: self.epoch,
            number: self.last_number,
            nodes: node_count,
            grants,
        }
    }

    /// The number of frontend nodes that share the limits.
    fn node_count(&self) -> u32 {
        let present = self.contacts.values().filter(|contact| !contact.has_left).count();
        self.known_nodes.max(present as u32)
    }

    /// Records that a node has shut down gracefully. It admits nothing more, so that nothing is withheld for
    /// its fallback rate, and what remains of its reserve is lost. The contact is kept: a node without one
    /// that makes its first request would have quota credited as unused.
    pub fn remove_node(&mut self, now: Duration, node: &str) {
        let Some(contact) = self.contacts.get_mut(node) else { return };
        *contact = NodeContact { has_left: true, ..NodeContact::new(now, contact.ungranted) };
        self.buckets.values_mut().for_each(|bucket| bucket.remove_node(node));
    }

    fn record_request(&mut self, now: Duration, node: &str, request: &QuotaRequest) {
        let started_at = self.started_at;
        let since_answered = Duration::from_millis(request.last_answered_ms_ago);
        let ungranted = started_at.saturating_sub(now.saturating_sub(since_answered));
        if request.last_answered == 0 && !self.contacts.contains_key(node) {
            // A node that has just started has no fallback rate, so that it has not used what was withheld
            // for it. Only up to `CONTACT_TIMEOUT` is credited, as its previous process may have used the
            // rest.
            let count = f64::from(self.known_nodes.max(1));
            let unused = now.saturating_sub(started_at).min(CONTACT_TIMEOUT).div_f64(count);
            self.buckets.values_mut().for_each(|bucket| bucket.add_unused(unused));
        }
        // After `CONTACT_TIMEOUT`, nodes use their fallback rates.
        let ungranted = ungranted.min(CONTACT_TIMEOUT);
        let contact =
            self.contacts.entry(node.to_string()).or_insert_with(|| NodeContact::new(now, ungranted));
        contact.record_request(now, request);
    }

    /// Once all nodes have made contact, adds the inflow of the time before the start in which no quota
    /// leader granted anything. Nothing is added if they have not within [`DISCOVERY_PERIOD`].
    fn add_downtime_inflow(&mut self, now: Duration) {
        let discovery_end = self.started_at + DISCOVERY_PERIOD;
        let is_complete = self.contacts.len() >= self.known_nodes.max(1) as usize;
        if self.is_downtime_settled || (!is_complete && now < discovery_end) {
            return;
        }
        self.is_downtime_settled = true;
        if now < discovery_end {
            let downtime = self.contacts.values().map(|contact| contact.ungranted).min().unwrap_or_default();
            self.buckets.values_mut().for_each(|bucket| bucket.add_unused(downtime));
        }
    }

    fn remove_expired_nodes(&mut self, now: Duration) {
        let buckets = &mut self.buckets;
        self.contacts.retain(|node, contact| {
            let is_retained = now < contact.last_request_at + NODE_EXPIRY;
            if !is_retained {
                buckets.values_mut().for_each(|bucket| bucket.remove_node(node));
            }
            is_retained
        });
    }
}

/// The nodes that may have lost contact and use their fallback rates.
fn timed_out_nodes(contacts: &BTreeMap<String, NodeContact>, now: Duration) -> Vec<TimedOutNode<'_>> {
    let timed_out = contacts
        .iter()
        .filter(|(_, contact)| !contact.has_left && now >= contact.acknowledged_at + NODE_TIMEOUT);
    timed_out.map(|(name, contact)| TimedOutNode { name, acknowledged_at: contact.acknowledged_at }).collect()
}
