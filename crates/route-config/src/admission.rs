//! Admission control in front of the balancer: rate limits of tenants, maximum numbers of requests in flight,
//! and short queues. A request that is rejected here was never sent to a backend, so a retry by the client is
//! safe for every class. The caller passes the time; no clock is read.

use crate::model::{Queue, TenantRate};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The limits of a class or a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// The name of the class or route. It identifies the limit when the file is reloaded, so that its counts
    /// are kept.
    pub name: String,
    /// The maximum number of requests in flight; `None` for no limit.
    pub max_in_flight: Option<u32>,
    /// The queue for requests beyond that maximum; `None` to reject them.
    pub queue: Option<Queue>,
    /// The rate limit of each tenant at this node; `None` for no limit.
    pub tenant_rate: Option<TenantRate>,
    /// The minimum `Retry-After` of a rejection.
    pub retry_after: Duration,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The tenant exceeds its rate limit.
    RateLimit,
    /// The maximum number of requests is in flight, and there is no queue or it is full.
    QueueFull,
}

/// The decision on a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request is admitted. [`Admission::finish`] must be called when it ends.
    Admit,
    /// The request is queued until [`Admission::finish`] or [`Admission::replace`] returns its ID.
    /// [`Admission::finish`] must be called when it ends, also if it was never admitted.
    Queue {
        /// The time at which the caller must reject it.
        deadline: Duration,
        /// The `Retry-After` of that rejection.
        retry_after: Duration,
    },
    /// The request is rejected. [`Admission::finish`] must not be called for it.
    Reject {
        /// Why it is rejected.
        reason: RejectionReason,
        /// The `Retry-After` of the rejection.
        retry_after: Duration,
    },
}

/// A token bucket.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    updated_at: Duration,
}

#[derive(Debug)]
struct Slot {
    limit: Limit,
    /// Whether the current file has this limit.
    is_current: bool,
    in_flight: u32,
    /// The IDs of queued requests with their deadlines, the oldest at the front.
    queue: VecDeque<(u64, Duration)>,
    /// The token buckets by tenant name, so that adding or removing a tenant does not affect the others; the
    /// empty name is for requests without a tenant.
    buckets: HashMap<String, Bucket>,
}

impl Slot {
    fn new(limit: Limit) -> Self {
        Slot { limit, is_current: true, in_flight: 0, queue: VecDeque::new(), buckets: HashMap::new() }
    }
    fn is_unused(&self) -> bool {
        !self.is_current && self.in_flight == 0 && self.queue.is_empty()
    }
    fn has_capacity(&self) -> bool {
        self.limit.max_in_flight.is_none_or(|max| self.in_flight < max)
    }
    /// Replaces the limit by one of the same name. The buckets are reset if the rate limit changes.
    fn replace_limit(&mut self, limit: &Limit, tenants: &[String]) {
        if self.limit.tenant_rate != limit.tenant_rate {
            self.buckets.clear();
        }
        self.buckets.retain(|name, _| name.is_empty() || tenants.contains(name));
        (self.limit, self.is_current) = (limit.clone(), true);
    }
    /// Admits the oldest queued request if there is capacity, and returns its ID.
    fn admit_next(&mut self) -> Option<u64> {
        if !self.has_capacity() {
            return None;
        }
        let (id, _) = self.queue.pop_front()?;
        self.in_flight += 1;
        Some(id)
    }
    /// Takes a token from the tenant's bucket. The error is the time after which the client may retry.
    fn take_token(&mut self, now: Duration, tenant: &str) -> Result<(), Duration> {
        let Some(rate) = self.limit.tenant_rate else { return Ok(()) };
        let full = Bucket { tokens: rate.burst, updated_at: now };
        // `entry` would need a copy of the name for each request; only a tenant's first request needs one.
        if !self.buckets.contains_key(tenant) {
            self.buckets.insert(tenant.to_string(), full);
        }
        let Some(bucket) = self.buckets.get_mut(tenant) else { return Ok(()) };
        let added = rate.per_s * now.saturating_sub(bucket.updated_at).as_secs_f64();
        *bucket = Bucket {
            tokens: (bucket.tokens + added).min(rate.burst),
            updated_at: now.max(bucket.updated_at),
        };
        // A request that arrives exactly when a token is due must not be rejected because of rounding.
        if bucket.tokens < 1.0 - 1e-9 {
            let until_next = Duration::from_secs_f64((1.0 - bucket.tokens) / rate.per_s);
            return Err(until_next.max(self.limit.retry_after));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }
}

/// All limits of a node, with their current counts.
#[derive(Debug, Default)]
pub struct Admission {
    slots: Vec<Slot>,
    /// The slot of each limit, by the limit's index in the file.
    current: Vec<usize>,
    tenants: Vec<String>,
    /// The slot of each request that is in flight or queued under a maximum number of requests, by request
    /// ID.
    tracked: HashMap<u64, usize>,
}

impl Admission {
    /// Creates the limits of a file, without any requests.
    pub fn new(limits: &[Limit], tenants: &[String]) -> Self {
        let mut admission = Admission::default();
        admission.replace(limits, tenants);
        admission
    }

    /// Replaces the limits after a reload. Requests in flight and in queues keep their slots. Returns the IDs
    /// of queued requests that are now admitted.
    pub fn replace(&mut self, limits: &[Limit], tenants: &[String]) -> Vec<u64> {
        self.tenants = tenants.to_vec();
        self.slots.iter_mut().for_each(|slot| slot.is_current = false);
        self.current.clear();
        for limit in limits {
            let known = self.slots.iter().position(|slot| slot.limit.name == limit.name);
            let unused = || self.slots.iter().position(Slot::is_unused);
            let at = known.or_else(unused).unwrap_or(self.slots.len());
            match self.slots.get_mut(at) {
                None => self.slots.push(Slot::new(limit.clone())),
                Some(slot) if known.is_none() => *slot = Slot::new(limit.clone()),
                Some(slot) => slot.replace_limit(limit, tenants),
            }
            self.current.push(at);
        }
        // Requests in the queue of a removed limit are admitted at once.
        let removed = self.slots.iter_mut().filter(|slot| !slot.is_current);
        removed.for_each(|slot| slot.limit.max_in_flight = None);
        self.slots.iter_mut().flat_map(|slot| std::iter::from_fn(move || slot.admit_next())).collect()
    }

    /// Decides on a new request. `limit` and `tenant` are indices in the file; `id` must be unique among
    /// unfinished requests.
    pub fn admit(
        &mut self,
        now: Duration,
        limit: usize,
        tenant: Option<usize>,
        id: u64,
    ) -> AdmissionDecision {
        let Some(at) = self.current.get(limit).copied() else { return AdmissionDecision::Admit };
        let slot = &mut self.slots[at];
        let name = tenant.and_then(|tenant| self.tenants.get(tenant)).map_or("", String::as_str);
        if let Err(retry_after) = slot.take_token(now, name) {
            return AdmissionDecision::Reject { reason: RejectionReason::RateLimit, retry_after };
        }
        if slot.limit.max_in_flight.is_none() {
            return AdmissionDecision::Admit;
        }
        if slot.has_capacity() && slot.queue.is_empty() {
            slot.in_flight += 1;
            self.tracked.insert(id, at);
            return AdmissionDecision::Admit;
        }
        let retry_after = slot.limit.retry_after;
        match slot.limit.queue {
            Some(queue) if slot.queue.len() < queue.max_length as usize => {
                let deadline = now + queue.max_time;
                slot.queue.push_back((id, deadline));
                self.tracked.insert(id, at);
                AdmissionDecision::Queue { deadline, retry_after }
            }
            _ => AdmissionDecision::Reject { reason: RejectionReason::QueueFull, retry_after },
        }
    }

    /// Ends a request because it has its response, its client has disconnected, or its time in the queue is
    /// over. Returns the ID of a queued request that is now admitted. An unknown ID has no effect.
    pub fn finish(&mut self, id: u64) -> Option<u64> {
        let slot = &mut self.slots[self.tracked.remove(&id)?];
        match slot.queue.iter().position(|(queued, _)| *queued == id) {
            Some(at) => drop(slot.queue.remove(at)),
            None => slot.in_flight -= 1,
        }
        slot.admit_next()
    }

    /// The number of requests that are in flight or queued under a maximum, and of those that are queued.
    #[cfg(test)]
    fn counts(&self) -> (usize, usize) {
        (self.tracked.len(), self.slots.iter().map(|slot| slot.queue.len()).sum())
    }
}

#[cfg(test)]
mod tests;
