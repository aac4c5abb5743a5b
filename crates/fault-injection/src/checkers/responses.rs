//! Rule 1: each accepted request gets exactly one final response, in time, with no bytes after it. A missing
//! response is excused by a fault of the node or of a link. A backend that starts a request long after its
//! client has abandoned it is a violation, whatever faults were active.

use super::attempts::{Attempt, AttemptEnd, Attempts, TimeSpan};
use super::violation::{Checker, Violation};
use crate::history::{History, Idempotency};

/// How long after the end of a fault a missing response is still excused, µs: the attempt may have been in
/// flight during the fault.
const AFTERMATH_US: u64 = 300_000;

/// Reports missing and late responses, bytes after a response, and executions of abandoned requests.
pub struct ResponseChecker;

impl ResponseChecker {
    fn violation(&self, at_us: u64, description: String, evidence: &[usize]) -> Violation {
        Violation { checker: self.name(), description, at_us, evidence: evidence.to_vec() }
    }

    fn check_attempt(&self, attempt: &Attempt, attempts: &Attempts, slack_us: u64) -> Vec<Violation> {
        let id = &attempt.id;
        let Some((end_us, end)) = attempt.end else {
            return vec![self.violation(
                attempt.sent_us,
                format!("{id}: no outcome was recorded"),
                &attempt.entries,
            )];
        };
        let mut violations = Vec::new();
        if let Some(entry) = attempt.unexpected_data {
            let description = format!("{id}: bytes arrived after its final response");
            violations.push(self.violation(attempt.sent_us, description, &[entry]));
        }
        violations.extend(self.missing_response(attempt, attempts, end_us, end));
        // Faults do not excuse late executions: a request with an effect must not start after its client has
        // abandoned it, whatever delayed it. Time on a stalled link is covered by the plan's slack.
        if end != AttemptEnd::ConnectFailed && attempt.idempotency != Idempotency::Safe {
            violations.extend(self.late_executions(attempt, attempts, end_us, slack_us));
        }
        violations
    }

    fn missing_response(
        &self,
        attempt: &Attempt,
        attempts: &Attempts,
        end_us: u64,
        end: AttemptEnd,
    ) -> Option<Violation> {
        let Attempt { id, node, .. } = attempt;
        let description = match end {
            AttemptEnd::TimedOut => format!("{id}: {node} did not respond in time"),
            AttemptEnd::ConnectionLost => format!("{id}: {node} closed the connection without a response"),
            AttemptEnd::Response(_) | AttemptEnd::ConnectFailed => return None,
        };
        // The span reaches to the client's deadline even if the attempt ended earlier: a pause until then
        // excuses it.
        let to_us = end_us.max(attempt.sent_us + attempt.timeout_us);
        let span = TimeSpan { from_us: attempt.sent_us, to_us };
        let with_aftermath = TimeSpan { from_us: span.from_us.saturating_sub(AFTERMATH_US), to_us };
        let is_excused = attempts.was_down(node, span) || attempts.was_faulty(with_aftermath);
        (!is_excused).then(|| self.violation(end_us, description, &attempt.entries))
    }

    fn late_executions(
        &self,
        attempt: &Attempt,
        attempts: &Attempts,
        end_us: u64,
        slack_us: u64,
    ) -> Vec<Violation> {
        let late = attempt.executions.iter().filter(|execution| {
            execution.at_us > end_us + slack_us && !attempts.could_not_cancel(attempt, execution.at_us)
        });
        late.map(|execution| {
            let (id, backend) = (&attempt.id, &execution.backend);
            let late_ms = (execution.at_us - end_us) / 1000;
            let description =
                format!("{id}: {backend} started it {late_ms} ms after it had ended for its client");
            let mut evidence = attempt.entries.clone();
            evidence.retain(|entry| *entry <= execution.entry);
            self.violation(execution.at_us, description, &evidence)
        })
        .collect()
    }
}

impl Checker for ResponseChecker {
    fn name(&self) -> &'static str {
        "answers"
    }

    fn rule(&self) -> &'static str {
        "each accepted request gets one final response, in time, and no bytes follow it"
    }

    fn check(&self, history: &History, attempts: &Attempts) -> Vec<Violation> {
        let slack_us = history.bounds().map_or(0, |bounds| bounds.slack_ms * 1000);
        let all = attempts.by_id.values();
        all.flat_map(|attempt| self.check_attempt(attempt, attempts, slack_us)).collect()
    }
}
