//! Reduces a failing plan: removes faults, clients, nodes, backends and time for as long as the plan still
//! fails. Does not run plans itself: a callback tells whether a plan fails.

use crate::plan::{DurationRange, Fault, FaultAction, FaultTrigger, Participant, Plan};
use std::time::Duration;

/// Traffic is shortened only while half of it is at least this long.
const MIN_TRAFFIC: Duration = Duration::from_secs(1);

/// A plan that is smaller by one step.
struct Candidate {
    /// The reduction, as shown to the operator.
    step: String,
    plan: Plan,
}

fn participants(fault: &Fault) -> impl Iterator<Item = &Participant> {
    let to = match &fault.action {
        FaultAction::DisturbLinks { to, .. } | FaultAction::Drain(to) => &to[..],
        _ => &[],
    };
    fault.targets.iter().chain(to)
}

/// The highest number of a node or backend that the faults name, by the prefix of its name; 1 if they name
/// none.
fn highest_number(plan: &Plan, prefix: &str) -> usize {
    let number = |name: &str| name.strip_prefix(prefix).and_then(|number| number.parse().ok());
    let named = plan.faults.iter().flat_map(participants).filter_map(|participant| match participant {
        Participant::Named(name) => number(name),
        _ => None,
    });
    let triggering = plan.faults.iter().filter_map(|fault| match &fault.trigger {
        FaultTrigger::AfterRequests { node, .. } => number(node),
        _ => None,
    });
    named.chain(triggering).max().unwrap_or(1)
}

/// The plan without one fault. Faults that were triggered by it start at the same time as before, if that is
/// known; otherwise their delay counts from the start of traffic.
fn without_fault(plan: &Plan, index: usize) -> Plan {
    let mut smaller = plan.clone();
    let removed = smaller.faults.remove(index);
    for fault in &mut smaller.faults {
        if let FaultTrigger::AfterFault { fault: other, delay } = &mut fault.trigger {
            if *other == index {
                let at = match removed.trigger {
                    FaultTrigger::At(start) => {
                        DurationRange { min: start.min + delay.min, max: start.max + delay.max }
                    }
                    _ => *delay,
                };
                fault.trigger = FaultTrigger::At(at);
            } else if *other > index {
                *other -= 1;
            }
        }
    }
    smaller
}

/// The plans that are smaller by one step: without a fault, without a client group, with fewer nodes, fewer
/// backends, or shorter traffic, in this order.
fn candidates(plan: &Plan) -> Vec<Candidate> {
    let mut all = Vec::new();
    for (index, fault) in plan.faults.iter().enumerate() {
        all.push(Candidate { step: format!("without: {fault}"), plan: without_fault(plan, index) });
    }
    if plan.clients.len() > 1 {
        for index in 0..plan.clients.len() {
            let mut smaller = plan.clone();
            let removed = smaller.clients.remove(index);
            all.push(Candidate { step: format!("without clients of `{}`", removed.class), plan: smaller });
        }
    }
    let needed = highest_number(plan, "node-");
    if plan.nodes > needed {
        let mut smaller = plan.clone();
        smaller.nodes = needed.max(plan.nodes / 2);
        all.push(Candidate { step: format!("{} nodes", smaller.nodes), plan: smaller });
    }
    let needed = highest_number(plan, "box-");
    if plan.backends.count > needed {
        let mut smaller = plan.clone();
        smaller.backends.count = needed.max(plan.backends.count / 2);
        all.push(Candidate { step: format!("{} boxes", smaller.backends.count), plan: smaller });
    }
    if plan.traffic_duration / 2 >= MIN_TRAFFIC {
        let mut smaller = plan.clone();
        smaller.traffic_duration = plan.traffic_duration * 3 / 4;
        all.push(Candidate { step: format!("traffic for {:?}", smaller.traffic_duration), plan: smaller });
    }
    all
}

/// Shrinks a drawn plan greedily: takes the first smaller plan for which `fails` returns true, until there is
/// none or `fails` was called `max_runs` times. `on_step` is called with a description of each reduction that
/// was kept.
pub fn shrink(
    plan: &Plan,
    max_runs: usize,
    mut fails: impl FnMut(&Plan) -> bool,
    mut on_step: impl FnMut(&str),
) -> Plan {
    let (mut smallest, mut runs) = (plan.clone(), 0);
    'smaller: loop {
        for candidate in candidates(&smallest) {
            if runs == max_runs {
                return smallest;
            }
            runs += 1;
            if fails(&candidate.plan) {
                on_step(&candidate.step);
                smallest = candidate.plan;
                continue 'smaller;
            }
        }
        return smallest;
    }
}

#[cfg(test)]
mod tests;
