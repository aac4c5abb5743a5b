//! The results of a simulation.

use admission_control::limit::LimitChange;
use hdrhistogram::Histogram;
use std::time::Duration;

/// The largest latency that histograms distinguish, in microseconds: ten minutes.
const MAX_LATENCY_US: u64 = 600_000_000;

/// The results of a stream of requests.
#[derive(Clone, Debug)]
pub struct StreamTally {
    /// The number of requests, without retries.
    pub arrived: u64,
    /// The number of requests that were served.
    pub served: u64,
    /// The number of rejections, including those of retries.
    pub rejections: u64,
    /// The longest time from the arrival of a request to its rejection.
    pub slowest_rejection: Duration,
    /// The number of requests whose last response was a rejection.
    pub rejected: u64,
    /// The number of requests that failed.
    pub failed: u64,
    /// The sum of the mean service times of served requests, in seconds on a core of speed 1.
    pub work: f64,
    /// The times from the first arrival to the response of served requests, in microseconds.
    pub latency: Histogram<u64>,
}

impl Default for StreamTally {
    fn default() -> Self {
        // Never fails for these bounds and digits.
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

/// The results of a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendTally {
    /// The number of attempts that it started.
    pub started: u64,
    /// The maximum number of running and queued attempts.
    pub max_in_flight: u32,
}

/// A change of a node's concurrency limit for a backend.
#[derive(Clone, Debug)]
pub struct NodeLimitChange {
    /// The index of the node.
    pub node: usize,
    /// The index of the backend.
    pub backend: u64,
    /// The change with its reason.
    pub change: LimitChange,
}

/// The results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// The results by stream.
    pub streams: Vec<StreamTally>,
    /// The number of served requests by second.
    pub served_by_second: Vec<u64>,
    /// The results by backend.
    pub backends: Vec<BackendTally>,
    /// The number of attempts, including the first of each request.
    pub attempts: u64,
    /// The number of attempts after the first of their request.
    pub additional_attempts: u64,
    /// Violations of the rules: a second response to a request, no response, a late response, a rejection of
    /// an unrepeatable request that may have been executed, or a repeated attempt of an unsafe request.
    pub violations: Vec<String>,
    /// The highest brownout level of all nodes at the end.
    pub brownout_level: usize,
    /// The number of changes of the nodes' brownout levels.
    pub brownout_changes: u64,
    /// All changes of limits.
    pub limit_changes: Vec<NodeLimitChange>,
    /// The number of changes of limits that the gates have counted.
    pub limit_change_count: usize,
    /// The limits by backend at the end, summed over all nodes.
    pub limits: Vec<f64>,
}

impl Tally {
    /// The mean number of served requests per second from one second of the simulation to another, exclusive.
    pub fn goodput(&self, from: usize, to: usize) -> f64 {
        let served: u64 = self.served_by_second.iter().skip(from).take(to - from).sum();
        served as f64 / (to - from).max(1) as f64
    }

    /// The difference between the highest and the lowest number of served requests per second in a range of
    /// seconds, relative to the mean.
    pub fn swing(&self, from: usize, to: usize) -> f64 {
        let rates = self.served_by_second.iter().skip(from).take(to - from);
        let (lowest, highest) =
            rates.fold((u64::MAX, 0), |(lowest, highest), rate| (lowest.min(*rate), highest.max(*rate)));
        (highest - lowest.min(highest)) as f64 / self.goodput(from, to).max(1.0)
    }
}

/// Jain's fairness index: 1 if all parts are equal, 1/n if one has everything.
pub fn jain_index(parts: &[f64]) -> f64 {
    let (sum, squares) = parts.iter().fold((0.0, 0.0), |(sum, squares), x| (sum + x, squares + x * x));
    if squares > 0.0 { sum * sum / (parts.len() as f64 * squares) } else { 1.0 }
}
