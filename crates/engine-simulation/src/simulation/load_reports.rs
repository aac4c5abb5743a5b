//! The load reports that nodes request from engines.

use super::state::{EngineHealth, HOP_MS, Simulation};
use crate::event_queue::Event;
use routing::{BackendId, LoadReport};
use std::time::Duration;

/// The age of the load in a report at the time of the request, in ms.
const REPORT_AGE_MS: f64 = 200.0;

impl Simulation<'_> {
    /// Requests the load reports that are due at a node's selector.
    pub fn request_due_reports(&mut self, node: usize) {
        let now = self.now();
        for id in self.nodes[node].engines.due_load_reports(now) {
            self.statistics.load_reports += 1;
            let Some(engine) = self.engines.iter().position(|instance| instance.id == id) else { continue };
            let requested_at_ms = self.now_ms;
            self.schedule(2.0 * HOP_MS, Event::ReportArrival { node, id, engine, requested_at_ms });
        }
    }

    /// Delivers a load report to its node, or the information that the engine has not replied.
    pub fn report_arrived(&mut self, node: usize, id: &BackendId, engine: usize, requested_at_ms: f64) {
        let now = self.now();
        let instance = &self.engines[engine];
        let known = |at_ms: f64| at_ms <= requested_at_ms - REPORT_AGE_MS;
        let sample = instance.samples.iter().rev().find(|sample| known(sample.at_ms));
        let load = sample.or(instance.samples.front()).map(|sample| sample.load);
        let report = load.filter(|_| instance.health == EngineHealth::Up).map(|load| LoadReport {
            queued: load.waiting,
            active: load.running,
            kv_used: 0,
            kv_total: self.site.engine.kv_capacity_tokens,
        });
        let requested_at = Duration::from_secs_f64(requested_at_ms / 1e3);
        self.nodes[node].engines.report_received(now, id, requested_at, report);
    }
}
