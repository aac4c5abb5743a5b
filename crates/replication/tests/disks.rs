//! Disks that are slow, from the start or from a moment on, and disks that are full: some of them or all.

mod simulation;

use replication::Fault;
use simulation::operators::{Order, change};
use simulation::{World, ms, seeds};
use std::time::Duration;

/// The longest time of a sync in ms, from an ordinary disk to one that is badly overloaded; each is drawn from half of it on.
const SYNCS_MS: [u64; 7] = [5, 50, 200, 300, 400, 700, 1_000];

/// Within this a change has to be acknowledged while no machine is lost, as operators are owed it.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_millis(6_000);

/// Within this a change has to be acknowledged while the chain is shortened, as its disks have just shown to be slow.
const ADJUSTED_WITHIN: Duration = Duration::from_millis(10_000);

/// How many changes may pass until the chain is shortened.
const ADJUSTING_CHANGES: u64 = 3;

/// A group and which of its disks are slow.
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

    /// A world whose machines form one chain.
    fn whole_world(&self, seed: u64) -> World {
        let mut world = self.world(seed);
        world.run_until_holds(ms(10_000), World::whole).expect("they form a chain");
        world
    }

    /// Slows its disks down; the first one is that of the head of the first chain.
    fn slow_down(&self, world: &mut World) {
        for machine in world.machines.iter_mut().take(self.slow) {
            // The simulated disk draws from 0.8 to 1.5 times its setting.
            machine.disk.sync = ms(self.sync_ms) * 2 / 3;
        }
    }
}

/// Has a change taken, by an operator who sends it again as long as it isn't; returns how long that took.
fn take(world: &mut World, machine: usize, generation: u64, limit: Duration) -> Option<Duration> {
    let (begun, before) = (world.now, world.checker.taken);
    while world.now < begun + limit {
        world.write(machine, change(generation - 1, generation, generation, 100));
        if world.run_until_holds(ms(10_000), |world| world.checker.taken > before).is_some() {
            return Some(world.now - begun);
        }
    }
    None
}

/// Has changes taken from `first` on; returns what took too long.
fn too_slow(world: &mut World, case: Case, first: u64) -> Option<(u64, Option<Duration>)> {
    for generation in first..first + 8 {
        let bound =
            if generation < first + ADJUSTING_CHANGES { ADJUSTED_WITHIN } else { ACKNOWLEDGED_WITHIN };
        let taken = take(world, case.machines - 1, generation, ms(60_000));
        if taken.is_none_or(|taken| taken > bound) {
            return Some((generation, taken));
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
            case.slow_down(&mut world);
            world.run_for(ms(15_000));
            failed.extend(too_slow(&mut world, case, 1).map(|late| (case, seed, late)));
            assert_eq!(world.checker.broken, None, "{case:?} seed {seed}");
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

#[test]
fn changes_are_acknowledged_in_time_on_disks_that_become_slow() {
    let mut failed = Vec::new();
    for case in cases() {
        for seed in seeds(3) {
            let mut world = case.whole_world(seed);
            case.slow_down(&mut world);
            failed.extend(too_slow(&mut world, case, 1).map(|late| (case, seed, late)));
            assert_eq!(world.checker.broken, None, "{case:?} seed {seed}");
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// As many members with slow disks as may be lost are left out of the chain: the others are as quick as without them.
#[test]
fn a_slow_disk_that_can_be_spared_delays_no_change() {
    /// What a change takes on disks that are not slow, and some.
    const QUICK: Duration = Duration::from_millis(100);
    for (machines, tolerated) in [(3, 1), (5, 2)] {
        for seed in seeds(5) {
            let case = Case { machines, tolerated, slow: tolerated, sync_ms: 1_500 };
            let mut world = case.whole_world(seed);
            case.slow_down(&mut world);
            take(&mut world, machines - 1, 1, ms(20_000)).expect("a change while its disk shows to be slow");
            world.run_for(ms(5_000));
            for generation in 2..=8 {
                let taken = take(&mut world, machines - 1, generation, ms(20_000));
                assert!(taken.is_some_and(|taken| taken <= QUICK), "{case:?} seed {seed}: {taken:?}");
            }
            assert_eq!(world.checker.broken, None, "{case:?} seed {seed}");
        }
    }
}

/// How long it takes until all are in the chain again once all disks are as quick as before, without a change to try them.
fn whole_again(seed: u64, fault: Option<Fault>) -> Option<Duration> {
    let case = Case { machines: 3, tolerated: 1, slow: 3, sync_ms: 1_000 };
    let mut world = case.world(seed);
    world.fault = fault;
    world.run_until_holds(ms(10_000), World::whole).expect("they form a chain");
    case.slow_down(&mut world);
    for generation in 1..=4 {
        take(&mut world, 2, generation, ms(60_000)).expect("a change on slow disks");
    }
    world.machines.iter_mut().for_each(|machine| machine.disk.sync = ms(2));
    world.run_until_holds(ms(10_000), World::whole)
}

#[test]
fn members_rejoin_the_chain_once_their_disks_are_quick_again() {
    for seed in seeds(10) {
        let took = whole_again(seed, None);
        assert!(took.is_some_and(|took| took <= ms(4_000)), "seed {seed}: {took:?}");
    }
}

#[test]
fn never_probing_a_slow_disk_is_detected() {
    assert!(seeds(10).any(|seed| whole_again(seed, Some(Fault::NeverProbesDisk)).is_none()));
}

/// A machine of the chain is lost while disks are slow: how long it takes until the next view is decided on these, and a change
/// is acknowledged in it.
fn recovery(case: Case, seed: u64, fault: Option<Fault>) -> Option<Duration> {
    let mut world = case.world(seed);
    world.fault = fault;
    case.slow_down(&mut world);
    world.run_for(ms(15_000));
    let lost = if seed.is_multiple_of(2) { world.head() } else { world.tail() };
    world.stop(lost.expect("a chain"));
    let other = world.running()[0];
    let taken = take(&mut world, other, 1, ms(60_000));
    assert_eq!(world.checker.broken, None, "{case:?} seed {seed}");
    taken
}

#[test]
fn a_view_is_decided_where_disks_are_slow() {
    /// On the slowest disks. A view change takes three writes one after the other, joining the chain one for each member.
    const RECOVERED_WITHIN: Duration = Duration::from_secs(20);
    let mut failed = Vec::new();
    for case in cases() {
        for seed in seeds(3) {
            let taken = recovery(case, seed, None);
            if taken.is_none_or(|taken| taken > RECOVERED_WITHIN) {
                failed.push((case, seed, taken));
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

/// Which disks are full.
#[derive(Clone, Copy, Debug)]
enum Full {
    One(usize),
    Two(usize),
    All,
}

impl Full {
    const ALL: [Full; 7] =
        [Full::One(0), Full::One(1), Full::One(2), Full::Two(0), Full::Two(1), Full::Two(2), Full::All];

    /// Whether it is the disk of this machine of three.
    fn contains(self, machine: usize) -> bool {
        match self {
            Full::One(one) => machine == one,
            Full::Two(other) => machine != other,
            Full::All => true,
        }
    }
}

/// How many records fit at most before a disk is full: more than a start, some changes and a view change write.
const MOST_ROOM: usize = 24;

/// Has an operator read at each machine. The answers are checked as they come.
fn read_at_all(world: &mut World) {
    for machine in 0..world.machines.len() {
        world.order(machine, Order::Read);
    }
}

/// Disks fill up at a record boundary while changes and reads go on and a machine is restarted; then there is room again.
/// Returns how long it takes until a change is acknowledged after that.
fn fill_up(seed: u64, full: Full, room: usize, fault: Option<Fault>) -> Option<Duration> {
    let mut world = World::new(seed, 3, 1);
    world.fault = fault;
    world.checks_votes = true;
    for (number, machine) in world.machines.iter_mut().enumerate() {
        machine.disk.room = full.contains(number).then_some(room);
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
        machine.disk.free();
    }
    let begun = world.now;
    // Operators have sent again what was not acknowledged.
    let taken = world.run_until_holds(ms(10_000), |world| world.checker.generation() == 10);
    let taken = taken.and_then(|_| take(&mut world, 0, 11, ms(10_000))).map(|_| world.now - begun);
    read_at_all(&mut world);
    world.run_for(ms(2_000));
    assert_eq!(world.checker.broken, None, "seed {seed}: {full:?} with room for {room} records");
    taken
}

#[test]
fn full_disks_lose_nothing_and_changes_return_with_the_room() {
    /// A full disk is tried again each second; a member that has missed changes copies them before it counts.
    const RETURNED_WITHIN: Duration = Duration::from_millis(4_000);
    let mut longest = Duration::ZERO;
    for full in Full::ALL {
        for room in 0..MOST_ROOM {
            for seed in seeds(2) {
                let taken = fill_up(seed, full, room, None);
                let taken =
                    taken.unwrap_or_else(|| panic!("seed {seed}: {full:?} with room for {room} records"));
                longest = longest.max(taken);
            }
        }
    }
    println!("longest {longest:?}");
    assert!(longest <= RETURNED_WITHIN, "{longest:?}");
}

#[test]
fn never_retrying_a_full_disk_is_detected() {
    assert!((0..MOST_ROOM).any(|room| fill_up(1, Full::All, room, Some(Fault::NeverRetriesDisk)).is_none()));
}
