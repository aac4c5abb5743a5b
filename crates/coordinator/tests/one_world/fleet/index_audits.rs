//! The simulated audit of the index of cached blocks, on the acting head, and the checks of the mismatches
//! that it reports.

use super::backend_caches::{BackendCaches, CachedBlock, tokens};
use super::{Fleet, Link, PlantedFault};
use crate::simulation::ms;
use control_protocol::{Backend, BackendState, FromProxy, IndexChange, ToAgent};
use index_audit::{
    Audit, AuditSettings, BackendKey, BlockKey, Correction, Mismatch, MismatchKind, RangeRequest, RangeResult,
};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long after its last message a frontend's reports are dropped.
const NODE_EXPIRY: Duration = Duration::from_secs(10);
/// The probability that a frontend sends a request in a step.
const REQUEST_PROBABILITY: f64 = 0.1;
/// The probability that a backend loses a block, per frontend and step.
const LOSS_PROBABILITY: f64 = 0.01;
/// The number of different blocks in prompts.
const BLOCKS: u64 = 300;

/// The audit that runs on one coordinator.
pub struct AuditRun {
    audit: Audit,
    /// The audited backends, as derived from the last list.
    backends: Vec<(BackendKey, String)>,
    /// When each frontend was last linked or sent a report.
    last_heard: BTreeMap<usize, Duration>,
    queries: Vec<Query>,
}

/// A request to a backend in progress.
struct Query {
    request: RangeRequest,
    answered_at: Duration,
    result: Option<RangeResult>,
}

/// A mismatch that an audit has reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedMismatch {
    pub machine: usize,
    pub block: CachedBlock,
    pub kind: MismatchKind,
    pub at: Duration,
}

fn name(frontend: usize) -> String {
    format!("frontend-{frontend}")
}

impl Fleet {
    pub fn reported(&self) -> &[ReportedMismatch] {
        &self.reported
    }

    /// Makes a backend lose a random block that some frontend has in its index, and returns the block.
    pub fn lose_block(&mut self) -> CachedBlock {
        let expected: Vec<CachedBlock> = (0..self.frontends.len())
            .flat_map(|frontend| self.caches.index(frontend))
            .map(|(one, _)| one)
            .collect();
        let block = expected[self.random.random_range(0..expected.len())];
        self.caches.lose(block);
        block
    }

    /// Stops the random loss of blocks.
    pub fn stop_losing_blocks(&mut self) {
        self.caches.losses_stopped = true;
    }

    /// Starts an audit when this coordinator becomes the acting head, and ends it when it no longer is.
    pub(super) fn start_or_end_audit(&mut self, machine: usize, acting_head: bool) {
        let audit = &mut self.coordinators[machine].audit;
        if acting_head == audit.is_some() {
            return;
        }
        *audit = acting_head.then(|| AuditRun {
            audit: Audit::new(AuditSettings::default()),
            backends: Vec::new(),
            last_heard: BTreeMap::new(),
            queries: Vec::new(),
        });
        if acting_head {
            self.broadcast(machine, &ToAgent::IndexRequested);
        }
    }

    pub(super) fn apply_index_report(&mut self, link: Link, restart: bool, changes: &[IndexChange]) {
        let now = self.now();
        let endpoints = self.coordinators[link.machine].list.endpoints();
        let Some(run) = &mut self.coordinators[link.machine].audit else { return };
        run.set_backends(now, endpoints.as_deref().map(Vec::as_slice));
        let name = name(link.frontend);
        run.last_heard.insert(link.frontend, now);
        if restart {
            run.audit.forget_frontend(now, &name);
        }
        for change in changes {
            let (backend, block) = (BackendKey(change.backend), BlockKey(change.block));
            run.audit.apply_index_change(now, &name, backend, block, change.tokens);
        }
    }

    pub(super) fn step_audit(&mut self, machine: usize) {
        let now = self.now();
        let endpoints = self.coordinators[machine].list.endpoints();
        let linked: BTreeSet<usize> =
            self.links.values().filter(|link| link.machine == machine).map(|link| link.frontend).collect();
        let Some(run) = &mut self.coordinators[machine].audit else { return };
        run.set_backends(now, endpoints.as_deref().map(Vec::as_slice));
        run.forget_departed(now, &linked);
        if endpoints.is_some() && run.audit.take_lost_reports() {
            self.broadcast(machine, &ToAgent::IndexRequested);
        }
        let Some(run) = &mut self.coordinators[machine].audit else { return };
        while let Some(request) = run.audit.next_request(now) {
            let answered_at = now + ms(self.random.random_range(2..60));
            run.queries.push(Query { request, answered_at, result: None });
        }
        self.answer_queries();
        self.apply_results(machine);
    }

    /// Lets backends respond to requests that are due, also while the coordinator is suspended.
    fn answer_queries(&mut self) {
        let now = self.now();
        let is_wrong = self.fault == Some(PlantedFault::CorrectsWrongBackend);
        let caches = &self.caches;
        for run in self.coordinators.iter_mut().filter_map(|coordinator| coordinator.audit.as_mut()) {
            let other = run.backends.first().map(|(backend, _)| BackendCaches::key(*backend));
            for query in
                run.queries.iter_mut().filter(|query| query.result.is_none() && now >= query.answered_at)
            {
                let requested = BackendCaches::key(query.request.backend);
                let backend = other.filter(|_| is_wrong).unwrap_or(requested);
                query.result = Some(caches.report(backend, &query.request));
            }
        }
    }

    fn apply_results(&mut self, machine: usize) {
        let now = self.now();
        loop {
            let Some(run) = &mut self.coordinators[machine].audit else { return };
            let Some(at) = run.queries.iter().position(|query| query.result.is_some()) else { return };
            let query = run.queries.remove(at);
            let Some(result) = query.result else { return };
            let recorded = run.audit.recorded_mismatches();
            let output = run.audit.apply_result(now, &query.request, result);
            let mismatches: Vec<Mismatch> = run.audit.mismatches_since(recorded).cloned().collect();
            if let Some(request) = output.next_request {
                let answered_at = now + ms(self.random.random_range(2..60));
                run.queries.push(Query { request, answered_at, result: None });
            }
            self.check_mismatches(machine, &mismatches);
            if !output.corrections.is_empty() {
                let changes = output.corrections.iter().map(index_change).collect();
                self.broadcast(machine, &ToAgent::IndexCorrections(changes));
            }
        }
    }

    /// Checks that the reported mismatches are real: a block that is reported as dropped was lost by that
    /// backend.
    fn check_mismatches(&mut self, machine: usize, mismatches: &[Mismatch]) {
        for mismatch in mismatches {
            let block = (mismatch.backend.0, mismatch.block.0);
            let reported = ReportedMismatch { machine, block, kind: mismatch.kind, at: self.now() };
            let is_true = match mismatch.kind {
                MismatchKind::Dropped => self.caches.lost.contains(&block),
                MismatchKind::Forgotten => self.caches.holds(block) || self.caches.lost.contains(&block),
                MismatchKind::SizeDiffers => false,
            };
            if !is_true {
                self.violation.get_or_insert(format!("false mismatch: {reported:?}"));
            }
            self.reported.push(reported);
        }
    }

    /// With some probability a frontend sends a request, whose block the backend caches, and a backend loses
    /// a block.
    pub(super) fn send_inference_request(&mut self, frontend: usize) {
        if !self.caches.losses_stopped && self.random.random_bool(LOSS_PROBABILITY) {
            self.lose_any_block();
        }
        if !self.random.random_bool(REQUEST_PROBABILITY) {
            return;
        }
        let ready = self.lists.ready_backends(frontend);
        if ready.is_empty() {
            return;
        }
        let backend = &ready[self.random.random_range(0..ready.len())];
        if !self.platform.backends.contains_key(&backend.instance_id) {
            return;
        }
        let block = (backend.key(), self.random.random_range(0..BLOCKS).wrapping_mul(0x9E37_79B9_7F4A_7C15));
        self.caches.read(block);
        self.change_index(frontend, &[(block, Some(tokens(block.1)))]);
    }

    fn lose_any_block(&mut self) {
        let all = self.caches.all();
        if !all.is_empty() {
            let block = all[self.random.random_range(0..all.len())];
            self.caches.lose(block);
        }
    }

    /// Changes a frontend's index, and reports the entries that differ from before.
    fn change_index(&mut self, frontend: usize, changes: &[(CachedBlock, Option<u32>)]) {
        let caches = &mut self.caches;
        let new = changes.iter().filter(|(block, tokens)| caches.set_index(frontend, *block, *tokens));
        let changes: Vec<IndexChange> = new
            .map(|((backend, block), tokens)| IndexChange {
                backend: *backend,
                block: *block,
                tokens: *tokens,
            })
            .collect();
        if !changes.is_empty() {
            self.proxy_reports(frontend, false, changes);
        }
    }

    pub(super) fn report_whole_index(&mut self, frontend: usize) {
        let change = |((backend, block), tokens)| IndexChange { backend, block, tokens: Some(tokens) };
        let changes = self.caches.index(frontend).map(change).collect();
        self.proxy_reports(frontend, true, changes);
    }

    fn proxy_reports(&mut self, frontend: usize, restart: bool, changes: Vec<IndexChange>) {
        let now = self.now();
        let message = FromProxy::IndexChanges { restart, changes };
        let effects = self.frontends[frontend].agent.handle_proxy_message(now, message);
        self.perform(frontend, effects);
    }

    pub(super) fn correct_index(&mut self, frontend: usize, changes: &[IndexChange]) {
        let known: BTreeSet<u64> = self.lists.ready_backends(frontend).iter().map(Backend::key).collect();
        let corrections: Vec<(CachedBlock, Option<u32>)> = changes
            .iter()
            .filter(|change| known.contains(&change.backend))
            .map(|change| ((change.backend, change.block), change.tokens))
            .collect();
        self.change_index(frontend, &corrections);
    }

    /// Checks, after recovery, that no frontend's index has a block that its backend does not cache.
    pub(super) fn check_indexes(&mut self) {
        for frontend in 0..self.frontends.len() {
            let ready: BTreeSet<u64> = self.lists.ready_backends(frontend).iter().map(Backend::key).collect();
            let wrong = self.caches.index(frontend).map(|(block, _)| block);
            let wrong =
                wrong.filter(|block| ready.contains(&block.0)).find(|block| !self.caches.holds(*block));
            if let Some(block) = wrong
                && self.violation().is_none()
            {
                self.violation =
                    Some(format!("frontend {frontend} has {block:?} in its index after recovery"));
            }
        }
    }
}

impl AuditRun {
    /// Audits the backends of this list that are ready.
    fn set_backends(&mut self, now: Duration, endpoints: Option<&[Backend]>) {
        let Some(endpoints) = endpoints else { return };
        let ready = endpoints.iter().filter(|one| one.state == BackendState::Ready);
        let backends: Vec<(BackendKey, String)> =
            ready.map(|one| (BackendKey(one.key()), one.instance_id.clone())).collect();
        if backends != self.backends {
            self.audit.set_backends(now, &backends);
            self.backends = backends;
        }
    }

    fn forget_departed(&mut self, now: Duration, linked: &BTreeSet<usize>) {
        for frontend in linked {
            self.last_heard.entry(*frontend).and_modify(|last_heard| *last_heard = now);
        }
        let departed: Vec<usize> = self
            .last_heard
            .iter()
            .filter(|(_, last_heard)| now >= **last_heard + NODE_EXPIRY)
            .map(|(one, _)| *one)
            .collect();
        for frontend in departed {
            self.last_heard.remove(&frontend);
            self.audit.forget_frontend(now, &name(frontend));
        }
    }
}

fn index_change(correction: &Correction) -> IndexChange {
    IndexChange { backend: correction.backend.0, block: correction.block.0, tokens: correction.tokens }
}
