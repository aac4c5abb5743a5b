//! The shared state of the data plane: the active configuration, the services and the limits. Applies the
//! agent's messages; sends nothing to backends.

use crate::backend::{Backend, ConnectionLimit};
use crate::metrics::DataPlaneMetrics;
use crate::service::Service;
use crate::tenant_quotas::TenantQuotas;
use configuration::{Configuration, Limits, RouteTable};
use control_protocol::{
    BackendList, BackendListVersion, BackendState, ConfigurationSequence, FromProxy,
    MAX_INDEX_CHANGES_PER_MESSAGE, QuotaResponse, ToProxy,
};
use node_settings::{Bounds, Settings};
use policy::Policy;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, Semaphore};
use tokio::time::{Instant, timeout_at};

/// File descriptors reserved for listeners, the agent's link, readiness checks, the runtime and the platform.
const RESERVED_DESCRIPTORS: u64 = 260;
/// The least number of file descriptors for connections, however low the platform's limit is.
const MIN_CONNECTION_DESCRIPTORS: u64 = 64;
/// Buffered request bodies may occupy the node's memory divided by this.
const BODY_MEMORY_DIVISOR: u64 = 4;
/// The most drained instances that are remembered, which is far more than drain in a day. Bounds the memory.
const MAX_DRAINED_INSTANCES: usize = 20_000;
/// The number of frontend nodes that is assumed until the agent reports it.
const ASSUMED_FRONTENDS: u32 = 6;

/// The configuration that requests are matched against.
pub struct ActiveConfiguration {
    /// The sequence number of the configuration; higher is newer.
    pub sequence: ConfigurationSequence,
    /// The configuration, with its routes and tenants indexed.
    pub table: RouteTable,
}

/// The state that all connections and requests of the data plane share.
pub struct DataPlaneState {
    /// The zone of the machine, by which backends in the same zone are recognized.
    pub zone: String,
    /// The operator's bounds on retries, quotas and the shutdown.
    pub bounds: Bounds,
    /// The parameters of the node's decisions.
    pub policy: Policy,
    /// The quotas of the tenants at this node.
    pub quotas: TenantQuotas,
    /// The limit on connections to all backends together.
    pub connection_limit: Rc<ConnectionLimit>,
    /// The maximum number of open client connections.
    pub max_clients: usize,
    /// A permit for each KiB of memory that is left for buffered request bodies.
    pub body_memory_kib: Arc<Semaphore>,
    /// The metrics, which all parts of the data plane update.
    pub metrics: Arc<DataPlaneMetrics>,
    /// Whether the process has received a termination signal.
    pub shutting_down: Cell<bool>,
    started_at: Instant,
    active: RefCell<Option<Rc<ActiveConfiguration>>>,
    services: RefCell<HashMap<String, Rc<Service>>>,
    list_version: Cell<Option<BackendListVersion>>,
    /// Instance ids of backends that were ever listed as draining.
    drained_instances: RefCell<HashSet<Arc<str>>>,
    frontend_count: Cell<u32>,
    random: RefCell<Pcg64Mcg>,
    to_agent: UnboundedSender<FromProxy>,
    /// Notified after each message from the agent.
    updated: Notify,
}

impl DataPlaneState {
    /// State without a configuration and without backends.
    pub fn new(settings: &Settings, policy: Policy, to_agent: UnboundedSender<FromProxy>) -> Self {
        let descriptors = settings.limits.max_fds.saturating_sub(RESERVED_DESCRIPTORS);
        let descriptors = descriptors.max(MIN_CONNECTION_DESCRIPTORS) as usize;
        let started_at = Instant::now();
        let quotas = TenantQuotas::new(&settings.bounds, policy.limits, started_at);
        let body_memory_kib = (settings.limits.memory_mb << 10) / BODY_MEMORY_DIVISOR;
        DataPlaneState {
            zone: settings.zone.clone(),
            bounds: settings.bounds.clone(),
            policy,
            quotas,
            connection_limit: Rc::new(ConnectionLimit::new(descriptors / 2)),
            max_clients: descriptors / 2,
            body_memory_kib: Arc::new(Semaphore::new(body_memory_kib as usize)),
            metrics: Arc::default(),
            shutting_down: Cell::new(false),
            started_at,
            active: RefCell::default(),
            services: RefCell::default(),
            list_version: Cell::new(None),
            drained_instances: RefCell::default(),
            frontend_count: Cell::new(ASSUMED_FRONTENDS),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(seed_from_name(&settings.node_name))),
            to_agent,
            updated: Notify::new(),
        }
    }

    /// Whether the node is ready for clients: it has a configuration and a list of backends, and is not
    /// shutting down.
    pub fn is_ready(&self) -> bool {
        !self.shutting_down.get() && self.has_configuration_and_backends()
    }

    /// Waits until a configuration and a list of backends have arrived, or until the policy's `startup_wait`
    /// has passed since the start.
    pub async fn wait_until_ready(&self) {
        while !self.has_configuration_and_backends() {
            let updated = self.updated.notified();
            if timeout_at(self.started_at + self.policy.recovery.startup_wait, updated).await.is_err() {
                return;
            }
        }
    }

    fn has_configuration_and_backends(&self) -> bool {
        self.active.borrow().is_some() && self.has_backend_list()
    }

    /// Whether a list of backends has arrived.
    pub fn has_backend_list(&self) -> bool {
        self.list_version.get().is_some()
    }

    /// When a client should retry that was rejected because the node is not ready yet. Includes a random
    /// delay, so that clients do not all return at once.
    pub fn startup_retry_after(&self) -> Duration {
        let recovery = &self.policy.recovery;
        let remaining = recovery.ready_after.saturating_sub(self.started_at.elapsed());
        let jitter = Duration::from_micros(self.random_below(recovery.retry_spread.as_micros() as u64));
        remaining.max(recovery.min_retry_after) + jitter
    }

    /// Returns the active configuration; `None` until one was applied.
    pub fn active_configuration(&self) -> Option<Rc<ActiveConfiguration>> {
        self.active.borrow().clone()
    }

    /// The limits on clients in the active configuration; the defaults without one.
    pub fn client_limits(&self) -> Limits {
        let active = self.active_configuration();
        active.map(|active| active.table.configuration.limits.clone()).unwrap_or_default()
    }

    /// The service with this name, which is created if there is none.
    pub fn service(&self, name: &str) -> Rc<Service> {
        let mut services = self.services.borrow_mut();
        if let Some(service) = services.get(name) {
            return service.clone();
        }
        let seed = self.random.borrow_mut().random();
        let frontends = self.frontend_count.get();
        let service =
            Rc::new(Service::new(name, self.started_at, &self.bounds, &self.policy, frontends, seed));
        services.insert(name.to_owned(), service.clone());
        service
    }

    /// Returns all services that this node knows.
    pub fn services(&self) -> Vec<Rc<Service>> {
        self.services.borrow().values().cloned().collect()
    }

    /// Makes room for another connection to a backend, by closing an idle one if the limit is reached.
    /// Returns whether there is room.
    pub fn make_connection_capacity(&self) -> bool {
        let close_idle =
            || self.services().iter().flat_map(|service| service.backends()).any(|b| b.close_oldest_idle());
        self.connection_limit.has_capacity() || close_idle()
    }

    /// A random number below `bound`; 0 for the bound 0.
    pub fn random_below(&self, bound: u64) -> u64 {
        self.random.borrow_mut().random_range(0..bound.max(1))
    }

    /// Queues a message to the agent. It is lost if the process is exiting.
    pub fn send_to_agent(&self, message: FromProxy) {
        // Fails only while the process exits, when the receiver is closed.
        let _ = self.to_agent.send(message);
    }

    /// Applies a message from the agent.
    pub fn apply(&self, message: ToProxy) {
        match message {
            ToProxy::Configuration { sequence, document } => self.apply_configuration(sequence, &document),
            ToProxy::Backends(list) => self.apply_backend_list(list),
            ToProxy::QuotaResponse(response) => self.apply_quota_response(&response),
            ToProxy::Nodes { nodes } => self.set_frontend_count(nodes),
            ToProxy::IndexRequested => self.send_complete_index(),
            ToProxy::IndexCorrections(changes) => {
                self.services().iter().for_each(|service| service.correct_index(&changes));
            }
            ToProxy::ControlPlaneStatus { .. } | ToProxy::Heartbeat => {}
        }
        self.updated.notify_waiters();
    }

    /// Sends the agent the changes of the prompt indexes that are audited.
    pub fn send_index_changes(&self) {
        let changes: Vec<_> = self.services().iter().flat_map(|service| service.index_changes()).collect();
        self.send_in_messages(&changes);
    }

    fn send_complete_index(&self) {
        let entries: Vec<_> = self.services().iter().flat_map(|service| service.complete_index()).collect();
        self.send_to_agent(FromProxy::IndexChanges { restart: true, changes: Vec::new() });
        self.send_in_messages(&entries);
    }

    fn send_in_messages(&self, changes: &[control_protocol::IndexChange]) {
        for chunk in changes.chunks(MAX_INDEX_CHANGES_PER_MESSAGE) {
            self.send_to_agent(FromProxy::IndexChanges { restart: false, changes: chunk.to_vec() });
        }
    }

    fn apply_configuration(&self, sequence: ConfigurationSequence, document: &[u8]) {
        let newest = self.active.borrow().as_ref().map(|active| active.sequence);
        if newest.is_some_and(|newest| newest >= sequence) {
            log::debug!("configuration {sequence} ignored: {newest:?} is active");
            return;
        }
        let configuration: Configuration = match serde_json::from_slice(document) {
            Ok(configuration) => configuration,
            Err(error) => {
                log::error!("configuration {sequence} of {} bytes is invalid: {error}", document.len());
                return;
            }
        };
        log::info!("configuration {sequence}: generation {} is active", configuration.generation);
        self.quotas.configure(&configuration.tenants);
        let table = RouteTable::new(configuration);
        self.metrics.configuration_applied(sequence);
        self.active.replace(Some(Rc::new(ActiveConfiguration { sequence, table })));
        self.reconfigure_services();
        self.send_to_agent(FromProxy::ConfigurationApplied { sequence });
    }

    fn reconfigure_services(&self) {
        let Some(active) = self.active_configuration() else { return };
        for configured in &active.table.configuration.services {
            self.service(&configured.name).reconfigure(configured, self.frontend_count.get());
        }
    }

    fn apply_backend_list(&self, list: BackendList) {
        let current = self.list_version.get();
        if current.is_some_and(|version| version >= list.version) {
            log::debug!("backend list {} ignored: {current:?} is current", list.version);
            return;
        }
        if self.list_version.replace(Some(list.version)).is_none() {
            log::info!("first backend list {}: {} backends", list.version, list.backends.len());
        }
        self.metrics.backend_list_applied(list.version);
        self.record_draining(&list);
        let mut by_service: HashMap<&str, Vec<Rc<Backend>>> = HashMap::new();
        for listed in &list.backends {
            let drained = self.drained_instances.borrow().contains(listed.instance_id.as_str());
            if drained || listed.state != BackendState::Ready {
                continue;
            }
            let Some(backend) = self.service(&listed.service).backend(listed, &self.zone) else { continue };
            by_service.entry(&listed.service).or_default().push(backend);
        }
        for service in self.services() {
            service.replace_backends(by_service.remove(service.name.as_str()).unwrap_or_default());
        }
    }

    /// Remembers the instances that are draining. An instance that drains never accepts new requests again.
    fn record_draining(&self, list: &BackendList) {
        let mut drained = self.drained_instances.borrow_mut();
        let draining = list.backends.iter().filter(|backend| backend.state == BackendState::Draining);
        for backend in draining {
            if drained.len() < MAX_DRAINED_INSTANCES && drained.insert(backend.instance_id.as_str().into()) {
                log::info!("backend {} of service {} is draining", backend.instance_id, backend.service);
            }
        }
    }

    fn apply_quota_response(&self, response: &QuotaResponse) {
        self.set_frontend_count(response.nodes);
        self.quotas.apply_response(response);
    }

    fn set_frontend_count(&self, frontends: u32) {
        if frontends > 0 && frontends != self.frontend_count.replace(frontends) {
            self.reconfigure_services();
        }
    }
}

/// Derives a random seed from a node's name (FNV-1a), so that nodes do not draw the same numbers.
fn seed_from_name(name: &str) -> u64 {
    let offset_basis = 0xcbf2_9ce4_8422_2325_u64;
    name.bytes().fold(offset_basis, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}
