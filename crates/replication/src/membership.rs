//! What this member knows of the others, and which view it wants to follow.

use crate::disk_health::DiskHealth;
use crate::identifiers::MemberId;
use crate::message::Heartbeat;
use crate::model::{Member, View};
use crate::register::ReplicationProgress;
use crate::replica::Replica;
use crate::view_planning::{AcceptedSlowDisks, ClusterState, MemberStatus, forced_view, next_view};
use std::time::Duration;

/// How long a voter must be silent before a member outside the view replaces it.
const DEPARTED_AFTER: Duration = Duration::from_millis(1_000);

/// How many entries a member may be behind and still be appended to the chain: it then gets the rest, which is the newest document
/// and the keys between. Its heartbeat is up to an interval old, in which dozens of changes may be committed.
const MAX_LAG: u64 = 64;

impl Replica {
    /// The view that should follow, as far as this member knows.
    pub(crate) fn wanted_view(&self) -> Option<View> {
        next_view(self.view.as_ref()?, &self.cluster_state()?)
    }

    /// The view that should follow where no member that has all committed entries is reachable: led by one that has them if nothing
    /// was committed lately, which the voters' promises are to establish.
    pub(crate) fn forced_view(&self) -> Option<View> {
        forced_view(self.view.as_ref()?, &self.earlier_views, &self.cluster_state()?)
    }

    fn cluster_state(&self) -> Option<ClusterState> {
        let view = self.view.as_ref()?;
        let members = self.known_members();
        Some(ClusterState {
            me: self.id,
            tolerated_failures: self.settings.tolerated_failures,
            members: members.iter().map(|member| self.member_status(view, member)).collect(),
            accepted_slow_disks: AcceptedSlowDisks::None,
            disconnected: self.disconnected_pairs(&members),
            refuses_slow_disks: planted!(self, RefusesSlowDisks),
            ignores_evidence: planted!(self, ForcesWithoutEvidence),
        })
    }

    /// Pairs of which the first does not hear the second.
    fn disconnected_pairs(&self, members: &[Member]) -> Vec<(MemberId, MemberId)> {
        let mut pairs = Vec::new();
        if planted!(self, IgnoresOneWayPartitions) {
            return pairs;
        }
        for listener in members {
            let deaf = |speaker: &&Member| self.peers.is_deaf(self.now, listener.id, speaker.id);
            pairs.extend(members.iter().filter(deaf).map(|speaker| (listener.id, speaker.id)));
        }
        pairs
    }

    fn member_status(&self, view: &View, member: &Member) -> MemberStatus {
        if member.id == self.id {
            return self.own_status(view);
        }
        let Some(peer) = self.peers.get(member.id) else {
            return MemberStatus {
                member: member.clone(),
                reachable: self.is_vouched_for(view, member.id),
                disk: DiskHealth::Healthy,
                complete: false,
                progress: ReplicationProgress::default(),
                gave_up_sync: false,
                in_view: false,
                appendable: false,
                shutting_down: false,
                departed: !self.is_heard_by_chain(view, member.id),
            };
        };
        let heartbeat = &peer.heartbeat;
        let heard = self.peers.hears(self.now, member.id) || self.is_vouched_for(view, member.id);
        let heard_lately = self.peers.hears_within(self.now, member.id, DEPARTED_AFTER);
        let is_steady = self.peers.is_steady(self.now, member.id) && !planted!(self, NeverAppends);
        MemberStatus {
            member: heartbeat.member.clone(),
            reachable: heard && !heartbeat.shutting_down,
            disk: heartbeat.disk_health(),
            complete: heartbeat.complete == view.number || planted!(self, AnyMemberLeads),
            progress: ReplicationProgress { synced: heartbeat.synced, complete: heartbeat.complete },
            gave_up_sync: heartbeat.gave_up_sync,
            in_view: heard && peer.view == view.number,
            appendable: is_steady && peer.view == view.number && self.can_join_chain(heartbeat),
            shutting_down: heartbeat.shutting_down,
            departed: !heard_lately && !self.is_heard_by_chain(view, member.id),
        }
    }

    fn own_status(&self, view: &View) -> MemberStatus {
        MemberStatus {
            member: self.me(),
            reachable: !self.shutting_down,
            disk: self.own_disk_health(),
            complete: self.chain.durable_progress.complete == view.number || planted!(self, AnyMemberLeads),
            progress: ReplicationProgress {
                synced: self.progress.synced,
                complete: self.chain.durable_progress.complete,
            },
            gave_up_sync: self.acceptor.gave_up_sync,
            in_view: true,
            appendable: false,
            shutting_down: self.shutting_down,
            departed: false,
        }
    }

    pub(crate) fn own_disk_health(&self) -> DiskHealth {
        if planted!(self, HidesDiskFailure) {
            return DiskHealth::Healthy;
        }
        self.writes.disk_health(self.now)
    }

    /// Whether this member is outside the chain and takes the chain's word that a member is there: it must not break up a chain only
    /// because it does not hear all of it itself.
    fn is_vouched_for(&self, view: &View, id: MemberId) -> bool {
        !view.chain.contains(&self.id) && self.is_heard_by_chain(view, id)
    }

    /// Whether another member of the chain that is heard reports that it hears this one.
    fn is_heard_by_chain(&self, view: &View, id: MemberId) -> bool {
        view.chain.iter().filter(|other| **other != id && **other != self.id).any(|other| {
            let peer = self.peers.get(*other).filter(|_| self.peers.hears(self.now, *other));
            peer.is_some_and(|peer| peer.heartbeat.heard.iter().any(|heard| heard.id == id))
        })
    }

    /// Whether a member is close enough to the state of the chain to be appended.
    fn can_join_chain(&self, heartbeat: &Heartbeat) -> bool {
        if planted!(self, NeverReplacesVoters) && !self.is_voter(heartbeat.member.id) {
            return false;
        }
        // A chain that commits nothing is not delayed by what its new member lacks, and outside it a copy may not be applied.
        if !self.is_active() {
            return true;
        }
        let near = heartbeat.newest.sequence.get() + MAX_LAG >= self.register.newest().sequence.get();
        near && self.register.contains(&heartbeat.newest)
    }
}
