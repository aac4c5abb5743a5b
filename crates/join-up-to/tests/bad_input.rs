//! Invalid input from the host does not make a node panic, and the four rules still hold (checked by the
//! harness).

mod harness;

use harness::*;
use join_up_to::*;
use std::time::Duration;

/// Runs a mix of events: requests with and without cost, responses, probes, failures, list updates.
fn play(settings: Settings, seed: u64) {
    let mut harness = Harness::seeded(settings, seed);
    for round in 0..40 {
        if round % 8 == 0 {
            let started = (round % 16 == 0).then_some(harness.now);
            let lines = (0..4).map(|n| ServerEntry { started, ..entry(n + round % 3) }).collect();
            harness.list(ListKind::Full, lines);
        }
        for class in 0..5 {
            let cost = (class % 2 == 0).then_some(ms(20));
            harness.request_with(class, class, ms(300 + 100 * class as u64), cost);
        }
        while harness.end_probe(Some(round as f32 - 10.0)).is_some() {}
        harness.advance(ms(20));
        for (i, (id, attempt)) in harness.attempts_in_flight().into_iter().enumerate() {
            let outcome = [Outcome::Served, Outcome::Error, Outcome::Rejected, Outcome::Reset][i % 4];
            harness.end_attempt(id, attempt, outcome, Some(f32::from(i as u8)));
        }
    }
    harness.advance(ms(1500));
    assert!(harness.open_requests().is_empty(), "rule 1");
}

#[test]
fn invalid_settings_are_tolerated() {
    let durations = [Duration::ZERO, Duration::from_nanos(1), Duration::MAX];
    let numbers = [0.0, -1.0, f64::NAN, f64::INFINITY, f64::MIN_POSITIVE, f64::MAX];
    for (i, number) in numbers.into_iter().enumerate() {
        for time in durations {
            for base in [settings(), reports_from_probes(), reports_in_responses()] {
                let mut settings = base;
                settings.nodes = [0, 1, u32::MAX][i % 3];
                settings.tenants = vec![Tenant { allowance_per_s: number, share: number }; 2];
                settings.over_share_value = number;
                settings.rules = Rules {
                    drain_grace: time,
                    initial_capacity: number,
                    slow_start: time,
                    overload_factor: number,
                    overload_time: time,
                    list_request_interval: time,
                };
                settings.prices =
                    Prices { probe: number, cross_zone: number, waste: number, late_failure: number };
                settings.limits.connect_timeout = time;
                settings.limits.max_retry_after = Some(time);
                settings.list_on_request = i % 2 == 0;
                for class in &mut settings.classes {
                    (class.latency_target_stretch, class.value, class.late_value) = (number, number, number);
                }
                play(settings, i as u64);
            }
        }
    }
}

#[test]
fn extreme_durations_of_classes_are_tolerated() {
    for time in [Duration::ZERO, Duration::from_nanos(1), Duration::MAX] {
        let mut settings = reports_from_probes();
        for class in &mut settings.classes {
            (class.latency_target, class.deadline) = (time, time);
            if let Repeat::Keyed { window, .. } = &mut class.repeat {
                *window = time;
            }
        }
        play(settings, 3);
    }
}

#[test]
fn requests_are_sent_although_the_settings_have_no_classes() {
    let mut balancer = Balancer::new(Settings { classes: Vec::new(), ..Settings::default() }, 1);
    let mut actions = Vec::new();
    let version = 1;
    balancer.handle(
        ms(1),
        Event::List { kind: ListKind::Full, version, entries: vec![entry(1)] },
        &mut actions,
    );
    balancer.handle(ms(2), Event::Request(request(1, ms(500), None)), &mut actions);
    assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })));
}

fn request(id: u64, remaining: Duration, cost: Option<Duration>) -> NewRequest {
    NewRequest { id: RequestId(id), class: 0, tenant: 0, key: 0, remaining, cost, client_retry: false }
}

#[test]
fn invalid_numbers_in_reports_and_costs_are_tolerated() {
    let numbers = [f32::NAN, f32::NEG_INFINITY, f32::INFINITY, -7.0, f32::MAX, f32::MIN_POSITIVE];
    for base in
        [reports_from_probes(), reports_in_responses(), Settings { nodes: 1, ..reports_from_probes() }]
    {
        let mut harness = Harness::with_servers(base, 4);
        for (i, cost) in
            [Duration::ZERO, Duration::from_nanos(1), Duration::MAX].into_iter().cycle().enumerate().take(90)
        {
            harness.request_with(i % 5, 0, ms(500), Some(cost));
            while harness.end_probe(Some(numbers[i % 6])).is_some() {}
            harness.advance(ms(2));
            for (id, attempt) in harness.attempts_in_flight() {
                harness.end_attempt(id, attempt, Outcome::Served, Some(numbers[i % 6]));
            }
        }
        // Afterwards an ordinary request is still sent.
        let (id, _) = harness.request(0);
        while harness.end_probe(Some(0.0)).is_some() {}
        harness.advance(ms(30));
        assert!(harness.attempts_in_flight().iter().any(|(out, _)| *out == id));
    }
}

#[test]
fn a_report_that_is_not_a_number_is_ignored() {
    let mut harness = Harness::with_servers(reports_from_probes(), 2);
    let (id, _) = harness.request(0);
    while harness.end_probe(Some(f32::NAN)).is_some() {}
    harness.advance(ms(200));
    assert!(harness.attempts_in_flight().contains(&(id, 0)), "sent as if there were no report");
}

#[test]
fn clock_and_durations_of_a_host_may_be_extreme() {
    let mut balancer = Balancer::new(reports_from_probes(), 1);
    let mut actions = Vec::new();
    let started = Some(Duration::MAX);
    let entries = vec![ServerEntry { started, ..entry(1) }, entry(2)];
    balancer.handle(Duration::MAX, Event::List { kind: ListKind::Full, version: 1, entries }, &mut actions);
    for (id, now) in [(1, Duration::MAX), (2, Duration::ZERO), (u64::MAX, Duration::MAX)] {
        balancer.handle(now, Event::Request(request(id, Duration::MAX, Some(Duration::MAX))), &mut actions);
        balancer.handle(now, Event::Request(request(id, Duration::MAX, None)), &mut actions);
        for attempt in [0, 1, u32::MAX] {
            let end = AttemptEnd {
                id: RequestId(id),
                attempt,
                server: ServerId(u64::MAX),
                outcome: Outcome::Served,
                elapsed: Duration::MAX,
                finished: false,
                report: None,
            };
            balancer.handle(now, Event::AttemptEnded(end), &mut actions);
        }
        for token in [id, u64::MAX, 0] {
            balancer.handle(Duration::MAX, Event::Timer { token }, &mut actions);
        }
    }
}

#[test]
fn a_repeated_request_id_gets_one_response() {
    let mut harness = Harness::with_servers(reports_in_responses(), 2);
    let (id, actions) = harness.request(0);
    assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })));
    assert_eq!(harness.handle(Event::Request(request(id.0, ms(500), None))), []);
}

#[test]
fn an_empty_repeated_or_old_list_is_tolerated() {
    let mut harness = Harness::new(reports_in_responses());
    harness.list(ListKind::Full, vec![]);
    let (waiting, _) = harness.request(0);
    assert!(harness.attempts_in_flight().is_empty());
    let gone = ServerEntry { state: ServerState::Gone, ..entry(1) };
    // The last entry of a server applies.
    harness.list(ListKind::Full, vec![entry(1), entry(2), gone, entry(2)]);
    harness.advance(ms(200));
    assert_eq!(harness.server_of(waiting, 0), ServerId(2));
    harness.list(ListKind::Changes, vec![ServerEntry { state: ServerState::Draining, ..entry(2) }, entry(3)]);
    // A list older than that change must not restore server 2: the harness would detect the send.
    let version = harness.version - 1;
    for kind in [ListKind::Full, ListKind::Changes, ListKind::Cached] {
        harness.handle(Event::List { kind, version, entries: vec![entry(1), entry(2)] });
        for _ in 0..20 {
            let (id, _) = harness.request(0);
            harness.advance(ms(1));
            assert_eq!(harness.server_of(id, 0), ServerId(3));
            harness.end_attempt(id, 0, Outcome::Served, None);
        }
    }
}

#[test]
fn outcomes_out_of_order_repeated_or_unknown_change_nothing() {
    let mut harness = Harness::with_servers(reports_in_responses(), 3);
    let (id, _) = harness.request(1);
    let end = |id, attempt, outcome, finished| {
        let elapsed = ms(3);
        Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            server: ServerId(0),
            outcome,
            elapsed,
            finished,
            report: None,
        })
    };
    assert_eq!(harness.handle(end(id, 4, Outcome::Served, false)), []);
    assert_eq!(harness.handle(end(RequestId(999), 0, Outcome::Served, true)), []);
    let served = harness.end_attempt(id, 0, Outcome::Served, None);
    assert_eq!(served, []);
    for outcome in [Outcome::Served, Outcome::Rejected, Outcome::TimedOut] {
        assert_eq!(harness.handle(end(id, 0, outcome, false)), []);
    }
    assert_eq!(harness.handle(Event::ClientGone { id }), []);
    assert_eq!(harness.handle(Event::Started { id, attempt: 9, server: ServerId(7) }), []);
}
