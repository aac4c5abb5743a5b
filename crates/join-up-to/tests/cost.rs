//! The cost of a decision must not grow with the square of the number of servers: during a deployment with 326
//! servers a node once needed four times the CPU it had, and the run failed (issue i2cef5e). This is the only test
//! of its process, so that no other one disturbs the timing.

mod harness;

use harness::{entry, ms, reports_from_probes, reports_in_responses};
use join_up_to::*;
use std::time::{Duration, Instant};

/// The time for 100 requests at a node whose servers have all just started.
fn time_of_requests(settings: Settings, servers: u64) -> Duration {
    let mut settings = settings;
    settings.rules.initial_capacity = 0.3;
    settings.rules.slow_start = ms(60_000);
    let mut balancer = Balancer::new(settings, 1);
    let mut actions = Vec::new();
    let started = Some(ms(1000));
    let entries = (0..servers).map(|n| ServerEntry { started, ..entry(n) }).collect();
    balancer.handle(ms(1000), Event::List { kind: ListKind::Full, version: 1, entries }, &mut actions);
    let begun = Instant::now();
    for number in 0..100 {
        let (id, remaining) = (RequestId(number), ms(900));
        let new = NewRequest { id, class: 0, tenant: 0, key: 0, remaining, cost: None, client_retry: false };
        balancer.handle(ms(1001 + number), Event::Request(new), &mut actions);
        let sends = std::mem::take(&mut actions);
        for action in sends {
            if let Action::Send { id, server, .. } = action {
                let (outcome, elapsed) = (Outcome::Error, ms(1));
                let end =
                    AttemptEnd { id, attempt: 0, server, outcome, elapsed, finished: false, report: None };
                balancer.handle(ms(1001 + number), Event::AttemptEnded(end), &mut actions);
            }
        }
    }
    begun.elapsed()
}

#[test]
fn the_cost_of_a_deployment_grows_linearly_with_the_fleet() {
    for settings in [reports_from_probes(), reports_in_responses()] {
        // The minimum of several runs, as the machine may be shared. Linear growth gives a ratio of 8,
        // quadratic 64.
        let best =
            |servers| (0..5).map(|_| time_of_requests(settings.clone(), servers)).min().unwrap_or_default();
        let ratio = best(800).as_secs_f64() / best(100).as_secs_f64();
        assert!(ratio < 24.0, "{ratio} times the time for eight times the servers");
    }
}
