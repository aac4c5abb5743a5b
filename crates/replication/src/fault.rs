//! Faults that tests inject to show that their checks detect them. Compiled only with the feature
//! `planted-faults`.

/// A fault that can be injected into a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An entry is forwarded and reported as stored before it is on disk.
    ForwardsBeforeDurable,
    /// A Paxos promise is sent without having been stored.
    PromiseNotDurable,
    /// A Paxos acceptance is sent without having been stored.
    AcceptanceNotDurable,
    /// An acceptor accepts a proposal with a lower number than it has promised.
    AcceptsLowerProposals,
    /// A proposer ignores the proposals that acceptors report as accepted.
    IgnoresAcceptedViews,
    /// Half of the voters counts as a majority.
    HalfIsMajority,
    /// The tail responds to a read without a confirmation that its view is the latest.
    ReadsWithoutConfirmation,
    /// Messages within the chain are processed even if the sender knows a different view.
    AcceptsOldViews,
    /// A member that lacks committed entries may become head.
    AnyMemberLeads,
    /// The head commits an entry, and responds, as soon as the entry is on its own disk.
    CommitsAtHead,
    /// A retry of a committed change is not recognized by its digest.
    IgnoresDigests,
    /// A state transfer omits the history of entry keys.
    TransfersWithoutHistory,
    /// The head accepts a change whose base is not the current generation.
    IgnoresBase,
    /// A member with an empty disk takes the identity of the lost disk again.
    ReusesLostIdentity,
    /// A member whose newest entry differs from its predecessor's marks itself as synced.
    SyncsWithoutComparing,
    /// A restarted member keeps an uncommitted entry that the other members do not have.
    KeepsUncommitted,
    /// A member does not report that its disk hangs or rejects writes.
    HidesDiskFailure,
    /// A member with a slow disk is never accepted in the chain, even if too few others remain.
    RefusesSlowDisks,
    /// A slow disk is never probed, so it is not noticed when it becomes fast again.
    NeverProbesDisk,
    /// A disk that has rejected a write is never tried again.
    NeverRetriesDisk,
    /// Reports that a member is not heard by others are ignored, so partitions in one direction go unnoticed.
    IgnoresOneWayPartitions,
    /// A member that has left the chain is never appended again.
    NeverAppends,
    /// Offers to the successor are not repeated after a message was lost.
    NeverRepeatsOffers,
    /// A member outside the view never replaces a voter.
    NeverReplacesVoters,
    /// A request is never resent, for example to the new head after a view change.
    NeverRetriesRequests,
    /// The head responds with final outcomes without a confirmation that its view is the latest.
    RespondsWithoutConfirmation,
    /// A response to a request of an earlier incarnation of the process is accepted.
    AcceptsOtherIncarnations,
    /// A member outside the chain discards its uncommitted entries before the chain is synced.
    CopiesTooEarly,
    /// A forced view may be led by a member that lacks entries that may have been committed.
    ForcesWithoutEvidence,
    /// A view is forced although a promise came from a member that is synced in the view in force.
    IgnoresSyncedPromises,
    /// A change that may have been committed and pruned is rejected instead of reported as too old.
    RejectsPruned,
    /// A member that is shutting down reports that it may exit as soon as it is outside the chain.
    ShutsDownTooEarly,
}
