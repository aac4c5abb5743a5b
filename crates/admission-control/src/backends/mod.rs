//! The backends of a cluster: their concurrency limits, their relative capacity, and the slow start of new
//! ones. The result is the [`Capacity`] of each backend, which is passed to the balancer for backend
//! selection.

mod relative_capacity;
mod settings;
mod state;

pub use settings::LimitSettings;
pub use state::{BackendStatus, Capacity, Endpoint};

use crate::limit::LimitChange;
use join_up_to::{Outcome, ServerId};
use relative_capacity::relative_capacities;
use rustc_hash::FxHashMap;
use state::BackendState;
use std::time::Duration;

/// The minimum time between two computations of relative capacities, which iterate over all backends.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// A smaller relative change of a capacity is not published, so that equal backends remain equal.
const TOLERANCE: f64 = 0.1;
/// The tolerance during slow start, and for a backend whose capacity has become equal to the mean.
const FINE_TOLERANCE: f64 = 0.01;
/// The maximum number of limit changes that are kept for [`Backends::take_limit_changes`].
const MAX_PENDING_CHANGES: usize = 256;
/// The maximum of [`Capacity::max_in_flight`], so that the sum over thousands of backends does not overflow.
const MAX_CAPACITY: u32 = u32::MAX / 4096;

/// The backends of a cluster, with the limits and capacities that are learned for them.
#[derive(Debug)]
pub struct Backends {
    settings: LimitSettings,
    backends: FxHashMap<ServerId, BackendState>,
    refreshed_at: Option<Duration>,
    /// Whether any backend was in slow start at the last computation.
    in_slow_start: bool,
    in_flight: u32,
    total_capacity: u32,
    capacity_updates: Vec<Capacity>,
    limit_changes: Vec<(ServerId, LimitChange)>,
}

/// Whether two positive numbers differ by at most the fraction `tolerance`.
fn is_close(a: f64, b: f64, tolerance: f64) -> bool {
    (a / b - 1.0).abs() <= tolerance
}

impl Backends {
    /// A cluster without backends; see [`Backends::set_endpoints`].
    pub fn new(settings: LimitSettings) -> Self {
        Backends {
            settings,
            backends: FxHashMap::default(),
            refreshed_at: None,
            in_slow_start: false,
            in_flight: 0,
            total_capacity: 0,
            capacity_updates: Vec::new(),
            limit_changes: Vec::new(),
        }
    }

    /// Replaces the settings. Learned limits are kept, clamped to the new bounds.
    pub fn set_limit_settings(&mut self, now: Duration, settings: LimitSettings) {
        self.settings = settings;
        let mean_weight = self.mean_weight();
        for backend in self.backends.values_mut() {
            backend.limit.set_bounds(settings.bounds_for(backend.endpoint.weight / mean_weight));
        }
        self.refresh(now);
    }

    /// Replaces the list of backends. A backend that is still listed keeps its learned state, unless its
    /// `added_at` differs, which marks a new backend.
    pub fn set_endpoints(&mut self, now: Duration, endpoints: &[Endpoint]) {
        let mean_weight =
            endpoints.iter().map(|endpoint| endpoint.weight).sum::<f64>() / endpoints.len().max(1) as f64;
        let mut previous = std::mem::take(&mut self.backends);
        for endpoint in endpoints {
            let bounds = self.settings.bounds_for(endpoint.weight / mean_weight.max(1e-9));
            let known = previous
                .remove(&endpoint.id)
                .filter(|backend| backend.endpoint.added_at == endpoint.added_at);
            let backend = match known {
                Some(mut backend) => {
                    if backend.endpoint.weight != endpoint.weight {
                        backend.limit.set_bounds(bounds);
                    }
                    BackendState { endpoint: *endpoint, ..backend }
                }
                None => BackendState::new(*endpoint, bounds, now),
            };
            self.backends.insert(endpoint.id, backend);
        }
        self.in_flight = self.backends.values().map(|backend| backend.limit.in_flight()).sum();
        self.refresh(now);
    }

    fn mean_weight(&self) -> f64 {
        let sum: f64 = self.backends.values().map(|backend| backend.endpoint.weight).sum();
        (sum / self.backends.len().max(1) as f64).max(1e-9)
    }

    /// Records that an attempt is sent to a backend.
    pub fn attempt_sent(&mut self, now: Duration, id: ServerId) {
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.limit.attempt_sent(now);
            self.in_flight += 1;
        }
    }

    /// Records the end of an attempt, `elapsed` after it was sent. `class` is the cost slot of the request's
    /// class.
    pub fn attempt_ended(
        &mut self,
        now: Duration,
        id: ServerId,
        class: usize,
        outcome: Outcome,
        elapsed: Duration,
    ) {
        let Some(backend) = self.backends.get_mut(&id) else { return };
        self.in_flight = self.in_flight.saturating_sub(u32::from(backend.limit.in_flight() > 0));
        let change = backend.attempt_ended(now, class, outcome, elapsed);
        if let Some(change) = change
            && self.limit_changes.len() < MAX_PENDING_CHANGES
        {
            self.limit_changes.push((id, change));
        }
        let is_due = |at: Duration| now.saturating_sub(at) >= REFRESH_INTERVAL;
        if change.is_some() || self.refreshed_at.is_none_or(is_due) {
            self.refresh(now);
        }
    }

    /// Updates capacities during slow start. To be called no later than [`Backends::next_refresh`].
    pub fn tick(&mut self, now: Duration) {
        let due = self.refreshed_at.map(|at| at + REFRESH_INTERVAL);
        // `in_slow_start` is that of the last refresh, so there is one more refresh after the last slow
        // start.
        if self.in_slow_start && due.is_none_or(|due| due <= now) {
            self.refresh(now);
        }
    }

    /// The time of the next call of [`Backends::tick`]; `None` if no backend is in slow start.
    pub fn next_refresh(&self) -> Option<Duration> {
        self.in_slow_start.then(|| self.refreshed_at.unwrap_or_default() + REFRESH_INTERVAL)
    }

    /// Recomputes all capacities and publishes those that have changed.
    fn refresh(&mut self, now: Duration) {
        let settings = self.settings;
        let fraction_of =
            |backend: &BackendState| settings.slow_start_fraction(backend.endpoint.added_at, now);
        self.refreshed_at = Some(now);
        self.in_slow_start = self.backends.values().any(|backend| fraction_of(backend) < 1.0);
        let capacities = relative_capacities(&self.backends, self.mean_weight());
        self.total_capacity = 0;
        for (id, relative) in capacities {
            let Some(backend) = self.backends.get_mut(&id) else { continue };
            let fraction = fraction_of(backend);
            let max = (backend.limit.limit() * fraction).max(1.0).min(f64::from(MAX_CAPACITY)) as u32;
            if backend.endpoint.ready {
                self.total_capacity = self.total_capacity.saturating_add(max);
            }
            let relative = relative_capacity::clamp(relative * fraction);
            let relative = published_relative(backend.published, relative, fraction < 1.0);
            let capacity = Capacity { backend: id, max_in_flight: max, relative };
            if backend.published != Some(capacity) {
                self.capacity_updates.push(capacity);
                backend.published = Some(capacity);
            }
        }
    }

    /// The capacities that have changed since the last call.
    pub fn take_capacity_updates(&mut self) -> Vec<Capacity> {
        std::mem::take(&mut self.capacity_updates)
    }

    /// The changes of limits since the last call, with the measurements that caused them.
    pub fn take_limit_changes(&mut self) -> Vec<(ServerId, LimitChange)> {
        std::mem::take(&mut self.limit_changes)
    }

    /// The maximum number of requests in flight, summed over the backends that accept requests.
    pub fn total_capacity(&self) -> u32 {
        self.total_capacity
    }

    /// The number of attempts in flight, summed over all backends.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The state of a backend; `None` if it is not listed.
    pub fn status(&self, id: ServerId) -> Option<BackendStatus> {
        let backend = self.backends.get(&id)?;
        Some(BackendStatus {
            capacity: backend.published?,
            in_flight: backend.limit.in_flight(),
            recent_changes: backend.limit.recent_changes().copied().collect(),
        })
    }

    /// The number of limit changes of the listed backends.
    pub fn change_count(&self) -> usize {
        self.backends.values().map(|backend| backend.change_count).sum()
    }
}

/// The relative capacity to publish: the previous one, unless the new one differs by more than the tolerance.
fn published_relative(previous: Option<Capacity>, relative: f64, in_slow_start: bool) -> f64 {
    let relative = if !in_slow_start && is_close(relative, 1.0, TOLERANCE) { 1.0 } else { relative };
    let tolerance = if in_slow_start || relative == 1.0 { FINE_TOLERANCE } else { TOLERANCE };
    previous
        .map(|capacity| capacity.relative)
        .filter(|previous| is_close(relative, *previous, tolerance))
        .unwrap_or(relative)
}
