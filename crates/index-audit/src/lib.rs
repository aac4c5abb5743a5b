//! Audit of the fleet's index of prompt blocks against the blocks that each backend reports to have cached.
//!
//! Frontends report which blocks they expect each backend to have cached. The [`Audit`] holds the union of
//! these reports for each backend. In rounds, it requests digests of the backend's cache and locates the
//! differences. As reports are always in transit, a difference is a mismatch only once a second round has
//! observed it. Each mismatch is recorded with its backend, block, direction, times and sizes before the
//! index is corrected. A difference that is gone in the second round is recorded as well. A backend that
//! can't be audited has a state of its own, and never counts as matching.
//!
//! No I/O, no clock: times are durations since a fixed moment on a monotonic clock.
//! `docs/design/index-audit.md` describes the alternatives that were considered.
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
