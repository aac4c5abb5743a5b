//! The observable state of a run: its progress while it is running, and the outcome of each attempt
//! afterwards.

use crate::record::Outcome;
use std::sync::atomic::{AtomicBool, AtomicU64};

/// The progress of a run, shared with its threads.
#[derive(Debug, Default)]
pub struct Progress {
    /// The number of requests that were started.
    pub sent: AtomicU64,
    /// The number of completed requests by outcome, in the order of [`Outcome::ALL`].
    pub completed: [AtomicU64; Outcome::ALL.len()],
    /// Set by the caller to stop the run early: no more requests are sent, and those in flight are awaited.
    pub stop: AtomicBool,
}

/// Whether a run keeps the outcome of each attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptLog {
    /// Keeps each outcome with the id of its attempt, at a cost in memory per attempt.
    Keep,
    /// Only counts outcomes.
    Discard,
}

/// The outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptResult {
    /// The attempt's unique id, sent as `X-Correlation-Id`.
    pub id: String,
    /// The outcome of this attempt; a retry of the request has its own.
    pub outcome: Outcome,
}
