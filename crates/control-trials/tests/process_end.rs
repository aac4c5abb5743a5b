//! Which ends of processes a trial has asked for.

use control_trials::process_end::EndRequest;

const SIGHUP: i32 = -1;
const SIGABRT: i32 = -6;
const SIGKILL: i32 = -9;
const SIGSEGV: i32 = -11;
const SIGTERM: i32 = -15;
/// The exit code after a panic of the main thread.
const PANICKED: i32 = 101;

/// Ends by a signal that the trial had not sent were not counted, a coordinator's panic among them.
#[test]
fn a_panic_and_a_foreign_signal_are_never_asked_for() {
    let requests = [EndRequest::None, EndRequest::InvalidSettings, EndRequest::Terminate, EndRequest::Kill];
    for request in requests {
        for code in [SIGHUP, SIGABRT, SIGSEGV, PANICKED, 2] {
            assert!(!request.allows(code), "{request:?} {code}");
        }
    }
}

#[test]
fn an_end_is_asked_for_by_its_own_signal_or_a_stronger_one() {
    for code in [0, 1, SIGKILL, SIGTERM] {
        assert!(!EndRequest::None.allows(code), "{code}");
    }
    assert!(EndRequest::Terminate.allows(0) && EndRequest::Terminate.allows(SIGTERM));
    assert!(!EndRequest::Terminate.allows(SIGKILL) && !EndRequest::Terminate.allows(1));
    assert!(EndRequest::Kill.allows(SIGKILL) && EndRequest::Kill.allows(0));
    assert!(EndRequest::InvalidSettings.allows(1) && !EndRequest::InvalidSettings.allows(0));
}
