//! The background tasks of a coordinator: they feed inputs to the replica, distribute its state to the other
//! components, and do periodic work.

use crate::agents::SWEEP_INTERVAL;
use crate::clock;
use crate::endpoints::platform_reader::PlatformReader;
use crate::internal_listener;
use crate::node::CoordinatorNode;
use configuration::Configuration;
use replication::{Entry, Input, RequestOutcome, TICK_INTERVAL, View};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

/// The pause before a failed read index is retried.
const READ_INDEX_RETRY_DELAY: Duration = Duration::from_millis(25);
/// The distance between the first response numbers of allocators that start one millisecond apart. No
/// allocator sends as many responses per millisecond.
const RESPONSES_PER_MS: u64 = 1000;

/// Starts the tasks, which end when the returned set is dropped. `written` yields the results of the storage
/// thread. Without a `platform`, this coordinator never reads the platform's list.
pub fn start(
    node: &Arc<CoordinatorNode>,
    written: UnboundedReceiver<Input>,
    listener: TcpListener,
    platform: Option<PlatformReader>,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(forward_storage_results(node.clone(), written));
    tasks.spawn(tick_replica(node.clone()));
    tasks.spawn(sweep_agents(node.clone()));
    tasks.spawn(distribute_replica_state(node.clone()));
    tasks.spawn(confirm_read_indexes(node.clone()));
    tasks.spawn(internal_listener::run(node.clone(), listener));
    tasks.spawn(node.index_audits.clone().run());
    if let Some(platform) = platform {
        let endpoints = node.endpoints.clone();
        tasks.spawn(async move { endpoints.run(platform).await });
    }
    tasks
}

async fn forward_storage_results(node: Arc<CoordinatorNode>, mut written: UnboundedReceiver<Input>) {
    while let Some(result) = written.recv().await {
        node.replica.handle(result);
    }
    log::error!("storage: the storage thread has ended, no more results of writes");
}

async fn tick_replica(node: Arc<CoordinatorNode>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        node.replica.handle(Input::Tick);
    }
}

async fn sweep_agents(node: Arc<CoordinatorNode>) {
    let mut ticks = tokio::time::interval(SWEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        node.agents.sweep();
    }
}

/// Has a majority confirm the read index, the sequence of the newest configuration, whenever agents have
/// requested it. One round runs at a time, and serves all requests that arrived before it started.
async fn confirm_read_indexes(node: Arc<CoordinatorNode>) {
    loop {
        node.agents.read_index_needed().await;
        while let Some(ticket) = node.agents.begin_read_index() {
            let outcome = node.replica.read_index().outcome().await;
            node.counters.record_read_index(&outcome);
            match outcome {
                RequestOutcome::ReadIndex { sequence } => node.agents.complete_read_index(ticket, sequence),
                outcome => {
                    log::debug!("read index not confirmed, retrying: {outcome:?}");
                    tokio::time::sleep(READ_INDEX_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Passes changes of the replica's state on to the other components.
async fn distribute_replica_state(node: Arc<CoordinatorNode>) {
    let (mut committed, mut view, mut role) =
        (node.replica.committed(), node.replica.view(), node.replica.role_status());
    committed.mark_changed();
    view.mark_changed();
    loop {
        tokio::select! {
            Ok(()) = committed.changed() => {
                let entry = committed.borrow_and_update().clone();
                if let Some(entry) = entry {
                    apply_entry(&node, entry);
                }
            }
            Ok(()) = view.changed() => {
                let view = view.borrow_and_update().clone();
                if let Some(view) = view {
                    apply_view(&node, view);
                }
            }
            Ok(()) = role.changed() => {
                let role = *role.borrow_and_update();
                node.quotas.set_role_status(role, node.clock.now(), response_number_offset());
                node.agents.set_role_status(role);
                node.index_audits.set_acting_head(role.acting_head);
            }
            else => return,
        }
    }
}

fn apply_entry(node: &CoordinatorNode, entry: Arc<Entry>) {
    match serde_json::from_slice::<Configuration>(&entry.change.document) {
        Ok(configuration) => {
            node.index_audits.set_services(&configuration.services);
            node.quotas.set_tenants(configuration.tenants, node.clock.now());
        }
        Err(error) => {
            let generation = entry.change.generation;
            log::error!("configuration {generation}: the committed document can't be parsed: {error}");
        }
    }
    node.agents.set_committed(entry);
}

fn apply_view(node: &CoordinatorNode, view: Arc<View>) {
    node.quotas.set_view(view.number, node.clock.now());
    node.endpoints.set_view(view.clone());
    node.agents.set_view(view);
}

/// The offset of the response numbers of a quota allocator that starts now: higher than all numbers of
/// allocators that started earlier, provided that the wall clock has not gone back.
fn response_number_offset() -> u64 {
    clock::unix_time().as_millis() as u64 * RESPONSES_PER_MS
}
