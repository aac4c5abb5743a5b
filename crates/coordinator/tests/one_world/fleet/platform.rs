//! The platform: which backends there are, what a read of its list sees, and what goes wrong with that.

use super::super::simulation::ms;
use control_protocol::{Backend, BackendState};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// How many backends there are at first, and between what.
const FIRST: usize = 60;
const FEWEST: usize = 40;
const MOST: usize = 80;
/// Changes a second, of each sort.
const CHANGES_PER_S: f64 = 0.8;
/// Faults a second.
const FAULTS_PER_S: f64 = 0.4;

/// What is wrong between a coordinator and the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformTrouble {
    Unreachable,
    /// Reads take seconds.
    Slow,
}

/// A backend, and when it stopped to accept requests.
pub struct SimulatedBackend {
    pub backend: Backend,
    pub drains_since: Option<Duration>,
}

/// What a read that begins now comes to.
pub struct ReadPlan {
    /// When the list is looked at.
    pub sees_at: Duration,
    /// When the read ends.
    pub ends_at: Duration,
    /// Whether a part of the list is missing from the response.
    pub is_cut_short: bool,
}

pub struct Platform {
    pub backends: BTreeMap<String, SimulatedBackend>,
    /// When backends that have gone stopped to accept requests.
    pub gone: BTreeMap<String, Duration>,
    created: u64,
    rests: bool,
    /// Until when a coordinator can't reach it.
    unreachable_until: BTreeMap<usize, Duration>,
    /// Until when reads of a coordinator take seconds.
    slow_until: BTreeMap<usize, Duration>,
    /// Coordinators whose next read misses a part of the list.
    cuts_short: BTreeSet<usize>,
    random: Pcg64Mcg,
}

impl Platform {
    pub fn new(seed: u64, now: Duration) -> Self {
        let mut platform = Platform {
            backends: BTreeMap::new(),
            gone: BTreeMap::new(),
            created: 0,
            rests: false,
            unreachable_until: BTreeMap::new(),
            slow_until: BTreeMap::new(),
            cuts_short: BTreeSet::new(),
            random: Pcg64Mcg::seed_from_u64(seed ^ 0x70),
        };
        for _ in 0..FIRST {
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

    /// Backends come, drain and go.
    pub fn step(&mut self, now: Duration, step: Duration) {
        if self.rests {
            return;
        }
        let chance = CHANGES_PER_S * step.as_secs_f64();
        if self.backends.len() < MOST && self.random.random_bool(chance) {
            self.add(now);
        }
        if self.random.random_bool(chance) {
            self.drain_one(now);
        }
        if self.backends.len() > FEWEST && self.random.random_bool(chance) {
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

    /// A backend drains from now on.
    pub fn drain(&mut self, name: &str, now: Duration) {
        let one = self.backends.get_mut(name).expect("it exists");
        one.drains_since = Some(now);
        one.backend.state = BackendState::Draining;
    }

    /// One that drains goes, or one that crashes.
    fn remove_one(&mut self, now: Duration) {
        let crashes = self.random.random_bool(0.3);
        let Some(name) = self.draw(|one| crashes || one.drains_since.is_some()) else { return };
        if let Some(one) = self.backends.remove(&name) {
            self.gone.insert(name, one.drains_since.unwrap_or(now));
        }
    }

    /// No more changes.
    pub fn rest(&mut self) {
        self.rests = true;
    }

    /// No more faults.
    pub fn heal(&mut self) {
        self.unreachable_until.clear();
        self.slow_until.clear();
        self.cuts_short.clear();
    }

    pub fn is_reachable(&self, machine: usize, now: Duration) -> bool {
        self.unreachable_until.get(&machine).is_none_or(|until| now >= *until)
    }

    pub fn is_slow(&self, machine: usize, now: Duration) -> bool {
        self.slow_until.get(&machine).is_some_and(|until| now < *until)
    }

    pub fn trouble(&mut self, machine: usize, trouble: PlatformTrouble, until: Duration) {
        match trouble {
            PlatformTrouble::Unreachable => self.unreachable_until.insert(machine, until),
            PlatformTrouble::Slow => self.slow_until.insert(machine, until),
        };
    }

    /// Perhaps something goes wrong between the platform and one of these coordinators, or all.
    pub fn inject_fault(&mut self, machines: usize, now: Duration, step: Duration) {
        if !self.random.random_bool(FAULTS_PER_S * step.as_secs_f64()) {
            return;
        }
        let machine = self.random.random_range(0..machines);
        let until = now + ms(self.random.random_range(500..15_000));
        match self.random.random_range(0..6) {
            0 | 1 => self.trouble(machine, PlatformTrouble::Unreachable, until),
            2 => (0..machines)
                .for_each(|machine| self.trouble(machine, PlatformTrouble::Unreachable, now + ms(3_000))),
            3 => self.trouble(machine, PlatformTrouble::Slow, until),
            4 => drop(self.cuts_short.insert(machine)),
            _ => self.heal(),
        }
    }

    /// What becomes of a read that a coordinator begins now.
    pub fn plan_read(&mut self, machine: usize, now: Duration) -> ReadPlan {
        let longest = if self.is_slow(machine, now) { 3_000 } else { 150 };
        let span = ms(self.random.random_range(5..longest));
        let sees_at = now + span.mul_f64(self.random.random_range(0.0..1.0));
        ReadPlan { sees_at, ends_at: now + span, is_cut_short: self.cuts_short.remove(&machine) }
    }

    /// The list as it is now; without a part where a response is cut short.
    pub fn list(&mut self, is_cut_short: bool) -> Vec<Backend> {
        let all = self.backends.values().map(|one| one.backend.clone());
        let mut list: Vec<Backend> = all.collect();
        if is_cut_short {
            list.truncate(list.len() / 2);
        }
        list
    }
}
