//! Compares variants of the parameters of `routing` on random sites, with a few threads.
//!
//! `cargo run --release -p engine-simulation --example tune [SITES] [SEED] [NAME=VALUE,...]...`. The
//! environment variable `STRAIN` is a factor of the load; if `EACH` is set, the results of each site are
//! printed.

use engine_simulation::{BaselinePolicy, RandomFaults, SelectionPolicy, Site, run};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use routing::RoutingPolicy;

/// The cost of rereading 1,000 tokens of shared blocks, in units of value.
const REREAD_COST: f64 = 0.19;
/// The cost of a load report, in units of value.
const REPORT_COST: f64 = 0.012;
const THREADS: usize = 3;

/// The default policy with the parameters of an argument: `NAME=VALUE,...`.
fn variant(argument: &str) -> RoutingPolicy {
    let mut policy = RoutingPolicy::default();
    for pair in argument.split(',').filter(|pair| !pair.is_empty()) {
        let Some((name, value)) = pair.split_once('=') else { panic!("expected NAME=VALUE, got {pair}") };
        let value: f64 = value.parse().unwrap_or_default();
        match name {
            "copies" => policy.replicas = value as usize,
            "hot_share" => policy.max_block_utilization = value,
            "reread_cost" => policy.repeated_prefill_cost = value,
            "read_cost" => policy.prefill_cost = value,
            "busy_weight" => policy.busy_weight = value,
            "slow_from" => policy.slow_threshold = value,
            "key_margin" => policy.request_count_margin = value,
            "small_first" => policy.small_prompts_first = value > 0.0,
            "slack" => policy.cost_tolerance = value,
            "idle_share" => policy.idle_share = value,
            _ => panic!("unknown parameter {name}"),
        }
    }
    policy
}

/// The factor of the load of all sites: `STRAIN` in the environment.
fn load_factor() -> f64 {
    std::env::var("STRAIN").ok().and_then(|factor| factor.parse().ok()).unwrap_or(1.0)
}

/// One in four random sites has no faults.
fn faults(index: u64) -> RandomFaults {
    if index.is_multiple_of(4) { RandomFaults::None } else { RandomFaults::Two }
}

fn sites(count: u64, seed: u64) -> Vec<Site> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    (0..count).map(|index| Site::random(&mut random, faults(index), load_factor())).collect()
}

/// The means of a policy's results over all sites, as shares.
struct Means {
    earned: f64,
    reread: f64,
    costs: f64,
    worst_class: f64,
    largest_served: f64,
    late: f64,
    lost: f64,
}

fn simulate_sites(sites: &[Site], seed: u64, policy: SelectionPolicy) -> Means {
    let mut means = Means {
        earned: 0.0,
        reread: 0.0,
        costs: 0.0,
        worst_class: 0.0,
        largest_served: 0.0,
        late: 0.0,
        lost: 0.0,
    };
    let count = sites.len() as f64;
    for (index, site) in sites.iter().enumerate() {
        let statistics = run(site, policy, seed + index as u64);
        if std::env::var("EACH").is_ok() {
            println!(
                "    {:.3} reread {:.3} {policy:?} {}",
                statistics.earned_share(),
                statistics.reread_share(),
                site.name
            );
        }
        means.earned += statistics.earned_share() / count;
        means.reread += statistics.reread_share() / count;
        let offered: f64 = statistics.classes.iter().map(|class| class.offered_value).sum();
        let costs =
            REREAD_COST * statistics.reread_tokens / 1e3 + REPORT_COST * f64::from(statistics.load_reports);
        means.costs += costs / offered / count;
        let worst = statistics
            .classes
            .iter()
            .map(|class| class.earned_value / class.offered_value)
            .fold(1.0, f64::min);
        means.worst_class += worst / count;
        let largest =
            statistics.classes[0].largest_served as f64 / statistics.classes[0].largest.max(1) as f64;
        means.largest_served += largest / count;
        let requests: u32 = statistics.classes.iter().map(|class| class.requests).sum();
        let late: u32 = statistics.classes.iter().map(|class| class.late).sum();
        let lost: u32 = statistics.classes.iter().map(|class| class.failed + class.rejected).sum();
        means.late += f64::from(late) / f64::from(requests) / count;
        means.lost += f64::from(lost) / f64::from(requests) / count;
    }
    means
}

fn main() {
    let mut args = std::env::args().skip(1);
    let count: u64 = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(12);
    let seed: u64 = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(1);
    let sites = sites(count, seed);
    let mut policies: Vec<(String, SelectionPolicy)> = vec![
        ("affinity".into(), SelectionPolicy::Baseline(BaselinePolicy::Affinity)),
        ("omniscient".into(), SelectionPolicy::Baseline(BaselinePolicy::Omniscient)),
        ("default".into(), SelectionPolicy::Routing(RoutingPolicy::default())),
    ];
    policies.extend(args.map(|arg| (arg.clone(), SelectionPolicy::Routing(variant(&arg)))));
    println!(
        "{count} sites, seed {seed}: net is earned minus {REREAD_COST} per 1,000 reread tokens and {REPORT_COST} per load report"
    );
    for chunk in policies.chunks(THREADS) {
        std::thread::scope(|scope| {
            let sites = &sites;
            let spawn = |policy: SelectionPolicy| scope.spawn(move || simulate_sites(sites, seed, policy));
            let handles: Vec<_> = chunk.iter().map(|(name, policy)| (name, spawn(*policy))).collect();
            for (name, handle) in handles {
                let Ok(means) = handle.join() else { continue };
                let net = means.earned - means.costs;
                println!(
                    "  {name:<40} net {net:.4}  earned {:.4}  reread {:.4}  worst class {:.4}  largest tenth served {:.3}  late {:.4}  lost {:.4}",
                    means.earned,
                    means.reread,
                    means.worst_class,
                    means.largest_served,
                    means.late,
                    means.lost
                );
            }
        });
    }
}
