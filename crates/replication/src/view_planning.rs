//! Reconfiguration: the choice of the next view, as a pure function of the view in force and of what one
//! member knows about the others.

use crate::disk_health::DiskHealth;
use crate::identifiers::{MemberId, ViewNumber};
use crate::model::{Member, View};
use crate::register::ReplicationProgress;
use std::collections::VecDeque;

/// What the planning member knows about one member, possibly itself.
#[derive(Clone, Debug)]
pub(crate) struct MemberStatus {
    pub(crate) member: Member,
    /// Whether heartbeats of the member arrive, here or at a chain member that reports so, and it is not
    /// shutting down.
    pub(crate) reachable: bool,
    pub(crate) disk: DiskHealth,
    /// Whether the member has all committed entries.
    pub(crate) complete: bool,
    pub(crate) progress: ReplicationProgress,
    /// Whether the member has promised not to become synced in the view that it knows.
    pub(crate) gave_up_sync: bool,
    /// Whether heartbeats of the member arrive and it knows the view in force.
    pub(crate) in_view: bool,
    /// Whether the member may be appended to the chain: its heartbeats are stable and it has a recent copy of
    /// the register.
    pub(crate) appendable: bool,
    pub(crate) shutting_down: bool,
    /// Whether heartbeats of the member have arrived at no member for a while.
    pub(crate) departed: bool,
}

/// Which members with slow disks may be in the chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AcceptedSlowDisks {
    None,
    /// These ones, because too few members with healthy disks remain.
    Of(Vec<MemberId>),
    All,
}

/// What the planning member knows about the group: the input of the choice of a view.
#[derive(Clone)]
pub(crate) struct ClusterState {
    pub(crate) own_id: MemberId,
    pub(crate) tolerated_failures: usize,
    /// The voters and the known members outside the view.
    pub(crate) members: Vec<MemberStatus>,
    /// The members whose slow disks are accepted in the chain.
    pub(crate) accepted_slow_disks: AcceptedSlowDisks,
    /// Injected fault: no slow disk is ever accepted.
    pub(crate) refuses_slow_disks: bool,
    /// Injected fault: a healthy member with all committed entries does not prevent a forced view.
    pub(crate) ignores_evidence: bool,
    /// Pairs of members of which the first does not receive the heartbeats of the second.
    pub(crate) disconnected: Vec<(MemberId, MemberId)>,
}

impl ClusterState {
    fn status(&self, id: MemberId) -> Option<&MemberStatus> {
        self.members.iter().find(|status| status.member.id == id)
    }

    fn is_healthy(&self, id: MemberId) -> bool {
        self.status(id).is_some_and(|status| self.is_eligible(status))
    }

    fn is_eligible(&self, status: &MemberStatus) -> bool {
        if status.disk == DiskHealth::Slow && self.refuses_slow_disks {
            return false;
        }
        let has_disk = match (status.disk, &self.accepted_slow_disks) {
            (DiskHealth::Healthy, _) | (DiskHealth::Slow, AcceptedSlowDisks::All) => true,
            (DiskHealth::Slow, AcceptedSlowDisks::Of(members)) => members.contains(&status.member.id),
            (DiskHealth::Slow, AcceptedSlowDisks::None) | (DiskHealth::Failed, _) => false,
        };
        status.reachable && has_disk
    }

    fn with_accepted_slow_disks(&self, accepted_slow_disks: AcceptedSlowDisks) -> ClusterState {
        ClusterState { accepted_slow_disks, ..self.clone() }
    }

    /// The minimum length of a chain, so that entries that it commits survive the tolerated number of
    /// failures.
    fn required_length(&self, voters: usize) -> usize {
        self.tolerated_failures.min(voters.saturating_sub(1)) + 1
    }

    /// As many members with slow disks as the minimum length of a chain requires in addition to the healthy
    /// ones. A change is written to the disks of the chain one after the other, so further slow ones would
    /// only delay it.
    fn fewest_slow_disks(&self, view: &View) -> AcceptedSlowDisks {
        let voters = view.voters.iter().map(|voter| voter.id);
        let in_order: Vec<MemberId> = view.chain.iter().copied().chain(voters).collect();
        let healthy = view.voters.iter().filter(|voter| self.is_healthy(voter.id)).count();
        let missing = self.required_length(view.voters.len()).saturating_sub(healthy);
        let mut accepted = Vec::new();
        for id in in_order {
            let is_slow = self.status(id).is_some_and(|status| status.disk == DiskHealth::Slow);
            if is_slow && accepted.len() < missing && !accepted.contains(&id) {
                accepted.push(id);
            }
        }
        AcceptedSlowDisks::Of(accepted)
    }

    fn is_complete(&self, id: MemberId) -> bool {
        self.status(id).is_some_and(|status| status.complete)
    }

    fn are_connected(&self, one: MemberId, other: MemberId) -> bool {
        !self.disconnected.iter().any(|pair| *pair == (one, other) || *pair == (other, one))
    }

    fn is_connected_to_all(&self, one: MemberId, others: &[MemberId]) -> bool {
        others.iter().all(|other| *other == one || self.are_connected(one, *other))
    }
}

/// The result of planning for the view in force.
enum Plan {
    /// The view in force needs no change.
    Keep,
    /// The view in force should be replaced by this one.
    Change(View),
    /// No view is possible that can commit changes.
    Impossible,
}

/// The view that should replace the one in force; `None` if that one needs no change or no better one is
/// possible. Members with slow disks are left out as long as enough others remain; otherwise a slow chain is
/// better than none.
pub(crate) fn next_view(view: &View, cluster: &ClusterState) -> Option<View> {
    let choices = [AcceptedSlowDisks::None, cluster.fewest_slow_disks(view), AcceptedSlowDisks::All];
    for accepted in choices {
        match plan(view, &cluster.with_accepted_slow_disks(accepted)) {
            Plan::Change(next) => return Some(next),
            Plan::Keep => return None,
            Plan::Impossible => {}
        }
    }
    None
}

fn plan(view: &View, cluster: &ClusterState) -> Plan {
    let Some(survivors) = survivors(view, cluster) else { return Plan::Impossible };
    let is_in_chain = view.chain.contains(&cluster.own_id);
    let voters = if is_in_chain { next_voters(view, cluster, &survivors) } else { view.voters.clone() };
    let retained: Vec<MemberId> = survivors.iter().copied().filter(|id| is_among(&voters, *id)).collect();
    let has_failures = survivors.len() < view.chain.len();
    let chain =
        if is_in_chain || has_failures { with_ready_voters(&retained, &voters, cluster) } else { retained };
    // A member that has promised not to become synced in this view can become synced only in the next one.
    let gave_up_sync = |id: &MemberId| cluster.status(*id).is_some_and(|status| status.gave_up_sync);
    if chain == view.chain && voters == view.voters && !chain.iter().any(gave_up_sync) {
        return Plan::Keep;
    }
    let chain = complete_first(chain, cluster);
    let enough = chain.len() >= cluster.required_length(voters.len());
    let is_led_by_complete = chain.first().is_some_and(|head| cluster.is_complete(*head));
    if !enough || !is_led_by_complete {
        return Plan::Impossible;
    }
    Plan::Change(View { number: view.number.next(), voters, chain, idle_since: None })
}

/// The forced view that should replace the one in force if no healthy member has all committed entries. Its
/// chain is a largest set of healthy voters that hear each other, and its head has all entries up to an
/// earlier view after which nothing was committed. Nothing was committed in a view if a member of its chain
/// was never synced in it; for the view in force, the voters' promises have to show this.
pub(crate) fn forced_view(view: &View, earlier: &VecDeque<View>, cluster: &ClusterState) -> Option<View> {
    let cluster = &cluster.with_accepted_slow_disks(AcceptedSlowDisks::All);
    let healthy: Vec<MemberId> =
        view.voters.iter().map(|voter| voter.id).filter(|id| cluster.is_healthy(*id)).collect();
    let may_commit = healthy.iter().any(|id| cluster.is_complete(*id)) && !cluster.ignores_evidence;
    if may_commit || !healthy.contains(&cluster.own_id) {
        return None;
    }
    let since = idle_since(view, earlier, cluster);
    let leads = |id: &MemberId| cluster.status(*id).is_some_and(|status| status.progress.complete >= since);
    let is_connected = |subset: &Vec<MemberId>| {
        subset.iter().all(|id| cluster.is_connected_to_all(*id, subset)) && subset.contains(&cluster.own_id)
    };
    let possible =
        subsets(&healthy).into_iter().filter(|subset| is_connected(subset) && subset.iter().any(leads));
    let mut chain = possible.max_by_key(Vec::len)?;
    let head = chain.remove(chain.iter().position(leads)?);
    chain.insert(0, head);
    let enough = chain.len() >= cluster.required_length(view.voters.len());
    let (number, voters) = (view.number.next(), view.voters.clone());
    enough.then_some(View { number, voters, chain, idle_since: Some(since) })
}

/// The earliest view such that nothing was committed in any later one, leaving aside the view in force.
fn idle_since(view: &View, earlier: &VecDeque<View>, cluster: &ClusterState) -> ViewNumber {
    let was_never_synced = |number: ViewNumber, id: MemberId| {
        cluster.status(id).is_some_and(|status| status.in_view && status.progress.synced < number)
    };
    let was_idle = |earlier: &&View| earlier.chain.iter().any(|id| was_never_synced(earlier.number, *id));
    let mut since = view.number.previous();
    for before in earlier.iter().rev() {
        if before.number != since || !was_idle(&before) {
            break;
        }
        since = since.previous();
    }
    since
}

/// The largest subset of the chain whose members are healthy and hear each other, and of which one has all
/// committed entries; among equals, the one with the members that are first in the chain. If this member is a
/// healthy member of the chain, the subset contains it.
fn survivors(view: &View, cluster: &ClusterState) -> Option<Vec<MemberId>> {
    let healthy: Vec<MemberId> = view.chain.iter().copied().filter(|id| cluster.is_healthy(*id)).collect();
    let must_contain_self = healthy.contains(&cluster.own_id);
    let mut best: Option<Vec<MemberId>> = None;
    for subset in subsets(&healthy) {
        let is_connected = subset.iter().all(|id| cluster.is_connected_to_all(*id, &subset));
        let contains_self = !must_contain_self || subset.contains(&cluster.own_id);
        let has_complete = subset.iter().any(|id| cluster.is_complete(*id));
        let larger = best.as_ref().is_none_or(|best| subset.len() > best.len());
        if is_connected && contains_self && has_complete && larger {
            let all = subset.len() == healthy.len();
            best = Some(subset);
            if all {
                break;
            }
        }
    }
    best
}

/// Moves the first member with all committed entries to the front.
fn complete_first(mut members: Vec<MemberId>, cluster: &ClusterState) -> Vec<MemberId> {
    if let Some(position) = members.iter().position(|id| cluster.is_complete(*id)) {
        let head = members.remove(position);
        members.insert(0, head);
    }
    members
}

/// All non-empty subsets. Of two with the same size, the one with earlier members comes first.
fn subsets(members: &[MemberId]) -> Vec<Vec<MemberId>> {
    let count = members.len().min(16);
    let masks = (1_u32..1 << count).rev();
    let chosen = |mask: u32| (0..count).filter(move |bit| mask >> (count - 1 - bit) & 1 == 1);
    masks.map(|mask| chosen(mask).map(|bit| members[bit]).collect()).collect()
}

fn is_among(members: &[Member], id: MemberId) -> bool {
    members.iter().any(|member| member.id == id)
}

/// The voters of the next view: departed ones are replaced by members outside the view, and missing ones are
/// added.
fn next_voters(view: &View, cluster: &ClusterState, survivors: &[MemberId]) -> Vec<Member> {
    let mut voters = view.voters.clone();
    let outside = cluster.members.iter().filter(|status| !is_among(&view.voters, status.member.id));
    for candidate in outside.filter(|status| cluster.is_eligible(status) && status.appendable) {
        if !cluster.is_connected_to_all(candidate.member.id, survivors) {
            continue;
        }
        match position_to_replace(candidate, &voters, cluster) {
            Some(position) => voters[position] = candidate.member.clone(),
            None if voters.len() < 2 * cluster.tolerated_failures + 1 => {
                voters.push(candidate.member.clone());
            }
            None => {}
        }
    }
    voters
}

/// The position of the voter that a candidate replaces: one with the same address, else one that is shutting
/// down, else one that has departed.
fn position_to_replace(candidate: &MemberStatus, voters: &[Member], cluster: &ClusterState) -> Option<usize> {
    let same_address = voters.iter().position(|voter| voter.address == candidate.member.address);
    let position_where = |test: fn(&MemberStatus) -> bool| {
        voters.iter().position(|voter| cluster.status(voter.id).is_some_and(test))
    };
    same_address
        .or_else(|| position_where(|status| status.shutting_down))
        .or_else(|| position_where(|status| status.departed))
}

/// The retained chain, followed by the voters that are ready to be appended.
fn with_ready_voters(retained: &[MemberId], voters: &[Member], cluster: &ClusterState) -> Vec<MemberId> {
    let mut chain = retained.to_vec();
    for voter in voters {
        let is_ready =
            cluster.is_healthy(voter.id) && cluster.status(voter.id).is_some_and(|status| status.appendable);
        if is_ready && !chain.contains(&voter.id) && cluster.is_connected_to_all(voter.id, &chain) {
            chain.push(voter.id);
        }
    }
    chain
}
