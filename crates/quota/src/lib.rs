//! Limits of tenants and the budget of retries, kept by many nodes together. No I/O, no clock.
//!
//! A tenant's limit holds for all nodes together. The fleet has one bucket for it, at the [`Grantor`] (the head of the core's
//! chain), and each node holds a small prepaid reserve that it fills up after use ([`TenantLimits`]). A request that the
//! reserve does not cover asks the grantor and waits for the answer for a moment. Requests cost up to several hundred
//! milliseconds of a whole limit, so that a fixed division of the rate over the nodes would refuse much that is within it.
//!
//! A node that hears of no grantor goes on with a rate that it was told before; the grantor takes that rate off what it gives
//! to others for as long as it does not hear from the node.
//!
//! Time is passed in as the time since any fixed moment on the caller's steady clock. No two clocks are compared.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bucket;
mod budget;
mod grantor;
mod limit;
mod meter;
mod node;
mod pool;
mod thinning;

pub use budget::RetryBudget;
pub use grantor::Grantor;
pub use limit::Terms;
pub use node::{Admission, TenantLimits, Ticket};
