//! The audit of the fleet's index of prompt blocks: compares what frontends have in their indexes with what
//! backends cache.
//!
//! It runs while this coordinator is the acting head of the chain and the configuration has a service with a
//! path at which its backends report their cached blocks.

mod status;

pub use status::{AuditedBackend, IndexStatus, MismatchStatus};

use crate::agents::Agents;
use crate::cached_blocks::CachedBlocksClient;
use crate::clock::Clock;
use configuration::Service;
use control_protocol::{Backend, BackendState, IndexChange, MAX_INDEX_CHANGES_PER_MESSAGE, ToAgent};
use index_audit::{
    Audit, AuditError, AuditSettings, BackendKey, BlockKey, Correction, Mismatch, RangeRequest, RangeResult,
};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// How often the audit is polled for requests that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The audit, if one runs, with the connections to agents and backends that it needs.
pub struct IndexAudits {
    state: Mutex<AuditState>,
    agents: Arc<Agents>,
    clock: Clock,
    /// Notified when an audit starts or ends.
    changed: Notify,
}

#[derive(Default)]
struct AuditState {
    audit: Option<Audit>,
    /// Created with the first audit, because most fleets have none.
    client: Option<CachedBlocksClient>,
    acting_head: bool,
    /// The paths at which backends report their cached blocks, by the name of their service.
    paths: HashMap<String, String>,
    /// The endpoint list from which the audited backends were derived; `None` if they have to be derived
    /// again.
    endpoints: Option<Arc<Vec<Backend>>>,
    targets: HashMap<BackendKey, AuditTarget>,
    /// The nodes whose frontends have reported changes of their index.
    frontends: BTreeSet<String>,
}

/// Where a backend reports its cached blocks.
#[derive(Clone)]
struct AuditTarget {
    address: SocketAddrV4,
    path: String,
}

/// A frontend's report of changes to its index.
#[derive(Clone, Copy, Debug)]
pub struct IndexReport<'a> {
    /// The name of the frontend's node.
    pub frontend: &'a str,
    /// Whether the report replaces all earlier ones of this frontend.
    pub restart: bool,
    /// The changes since the last report, or the whole index after a restart.
    pub changes: &'a [IndexChange],
}

impl IndexAudits {
    /// Starts without an audit; one begins when this coordinator becomes the acting head.
    pub fn new(agents: Arc<Agents>, clock: Clock) -> Self {
        IndexAudits { state: Mutex::default(), agents, clock, changed: Notify::new() }
    }

    /// Records whether this coordinator is the acting head. An audit starts when it becomes the acting head,
    /// and ends when it no longer is.
    pub fn set_acting_head(&self, acting_head: bool) {
        self.state().acting_head = acting_head;
        self.start_or_end();
    }

    /// Applies the services of a newly committed configuration.
    pub fn set_services(&self, services: &[Service]) {
        let path = |service: &Service| Some((service.name.clone(), service.holdings_path.clone()?));
        let mut state = self.state();
        state.paths = services.iter().filter_map(path).collect();
        state.endpoints = None;
        drop(state);
        self.start_or_end();
    }

    fn start_or_end(&self) {
        let (now, endpoints) = (self.clock.now(), self.agents.endpoints());
        let mut state = self.state();
        let is_wanted = state.acting_head && !state.paths.is_empty();
        if is_wanted == state.audit.is_some() {
            return;
        }
        if is_wanted && let Err(error) = state.create_client() {
            return log::error!("index audit: not started, cannot create the HTTP client: {error}");
        }
        state.audit = is_wanted.then(|| Audit::new(AuditSettings::default()));
        state.endpoints = None;
        state.frontends.clear();
        // Applied before reports are requested: those on backends that the audit does not know would be lost.
        state.apply_endpoints(now, endpoints);
        drop(state);
        log::info!("index audit: {} on this coordinator", if is_wanted { "started" } else { "stopped" });
        if is_wanted {
            self.agents.broadcast(&ToAgent::IndexRequested);
        }
        self.changed.notify_one();
    }

    /// Applies a frontend's report; ignored while no audit runs.
    pub fn apply_report(&self, report: &IndexReport<'_>) {
        let (now, endpoints) = (self.clock.now(), self.agents.endpoints());
        let frontend = report.frontend;
        let mut state = self.state();
        state.apply_endpoints(now, endpoints);
        let is_new = !state.frontends.contains(frontend);
        let Some(audit) = &mut state.audit else { return };
        if report.restart {
            audit.forget_frontend(now, frontend);
        }
        for change in report.changes {
            let (backend, block) = (BackendKey(change.backend), BlockKey(change.block));
            audit.apply_index_change(now, frontend, backend, block, change.tokens);
        }
        if is_new {
            state.frontends.insert(frontend.to_string());
        }
    }

    /// Polls the audit whenever one runs. Never returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            if self.state().audit.is_none() {
                self.changed.notified().await;
                continue;
            }
            self.poll();
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Applies the current endpoints and nodes, and sends the requests that are due.
    fn poll(self: &Arc<Self>) {
        let now = self.clock.now();
        let (endpoints, nodes) = (self.agents.endpoints(), self.agents.node_names());
        let mut state = self.state();
        state.apply_endpoints(now, endpoints);
        state.forget_departed_frontends(now, &nodes);
        if state.endpoints.is_some() && state.audit.as_mut().is_some_and(Audit::take_lost_reports) {
            log::info!("index audit: reports of frontends were lost, requesting their whole indexes");
            self.agents.broadcast(&ToAgent::IndexRequested);
        }
        let Some(client) = state.client.clone() else { return };
        while let Some(request) = state.audit.as_mut().and_then(|audit| audit.next_request(now)) {
            let target = state.targets.get(&request.backend).cloned();
            tokio::spawn(self.clone().query_backend(client.clone(), request, target));
        }
    }

    /// Sends a request, and then the follow-up requests to which the responses lead.
    async fn query_backend(
        self: Arc<Self>,
        client: CachedBlocksClient,
        request: RangeRequest,
        target: Option<AuditTarget>,
    ) {
        let mut next = Some(request);
        while let Some(request) = next {
            let result = match &target {
                Some(target) => client.request(target.address, &target.path, request.range).await,
                None => Err(AuditError::RequestFailed("it is no longer on the list".into())),
            };
            next = self.apply_result(&request, result);
        }
    }

    /// Records the mismatches of a response, corrects the index, and returns the next request to the backend,
    /// if any.
    fn apply_result(&self, request: &RangeRequest, result: RangeResult) -> Option<RangeRequest> {
        let now = self.clock.now();
        if let Err(error) = &result {
            log::warn!("index audit: request to backend {} failed: {error}", request.instance_id);
        }
        let mut state = self.state();
        let audit = state.audit.as_mut()?;
        let recorded = audit.recorded_mismatches();
        let output = audit.apply_result(now, request, result);
        audit.mismatches_since(recorded).for_each(log_mismatch);
        drop(state);
        for chunk in output.corrections.chunks(MAX_INDEX_CHANGES_PER_MESSAGE) {
            let changes = chunk.iter().map(index_change).collect();
            self.agents.broadcast(&ToAgent::IndexCorrections(changes));
        }
        output.next_request
    }

    /// The status of the audit; `None` while no audit runs here.
    pub fn status(&self) -> Option<IndexStatus> {
        let now = self.clock.now();
        let state = self.state();
        let audit = state.audit.as_ref()?;
        Some(IndexStatus::of(audit.status(), now))
    }

    fn state(&self) -> MutexGuard<'_, AuditState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AuditState {
    fn create_client(&mut self) -> Result<(), reqwest::Error> {
        if self.client.is_none() {
            self.client = Some(CachedBlocksClient::new()?);
        }
        Ok(())
    }

    /// Derives the audited backends from an endpoint list: those that are ready and whose service has a path.
    fn apply_endpoints(&mut self, now: Duration, endpoints: Option<Arc<Vec<Backend>>>) {
        let Some(endpoints) = endpoints else { return };
        if self.endpoints.as_ref().is_some_and(|known| Arc::ptr_eq(known, &endpoints)) {
            return;
        }
        // Frontends report nothing on draining backends.
        let ready = endpoints.iter().filter(|endpoint| endpoint.state == BackendState::Ready);
        let mut backends: Vec<(BackendKey, String)> = Vec::new();
        self.targets.clear();
        for endpoint in ready {
            let Some(path) = self.paths.get(&endpoint.service) else { continue };
            let backend = BackendKey(endpoint.key());
            backends.push((backend, endpoint.instance_id.clone()));
            let target = AuditTarget { address: endpoint.address, path: path.clone() };
            self.targets.insert(backend, target);
        }
        if let Some(audit) = &mut self.audit {
            audit.set_backends(now, &backends);
        }
        self.endpoints = Some(endpoints);
    }

    /// Drops the reports of frontends that no longer carry traffic.
    fn forget_departed_frontends(&mut self, now: Duration, nodes: &BTreeSet<String>) {
        let departed: Vec<String> = self.frontends.difference(nodes).cloned().collect();
        for frontend in departed {
            self.frontends.remove(&frontend);
            if let Some(audit) = &mut self.audit {
                audit.forget_frontend(now, &frontend);
            }
        }
    }
}

fn index_change(correction: &Correction) -> IndexChange {
    IndexChange { backend: correction.backend.0, block: correction.block.0, tokens: correction.tokens }
}

/// Logs a mismatch with the token counts from before the correction.
fn log_mismatch(mismatch: &Mismatch) {
    let tokens =
        |tokens: Option<u64>| tokens.map_or("nothing".to_string(), |tokens| format!("{tokens} tokens"));
    log::warn!(
        "index audit: backend {}, block {:016x}: {:?}, {} in the index, {} at the backend, \
         {} observations: {:?}",
        mismatch.instance_id,
        mismatch.block.0,
        mismatch.kind,
        tokens(mismatch.tokens_in_index),
        tokens(mismatch.tokens_at_backend),
        mismatch.observations,
        mismatch.outcome
    );
}
