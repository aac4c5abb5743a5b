//! Selects the fault of a script that applies to a backend at a time, or to a request.

use crate::script::{Fault, FaultRule};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

struct ScheduledRule {
    rule: FaultRule,
    /// The number of requests to which it was applied.
    applied: u64,
}

/// The fault rules of one backend, in the order of the script.
pub(crate) struct FaultSchedule(Mutex<Vec<ScheduledRule>>);

impl FaultSchedule {
    pub(crate) fn new(rules: Vec<FaultRule>) -> Self {
        FaultSchedule(Mutex::new(rules.into_iter().map(|rule| ScheduledRule { rule, applied: 0 }).collect()))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ScheduledRule>> {
        // No change leaves the counts inconsistent, so they are valid even if a task has panicked.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When the refusal of connections ends; `None` if they are accepted now.
    pub(crate) fn refused_until(&self, now: Duration) -> Option<Duration> {
        let rules = self.lock();
        let refusals = rules.iter().map(|scheduled| &scheduled.rule).filter(|rule| is_refusal(rule));
        refusals.filter(|rule| rule.from <= now && now < rule.until).map(|rule| rule.until).max()
    }

    /// When the next refusal of connections begins; `None` if none is scheduled.
    pub(crate) fn next_refusal(&self, now: Duration) -> Option<Duration> {
        let rules = self.lock();
        let refusals = rules.iter().map(|scheduled| &scheduled.rule).filter(|rule| is_refusal(rule));
        refusals.map(|rule| rule.from).filter(|from| *from > now).min()
    }

    /// The first fault that applies to the request with this number at the backend, which counts against the
    /// rule's limit; `None` if none applies. Refusals of connections apply to no request.
    pub(crate) fn apply(&self, now: Duration, request_number: u64) -> Option<Fault> {
        let mut rules = self.lock();
        let scheduled = rules.iter_mut().find(|ScheduledRule { rule, applied }| {
            !is_refusal(rule)
                && rule.from <= now
                && now < rule.until
                && *applied < rule.limit
                && request_number.is_multiple_of(rule.every)
        })?;
        scheduled.applied += 1;
        Some(scheduled.rule.fault)
    }
}

fn is_refusal(rule: &FaultRule) -> bool {
    rule.fault == Fault::RefuseConnections
}
