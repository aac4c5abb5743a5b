//! Simulation runs in which all forms of messages and records occur. All outputs of the replicas are
//! recorded. Messages to be dropped are selected by their debug text, so the texts in `dropped_messages` must
//! follow a renamed variant.

use super::cbor::{Selection, encode};
use crate::simulation::operators::{Operation, change};
use crate::simulation::schedule::{Schedule, draw_frequent_failures, draw_overlaps};
use crate::simulation::{World, ms};
use ciborium::Value;
use replication::{Input, Output};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

/// Seeds of the schedules with overlapping failures, and of those with frequent failures.
const OVERLAPS: std::ops::RangeInclusive<u64> = 1..=10;
const STORMS: std::ops::RangeInclusive<u64> = 1..=5;

/// The messages, records and outputs of all runs.
pub struct RecordedRuns {
    /// For each run, the number of outputs of each kind, and a digest of all of them in order.
    pub summary: String,
    /// Messages with all forms that occurred.
    pub messages: Vec<Value>,
    /// Records with all forms that occurred.
    pub records: Vec<Value>,
}

/// Records the outputs of all replicas in one run.
#[derive(Default)]
struct Recorder {
    counts: BTreeMap<String, usize>,
    digest: Digest,
    messages: Vec<Vec<u8>>,
    records: Vec<Vec<u8>>,
}

/// An FNV-1a hash, which only has to tell runs apart.
struct Digest(u64);

impl Default for Digest {
    fn default() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }
}

impl Digest {
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

impl Recorder {
    fn record(&mut self, machine: usize, output: &Output) {
        let (kind, number, bodies) = match output {
            Output::Send { to, message } => {
                self.messages.push(encode(message));
                (format!("send to {to}"), 0, vec![encode(message)])
            }
            Output::Store(id, record) => {
                self.records.push(encode(record));
                ("store".into(), id.get(), vec![encode(record)])
            }
            Output::Rewrite(id, records) => {
                let records: Vec<Vec<u8>> = records.iter().map(encode).collect();
                self.records.extend(records.iter().cloned());
                ("rewrite".into(), id.get(), records)
            }
            Output::Respond(request, outcome) => ("answer".into(), request.get(), vec![encode(outcome)]),
            Output::Committed(entry) => ("committed".into(), 0, vec![encode(entry)]),
            Output::ViewChanged(view) => ("view".into(), 0, vec![encode(view)]),
        };
        let word = kind.split(' ').next().unwrap_or_default().to_string();
        *self.counts.entry(word).or_default() += 1;
        self.digest.add(format!("{machine} {kind} {number} {};", bodies.len()).as_bytes());
        bodies.iter().for_each(|body| self.digest.add(body));
    }
}

/// The steps of a run.
type Script = fn(&mut Schedule);

/// A run to be started: its name, its world and its steps.
type Run = (String, Schedule, Script);

/// Selects a machine.
type MachineSelector = fn(&World) -> Option<usize>;

/// Executes all runs and returns what was recorded.
pub fn record_runs() -> RecordedRuns {
    let (mut messages, mut records) = (Selection::default(), Selection::default());
    let mut summary = String::new();
    for (name, mut schedule, run) in runs() {
        let recorder: Rc<RefCell<Recorder>> = Rc::default();
        let recording = recorder.clone();
        schedule.world.observer =
            Some(Box::new(move |machine, output| recording.borrow_mut().record(machine, output)));
        run(&mut schedule);
        assert_eq!(schedule.world.checker.violation, None, "{name}");
        let recorder = recorder.borrow();
        let _ = writeln!(summary, "{name}: {:?}, digest {:016x}", recorder.counts, recorder.digest.0);
        offer(&mut messages, &recorder.messages);
        offer(&mut records, &recorder.records);
    }
    RecordedRuns { summary, messages: messages.finish(), records: records.finish() }
}

fn offer(selection: &mut Selection, all: &[Vec<u8>]) {
    for bytes in all {
        let value: Value = ciborium::from_reader(bytes.as_slice()).expect("what was encoded");
        assert_eq!(encode(&value), *bytes, "the bytes differ after decoding and encoding");
        selection.offer(value);
    }
}

fn runs() -> Vec<Run> {
    let reliable = |seed| Schedule::new(World::new(seed, 3, 1));
    let written: [(&str, u64, Script); 8] = [
        ("all answers", 71, all_outcomes),
        ("machines replaced", 72, machines_replaced),
        ("a full disk", 73, full_disk),
        ("parted members", 74, partitioned_members),
        ("members without copies", 75, without_copies),
        ("two first entries", 76, two_first_entries),
        ("a rescue", 5, |schedule| forced_view(schedule, ms(0))),
        ("a rescue that takes long", 5, |schedule| forced_view(schedule, ms(5_000))),
    ];
    let drawn: Script = |schedule| schedule.run(ms(10_000));
    let written = written.map(|(name, seed, run)| (format!("{name}, seed {seed}"), reliable(seed), run));
    let overlaps =
        OVERLAPS.map(|seed| (format!("overlapping losses, seed {seed}"), draw_overlaps(seed), drawn));
    let storms = STORMS.map(|seed| (format!("a storm, seed {seed}"), draw_frequent_failures(seed), drawn));
    written.into_iter().chain(overlaps).chain(storms).collect()
}

fn form_chain(world: &mut World) {
    world.run_until_holds(ms(4_000), World::all_in_chain).expect("three seeds form a chain");
}

/// Submits a change to a machine and runs until it is acknowledged.
fn commit_change(world: &mut World, machine: usize, generation: u64) {
    let before = world.checker.acknowledged;
    world.write(machine, change(generation - 1, generation, generation, 100));
    let acknowledged = world.run_until_holds(ms(6_000), |world| world.checker.acknowledged > before);
    assert!(
        acknowledged.is_some(),
        "generation {generation} was not acknowledged: {:?}",
        world.checker.violation
    );
}

/// Submits a read and a read index request to each machine.
fn read_at_all(world: &mut World) {
    for machine in world.running() {
        world.submit(machine, Operation::Read);
        world.submit(machine, Operation::ReadIndex);
    }
    world.run_for(ms(300));
}

/// Every outcome of changes and reads, at every member of the chain.
fn all_outcomes(schedule: &mut Schedule) {
    let world = &mut schedule.world;
    world.history_length = 4;
    form_chain(world);
    read_at_all(world);
    (1..=9).for_each(|generation| commit_change(world, generation as usize % 3, generation));
    read_at_all(world);
    for machine in 0..3 {
        let again = change(8, 9, 9, 100);
        let pruned = change(0, 1, 1, 100);
        let late = change(8, 12, 21, 100);
        let low = change(9, 9, 22, 100);
        let early = change(30, 31, 23, 100);
        for change in [again, pruned, late, low, early] {
            world.write(machine, change);
            world.run_for(ms(200));
        }
    }
    // A change whose base is never committed has an unknown outcome.
    world.run_for(ms(4_000));
}

/// Machines are replaced, one after a shutdown and one without; then one loses its disk.
fn machines_replaced(schedule: &mut Schedule) {
    let world = &mut schedule.world;
    form_chain(world);
    commit_change(world, 0, 1);
    for (old, is_announced) in [(0, true), (1, false)] {
        let new = world.add_machine(false);
        world.seeds = world.machines[2..].iter().map(|machine| machine.address).collect();
        world.run_for(ms(1_000));
        if is_announced {
            world.deliver_input(old, Input::Shutdown);
            world.run_for(ms(500));
        }
        world.remove(old);
        world.run_until_holds(ms(5_000), World::all_in_chain).expect("the new machine joins the chain");
        commit_change(world, new, old as u64 + 2);
        world.run_for(ms(2_000));
    }
    world.restart_wiped(2, ms(500));
    world.run_for(ms(1_000));
    world.run_until_holds(ms(5_000), World::all_in_chain).expect("it rejoins as another member");
    commit_change(world, 2, 4);
    read_at_all(world);
}

/// The disk of the head, then that of the tail, is full for a while.
fn full_disk(schedule: &mut Schedule) {
    let world = &mut schedule.world;
    form_chain(world);
    // Also before there is any entry.
    world.machines[0].disk.full = true;
    world.run_for(ms(200));
    world.deliver_input(0, Input::Shutdown);
    world.run_for(ms(1_500));
    world.machines[0].disk.full = false;
    world.run_for(ms(2_000));
    world.restart(0, ms(100));
    world.run_until_holds(ms(5_000), World::all_in_chain).expect("all are in the chain again");
    commit_change(world, 0, 1);
    let members: [(u64, MachineSelector); 2] = [(2, World::head), (4, World::tail)];
    for (generation, of) in members {
        let machine = of(world).expect("it is there");
        world.machines[machine].disk.full = true;
        commit_change(world, machine, generation);
        world.run_for(ms(1_500));
        world.machines[machine].disk.full = false;
        world.run_for(ms(2_000));
        world.run_until_holds(ms(5_000), World::all_in_chain).expect("all are in the chain again");
        commit_change(world, machine, generation + 1);
    }
}

/// Head and tail can't reach each other for a while, so the member between them relays requests. Then the
/// tail is partitioned for a while.
fn partitioned_members(schedule: &mut Schedule) {
    let world = &mut schedule.world;
    form_chain(world);
    commit_change(world, 0, 1);
    let (head, tail) = (world.head().expect("a head"), world.tail().expect("a tail"));
    world.cut(head, tail);
    world.cut(tail, head);
    for step in 0..20 {
        world.run_for(ms(50));
        if step % 4 == 0 {
            world.submit(head, Operation::Read);
            world.submit(head, Operation::ReadIndex);
            let generation = world.checker.generation();
            world.write(tail, change(generation, generation + 1, 100 + step, 50));
        }
    }
    world.cut_off(tail);
    world.run_for(ms(1_500));
    world.cuts.clear();
    world.run_for(ms(2_000));
    world.run_until_holds(ms(5_000), World::all_in_chain).expect("all are in the chain again");
    read_at_all(world);
}

/// A restarted member, and then one that lost its disk, join the chain without a copy, since no copy arrives.
fn without_copies(schedule: &mut Schedule) {
    let world = &mut schedule.world;
    form_chain(world);
    commit_change(world, 0, 1);
    let restarted = world.tail().expect("a tail");
    let running = world.head().expect("a head");
    world.dropped_messages = (0..3).map(|other| (other, restarted, "Copy {")).collect();
    for (is_wiped, generation) in [(false, 2), (true, 5)] {
        world.stop(restarted);
        (generation..generation + 3).for_each(|generation| commit_change(world, running, generation));
        if is_wiped {
            world.restart_wiped(restarted, ms(100));
        } else {
            world.start_after(restarted, ms(100));
        }
        world.run_for(ms(1_000));
        world.run_until_holds(ms(5_000), World::all_in_chain).expect("all are in the chain again");
    }
}

/// The head appends a first entry that no other member receives, and another member appends a different first
/// entry. The old head joins the chain behind that member while nothing is committed.
fn two_first_entries(schedule: &mut Schedule) {
    let world = &mut schedule.world;
    form_chain(world);
    world.run_for(ms(300));
    let (head, tail) = (world.head().expect("a head"), world.tail().expect("a tail"));
    let middle = 3 - head - tail;
    world.cut_off(head);
    world.write(head, change(0, 1, 1, 100));
    world.run_for(ms(50));
    world.operators.pending.clear();
    let is_led_by_middle = |world: &World| world.head() == Some(middle);
    world.run_until_holds(ms(4_000), is_led_by_middle).expect("a chain without the head");
    world.run_for(ms(300));
    world.cut(middle, tail);
    world.write(middle, change(0, 2, 2, 100));
    world.run_for(ms(50));
    world.stop(tail);
    world.restart(middle, ms(10));
    world.cuts.clear();
    world.run_for(ms(4_000));
    world.start_after(tail, ms(0));
    world.run_for(ms(1_000));
    world.run_until_holds(ms(5_000), World::all_in_chain).expect("all are in the chain again");
    read_at_all(world);
}

/// A member joins a chain of one and is not synced yet when the other one loses its disk. No member is left
/// with everything that the view could have committed, but the view has committed nothing. For a while,
/// proposals of the others are dropped.
fn forced_view(schedule: &mut Schedule, delay: Duration) {
    let world = &mut schedule.world;
    form_chain(world);
    let (head, tail) = (world.head().expect("a head"), world.tail().expect("a tail"));
    let middle = 3 - head - tail;
    commit_change(world, head, 1);
    world.stop(tail);
    let is_a_chain_of_two = |world: &World| world.view().is_some_and(|view| view.chain.len() == 2);
    world.run_until_holds(ms(4_000), is_a_chain_of_two).expect("a chain of two");
    commit_change(world, head, 2);
    world.cut_off(middle);
    world.start_after(tail, ms(0));
    let isolated = world.replica(middle).status().id;
    loop {
        let view = world.view().expect("a view");
        if view.chain.len() == 2 && !view.chain.contains(&isolated) {
            break;
        }
        world.run_until(world.now + Duration::from_micros(50));
    }
    world.restart_wiped(head, ms(3_000));
    world.run_for(ms(300));
    world.cuts.clear();
    world.dropped_messages = vec![(middle, tail, "Accept {"), (tail, middle, "Accept {")];
    world.run_for(delay);
    world.dropped_messages.clear();
    commit_change(world, middle, 3);
    world.run_until_holds(ms(12_000), World::all_in_chain).expect("all are in the chain again");
}
