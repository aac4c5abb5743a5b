//! The rules that no attempt may violate: to which servers a request may be sent, and whether it may be
//! retried.

use super::Balancer;
use crate::interface::*;
use crate::state::{Attempt, ClassSlot, Request, Server};
use std::time::Duration;

/// The kind of an additional attempt of a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptKind {
    /// After the previous attempt has ended.
    Retry,
    /// While the previous attempt is in flight.
    Hedged,
}

impl Balancer {
    /// Whether a request may be sent to a server. Never to one that is draining or removed, although rule 3
    /// allows this for a grace period.
    pub(super) fn permits(&self, server: &Server, request: &Request) -> bool {
        let was_sent_there = |attempt: &Attempt| {
            attempt.server.id == server.entry.id && attempt.outcome != Some(Outcome::NotSent)
        };
        server.entry.state == ServerState::Ready
            && self.slow_start_permits(server, request)
            && self.repeat_permits(server, request)
            && !request.attempts.iter().any(was_sent_there)
    }

    /// Rule 2: a request that may have been executed is repeated only as its class allows.
    fn repeat_permits(&self, server: &Server, request: &Request) -> bool {
        let Some(first) = request.first_possible_execution() else { return true };
        match self.classes[request.class].repeat {
            Repeat::Safe => true,
            Repeat::Unsafe => false,
            Repeat::Keyed { scope, window } => {
                let deduplicates = match scope {
                    Scope::All => true,
                    Scope::Zone => first.server.zone == server.entry.zone,
                    Scope::Cell => first.server.cell == server.entry.cell,
                };
                deduplicates && self.now < first.sent + window
            }
        }
    }

    /// Whether a retry at this time is possible at any server, by rule 2 and the attempt policy of the class.
    pub(super) fn may_retry_at(&self, request: &Request, at: Duration) -> bool {
        let class = &self.classes[request.class];
        let is_repeatable = request.first_possible_execution().is_none_or(|first| match class.repeat {
            Repeat::Safe => true,
            Repeat::Unsafe => false,
            Repeat::Keyed { window, .. } => at < first.sent + window,
        });
        let retry_on = class.attempt_policy.retry_on;
        let allows = |attempt: &Attempt| attempt.outcome.is_none_or(|outcome| retry_on.allows(outcome));
        is_repeatable
            && at < request.deadline
            && self.has_attempts_left(request)
            && request.attempts.iter().all(allows)
    }

    /// Whether a request may have another attempt. An upload is sent only once if its body is no longer
    /// available or an attempt may have been executed.
    pub(super) fn has_attempts_left(&self, request: &Request) -> bool {
        let is_unavailable = request.is_body_consumed || request.may_have_run();
        if request.upload_timeout.is_some() && is_unavailable {
            return request.attempts.is_empty();
        }
        let policy = &self.classes[request.class].attempt_policy;
        let max = policy.max_attempts.unwrap_or(self.settings.limits.max_attempts);
        request.attempts.len() < max as usize
    }

    /// Whether restrictions and the budget allow another attempt. Hedged attempts have their own budget if
    /// the class sets their maximum fraction.
    pub(super) fn has_budget(&self, request: &Request) -> bool {
        let (class, restrictions) = (request.class, self.restrictions);
        let is_hedged = request.is_next_hedged();
        if restrictions.no_retries
            || restrictions.no_hedging && is_hedged
            || restrictions.no_retries_after_execution && request.may_have_run()
        {
            return false;
        }
        match self.classes[class].attempt_policy.hedging {
            Hedging::After { .. } if is_hedged => self.classes.hedges_left(class) >= 1.0,
            _ => self.classes.retries_left(class, self.now).unwrap_or(self.retry_tokens) >= 1.0,
        }
    }

    /// Deducts an additional attempt from its budget.
    pub(super) fn spend(&mut self, class: ClassSlot, kind: AttemptKind) {
        let policy = &self.classes[class].attempt_policy;
        match policy.hedging {
            Hedging::After { .. } if kind == AttemptKind::Hedged => self.classes.spend_hedge(class),
            _ if policy.retry_budget.is_some() => self.classes.spend_retry(class, self.now),
            _ => self.retry_tokens -= 1.0,
        }
    }
}
