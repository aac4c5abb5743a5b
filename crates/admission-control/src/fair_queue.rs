//! The queue of a cluster without free capacity. Tenants are served by share, the requests of a tenant by
//! priority weight per second of backend time. The queue is unbounded; [`FairQueue::displaced_by`] selects
//! the request to reject for a new one.
//!
//! Shares are enforced by start-time fair queueing (Goyal, Vin, Cheng: "Start-time Fair Queueing", SIGCOMM
//! 1996). Each tenant has a virtual time, which advances by its backend time divided by its share; the tenant
//! with the lowest virtual time is served next. The result is that of deficit round robin, but without
//! rounds: among 5,000 tenants whose shares differ by a factor of 1,000 the next one is found immediately,
//! and no tenant waits for the whole quantum of another. A tenant whose queue was empty starts at the current
//! virtual time: an unused share is lent to others, is available again with the tenant's next request, and
//! does not accumulate.

use join_up_to::RequestId;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The minimum cost of a request in seconds of backend time. With a cost of 0, a tenant would always be
/// served first.
const MIN_COST: f64 = 1e-6;
/// The share of a tenant without share, which is served only when no other tenant is queued.
const MIN_SHARE: f64 = 1e-6;

/// A floating-point number with a total order.
#[derive(Clone, Copy, Debug, PartialEq)]
struct OrderedF64(f64);

impl Eq for OrderedF64 {}
impl PartialOrd for OrderedF64 {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for OrderedF64 {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// A waiting request with the values that decide when it is served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedRequest {
    /// The id by which the request is removed or returned; unique in the queue.
    pub id: RequestId,
    /// The slot of the tenant, which stays the same when settings are replaced.
    pub tenant: usize,
    /// The expected backend time in seconds.
    pub cost: f64,
    /// The value relative to other requests; within a tenant, the highest value per cost is served first.
    pub priority_weight: f64,
    /// The time at which it is rejected if it has not been served.
    pub deadline: Duration,
    /// Whether the request is within the tenant's guaranteed rate: served before all others, and never
    /// displaced.
    pub guaranteed: bool,
}

/// The position in a tenant's queue: the highest priority weight per second of backend time first, then the
/// oldest. Guaranteed requests are ordered by arrival only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    density: Reverse<OrderedF64>,
    arrival: u64,
}

/// The location of a request in the queue, for its removal.
#[derive(Clone, Copy, Debug)]
struct QueueLocation {
    tenant: usize,
    position: QueuePosition,
    guaranteed: bool,
}

#[derive(Debug, Default)]
struct TenantQueue {
    share: f64,
    virtual_time: f64,
    requests: BTreeMap<QueuePosition, QueuedRequest>,
    /// The sum of the costs of `requests`.
    cost: f64,
}

/// The queue of a cluster, which divides backend time among tenants by their shares.
#[derive(Debug, Default)]
pub struct FairQueue {
    tenants: Vec<TenantQueue>,
    /// The virtual time of the request that was served last.
    virtual_time: f64,
    /// Tenants with queued requests, by virtual time.
    by_virtual_time: BTreeSet<(OrderedF64, usize)>,
    /// Tenants with queued requests, by the cost of these divided by the tenant's share.
    by_backlog: BTreeSet<(OrderedF64, usize)>,
    guaranteed: BTreeMap<u64, QueuedRequest>,
    deadlines: BTreeSet<(Duration, RequestId)>,
    locations: FxHashMap<RequestId, QueueLocation>,
    /// The number of requests queued so far.
    arrivals: u64,
    cost: f64,
}

impl FairQueue {
    /// The number of queued requests.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// The expected backend time of all queued requests, in seconds.
    pub fn cost(&self) -> f64 {
        self.cost
    }

    /// Whether the request with this id is queued.
    pub fn contains(&self, id: RequestId) -> bool {
        self.locations.contains_key(&id)
    }

    /// Sets the share of a tenant. It applies to queued requests too.
    pub fn set_share(&mut self, tenant: usize, share: f64) {
        if self.tenants.len() <= tenant {
            self.tenants.resize_with(tenant + 1, TenantQueue::default);
        }
        self.remove_from_order(tenant);
        self.tenants[tenant].share = if share.is_finite() { share.max(MIN_SHARE) } else { MIN_SHARE };
        self.add_to_order(tenant);
    }

    fn backlog_of(&self, tenant: usize) -> OrderedF64 {
        OrderedF64(self.tenants[tenant].cost / self.tenants[tenant].share.max(MIN_SHARE))
    }

    fn remove_from_order(&mut self, tenant: usize) {
        self.by_virtual_time.remove(&(OrderedF64(self.tenants[tenant].virtual_time), tenant));
        self.by_backlog.remove(&(self.backlog_of(tenant), tenant));
    }

    fn add_to_order(&mut self, tenant: usize) {
        if !self.tenants[tenant].requests.is_empty() {
            self.by_virtual_time.insert((OrderedF64(self.tenants[tenant].virtual_time), tenant));
            self.by_backlog.insert((self.backlog_of(tenant), tenant));
        }
    }

    /// Adds a request. Its tenant gets share 1 if its slot is higher than all known ones.
    pub fn push(&mut self, request: QueuedRequest) {
        let mut request = request;
        request.cost = if request.cost.is_finite() { request.cost.max(MIN_COST) } else { MIN_COST };
        self.arrivals += 1;
        if self.tenants.len() <= request.tenant {
            self.set_share(request.tenant, 1.0);
        }
        let position = QueuePosition {
            density: Reverse(OrderedF64(request.priority_weight / request.cost)),
            arrival: self.arrivals,
        };
        let (tenant, guaranteed) = (request.tenant, request.guaranteed);
        self.locations.insert(request.id, QueueLocation { tenant, position, guaranteed });
        self.deadlines.insert((request.deadline, request.id));
        self.cost += request.cost;
        if guaranteed {
            self.guaranteed.insert(self.arrivals, request);
            return;
        }
        self.remove_from_order(tenant);
        let queue = &mut self.tenants[tenant];
        if queue.requests.is_empty() {
            // It starts at the current virtual time, so that an unused share does not accumulate.
            queue.virtual_time = queue.virtual_time.max(self.virtual_time);
        }
        queue.requests.insert(position, request);
        queue.cost += request.cost;
        self.add_to_order(tenant);
    }

    /// Removes a request; `None` if it is not queued.
    pub fn remove(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let QueueLocation { tenant, position, guaranteed } = self.locations.remove(&id)?;
        let request = if guaranteed {
            self.guaranteed.remove(&position.arrival)?
        } else {
            self.remove_from_order(tenant);
            let queue = &mut self.tenants[tenant];
            let request = queue.requests.remove(&position)?;
            let left = queue.cost - request.cost;
            // The running sum accumulates rounding errors; reset it when the queue is empty.
            queue.cost = if queue.requests.is_empty() { 0.0 } else { left };
            self.add_to_order(tenant);
            request
        };
        self.deadlines.remove(&(request.deadline, id));
        self.cost = if self.locations.is_empty() { 0.0 } else { self.cost - request.cost };
        Some(request)
    }

    /// Removes and returns the request to serve next: guaranteed requests first, then by shares. `None` if
    /// empty.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        if let Some((_, first)) = self.guaranteed.first_key_value() {
            let id = first.id;
            return self.remove(id);
        }
        let (virtual_time, tenant) = *self.by_virtual_time.first()?;
        let id = self.tenants[tenant].requests.first_key_value()?.1.id;
        self.virtual_time = self.virtual_time.max(virtual_time.0);
        let request = self.remove(id)?;
        self.remove_from_order(tenant);
        let queue = &mut self.tenants[tenant];
        queue.virtual_time =
            queue.virtual_time.max(self.virtual_time) + request.cost / queue.share.max(MIN_SHARE);
        self.add_to_order(tenant);
        Some(request)
    }

    /// The request to displace for a new one: that with the lowest priority weight per cost, of the tenant
    /// with the largest backlog relative to its share. This may be the new request itself. `None` if the new
    /// one and all queued requests are guaranteed.
    pub fn displaced_by(&self, new: &QueuedRequest) -> Option<RequestId> {
        let cost = |tenant: usize| self.tenants.get(tenant).map_or(0.0, |queue| queue.cost);
        let share =
            |tenant: usize| self.tenants.get(tenant).map_or(MIN_SHARE, |queue| queue.share.max(MIN_SHARE));
        let own_backlog = (cost(new.tenant) + new.cost) / share(new.tenant);
        match self.by_backlog.last().copied() {
            Some((OrderedF64(backlog), tenant))
                if new.guaranteed || tenant != new.tenant && backlog > own_backlog =>
            {
                self.tenants[tenant].requests.last_key_value().map(|(_, request)| request.id)
            }
            _ if new.guaranteed => None,
            // One of its own tenant: the lowest priority weight per cost, and of equals the newest.
            _ => {
                let last = self.tenants.get(new.tenant).and_then(|queue| queue.requests.last_key_value());
                let density = new.priority_weight / new.cost.max(MIN_COST);
                let less = last.filter(|(position, _)| position.density.0.0 < density);
                Some(less.map_or(new.id, |(_, request)| request.id))
            }
        }
    }

    /// Removes and returns a request whose deadline has passed, the earliest deadline first; `None` if there
    /// is none.
    pub fn expire(&mut self, now: Duration) -> Option<QueuedRequest> {
        let (_, id) = *self.deadlines.first().filter(|(deadline, _)| *deadline <= now)?;
        self.remove(id)
    }

    /// The earliest deadline of a queued request; `None` if the queue is empty.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }
}
