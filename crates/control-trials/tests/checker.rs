//! The checker of rule CONFIG on records written by hand: each sentence is noticed where it is broken, and
//! nothing where it is kept or excused.

use control_trials::checker::{Violation, violations};
use control_trials::document::{Flaw, Handling, SERVICES, TestRequest, Version};
use control_trials::history::{
    Change, ChangeKind, ChangeOutcome, CoreFault, FrontendFault, FrontendId, History, InvalidChange,
    Observation, Read, Time,
};
use std::time::Duration;

const FRONTEND: FrontendId = FrontendId(0);

fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

fn acknowledged(version: &Version, base: u64, ms: u64) -> Change {
    Change {
        version: version.clone(),
        base,
        kind: ChangeKind::Ordinary,
        sent_at: at(ms),
        outcome: ChangeOutcome::Acknowledged { at: at(ms), by: "core-1".into() },
    }
}

/// Versions 1, 2 and 3, acknowledged at 0, 10 and 20 s.
fn three_versions() -> (History, [Version; 3]) {
    let first = Version::first(1);
    let second = first.next(2, SERVICES[1]);
    let third = second.next(3, SERVICES[2]);
    let changes =
        vec![acknowledged(&first, 0, 0), acknowledged(&second, 1, 10_000), acknowledged(&third, 2, 20_000)];
    (History { changes, ..History::default() }, [first, second, third])
}

fn seen(request: TestRequest, handling: Handling, ms: u64) -> Observation {
    Observation {
        frontend: FRONTEND,
        incarnation: 1,
        sent_at: at(ms),
        ended_at: at(ms + 5),
        request,
        handling,
    }
}

fn judged(observations: Vec<Observation>) -> Vec<Violation> {
    let (mut history, _) = three_versions();
    history.observations = observations;
    violations(&history)
}

#[test]
fn a_version_has_two_seconds_to_come_into_force() {
    let moving = Handling::RunBy(SERVICES[1]);
    assert_eq!(judged(vec![seen(TestRequest::Moving, moving, 21_900)]), []);
    let late = judged(vec![seen(TestRequest::Moving, moving, 22_100)]);
    assert_eq!(late, [Violation::NotInForce(FRONTEND, at(22_100), TestRequest::Moving, moving, 3)]);
    let added = judged(vec![seen(TestRequest::Added(3), Handling::Refused(404), 22_100)]);
    assert_eq!(added.len(), 1, "an added route is refused: {added:?}");
    let key = judged(vec![seen(TestRequest::Key(3), Handling::Refused(401), 22_100)]);
    assert_eq!(key.len(), 1, "an added key is refused: {key:?}");
    let current = judged(vec![seen(TestRequest::Moving, Handling::RunBy(SERVICES[2]), 22_100)]);
    assert_eq!(current, []);
}

#[test]
fn a_machine_that_is_not_in_touch_may_be_behind() {
    let stale = seen(TestRequest::Moving, Handling::RunBy(SERVICES[1]), 24_000);
    let with_fault = |from, until| {
        let (mut history, _) = three_versions();
        history.observations = vec![stale.clone()];
        history.frontend_faults =
            vec![FrontendFault { frontend: FRONTEND, from: at(from), until: at(until) }];
        violations(&history).len()
    };
    assert_eq!(with_fault(15_000, 21_500), 0, "it ended less than contact_ms before");
    assert_eq!(with_fault(15_000, 20_900), 1, "it ended longer before");
    assert_eq!(with_fault(25_000, 26_000), 1, "it began later");
}

#[test]
fn an_unstable_core_stretches_the_bound_but_not_for_ever() {
    let judged = |ms, majority_remained| {
        let (mut history, _) = three_versions();
        history.observations = vec![seen(TestRequest::Moving, Handling::RunBy(SERVICES[1]), ms)];
        history.core_faults = vec![CoreFault { from: at(20_500), until: at(40_000), majority_remained }];
        violations(&history).len()
    };
    assert_eq!(judged(26_900, true), 0);
    assert_eq!(judged(27_100, true), 1, "more than half of the core has run all the while");
    assert_eq!(judged(27_100, false), 0, "most of the core was lost");
    assert_eq!(judged(42_900, false), 0);
    assert_eq!(judged(43_100, false), 1, "the core is stable again");
}

#[test]
fn a_frontend_does_not_go_back_even_if_it_is_not_in_touch() {
    let newer = seen(TestRequest::Moving, Handling::RunBy(SERVICES[2]), 20_100);
    let older = |ms, incarnation| Observation {
        incarnation,
        ..seen(TestRequest::Moving, Handling::RunBy(SERVICES[1]), ms)
    };
    let went_back = judged(vec![newer.clone(), older(20_400, 1)]);
    assert_eq!(
        went_back,
        [Violation::WentBack(FRONTEND, at(20_400), TestRequest::Moving, Handling::RunBy(SERVICES[1]), 3)]
    );
    assert_eq!(judged(vec![newer.clone(), older(20_300, 1)]), [], "within rollback_slack_ms");
    assert_eq!(judged(vec![newer, older(20_400, 2)]), [], "another process");
}

#[test]
fn what_was_refused_or_is_invalid_is_not_in_force() {
    let (mut history, [_, second, _]) = three_versions();
    let lost = second.next(4, SERVICES[0]);
    history.changes.push(Change {
        outcome: ChangeOutcome::Refused(412),
        kind: ChangeKind::Race,
        ..acknowledged(&lost, 2, 20_000)
    });
    let served = Handling::RunBy(SERVICES[0]);
    history.observations =
        vec![seen(TestRequest::Added(4), served, 20_100), seen(TestRequest::Invalid(1), served, 20_200)];
    assert_eq!(
        violations(&history),
        [
            Violation::NeverAllowed(FRONTEND, at(20_100), TestRequest::Added(4), served),
            Violation::NeverAllowed(FRONTEND, at(20_200), TestRequest::Invalid(1), served),
        ]
    );
}

#[test]
fn a_change_without_a_clear_answer_may_or_may_not_be_in_force() {
    let (mut history, [.., third]) = three_versions();
    let unclear = third.next(4, SERVICES[0]);
    history.changes.push(Change { outcome: ChangeOutcome::Unclear, ..acknowledged(&unclear, 3, 21_000) });
    history.observations = vec![
        seen(TestRequest::Moving, Handling::RunBy(SERVICES[2]), 30_000),
        seen(TestRequest::Moving, Handling::RunBy(SERVICES[0]), 31_000),
    ];
    assert_eq!(violations(&history), []);
}

#[test]
fn the_operators_answers_are_judged() {
    let (mut history, [first, second, _]) = three_versions();
    history.changes.push(Change {
        kind: ChangeKind::Repeated,
        outcome: ChangeOutcome::Refused(412),
        ..acknowledged(&second, 1, 12_000)
    });
    history.invalid_changes =
        vec![InvalidChange { number: 7, flaw: Flaw::RepeatedMember, acknowledged: true }];
    let other = first.next(5, SERVICES[2]);
    history.changes.push(acknowledged(&other, 1, 30_000));
    assert_eq!(
        violations(&history),
        [
            Violation::RepeatRefused(2, 412),
            Violation::InvalidAcknowledged(7, Flaw::RepeatedMember),
            Violation::BothAcknowledged(1, 2, 5),
        ]
    );
    let (mut history, [_, second, _]) = three_versions();
    history.changes.push(Change { kind: ChangeKind::Repeated, ..acknowledged(&second, 1, 12_000) });
    assert_eq!(violations(&history), [], "a change that is acknowledged twice");
}

#[test]
fn a_read_returns_the_newest_acknowledged_version() {
    let (history, [_, second, third]) = three_versions();
    let judged = |document: Option<String>, ms, is_final| {
        let read = Read { coordinator: "core-1".into(), sent_at: at(ms), document, is_final };
        violations(&History { reads: vec![read], ..history.clone() })
    };
    let text = |version: &Version| Some(version.document().to_string());
    assert_eq!(judged(text(&third), 30_000, true), []);
    assert_eq!(judged(text(&second), 21_900, false), [], "it may take config_apply_ms");
    assert_eq!(judged(text(&second), 22_100, false), [Violation::OldRead("core-1".into(), at(22_100), 2, 3)]);
    assert_eq!(judged(text(&second), 20_100, true), [Violation::OldRead("core-1".into(), at(20_100), 2, 3)]);
    assert_eq!(
        judged(Some("{}".into()), 30_000, true),
        [Violation::DifferentRead("core-1".into(), at(30_000))]
    );
    assert_eq!(judged(None, 30_000, false), [], "silence is no break");
    assert_eq!(judged(None, 30_000, true), [Violation::NoRead("core-1".into())]);
}

#[test]
fn added_routes_are_served_as_often_as_the_first_ones() {
    let (history, _) = three_versions();
    let judged = |served: u64| {
        let lasting =
            (0..20).map(|n| seen(TestRequest::Lasting, Handling::RunBy(SERVICES[0]), 30_000 + n * 50));
        let added = (0..20).map(|n| {
            let handling = if n < served { Handling::RunBy(SERVICES[0]) } else { Handling::Unknown };
            seen(TestRequest::Added(2), handling, 31_000 + n * 50)
        });
        violations(&History { observations: lasting.chain(added).collect(), ..history.clone() })
    };
    assert_eq!(judged(5), []);
    assert_eq!(judged(4), [Violation::AddedRoutesNotServed(FRONTEND, 4, 20)]);
}
