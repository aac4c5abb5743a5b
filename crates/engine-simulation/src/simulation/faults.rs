//! Faults of engines, and the list updates that follow them.

use super::state::{EngineHealth, Simulation};
use crate::engine::Engine;
use crate::event_queue::Event;
use crate::fault::{CrashMode, Fault, ScheduledFault};
use routing::Outcome;

/// The delay from a change of the list until the nodes receive it, in ms.
const LIST_DELAY_MS: f64 = 800.0;
/// How long a crashed engine stays on the nodes' lists, in ms.
const CRASH_DETECTION_MS: f64 = 3000.0;
/// The minimum interval of the replacements of a release, in ms.
const MIN_RELEASE_INTERVAL_MS: f64 = 300.0;

impl Simulation<'_> {
    /// Starts a fault. Bursts and hot keys have no effect here: the requests are drawn with them.
    pub fn start_fault(&mut self, index: usize) {
        let ScheduledFault { duration_s, fault, .. } = self.site.faults[index];
        let up = self.listed_engines_up();
        match fault {
            Fault::Crash { share, mode } => {
                for &engine in &up[..self.affected_count(share, up.len())] {
                    self.crash(engine, mode, duration_s * 1e3);
                }
            }
            Fault::Slow { share, factor } => {
                let slowed = up[up.len() - self.affected_count(share, up.len())..].to_vec();
                slowed.iter().for_each(|engine| self.engines[*engine].slowdown = factor);
                self.slowed[index] = slowed;
            }
            Fault::Release => {
                let interval_ms = (duration_s * 1e3 / up.len() as f64).max(MIN_RELEASE_INTERVAL_MS);
                for (turn, engine) in up.into_iter().enumerate() {
                    self.schedule(interval_ms * turn as f64, Event::Replacement { engine });
                }
            }
            Fault::Burst { .. } | Fault::HotKey { .. } => {}
        }
    }

    /// Ends a fault. Only slow engines need this: other faults end by scheduled events or with the requests.
    pub fn end_fault(&mut self, index: usize) {
        if let Fault::Slow { .. } = self.site.faults[index].fault {
            for engine in &self.slowed[index] {
                self.engines[*engine].slowdown = 1.0;
            }
        }
    }

    fn listed_engines_up(&self) -> Vec<usize> {
        let is_up = |engine: &usize| self.engines[*engine].health == EngineHealth::Up;
        self.listed.iter().copied().filter(is_up).collect()
    }

    /// The number of engines that a fault affects, at least 1.
    fn affected_count(&self, share: f64, up: usize) -> usize {
        ((share * self.site.engines as f64).round() as usize).clamp(1, up)
    }

    fn crash(&mut self, engine: usize, mode: CrashMode, duration_ms: f64) {
        let instance = &mut self.engines[engine];
        let jobs = instance.engine.jobs();
        instance.engine = Engine::new(self.site.engine);
        instance.incarnation += 1;
        instance.is_stepping = false;
        instance.health = match mode {
            CrashMode::Refusing => EngineHealth::Refusing,
            CrashMode::Unresponsive => EngineHealth::Unresponsive,
        };
        if mode == CrashMode::Refusing {
            jobs.into_iter().for_each(|id| self.attempt_failed(id as usize, Outcome::Broken, None));
        }
        self.schedule(duration_ms, Event::Replacement { engine });
        if duration_ms > CRASH_DETECTION_MS {
            self.listed.retain(|listed| *listed != engine);
            let entries = self.engine_entries();
            self.schedule(CRASH_DETECTION_MS, Event::ListUpdate(entries));
        }
    }

    /// Replaces an engine by a new one on the list. An engine that has not crashed completes its requests.
    pub fn replace_engine(&mut self, old: usize) {
        if self.engines[old].health != EngineHealth::Up {
            self.engines[old].health = EngineHealth::Gone;
        }
        let new = self.add_engine();
        self.listed.retain(|listed| *listed != old);
        self.listed.push(new);
        let entries = self.engine_entries();
        self.schedule(LIST_DELAY_MS, Event::ListUpdate(entries));
    }
}
