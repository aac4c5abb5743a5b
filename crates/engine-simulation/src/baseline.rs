//! Simple selection policies, as baselines for the package `routing`.

use join_up_to::join::{self, Estimate, ServerActivity, Traffic};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use routing::{AttemptId, BackendEntry, BackendId, Decision, EngineSettings, Load, RequestShape};
use rustc_hash::FxHashMap;
use std::time::Duration;

/// The urgency of all requests.
const URGENCY: u8 = 5;
/// The retry-after time if no backend is left.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// A simple selection policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselinePolicy {
    /// A random backend.
    Random,
    /// A backend with the fewest attempts of this node in flight.
    LeastOutstanding,
    /// A backend by the Join-Up-To(m) algorithm, whose estimates come from load reports.
    JoinUpTo,
    /// The backend that rendezvous hashing of the last shared block selects.
    Affinity,
    /// The backend that would complete the prefill first. This requires the present state of all backends,
    /// which no node knows: the simulation selects the backend instead of the selector.
    Omniscient,
}

struct KnownBackend {
    id: BackendId,
    estimate: Estimate,
    outstanding: u32,
}

/// Selects backends by a [`BaselinePolicy`] at one node.
pub struct BaselineSelector {
    policy: BaselinePolicy,
    backends: Vec<KnownBackend>,
    attempts: FxHashMap<AttemptId, BackendId>,
    last_attempt: AttemptId,
    traffic: Traffic,
    /// A node's share of the slots of a backend.
    slots_per_node: f64,
    random: Pcg64Mcg,
}

impl BaselineSelector {
    /// A selector without backends. `engine` is `None` for plain backends; `nodes` is the number of nodes.
    pub fn new(policy: BaselinePolicy, engine: Option<EngineSettings>, nodes: u32, seed: u64) -> Self {
        BaselineSelector {
            policy,
            backends: Vec::new(),
            attempts: FxHashMap::default(),
            last_attempt: AttemptId(0),
            traffic: Traffic::default(),
            slots_per_node: engine.map_or(1.0, |engine| f64::from(engine.slots) / f64::from(nodes)),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Replaces the list of backends. The state of backends that stay on it is kept.
    pub fn replace_backends(&mut self, entries: Vec<BackendEntry>) {
        let mut known: FxHashMap<BackendId, KnownBackend> =
            std::mem::take(&mut self.backends).into_iter().map(|known| (known.id.clone(), known)).collect();
        for entry in entries {
            let backend = known.remove(&entry.id).unwrap_or_else(|| KnownBackend {
                id: entry.id,
                estimate: Estimate::default(),
                outstanding: 0,
            });
            self.backends.push(backend);
        }
    }

    /// Selects a backend that is not among `tried`, or rejects the request if there is none.
    pub fn decide(&mut self, request: &RequestShape, tried: &[BackendId]) -> Decision {
        let candidates: Vec<usize> =
            (0..self.backends.len()).filter(|index| !tried.contains(&self.backends[*index].id)).collect();
        let Some(drawn) = candidates.choose(&mut self.random).copied() else {
            return Decision::Reject { retry_after: RETRY_AFTER };
        };
        let best = self.best_candidates(request, &candidates);
        let selected = best.and_then(|best| best.choose(&mut self.random).copied()).unwrap_or(drawn);
        let backend = &mut self.backends[selected];
        backend.estimate.record_send();
        backend.outstanding += 1;
        self.traffic.record_send();
        self.last_attempt = AttemptId(self.last_attempt.0 + 1);
        self.attempts.insert(self.last_attempt, backend.id.clone());
        Decision::Forward { attempt: self.last_attempt, backend: backend.id.clone(), urgency: URGENCY }
    }

    /// The best candidates, which are equally good; `None` if the policy has no preference.
    fn best_candidates(&self, request: &RequestShape, candidates: &[usize]) -> Option<Vec<usize>> {
        match self.policy {
            BaselinePolicy::LeastOutstanding => {
                let outstanding = |index: usize| self.backends[index].outstanding;
                let lowest = candidates.iter().map(|index| outstanding(*index)).min()?;
                Some(candidates.iter().copied().filter(|index| outstanding(*index) == lowest).collect())
            }
            BaselinePolicy::JoinUpTo => {
                let estimate = |index: &usize| {
                    f64::from(self.backends[*index].estimate.value()) / self.slots_per_node.max(1.0)
                };
                join::lowest_below(candidates, estimate, self.traffic.cap())
            }
            BaselinePolicy::Affinity => self.rendezvous(request, candidates).map(|index| vec![index]),
            BaselinePolicy::Random | BaselinePolicy::Omniscient => None,
        }
    }

    /// Selects by rendezvous hashing of the last shared block, which is the last but one of a prompt. `None`
    /// for a shorter prompt.
    fn rendezvous(&self, request: &RequestShape, candidates: &[usize]) -> Option<usize> {
        let last_shared = request.blocks.len().checked_sub(2)?;
        let key = request.blocks[last_shared].id;
        candidates.iter().copied().max_by_key(|index| {
            let bytes = self.backends[*index].id.0.bytes();
            bytes.fold(key, |hash, byte| {
                let bits = (hash ^ u64::from(byte)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
                bits ^ (bits >> 29)
            })
        })
    }

    /// Handles the load that a backend reports with the response to an attempt.
    pub fn load_received(&mut self, attempt: AttemptId, load: Load) {
        let Some(id) = self.attempts.get(&attempt) else { return };
        let Some(backend) = self.backends.iter_mut().find(|known| known.id == *id) else { return };
        let is_idle = load.waiting == 0 && 2 * load.running <= load.slots;
        let activity = if is_idle { ServerActivity::Idle } else { ServerActivity::Busy };
        self.traffic.record_report(activity, backend.estimate);
        if is_idle {
            backend.estimate.record_idle();
        }
    }

    /// Handles the end of an attempt, whose response may report the backend's load.
    pub fn attempt_ended(&mut self, attempt: AttemptId, load: Option<Load>) {
        if let Some(load) = load {
            self.load_received(attempt, load);
        }
        let Some(id) = self.attempts.remove(&attempt) else { return };
        if let Some(backend) = self.backends.iter_mut().find(|known| known.id == id) {
            backend.outstanding = backend.outstanding.saturating_sub(1);
        }
        // Unused, but recorded results of simulations depend on the sequence of draws.
        let _ = self.random.random::<u32>();
    }
}
