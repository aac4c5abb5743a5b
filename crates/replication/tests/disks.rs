//! Disks that are slow, from the start or later, and disks that are full: some of them or all.

mod simulation;

use replication::Fault;
use simulation::operators::{Operation, change};
use simulation::{World, ms, seeds};
use std::time::Duration;

/// The longest time of a sync in ms, from that of an ordinary disk to that of a badly overloaded one. Each
/// sync takes between half of it and all of it.
const SYNCS_MS: [u64; 7] = [5, 50, 200, 300, 400, 700, 1_000];

/// Operators are promised an acknowledgement within this time while no machine is lost.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_millis(6_000);

/// The same while the chain is being shortened because its disks have just become slow.
const ADJUSTED_WITHIN: Duration = Duration::from_millis(10_000);

/// The number of changes until the chain must have been shortened.
const ADJUSTING_CHANGES: u64 = 3;

/// The size of a group, and how many of its disks are slow.
#[derive(Clone, Copy, Debug)]
struct Case {
    machines: usize,
    tolerated: usize,
    slow: usize,
    sync_ms: u64,
}

fn cases() -> Vec<Case> {
    let mut all = Vec::new();
    for (machines, tolerated) in [(3, 1), (5, 2)] {
        for slow in 1..=machines {
            all.extend(SYNCS_MS.map(|sync_ms| Case { machines, tolerated, slow, sync_ms }));
        }
    }
    all
}

impl Case {
    fn world(&self, seed: u64) -> World {
        let mut world = World::new(seed, self.machines, self.tolerated);
        world.seeds = world.machines.iter().map(|machine| machine.address).collect();
        world
    }

    /// A world in which all machines are in one chain.
    fn formed_world(&self, seed: u64) -> World {
        let mut world = self.world(seed);
        world.run_until_holds(ms(10_000), World::all_in_chain).expect("they form a chain");
        world
    }

    /// Slows down the disks; the first one is that of the head of the first chain.
    fn slow_disks(&self, world: &mut World) {
        for machine in world.machines.iter_mut().take(self.slow) {
            // The simulated disk draws from 0.8 to 1.5 times its setting.
            machine.disk.sync_time = ms(self.sync_ms) * 2 / 3;
        }
    }
}

/// Has an operator submit a change, again every 10 s, until it is acknowledged. Returns how long that took;
/// `None` if it took longer than `limit`.
fn commit_change(world: &mut World, machine: usize, generation: u64, limit: Duration) -> Option<Duration> {
    let (started_at, before) = (world.now, world.checker.acknowledged);
    while world.now < started_at + limit {
        world.write(machine, change(generation - 1, generation, generation, 100));
        if world.run_until_holds(ms(10_000), |world| world.checker.acknowledged > before).is_some() {
            return Some(world.now - started_at);
        }
    }
    None
}

/// Commits changes from the generation `first` on. Returns the first one that took too long.
fn first_late_change(world: &mut World, case: Case, first: u64) -> Option<(u64, Option<Duration>)> {
    for generation in first..first + 8 {
        let bound =
            if generation < first + ADJUSTING_CHANGES { ADJUSTED_WITHIN } else { ACKNOWLEDGED_WITHIN };
        let acknowledged = commit_change(world, case.machines - 1, generation, ms(60_000));
        if acknowledged.is_none_or(|acknowledged| acknowledged > bound) {
            return Some((generation, acknowledged));
        }
    }
    None
}

#[test]
fn changes_are_acknowledged_in_time_on_disks_that_are_slow_from_the_start() {
    let mut failed = Vec::new();
    for case in cases() {
        for seed in seeds(3) {
            let mut world = case.world(seed);
            case.slow_disks(&mut world);
            world.run_for(ms(15_000));
            failed.extend(first_late_change(&mut world, case, 1).map(|late| (case, seed, late)));
            assert_eq!(world.checker.violation, None, "{case:?} seed {seed}");
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

#[test]
fn changes_are_acknowledged_in_time_on_disks_that_become_slow() {
    let mut failed = Vec::new();
    for case in cases() {
        for seed in seeds(3) {
            let mut world = case.formed_world(seed);
            case.slow_disks(&mut world);
            failed.extend(first_late_change(&mut world, case, 1).map(|late| (case, seed, late)));
            assert_eq!(world.checker.violation, None, "{case:?} seed {seed}");
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// As many members with slow disks as are tolerated to fail are left out of the chain, so that commits are as
/// fast as without them.
#[test]
fn a_slow_disk_that_can_be_spared_delays_no_change() {
    /// More than a commit takes on disks that are not slow.
    const FAST_COMMIT: Duration = Duration::from_millis(100);
    for (machines, tolerated) in [(3, 1), (5, 2)] {
        for seed in seeds(5) {
            let case = Case { machines, tolerated, slow: tolerated, sync_ms: 1_500 };
            let mut world = case.formed_world(seed);
            case.slow_disks(&mut world);
            commit_change(&mut world, machines - 1, 1, ms(20_000))
                .expect("a change is committed while the disk is found to be slow");
            world.run_for(ms(5_000));
            for generation in 2..=8 {
                let acknowledged = commit_change(&mut world, machines - 1, generation, ms(20_000));
                assert!(
                    acknowledged.is_some_and(|acknowledged| acknowledged <= FAST_COMMIT),
                    "{case:?} seed {seed}: {acknowledged:?}"
                );
            }
            assert_eq!(world.checker.violation, None, "{case:?} seed {seed}");
        }
    }
}

/// How long it takes until all members are in the chain again after all disks have become fast, without
/// changes that would show this.
fn time_until_all_rejoined(seed: u64, fault: Option<Fault>) -> Option<Duration> {
    let case = Case { machines: 3, tolerated: 1, slow: 3, sync_ms: 1_000 };
    let mut world = case.world(seed);
    world.fault = fault;
    world.run_until_holds(ms(10_000), World::all_in_chain).expect("they form a chain");
    case.slow_disks(&mut world);
    for generation in 1..=4 {
        commit_change(&mut world, 2, generation, ms(60_000)).expect("a change is committed on slow disks");
    }
    world.machines.iter_mut().for_each(|machine| machine.disk.sync_time = ms(2));
    world.run_until_holds(ms(10_000), World::all_in_chain)
}

#[test]
fn members_rejoin_the_chain_once_their_disks_are_fast_again() {
    for seed in seeds(10) {
        let took = time_until_all_rejoined(seed, None);
        assert!(took.is_some_and(|took| took <= ms(4_000)), "seed {seed}: {took:?}");
    }
}

#[test]
fn never_probing_a_slow_disk_is_detected() {
    assert!(seeds(10).any(|seed| time_until_all_rejoined(seed, Some(Fault::NeverProbesDisk)).is_none()));
}

/// A machine of the chain fails while disks are slow. Returns how long it takes until the next view is
/// decided on these disks and a change is acknowledged in it.
fn recovery(case: Case, seed: u64, fault: Option<Fault>) -> Option<Duration> {
    let mut world = case.world(seed);
    world.fault = fault;
    case.slow_disks(&mut world);
    world.run_for(ms(15_000));
    let lost = if seed.is_multiple_of(2) { world.head() } else { world.tail() };
    world.stop(lost.expect("a chain"));
    let other = world.running()[0];
    let acknowledged = commit_change(&mut world, other, 1, ms(60_000));
    assert_eq!(world.checker.violation, None, "{case:?} seed {seed}");
    acknowledged
}

#[test]
fn a_view_is_decided_where_disks_are_slow() {
    /// For the slowest disks: a view change takes three consecutive writes, joining the chain one for each
    /// member.
    const RECOVERED_WITHIN: Duration = Duration::from_secs(20);
    let mut failed = Vec::new();
    for case in cases() {
        for seed in seeds(3) {
            let acknowledged = recovery(case, seed, None);
            if acknowledged.is_none_or(|acknowledged| acknowledged > RECOVERED_WITHIN) {
                failed.push((case, seed, acknowledged));
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

#[test]
fn refusing_slow_disks_is_detected() {
    let case = Case { machines: 3, tolerated: 1, slow: 3, sync_ms: 1_000 };
    assert!(seeds(5).all(|seed| recovery(case, seed, Some(Fault::RefusesSlowDisks)).is_none()));
}

/// The disks that are full.
#[derive(Clone, Copy, Debug)]
enum FullDisks {
    One(usize),
    Two(usize),
    All,
}

impl FullDisks {
    const ALL: [FullDisks; 7] = [
        FullDisks::One(0),
        FullDisks::One(1),
        FullDisks::One(2),
        FullDisks::Two(0),
        FullDisks::Two(1),
        FullDisks::Two(2),
        FullDisks::All,
    ];

    /// Whether the disk of this machine of three is full.
    fn contains(self, machine: usize) -> bool {
        match self {
            FullDisks::One(one) => machine == one,
            FullDisks::Two(other) => machine != other,
            FullDisks::All => true,
        }
    }
}

/// The maximum capacity, in records. More than is written by a start, some changes and a view change.
const MAX_CAPACITY: usize = 24;

/// Submits a read to each machine. The checker checks the responses as they arrive.
fn read_at_all(world: &mut World) {
    for machine in 0..world.machines.len() {
        world.submit(machine, Operation::Read);
    }
}

/// Disks become full at a record boundary while changes and reads continue and a machine restarts; later
/// there is space again. Returns how long it then takes until a change is acknowledged.
fn fill_up(seed: u64, full: FullDisks, capacity: usize, fault: Option<Fault>) -> Option<Duration> {
    let mut world = World::new(seed, 3, 1);
    world.fault = fault;
    world.checks_votes = true;
    for (number, machine) in world.machines.iter_mut().enumerate() {
        machine.disk.capacity = full.contains(number).then_some(capacity);
    }
    for generation in 1..=10 {
        let machine = usize::try_from(generation).expect("small") % 3;
        world.write(machine, change(generation - 1, generation, generation, 100));
        read_at_all(&mut world);
        world.run_for(ms(400));
        if generation == 5 {
            world.restart(machine, ms(300));
        }
    }
    world.run_for(ms(3_000));
    for machine in &mut world.machines {
        machine.disk.make_room();
    }
    let started_at = world.now;
    // Operators have retried what was not acknowledged.
    let acknowledged = world.run_until_holds(ms(10_000), |world| world.checker.generation() == 10);
    let acknowledged = acknowledged
        .and_then(|_| commit_change(&mut world, 0, 11, ms(10_000)))
        .map(|_| world.now - started_at);
    read_at_all(&mut world);
    world.run_for(ms(2_000));
    assert_eq!(world.checker.violation, None, "seed {seed}: {full:?}, capacity of {capacity} records");
    acknowledged
}

#[test]
fn full_disks_lose_nothing_and_commits_resume_when_there_is_space() {
    /// A full disk is retried every second, and a member that has missed changes has to copy them before it
    /// counts.
    const RESUMED_WITHIN: Duration = Duration::from_millis(4_000);
    let mut longest = Duration::ZERO;
    for full in FullDisks::ALL {
        for capacity in 0..MAX_CAPACITY {
            for seed in seeds(2) {
                let acknowledged = fill_up(seed, full, capacity, None);
                let acknowledged = acknowledged
                    .unwrap_or_else(|| panic!("seed {seed}: {full:?} with room for {capacity} records"));
                longest = longest.max(acknowledged);
            }
        }
    }
    println!("longest {longest:?}");
    assert!(longest <= RESUMED_WITHIN, "{longest:?}");
}

#[test]
fn never_retrying_a_full_disk_is_detected() {
    assert!(
        (0..MAX_CAPACITY)
            .any(|capacity| fill_up(1, FullDisks::All, capacity, Some(Fault::NeverRetriesDisk)).is_none())
    );
}
