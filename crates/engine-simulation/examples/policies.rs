//! Compares selection policies on the reference site, with different loads and faults, and on random sites.
//!
//! `cargo run --release -p engine-simulation --example policies [SITES] [SEED]`

use engine_simulation::{
    BaselinePolicy, CrashMode, Fault, RandomFaults, ScheduledFault, SelectionPolicy, Site, Statistics, run,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use routing::RoutingPolicy;

fn policies() -> Vec<(&'static str, SelectionPolicy)> {
    vec![
        ("random", SelectionPolicy::Baseline(BaselinePolicy::Random)),
        ("least outstanding", SelectionPolicy::Baseline(BaselinePolicy::LeastOutstanding)),
        ("join-up-to(m)", SelectionPolicy::Baseline(BaselinePolicy::JoinUpTo)),
        ("affinity", SelectionPolicy::Baseline(BaselinePolicy::Affinity)),
        ("omniscient", SelectionPolicy::Baseline(BaselinePolicy::Omniscient)),
        ("routing", SelectionPolicy::Routing(RoutingPolicy::default())),
    ]
}

fn print_statistics(name: &str, statistics: &Statistics) {
    let late: u32 = statistics.classes.iter().map(|class| class.late).sum();
    let stalled: u32 = statistics.classes.iter().map(|class| class.stalled).sum();
    let lost: u32 = statistics.classes.iter().map(|class| class.failed + class.rejected).sum();
    let all: u32 = statistics.classes.iter().map(|class| class.requests).sum();
    let share = |count: u32| 100.0 * f64::from(count) / f64::from(all);
    println!(
        "  {name:<17} earned {:.3}  late {:5.2} %  stalled {:5.2} %  lost {:5.2} %  reread {:.3}  reports {}  rejections {} ({} needless)  form p50 {:.0} p99 {:.0}  chat p99 {:.0}  served {}",
        statistics.earned_share(),
        share(late),
        share(stalled),
        share(lost),
        statistics.reread_share(),
        statistics.load_reports,
        statistics.rejections,
        statistics.needless_rejections,
        statistics.classes[0].first_event_quantile(0.5),
        statistics.classes[0].first_event_quantile(0.99),
        statistics.classes[1].first_event_quantile(0.99),
        served(statistics),
    );
}

/// The served share of each class.
fn served(statistics: &Statistics) -> String {
    let share = |class: &engine_simulation::ClassStatistics| {
        1.0 - f64::from(class.failed + class.rejected) / f64::from(class.requests.max(1))
    };
    statistics.classes.iter().map(|class| format!("{:.3} ", share(class))).collect()
}

/// One in three random sites has no faults.
fn faults(index: u64) -> RandomFaults {
    if index.is_multiple_of(3) { RandomFaults::None } else { RandomFaults::Two }
}

/// The reference site with different loads and faults.
fn named_sites() -> Vec<Site> {
    let with = |name: &str, load: f64, fault: Option<Fault>| {
        let mut site = Site::reference(load);
        site.faults.extend(fault.map(|fault| ScheduledFault { start_s: 12.0, duration_s: 5.0, fault }));
        site.name = format!("{name}, load {load}");
        site
    };
    vec![
        with("quiet", 0.65, None),
        with("full", 1.1, None),
        with("burst of forms", 1.0, Some(Fault::Burst { class: 0, factor: 1.5 })),
        with("hot form", 1.0, Some(Fault::HotKey { class: 0, share: 0.3 })),
        with("hot chat", 1.1, Some(Fault::HotKey { class: 1, share: 0.3 })),
        with("crash", 1.0, Some(Fault::Crash { share: 0.18, mode: CrashMode::Refusing })),
        with("unresponsive", 1.0, Some(Fault::Crash { share: 0.18, mode: CrashMode::Unresponsive })),
        with("slow", 1.0, Some(Fault::Slow { share: 0.15, factor: 3.0 })),
        with("release", 1.0, Some(Fault::Release)),
        with("overload", 2.0, None),
    ]
}

fn main() {
    let mut args = std::env::args().skip(1);
    let count: u64 = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(6);
    let seed: u64 = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(1);
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let drawn: Vec<Site> = (0..count).map(|index| Site::random(&mut random, faults(index), 1.0)).collect();
    let mut sums = vec![(0.0, 0.0); policies().len()];
    let sites: Vec<Site> = named_sites().into_iter().chain(drawn).collect();
    for (index, site) in sites.iter().enumerate() {
        println!("{}", site.name);
        for (number, (name, policy)) in policies().into_iter().enumerate() {
            let statistics = run(site, policy, seed + index as u64);
            print_statistics(name, &statistics);
            sums[number].0 += statistics.earned_share();
            sums[number].1 += statistics.reread_share();
        }
    }
    println!("mean over {} sites", sites.len());
    for ((name, _), (earned, reread)) in policies().into_iter().zip(sums) {
        let count = sites.len() as f64;
        println!("  {name:<17} earned {:.4}  reread {:.4}", earned / count, reread / count);
    }
}
