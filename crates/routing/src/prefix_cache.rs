//! Model of the prefix caches of backends, from this node's own attempts.
//!
//! A backend evicts the least recently used blocks of its cache. A node knows only the prompts that it sent
//! itself, so it models a part of the cache in proportion to its share of the traffic.

use crate::affinity::ChainBlock;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::VecDeque;

/// Stale uses that may be queued, besides one for each block, before they are removed.
const MAX_STALE_USES: usize = 64;

/// The modelled cache of one backend, with least-recently-used eviction.
#[derive(Clone, Debug, Default)]
struct BackendCache {
    /// Tokens and the logical time of the last use of each block.
    blocks: FxHashMap<u64, (f64, u64)>,
    /// Uses of blocks with their logical times, the oldest first. All uses of a block but the last are stale.
    uses: VecDeque<(u64, u64)>,
    tokens: f64,
}

/// What was reported of this index to its audit, and the changes since.
#[derive(Clone, Debug, Default)]
struct Journal {
    /// Backends and blocks that are reported as cached.
    reported: FxHashSet<(u32, u64)>,
    changes: Vec<CacheChange>,
}

/// A change in the modelled cache of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CacheChange {
    /// The backend's number.
    pub backend: u32,
    /// The hash of the block and of all blocks before it.
    pub block: u64,
    /// The tokens of the block; `None` if it is no longer expected to be cached.
    pub tokens: Option<f64>,
}

/// The modelled caches of all backends of a service. Backends are identified by numbers that are never
/// reused.
#[derive(Clone, Debug, Default)]
pub struct PrefixCacheIndex {
    caches: FxHashMap<u32, BackendCache>,
    /// The backends that have cached a block.
    holders: FxHashMap<u64, Vec<u32>>,
    /// The logical time, which advances with each use of a block.
    clock: u64,
    /// Present only while this index is audited.
    journal: Option<Journal>,
}

impl PrefixCacheIndex {
    /// Records that a prompt was sent to a backend, and evicts blocks beyond `capacity` tokens from its
    /// modelled cache.
    pub fn record_use(&mut self, backend: u32, chain: &[ChainBlock], capacity: f64) {
        let cache = self.caches.entry(backend).or_default();
        // In reverse order, so that a block is evicted only after all blocks that depend on it.
        for block in chain.iter().rev() {
            self.clock += 1;
            let previous = cache.blocks.insert(block.hash, (block.tokens, self.clock));
            cache.uses.push_back((block.hash, self.clock));
            if previous.is_none() {
                cache.tokens += block.tokens;
                self.holders.entry(block.hash).or_default().push(backend);
            }
        }
        while cache.tokens > capacity {
            let Some((hash, used_at)) = cache.uses.pop_front() else { break };
            if cache.blocks.get(&hash).is_none_or(|(_, last)| *last != used_at) {
                continue;
            }
            let (tokens, _) = cache.blocks.remove(&hash).unwrap_or_default();
            cache.tokens -= tokens;
            Self::remove_holder(&mut self.holders, hash, backend);
            Self::record_removed(&mut self.journal, backend, hash);
        }
        if cache.uses.len() > 2 * cache.blocks.len() + MAX_STALE_USES {
            let BackendCache { blocks, uses, .. } = cache;
            uses.retain(|(hash, used_at)| blocks.get(hash).is_some_and(|(_, last)| last == used_at));
        }
    }

    /// Drops the modelled cache of a backend that was removed or has lost its cache.
    pub fn remove_backend(&mut self, backend: u32) {
        let Some(cache) = self.caches.remove(&backend) else { return };
        for hash in cache.blocks.keys() {
            Self::remove_holder(&mut self.holders, *hash, backend);
            Self::record_removed(&mut self.journal, backend, *hash);
        }
    }

    /// Starts or stops recording changes for the audit.
    pub fn set_journaled(&mut self, journaled: bool) {
        if journaled != self.journal.is_some() {
            self.journal = journaled.then(Journal::default);
        }
    }

    /// Records that a backend has prefilled a prompt, so that its blocks are reported as cached.
    pub fn record_prefill(&mut self, backend: u32, chain: &[ChainBlock]) {
        let Some(cache) = self.caches.get(&backend) else { return };
        let Some(journal) = &mut self.journal else { return };
        for block in chain.iter().filter(|block| cache.blocks.contains_key(&block.hash)) {
            if journal.reported.insert((backend, block.hash)) {
                let tokens = Some(block.tokens);
                journal.changes.push(CacheChange { backend, block: block.hash, tokens });
            }
        }
    }

    /// Adds a block that the audit has found to be cached.
    pub fn add_block(&mut self, backend: u32, block: ChainBlock, capacity: f64) {
        self.record_use(backend, &[block], capacity);
        self.record_prefill(backend, &[block]);
    }

    /// Removes a block that the audit has found not to be cached.
    pub fn remove_block(&mut self, backend: u32, block: u64) {
        let Some(cache) = self.caches.get_mut(&backend) else { return };
        let Some((tokens, _)) = cache.blocks.remove(&block) else { return };
        cache.tokens -= tokens;
        Self::remove_holder(&mut self.holders, block, backend);
        Self::record_removed(&mut self.journal, backend, block);
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        self.journal.as_mut().map(|journal| std::mem::take(&mut journal.changes)).unwrap_or_default()
    }

    /// The reported part of the index. Includes the changes so far, which are not returned again.
    pub fn take_complete(&mut self) -> Vec<CacheChange> {
        let Some(journal) = &mut self.journal else { return Vec::new() };
        journal.changes.clear();
        let tokens =
            |backend, block| self.caches.get(&backend)?.blocks.get(&block).map(|(tokens, _)| *tokens);
        let entries =
            journal.reported.iter().map(|&(backend, block)| (backend, block, tokens(backend, block)));
        entries
            .filter(|(.., tokens)| tokens.is_some())
            .map(|(backend, block, tokens)| CacheChange { backend, block, tokens })
            .collect()
    }

    fn record_removed(journal: &mut Option<Journal>, backend: u32, block: u64) {
        let Some(journal) = journal else { return };
        if journal.reported.remove(&(backend, block)) {
            journal.changes.push(CacheChange { backend, block, tokens: None });
        }
    }

    /// The backends that have cached a prefix of a chain, with the tokens of that prefix: the longest ones
    /// first, and at most `max_len` of them. All blocks before a cached one are cached, since they are
    /// evicted later.
    pub fn cached_prefixes(&self, chain: &[ChainBlock], max_len: usize) -> Vec<(u32, f64)> {
        let mut found: Vec<(u32, f64)> = Vec::new();
        let mut tokens: f64 = chain.iter().map(|block| block.tokens).sum();
        for block in chain.iter().rev() {
            for holder in self.holders.get(&block.hash).into_iter().flatten() {
                if found.len() >= max_len {
                    return found;
                }
                if !found.iter().any(|(backend, _)| backend == holder) {
                    found.push((*holder, tokens));
                }
            }
            tokens -= block.tokens;
        }
        found
    }

    fn remove_holder(holders: &mut FxHashMap<u64, Vec<u32>>, hash: u64, backend: u32) {
        let Some(list) = holders.get_mut(&hash) else { return };
        list.retain(|other| *other != backend);
        if list.is_empty() {
            holders.remove(&hash);
        }
    }
}
