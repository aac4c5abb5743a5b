//! Tests of `shrink` that use its private items.

use super::*;
use crate::plan_reader;

fn plan() -> Plan {
    plan_reader::read_plan(include_str!("plan.toml"), |_| Err("none")).expect("a plan")
}

#[test]
fn unneeded_parts_are_removed_and_faults_triggered_by_a_removed_fault_keep_their_start() {
    let fails = |plan: &Plan| {
        let has_pause = plan.faults.iter().any(|fault| fault.action == FaultAction::Pause);
        has_pause && plan.clients.iter().any(|clients| clients.class == "correct")
    };
    let mut steps = 0;
    let small = shrink(&plan(), 100, fails, |_| steps += 1);
    assert_eq!((small.faults.len(), small.clients.len(), small.nodes, small.backends.count), (1, 1, 2, 1));
    let at = DurationRange::fixed(Duration::from_secs(3));
    assert_eq!(small.faults[0].trigger, FaultTrigger::At(at));
    assert!(
        small.traffic_duration < Duration::from_secs(2) && steps >= 6,
        "{:?} {steps}",
        small.traffic_duration
    );
    // `max_runs` is respected, and a plan that did not fail is never returned.
    assert_eq!(shrink(&plan(), 0, |_| true, |_| {}), plan());
    assert_eq!(shrink(&plan(), 100, |_| false, |_| {}), plan());
}
