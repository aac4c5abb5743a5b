//! Verifies that the random schedules and the measured outages detect injected faults.

mod simulation;

use replication::Fault;
use simulation::losses::{Failure, longest_outage};
use simulation::ms;
use simulation::schedule::{Schedule, draw_frequent_failures, draw_overlaps, draw_world};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The maximum number of seeds to try.
const MAX_SEEDS: u64 = 3_000;

/// The longest outage that the outage tests accept.
const MAX_OUTAGE_MS: u64 = 1_800;

/// The first seed from `first` on with which a fault violates an invariant, and the violation. Every other
/// schedule has frequent failures.
fn detected(fault: Fault, first: u64) -> Option<(u64, String)> {
    (first..first + MAX_SEEDS).find_map(|seed| {
        let schedule = if seed.is_multiple_of(2) {
            draw_frequent_failures(seed)
        } else {
            Schedule::new(draw_world(seed))
        };
        violation_in(schedule, fault).map(|violation| (seed, violation))
    })
}

/// The same in schedules with overlapping failures.
fn detected_in_overlaps(fault: Fault, first: u64) -> Option<(u64, String)> {
    (first..first + MAX_SEEDS)
        .find_map(|seed| violation_in(draw_overlaps(seed), fault).map(|violation| (seed, violation)))
}

/// The effect of a fault: a violated invariant, or a replica that panics because it finds two histories.
fn violation_in(mut schedule: Schedule, fault: Fault) -> Option<String> {
    schedule.world.fault = Some(fault);
    match catch_unwind(AssertUnwindSafe(|| schedule.run(ms(30_000)))) {
        Ok(()) => schedule.world.checker.violation,
        Err(_) => Some("a replica has panicked".into()),
    }
}

/// Defines a test for each fault that is detected in schedules with overlapping failures; the search begins
/// with the given seed.
macro_rules! detected_where_failures_overlap {
    ($($test:ident: $fault:ident from $first:literal,)*) => {
        $(
            #[test]
            fn $test() {
                let found = detected_in_overlaps(Fault::$fault, $first);
                let (seed, violation) = found.expect("the fault violates an invariant");
                println!("{:?}: seed {seed}: {violation}", Fault::$fault);
            }
        )*
    };
}

detected_where_failures_overlap! {
    forcing_without_evidence_is_detected: ForcesWithoutEvidence from 1,
    rejecting_pruned_changes_is_detected: RejectsPruned from 1,
    forwarding_before_durability_is_detected_where_failures_overlap: ForwardsBeforeDurable from 1,
    reusing_a_lost_identity_is_detected_where_failures_overlap: ReusesLostIdentity from 1,
    a_lagging_leader_is_detected_where_failures_overlap: AnyMemberLeads from 1,
}

/// Defines a test for each fault. The search begins with a seed that detects the fault, so that the test is
/// short.
macro_rules! detected_in_schedules {
    ($($test:ident: $fault:ident from $first:literal,)*) => {
        $(
            #[test]
            fn $test() {
                let found = detected(Fault::$fault, $first);
                let (seed, violation) = found.expect("the fault violates an invariant");
                println!("{:?}: seed {seed}: {violation}", Fault::$fault);
            }
        )*
    };
}

detected_in_schedules! {
    forwarding_before_durability_is_detected: ForwardsBeforeDurable from 2,
    an_acceptance_that_is_not_durable_is_detected: AcceptanceNotDurable from 206,
    accepting_lower_proposals_is_detected: AcceptsLowerProposals from 43,
    ignoring_accepted_views_is_detected: IgnoresAcceptedViews from 12,
    a_majority_of_half_is_detected: HalfIsMajority from 1,
    reading_without_confirmation_is_detected: ReadsWithoutConfirmation from 1,
    accepting_old_views_is_detected: AcceptsOldViews from 277,
    a_lagging_leader_is_detected: AnyMemberLeads from 131,
    committing_at_the_head_is_detected: CommitsAtHead from 1,
    ignoring_digests_is_detected: IgnoresDigests from 1,
    transferring_without_history_is_detected: TransfersWithoutHistory from 390,
    ignoring_the_base_is_detected: IgnoresBase from 1,
    reusing_a_lost_identity_is_detected: ReusesLostIdentity from 115,
    syncing_without_comparing_is_detected: SyncsWithoutComparing from 3,
    keeping_uncommitted_entries_is_detected: KeepsUncommitted from 8,
    never_appending_is_detected: NeverAppends from 1,
    never_repeating_offers_is_detected: NeverRepeatsOffers from 12,
    never_replacing_voters_is_detected: NeverReplacesVoters from 3,
}

#[test]
fn a_promise_that_is_not_durable_is_detected() {
    let detected = (1..10).find_map(|seed| {
        let mut schedule = draw_frequent_failures(seed);
        schedule.world.fault = Some(Fault::PromiseNotDurable);
        schedule.world.checks_votes = true;
        schedule.run(ms(30_000));
        schedule.world.checker.violation
    });
    println!("{detected:?}");
    assert!(detected.is_some());
}

/// Asserts that a fault makes the outage after a failure longer than is accepted.
fn assert_detected_by_outage(fault: Fault, failure: Failure) {
    let outages: Vec<_> = (1..=5).map(|seed| longest_outage(seed, failure, Some(fault))).collect();
    println!("{fault:?} {failure:?}: {outages:?}");
    let short = |outage: &Result<std::time::Duration, String>| {
        outage.as_ref().is_ok_and(|outage| *outage <= ms(MAX_OUTAGE_MS))
    };
    assert!(!outages.iter().all(short), "the fault is not detected");
}

#[test]
fn a_hidden_disk_failure_is_detected() {
    assert_detected_by_outage(Fault::HidesDiskFailure, Failure::TailDiskStalls);
    assert_detected_by_outage(Fault::HidesDiskFailure, Failure::TailDiskFull);
}

#[test]
fn ignored_one_way_partitions_are_detected() {
    assert_detected_by_outage(Fault::IgnoresOneWayPartitions, Failure::HeadHearsNobody);
}

#[test]
fn requests_that_are_never_retried_are_detected() {
    assert_detected_by_outage(Fault::NeverRetriesRequests, Failure::HeadKilled);
}
