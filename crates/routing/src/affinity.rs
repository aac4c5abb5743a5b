//! Assignment of prompts to backends by rendezvous hashing: all nodes compute the same ranking without
//! exchanging messages.

use crate::interface::RequestShape;
use range_digest::mix64;
use std::cmp::Reverse;

/// A block of a prompt, identified by its prefix: two are equal only if all blocks before them are equal too.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChainBlock {
    /// Hash of the model, of all preceding blocks and of this block.
    pub hash: u64,
    /// Tokens of this block alone.
    pub tokens: f64,
}

/// A prompt as a hash chain of its blocks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    /// All blocks in order.
    pub chain: Vec<ChainBlock>,
    /// Tokens of the whole prompt.
    pub tokens: f64,
    /// Tokens of the blocks that other requests may share: all but the last.
    pub shared_tokens: f64,
}

impl Prompt {
    /// Builds the hash chain of a request's prompt.
    pub fn of(request: &RequestShape) -> Prompt {
        let mut hash = hash_of(request.model.as_bytes());
        let mut chain = Vec::with_capacity(request.blocks.len());
        for block in &request.blocks {
            hash = mix64(hash ^ mix64(block.id));
            chain.push(ChainBlock { hash, tokens: f64::from(block.tokens) });
        }
        let shared = chain.len().saturating_sub(1);
        let shared_tokens = chain[..shared].iter().map(|block| block.tokens).sum();
        Prompt { chain, tokens: f64::from(request.prompt_tokens), shared_tokens }
    }

    /// The key for rendezvous hashing: the hash of the last shared block, or of the only block where none is
    /// shared. `None` for a prompt without blocks.
    pub fn key(&self) -> Option<u64> {
        let shared = self.chain.len().saturating_sub(1);
        self.chain[..shared].last().or(self.chain.last()).map(|block| block.hash)
    }
}

/// Hashes bytes to the same value in every process.
pub fn hash_of(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xCBF2_9CE4_8422_2325, |hash, byte| mix64(hash ^ u64::from(*byte)))
}

/// The rendezvous score of a backend for a key; the backend with the highest one is ranked first. `weight` is
/// below 1 while the backend is in slow start.
pub fn rendezvous_score(key: u64, backend: u64, weight: f64) -> u64 {
    let score = mix64(key ^ backend);
    if weight >= 1.0 {
        return score;
    }
    // u^(1/w) with u uniform in [0, 1]: each backend is ranked first with a probability proportional to its
    // weight.
    let unit = score as f64 / u64::MAX as f64;
    (unit.powf(1.0 / weight.max(1e-3)) * u64::MAX as f64) as u64
}

/// The backends with the highest scores, up to a maximum number.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    /// Scores and positions of the backends, best first.
    best: Vec<(Reverse<u64>, usize)>,
    max_len: usize,
}

impl Ranking {
    pub fn with_max_len(max_len: usize) -> Self {
        Ranking { best: Vec::with_capacity(max_len + 1), max_len }
    }

    /// Inserts a backend, given by its position, unless `max_len` others have higher scores.
    pub fn insert(&mut self, score: u64, position: usize) {
        let entry = (Reverse(score), position);
        if self.best.len() == self.max_len && self.best.last().is_none_or(|last| entry >= *last) {
            return;
        }
        let rank = self.best.partition_point(|other| *other < entry);
        self.best.insert(rank, entry);
        self.best.truncate(self.max_len);
    }

    /// The positions of the backends, best first.
    pub fn positions(&self) -> impl Iterator<Item = usize> + '_ {
        self.best.iter().map(|(_, position)| *position)
    }
}
