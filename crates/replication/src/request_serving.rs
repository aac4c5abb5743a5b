//! Serving of client requests: changes at the head, and confirmation of the view before a response.

use crate::identifiers::{ConfirmationRound, MemberId};
use crate::message::{MessageBody, RequestOrigin};
use crate::model::{Change, Entry, RequestOutcome};
use crate::read_index::ConfirmedResponse;
use crate::replica::Replica;
use crate::write_queue::{WriteDecision, decide};

impl Replica {
    pub(crate) fn receive_change(&mut self, origin: RequestOrigin, change: Change) {
        let committed = self.register.find_committed(&change.digest);
        if let Some(sequence) = committed.filter(|_| !has_fault!(self, IgnoresDigests)) {
            return self.respond_finally(origin, RequestOutcome::Committed { sequence });
        }
        let pending = self.register.pending().map(|entry| entry.change.digest);
        if pending == Some(change.digest) {
            return self.write_queue.join_in_flight(origin);
        }
        self.write_queue.push(self.now, change, origin);
        self.serve_writes();
    }

    /// Responds to the requests whose change was committed, then decides on queued changes until one of them
    /// is in flight.
    pub(crate) fn serve_writes(&mut self) {
        if !self.is_active() || self.writes.is_rejecting() {
            return;
        }
        if has_fault!(self, CommitsAtHead) {
            self.register.commit(self.chain.durable_newest.sequence);
        }
        while self.register.pending().is_none() {
            let sequence = self.register.committed_key().sequence;
            for origin in std::mem::take(&mut self.write_queue.in_flight) {
                self.respond(origin, RequestOutcome::Committed { sequence });
            }
            let Some(write) = self.write_queue.pop(self.register.generation()) else { return };
            match self.decide(&write.change) {
                WriteDecision::Append => self.append_change(write.change, write.origins),
                WriteDecision::Respond(outcome) => {
                    write
                        .origins
                        .into_iter()
                        .for_each(|origin| self.respond_finally(origin, outcome.clone()));
                }
                WriteDecision::WaitForBase => self.write_queue.push_awaiting_base(write),
            }
        }
    }

    fn decide(&self, change: &Change) -> WriteDecision {
        let current = self.register.generation();
        if has_fault!(self, IgnoresBase) && change.generation > current {
            return WriteDecision::Append;
        }
        if has_fault!(self, IgnoresDigests) && change.base < current {
            return WriteDecision::Respond(RequestOutcome::Conflict { current });
        }
        match decide(&self.register, change) {
            WriteDecision::Respond(RequestOutcome::TooOld { current }) if has_fault!(self, RejectsPruned) => {
                WriteDecision::Respond(RequestOutcome::Conflict { current })
            }
            decision => decision,
        }
    }

    /// Appends a change as the next entry.
    fn append_change(&mut self, change: Change, origins: Vec<RequestOrigin>) {
        let sequence = self.register.newest().sequence.next();
        self.write_queue.in_flight = origins;
        self.append_entry(Entry { sequence, view: self.view_number(), change });
    }

    /// Responds with an outcome that no later commit can alter. Although the outcome is correct without a
    /// confirmation, a partitioned head does not send it: its client should turn to a member that knows the
    /// current state.
    fn respond_finally(&mut self, origin: RequestOrigin, outcome: RequestOutcome) {
        if has_fault!(self, RespondsWithoutConfirmation) {
            return self.respond(origin, outcome);
        }
        self.respond_once_confirmed(origin, ConfirmedResponse::Final(outcome));
    }

    pub(crate) fn respond_once_confirmed(&mut self, origin: RequestOrigin, response: ConfirmedResponse) {
        self.read_index.push(origin, response);
        self.begin_confirmation_round();
    }

    /// Begins a confirmation round if requests are queued for one.
    pub(crate) fn begin_confirmation_round(&mut self) {
        if !self.is_active() {
            return;
        }
        if let Some(round) = self.read_index.begin(self.now) {
            self.send_to_voters(&MessageBody::ConfirmView { round });
        }
    }

    /// Confirms to another member, which knows the same view, that this view is the latest. Not confirmed
    /// once this voter has accepted a proposal for the next view.
    pub(crate) fn receive_confirmation_request(&mut self, sender: MemberId, round: ConfirmationRound) {
        if self.is_voter(self.id) && self.acceptor.accepted.is_none() {
            self.send(sender, MessageBody::ViewConfirmed { round });
        }
    }

    pub(crate) fn receive_confirmation(&mut self, sender: MemberId, round: ConfirmationRound) {
        if !self.is_voter(sender) {
            return;
        }
        let majority = self.majority();
        for request in self.read_index.record_confirmation(round, sender, majority) {
            let outcome = match request.response {
                ConfirmedResponse::NewestEntry => RequestOutcome::Current(self.register.committed().cloned()),
                ConfirmedResponse::NewestSequence => {
                    RequestOutcome::ReadIndex { sequence: self.register.committed_key().sequence }
                }
                ConfirmedResponse::Final(outcome) => outcome,
            };
            self.respond(request.origin, outcome);
        }
        self.begin_confirmation_round();
    }
}
