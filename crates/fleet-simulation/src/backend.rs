//! A simulated backend: cores, a queue, connections, and degradation under overload. It identifies attempts
//! by their keys.

use crate::scenario::{BackendSpec, LoadReporting, OverloadCurve};
use std::collections::VecDeque;

/// The number of load samples that a backend keeps; responses report one of them.
const MAX_SAMPLES: usize = 4;

/// Identifies an attempt of a request at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptKey {
    /// The index of the node.
    pub node: u32,
    /// The id of the request at that node.
    pub request: u64,
    /// The number of the attempt, from 0.
    pub attempt: u32,
}

/// The work of an attempt, including that of opening its connection if that is new.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    pub key: AttemptKey,
    /// The work in seconds on a core of speed 1.
    pub work: f64,
}

/// The load of a backend at a time in seconds.
#[derive(Clone, Copy)]
pub struct LoadSample {
    pub at: f64,
    pub in_flight: f32,
    pub queued: f32,
}

pub struct Backend {
    pub spec: BackendSpec,
    pub open_connections: u32,
    /// The factor by which a fault slows it down; 1 without a fault.
    pub fault_slowdown: f64,
    /// Whether a fault makes it respond with errors.
    pub returns_errors: bool,
    /// Whether a fault makes it neither respond nor run jobs.
    pub is_unresponsive: bool,
    /// The number of restarts so far. Jobs of an earlier incarnation never finish.
    pub incarnation: u32,
    running: u32,
    queue: VecDeque<Job>,
    /// Exponential moving averages of the jobs in flight and of the fraction of busy cores, and the time of
    /// their update.
    mean_load: f64,
    mean_utilization: f64,
    updated_at: f64,
    /// When the present degradation began; `None` if it is not degraded.
    overloaded_since: Option<f64>,
    was_overloaded: bool,
    /// The last load samples, newest last.
    samples: VecDeque<LoadSample>,
}

impl Backend {
    pub fn new(spec: BackendSpec) -> Self {
        Backend {
            spec,
            open_connections: 0,
            fault_slowdown: 1.0,
            returns_errors: false,
            is_unresponsive: false,
            incarnation: 0,
            running: 0,
            queue: VecDeque::new(),
            mean_load: 0.0,
            mean_utilization: 0.0,
            updated_at: 0.0,
            overloaded_since: None,
            was_overloaded: false,
            samples: VecDeque::new(),
        }
    }

    /// The number of running and queued jobs.
    pub fn in_flight(&self) -> usize {
        self.running as usize + self.queue.len()
    }

    /// Whether it is degraded by overload.
    pub fn is_overloaded(&self) -> bool {
        self.overloaded_since.is_some()
    }

    /// Whether it has ever been degraded by overload.
    pub fn was_overloaded(&self) -> bool {
        self.was_overloaded
    }

    /// Adds a job to the queue. Returns `false` if the queue is full.
    pub fn enqueue(&mut self, job: Job) -> bool {
        let has_space = self.queue.len() < self.spec.queue as usize;
        if has_space {
            self.queue.push_back(job);
        }
        has_space
    }

    /// Starts the next queued job if a core is free. Returns the job and its duration in seconds.
    pub fn start(&mut self, curve: Option<OverloadCurve>) -> Option<(Job, f64)> {
        if self.is_unresponsive || self.running >= self.spec.cores {
            return None;
        }
        let job = self.queue.pop_front()?;
        self.running += 1;
        let slowdown = curve.filter(|_| self.is_overloaded()).map_or(1.0, |curve| curve.slowdown);
        Some((job, job.work / self.spec.speed * slowdown * self.fault_slowdown))
    }

    /// Frees the core of a finished job.
    pub fn finish(&mut self) {
        self.running -= 1;
    }

    /// Removes a job from the queue. A running job is not affected.
    pub fn cancel(&mut self, key: AttemptKey) {
        self.queue.retain(|job| job.key != key);
    }

    /// Restarts the backend: all its jobs and connections are lost.
    pub fn restart(&mut self) {
        (self.running, self.open_connections) = (0, 0);
        self.queue.clear();
        self.incarnation += 1;
    }

    /// Updates the moving averages, and starts or ends the degradation. Must be called before each change of
    /// the load. A backend degrades at most once.
    pub fn update(&mut self, now: f64, curve: Option<OverloadCurve>) {
        let load = self.in_flight() as f64;
        let utilization = f64::from(self.running) / f64::from(self.spec.cores);
        let passed = now - self.updated_at;
        self.updated_at = now;
        let Some(curve) = curve else { return };
        let move_toward = |mean: &mut f64, value: f64, time_constant: f64| {
            *mean += (value - *mean) * (1.0 - (-passed / time_constant).exp());
        };
        move_toward(&mut self.mean_load, load, curve.load_window / 2.0);
        move_toward(&mut self.mean_utilization, utilization, curve.recovery_window / 2.0);
        let cores = f64::from(self.spec.cores);
        match self.overloaded_since {
            None if !self.was_overloaded && self.mean_load > cores + curve.threshold * cores.sqrt() => {
                (self.overloaded_since, self.was_overloaded) = (Some(now), true);
            }
            Some(since)
                if now - since > curve.max_duration
                    || now - since > curve.recovery_window
                        && self.mean_utilization < curve.recovery_utilization =>
            {
                self.overloaded_since = None;
            }
            _ => {}
        }
    }

    /// Adds a load sample.
    pub fn sample(&mut self, at: f64) {
        let (in_flight, queued) = (self.in_flight() as f32, self.queue.len() as f32);
        self.samples.push_back(LoadSample { at, in_flight, queued });
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// The newest load sample that is old enough to be reported by a response; `None` if there is none.
    pub fn report(&self, now: f64, reporting: LoadReporting) -> Option<LoadSample> {
        self.samples.iter().rev().find(|sample| sample.at + reporting.delay <= now).copied()
    }
}
