//! Sending messages to other members and to this member itself.

use crate::identifiers::MemberId;
use crate::interface::Output;
use crate::message::{Message, MessageBody};
use crate::model::Member;
use crate::replica::Replica;
use std::net::SocketAddrV4;

impl Replica {
    pub(crate) fn own_member(&self) -> Member {
        Member { id: self.id, address: self.settings.address, zone: self.settings.zone.clone() }
    }

    /// The address of a member: from the view if it is a voter, else from its heartbeats.
    fn address(&self, id: MemberId) -> Option<SocketAddrV4> {
        let voter = self.voters().iter().find(|voter| voter.id == id).map(|voter| voter.address);
        voter.or_else(|| self.peers.get(id).map(|peer| peer.heartbeat.member.address))
    }

    pub(crate) fn send(&mut self, to: MemberId, body: MessageBody) {
        if to == self.id {
            self.loopback.push_back(Message { sender: self.id, view: self.view_number(), body });
        } else if let Some(address) = self.address(to) {
            self.send_to(address, body);
        }
    }

    /// Sends a message, unless the identity is not durable yet.
    pub(crate) fn send_to(&mut self, to: SocketAddrV4, body: MessageBody) {
        if self.identity_durable {
            let message = Message { sender: self.id, view: self.view_number(), body };
            self.outputs.push(Output::Send { to, message });
        }
    }

    pub(crate) fn send_to_voters(&mut self, body: &MessageBody) {
        let voters: Vec<MemberId> = self.voters().iter().map(|voter| voter.id).collect();
        for voter in voters {
            self.send(voter, body.clone());
        }
    }
}
