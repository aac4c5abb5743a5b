//! Sending and receiving heartbeats.

use crate::disk_health::DiskHealth;
use crate::identifiers::{MemberId, ViewNumber};
use crate::message::{Heartbeat, MessageBody};
use crate::model::Member;
use crate::peers::Peer;
use crate::replica::Replica;
use std::net::SocketAddrV4;
use std::time::Duration;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

impl Replica {
    pub(crate) fn tick_heartbeats(&mut self) {
        let due = self.heartbeat_sent_at.is_none_or(|last| self.now >= last + HEARTBEAT_INTERVAL);
        if due {
            self.send_heartbeats();
        }
        let members = self.known_members();
        self.peers.remove_departed(self.now, &members);
    }

    pub(crate) fn send_heartbeats(&mut self) {
        self.heartbeat_sent_at = Some(self.now);
        let heartbeat = self.own_heartbeat();
        for address in self.heartbeat_targets() {
            self.send_to(address, MessageBody::Heartbeat(Box::new(heartbeat.clone())));
        }
    }

    /// Notifies members outside the chain of a newly committed entry, so that they request a copy.
    pub(crate) fn send_heartbeats_outside_chain(&mut self) {
        let Some(view) = &self.view else { return };
        let outside = |peer: &&Peer| !view.chain.contains(&peer.heartbeat.member.id);
        let targets: Vec<SocketAddrV4> =
            self.peers.iter().filter(outside).map(|peer| peer.heartbeat.member.address).collect();
        let heartbeat = self.own_heartbeat();
        for address in targets {
            self.send_to(address, MessageBody::Heartbeat(Box::new(heartbeat.clone())));
        }
    }

    pub(crate) fn own_heartbeat(&self) -> Heartbeat {
        let disk = self.own_disk_health();
        Heartbeat {
            member: self.own_member(),
            incarnation: self.incarnation,
            sent_ms: u64::try_from(self.now.as_millis()).unwrap_or(u64::MAX),
            disk_unhealthy: disk != DiskHealth::Healthy,
            disk_slow: disk == DiskHealth::Slow,
            shutting_down: self.shutting_down,
            complete: self.chain.durable_progress.complete,
            synced: self.progress.synced,
            gave_up_sync: self.acceptor.gave_up_sync,
            active: self.is_active(),
            committed: self.register.committed_key(),
            newest: self.chain.durable_newest,
            heard: self.peers.heard_list(self.now, &self.other_voters()),
        }
    }

    /// The addresses to send heartbeats to: the voters and the known members outside the view, and also the
    /// seeds while this member is not a voter or has no contact with a majority.
    fn heartbeat_targets(&self) -> Vec<SocketAddrV4> {
        let mut targets: Vec<SocketAddrV4> = self.voters().iter().map(|voter| voter.address).collect();
        targets.extend(self.peers.iter().map(|peer| peer.heartbeat.member.address));
        if !self.is_voter(self.id) || !self.has_quorum_contact() {
            targets.extend(&self.settings.seeds);
        }
        targets.sort();
        targets.dedup();
        targets.retain(|address| *address != self.settings.address);
        targets
    }

    fn other_voters(&self) -> Vec<Member> {
        self.voters().iter().filter(|voter| voter.id != self.id).cloned().collect()
    }

    /// This member, the voters and the known members outside the view.
    pub(crate) fn known_members(&self) -> Vec<Member> {
        let mut members = self.other_voters();
        members.push(self.own_member());
        for peer in self.peers.iter() {
            if members.iter().all(|member| member.id != peer.heartbeat.member.id) {
                members.push(peer.heartbeat.member.clone());
            }
        }
        members
    }

    pub(crate) fn receive_heartbeat(&mut self, sender: MemberId, view: ViewNumber, heartbeat: Heartbeat) {
        if sender == self.id || sender != heartbeat.member.id {
            return;
        }
        let committed = heartbeat.committed;
        let members = self.known_members();
        let restarted = self.peers.record_heartbeat(self.now, self.id, view, heartbeat, &members);
        if restarted && self.successor() == Some(sender) {
            self.chain.reset_successor();
            self.replicate_to_successor();
        }
        self.compare_register(sender, committed);
    }
}
