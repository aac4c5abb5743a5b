//! A forced view whose evidence is in the promises alone: the proposer knows nobody who has all committed entries, as what it
//! hears is old, and a voter that promises was synced a moment before.

mod simulation;

use replication::Fault;
use simulation::operators::change;
use simulation::{World, ms};
use std::panic::catch_unwind;

/// The moments at which the missing member of the chain is synced, in steps of this, around the first prepare of the proposer.
const STEP_MS: u64 = 10;
const MOMENTS: u64 = 120;

/// The head of a chain of two is silent to the third voter, which wants to force a view. The other one of the chain lacks what was
/// committed before it joined; it gets that, and a change, at a moment around the proposal. Returns the rule that was broken.
fn synced_beside_a_forced_proposal(moment: u64, fault: Option<Fault>) -> Option<String> {
    let mut world = World::new(11, 3, 1);
    world.fault = fault;
    world.run_until_holds(ms(4_000), World::whole).expect("three seeds form a chain");
    let [head, late, proposer] = [0, 1, 2].map(|place| {
        let id = world.view().expect("a view").chain[place];
        world.machine_of(id).expect("it runs")
    });
    world.write(head, change(0, 1, 1, 100));
    world.run_until_holds(ms(2_000), |world| world.checker.taken == 1).expect("taken");
    // The next view has the head and the proposer in its chain: the third is away.
    world.stop(late);
    world.run_for(ms(1_500));
    world.write(head, change(1, 2, 2, 100));
    world.run_until_holds(ms(2_000), |world| world.checker.taken == 2).expect("taken");
    // It returns as the proposer goes: the view after that has it in its chain, and it is not synced there.
    world.drops = ["Offer", "Sync", "Append", "Copy {"].map(|what| (head, late, what)).to_vec();
    world.start_after(late, ms(0));
    world.run_for(ms(50));
    world.stop(proposer);
    let chain_of_late = |world: &World| {
        let view = world.view().expect("a view");
        view.chain.len() == 2
            && view.chain.iter().filter_map(|id| world.machine_of(*id)).any(|one| one == late)
    };
    world
        .run_until_holds(ms(6_000), chain_of_late)
        .expect("a view of the head and the one that has returned");
    // The last that the proposer hears of the head is that its disk is full.
    world.machines[head].disk.full = true;
    world.write(head, change(2, 3, 3, 100));
    // Neither may have the returned proposer taken into the chain meanwhile.
    let no_proposals = [(head, late), (head, proposer), (late, head), (late, proposer)]
        .map(|(from, to)| (from, to, "Prepare {"));
    world.drops.extend(no_proposals);
    world.start_after(proposer, ms(0));
    world.run_for(ms(1_200));
    world.cut(head, proposer);
    world.machines[head].disk.free();
    world.run_for(ms(1_200));
    world.operators.open.clear();
    world.run_for(ms(moment * STEP_MS));
    // From now on the proposer hears nothing new of it but its promise.
    world.drops = no_proposals.to_vec();
    world.drops.push((late, proposer, "Heartbeat"));
    world.write(head, change(2, 4, 4, 100));
    world.run_for(ms(400));
    world.drops.clear();
    world.cuts.clear();
    world.run_for(ms(6_000));
    world.write(proposer, change(4, 5, 5, 100));
    world.run_for(ms(4_000));
    world.checker.broken
}

#[test]
fn a_voter_that_is_synced_prevents_a_forced_view() {
    for moment in 0..MOMENTS {
        assert_eq!(synced_beside_a_forced_proposal(moment, None), None, "moment {moment}");
    }
}

/// What the fault leads to: a broken rule, or a member that ends itself as it finds two histories.
fn noticed(moment: u64) -> Option<String> {
    let play = || synced_beside_a_forced_proposal(moment, Some(Fault::IgnoresSyncedPromises));
    catch_unwind(play).unwrap_or_else(|_| Some("a member has ended itself".into()))
}

#[test]
fn ignoring_synced_promises_is_detected() {
    let moment = (0..MOMENTS).find(|moment| noticed(*moment).is_some());
    println!("at moment {:?}", moment.expect("the fault breaks a rule"));
}
