//! The simulated platform: its backends, the reads of its list, and their faults.

use super::super::simulation::ms;
use control_protocol::{Backend, BackendState};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// The number of backends at the start, and its limits.
const INITIAL_BACKENDS: usize = 60;
const MIN_BACKENDS: usize = 40;
const MAX_BACKENDS: usize = 80;
/// The rate of changes of each kind: backends that are added, start to drain, or are removed.
const CHANGES_PER_S: f64 = 0.8;
/// The rate of faults.
const FAULTS_PER_S: f64 = 0.4;

/// A fault between a coordinator and the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformFault {
    Unreachable,
    /// Reads take up to 3 s.
    Slow,
}

/// A backend, and since when it has been draining.
pub struct SimulatedBackend {
    pub backend: Backend,
    pub drains_since: Option<Duration>,
}

/// The course of a read.
pub struct ReadPlan {
    /// When the platform takes the snapshot of the list for the response.
    pub snapshot_at: Duration,
    /// When the read ends.
    pub ends_at: Duration,
    /// Whether a part of the list is missing from the response.
    pub is_truncated: bool,
}

pub struct Platform {
    pub backends: BTreeMap<String, SimulatedBackend>,
    /// When backends that no longer exist stopped accepting requests.
    pub removed: BTreeMap<String, Duration>,
    created: u64,
    changes_stopped: bool,
    /// Until when each coordinator can't reach the platform.
    unreachable_until: BTreeMap<usize, Duration>,
    /// Until when the reads of each coordinator are slow.
    slow_until: BTreeMap<usize, Duration>,
    /// The coordinators whose next read gets only a part of the list.
    truncated_next: BTreeSet<usize>,
    random: Pcg64Mcg,
}

impl Platform {
    pub fn new(seed: u64, now: Duration) -> Self {
        let mut platform = Platform {
            backends: BTreeMap::new(),
            removed: BTreeMap::new(),
            created: 0,
            changes_stopped: false,
            unreachable_until: BTreeMap::new(),
            slow_until: BTreeMap::new(),
            truncated_next: BTreeSet::new(),
            random: Pcg64Mcg::seed_from_u64(seed ^ 0x70),
        };
        for _ in 0..INITIAL_BACKENDS {
            platform.add(now);
        }
        platform
    }

    fn add(&mut self, _now: Duration) {
        self.created += 1;
        let number = self.created;
        let host = Ipv4Addr::from(0x0a01_0000 + u32::try_from(number).expect("few backends"));
        let backend = Backend {
            instance_id: format!("i-{number}"),
            service: "pool".into(),
            address: SocketAddrV4::new(host, 8080),
            zone: format!("zone-{}", number % 3),
            generation: "v1".into(),
            slots: 8,
            state: BackendState::Ready,
            cold_remaining_ms: 0,
        };
        self.backends.insert(backend.instance_id.clone(), SimulatedBackend { backend, drains_since: None });
    }

    /// Adds backends, starts drains and removes backends at random.
    pub fn step(&mut self, now: Duration, step: Duration) {
        if self.changes_stopped {
            return;
        }
        let chance = CHANGES_PER_S * step.as_secs_f64();
        if self.backends.len() < MAX_BACKENDS && self.random.random_bool(chance) {
            self.add(now);
        }
        if self.random.random_bool(chance) {
            self.drain_one(now);
        }
        if self.backends.len() > MIN_BACKENDS && self.random.random_bool(chance) {
            self.remove_one(now);
        }
    }

    fn draw(&mut self, wanted: impl Fn(&SimulatedBackend) -> bool) -> Option<String> {
        let names: Vec<String> =
            self.backends.iter().filter(|(_, one)| wanted(one)).map(|(name, _)| name.clone()).collect();
        (!names.is_empty()).then(|| names[self.random.random_range(0..names.len())].clone())
    }

    fn drain_one(&mut self, now: Duration) {
        let Some(name) = self.draw(|one| one.drains_since.is_none()) else { return };
        self.drain(&name, now);
    }

    /// Starts to drain a backend.
    pub fn drain(&mut self, name: &str, now: Duration) {
        let one = self.backends.get_mut(name).expect("it exists");
        one.drains_since = Some(now);
        one.backend.state = BackendState::Draining;
    }

    /// Removes a random backend: usually one that is draining, sometimes any one, as if it had crashed.
    fn remove_one(&mut self, now: Duration) {
        let crashes = self.random.random_bool(0.3);
        let Some(name) = self.draw(|one| crashes || one.drains_since.is_some()) else { return };
        if let Some(one) = self.backends.remove(&name) {
            self.removed.insert(name, one.drains_since.unwrap_or(now));
        }
    }

    /// Stops changes of the backends.
    pub fn stop_changes(&mut self) {
        self.changes_stopped = true;
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.unreachable_until.clear();
        self.slow_until.clear();
        self.truncated_next.clear();
    }

    pub fn is_reachable(&self, machine: usize, now: Duration) -> bool {
        self.unreachable_until.get(&machine).is_none_or(|until| now >= *until)
    }

    pub fn is_slow(&self, machine: usize, now: Duration) -> bool {
        self.slow_until.get(&machine).is_some_and(|until| now < *until)
    }

    pub fn start_fault(&mut self, machine: usize, fault: PlatformFault, until: Duration) {
        match fault {
            PlatformFault::Unreachable => self.unreachable_until.insert(machine, until),
            PlatformFault::Slow => self.slow_until.insert(machine, until),
        };
    }

    /// At random, starts a fault between the platform and one or all of the coordinators, or ends all faults.
    pub fn inject_fault(&mut self, machines: usize, now: Duration, step: Duration) {
        if !self.random.random_bool(FAULTS_PER_S * step.as_secs_f64()) {
            return;
        }
        let machine = self.random.random_range(0..machines);
        let until = now + ms(self.random.random_range(500..15_000));
        match self.random.random_range(0..6) {
            0 | 1 => self.start_fault(machine, PlatformFault::Unreachable, until),
            2 => (0..machines)
                .for_each(|machine| self.start_fault(machine, PlatformFault::Unreachable, now + ms(3_000))),
            3 => self.start_fault(machine, PlatformFault::Slow, until),
            4 => drop(self.truncated_next.insert(machine)),
            _ => self.heal(),
        }
    }

    /// Draws the course of a read that a coordinator starts now.
    pub fn plan_read(&mut self, machine: usize, now: Duration) -> ReadPlan {
        let longest = if self.is_slow(machine, now) { 3_000 } else { 150 };
        let span = ms(self.random.random_range(5..longest));
        let snapshot_at = now + span.mul_f64(self.random.random_range(0.0..1.0));
        ReadPlan { snapshot_at, ends_at: now + span, is_truncated: self.truncated_next.remove(&machine) }
    }

    /// The current list, or its first half if the response is cut short.
    pub fn list(&mut self, is_truncated: bool) -> Vec<Backend> {
        let all = self.backends.values().map(|one| one.backend.clone());
        let mut list: Vec<Backend> = all.collect();
        if is_truncated {
            list.truncate(list.len() / 2);
        }
        list
    }
}
