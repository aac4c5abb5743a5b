//! Changes of two operators with the same generation, and retries of a change whose response was lost.

mod simulation;

use replication::{Change, Fault, Input, Output, Replica, RequestId, RequestOutcome, Sequence, Settings};
use simulation::operators::change;
use simulation::world::address;
use simulation::{World, ms};
use std::time::Duration;

/// What happens between a change and its retry.
#[derive(Clone, Copy, Debug)]
enum Between {
    Nothing,
    HeadKilled,
    AllKilled,
    HeadWiped,
    TailReplaced,
    OtherChanges,
    ConflictingChangeRejected,
}

const BETWEEN: [Between; 7] = [
    Between::Nothing,
    Between::HeadKilled,
    Between::AllKilled,
    Between::HeadWiped,
    Between::TailReplaced,
    Between::OtherChanges,
    Between::ConflictingChangeRejected,
];

fn world(seed: u64, history_length: usize, fault: Option<Fault>) -> World {
    let mut world = World::new(seed, 3, 1);
    (world.history_length, world.fault) = (history_length, fault);
    world.run_until_holds(ms(4_000), World::all_in_chain).expect("three seeds form a chain");
    world
}

/// Submits a change and runs until the outcome is definite. Returns whether it was committed.
fn send(world: &mut World, machine: usize, change: Change) -> Option<bool> {
    let (acknowledged, rejected) = (world.checker.acknowledged, world.checker.rejections);
    world.write(machine, change);
    let is_definite =
        |world: &World| world.checker.acknowledged > acknowledged || world.checker.rejections > rejected;
    world.run_until_holds(ms(6_000), is_definite)?;
    Some(world.checker.acknowledged > acknowledged)
}

fn apply(world: &mut World, between: Between) {
    let head = world.head().expect("a head");
    let tail = world.tail().expect("a tail");
    match between {
        Between::Nothing => {}
        Between::HeadKilled => world.restart(head, ms(900)),
        Between::AllKilled => (0..3).for_each(|machine| world.restart(machine, ms(400))),
        Between::HeadWiped => world.restart_wiped(head, ms(500)),
        Between::TailReplaced => {
            world.add_machine(false);
            world.run_for(ms(1_500));
            world.deliver_input(tail, Input::Shutdown);
            world.run_for(ms(500));
            world.remove(tail);
        }
        Between::OtherChanges => {
            for generation in 6..56 {
                let machine = generation as usize % 3;
                assert_eq!(
                    send(world, machine, change(generation - 1, generation, generation, 20)),
                    Some(true)
                );
            }
        }
        Between::ConflictingChangeRejected => {
            assert_eq!(
                send(world, tail, change(0, 5, 99, 20)),
                Some(false),
                "a different change of the same generation"
            );
        }
    }
}

#[test]
fn a_retried_change_is_recognized_at_every_member_whatever_has_happened() {
    for between in BETWEEN {
        for retried_at in 0..3 {
            let mut world = world(retried_at as u64 + 1, replication::DEFAULT_HISTORY_LENGTH, None);
            let sent = change(0, 5, 5, 20);
            assert_eq!(send(&mut world, 1, sent.clone()), Some(true));
            apply(&mut world, between);
            world.run_for(ms(1_500));
            let running = world.running();
            let machine = running[retried_at % running.len()];
            assert_eq!(send(&mut world, machine, sent), Some(true), "{between:?}, retried at {machine}");
            assert_eq!(
                send(&mut world, machine, change(0, 5, 77, 20)),
                Some(false),
                "{between:?}: a conflicting change"
            );
            assert_eq!(world.checker.violation, None, "{between:?}");
        }
    }
}

/// Two different changes with the same generation and base are submitted to two members, with different
/// delays between them, and in half of the runs the head restarts.
#[test]
fn of_two_changes_of_one_generation_one_is_committed() {
    for offset in 0..60_u64 {
        let mut world = world(offset + 1, replication::DEFAULT_HISTORY_LENGTH, None);
        assert_eq!(send(&mut world, 0, change(0, 5, 5, 20)), Some(true));
        let (acknowledged, rejected) = (world.checker.acknowledged, world.checker.rejections);
        world.write(1, change(5, 6, 61, 20));
        world.run_until(world.now + Duration::from_micros(100 * (offset % 30)));
        world.write(2, change(5, 6, 62, 20));
        if offset >= 30 {
            let head = world.head().expect("a head");
            world.run_until(world.now + Duration::from_micros(100 * (offset % 30)));
            world.restart(head, ms(700));
        }
        let settled = |world: &World| {
            world.checker.acknowledged + world.checker.rejections >= acknowledged + rejected + 2
        };
        world.run_until_holds(ms(9_000), settled);
        assert_eq!(
            (world.checker.acknowledged - acknowledged, world.checker.rejections - rejected),
            (1, 1),
            "offset {offset}"
        );
        assert_eq!(world.checker.violation, None, "offset {offset}");
    }
}

/// A change that may have been committed before the history begins is not rejected; a change that can't have
/// been committed is.
#[test]
fn a_change_older_than_the_history_has_an_unknown_outcome() {
    let mut world = world(1, 4, None);
    let first = change(0, 1, 1, 20);
    assert_eq!(send(&mut world, 0, first.clone()), Some(true));
    for generation in 2..12 {
        assert_eq!(send(&mut world, 0, change(generation - 1, generation, generation, 20)), Some(true));
    }
    let unknown_outcomes = world.checker.unknown_outcomes;
    assert_eq!(send(&mut world, 1, first), None, "neither committed nor rejected");
    assert!(world.checker.unknown_outcomes > unknown_outcomes, "it is reported as too old");
    assert_eq!(send(&mut world, 1, change(10, 11, 11, 20)), Some(true), "still in the history");
    assert_eq!(send(&mut world, 1, change(9, 12, 88, 20)), Some(false), "it was never committed");
    assert_eq!(world.checker.violation, None);
}

#[test]
fn rejecting_a_pruned_change_is_detected() {
    let mut world = world(1, 4, Some(Fault::RejectsPruned));
    let first = change(0, 1, 1, 20);
    send(&mut world, 0, first.clone());
    for generation in 2..12 {
        send(&mut world, 0, change(generation - 1, generation, generation, 20));
    }
    assert_eq!(send(&mut world, 1, first), Some(false), "rejected although it was committed");
    assert!(world.checker.violation.is_some());
}

/// The outcome that a process reports for a response to a request of its previous incarnation. Each
/// incarnation numbers its requests from the start, so the response has the number of a new request.
fn outcome_for_an_earlier_incarnation(fault: Option<Fault>) -> Option<RequestOutcome> {
    let settings = |number: usize| Settings {
        address: address(number),
        zone: String::new(),
        seeds: vec![address(1), address(2)],
        bootstrap: true,
        tolerated_failures: 0,
        history_length: replication::DEFAULT_HISTORY_LENGTH,
    };
    let now = ms(1_000);
    // Two members, the first of which is the head. Stored records are durable immediately.
    let mut head = Driven::open(settings(1), now, 1, fault);
    let mut other = Driven::open(settings(2), now, 2, fault);
    let now = exchange(&mut head, &mut other, now);
    let request = RequestId(1);
    // The request of the first incarnation reaches the head, and the response is held back.
    let forwarded = other.input(now, Input::Write(request, change(0, 5, 5, 20)));
    let mut held = deliver(&mut head, &mut other, now, forwarded);
    let records = std::mem::take(&mut other.records);
    other = Driven::reopen(settings(2), records, now, 3, fault);
    // The second incarnation sends a different request with the same number.
    other.input(now, Input::Write(request, change(5, 9, 9, 20)));
    for message in held.drain(..) {
        other.input(now, Input::Received { from: address(1), message });
    }
    other.outcomes.pop()
}

struct Driven {
    replica: Replica,
    records: Vec<replication::Record>,
    outcomes: Vec<RequestOutcome>,
}

impl Driven {
    fn open(settings: Settings, now: Duration, seed: u64, fault: Option<Fault>) -> Self {
        Driven::reopen(settings, Vec::new(), now, seed, fault)
    }

    fn reopen(
        settings: Settings,
        records: Vec<replication::Record>,
        now: Duration,
        seed: u64,
        fault: Option<Fault>,
    ) -> Self {
        let (replica, outputs) = Replica::open_with_fault(settings, records.clone(), seed, now, fault);
        let mut driven = Driven { replica, records, outcomes: Vec::new() };
        driven.perform(now, outputs);
        driven
    }

    /// Returns the messages to be sent.
    fn input(&mut self, now: Duration, input: Input) -> Vec<replication::Message> {
        let outputs = self.replica.handle(now, input);
        self.perform(now, outputs)
    }

    fn perform(&mut self, now: Duration, outputs: Vec<Output>) -> Vec<replication::Message> {
        let mut sent = Vec::new();
        for output in outputs {
            match output {
                Output::Send { message, .. } => sent.push(message),
                Output::Store(id, record) => {
                    self.records.push(record);
                    sent.extend(self.input(now, Input::Stored(id)));
                }
                Output::Rewrite(id, records) => {
                    self.records = records;
                    sent.extend(self.input(now, Input::Stored(id)));
                }
                Output::Respond(_, outcome) => self.outcomes.push(outcome),
                Output::Committed(_) | Output::ViewChanged(_) => {}
            }
        }
        sent
    }
}

/// Exchanges messages between the two members for 20 ticks. Returns the time afterwards.
fn exchange(head: &mut Driven, other: &mut Driven, mut now: Duration) -> Duration {
    for _ in 0..20 {
        now += replication::TICK_INTERVAL;
        let mut to_other = head.input(now, Input::Tick);
        let mut to_head = other.input(now, Input::Tick);
        for _ in 0..20 {
            let from_head = std::mem::take(&mut to_other).into_iter();
            to_head.extend(
                from_head
                    .flat_map(|message| other.input(now, Input::Received { from: address(1), message }))
                    .collect::<Vec<_>>(),
            );
            let from_other = std::mem::take(&mut to_head).into_iter();
            to_other.extend(
                from_other
                    .flat_map(|message| head.input(now, Input::Received { from: address(2), message }))
                    .collect::<Vec<_>>(),
            );
        }
    }
    now
}

/// Delivers messages back and forth until a response is to be sent. Returns the messages with the response.
fn deliver(
    head: &mut Driven,
    other: &mut Driven,
    now: Duration,
    mut to_head: Vec<replication::Message>,
) -> Vec<replication::Message> {
    for _ in 0..50 {
        let to_other: Vec<replication::Message> = to_head
            .drain(..)
            .flat_map(|message| head.input(now, Input::Received { from: address(2), message }))
            .collect();
        if to_other.iter().any(|message| format!("{message:?}").contains("Response {")) {
            return to_other;
        }
        to_head = to_other
            .into_iter()
            .flat_map(|message| other.input(now, Input::Received { from: address(1), message }))
            .collect();
    }
    panic!("no response is sent");
}

#[test]
fn a_response_to_an_earlier_incarnation_is_ignored() {
    assert_eq!(outcome_for_an_earlier_incarnation(None), None);
}

#[test]
fn accepting_a_response_to_an_earlier_incarnation_is_detected() {
    assert_eq!(
        outcome_for_an_earlier_incarnation(Some(Fault::AcceptsOtherIncarnations)),
        Some(RequestOutcome::Committed { sequence: Sequence(1) })
    );
}
