//! The record of a run: outcomes by class, backend and second, latencies from due times, and service times.
//! Each thread has its own record; they are merged at the end.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// The largest time that histograms distinguish, in microseconds: one hour. Longer times count as this.
const MAX_US: u64 = 3_600_000_000;

/// The outcome of a request, or of one attempt of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A response with a status below 400.
    Served,
    /// A response with status 429 or 503.
    Rejected,
    /// A response with any other status.
    Failed,
    /// No complete response: the connect failed, the connection broke, or the client timed out.
    Lost,
    /// The generator could not send: no file descriptor, no local port, or no free connection in time.
    Unsent,
}

impl Outcome {
    /// All outcomes in the order of reports.
    pub const ALL: [Outcome; 5] =
        [Outcome::Served, Outcome::Rejected, Outcome::Failed, Outcome::Lost, Outcome::Unsent];

    /// The name in reports. Stored reports have these names, so they don't follow those of the variants.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Served => "served",
            Outcome::Rejected => "refused",
            Outcome::Failed => "failed",
            Outcome::Lost => "lost",
            Outcome::Unsent => "unsent",
        }
    }
}

/// The precision of a histogram in significant digits: 2 for 1%, 3 for 0.1%.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Precision {
    Percent = 2,
    PerMille = 3,
}

/// An empty histogram of microseconds.
#[expect(clippy::expect_used, reason = "the bounds are constants, and a precision has at most 5 digits")]
fn histogram(precision: Precision) -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_US, precision as u8).expect("valid bounds and digits")
}

fn micros(time: Duration) -> u64 {
    time.as_micros().clamp(1, u128::from(MAX_US)) as u64
}

/// The outcomes and latencies of a set of requests.
#[derive(Clone, Debug)]
pub struct RequestStatistics {
    /// The number of requests by outcome, in the order of [`Outcome::ALL`].
    pub outcomes: [u64; 5],
    /// The latencies of served requests in microseconds, from the due time to the end of the last attempt.
    pub latency: Histogram<u64>,
}

impl RequestStatistics {
    fn new(precision: Precision) -> Self {
        RequestStatistics { outcomes: [0; 5], latency: histogram(precision) }
    }
    fn record(&mut self, outcome: Outcome, latency: Duration) {
        self.outcomes[outcome as usize] += 1;
        if outcome == Outcome::Served {
            self.latency.saturating_record(micros(latency));
        }
    }
    fn merge(&mut self, other: &RequestStatistics) {
        for (mine, theirs) in self.outcomes.iter_mut().zip(other.outcomes) {
            *mine += theirs;
        }
        // Can't fail: both have the same bounds.
        let _ = self.latency.add(&other.latency);
    }
    /// The number of requests of any outcome.
    pub fn count(&self) -> u64 {
        self.outcomes.iter().sum()
    }
}

/// Whether an attempt is the first of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt.
    First,
    /// A later attempt.
    Retry,
}

/// The record of a run, or of one thread of it.
#[derive(Clone, Debug)]
pub struct Record {
    /// The statistics of all requests.
    pub all: RequestStatistics,
    /// The statistics by class, in the order of the plan.
    pub classes: Vec<RequestStatistics>,
    /// The statistics by backend, of requests whose last response named one in `X-Served-By`.
    pub backends: BTreeMap<String, RequestStatistics>,
    /// The statistics by the second in which requests were due.
    pub seconds: Vec<RequestStatistics>,
    /// The times from sending an attempt to its response, of served attempts in microseconds: what a closed
    /// loop measures.
    pub service_time: Histogram<u64>,
    /// How late each first attempt was sent after its due time, in microseconds.
    pub lag: Histogram<u64>,
    /// The number of attempts, including retries.
    pub attempts: u64,
    /// How often an attempt had to wait for a free connection.
    pub connection_waits: u64,
    /// The errors that prevented the generator from sending, with their counts.
    pub generator_errors: BTreeMap<String, u64>,
    /// When the last first attempt was sent, since the start of the run.
    pub last_sent_at: Duration,
}

/// The number of seconds that are kept; later requests count in the last of them. Bounds the memory of runs
/// that last for days.
const MAX_SECONDS: usize = 24 * 3600;

impl Record {
    /// An empty record for this number of classes.
    pub fn new(classes: usize) -> Self {
        Record {
            all: RequestStatistics::new(Precision::PerMille),
            classes: vec![RequestStatistics::new(Precision::PerMille); classes],
            backends: BTreeMap::new(),
            seconds: Vec::new(),
            service_time: histogram(Precision::PerMille),
            lag: histogram(Precision::PerMille),
            attempts: 0,
            connection_waits: 0,
            generator_errors: BTreeMap::new(),
            last_sent_at: Duration::ZERO,
        }
    }

    /// Records that an attempt was sent at a time since the start of the run, `lag` after it was due.
    pub fn record_sent(&mut self, lag: Duration, kind: AttemptKind, at: Duration) {
        self.attempts += 1;
        if kind == AttemptKind::First {
            self.lag.saturating_record(micros(lag));
            self.last_sent_at = self.last_sent_at.max(at);
        }
    }

    /// Records the time from sending to response of a served attempt.
    pub fn record_service_time(&mut self, time: Duration) {
        self.service_time.saturating_record(micros(time));
    }

    /// Records the final outcome of a request: its class, the backend of its last response, its due time, and
    /// its latency from there.
    pub fn record_request(
        &mut self,
        class: usize,
        backend: Option<&str>,
        due: Duration,
        latency: Duration,
        outcome: Outcome,
    ) {
        self.all.record(outcome, latency);
        if let Some(class) = self.classes.get_mut(class) {
            class.record(outcome, latency);
        }
        if let Some(backend) = backend {
            if !self.backends.contains_key(backend) {
                self.backends.insert(backend.to_string(), RequestStatistics::new(Precision::PerMille));
            }
            if let Some(statistics) = self.backends.get_mut(backend) {
                statistics.record(outcome, latency);
            }
        }
        let second = (due.as_secs() as usize).min(MAX_SECONDS - 1);
        while self.seconds.len() <= second {
            self.seconds.push(RequestStatistics::new(Precision::Percent));
        }
        self.seconds[second].record(outcome, latency);
    }

    /// Records that the generator could not send, with the reason.
    pub fn record_generator_error(&mut self, reason: &str) {
        *self.generator_errors.entry(reason.to_string()).or_default() += 1;
    }

    /// Adds the record of another thread.
    pub fn merge(&mut self, other: &Record) {
        self.all.merge(&other.all);
        for (mine, theirs) in self.classes.iter_mut().zip(&other.classes) {
            mine.merge(theirs);
        }
        for (name, theirs) in &other.backends {
            self.backends
                .entry(name.clone())
                .or_insert_with(|| RequestStatistics::new(Precision::PerMille))
                .merge(theirs);
        }
        while self.seconds.len() < other.seconds.len() {
            self.seconds.push(RequestStatistics::new(Precision::Percent));
        }
        for (mine, theirs) in self.seconds.iter_mut().zip(&other.seconds) {
            mine.merge(theirs);
        }
        let _ = (self.service_time.add(&other.service_time), self.lag.add(&other.lag));
        self.attempts += other.attempts;
        self.connection_waits += other.connection_waits;
        self.last_sent_at = self.last_sent_at.max(other.last_sent_at);
        for (reason, count) in &other.generator_errors {
            *self.generator_errors.entry(reason.clone()).or_default() += count;
        }
    }
}

#[cfg(test)]
mod tests;
