//! Explains how a request would be handled: its route, where each of its settings comes from, and every
//! attempt that could be made, with its times. All of this is read from the plan; nothing is simulated. The
//! text is for operators, so its wording must stay as it is.

use crate::diagnostic::Lines;
use crate::model::File;
use crate::plan::{KeySource, Plan, RoutePlan};
use crate::resolve::{Level, ResolvedSettings, ResolvedValue};
use crate::route::RouteMatch;
use crate::target::{self, PathError};
use http::{HeaderMap, Method};
use join_up_to::{Repeat, RetryOn, Scope};
use quick_error::quick_error;
use std::fmt::Write;
use std::time::Duration;
use units::format_duration;

quick_error! {
    /// Why a request has no route to explain. Each text begins with the status of the response that a client
    /// would get.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ExplainError {
        /// The path is invalid: 400.
        Path(error: PathError) {
            from()
            display("answered 400: {}", error)
            source(error)
        }
        /// The host is invalid: 400.
        Host(host: String) {
            display("answered 400: {:?} is no host", host)
        }
        /// Routes for this path require another method: 405. These are the methods.
        MethodNotAllowed(methods: Vec<Method>) {
            display("answered 405: this path takes {}", method_list(methods))
        }
        /// No route matches: 404.
        NotFound {
            display("answered 404: no route has this path")
        }
    }
}

fn method_list(methods: &[Method]) -> String {
    methods.iter().map(Method::as_str).collect::<Vec<_>>().join(", ")
}

/// The request to explain.
pub struct ExampleRequest<'a> {
    /// Its method.
    pub method: &'a Method,
    /// Its path and query, as sent by a client.
    pub target: &'a str,
    /// Its headers, `Host` among them.
    pub headers: &'a HeaderMap,
}

/// Explains how a request would be handled. `text` is the text of the file, for line numbers.
///
/// # Errors
///
/// The request would be rejected before it has a route.
pub fn explain(
    plan: &Plan,
    file: &File,
    text: &str,
    example: &ExampleRequest,
) -> Result<String, ExplainError> {
    let (raw, query) =
        example.target.split_once('?').map_or((example.target, ""), |(path, query)| (path, query));
    let path = target::normalize_path(raw, plan.encoded_slash)?;
    let host = example.headers.get(http::header::HOST).map(|host| String::from_utf8_lossy(host.as_bytes()));
    let host = match &host {
        Some(host) => Some(target::normalize_host(host).ok_or_else(|| ExplainError::Host(host.to_string()))?),
        None => None,
    };
    let (number, captures) = match plan.table.find(host.as_deref(), &path, example.method, example.headers) {
        RouteMatch::Route { number, captures } => (number, captures),
        RouteMatch::MethodNotAllowed(methods) => return Err(ExplainError::MethodNotAllowed(methods)),
        RouteMatch::NotFound => return Err(ExplainError::NotFound),
    };
    let route = &plan.routes[number];
    let class = &file.classes[route.class_in_file];
    let lines = Lines::of(text);
    let line = |at: usize| lines.position(at).line;
    let mut out = String::new();
    // Writing to a string can't fail.
    let _ =
        writeln!(out, "route    {} (line {})", route.name, line(file.routes[route.route_in_file].span.start));
    let _ = writeln!(out, "class    {}: {}", class.name.value, describe_repeat(class.repeat.value));
    let cluster = &plan.clusters[route.cluster];
    let _ = writeln!(out, "cluster  {}: {} boxes", cluster.name, cluster.backends.len());
    let sent = route.forwarded_path(&path, &captures).unwrap_or_else(|| path.to_string());
    let query = if query.is_empty() { String::new() } else { format!("?{query}") };
    let _ = writeln!(out, "sent as  {} {sent}{query}", example.method);
    out.push_str(&describe_key(route, example, |number| captures.get(&path, number).unwrap_or_default()));
    out.push_str("limits\n");
    for Row { name, value, level, start } in rows(&route.settings) {
        let place = start.map_or(String::new(), |at| format!(", line {}", line(at)));
        let _ = writeln!(out, "  {name:<13}{value:<32} {level}{place}");
    }
    out.push_str("attempts\n");
    describe_attempts(&mut out, &route.settings, class.repeat.value);
    Ok(out)
}

/// The line that shows where the key of a keyed request is found; empty if the request has none.
fn describe_key<'p>(
    route: &RoutePlan,
    example: &ExampleRequest,
    captured: impl Fn(usize) -> &'p str,
) -> String {
    match &route.key {
        Some(KeySource::Header(name)) => {
            let is_present = example.headers.get(name).is_some_and(|value| !value.is_empty());
            let note = if is_present { "" } else { " (not there: answered 400)" };
            format!("key      from the header {name}{note}\n")
        }
        Some(KeySource::Capture(number)) => format!("key      {:?} from the path\n", captured(*number)),
        None => String::new(),
    }
}

fn describe_repeat(repeat: Repeat) -> String {
    match repeat {
        Repeat::Safe => "safe, may be repeated freely".into(),
        Repeat::Unsafe => "unsafe, must never run twice".into(),
        Repeat::Keyed { scope, window } => {
            let scope = match scope {
                Scope::All => "by all boxes",
                Scope::Zone => "within a zone",
                Scope::Cell => "within a cell",
            };
            format!("keyed, repeats are dropped {scope} for {}", format_duration(window))
        }
    }
}

/// A row of the list of settings.
struct Row {
    name: &'static str,
    value: String,
    level: Level,
    /// The byte offset in the file where it is set; `None` for a built-in default.
    start: Option<usize>,
}

fn row<T>(name: &'static str, resolved: &ResolvedValue<T>, text: impl FnOnce(&T) -> String) -> Row {
    Row {
        name,
        value: text(&resolved.value),
        level: resolved.level,
        start: resolved.span.as_ref().map(|span| span.start),
    }
}

/// Formats an optional duration, with a text for `None`.
fn duration_or(none: &'static str) -> impl Fn(&Option<Duration>) -> String {
    move |time| time.map_or(none.to_string(), format_duration)
}

/// All settings of a route, named by their keys in the file.
fn rows(settings: &ResolvedSettings) -> Vec<Row> {
    let mut rows = attempt_rows(settings);
    rows.extend(admission_rows(settings));
    rows.extend(response_rows(settings));
    rows
}

/// The rows on timeouts and attempts.
fn attempt_rows(r: &ResolvedSettings) -> Vec<Row> {
    vec![
        row("time", &r.timeout, |t| format_duration(*t)),
        row("aim", &r.latency_target, duration_or("the whole time")),
        row("late-worth", &r.late_value, f64::to_string),
        row("patience", &r.client_timeout, duration_or("not said")),
        row("attempts", &r.max_attempts, u32::to_string),
        row("attempt-time", &r.attempt_timeout, duration_or("what is left")),
        row("connect-time", &r.connect_timeout, |t| format_duration(*t)),
        row("retry-on", &r.retry_on, |on| describe_retry_on(*on)),
        row("back-off", &r.backoff, |backoff| {
            backoff.map_or("none".into(), |backoff| {
                format!(
                    "{} up to {}, {:.0}% by chance",
                    format_duration(backoff.initial),
                    format_duration(backoff.max),
                    backoff.jitter * 100.0
                )
            })
        }),
        row("copies", &r.hedging, |rule| {
            rule.map_or("none".into(), |rule| {
                let (count, share) = (rule.max_per_request, rule.max_fraction * 100.0);
                format!("{count} after {}, of {share:.0}% at most", format_duration(rule.delay))
            })
        }),
        row("budget", &r.retry_budget, |b| format!("{:.0}% and {} a second", b.share * 100.0, b.per_s)),
    ]
}

/// The rows on limits, queues and priority.
fn admission_rows(r: &ResolvedSettings) -> Vec<Row> {
    vec![
        row("in-hand", &r.max_in_flight, |max| max.map_or("no limit".into(), |max| max.to_string())),
        row("queue", &r.queue, |queue| {
            queue.map_or("none".into(), |queue| {
                format!("{} for {}", queue.max_length, format_duration(queue.max_time))
            })
        }),
        row("tenant-rate", &r.tenant_rate, |rate| {
            rate.map_or("no limit".into(), |rate| format!("{} a second, {} at once", rate.per_s, rate.burst))
        }),
        row("retry-after", &r.retry_after, |t| format_duration(*t)),
        row("worth", &r.priority_weight, f64::to_string),
        row("wait", &r.max_queue_time, duration_or("a quarter of what is left")),
    ]
}

/// The rows on responses: how they are forwarded, and the fallback.
fn response_rows(r: &ResolvedSettings) -> Vec<Row> {
    vec![
        row("upgrade", &r.upgrade, |upgrade| {
            upgrade.as_ref().map_or("none".into(), |upgrade| {
                format!("{}, idle {}", upgrade.to.join(", "), format_duration(upgrade.idle))
            })
        }),
        row("gap", &r.max_stream_gap, |t| format_duration(*t)),
        row("whole", &r.max_stream_duration, duration_or("no end")),
        row("hold", &r.stream_flush_delay, |t| format_duration(*t)),
        row("replay", &r.replay_limit, |n| format!("{} KiB", n >> 10)),
        row("fallback", &r.fallback, |fallback| {
            fallback.as_ref().map_or("none".into(), |fallback| format!("{}", fallback.status))
        }),
    ]
}

fn describe_retry_on(on: RetryOn) -> String {
    let words =
        [(on.never_ran, "never-ran"), (on.error, "error"), (on.reset, "reset"), (on.timed_out, "timed-out")];
    let words: Vec<_> = words.iter().filter(|(on, _)| *on).map(|(_, word)| *word).collect();
    if words.is_empty() { "nothing".into() } else { words.join(", ") }
}

/// Lists all attempts that could be made, and the outcome if none of them gets a response.
fn describe_attempts(out: &mut String, settings: &ResolvedSettings, repeat: Repeat) {
    let deadline = settings.deadline();
    // Writing to a string can't fail.
    let _ = writeln!(out, "  1  at 0ms, over by {}", format_duration(settings.max_attempt_duration()));
    describe_retries(out, settings, repeat);
    if let Some(hedging) = settings.hedging.value {
        for n in 1..=hedging.max_per_request {
            let at = hedging.delay.saturating_mul(n);
            if at >= deadline {
                break;
            }
            let _ = writeln!(
                out,
                "  copy {n}  at {}, if an attempt is out then; counts as one",
                format_duration(at)
            );
        }
    }
    let end = match repeat {
        Repeat::Safe | Repeat::Keyed { scope: Scope::All, .. } => {
            "refused (503), as to try again is harmless"
        }
        Repeat::Unsafe | Repeat::Keyed { .. } => {
            "failed (504) if it may have run, which promises nothing, else refused (503)"
        }
    };
    let _ = writeln!(out, "  no answer by {}: {end}", format_duration(deadline));
}

/// Lists the retries.
fn describe_retries(out: &mut String, settings: &ResolvedSettings, repeat: Repeat) {
    let deadline = settings.deadline();
    let may_have_run = settings.retry_on.value.may_have_run();
    let earliest = |n: u32| {
        let Some(backoff) = settings.backoff.value else { return Duration::ZERO };
        (1..=n).map(|n| backoff.max_delay_after(n).mul_f64(1.0 - backoff.jitter)).sum()
    };
    for n in 1..settings.max_attempts.value {
        let longest = if may_have_run { settings.max_attempt_duration() } else { deadline };
        let latest = longest.saturating_mul(n).saturating_add(settings.backoffs_before(n)).min(deadline);
        let end = latest.saturating_add(settings.max_attempt_duration()).min(deadline);
        if earliest(n) >= deadline {
            break;
        }
        // Writing to a string can't fail.
        let _ = writeln!(
            out,
            "  {}  from {} to {}, over by {}; {}",
            n + 1,
            format_duration(earliest(n)),
            format_duration(latest),
            format_duration(end),
            describe_retry_target(repeat, may_have_run)
        );
    }
}

/// Describes the backends to which a retry may be sent.
fn describe_retry_target(repeat: Repeat, may_have_run: bool) -> String {
    match (repeat, may_have_run) {
        (_, false) => "only if none before it ran".into(),
        (Repeat::Keyed { scope, window }, true) => {
            let scope = match scope {
                Scope::All => "any box",
                Scope::Zone => "boxes of its zone",
                Scope::Cell => "boxes of its cell",
            };
            format!("once one may have run, to {scope} within {} of that", format_duration(window))
        }
        _ => "to a box that has not had it".into(),
    }
}
