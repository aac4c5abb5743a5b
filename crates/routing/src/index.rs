//! The prompt index towards the fleet's index audit: changes to report to it, and corrections by it.

use crate::affinity::{ChainBlock, Prompt};
use crate::interface::{BackendId, PromptBlock, RequestShape};
use crate::prefix_cache::CacheChange;
use crate::service::Service;

/// The most blocks that are parsed of a prompt. Bounds the work for a request head that is full of them.
const MAX_BLOCKS: usize = 256;

/// A change in the estimate of what a backend has cached.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexChange {
    /// The backend.
    pub backend: BackendId,
    /// The key of the block, as [`prompt_block_keys`] gives it.
    pub block: u64,
    /// The tokens of the block; `None` if it is no longer expected to be cached.
    pub tokens: Option<u32>,
}

/// The keys of a prompt's blocks in order. A key is a hash of the model, of the block and of all blocks
/// before it. Backends use the same keys to report which blocks they have cached.
pub fn prompt_block_keys(model: &str, blocks: &[PromptBlock]) -> Vec<u64> {
    let shape = RequestShape { model: model.to_owned(), blocks: blocks.to_vec(), ..RequestShape::default() };
    Prompt::of(&shape).chain.iter().map(|link| link.hash).collect()
}

/// Parses the value of `X-Prompt-Prefix`: `ID:TOKENS,ID:TOKENS`, with ids in hexadecimal. Stops at the first
/// block that is malformed, since a block is of use only together with all blocks before it, and after 256
/// blocks.
pub fn parse_prompt_blocks(text: &str) -> Vec<PromptBlock> {
    let parse_block = |block: &str| {
        let (id, tokens) = block.trim().split_once(':')?;
        Some(PromptBlock { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    };
    text.split(',').map_while(parse_block).take(MAX_BLOCKS).collect()
}

impl Service {
    /// Sets whether this index is audited against what backends report. If so, it models the complete cache
    /// of a backend instead of this node's share, since the audit adds the blocks that other nodes sent
    /// there.
    pub fn set_audited(&mut self, audited: bool) {
        self.prefix_cache.set_journaled(audited);
        self.audited = audited;
    }

    /// Takes the changes of the index since the last call; none where it is not audited.
    pub fn index_changes(&mut self) -> Vec<IndexChange> {
        let changes = self.prefix_cache.take_changes();
        self.with_backend_ids(changes)
    }

    /// The complete index as changes from an empty one; none where it is not audited. Those not taken by
    /// [`Service::index_changes`] yet are included and not returned again.
    pub fn complete_index(&mut self) -> Vec<IndexChange> {
        let entries = self.prefix_cache.take_complete();
        self.with_backend_ids(entries)
    }

    /// Applies the finding of an audit that a backend has cached a block (`Some` with its tokens) or has not
    /// (`None`).
    pub fn correct_index(&mut self, backend: &BackendId, block: u64, tokens: Option<u32>) {
        let Some(&position) = self.positions.get(backend) else { return };
        let number = self.backends[position].number;
        match tokens {
            Some(tokens) => {
                let capacity = self.engine.map_or(0.0, |engine| engine.kv_capacity_tokens as f64);
                self.prefix_cache.add_block(
                    number,
                    ChainBlock { hash: block, tokens: f64::from(tokens) },
                    capacity,
                );
            }
            None => self.prefix_cache.remove_block(number, block),
        }
    }

    /// Replaces backend numbers by ids, and drops the changes of backends that are no longer listed.
    fn with_backend_ids(&self, changes: Vec<CacheChange>) -> Vec<IndexChange> {
        let with_id = |change: CacheChange| {
            let &position = self.numbers.get(&change.backend)?;
            let backend = self.backends[position].entry.id.clone();
            Some(IndexChange {
                backend,
                block: change.block,
                tokens: change.tokens.map(|tokens| tokens as u32),
            })
        };
        changes.into_iter().filter_map(with_id).collect()
    }
}
