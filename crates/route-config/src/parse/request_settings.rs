//! Parses the settings that defaults, classes and routes may have: timeouts, attempts, hedging, queues,
//! fallbacks.

use super::count;
use crate::diagnostic::{Code, Diagnostic, Report};
use crate::model::*;
use crate::read::{self, Section, Value};
use crate::resolve::built_in;
use http::{HeaderValue, Method};
use join_up_to::{Backoff, MAX_DURATION, RetryBudget, RetryOn};

/// The maximum number of attempts of a request. More would be a retry storm, whatever the timeouts.
const MAX_ATTEMPTS: u64 = 16;

/// Parses a table that has only request settings.
pub(super) fn only_request_settings(mut s: Section, report: &mut Report) -> RequestSettings {
    let settings = request_settings(&mut s, report);
    s.finish(report);
    settings
}

/// Parses the request settings of a section; its other keys are left to the caller.
pub(super) fn request_settings(s: &mut Section, report: &mut Report) -> RequestSettings {
    let most = u64::from(u32::MAX);
    RequestSettings {
        timeout: s.get("time").and_then(|v| read::positive_duration(v, report)),
        latency_target: s.get("aim").and_then(|v| read::positive_duration(v, report)),
        late_value: s.get("late-worth").and_then(|v| read::share(v, report)),
        priority_weight: s.get("worth").and_then(|v| read::number(v, (0.0, 1e9), report)),
        client_timeout: s.get("patience").and_then(|v| read::positive_duration(v, report)),
        max_attempts: s.get("attempts").and_then(|v| count(v, (1, MAX_ATTEMPTS), report)),
        attempt_timeout: s.get("attempt-time").and_then(|v| read::positive_duration(v, report)),
        connect_timeout: s.get("connect-time").and_then(|v| read::positive_duration(v, report)),
        retry_on: s.get("retry-on").and_then(|v| retry_on(v, report)),
        backoff: s.get("back-off").and_then(|v| read::unless_false(v, report, backoff)),
        hedging: s.get("copies").and_then(|v| read::unless_false(v, report, hedging)),
        retry_budget: s.get("budget").and_then(|v| budget(v, "budget", report)),
        max_in_flight: s.get("in-hand").and_then(|v| {
            read::unless_false(v, report, |v, report| count(v, (1, most), report).map(|n| n.value))
        }),
        queue: s.get("queue").and_then(|v| read::unless_false(v, report, queue)),
        tenant_rate: s.get("tenant-rate").and_then(|v| read::unless_false(v, report, tenant_rate)),
        retry_after: s.get("retry-after").and_then(|v| read::duration_or_zero(v, report)),
        max_queue_time: s.get("wait").and_then(|v| read::duration_or_zero(v, report)),
        fallback: s.get("fallback").and_then(|v| read::unless_false(v, report, fallback)),
        upgrade: s.get("upgrade").and_then(|v| read::unless_false(v, report, upgrade)),
        max_stream_gap: s.get("gap").and_then(|v| read::positive_duration(v, report)),
        max_stream_duration: s.get("whole").and_then(|v| {
            read::unless_false(v, report, |v, report| read::positive_duration(v, report).map(|at| at.value))
        }),
        stream_flush_delay: s.get("hold").and_then(|v| read::duration_or_zero(v, report)),
        replay_limit: s.get("replay").and_then(|v| read::bytes(v, (0, MAX_REPLAY), report)),
    }
}

fn upgrade(value: Value, report: &mut Report) -> Option<UpgradeRule> {
    let mut s = read::table(value, "upgrade", report)?;
    let to = s.required("to", "[\"websocket\"]", report).and_then(|v| read::array(v, "protocols", report));
    let idle = s.get("idle").map(|v| read::positive_duration(v, report));
    s.finish(report);
    let mut protocols = Vec::new();
    for item in to? {
        let name = read::text(item, report)?;
        // A protocol name is a token (RFC 9110), and so is a method.
        if Method::from_bytes(name.value.as_bytes()).is_err() {
            let message = format!("{:?} is not a valid protocol name", name.value);
            report.push(Diagnostic::new(
                Code::InvalidHeader,
                name.span,
                message,
                "write one such as `websocket`",
            ));
            return None;
        }
        protocols.push(name.value.to_ascii_lowercase());
    }
    let idle = idle.map_or(Some(built_in::TUNNEL_IDLE), |idle| Some(idle?.value))?;
    Some(UpgradeRule { to: protocols, idle })
}

/// The maximum of `replay`, in bytes. Limits the memory that a single request can take.
const MAX_REPLAY: u64 = 64 << 20;

/// The maximum size of a fallback's body in bytes: enough for a notice, not for a page.
const MAX_FALLBACK_BODY: usize = 16 << 10;

fn fallback(value: Value, report: &mut Report) -> Option<Fallback> {
    let mut s = read::table(value, "fallback", report)?;
    let status = s.get("status").map(|v| count::<u16>(v, (200, 599), report));
    let media_type = s.get("type").map(|v| read::text(v, report));
    let body = s.required("body", "\"closed for now\"", report).and_then(|v| read::text(v, report));
    s.finish(report);
    let status = status.map_or(Some(200), |status| Some(status?.value))?;
    let media_type = match media_type {
        None => HeaderValue::from_static("text/plain; charset=utf-8"),
        Some(text) => {
            let text = text?;
            let Ok(media_type) = HeaderValue::from_str(&text.value) else {
                let message = format!("{:?} is not a valid media type", text.value);
                let help = "write one such as `application/json`";
                report.push(Diagnostic::new(Code::InvalidHeader, text.span, message, help));
                return None;
            };
            media_type
        }
    };
    let body = body?;
    if body.value.len() > MAX_FALLBACK_BODY {
        let message =
            format!("the body has {} bytes, and the maximum is {MAX_FALLBACK_BODY}", body.value.len());
        report.push(Diagnostic::new(Code::NumberOutOfRange, body.span, message, "shorten the body"));
        return None;
    }
    Some(Fallback { status, media_type, body: body.value })
}

fn retry_on(value: Value, report: &mut Report) -> Option<Located<RetryOn>> {
    let words = [("never-ran", 0), ("error", 1), ("reset", 2), ("timed-out", 3)];
    let items = read::array(value, "outcomes, such as [\"never-ran\"]", report)?;
    let mut on = [false; 4];
    for item in items {
        on[read::choice(item, &words, report)?.value] = true;
    }
    let [never_ran, error, reset, timed_out] = on;
    Some(Located::new(RetryOn { never_ran, error, reset, timed_out }, value.span()))
}

fn backoff(value: Value, report: &mut Report) -> Option<Backoff> {
    let mut s = read::table(value, "back-off", report)?;
    let first = s.required("first", "\"20ms\"", report).and_then(|v| read::positive_duration(v, report));
    let longest = s.get("longest").map(|v| read::positive_duration(v, report));
    let jitter = s.get("jitter").map(|v| read::share(v, report));
    s.finish(report);
    let first = first?.value;
    let longest = match longest {
        Some(longest) => longest?.value.max(first),
        None => MAX_DURATION,
    };
    Some(Backoff { initial: first, max: longest, jitter: jitter.map_or(Some(0.5), |j| Some(j?.value))? })
}

fn hedging(value: Value, report: &mut Report) -> Option<HedgingRule> {
    let mut s = read::table(value, "copies", report)?;
    let delay = s.required("after", "\"150ms\"", report).and_then(|v| read::positive_duration(v, report));
    let max_per_request = s.get("most").map(|v| count::<u32>(v, (1, MAX_ATTEMPTS - 1), report));
    let max_fraction = s.get("share").map(|v| read::share(v, report));
    s.finish(report);
    let max_per_request = max_per_request.map_or(Some(1), |max| Some(max?.value))?;
    let max_fraction = max_fraction.map_or(Some(DEFAULT_HEDGE_FRACTION), |fraction| Some(fraction?.value))?;
    Some(HedgingRule { delay: delay?.value, max_per_request, max_fraction })
}

/// The maximum fraction of hedged requests if the file does not set it: covers the slowest 5% of requests, at
/// little additional load.
const DEFAULT_HEDGE_FRACTION: f64 = 0.05;

/// Parses a retry budget: a fraction of first attempts, and a minimum number of retries per second.
pub(super) fn budget(value: Value, key: &str, report: &mut Report) -> Option<Located<RetryBudget>> {
    let mut s = read::table(value, key, report)?;
    let share = s.required("share", "0.2", report).and_then(|v| read::share(v, report));
    let floor = s.get("floor").map(|v| read::rate(v, report));
    s.finish(report);
    let floor = floor.map_or(Some(0.0), |floor| Some(floor?.value))?;
    Some(Located::new(RetryBudget { share: share?.value, per_s: floor }, value.span()))
}

fn queue(value: Value, report: &mut Report) -> Option<Queue> {
    let mut s = read::table(value, "queue", report)?;
    let length = s.required("length", "100", report).and_then(|v| count::<u32>(v, (1, 1_000_000), report));
    let time = s.required("time", "\"100ms\"", report).and_then(|v| read::positive_duration(v, report));
    s.finish(report);
    Some(Queue { max_length: length?.value, max_time: time?.value })
}

fn tenant_rate(value: Value, report: &mut Report) -> Option<TenantRate> {
    let mut s = read::table(value, "tenant-rate", report)?;
    let rate = s.required("rate", "\"50/s\"", report).and_then(|v| read::rate(v, report));
    let burst = s.get("burst").map(|v| read::number(v, (1.0, 1e9), report));
    s.finish(report);
    let rate = rate?;
    if rate.value == 0.0 {
        let message = "a rate of zero rejects every request";
        report.push(Diagnostic::new(Code::NumberOutOfRange, rate.span, message, "remove the route instead"));
        return None;
    }
    // The default burst is the requests of one second, and at least one.
    let burst = burst.map_or(Some(rate.value.max(1.0)), |burst| Some(burst?.value))?;
    Some(TenantRate { per_s: rate.value, burst })
}
