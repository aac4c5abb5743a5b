//! The knowledge of this member about the others, and the view that it would propose.

use crate::disk_health::DiskHealth;
use crate::identifiers::MemberId;
use crate::message::Heartbeat;
use crate::model::{Member, View};
use crate::register::ReplicationProgress;
use crate::replica::Replica;
use crate::view_planning::{AcceptedSlowDisks, ClusterState, MemberStatus, forced_view, next_view};
use std::time::Duration;

/// How long no heartbeat of a voter must have arrived before a member outside the view replaces it.
const DEPARTED_AFTER: Duration = Duration::from_millis(1_000);

/// The maximum number of entries that a member may lack when it is appended to the chain. It then receives
/// the newest document and the keys of the entries between. Its heartbeat is up to one interval old, in which
/// dozens of changes may be committed.
const MAX_LAG_ENTRIES: u64 = 64;

impl Replica {
    /// The view that should replace the one in force, if any, as far as this member knows.
    pub(crate) fn desired_view(&self) -> Option<View> {
        next_view(self.view.as_ref()?, &self.cluster_state()?)
    }

    /// The forced view that should replace the one in force if no member that has all committed entries is
    /// reachable. It is led by a member that has them provided that nothing was committed lately, which the
    /// voters' promises have to show.
    pub(crate) fn forced_view(&self) -> Option<View> {
        forced_view(self.view.as_ref()?, &self.earlier_views, &self.cluster_state()?)
    }

    fn cluster_state(&self) -> Option<ClusterState> {
        let view = self.view.as_ref()?;
        let members = self.known_members();
        Some(ClusterState {
            own_id: self.id,
            tolerated_failures: self.settings.tolerated_failures,
            members: members.iter().map(|member| self.member_status(view, member)).collect(),
            accepted_slow_disks: AcceptedSlowDisks::None,
            disconnected: self.disconnected_pairs(&members),
            refuses_slow_disks: has_fault!(self, RefusesSlowDisks),
            ignores_evidence: has_fault!(self, ForcesWithoutEvidence),
        })
    }

    /// Pairs of members of which the first does not receive the heartbeats of the second.
    fn disconnected_pairs(&self, members: &[Member]) -> Vec<(MemberId, MemberId)> {
        let mut pairs = Vec::new();
        if has_fault!(self, IgnoresOneWayPartitions) {
            return pairs;
        }
        for receiver in members {
            let unheard = |sender: &&Member| self.peers.reports_not_hearing(self.now, receiver.id, sender.id);
            pairs.extend(members.iter().filter(unheard).map(|sender| (receiver.id, sender.id)));
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
                reachable: self.is_reported_alive_by_chain(view, member.id),
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
        let heard = self.peers.hears(self.now, member.id) || self.is_reported_alive_by_chain(view, member.id);
        let heard_recently = self.peers.hears_within(self.now, member.id, DEPARTED_AFTER);
        let is_stable = self.peers.is_stable(self.now, member.id) && !has_fault!(self, NeverAppends);
        MemberStatus {
            member: heartbeat.member.clone(),
            reachable: heard && !heartbeat.shutting_down,
            disk: heartbeat.disk_health(),
            complete: heartbeat.complete == view.number || has_fault!(self, AnyMemberLeads),
            progress: ReplicationProgress { synced: heartbeat.synced, complete: heartbeat.complete },
            gave_up_sync: heartbeat.gave_up_sync,
            in_view: heard && peer.view == view.number,
            appendable: is_stable && peer.view == view.number && self.can_join_chain(heartbeat),
            shutting_down: heartbeat.shutting_down,
            departed: !heard_recently && !self.is_heard_by_chain(view, member.id),
        }
    }

    fn own_status(&self, view: &View) -> MemberStatus {
        MemberStatus {
            member: self.own_member(),
            reachable: !self.shutting_down,
            disk: self.own_disk_health(),
            complete: self.chain.durable_progress.complete == view.number || has_fault!(self, AnyMemberLeads),
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
        if has_fault!(self, HidesDiskFailure) {
            return DiskHealth::Healthy;
        }
        self.writes.disk_health(self.now)
    }

    /// Whether this member is outside the chain and the chain reports that it hears the given member. A
    /// member outside must not have the chain reconfigured only because it does not hear all of it itself.
    fn is_reported_alive_by_chain(&self, view: &View, id: MemberId) -> bool {
        !view.chain.contains(&self.id) && self.is_heard_by_chain(view, id)
    }

    /// Whether some other member of the chain, whose heartbeats arrive here, reports that it hears the given
    /// member.
    fn is_heard_by_chain(&self, view: &View, id: MemberId) -> bool {
        view.chain.iter().filter(|other| **other != id && **other != self.id).any(|other| {
            let peer = self.peers.get(*other).filter(|_| self.peers.hears(self.now, *other));
            peer.is_some_and(|peer| peer.heartbeat.heard.iter().any(|heard| heard.id == id))
        })
    }

    /// Whether a member's register is close enough to this one for the member to be appended to the chain.
    fn can_join_chain(&self, heartbeat: &Heartbeat) -> bool {
        if has_fault!(self, NeverReplacesVoters) && !self.is_voter(heartbeat.member.id) {
            return false;
        }
        // An inactive chain commits nothing, so a new member can't delay it; and outside such a chain, copies
        // may not be applied, so that the member could not catch up there.
        if !self.is_active() {
            return true;
        }
        let is_near =
            heartbeat.newest.sequence.get() + MAX_LAG_ENTRIES >= self.register.newest().sequence.get();
        is_near && self.register.contains(&heartbeat.newest)
    }
}
