//! The blocks that simulated backends cache, and the indexes that frontends have of them.

use index_audit::{AuditError, BackendKey, RangeReport, RangeRequest, RangeResult};
use range_digest::DigestedSet;
use std::collections::{BTreeMap, BTreeSet};

/// A block at a backend: the backend's key and the block's key.
pub type CachedBlock = (u64, u64);

/// The blocks that backends cache, and the indexes of frontends.
#[derive(Default)]
pub struct BackendCaches {
    cached: BTreeMap<u64, DigestedSet>,
    /// The blocks that a backend has ever lost without notifying a frontend. It may have cached them again
    /// since.
    pub lost: BTreeSet<CachedBlock>,
    indexes: BTreeMap<usize, BTreeMap<CachedBlock, u32>>,
    /// Whether backends have stopped losing blocks.
    pub losses_stopped: bool,
}

/// The number of tokens of a block.
pub fn tokens(block: u64) -> u32 {
    100 + u32::try_from(block % 7).expect("small") * 50
}

impl BackendCaches {
    /// Adds a block to a backend's cache.
    pub fn read(&mut self, (backend, block): CachedBlock) {
        self.cached.entry(backend).or_default().insert(block, u64::from(tokens(block)));
    }

    /// Removes a block from a backend's cache, without notifying any frontend.
    pub fn lose(&mut self, (backend, block): CachedBlock) {
        if let Some(cached) = self.cached.get_mut(&backend) {
            cached.remove(block);
            self.lost.insert((backend, block));
        }
    }

    pub fn holds(&self, (backend, block): CachedBlock) -> bool {
        self.cached.get(&backend).is_some_and(|cached| cached.iter().any(|(other, _)| other == block))
    }

    /// All cached blocks of all backends.
    pub fn all(&self) -> Vec<CachedBlock> {
        let blocks = |(backend, cached): (&u64, &DigestedSet)| {
            let backend = *backend;
            cached.iter().map(move |(block, _)| (backend, block)).collect::<Vec<CachedBlock>>()
        };
        self.cached.iter().flat_map(blocks).collect()
    }

    /// A backend's response to a request of the audit.
    pub fn report(&self, backend: u64, request: &RangeRequest) -> RangeResult {
        let Some(cached) = self.cached.get(&backend) else {
            let (digest, content) = {
                let empty = DigestedSet::default();
                (empty.digest(request.range), empty.content(request.range))
            };
            return Ok(RangeReport { backend: request.backend, digest, content });
        };
        let (digest, content) = (cached.digest(request.range), cached.content(request.range));
        Ok::<RangeReport, AuditError>(RangeReport { backend: request.backend, digest, content })
    }

    /// The blocks in a frontend's index, with their numbers of tokens.
    pub fn index(&self, frontend: usize) -> impl Iterator<Item = (CachedBlock, u32)> + '_ {
        self.indexes.get(&frontend).into_iter().flatten().map(|(block, tokens)| (*block, *tokens))
    }

    /// Sets or removes an entry of a frontend's index. Returns whether that was a change.
    pub fn set_index(&mut self, frontend: usize, block: CachedBlock, tokens: Option<u32>) -> bool {
        let index = self.indexes.entry(frontend).or_default();
        let before = match tokens {
            Some(tokens) => index.insert(block, tokens),
            None => index.remove(&block),
        };
        before != tokens
    }

    /// Removes the entries of all backends but these from a frontend's index.
    pub fn retain_backends(&mut self, frontend: usize, known: &BTreeSet<u64>) {
        let index = self.indexes.entry(frontend).or_default();
        index.retain(|(backend, _), _| known.contains(backend));
    }

    pub fn restart_frontend(&mut self, frontend: usize) {
        self.indexes.remove(&frontend);
    }

    pub fn key(backend: BackendKey) -> u64 {
        backend.0
    }
}
