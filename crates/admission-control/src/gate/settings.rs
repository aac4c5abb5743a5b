//! Settings of a gate: classes, tenants, limits and brownout.

use crate::backends::LimitSettings;
use crate::brownout::BrownoutStep;
use std::time::Duration;

/// The weight of a class in the queue, and the waits of its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// The name under which the measured cost of the class is kept when settings are replaced.
    pub name: String,
    /// The value of a request relative to other classes; queued requests are served by weight per cost.
    pub priority_weight: f64,
    /// The minimum time after which a rejected client is asked to retry.
    pub min_retry_after: Duration,
    /// The maximum time in the queue; `None` for a quarter of the time until the request's deadline.
    pub max_queue_time: Option<Duration>,
}

/// The backend time that a tenant is entitled to.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// The name that identifies the tenant when settings are replaced.
    pub name: String,
    /// The share of the backend time, from 0 to 1; `None` for an equal part of what the configured shares
    /// leave.
    pub share: Option<f64>,
    /// The rate of requests per second at this node that are served before all others.
    pub guaranteed_rate: f64,
}

/// The settings of a gate, which [`Gate::reconfigure`](super::Gate::reconfigure) replaces.
#[derive(Clone, Debug, PartialEq)]
pub struct GateSettings {
    /// The concurrency limits and slow start of the backends.
    pub limits: LimitSettings,
    /// The classes; arrivals refer to them by index.
    pub classes: Vec<ClassSettings>,
    /// The tenants; arrivals refer to them by index. Empty if there are none.
    pub tenants: Vec<TenantSettings>,
    /// The brownout steps, in the order of activation.
    pub brownout: Vec<BrownoutStep>,
}
