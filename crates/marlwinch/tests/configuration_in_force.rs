//! Rule CONFIG, and that no process ends by itself, with real processes behind relays, under disruptions of
//! processes and links.
//!
//! The soak takes other seeds:
//! `TRIAL_SEEDS=100..150 TRIAL_SECONDS=60 TRIAL_FRONTENDS=6 cargo test --release --test configuration_in_force -- --ignored --nocapture`.
//! `TRIAL_PROGRAM` plays another build of the roles, and `TRIAL_SUPERVISOR` has another build of `marlwinch` keep
//! the processes; `TRIAL_FOLDER` keeps settings, data and logs, and `TMPDIR` decides where
//! they are otherwise: a folder in memory keeps a busy disk of this computer out of the trials.

use control_trials::trial::Scenario;
use control_trials::{TrialOptions, TrialOutcome, run};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

/// The seeds of the drawn trials that every run of the tests plays, at the same time.
const SEEDS: [u64; 4] = [1, 2, 3, 4];
/// How long each of them disrupts the fleet.
const LENGTH: Duration = Duration::from_secs(20);
/// The number of frontends of each.
const FRONTENDS: usize = 3;
/// The soak's trials that run at the same time, unless `TRIAL_JOBS` says otherwise.
const SOAK_JOBS: usize = 4;

fn options(seed: u64, frontends: usize, scenario: Scenario) -> TrialOptions {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let marlwinch = env!("CARGO_BIN_EXE_marlwinch");
    TrialOptions {
        program: std::env::var_os("TRIAL_PROGRAM").unwrap_or(marlwinch.into()).into(),
        supervisor: std::env::var_os("TRIAL_SUPERVISOR").unwrap_or(marlwinch.into()).into(),
        deploy_file: root.join("deploy/system.toml"),
        seed,
        frontends,
        scenario,
        keep: std::env::var_os("TRIAL_FOLDER").map(|folder| PathBuf::from(folder).join(seed.to_string())),
    }
}

/// Runs a trial and prints its result. Returns whether it was good.
fn is_good(options: &TrialOptions) -> bool {
    let outcome = run(options).expect("the trial runs");
    let seed = options.seed;
    let acknowledged = outcome.history.changes.iter().filter(|change| change.acknowledged_at().is_some());
    println!(
        "seed {seed}: {} requests, {} changes acknowledged, {} disruptions, {} processes ended by themselves, \
         {} violations; at most {}",
        outcome.history.observations.len(),
        acknowledged.count(),
        outcome.history.events.len(),
        outcome.unrequested_ends.len(),
        outcome.violations.len(),
        outcome.peaks
    );
    if !outcome.is_good() {
        print_failure(seed, &outcome);
    }
    outcome.is_good()
}

fn print_failure(seed: u64, outcome: &TrialOutcome) {
    for (at, event) in &outcome.history.events {
        println!("seed {seed}: {:8.3} s {event}", at.as_secs_f64());
    }
    for violation in outcome.violations.iter().take(20) {
        println!("seed {seed}: {violation}");
    }
    for end in &outcome.unrequested_ends {
        println!("seed {seed}: {end}");
    }
}

/// Plays trials, some at the same time. Returns the seeds of those that broke the rule.
fn broken_seeds(trials: Vec<TrialOptions>, jobs: usize) -> Vec<u64> {
    let mut broken = Vec::new();
    for batch in trials.chunks(jobs.max(1)) {
        let running: Vec<_> = batch
            .iter()
            .cloned()
            .map(|options| (options.seed, thread::spawn(move || is_good(&options))))
            .collect();
        let ended = running.into_iter().map(|(seed, trial)| (seed, trial.join().unwrap_or(false)));
        broken.extend(ended.filter(|(_, is_good)| !is_good).map(|(seed, _)| seed));
    }
    broken
}

/// A frontend that was cut off meanwhile kept its old configuration for good.
#[test]
fn a_frontend_that_was_cut_off_while_the_core_was_replaced_gets_the_newest_configuration() {
    assert!(is_good(&options(0, 2, Scenario::REPLACED_DURING_CUT)));
}

#[test]
fn configurations_are_in_force_and_no_process_ends_by_itself_under_drawn_disruptions() {
    let trial = |seed| options(seed, FRONTENDS, Scenario::Drawn(LENGTH));
    let broken = broken_seeds(SEEDS.into_iter().map(trial).collect(), SEEDS.len());
    assert!(broken.is_empty(), "seeds {broken:?}");
}

/// A setting of the soak.
fn soak_setting(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
#[ignore = "a soak: takes minutes to hours"]
fn soak() {
    let seeds = std::env::var("TRIAL_SEEDS").unwrap_or("100..104".into());
    let (first, end) = seeds.split_once("..").expect("TRIAL_SEEDS is FIRST..END");
    let seeds = first.parse::<u64>().expect("a seed")..end.parse().expect("a seed");
    let length = Duration::from_secs(soak_setting("TRIAL_SECONDS").unwrap_or(60));
    let frontends = soak_setting("TRIAL_FRONTENDS").unwrap_or(6) as usize;
    let jobs = soak_setting("TRIAL_JOBS").map_or(SOAK_JOBS, |jobs| jobs as usize);
    let trials = seeds.map(|seed| options(seed, frontends, Scenario::Drawn(length)));
    let broken = broken_seeds(trials.collect(), jobs);
    assert!(broken.is_empty(), "seeds {broken:?}");
}
