//! The server list: full lists and changes, servers in slow start, and requests for the list.

mod harness;

use harness::*;
use join_up_to::*;

#[test]
fn a_full_list_removes_servers_that_it_omits_and_they_may_return() {
    let mut harness = Harness::with_servers(reports_in_responses(), 3);
    harness.list(ListKind::Full, vec![entry(1)]);
    assert!((0..10).all(|_| sent_to(&harness.request(0).1).iter().all(|s| *s == 1)));
    harness.list(ListKind::Changes, vec![entry(2), ServerEntry { state: ServerState::Draining, ..entry(1) }]);
    assert_eq!(sent_to(&harness.request(0).1), [2]);
}

#[test]
fn a_server_in_slow_start_gets_at_most_this_nodes_share_of_its_capacity() {
    // Ten servers serve 100 requests per second of three nodes, so the capacity of each is at least 10 per
    // second.
    let mut settings = reports_in_responses();
    settings.rules = Rules {
        initial_capacity: 0.2,
        slow_start: ms(10_000),
        overload_factor: 4.0,
        overload_time: ms(1500),
        ..settings.rules
    };
    let mut harness = Harness::with_servers(settings, 10);
    let mut cold = Vec::new();
    for step in 0..1500u64 {
        if step == 700 {
            let started = Some(harness.now);
            harness.list(ListKind::Changes, vec![ServerEntry { started, ..entry(10) }]);
        }
        let (_, actions) = harness.request(0);
        cold.extend(sent_to(&actions).iter().filter(|s| **s == 10).map(|_| harness.now));
        harness.advance(ms(30));
        for (id, attempt) in harness.attempts_in_flight() {
            harness.end_attempt(id, attempt, Outcome::Served, Some(0.0));
        }
    }
    assert!(!cold.is_empty(), "a server in slow start is used");
    // This node sends 33 per second, 3.3 to each server; its third of 4 x 0.2 x 10 per second for 1.5 s is 4.
    let start = cold[0];
    let burst = cold.iter().filter(|at| **at < start + ms(1500)).count();
    assert!(burst <= 4, "{burst} requests in the first 1.5 s");
}

#[test]
fn all_servers_in_slow_start_at_once_still_serve() {
    let mut settings = reports_in_responses();
    settings.rules = Rules { initial_capacity: 0.3, slow_start: ms(10_000), ..settings.rules };
    let mut harness = Harness::with_servers(settings, 5);
    play(&mut harness, 300, |_| Outcome::Served);
    let started = Some(harness.now);
    harness.list(ListKind::Full, (0..5).map(|n| ServerEntry { started, ..entry(n) }).collect());
    let used = play(&mut harness, 100, |_| Outcome::Served);
    assert!(used.values().sum::<usize>() > 30, "{used:?}");
}

#[test]
fn a_list_that_is_not_pushed_is_requested_and_a_failed_request_is_retried() {
    let list_requests =
        |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::Subscribe { on: true })).count();
    let mut harness = Harness::new(Settings { list_on_request: true, ..reports_in_responses() });
    harness.list(ListKind::Cached, vec![entry(0)]);
    harness.advance(ms(3000));
    assert_eq!(list_requests(&harness.log), 1);
    for _ in 0..5 {
        let before = harness.log.len();
        harness.list(ListKind::Failed, Vec::new());
        harness.advance(ms(6000)); // within the maximum time of 10 s between requests
        assert!(list_requests(&harness.log[before..]) >= 1);
        assert!(list_requests(&harness.log[before..]) <= 2, "retries do not overload the source of the list");
    }
    harness.list(ListKind::Full, vec![entry(0)]);
    let before = harness.log.len();
    harness.advance(ms(60_000));
    assert_eq!(list_requests(&harness.log[before..]), 0, "no requests while subscribed");
}
