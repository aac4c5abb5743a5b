//! Simulates generated fleets with a burst and prints the results; for a single seed also those of each
//! second. The arguments are the range of seeds, and an optional part of the scenario to leave out (`small`
//! for a sixth of the fleet): `cargo run --release -p fleet-simulation --example burst -- 0 20
//! [choke|handshake|retries|burst|small]`.

use fleet_simulation::{Scenario, Tally, simulate};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

fn scenario(seed: u64, without: Option<&str>) -> Scenario {
    let mut scenario = Scenario::generate(seed);
    match without {
        Some("choke") => scenario.overload = None,
        Some("handshake") => scenario.handshake = 0.0,
        Some("retries") => scenario.clients.retries = 0,
        Some("burst") => scenario.burst = None,
        Some("small") => scenario = scenario.scaled_down(6),
        _ => {}
    }
    scenario
}

fn main() {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let number = |at: usize, default| args.get(at).and_then(|arg| arg.parse().ok()).unwrap_or(default);
    let (from, to) = (number(0, 0), number(1, 20));
    let without = args.get(2).map(String::as_str);
    let next = AtomicU64::new(from);
    let work = || {
        let mut results = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= to {
                return results;
            }
            results.push((seed, simulate(&scenario(seed, without))));
        }
    };
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let mut results: Vec<(u64, Tally)> = thread::scope(|scope| {
        let tasks: Vec<_> = (0..cores).map(|_| scope.spawn(work)).collect();
        tasks.into_iter().flat_map(|task| task.join().expect("a simulation ended")).collect()
    });
    results.sort_by_key(|(seed, _)| *seed);
    let (mut sum, mut min, mut not_recovered) = (0.0, f64::INFINITY, 0);
    for (seed, tally) in &results {
        let scenario = Scenario::generate(*seed);
        let burst = scenario.burst.expect("generated with one");
        let after = tally.in_time_between(burst.to as usize + 3, scenario.length as usize);
        let before = tally.in_time_between(1, burst.from as usize);
        let during = tally.in_time_between(burst.from as usize, burst.to as usize);
        not_recovered += u32::from(after < 0.95 * before);
        (sum, min) = (sum + tally.served(), min.min(tally.served()));
        println!(
            "{seed}: served {:.3}, in time before {before:.3} during the burst {during:.3} after {after:.3}; {} of {} backends overloaded; \
             {:.2} attempts and {:.2} connections per request, at most {} connections at once",
            tally.served(),
            tally.overloaded,
            scenario.backends.len(),
            tally.attempts as f64 / tally.offered as f64,
            tally.connections_opened as f64 / tally.offered as f64,
            tally.max_open_connections,
        );
        if results.len() == 1 {
            for (second, s) in tally.seconds.iter().enumerate() {
                println!("  {second}: {s:?}");
            }
        }
    }
    let count = results.len();
    println!(
        "{count} scenarios: served {:.3}, minimum {min:.3}, not recovered 3 s after the burst: {not_recovered}",
        sum / count as f64
    );
}
