//! The fleet's index of one backend: the union of the reports of all frontends.

use crate::ids::{BlockKey, FrontendId};
use range_digest::DigestedSet;
use rustc_hash::FxHashMap;
use std::time::Duration;

/// How long the time of a block's removal is remembered, so that a difference is recognized as recent.
const REMOVAL_RETENTION: Duration = Duration::from_secs(30);
/// The number of removals per backend above which expired ones are deleted.
const MAX_REMOVALS: usize = 4096;

/// The index's entry for one block.
#[derive(Clone, Debug, PartialEq, Eq)]
struct IndexEntry {
    tokens: u32,
    /// When the entry was added, or its tokens changed.
    changed_at: Duration,
    /// The frontends that report the block. Empty if only the audit has added it.
    frontends: Vec<FrontendId>,
}

/// The index of one backend.
#[derive(Clone, Debug, Default)]
pub(crate) struct BackendIndex {
    entries: FxHashMap<BlockKey, IndexEntry>,
    /// When blocks that are not in the index were removed from it.
    removals: FxHashMap<BlockKey, Duration>,
    /// The blocks and tokens of `entries`.
    digested: DigestedSet,
}

impl BackendIndex {
    /// The blocks with their tokens, as a set with range digests.
    pub fn digested(&self) -> &DigestedSet {
        &self.digested
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// When the entry of a block was last added, changed or removed. `None` if that is unknown or no longer
    /// remembered.
    pub fn changed_at(&self, block: BlockKey) -> Option<Duration> {
        let changed_at = self.entries.get(&block).map(|entry| entry.changed_at);
        changed_at.or_else(|| self.removals.get(&block).copied())
    }

    /// Applies a frontend's report that the backend has cached a block.
    pub fn report(&mut self, now: Duration, frontend: FrontendId, block: BlockKey, tokens: u32) {
        let entry = self.entry(now, block, tokens);
        if entry.tokens != tokens {
            (entry.tokens, entry.changed_at) = (tokens, now);
        }
        if !entry.frontends.contains(&frontend) {
            entry.frontends.push(frontend);
        }
        self.set_tokens(block, tokens);
    }

    /// Withdraws a frontend's report of a block. The entry is removed when no frontend reports it any more.
    pub fn withdraw(&mut self, now: Duration, frontend: FrontendId, block: BlockKey) {
        let Some(entry) = self.entries.get_mut(&block) else { return };
        entry.frontends.retain(|other| *other != frontend);
        if entry.frontends.is_empty() {
            self.remove(now, block);
        }
    }

    /// Withdraws all reports of a frontend.
    pub fn forget_frontend(&mut self, now: Duration, frontend: FrontendId) {
        let reported = self.entries.iter().filter(|(_, entry)| entry.frontends.contains(&frontend));
        let blocks: Vec<BlockKey> = reported.map(|(block, _)| *block).collect();
        blocks.into_iter().for_each(|block| self.withdraw(now, frontend, block));
    }

    /// Adds a block or changes its tokens, as the backend itself reports it.
    pub fn correct(&mut self, now: Duration, block: BlockKey, tokens: u32) {
        let entry = self.entry(now, block, tokens);
        (entry.tokens, entry.changed_at) = (tokens, now);
        self.set_tokens(block, tokens);
    }

    /// Removes a block, whichever frontends report it.
    pub fn remove(&mut self, now: Duration, block: BlockKey) {
        if self.entries.remove(&block).is_none() {
            return;
        }
        self.digested.remove(block.0);
        self.removals.insert(block, now);
        if self.removals.len() > MAX_REMOVALS {
            self.removals.retain(|_, removed_at| now < *removed_at + REMOVAL_RETENTION);
        }
    }

    /// The entry of a block, which is added with `tokens` if there is none.
    fn entry(&mut self, now: Duration, block: BlockKey, tokens: u32) -> &mut IndexEntry {
        let added = || IndexEntry { tokens, changed_at: now, frontends: Vec::new() };
        self.entries.entry(block).or_insert_with(added)
    }

    fn set_tokens(&mut self, block: BlockKey, tokens: u32) {
        self.digested.insert(block.0, u64::from(tokens));
        self.removals.remove(&block);
    }
}
