//! The results of a simulation.

/// The results of one second of a simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondTally {
    /// Requests that clients sent for the first time in this second.
    pub offered: u32,
    /// Those of them that were served within the latency target, counted from the first send.
    pub in_time: u32,
    /// Requests, including client retries, that were rejected in this second without an attempt.
    pub rejected_unsent: u32,
    /// Attempts that were sent.
    pub attempts: u32,
    /// Connections that were opened.
    pub connections_opened: u32,
    /// The mean number of attempts in flight per backend at the end of the second.
    pub mean_in_flight: f64,
    /// Backends that were degraded by overload at the end of the second.
    pub overloaded: u32,
}

/// The results of a class of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassTally {
    /// Requests that were served within the latency target.
    pub in_time: u64,
    /// All requests, without client retries.
    pub offered: u64,
}

/// The results of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    /// Requests, without client retries.
    pub offered: u64,
    /// Requests that were served within the latency target.
    pub in_time: u64,
    /// Requests that were served later.
    pub late: u64,
    /// Requests whose last retry was rejected.
    pub rejected: u64,
    /// Requests whose last retry failed.
    pub failed: u64,
    /// The total value of the requests that were served in time.
    pub value_in_time: f64,
    /// The total value of all requests.
    pub value_offered: f64,
    /// The results by class.
    pub by_class: Vec<ClassTally>,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Connections that were opened.
    pub connections_opened: u64,
    /// The maximum number of simultaneously open connections.
    pub max_open_connections: u64,
    /// Connections that backends refused.
    pub refused_connections: u64,
    /// Backends that were degraded by overload at some time.
    pub overloaded: u64,
    /// The results by second.
    pub seconds: Vec<SecondTally>,
}

impl Tally {
    /// The fraction of the offered value that was served in time.
    pub fn served(&self) -> f64 {
        self.value_in_time / self.value_offered.max(1e-9)
    }

    /// Of the requests that arrived from one second to another, exclusive, the fraction that was served in
    /// time.
    pub fn in_time_between(&self, from: usize, to: usize) -> f64 {
        let span = &self.seconds[from.min(self.seconds.len())..to.min(self.seconds.len())];
        let sum = |of: fn(&SecondTally) -> u32| span.iter().map(|s| u64::from(of(s))).sum::<u64>() as f64;
        sum(|second| second.in_time) / sum(|second| second.offered).max(1.0)
    }
}
