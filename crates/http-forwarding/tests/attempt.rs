//! The actions after events of an attempt, the outcomes of response heads and the rules for retries.

use http_forwarding::attempt::{
    AttemptAction, AttemptEvent, AttemptStage, BodyAvailability, ConnectionUse, ResponseHead,
    SuccessCriterion, action_after, may_retry, response_outcome,
};
use join_up_to::{Outcome, Repeat};
use proptest::prelude::*;

const OTHER_CONNECTION: AttemptAction = AttemptAction::UseOtherConnection;
const NOT_SENT: AttemptAction = AttemptAction::End(Outcome::NotSent);
const CONNECT_FAILED: AttemptAction = AttemptAction::End(Outcome::ConnectFailed);
const CANCELLED: AttemptAction = AttemptAction::End(Outcome::Cancelled);
const TIMED_OUT: AttemptAction = AttemptAction::End(Outcome::TimedOut);
const ERROR: AttemptAction = AttemptAction::End(Outcome::Error);
const RESET: AttemptAction = AttemptAction::End(Outcome::Reset);
const ABORT: AttemptAction = AttemptAction::AbortClientConnection;
const NONE: AttemptAction = AttemptAction::NoAction;

/// The action for each stage, by event in the order of `AttemptEvent::ALL`, on a reused connection.
const ACTIONS: [(AttemptStage, [AttemptAction; 7]); 7] = [
    // connect failed, connection lost, invalid response, timed out, client body failed, client disconnected,
    // superseded
    (
        AttemptStage::NothingSent,
        [CONNECT_FAILED, OTHER_CONNECTION, OTHER_CONNECTION, NOT_SENT, NOT_SENT, CANCELLED, CANCELLED],
    ),
    (
        AttemptStage::SendingHead,
        [CONNECT_FAILED, CONNECT_FAILED, CONNECT_FAILED, NOT_SENT, NOT_SENT, CANCELLED, CANCELLED],
    ),
    (
        AttemptStage::SendingBody,
        [CONNECT_FAILED, CONNECT_FAILED, CONNECT_FAILED, NOT_SENT, NOT_SENT, CANCELLED, CANCELLED],
    ),
    (AttemptStage::RequestSent, [RESET, RESET, ERROR, TIMED_OUT, RESET, CANCELLED, CANCELLED]),
    (AttemptStage::ResponseStarted, [RESET, RESET, ERROR, TIMED_OUT, RESET, CANCELLED, CANCELLED]),
    (AttemptStage::ForwardingResponse, [ABORT, ABORT, ABORT, ABORT, ABORT, ABORT, ABORT]),
    (AttemptStage::Complete, [NONE, NONE, NONE, NONE, NONE, NONE, NONE]),
];

#[test]
fn every_stage_and_event_has_the_expected_action() {
    for ((stage, row), expected_stage) in ACTIONS.into_iter().zip(AttemptStage::ALL) {
        assert_eq!(stage, expected_stage);
        for (event, expected) in AttemptEvent::ALL.into_iter().zip(row) {
            assert_eq!(action_after(stage, event, ConnectionUse::Reused), expected, "{stage:?}, {event:?}");
            // The loss of a new connection is attributed to the backend.
            let fresh = if expected == OTHER_CONNECTION { CONNECT_FAILED } else { expected };
            assert_eq!(action_after(stage, event, ConnectionUse::New), fresh, "{stage:?}, {event:?}, new");
        }
    }
}

#[test]
fn outcome_of_a_response_depends_on_its_status_and_the_success_criterion() {
    let of = |status, unprocessed| ResponseHead { status, unprocessed };
    for (head, ok, all) in [
        (of(200, false), Outcome::Served, Outcome::Served),
        (of(206, false), Outcome::Error, Outcome::Served),
        (of(304, false), Outcome::Error, Outcome::Served),
        (of(404, false), Outcome::Error, Outcome::Served),
        (of(101, false), Outcome::Error, Outcome::Error),
        (of(429, false), Outcome::Error, Outcome::Error),
        (of(429, true), Outcome::Error, Outcome::Rejected),
        (of(500, true), Outcome::Error, Outcome::Error),
        (of(503, false), Outcome::Error, Outcome::Error),
        (of(503, true), Outcome::Rejected, Outcome::Rejected),
        (of(504, true), Outcome::Rejected, Outcome::Rejected),
    ] {
        assert_eq!(
            (
                response_outcome(head, SuccessCriterion::Status200),
                response_outcome(head, SuccessCriterion::NoBackendFailure)
            ),
            (ok, all)
        );
    }
}

const REPEATS: [Repeat; 3] = [
    Repeat::Safe,
    Repeat::Keyed { scope: join_up_to::Scope::Zone, window: std::time::Duration::from_secs(1) },
    Repeat::Unsafe,
];

#[test]
fn retry_requires_proof_of_non_execution_or_idempotence_and_an_available_body() {
    for repeat in REPEATS {
        for body in [BodyAvailability::Complete, BodyAvailability::NothingSent, BodyAvailability::Incomplete]
        {
            // A request that was certainly not executed may be retried in every class if its body is
            // available.
            for never in [Outcome::ConnectFailed, Outcome::NotSent, Outcome::Rejected] {
                assert_eq!(may_retry(repeat, Some(never), body), body != BodyAvailability::Incomplete);
            }
            for may_have in [Outcome::Reset, Outcome::TimedOut, Outcome::Error, Outcome::Cancelled] {
                let expected = body == BodyAvailability::Complete && repeat != Repeat::Unsafe;
                assert_eq!(may_retry(repeat, Some(may_have), body), expected);
            }
        }
    }
}

/// The reference model: a backend executes a request once it has all of it, and a client has received all or
/// part of a response. It knows only what was written to the backend and what was forwarded to the client.
struct ReferenceAttempt {
    is_request_sent: bool,
    is_response_forwarded: bool,
    is_complete: bool,
}

proptest! {
    /// A request that may have been executed is never reported as not executed, nothing is retried once the
    /// head of a response is being forwarded, and a complete attempt stays complete.
    #[test]
    fn actions_agree_with_a_reference_model(
        stage_index in 0usize..7, event_index in 0usize..7, reused in any::<bool>(), repeat_index in 0usize..3,
    ) {
        let (stage, event) = (AttemptStage::ALL[stage_index], AttemptEvent::ALL[event_index]);
        let reference = ReferenceAttempt {
            is_request_sent: stage >= AttemptStage::RequestSent,
            is_response_forwarded: stage == AttemptStage::ForwardingResponse,
            is_complete: stage == AttemptStage::Complete,
        };
        let connection = if reused { ConnectionUse::Reused } else { ConnectionUse::New };
        match action_after(stage, event, connection) {
            AttemptAction::NoAction => prop_assert!(reference.is_complete),
            AttemptAction::AbortClientConnection => prop_assert!(reference.is_response_forwarded),
            AttemptAction::UseOtherConnection => prop_assert!(!reference.is_request_sent && stage == AttemptStage::NothingSent && reused),
            AttemptAction::End(outcome) => {
                prop_assert!(!reference.is_response_forwarded && !reference.is_complete);
                if outcome.never_ran() {
                    prop_assert!(!reference.is_request_sent, "{stage:?} {event:?}");
                }
                if reference.is_request_sent && REPEATS[repeat_index] == Repeat::Unsafe {
                    prop_assert!(!may_retry(Repeat::Unsafe, Some(outcome), BodyAvailability::Complete));
                }
            }
        }
    }
}
