//! Requests whose bodies are forwarded while they arrive: they are repeated only if that is still possible,
//! and their time starts when the body is complete.

mod direct;

use direct::{at, balancer_of, ms};
use join_up_to::*;
use std::time::Duration;

/// A balancer with three servers, one class with this `repeat`, and hedging permitted.
fn balancer(repeat: Repeat) -> Balancer {
    let mut settings = Settings::default();
    settings.limits.cancel = true;
    settings.limits.parallel_attempts = true;
    settings.classes[0] =
        Class { latency_target: ms(400), deadline: ms(1000), repeat, ..settings.classes[0].clone() };
    balancer_of(settings, 3)
}

fn upload(id: u64) -> Event {
    let request = NewRequest {
        id: RequestId(id),
        class: 0,
        tenant: 0,
        key: 0,
        remaining: ms(1000),
        cost: None,
        client_retry: false,
    };
    Event::Upload { request, within: ms(5000) }
}

fn ended(outcome: Outcome, server: ServerId) -> Event {
    Event::AttemptEnded(AttemptEnd {
        id: RequestId(9),
        attempt: 0,
        server,
        outcome,
        elapsed: ms(10),
        finished: false,
        report: None,
    })
}

fn sent_to(actions: &[Action]) -> Option<(ServerId, Duration)> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, timeout, .. } => Some((*server, *timeout)),
        _ => None,
    })
}

#[test]
fn the_time_of_an_upload_starts_when_its_body_is_complete() {
    let mut balancer = balancer(Repeat::Unsafe);
    let (_, timeout) = sent_to(&at(&mut balancer, 10, upload(9))).expect("a send");
    assert!(timeout > ms(5000) && timeout <= ms(5400), "{timeout:?}");
    for now in [500, 1500, 4000] {
        assert_eq!(at(&mut balancer, now, Event::Timer { token: 9 }), [], "given up at {now} ms");
    }
    let set = at(&mut balancer, 4500, Event::Uploaded { id: RequestId(9), remaining: ms(1000) });
    assert_eq!(set, [Action::SetTimer { after: ms(400), token: 9 }]);
    assert_eq!(at(&mut balancer, 4899, Event::Timer { token: 9 }), []);
    let over = at(&mut balancer, 4900, Event::Timer { token: 9 });
    assert!(over.contains(&Action::Fail { id: RequestId(9) }), "{over:?}");
    // A repeated event and one for an unknown request have no effect.
    assert_eq!(at(&mut balancer, 4901, Event::Uploaded { id: RequestId(9), remaining: ms(1000) }), []);
    assert_eq!(at(&mut balancer, 4902, Event::Uploaded { id: RequestId(8), remaining: ms(1000) }), []);
}

#[test]
fn a_consumed_body_is_not_sent_again_and_its_request_is_rejected_only_if_a_retry_is_safe() {
    let keyed = Repeat::Keyed { scope: Scope::Zone, window: ms(600) };
    for (repeat, outcome, rejected) in [
        (Repeat::Safe, Outcome::ConnectFailed, true),
        (Repeat::Safe, Outcome::Reset, true),
        (keyed, Outcome::Rejected, true),
        (keyed, Outcome::Reset, false),
        (Repeat::Unsafe, Outcome::ConnectFailed, true),
        (Repeat::Unsafe, Outcome::Rejected, true),
        (Repeat::Unsafe, Outcome::Error, false),
        (Repeat::Unsafe, Outcome::Reset, false),
    ] {
        let mut balancer = balancer(repeat);
        let (server, _) = sent_to(&at(&mut balancer, 10, upload(9))).expect("a send");
        assert_eq!(at(&mut balancer, 15, Event::BodyConsumed { id: RequestId(9) }), []);
        let actions = at(&mut balancer, 20, ended(outcome, server));
        assert_eq!(sent_to(&actions), None, "{repeat:?} {outcome:?}");
        let is_refused = actions.iter().any(|a| matches!(a, Action::Refuse { .. }));
        assert_eq!(is_refused, rejected, "{repeat:?} {outcome:?}: {actions:?}");
        assert_eq!(actions.contains(&Action::Fail { id: RequestId(9) }), !rejected);
    }
}

#[test]
fn an_upload_that_is_not_consumed_is_sent_again_if_it_was_certainly_not_executed() {
    for repeat in [Repeat::Safe, Repeat::Unsafe] {
        for outcome in [Outcome::ConnectFailed, Outcome::Rejected, Outcome::NotSent] {
            let mut balancer = balancer(repeat);
            let (first, _) = sent_to(&at(&mut balancer, 10, upload(9))).expect("a send");
            let again = at(&mut balancer, 20, ended(outcome, first));
            let (second, timeout) = sent_to(&again).unwrap_or_else(|| panic!("{outcome:?}: {again:?}"));
            assert_ne!(second, first);
            assert!(timeout > ms(5000), "the time for the body is included: {timeout:?}");
        }
        // After a reset it may have been executed, as a server reads the head before the body.
        let mut balancer = balancer(repeat);
        let (first, _) = sent_to(&at(&mut balancer, 10, upload(9))).expect("a send");
        assert_eq!(sent_to(&at(&mut balancer, 20, ended(Outcome::Reset, first))), None);
    }
}

#[test]
fn an_upload_is_not_hedged() {
    let mut balancer = balancer(Repeat::Safe);
    let first = at(&mut balancer, 10, upload(9));
    assert!(sent_to(&first).is_some());
    for now in (20..5400).step_by(20) {
        assert_eq!(sent_to(&at(&mut balancer, now, Event::Timer { token: 9 })), None, "at {now} ms");
    }
}
