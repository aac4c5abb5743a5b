//! View changes: the proposer and the acceptor of the Paxos synod that decides on the next view.

use crate::disk_health::DiskHealth;
use crate::durability::DurableAction;
use crate::identifiers::{MemberId, ViewNumber};
use crate::message::{MessageBody, Proposal, ProposalNumber};
use crate::model::{Member, View};
use crate::paxos::{ATTEMPT_TIMEOUT, Attempt, AttemptKind, Phase, PrepareResult, VoterPromise};
use crate::record::RecordBody;
use crate::replica::Replica;
use rand::Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// The additional delay of each further member before it proposes a view, so that the proposal of the one
/// before it is decided by then.
const RANK_DELAY: Duration = Duration::from_millis(120);

/// The maximum time-out of an attempt. The time-out doubles with each attempt that fails, because disks may
/// be slow and an attempt needs two consecutive writes at each voter of a majority.
const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(6_400);

/// The minimum time-out of an attempt, in expected write times: it needs two consecutive writes, and each may
/// have to wait for an earlier one.
const ATTEMPT_TIMEOUT_IN_WRITES: u32 = 4;

/// The expected duration of a write at a voter that reports a slow disk.
const SLOW_WRITE_TIME: Duration = Duration::from_millis(800);

/// How long this member leaves another voter's proposal alone, in expected write times, so that proposers on
/// slow disks do not preempt each other forever.
const PROPOSAL_TIME_IN_WRITES: u32 = 2;

/// The interval at which the request of an attempt is resent.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);

/// The maximum random backoff after a failed attempt.
const MAX_BACKOFF: Duration = Duration::from_millis(250);

/// How long an accepted view may remain undecided before another voter proposes it again, because its
/// proposer may have failed.
const UNDECIDED_TIMEOUT: Duration = Duration::from_millis(300);

/// How long no member with all committed entries must have been reachable before a view is forced. Most
/// failed members return within this time.
const FORCED_AFTER: Duration = Duration::from_millis(2_000);

impl Replica {
    /// Proposes a view if the one in force should be replaced and it is this member's turn to propose.
    pub(crate) fn tick_view_change(&mut self) {
        let timeout = self.attempt_timeout.max(self.expected_write_time() * ATTEMPT_TIMEOUT_IN_WRITES);
        if self.attempt.as_ref().is_some_and(|attempt| self.now >= attempt.started_at + timeout) {
            self.abandon_attempt();
        }
        self.resend_attempt();
        let may_propose = self.identity_durable && self.is_voter(self.id) && !self.writes.is_rejecting();
        if !may_propose || self.attempt.is_some() || self.peers.in_grace_period(self.now) {
            return;
        }
        let desired = self.desired_view();
        self.view_desired_since = desired.as_ref().map(|_| self.view_desired_since.unwrap_or(self.now));
        let is_turn = desired.is_some_and(|view| self.is_own_turn(&view));
        if (is_turn || self.is_decision_overdue()) && self.now >= self.no_attempt_before {
            return self.begin_attempt(AttemptKind::Regular);
        }
        self.tick_forced_view_change();
    }

    /// Proposes a forced view once no member with all committed entries has been reachable for
    /// [`FORCED_AFTER`].
    fn tick_forced_view_change(&mut self) {
        let forced = self.forced_view();
        self.leaderless_since = forced.as_ref().map(|_| self.leaderless_since.unwrap_or(self.now));
        let (Some(view), Some(since)) = (forced, self.leaderless_since) else { return };
        if self.now >= since + FORCED_AFTER + self.rank_delay(&view) && self.now >= self.no_attempt_before {
            self.begin_attempt(AttemptKind::Forced);
        }
    }

    /// Resends the request of the attempt in progress, which may have been lost.
    fn resend_attempt(&mut self) {
        let now = self.now;
        let due = self.attempt.as_mut().filter(|attempt| now >= attempt.requested_at + RESEND_INTERVAL);
        let Some(attempt) = due else { return };
        attempt.requested_at = now;
        let (slot, number, forced) = (attempt.slot, attempt.number, attempt.kind.is_forced());
        let request = match &attempt.phase {
            Phase::Prepare(_) => MessageBody::Prepare { slot, number, forced },
            Phase::Accept(view, _) => {
                MessageBody::Accept { slot, proposal: Proposal { number, view: view.clone() } }
            }
        };
        self.send_to_voters(&request);
    }

    fn is_own_turn(&self, desired: &View) -> bool {
        let delay = self.rank_delay(desired);
        self.view_desired_since.is_some_and(|since| self.now >= since + delay)
    }

    /// How long this member waits, after the first one in rank, before it proposes a view.
    fn rank_delay(&self, desired: &View) -> Duration {
        let in_chain = desired.chain.iter().position(|id| *id == self.id);
        let rank = in_chain.unwrap_or(desired.chain.len() + self.voter_rank());
        self.proposal_time(RANK_DELAY) * u32::try_from(rank).unwrap_or(u32::MAX)
    }

    /// How long another voter's proposal may take, at least `shortest`: on disks like the one of this member,
    /// and on those that failed attempts of this member have shown to be slow.
    fn proposal_time(&self, shortest: Duration) -> Duration {
        let on_known_disks = self.expected_write_time() * PROPOSAL_TIME_IN_WRITES;
        let after_failures = shortest.mul_f64(self.attempt_timeout.div_duration_f64(ATTEMPT_TIMEOUT));
        on_known_disks.max(after_failures)
    }

    /// The expected duration of a write at a voter: that of this member, or that of a slow disk if some voter
    /// has one.
    fn expected_write_time(&self) -> Duration {
        let is_slow = |voter: &Member| {
            self.peers.get(voter.id).is_some_and(|peer| peer.heartbeat.disk_health() == DiskHealth::Slow)
        };
        let others_write_time =
            if self.voters().iter().any(is_slow) { SLOW_WRITE_TIME } else { Duration::ZERO };
        self.writes.write_time().max(others_write_time)
    }

    fn voter_rank(&self) -> usize {
        self.voters().iter().position(|voter| voter.id == self.id).unwrap_or(0)
    }

    fn is_decision_overdue(&self) -> bool {
        let rank = u32::try_from(self.voter_rank()).unwrap_or(u32::MAX);
        let delay = self.proposal_time(UNDECIDED_TIMEOUT) + self.proposal_time(RANK_DELAY) * rank;
        self.acceptor.accepted.is_some() && self.now >= self.acceptor.accepted_at + delay
    }

    fn begin_attempt(&mut self, kind: AttemptKind) {
        let slot = self.view_number().next();
        let promised = self.acceptor.promised.map_or(0, |number| number.round);
        self.highest_round = self.highest_round.max(promised) + 1;
        let number =
            ProposalNumber { round: self.highest_round, member: self.id, incarnation: self.incarnation };
        self.attempt = Some(Attempt::new(slot, number, kind, self.now));
        self.send_to_voters(&MessageBody::Prepare { slot, number, forced: kind.is_forced() });
    }

    fn abandon_attempt(&mut self) {
        self.attempt = None;
        self.attempt_timeout = (self.attempt_timeout * 2).min(MAX_ATTEMPT_TIMEOUT);
        let longest_ms = u64::try_from(self.proposal_time(MAX_BACKOFF).as_millis()).unwrap_or(u64::MAX);
        let backoff_ms = self.random.random_range(0..longest_ms);
        self.no_attempt_before = self.now + Duration::from_millis(backoff_ms);
    }

    pub(crate) fn receive_prepare(
        &mut self,
        sender: MemberId,
        slot: ViewNumber,
        number: ProposalNumber,
        kind: AttemptKind,
    ) {
        if !self.may_vote(sender, slot) {
            return;
        }
        if !self.allows(number) {
            return self.reject(sender, slot);
        }
        if self.acceptor.accepted.as_ref().is_some_and(|accepted| accepted.number == number) {
            // The request is outdated: its proposer has already entered phase 2.
            return;
        }
        let is_repeated = self.acceptor.promised == Some(number);
        self.acceptor.promised = Some(number);
        self.defer_to_proposer(sender);
        let accepted = self.acceptor.accepted.clone();
        let in_chain = self.chain_position().is_some();
        let synced = in_chain && self.progress.synced == self.view_number();
        self.acceptor.gave_up_sync |=
            kind.is_forced() && in_chain && !synced && !has_fault!(self, ForcesWithoutEvidence);
        let gave_up_sync = self.acceptor.gave_up_sync;
        let promise = MessageBody::Promise { slot, number, accepted, synced };
        if has_fault!(self, PromiseNotDurable) || (is_repeated && self.writes.is_idle()) {
            return self.send(sender, promise);
        }
        if is_repeated {
            return;
        }
        let action = DurableAction::Send(sender, Box::new(promise));
        self.store(RecordBody::Promise { slot, number, gave_up_sync }, action);
    }

    /// Delays this member's own attempts to give another voter's proposal time to be decided. If no disk is
    /// slow and no attempt has failed, the delay by rank is sufficient.
    fn defer_to_proposer(&mut self, proposer: MemberId) {
        if proposer != self.id {
            let until = self.now + self.proposal_time(RANK_DELAY).saturating_sub(RANK_DELAY);
            self.no_attempt_before = self.no_attempt_before.max(until);
        }
    }

    pub(crate) fn receive_accept(&mut self, sender: MemberId, slot: ViewNumber, proposal: Proposal) {
        if !self.may_vote(sender, slot) {
            return;
        }
        if !self.allows(proposal.number) {
            return self.reject(sender, slot);
        }
        self.defer_to_proposer(sender);
        let is_repeated = self.acceptor.accepted.as_ref() == Some(&proposal);
        self.acceptor.accept(self.now, proposal.clone());
        let accepted = MessageBody::Accepted { slot, number: proposal.number };
        if has_fault!(self, AcceptanceNotDurable) || (is_repeated && self.writes.is_idle()) {
            return self.send(sender, accepted);
        }
        if is_repeated {
            return;
        }
        let action = DurableAction::Send(sender, Box::new(accepted));
        self.store(RecordBody::Accept { slot, proposal }, action);
    }

    fn allows(&self, number: ProposalNumber) -> bool {
        self.acceptor.allows(number) || has_fault!(self, AcceptsLowerProposals)
    }

    fn may_vote(&self, sender: MemberId, slot: ViewNumber) -> bool {
        let both_voters = self.is_voter(self.id) && self.is_voter(sender);
        both_voters && slot == self.view_number().next() && !self.writes.is_rejecting()
    }

    fn reject(&mut self, sender: MemberId, slot: ViewNumber) {
        if let Some(promised) = self.acceptor.promised {
            self.send(sender, MessageBody::Rejected { slot, promised });
        }
    }

    pub(crate) fn receive_rejected(&mut self, slot: ViewNumber, promised: ProposalNumber) {
        self.highest_round = self.highest_round.max(promised.round);
        if self.attempt.as_ref().is_some_and(|attempt| attempt.slot == slot && attempt.number < promised) {
            self.abandon_attempt();
        }
    }

    /// The attempt in progress, if a voter's response belongs to it.
    fn matching_attempt(
        &mut self,
        sender: MemberId,
        slot: ViewNumber,
        number: ProposalNumber,
    ) -> Option<&mut Attempt> {
        if !self.is_voter(sender) {
            return None;
        }
        self.attempt.as_mut().filter(|own| own.slot == slot && own.number == number)
    }

    pub(crate) fn receive_promise(
        &mut self,
        sender: MemberId,
        slot: ViewNumber,
        number: ProposalNumber,
        promise: VoterPromise,
    ) {
        let majority = self.majority();
        let Some(attempt) = self.matching_attempt(sender, slot, number) else { return };
        let is_forced = attempt.kind.is_forced();
        let proposed = match attempt.record_promise(sender, promise, majority) {
            PrepareResult::Incomplete => return,
            PrepareResult::Constrained(_) if has_fault!(self, IgnoresAcceptedViews) => self.desired_view(),
            PrepareResult::Constrained(view) => Some(view),
            PrepareResult::Unconstrained { any_synced: false } if is_forced => self.forced_view(),
            PrepareResult::Unconstrained { .. } if is_forced && has_fault!(self, ForcesWithoutEvidence) => {
                self.forced_view()
            }
            PrepareResult::Unconstrained { .. } if is_forced && has_fault!(self, IgnoresSyncedPromises) => {
                self.forced_view()
            }
            PrepareResult::Unconstrained { .. } => self.desired_view(),
        };
        match proposed {
            Some(view) => self.propose(slot, number, view),
            None => self.abandon_attempt(),
        }
    }

    fn propose(&mut self, slot: ViewNumber, number: ProposalNumber, view: View) {
        if let Some(attempt) = &mut self.attempt {
            attempt.phase = Phase::Accept(view.clone(), BTreeSet::new());
        }
        self.send_to_voters(&MessageBody::Accept { slot, proposal: Proposal { number, view } });
    }

    pub(crate) fn receive_accepted(&mut self, sender: MemberId, slot: ViewNumber, number: ProposalNumber) {
        let majority = self.majority();
        let Some(attempt) = self.matching_attempt(sender, slot, number) else { return };
        if let Some(view) = attempt.record_acceptance(sender, majority) {
            self.decide_view(view);
        }
    }

    /// Announces a decided view to the voters of the old and the new view.
    fn decide_view(&mut self, view: View) {
        self.send_to_voters(&MessageBody::Decided(self.known_views_up_to(&view)));
        let before: Vec<MemberId> = self.voters().iter().map(|voter| voter.id).collect();
        self.adopt(view.clone());
        for voter in view.voters.iter().filter(|voter| !before.contains(&voter.id)) {
            self.send(voter.id, MessageBody::Decided(self.known_views()));
        }
    }
}
