//! The metrics of a coordinator and an agent, as they are served over HTTP, compared with golden files:
//! names, help texts, types and labels. Values are replaced by `(value)`, the content length by `(length)`
//! and the date by `(time)`; the samples of each family are sorted.
//!
//! The golden files in `tests/golden` are updated only on request: `GOLDEN=write cargo test -p coordinator
//! --test golden_metrics`. Otherwise a missing or different file fails the test, which shows the first
//! difference.

#[path = "../../control-protocol/tests/golden/compare.rs"]
mod compare;
#[allow(dead_code)] // this test uses only a part of the module
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
use std::time::Duration;

/// Serves metrics over HTTP, and returns the status, the headers and the body of the response.
async fn metrics_response(metrics: Arc<dyn MetricsSource>) -> String {
    let free = control_link::listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let SocketAddr::V4(address) = free.local_addr().expect("its address") else { panic!("not version 4") };
    drop(free);
    listen(address, "/metrics", metrics).expect("it listens");
    let response = reqwest::get(format!("http://{address}/metrics")).await.expect("a response");
    let mut head = vec![format!("status: {}", response.status())];
    for (name, value) in response.headers() {
        let value = match name.as_str() {
            "date" => "(time)",
            "content-length" => "(length)",
            _ => value.to_str().expect("a text"),
        };
        head.push(format!("{name}: {value}"));
    }
    head.sort();
    let text = response.text().await.expect("a text");
    format!("{}\n\n{}", head.join("\n"), without_values(&text))
}

/// One outcome of each variant. The `match` below fails to compile if a variant is added.
fn outcomes() -> [RequestOutcome; 7] {
    let all = [
        RequestOutcome::Committed { sequence: Sequence(1) },
        RequestOutcome::Conflict { current: Generation(1) },
        RequestOutcome::NotHigher { current: Generation(1) },
        RequestOutcome::TooOld { current: Generation(1) },
        RequestOutcome::Current(None),
        RequestOutcome::ReadIndex { sequence: Sequence(1) },
        RequestOutcome::Unknown,
    ];
    for (index, outcome) in all.iter().enumerate() {
        let position = match outcome {
            RequestOutcome::Committed { .. } => 0,
            RequestOutcome::Conflict { .. } => 1,
            RequestOutcome::NotHigher { .. } => 2,
            RequestOutcome::TooOld { .. } => 3,
            RequestOutcome::Current(_) => 4,
            RequestOutcome::ReadIndex { .. } => 5,
            RequestOutcome::Unknown => 6,
        };
        assert_eq!(index, position);
    }
    all
}

#[tokio::test]
async fn coordinator_metrics_match_the_golden_file() {
    // There is no platform at this address, because the list is not compared here.
    let plan = Plan::new(3, SocketAddrV4::new(next_ip(), 1));
    let machine = Machine::start(&plan, 0, &Disk::default(), true);
    let counters = &machine.node.counters;
    outcomes().iter().for_each(|outcome| counters.record_change(outcome));
    counters.record_invalid_change();
    for outcome in [RequestOutcome::Current(None), RequestOutcome::Unknown] {
        counters.record_read(&outcome);
    }
    for outcome in [RequestOutcome::ReadIndex { sequence: Sequence(1) }, RequestOutcome::Unknown] {
        counters.record_read_index(&outcome);
    }
    let metrics = Arc::new(CoordinatorMetrics::new(&machine.node));
    compare::assert_matches_golden("interfaces/metrics_coordinator.txt", &metrics_response(metrics).await);
}

#[tokio::test]
async fn agent_metrics_match_the_golden_file() {
    let metrics = AgentMetrics::default();
    metrics.count_link();
    metrics.update(Duration::ZERO, &AgentState::default());
    compare::assert_matches_golden(
        "interfaces/metrics_agent.txt",
        &metrics_response(Arc::new(metrics)).await,
    );
}
