//! The replicated register: the newest committed entry, a newer one that is not committed yet, and the keys
//! of older entries.

use crate::identifiers::{Generation, Sequence, ViewNumber};
use crate::model::{Change, Entry};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Identifies an entry. If the newest entries of two members have the same key, the members have the same
/// history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryKey {
    pub(crate) sequence: Sequence,
    pub(crate) view: ViewNumber,
    #[serde(with = "serde_bytes")]
    pub(crate) digest: [u8; 32],
    /// The generation of the change; 0 in keys stored before this field existed.
    #[serde(default)]
    pub(crate) generation: Generation,
}

impl EntryKey {
    pub(crate) fn of(entry: &Entry) -> Self {
        let Change { digest, generation, .. } = entry.change;
        EntryKey { sequence: entry.sequence, view: entry.view, digest, generation }
    }
}

/// The views up to which a member has the committed state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplicationProgress {
    /// The latest view in which the member has taken over the state of its predecessor (or which it has led).
    pub(crate) synced: ViewNumber,
    /// The latest view such that the member has every entry committed in it or before. Later than `synced` if
    /// the member is in the chain of later views without being synced in them: nothing is committed there
    /// without it.
    pub(crate) complete: ViewNumber,
}

impl ReplicationProgress {
    /// Records that the member is synced in this view.
    pub(crate) fn sync(&mut self, number: ViewNumber) {
        self.synced = number;
        self.complete = number;
    }

    /// Records that the view `number` follows, and that nothing was committed in the views between `since`
    /// and it.
    pub(crate) fn skip_idle(&mut self, since: ViewNumber, number: ViewNumber) {
        if self.complete >= since {
            self.complete = self.complete.max(number.previous());
        }
    }

    /// Records that the view `number`, whose chain contains the member, is the newest. It is complete there
    /// if it was complete in the view before, since nothing is committed in the new view without it.
    pub(crate) fn enter(&mut self, number: ViewNumber) {
        if self.complete.next() == number {
            self.complete = number;
        }
    }
}

/// The part of a register that one member sends to another, so that both have the same register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StateTransfer {
    /// The key before the first of `keys`, which the receiver must have; `None` if `keys` is the complete
    /// history of the sender.
    pub(crate) base: Option<EntryKey>,
    /// Keys in the order of their entries, the newest last.
    pub(crate) keys: Vec<EntryKey>,
    pub(crate) committed: Option<Entry>,
    pub(crate) pending: Option<Entry>,
    /// The highest generation whose key was pruned; 0 if none was. Serialized under its old name.
    #[serde(default, rename = "forgotten")]
    pub(crate) pruned_generation: Generation,
}

impl StateTransfer {
    /// The key of the newest entry that the receiver has after the transfer.
    pub(crate) fn newest(&self) -> EntryKey {
        self.keys.last().copied().or(self.base).unwrap_or_default()
    }
}

/// A member's copy of the register.
#[derive(Clone, Debug)]
pub(crate) struct Register {
    /// The maximum number of entry keys that are kept to recognize retried changes.
    history_length: usize,
    /// The highest generation whose key was pruned; 0 if none was.
    pruned_generation: Generation,
    /// Keys in the order of their entries, the newest last.
    keys: VecDeque<EntryKey>,
    committed: Option<Entry>,
    /// The newest entry, unless it is known to be committed.
    pending: Option<Entry>,
}

impl Register {
    /// Creates an empty register that keeps up to `history_length` keys, at least 2.
    pub(crate) fn new(history_length: usize) -> Self {
        let keys = VecDeque::new();
        Register {
            history_length: history_length.max(2),
            pruned_generation: Generation::NONE,
            keys,
            committed: None,
            pending: None,
        }
    }

    /// The highest generation whose key was pruned. For changes up to it, it is not known any more whether
    /// they were committed.
    pub(crate) fn pruned_generation(&self) -> Generation {
        self.pruned_generation
    }

    /// The key of the newest entry, committed or not; the default key if there is none.
    pub(crate) fn newest(&self) -> EntryKey {
        self.keys.back().copied().unwrap_or_default()
    }

    /// The key of the entry before the newest one; the default key if there is none.
    pub(crate) fn before_newest(&self) -> EntryKey {
        let count = self.keys.len();
        if count < 2 { EntryKey::default() } else { self.keys[count - 2] }
    }

    pub(crate) fn committed(&self) -> Option<&Entry> {
        self.committed.as_ref()
    }

    pub(crate) fn committed_key(&self) -> EntryKey {
        self.committed.as_ref().map(EntryKey::of).unwrap_or_default()
    }

    pub(crate) fn pending(&self) -> Option<&Entry> {
        self.pending.as_ref()
    }

    /// The newest entry, committed or not.
    pub(crate) fn newest_entry(&self) -> Option<&Entry> {
        self.pending.as_ref().or(self.committed.as_ref())
    }

    /// The generation of the newest committed entry; 0 if there is none.
    pub(crate) fn generation(&self) -> Generation {
        self.committed.as_ref().map_or(Generation::NONE, |entry| entry.change.generation)
    }

    /// The sequence of the committed entry with this digest, if its key is still kept.
    pub(crate) fn find_committed(&self, digest: &[u8; 32]) -> Option<Sequence> {
        let committed = self.committed_key().sequence;
        let found = self.keys.iter().rev().find(|key| key.sequence <= committed && key.digest == *digest);
        found.map(|key| key.sequence)
    }

    pub(crate) fn contains(&self, key: &EntryKey) -> bool {
        *key == EntryKey::default() || self.position(key).is_some()
    }

    fn position(&self, key: &EntryKey) -> Option<usize> {
        let first = self.keys.front()?.sequence.get();
        let position = usize::try_from(key.sequence.get().checked_sub(first)?).ok()?;
        (self.keys.get(position) == Some(key)).then_some(position)
    }

    /// Appends the next entry. The entry before it must be committed by now, as the head has only one entry
    /// in flight.
    pub(crate) fn append(&mut self, entry: Entry) {
        if let Some(before) = self.pending.take() {
            self.committed = Some(before);
        }
        self.keys.push_back(EntryKey::of(&entry));
        self.pending = Some(entry);
        self.prune_keys();
    }

    fn prune_keys(&mut self) {
        while self.keys.len() > self.history_length {
            let oldest = self.keys.pop_front();
            self.pruned_generation =
                oldest.map_or(self.pruned_generation, |key| self.pruned_generation.max(key.generation));
        }
    }

    /// Marks the entries up to this sequence as committed.
    pub(crate) fn commit(&mut self, sequence: Sequence) {
        if self.pending.as_ref().is_some_and(|entry| entry.sequence <= sequence) {
            self.committed = self.pending.take();
        }
    }

    /// What a member lacks whose newest entry is `peer_newest`.
    pub(crate) fn transfer_to(&self, peer_newest: &EntryKey) -> StateTransfer {
        self.transfer_up_to(self.keys.len(), peer_newest, self.pending.clone())
    }

    /// What a member lacks of the committed state if its newest entry is `peer_newest`.
    pub(crate) fn committed_transfer_to(&self, peer_newest: &EntryKey) -> StateTransfer {
        let end = self.keys.len() - usize::from(self.pending.is_some());
        self.transfer_up_to(end, peer_newest, None)
    }

    fn transfer_up_to(&self, end: usize, peer_newest: &EntryKey, pending: Option<Entry>) -> StateTransfer {
        let known = self.position(peer_newest).filter(|position| *position < end);
        let start = known.map_or(0, |position| position + 1);
        StateTransfer {
            base: known.map(|position| self.keys[position]),
            keys: self.keys.range(start..end).copied().collect(),
            committed: self.committed.clone(),
            pending,
            pruned_generation: self.pruned_generation,
        }
    }

    /// Whether the receiver of this transfer still has all entries of this register.
    pub(crate) fn is_retained_by(&self, transfer: &StateTransfer) -> bool {
        let newest = self.newest();
        transfer.base == Some(newest) || newest == EntryKey::default() || transfer.keys.contains(&newest)
    }

    /// Applies a transfer from another member. Returns false, without a change, if its base is not in this
    /// register.
    ///
    /// # Panics
    ///
    /// If the transfer has a different entry at the position of a committed one: two histories have then been
    /// committed, and no member may continue with either.
    pub(crate) fn apply_transfer(&mut self, transfer: &StateTransfer) -> bool {
        let committed = self.committed_key();
        match &transfer.base {
            None => self.keys.clear(),
            Some(base) => {
                let Some(position) = self.position(base) else { return false };
                self.keys.truncate(position + 1);
            }
        }
        self.keys.extend(transfer.keys.iter().copied());
        self.pruned_generation = self.pruned_generation.max(transfer.pruned_generation);
        self.prune_keys();
        self.committed = transfer.committed.clone();
        self.pending = transfer.pending.clone();
        self.assert_retains(&committed);
        self.commit(committed.sequence);
        true
    }

    /// Panics if a committed entry was replaced or lost.
    fn assert_retains(&self, committed: &EntryKey) {
        let oldest = self.keys.front().map_or(Sequence::NONE, |key| key.sequence);
        let is_retained = committed.sequence < oldest || self.contains(committed);
        assert!(
            is_retained,
            "entry {} (view {}) is committed, but a state transfer replaces it by another history",
            committed.sequence, committed.view
        );
    }

    /// Panics if the entries and the keys contradict each other.
    pub(crate) fn assert_consistent(&self) {
        let committed = self.committed_key().sequence;
        let follows = self.pending.as_ref().is_none_or(|pending| pending.sequence == committed.next());
        assert!(follows, "the uncommitted entry does not follow the newest committed entry, {committed}");
        let newest = self.newest_entry().map(EntryKey::of).unwrap_or_default();
        assert!(
            self.newest() == newest,
            "the newest key (sequence {}) is not that of the newest entry (sequence {})",
            self.newest().sequence,
            newest.sequence
        );
    }

    /// The complete register, as a transfer without a base.
    pub(crate) fn full_transfer(&self) -> StateTransfer {
        StateTransfer {
            base: None,
            keys: self.keys.iter().copied().collect(),
            committed: self.committed.clone(),
            pending: self.pending.clone(),
            pruned_generation: self.pruned_generation,
        }
    }
}
