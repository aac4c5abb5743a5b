//! The metrics of a coordinator and an agent, as they are served over HTTP, compared with golden files: names, helps, types
//! and labels. Each value is replaced by `(value)`, the length by `(length)` and the date by `(time)`; lines of one family stand
//! in the order of the alphabet.
//!
//! The golden files in `tests/golden` are written on purpose alone: `GOLDEN=write cargo test -p coordinator --test golden_metrics`.
//! Without that, a file that is missing or differs fails the test with the place of the first difference.

#[path = "../../control-protocol/tests/golden/compare.rs"]
mod compare;
#[allow(dead_code)] // the test needs a part of the set-up alone
#[path = "coordinators/core_machines.rs"]
mod core_machines;
#[path = "../../control-protocol/tests/golden/exposition.rs"]
mod exposition;

use agent::AgentState;
use agent::metrics::AgentMetrics;
use coordinator::metrics::CoordinatorMetrics;
use core_machines::{Disk, Machine, Plan, next_ip};
use exposition::without_values;
use replication::{Generation, RequestOutcome, Sequence};
use role_runtime::metrics::{MetricsSource, listen};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;

/// The response that serves a role's metrics, with its head.
async fn exposition_response(figures: Arc<dyn MetricsSource>) -> String {
    let free = control_link::listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let SocketAddr::V4(address) = free.local_addr().expect("its address") else { panic!("not version 4") };
    drop(free);
    listen(address, "/metrics", figures).expect("it listens");
    let answer = reqwest::get(format!("http://{address}/metrics")).await.expect("an answer");
    let mut head = vec![format!("status: {}", answer.status())];
    for (name, value) in answer.headers() {
        let value = match name.as_str() {
            "date" => "(time)",
            "content-length" => "(length)",
            _ => value.to_str().expect("a text"),
        };
        head.push(format!("{name}: {value}"));
    }
    head.sort();
    let text = answer.text().await.expect("a text");
    format!("{}\n\n{}", head.join("\n"), without_values(&text))
}

/// An answer of each kind.
fn answers() -> [RequestOutcome; 7] {
    let all = [
        RequestOutcome::Committed { sequence: Sequence(1) },
        RequestOutcome::Conflict { current: Generation(1) },
        RequestOutcome::NotHigher { current: Generation(1) },
        RequestOutcome::TooOld { current: Generation(1) },
        RequestOutcome::Current(None),
        RequestOutcome::ReadIndex { sequence: Sequence(1) },
        RequestOutcome::Unknown,
    ];
    for (at, answer) in all.iter().enumerate() {
        let place = match answer {
            RequestOutcome::Committed { .. } => 0,
            RequestOutcome::Conflict { .. } => 1,
            RequestOutcome::NotHigher { .. } => 2,
            RequestOutcome::TooOld { .. } => 3,
            RequestOutcome::Current(_) => 4,
            RequestOutcome::ReadIndex { .. } => 5,
            RequestOutcome::Unknown => 6,
        };
        assert_eq!(at, place);
    }
    all
}

#[tokio::test]
async fn metrics_of_a_coordinator() {
    // No platform is there: a list is no part of what is compared.
    let plan = Plan::new(3, SocketAddrV4::new(next_ip(), 1));
    let machine = Machine::start(&plan, 0, &Disk::default(), true);
    let counters = &machine.node.counters;
    answers().iter().for_each(|answer| counters.record_change(answer));
    counters.record_invalid_change();
    for answer in [RequestOutcome::Current(None), RequestOutcome::Unknown] {
        counters.record_read(&answer);
    }
    for answer in [RequestOutcome::ReadIndex { sequence: Sequence(1) }, RequestOutcome::Unknown] {
        counters.record_read_index(&answer);
    }
    let figures = Arc::new(CoordinatorMetrics::new(&machine.node));
    compare::assert_matches_golden("interfaces/metrics_coordinator.txt", &exposition_response(figures).await);
}

#[tokio::test]
async fn metrics_of_an_agent() {
    let figures = AgentMetrics::default();
    figures.count_link();
    figures.update(&AgentState::default());
    compare::assert_matches_golden(
        "interfaces/metrics_agent.txt",
        &exposition_response(Arc::new(figures)).await,
    );
}
