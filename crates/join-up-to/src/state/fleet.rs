//! The servers known to a node, and the node's random number generator.

use super::server::Server;
use crate::interface::{Outcome, ServerId, ServerState};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;
use std::ops::Index;
use std::time::Duration;

/// The servers known to a node, with groups of them that are maintained incrementally so that no request has
/// to scan all servers, and the node's random number generator.
pub struct Fleet {
    servers: BTreeMap<ServerId, Server>,
    /// The ready servers in the order of their ranks: the node uses the first of them as its subset.
    pub ready: Vec<ServerId>,
    /// The ready servers that may be in slow start.
    pub warming_up: Vec<ServerId>,
    /// The servers with a recent load report.
    pub reporting: Vec<ServerId>,
    /// The number of probes in flight.
    pub probes_in_flight: usize,
    random: Pcg32,
}

impl Fleet {
    pub fn new(seed: u64) -> Self {
        Fleet {
            servers: BTreeMap::new(),
            ready: Vec::new(),
            warming_up: Vec::new(),
            reporting: Vec::new(),
            probes_in_flight: 0,
            random: Pcg32::seed_from_u64(seed),
        }
    }
    pub fn len(&self) -> usize {
        self.servers.len()
    }
    /// The number of servers that have not been removed from the list.
    pub fn listed(&self) -> usize {
        self.servers.values().filter(|server| server.entry.state != ServerState::Gone).count()
    }
    pub fn get(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id)
    }
    pub fn get_mut(&mut self, id: &ServerId) -> Option<&mut Server> {
        self.servers.get_mut(id)
    }
    /// Applies a change to a server if it is known.
    pub fn modify(&mut self, id: ServerId, change: impl FnOnce(&mut Server)) {
        self.servers.entry(id).and_modify(change);
    }
    /// Adds a server, unless it was removed from the list and has no attempt in flight.
    pub fn insert(&mut self, mut server: Server) {
        let entry = server.entry;
        let rank = Some(*server.rank.get_or_insert_with(|| self.random.next_u32()));
        if entry.state == ServerState::Ready {
            let at = self.ready.partition_point(|id| self.servers[id].rank <= rank);
            self.ready.insert(at, entry.id);
            self.warming_up.extend(entry.started.map(|_| entry.id));
        }
        if entry.state != ServerState::Gone || server.in_flight > 0 {
            self.servers.insert(entry.id, server);
        }
    }
    pub fn remove(&mut self, id: ServerId) -> Option<Server> {
        self.ready.retain(|other| *other != id);
        self.warming_up.retain(|other| *other != id);
        self.servers.remove(&id)
    }
    /// Marks all servers as gone, before those of a full list are added.
    pub fn mark_all_gone(&mut self) {
        self.servers.values_mut().for_each(|server| server.entry.state = ServerState::Gone);
        self.ready.clear();
        self.warming_up.clear();
    }
    /// Removes servers that are marked as gone and have no attempt in flight.
    pub fn remove_gone(&mut self) {
        self.servers.retain(|_, server| server.entry.state != ServerState::Gone || server.in_flight > 0);
    }
    /// Adds a server to those with a recent report.
    pub fn mark_reporting(&mut self, id: ServerId) {
        if !self.reporting.contains(&id) {
            self.reporting.push(id);
        }
    }
    /// Removes from those with a recent report the servers whose report is older than `since`.
    pub fn forget_reports_before(&mut self, since: Duration) {
        let is_recent = |server: &Server| server.load.is_some_and(|load| load.at >= since);
        self.reporting.retain(|id| self.servers.get(id).is_some_and(is_recent));
    }
    /// Records the end of an attempt. A server that is marked as gone is removed after its last one.
    pub fn record_attempt_end(&mut self, id: ServerId, outcome: Outcome, now: Duration) {
        let has_responded = matches!(outcome, Outcome::Served | Outcome::Error | Outcome::Rejected);
        self.modify(id, |server| {
            server.in_flight = server.in_flight.saturating_sub(1);
            server.no_response_since = if has_responded { now } else { server.no_response_since };
        });
        if self.servers.get(&id).is_some_and(|s| s.entry.state == ServerState::Gone && s.in_flight == 0) {
            self.remove(id);
        }
    }
    /// Records that a probe is sent.
    pub fn record_probe(&mut self, id: ServerId) {
        self.modify(id, |server| server.is_probed = true);
        self.probes_in_flight += 1;
    }
    /// Records the end of a probe. The load reported before it is discarded.
    pub fn record_probe_end(&mut self, id: ServerId) {
        self.modify(id, |server| (server.is_probed, server.load) = (false, None));
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
    }
    /// A uniformly distributed random number in `[0, 1)`.
    pub fn random(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / 2f64.powi(32)
    }
    /// Draws one of the candidates with uniform probability; `None` if there are none.
    pub fn draw_uniform(&mut self, candidates: &[ServerId]) -> Option<ServerId> {
        candidates.get((self.random() * candidates.len() as f64) as usize).copied()
    }
    /// Draws one of the candidates with probability proportional to its relative capacity; `None` if there
    /// are none.
    pub fn draw_weighted(&mut self, candidates: &[ServerId]) -> Option<ServerId> {
        let weight = |id: &ServerId| self[id].relative_capacity();
        // Each draw consumes exactly one random number, even without candidates.
        if candidates.windows(2).all(|pair| weight(&pair[0]) == weight(&pair[1])) {
            return self.draw_uniform(candidates);
        }
        let weights: Vec<_> = candidates.iter().map(weight).collect();
        let mut left = self.random() * weights.iter().sum::<f64>();
        let at = weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        candidates.get(at.unwrap_or(candidates.len() - 1)).copied()
    }
    /// Performs draw `i` of a series without replacement (Fisher-Yates shuffle), which reorders `candidates`.
    pub fn draw_without_replacement(&mut self, i: usize, candidates: &mut [ServerId]) -> ServerId {
        let other = i + (self.random() * (candidates.len() - i) as f64) as usize;
        candidates.swap(i, other);
        candidates[i]
    }
}

impl Index<&ServerId> for Fleet {
    type Output = Server;
    fn index(&self, id: &ServerId) -> &Server {
        &self.servers[id]
    }
}
