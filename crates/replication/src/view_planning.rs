//! Reconfiguration: which view is to follow, as a pure function of the view in force and of what one member knows of the others.

use crate::disk_health::DiskHealth;
use crate::identifiers::{MemberId, ViewNumber};
use crate::model::{Member, View};
use crate::register::ReplicationProgress;
use std::collections::VecDeque;

/// What is known of a member.
#[derive(Clone, Debug)]
pub(crate) struct MemberStatus {
    pub(crate) member: Member,
    /// It is heard (by this member, or by a member of the chain that is), and it is not shutting down.
    pub(crate) reachable: bool,
    /// The state of its disk.
    pub(crate) disk: DiskHealth,
    /// It has all committed entries.
    pub(crate) complete: bool,
    /// How much of the committed state it reports to have.
    pub(crate) progress: ReplicationProgress,
    /// It has given up being synced in the view that it knows.
    pub(crate) gave_up_sync: bool,
    /// It is heard, and knows the view in force.
    pub(crate) in_view: bool,
    /// Its heartbeats are steady and it has copied the register: it may be appended to the chain.
    pub(crate) appendable: bool,
    /// Its process is shutting down.
    pub(crate) shutting_down: bool,
    /// No member has heard it for long.
    pub(crate) departed: bool,
}

/// Which members count as healthy although their disks are slow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AcceptedSlowDisks {
    None,
    /// Those of these members: too few others remain.
    Of(Vec<MemberId>),
    All,
}

/// What one member knows of the group.
#[derive(Clone)]
pub(crate) struct ClusterState {
    pub(crate) me: MemberId,
    pub(crate) tolerated_failures: usize,
    /// Voters and others.
    pub(crate) members: Vec<MemberStatus>,
    /// Which slow disks are accepted.
    pub(crate) accepted_slow_disks: AcceptedSlowDisks,
    /// A deliberate fault: no slow disk is ever accepted.
    pub(crate) refuses_slow_disks: bool,
    /// A deliberate fault: a healthy member with all committed entries does not prevent a forced view.
    pub(crate) ignores_evidence: bool,
    /// Pairs of which the first does not hear the second.
    pub(crate) disconnected: Vec<(MemberId, MemberId)>,
}

impl ClusterState {
    fn status(&self, id: MemberId) -> Option<&MemberStatus> {
        self.members.iter().find(|status| status.member.id == id)
    }

    fn is_healthy(&self, id: MemberId) -> bool {
        self.status(id).is_some_and(|status| self.meets_requirements(status))
    }

    fn meets_requirements(&self, status: &MemberStatus) -> bool {
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

    fn accepting(&self, accepted_slow_disks: AcceptedSlowDisks) -> ClusterState {
        ClusterState { accepted_slow_disks, ..self.clone() }
    }

    /// How many members a chain needs, so that what it commits survives the failures that are tolerated.
    fn required_length(&self, voters: usize) -> usize {
        self.tolerated_failures.min(voters.saturating_sub(1)) + 1
    }

    /// As many members with slow disks as a chain needs beside those with healthy ones. A change waits for each disk of the
    /// chain in turn, so that more of them would only delay it.
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

    fn linked(&self, one: MemberId, other: MemberId) -> bool {
        !self.disconnected.iter().any(|pair| *pair == (one, other) || *pair == (other, one))
    }

    fn linked_to_all(&self, one: MemberId, others: &[MemberId]) -> bool {
        others.iter().all(|other| *other == one || self.linked(one, *other))
    }
}

/// What should become of the view in force.
enum Plan {
    /// It is as it should be.
    Keep,
    /// This one should follow.
    Change(View),
    /// No view is possible that commits anything.
    Impossible,
}

/// The view that should follow; `None` if this one is as it should be or no better one is possible. Members with slow disks are
/// left out as long as enough others remain. Where they don't, a slow chain is better than none.
pub(crate) fn next_view(view: &View, known: &ClusterState) -> Option<View> {
    let choices = [AcceptedSlowDisks::None, known.fewest_slow_disks(view), AcceptedSlowDisks::All];
    for accepted in choices {
        match plan(view, &known.accepting(accepted)) {
            Plan::Change(next) => return Some(next),
            Plan::Keep => return None,
            Plan::Impossible => {}
        }
    }
    None
}

fn plan(view: &View, known: &ClusterState) -> Plan {
    let Some(survivors) = survivors(view, known) else { return Plan::Impossible };
    let is_in_chain = view.chain.contains(&known.me);
    let voters = if is_in_chain { voters(view, known, &survivors) } else { view.voters.clone() };
    let retained: Vec<MemberId> = survivors.iter().copied().filter(|id| is_among(&voters, *id)).collect();
    let has_failures = survivors.len() < view.chain.len();
    let chain = if is_in_chain || has_failures { with_appended(&retained, &voters, known) } else { retained };
    // A member that gave up being synced in this view can be synced in the next one only.
    let gave_up_sync = |id: &MemberId| known.status(*id).is_some_and(|status| status.gave_up_sync);
    if chain == view.chain && voters == view.voters && !chain.iter().any(gave_up_sync) {
        return Plan::Keep;
    }
    let chain = complete_first(chain, known);
    let enough = chain.len() >= known.required_length(voters.len());
    let is_led_by_complete = chain.first().is_some_and(|head| known.is_complete(*head));
    if !enough || !is_led_by_complete {
        return Plan::Impossible;
    }
    Plan::Change(View { number: view.number.next(), voters, chain, idle_since: None })
}

/// A forced reconfiguration: the view that should follow where no healthy member has all committed entries. Among the voters that
/// are healthy and hear each other, one leads that has all entries up to an earlier view after which nothing was committed. Nothing
/// was committed in a view if a member of its chain was never synced in it; for the view in force, the voters' promises have to show
/// that.
pub(crate) fn forced_view(view: &View, earlier: &VecDeque<View>, known: &ClusterState) -> Option<View> {
    let known = &known.accepting(AcceptedSlowDisks::All);
    let healthy: Vec<MemberId> =
        view.voters.iter().map(|voter| voter.id).filter(|id| known.is_healthy(*id)).collect();
    let may_commit = healthy.iter().any(|id| known.is_complete(*id)) && !known.ignores_evidence;
    if may_commit || !healthy.contains(&known.me) {
        return None;
    }
    let since = idle_since(view, earlier, known);
    let leads = |id: &MemberId| known.status(*id).is_some_and(|status| status.progress.complete >= since);
    let is_connected = |subset: &Vec<MemberId>| {
        subset.iter().all(|id| known.linked_to_all(*id, subset)) && subset.contains(&known.me)
    };
    let possible =
        subsets(&healthy).into_iter().filter(|subset| is_connected(subset) && subset.iter().any(leads));
    let mut chain = possible.max_by_key(Vec::len)?;
    let head = chain.remove(chain.iter().position(leads)?);
    chain.insert(0, head);
    let enough = chain.len() >= known.required_length(view.voters.len());
    let (number, voters) = (view.number.next(), view.voters.clone());
    enough.then_some(View { number, voters, chain, idle_since: Some(since) })
}

/// The number of the earliest view such that nothing was committed in any after it, but for the one in force.
fn idle_since(view: &View, earlier: &VecDeque<View>, known: &ClusterState) -> ViewNumber {
    let was_never_synced = |number: ViewNumber, id: MemberId| {
        known.status(id).is_some_and(|status| status.in_view && status.progress.synced < number)
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

/// The largest part of the chain whose members are healthy and hear each other, the first in the order of the chain among equals.
/// One of them has all committed entries. A healthy member of the chain retains itself.
fn survivors(view: &View, known: &ClusterState) -> Option<Vec<MemberId>> {
    let healthy: Vec<MemberId> = view.chain.iter().copied().filter(|id| known.is_healthy(*id)).collect();
    let must_contain_me = healthy.contains(&known.me);
    let mut best: Option<Vec<MemberId>> = None;
    for subset in subsets(&healthy) {
        let is_connected = subset.iter().all(|id| known.linked_to_all(*id, &subset));
        let contains_me = !must_contain_me || subset.contains(&known.me);
        let has_complete = subset.iter().any(|id| known.is_complete(*id));
        let larger = best.as_ref().is_none_or(|best| subset.len() > best.len());
        if is_connected && contains_me && has_complete && larger {
            let all = subset.len() == healthy.len();
            best = Some(subset);
            if all {
                break;
            }
        }
    }
    best
}

/// Moves the first complete member to the front.
fn complete_first(mut members: Vec<MemberId>, known: &ClusterState) -> Vec<MemberId> {
    if let Some(position) = members.iter().position(|id| known.is_complete(*id)) {
        let head = members.remove(position);
        members.insert(0, head);
    }
    members
}

/// All subsets, so that of two of one size the one with earlier members comes first.
fn subsets(members: &[MemberId]) -> Vec<Vec<MemberId>> {
    let count = members.len().min(16);
    let masks = (1_u32..1 << count).rev();
    let chosen = |mask: u32| (0..count).filter(move |bit| mask >> (count - 1 - bit) & 1 == 1);
    masks.map(|mask| chosen(mask).map(|bit| members[bit]).collect()).collect()
}

fn is_among(members: &[Member], id: MemberId) -> bool {
    members.iter().any(|member| member.id == id)
}

/// The voters, with departed ones replaced by members outside the view.
fn voters(view: &View, known: &ClusterState, survivors: &[MemberId]) -> Vec<Member> {
    let mut voters = view.voters.clone();
    let outside = known.members.iter().filter(|status| !is_among(&view.voters, status.member.id));
    for newcomer in outside.filter(|status| known.meets_requirements(status) && status.appendable) {
        if !known.linked_to_all(newcomer.member.id, survivors) {
            continue;
        }
        match position_to_replace(newcomer, &voters, known) {
            Some(position) => voters[position] = newcomer.member.clone(),
            None if voters.len() < 2 * known.tolerated_failures + 1 => voters.push(newcomer.member.clone()),
            None => {}
        }
    }
    voters
}

/// The position of the voter that a newcomer replaces: the one whose address it has, one that is shutting down, one that has departed.
fn position_to_replace(newcomer: &MemberStatus, voters: &[Member], known: &ClusterState) -> Option<usize> {
    let same_address = voters.iter().position(|voter| voter.address == newcomer.member.address);
    let having = |test: fn(&MemberStatus) -> bool| {
        voters.iter().position(|voter| known.status(voter.id).is_some_and(test))
    };
    same_address
        .or_else(|| having(|status| status.shutting_down))
        .or_else(|| having(|status| status.departed))
}

/// The chain, with the voters appended that may be.
fn with_appended(retained: &[MemberId], voters: &[Member], known: &ClusterState) -> Vec<MemberId> {
    let mut chain = retained.to_vec();
    for voter in voters {
        let is_ready =
            known.is_healthy(voter.id) && known.status(voter.id).is_some_and(|status| status.appendable);
        if is_ready && !chain.contains(&voter.id) && known.linked_to_all(voter.id, &chain) {
            chain.push(voter.id);
        }
    }
    chain
}
