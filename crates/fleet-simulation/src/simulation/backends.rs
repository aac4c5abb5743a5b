//! Events of backends: arrivals of attempts, jobs, load samples and faults.

use super::{Connection, Simulation, SimulationEvent};
use crate::backend::{AttemptKey, Job};
use crate::scenario::FaultKind;
use join_up_to::Outcome;

impl Simulation<'_> {
    /// Handles the arrival of an attempt. `incarnation` is that of the backend when the attempt was sent.
    pub(super) fn attempt_arrives(
        &mut self,
        backend: usize,
        incarnation: u32,
        job: Job,
        connection: Connection,
    ) {
        let latency = self.latency(job.key.node as usize, backend);
        let failure = |outcome| SimulationEvent::AttemptEnd { key: job.key, outcome, report: None };
        if self.backends[backend].is_unresponsive || !self.is_in_flight(job.key) {
            return;
        }
        let target = &mut self.backends[backend];
        match connection {
            Connection::New if target.open_connections >= target.spec.connections => {
                self.tally.refused_connections += 1;
                return self.schedule(latency, failure(Outcome::ConnectFailed));
            }
            Connection::New => {
                target.open_connections += 1;
                self.open_connections += 1;
                self.tally.max_open_connections = self.tally.max_open_connections.max(self.open_connections);
            }
            Connection::Reused if target.incarnation != incarnation => {
                return self.schedule(latency, failure(Outcome::Reset));
            }
            Connection::Reused => {}
        }
        if target.returns_errors {
            return self.schedule(latency, failure(Outcome::Error));
        }
        target.update(self.now, self.scenario.overload);
        if !target.enqueue(job) {
            return self.schedule(latency, failure(Outcome::Rejected));
        }
        self.start_jobs(backend);
    }

    fn start_jobs(&mut self, backend: usize) {
        let incarnation = self.backends[backend].incarnation;
        while let Some((job, duration)) = self.backends[backend].start(self.scenario.overload) {
            self.schedule(duration, SimulationEvent::JobEnd { backend, incarnation, key: job.key });
        }
    }

    pub(super) fn job_ends(&mut self, backend: usize, incarnation: u32, key: AttemptKey) {
        let latency = self.latency(key.node as usize, backend);
        let target = &mut self.backends[backend];
        if target.incarnation != incarnation {
            return;
        }
        target.update(self.now, self.scenario.overload);
        target.finish();
        let report = target.report(self.now, self.scenario.reporting);
        if !target.is_unresponsive {
            let outcome = Outcome::Served;
            self.schedule(latency, SimulationEvent::AttemptEnd { key, outcome, report });
        }
        self.start_jobs(backend);
    }

    pub(super) fn sample_load(&mut self, backend: usize) {
        self.backends[backend].update(self.now, self.scenario.overload);
        self.backends[backend].sample(self.now);
        self.schedule(self.scenario.reporting.period, SimulationEvent::LoadSample { backend });
    }

    pub(super) fn start_fault(&mut self, number: usize) {
        let fault = self.scenario.faults[number];
        for backend in self.backends.iter_mut().skip(fault.first).take(fault.backends) {
            match fault.kind {
                FaultKind::Slow(factor) => backend.fault_slowdown = factor,
                FaultKind::Errors => backend.returns_errors = true,
                FaultKind::Unresponsive => backend.is_unresponsive = true,
            }
        }
    }

    pub(super) fn end_fault(&mut self, number: usize) {
        let fault = self.scenario.faults[number];
        for backend in self.backends.iter_mut().skip(fault.first).take(fault.backends) {
            match fault.kind {
                FaultKind::Slow(_) => backend.fault_slowdown = 1.0,
                FaultKind::Errors => backend.returns_errors = false,
                FaultKind::Unresponsive => {
                    backend.is_unresponsive = false;
                    let lost = u64::from(backend.open_connections);
                    self.open_connections = self.open_connections.saturating_sub(lost);
                    backend.restart();
                }
            }
        }
    }
}
