//! The prompt block cache of a test backend of the language model, and the digests that the backend reports
//! of it.

use range_digest::{DigestedSet, KeyRange, RangeContent, RangeDigest};
use routing::{parse_prompt_blocks, prompt_block_keys};
use serde_json::{Value, json};
use std::collections::VecDeque;

/// The largest number of tokens of a block that belongs to a single request: shared blocks have more.
const MAX_OWN_TOKENS: u64 = 100;

/// A cache of prompt blocks with least-recently-used eviction.
#[derive(Default)]
pub struct BlockCache {
    blocks: DigestedSet,
    /// The keys of the blocks, the least recently used first.
    uses: VecDeque<u64>,
    tokens: u64,
}

impl BlockCache {
    /// Reads a prompt of a model, given as `ID:TOKENS` blocks separated by commas, and caches its blocks.
    /// Evicts blocks until at most `capacity` tokens are cached. Returns the number of tokens that were not
    /// cached before.
    pub fn read_prompt(&mut self, model: &str, prompt: &str, capacity: u64) -> u64 {
        let blocks = parse_prompt_blocks(prompt);
        let keys = prompt_block_keys(model, &blocks);
        let mut read_tokens = 0;
        // Blocks are used in reverse order, so that a block is evicted only after those that follow it in a
        // prompt.
        for (key, block) in keys.into_iter().zip(&blocks).rev() {
            if self.blocks.get(key).is_none() {
                self.blocks.insert(key, u64::from(block.tokens));
                read_tokens += u64::from(block.tokens);
            } else {
                self.uses.retain(|used| *used != key);
            }
            self.uses.push_back(key);
        }
        self.tokens += read_tokens;
        while self.tokens > capacity {
            let Some(oldest) = self.uses.pop_front() else { break };
            self.tokens -= self.blocks.remove(oldest).unwrap_or_default();
        }
        read_tokens
    }

    /// Evicts the most recently used block that belongs to a single request. Returns its key; `None` if there
    /// is none.
    pub fn lose_block(&mut self) -> Option<u64> {
        // Within one prompt, later blocks come earlier in `uses`.
        let mut newest_first = self.uses.iter().copied().enumerate().rev();
        let (position, key) = newest_first.find(|(_, key)| self.is_own(*key))?;
        self.uses.remove(position);
        self.tokens -= self.blocks.remove(key).unwrap_or_default();
        Some(key)
    }

    /// Whether a block belongs to a single request, which its size shows.
    fn is_own(&self, key: u64) -> bool {
        self.blocks.get(key).is_some_and(|tokens| tokens <= MAX_OWN_TOKENS)
    }

    /// The digest of the range of keys that a query string specifies; `None` if the query is invalid.
    pub fn digest_reply(&self, instance: &str, query: &str) -> Option<Value> {
        let value = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        let first = u64::from_str_radix(value("first")?, 16).ok()?;
        let range = KeyRange::new(first, value("bits")?.parse().ok()?)?;
        let RangeDigest { count, sum } = self.blocks.digest(range);
        let mut reply = json!({"instance_id": instance, "count": count, "sum": format!("{sum:x}")});
        match self.blocks.content(range) {
            RangeContent::Parts(parts) => {
                let digest =
                    |part: &RangeDigest| json!({"count": part.count, "sum": format!("{:x}", part.sum)});
                reply["parts"] = parts.iter().map(digest).collect();
            }
            RangeContent::Items(items) => {
                let item = |(key, tokens): &(u64, u64)| json!([format!("{key:x}"), tokens]);
                reply["items"] = items.iter().map(item).collect();
            }
        }
        Some(reply)
    }
}
