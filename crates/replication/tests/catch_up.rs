//! A member that missed up to thousands of changes catches up soon, however many it missed and whatever is on
//! its disk, and returns no stale data meanwhile.

mod simulation;

use simulation::operators::{Operation, change};
use simulation::{World, ms};
use std::time::Duration;

/// The time after its start within which a member must be in the chain with all entries. It includes stable
/// heartbeats, a copy and a view change.
const COMPLETE_WITHIN: Duration = Duration::from_millis(2_500);

/// The size of a document in bytes: about 350 routes.
const DOCUMENT: usize = 80_000;

/// The state of the disk of the member that restarts.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disk {
    Unchanged,
    Empty,
    /// The member is killed repeatedly while it catches up.
    KilledRepeatedly,
    /// The disk is full for the first second.
    Full,
}

const DISKS: [Disk; 4] = [Disk::Unchanged, Disk::Empty, Disk::KilledRepeatedly, Disk::Full];

struct Trial {
    world: World,
    restarted: usize,
    running: usize,
    generation: u64,
}

impl Trial {
    fn new(seed: u64) -> Self {
        let mut world = World::new(seed, 3, 1);
        world.run_until_holds(ms(4_000), World::all_in_chain).expect("three seeds form a chain");
        let (restarted, running) = (seed as usize % 3, (seed as usize + 1) % 3);
        let mut trial = Trial { world, restarted, running, generation: 0 };
        trial.commit_changes(3);
        trial
    }

    /// Commits this number of changes, one after the other.
    fn commit_changes(&mut self, count: u64) {
        for _ in 0..count {
            let acknowledged = self.world.checker.acknowledged;
            let next = self.generation + 1;
            self.world.write(self.running, change(self.generation, next, next, DOCUMENT));
            let done =
                self.world.run_until_holds(ms(6_000), |world| world.checker.acknowledged > acknowledged);
            assert!(done.is_some(), "change {next}: {:?}", self.world.checker.violation);
            self.generation = next;
        }
    }

    /// Returns the time from the last start until the member is in the chain with all committed entries.
    /// Changes continue, and the member is sent reads all the time.
    fn time_to_rejoin(&mut self, disk: Disk) -> Duration {
        let restarted = self.restarted;
        match disk {
            Disk::Empty => self.world.machines[restarted].disk.wipe(),
            Disk::Full => self.world.machines[restarted].disk.full = true,
            Disk::Unchanged | Disk::KilledRepeatedly => {}
        }
        self.world.machines[restarted].bootstrap = false;
        self.world.start_after(restarted, ms(0));
        if disk == Disk::KilledRepeatedly {
            for step in 0..40 {
                self.world.run_for(ms(10 * step));
                self.world.restart(restarted, ms(5));
            }
        }
        if disk == Disk::Full {
            self.world.run_for(ms(1_000));
            self.world.machines[restarted].disk.full = false;
        }
        let started_at = self.world.now;
        loop {
            self.commit_changes(1);
            if self.world.machines[restarted].replica.is_some() {
                self.world.submit(restarted, Operation::Read);
            }
            let newest = self.world.checker.newest();
            let has_all =
                self.world.all_in_chain() && self.world.replica(restarted).status().stored.get() >= newest;
            if has_all {
                return self.world.now - started_at;
            }
            let passed = self.world.now - started_at;
            assert!(passed < ms(15_000), "{disk:?}: {:?}", self.world.view());
        }
    }
}

/// The longest time over some seeds until a member that missed this number of changes is complete.
fn longest(missed: u64, disk: Disk) -> Duration {
    let times = (1..=4).map(|seed| {
        let mut trial = Trial::new(seed);
        trial.world.stop(trial.restarted);
        trial.commit_changes(missed);
        let time = trial.time_to_rejoin(disk);
        assert_eq!(trial.world.checker.violation, None, "{disk:?} after {missed}");
        time
    });
    times.max().unwrap_or_default()
}

#[test]
fn a_member_catches_up_soon_however_much_it_missed() {
    println!("| disk | 20 missed | 200 | 2,000 |\n|---|---|---|---|");
    for disk in DISKS {
        let times = [20, 200, 2_000].map(|missed| longest(missed, disk));
        let [few, some, many] = times.map(|time| time.as_millis());
        println!("| {disk:?} | {few} ms | {some} ms | {many} ms |");
        assert!(times.iter().all(|time| *time <= COMPLETE_WITHIN), "{disk:?}: {times:?}");
    }
}

/// The members are down in turn for hundreds of changes each, and every second disk is lost.
#[test]
fn each_member_in_turn_catches_up_with_hundreds_of_changes() {
    let mut trial = Trial::new(7);
    for turn in 0..12 {
        (trial.restarted, trial.running) = (turn % 3, (turn + 1) % 3);
        trial.world.stop(trial.restarted);
        trial.commit_changes(300);
        let time = trial.time_to_rejoin(DISKS[turn % 2]);
        assert!(time <= COMPLETE_WITHIN, "turn {turn}: {time:?}");
        trial.world.run_for(ms(4_000));
    }
    assert_eq!(trial.world.checker.violation, None);
    assert!(trial.generation > 3_600);
}
