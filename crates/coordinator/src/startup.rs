//! Startup and shutdown of a coordinator.

use crate::agents::Agents;
use crate::clock::Clock;
use crate::endpoints::EndpointRegistry;
use crate::endpoints::platform_reader::PlatformReader;
use crate::index_audits::IndexAudits;
use crate::node::CoordinatorNode;
use crate::operator_api;
use crate::outcome_counters::OutcomeCounters;
use crate::peer_protocol::PeerMessage;
use crate::peers::Peers;
use crate::quotas::Quotas;
use crate::replica_driver::ReplicaDriver;
use crate::storage::{ReplicaLog, Storage};
use crate::tasks;
use control_link::{AddressTranslation, LinkError};
use node_settings::Settings;
use policy::Policy;
use quick_error::quick_error;
use replication::{Input, Record, Replica};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Coordinators from which a message arrived this recently are notified of a shutdown.
const SHUTDOWN_NOTICE_WITHIN: Duration = Duration::from_secs(10);
/// The shortest time for which a shutdown waits for the other members to store everything that is committed.
const MIN_HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1500);
/// How much of the grace period for a shutdown is reserved for what follows this wait.
const RESERVED_AFTER_HAND_OVER: Duration = Duration::from_secs(2);

quick_error! {
    /// Why a coordinator did not start.
    #[derive(Debug)]
    pub enum StartError {
        /// A setting that the coordinator needs is missing.
        Missing(name: &'static str) { display("settings: {name} is missing") }
        /// The control or the internal address can't be listened at.
        Listen(error: LinkError) {
            from()
            display("{error}")
            source(error)
        }
        /// The storage thread can't be started.
        Thread(error: std::io::Error) {
            display("cannot start the storage thread: {error}")
            source(error)
        }
        /// The HTTP client for the platform can't be created.
        Client(error: reqwest::Error) {
            display("cannot create the HTTP client for the platform: {error}")
            source(error)
        }
    }
}

/// A running coordinator. Dropping it stops it at once, without a handover, as a kill would.
pub struct RunningCoordinator {
    node: Arc<CoordinatorNode>,
    seeds: Vec<SocketAddrV4>,
    /// How long a shutdown waits for the other members to store everything that is committed.
    hand_over_timeout: Duration,
    stop: watch::Sender<bool>,
    operator_api: JoinHandle<()>,
    _tasks: JoinSet<()>,
}

impl RunningCoordinator {
    /// Starts a coordinator with its log and the records in it, with the default policy. `seed` feeds the
    /// random identity of a new disk.
    pub fn start(
        settings: &Settings,
        log: Box<dyn ReplicaLog>,
        records: Vec<Record>,
        seed: u64,
    ) -> Result<Self, StartError> {
        RunningCoordinator::start_with_policy(settings, &Policy::default(), log, records, seed)
    }

    /// Starts a coordinator as [`RunningCoordinator::start`] does, with this policy.
    pub fn start_with_policy(
        settings: &Settings,
        policy: &Policy,
        log: Box<dyn ReplicaLog>,
        records: Vec<Record>,
        seed: u64,
    ) -> Result<Self, StartError> {
        let control = settings.listen.control.ok_or(StartError::Missing("listen.control"))?;
        let internal_listener = control_link::listen(settings.coordinator_address(settings.ip))?;
        let control_listener = control_link::listen(control)?;
        let platform =
            settings.cloud_api.as_ref().map(|api| PlatformReader::new(api.address, api.rate_per_s));
        let platform = platform.transpose().map_err(StartError::Client)?;
        let seeds = seeds(settings);
        let (storage, written) = Storage::start(log).map_err(StartError::Thread)?;
        let node = Arc::new(build_node(settings, policy, storage, records, seed));
        let (stop, stopped) = watch::channel(false);
        let operator_api = tokio::spawn(serve_operator(node.clone(), control_listener, stopped));
        let tasks = tasks::start(&node, written, internal_listener, platform);
        let grace = Duration::from_secs_f64(settings.bounds.grace_s.max(0.0));
        let hand_over_timeout = grace.saturating_sub(RESERVED_AFTER_HAND_OVER).max(MIN_HAND_OVER_TIMEOUT);
        Ok(RunningCoordinator { node, seeds, hand_over_timeout, stop, operator_api, _tasks: tasks })
    }

    /// Returns the components of this coordinator, which its tasks share.
    pub fn node(&self) -> &Arc<CoordinatorNode> {
        &self.node
    }

    /// Applies reloaded settings. Only a change of the seeds takes effect; the others need a restart.
    pub fn apply_settings(&mut self, settings: &Settings) {
        let seeds = seeds(settings);
        if seeds != self.seeds {
            log::info!("settings: seeds changed to {seeds:?}");
            self.seeds = seeds.clone();
            self.node.endpoints.set_seeds(seeds.clone());
            self.node.replica.handle(Input::SetSeeds(seeds));
        }
    }

    /// Shuts down gracefully: hands over to the other coordinators, for a limited time, and then finishes the
    /// operator's requests in progress.
    pub async fn shut_down(mut self) {
        self.node.replica.handle(Input::Shutdown);
        self.node.endpoints.stop_reading();
        for peer in self.node.peers.recent_contacts(SHUTDOWN_NOTICE_WITHIN) {
            self.node.peers.send(peer, &PeerMessage::Leaving);
        }
        let handed_over =
            tokio::time::timeout(self.hand_over_timeout, self.node.replica.wait_until_handed_over());
        if handed_over.await.is_err() {
            log::warn!(
                "coordinator: shutting down although no chain without it stores all that is committed; \
                 its disk may hold the only copy"
            );
        }
        self.stop.send_replace(true);
        if let Err(error) = (&mut self.operator_api).await {
            log::warn!("operator's API: the task failed: {error}");
        }
    }
}

impl Drop for RunningCoordinator {
    fn drop(&mut self) {
        self.operator_api.abort();
    }
}

/// Builds the components of a coordinator, and starts its replica with the records of its log.
fn build_node(
    settings: &Settings,
    policy: &Policy,
    storage: Storage,
    records: Vec<Record>,
    seed: u64,
) -> CoordinatorNode {
    let own_address = settings.coordinator_address(settings.ip);
    let clock = Clock::start();
    let translation = AddressTranslation::new(settings.address_translation.clone());
    let peers = Arc::new(Peers::new(own_address, settings.node_name.clone(), clock, translation));
    let agents = Arc::new(Agents::new(clock));
    let endpoints = Arc::new(EndpointRegistry::new(peers.clone(), agents.clone(), clock));
    let index_audits = Arc::new(IndexAudits::new(agents.clone(), clock));
    endpoints.set_seeds(seeds(settings));
    let replica_settings = replica_settings(settings, own_address);
    let (replica, outputs) = Replica::open(replica_settings, records, seed, clock.now());
    CoordinatorNode {
        name: settings.node_name.clone(),
        replica: ReplicaDriver::start(replica, outputs, storage, peers.clone(), clock),
        peers,
        agents,
        endpoints,
        quotas: Quotas::new(&settings.bounds, policy.limits),
        index_audits,
        counters: OutcomeCounters::default(),
        clock,
    }
}

fn replica_settings(settings: &Settings, own_address: SocketAddrV4) -> replication::Settings {
    replication::Settings {
        address: own_address,
        zone: settings.zone.clone(),
        seeds: seeds(settings),
        bootstrap: settings.bootstrap,
        tolerated_failures: settings.fault_tolerance.machines as usize,
        history_length: replication::DEFAULT_HISTORY_LENGTH,
    }
}

/// The internal addresses of the seeds.
fn seeds(settings: &Settings) -> Vec<SocketAddrV4> {
    settings.seed_nodes.iter().map(|seed| settings.coordinator_address(*seed.ip())).collect()
}

async fn serve_operator(
    node: Arc<CoordinatorNode>,
    listener: TcpListener,
    mut stopped: watch::Receiver<bool>,
) {
    let shutdown = async move {
        // The wait can't fail, because the sender is dropped only with the whole coordinator.
        let _ = stopped.wait_for(|stopped| *stopped).await;
    };
    if let Err(error) = operator_api::run(node, listener, shutdown).await {
        log::error!("operator's API: the server failed: {error}");
    }
}
