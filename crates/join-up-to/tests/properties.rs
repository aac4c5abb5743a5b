//! Property tests with random valid event histories: the four rules hold, and equal histories give equal
//! actions.

mod harness;

use harness::*;
use join_up_to::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

/// A step of a history. Its indexes select modulo the number of attempts or requests that exist at that
/// point.
#[derive(Clone, Debug)]
enum Step {
    Request { class: usize, remaining: u64, cost: Option<u64> },
    End { which: usize, outcome: usize, load: Option<u8> },
    Probe { load: Option<u8> },
    Leave { which: usize },
    List { full: bool, lines: Vec<(u64, u8, bool)> },
    Fail,
    Pass { time: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let load = || prop::option::of(0u8..4);
    prop_oneof![
        6 => (0usize..5, 1u64..1500, prop::option::of(1u64..600))
            .prop_map(|(class, remaining, cost)| Step::Request { class, remaining, cost }),
        6 => (any::<usize>(), 0usize..8, load()).prop_map(|(which, outcome, load)| Step::End { which, outcome, load }),
        3 => load().prop_map(|load| Step::Probe { load }),
        1 => any::<usize>().prop_map(|which| Step::Leave { which }),
        1 => (any::<bool>(), prop::collection::vec((0u64..6, 0u8..8, any::<bool>()), 0..5))
            .prop_map(|(full, lines)| Step::List { full, lines }),
        1 => Just(Step::Fail),
        4 => (1u64..400).prop_map(|time| Step::Pass { time }),
    ]
}

fn play(settings: Settings, seed: u64, steps: &[Step]) -> Vec<Action> {
    let mut harness = Harness::seeded(settings, seed);
    harness.list(ListKind::Cached, (0..4).map(entry).collect());
    for step in steps {
        match step {
            Step::Request { class, remaining, cost } => {
                harness.request_with(*class, 0, ms(*remaining), cost.map(ms));
            }
            Step::End { which, outcome, load } => {
                let out = harness.attempts_in_flight();
                if !out.is_empty() {
                    let (id, attempt) = out[which % out.len()];
                    harness.end_attempt(id, attempt, Outcome::ALL[*outcome], load.map(f32::from));
                }
            }
            Step::Probe { load } => drop(harness.end_probe(load.map(f32::from))),
            Step::Leave { which } => {
                let open = harness.open_requests();
                if !open.is_empty() {
                    harness.client_disconnects(open[which % open.len()]);
                }
            }
            Step::List { full, lines } => {
                let now = harness.now;
                let lines = lines.iter().map(|(number, state, restarted)| {
                    let state = match state {
                        0 => ServerState::Gone,
                        1 => ServerState::Draining,
                        _ => ServerState::Ready,
                    };
                    let started = restarted.then_some(now);
                    ServerEntry { state, started, ..entry(*number) }
                });
                let kind = if *full { ListKind::Full } else { ListKind::Changes };
                let lines = lines.filter(|e| !full || e.state != ServerState::Gone).collect();
                harness.list(kind, lines);
            }
            Step::Fail => drop(harness.list(ListKind::Failed, Vec::new())),
            Step::Pass { time } => harness.advance(ms(*time)),
        }
    }
    harness.advance(ms(1600));
    assert!(
        harness.open_requests().is_empty(),
        "rule 1: {:?} left without final response",
        harness.open_requests()
    );
    assert!(harness.attempts_in_flight().is_empty());
    harness.log
}

fn config() -> Config {
    Config {
        cases: 256,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_128),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_rules_hold_with_reports_from_probes(seed: u64, steps in prop::collection::vec(step(), 1..120)) {
        let mut settings = reports_from_probes();
        settings.rules.initial_capacity = 0.2;
        settings.rules.slow_start = ms(5000);
        settings.rules.drain_grace = ms(0);
        prop_assert_eq!(play(settings.clone(), seed, &steps), play(settings, seed, &steps));
    }

    #[test]
    fn the_rules_hold_with_reports_in_responses(seed: u64, steps in prop::collection::vec(step(), 1..120)) {
        let mut settings = reports_in_responses();
        settings.limits.parallel_attempts = false;
        settings.rules.drain_grace = ms(0);
        settings.list_on_request = true;
        play(settings, seed, &steps);
    }

    #[test]
    fn the_rules_hold_with_restrictive_settings(seed: u64, steps in prop::collection::vec(step(), 1..120)) {
        let mut settings = settings();
        settings.limits = Limits { max_attempts: 1, cancel: false, ..Settings::default().limits };
        settings.nodes = 1;
        settings.rules.drain_grace = ms(0);
        play(settings, seed, &steps);
    }
}

/// Checks rule 4 independently. This node is the only one with traffic, so it may use the whole allowance of
/// a server in slow start: overload factor x current capacity x overload time, plus one request of slack.
fn check_slow_start(seed: u64, arrivals: &[(usize, u64)]) -> Result<(), TestCaseError> {
    const COLD: ServerId = ServerId(9);
    let work = ms(20); // a server past slow start has a capacity of 50 requests per second
    let mut settings = reports_in_responses();
    settings.rules.initial_capacity = 0.05;
    settings.rules.slow_start = ms(20_000);
    settings.rules.overload_factor = 4.0;
    settings.rules.overload_time = ms(1500);
    let mut harness = Harness::seeded(settings, seed);
    harness.list(ListKind::Full, (0..3).map(entry).collect());
    let mut free_at = std::collections::BTreeMap::new();
    let (mut seen, mut cold, mut began) = (0, Vec::new(), None);
    for (step, (requests, pause)) in arrivals.iter().enumerate() {
        if step == arrivals.len() / 3 {
            began = Some(harness.now);
            harness.list(ListKind::Changes, vec![ServerEntry { started: began, ..entry(COLD.0) }]);
        }
        (0..*requests).for_each(|_| drop(harness.request(0)));
        for _ in 0..*pause {
            harness.advance(ms(1));
            // Each server processes one request at a time.
            for (id, attempt) in harness.attempts_in_flight() {
                let server = harness.server_of(id, attempt);
                let free = free_at.entry(server).or_insert(harness.now);
                if *free <= harness.now && !harness.has_response(id) {
                    *free = harness.now + work;
                    harness.end_attempt(id, attempt, Outcome::Served, Some(0.0));
                }
            }
        }
        let to_cold = |a: &&Action| matches!(a, Action::Send { server: COLD, .. });
        let sends = harness.log[seen..].iter().filter(to_cold).count();
        cold.extend(std::iter::repeat_n(harness.now, sends));
        seen = harness.log.len();
        if let Some(began) = began {
            let warmth = 0.05 + 0.95 * (harness.now - began).as_secs_f64() / 20.0;
            let span = cold.iter().filter(|at| **at + ms(1500) >= harness.now).count() as f64;
            let allowed = 4.0 * warmth * 50.0 * 1.5 + 1.0;
            prop_assert!(
                span <= allowed,
                "rule 4: {} sent within the overload time, {} allowed",
                span,
                allowed
            );
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(Config { cases: 10, ..config() })]

    #[test]
    fn a_server_in_slow_start_is_not_overloaded(seed: u64, arrivals in prop::collection::vec((0usize..12, 1u64..60), 120..240)) {
        check_slow_start(seed, &arrivals)?;
    }
}
