//! The KV memory of an engine: prompt blocks, which are in use or cached, and generated tokens.

use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// A block of a prompt, identified together with its prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixBlock {
    /// Identifies the block and all blocks before it. Keys are equal only if all of these are.
    pub key: u64,
    /// The number of tokens of the block itself.
    pub tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedBlock {
    tokens: u64,
    /// The number of running requests that use it.
    users: u32,
    /// The value of `use_counter` when its last use ended; 0 if it has been in use since it was added.
    last_use: u64,
}

/// The KV memory of an engine. If it is full, blocks that no running request uses are evicted, the least
/// recently used first.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    capacity: u64,
    blocks: FxHashMap<u64, CachedBlock>,
    /// The keys of unused blocks by their last use.
    unused: BTreeMap<u64, u64>,
    /// The number of tokens of all blocks.
    block_tokens: u64,
    /// The number of tokens of the blocks in use.
    pinned_tokens: u64,
    /// The number of tokens that running requests have generated.
    generated_tokens: u64,
    /// The number of times that the last use of a block has ended.
    use_counter: u64,
}

impl PrefixCache {
    /// An empty memory with a capacity in tokens.
    pub fn new(capacity: u64) -> Self {
        PrefixCache {
            capacity,
            blocks: FxHashMap::default(),
            unused: BTreeMap::new(),
            block_tokens: 0,
            pinned_tokens: 0,
            generated_tokens: 0,
            use_counter: 0,
        }
    }

    /// The number of tokens that can't be evicted.
    pub fn used_tokens(&self) -> u64 {
        self.pinned_tokens + self.generated_tokens
    }

    /// The number of tokens of the longest cached prefix of a prompt.
    pub fn cached_tokens(&self, prompt: &[PrefixBlock]) -> u64 {
        prompt.iter().map_while(|block| self.blocks.get(&block.key).map(|_| block.tokens)).sum()
    }

    /// Whether a prompt and this number of further tokens fit beside everything in use.
    pub fn fits(&self, prompt: &[PrefixBlock], further_tokens: u64) -> bool {
        let is_pinned =
            |block: &PrefixBlock| self.blocks.get(&block.key).is_some_and(|known| known.users > 0);
        let new: u64 = prompt.iter().filter(|block| !is_pinned(block)).map(|block| block.tokens).sum();
        self.used_tokens() + new + further_tokens <= self.capacity
    }

    /// Marks the blocks of a prompt as used by one more running request. Blocks that are not cached are
    /// added.
    pub fn pin(&mut self, prompt: &[PrefixBlock]) {
        for block in prompt {
            let cached = self.blocks.entry(block.key).or_insert(CachedBlock {
                tokens: block.tokens,
                users: 0,
                last_use: 0,
            });
            if cached.users == 0 {
                if self.unused.remove(&cached.last_use).is_none() {
                    self.block_tokens += cached.tokens;
                }
                self.pinned_tokens += cached.tokens;
            }
            cached.users += 1;
        }
        self.evict();
    }

    /// Ends the use of a prompt by a running request. Its blocks stay cached until they are evicted.
    pub fn unpin(&mut self, prompt: &[PrefixBlock]) {
        for block in prompt.iter().rev() {
            let Some(cached) = self.blocks.get_mut(&block.key) else { continue };
            cached.users -= 1;
            if cached.users == 0 {
                self.use_counter += 1;
                cached.last_use = self.use_counter;
                self.unused.insert(self.use_counter, block.key);
                self.pinned_tokens -= cached.tokens;
            }
        }
        self.evict();
    }

    /// Adds to the number of generated tokens; negative if requests have ended and freed theirs.
    pub fn adjust_generated(&mut self, tokens: i64) {
        self.generated_tokens = self.generated_tokens.saturating_add_signed(tokens);
        self.evict();
    }

    /// Whether the tokens in use exceed the capacity, so that a request must be preempted.
    pub fn is_over_capacity(&self) -> bool {
        self.used_tokens() > self.capacity
    }

    fn evict(&mut self) {
        while self.block_tokens + self.generated_tokens > self.capacity {
            let Some((_, key)) = self.unused.pop_first() else { return };
            if let Some(block) = self.blocks.remove(&key) {
                self.block_tokens -= block.tokens;
            }
        }
    }
}
