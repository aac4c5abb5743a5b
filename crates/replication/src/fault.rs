//! Deliberate faults, by which tests show that they would notice such a fault. Compiled for tests only.

/// A deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An entry is forwarded and reported before it is on disk.
    ForwardsBeforeDurable,
    /// A Paxos promise is sent and not stored.
    PromiseNotDurable,
    /// A Paxos acceptance is sent and not stored.
    AcceptanceNotDurable,
    /// An acceptor accepts a lower proposal number than the one it has promised.
    AcceptsLowerProposals,
    /// A proposer ignores what acceptors have accepted.
    IgnoresAcceptedViews,
    /// Half of the voters counts as a majority.
    HalfIsMajority,
    /// The tail responds to a read without confirmation that its view is the latest.
    ReadsWithoutConfirmation,
    /// Messages of the chain count whatever view their sender knows.
    AcceptsOldViews,
    /// A view may be led by a member that lacks committed entries.
    AnyMemberLeads,
    /// The head responds once an entry is on its own disk.
    CommitsAtHead,
    /// A committed change is not recognized when it is retried.
    IgnoresDigests,
    /// A transfer to another member lacks the history.
    TransfersWithoutHistory,
    /// The head accepts a change whatever its base.
    IgnoresBase,
    /// An empty disk gets the identity of the lost one again.
    ReusesLostIdentity,
    /// A member that differs from its predecessor takes itself for synced.
    SyncsWithoutComparing,
    /// A member that returns keeps an entry that the others do not know.
    KeepsUncommitted,
    /// A member whose disk hangs or rejects writes does not report it.
    HidesDiskFailure,
    /// No slow disk is accepted in a chain, however few others remain.
    RefusesSlowDisks,
    /// A disk that was slow is not written to in order to learn whether it still is.
    NeverProbesDisk,
    /// A disk that has rejected a write is not tried again.
    NeverRetriesDisk,
    /// That a member is not heard by others is ignored.
    IgnoresOneWayPartitions,
    /// No member is appended to the chain again.
    NeverAppends,
    /// What was lost on its way through the chain is not sent again.
    NeverRepeatsOffers,
    /// A member outside the view never replaces a voter.
    NeverReplacesVoters,
    /// A request is not sent again when the head has changed.
    NeverRetriesRequests,
    /// The head responds with final outcomes without confirmation that its view is the latest.
    RespondsWithoutConfirmation,
    /// A response to an earlier incarnation of the process counts.
    AcceptsOtherIncarnations,
    /// A member outside the chain gives up its entries before the chain is synced.
    CopiesTooEarly,
    /// A forced view is led by a member that lacks what may have been committed.
    ForcesWithoutEvidence,
    /// A promise of a member that is synced in the view in force does not prevent a forced view.
    IgnoresSyncedPromises,
    /// A change that may have been committed and pruned is rejected.
    RejectsPruned,
    /// A member that is shutting down reports that it may end once it is outside the chain.
    ShutsDownTooEarly,
}
