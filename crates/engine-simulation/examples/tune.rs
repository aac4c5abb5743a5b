//! Simulates variants of the figures of `routing` over random sites, a few threads at once.
//!
//! `cargo run --release -p engine-simulation --example tune [SITES] [SEED] [NAME=VALUE,...]...`

use engine_simulation::{BaselinePolicy, RandomFaults, SelectionPolicy, Site, run};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use routing::RoutingPolicy;

/// What rereading a thousand tokens of shared blocks costs, in value.
const REREAD_COST: f64 = 0.19;
/// What a load report costs, in value.
const REPORT_COST: f64 = 0.012;
const THREADS: usize = 3;

fn variant(words: &str) -> RoutingPolicy {
    let mut tuning = RoutingPolicy::default();
    for word in words.split(',').filter(|word| !word.is_empty()) {
        let Some((name, value)) = word.split_once('=') else { panic!("NAME=VALUE, not {word}") };
        let value: f64 = value.parse().unwrap_or_default();
        match name {
            "copies" => tuning.replicas = value as usize,
            "hot_share" => tuning.max_block_utilization = value,
            "reread_cost" => tuning.repeated_prefill_cost = value,
            "read_cost" => tuning.prefill_cost = value,
            "busy_weight" => tuning.busy_weight = value,
            "slow_from" => tuning.slow_threshold = value,
            "key_margin" => tuning.request_count_margin = value,
            "small_first" => tuning.small_prompts_first = value > 0.0,
            "slack" => tuning.cost_tolerance = value,
            "idle_share" => tuning.idle_share = value,
            _ => panic!("no figure {name}"),
        }
    }
    tuning
}

/// The factor of the load of all sites: `STRAIN` in the environment.
fn load_factor() -> f64 {
    std::env::var("STRAIN").ok().and_then(|word| word.parse().ok()).unwrap_or(1.0)
}

/// Random sites have faults, but for one in four.
fn faults(turn: u64) -> RandomFaults {
    if turn.is_multiple_of(4) { RandomFaults::None } else { RandomFaults::Two }
}

fn sites(count: u64, seed: u64) -> Vec<Site> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    (0..count).map(|turn| Site::random(&mut random, faults(turn), load_factor())).collect()
}

struct Sum {
    worth: f64,
    again: f64,
    prices: f64,
    worst: f64,
    largest: f64,
    late: f64,
    lost: f64,
}

fn play(sites: &[Site], seed: u64, policy: SelectionPolicy) -> Sum {
    let mut sum = Sum { worth: 0.0, again: 0.0, prices: 0.0, worst: 0.0, largest: 0.0, late: 0.0, lost: 0.0 };
    let all = sites.len() as f64;
    for (turn, site) in sites.iter().enumerate() {
        let statistics = run(site, policy, seed + turn as u64);
        if std::env::var("EACH").is_ok() {
            println!(
                "    {:.3} again {:.3} {policy:?} {}",
                statistics.earned_share(),
                statistics.reread_share(),
                site.name
            );
        }
        sum.worth += statistics.earned_share() / all;
        sum.again += statistics.reread_share() / all;
        let owed: f64 = statistics.classes.iter().map(|class| class.offered_value).sum();
        let prices =
            REREAD_COST * statistics.reread_tokens / 1e3 + REPORT_COST * f64::from(statistics.load_reports);
        sum.prices += prices / owed / all;
        let worst = statistics
            .classes
            .iter()
            .map(|class| class.earned_value / class.offered_value)
            .fold(1.0, f64::min);
        sum.worst += worst / all;
        let largest =
            statistics.classes[0].largest_served as f64 / statistics.classes[0].largest.max(1) as f64;
        sum.largest += largest / all;
        let requests: u32 = statistics.classes.iter().map(|class| class.requests).sum();
        let late: u32 = statistics.classes.iter().map(|class| class.late).sum();
        let lost: u32 = statistics.classes.iter().map(|class| class.failed + class.rejected).sum();
        sum.late += f64::from(late) / f64::from(requests) / all;
        sum.lost += f64::from(lost) / f64::from(requests) / all;
    }
    sum
}

fn main() {
    let mut words = std::env::args().skip(1);
    let count: u64 = words.next().and_then(|word| word.parse().ok()).unwrap_or(12);
    let seed: u64 = words.next().and_then(|word| word.parse().ok()).unwrap_or(1);
    let sites = sites(count, seed);
    let mut policies: Vec<(String, SelectionPolicy)> = vec![
        ("affinity".into(), SelectionPolicy::Baseline(BaselinePolicy::Affinity)),
        ("all known".into(), SelectionPolicy::Baseline(BaselinePolicy::Omniscient)),
        ("default".into(), SelectionPolicy::Routing(RoutingPolicy::default())),
    ];
    policies.extend(words.map(|word| (word.clone(), SelectionPolicy::Routing(variant(&word)))));
    println!(
        "{count} sites, seed {seed}: net is worth less {REREAD_COST} for 1,000 tokens read again, {REPORT_COST} for a report"
    );
    for some in policies.chunks(THREADS) {
        std::thread::scope(|scope| {
            let sites = &sites;
            let play = |policy: SelectionPolicy| scope.spawn(move || play(sites, seed, policy));
            let plays: Vec<_> = some.iter().map(|(name, policy)| (name, play(*policy))).collect();
            for (name, handle) in plays {
                let Ok(sum) = handle.join() else { continue };
                let net = sum.worth - sum.prices;
                println!(
                    "  {name:<40} net {net:.4}  worth {:.4}  again {:.4}  worst class {:.4}  largest tenth served {:.3}  late {:.4}  lost {:.4}",
                    sum.worth, sum.again, sum.worst, sum.largest, sum.late, sum.lost
                );
            }
        });
    }
}
