//! Agreement on the next view by the Paxos synod (Lamport, "The Part-Time Parliament", ACM TOCS 16, 1998):
//! one instance for each view number. The voters of a view are the acceptors for the next one.

use crate::identifiers::{MemberId, ViewNumber};
use crate::message::{Proposal, ProposalNumber};
use crate::model::View;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The initial time-out of an attempt; it doubles with each attempt that fails.
pub(crate) const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);

/// The state of an acceptor in the instance for the next view.
#[derive(Clone, Debug, Default)]
pub(crate) struct Acceptor {
    pub(crate) promised: Option<ProposalNumber>,
    pub(crate) accepted: Option<Proposal>,
    /// Whether this member, which is in the chain of the view in force, has promised not to become synced in
    /// that view.
    pub(crate) gave_up_sync: bool,
    /// When the last proposal was accepted.
    pub(crate) accepted_at: Duration,
}

impl Acceptor {
    /// Whether the acceptor may promise or accept this number: it has promised no higher one.
    pub(crate) fn allows(&self, number: ProposalNumber) -> bool {
        self.promised.is_none_or(|promised| promised <= number)
    }

    pub(crate) fn accept(&mut self, now: Duration, proposal: Proposal) {
        self.promised = Some(proposal.number);
        self.accepted = Some(proposal);
        self.accepted_at = now;
    }
}

/// The kind of view that an attempt may propose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptKind {
    /// A view whose head has all committed entries.
    Regular,
    /// A forced view: its head need not have what the view in force may have committed. Proposed only if the
    /// promises show that the view in force has committed nothing.
    Forced,
}

impl AttemptKind {
    pub(crate) fn is_forced(self) -> bool {
        self == AttemptKind::Forced
    }
}

/// An attempt of this member, as proposer, to get a view decided.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) slot: ViewNumber,
    pub(crate) number: ProposalNumber,
    pub(crate) started_at: Duration,
    /// When the request of the current phase was last sent.
    pub(crate) requested_at: Duration,
    pub(crate) kind: AttemptKind,
    pub(crate) phase: Phase,
}

/// What a voter reports when it promises to accept no proposal with a lower number.
#[derive(Clone, Debug)]
pub(crate) struct VoterPromise {
    /// The last proposal that the voter has accepted.
    pub(crate) accepted: Option<Proposal>,
    /// Whether the voter is in the chain of the view in force and synced in it.
    pub(crate) synced: bool,
}

/// The Paxos phase that an attempt is in, with the responses received in it.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Phase 1: the promises received, by voter.
    Prepare(BTreeMap<MemberId, VoterPromise>),
    /// Phase 2: the proposed view and the voters that have accepted it.
    Accept(View, BTreeSet<MemberId>),
}

/// What a proposer may do after a promise has arrived in phase 1.
pub(crate) enum PrepareResult {
    /// Fewer than a majority of the voters have promised so far.
    Incomplete,
    /// A majority has promised. This view has the highest number among the proposals that it reports as
    /// accepted: it may have been decided and must be proposed again.
    Constrained(View),
    /// A majority has promised, and none of it has accepted a proposal: any view may be proposed.
    Unconstrained {
        /// Whether one of these voters is in the chain and synced in the view in force, so that this view may
        /// have committed something.
        any_synced: bool,
    },
}

impl Attempt {
    pub(crate) fn new(slot: ViewNumber, number: ProposalNumber, kind: AttemptKind, now: Duration) -> Self {
        let phase = Phase::Prepare(BTreeMap::new());
        Attempt { slot, number, started_at: now, requested_at: now, kind, phase }
    }

    /// Records a voter's promise. `majority` is the number of promises needed.
    pub(crate) fn record_promise(
        &mut self,
        voter: MemberId,
        promise: VoterPromise,
        majority: usize,
    ) -> PrepareResult {
        let Phase::Prepare(promises) = &mut self.phase else { return PrepareResult::Incomplete };
        promises.insert(voter, promise);
        if promises.len() < majority {
            return PrepareResult::Incomplete;
        }
        let accepted = promises.values().filter_map(|promise| promise.accepted.as_ref());
        if let Some(highest) = accepted.max_by_key(|proposal| proposal.number) {
            return PrepareResult::Constrained(highest.view.clone());
        }
        PrepareResult::Unconstrained { any_synced: promises.values().any(|promise| promise.synced) }
    }

    /// Records a voter's acceptance. Returns the view if it is now decided.
    pub(crate) fn record_acceptance(&mut self, voter: MemberId, majority: usize) -> Option<View> {
        let Phase::Accept(view, voters) = &mut self.phase else { return None };
        voters.insert(voter);
        (voters.len() >= majority).then(|| view.clone())
    }
}
