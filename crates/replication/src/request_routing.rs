//! Routing of client requests from the member that received them to the head or the tail, and of the
//! responses back.

use crate::identifiers::{MemberId, RequestId};
use crate::interface::Output;
use crate::message::{MessageBody, Request, RequestOrigin};
use crate::model::RequestOutcome;
use crate::peers::HEARTBEAT_TIMEOUT;
use crate::read_index::ConfirmedResponse;
use crate::replica::Replica;

impl Replica {
    /// Accepts a client request at this member.
    pub(crate) fn submit(&mut self, id: RequestId, request: Request) {
        self.pending_requests.insert(self.now, id, request);
        self.send_due_requests();
    }

    pub(crate) fn cancel(&mut self, id: RequestId) {
        self.pending_requests.remove(id);
        let origin = self.own_origin(id);
        self.write_queue.cancel(origin);
        self.read_index.cancel(origin);
    }

    fn own_origin(&self, request: RequestId) -> RequestOrigin {
        RequestOrigin { member: self.id, incarnation: self.incarnation, request, relay: None }
    }

    /// Times out and retries requests, and resends the confirmation request.
    pub(crate) fn tick_requests(&mut self) {
        for id in self.pending_requests.remove_timed_out(self.now) {
            self.outputs.push(Output::Respond(id, RequestOutcome::Unknown));
        }
        self.send_due_requests();
        self.write_queue.drop_expired(self.now);
        if let Some(round) = self.read_index.take_due(self.now) {
            self.send_to_voters(&MessageBody::ConfirmView { round });
        }
        self.begin_confirmation_round();
    }

    /// Sends the requests that are due, to the head or the tail.
    pub(crate) fn send_due_requests(&mut self) {
        let Some(view) = &self.view else { return };
        let (Some(head), Some(tail)) = (view.chain.first().copied(), view.chain.last().copied()) else {
            return;
        };
        for (id, request) in self.pending_requests.take_due(self.now) {
            if has_fault!(self, NeverRetriesRequests) && self.pending_requests.is_retry(id) {
                continue;
            }
            let origin = self.own_origin(id);
            let server = match &request {
                Request::Write(_) => head,
                Request::Read | Request::ReadIndex => tail,
            };
            self.forward(server, origin, request);
        }
    }

    fn forward(&mut self, server: MemberId, origin: RequestOrigin, request: Request) {
        if server == self.id {
            self.receive_request(origin, request);
        } else {
            let next = self.relay_for(server).unwrap_or(server);
            self.send(next, MessageBody::Forward { origin, request });
        }
    }

    /// A voter through which to reach `server`, if this member has no two-way contact with it: one with
    /// two-way contact to this member that receives the heartbeats of `server`.
    fn relay_for(&self, server: MemberId) -> Option<MemberId> {
        if self.peers.has_two_way_contact(self.now, server, HEARTBEAT_TIMEOUT) {
            return None;
        }
        let others = self.voters().iter().map(|voter| voter.id).filter(|id| *id != self.id && *id != server);
        let reached = |id: &MemberId| self.peers.has_two_way_contact(self.now, *id, HEARTBEAT_TIMEOUT);
        others.filter(reached).find(|id| self.peers.reports_hearing(self.now, *id, server))
    }

    /// Relays a request of a member that can't reach the server itself.
    fn relay(&mut self, origin: RequestOrigin, request: Request) {
        let Some(view) = &self.view else { return };
        let server = match &request {
            Request::Write(_) => view.chain.first().copied(),
            Request::Read | Request::ReadIndex => view.chain.last().copied(),
        };
        let origin = RequestOrigin { relay: Some(self.id), ..origin };
        if let Some(server) = server.filter(|server| *server != self.id) {
            self.send(server, MessageBody::Forward { origin, request });
        }
    }

    /// Serves a request as the head or the tail; elsewhere, relays it.
    pub(crate) fn receive_request(&mut self, origin: RequestOrigin, request: Request) {
        match request {
            Request::Write(change) if self.is_head() => self.receive_change(origin, change),
            Request::Read if self.is_tail() => {
                if has_fault!(self, ReadsWithoutConfirmation) {
                    return self.respond(origin, RequestOutcome::Current(self.register.committed().cloned()));
                }
                self.respond_once_confirmed(origin, ConfirmedResponse::NewestEntry);
            }
            Request::ReadIndex if self.is_tail() => {
                self.respond_once_confirmed(origin, ConfirmedResponse::NewestSequence);
            }
            request if origin.relay.is_none() && origin.member != self.id => self.relay(origin, request),
            _ => {}
        }
    }

    /// Sends a response to the origin of a request, through the relay if there was one.
    pub(crate) fn respond(&mut self, origin: RequestOrigin, outcome: RequestOutcome) {
        if origin.member == self.id {
            self.receive_response(origin, outcome);
        } else {
            let next = origin.relay.filter(|relay| *relay != self.id).unwrap_or(origin.member);
            self.send(next, MessageBody::Response { origin, outcome });
        }
    }

    /// Handles a response to a request of this member or to one that it relayed.
    pub(crate) fn receive_response(&mut self, origin: RequestOrigin, outcome: RequestOutcome) {
        if origin.relay == Some(self.id) && origin.member != self.id {
            self.send(origin.member, MessageBody::Response { origin, outcome });
        } else if origin.member == self.id
            && (origin.incarnation == self.incarnation || has_fault!(self, AcceptsOtherIncarnations))
            && self.pending_requests.remove(origin.request)
        {
            self.outputs.push(Output::Respond(origin.request, outcome));
        }
    }
}
