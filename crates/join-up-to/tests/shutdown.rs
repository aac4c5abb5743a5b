//! Final responses during shutdown, after attempts that were never sent, and while servers drain.

mod direct;

use direct::{at, balancer_of, ms};
use join_up_to::*;

/// A balancer with one class with this `repeat`, whose deadline is far longer than the shutdown.
fn balancer(repeat: Repeat, servers: u64) -> Balancer {
    let mut settings = Settings::default();
    settings.limits.cancel = true;
    settings.limits.max_attempts = 3;
    settings.classes[0] =
        Class { latency_target: ms(9000), deadline: ms(9000), repeat, ..settings.classes[0].clone() };
    balancer_of(settings, servers)
}

fn request(id: u64) -> Event {
    Event::Request(NewRequest {
        id: RequestId(id),
        class: 0,
        tenant: 0,
        key: 0,
        remaining: ms(9000),
        cost: None,
        client_retry: false,
    })
}

fn ended(id: u64, attempt: u32, outcome: Outcome) -> Event {
    Event::AttemptEnded(AttemptEnd {
        id: RequestId(id),
        attempt,
        server: ServerId(1),
        outcome,
        elapsed: ms(10),
        finished: false,
        report: None,
    })
}

fn is_sent(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Send { .. }))
}

/// When the last timer set by these actions is due, in milliseconds.
fn due(actions: &[Action], now: u64) -> u64 {
    let after = actions.iter().filter_map(|action| match action {
        Action::SetTimer { after, .. } => Some(*after),
        _ => None,
    });
    now + after.map(|after| after.as_millis() as u64).max().expect("a timer")
}

/// At the end of the shutdown each request is rejected, or failed if it may have been executed and a retry is
/// not safe. Requests that arrive after that are rejected at once.
#[test]
fn a_node_that_shuts_down_responds_to_all_requests_in_time() {
    for (repeat, out, failed) in [
        (Repeat::Unsafe, true, true),
        (Repeat::Unsafe, false, false),
        (Repeat::Safe, true, false),
        (Repeat::Keyed { scope: Scope::Zone, window: ms(600) }, true, true),
    ] {
        let mut balancer = balancer(repeat, u64::from(out));
        assert_eq!(is_sent(&at(&mut balancer, 10, request(1))), out);
        let timers = at(&mut balancer, 100, Event::Ending { within: ms(3500) });
        let by = due(&timers, 100);
        assert_eq!(by, 3600);
        // A request that arrives during the shutdown has no later deadline.
        let second = at(&mut balancer, 200, request(2));
        assert!(due(&second, 200) <= by, "{second:?}");
        let answers = at(&mut balancer, by, Event::Timer { token: 1 });
        let fails = |a: &Action| matches!(a, Action::Fail { id } if *id == RequestId(1));
        let refuses = |a: &Action| matches!(a, Action::Refuse { id, .. } if *id == RequestId(1));
        assert_eq!(answers.iter().any(fails), failed, "{repeat:?}: {answers:?}");
        assert_eq!(answers.iter().any(refuses), !failed, "{repeat:?}: {answers:?}");
        let late = at(&mut balancer, by + 1, request(3));
        assert!(late.iter().any(|a| matches!(a, Action::Refuse { .. })) && !is_sent(&late), "{late:?}");
    }
}

/// A request that was certainly not sent may go to the same server again, up to the maximum number of
/// attempts.
#[test]
fn a_request_that_was_never_sent_may_go_to_the_only_server_again() {
    let mut balancer = balancer(Repeat::Unsafe, 1);
    assert!(is_sent(&at(&mut balancer, 10, request(1))));
    assert!(is_sent(&at(&mut balancer, 20, ended(1, 0, Outcome::NotSent))));
    assert!(is_sent(&at(&mut balancer, 30, ended(1, 1, Outcome::NotSent))));
    let last = at(&mut balancer, 40, ended(1, 2, Outcome::NotSent));
    assert!(last.iter().any(|a| matches!(a, Action::Refuse { .. })), "{last:?}");
    // After a connection failure it may not go to the same server.
    assert!(is_sent(&at(&mut balancer, 50, request(2))));
    assert!(!is_sent(&at(&mut balancer, 60, ended(2, 0, Outcome::ConnectFailed))));
}

/// All servers of a keyed request's group drain while its attempt is in flight. If the connection is lost,
/// the request may have been executed: it fails at once and is not sent to another group.
#[test]
fn a_keyed_request_whose_group_has_drained_fails_at_once() {
    let mut balancer = balancer(Repeat::Keyed { scope: Scope::Zone, window: ms(5000) }, 1);
    assert!(is_sent(&at(&mut balancer, 10, request(1))));
    let entry = |id, zone, state| ServerEntry {
        id: ServerId(id),
        zone,
        kind: 0,
        cell: 0,
        state,
        weight: 1.0,
        started: None,
    };
    let entries = vec![
        entry(1, 0, ServerState::Draining),
        entry(2, 0, ServerState::Draining),
        entry(3, 1, ServerState::Ready),
    ];
    at(&mut balancer, 20, Event::List { kind: ListKind::Changes, version: 2, entries });
    let actions = at(&mut balancer, 30, ended(1, 0, Outcome::Reset));
    assert!(actions.iter().any(|a| matches!(a, Action::Fail { .. })) && !is_sent(&actions), "{actions:?}");
}
