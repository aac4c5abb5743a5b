//! Checks of request settings against each other, so that no sequence of outcomes breaks a rule: repeats, times, budgets,
//! responses.

use crate::diagnostic::{Code, Diagnostic, Report};
use crate::model::{Class, File, Span};
use crate::resolve::{ResolvedSettings, ResolvedValue};
use join_up_to::Repeat;
use std::time::Duration;
use units::format_duration;

/// The position of a value, or that of the class if it is built in.
pub(super) fn span_of<T>(value: &ResolvedValue<T>, class: &Class) -> Span {
    value.span.clone().unwrap_or_else(|| class.name.span.clone())
}

/// Checks the settings of a class or a route.
pub(super) fn request_settings(file: &File, class: &Class, settings: &ResolvedSettings, report: &mut Report) {
    let mut check = SettingsCheck { file, class, settings, report };
    check.unsafe_repeats();
    check.hedging();
    check.key_window();
    check.attempts();
    check.client_timeout();
    check.connect_timeout();
    check.budget();
    check.latency_target();
    check.tenant_rates();
    check.wait();
    check.fallback();
    check.upgrade();
    check.pauses();
    check.queue();
}

/// The settings that are being checked, and their class.
struct SettingsCheck<'a> {
    file: &'a File,
    class: &'a Class,
    settings: &'a ResolvedSettings,
    report: &'a mut Report,
}

impl SettingsCheck<'_> {
    /// Reports an error of these settings, with a related position.
    fn report_error(
        &mut self,
        code: Code,
        span: Span,
        message: String,
        help: String,
        also: Option<(Span, &str)>,
    ) {
        let diagnostic = Diagnostic::new(code, span, message, help);
        self.report.push(match also {
            Some((span, what)) => diagnostic.with_related(span, what),
            None => diagnostic,
        });
    }

    /// The position of a value of these settings.
    fn span_of<T>(&self, value: &ResolvedValue<T>) -> Span {
        span_of(value, self.class)
    }

    /// Whether a request may have more than one attempt.
    fn repeats(&self) -> bool {
        self.settings.max_attempts.value > 1
    }

    /// An unsafe request is not retried once it may have been executed.
    fn unsafe_repeats(&mut self) {
        let class = self.class;
        let settings = self.settings;
        let name = &self.class.name.value;
        if self.class.repeat.value == Repeat::Unsafe
            && self.repeats()
            && settings.retry_on.value.may_have_run()
        {
            self.report_error(
                Code::UnsafeRetried,
                self.span_of(&settings.retry_on),
                format!("`{name}` is unsafe, and would be sent again after it may have run"),
                "write `retry-on = [\"never-ran\"]` or `attempts = 1` for it".into(),
                Some((class.repeat.span.clone(), "unsafe: it must never run twice")),
            );
        }
    }

    /// Hedged requests are sent while their attempt lasts, within the maximum of attempts, and never for an unsafe class.
    fn hedging(&mut self) {
        let class = self.class;
        let settings = self.settings;
        let name = &self.class.name.value;
        if let Some(hedging) = settings.hedging.value {
            if self.class.repeat.value == Repeat::Unsafe {
                self.report_error(
                    Code::UnsafeHedged,
                    self.span_of(&settings.hedging),
                    format!("`{name}` is unsafe, and a second copy of it would run beside the first"),
                    "write `copies = false` for it".into(),
                    Some((class.repeat.span.clone(), "unsafe: it must never run twice")),
                );
            }
            if hedging.delay >= settings.max_attempt_duration() {
                self.report_error(
                    Code::HedgeTooLate,
                    self.span_of(&settings.hedging),
                    format!(
                        "a copy after {} is due when its attempt is over, after {}",
                        format_duration(hedging.delay),
                        format_duration(settings.max_attempt_duration())
                    ),
                    "let `after` be a part of the attempt's time, such as its usual 95th percentile".into(),
                    settings.attempt_timeout.span.clone().map(|span| (span, "the attempt's time")),
                );
            }
            if hedging.max_per_request >= settings.max_attempts.value {
                self.report_error(
                    Code::HedgesWithoutAttempts,
                    self.span_of(&settings.hedging),
                    format!(
                        "{} copies and a first attempt are more than {}",
                        hedging.max_per_request, settings.max_attempts.value
                    ),
                    format!("write `attempts = {}` or fewer copies", hedging.max_per_request + 1),
                    settings
                        .max_attempts
                        .span
                        .clone()
                        .map(|span| (span, "the most attempts, copies included")),
                );
            }
        }
    }

    /// A keyed request is not sent again after backends have forgotten its key.
    fn key_window(&mut self) {
        let class = self.class;
        let settings = self.settings;
        let name = &self.class.name.value;
        let deadline = settings.deadline();
        if let Repeat::Keyed { window, .. } = self.class.repeat.value {
            let by_copies =
                settings.hedging.value.map_or(Duration::ZERO, |c| c.delay.saturating_mul(c.max_per_request));
            let last = if self.repeats() && settings.retry_on.value.may_have_run() {
                settings.latest_start(settings.max_attempts.value - 1).min(deadline).max(by_copies)
            } else {
                by_copies
            };
            if last >= window {
                let help = match settings.attempt_timeout.value {
                    None => "limit each attempt with `attempt-time`, or retry only what never ran".into(),
                    Some(_) => format!(
                        "shorten `attempt-time` or `back-off`, or let the boxes remember for {}",
                        format_duration(last)
                    ),
                };
                let blame = if settings.retry_on.value.may_have_run() {
                    self.span_of(&settings.retry_on)
                } else {
                    self.span_of(&settings.hedging)
                };
                self.report_error(
                    Code::RetryAfterKeyWindow,
                    blame,
                    format!(
                        "`{name}` may be sent again {} after its first send, and boxes remember its key for {}",
                        format_duration(last),
                        format_duration(window)
                    ),
                    help,
                    Some((class.repeat.span.clone(), "keyed")),
                );
            }
        }
    }

    /// The attempts and the waits between them fit into the request's timeout.
    fn attempts(&mut self) {
        let settings = self.settings;
        let time = settings.timeout.value;
        let deadline = settings.deadline();
        if let Some(attempt) = settings.attempt_timeout.value.filter(|attempt| *attempt > time) {
            self.report_error(
                Code::AttemptTooLong,
                self.span_of(&settings.attempt_timeout),
                format!(
                    "an attempt of {} is longer than its request, which has {}",
                    format_duration(attempt),
                    format_duration(time)
                ),
                format!("write at most \"{}\"", format_duration(time)),
                settings.timeout.span.clone().map(|span| (span, "the request's time")),
            );
        } else if self.repeats() {
            let last = settings.max_attempts.value - 1;
            let total = match settings.attempt_timeout.value {
                Some(attempt) => settings.latest_start(last).saturating_add(attempt),
                // Without a timeout of its own an attempt may use all the time, and the next one has none: only the
                // certain waits count.
                None => settings.backoffs_before(last).saturating_add(Duration::from_nanos(1)),
            };
            if total > deadline {
                let blame = if settings.attempt_timeout.span.is_some() {
                    &settings.attempt_timeout.span
                } else {
                    &settings.backoff.span
                };
                self.report_error(
                    Code::AttemptsExceedTimeout,
                    blame.clone().unwrap_or_else(|| self.span_of(&settings.max_attempts)),
                    format!(
                        "{} attempts and the waits between them may take {}, and the request has {}",
                        settings.max_attempts.value,
                        format_duration(total),
                        format_duration(deadline)
                    ),
                    "write fewer attempts, shorter ones or shorter waits, or give the request more time"
                        .into(),
                    settings.timeout.span.clone().map(|span| (span, "the request's time")),
                );
            }
        }
    }

    /// No request lasts longer than its client waits.
    fn client_timeout(&mut self) {
        let settings = self.settings;
        let time = settings.timeout.value;
        if let Some(client_timeout) =
            settings.client_timeout.value.filter(|client_timeout| time > *client_timeout)
        {
            self.report_error(
                Code::ExceedsClientTimeout,
                self.span_of(&settings.timeout),
                format!(
                    "clients wait for {}, and a request may take {}",
                    format_duration(client_timeout),
                    format_duration(time)
                ),
                format!("write `time = \"{}\"` or less", format_duration(client_timeout)),
                settings.client_timeout.span.clone().map(|span| (span, "the clients' patience")),
            );
        }
    }

    /// A connect leaves time for a response.
    fn connect_timeout(&mut self) {
        let settings = self.settings;
        if settings.connect_timeout.span.is_some()
            && settings.connect_timeout.value >= settings.max_attempt_duration()
        {
            self.report_error(
                Code::ConnectTooLong,
                self.span_of(&settings.connect_timeout),
                format!(
                    "a connect of {} leaves nothing of an attempt of {}",
                    format_duration(settings.connect_timeout.value),
                    format_duration(settings.max_attempt_duration())
                ),
                "write a part of the attempt's time".into(),
                None,
            );
        }
    }

    /// Retries have a budget.
    fn budget(&mut self) {
        let settings = self.settings;
        let name = &self.class.name.value;
        if self.repeats()
            && settings.retry_budget.value.share == 0.0
            && settings.retry_budget.value.per_s == 0.0
        {
            self.report_error(
                Code::RetriesWithoutBudget,
                self.span_of(&settings.retry_budget),
                format!(
                    "`{name}` may have {} attempts, and a budget of none beyond the first",
                    settings.max_attempts.value
                ),
                "write `attempts = 1`, or a budget such as `{ share = 0.2, floor = \"1/s\" }`".into(),
                settings.max_attempts.span.clone().map(|span| (span, "the most attempts")),
            );
        }
    }

    /// The latency target is within the timeout.
    fn latency_target(&mut self) {
        let settings = self.settings;
        let time = settings.timeout.value;
        if let Some(latency_target) =
            settings.latency_target.value.filter(|latency_target| *latency_target > time)
        {
            self.report_error(
                Code::LatencyTargetTooLong,
                self.span_of(&settings.latency_target),
                format!(
                    "the aim of {} is longer than the request's time, {}",
                    format_duration(latency_target),
                    format_duration(time)
                ),
                format!("write at most \"{}\"", format_duration(time)),
                settings.timeout.span.clone().map(|span| (span, "the request's time")),
            );
        }
    }

    /// The rates of all tenants together reach the floor of the retry budget.
    fn tenant_rates(&mut self) {
        let settings = self.settings;
        if let Some(rate) = settings.tenant_rate.value {
            let all = rate.per_s * self.file.tenants.len().max(1) as f64;
            if all < settings.retry_budget.value.per_s {
                self.report_error(
                    Code::TenantRatesBelowRetryBudget,
                    self.span_of(&settings.tenant_rate),
                    format!(
                        "all tenants together may send {all} requests a second, and the budget's floor is {} retries",
                        settings.retry_budget.value.per_s
                    ),
                    "lower the floor of `budget`, or allow more requests".into(),
                    settings.retry_budget.span.clone().map(|span| (span, "the budget")),
                );
            }
        }
    }

    /// A wait leaves time for a response.
    fn wait(&mut self) {
        let settings = self.settings;
        let deadline = settings.deadline();
        if let Some(wait) = settings.max_queue_time.value.filter(|wait| *wait >= deadline) {
            self.report_error(
                Code::QueueTooLong,
                self.span_of(&settings.max_queue_time),
                format!(
                    "a wait of {} leaves nothing of the request's {}",
                    format_duration(wait),
                    format_duration(deadline)
                ),
                "let it wait for a part of its time, so that an answer can still come".into(),
                settings.timeout.span.clone().map(|span| (span, "the request's time")),
            );
        }
    }

    /// Only a safe class may have a fallback: its clients may take that for a response.
    fn fallback(&mut self) {
        let class = self.class;
        let settings = self.settings;
        let name = &self.class.name.value;
        if settings.fallback.value.is_some() && !matches!(class.repeat.value, Repeat::Safe) {
            self.report_error(
                Code::FallbackInClassWithEffects,
                self.span_of(&settings.fallback),
                format!(
                    "`{name}` has effects, and a client that gets a fallback would think that it had one"
                ),
                "write `fallback = false` here, or make it that of a safe class".into(),
                Some((class.repeat.span.clone(), "has effects")),
            );
        }
    }

    /// Protocols are switched by GET, so only a safe class can have that.
    fn upgrade(&mut self) {
        let class = self.class;
        let settings = self.settings;
        let name = &self.class.name.value;
        if settings.upgrade.value.is_some() && !matches!(class.repeat.value, Repeat::Safe) {
            self.report_error(
                Code::UpgradeInClassWithEffects,
                self.span_of(&settings.upgrade),
                format!(
                    "`{name}` has effects, and a switch of protocol comes by GET, which it does not take"
                ),
                "write `upgrade = false` here, or give those requests a safe class".into(),
                Some((class.repeat.span.clone(), "has effects")),
            );
        }
    }

    /// The maximum gap of a stream is shorter than its maximum duration.
    fn pauses(&mut self) {
        let settings = self.settings;
        if let Some(whole) = settings
            .max_stream_duration
            .value
            .filter(|whole| *whole < settings.max_stream_gap.value && settings.max_stream_gap.span.is_some())
        {
            self.report_error(
                Code::StreamShorterThanGap,
                self.span_of(&settings.max_stream_gap),
                format!(
                    "a pause of {} is never reached: the answer is cut after {}",
                    format_duration(settings.max_stream_gap.value),
                    format_duration(whole)
                ),
                format!("write at most \"{}\"", format_duration(whole)),
                settings.max_stream_duration.span.clone().map(|span| (span, "cut here")),
            );
        }
    }

    /// A queue has a maximum of requests in flight that fills it, and leaves time for a response.
    fn queue(&mut self) {
        let settings = self.settings;
        let deadline = settings.deadline();
        if let Some(queue) = settings.queue.value {
            if settings.max_in_flight.value.is_none() {
                self.report_error(
                    Code::QueueWithoutLimit,
                    self.span_of(&settings.queue),
                    "nothing waits in this queue, as there is no limit on requests in hand".into(),
                    "add `in-hand = 100`, or leave the queue out".into(),
                    None,
                );
            }
            if queue.max_time >= deadline {
                self.report_error(
                    Code::QueueTooLong,
                    self.span_of(&settings.queue),
                    format!(
                        "a wait of {} leaves nothing of the request's {}",
                        format_duration(queue.max_time),
                        format_duration(deadline)
                    ),
                    "let it wait for a part of its time, so that an answer can still come".into(),
                    settings.timeout.span.clone().map(|span| (span, "the request's time")),
                );
            }
        }
    }
}
