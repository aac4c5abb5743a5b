//! A retry budget over all clusters of a node. Each class has a budget of its own, but if all clusters fail
//! at once, the sum of these budgets still allows a retry storm.

use join_up_to::rate::Rate;
use std::time::Duration;

/// The time constant of the attempt counts in seconds.
const WINDOW_S: f64 = 5.0;
/// Hysteresis: additional attempts are allowed again once their count has fallen to this fraction of the
/// budget.
const RELEASE_FACTOR: f64 = 0.7;
/// The additional attempts that a rejection counts for: of ten rejected clients one retries at once.
const REJECTION_WEIGHT: f64 = 0.1;

/// The number of additional attempts (retries and hedged requests) that a node may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Additional attempts as a fraction of first attempts.
    pub share: f64,
    /// Additional attempts per second that are allowed independently of first attempts.
    pub per_s: f64,
}

/// Whether an attempt counts against the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt of a request, which raises the budget by a share.
    First,
    /// A retry or a hedged request, which uses the budget.
    Additional,
}

/// Counts the attempts of a node and reports when additional ones exceed the budget.
#[derive(Debug)]
pub struct RetryStormGuard {
    budget: RetryBudget,
    first_attempts: Rate,
    additional_attempts: Rate,
    is_exceeded: bool,
}

impl RetryStormGuard {
    /// A guard that has recorded no attempts yet.
    pub fn new(budget: RetryBudget) -> Self {
        RetryStormGuard {
            budget,
            first_attempts: Rate::new(WINDOW_S),
            additional_attempts: Rate::new(WINDOW_S),
            is_exceeded: false,
        }
    }

    /// Replaces the budget; the recorded attempts are kept.
    pub fn set_budget(&mut self, budget: RetryBudget) {
        self.budget = budget;
    }

    /// Records an attempt. Returns [`RetryStormGuard::is_exceeded`].
    pub fn record_attempt(&mut self, now: Duration, kind: AttemptKind) -> bool {
        match kind {
            AttemptKind::First => self.first_attempts.add(now, 1.0),
            AttemptKind::Additional => self.additional_attempts.add(now, 1.0),
        }
        self.is_exceeded(now)
    }

    /// Records a rejected request: its client may retry, which uses part of the budget.
    pub fn record_rejection(&mut self, now: Duration) {
        self.additional_attempts.add(now, REJECTION_WEIGHT);
    }

    /// Whether the budget is exceeded; no cluster may make additional attempts while it is.
    pub fn is_exceeded(&mut self, now: Duration) -> bool {
        let allowed = self.budget.share * self.first_attempts.recent_sum(now) + self.budget.per_s * WINDOW_S;
        let additional = self.additional_attempts.recent_sum(now);
        self.is_exceeded = additional > if self.is_exceeded { allowed * RELEASE_FACTOR } else { allowed };
        self.is_exceeded
    }
}
