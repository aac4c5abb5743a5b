//! Polls the fleet during a run: the readiness of the frontends, and the status of the coordinators.

use crate::http;
use crate::observations::{ObservedView, ReportedMismatch};
use crate::state::DemoState;
use crate::topology::{COORDINATORS, FRONTENDS};
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;

/// The time between two readiness checks of a frontend. The real platform checks once a second; runs are
/// short, so this is less.
const READINESS_INTERVAL: Duration = Duration::from_millis(250);
/// The number of consecutive failed checks after which a frontend gets no new requests.
const MAX_FAILED_CHECKS: u32 = 2;
/// The time between two polls of the coordinators.
const STATUS_INTERVAL: Duration = Duration::from_millis(300);
/// How long the audit of the index may take to report a lost block.
const AUDIT_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a response may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Checks the readiness of a frontend periodically, until dropped.
pub async fn poll_readiness(state: Rc<DemoState>, frontend: usize) {
    let (address, mut failed_checks) = (state.topology.readiness_address(frontend), MAX_FAILED_CHECKS);
    loop {
        let reply = http::call(address, http::get(address, "/api/ready"), RESPONSE_TIMEOUT).await;
        failed_checks = if reply.is_ok_and(|reply| reply.status == 200) { 0 } else { failed_checks + 1 };
        state.ready.borrow_mut()[frontend] = failed_checks < MAX_FAILED_CHECKS;
        tokio::time::sleep(READINESS_INTERVAL).await;
    }
}

/// Whether all frontends are ready.
pub fn all_ready(state: &DemoState) -> bool {
    (0..FRONTENDS).all(|frontend| state.ready.borrow()[frontend])
}

/// Polls the status of the coordinators periodically, until dropped. Records and prints each new view and
/// mismatch.
pub async fn poll_status(state: Rc<DemoState>) {
    loop {
        for number in 0..COORDINATORS {
            if let Some(status) = fetch_status(&state, number).await {
                record_view(&state, &status);
                record_mismatches(&state, &status);
            }
        }
        tokio::time::sleep(STATUS_INTERVAL).await;
    }
}

/// Fetches the status of a coordinator; `None` if it does not reply with JSON.
async fn fetch_status(state: &DemoState, number: usize) -> Option<Value> {
    let address = state.topology.control_address(number);
    let reply = http::call(address, http::get(address, "/api/status"), RESPONSE_TIMEOUT).await.ok()?;
    serde_json::from_slice(&reply.body).ok()
}

/// The number of the first coordinator that reports that it acts as head; `None` if none does.
pub async fn acting_head(state: &DemoState) -> Option<usize> {
    for number in 0..COORDINATORS {
        let status = fetch_status(state, number).await;
        if status.is_some_and(|status| status["acting_head"] == true) {
            return Some(number);
        }
    }
    None
}

/// Records and prints each mismatch of the index that was not reported before.
fn record_mismatches(state: &DemoState, status: &Value) {
    for mismatch in status["index"]["mismatches"].as_array().into_iter().flatten() {
        let text = |name: &str| mismatch[name].as_str().unwrap_or("?").to_string();
        let (instance, block, kind) = (text("instance_id"), text("part"), text("kind"));
        let is_known = |known: &ReportedMismatch| (&known.instance, &known.block) == (&instance, &block);
        if state.observations.borrow().mismatches.iter().any(is_known) {
            continue;
        }
        state.print_event(&format!("the index audit reports block {block} on backend {instance}: {kind}"));
        let at = state.now();
        state.observations.borrow_mut().mismatches.push(ReportedMismatch { at, instance, block, kind });
    }
}

/// Waits until the audit has reported all lost blocks, or until the time-out.
pub async fn wait_for_mismatches(state: &DemoState) {
    let start = state.now();
    let all_reported = || {
        let observations = state.observations.borrow();
        let is_reported =
            |block: &String| observations.mismatches.iter().any(|mismatch| mismatch.block == *block);
        observations.lost_blocks.iter().all(|lost| is_reported(&lost.block))
    };
    while !all_reported() && state.now() - start < AUDIT_TIMEOUT {
        for number in 0..COORDINATORS {
            if let Some(status) = fetch_status(state, number).await {
                record_mismatches(state, &status);
            }
        }
        tokio::time::sleep(STATUS_INTERVAL).await;
    }
}

/// Records and prints a view if it is newer than all recorded ones.
fn record_view(state: &DemoState, status: &Value) {
    let Some(number) = status["view"]["number"].as_u64() else { return };
    let newest = state.observations.borrow().views.last().map_or(0, |view| view.number);
    if number <= newest {
        return;
    }
    let members = status["view"]["members"].as_array().map_or(&[][..], |members| members);
    let in_chain = members.iter().filter(|member| member["place"].is_u64());
    let chain: Vec<String> =
        in_chain.map(|member| member["node"].as_str().unwrap_or("?").to_string()).collect();
    state.print_event(&format!("view {number}: chain of {}", chain.join(" > ")));
    let at = state.now();
    state.observations.borrow_mut().views.push(ObservedView { at, number, chain });
}
