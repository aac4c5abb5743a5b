//! Checks the settings of a class or a route against each other, so that no sequence of attempts and outcomes
//! can break a rule.

use crate::diagnostic::{Code, Diagnostic, Report};
use crate::model::{Class, File, Span};
use crate::resolve::{ResolvedSettings, ResolvedValue};
use join_up_to::Repeat;
use std::time::Duration;
use units::format_duration;

/// The position of a value, or that of the class's name if the value is a built-in default.
pub(super) fn span_of<T>(value: &ResolvedValue<T>, class: &Class) -> Span {
    value.span.clone().unwrap_or_else(|| class.name.span.clone())
}

/// Checks the settings of a class or a route.
pub(super) fn request_settings(file: &File, class: &Class, settings: &ResolvedSettings, report: &mut Report) {
    let mut check = SettingsCheck { file, class, settings, report };
    check.unsafe_retries();
    check.hedging();
    check.key_window();
    check.attempts();
    check.client_timeout();
    check.connect_timeout();
    check.budget();
    check.latency_target();
    check.tenant_rates();
    check.max_queue_time();
    check.fallback();
    check.upgrade();
    check.stream_limits();
    check.queue();
}

/// The check of the resolved settings of a class or of one of its routes.
struct SettingsCheck<'a> {
    file: &'a File,
    class: &'a Class,
    settings: &'a ResolvedSettings,
    report: &'a mut Report,
}

impl SettingsCheck<'_> {
    /// Reports an error, with an optional related position and its label.
    fn report_error(
        &mut self,
        code: Code,
        span: Span,
        message: String,
        help: String,
        related: Option<(Span, &str)>,
    ) {
        let diagnostic = Diagnostic::new(code, span, message, help);
        self.report.push(match related {
            Some((span, what)) => diagnostic.with_related(span, what),
            None => diagnostic,
        });
    }

    /// The position to report for a value.
    fn span_of<T>(&self, value: &ResolvedValue<T>) -> Span {
        span_of(value, self.class)
    }

    /// Whether a request may have more than one attempt.
    fn allows_retries(&self) -> bool {
        self.settings.max_attempts.value > 1
    }

    /// An unsafe request must not be retried after an attempt that may have been executed.
    fn unsafe_retries(&mut self) {
        let class = self.class;
        let settings = self.settings;
        let name = &self.class.name.value;
        if self.class.repeat.value == Repeat::Unsafe
            && self.allows_retries()
            && settings.retry_on.value.may_have_run()
        {
            self.report_error(
                Code::UnsafeRetried,
                self.span_of(&settings.retry_on),
                format!(
                    "class `{name}` is unsafe, but allows retries after an attempt that may have been \
                 executed"
                ),
                "set `retry-on = [\"never-ran\"]` or `attempts = 1`".into(),
                Some((class.repeat.span.clone(), "unsafe: must not be executed twice")),
            );
        }
    }

    /// Hedged requests must be sent while the previous attempt is in progress, count as attempts, and are not
    /// allowed for an unsafe class.
    fn hedging(&mut self) {
        let class = self.class;
        let settings = self.settings;
        let name = &self.class.name.value;
        if let Some(hedging) = settings.hedging.value {
            if self.class.repeat.value == Repeat::Unsafe {
                self.report_error(
                    Code::UnsafeHedged,
                    self.span_of(&settings.hedging),
                    format!("class `{name}` is unsafe, but allows hedged requests, which run in parallel"),
                    "set `copies = false`".into(),
                    Some((class.repeat.span.clone(), "unsafe: must not be executed twice")),
                );
            }
            if hedging.delay >= settings.max_attempt_duration() {
                self.report_error(
                    Code::HedgeTooLate,
                    self.span_of(&settings.hedging),
                    format!(
                        "a hedged request after {} is too late: the attempt times out after {}",
                        format_duration(hedging.delay),
                        format_duration(settings.max_attempt_duration())
                    ),
                    "set `after` below the attempt's timeout, such as to the 95th percentile of latencies"
                        .into(),
                    settings.attempt_timeout.span.clone().map(|span| (span, "the attempt's timeout")),
                );
            }
            if hedging.max_per_request >= settings.max_attempts.value {
                self.report_error(
                    Code::HedgesWithoutAttempts,
                    self.span_of(&settings.hedging),
                    format!(
                        "{} hedged requests and the first attempt exceed the maximum of {} attempts",
                        hedging.max_per_request, settings.max_attempts.value
                    ),
                    format!("set `attempts = {}`, or allow fewer `copies`", hedging.max_per_request + 1),
                    settings
                        .max_attempts
                        .span
                        .clone()
                        .map(|span| (span, "the maximum number of attempts, hedged ones included")),
                );
            }
        }
    }

    /// A keyed request must not be sent again after backends have forgotten its key.
    fn key_window(&mut self) {
        let class = self.class;
        let settings = self.settings;
        let name = &self.class.name.value;
        let deadline = settings.deadline();
        if let Repeat::Keyed { window, .. } = self.class.repeat.value {
            let last_hedge =
                settings.hedging.value.map_or(Duration::ZERO, |c| c.delay.saturating_mul(c.max_per_request));
            let last = if self.allows_retries() && settings.retry_on.value.may_have_run() {
                settings.latest_start(settings.max_attempts.value - 1).min(deadline).max(last_hedge)
            } else {
                last_hedge
            };
            if last >= window {
                let help = match settings.attempt_timeout.value {
                    None => {
                        "limit each attempt with `attempt-time`, or set `retry-on = [\"never-ran\"]`".into()
                    }
                    Some(_) => format!(
                        "shorten `attempt-time` or `back-off`, or extend `window` beyond {}",
                        format_duration(last)
                    ),
                };
                let position = if settings.retry_on.value.may_have_run() {
                    self.span_of(&settings.retry_on)
                } else {
                    self.span_of(&settings.hedging)
                };
                self.report_error(
                    Code::RetryAfterKeyWindow,
                    position,
                    format!(
                        "class `{name}` allows an attempt {} after the first, but backends remember its key \
                         for {}",
                        format_duration(last),
                        format_duration(window)
                    ),
                    help,
                    Some((class.repeat.span.clone(), "the class is keyed")),
                );
            }
        }
    }

    /// All attempts and the back-offs between them must fit into the request's timeout.
    fn attempts(&mut self) {
        let settings = self.settings;
        let timeout = settings.timeout.value;
        let deadline = settings.deadline();
        if let Some(attempt) = settings.attempt_timeout.value.filter(|attempt| *attempt > timeout) {
            self.report_error(
                Code::AttemptTooLong,
                self.span_of(&settings.attempt_timeout),
                format!(
                    "the attempt's timeout of {} exceeds the request's timeout of {}",
                    format_duration(attempt),
                    format_duration(timeout)
                ),
                format!("set at most \"{}\"", format_duration(timeout)),
                settings.timeout.span.clone().map(|span| (span, "the request's timeout")),
            );
        } else if self.allows_retries() {
            let last = settings.max_attempts.value - 1;
            let total = match settings.attempt_timeout.value {
                Some(attempt) => settings.latest_start(last).saturating_add(attempt),
                // Without a timeout of its own, an attempt may use all the time that is left, and no other
                // follows it. Only the back-offs are certain then.
                None => settings.backoffs_before(last).saturating_add(Duration::from_nanos(1)),
            };
            if total > deadline {
                let position = if settings.attempt_timeout.span.is_some() {
                    &settings.attempt_timeout.span
                } else {
                    &settings.backoff.span
                };
                self.report_error(
                    Code::AttemptsExceedTimeout,
                    position.clone().unwrap_or_else(|| self.span_of(&settings.max_attempts)),
                    format!(
                        "{} attempts and the back-offs between them may take {}, but the request ends after \
                         {}",
                        settings.max_attempts.value,
                        format_duration(total),
                        format_duration(deadline)
                    ),
                    "allow fewer attempts, shorten them or the back-offs, or extend `time`".into(),
                    settings.timeout.span.clone().map(|span| (span, "the request's timeout")),
                );
            }
        }
    }

    /// A request must not last longer than its client waits.
    fn client_timeout(&mut self) {
        let settings = self.settings;
        let timeout = settings.timeout.value;
        if let Some(client_timeout) =
            settings.client_timeout.value.filter(|client_timeout| timeout > *client_timeout)
        {
            self.report_error(
                Code::ExceedsClientTimeout,
                self.span_of(&settings.timeout),
                format!(
                    "clients wait for {}, but a request may take {}",
                    format_duration(client_timeout),
                    format_duration(timeout)
                ),
                format!("set `time = \"{}\"` or less", format_duration(client_timeout)),
                settings.client_timeout.span.clone().map(|span| (span, "the clients' timeout")),
            );
        }
    }

    /// Opening a connection must leave time for a response. The built-in default is not checked.
    fn connect_timeout(&mut self) {
        let settings = self.settings;
        if settings.connect_timeout.span.is_some()
            && settings.connect_timeout.value >= settings.max_attempt_duration()
        {
            self.report_error(
                Code::ConnectTooLong,
                self.span_of(&settings.connect_timeout),
                format!(
                    "a connect timeout of {} leaves no time for a response within an attempt of {}",
                    format_duration(settings.connect_timeout.value),
                    format_duration(settings.max_attempt_duration())
                ),
                "set it below the attempt's timeout".into(),
                None,
            );
        }
    }

    /// Retries need a budget greater than zero.
    fn budget(&mut self) {
        let settings = self.settings;
        let name = &self.class.name.value;
        if self.allows_retries()
            && settings.retry_budget.value.share == 0.0
            && settings.retry_budget.value.per_s == 0.0
        {
            self.report_error(
                Code::RetriesWithoutBudget,
                self.span_of(&settings.retry_budget),
                format!(
                    "class `{name}` allows {} attempts, but its retry budget is zero",
                    settings.max_attempts.value
                ),
                "set `attempts = 1`, or a budget such as `{ share = 0.2, floor = \"1/s\" }`".into(),
                settings.max_attempts.span.clone().map(|span| (span, "the maximum number of attempts")),
            );
        }
    }

    /// The latency target must not exceed the timeout.
    fn latency_target(&mut self) {
        let settings = self.settings;
        let timeout = settings.timeout.value;
        if let Some(latency_target) =
            settings.latency_target.value.filter(|latency_target| *latency_target > timeout)
        {
            self.report_error(
                Code::LatencyTargetTooLong,
                self.span_of(&settings.latency_target),
                format!(
                    "the latency target of {} exceeds the request's timeout of {}",
                    format_duration(latency_target),
                    format_duration(timeout)
                ),
                format!("set at most \"{}\"", format_duration(timeout)),
                settings.timeout.span.clone().map(|span| (span, "the request's timeout")),
            );
        }
    }

    /// The rate limits of all tenants together must reach the floor of the retry budget.
    fn tenant_rates(&mut self) {
        let settings = self.settings;
        if let Some(rate) = settings.tenant_rate.value {
            let total_rate = rate.per_s * self.file.tenants.len().max(1) as f64;
            if total_rate < settings.retry_budget.value.per_s {
                self.report_error(
                    Code::TenantRatesBelowRetryBudget,
                    self.span_of(&settings.tenant_rate),
                    format!(
                        "all tenants together may send {total_rate} requests per second, but the retry \
                         budget's floor is {}",
                        settings.retry_budget.value.per_s
                    ),
                    "lower the floor of `budget`, or raise `tenant-rate`".into(),
                    settings.retry_budget.span.clone().map(|span| (span, "the retry budget")),
                );
            }
        }
    }

    /// Queueing for capacity of the backends must leave time for a response.
    fn max_queue_time(&mut self) {
        let settings = self.settings;
        let deadline = settings.deadline();
        if let Some(queue_time) = settings.max_queue_time.value.filter(|time| *time >= deadline) {
            self.report_error(
                Code::QueueTooLong,
                self.span_of(&settings.max_queue_time),
                format!(
                    "queueing for {} leaves no time for a response within the request's {}",
                    format_duration(queue_time),
                    format_duration(deadline)
                ),
                "set it well below the request's timeout".into(),
                settings.timeout.span.clone().map(|span| (span, "the request's timeout")),
            );
        }
    }

    /// Only a safe class may have a fallback: clients of other classes could take it for the success of their
    /// request.
    fn fallback(&mut self) {
        let class = self.class;
        let settings = self.settings;
        let name = &self.class.name.value;
        if settings.fallback.value.is_some() && !matches!(class.repeat.value, Repeat::Safe) {
            self.report_error(
                Code::FallbackInClassWithEffects,
                self.span_of(&settings.fallback),
                format!(
                    "class `{name}` has side effects, and a client could take the fallback for a success"
                ),
                "set `fallback = false`, or use a safe class".into(),
                Some((class.repeat.span.clone(), "the class has side effects")),
            );
        }
    }

    /// Protocol upgrades are requested by GET, so only a safe class can have them.
    fn upgrade(&mut self) {
        let class = self.class;
        let settings = self.settings;
        let name = &self.class.name.value;
        if settings.upgrade.value.is_some() && !matches!(class.repeat.value, Repeat::Safe) {
            self.report_error(
                Code::UpgradeInClassWithEffects,
                self.span_of(&settings.upgrade),
                format!(
                    "class `{name}` has side effects and rejects GET, by which protocol upgrades are \
                     requested"
                ),
                "set `upgrade = false`, or use a safe class".into(),
                Some((class.repeat.span.clone(), "the class has side effects")),
            );
        }
    }

    /// The maximum gap within a stream, if set, must not exceed its maximum duration.
    fn stream_limits(&mut self) {
        let settings = self.settings;
        if let Some(max_duration) = settings.max_stream_duration.value.filter(|max_duration| {
            *max_duration < settings.max_stream_gap.value && settings.max_stream_gap.span.is_some()
        }) {
            self.report_error(
                Code::StreamShorterThanGap,
                self.span_of(&settings.max_stream_gap),
                format!(
                    "a gap of {} is never reached: the response ends after {}",
                    format_duration(settings.max_stream_gap.value),
                    format_duration(max_duration)
                ),
                format!("set at most \"{}\"", format_duration(max_duration)),
                settings.max_stream_duration.span.clone().map(|span| (span, "the maximum duration")),
            );
        }
    }

    /// A queue needs a maximum number of requests in flight, and must leave time for a response.
    fn queue(&mut self) {
        let settings = self.settings;
        let deadline = settings.deadline();
        if let Some(queue) = settings.queue.value {
            if settings.max_in_flight.value.is_none() {
                self.report_error(
                    Code::QueueWithoutLimit,
                    self.span_of(&settings.queue),
                    "this queue is never used, as requests in flight have no maximum".into(),
                    "add `in-hand = 100`, or remove the queue".into(),
                    None,
                );
            }
            if queue.max_time >= deadline {
                self.report_error(
                    Code::QueueTooLong,
                    self.span_of(&settings.queue),
                    format!(
                        "queueing for {} leaves no time for a response within the request's {}",
                        format_duration(queue.max_time),
                        format_duration(deadline)
                    ),
                    "set it well below the request's timeout".into(),
                    settings.timeout.span.clone().map(|span| (span, "the request's timeout")),
                );
            }
        }
    }
}
