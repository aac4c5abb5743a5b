//! The result of a surge: counts and sums.

use admission_control::limit::LimitChange;
use hdrhistogram::Histogram;
use std::time::Duration;

/// The longest latency that is distinguished, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// The result of a stream of requests.
#[derive(Clone, Debug)]
pub struct StreamTally {
    /// Requests, each counted once however often its client retried.
    pub arrived: u64,
    /// Requests that were served in time.
    pub served: u64,
    /// Rejections: a client that retries may have had several.
    pub rejections: u64,
    /// The longest time from the arrival of a request to its rejection.
    pub slowest_rejection: Duration,
    /// Requests whose last response was a rejection.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// The work of served requests, in seconds of a core of speed 1.
    pub work: f64,
    /// The time from a served request's first arrival to its response, in microseconds.
    pub latency: Histogram<u64>,
}

impl Default for StreamTally {
    fn default() -> Self {
        // The library accepts these bounds and digits in every case.
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
            .unwrap_or_else(|_| Histogram::new_from(&empty_histogram()));
        StreamTally {
            arrived: 0,
            served: 0,
            rejections: 0,
            slowest_rejection: Duration::ZERO,
            rejected: 0,
            failed: 0,
            work: 0.0,
            latency,
        }
    }
}

fn empty_histogram() -> Histogram<u64> {
    Histogram::new(3).unwrap_or_else(|e| unreachable!("three digits are valid: {e}"))
}

/// The attempts at a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendTally {
    /// Attempts that it started.
    pub started: u64,
    /// The maximum number of its requests in flight.
    pub max_in_flight: u32,
}

/// A change of a limit, with its evidence.
#[derive(Clone, Debug)]
pub struct NodeLimitChange {
    /// The number of the node.
    pub node: usize,
    /// The number of the backend.
    pub backend: u64,
    /// The change.
    pub change: LimitChange,
}

/// The result of a surge.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// By stream.
    pub streams: Vec<StreamTally>,
    /// Served requests in each second.
    pub served_by_second: Vec<u64>,
    /// By backend.
    pub backends: Vec<BackendTally>,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Attempts that were sent beyond the first of their request.
    pub additional_attempts: u64,
    /// Violations of the rules: a second response to a request, a late one, a rejection of a request that may have been
    /// executed and must not be repeated, an attempt too many.
    pub violations: Vec<String>,
    /// The brownout level at the end, the highest of all nodes.
    pub brownout_level: usize,
    /// How often a node's brownout level changed.
    pub brownout_changes: u64,
    /// Each change of a limit.
    pub limit_changes: Vec<NodeLimitChange>,
    /// The number of changes of limits, as the gates count them.
    pub limit_change_count: usize,
    /// The limits at the end by backend, of all nodes together.
    pub limits: Vec<f64>,
}

impl Tally {
    /// Served requests per second, between two seconds of the simulation.
    pub fn goodput(&self, from: usize, to: usize) -> f64 {
        let served: u64 = self.served_by_second.iter().skip(from).take(to - from).sum();
        served as f64 / (to - from).max(1) as f64
    }

    /// The difference between the highest and the lowest rate of served requests between two seconds, as a fraction of
    /// the mean.
    pub fn swing(&self, from: usize, to: usize) -> f64 {
        let rates = self.served_by_second.iter().skip(from).take(to - from);
        let (lowest, highest) =
            rates.fold((u64::MAX, 0), |(lowest, highest), rate| (lowest.min(*rate), highest.max(*rate)));
        (highest - lowest.min(highest)) as f64 / self.goodput(from, to).max(1.0)
    }
}

/// Jain's index of fairness: 1 where all have the same, 1/n where one has everything.
pub fn jain_index(parts: &[f64]) -> f64 {
    let (sum, squares) = parts.iter().fold((0.0, 0.0), |(sum, squares), x| (sum + x, squares + x * x));
    if squares > 0.0 { sum * sum / (parts.len() as f64 * squares) } else { 1.0 }
}
