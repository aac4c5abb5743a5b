//! Rule 2: no request takes effect twice, counted over all nodes and all of its attempts, and no request is
//! rejected after a backend has received it.

use super::attempts::{Attempt, AttemptEnd, Attempts, Execution};
use super::violation::{Checker, Violation};
use crate::history::{History, Idempotency, ResponseKind};
use std::collections::BTreeMap;

/// Reports requests that took effect twice, and rejections of requests that a backend received.
pub struct EffectChecker;

impl EffectChecker {
    fn violation(&self, at_us: u64, description: String, mut evidence: Vec<usize>) -> Violation {
        evidence.sort_unstable();
        evidence.dedup();
        Violation { checker: self.name(), description, at_us, evidence }
    }

    /// A rejection of an attempt that a backend has received. A rejection promises that the request was not
    /// executed.
    fn false_rejection(&self, attempt: &Attempt) -> Option<Violation> {
        let (end_us, end) = attempt.end?;
        let first = attempt.executions.first()?;
        let is_rejected = end == AttemptEnd::Response(ResponseKind::Rejected);
        (is_rejected && attempt.idempotency != Idempotency::Safe).then(|| {
            let (id, backend) = (&attempt.id, &first.backend);
            let description = format!("{id}: rejected as not executed, but {backend} received it");
            self.violation(end_us, description, attempt.entries.clone())
        })
    }

    /// A request that was executed more often than its class allows. `request_attempts` are its attempts by
    /// send time.
    fn repeated_effect(
        &self,
        request: &str,
        request_attempts: &[&Attempt],
        attempts: &Attempts,
        slack_us: u64,
    ) -> Option<Violation> {
        let executions: Vec<&Execution> =
            request_attempts.iter().flat_map(|attempt| &attempt.executions).collect();
        if executions.len() < 2 {
            return None;
        }
        let last_us = executions.iter().map(|execution| execution.at_us).max()?;
        let backends: Vec<_> = executions.iter().map(|execution| execution.backend.as_str()).collect();
        let backends = backends.join(" and ");
        let description = match request_attempts.first()?.idempotency {
            // Clients retry requests of this class only after a rejection, so each second execution is a
            // fault of a node.
            Idempotency::Unsafe => format!("{request}: not idempotent, but started at {backends}"),
            Idempotency::Keyed if is_caused_by_node(request_attempts, attempts, slack_us) => {
                format!("{request}: started more than once under its idempotency key, at {backends}")
            }
            Idempotency::Keyed | Idempotency::Safe => return None,
        };
        let evidence = request_attempts.iter().flat_map(|attempt| attempt.entries.clone()).collect();
        Some(self.violation(last_us, description, evidence))
    }
}

/// Whether a node caused the second execution of an idempotency key, which backends remember only for a time:
/// an attempt was executed twice, or started after its client had abandoned it and could retry elsewhere. Two
/// attempts that were each executed in time are the result of a client's retry and not a violation.
fn is_caused_by_node(request_attempts: &[&Attempt], attempts: &Attempts, slack_us: u64) -> bool {
    let is_twice = request_attempts.iter().any(|attempt| attempt.executions.len() > 1);
    is_twice
        || request_attempts.iter().any(|attempt| {
            let latest_start_us = attempt.end.map_or(u64::MAX, |(at_us, _)| at_us.saturating_add(slack_us));
            attempt.executions.iter().any(|execution| {
                execution.at_us > latest_start_us && !attempts.could_not_cancel(attempt, execution.at_us)
            })
        })
}

impl Checker for EffectChecker {
    fn name(&self) -> &'static str {
        "effects"
    }

    fn rule(&self) -> &'static str {
        "no request takes effect twice, and none is rejected after a backend has received it"
    }

    fn check(&self, history: &History, attempts: &Attempts) -> Vec<Violation> {
        let slack_us = history.bounds().map_or(0, |bounds| bounds.slack_ms * 1000);
        let mut violations = Vec::new();
        let mut requests: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
        for attempt in attempts.by_id.values() {
            requests.entry(&attempt.request).or_default().push(attempt);
            violations.extend(self.false_rejection(attempt));
        }
        for (request, mut request_attempts) in requests {
            request_attempts.sort_by_key(|attempt| attempt.sent_us);
            violations.extend(self.repeated_effect(request, &request_attempts, attempts, slack_us));
        }
        violations
    }
}
