//! Copies of the committed state for members outside the chain, so that they are ready to join it.

use crate::chain_state::ReceivedCopy;
use crate::identifiers::{MemberId, Sequence};
use crate::message::MessageBody;
use crate::record::RecordBody;
use crate::register::EntryKey;
use crate::replica::Replica;
use std::time::Duration;

/// The minimum interval between two requests for a copy of the register.
const COPY_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

impl Replica {
    /// Compares the register with the newest entry that another member reports as committed. If this member
    /// has the same entry, it is committed here too; if this member is behind, it requests a copy.
    pub(crate) fn compare_register(&mut self, sender: MemberId, committed: EntryKey) {
        if committed.sequence > Sequence::NONE && self.register.newest() == committed {
            self.register.commit(committed.sequence);
            return self.advance_chain();
        }
        let own = self.register.committed_key().sequence;
        let has_stale_pending = self.register.pending().is_some() && committed.sequence == own;
        let is_behind = committed.sequence > own || (has_stale_pending && own > Sequence::NONE);
        let is_due = self.copy_requested_at.is_none_or(|last| self.now >= last + COPY_REQUEST_INTERVAL);
        if is_behind && is_due && self.chain_position().is_none() && !self.writes.is_rejecting() {
            self.copy_requested_at = Some(self.now);
            self.send(sender, MessageBody::CopyRequest { newest: self.register.newest() });
        }
    }

    /// A member outside the chain requests the committed state.
    pub(crate) fn receive_copy_request(&mut self, sender: MemberId, newest: EntryKey) {
        if self.register.committed().is_some() {
            let transfer = self.with_injected_fault(self.register.committed_transfer_to(&newest));
            let active = self.is_active();
            self.send(sender, MessageBody::Copy { transfer: Box::new(transfer), active });
        }
    }

    /// Applies a copy outside the chain. An uncommitted entry from an earlier view is kept until the whole
    /// chain is synced in this view: before that, it may be the only copy of an entry that was committed.
    pub(crate) fn receive_copy(&mut self, copy: ReceivedCopy) {
        let ReceivedCopy { view, transfer, active } = copy;
        let may_discard = active && view == self.view_number();
        let may_apply =
            may_discard || self.register.is_retained_by(&transfer) || has_fault!(self, CopiesTooEarly);
        if !may_apply {
            return;
        }
        if self.chain_position().is_some() || self.writes.is_rejecting() {
            return;
        }
        let own = self.register.committed_key().sequence;
        let copied = transfer.committed.as_ref().map_or(Sequence::NONE, |entry| entry.sequence);
        let is_newer = copied > own || (copied == own && self.register.pending().is_some());
        if !is_newer || !self.register.apply_transfer(&transfer) {
            return;
        }
        let action = self.advance_durable_action();
        self.store(RecordBody::Transfer { transfer, progress: self.progress }, action);
    }
}
