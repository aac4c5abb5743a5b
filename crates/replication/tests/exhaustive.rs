//! Exhaustive search, up to a depth, over the orders of messages, disk writes and failures in a small model:
//! three members, two operators with changes of the same generation, and read requests. Each search starts in
//! a prepared scenario.
//!
//! `DEPTH=8 cargo test --release -p replication --test exhaustive -- --ignored --nocapture` searches deeper.
//! Each further level takes six times as long and as much memory (520,000 states and 1.7 GB at depth 8).

mod small;

use small::{Limits, Scenario, SmallWorld};
use stateright::{Checker, HasDiscoveries, Model};
use std::time::{Duration, Instant};

/// The depth of the search from each scenario in the regular test.
const DEPTH: usize = 7;
/// The depth without failures, where far fewer states exist.
const DEPTH_WITHOUT_FAILURES: usize = 60;
/// Limits the time of one search.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(600);

fn search(
    scenario: Scenario,
    limits: Limits,
    depth: usize,
    fault: Option<replication::Fault>,
) -> (usize, Option<String>) {
    let started_at = Instant::now();
    let threads = std::thread::available_parallelism().map_or(2, |cores| cores.get().min(4));
    let checker = SmallWorld { scenario, limits, fault }
        .checker()
        .threads(threads)
        .target_max_depth(depth)
        .timeout(SEARCH_TIMEOUT)
        .finish_when(HasDiscoveries::Any)
        .spawn_bfs()
        .join();
    let states = checker.unique_state_count();
    let found = checker.discovery(small::INVARIANTS).map(|path| {
        let violation = path.last_state().violation().unwrap_or_default().to_string();
        format!("{violation}, after {:?}", path.into_actions())
    });
    println!("{scenario:?}: {states} states to depth {depth} in {:.1?}", started_at.elapsed());
    (states, found)
}

#[test]
fn no_sequence_of_steps_violates_an_invariant() {
    let mut all = 0;
    for scenario in Scenario::ALL {
        let (states, found) = search(scenario, Limits::default(), DEPTH, None);
        assert_eq!(found, None, "{scenario:?}");
        all += states;
    }
    println!("{all} states");
    assert!(all > 20_000, "the search has become shallow: {all} states");
}

#[test]
fn no_order_of_messages_and_writes_violates_an_invariant() {
    for scenario in Scenario::ALL {
        let (_, found) = search(scenario, Limits::NONE, DEPTH_WITHOUT_FAILURES, None);
        assert_eq!(found, None, "{scenario:?}");
    }
}

#[test]
#[ignore = "takes minutes"]
fn no_longer_sequence_of_steps_violates_an_invariant() {
    let depth = std::env::var("DEPTH").ok().and_then(|text| text.parse().ok()).unwrap_or(8);
    let mut all = 0;
    for scenario in Scenario::ALL {
        let (states, found) = search(scenario, Limits::default(), depth, None);
        assert_eq!(found, None, "{scenario:?}");
        all += states;
    }
    println!("{all} states");
}

#[test]
fn the_search_detects_injected_faults() {
    use replication::Fault;
    let injected = [
        (Fault::ReadsWithoutConfirmation, Scenario::TailCutOff),
        (Fault::IgnoresBase, Scenario::TwoOperators),
        (Fault::CommitsAtHead, Scenario::HeadCutOff),
        (Fault::IgnoresDigests, Scenario::TwoOperators),
    ];
    for (fault, scenario) in injected {
        let (_, found) = search(scenario, Limits::NONE, DEPTH_WITHOUT_FAILURES, Some(fault));
        println!("{fault:?}: {found:?}");
        assert!(found.is_some(), "{fault:?} is not found in {scenario:?}");
    }
}
