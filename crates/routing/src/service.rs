//! Selection of a backend for the requests to one service.

mod attempt_events;
mod load_reports;
mod selection;

use crate::affinity::{ChainBlock, Prompt};
use crate::backend::Backend;
use crate::decaying_rate::DecayingRate;
use crate::interface::*;
use crate::latency_model::LatencyModel;
use crate::prefix_cache::PrefixCacheIndex;
use crate::rejection;
use crate::urgency::Urgency;
use join_up_to::join::Traffic;
use policy::Routing as RoutingPolicy;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use std::time::Duration;

/// The time within which a node that has just started receives a list of backends.
const BACKEND_LIST_DELAY: Duration = Duration::from_millis(800);

/// One node's state for one service: what it knows of the backends, and the selection among them.
pub struct Service {
    pub(crate) engine: Option<EngineSettings>,
    /// The number of frontend nodes that share the backends.
    nodes: u32,
    policy: RoutingPolicy,
    /// The listed backends, ordered by id.
    pub(crate) backends: Vec<Backend>,
    /// Positions in `backends` by id.
    pub(crate) positions: FxHashMap<BackendId, usize>,
    /// Positions in `backends` by number.
    pub(crate) numbers: FxHashMap<u32, usize>,
    /// The hashes of `backends`, contiguous so that ranking all of them is fast.
    hashes: Vec<u64>,
    /// When the last backend leaves slow start.
    slow_start_ends: Duration,
    next_number: u32,
    attempts: FxHashMap<AttemptId, InFlightAttempt>,
    last_attempt: u64,
    /// This node's traffic, from which the cap of Join-Up-To(m) follows.
    traffic: Traffic,
    latency_model: LatencyModel,
    pub(crate) prefix_cache: PrefixCacheIndex,
    /// Whether the index is audited against what backends report.
    pub(crate) audited: bool,
    /// The recent request rate of each prompt key.
    key_rates: FxHashMap<u64, DecayingRate>,
    /// The recent rate of tokens to prefill in this node's attempts.
    prefill_tokens: DecayingRate,
    /// Decayed sum of this node's attempts in flight at the backends that reported a load, at those times.
    own_in_flight: f64,
    /// Decayed sum of the requests of all nodes in those reports.
    total_in_flight: f64,
    mean_prefill_tokens: f64,
    urgency: Urgency,
    /// Whether any response had a load.
    reports_load: bool,
    /// When a load report was last requested of any backend.
    last_report_at: Option<Duration>,
    random: Pcg64Mcg,
}

struct InFlightAttempt {
    backend: BackendId,
    sent_at: Duration,
    /// Whether the attempt is the trial of an ejected backend.
    is_trial: bool,
    /// Whether bytes of the response's body have arrived.
    has_started: bool,
    /// The load in the head of the response, and when that arrived.
    reported_load: Option<(Load, Duration)>,
    /// The prompt's blocks until they are known to be prefilled. Empty where the index is not audited.
    chain: Vec<ChainBlock>,
}

impl Service {
    /// A service without backends and with the default policy. `engine` is `None` where the service serves no
    /// language model, `nodes` is the number of frontend nodes that share its backends.
    pub fn new(engine: Option<EngineSettings>, nodes: u32, seed: u64) -> Self {
        Service::with_policy(engine, nodes, seed, RoutingPolicy::default())
    }

    /// As [`Service::new`], with a policy.
    pub fn with_policy(engine: Option<EngineSettings>, nodes: u32, seed: u64, policy: RoutingPolicy) -> Self {
        Service {
            engine,
            nodes: nodes.max(1),
            policy,
            backends: Vec::new(),
            positions: FxHashMap::default(),
            numbers: FxHashMap::default(),
            hashes: Vec::new(),
            slow_start_ends: Duration::ZERO,
            next_number: 0,
            attempts: FxHashMap::default(),
            last_attempt: 0,
            traffic: Traffic::default(),
            latency_model: LatencyModel::default(),
            prefix_cache: PrefixCacheIndex::default(),
            audited: false,
            key_rates: FxHashMap::default(),
            prefill_tokens: DecayingRate::default(),
            own_in_flight: 0.0,
            total_in_flight: 0.0,
            mean_prefill_tokens: 0.0,
            urgency: Urgency::default(),
            reports_load: false,
            last_report_at: None,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Changes the settings that [`Service::new`] was called with.
    pub fn reconfigure(&mut self, engine: Option<EngineSettings>, nodes: u32) {
        self.engine = engine;
        self.nodes = nodes.max(1);
    }

    /// Replaces the backends that accept new requests. The state of those that remain listed is retained.
    pub fn replace_backends(&mut self, now: Duration, mut entries: Vec<BackendEntry>) {
        entries.sort_by(|one, other| one.id.cmp(&other.id));
        entries.dedup_by(|one, other| one.id == other.id);
        let mut previous: FxHashMap<BackendId, Backend> = FxHashMap::default();
        previous.extend(self.backends.drain(..).map(|backend| (backend.entry.id.clone(), backend)));
        for entry in entries {
            let backend = match previous.remove(&entry.id) {
                Some(backend) => Backend { entry, ..backend },
                None => {
                    self.next_number += 1;
                    Backend::new(entry, self.next_number, now)
                }
            };
            self.backends.push(backend);
        }
        previous.values().for_each(|removed| self.prefix_cache.remove_backend(removed.number));
        let all = || self.backends.iter().enumerate();
        self.positions = all().map(|(position, backend)| (backend.entry.id.clone(), position)).collect();
        self.numbers = all().map(|(position, backend)| (backend.number, position)).collect();
        self.hashes = all().map(|(_, backend)| backend.hash).collect();
        self.slow_start_ends = all().map(|(_, backend)| backend.slow_start_ends).max().unwrap_or_default();
        self.readmit_beyond_half();
    }

    // ---- The decision -----------------------------------------------------------------------

    /// Selects a backend for a request, or rejects it. `attempted` are the backends that it was sent to
    /// before; it is not sent to them again.
    pub fn decide(&mut self, now: Duration, request: &RequestShape, attempted: &[BackendId]) -> Decision {
        let urgency = self.urgency.of(request, &self.policy);
        let prompt = Prompt::of(request);
        let considered = self.considered(now, &prompt);
        let mut with_capacity = self.with_capacity(now, considered, attempted);
        if with_capacity.is_empty() {
            with_capacity = self.with_capacity(now, (0..self.backends.len()).collect(), attempted);
        }
        if with_capacity.is_empty() {
            // A node without backends has just started. Most clients retry only once, so they are to return
            // only after the list of backends is due.
            let wait = if self.backends.is_empty() {
                request.latency_target.max(BACKEND_LIST_DELAY)
            } else {
                request.latency_target
            };
            let retry_after = rejection::retry_after(wait, &mut self.random);
            log::debug!("request rejected: none of {} backends has capacity", self.backends.len());
            return Decision::Reject { retry_after };
        }
        let service_estimate = self.estimate_service(now, request);
        let candidates = self.candidates(&service_estimate, &prompt, &with_capacity);
        if candidates.iter().all(|candidate| candidate.misses_deadline(request.deadline)) {
            let retry_after = rejection::retry_after(request.latency_target, &mut self.random);
            log::debug!(
                "request rejected: no backend is expected to respond by the deadline in {:?}",
                request.deadline
            );
            return Decision::Reject { retry_after };
        }
        let position = self
            .trial(&prompt, &with_capacity)
            .unwrap_or_else(|| self.pick(now, &candidates, &with_capacity));
        let uncached_tokens =
            candidates.iter().find(|c| c.position == position).map_or(prompt.tokens, |c| c.uncached_tokens);
        let (attempt, backend) = self.start_attempt(&service_estimate, &prompt, position, uncached_tokens);
        Decision::Forward { attempt, backend, urgency }
    }

    /// The eligible backends that are not known to be full.
    fn with_capacity(&self, now: Duration, among: Vec<usize>, attempted: &[BackendId]) -> Vec<usize> {
        let mut eligible = self.eligible(now, among, attempted);
        eligible.retain(|position| !rejection::is_full(&self.backends[*position], now));
        eligible
    }

    // ---- For logs and metrics ---------------------------------------------------------------

    /// The cap m of Join-Up-To(m) for this node's present traffic, per slot of its share of a backend's
    /// slots.
    pub fn cap(&self) -> u32 {
        self.traffic.cap()
    }

    /// The Join-Up-To(m) estimate of a backend: this node's attempts there since the backend was last known
    /// to be idle. `None` for a backend that is not listed.
    pub fn estimate(&self, backend: &BackendId) -> Option<u32> {
        self.positions.get(backend).map(|&position| self.backends[position].estimate.value())
    }

    /// The backends that are ejected, including those on trial.
    pub fn ejected(&self) -> impl Iterator<Item = &BackendId> {
        self.backends.iter().filter(|backend| backend.health.is_ejected()).map(|backend| &backend.entry.id)
    }
}
