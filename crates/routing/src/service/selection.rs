//! The steps of selecting a backend: those that are considered, those whose cost is close to the lowest, and
//! the pick among these by Join-Up-To(m).

use super::{InFlightAttempt, Service};
use crate::affinity::{Prompt, Ranking, rendezvous_score};
use crate::backend::{Backend, PendingAttempt};
use crate::cost::{MAX_UTILIZATION, RATE_WINDOW_S, ServiceEstimate};
use crate::interface::*;
use join_up_to::join;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::time::Duration;

/// The most backends of a prompt's ranking that are considered.
const MAX_RANKED: usize = 8;
/// The number of backends that are drawn at random and considered as well.
const SAMPLE_SIZE: usize = 48;
/// The most backends with a cached prefix that are considered, those with the longest prefixes first.
const MAX_HOLDERS: usize = 16;
/// The number of keys with a measured rate above which those with low rates are dropped.
const MAX_KEYS: usize = 4096;
/// A key with fewer requests than this in the rate window is dropped when there are too many keys.
const MIN_KEY_REQUESTS: f64 = 0.2;
/// The weight of an even share in the estimate of this node's traffic share, in attempts in flight.
const SHARE_PRIOR: f64 = 20.0;
/// Attempts over which the mean prefill of a request is averaged.
const MEAN_PREFILL_ATTEMPTS: u64 = 16;

impl Service {
    /// The positions of the backends that are considered for a request: all if they are few; otherwise those
    /// that have cached a prefix of its prompt, the first of its ranking, and a random sample.
    pub(super) fn considered(&mut self, now: Duration, prompt: &Prompt) -> Vec<usize> {
        let count = self.backends.len();
        if count <= self.policy.full_scan_limit {
            return (0..count).collect();
        }
        let mut considered: Vec<usize> =
            (0..SAMPLE_SIZE).map(|_| self.random.random_range(0..count)).collect();
        if let Some(key) = prompt.key().filter(|_| self.engine.is_some() && self.policy.rendezvous) {
            considered.extend(self.ranking(now, key, 0..count).positions());
            let holders = self.cached_prefixes(prompt).into_iter().map(|(number, _)| number);
            considered.extend(holders.filter_map(|number| self.numbers.get(&number).copied()));
        }
        considered.sort_unstable();
        considered.dedup();
        considered
    }

    /// Of the backends in `among`, those that a request may be sent to: not attempted before, not ejected and
    /// not silent. Ejected and silent ones are eligible only if no others are left.
    pub(super) fn eligible(
        &self,
        now: Duration,
        mut among: Vec<usize>,
        attempted: &[BackendId],
    ) -> Vec<usize> {
        if !attempted.is_empty() {
            among.retain(|position| !attempted.contains(&self.backends[*position].entry.id));
        }
        self.retain_if_any(&mut among, |backend| backend.health.admits(now, backend.in_flight));
        if self.policy.stall_detection {
            self.retain_if_any(&mut among, |backend| !backend.is_silent(now, self.policy.stall_tolerance));
        }
        among
    }

    /// Retains the backends that satisfy a predicate, or all if none does.
    fn retain_if_any(&self, among: &mut Vec<usize>, is_retained: impl Fn(&Backend) -> bool) {
        if among.iter().any(|position| is_retained(&self.backends[*position])) {
            among.retain(|position| is_retained(&self.backends[*position]));
        }
    }

    pub(super) fn estimate_service(&self, now: Duration, request: &RequestShape) -> ServiceEstimate {
        let (prefill_rate, traffic_share) = (self.latency_model.prefill_rate(), self.traffic_share());
        let tokens_per_ms = self.prefill_tokens.per_s(now, RATE_WINDOW_S) / 1e3;
        let utilization = tokens_per_ms / traffic_share / prefill_rate / self.backends.len().max(1) as f64;
        ServiceEstimate {
            now,
            prefill_rate,
            base_latency_ms: self.latency_model.base_latency_ms(),
            traffic_share,
            utilization: utilization.min(MAX_UTILIZATION),
            mean_prefill_tokens: self.mean_prefill_tokens,
            prefills_prompts: self.engine.is_some(),
            latency_target_ms: (request.latency_target.as_secs_f64() * 1e3).max(1.0),
            policy: self.policy,
        }
    }

    /// This node's share of the traffic: its attempts in flight relative to the requests that backends
    /// report.
    fn traffic_share(&self) -> f64 {
        let even_share = 1.0 / f64::from(self.nodes);
        if !self.policy.traffic_share {
            return even_share;
        }
        let share = (self.own_in_flight + SHARE_PRIOR * even_share) / (self.total_in_flight + SHARE_PRIOR);
        share.clamp(even_share / 4.0, 1.0)
    }

    /// The backends for which the cost of an attempt is close to the lowest cost.
    pub(super) fn candidates(
        &self,
        service_estimate: &ServiceEstimate,
        prompt: &Prompt,
        among: &[usize],
    ) -> Vec<Candidate> {
        let (ranked, replica_count) = self.ranked(service_estimate, prompt, among);
        let cached_prefixes = self.cached_prefixes(prompt);
        let shared = prompt.shared_tokens;
        let candidate = |position: usize| {
            let backend = &self.backends[position];
            let cached_prefix = cached_prefixes.iter().find(|(number, _)| *number == backend.number);
            // A backend that should have the shared blocks is rated as if it had, so that they are prefilled
            // there.
            let is_replica = ranked[..replica_count].contains(&position);
            let cached =
                cached_prefix.map_or(0.0, |(_, tokens)| *tokens).max(if is_replica { shared } else { 0.0 });
            let uncached_tokens = (prompt.tokens - cached).max(0.0);
            let uncached_shared_tokens = (shared - cached).max(0.0);
            let cost = service_estimate.cost(backend, uncached_tokens, uncached_shared_tokens);
            let first_byte_ms = service_estimate.first_byte_ms(backend, uncached_tokens);
            Candidate {
                position,
                uncached_tokens,
                cost,
                first_byte_ms,
                has_cached_blocks: cached > 0.0 && shared > 0.0,
            }
        };
        let all: Vec<Candidate> = among.iter().copied().map(candidate).collect();
        let lowest_cost = all.iter().map(|c| c.cost).min_by(f64::total_cmp).unwrap_or_default();
        let max_cost =
            lowest_cost + service_estimate.policy.cost_tolerance * service_estimate.latency_target_ms;
        all.into_iter().filter(|candidate| candidate.cost <= max_cost).collect()
    }

    /// The ranking of backends for a prompt, and how many of the first ones should have its shared blocks
    /// cached: as many as it takes to serve the requests with these blocks.
    fn ranked(
        &self,
        service_estimate: &ServiceEstimate,
        prompt: &Prompt,
        among: &[usize],
    ) -> (Vec<usize>, usize) {
        let uses_rendezvous = self.engine.is_some() && self.policy.rendezvous;
        let Some(key) = prompt.key().filter(|_| uses_rendezvous) else { return (Vec::new(), 0) };
        let policy = &service_estimate.policy;
        let ranking = self.ranking(service_estimate.now, key, among.iter().copied());
        let requests =
            self.key_rates.get(&key).map_or(0.0, |rate| rate.per_s(service_estimate.now, RATE_WINDOW_S))
                * RATE_WINDOW_S;
        let min_rate = (requests - policy.request_count_margin * requests.sqrt()).max(0.0) / RATE_WINDOW_S;
        let own_tokens = (prompt.tokens - prompt.shared_tokens).min(self.mean_prefill_tokens);
        let utilization =
            min_rate * own_tokens / 1e3 / service_estimate.traffic_share / service_estimate.prefill_rate;
        let needed = (utilization / policy.max_block_utilization).ceil() as usize;
        let ranked: Vec<usize> = ranking.positions().collect();
        let replica_count = needed.max(policy.replicas).min(ranked.len());
        (ranked, replica_count)
    }

    /// The numbers of the backends that have cached a prefix of a prompt, by the index of this node's
    /// attempts, with the tokens of that prefix.
    fn cached_prefixes(&self, prompt: &Prompt) -> Vec<(u32, f64)> {
        if !self.policy.index {
            return Vec::new();
        }
        let full_scan_limit = self.policy.full_scan_limit;
        let max_len = if self.backends.len() <= full_scan_limit { full_scan_limit } else { MAX_HOLDERS };
        self.prefix_cache.cached_prefixes(&prompt.chain, max_len)
    }

    /// The backends in `among` with the highest rendezvous scores for a key.
    fn ranking(&self, now: Duration, key: u64, among: impl Iterator<Item = usize>) -> Ranking {
        let mut ranking = Ranking::with_max_len(MAX_RANKED);
        let slow_start_is_over = now >= self.slow_start_ends;
        for position in among {
            let weight =
                if slow_start_is_over { 1.0 } else { self.backends[position].slow_start_factor(now) };
            ranking.insert(rendezvous_score(key, self.hashes[position], weight), position);
        }
        ranking
    }

    /// An ejected backend for which this request is to be the trial. `None` for a request with a prompt: it
    /// is sent to an ejected backend only by its usual selection, so that nothing is prefilled just for a
    /// trial.
    pub(super) fn trial(&self, prompt: &Prompt, among: &[usize]) -> Option<usize> {
        if self.engine.is_some() && prompt.key().is_some() {
            return None;
        }
        among.iter().copied().find(|position| self.backends[*position].health.is_ejected())
    }

    /// Picks a backend by Join-Up-To(m): of the candidates with an estimate below m the one with the lowest,
    /// ties at random. If all candidates have reached m, the same among all backends in `all`; if these have
    /// as well, a random one of them, weighted by slow start.
    ///
    /// If a candidate has cached blocks of the prompt, only candidates are picked, at random once they have
    /// reached m. In a large fleet m is 1 or 2, so that the blocks would otherwise be prefilled by one
    /// backend after another.
    pub(super) fn pick(&mut self, now: Duration, candidates: &[Candidate], all: &[usize]) -> usize {
        let cap = self.traffic.cap();
        let estimate = |position: &usize| {
            let backend = &self.backends[*position];
            f64::from(backend.estimate.value()) / self.slot_share(backend, now)
        };
        let candidates_only =
            !self.policy.spill_over && candidates.iter().any(|candidate| candidate.has_cached_blocks);
        let candidates: Vec<usize> = candidates.iter().map(|candidate| candidate.position).collect();
        if !self.policy.estimate {
            return candidates.choose(&mut self.random).copied().unwrap_or(all[0]);
        }
        let lowest_of_all = || if candidates_only { None } else { join::lowest_below(all, estimate, cap) };
        let lowest = join::lowest_below(&candidates, estimate, cap).or_else(lowest_of_all);
        if let Some(position) = lowest.and_then(|lowest| lowest.choose(&mut self.random).copied()) {
            return position;
        }
        let all = if candidates_only { &candidates } else { all };
        let weight = |position: &usize| self.backends[*position].slow_start_factor(now);
        all.choose_weighted(&mut self.random, weight).copied().unwrap_or(all[0])
    }

    /// This node's share of the slots of a backend. Estimates are divided by it, since Join-Up-To(m) is
    /// defined for servers that run one request at a time.
    pub(super) fn slot_share(&self, backend: &Backend, now: Duration) -> f64 {
        let slots = f64::from(backend.entry.slots.max(1));
        (slots / f64::from(self.nodes)).max(1.0) * backend.slow_start_factor(now)
    }

    /// Records an attempt at the selected backend. `uncached_tokens` are those to prefill for it.
    pub(super) fn start_attempt(
        &mut self,
        service_estimate: &ServiceEstimate,
        prompt: &Prompt,
        position: usize,
        uncached_tokens: f64,
    ) -> (AttemptId, BackendId) {
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        let traffic_share = service_estimate.traffic_share;
        let weight = 1.0 / self.last_attempt.min(MEAN_PREFILL_ATTEMPTS) as f64;
        self.mean_prefill_tokens += (uncached_tokens - self.mean_prefill_tokens) * weight;
        self.traffic.record_send();
        let backend = &mut self.backends[position];
        let expected_ms = service_estimate.first_byte_ms(backend, uncached_tokens);
        let pending =
            PendingAttempt { attempt, sent_at: service_estimate.now, tokens: uncached_tokens, expected_ms };
        backend.record_attempt(service_estimate.now, pending);
        let is_trial = backend.health.record_attempt();
        let (id, number) = (backend.entry.id.clone(), backend.number);
        if let Some(engine) = self.engine {
            let cache_share = if self.audited { 1.0 } else { traffic_share };
            self.prefix_cache.record_use(
                number,
                &prompt.chain,
                engine.kv_capacity_tokens as f64 * cache_share,
            );
            self.record_key(service_estimate.now, prompt, uncached_tokens);
        }
        let chain = if self.audited { prompt.chain.clone() } else { Vec::new() };
        let in_flight = InFlightAttempt {
            backend: id.clone(),
            sent_at: service_estimate.now,
            is_trial,
            has_started: false,
            reported_load: None,
            chain,
        };
        self.attempts.insert(attempt, in_flight);
        (attempt, id)
    }

    /// Updates the rate of requests with the same shared blocks. A request counts by the part of its own
    /// block that is not cached, as the rest takes no time of the backend.
    fn record_key(&mut self, now: Duration, prompt: &Prompt, uncached_tokens: f64) {
        let Some(key) = prompt.key() else { return };
        if self.key_rates.len() >= MAX_KEYS && !self.key_rates.contains_key(&key) {
            let min_rate = MIN_KEY_REQUESTS / RATE_WINDOW_S;
            self.key_rates.retain(|_, rate| rate.per_s(now, RATE_WINDOW_S) > min_rate);
        }
        let own_tokens = (prompt.tokens - prompt.shared_tokens).max(1.0);
        let weight = (uncached_tokens / own_tokens).min(1.0);
        self.key_rates.entry(key).or_default().add(now, RATE_WINDOW_S, weight);
        self.prefill_tokens.add(now, RATE_WINDOW_S, uncached_tokens);
    }
}

/// A backend to which a request may be sent, with the estimates for an attempt there.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub position: usize,
    /// Tokens that the backend would have to prefill.
    pub uncached_tokens: f64,
    cost: f64,
    first_byte_ms: f64,
    /// Whether the backend is expected to have cached shared blocks of the prompt.
    has_cached_blocks: bool,
}

impl Candidate {
    /// Whether the first byte is expected only after twice the deadline.
    pub fn misses_deadline(&self, deadline: Duration) -> bool {
        self.first_byte_ms > 2e3 * deadline.as_secs_f64()
    }
}
