//! Random schedules of failures, and the checks once they are over.

use super::operators::{Operation, change};
use super::{World, ms};
use rand::Rng;
use replication::Input;
use std::net::SocketAddrV4;
use std::time::Duration;

/// How long after its last failure a machine still counts as lost.
const CATCH_UP: Duration = Duration::from_secs(4);

/// Within this time after the last failure has ended, a change must be acknowledged and all machines must be
/// in the chain.
const RECOVERY_LIMIT: Duration = Duration::from_millis(3_500);

/// The same if more machines were lost at once than is tolerated.
const OVERLAP_RECOVERY_LIMIT: Duration = Duration::from_millis(12_000);

/// The simulated time of one step.
pub const STEP: Duration = Duration::from_millis(20);

/// The scheduled end of a failure.
enum ScheduledEnd {
    Cut(Vec<(SocketAddrV4, SocketAddrV4)>),
    Full(usize),
    Stop(usize),
    Remove(usize),
}

pub struct Schedule {
    pub world: World,
    scheduled_ends: Vec<(Duration, ScheduledEnd)>,
    next_failure_at: Duration,
    next_operation_at: Duration,
    /// When the last failure so far ends.
    failures_end_at: Duration,
    /// Whether short failures follow each other closely, so that view changes overlap.
    pub frequent_failures: bool,
    /// Whether disks are also lost while other machines are down. Between two moments at which all machines
    /// are in the chain, no more disks are lost than is tolerated.
    pub overlaps: bool,
    disks_lost: usize,
    /// The longest pause between two of the frequent failures, in ms.
    longest_pause_ms: u64,
    /// The failures so far, for the report of a violation.
    pub event_log: Vec<String>,
}

/// A world whose size, network and disks are drawn from the seed.
pub fn draw_world(seed: u64) -> World {
    let (count, tolerated) = match seed % 10 {
        0 => (5, 2),
        1 => (4, 1),
        2 => (1, 0),
        _ => (3, 1),
    };
    let mut world = World::new(seed, count, tolerated);
    world.sync_time = [ms(1), ms(2), ms(5), ms(20)][world.random.random_range(0..4)];
    for machine in &mut world.machines {
        machine.disk.sync_time = world.sync_time;
    }
    match world.random.random_range(0..4) {
        0 => world.lost_per_mille = 10,
        1 => (world.lost_per_mille, world.duplicated_per_mille, world.delayed_per_mille) = (5, 10, 10),
        _ => {}
    }
    world
}

/// A world with an unreliable network, slow disks and frequent short failures.
pub fn draw_frequent_failures(seed: u64) -> Schedule {
    let (count, tolerated) = if seed.is_multiple_of(4) { (5, 2) } else { (3, 1) };
    let mut world = World::new(seed, count, tolerated);
    world.sync_time = [ms(2), ms(10), ms(40)][world.random.random_range(0..3)];
    for machine in &mut world.machines {
        machine.disk.sync_time = world.sync_time;
    }
    let longest_pause_ms = if seed % 3 == 1 {
        (world.lost_per_mille, world.duplicated_per_mille, world.delayed_per_mille) = (300, 50, 250);
        1_000
    } else {
        (world.lost_per_mille, world.duplicated_per_mille, world.delayed_per_mille) = (100, 50, 150);
        300
    };
    Schedule { frequent_failures: true, longest_pause_ms, ..Schedule::new(world) }
}

/// A world in which failures overlap. For every third seed, only a short history of changes is kept.
pub fn draw_overlaps(seed: u64) -> Schedule {
    let mut world = draw_world(seed);
    if seed.is_multiple_of(3) {
        world.history_length = 4;
    }
    Schedule { overlaps: true, ..Schedule::new(world) }
}

impl Schedule {
    pub fn new(world: World) -> Self {
        let now = world.now;
        Schedule {
            world,
            scheduled_ends: Vec::new(),
            next_failure_at: now + ms(1_500),
            next_operation_at: now,
            failures_end_at: now,
            frequent_failures: false,
            overlaps: false,
            disks_lost: 0,
            longest_pause_ms: 300,
            event_log: Vec::new(),
        }
    }

    /// Runs for `span` with failures, then ends them all and checks the state after recovery.
    pub fn run(&mut self, span: Duration) {
        let end = self.world.now + span;
        while self.world.now < end && self.world.checker.violation.is_none() {
            self.step(true);
        }
        self.recover_and_check();
    }

    /// Runs for [`STEP`], with or without new failures.
    pub fn step(&mut self, with_failures: bool) {
        self.world.run_until(self.world.now + STEP);
        self.end_expired_failures();
        if self.disks_lost > 0 && self.none_counts_as_lost() && self.world.all_in_chain() {
            self.disks_lost = 0;
        }
        let now = self.world.now;
        if now >= self.next_operation_at {
            self.submit_random_operation();
            let pause = self.world.random.random_range(20..300);
            self.next_operation_at = now + ms(pause);
        }
        if with_failures && now >= self.next_failure_at {
            self.inject_random_failure();
            let longest = if self.frequent_failures {
                self.longest_pause_ms
            } else if self.world.random.random_range(0..5) == 0 {
                7_000
            } else {
                1_500
            };
            let pause = self.world.random.random_range(longest / 10..longest);
            self.next_failure_at = now + ms(pause);
        }
    }

    fn submit_random_operation(&mut self) {
        let running = self.world.running();
        if running.is_empty() || self.world.operators.pending.len() >= 8 {
            return;
        }
        let count = if self.world.random.random_range(0..4) == 0 { 2 } else { 1 };
        for _ in 0..count {
            let machine = running[self.world.random.random_range(0..running.len())];
            if self.world.random.random_range(0..5) < 3 {
                let world = &mut self.world;
                let change = world.operators.draw_change(&mut world.random);
                self.world.submit(machine, Operation::Write(change));
            } else if self.overlaps && self.world.random.random() {
                self.world.submit(machine, Operation::ReadIndex);
            } else {
                self.world.submit(machine, Operation::Read);
            }
        }
    }

    fn log_event(&mut self, text: String) {
        if self.world.prints_views {
            println!("{:?} {text}", self.world.now);
        }
        self.event_log.push(format!("{:?} {text}", self.world.now));
    }

    fn extend_failures_until(&mut self, end: Duration) {
        self.failures_end_at = self.failures_end_at.max(end);
    }

    fn end_after(&mut self, span: Duration, end_event: ScheduledEnd) {
        let end = self.world.now + span;
        self.extend_failures_until(end);
        self.scheduled_ends.push((end, end_event));
    }

    fn end_expired_failures(&mut self) {
        let now = self.world.now;
        let (over, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.scheduled_ends).into_iter().partition(|(at, _)| *at <= now);
        self.scheduled_ends = rest;
        for (_, end_event) in over {
            match end_event {
                ScheduledEnd::Cut(_) => self.restore_links(),
                ScheduledEnd::Full(machine) => self.world.machines[machine].disk.full = false,
                ScheduledEnd::Stop(machine) => self.world.restart(machine, ms(300)),
                ScheduledEnd::Remove(machine) => self.world.remove(machine),
            }
        }
    }

    /// Restores all links except those whose failure has not ended.
    fn restore_links(&mut self) {
        self.world.cuts.clear();
        for (_, end_event) in &self.scheduled_ends {
            if let ScheduledEnd::Cut(pairs) = end_event {
                self.world.cuts.extend(pairs);
            }
        }
    }

    fn cut(&mut self, pairs: Vec<(usize, usize)>, span: Duration) {
        let address = |machine: usize| self.world.machines[machine].address;
        let pairs: Vec<_> = pairs.into_iter().map(|(from, to)| (address(from), address(to))).collect();
        self.world.cuts.extend(&pairs);
        self.end_after(span, ScheduledEnd::Cut(pairs));
    }

    fn present_machines(&self) -> Vec<usize> {
        (0..self.world.machines.len()).filter(|machine| !self.world.machines[*machine].removed).collect()
    }

    /// Whether all machines run and the last failure ended long enough ago.
    fn none_counts_as_lost(&self) -> bool {
        self.world.now >= self.failures_end_at + CATCH_UP
            && self.world.running().len() == self.present_machines().len()
    }

    /// Injects a kill, a freeze or a cut of links that ends soon.
    fn inject_short_failure(&mut self) {
        let present_machines = self.present_machines();
        let machine = present_machines[self.world.random.random_range(0..present_machines.len())];
        let span = ms(self.world.random.random_range(1..700));
        match self.world.random.random_range(0..5) {
            0 => self.kill(machine, span / 10),
            1 => {
                let some =
                    present_machines.into_iter().filter(|_| self.world.random.random()).collect::<Vec<_>>();
                some.into_iter().for_each(|machine| self.kill(machine, span / 10));
            }
            2 => self.kill(machine, span),
            3 => {
                self.world.freeze(machine, span);
                self.extend_failures_until(self.world.now + span);
            }
            _ => {
                let others = present_machines.iter().copied().filter(|other| *other != machine);
                let both = |other: usize| [(machine, other), (other, machine)];
                let pairs = others.flat_map(both).filter(|_| self.world.random.random()).collect();
                self.cut(pairs, span);
            }
        }
    }

    fn inject_random_failure(&mut self) {
        if self.frequent_failures {
            return self.inject_short_failure();
        }
        if self.overlaps
            && self.disks_lost < self.world.tolerated
            && self.world.random.random_range(0..4) == 0
        {
            return self.lose_one_disk();
        }
        if self.none_counts_as_lost() && self.disks_lost == 0 {
            self.check_all_in_chain();
            if self.world.random.random_range(0..3) > 0 {
                return self.lose_disks();
            }
        }
        let present_machines = self.present_machines();
        let machine = present_machines[self.world.random.random_range(0..present_machines.len())];
        let other = present_machines[self.world.random.random_range(0..present_machines.len())];
        let span = ms(self.world.random.random_range(50..4_000));
        let others: Vec<usize> = present_machines.iter().copied().filter(|other| *other != machine).collect();
        match self.world.random.random_range(0..14) {
            0..3 => {
                self.log_event(format!("kill {machine} for {span:?}"));
                self.kill(machine, span / 2);
            }
            3 => {
                self.log_event(format!("kill all for {span:?}"));
                present_machines.iter().for_each(|machine| self.kill(*machine, span / 4));
            }
            4 | 5 => {
                self.log_event(format!("freeze {machine} for {span:?}"));
                self.world.freeze(machine, span);
                self.extend_failures_until(self.world.now + span);
            }
            6 => {
                self.log_event(format!("cut {machine} to {other} for {span:?}"));
                self.cut(vec![(machine, other)], span);
            }
            7 => {
                self.log_event(format!("cut between {machine} and {other} for {span:?}"));
                self.cut(vec![(machine, other), (other, machine)], span);
            }
            8 => {
                self.log_event(format!("cut off {machine} for {span:?}"));
                let both = |other: &usize| [(machine, *other), (*other, machine)];
                self.cut(others.iter().flat_map(both).collect(), span);
            }
            9 => {
                self.log_event(format!("{machine} is not heard for {span:?}"));
                self.cut(others.iter().map(|other| (machine, *other)).collect(), span);
            }
            10 => {
                self.log_event(format!("{machine} hears nobody for {span:?}"));
                self.cut(others.iter().map(|other| (*other, machine)).collect(), span);
            }
            11 => {
                self.log_event(format!("disk of {machine} stalls for {span:?}"));
                self.world.machines[machine].disk.stalled_until = self.world.now + span;
                self.extend_failures_until(self.world.now + span + ms(100));
            }
            12 => {
                self.log_event(format!("disk of {machine} is full for {span:?}"));
                self.world.machines[machine].disk.full = true;
                self.end_after(span, ScheduledEnd::Full(machine));
            }
            _ => {
                self.log_event(format!("{machine} shuts down"));
                self.world.deliver_input(machine, Input::Shutdown);
                self.end_after(span / 4, ScheduledEnd::Stop(machine));
                self.extend_failures_until(self.world.now + span / 4 + ms(300));
            }
        }
    }

    fn kill(&mut self, machine: usize, down: Duration) {
        self.world.restart(machine, down);
        self.extend_failures_until(self.world.now + down);
    }

    /// Loses as many disks as is tolerated at the same time, perhaps while all other machines lose power; or
    /// replaces a machine.
    fn lose_disks(&mut self) {
        let mut present_machines = self.present_machines();
        if self.world.tolerated == 0 {
            return;
        }
        let down = ms(self.world.random.random_range(50..1_000));
        if self.world.random.random_range(0..3) == 0 {
            return self.replace();
        }
        let power = self.world.random.random_range(0..2) == 0;
        self.disks_lost = self.world.tolerated;
        for _ in 0..self.world.tolerated {
            let machine =
                present_machines.swap_remove(self.world.random.random_range(0..present_machines.len()));
            self.log_event(format!("{machine} loses its disk"));
            self.world.restart_wiped(machine, down);
        }
        if power {
            self.log_event("all others lose power".into());
            present_machines.iter().for_each(|machine| self.kill(*machine, down));
        }
        self.extend_failures_until(self.world.now + down);
    }

    /// Loses one disk, whatever else is down, perhaps while all other machines lose power.
    fn lose_one_disk(&mut self) {
        let present_machines = self.present_machines();
        let machine = present_machines[self.world.random.random_range(0..present_machines.len())];
        let down = ms(self.world.random.random_range(50..1_000));
        self.disks_lost += 1;
        self.log_event(format!("{machine} loses its disk, whatever else is away"));
        self.world.restart_wiped(machine, down);
        if self.world.random.random_range(0..3) == 0 {
            self.log_event("all others lose power".into());
            present_machines
                .iter()
                .filter(|other| **other != machine)
                .for_each(|other| self.kill(*other, down));
        }
        self.extend_failures_until(self.world.now + down);
    }

    /// Replaces a machine by one at a new address. The old one may shut down first.
    fn replace(&mut self) {
        let present_machines = self.present_machines();
        let old = present_machines[self.world.random.random_range(0..present_machines.len())];
        let new = self.world.add_machine(false);
        let span = ms(self.world.random.random_range(0..3_000));
        self.disks_lost = self.world.tolerated;
        self.log_event(format!("{new} replaces {old} after {span:?}"));
        if self.world.random.random() {
            self.world.deliver_input(old, Input::Shutdown);
        }
        // The seeds are addresses of present machines.
        let seeds = present_machines.iter().filter(|machine| **machine != old).chain([&new]);
        self.world.seeds = seeds.take(3).map(|machine| self.world.machines[*machine].address).collect();
        self.end_after(span, ScheduledEnd::Remove(old));
    }

    fn check_all_in_chain(&mut self) {
        if !self.world.all_in_chain() {
            let text = format!(
                "not all machines are in the chain, last failure ended at {:?}",
                self.failures_end_at
            );
            self.world.checker.violation.get_or_insert(text);
        }
    }

    /// Whether all failures have ended. From then on the network is reliable.
    pub fn are_failures_over(&mut self) -> bool {
        let are_failures_over = self.world.now >= self.failures_end_at;
        if are_failures_over {
            (self.world.lost_per_mille, self.world.duplicated_per_mille, self.world.delayed_per_mille) =
                (0, 0, 0);
        }
        are_failures_over
    }

    /// Lets all failures end. Then all machines must be in the chain again, a change must be acknowledged,
    /// and every machine must read it.
    fn recover_and_check(&mut self) {
        self.log_event("heal".into());
        while !self.are_failures_over() && self.world.checker.violation.is_none() {
            self.step(false);
        }
        let acknowledged = self.world.checker.acknowledged;
        let end = self.world.now + if self.overlaps { OVERLAP_RECOVERY_LIMIT } else { RECOVERY_LIMIT };
        while self.world.now < end && self.world.checker.violation.is_none() {
            self.step(false);
        }
        if self.world.checker.acknowledged == acknowledged {
            self.world
                .checker
                .violation
                .get_or_insert("no change was acknowledged after all failures had ended".into());
        }
        self.check_all_in_chain();
        self.check_final_reads();
    }

    /// Submits a last change, then reads at all machines, which must return it.
    fn check_final_reads(&mut self) {
        self.world.run_for(ms(500));
        let generation = self.world.checker.generation();
        let running = self.world.running();
        let request = self.world.write(running[0], change(generation, generation + 1, u64::MAX, 10));
        let is_pending = |world: &World| world.operators.pending.contains_key(&request);
        if self.world.run_until_holds(ms(900), |world| !is_pending(world)).is_none() {
            self.world.checker.violation.get_or_insert("no response to the last change".into());
        }
        let newest = self.world.checker.newest();
        for machine in running {
            let request = self.world.submit(machine, Operation::Read);
            let is_pending = |world: &World| world.operators.pending.contains_key(&request);
            if self.world.run_until_holds(ms(900), |world| !is_pending(world)).is_none() {
                self.world
                    .checker
                    .violation
                    .get_or_insert(format!("no response to the last read at {machine}"));
            }
            let knows = |world: &World| world.replica(machine).status().committed.get() >= newest;
            if self.world.run_until_holds(ms(300), knows).is_none() {
                let text = format!("machine {machine} does not learn that entry {newest} is committed");
                self.world.checker.violation.get_or_insert(text);
            }
        }
    }
}
