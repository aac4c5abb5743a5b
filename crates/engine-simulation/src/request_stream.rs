//! The requests that clients send, with their times, nodes and prompts.

use crate::fault::Fault;
use crate::prefix_cache::PrefixBlock;
use crate::site::{RequestClass, SharedBlocks, Site};
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::{Rng, SeedableRng};
use rand_distr::{Exp1, LogNormal};
use rand_pcg::Pcg64Mcg;
use routing::{PromptBlock, RequestShape};
use std::time::Duration;

/// The amplitude of the sine wave of the rate, as a share of the rate.
const WAVE_SHARE: f64 = 0.15;
/// The period of that wave, in ms.
const WAVE_MS: f64 = 11_000.0;
/// An upper bound of the rate without a burst, as a multiple of the normal rate: above the peak of the wave.
const PEAK_FACTOR: f64 = 1.2;
/// How far back a request may repeat the prompt of another one, in seconds at the normal rate.
const REPEAT_WINDOW_S: f64 = 8.0;
/// The standard deviation of the logarithm of the time of a plain call.
const WORK_LOG_SPREAD: f64 = 0.5;
/// The longest time of a plain call, in ms.
const MAX_WORK_MS: f64 = 220.0;
/// The number of tokens per event by which nodes estimate the length of responses.
const TOKENS_PER_EVENT: u32 = 6;

/// A request that a client sends.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// When it is sent, in ms since the start.
    pub at_ms: f64,
    /// The index of its class.
    pub class: usize,
    /// The index of the node that receives it.
    pub node: usize,
    /// The properties by which nodes select a backend.
    pub shape: RequestShape,
    /// The prompt as the engines' blocks.
    pub prompt: Vec<PrefixBlock>,
    /// The number of events of the response; 0 for a plain call.
    pub events: u32,
    /// The time that a plain call takes at a backend, in ms; 0 for other requests.
    pub work_ms: f64,
}

/// Draws the requests of a site, sorted by time.
pub fn draw_requests(site: &Site, seed: u64) -> Vec<ClientRequest> {
    let mut requests = Vec::new();
    for index in 0..site.classes.len() {
        let random = Pcg64Mcg::seed_from_u64(seed * 31 + index as u64);
        if let Some(stream) = ClassStream::new(site, index, random) {
            stream.draw_all(&mut requests);
        }
    }
    requests.sort_by(|one, other| one.at_ms.total_cmp(&other.at_ms));
    requests
}

/// A prompt and the index of the node that receives it.
type AddressedPrompt = (Vec<PromptBlock>, usize);

/// Draws the requests of one class.
struct ClassStream<'a> {
    site: &'a Site,
    index: usize,
    class: &'a RequestClass,
    random: Pcg64Mcg,
    nodes: WeightedIndex<f64>,
    /// The popularity of the shared blocks, by position.
    popularity: Vec<WeightedIndex<f64>>,
    /// The number of tokens of each shared block, by position and block.
    block_tokens: Vec<Vec<u32>>,
    /// An upper bound of the rate with bursts, as a multiple of the normal rate.
    peak_factor: f64,
    /// The last prompts, from which repeated ones are drawn; empty for a class that repeats none.
    recent: Vec<AddressedPrompt>,
}

impl<'a> ClassStream<'a> {
    fn new(site: &'a Site, index: usize, mut random: Pcg64Mcg) -> Option<Self> {
        let class = &site.classes[index];
        let nodes = WeightedIndex::new(&site.node_shares).ok()?;
        let popularity = class.shared_blocks.iter().filter_map(popularity).collect();
        let block_tokens =
            class.shared_blocks.iter().map(|blocks| draw_block_tokens(blocks, &mut random)).collect();
        let bursts = site.faults.iter().map(|scheduled| rate_factor(&scheduled.fault, index));
        let peak_factor = PEAK_FACTOR * bursts.fold(1.0, f64::max);
        let recent = Vec::new();
        Some(ClassStream { site, index, class, random, nodes, popularity, block_tokens, peak_factor, recent })
    }

    /// Draws arrivals at the highest rate, and drops each with a probability by the actual rate at its time
    /// (thinning).
    fn draw_all(mut self, requests: &mut Vec<ClientRequest>) {
        let mut at_ms = 0.0;
        loop {
            let gap: f64 = Exp1.sample(&mut self.random);
            at_ms += gap * 1e3 / (self.class.rate_per_s * self.peak_factor);
            if at_ms > self.site.length_s * 1e3 {
                return;
            }
            let active = self.site.faults.iter().filter(|scheduled| scheduled.is_active_at(at_ms));
            let faults = active.map(|scheduled| scheduled.fault);
            let wave = 1.0 + WAVE_SHARE * (at_ms / WAVE_MS * std::f64::consts::TAU).sin();
            let factor = faults.clone().map(|fault| rate_factor(&fault, self.index)).fold(1.0, f64::max);
            if self.random.random::<f64>() > wave * factor / self.peak_factor {
                continue;
            }
            let hot_share = faults.map(|fault| hot_share(&fault, self.index)).fold(0.0, f64::max);
            let (blocks, node) = self.draw_prompt(hot_share);
            requests.push(self.draw_request(at_ms, node, blocks));
        }
    }

    /// Draws a new prompt and its node, or repeats those of an earlier request.
    fn draw_prompt(&mut self, hot_share: f64) -> AddressedPrompt {
        let is_hot = self.random.random::<f64>() < hot_share;
        let may_repeat =
            !self.recent.is_empty() && self.random.random::<f64>() < self.class.repeated_share && !is_hot;
        let prompt = if may_repeat {
            self.recent[self.random.random_range(0..self.recent.len())].clone()
        } else {
            let blocks = self.draw_blocks(is_hot);
            (blocks, self.nodes.sample(&mut self.random))
        };
        if self.class.repeated_share > 0.0 {
            self.recent.push(prompt.clone());
            if self.recent.len() > (self.class.rate_per_s * REPEAT_WINDOW_S) as usize {
                self.recent.remove(0);
            }
        }
        prompt
    }

    /// Draws the blocks of a new prompt. The block at a position determines the block before it, so that
    /// shared blocks form a tree of prefixes.
    fn draw_blocks(&mut self, is_hot: bool) -> Vec<PromptBlock> {
        if self.class.is_plain() {
            return Vec::new();
        }
        let mut drawn: Vec<usize> =
            self.popularity.iter().map(|weights| weights.sample(&mut self.random)).collect();
        if is_hot && let Some(last) = drawn.last_mut() {
            *last = 0;
        }
        for position in (1..drawn.len()).rev() {
            drawn[position - 1] = drawn[position] % self.block_tokens[position - 1].len();
        }
        let mut blocks: Vec<PromptBlock> = drawn
            .iter()
            .enumerate()
            .map(|(position, block)| PromptBlock {
                id: mix_bits(((self.index * 8 + position) as u64) << 32 | *block as u64),
                tokens: self.block_tokens[position][*block],
            })
            .collect();
        let class = self.class;
        let tokens =
            lognormal(&mut self.random, class.mean_own_tokens, class.own_log_spread, class.max_own_tokens);
        blocks.push(PromptBlock { id: self.random.random(), tokens: tokens as u32 });
        blocks
    }

    fn draw_request(&mut self, at_ms: f64, node: usize, blocks: Vec<PromptBlock>) -> ClientRequest {
        let class = self.class;
        let (events, work_ms) = if class.is_plain() {
            (0, lognormal(&mut self.random, class.mean_work_ms, WORK_LOG_SPREAD, MAX_WORK_MS))
        } else {
            let max_events = 4.0 * class.mean_events;
            let events = lognormal(&mut self.random, class.mean_events, class.events_log_spread, max_events);
            (events.round() as u32, 0.0)
        };
        let prompt = prefix_blocks(&blocks);
        let shape = RequestShape {
            model: "m".into(),
            prompt_tokens: blocks.iter().map(|block| block.tokens).sum(),
            output_tokens: TOKENS_PER_EVENT * events,
            blocks,
            tenant_priority: 0,
            route_priority: class.priority,
            latency_target: Duration::from_secs_f64(class.latency_target_ms / 1e3),
            deadline: Duration::from_secs_f64(class.deadline_ms / 1e3),
            streaming: !class.is_plain(),
        };
        ClientRequest { at_ms, class: self.index, node, shape, prompt, events, work_ms }
    }
}

/// Draws from a log-normal distribution with this mean and standard deviation of the logarithm. Results are
/// clamped to 1 and `max`.
fn lognormal(random: &mut Pcg64Mcg, mean: f64, log_spread: f64, max: f64) -> f64 {
    let median = mean * (-log_spread * log_spread / 2.0).exp();
    let drawn =
        LogNormal::new(median.ln(), log_spread).map_or(mean, |distribution| distribution.sample(random));
    drawn.clamp(1.0, max)
}

fn mix_bits(value: u64) -> u64 {
    let bits = (value ^ (value >> 29)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (bits ^ (bits >> 32)).wrapping_mul(0xBF58_476D_1CE4_E5B9) ^ (bits >> 17)
}

/// The rate of a class during a fault, as a multiple of the normal rate.
fn rate_factor(fault: &Fault, class: usize) -> f64 {
    match fault {
        Fault::Burst { class: its_class, factor } if *its_class == class => *factor,
        _ => 1.0,
    }
}

/// The share of the requests of a class that have the same last shared block during a fault.
fn hot_share(fault: &Fault, class: usize) -> f64 {
    match fault {
        Fault::HotKey { class: its_class, share } if *its_class == class => *share,
        _ => 0.0,
    }
}

fn popularity(blocks: &SharedBlocks) -> Option<WeightedIndex<f64>> {
    WeightedIndex::new((0..blocks.count).map(|index| ((index + 1) as f64).powf(-blocks.zipf_exponent))).ok()
}

fn draw_block_tokens(blocks: &SharedBlocks, random: &mut Pcg64Mcg) -> Vec<u32> {
    let max_tokens = 3.0 * blocks.mean_tokens;
    (0..blocks.count)
        .map(|_| lognormal(random, blocks.mean_tokens, blocks.log_spread, max_tokens) as u32)
        .collect()
}

/// The blocks with keys, each of which identifies a block and all blocks before it.
fn prefix_blocks(blocks: &[PromptBlock]) -> Vec<PrefixBlock> {
    let mut key = 0;
    blocks
        .iter()
        .map(|block| {
            key = mix_bits(key ^ mix_bits(block.id));
            PrefixBlock { key, tokens: u64::from(block.tokens) }
        })
        .collect()
}
