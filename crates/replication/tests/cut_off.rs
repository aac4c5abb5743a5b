//! A member that is partitioned from the others for 20 s gives no definite response: it returns no
//! configuration, and neither rejects nor confirms a change, whatever it knew before.

mod simulation;

use replication::{Fault, RequestId};
use simulation::operators::{Operation, change};
use simulation::{World, ms};
use std::time::Duration;

const PARTITION_TIME: Duration = Duration::from_secs(20);

#[derive(Clone, Copy, Debug)]
enum Partition {
    Both,
    /// No message from it arrives.
    Out,
    /// No message arrives at it.
    In,
    /// Partitioned and connected in quick succession.
    Flapping,
}

const PARTITIONS: [Partition; 4] = [Partition::Both, Partition::Out, Partition::In, Partition::Flapping];

/// Three machines with two committed changes, ordered from head to tail. Operators do not retry.
fn world(fault: Option<Fault>) -> (World, Vec<usize>) {
    let mut world = World::new(9, 3, 1);
    world.fault = fault;
    world.operators.retry_after = ms(600_000);
    world.run_until_holds(ms(4_000), World::all_in_chain).expect("three seeds form a chain");
    let ids = world.view().expect("a view").chain;
    let chain: Vec<usize> = ids.into_iter().filter_map(|id| world.machine_of(id)).collect();
    commit_change(&mut world, chain[0], 0, 1);
    commit_change(&mut world, chain[0], 1, 2);
    (world, chain)
}

fn commit_change(world: &mut World, machine: usize, base: u64, generation: u64) {
    let before = world.checker.acknowledged;
    world.write(machine, change(base, generation, generation, 100));
    let acknowledged = world.run_until_holds(ms(4_000), |world| world.checker.acknowledged > before);
    assert!(
        acknowledged.is_some(),
        "generation {generation} was not acknowledged: {:?}",
        world.checker.violation
    );
}

fn cut_off(world: &mut World, machine: usize, partition: Partition) {
    for other in (0..3).filter(|other| *other != machine) {
        if !matches!(partition, Partition::In) {
            world.cut(machine, other);
        }
        if !matches!(partition, Partition::Out) {
            world.cut(other, machine);
        }
    }
}

/// One request of each kind: a committed change, a change with an outdated base, one whose generation is not
/// higher, a valid change, a read, a read index.
fn one_of_each(world: &mut World, machine: usize) -> Vec<RequestId> {
    let changes = [change(1, 2, 2, 100), change(1, 3, 71, 10), change(2, 2, 72, 10), change(2, 9, 73, 10)];
    let mut requests: Vec<RequestId> =
        changes.into_iter().map(|change| world.write(machine, change)).collect();
    requests.push(world.submit(machine, Operation::Read));
    requests.push(world.submit(machine, Operation::ReadIndex));
    requests
}

/// The number of requests to a partitioned machine, sent after the partition began, that got a definite
/// response.
fn definite_responses_while_partitioned(
    position: usize,
    partition: Partition,
    fault: Option<Fault>,
) -> usize {
    let (mut world, chain) = world(fault);
    let machine = chain[position];
    cut_off(&mut world, machine, partition);
    // Messages that were in flight have arrived.
    world.run_for(ms(5));
    let requests = one_of_each(&mut world, machine);
    let end = world.now + PARTITION_TIME;
    let mut generation = 2;
    while world.now < end {
        if matches!(partition, Partition::Flapping) {
            // Connected for less than the time of a round trip.
            world.cuts.clear();
            world.run_until(world.now + Duration::from_micros(800));
            cut_off(&mut world, machine, partition);
        }
        let other = chain[(position + 1) % 3];
        let request = world.write(other, change(generation, generation + 1, 100 + generation, 10));
        world.run_for(ms(500));
        if !world.operators.pending.contains_key(&request) {
            generation += 1;
        }
    }
    assert!(generation > 10, "the others committed changes only up to generation {generation}");
    assert_eq!(world.checker.violation, None);
    let definite = requests.iter().filter(|request| !world.operators.pending.contains_key(request)).count();
    // After the partition it receives what it missed.
    world.cuts.clear();
    world.run_for(ms(3_000));
    world.submit(machine, Operation::Read);
    world.run_for(ms(1_000));
    assert!(world.all_in_chain());
    assert_eq!(world.checker.violation, None);
    definite
}

#[test]
fn a_partitioned_member_gives_no_definite_response() {
    for position in 0..3 {
        for partition in PARTITIONS {
            assert_eq!(
                definite_responses_while_partitioned(position, partition, None),
                0,
                "position {position} in the chain, partition {partition:?}"
            );
        }
    }
}

#[test]
fn a_head_that_responds_without_confirmation_is_detected() {
    assert!(
        definite_responses_while_partitioned(0, Partition::Both, Some(Fault::RespondsWithoutConfirmation))
            > 0
    );
}

#[test]
fn a_tail_that_reads_without_confirmation_is_detected() {
    assert!(
        definite_responses_while_partitioned(2, Partition::Both, Some(Fault::ReadsWithoutConfirmation)) > 0
    );
}

/// The process stalls while its confirmation round is in flight or partly confirmed, and the others go on
/// without it.
#[test]
fn a_member_that_was_stalled_gives_no_stale_response() {
    for position in 0..3 {
        for moment in 0..30 {
            let (mut world, chain) = world(None);
            let machine = chain[position];
            one_of_each(&mut world, machine);
            world.run_until(world.now + Duration::from_micros(150 * moment));
            world.freeze(machine, PARTITION_TIME);
            world.run_for(ms(2_000));
            let other = chain[(position + 1) % 3];
            // One of the requests may have been committed as the third change.
            let generation = world.checker.generation();
            commit_change(&mut world, other, generation, generation + 10);
            world.run_until(world.now + PARTITION_TIME);
            one_of_each(&mut world, machine);
            world.run_for(ms(3_500));
            assert_eq!(world.checker.violation, None, "position {position}, moment {moment}");
        }
    }
}

/// The driver calls this at the time of an effect, whatever the state was before a stall.
#[test]
fn a_head_that_was_stalled_is_no_longer_the_acting_head() {
    let (world, chain) = world(None);
    let head = world.replica(chain[0]);
    assert!(head.is_acting_head_at(world.now));
    assert!(!head.is_acting_head_at(world.now + ms(1_500)));
}

/// A group of five that tolerates two failures is split: the larger side continues, the smaller one gives no
/// definite response.
#[test]
fn at_most_one_side_of_a_split_group_makes_progress() {
    let mut world = World::new(3, 5, 2);
    world.operators.retry_after = ms(600_000);
    world.run_until_holds(ms(6_000), World::all_in_chain).expect("five form a chain");
    commit_change(&mut world, 0, 0, 1);
    for one in [0, 1] {
        for other in [2, 3, 4] {
            world.cut(one, other);
            world.cut(other, one);
        }
    }
    world.run_for(ms(5));
    let small: Vec<RequestId> =
        [0, 1].into_iter().flat_map(|machine| one_of_each(&mut world, machine)).collect();
    world.run_for(ms(3_000));
    commit_change(&mut world, 3, 1, 5);
    world.run_for(PARTITION_TIME);
    assert!(small.iter().all(|request| world.operators.pending.contains_key(request)));
    assert_eq!(world.checker.violation, None);
}
