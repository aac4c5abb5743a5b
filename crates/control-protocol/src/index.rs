//! Changes of the index of prompt blocks that backends have cached.

use serde::{Deserialize, Serialize};

/// The state of one block in a backend's prefix cache, as a node assumes it or an audit has found it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexChange {
    /// The key of the backend's instance ([`crate::instance_key`]).
    pub backend: u64,
    /// The key of the prompt block.
    #[serde(rename = "part")]
    pub block: u64,
    /// The number of tokens in the block; `None` if the block is not cached.
    pub tokens: Option<u32>,
}

/// The most changes that one message carries.
pub const MAX_INDEX_CHANGES_PER_MESSAGE: usize = 2000;
