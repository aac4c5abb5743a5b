//! Deterministic simulation of the whole control plane: replicas, operators, agents, nodes and quota
//! allocators.
//!
//! Random faults are injected, and invariants are checked end to end: what agents receive, which responses
//! operators get, and how many requests nodes admit. A failure prints its seed. To run more seeds:
//! `SEEDS=2000 FIRST_SEED=1 cargo test --release -p coordinator --test one_world`.

mod fleet;
mod frontend;
#[path = "../../../replication/tests/simulation/mod.rs"]
mod simulation;

use fleet::{Fleet, ListCounts, PlantedFault, PlatformFault};
use simulation::operators::change;
use simulation::schedule::{Schedule, draw_frequent_failures, draw_overlaps, draw_world};
use simulation::{World, ms, seeds};
use std::time::Duration;

const FRONTENDS: usize = 4;
/// Further seeds that once failed. The faults that they found:
///
/// - reports on a backend that the platform had left out of its list were lost;
/// - the repair of a list was ended by the response to an earlier comparison;
/// - a drain was forgotten when a list left out the draining backend;
/// - lists were ignored because a coordinator that no longer responded had sent a list with a higher version.
const REGRESSION_SEEDS: [u64; 5] = [1025, 2133, 2135, 2297, 3004];
const FAULT_PHASE: Duration = Duration::from_secs(30);

/// Simulates one seed with faults, until everything has settled.
fn simulate_seed(seed: u64, fault: Option<PlantedFault>) -> Fleet {
    let schedule = match seed % 3 {
        0 => Schedule::new(draw_world(seed)),
        1 => draw_frequent_failures(seed),
        _ => draw_overlaps(seed),
    };
    let mut fleet = Fleet::new(schedule, FRONTENDS, fault);
    fleet.run_with_faults(FAULT_PHASE);
    fleet.recover_and_check();
    fleet
}

/// Simulates one seed, and returns the invariant that was violated.
fn violation_of_seed(seed: u64, fault: Option<PlantedFault>) -> Option<String> {
    simulate_seed(seed, fault).violation()
}

#[test]
fn invariants_hold_under_random_faults() {
    let mut all = ListCounts::default();
    let mut mismatches = 0;
    for seed in seeds(24).chain(REGRESSION_SEEDS) {
        let fleet = simulate_seed(seed, None);
        assert_eq!(fleet.violation(), None, "seed {seed}");
        all += fleet.list_counts();
        mismatches += fleet.reported().len();
    }
    println!("{all:?}, {mismatches} mismatches");
    assert!(
        all.comparisons > 0 && all.interrupted_comparisons > 0 && mismatches > 0,
        "some checks had nothing to check: {all:?}, {mismatches} mismatches"
    );
}

/// The invariant that a planted fault violates, in the first seed that detects it.
fn detected_violation(fault: PlantedFault) -> String {
    let violation = (1..=40).find_map(|seed| violation_of_seed(seed, Some(fault)));
    violation.unwrap_or_else(|| panic!("{fault:?} is not detected"))
}

#[test]
fn the_checks_detect_an_unconfirmed_configuration() {
    let violation = detected_violation(PlantedFault::SendsUnconfirmed);
    assert!(violation.contains("was seen before it asked"), "{violation}");
}

/// The reader is suspended for 6 s, possibly in the middle of a read, while others read. Then it resumes and
/// completes its read.
fn violation_with_suspended_reader(moment: u64, fault: Option<PlantedFault>) -> Option<String> {
    let mut fleet = calm_fleet(fault);
    fleet.run_without_faults(ms(3_000 + 20 * moment));
    let reader = fleet.reader().expect("somebody reads");
    fleet.schedule.world.freeze(reader, ms(6_000));
    fleet.run_without_faults(ms(9_000));
    fleet.violation()
}

#[test]
fn a_read_of_a_suspended_reader_does_not_replace_newer_lists() {
    /// Moments in steps of 20 ms that cover one interval between reads and one read.
    const MOMENTS: std::ops::Range<u64> = 0..45;
    for moment in MOMENTS {
        assert_eq!(violation_with_suspended_reader(moment, None), None, "moment {moment}");
    }
    let fault = Some(PlantedFault::VersionsAtEndOfRead);
    let violation = MOMENTS.filter_map(|moment| violation_with_suspended_reader(moment, fault)).next();
    assert!(violation.expect("the planted fault is detected").contains("replaces"));
}

#[test]
fn the_checks_detect_a_mismatch_on_the_wrong_backend() {
    let violation = detected_violation(PlantedFault::CorrectsWrongBackend);
    assert!(violation.contains("false mismatch"), "{violation}");
}

/// Three machines without faults, whose chain has committed one change that all agents have received.
fn calm_fleet(fault: Option<PlantedFault>) -> Fleet {
    let mut world = World::new(5, 3, 1);
    world.run_until_holds(ms(4_000), World::all_in_chain).expect("three seeds form a chain");
    let head = world.head().expect("a head");
    world.write(head, change(0, 1, 1, 100));
    let mut fleet = Fleet::new(Schedule::new(world), FRONTENDS, fault);
    fleet.run_without_faults(ms(1_500));
    assert!((0..FRONTENDS).all(|frontend| fleet.configuration_of(frontend) == 1));
    fleet
}

/// The configuration of an agent that reaches only a partitioned coordinator for 20 s, while the other
/// coordinators commit changes; and its configuration after the partition has healed.
fn configurations_beside_a_partitioned_coordinator(
    position: usize,
    fault: Option<PlantedFault>,
) -> (u64, u64) {
    let mut fleet = calm_fleet(fault);
    let chain = fleet.schedule.world.view().expect("a view").chain;
    let machine = fleet.schedule.world.machine_of(chain[position]).expect("it runs");
    fleet.schedule.world.cut_off(machine);
    fleet.restart_frontend(0);
    for other in (0..3).filter(|other| *other != machine) {
        fleet.partition_frontend(0, other);
    }
    for generation in 1..10 {
        let other = (machine + 1) % 3;
        fleet.schedule.world.write(other, change(generation, generation + 1, generation + 1, 100));
        fleet.run_without_faults(ms(2_200));
    }
    assert_eq!(fleet.configuration_of(1), 10, "the other coordinators commit changes");
    let meanwhile = fleet.configuration_of(0);
    fleet.schedule.world.cuts.clear();
    fleet.heal_frontend_partitions();
    fleet.run_without_faults(ms(3_000));
    assert_eq!(fleet.violation().filter(|_| fault.is_none()), None);
    (meanwhile, fleet.configuration_of(0))
}

#[test]
fn an_agent_receives_no_stale_configuration_from_a_partitioned_coordinator() {
    for position in 0..3 {
        assert_eq!(
            configurations_beside_a_partitioned_coordinator(position, None),
            (0, 10),
            "position {position} in the chain"
        );
    }
    let fault = Some(PlantedFault::SendsUnconfirmed);
    assert_eq!(
        configurations_beside_a_partitioned_coordinator(0, fault).0,
        1,
        "the planted fault is detected"
    );
}

/// The head is suspended while requests of nodes and its responses are in transit. Another member becomes the
/// head and allocates until the old one resumes.
#[test]
fn limits_hold_when_a_suspended_quota_allocator_resumes_beside_another() {
    for moment in 0..20 {
        let mut fleet = calm_fleet(None);
        fleet.set_load_factor(3.0);
        fleet.run_without_faults(ms(2_000 + 13 * moment));
        let head = fleet.schedule.world.head().expect("a head");
        fleet.schedule.world.freeze(head, ms(4_000 + 100 * moment));
        fleet.run_without_faults(ms(15_000));
        assert_eq!(fleet.violation(), None, "moment {moment}");
    }
}

/// The head is partitioned from the other members for 20 s. Half of the frontends reach only the head, the
/// others only the other members.
fn violation_while_the_head_is_partitioned(fault: Option<PlantedFault>) -> Option<String> {
    let mut fleet = calm_fleet(fault);
    fleet.set_load_factor(3.0);
    fleet.run_without_faults(ms(9_000));
    let head = fleet.schedule.world.head().expect("a head");
    fleet.schedule.world.cut_off(head);
    for frontend in 0..FRONTENDS {
        let reaches_head = frontend < FRONTENDS / 2;
        for machine in (0..3).filter(|machine| (*machine == head) != reaches_head) {
            fleet.partition_frontend(frontend, machine);
        }
    }
    fleet.run_without_faults(Duration::from_secs(20));
    // After the partition has healed, the grants of the old and the new allocator together must keep the
    // limit.
    fleet.schedule.world.cuts.clear();
    fleet.heal_frontend_partitions();
    fleet.run_without_faults(Duration::from_secs(12));
    fleet.violation()
}

#[test]
fn limits_hold_while_a_quota_allocator_is_partitioned() {
    assert_eq!(violation_while_the_head_is_partitioned(None), None);
}

#[test]
fn the_checks_detect_a_quota_allocator_that_grants_after_losing_its_role() {
    let violation = violation_while_the_head_is_partitioned(Some(PlantedFault::GrantsForEver));
    assert!(violation.is_some_and(|violation| violation.contains("admitted in a window")));
}

/// Two of three coordinators are lost, so that the third has no majority, and a backend starts to drain.
/// Returns whether any frontend still sends requests to it 10 s later.
fn any_frontend_misses_a_drain_without_a_majority(fault: Option<PlantedFault>) -> bool {
    let mut fleet = calm_fleet(fault);
    fleet.run_without_faults(ms(3_000));
    for machine in 1..3 {
        fleet.schedule.world.remove(machine);
    }
    fleet.run_without_faults(ms(3_000));
    let drained = fleet.drain_any_backend();
    fleet.run_without_faults(Duration::from_secs(10));
    (0..FRONTENDS).any(|frontend| fleet.is_ready_at(frontend, &drained))
}

#[test]
fn drains_reach_frontends_without_a_majority() {
    assert!(!any_frontend_misses_a_drain_without_a_majority(None));
    assert!(any_frontend_misses_a_drain_without_a_majority(Some(PlantedFault::ReadsWithMajorityOnly)));
}

/// How long a drain takes to reach all frontends after the loss of a reader whose versions were ahead; `None`
/// if it takes a minute or more, or an invariant is violated.
///
/// The reader is partitioned from the other coordinators and continues to read, while their reads fail or are
/// slow. After the time `ahead` it is lost, and a backend starts to drain.
fn time_to_learn_of_a_drain(
    ahead: Duration,
    platform_fault: PlatformFault,
    fault: Option<PlantedFault>,
) -> Option<Duration> {
    let mut fleet = calm_fleet(fault);
    fleet.run_without_faults(ms(3_000));
    let reader = fleet.reader().expect("somebody reads");
    fleet.schedule.world.cut_off(reader);
    fleet.start_platform_fault_for_all_but(reader, platform_fault, ahead);
    fleet.run_without_faults(ahead);
    fleet.schedule.world.remove(reader);
    let drained = fleet.drain_any_backend();
    let begun = fleet.schedule.world.now;
    while (0..FRONTENDS).any(|frontend| fleet.is_ready_at(frontend, &drained)) {
        let elapsed = fleet.schedule.world.now - begun;
        if elapsed >= Duration::from_secs(60) || fleet.violation().is_some() {
            return None;
        }
        fleet.run_without_faults(ms(100));
    }
    assert_eq!(fleet.violation().filter(|_| fault.is_none()), None);
    Some(fleet.schedule.world.now - begun)
}

#[test]
fn lists_of_a_lost_reader_with_higher_versions_do_not_hide_drains() {
    /// Allows for the agent's poll that finds that its list is no longer confirmed, and one read after that.
    const LEARNED_WITHIN: Duration = Duration::from_millis(5_500);
    for platform_fault in [PlatformFault::Unreachable, PlatformFault::Slow] {
        for seconds in [0, 5, 20, 60] {
            let elapsed = time_to_learn_of_a_drain(Duration::from_secs(seconds), platform_fault, None);
            println!("{platform_fault:?} for {seconds} s: known after {elapsed:?}");
            assert!(
                elapsed.is_some_and(|elapsed| elapsed <= LEARNED_WITHIN),
                "{platform_fault:?} for {seconds} s: {elapsed:?}"
            );
        }
    }
    let hides = Some(PlantedFault::HidesVersions);
    let elapsed = time_to_learn_of_a_drain(Duration::from_secs(60), PlatformFault::Slow, hides);
    assert!(
        elapsed.is_none_or(|elapsed| elapsed > LEARNED_WITHIN),
        "the planted fault is detected: {elapsed:?}"
    );
}

/// A backend loses a block. At different times after that, in the middle of the audit's rounds, the auditing
/// coordinator is stopped, suspended or partitioned.
#[test]
fn a_mismatch_is_reported_once_when_the_auditing_coordinator_is_replaced() {
    for moment in 0..24 {
        let mut fleet = calm_fleet(None);
        fleet.stop_losing_blocks();
        fleet.run_without_faults(Duration::from_secs(12));
        let lost = fleet.lose_block();
        fleet.run_without_faults(ms(400) * moment);
        let head = fleet.schedule.world.head().expect("a head");
        match moment % 3 {
            0 => fleet.schedule.world.stop(head),
            1 => fleet.schedule.world.freeze(head, Duration::from_secs(5)),
            _ => fleet.schedule.world.cut_off(head),
        }
        fleet.run_without_faults(Duration::from_secs(25));
        assert_eq!(fleet.violation(), None, "moment {moment}");
        let reported: Vec<_> = fleet.reported().iter().filter(|reported| reported.block == lost).collect();
        assert_eq!(reported.len(), 1, "moment {moment}: {reported:#?}");
    }
}
