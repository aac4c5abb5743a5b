//! Whether a request may be retried, for all combinations of written bytes, ends of attempts and retry
//! policies of routes.

use data_plane::retry_safety::RequestBytes::{NoneWritten, SomeWritten};
use data_plane::retry_safety::{
    AttemptEnd, AttemptHistory, ExecutionEvidence, RequestBytes, ResponseOwner, RetryPolicy,
    execution_evidence,
};
use hyper::StatusCode;

const STATUSES: [u16; 14] = [200, 204, 301, 400, 404, 408, 421, 425, 429, 500, 502, 503, 504, 599];
const OWNERS: [ResponseOwner; 3] =
    [ResponseOwner::ThisRequest, ResponseOwner::Unknown, ResponseOwner::OtherRequest];

/// All ways in which an attempt may end.
fn all_ends() -> Vec<AttemptEnd> {
    let mut ends = vec![AttemptEnd::TimedOut, AttemptEnd::ConnectionBroken];
    for status in STATUSES {
        for not_executed in [false, true] {
            for owner in OWNERS {
                let status = StatusCode::from_u16(status).expect("a status");
                ends.push(AttemptEnd::Response { status, not_executed, owner });
            }
        }
    }
    ends
}

/// The policies of routes: idempotent or not, with 1 to 3 attempts.
fn all_policies() -> Vec<RetryPolicy> {
    let policies = |idempotent| (1..=3).map(move |max_attempts| RetryPolicy { idempotent, max_attempts });
    [false, true].into_iter().flat_map(policies).collect()
}

/// Whether an attempt proves by the protocol that its request has not run. Implemented independently of the
/// data plane.
fn proves_not_run(written: RequestBytes, end: AttemptEnd) -> bool {
    match end {
        AttemptEnd::TimedOut | AttemptEnd::ConnectionBroken => written == NoneWritten,
        AttemptEnd::Response { owner: ResponseOwner::OtherRequest, .. } => false,
        AttemptEnd::Response { status, not_executed, .. } => {
            status.as_u16() == 421 || (not_executed && !(200..300).contains(&status.as_u16()))
        }
    }
}

#[test]
fn a_request_counts_as_not_run_only_if_that_is_proved() {
    let mut cases = 0;
    for end in all_ends() {
        for written in [SomeWritten, NoneWritten] {
            if written == NoneWritten && matches!(end, AttemptEnd::Response { .. }) {
                // There is no response to a request of which nothing was written.
                continue;
            }
            let is_proved = execution_evidence(written, end) != ExecutionEvidence::MayHaveRun;
            assert_eq!(is_proved, proves_not_run(written, end), "{written:?}, {end:?}");
            cases += 1;
        }
    }
    println!("{cases} ends of an attempt");
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_its_route_is_idempotent() {
    let mut cases = 0;
    for policy in all_policies() {
        for first in all_ends().into_iter().flat_map(|end| [(SomeWritten, end), (NoneWritten, end)]) {
            for second in all_ends() {
                let mut history = AttemptHistory::default();
                assert!(history.allows_attempt(policy), "the first attempt is not allowed");
                history.record(execution_evidence(first.0, first.1));
                if !history.allows_attempt(policy) {
                    continue;
                }
                history.record(execution_evidence(SomeWritten, second));
                let may_have_run = !proves_not_run(first.0, first.1) || !proves_not_run(SomeWritten, second);
                assert_eq!(history.may_have_run(), may_have_run);
                let attempts_written = [first, (SomeWritten, second)]
                    .iter()
                    .filter(|(written, _)| *written == SomeWritten)
                    .count() as u32;
                let written_first = !(first.0 == NoneWritten
                    && matches!(first.1, AttemptEnd::TimedOut | AttemptEnd::ConnectionBroken));
                let attempts_written = if written_first { 2 } else { attempts_written };
                let allowed = (policy.idempotent || !may_have_run) && attempts_written < policy.max_attempts;
                assert_eq!(history.allows_attempt(policy), allowed, "{policy:?} {first:?} {second:?}");
                cases += 1;
            }
        }
    }
    println!("{cases} pairs of attempts");
    assert!(cases > 10_000);
}

#[test]
fn at_most_three_attempts_end_without_a_byte_written() {
    let policy = RetryPolicy { idempotent: false, max_attempts: 1 };
    let mut history = AttemptHistory::default();
    for _ in 0..3 {
        assert!(history.allows_attempt(policy));
        history.record(ExecutionEvidence::NotWritten);
    }
    assert!(!history.allows_attempt(policy));
    assert!(!history.may_have_run() && !history.has_reached_backend());
}
