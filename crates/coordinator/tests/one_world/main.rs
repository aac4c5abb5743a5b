//! Replicas, operators, agents, nodes and quota allocators in one simulated world: what agents receive, what operators are
//! answered and what nodes admit, checked end to end under drawn faults. A failure prints its seed; more are played by
//! `SEEDS=2000 FIRST_SEED=1 cargo test --release -p coordinator --test one_world`.

mod fleet;
mod frontend;
#[path = "../../../replication/tests/simulation/mod.rs"]
mod simulation;

use fleet::{Fleet, ListCounts, PlantedFault, PlatformTrouble};
use simulation::operators::change;
use simulation::schedule::{Schedule, draw_frequent_failures, draw_overlaps, draw_world};
use simulation::{World, ms, seeds};
use std::time::Duration;

const FRONTENDS: usize = 4;
/// Seeds beyond the first that have shown a fault: reports on a backend that the platform had left out; a repair of a list that
/// was ended by the response to the comparison before; a drain that was forgotten with a list that left its backend out;
/// lists that were ignored beside the last one of a silent coordinator with higher versions.
const SEEDS_THAT_FOUND_FAULTS: [u64; 5] = [1025, 2133, 2135, 2297, 3004];
const FAULTS_FOR: Duration = Duration::from_secs(30);

/// Plays one seed.
fn played(seed: u64, fault: Option<PlantedFault>) -> Fleet {
    let schedule = match seed % 3 {
        0 => Schedule::new(draw_world(seed)),
        1 => draw_frequent_failures(seed),
        _ => draw_overlaps(seed),
    };
    let mut fleet = Fleet::new(schedule, FRONTENDS, fault);
    fleet.play(FAULTS_FOR);
    fleet.settle();
    fleet
}

/// Plays one seed; gives the rule that was broken.
fn play(seed: u64, fault: Option<PlantedFault>) -> Option<String> {
    played(seed, fault).broken()
}

#[test]
fn agents_operators_and_limits_agree_whatever_happens() {
    let mut all = ListCounts::default();
    let mut mismatches = 0;
    for seed in seeds(24).chain(SEEDS_THAT_FOUND_FAULTS) {
        let fleet = played(seed, None);
        assert_eq!(fleet.broken(), None, "seed {seed}");
        all += fleet.list_counts();
        mismatches += fleet.named().len();
    }
    println!("{all:?}, {mismatches} mismatches");
    assert!(all.comparisons > 0 && all.cut_comparisons > 0 && mismatches > 0, "nothing was checked: {all:?}");
}

/// What a planted fault breaks in the first of some seeds that notices it.
fn noticed(fault: PlantedFault) -> String {
    let broken = (1..=40).find_map(|seed| play(seed, Some(fault)));
    broken.unwrap_or_else(|| panic!("{fault:?} is not noticed"))
}

#[test]
fn a_coordinator_that_sends_an_unconfirmed_configuration_would_be_noticed() {
    let broken = noticed(PlantedFault::SendsUnconfirmed);
    assert!(broken.contains("was seen before it asked"), "{broken}");
}

/// The reader stands still for seconds, at a moment that may be in the middle of a read, and others read meanwhile. Then it ends
/// that read.
fn suspended_reader(moment: u64, fault: Option<PlantedFault>) -> Option<String> {
    let mut fleet = calm(fault);
    fleet.quietly(ms(3_000 + 20 * moment));
    let reader = fleet.reader().expect("somebody reads");
    fleet.schedule.world.freeze(reader, ms(6_000));
    fleet.quietly(ms(9_000));
    fleet.broken()
}

#[test]
fn what_a_suspended_reader_has_seen_does_not_replace_newer_lists() {
    /// Moments of one interval of reads and a read.
    const MOMENTS: std::ops::Range<u64> = 0..45;
    for moment in MOMENTS {
        assert_eq!(suspended_reader(moment, None), None, "moment {moment}");
    }
    let fault = Some(PlantedFault::VersionsAtEndOfRead);
    let noticed = MOMENTS.filter_map(|moment| suspended_reader(moment, fault)).next();
    assert!(noticed.expect("the planted fault is noticed").contains("after"));
}

#[test]
fn a_mismatch_on_the_wrong_backend_would_be_noticed() {
    let broken = noticed(PlantedFault::CorrectsWrongBackend);
    assert!(broken.contains("is named, and is not so"), "{broken}");
}

/// Three machines whose chain has taken one change; agents have it.
fn calm(fault: Option<PlantedFault>) -> Fleet {
    let mut world = World::new(5, 3, 1);
    world.run_until_holds(ms(4_000), World::all_in_chain).expect("three seeds form a chain");
    let head = world.head().expect("a head");
    world.write(head, change(0, 1, 1, 100));
    let mut fleet = Fleet::new(Schedule::new(world), FRONTENDS, fault);
    fleet.quietly(ms(1_500));
    assert!((0..FRONTENDS).all(|frontend| fleet.configuration_of(frontend) == 1));
    fleet
}

/// What an agent that reaches only a partitioned coordinator receives in 20 s, while others go on; and once that is over.
fn received_beside_a_partitioned_coordinator(place: usize, fault: Option<PlantedFault>) -> (u64, u64) {
    let mut fleet = calm(fault);
    let chain = fleet.schedule.world.view().expect("a view").chain;
    let machine = fleet.schedule.world.machine_of(chain[place]).expect("it runs");
    fleet.schedule.world.cut_off(machine);
    fleet.restart_frontend(0);
    for other in (0..3).filter(|other| *other != machine) {
        fleet.cut_frontend(0, other);
    }
    for generation in 1..10 {
        let other = (machine + 1) % 3;
        fleet.schedule.world.write(other, change(generation, generation + 1, generation + 1, 100));
        fleet.quietly(ms(2_200));
    }
    assert_eq!(fleet.configuration_of(1), 10, "the others go on");
    let meanwhile = fleet.configuration_of(0);
    fleet.schedule.world.cuts.clear();
    fleet.join_frontends();
    fleet.quietly(ms(3_000));
    assert_eq!(fleet.broken().filter(|_| fault.is_none()), None);
    (meanwhile, fleet.configuration_of(0))
}

#[test]
fn an_agent_beside_a_partitioned_coordinator_receives_nothing_stale() {
    for place in 0..3 {
        assert_eq!(
            received_beside_a_partitioned_coordinator(place, None),
            (0, 10),
            "place {place} in the chain"
        );
    }
    let fault = Some(PlantedFault::SendsUnconfirmed);
    assert_eq!(received_beside_a_partitioned_coordinator(0, fault).0, 1, "the planted fault is noticed");
}

/// The head is suspended with requests of nodes and responses to them in progress; another one allocates meanwhile.
#[test]
fn limits_hold_while_one_quota_allocator_resumes_beside_another() {
    for moment in 0..20 {
        let mut fleet = calm(None);
        fleet.press(3.0);
        fleet.quietly(ms(2_000 + 13 * moment));
        let head = fleet.schedule.world.head().expect("a head");
        fleet.schedule.world.freeze(head, ms(4_000 + 100 * moment));
        fleet.quietly(ms(15_000));
        assert_eq!(fleet.broken(), None, "moment {moment}");
    }
}

/// The head is cut off from the others for 20 s, and half of the frontends reach only it, the rest only the others.
fn limit_while_the_head_is_partitioned(fault: Option<PlantedFault>) -> Option<String> {
    let mut fleet = calm(fault);
    fleet.press(3.0);
    fleet.quietly(ms(9_000));
    let head = fleet.schedule.world.head().expect("a head");
    fleet.schedule.world.cut_off(head);
    for frontend in 0..FRONTENDS {
        let reaches_head = frontend < FRONTENDS / 2;
        for machine in (0..3).filter(|machine| (*machine == head) != reaches_head) {
            fleet.cut_frontend(frontend, machine);
        }
    }
    fleet.quietly(Duration::from_secs(20));
    // The partition heals: what the old allocator granted and what the new one grants must fit too.
    fleet.schedule.world.cuts.clear();
    fleet.join_frontends();
    fleet.quietly(Duration::from_secs(12));
    fleet.broken()
}

#[test]
fn limits_hold_while_a_quota_allocator_is_partitioned() {
    assert_eq!(limit_while_the_head_is_partitioned(None), None);
}

#[test]
fn a_quota_allocator_that_does_not_check_whether_it_is_still_the_head_would_be_noticed() {
    let broken = limit_while_the_head_is_partitioned(Some(PlantedFault::GrantsForEver));
    assert!(broken.is_some_and(|broken| broken.contains("admitted in a window")));
}

/// Two of three coordinators are lost. The one that is left has no majority, and a backend drains. Returns whether frontends
/// still send to it 10 s later.
fn frontends_miss_a_drain_without_a_majority(fault: Option<PlantedFault>) -> bool {
    let mut fleet = calm(fault);
    fleet.quietly(ms(3_000));
    for machine in 1..3 {
        fleet.schedule.world.remove(machine);
    }
    fleet.quietly(ms(3_000));
    let drained = fleet.drain_any_backend();
    fleet.quietly(Duration::from_secs(10));
    (0..FRONTENDS).any(|frontend| fleet.is_ready_at(frontend, &drained))
}

#[test]
fn drains_are_told_while_no_majority_is_there() {
    assert!(!frontends_miss_a_drain_without_a_majority(None));
    assert!(frontends_miss_a_drain_without_a_majority(Some(PlantedFault::ReadsWithMajorityOnly)));
}

/// A reader that is cut off from the other coordinators reads on, and what the others read takes long or fails; so its versions
/// are ahead of theirs. Then it is lost, and a backend drains: how long until all frontends know. `None` after a minute.
fn time_to_learn_of_a_drain(
    ahead: Duration,
    trouble: PlatformTrouble,
    fault: Option<PlantedFault>,
) -> Option<Duration> {
    let mut fleet = calm(fault);
    fleet.quietly(ms(3_000));
    let reader = fleet.reader().expect("somebody reads");
    fleet.schedule.world.cut_off(reader);
    fleet.trouble_all_but(reader, trouble, ahead);
    fleet.quietly(ahead);
    fleet.schedule.world.remove(reader);
    let drained = fleet.drain_any_backend();
    let begun = fleet.schedule.world.now;
    while (0..FRONTENDS).any(|frontend| fleet.is_ready_at(frontend, &drained)) {
        let passed = fleet.schedule.world.now - begun;
        if passed >= Duration::from_secs(60) || fleet.broken().is_some() {
            return None;
        }
        fleet.quietly(ms(100));
    }
    assert_eq!(fleet.broken().filter(|_| fault.is_none()), None);
    Some(fleet.schedule.world.now - begun)
}

#[test]
fn lists_of_a_lost_reader_that_was_ahead_do_not_hide_newer_ones() {
    /// Until a poll of the agent finds that nobody confirms the list that it has, and a read.
    const LEARNED_WITHIN: Duration = Duration::from_millis(5_500);
    for trouble in [PlatformTrouble::Unreachable, PlatformTrouble::Slow] {
        for seconds in [0, 5, 20, 60] {
            let passed = time_to_learn_of_a_drain(Duration::from_secs(seconds), trouble, None);
            println!("{trouble:?} for {seconds} s: known after {passed:?}");
            assert!(
                passed.is_some_and(|passed| passed <= LEARNED_WITHIN),
                "{trouble:?} for {seconds} s: {passed:?}"
            );
        }
    }
    let hides = Some(PlantedFault::HidesVersions);
    let passed = time_to_learn_of_a_drain(Duration::from_secs(60), PlatformTrouble::Slow, hides);
    assert!(passed.is_none_or(|passed| passed > LEARNED_WITHIN), "the planted fault is noticed: {passed:?}");
}

/// A backend loses a block; so long after, the auditor is lost in one of three ways, in the middle of its rounds.
#[test]
fn a_mismatch_is_named_once_where_its_auditor_is_replaced() {
    for moment in 0..24 {
        let mut fleet = calm(None);
        fleet.keep_blocks();
        fleet.quietly(Duration::from_secs(12));
        let lost = fleet.lose_block();
        fleet.quietly(ms(400) * moment);
        let head = fleet.schedule.world.head().expect("a head");
        match moment % 3 {
            0 => fleet.schedule.world.stop(head),
            1 => fleet.schedule.world.freeze(head, Duration::from_secs(5)),
            _ => fleet.schedule.world.cut_off(head),
        }
        fleet.quietly(Duration::from_secs(25));
        assert_eq!(fleet.broken(), None, "moment {moment}");
        let named: Vec<_> = fleet.named().iter().filter(|named| named.block == lost).collect();
        assert_eq!(named.len(), 1, "moment {moment}: {named:#?}");
    }
}
