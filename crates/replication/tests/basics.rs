//! Basic operation: writes, reads, failures of single members, replacement of machines.

mod simulation;

use replication::{Input, RequestOutcome};
use simulation::operators::{Operation, change};
use simulation::{World, ms};

/// Three machines that have formed a chain.
fn world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 1);
    world.run_until_holds(ms(3_000), World::all_in_chain).expect("three seeds form a chain");
    world
}

/// Submits a change to a machine and runs until it is acknowledged.
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

#[test]
fn three_seeds_accept_writes_at_any_member_and_read_them_back() {
    let mut world = world(1);
    commit_change(&mut world, 0, 0, 5);
    commit_change(&mut world, 1, 5, 6);
    commit_change(&mut world, 2, 6, 9);
    for machine in 0..3 {
        world.submit(machine, Operation::Read);
    }
    world.run_for(ms(300));
    assert_eq!(world.checker.reads, 3);
    assert_eq!(world.checker.newest(), 3);
    assert_eq!(world.checker.violation, None);
}

#[test]
fn a_change_is_committed_within_a_few_hops_and_syncs() {
    let mut world = world(2);
    let started_at = world.now;
    commit_change(&mut world, 0, 0, 1);
    assert!(world.now - started_at < ms(40), "took {:?}", world.now - started_at);
}

#[test]
fn a_retried_change_is_committed_once_and_a_conflicting_one_is_rejected() {
    let mut world = world(3);
    commit_change(&mut world, 0, 0, 5);
    commit_change(&mut world, 0, 5, 6);
    commit_change(&mut world, 2, 0, 5);
    world.write(1, change(5, 8, 77, 10));
    world.run_for(ms(300));
    assert_eq!((world.checker.acknowledged, world.checker.rejections), (3, 1));
    assert_eq!(world.checker.newest(), 2);
    assert_eq!(world.checker.violation, None);
}

#[test]
fn each_member_may_fail_and_returns_to_the_chain() {
    for machine in 0..3 {
        let mut world = world(10 + machine as u64);
        commit_change(&mut world, 0, 0, 1);
        world.stop(machine);
        commit_change(&mut world, (machine + 1) % 3, 1, 2);
        world.start_after(machine, ms(1_500));
        commit_change(&mut world, (machine + 1) % 3, 2, 3);
        world.run_for(ms(1_500));
        let rejoined = world.run_until_holds(ms(3_000), World::all_in_chain);
        assert!(rejoined.is_some(), "machine {machine} has not rejoined the chain: {:?}", world.view());
        commit_change(&mut world, machine, 3, 4);
        assert_eq!(world.checker.violation, None);
    }
}

#[test]
fn all_members_may_lose_power_at_one_moment() {
    let mut world = world(20);
    commit_change(&mut world, 0, 0, 1);
    for machine in 0..3 {
        world.restart(machine, ms(700));
    }
    commit_change(&mut world, 1, 1, 2);
    assert_eq!(world.checker.violation, None);
}

#[test]
fn a_machine_that_lost_its_disk_returns_as_another_member() {
    let mut world = world(21);
    commit_change(&mut world, 0, 0, 1);
    let old = world.replica(0).status().id;
    world.restart_wiped(0, ms(500));
    commit_change(&mut world, 1, 1, 2);
    let rejoined = world.run_until_holds(ms(5_000), |world| {
        world.all_in_chain() && world.view().is_some_and(|view| !view.chain.contains(&old))
    });
    assert!(rejoined.is_some(), "{:?}", world.view());
    assert_eq!(world.replica(0).status().committed.get(), 2);
    assert_eq!(world.checker.violation, None);
}

/// Replaces a machine by one at a new address, which is started before the old one is removed or after. If
/// `announced`, the old one shuts down first.
fn replace(world: &mut World, old: usize, new_first: bool, announced: bool) {
    let mut present: Vec<usize> = world.running();
    present.retain(|machine| *machine != old);
    world.seeds = present.iter().map(|machine| world.machines[*machine].address).collect();
    let new = if new_first { Some(world.add_machine(false)) } else { None };
    world.run_for(ms(1_000));
    if announced {
        world.deliver_input(old, Input::Shutdown);
        world.run_for(ms(500));
    }
    world.remove(old);
    if new.is_none() {
        world.run_for(ms(300));
        world.add_machine(false);
    }
    world.run_for(ms(300));
    let rejoined = world.run_until_holds(ms(4_000), World::all_in_chain);
    assert!(rejoined.is_some(), "machine {old} replaced: {:?}", world.view());
}

#[test]
fn all_machines_may_be_replaced_one_after_the_other() {
    for (new_first, announced) in [(true, true), (true, false), (false, true), (false, false)] {
        let mut world = world(30);
        commit_change(&mut world, 0, 0, 1);
        for old in 0..3 {
            replace(&mut world, old, new_first, announced);
            let machine = world.running()[0];
            let generation = old as u64 + 2;
            commit_change(&mut world, machine, generation - 1, generation);
            world.run_for(ms(4_000));
        }
        assert!(world.running().iter().all(|machine| world.replica(*machine).status().committed.get() == 4));
        // The last machines know each other only from their disks.
        world.seeds.clear();
        world.running().into_iter().for_each(|machine| world.restart(machine, ms(500)));
        let machine = world.running().first().copied().unwrap_or(3);
        world.run_for(ms(1_500));
        commit_change(&mut world, machine, 4, 5);
        assert_eq!(world.checker.violation, None);
    }
}

#[test]
fn a_change_waits_for_its_base() {
    let mut world = world(22);
    commit_change(&mut world, 0, 0, 1);
    world.write(1, change(7, 8, 70, 10));
    world.run_for(ms(300));
    assert_eq!((world.checker.acknowledged, world.checker.rejections), (1, 0));
    commit_change(&mut world, 2, 1, 7);
    world.run_for(ms(300));
    assert_eq!((world.checker.acknowledged, world.checker.newest()), (3, 3));
}

#[test]
fn a_read_index_requested_during_a_power_failure_completes_soon_after_it() {
    let mut longest = ms(0);
    for seed in 40..60 {
        let mut world = world(seed);
        commit_change(&mut world, 0, 0, 1);
        let last = ms(450);
        for (machine, down) in [(0, ms(50)), (1, ms(390)), (2, last)] {
            world.restart(machine, down);
        }
        let stopped = world.now;
        world.run_for(ms(120));
        let request = world.request_read_index(0);
        let is_complete = |world: &World| {
            matches!(world.read_index_outcomes[&request], Some(RequestOutcome::ReadIndex { .. }))
        };
        let completed = world.run_until_holds(ms(2_000), is_complete);
        assert!(completed.is_some(), "seed {seed}: no response");
        longest = longest.max((world.now - stopped).saturating_sub(last));
    }
    println!("longest {longest:?} after the restart of the last machine");
    assert!(longest < ms(100), "{longest:?}");
}
