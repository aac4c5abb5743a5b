//! Classes of requests: the value of their responses, whether they may be repeated, and their attempt policy.

use super::outcome::Outcome;
use std::time::Duration;

/// Requests with the same value, deadline and attempt policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A response within this time has its full value.
    pub latency_target: Duration,
    /// The latency target is extended by this multiple of the request's cost, up to the deadline.
    pub latency_target_stretch: f64,
    /// How long a client waits in total, including all its retries.
    pub deadline: Duration,
    /// The value of a response within the latency target, relative to other classes.
    pub value: f64,
    /// The fraction of the value that a response after the latency target still has.
    pub late_value: f64,
    /// Whether a request may be repeated once it may have been executed.
    pub repeat: Repeat,
    /// Whether responses are streamed; each then causes an [`Event::Started`](super::Event::Started).
    pub streamed: bool,
    /// Time-outs, retries and hedging, where these are not left to the balancer.
    pub attempt_policy: AttemptPolicy,
}

/// Time-outs, retries and hedging of a class. The default leaves them to the balancer and the site's
/// [`Limits`](super::Limits). No setting here relaxes a rule: [`Repeat`] and the deadline always apply.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptPolicy {
    /// The maximum number of attempts of a request, hedged ones included; `None` for that of
    /// [`Limits`](super::Limits).
    pub max_attempts: Option<u32>,
    /// The maximum duration of an attempt; `None` for the remaining time of the request.
    pub attempt_timeout: Option<Duration>,
    /// The outcomes after which a retry is allowed.
    pub retry_on: RetryOn,
    /// The wait before a retry; `None` for none.
    pub backoff: Option<Backoff>,
    /// Whether and when another attempt is sent while one is in flight.
    pub hedging: Hedging,
    /// The retry budget; `None` for the one shared by all classes without a budget of their own.
    pub retry_budget: Option<RetryBudget>,
    /// How long a rejected client is asked to wait; `None` for the time in [`Limits`](super::Limits).
    pub retry_after: Option<Duration>,
}

/// The outcomes after which a retry is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryOn {
    /// The request was certainly not executed: [`Outcome::never_ran`].
    pub never_ran: bool,
    /// The server responded with an error; the request may have been executed.
    pub error: bool,
    /// The connection was lost, so the request may have been executed.
    pub reset: bool,
    /// The attempt timed out; the request may have been executed.
    pub timed_out: bool,
}

impl Default for RetryOn {
    /// Retries are allowed after each of these outcomes.
    fn default() -> Self {
        RetryOn { never_ran: true, error: true, reset: true, timed_out: true }
    }
}

impl RetryOn {
    /// Whether a retry is allowed after any outcome that leaves open whether the request was executed.
    pub fn may_have_run(self) -> bool {
        self.error || self.reset || self.timed_out
    }

    /// Whether a retry is allowed after this outcome.
    pub fn allows(self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Error => self.error,
            Outcome::Reset => self.reset,
            Outcome::TimedOut => self.timed_out,
            outcome => !outcome.never_ran() || self.never_ran,
        }
    }
}

/// The wait before a retry: exponential backoff with jitter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backoff {
    /// The wait before the second attempt; doubled before each further one.
    pub initial: Duration,
    /// The upper bound of the wait, before jitter is applied.
    pub max: Duration,
    /// The maximum random reduction of the wait, as a fraction of it from 0 to 1.
    pub jitter: f64,
}

impl Backoff {
    /// The wait after this number of attempts, which is at least one, before jitter is applied.
    pub fn max_delay_after(&self, attempts: u32) -> Duration {
        let factor = 1u32.checked_shl(attempts.saturating_sub(1)).unwrap_or(u32::MAX);
        self.initial.saturating_mul(factor).min(self.max)
    }
}

/// When a hedged attempt is sent, that is, another attempt while one is in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Hedging {
    /// Decided by the balancer, if [`Limits`](super::Limits) permit two attempts at once.
    #[default]
    Automatic,
    /// Attempts follow each other: no second attempt while one is in flight.
    Never,
    /// A fixed time after the previous attempt, if that is still in flight.
    After {
        /// The time from one attempt to the next.
        delay: Duration,
        /// The maximum number of hedged attempts of a request.
        max_per_request: u32,
        /// The maximum number of hedged attempts, as a fraction of the class's requests.
        max_fraction: f64,
    },
}

/// A retry budget, which limits retries over all requests of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries as a fraction of the class's requests.
    pub share: f64,
    /// Retries per second that are allowed in addition, independent of the traffic.
    pub per_s: f64,
}

/// Whether a request may be repeated once an attempt may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Idempotent: it may be repeated without restriction.
    Safe,
    /// Servers deduplicate requests by a key, within a group of servers and a time window.
    Keyed {
        /// The servers that deduplicate each other's requests.
        scope: Scope,
        /// How long they remember a key, from the start of the first attempt that may have been executed.
        window: Duration,
    },
    /// The request must never be executed twice.
    Unsafe,
}

/// The group of servers that deduplicates keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All servers deduplicate each other's requests.
    All,
    /// Servers of the same zone deduplicate each other's requests.
    Zone,
    /// Servers of the same cell deduplicate each other's requests.
    Cell,
}
