//! Identifiers of backends, prompt blocks, frontends and rounds.

/// The key of a backend instance: the hash of its instance id. A backend that restarts has another key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendKey(pub u64);

/// The key of a prompt block: a hash of the model, of the block's content and of all blocks before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockKey(pub u64);

/// The number of a frontend that reports its index, unique within one audit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct FrontendId(pub u32);

/// The number of a round, unique within one audit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RoundNumber(pub u64);
