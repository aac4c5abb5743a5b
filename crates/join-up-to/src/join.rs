//! The Join-Up-To(m) policy ("Improved Hyper-scalable Load Balancing"): the estimate of a server's queue, the
//! cap m computed from a node's own traffic, and the set of servers to draw from. Shared by all programs that
//! select a server; independent of requests and of server health.

/// The weight of a report, or of a unit of traffic, in a moving average.
const SMOOTHING: f64 = 1.0 / 8.0;
/// The decay factor of the counts of sends and idle reports at each send: a memory of some 500 sends.
const RETENTION: f64 = 0.998;

/// An upper bound on this node's part of a server's queue: its sends since the server last reported that it
/// is idle. Errors, rejections, time-outs and failed connections leave it unchanged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Estimate(u32);

impl Estimate {
    /// Counts a send to the server.
    pub fn record_send(&mut self) {
        self.0 = self.0.saturating_add(1);
    }
    /// Resets the estimate after an idle report.
    pub fn record_idle(&mut self) {
        self.0 = 0;
    }
    /// The number of sends since the last idle report.
    pub fn value(self) -> u32 {
        self.0
    }
}

/// Whether a load report shows a server as idle or busy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerActivity {
    /// The server has no request in flight.
    Idle,
    /// The server has requests in flight.
    Busy,
}

/// Statistics of a node's own traffic, from which the cap m is computed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Traffic {
    /// Sends, and idle reports that reset an estimate, both with exponential decay.
    sends: f64,
    idle_reports: f64,
    /// The fraction of reports that showed a busy server.
    busy_fraction: f64,
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic { sends: 1.0, idle_reports: 1.0, busy_fraction: 0.5 }
    }
}

impl Traffic {
    /// Counts a send to any server.
    pub fn record_send(&mut self) {
        self.sends = self.sends * RETENTION + 1.0;
        self.idle_reports *= RETENTION;
    }
    /// Counts a load report of a server whose estimate was `before` when it arrived.
    pub fn record_report(&mut self, activity: ServerActivity, before: Estimate) {
        let is_idle = activity == ServerActivity::Idle;
        self.busy_fraction += (if is_idle { 0.0 } else { 1.0 } - self.busy_fraction) * SMOOTHING / 8.0;
        if is_idle {
            self.idle_reports += if before.value() > 0 { 1.0 } else { 0.0 };
        }
    }
    /// The fraction of reports that showed a busy server, from 0 to 1.
    pub fn busy_fraction(&self) -> f64 {
        self.busy_fraction
    }
    /// The cap m of Theorem 6 of the paper, for exponential job sizes; at least 1. The paper's lambda / delta
    /// is the number of sends per idle report, its lambda the fraction of reports that showed a busy server.
    pub fn cap(&self) -> u32 {
        let sends_per_idle_report = self.sends / self.idle_reports.max(1e-6);
        let half =
            0.5 + sends_per_idle_report * (1.0 - self.busy_fraction) / self.busy_fraction.max(SMOOTHING);
        let best = ((half * half + 2.0 * sends_per_idle_report).sqrt() - half).ceil();
        best.min(sends_per_idle_report.floor()).max(1.0) as u32
    }
}

/// The candidates with the lowest estimate if that is strictly below `cap`; the caller draws one of them at
/// random. `None` if every estimate has reached `cap`: the caller then draws one of all candidates at random.
pub fn lowest_below<T: Copy>(candidates: &[T], estimate: impl Fn(&T) -> f64, cap: u32) -> Option<Vec<T>> {
    let lowest = candidates.iter().map(&estimate).min_by(f64::total_cmp).filter(|l| *l < f64::from(cap))?;
    Some(candidates.iter().copied().filter(|one| estimate(one) == lowest).collect())
}
