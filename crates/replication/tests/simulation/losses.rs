//! Measures how long no change is acknowledged after a failure.

use super::operators::change;
use super::{World, ms};
use rand::Rng;
use replication::{Fault, Input};
use std::time::Duration;

/// A failure in a group of three machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    HeadKilled,
    MiddleKilled,
    TailKilled,
    HeadRestarted,
    HeadFrozen,
    TailFrozen,
    HeadCutOff,
    TailCutOff,
    HeadNotHeard,
    HeadHearsNobody,
    TailNotHeard,
    TailHearsNobody,
    HeadAndMiddlePartitioned,
    MiddleNotHeardByHead,
    HeadDiskStalls,
    TailDiskStalls,
    HeadDiskFull,
    TailDiskFull,
    HeadDiskLost,
    HeadShutDown,
    HeadReplaced,
    AllKilled,
}

impl Failure {
    fn affects_middle(self) -> bool {
        matches!(
            self,
            Failure::MiddleKilled | Failure::HeadAndMiddlePartitioned | Failure::MiddleNotHeardByHead
        )
    }

    pub const ALL: [Failure; 22] = [
        Failure::HeadKilled,
        Failure::MiddleKilled,
        Failure::TailKilled,
        Failure::HeadRestarted,
        Failure::HeadFrozen,
        Failure::TailFrozen,
        Failure::HeadCutOff,
        Failure::TailCutOff,
        Failure::HeadNotHeard,
        Failure::HeadHearsNobody,
        Failure::TailNotHeard,
        Failure::TailHearsNobody,
        Failure::HeadAndMiddlePartitioned,
        Failure::MiddleNotHeardByHead,
        Failure::HeadDiskStalls,
        Failure::TailDiskStalls,
        Failure::HeadDiskFull,
        Failure::TailDiskFull,
        Failure::HeadDiskLost,
        Failure::HeadShutDown,
        Failure::HeadReplaced,
        Failure::AllKilled,
    ];
}

/// How long the failure lasts.
const DOWNTIME: Duration = Duration::from_secs(5);

struct Trial {
    world: World,
    /// The machines of the head, the middle member and the tail.
    chain: Vec<usize>,
    /// The machine that changes are submitted to.
    sender: usize,
    next_generation: u64,
    last_acknowledged_at: Duration,
    longest: Duration,
}

/// The longest time without an acknowledged change, from the failure until some seconds after recovery; an
/// error if an invariant is violated.
pub fn longest_outage(seed: u64, failure: Failure, fault: Option<Fault>) -> Result<Duration, String> {
    let mut world = World::new(seed, 3, 1);
    world.fault = fault;
    // The operator does not try other machines, so that only the replicas' own recovery is measured.
    world.operators.retry_after = Duration::from_secs(4);
    let up = world.run_until_holds(ms(4_000), World::all_in_chain);
    up.ok_or("the machines do not form a chain")?;
    let ids = world.view().expect("there is a view").chain;
    let chain: Vec<usize> = ids.into_iter().filter_map(|id| world.machine_of(id)).collect();
    let sender = if failure.affects_middle() { chain[0] } else { chain[1] };
    let now = world.now;
    let mut trial = Trial {
        world,
        chain,
        sender,
        next_generation: 1,
        last_acknowledged_at: now,
        longest: Duration::ZERO,
    };
    let before = ms(1_000 + trial.world.random.random_range(0..300));
    trial.run(before);
    trial.longest = Duration::ZERO;
    trial.last_acknowledged_at = trial.world.now;
    let affected = trial.inject(failure);
    trial.run(DOWNTIME);
    trial.recover(failure, affected);
    trial.run(ms(4_000));
    if trial.world.checker.violation.is_none() && !trial.world.all_in_chain() {
        return Err("not all machines are in the chain at the end".into());
    }
    trial.world.checker.violation.map_or(Ok(trial.longest), Err)
}

impl Trial {
    /// Keeps one change in flight at a machine that the failure does not affect.
    fn run(&mut self, span: Duration) {
        let end = self.world.now + span;
        while self.world.now < end && self.world.checker.violation.is_none() {
            let acknowledged = self.world.checker.acknowledged;
            let sender_down = self.world.machines[self.sender].replica.is_none();
            if sender_down {
                self.world.operators.pending.clear();
            }
            if self.world.operators.pending.is_empty() {
                self.send();
            }
            self.world.run_until(self.world.now + ms(1));
            if self.world.checker.acknowledged > acknowledged {
                self.last_acknowledged_at = self.world.now;
                self.next_generation += 1;
            }
            self.longest = self.longest.max(self.world.now - self.last_acknowledged_at);
        }
    }

    fn send(&mut self) {
        let running = self.world.running();
        let Some(machine) = Some(self.sender).filter(|sender| running.contains(sender)) else { return };
        let base = self.next_generation - 1;
        self.world.write(machine, change(base, base + 1, self.next_generation, 100));
    }

    /// Injects a failure; returns the affected machine.
    fn inject(&mut self, failure: Failure) -> usize {
        let (head, middle, tail) = (self.chain[0], self.chain[1], self.chain[2]);
        let world = &mut self.world;
        match failure {
            Failure::HeadKilled => world.stop(head),
            Failure::MiddleKilled => world.stop(middle),
            Failure::TailKilled => world.stop(tail),
            Failure::HeadRestarted => world.restart(head, ms(200)),
            Failure::HeadFrozen => world.freeze(head, DOWNTIME),
            Failure::TailFrozen => world.freeze(tail, DOWNTIME),
            Failure::HeadCutOff => world.cut_off(head),
            Failure::TailCutOff => world.cut_off(tail),
            Failure::HeadNotHeard => [middle, tail].iter().for_each(|other| world.cut(head, *other)),
            Failure::HeadHearsNobody => [middle, tail].iter().for_each(|other| world.cut(*other, head)),
            Failure::TailNotHeard => [head, middle].iter().for_each(|other| world.cut(tail, *other)),
            Failure::TailHearsNobody => [head, middle].iter().for_each(|other| world.cut(*other, tail)),
            Failure::HeadAndMiddlePartitioned => {
                world.cut(head, middle);
                world.cut(middle, head);
            }
            Failure::MiddleNotHeardByHead => world.cut(middle, head),
            Failure::HeadDiskStalls => world.machines[head].disk.stalled_until = world.now + DOWNTIME,
            Failure::TailDiskStalls => world.machines[tail].disk.stalled_until = world.now + DOWNTIME,
            Failure::HeadDiskFull => world.machines[head].disk.full = true,
            Failure::TailDiskFull => world.machines[tail].disk.full = true,
            Failure::HeadDiskLost => world.restart_wiped(head, ms(500)),
            Failure::HeadShutDown => {
                world.deliver_input(head, Input::Shutdown);
                self.run(ms(300));
                self.world.stop(head);
            }
            Failure::HeadReplaced => {
                let new = world.add_machine(false);
                self.chain.push(new);
                self.run(ms(1_500));
                self.world.deliver_input(head, Input::Shutdown);
                self.run(ms(300));
                self.world.remove(head);
            }
            Failure::AllKilled => {
                [head, middle, tail].iter().for_each(|machine| world.restart(*machine, ms(300)))
            }
        }
        match failure {
            Failure::MiddleKilled => middle,
            Failure::TailKilled => tail,
            _ => head,
        }
    }

    fn recover(&mut self, failure: Failure, machine: usize) {
        self.world.cuts.clear();
        for machine in &mut self.world.machines {
            machine.disk.full = false;
        }
        if failure != Failure::HeadReplaced && self.world.machines[machine].replica.is_none() {
            self.world.start_after(machine, ms(0));
        }
    }
}
