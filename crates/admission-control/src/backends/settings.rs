//! Settings of the concurrency limits and the slow start of a cluster's backends.

use crate::limit::LimitBounds;
use std::time::Duration;

/// The fraction of its capacity with which a new backend starts its slow start.
const INITIAL_FRACTION: f64 = 0.1;

/// The settings of concurrency limits and slow start for all backends of a cluster.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// The bounds of the limit of a backend of average weight; `None` for no limits.
    pub bounds: Option<LimitBounds>,
    /// The time over which the capacity of a new backend rises to its full value; `None` for no slow start.
    pub slow_start: Option<Duration>,
}

impl LimitSettings {
    /// The bounds for a backend whose weight is `relative_weight` times the mean of its cluster.
    pub(super) fn bounds_for(&self, relative_weight: f64) -> LimitBounds {
        let unlimited = LimitBounds {
            initial: f64::from(u32::MAX),
            min: 1.0,
            max: f64::from(u32::MAX),
            is_adaptive: false,
            nodes: 1.0,
        };
        self.bounds.map_or(unlimited, |bounds| {
            let scaled = |value: f64| (value * relative_weight).max(bounds.min);
            LimitBounds {
                initial: scaled(bounds.initial),
                max: if bounds.is_adaptive { bounds.max } else { scaled(bounds.max) },
                ..bounds
            }
        })
    }

    /// The fraction of its capacity that a backend gets, up to 1. `added_at` is `None` if the backend is not
    /// new.
    pub(super) fn slow_start_fraction(&self, added_at: Option<Duration>, now: Duration) -> f64 {
        let (Some(slow_start), Some(added_at)) = (self.slow_start, added_at) else { return 1.0 };
        let age = now.saturating_sub(added_at).as_secs_f64() / slow_start.as_secs_f64().max(1e-3);
        (INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) * age).min(1.0)
    }
}
