//! Replication along the chain (van Renesse and Schneider, 2004): each member sends entries to its successor
//! and reports its progress to its predecessor; the tail commits.

use crate::identifiers::{MemberId, ViewNumber};
use crate::message::{ChainProgress, MessageBody};
use crate::model::Entry;
use crate::record::RecordBody;
use crate::register::{EntryKey, ReplicationProgress, StateTransfer};
use crate::replica::Replica;
use std::time::Duration;

/// The interval at which an offer is repeated to a successor that has not reported the newest entry as
/// committed.
const OFFER_INTERVAL: Duration = Duration::from_millis(150);

/// The interval after which an unconfirmed entry or transfer is resent, plus [`RESEND_INTERVAL_PER_MIB`] for
/// each MiB of its document.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);

const RESEND_INTERVAL_PER_MIB: Duration = Duration::from_millis(300);

impl Replica {
    pub(crate) fn chain_position(&self) -> Option<usize> {
        self.view.as_ref()?.chain.iter().position(|id| *id == self.id)
    }

    pub(crate) fn successor(&self) -> Option<MemberId> {
        self.view.as_ref()?.chain.get(self.chain_position()? + 1).copied()
    }

    fn predecessor(&self) -> Option<MemberId> {
        let before = self.chain_position()?.checked_sub(1)?;
        self.view.as_ref()?.chain.get(before).copied()
    }

    pub(crate) fn is_head(&self) -> bool {
        self.chain_position() == Some(0)
    }

    pub(crate) fn is_tail(&self) -> bool {
        self.chain_position().is_some() && self.successor().is_none()
    }

    /// Whether all members from this one to the tail are synced in this view, so that every entry of this
    /// member is committed or will be.
    pub(crate) fn is_active(&self) -> bool {
        self.is_durably_synced_in_view() && self.chain.active
    }

    /// Whether this member is synced in this view according to what is on its disk.
    fn is_durably_synced_in_view(&self) -> bool {
        self.view_number() > ViewNumber::NONE && self.chain.durable_progress.synced == self.view_number()
    }

    fn is_synced_in_view(&self) -> bool {
        self.view_number() > ViewNumber::NONE && self.progress.synced == self.view_number()
    }

    /// Starts as the head of a view: the other members will take over its state. Also called after a restart,
    /// because the process may have ended after it recorded the view and before it recorded that it is
    /// synced.
    pub(crate) fn become_head(&mut self) {
        if self.progress.complete != self.view_number() && !has_fault!(self, AnyMemberLeads) {
            log::error!(
                "replication: became head of view {} without all committed entries: complete up to view {}",
                self.view_number(),
                self.progress.complete
            );
        } else if !self.is_synced_in_view() {
            self.mark_synced();
        }
    }

    fn mark_synced(&mut self) {
        if self.acceptor.gave_up_sync {
            return;
        }
        self.progress.sync(self.view_number());
        let action = self.advance_durable_action();
        self.store(RecordBody::Synced(self.view_number()), action);
    }

    /// Records that the register is durable up to this entry, and advances the chain.
    pub(crate) fn advance_durable(&mut self, newest: EntryKey, progress: ReplicationProgress) {
        let is_complete_changed = self.chain.durable_progress.complete != progress.complete;
        self.chain.durable_newest = newest;
        self.chain.durable_progress = progress;
        self.advance_chain();
        if is_complete_changed {
            self.send_heartbeats();
        }
    }

    /// Takes the steps that new durable entries allow: commits at the tail, sends to the successor elsewhere,
    /// and reports to the predecessor.
    pub(crate) fn advance_chain(&mut self) {
        if !self.is_durably_synced_in_view() || self.chain_position().is_none() {
            return;
        }
        if self.is_tail() {
            self.chain.active = true;
            self.register.commit(self.chain.durable_newest.sequence);
        } else {
            self.replicate_to_successor();
        }
        self.after_commit();
    }

    /// Called after entries may have been committed: reports to the predecessor or, at the head, responds to
    /// clients.
    fn after_commit(&mut self) {
        self.report_progress_if_changed();
        if self.is_head() {
            self.serve_writes();
        }
        self.begin_confirmation_round();
    }

    fn chain_progress(&self) -> ChainProgress {
        let synced = self.is_durably_synced_in_view();
        ChainProgress {
            newest: if synced { self.chain.durable_newest } else { self.register.newest() },
            synced,
            active: self.is_active(),
            committed: self.register.committed_key().sequence,
        }
    }

    fn report_progress_if_changed(&mut self) {
        if self.chain.reported_progress != Some(self.chain_progress()) {
            self.report_progress();
        }
    }

    fn report_progress(&mut self) {
        let Some(predecessor) = self.predecessor() else { return };
        let progress = self.chain_progress();
        self.chain.reported_progress = Some(progress);
        self.send(predecessor, MessageBody::Progress(progress));
    }

    /// Sends the successor the entries that it lacks, or an offer while its newest entry is not known.
    pub(crate) fn replicate_to_successor(&mut self) {
        let Some(successor) = self.successor().filter(|_| self.is_durably_synced_in_view()) else { return };
        let newest = self.chain.durable_newest;
        let Some(progress) = self.chain.successor_progress else { return self.offer_if_due(successor) };
        if progress.newest == newest {
            if !progress.synced {
                self.offer_if_due(successor);
            }
            return;
        }
        if self.register.newest() != newest || !self.is_send_due(newest) {
            return;
        }
        self.chain.last_sent = Some((newest, self.now));
        let entry = self.register.newest_entry().filter(|_| progress.newest == self.register.before_newest());
        let body = match entry {
            Some(entry) => MessageBody::Append { previous: progress.newest, entry: entry.clone() },
            None => {
                let transfer = self.register.transfer_to(&progress.newest);
                MessageBody::Sync(Box::new(self.with_injected_fault(transfer)))
            }
        };
        self.send(successor, body);
    }

    /// The transfer to send: unchanged, unless the fault that omits the history is injected.
    pub(crate) fn with_injected_fault(&self, mut transfer: StateTransfer) -> StateTransfer {
        if has_fault!(self, TransfersWithoutHistory) {
            transfer.keys = vec![transfer.newest()];
            transfer.base = None;
        }
        transfer
    }

    fn is_send_due(&self, newest: EntryKey) -> bool {
        let size = self.register.newest_entry().map_or(0, |entry| entry.change.document.len());
        let interval =
            RESEND_INTERVAL + RESEND_INTERVAL_PER_MIB * u32::try_from(size >> 20).unwrap_or(u32::MAX);
        self.chain.last_sent.is_none_or(|(key, at)| key != newest || self.now >= at + interval)
    }

    fn offer_if_due(&mut self, successor: MemberId) {
        if self.chain.offered_at.is_none_or(|last| self.now >= last + OFFER_INTERVAL) {
            self.chain.offered_at = Some(self.now);
            self.send(successor, MessageBody::Offer { newest: self.chain.durable_newest });
        }
    }

    /// Repeats the offer until the successor reports that the newest entry is committed.
    pub(crate) fn tick_chain(&mut self) {
        let Some(successor) = self.successor().filter(|_| self.is_durably_synced_in_view()) else { return };
        let newest = self.chain.durable_newest;
        let has_committed = |progress: ChainProgress| {
            progress.newest == newest && progress.active && progress.committed >= newest.sequence
        };
        if !self.chain.successor_progress.is_some_and(has_committed) && !has_fault!(self, NeverRepeatsOffers)
        {
            self.offer_if_due(successor);
        }
    }

    /// The predecessor offers its newest entry. If this member has the same one, it becomes synced; else it
    /// reports its progress, so that the predecessor sends what is missing.
    pub(crate) fn receive_offer(&mut self, sender: MemberId, newest: EntryKey) {
        if self.predecessor() != Some(sender) || self.writes.is_rejecting() {
            return;
        }
        let keeps_uncommitted = has_fault!(self, KeepsUncommitted);
        let is_same = self.register.newest() == newest
            || has_fault!(self, SyncsWithoutComparing)
            || (keeps_uncommitted && self.register.newest().sequence >= newest.sequence);
        if !self.is_synced_in_view() && is_same {
            self.mark_synced();
        } else if self.is_synced_in_view() == self.is_durably_synced_in_view() {
            self.report_progress();
        }
    }

    /// The predecessor sends the next entry. It is appended if it follows the newest one here; else the
    /// progress is reported.
    pub(crate) fn receive_append(&mut self, sender: MemberId, previous: EntryKey, entry: Entry) {
        if self.predecessor() != Some(sender) || self.writes.is_rejecting() || self.acceptor.gave_up_sync {
            return;
        }
        if self.register.newest() == previous && entry.sequence == previous.sequence.next() {
            self.append_entry(entry);
        } else if self.register.newest() == self.chain.durable_newest {
            self.report_progress();
        }
    }

    /// Appends an entry to the register and stores it.
    pub(crate) fn append_entry(&mut self, entry: Entry) {
        self.progress.sync(self.view_number());
        self.register.append(entry.clone());
        let action = self.advance_durable_action();
        self.store(RecordBody::Entry { entry, synced: self.view_number() }, action);
        if has_fault!(self, ForwardsBeforeDurable) {
            self.advance_durable(self.register.newest(), self.progress);
        }
    }

    /// The predecessor transfers all that this member lacks.
    pub(crate) fn receive_sync(&mut self, sender: MemberId, transfer: StateTransfer) {
        if self.predecessor() != Some(sender) || self.writes.is_rejecting() || self.acceptor.gave_up_sync {
            return;
        }
        let is_outdated =
            self.is_synced_in_view() && transfer.newest().sequence <= self.register.newest().sequence;
        if is_outdated || !self.register.apply_transfer(&transfer) {
            return self.report_progress();
        }
        self.progress.sync(self.view_number());
        let action = self.advance_durable_action();
        self.store(RecordBody::Transfer { transfer, progress: self.progress }, action);
    }

    /// The successor reports its progress.
    pub(crate) fn receive_progress(&mut self, sender: MemberId, progress: ChainProgress) {
        if self.successor() != Some(sender) || !self.is_durably_synced_in_view() {
            return;
        }
        let is_outdated_by = |known: ChainProgress| {
            known.synced && (!progress.synced || progress.newest.sequence < known.newest.sequence)
        };
        if self.chain.successor_progress.is_some_and(is_outdated_by) {
            return;
        }
        self.chain.successor_progress = Some(progress);
        if progress.synced && progress.active {
            self.chain.active = true;
            self.register.commit(progress.committed);
        }
        self.replicate_to_successor();
        self.after_commit();
    }
}
