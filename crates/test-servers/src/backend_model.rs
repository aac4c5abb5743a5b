//! A deterministic model of a backend without sockets or a clock. Callers pass events with their times, and
//! get the requests that start with their completion times. The same seed and events give the same results.

use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The distribution of the time that a request takes on a core of speed 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceTime {
    /// A constant time.
    Fixed(Duration),
    /// Uniform between two times.
    Uniform(Duration, Duration),
    /// Exponentially distributed with this mean.
    Exponential(Duration),
    /// Log-normally distributed with this median and standard deviation of the logarithm.
    LogNormal(Duration, f64),
}

impl ServiceTime {
    /// Draws a time of at most one day.
    pub fn draw(&self, rng: &mut impl Rng) -> Duration {
        let seconds = match *self {
            ServiceTime::Fixed(time) => time.as_secs_f64(),
            ServiceTime::Uniform(min, max) => {
                rng.random_range(min.as_secs_f64()..=max.max(min).as_secs_f64())
            }
            // These distributions are valid for a mean above 0 and a finite spread; otherwise the mean or
            // median is used.
            ServiceTime::Exponential(mean) => {
                Exp::new(1.0 / mean.as_secs_f64().max(1e-9)).map_or(mean.as_secs_f64(), |exp| exp.sample(rng))
            }
            ServiceTime::LogNormal(median, spread) => {
                LogNormal::new(median.as_secs_f64().max(1e-9).ln(), spread)
                    .map_or(median.as_secs_f64(), |normal| normal.sample(rng))
            }
        };
        Duration::from_secs_f64(seconds.clamp(0.0, 86_400.0))
    }
}

/// The slow start of a backend, and the overload that makes it crash before it is warm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// The share of its capacity, 0 to 1, at its start.
    pub initial_share: f64,
    /// The time from the start to full capacity; the share rises linearly.
    pub warm_up_time: Duration,
    /// It crashes if the work that it receives within `overload_time` exceeds its current capacity by this
    /// factor.
    pub overload_factor: f64,
    /// The length of the window over which received work is compared with capacity.
    pub overload_time: Duration,
}

/// How a backend slows down under overload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Degradation {
    /// The number of queued requests per core above which it is overloaded.
    pub queued_per_core: f64,
    /// How long it must be overloaded before it slows down.
    pub onset: Duration,
    /// The factor by which requests that start while it is degraded take longer.
    pub factor: f64,
    /// How long its queue must be empty before it recovers.
    pub recovery_time: Duration,
}

/// The fixed properties of a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendSpec {
    /// The number of cores, each of which runs one request at a time.
    pub cores: u32,
    /// The speed of its cores; [`ServiceTime`] refers to a speed of 1.
    pub speed: f64,
    /// The largest number of queued requests.
    pub queue: u32,
    /// The distribution of service times.
    pub service_time: ServiceTime,
    /// The slow start; `None` for full capacity from the start.
    pub cold_start: Option<ColdStart>,
    /// The degradation under overload; `None` for none.
    pub degradation: Option<Degradation>,
    /// How long an idempotency key is remembered; zero for no deduplication.
    pub deduplication_window: Duration,
}

/// Identifies a request at one backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestToken(pub u64);

/// What a backend does with a request on its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs at once.
    Runs {
        /// When it will complete, on the caller's clock.
        completes_at: Duration,
    },
    /// It waits for a core.
    Queued,
    /// It is rejected without execution: the queue is full, or the backend drains or has crashed.
    Rejected,
}

/// A queued request that starts to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedRequest {
    /// The request.
    pub token: RequestToken,
    /// When it will complete, on the caller's clock.
    pub completes_at: Duration,
}

/// The number of requests at a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelLoad {
    /// Running and queued requests.
    pub in_flight: u32,
    /// Queued requests.
    pub queued: u32,
}

/// The idempotency keys that the backends of a site have received, with their times. The backends of a site
/// share one.
#[derive(Debug, Default)]
pub struct IdempotencyKeys {
    received: HashMap<String, Duration>,
    by_time: VecDeque<(Duration, String)>,
}

impl IdempotencyKeys {
    /// Records a key unless it was recorded within the window before `now`. Returns whether it was recorded;
    /// the time of a known key does not change.
    pub fn insert_if_new(&mut self, key: &str, now: Duration, window: Duration) -> bool {
        while self.by_time.front().is_some_and(|(at, _)| *at + window <= now) {
            if let Some((at, key)) = self.by_time.pop_front()
                && self.received.get(&key) == Some(&at)
            {
                self.received.remove(&key);
            }
        }
        if self.received.contains_key(key) {
            return false;
        }
        self.received.insert(key.to_string(), now);
        self.by_time.push_back((now, key.to_string()));
        true
    }
}

/// The state of a backend.
#[derive(Debug)]
pub struct BackendModel {
    spec: BackendSpec,
    rng: Pcg64Mcg,
    /// When it last started; `None` if it has been warm from the beginning.
    started_at: Option<Duration>,
    running: u32,
    queue: VecDeque<RequestToken>,
    draining: bool,
    crashed: bool,
    /// The factor by which a script slows it down.
    slowdown: f64,
    overloaded_since: Option<Duration>,
    degraded: bool,
    queue_empty_since: Option<Duration>,
    /// The work that it has received while it warms up, in seconds of a core of speed 1, with the arrival
    /// times.
    work_while_cold: VecDeque<(Duration, f64)>,
}

impl BackendModel {
    /// A backend without requests. `started_at` is the time of its last start; `None` for a warm backend.
    pub fn new(spec: BackendSpec, seed: u64, started_at: Option<Duration>) -> Self {
        BackendModel {
            spec,
            rng: Pcg64Mcg::new(u128::from(seed) << 64 | 0xcafe_f00d),
            started_at,
            running: 0,
            queue: VecDeque::new(),
            draining: false,
            crashed: false,
            slowdown: 1.0,
            overloaded_since: None,
            degraded: false,
            queue_empty_since: None,
            work_while_cold: VecDeque::new(),
        }
    }

    /// The share of its full capacity at a time, 0 to 1.
    pub fn capacity_share(&self, now: Duration) -> f64 {
        let (Some(cold), Some(started_at)) = (self.spec.cold_start, self.started_at) else { return 1.0 };
        let progress =
            now.saturating_sub(started_at).as_secs_f64() / cold.warm_up_time.as_secs_f64().max(1e-9);
        (cold.initial_share + (1.0 - cold.initial_share) * progress).min(1.0)
    }

    /// The running and queued requests.
    pub fn load(&self) -> ModelLoad {
        let queued = self.queue.len() as u32;
        ModelLoad { in_flight: self.running + queued, queued }
    }

    /// Whether overload slows it down.
    pub fn is_degraded(&self) -> bool {
        self.degraded
    }

    /// Whether overload has crashed it while it warmed up. It rejects all requests until it restarts.
    pub fn has_crashed(&self) -> bool {
        self.crashed
    }

    /// Rejects new requests from now on, until it restarts.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Slows it down by a factor; 1 restores its normal speed.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(1e-3);
    }

    /// Restarts it, cold and without requests: all present ones are lost. A slowdown stays.
    pub fn restart(&mut self, now: Duration) {
        let slowdown = self.slowdown;
        let seed = self.rng.random();
        *self = BackendModel::new(self.spec.clone(), seed, Some(now));
        self.slowdown = slowdown;
    }

    /// Handles the arrival of a request, whose last byte was received at `now`.
    pub fn arrive(&mut self, now: Duration, token: RequestToken) -> Admission {
        self.update_degradation(now);
        if self.crashed || self.draining {
            return Admission::Rejected;
        }
        if self.running < self.spec.cores && self.queue.is_empty() {
            self.record_cold_work(now);
            return Admission::Runs { completes_at: self.start_request(now) };
        }
        if self.queue.len() >= self.spec.queue as usize {
            return Admission::Rejected;
        }
        self.record_cold_work(now);
        self.queue.push_back(token);
        self.update_degradation(now);
        Admission::Queued
    }

    /// Frees the core of a request that has completed, or that was abandoned. Returns the queued requests
    /// that start now.
    pub fn complete(&mut self, now: Duration) -> Vec<StartedRequest> {
        self.running = self.running.saturating_sub(1);
        let mut started = Vec::new();
        while self.running < self.spec.cores
            && let Some(token) = self.queue.pop_front()
        {
            started.push(StartedRequest { token, completes_at: self.start_request(now) });
        }
        self.update_degradation(now);
        started
    }

    /// Removes a queued request. Returns `false` if it isn't queued (any more).
    pub fn cancel_queued(&mut self, now: Duration, token: RequestToken) -> bool {
        let position = self.queue.iter().position(|queued| *queued == token);
        position.map(|position| self.queue.remove(position));
        self.update_degradation(now);
        position.is_some()
    }

    /// Occupies a core, and draws the time at which its request completes.
    fn start_request(&mut self, now: Duration) -> Duration {
        self.running += 1;
        let work = self.spec.service_time.draw(&mut self.rng).as_secs_f64();
        let degradation = self.spec.degradation.filter(|_| self.degraded).map_or(1.0, |d| d.factor);
        let speed = self.spec.speed.max(1e-3) * self.capacity_share(now) / (self.slowdown * degradation);
        now + Duration::from_secs_f64((work / speed).min(86_400.0))
    }

    /// Records the work of a request that is received during warm-up, and crashes the backend if that is too
    /// much.
    fn record_cold_work(&mut self, now: Duration) {
        let Some(cold) = self.spec.cold_start else { return };
        let capacity_share = self.capacity_share(now);
        if capacity_share >= 1.0 {
            return self.work_while_cold.clear();
        }
        let work = match self.spec.service_time {
            ServiceTime::Fixed(time) | ServiceTime::Exponential(time) | ServiceTime::LogNormal(time, _) => {
                time
            }
            ServiceTime::Uniform(min, max) => (min + max) / 2,
        };
        self.work_while_cold.push_back((now, work.as_secs_f64()));
        while self.work_while_cold.front().is_some_and(|(at, _)| *at + cold.overload_time < now) {
            self.work_while_cold.pop_front();
        }
        let sent: f64 = self.work_while_cold.iter().map(|(_, work)| work).sum();
        let span = cold.overload_time.as_secs_f64();
        let capacity = f64::from(self.spec.cores) * self.spec.speed * capacity_share * span;
        // A few simultaneous requests don't count as overload.
        self.crashed |= sent > cold.overload_factor * capacity
            && self.work_while_cold.len() as f64 > 2.0 * f64::from(self.spec.cores);
    }

    /// Starts or ends the degradation, by the length of the queue over time.
    fn update_degradation(&mut self, now: Duration) {
        let Some(degradation) = self.spec.degradation else { return };
        let is_overloaded =
            self.queue.len() as f64 > degradation.queued_per_core * f64::from(self.spec.cores);
        self.overloaded_since = if is_overloaded { self.overloaded_since.or(Some(now)) } else { None };
        if self.overloaded_since.is_some_and(|since| now >= since + degradation.onset) {
            self.degraded = true;
        }
        if self.queue_empty_since.is_some_and(|since| now >= since + degradation.recovery_time) {
            self.degraded = false;
        }
        self.queue_empty_since =
            if self.queue.is_empty() { self.queue_empty_since.or(Some(now)) } else { None };
    }
}

#[cfg(test)]
mod tests;
