//! A forced view that only the promises can prevent: the proposer knows no member that has all committed
//! entries, because its information is outdated, and a voter that promises became synced a moment before.

mod simulation;

use replication::Fault;
use simulation::operators::change;
use simulation::{World, ms};
use std::panic::catch_unwind;

/// The times around the proposer's first prepare message at which the missing chain member becomes synced, in
/// steps of this length.
const STEP_MS: u64 = 10;
const MOMENTS: u64 = 120;

/// The third voter does not hear the head of a chain of two and wants to force a view. The other member of
/// the chain lacks entries that were committed before it joined; it receives them, and a change, at a time
/// around the proposal. Returns the violated invariant, if any.
fn synced_beside_a_forced_proposal(moment: u64, fault: Option<Fault>) -> Option<String> {
    let mut world = World::new(11, 3, 1);
    world.fault = fault;
    world.run_until_holds(ms(4_000), World::all_in_chain).expect("three seeds form a chain");
    let [head, late, proposer] = [0, 1, 2].map(|place| {
        let id = world.view().expect("a view").chain[place];
        world.machine_of(id).expect("it runs")
    });
    world.write(head, change(0, 1, 1, 100));
    world.run_until_holds(ms(2_000), |world| world.checker.acknowledged == 1).expect("acknowledged");
    // The next view has the head and the proposer in its chain; the third machine is down.
    world.stop(late);
    world.run_for(ms(1_500));
    world.write(head, change(1, 2, 2, 100));
    world.run_until_holds(ms(2_000), |world| world.checker.acknowledged == 2).expect("acknowledged");
    // It restarts when the proposer stops. The next view has it in its chain, but it can't become synced
    // there.
    world.dropped_messages = ["Offer", "Sync", "Append", "Copy {"].map(|what| (head, late, what)).to_vec();
    world.start_after(late, ms(0));
    world.run_for(ms(50));
    world.stop(proposer);
    let chain_of_late = |world: &World| {
        let view = world.view().expect("a view");
        view.chain.len() == 2
            && view.chain.iter().filter_map(|id| world.machine_of(*id)).any(|one| one == late)
    };
    world.run_until_holds(ms(6_000), chain_of_late).expect("a view of the head and the restarted member");
    // The last heartbeat of the head that the proposer receives reports a full disk.
    world.machines[head].disk.full = true;
    world.write(head, change(2, 3, 3, 100));
    // Neither of them may take the restarted proposer into the chain in the meantime.
    let no_proposals = [(head, late), (head, proposer), (late, head), (late, proposer)]
        .map(|(from, to)| (from, to, "Prepare {"));
    world.dropped_messages.extend(no_proposals);
    world.start_after(proposer, ms(0));
    world.run_for(ms(1_200));
    world.cut(head, proposer);
    world.machines[head].disk.make_room();
    world.run_for(ms(1_200));
    world.operators.pending.clear();
    world.run_for(ms(moment * STEP_MS));
    // From now on the proposer receives nothing from it except its promise.
    world.dropped_messages = no_proposals.to_vec();
    world.dropped_messages.push((late, proposer, "Heartbeat"));
    world.write(head, change(2, 4, 4, 100));
    world.run_for(ms(400));
    world.dropped_messages.clear();
    world.cuts.clear();
    world.run_for(ms(6_000));
    world.write(proposer, change(4, 5, 5, 100));
    world.run_for(ms(4_000));
    world.checker.violation
}

#[test]
fn a_voter_that_is_synced_prevents_a_forced_view() {
    for moment in 0..MOMENTS {
        assert_eq!(synced_beside_a_forced_proposal(moment, None), None, "moment {moment}");
    }
}

/// The effect of the fault: a violated invariant, or a replica that panics because it finds two histories.
fn violation_with_fault(moment: u64) -> Option<String> {
    let run = || synced_beside_a_forced_proposal(moment, Some(Fault::IgnoresSyncedPromises));
    catch_unwind(run).unwrap_or_else(|_| Some("a replica has panicked".into()))
}

#[test]
fn ignoring_synced_promises_is_detected() {
    let moment = (0..MOMENTS).find(|moment| violation_with_fault(*moment).is_some());
    println!("at moment {:?}", moment.expect("the fault violates an invariant"));
}
