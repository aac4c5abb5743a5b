//! A simulated backend: cores, a queue, service times, and degradation under overload. It identifies attempts
//! by their keys.

use join_up_to::RequestId;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::time::Duration;

/// The bounds of a drawn service time, in seconds.
const SERVICE_TIME_BOUNDS_S: (f64, f64) = (1e-6, 86_400.0);

/// The distribution of the time that a request takes on a core of speed 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceTime {
    /// A constant time, in seconds.
    Fixed(f64),
    /// Exponentially distributed with this mean, in seconds.
    Exponential(f64),
}

impl ServiceTime {
    /// The mean, in seconds.
    pub fn mean(self) -> f64 {
        match self {
            ServiceTime::Fixed(mean) | ServiceTime::Exponential(mean) => mean,
        }
    }

    fn draw(self, random: &mut Pcg64Mcg) -> f64 {
        match self {
            ServiceTime::Fixed(mean) => mean,
            ServiceTime::Exponential(mean) => {
                let unit: f64 = Exp1.sample(random);
                mean * unit
            }
        }
    }
}

/// The properties of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendSpec {
    /// The number of cores, each of which runs one request at a time.
    pub cores: u32,
    /// The speed of its cores; [`ServiceTime`] refers to a speed of 1.
    pub speed: f64,
    /// The maximum number of queued requests; more are rejected.
    pub queue: u32,
    /// The number of queued requests per core above which it is degraded.
    pub degraded_above: f64,
    /// The factor by which requests that start while it is degraded take longer; 1 for no degradation.
    pub degradation: f64,
}

impl BackendSpec {
    /// A backend of speed 1 that never degrades, with a queue of 1,000.
    pub fn without_degradation(cores: u32) -> Self {
        BackendSpec { cores, speed: 1.0, queue: 1000, degraded_above: f64::INFINITY, degradation: 1.0 }
    }
}

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
}

/// The result of the arrival of an attempt.
pub enum ArrivalResult {
    /// It runs for this time.
    Started(Duration),
    /// It waits for a core.
    Queued,
    /// It is rejected, because the queue is full.
    Rejected,
}

/// The state of a backend.
#[derive(Debug)]
pub struct Backend {
    spec: BackendSpec,
    running: u32,
    queue: VecDeque<(AttemptKey, ServiceTime)>,
    /// The factor by which a fault slows it down; 1 without a fault.
    pub fault_slowdown: f64,
    /// Whether it accepts connections.
    pub is_up: bool,
    /// Whether a fault makes it respond to each attempt with an immediate error.
    pub returns_errors: bool,
    /// The number of crashes so far. Attempts of an earlier incarnation never finish.
    pub incarnation: u64,
    /// The maximum of [`in_flight`](Self::in_flight) so far.
    pub max_in_flight: u32,
    /// The number of attempts that it has started.
    pub started: u64,
}

impl Backend {
    /// A backend that is up and has no requests.
    pub fn new(spec: BackendSpec) -> Self {
        Backend {
            spec,
            running: 0,
            queue: VecDeque::new(),
            fault_slowdown: 1.0,
            is_up: true,
            returns_errors: false,
            incarnation: 0,
            max_in_flight: 0,
            started: 0,
        }
    }

    /// The number of running and queued requests.
    pub fn in_flight(&self) -> u32 {
        self.running + self.queue.len() as u32
    }

    /// Starts a request on a free core; returns how long it takes.
    fn start(&mut self, service_time: ServiceTime, random: &mut Pcg64Mcg) -> Duration {
        let is_degraded = self.queue.len() as f64 > self.spec.degraded_above * f64::from(self.spec.cores);
        let factor = self.fault_slowdown * if is_degraded { self.spec.degradation } else { 1.0 };
        self.running += 1;
        self.started += 1;
        let (min, max) = SERVICE_TIME_BOUNDS_S;
        Duration::from_secs_f64((service_time.draw(random) * factor / self.spec.speed).clamp(min, max))
    }

    /// Starts, queues or rejects an attempt.
    pub fn arrive(
        &mut self,
        attempt: AttemptKey,
        service_time: ServiceTime,
        random: &mut Pcg64Mcg,
    ) -> ArrivalResult {
        let result = if self.running < self.spec.cores {
            ArrivalResult::Started(self.start(service_time, random))
        } else if (self.queue.len() as u32) < self.spec.queue {
            self.queue.push_back((attempt, service_time));
            ArrivalResult::Queued
        } else {
            return ArrivalResult::Rejected;
        };
        self.max_in_flight = self.max_in_flight.max(self.in_flight());
        result
    }

    /// Frees the core of a finished attempt; returns the next attempt that runs, and for how long.
    pub fn finish(&mut self, random: &mut Pcg64Mcg) -> Option<(AttemptKey, Duration)> {
        self.running -= 1;
        let (attempt, service_time) = self.queue.pop_front()?;
        Some((attempt, self.start(service_time, random)))
    }

    /// Removes an attempt from the queue. A running attempt is not affected.
    pub fn cancel(&mut self, attempt: AttemptKey) {
        self.queue.retain(|(queued, _)| *queued != attempt);
    }

    /// Takes the backend down. All its attempts are lost, and its faults end.
    pub fn crash(&mut self) {
        let Backend { spec, incarnation, max_in_flight, started, .. } = *self;
        *self = Backend {
            is_up: false,
            incarnation: incarnation + 1,
            max_in_flight,
            started,
            ..Backend::new(spec)
        };
    }
}
