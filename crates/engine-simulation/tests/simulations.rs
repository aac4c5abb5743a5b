//! Simulations of sites: the selection by `routing` must be better than by load estimates or by affinity
//! alone.

use engine_simulation::{
    BaselinePolicy, CrashMode, Fault, RandomFaults, ScheduledFault, SelectionPolicy, Site, Statistics, run,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use routing::RoutingPolicy;

fn routing_policy() -> SelectionPolicy {
    SelectionPolicy::Routing(RoutingPolicy::default())
}

fn site(load: f64, fault: Option<Fault>) -> Site {
    let mut site = Site::reference(load);
    site.length_s = 14.0;
    site.faults.extend(fault.map(|fault| ScheduledFault { start_s: 5.0, duration_s: 4.0, fault }));
    site
}

/// The mean of a figure over simulations of sites.
fn mean(sites: &[Site], policy: SelectionPolicy, figure: fn(&Statistics) -> f64) -> f64 {
    let each = sites.iter().enumerate().map(|(index, site)| figure(&run(site, policy, 1 + index as u64)));
    each.sum::<f64>() / sites.len() as f64
}

#[test]
fn routing_rereads_fewer_blocks_and_earns_more_than_load_estimates_alone() {
    let sites = [site(1.1, None), site(1.0, Some(Fault::HotKey { class: 0, share: 0.3 }))];
    let reread = |policy| mean(&sites, policy, Statistics::reread_share);
    let earned = |policy| mean(&sites, policy, Statistics::earned_share);
    let (ours, theirs) =
        (reread(routing_policy()), reread(SelectionPolicy::Baseline(BaselinePolicy::JoinUpTo)));
    assert!(ours < theirs / 3.0, "{ours} and {theirs}");
    let (ours, theirs) =
        (earned(routing_policy()), earned(SelectionPolicy::Baseline(BaselinePolicy::JoinUpTo)));
    assert!(ours > theirs, "{ours} and {theirs}");
}

#[test]
fn routing_earns_more_than_affinity_alone_with_a_hot_key_or_slow_backends() {
    let hot = Fault::HotKey { class: 0, share: 0.3 };
    let slow = Fault::Slow { share: 0.17, factor: 3.0 };
    let sites = [site(1.2, Some(hot)), site(1.2, Some(slow)), site(1.3, None)];
    let earned = |policy| mean(&sites, policy, Statistics::earned_share);
    let (ours, theirs) =
        (earned(routing_policy()), earned(SelectionPolicy::Baseline(BaselinePolicy::Affinity)));
    assert!(ours > theirs, "{ours} and {theirs}");
}

#[test]
fn a_crash_loses_little_more_than_its_running_requests_and_causes_no_needless_rejections() {
    for mode in [CrashMode::Refusing, CrashMode::Unresponsive] {
        let statistics = run(&site(0.8, Some(Fault::Crash { share: 0.17, mode })), routing_policy(), 3);
        assert!(statistics.earned_share() > 0.93, "{mode:?}: {}", statistics.earned_share());
        assert_eq!(statistics.needless_rejections, 0);
    }
}

#[test]
fn all_requests_of_random_sites_end_and_load_reports_are_few() {
    let seed = 11;
    println!("seed {seed}");
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    for _ in 0..3 {
        let mut site = Site::random(&mut random, RandomFaults::Two, 1.0);
        site.length_s = 8.0;
        let statistics = run(&site, routing_policy(), seed);
        let requests: u32 = statistics.classes.iter().map(|class| class.requests).sum();
        let ended: u32 = statistics
            .classes
            .iter()
            .map(|class| class.first_event_ms.len() as u32 + class.rejected + class.failed)
            .sum();
        assert_eq!(requests, ended, "{}", site.name);
        let max = site.node_shares.len() as u32 * 9;
        assert!(statistics.load_reports <= max, "{} reports", statistics.load_reports);
    }
}
