//! Inheritance of settings: a route overrides its class, which overrides `[defaults]`, which overrides the
//! built-in defaults. Each resolved value records the level and the position where it is set.

use crate::model::{Fallback, HedgingRule, Located, Queue, RequestSettings, Span, TenantRate, UpgradeRule};
use join_up_to::{Backoff, RetryBudget, RetryOn};
use std::fmt;
use std::time::Duration;

/// Where a value is set; a greater level overrides a lesser one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Nowhere in the file: the value is the built-in default.
    BuiltIn,
    /// In `[defaults]`.
    Defaults,
    /// In the class.
    Class,
    /// In the route.
    Route,
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Level::BuiltIn => "built in",
            Level::Defaults => "defaults",
            Level::Class => "class",
            Level::Route => "route",
        })
    }
}

/// A value after inheritance, and where it is set.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedValue<T> {
    /// The value.
    pub value: T,
    /// The level that sets it.
    pub level: Level,
    /// The position of the value; `None` for a built-in default.
    pub span: Option<Span>,
}

/// The settings of a class or route after inheritance.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the fields are those of `RequestSettings`")]
pub struct ResolvedSettings {
    pub timeout: ResolvedValue<Duration>,
    pub latency_target: ResolvedValue<Option<Duration>>,
    pub late_value: ResolvedValue<f64>,
    pub priority_weight: ResolvedValue<f64>,
    pub client_timeout: ResolvedValue<Option<Duration>>,
    pub max_attempts: ResolvedValue<u32>,
    pub attempt_timeout: ResolvedValue<Option<Duration>>,
    pub connect_timeout: ResolvedValue<Duration>,
    pub retry_on: ResolvedValue<RetryOn>,
    pub backoff: ResolvedValue<Option<Backoff>>,
    pub hedging: ResolvedValue<Option<HedgingRule>>,
    pub retry_budget: ResolvedValue<RetryBudget>,
    pub max_in_flight: ResolvedValue<Option<u32>>,
    pub queue: ResolvedValue<Option<Queue>>,
    pub tenant_rate: ResolvedValue<Option<TenantRate>>,
    pub retry_after: ResolvedValue<Duration>,
    pub max_queue_time: ResolvedValue<Option<Duration>>,
    pub fallback: ResolvedValue<Option<Fallback>>,
    pub upgrade: ResolvedValue<Option<UpgradeRule>>,
    pub max_stream_gap: ResolvedValue<Duration>,
    pub max_stream_duration: ResolvedValue<Option<Duration>>,
    pub stream_flush_delay: ResolvedValue<Duration>,
    pub replay_limit: ResolvedValue<u64>,
}

/// The built-in defaults. They allow a retry only after an attempt that was certainly not executed, so they
/// are valid for every class.
pub mod built_in {
    use super::*;
    use crate::model::LimitRule;

    /// The timeout of a request.
    pub const TIMEOUT: Duration = Duration::from_secs(5);
    /// The maximum number of attempts of a request.
    pub const ATTEMPTS: u32 = 3;
    /// The timeout for opening a connection; half of the attempt's timeout if that is shorter.
    pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
    /// The minimum `Retry-After` of a rejection.
    pub const RETRY_AFTER: Duration = Duration::from_secs(1);
    /// The outcomes after which a retry is allowed.
    pub const RETRY_ON: RetryOn = RetryOn { never_ran: true, error: false, reset: false, timed_out: false };
    /// The retry budget of a class: 20% of requests as is usual, and one retry per second for classes with
    /// little traffic.
    pub const RETRY_BUDGET: RetryBudget = RetryBudget { share: 0.2, per_s: 1.0 };
    /// The retry budget over all clusters, whatever the budgets of their classes add up to.
    pub const NODE_RETRY_BUDGET: RetryBudget = RetryBudget { share: 0.2, per_s: 10.0 };
    /// The idle timeout of a connection after a protocol upgrade: without a byte for so long, one side has
    /// disappeared.
    pub const TUNNEL_IDLE: Duration = Duration::from_secs(60);
    /// The maximum gap within a streamed response: a backend that sends no byte for so long has stopped.
    pub const MAX_STREAM_GAP: Duration = Duration::from_secs(10);
    /// The pause in a response after which the bytes received so far are forwarded. A backend that has the
    /// complete response writes it without such a pause; one that generates it does not.
    pub const STREAM_FLUSH_DELAY: Duration = Duration::from_millis(10);
    /// The maximum size in bytes of a request body that is buffered for retries. Nearly all bodies are
    /// smaller, and each takes little memory.
    pub const REPLAY_LIMIT: u64 = 64 << 10;
    /// How long responses in progress may continue after a shutdown has begun.
    pub const STREAM_END: Duration = Duration::from_secs(30);
    /// The limit of requests in flight at a backend. The initial value is high enough for a backend that
    /// serves many requests at once to show that within a second, and low enough for one with a single core
    /// to catch up with.
    pub const LIMIT: LimitRule = LimitRule::Adaptive { initial: 16.0, min: 2.0, max: 10_000.0 };
}

/// The levels from which the settings of a class or a route are resolved, in ascending order of precedence.
pub struct Levels<'a>(pub Vec<(Level, &'a RequestSettings)>);

impl Levels<'_> {
    fn find<T: Clone>(
        &self,
        get: impl Fn(&RequestSettings) -> &Option<Located<T>>,
    ) -> Option<ResolvedValue<T>> {
        self.0.iter().rev().find_map(|(level, settings)| {
            let Located { value, span } = get(settings).as_ref()?;
            Some(ResolvedValue { value: value.clone(), level: *level, span: Some(span.clone()) })
        })
    }

    fn with_default<T: Clone>(
        &self,
        get: impl Fn(&RequestSettings) -> &Option<Located<T>>,
        built_in: T,
    ) -> ResolvedValue<T> {
        self.find(get).unwrap_or(ResolvedValue { value: built_in, level: Level::BuiltIn, span: None })
    }

    fn optional<T: Clone>(
        &self,
        get: impl Fn(&RequestSettings) -> &Option<Located<T>>,
    ) -> ResolvedValue<Option<T>> {
        match self.find(get) {
            Some(ResolvedValue { value, level, span }) => ResolvedValue { value: Some(value), level, span },
            None => ResolvedValue { value: None, level: Level::BuiltIn, span: None },
        }
    }

    /// Resolves every setting.
    pub fn resolve(&self) -> ResolvedSettings {
        let timeout = self.with_default(|s| &s.timeout, built_in::TIMEOUT);
        let attempt_timeout = self.optional(|s| &s.attempt_timeout);
        let connect = built_in::CONNECT_TIMEOUT.min(attempt_timeout.value.unwrap_or(timeout.value) / 2);
        ResolvedSettings {
            latency_target: self.optional(|s| &s.latency_target),
            late_value: self.with_default(|s| &s.late_value, 1.0),
            priority_weight: self.with_default(|s| &s.priority_weight, 1.0),
            client_timeout: self.optional(|s| &s.client_timeout),
            max_attempts: self.with_default(|s| &s.max_attempts, built_in::ATTEMPTS),
            connect_timeout: self.with_default(|s| &s.connect_timeout, connect),
            retry_on: self.with_default(|s| &s.retry_on, built_in::RETRY_ON),
            backoff: self.with_default(|s| &s.backoff, None),
            hedging: self.with_default(|s| &s.hedging, None),
            retry_budget: self.with_default(|s| &s.retry_budget, built_in::RETRY_BUDGET),
            max_in_flight: self.with_default(|s| &s.max_in_flight, None),
            queue: self.with_default(|s| &s.queue, None),
            tenant_rate: self.with_default(|s| &s.tenant_rate, None),
            retry_after: self.with_default(|s| &s.retry_after, built_in::RETRY_AFTER),
            max_queue_time: self.optional(|s| &s.max_queue_time),
            fallback: self.with_default(|s| &s.fallback, None),
            upgrade: self.with_default(|s| &s.upgrade, None),
            max_stream_gap: self.with_default(|s| &s.max_stream_gap, built_in::MAX_STREAM_GAP),
            max_stream_duration: self.with_default(|s| &s.max_stream_duration, None),
            stream_flush_delay: self.with_default(|s| &s.stream_flush_delay, built_in::STREAM_FLUSH_DELAY),
            replay_limit: self.with_default(|s| &s.replay_limit, built_in::REPLAY_LIMIT),
            timeout,
            attempt_timeout,
        }
    }
}

impl ResolvedSettings {
    /// The time after which the balancer ends a request: its timeout, or its latency target if a later
    /// response has no value.
    pub fn deadline(&self) -> Duration {
        let latency_target = self.latency_target.value.filter(|_| self.late_value.value == 0.0);
        latency_target.unwrap_or(self.timeout.value).min(self.timeout.value)
    }

    /// The maximum duration of an attempt: its own timeout, but at most the deadline of the request.
    pub fn max_attempt_duration(&self) -> Duration {
        self.attempt_timeout.value.unwrap_or(self.deadline()).min(self.deadline())
    }

    /// The maximum sum of all back-offs before an attempt; the first attempt is number 0.
    pub fn backoffs_before(&self, attempt: u32) -> Duration {
        let Some(backoff) = self.backoff.value else { return Duration::ZERO };
        (1..=attempt).map(|n| backoff.max_delay_after(n)).fold(Duration::ZERO, Duration::saturating_add)
    }

    /// The latest start of an attempt, if each one before it takes its maximum duration and is retried; the
    /// first attempt is number 0. If only attempts that were certainly not executed are retried, each of
    /// those ends within the connect timeout.
    pub fn latest_start(&self, attempt: u32) -> Duration {
        let one = match self.retry_on.value.may_have_run() {
            true => self.max_attempt_duration(),
            false => self.connect_timeout.value,
        };
        one.saturating_mul(attempt).saturating_add(self.backoffs_before(attempt))
    }
}
