//! Distributed rate limits for tenants, and retry budgets for services. No I/O, no clock.
//!
//! A tenant's limit applies to all nodes together. The quota leader ([`QuotaAllocator`], at the head of the
//! coordinators' chain) holds one token bucket for it. Each node ([`TenantLimits`]) holds a small reserve
//! that was granted in advance, and has it topped up after use. A request that the reserve does not cover
//! waits a moment for a grant of the quota leader. A fixed division of the rate among the nodes would reject
//! many requests that are within the limit, since a single request may cost as much as the whole limit allows
//! in several hundred milliseconds.
//!
//! A node without contact with the quota leader uses a fallback rate that was granted to it before. The quota
//! leader withholds that rate from others for as long as it has no contact with the node.
//!
//! Times are durations since any fixed moment on the caller's monotonic clock. Times of different processes
//! are never compared.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod allocator;
mod limit;
mod probabilistic_rejection;
mod rate_meter;
mod reserve;
mod retry_budget;
mod settings;
mod shared_bucket;
mod tenant_limits;

pub use allocator::QuotaAllocator;
pub use retry_budget::RetryBudget;
pub use settings::QuotaSettings;
pub use tenant_limits::{Admission, PendingAdmission, TenantLimits};
