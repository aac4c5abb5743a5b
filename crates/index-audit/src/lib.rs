//! The audit of the fleet's index of prompt blocks against what each backend reports to cache.
//!
//! Frontends report which blocks they expect each backend to have cached; the [`Audit`] keeps the union of these reports for
//! each backend. It requests digests of what the backend caches, in rounds, and locates the differences. As changes are
//! always under way, only a difference that a second round observes is a mismatch. Every mismatch is recorded with its
//! backend, block, direction, times and sizes before the index is corrected; a difference that is gone at the second round is
//! recorded as well. A backend that can't be audited has a state of its own, and never counts as matching.
//!
//! No I/O, no clock: times are durations since a fixed moment of a monotonic clock. `docs/design/index-audit.md` has the
//! alternatives that were considered.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod audit;
mod backend;
mod early_reports;
mod error;
mod ids;
mod index;
mod mismatch;
mod request;
mod round;
mod settings;
mod status;

pub use audit::{Audit, AuditOutput, Correction};
pub use error::AuditError;
pub use ids::{BackendKey, BlockKey};
pub use mismatch::{Mismatch, MismatchCounts, MismatchKind, MismatchOutcome};
pub use request::{RangeReport, RangeRequest, RangeResult};
pub use settings::AuditSettings;
pub use status::{AuditStatus, BackendAuditState, BackendAuditStatus};
