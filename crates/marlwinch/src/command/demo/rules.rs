//! Checks the executions at the backends against the rules of the deployment, and prints the result.

use load_generator::engine::AttemptResult;
use load_generator::record::Outcome;
use std::time::Duration;
use test_servers::execution_log::{
    ClientOutcome, ExecutionCounts, ExecutionLimit, ExecutionLog, RuleViolation,
};

/// How long after a drain was published a node may still send requests to the backend: the `DrainGrace` of
/// the configuration, 2 s, and 50 ms for delays of sockets and threads.
const DRAIN_GRACE: Duration = Duration::from_millis(2050);
/// The number of violations of a rule that are printed; further ones are only counted.
const MAX_PRINTED: usize = 5;
/// The rules by their number, which starts at 1.
const RULES: [&str; 4] = [
    "one final response, in time, for each accepted request",
    "no request takes effect twice",
    "no new request to a draining or removed backend after the grace period",
    "no cold backend overloaded until it crashes",
];

/// How often a request to this path may be executed, by the idempotency of its class.
fn allowed_executions(path: &str) -> ExecutionLimit {
    if path.starts_with("/tally-submit/") { ExecutionLimit::OncePerKey } else { ExecutionLimit::Once }
}

fn client_outcome(outcome: Outcome) -> ClientOutcome {
    match outcome {
        Outcome::Served => ClientOutcome::Served,
        Outcome::Rejected => ClientOutcome::Rejected,
        Outcome::Failed => ClientOutcome::Failed,
        Outcome::Lost | Outcome::Unsent => ClientOutcome::Lost,
    }
}

/// Prints for each rule whether it was kept, with the first violations. Returns whether all were kept.
pub fn check_rules(log: &ExecutionLog, attempts: &[AttemptResult]) -> bool {
    let sent = attempts.iter().filter(|attempt| attempt.outcome != Outcome::Unsent);
    let outcomes: Vec<_> =
        sent.map(|attempt| (attempt.id.as_str(), client_outcome(attempt.outcome))).collect();
    let requests = outcomes.len();
    let violations = log.check_rules(outcomes, allowed_executions, DRAIN_GRACE);
    let ExecutionCounts { executions, rejected, deduplicated } = log.counts();
    println!(
        "\nExecution log of the backends: {executions} executions, {rejected} rejected before execution, \
         {deduplicated} repeats dropped by idempotency key"
    );
    for (number, rule) in (1u8..).zip(RULES) {
        print_rule(number, rule, &violations);
    }
    println!("  checked against {requests} client attempts");
    violations.is_empty()
}

fn print_rule(number: u8, rule: &str, violations: &[RuleViolation]) {
    let violations: Vec<_> = violations.iter().filter(|violation| violation.rule == number).collect();
    let state = if violations.is_empty() { "kept  " } else { "BROKEN" };
    println!("  rule {number}  {state}  {rule}");
    for violation in violations.iter().take(MAX_PRINTED) {
        println!("          {} {}", violation.request_id, violation.description);
    }
    if violations.len() > MAX_PRINTED {
        println!("          and {} more", violations.len() - MAX_PRINTED);
    }
}
