//! Events of backends: finished attempts, time-outs and faults.

use super::clients::SentAttempt;
use super::{Simulation, SimulationEvent};
use crate::backend::AttemptKey;
use crate::surge::FaultEvent;
use join_up_to::Outcome;

impl Simulation<'_> {
    /// Handles the end of an attempt that a backend has run, and starts the next one. Returns the attempt's
    /// node.
    pub(super) fn job_ends(&mut self, backend: usize, incarnation: u64, key: AttemptKey) -> Option<usize> {
        if self.backends[backend].incarnation != incarnation {
            return None;
        }
        if let Some((next, duration)) = self.backends[backend].finish(&mut self.random) {
            let end = SimulationEvent::JobEnd { backend, incarnation, key: next };
            self.schedule(self.now + duration, end);
        }
        self.end_attempt(key, Outcome::Served)
    }

    /// Handles the time-out of an attempt, if it is in flight. Returns its node.
    pub(super) fn attempt_times_out(&mut self, key: AttemptKey) -> Option<usize> {
        let request = self.requests.get(&key.request);
        let attempt = request.and_then(|request| request.attempts.get(key.attempt as usize));
        let server = attempt.filter(|attempt| attempt.outcome.is_none()).map(|attempt| attempt.server)?;
        self.backends[server.0 as usize].cancel(key);
        self.end_attempt(key, Outcome::TimedOut)
    }

    pub(super) fn apply_fault(&mut self, number: usize) {
        let fault = self.surge.faults[number];
        let backend = &mut self.backends[fault.backend];
        match fault.event {
            FaultEvent::Crash => {
                backend.crash();
                self.reset_attempts(fault.backend);
            }
            FaultEvent::Recover => backend.is_up = true,
            FaultEvent::Slow(factor) => backend.fault_slowdown = factor,
            FaultEvent::StartErrors => backend.returns_errors = true,
            FaultEvent::EndErrors => backend.returns_errors = false,
        }
    }

    /// Ends all attempts in flight at a backend with a connection reset.
    fn reset_attempts(&mut self, backend: usize) {
        let is_lost =
            |attempt: &SentAttempt| attempt.server.0 as usize == backend && attempt.outcome.is_none();
        let mut lost = Vec::new();
        for (id, request) in &self.requests {
            let attempts = request.attempts.iter().enumerate().filter(|(_, attempt)| is_lost(attempt));
            lost.extend(attempts.map(|(number, _)| AttemptKey { request: *id, attempt: number as u32 }));
        }
        // Iteration over the map has no defined order.
        lost.sort_unstable();
        for key in lost {
            if let Some(node) = self.end_attempt(key, Outcome::Reset) {
                self.follow_gate(node);
            }
        }
    }
}
