//! Processes under a CPU quota: each runs for a part of every 100 ms and is throttled for the rest. No member
//! may be taken for failed, and commits must not take much longer.

mod simulation;

use replication::Input;
use simulation::operators::change;
use simulation::{World, ms, seeds};
use std::time::Duration;

/// The period of the CPU quota.
const PERIOD: Duration = Duration::from_millis(100);

/// Runs for `span`. In each period, which begins a little later from machine to machine, a machine runs for
/// `run` and is frozen for the rest.
fn run_with_quota(world: &mut World, span: Duration, run: Duration) {
    let end = world.now + span;
    while world.now < end {
        let slice = PERIOD / 10;
        let phase_ms = (world.now.as_millis() % PERIOD.as_millis()) as u64;
        for machine in 0..world.machines.len() {
            let own = ms((phase_ms + 37 * machine as u64) % PERIOD.as_millis() as u64);
            if own >= run && !world.machines[machine].frozen {
                world.freeze(machine, PERIOD - own);
            } else if own < slice {
                // The simulation drops the ticks of a frozen machine, but a timer that has become due fires
                // when the process continues.
                world.deliver_input(machine, Input::Tick);
            }
        }
        world.run_until(world.now + slice);
    }
}

fn formed_world(seed: u64, machines: usize, tolerated: usize) -> World {
    let mut world = World::new(seed, machines, tolerated);
    world.seeds = world.machines.iter().map(|machine| machine.address).collect();
    world.run_until_holds(ms(10_000), World::all_in_chain).expect("they form a chain");
    world
}

#[test]
fn no_member_is_taken_for_failed_under_a_quota() {
    for (machines, tolerated) in [(3, 1), (5, 2)] {
        for run_ms in [10, 30, 60] {
            for seed in seeds(4) {
                let mut world = formed_world(seed, machines, tolerated);
                let view = world.view();
                run_with_quota(&mut world, Duration::from_secs(30), ms(run_ms));
                assert_eq!(
                    world.view(),
                    view,
                    "{machines} machines, {run_ms} ms of each period, seed {seed}"
                );
                assert_eq!(world.checker.violation, None);
            }
        }
    }
}

#[test]
fn changes_are_committed_under_a_quota_also_after_a_failure() {
    /// Operators are promised a response within 4 s.
    const LONGEST: Duration = Duration::from_millis(4_000);
    for (machines, tolerated) in [(3, 1), (5, 2)] {
        for run_ms in [10, 30, 60] {
            for seed in seeds(4) {
                let mut world = formed_world(seed, machines, tolerated);
                let mut generation = 0;
                for loses_head in [false, true, false] {
                    if loses_head {
                        let head = world.head().expect("a head");
                        world.stop(head);
                    }
                    generation += 1;
                    let (started_at, before) = (world.now, world.checker.acknowledged);
                    let machine = world.running()[0];
                    world.write(machine, change(generation - 1, generation, generation, 100));
                    while world.checker.acknowledged == before && world.now < started_at + LONGEST {
                        run_with_quota(&mut world, PERIOD, ms(run_ms));
                    }
                    assert!(
                        world.checker.acknowledged > before,
                        "{machines} machines, {run_ms} ms, seed {seed}"
                    );
                }
                assert_eq!(world.checker.violation, None);
            }
        }
    }
}
