//! The event loop of a simulation.

use super::state::Simulation;
use crate::event_queue::{Event, FaultPhase};
use crate::selection::SelectionPolicy;
use crate::site::Site;
use crate::statistics::Statistics;
use std::time::Duration;

/// The interval at which a node requests load reports that are due, in ms.
const REPORT_POLL_MS: f64 = 250.0;

/// Simulates a site with the same policy at all nodes, until all requests have ended.
pub fn run(site: &Site, policy: SelectionPolicy, seed: u64) -> Statistics {
    let mut simulation = Simulation::new(site, policy, seed);
    simulation.start();
    while let Some((at_ms, event)) = simulation.queue.pop() {
        simulation.now_ms = at_ms;
        simulation.handle(event);
    }
    simulation.statistics
}

impl Simulation<'_> {
    /// Sends the lists of backends to the nodes, and schedules the arrivals, faults and first polls.
    fn start(&mut self) {
        for _ in 0..self.site.engines {
            let engine = self.add_engine();
            self.listed.push(engine);
        }
        let engines = self.engine_entries();
        let plain = self.plain_entries();
        for node in &mut self.nodes {
            node.engines.replace_backends(Duration::ZERO, engines.clone());
            node.plain.replace_backends(Duration::ZERO, plain.clone());
        }
        for request in 0..self.requests.len() {
            self.schedule(self.requests[request].at_ms, Event::Arrival { request });
        }
        for (fault, scheduled) in self.site.faults.iter().enumerate() {
            let (start_s, end_s) = (scheduled.start_s, scheduled.start_s + scheduled.duration_s);
            self.schedule(start_s * 1e3, Event::Fault { fault, phase: FaultPhase::Start });
            self.schedule(end_s * 1e3, Event::Fault { fault, phase: FaultPhase::End });
        }
        for node in 0..self.nodes.len() {
            self.schedule(REPORT_POLL_MS, Event::ReportPoll { node });
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { request } => self.send_first(request),
            Event::Retry { request, node } => self.retry(request, node),
            Event::AttemptArrival { request } => self.attempt_arrived(request),
            Event::ConnectFailure { request } => self.connect_failed(request),
            Event::StepEnd { engine, incarnation } => self.step_ended(engine, incarnation),
            Event::PlainCallEnd { request, backend } => self.plain_call_ended(request, backend),
            Event::Deadline { request } => self.deadline_reached(request),
            Event::SilenceTimeout { request, timer } => self.silence_timed_out(request, timer),
            Event::Fault { fault, phase: FaultPhase::Start } => self.start_fault(fault),
            Event::Fault { fault, phase: FaultPhase::End } => self.end_fault(fault),
            Event::Replacement { engine } => self.replace_engine(engine),
            Event::ListUpdate(entries) => {
                let now = self.now();
                self.nodes.iter_mut().for_each(|node| node.engines.replace_backends(now, entries.clone()));
            }
            Event::ReportPoll { node } => {
                if self.now_ms <= self.site.length_s * 1e3 {
                    self.request_due_reports(node);
                    self.schedule(REPORT_POLL_MS, Event::ReportPoll { node });
                }
            }
            Event::ReportArrival { node, id, engine, requested_at_ms } => {
                self.report_arrived(node, &id, engine, requested_at_ms);
            }
        }
    }
}
