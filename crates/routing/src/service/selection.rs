//! Which backends are considered, which of those are about as good as the best, and the choice among them.

use super::{InFlightAttempt, Service};
use crate::affinity::{Prompt, Ranking, rendezvous_score};
use crate::backend::{Backend, PendingAttempt};
use crate::cost::{MAX_UTILIZATION, RATE_WINDOW_S, ServiceEstimate};
use crate::interface::*;
use join_up_to::join;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::time::Duration;

/// How many of the ranking are considered.
const MAX_RANKED: usize = 8;
/// How many are considered besides, drawn at random.
const SAMPLE_SIZE: usize = 48;
/// How many of those that have cached a prefix are considered, the longest prefixes first.
const MAX_HOLDERS: usize = 16;
/// Keys whose traffic is measured; beyond that, those with the least are dropped.
const MAX_KEYS: usize = 4096;
/// A key with fewer recent requests than this is dropped when there are too many.
const MIN_KEY_REQUESTS: f64 = 0.2;
/// The weight of an even share of the traffic, in observations.
const SHARE_PRIOR: f64 = 20.0;

impl Service {
    /// The backends that are considered for a request: all where they are few. Else those that have cached a prefix of its
    /// prompt, the first of its ranking, and some drawn at random.
    pub(super) fn considered(&mut self, now: Duration, prompt: &Prompt) -> Vec<usize> {
        let count = self.backends.len();
        if count <= self.policy.full_scan_limit {
            return (0..count).collect();
        }
        let mut some: Vec<usize> = (0..SAMPLE_SIZE).map(|_| self.random.random_range(0..count)).collect();
        if let Some(key) = prompt.key().filter(|_| self.engine.is_some() && self.policy.rendezvous) {
            some.extend(self.ranking(now, key, 0..count).backends());
            let holders = self.cached_prefixes(prompt).into_iter().map(|(number, _)| number);
            some.extend(holders.filter_map(|number| self.numbers.get(&number).copied()));
        }
        some.sort_unstable();
        some.dedup();
        some
    }

    /// Those of some that a request may be sent to: not attempted before, not ejected, not silent. Where no others are left,
    /// the silent and the ejected ones.
    pub(super) fn eligible(
        &self,
        now: Duration,
        mut among: Vec<usize>,
        attempted: &[BackendId],
    ) -> Vec<usize> {
        if !attempted.is_empty() {
            among.retain(|at| !attempted.contains(&self.backends[*at].entry.id));
        }
        self.retain_if_any(&mut among, |backend| backend.health.admits(now, backend.in_flight));
        if self.policy.stall_detection {
            self.retain_if_any(&mut among, |backend| !backend.is_silent(now, self.policy.stall_tolerance));
        }
        among
    }

    fn retain_if_any(&self, among: &mut Vec<usize>, is_retained: impl Fn(&Backend) -> bool) {
        if among.iter().any(|at| is_retained(&self.backends[*at])) {
            among.retain(|at| is_retained(&self.backends[*at]));
        }
    }

    pub(super) fn estimate_service(&self, now: Duration, request: &RequestShape) -> ServiceEstimate {
        let (rate, share) = (self.latency_model.rate(), self.share());
        let prefill_per_ms = self.prefill_tokens.per_s(now, RATE_WINDOW_S) / 1e3;
        let utilization = prefill_per_ms / share / rate / self.backends.len().max(1) as f64;
        ServiceEstimate {
            now,
            rate,
            base_latency_ms: self.latency_model.base(),
            share,
            utilization: utilization.min(MAX_UTILIZATION),
            mean_prefill_tokens: self.mean_prefill_tokens,
            prefills_prompts: self.engine.is_some(),
            latency_target_ms: (request.latency_target.as_secs_f64() * 1e3).max(1.0),
            policy: self.policy,
        }
    }

    /// This node's share of the traffic: its own attempts relative to all that backends report.
    fn share(&self) -> f64 {
        let even = 1.0 / f64::from(self.nodes);
        if !self.policy.traffic_share {
            return even;
        }
        let share = (self.own_in_flight + SHARE_PRIOR * even) / (self.total_in_flight + SHARE_PRIOR);
        share.clamp(even / 4.0, 1.0)
    }

    /// The backends that are about as good as the best for a request, by the cost of an attempt there.
    pub(super) fn candidates(
        &self,
        service_estimate: &ServiceEstimate,
        prompt: &Prompt,
        among: &[usize],
    ) -> Vec<Candidate> {
        let (ranked, target_count) = self.ranked(service_estimate, prompt, among);
        let cached_prefixes = self.cached_prefixes(prompt);
        let shared = prompt.shared_tokens;
        let rate = |at: usize| {
            let backend = &self.backends[at];
            let own = cached_prefixes.iter().find(|(number, _)| *number == backend.number);
            let is_target = ranked[..target_count].contains(&at);
            let cached = own.map_or(0.0, |(_, tokens)| *tokens).max(if is_target { shared } else { 0.0 });
            let uncached_tokens = (prompt.tokens - cached).max(0.0);
            let uncached_shared_tokens = (shared - cached).max(0.0);
            let cost = service_estimate.cost(backend, uncached_tokens, uncached_shared_tokens);
            let first_byte_ms = service_estimate.first_byte_ms(backend, uncached_tokens);
            Candidate {
                at,
                uncached_tokens,
                cost,
                first_byte_ms,
                has_cached_blocks: cached > 0.0 && shared > 0.0,
            }
        };
        let rated: Vec<Candidate> = among.iter().copied().map(rate).collect();
        let best = rated.iter().map(|c| c.cost).min_by(f64::total_cmp).unwrap_or_default();
        let most = best + service_estimate.policy.cost_tolerance * service_estimate.latency_target_ms;
        rated.into_iter().filter(|candidate| candidate.cost <= most).collect()
    }

    /// The ranking for a prompt, and on how many of its first backends the shared blocks should be cached.
    fn ranked(
        &self,
        service_estimate: &ServiceEstimate,
        prompt: &Prompt,
        among: &[usize],
    ) -> (Vec<usize>, usize) {
        let is_placed = self.engine.is_some() && self.policy.rendezvous;
        let Some(key) = prompt.key().filter(|_| is_placed) else { return (Vec::new(), 0) };
        let ranking = self.ranking(service_estimate.now, key, among.iter().copied());
        let lately = self.keys.get(&key).map_or(0.0, |rate| rate.per_s(service_estimate.now, RATE_WINDOW_S))
            * RATE_WINDOW_S;
        let certain =
            (lately - service_estimate.policy.request_count_margin * lately.sqrt()).max(0.0) / RATE_WINDOW_S;
        let own = (prompt.tokens - prompt.shared_tokens).min(self.mean_prefill_tokens);
        let busy_share = certain * own / 1e3 / service_estimate.share / service_estimate.rate;
        let wanted = (busy_share / service_estimate.policy.max_block_utilization).ceil() as usize;
        let ranked: Vec<usize> = ranking.backends().collect();
        let target_count = wanted.max(service_estimate.policy.replicas).min(ranked.len());
        (ranked, target_count)
    }

    /// The backends that have cached some prefix of a prompt, by the index of this node's attempts.
    fn cached_prefixes(&self, prompt: &Prompt) -> Vec<(u32, f64)> {
        if !self.policy.index {
            return Vec::new();
        }
        let all = self.policy.full_scan_limit;
        let most = if self.backends.len() <= all { all } else { MAX_HOLDERS };
        self.prefix_cache.cached_prefixes(&prompt.chain, most)
    }

    fn ranking(&self, now: Duration, key: u64, among: impl Iterator<Item = usize>) -> Ranking {
        let mut ranking = Ranking::of(MAX_RANKED);
        let slow_start_is_over = now >= self.slow_start_ends;
        for at in among {
            let weight = if slow_start_is_over { 1.0 } else { self.backends[at].slow_start_factor(now) };
            ranking.offer(rendezvous_score(key, self.hashes[at], weight), at);
        }
        ranking
    }

    /// An ejected backend that is to be tried by this request. A prompt tries only the backend that it belongs to, so that
    /// nothing is prefilled for a trial alone.
    pub(super) fn trial(&self, prompt: &Prompt, among: &[usize]) -> Option<usize> {
        if self.engine.is_some() && prompt.key().is_some() {
            return None;
        }
        among.iter().copied().find(|at| self.backends[*at].health.is_ejected())
    }

    /// Join-Up-To(m): the lowest estimate strictly below m of the candidates, ties at random. With all of them at m, the
    /// same of all, and with every estimate at m a random one of all, where one in slow start counts by its share;
    /// but where the candidates have cached blocks of the prompt, a random one of them: in a large fleet m is 1 or 2, and a
    /// node with one attempt there would have the blocks prefilled by all backends in turn.
    pub(super) fn pick(&mut self, now: Duration, candidates: &[Candidate], all: &[usize]) -> usize {
        let cap = self.traffic.cap();
        let estimate = |at: &usize| {
            let backend = &self.backends[*at];
            f64::from(backend.estimate.value()) / self.slot_share(backend, now)
        };
        let near: Vec<usize> = candidates.iter().map(|candidate| candidate.at).collect();
        if !self.policy.estimate {
            return near.choose(&mut self.random).copied().unwrap_or(all[0]);
        }
        let stays = !self.policy.spill_over && candidates.iter().any(|candidate| candidate.has_cached_blocks);
        let beyond = || if stays { None } else { join::lowest_below(all, estimate, cap) };
        let ties = join::lowest_below(&near, estimate, cap).or_else(beyond);
        if let Some(at) = ties.and_then(|ties| ties.choose(&mut self.random).copied()) {
            return at;
        }
        let all = if stays { &near } else { all };
        let weight = |at: &usize| self.backends[*at].slow_start_factor(now);
        all.choose_weighted(&mut self.random, weight).copied().unwrap_or(all[0])
    }

    /// This node's share of the slots of a backend: the paper's server has one.
    pub(super) fn slot_share(&self, backend: &Backend, now: Duration) -> f64 {
        let slots = f64::from(backend.entry.slots.max(1));
        (slots / f64::from(self.nodes)).max(1.0) * backend.slow_start_factor(now)
    }

    pub(super) fn start_attempt(
        &mut self,
        service_estimate: &ServiceEstimate,
        prompt: &Prompt,
        at: usize,
        uncached_tokens: f64,
    ) -> (AttemptId, BackendId) {
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        let share = service_estimate.share;
        let step = if self.last_attempt < 16 { 1.0 / self.last_attempt as f64 } else { 1.0 / 16.0 };
        self.mean_prefill_tokens += (uncached_tokens - self.mean_prefill_tokens) * step;
        self.traffic.record_send();
        let backend = &mut self.backends[at];
        let expected_ms = service_estimate.first_byte_ms(backend, uncached_tokens);
        let pending =
            PendingAttempt { attempt, at: service_estimate.now, tokens: uncached_tokens, expected_ms };
        backend.record_attempt(service_estimate.now, pending);
        let is_trial = backend.health.record_attempt();
        let (id, number) = (backend.entry.id.clone(), backend.number);
        if let Some(engine) = self.engine {
            let memory_share = if self.audited { 1.0 } else { share };
            self.prefix_cache.record_use(
                number,
                &prompt.chain,
                engine.kv_capacity_tokens as f64 * memory_share,
            );
            self.count_key(service_estimate.now, prompt, uncached_tokens);
        }
        let chain = if self.audited { prompt.chain.clone() } else { Vec::new() };
        let in_flight = InFlightAttempt {
            backend: id.clone(),
            at: service_estimate.now,
            is_trial,
            has_started: false,
            reported_load: None,
            chain,
        };
        self.attempts.insert(attempt, in_flight);
        (attempt, id)
    }

    /// Counts requests with the same shared blocks; one whose own block is cached as well counts for little.
    fn count_key(&mut self, now: Duration, prompt: &Prompt, uncached_tokens: f64) {
        let Some(key) = prompt.key() else { return };
        if self.keys.len() >= MAX_KEYS && !self.keys.contains_key(&key) {
            self.keys.retain(|_, rate| rate.per_s(now, RATE_WINDOW_S) > MIN_KEY_REQUESTS / RATE_WINDOW_S);
        }
        let own = (prompt.tokens - prompt.shared_tokens).max(1.0);
        let weight = (uncached_tokens / own).min(1.0);
        self.keys.entry(key).or_default().add(now, RATE_WINDOW_S, weight);
        self.prefill_tokens.add(now, RATE_WINDOW_S, uncached_tokens);
    }
}

/// A backend that a request may be sent to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub at: usize,
    /// Tokens that it would have to prefill.
    pub uncached_tokens: f64,
    cost: f64,
    first_byte_ms: f64,
    /// Whether it is believed to have cached shared blocks of the prompt.
    has_cached_blocks: bool,
}

impl Candidate {
    /// Whether its first byte would arrive after twice the deadline.
    pub fn misses_deadline(&self, deadline: Duration) -> bool {
        self.first_byte_ms > 2e3 * deadline.as_secs_f64()
    }
}
