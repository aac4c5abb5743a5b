//! Parses clusters: their backends, limits, warm-up and brownout rules.

use super::{count, parse_tables};
use crate::diagnostic::{Code, Diagnostic, Report};
use crate::model::*;
use crate::read::{self, Section, Value};
use crate::resolve::built_in;
use join_up_to::ServerState;
use std::time::Duration;

/// Parses a `[[cluster]]` with its backends and brownout rules.
pub(super) fn cluster(mut s: Section, report: &mut Report) -> Option<Cluster> {
    let name = s.required("name", "\"tally\"", report).and_then(|v| read::name(v, report));
    let idle_close = s.get("idle-close").and_then(|v| read::positive_duration(v, report));
    let words = [("answers", LoadReports::ResponseHeader), ("none", LoadReports::None)];
    let reports = s.get("load-reports").and_then(|v| read::choice(v, &words, report));
    let warm_up = s.get("cold").and_then(|v| {
        let section = read::table(v, "cold", report)?;
        warm_up(section, report).map(|warm_up| Located::new(warm_up, v.span()))
    });
    let limit = s.get("limit").and_then(|v| read::unless_false(v, report, limit));
    let slow_start = s.get("slow-start").and_then(|v| read::positive_duration(v, report));
    let brownout = s.get("step").map(|v| parse_tables(Some(v), "[cluster.step]", report, brownout_rule));
    let backends = parse_tables(s.get("box"), "[cluster.box]", report, backend);
    s.finish(report);
    Some(Cluster { name: name?, idle_close, reports, warm_up, limit, slow_start, brownout, backends })
}

/// The maximum limit of requests in flight at a backend: the number of TCP ports, and so of connections, of
/// one node.
const MAX_LIMIT: f64 = 65_535.0;

fn limit(value: Value, report: &mut Report) -> Option<LimitRule> {
    let mut s = read::table(value, "limit", report)?;
    let LimitRule::Adaptive { initial, min, max } = built_in::LIMIT else { return None };
    let mut bound =
        |key: &'static str, min: f64| s.get(key).map(|v| read::number(v, (min, MAX_LIMIT), report));
    let (fixed, bounds) =
        (bound("fixed", 1.0), [bound("start", 1.0), bound("least", 1.0), bound("most", 1.0)]);
    s.finish(report);
    if let Some(fixed) = fixed {
        if bounds.iter().any(Option::is_some) {
            let message = "a fixed limit can't have bounds";
            let help = "write `limit = { fixed = 50 }`, or bounds without `fixed`";
            report.push(Diagnostic::new(Code::InvalidLimitBounds, value.span(), message, help));
            return None;
        }
        return Some(LimitRule::Fixed(fixed?.value));
    }
    let [set_initial, set_min, set_max] = bounds;
    // Bounds that the file does not set are adjusted to those that it sets.
    let max = set_max.map_or(Some(max), |max| Some(max?.value))?;
    let set_initial = set_initial.map_or(Some(None), |initial| Some(Some(initial?.value)))?;
    let default_min = min.min(max).min(set_initial.unwrap_or(min));
    let min = set_min.map_or(Some(default_min), |min| Some(min?.value))?;
    let initial = set_initial.unwrap_or(initial.min(max).max(min));
    if !(min..=max).contains(&initial) {
        let message = format!("the initial limit {initial} is outside its bounds, {min} to {max}");
        let help = "set `least` to at most `start`, and `start` to at most `most`";
        report.push(Diagnostic::new(Code::InvalidLimitBounds, value.span(), message, help));
        return None;
    }
    Some(LimitRule::Adaptive { initial, min, max })
}

/// How long a threshold must be passed if the file does not set it.
const DEFAULT_HOLD_TIME: Duration = Duration::from_secs(1);

fn brownout_rule(mut s: Section, report: &mut Report) -> Option<BrownoutRule> {
    let words = [
        ("no-copies", BrownoutRuleAction::DisableHedging),
        ("one-attempt", BrownoutRuleAction::DisableRetries),
        ("shed", BrownoutRuleAction::ShedClasses),
        ("fallback", BrownoutRuleAction::ServeFallback),
    ];
    let threshold = s.required("at", "\"10%\"", report).and_then(|v| read::share(v, report));
    let release_threshold = s.required("back", "\"2%\"", report).and_then(|v| read::share(v, report));
    let hold_time = s.get("after").map(|v| read::positive_duration(v, report));
    let action = s.required("does", "\"no-copies\"", report).and_then(|v| read::choice(v, &words, report));
    let classes = s.get("classes").map(|v| (v.span(), read::array(v, "class names", report)));
    let span = s.span.clone();
    s.finish(report);
    let named = classes.map(|(span, items)| (span, items.unwrap_or_default()));
    let mut classes = Vec::new();
    for item in named.iter().flat_map(|(_, items)| items) {
        classes.push(read::text(item, report)?);
    }
    let (threshold, release_threshold, action) = (threshold?, release_threshold?, action?);
    if (action.value == BrownoutRuleAction::ShedClasses) == classes.is_empty() {
        let message = "`classes` is required in a step that sheds, and not allowed in others";
        let help = "add `classes = [\"look\"]` to a step that sheds, or remove them from another one";
        let position = named.map_or(span, |(span, _)| span);
        report.push(Diagnostic::new(Code::StepClassesMismatch, position, message, help));
        return None;
    }
    let hold_time = hold_time.map_or(Some(DEFAULT_HOLD_TIME), |time| Some(time?.value))?;
    Some(BrownoutRule { threshold, release_threshold, hold_time, action: action.value, classes })
}

fn warm_up(mut s: Section, report: &mut Report) -> Option<WarmUp> {
    let share = s.required("share", "0.3", report).and_then(|v| read::share(v, report));
    let duration =
        s.required("warm-after", "\"8s\"", report).and_then(|v| read::positive_duration(v, report));
    let factor = s.required("factor", "4", report).and_then(|v| read::number(v, (1.0, 100.0), report));
    let time =
        s.required("overload-time", "\"1.5s\"", report).and_then(|v| read::positive_duration(v, report));
    s.finish(report);
    Some(WarmUp {
        initial_capacity: share?.value,
        duration: duration?.value,
        overload_factor: factor?.value,
        overload_time: time?.value,
    })
}

/// The maximum weight of a backend. Weights are relative, so larger ones are never needed.
const MAX_WEIGHT: f64 = 1e6;

fn backend(mut s: Section, report: &mut Report) -> Option<Backend> {
    let states = [("in-service", ServerState::Ready), ("draining", ServerState::Draining)];
    let name = s.required("name", "\"box-1\"", report).and_then(|v| read::name(v, report));
    let address = s.required("address", "\"127.0.0.1:9001\"", report).and_then(|v| read::address(v, report));
    let zone = s.get("zone").and_then(|v| read::name(v, report));
    let kind = s.get("kind").and_then(|v| read::name(v, report));
    let cell = s.get("cell").and_then(|v| count(v, (0, u64::from(u16::MAX)), report));
    let weight = s.get("weight").and_then(|v| read::number(v, (1e-6, MAX_WEIGHT), report));
    let state = s.get("state").and_then(|v| read::choice(v, &states, report));
    s.finish(report);
    Some(Backend { name: name?, address: address?, zone, kind, cell, weight, state })
}
