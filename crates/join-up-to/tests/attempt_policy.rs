//! The attempt policy of a class: maximum attempts, attempt time-out, retryable outcomes, backoff, hedging
//! and budget; and changes of settings while requests are in flight. The harness also checks the four rules.

mod harness;

use harness::*;
use join_up_to::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use std::time::Duration;

const SAFE: usize = 0;
const UNSAFE: usize = 1;
const KEYED: usize = 2;

/// The default settings of the harness with this policy for all classes; servers 0 to 5, two in each zone.
fn world_with(change: impl Fn(&mut AttemptPolicy)) -> Harness {
    let mut settings = reports_in_responses();
    settings.classes.iter_mut().for_each(|class| change(&mut class.attempt_policy));
    Harness::with_servers(settings, 6)
}

fn sends(actions: &[Action]) -> Vec<(ServerId, Duration)> {
    let send = |action: &Action| match action {
        Action::Send { server, timeout, .. } => Some((*server, *timeout)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn is_finished(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. }))
}

#[test]
fn the_maximum_of_attempts_of_a_class_overrides_that_of_the_site() {
    for most in 1..=5 {
        let mut harness = world_with(|policy| policy.max_attempts = Some(most));
        let (id, _) = harness.request(SAFE);
        for attempt in 0..most as usize - 1 {
            assert_eq!(sends(&harness.end_attempt(id, attempt, Outcome::Error, None)).len(), 1, "{most}");
        }
        let actions = harness.end_attempt(id, most as usize - 1, Outcome::Error, None);
        assert!(sends(&actions).is_empty() && is_finished(&actions), "{most}: {actions:?}");
    }
}

#[test]
fn an_attempt_ends_with_its_own_timeout_and_is_retried_at_another_server() {
    let mut harness = world_with(|policy| policy.attempt_timeout = Some(ms(100)));
    let (id, actions) = harness.request(SAFE);
    let [(first, time)] = sends(&actions)[..] else { panic!("{actions:?}") };
    assert_eq!(time, ms(100));
    harness.advance(ms(101));
    assert_eq!(harness.attempts_in_flight(), [(id, 1)]);
    assert_ne!(harness.server_of(id, 1), first);
    // The last attempt gets the remaining time of the request.
    harness.advance(ms(101));
    harness.advance(ms(101));
    assert!(harness.attempts_in_flight().is_empty(), "three attempts are the maximum");
    assert!(harness.has_response(id), "the response follows the last attempt, not the deadline");
}

#[test]
fn only_outcomes_that_the_class_lists_are_retried() {
    let none = RetryOn { never_ran: false, error: false, reset: false, timed_out: false };
    let cases = [
        (Outcome::Rejected, RetryOn { never_ran: true, ..none }),
        (Outcome::ConnectFailed, RetryOn { never_ran: true, ..none }),
        (Outcome::Error, RetryOn { error: true, ..none }),
        (Outcome::Reset, RetryOn { reset: true, ..none }),
        (Outcome::TimedOut, RetryOn { timed_out: true, ..none }),
    ];
    for (outcome, only) in cases {
        for (other, _) in cases {
            let mut harness = world_with(|policy| {
                policy.retry_on = only;
                policy.attempt_timeout = Some(ms(100));
            });
            let (id, _) = harness.request(SAFE);
            let actions = harness.end_attempt(id, 0, other, None);
            let follows = only.allows(other);
            assert_eq!(follows, outcome == other || outcome.never_ran() && other.never_ran());
            assert_eq!(
                (sends(&actions).len(), is_finished(&actions)),
                (usize::from(follows), !follows),
                "{other:?}"
            );
        }
    }
}

/// All ended attempts count, not only the last: an outcome that must not be retried is not retried after a
/// hedged attempt ends with one that may be.
#[test]
fn every_ended_attempt_must_allow_the_next() {
    let mut harness = world_with(|policy| {
        policy.retry_on.error = false;
        policy.hedging = Hedging::After { delay: ms(50), max_per_request: 1, max_fraction: 1.0 };
    });
    harness.advance(ms(1));
    let (id, _) = harness.request(SAFE);
    harness.advance(ms(60));
    assert_eq!(harness.attempts_in_flight().len(), 2);
    assert!(sends(&harness.end_attempt(id, 0, Outcome::Error, None)).is_empty());
    let actions = harness.end_attempt(id, 1, Outcome::Rejected, None);
    assert!(sends(&actions).is_empty() && is_finished(&actions), "{actions:?}");
}

#[test]
fn a_backoff_doubles_up_to_its_maximum_and_jitter_only_shortens_it() {
    let backoff = Backoff { initial: ms(40), max: ms(100), jitter: 0.5 };
    assert_eq!([1, 2, 3, 40].map(|n| backoff.max_delay_after(n)), [ms(40), ms(80), ms(100), ms(100)]);
    let mut waits = Vec::new();
    for seed in 0..50 {
        let mut settings = reports_in_responses();
        settings.classes[SAFE].attempt_policy =
            AttemptPolicy { backoff: Some(backoff), max_attempts: Some(4), ..AttemptPolicy::default() };
        let mut harness = Harness::seeded(settings, seed);
        harness.list(ListKind::Full, (0..6).map(entry).collect());
        let (id, _) = harness.request(SAFE);
        for attempt in 0..3 {
            assert!(
                sends(&harness.end_attempt(id, attempt, Outcome::Error, None)).is_empty(),
                "no retry before the backoff"
            );
            let begun = harness.now;
            while harness.attempts_in_flight().is_empty() {
                harness.advance(ms(1));
            }
            let (waited, longest) = (harness.now - begun, backoff.max_delay_after(attempt as u32 + 1));
            assert!(waited >= longest / 2 && waited <= longest + ms(1), "{waited:?} of {longest:?}");
            waits.push(waited);
        }
        harness.end_attempt(id, 3, Outcome::Served, None);
    }
    waits.sort();
    waits.dedup();
    assert!(waits.len() > 20, "jitter varies the wait: {waits:?}");
}

/// A backoff must not delay a final response that is already certain.
#[test]
fn a_request_without_possible_retry_gets_its_response_before_the_backoff() {
    let backoff = |policy: &mut AttemptPolicy| {
        policy.backoff = Some(Backoff { initial: ms(100), max: ms(100), jitter: 0.0 });
    };
    // Unsafe, and it may have been executed.
    let mut harness = world_with(backoff);
    let (id, _) = harness.request(UNSAFE);
    assert!(is_finished(&harness.end_attempt(id, 0, Outcome::Error, None)));
    // Keyed: the window of 300 ms will have ended after the backoff, although it has not yet.
    let (id, _) = harness.request(KEYED);
    harness.advance(ms(250));
    assert!(is_finished(&harness.end_attempt(id, 0, Outcome::Error, None)));
    // The request's deadline will have passed.
    let (id, _) = harness.request(SAFE);
    harness.advance(ms(350));
    assert!(is_finished(&harness.end_attempt(id, 0, Outcome::Error, None)));
    // No other server is permitted: of the two servers in the zone, one has had the request.
    let mut harness = world_with(backoff);
    let (id, _) = harness.request(KEYED);
    harness.end_attempt(id, 0, Outcome::Error, None);
    harness.advance(ms(101));
    assert_eq!(harness.attempts_in_flight(), [(id, 1)], "one retry within the zone");
    assert!(is_finished(&harness.end_attempt(id, 1, Outcome::Error, None)));
    // The maximum number of attempts is reached.
    let mut harness = world_with(|policy| {
        backoff(policy);
        policy.max_attempts = Some(1);
    });
    let (id, _) = harness.request(SAFE);
    assert!(is_finished(&harness.end_attempt(id, 0, Outcome::Rejected, None)));
}

#[test]
fn a_keyed_request_stays_in_its_scope_and_window_after_a_backoff() {
    let mut harness =
        world_with(|policy| policy.backoff = Some(Backoff { initial: ms(60), max: ms(60), jitter: 0.0 }));
    let (id, _) = harness.request(KEYED);
    let home = harness.server_of(id, 0);
    harness.end_attempt(id, 0, Outcome::Reset, None);
    harness.advance(ms(61));
    assert_eq!(harness.server_of(id, 1).0 % 3, home.0 % 3, "the same zone");
    // An unsafe request that was never executed may go to any server, after a backoff too.
    let (id, _) = harness.request(UNSAFE);
    harness.end_attempt(id, 0, Outcome::Rejected, None);
    harness.advance(ms(61));
    assert_eq!(harness.attempts_in_flight().iter().filter(|(other, _)| *other == id).count(), 1);
}

#[test]
fn hedged_attempts_are_sent_when_due_and_up_to_their_maximum() {
    let mut harness = world_with(|policy| {
        policy.hedging = Hedging::After { delay: ms(50), max_per_request: 2, max_fraction: 1.0 };
        policy.max_attempts = Some(4);
    });
    // The fraction allows one hedged attempt per request; earlier requests without one fill the budget.
    for _ in 0..4 {
        let (id, _) = harness.request(SAFE);
        harness.end_attempt(id, 0, Outcome::Served, None);
    }
    let (id, _) = harness.request(SAFE);
    harness.advance(ms(49));
    assert_eq!(harness.attempts_in_flight().len(), 1);
    harness.advance(ms(2));
    assert_eq!(harness.attempts_in_flight().len(), 2);
    harness.advance(ms(51));
    assert_eq!(harness.attempts_in_flight().len(), 3);
    harness.advance(ms(100));
    assert_eq!(harness.attempts_in_flight().len(), 3, "two hedged attempts are the maximum");
    harness.end_attempt(id, 2, Outcome::Served, None);
    let (id, _) = harness.request(UNSAFE);
    harness.advance(ms(200));
    assert_eq!(
        harness.attempts_in_flight().iter().filter(|(other, _)| *other == id).count(),
        1,
        "an unsafe request is not hedged"
    );
}

#[test]
fn hedged_attempts_stay_within_their_fraction_of_requests() {
    let mut harness = world_with(|policy| {
        policy.hedging = Hedging::After { delay: ms(10), max_per_request: 1, max_fraction: 0.1 }
    });
    let mut hedges = 0;
    for _ in 0..500 {
        let (id, _) = harness.request(SAFE);
        harness.advance(ms(12));
        hedges += harness.attempts_in_flight().len() - 1;
        harness
            .attempts_in_flight()
            .into_iter()
            .for_each(|(id, attempt)| drop(harness.end_attempt(id, attempt, Outcome::Served, None)));
        assert!(harness.has_response(id));
    }
    assert!((45..=61).contains(&hedges), "{hedges} hedged attempts of 500 requests at a fraction of 0.1");
}

#[test]
fn retries_stay_within_the_budget_of_the_class() {
    let mut harness = world_with(|policy| policy.retry_budget = Some(RetryBudget { share: 0.1, per_s: 0.0 }));
    let mut retries = 0;
    for _ in 0..500 {
        let (id, _) = harness.request(SAFE);
        harness.advance(ms(1));
        if !is_finished(&harness.end_attempt(id, 0, Outcome::Rejected, None)) {
            retries += 1;
            harness.end_attempt(id, 1, Outcome::Served, None);
        }
    }
    assert!((45..=51).contains(&retries), "{retries} retries of 500 requests at a fraction of 0.1");
    // The rate `per_s` applies without traffic, and each class has its own budget.
    let mut harness = world_with(|policy| policy.retry_budget = Some(RetryBudget { share: 0.0, per_s: 2.0 }));
    let mut retries = 0;
    for _ in 0..100 {
        let (id, _) = harness.request(SAFE);
        retries += usize::from(!is_finished(&harness.end_attempt(id, 0, Outcome::Rejected, None)));
        if retries > 0 && !harness.has_response(id) {
            harness.end_attempt(id, 1, Outcome::Served, None);
        }
        harness.advance(ms(100));
    }
    assert!((19..=24).contains(&retries), "{retries} in 10 s at 2 per second");
    let (id, _) = harness.request(UNSAFE);
    assert!(
        !is_finished(&harness.end_attempt(id, 0, Outcome::Rejected, None)),
        "the other class has its own budget"
    );
}

#[test]
fn a_rejection_has_the_retry_after_of_its_class() {
    let mut harness = world_with(|policy| {
        policy.retry_after = Some(ms(700));
        policy.max_attempts = Some(1);
    });
    let (id, _) = harness.request(SAFE);
    let actions = harness.end_attempt(id, 0, Outcome::Rejected, None);
    assert!(actions.contains(&Action::Refuse { id, retry_after: Some(ms(700)) }), "{actions:?}");
}

/// A class that becomes unsafe, or safe, while one of its requests is in flight: that request keeps the old
/// policy, the next one gets the new.
#[test]
fn requests_in_flight_keep_the_class_that_they_arrived_with() {
    let swapped = |harness: &Harness| {
        let mut settings = harness.settings.clone();
        settings.classes.swap(UNSAFE, SAFE);
        settings
    };
    let mut harness = world_with(|_| {});
    let (old_safe, _) = harness.request(0);
    let (old_unsafe, _) = harness.request(1);
    let settings = swapped(&harness);
    harness.reconfigure(settings);
    let (new_unsafe, _) = harness.request(0);
    let (new_safe, _) = harness.request(1);
    for (id, goes_on) in [(old_safe, true), (old_unsafe, false), (new_unsafe, false), (new_safe, true)] {
        let actions = harness.end_attempt(id, 0, Outcome::Error, None);
        assert_eq!((sends(&actions).len() == 1, is_finished(&actions)), (goes_on, !goes_on), "{id:?}");
    }
}

/// Hedging and retries of a class are disabled while a hedged attempt is in flight: the attempt continues,
/// its response is used, and later requests follow the new policy.
#[test]
fn a_hedged_attempt_in_flight_is_kept_over_a_change_of_its_class() {
    let mut harness = world_with(|policy| {
        policy.hedging = Hedging::After { delay: ms(20), max_per_request: 1, max_fraction: 1.0 }
    });
    let (id, _) = harness.request(SAFE);
    harness.advance(ms(22));
    assert_eq!(harness.attempts_in_flight().len(), 2);
    let mut settings = harness.settings.clone();
    settings.classes[SAFE].attempt_policy =
        AttemptPolicy { hedging: Hedging::Never, max_attempts: Some(1), ..AttemptPolicy::default() };
    harness.reconfigure(settings);
    harness.end_attempt(id, 0, Outcome::Error, None);
    assert!(!harness.has_response(id), "the hedged attempt may still get a response");
    harness.end_attempt(id, 1, Outcome::Served, None);
    assert!(harness.has_response(id));
    let (id, _) = harness.request(SAFE);
    assert!(is_finished(&harness.end_attempt(id, 0, Outcome::Error, None)));
}

fn any_policy() -> impl Strategy<Value = AttemptPolicy> {
    let retry_on = any::<[bool; 4]>();
    let backoff = prop::option::of((1u64..400, 1u64..400, 0.0f64..1.0));
    let hedges = (0u8..3, 1u64..300, 1u32..4, 0.0f64..1.0);
    let budget = prop::option::of((0.0f64..1.0, 0.0f64..50.0));
    (1u32..5, prop::option::of(1u64..500), retry_on, backoff, hedges, budget).prop_map(
        |(max, time, [never_ran, error, reset, timed_out], backoff, (kind, after, most, share), budget)| {
            AttemptPolicy {
                max_attempts: Some(max),
                attempt_timeout: time.map(ms),
                retry_on: RetryOn { never_ran, error, reset, timed_out },
                backoff: backoff.map(|(first, longest, jitter)| Backoff {
                    initial: ms(first),
                    max: ms(longest),
                    jitter,
                }),
                hedging: match kind {
                    0 => Hedging::Automatic,
                    1 => Hedging::Never,
                    _ => Hedging::After { delay: ms(after), max_per_request: most, max_fraction: share },
                },
                retry_budget: budget.map(|(share, per_s)| RetryBudget { share, per_s }),
                retry_after: None,
            }
        },
    )
}

#[derive(Clone, Debug)]
enum Step {
    Request(usize, u64),
    End(usize, usize),
    Pass(u64),
    Leave(usize),
    Drain(u64),
    Change(Vec<AttemptPolicy>),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0usize..5, 1u64..1400).prop_map(|(class, left)| Step::Request(class, left)),
        6 => (any::<usize>(), 0usize..6).prop_map(|(which, outcome)| Step::End(which, outcome)),
        5 => (1u64..150).prop_map(Step::Pass),
        1 => any::<usize>().prop_map(Step::Leave),
        1 => (0u64..6).prop_map(Step::Drain),
        1 => prop::collection::vec(any_policy(), 5).prop_map(Step::Change),
    ]
}

const OUTCOMES: [Outcome; 6] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::TimedOut,
];

fn with_policies(policy: &[AttemptPolicy]) -> Settings {
    let mut settings = reports_in_responses();
    settings.rules.drain_grace = ms(0);
    settings.classes.iter_mut().zip(policy).for_each(|(class, policy)| class.attempt_policy = *policy);
    settings
}

fn play(seed: u64, policy: &[AttemptPolicy], steps: &[Step]) -> Vec<Action> {
    let mut harness = Harness::seeded(with_policies(policy), seed);
    harness.list(ListKind::Full, (0..6).map(entry).collect());
    for step in steps {
        match step {
            Step::Request(class, left) => drop(harness.request_with(*class, 0, ms(*left), None)),
            Step::End(which, outcome) => {
                let out = harness.attempts_in_flight();
                if !out.is_empty() {
                    let (id, attempt) = out[which % out.len()];
                    harness.end_attempt(id, attempt, OUTCOMES[*outcome], None);
                }
            }
            Step::Pass(time) => harness.advance(ms(*time)),
            Step::Leave(which) => {
                let open = harness.open_requests();
                if !open.is_empty() {
                    harness.client_disconnects(open[which % open.len()]);
                }
            }
            Step::Drain(number) => {
                let line = ServerEntry { state: ServerState::Draining, ..entry(*number) };
                harness.list(ListKind::Changes, vec![line]);
            }
            Step::Change(policy) => harness.reconfigure(with_policies(policy)),
        }
    }
    harness.advance(ms(1600));
    assert!(
        harness.open_requests().is_empty(),
        "rule 1: {:?} left without final response",
        harness.open_requests()
    );
    harness.log
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_201),
        ..Config::default()
    })]

    /// The rules and the policies hold for arbitrary policies, also when these change repeatedly.
    #[test]
    fn the_rules_hold_under_any_attempt_policy(
        seed: u64,
        policy in prop::collection::vec(any_policy(), 5),
        steps in prop::collection::vec(step(), 1..100),
    ) {
        play(seed, &policy, &steps);
    }

    /// Reconfiguring with unchanged settings has no effect.
    #[test]
    fn repeating_the_same_settings_gives_the_same_actions(
        seed: u64,
        policy in prop::collection::vec(any_policy(), 5),
        steps in prop::collection::vec(step(), 1..80),
        at in prop::collection::vec(any::<prop::sample::Index>(), 1..6),
    ) {
        let steps: Vec<_> = steps.into_iter().filter(|step| !matches!(step, Step::Change(_))).collect();
        let mut again = steps.clone();
        at.iter().for_each(|at| again.insert(at.index(again.len() + 1), Step::Change(policy.clone())));
        prop_assert_eq!(play(seed, &policy, &steps), play(seed, &policy, &again));
    }
}
