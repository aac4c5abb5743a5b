//! Fleets recover from a burst. Scenarios are generated from seeds, which a failure names.

use fleet_simulation::{Scenario, simulate};

/// The divisor by which fleets are scaled down, with the same load per backend, to shorten the simulations.
const DIVISOR: usize = 6;

/// A fleet has recovered if it serves at least this fraction of its requests in time, relative to before the
/// burst. One in ten may not recover, since some bursts can't be detected in time.
const RECOVERED: f64 = 0.8;

/// Whether a fleet has recovered three seconds after the burst, with a summary of its results.
fn has_recovered(scenario: &Scenario) -> (bool, String) {
    let tally = simulate(scenario);
    let burst = scenario.burst.expect("generated with one");
    let before = tally.in_time_between(1, burst.from as usize);
    let after = tally.in_time_between(burst.to as usize + 3, scenario.length as usize);
    let summary = format!(
        "seed {}: in time {before:.3} before the burst, {after:.3} after, {} of {} backends overloaded",
        scenario.seed,
        tally.overloaded,
        scenario.backends.len()
    );
    (after >= RECOVERED * before, summary)
}

fn check_recovery(seeds: std::ops::Range<u64>) {
    let not_recovered: Vec<_> = seeds
        .clone()
        .map(|seed| has_recovered(&Scenario::generate(seed).scaled_down(DIVISOR)))
        .filter(|(recovered, _)| !recovered)
        .map(|(_, summary)| summary)
        .collect();
    let max = seeds.count() / 10;
    assert!(
        not_recovered.len() <= max,
        "{} fleets have not recovered, at most {max} may: {not_recovered:#?}",
        not_recovered.len()
    );
}

#[test]
fn fleets_recover_from_a_burst() {
    check_recovery(0..50);
}

#[test]
#[ignore = "500 scenarios take minutes: cargo test --release -p fleet-simulation --test bursts -- --ignored"]
fn five_hundred_fleets_recover_from_a_burst() {
    check_recovery(1000..1500);
}
