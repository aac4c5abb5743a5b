//! A second failure comes right after a first one, a repair or a replacement. One of three disks is lost, and
//! everything that was committed must survive.

mod simulation;

use replication::{Fault, Input};
use simulation::operators::{Operation, change};
use simulation::{World, ms};
use std::panic::catch_unwind;
use std::time::Duration;

/// The number of seeds with which each situation is tried.
const SEEDS: u64 = 20;

/// The longest accepted outage after all but one disk are back.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

/// Three machines that have formed a chain, and their numbers from head to tail.
fn world(seed: u64, fault: Option<Fault>) -> (World, [usize; 3]) {
    let mut world = World::new(seed, 3, 1);
    world.fault = fault;
    world.run_until_holds(ms(4_000), World::all_in_chain).expect("three seeds form a chain");
    let ids = world.view().expect("a view").chain;
    let chain: Vec<usize> = ids.into_iter().filter_map(|id| world.machine_of(id)).collect();
    (world, chain.try_into().expect("three of them"))
}

fn commit_change(world: &mut World, machine: usize, base: u64, generation: u64) {
    let before = world.checker.acknowledged;
    world.write(machine, change(base, generation, generation, 100));
    let acknowledged = world.run_until_holds(RECOVERY_LIMIT, |world| world.checker.acknowledged > before);
    assert!(
        acknowledged.is_some(),
        "generation {generation} was not acknowledged: {:?}",
        world.checker.violation
    );
}

/// Runs in small steps until `done` holds.
fn run_until_reached(world: &mut World, what: &str, done: impl Fn(&World) -> bool) {
    for _ in 0..200_000 {
        if done(world) {
            return;
        }
        world.run_until(world.now + Duration::from_micros(50));
    }
    panic!("{what} is not reached: {:?}", world.view());
}

fn restore_links(world: &mut World) {
    world.cuts.clear();
}

/// The only other member with a committed entry does not know that the entry is committed, and is outside a
/// chain whose second member is not synced yet. Then the head of the chain loses its disk.
fn last_copy_outside_the_chain(seed: u64, fault: Option<Fault>) -> World {
    let (mut world, [head, tail, away]) = world(seed, fault);
    commit_change(&mut world, head, 0, 1);
    world.stop(away);
    run_until_reached(&mut world, "a chain of two", |world| {
        world.view().is_some_and(|view| view.chain.len() == 2)
    });
    commit_change(&mut world, head, 1, 2);
    // Committed at the tail, which is partitioned before the head learns of it.
    world.write(head, change(2, 3, 3, 100));
    run_until_reached(&mut world, "the commit", |world| world.replica(tail).status().committed.get() == 3);
    assert_eq!(world.replica(head).status().committed.get(), 2);
    // The tail has published the entry. The operator, who has no response, does not retry.
    world.operators.pending.clear();
    world.cut_off(head);
    world.run_for(ms(1_000));
    // The copy that it would receive before it joins the chain is dropped.
    world.dropped_messages = vec![(tail, away, "Copy {")];
    world.start_after(away, ms(0));
    let tail_id = world.replica(tail).status().id;
    run_until_reached(&mut world, "a chain of the other two", |world| {
        world.view().is_some_and(|view| view.chain.first() == Some(&tail_id))
    });
    // The third member is prevented from becoming synced.
    world.machines[away].disk.stalled_until = world.now + ms(3_000);
    world.restart(tail, ms(5));
    world.run_for(ms(10));
    restore_links(&mut world);
    world.run_for(ms(350));
    world.restart_wiped(tail, ms(2_000));
    // Writes that were pending on the stalled disk are lost.
    world.restart(away, ms(200));
    world.machines[away].disk.stalled_until = world.now;
    world.run_for(RECOVERY_LIMIT);
    world
}

/// Submits a change based on the entry that only a member outside the chain still has, and reads after it.
/// Returns the violated invariant, if any.
fn violation_with_last_copy_outside(seed: u64, fault: Option<Fault>) -> Option<String> {
    let mut world = last_copy_outside_the_chain(seed, fault);
    let machine = world.running()[0];
    commit_change(&mut world, machine, 3, 4);
    for machine in world.running() {
        world.submit(machine, Operation::Read);
    }
    world.run_for(ms(1_000));
    assert!(world.checker.violation.is_some() || world.checker.newest() == 4);
    world.checker.violation
}

#[test]
fn a_member_outside_the_chain_retains_its_entries_until_the_chain_is_synced() {
    for seed in 1..=SEEDS {
        assert_eq!(violation_with_last_copy_outside(seed, None), None, "seed {seed}");
    }
}

#[test]
fn copying_before_the_chain_is_synced_is_detected() {
    let is_detected = |seed| {
        !matches!(
            catch_unwind(|| violation_with_last_copy_outside(seed, Some(Fault::CopiesTooEarly))),
            Ok(None)
        )
    };
    let detected = (1..=SEEDS).filter(|seed| is_detected(*seed)).count();
    println!("detected with {detected} of {SEEDS} seeds");
    assert!(detected > 0, "the fault is not detected");
}

/// A member joins a chain of one and is not synced yet when the other one loses its disk. No member is left
/// with everything that the view could have committed, but the view has committed nothing.
#[test]
fn the_group_recovers_from_a_disk_lost_right_after_a_repair() {
    let (mut world, [head, middle, tail]) = world(5, None);
    commit_change(&mut world, head, 0, 1);
    world.stop(tail);
    run_until_reached(&mut world, "a chain of two", |world| {
        world.view().is_some_and(|view| view.chain.len() == 2)
    });
    commit_change(&mut world, head, 1, 2);
    world.cut_off(middle);
    world.start_after(tail, ms(0));
    let tail_id =
        world.replica(head).view().expect("a view").voters.iter().map(|voter| voter.id).collect::<Vec<_>>();
    let isolated = world.replica(middle).status().id;
    run_until_reached(&mut world, "a chain with the restarted member", |world| {
        world.view().is_some_and(|view| view.chain.len() == 2 && !view.chain.contains(&isolated))
    });
    assert_eq!(tail_id.len(), 3);
    world.restart_wiped(head, ms(3_000));
    world.run_for(ms(300));
    restore_links(&mut world);
    commit_change(&mut world, middle, 2, 3);
    let all_in_chain = world.run_until_holds(RECOVERY_LIMIT, World::all_in_chain);
    assert!(all_in_chain.is_some(), "{:?}", world.view());
    assert_eq!((world.checker.newest(), &world.checker.violation), (3, &None));
}

/// The head is partitioned when a forced view change begins, and returns before it is decided. Entries that
/// the view commits in between must be known to the next view.
fn violation_if_head_returns_during_forced_view(seed: u64, fault: Option<Fault>) -> Option<String> {
    let (mut world, [head, middle, tail]) = world(seed, fault);
    commit_change(&mut world, head, 0, 1);
    world.stop(tail);
    world.run_for(ms(1_500));
    commit_change(&mut world, head, 1, 2);
    world.cut_off(middle);
    world.start_after(tail, ms(0));
    let isolated = world.replica(middle).status().id;
    run_until_reached(&mut world, "a chain with the restarted member", |world| {
        world.view().is_some_and(|view| view.chain.len() == 2 && !view.chain.contains(&isolated))
    });
    restore_links(&mut world);
    world.cut_off(head);
    let know = |machine: usize| {
        move |world: &World| world.replica(machine).view().is_some_and(|view| view.number.get() == 3)
    };
    run_until_reached(&mut world, "the view at one", know(middle));
    run_until_reached(&mut world, "the view at the other", know(tail));
    // The other two send promises, but the proposals are dropped for now.
    world.dropped_messages = vec![(middle, tail, "Accept {"), (tail, middle, "Accept {")];
    // Proposals of the returned head are dropped as well.
    let no_proposals = [(head, middle, "Prepare {"), (head, tail, "Prepare {")];
    world.run_for(ms(4_400 + 30 * seed));
    restore_links(&mut world);
    world.operators.pending.clear();
    world.write(head, change(2, 3, 3, 100));
    let is_seen = |world: &World| world.checker.newest() >= 3;
    world.run_until_holds(ms(500), is_seen);
    world.dropped_messages = no_proposals.to_vec();
    world.run_for(ms(1_500));
    world.dropped_messages.clear();
    world.run_for(RECOVERY_LIMIT);
    let generation = world.checker.generation();
    commit_change(&mut world, middle, generation, generation + 1);
    for machine in world.running() {
        world.submit(machine, Operation::Read);
    }
    world.run_for(ms(1_000));
    world.checker.violation
}

#[test]
fn no_entry_is_lost_if_the_head_returns_during_a_forced_view_change() {
    for seed in 1..=SEEDS {
        assert_eq!(violation_if_head_returns_during_forced_view(seed, None), None, "seed {seed}");
    }
}

/// One disk is lost and the other machines lose power at the same time, at many moments during a change and a
/// repair.
#[test]
fn a_disk_may_be_lost_at_any_moment_while_all_others_lose_power() {
    for moment in 0..150 {
        let (mut world, [head, middle, tail]) = world(5, None);
        commit_change(&mut world, head, 0, 1);
        let returning = [head, middle, tail][moment % 3];
        world.stop(returning);
        world.run_for(ms(1_500));
        world.start_after(returning, ms(0));
        world.run_for(ms(4_000));
        let sender = world.running()[0];
        world.write(sender, change(1, 2, 2, 100));
        world.run_until(world.now + Duration::from_micros(100 * moment as u64));
        let lost = [head, middle, tail][moment / 3 % 3];
        world.restart_wiped(lost, ms(500));
        [head, middle, tail]
            .into_iter()
            .filter(|other| *other != lost)
            .for_each(|other| world.restart(other, ms(300)));
        let all_in_chain = world.run_until_holds(RECOVERY_LIMIT, World::all_in_chain);
        assert!(all_in_chain.is_some(), "moment {moment}: {:?}", world.view());
        let request = world.submit(lost, Operation::Read);
        world.run_until_holds(ms(2_000), |world| !world.operators.pending.contains_key(&request));
        assert_eq!(world.checker.violation, None, "moment {moment}");
    }
}

/// A member shuts down while its replacement joins and a third is down. As soon as it reports that it has
/// handed over, it is removed with its disk, and the other member of the chain loses its disk.
fn violation_if_member_leaves_while_another_joins(seed: u64, fault: Option<Fault>) -> Option<String> {
    let (mut world, [head, middle, tail]) = world(seed, fault);
    commit_change(&mut world, head, 0, 1);
    world.stop(tail);
    world.run_for(ms(1_500));
    commit_change(&mut world, head, 1, 2);
    world.operators.pending.clear();
    world.deliver_input(head, Input::Shutdown);
    let new = world.add_machine(false);
    // The copy that it would receive before it joins the chain is dropped, and its disk is slow.
    world.dropped_messages = vec![(middle, new, "Copy {")];
    world.machines[new].disk.sync_time = ms(200);
    run_until_reached(&mut world, "the end of the handover", |world| world.replica(head).has_handed_over());
    world.remove(head);
    world.restart_wiped(middle, ms(1_000));
    world.restart(new, ms(100));
    world.start_after(tail, ms(500));
    world.run_for(RECOVERY_LIMIT);
    commit_change(&mut world, new, 2, 3);
    world.checker.violation
}

#[test]
fn a_member_that_shuts_down_has_handed_over_its_entries() {
    for seed in 1..=SEEDS {
        assert_eq!(violation_if_member_leaves_while_another_joins(seed, None), None, "seed {seed}");
    }
}

#[test]
fn shutting_down_too_early_is_detected() {
    let is_detected = |seed| {
        !matches!(
            catch_unwind(|| violation_if_member_leaves_while_another_joins(
                seed,
                Some(Fault::ShutsDownTooEarly)
            )),
            Ok(None)
        )
    };
    let detected = (1..=SEEDS).filter(|seed| is_detected(*seed)).count();
    println!("detected with {detected} of {SEEDS} seeds");
    assert!(detected > 0, "the fault is not detected");
}

/// A member that is shutting down keeps its role until others have its state.
#[test]
fn a_member_that_shuts_down_stays_in_the_chain_until_it_is_replaced() {
    let (mut world, [head, middle, tail]) = world(5, None);
    commit_change(&mut world, head, 0, 1);
    world.stop(middle);
    world.stop(tail);
    world.run_for(ms(1_500));
    let leaving = world.replica(head).status().id;
    world.deliver_input(head, Input::Shutdown);
    world.run_for(ms(3_000));
    assert!(
        world.replica(head).view().expect("a view").chain.contains(&leaving),
        "no other member is running"
    );
    world.start_after(middle, ms(0));
    world.start_after(tail, ms(0));
    run_until_reached(&mut world, "a chain without the leaving member", |world| {
        world.view().is_some_and(|view| !view.chain.contains(&leaving))
    });
    world.remove(head);
    commit_change(&mut world, middle, 1, 2);
    assert_eq!(world.checker.violation, None);
}
