//! Provided capacities of servers, and restrictions on additional attempts. The harness also checks the four
//! rules.

mod harness;

use harness::*;
use join_up_to::*;
use std::collections::BTreeMap;

fn provided() -> Settings {
    let mut settings = Settings { capacity_source: CapacitySource::Provided, ..settings() };
    settings.limits.parallel_attempts = false;
    // As in nodes that are configured by a file, a late response has its full value.
    settings.classes.iter_mut().for_each(|class| class.late_value = 1.0);
    settings
}

fn provide_capacity(harness: &mut Harness, server: u64, most: u32, share: f64) {
    harness.handle(Event::Capacity { server: ServerId(server), max_in_flight: most, relative: share });
}

/// The server that the next request is sent to, if it is sent.
fn next(harness: &mut Harness) -> Option<u64> {
    let (_, actions) = harness.request(0);
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    })
}

/// Sends requests that remain in flight. Returns the number at each server.
fn spread(harness: &mut Harness, count: usize) -> BTreeMap<u64, usize> {
    let mut got = BTreeMap::new();
    for _ in 0..count {
        *got.entry(next(harness).expect("it is sent")).or_default() += 1;
    }
    got
}

#[test]
fn many_requests_are_sent_from_the_start_where_capacity_is_provided() {
    let mut harness = Harness::with_servers(provided(), 4);
    (0..4).for_each(|server| provide_capacity(&mut harness, server, 25, 1.0));
    let got = spread(&mut harness, 100);
    assert!(got.values().all(|n| *n == 25), "{got:?}");
    // A request beyond the capacity is sent too, as the provider of the capacities has admitted it.
    assert!(next(&mut harness).is_some());
    // With learned capacities fewer are sent: load levels without any response yet are not used.
    let mut learns = Harness::with_servers(settings(), 4);
    let sent = (0..100).filter(|_| next(&mut learns).is_some()).count();
    assert!(sent < 20, "{sent}");
}

#[test]
fn a_server_without_capacity_is_avoided_while_another_has_some() {
    let mut harness = Harness::with_servers(provided(), 3);
    for (server, most) in [(0, 1), (1, 2), (2, 50)] {
        provide_capacity(&mut harness, server, most, 1.0);
    }
    let got = spread(&mut harness, 40);
    assert!(got[&0] <= 1 && got[&1] <= 2, "{got:?}");
    provide_capacity(&mut harness, 0, 50, 1.0);
    let got = spread(&mut harness, 20);
    assert!(got[&0] >= 15, "the new capacity applies from the next request on: {got:?}");
}

#[test]
fn requests_are_spread_by_relative_capacity_idle_or_busy() {
    for shares in [[1.0, 1.0, 1.0], [0.3, 0.9, 1.8], [0.003, 0.003, 2.994]] {
        let mut harness = Harness::with_servers(provided(), 3);
        (0..3).for_each(|server| provide_capacity(&mut harness, server, 10_000, shares[server as usize]));
        // One at a time, so that all servers are idle at each selection.
        let mut got = [0.0; 3];
        for _ in 0..3000 {
            let (id, actions) = harness.request(0);
            let sent = actions
                .iter()
                .find_map(|a| if let Action::Send { server, .. } = a { Some(server.0) } else { None });
            got[sent.expect("it is sent") as usize] += 1.0;
            harness.end_attempt(id, 0, Outcome::Served, None);
        }
        for (got, share) in got.iter().zip(shares) {
            assert!((got / 1000.0 - share).abs() < 0.1, "idle: {got} of 3,000 for {share}");
        }
        let busy = spread(&mut harness, 3000);
        for (server, share) in shares.iter().enumerate() {
            let got = busy.get(&(server as u64)).copied().unwrap_or(0) as f64;
            assert!((got / 1000.0 - share).abs() < 0.1, "busy: {got} of 3,000 for {share}");
        }
    }
}

#[test]
fn invalid_capacities_are_tolerated() {
    let mut harness = Harness::with_servers(provided(), 3);
    for share in [f64::NAN, f64::INFINITY, -1.0, 0.0] {
        provide_capacity(&mut harness, 0, 0, share);
        provide_capacity(&mut harness, 77, 5, share); // unknown server
        assert!(next(&mut harness).is_some(), "{share}");
    }
}

#[test]
fn capacity_is_kept_over_a_list_and_a_restart_of_the_server() {
    let mut harness = Harness::with_servers(provided(), 2);
    provide_capacity(&mut harness, 0, 1, 1.0);
    provide_capacity(&mut harness, 1, 100, 1.0);
    let started = Some(harness.now);
    harness.list(ListKind::Full, vec![entry(0), ServerEntry { started, ..entry(1) }]);
    let got = spread(&mut harness, 10);
    assert!(got.get(&0).is_none_or(|n| *n <= 1), "{got:?}");
}

#[test]
fn without_retries_after_execution_only_requests_that_never_ran_are_retried() {
    let mut harness = Harness::with_servers(provided(), 6);
    harness.handle(Event::Restrict(AttemptRestrictions {
        no_retries_after_execution: true,
        ..AttemptRestrictions::default()
    }));
    let (id, _) = harness.request(0);
    let again = harness.end_attempt(id, 0, Outcome::ConnectFailed, None);
    assert!(matches!(again[..], [Action::Send { .. }, ..]), "{again:?}");
    let ended = harness.end_attempt(id, 1, Outcome::Error, None);
    assert!(ended.iter().any(|a| matches!(a, Action::Refuse { .. })), "rejected at once: {ended:?}");
    harness
        .handle(Event::Restrict(AttemptRestrictions { no_retries: true, ..AttemptRestrictions::default() }));
    let (id, _) = harness.request(0);
    let ended = harness.end_attempt(id, 0, Outcome::ConnectFailed, None);
    assert!(ended.iter().any(|a| matches!(a, Action::Refuse { .. })), "{ended:?}");
    harness.handle(Event::Restrict(AttemptRestrictions::default()));
    let (id, _) = harness.request(0);
    let again = harness.end_attempt(id, 0, Outcome::Error, None);
    assert!(matches!(again[..], [Action::Send { .. }, ..]), "retries are permitted again: {again:?}");
}

#[test]
fn no_hedged_attempt_is_sent_while_hedging_is_restricted() {
    for (no_hedging, attempts) in [(false, 2), (true, 1)] {
        let mut settings = provided();
        let hedges = Hedging::After { delay: ms(50), max_per_request: 1, max_fraction: 1.0 };
        settings.classes.iter_mut().for_each(|class| class.attempt_policy.hedging = hedges);
        let mut harness = Harness::with_servers(settings, 4);
        harness.handle(Event::Restrict(AttemptRestrictions { no_hedging, ..AttemptRestrictions::default() }));
        harness.request(0);
        harness.advance(ms(100));
        assert_eq!(harness.attempts_in_flight().len(), attempts, "hedging off: {no_hedging}");
    }
}
