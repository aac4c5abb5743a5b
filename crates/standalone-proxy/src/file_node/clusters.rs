//! Manages the tasks of the clusters in an operator's file: starts, reconfigures and ends one for each
//! cluster.

use crate::decision_loop::admission_gate::AdmissionGate;
use crate::decision_loop::clock::Clock;
use crate::decision_loop::event::{ClusterChange, NodeEvent};
use crate::decision_loop::node::Node;
use crate::endpoint_update::{EndpointUpdate, ListVersion, ListedEndpoint};
use crate::upstream::backend_client::BackendClient;
use crate::upstream::pool::SocketBudget;
use admission_control::Endpoint;
use admission_control::retry_storm::{RetryBudget, RetryStormGuard};
use http_forwarding::attempt::SuccessCriterion;
use http_transport::process_pause::StallDetector;
use join_up_to::settings::Column;
use join_up_to::{Balancer, ListKind, ServerEntry, ServerId, ServerState};
use quick_error::quick_error;
use route_config::{ClusterPlan, Plan};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{JoinError, spawn_local};
use tracing::info;

/// The values that are read from load reports such as `X-Backend-Load: concurrent=7,depth=2`. The platform's
/// node has its own in its settings.
const COLUMNS: [Column; 2] = [Column::Concurrent, Column::Depth];

/// The log target of lines about clusters. Operators' filters and JSON lines name this module.
const LOG_TARGET: &str = "standalone_proxy::file_node::run";

quick_error! {
    /// The task of a cluster has failed, so that its requests would no longer be answered.
    #[derive(Debug)]
    pub enum ClusterError {
        /// It panicked.
        TaskEnded(cluster: String, error: JoinError) {
            display("the task of cluster {cluster} failed: {error}")
            source(error)
        }
    }
}

/// A cluster whose task is running.
struct RunningCluster {
    events: mpsc::UnboundedSender<NodeEvent>,
    /// The backends in the last list.
    listed: HashMap<ServerId, ListedBackend>,
    list_version: ListVersion,
}

/// The address of a listed backend, and when it is assumed to have started; `None` if that is unknown.
#[derive(Clone, Copy)]
struct ListedBackend {
    address: SocketAddr,
    started: Option<Duration>,
}

impl RunningCluster {
    /// Builds the next list of backends from the plan. A backend that is new or has another address is
    /// assumed to have just started. Those of the first list count as warmed up, as it is unknown when they
    /// started.
    fn next_list(&mut self, plan: &ClusterPlan, now: Duration) -> (EndpointUpdate, Vec<Endpoint>) {
        let is_first = self.list_version == ListVersion::default();
        let mut listed = HashMap::new();
        let mut endpoints = Vec::with_capacity(plan.backends.len());
        let mut gate_endpoints = Vec::with_capacity(plan.backends.len());
        for backend in &plan.backends {
            let (entry, address) = (backend.entry, backend.address);
            let started = match self.listed.get(&entry.id).filter(|known| known.address == address) {
                Some(known) => known.started,
                None => (!is_first).then_some(now),
            };
            listed.insert(entry.id, ListedBackend { address, started });
            gate_endpoints.push(Endpoint {
                id: entry.id,
                weight: f64::from(entry.weight),
                kind: entry.kind,
                ready: entry.state == ServerState::Ready,
                added_at: started,
            });
            let started = started.filter(|_| plan.new_backends_warm_up);
            endpoints.push(ListedEndpoint { entry: ServerEntry { started, ..entry }, address });
        }
        (self.listed, self.list_version) = (listed, ListVersion(self.list_version.0 + 1));
        (EndpointUpdate { kind: ListKind::Full, version: self.list_version, endpoints }, gate_endpoints)
    }
}

/// The tasks of all clusters, and what is needed to start further ones.
pub struct Clusters {
    stalls: Rc<StallDetector>,
    clock: Clock,
    seed: u64,
    sockets: Rc<SocketBudget>,
    running: HashMap<String, RunningCluster>,
    /// Limits the additional attempts of all clusters together.
    retry_storm: Rc<RefCell<RetryStormGuard>>,
    /// How long streams may continue once their backend drains; `None` for no limit.
    stream_grace: Option<Duration>,
    errors: mpsc::UnboundedSender<ClusterError>,
}

impl Clusters {
    /// Starts no cluster yet. Failures of clusters' tasks are sent to `errors`.
    pub fn new(
        plan: &Plan,
        clock: Clock,
        seed: u64,
        sockets: SocketBudget,
        stalls: Rc<StallDetector>,
        errors: mpsc::UnboundedSender<ClusterError>,
    ) -> Self {
        Clusters {
            stalls,
            clock,
            seed,
            sockets: Rc::new(sockets),
            running: HashMap::new(),
            retry_storm: Rc::new(RefCell::new(RetryStormGuard::new(retry_budget(plan)))),
            stream_grace: plan.stream_end,
            errors,
        }
    }

    /// Applies a plan: existing clusters are notified of it, new ones are started, and removed ones end once
    /// all their requests are answered. Returns the channels of the clusters in the order of the plan. Does
    /// not wait, so that no request is handled in between.
    pub fn apply(&mut self, plan: &Plan) -> Vec<mpsc::UnboundedSender<NodeEvent>> {
        let mut events = Vec::with_capacity(plan.clusters.len());
        self.retry_storm.borrow_mut().set_budget(retry_budget(plan));
        self.stream_grace = plan.stream_end;
        for cluster in &plan.clusters {
            let now = self.clock.now();
            match self.running.get_mut(&cluster.name) {
                Some(running) => {
                    let (update, gate_endpoints) = running.next_list(cluster, now);
                    let (settings, gate) = (cluster.settings.clone(), cluster.gate.clone());
                    let stream_grace = plan.stream_end;
                    let change = ClusterChange { settings, update, gate, stream_grace, gate_endpoints };
                    // Fails only if the task has ended, and then the process ends as well.
                    let _ = running.events.send(NodeEvent::ClusterChanged(Box::new(change)));
                }
                None => self.start(cluster),
            }
            events.extend(self.running.get(&cluster.name).map(|running| running.events.clone()));
        }
        self.running.retain(|name, running| {
            let stays = plan.clusters.iter().any(|cluster| cluster.name == *name);
            if !stays {
                info!(
                    target: LOG_TARGET,
                    "cluster {name} removed from the file: it stops once all its requests are answered"
                );
                let _ = running.events.send(NodeEvent::ClusterRemoved);
            }
            stays
        });
        events
    }

    fn start(&mut self, cluster: &ClusterPlan) {
        let (events, event_receiver) = mpsc::unbounded_channel();
        let (_, updates) = mpsc::channel(1);
        let mut running = RunningCluster {
            events: events.clone(),
            listed: HashMap::new(),
            list_version: ListVersion::default(),
        };
        let (update, gate_endpoints) = running.next_list(cluster, self.clock.now());
        let seed = self.seed ^ ServerId::named(&cluster.name).0;
        let balancer = Balancer::new(cluster.settings.clone(), seed);
        let backends = Rc::new(BackendClient::new(
            self.sockets.clone(),
            SuccessCriterion::NoBackendFailure,
            &cluster.settings,
            cluster.idle_close,
            COLUMNS.to_vec(),
            self.stalls.clone(),
        ));
        backends.set_stream_grace(self.stream_grace);
        let ready = Rc::new(Cell::new(true));
        let node = Node::new(balancer, self.clock, backends, events, ready, self.stalls.clone());
        let gate = AdmissionGate::new(self.clock.now(), cluster.gate.clone(), self.retry_storm.clone());
        let node = node.with_gate(gate, &gate_endpoints);
        let task = spawn_local(node.run(event_receiver, updates, Some(update)));
        let (errors, name) = (self.errors.clone(), cluster.name.clone());
        spawn_local(async move {
            match task.await {
                Ok(()) => info!(target: LOG_TARGET, "cluster {name} has stopped"),
                Err(error) => drop(errors.send(ClusterError::TaskEnded(name, error))),
            }
        });
        self.running.insert(cluster.name.clone(), running);
    }
}

fn retry_budget(plan: &Plan) -> RetryBudget {
    RetryBudget { share: plan.retry_budget.share, per_s: plan.retry_budget.per_s }
}
