//! The state that a node keeps of a server.

use super::token_bucket::TokenBucket;
use crate::interface::ServerEntry;
use crate::join::Estimate;
use std::time::Duration;

/// The state that a node keeps of a server.
#[derive(Default)]
pub struct Server {
    pub entry: ServerEntry,
    /// The random rank among the ready servers, kept as long as updates of the list contain the server.
    pub rank: Option<u32>,
    /// The estimate of Join-Up-To(m): this node's sends since the last idle report.
    pub estimate: Estimate,
    pub last_idle_report_at: Option<Duration>,
    /// This node's attempts in flight, and the time of the last response or, if later, of the first of these
    /// sends.
    pub in_flight: u32,
    pub no_response_since: Duration,
    pub load: Option<ReportedLoad>,
    /// Whether a probe is in flight.
    pub is_probed: bool,
    /// Moving average of failed attempts, from 0 to 1.
    pub failure_rate: f64,
    /// The end of the ejection. Afterwards the server gets one request at a time until one is served.
    pub ejected_until: Option<Duration>,
    /// The cost that may still be sent to it in slow start, relative to the average cost of a request.
    pub slow_start_credit: TokenBucket,
    /// The capacity, if provided from outside.
    pub capacity: Option<Capacity>,
    /// The logarithm of its learned capacity relative to the mean: the sum of the log weight of its machine
    /// kind and of its own deviation from that, `log_deviation`.
    pub log_weight: f64,
    pub log_deviation: f64,
}

#[derive(Clone, Copy)]
pub struct ReportedLoad {
    /// Requests in flight or queued at the server, plus this node's sends since the report.
    pub requests: f64,
    /// When it was reported.
    pub at: Duration,
}

/// The capacity of a server, if provided from outside.
#[derive(Clone, Copy)]
pub struct Capacity {
    /// The maximum of this node's attempts in flight.
    pub max_in_flight: u32,
    /// Relative to the mean of all servers.
    pub relative: f64,
}

impl Server {
    /// Records a send. `credit` is the slow-start credit left after it.
    pub fn record_send(&mut self, now: Duration, credit: TokenBucket) {
        if self.in_flight == 0 {
            self.no_response_since = now;
        }
        (self.slow_start_credit, self.in_flight) = (credit, self.in_flight + 1);
        self.estimate.record_send();
        self.load = self.load.map(|load| ReportedLoad { requests: load.requests + 1.0, ..load });
    }
    /// Its capacity relative to the mean; 1 unless another one is provided or learned.
    pub fn relative_capacity(&self) -> f64 {
        self.capacity.map_or_else(|| self.log_weight.exp(), |capacity| capacity.relative)
    }
    /// Whether it has fewer attempts in flight than its provided maximum; always if none is provided.
    pub fn has_capacity(&self) -> bool {
        self.capacity.is_none_or(|capacity| self.in_flight < capacity.max_in_flight)
    }
    /// Whether attempts are in flight and there was no response for longer than `for_s` seconds.
    pub fn is_unresponsive(&self, now: Duration, for_s: f64) -> bool {
        self.in_flight > 0 && now.saturating_sub(self.no_response_since).as_secs_f64() > for_s
    }
}
