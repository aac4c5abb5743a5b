//! Requests are served before the first fault, and again in time after the last one; and a summary of the
//! served shares.

use super::attempts::{AttemptEnd, Attempts};
use super::violation::{Checker, Violation};
use crate::history::{Event, History, ResponseKind};
use serde::Serialize;
use std::collections::BTreeMap;

/// The length of the windows in which service is measured after the last fault, µs.
const WINDOW_US: u64 = 500_000;
/// A window with fewer requests is too small a sample, and counts as good.
const MIN_REQUESTS: u64 = 4;

/// The served shares of a run, and its recovery time. Reports contain it as JSON: `rename` keeps the keys
/// stable.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ServiceSummary {
    /// The share of requests served before the first fault, 0 to 1; of all requests in a run without faults.
    pub before: f64,
    /// The share served from the start of the first fault to the end of the last; `None` without faults.
    pub during: Option<f64>,
    /// The share served after the last fault; `None` without faults.
    pub after: Option<f64>,
    /// The time from the end of the last fault to the start of the first window from which on all windows
    /// were good, ms; `None` if the last window was not good.
    #[serde(rename = "whole_again_ms")]
    pub recovered_after_ms: Option<u64>,
    /// The most requests that any backend received within one second.
    #[serde(rename = "worst_second")]
    pub max_starts_per_s: u64,
}

/// The number of requests, and how many of them were served.
#[derive(Clone, Copy, Default)]
struct ServedCount {
    served: u64,
    all: u64,
}

impl ServedCount {
    fn count(&mut self, is_served: bool) {
        self.served += u64::from(is_served);
        self.all += 1;
    }

    fn share(self) -> f64 {
        if self.all == 0 { 1.0 } else { self.served as f64 / self.all as f64 }
    }
}

struct RequestOutcome {
    /// When its first attempt was sent, µs.
    sent_us: u64,
    /// Whether any of its attempts was served.
    is_served: bool,
}

fn request_outcomes(attempts: &Attempts) -> BTreeMap<&str, RequestOutcome> {
    let mut requests: BTreeMap<&str, RequestOutcome> = BTreeMap::new();
    for attempt in attempts.by_id.values() {
        let is_served = matches!(attempt.end, Some((_, AttemptEnd::Response(ResponseKind::Served))));
        let first = RequestOutcome { sent_us: attempt.sent_us, is_served: false };
        let request = requests.entry(&attempt.request).or_insert(first);
        request.sent_us = request.sent_us.min(attempt.sent_us);
        request.is_served |= is_served;
    }
    requests
}

/// The end of the last fault, µs.
fn last_fault_end(attempts: &Attempts) -> Option<u64> {
    attempts.faults.iter().map(|fault| fault.to_us).max()
}

/// Summarizes the service of a run. A request counts at the time of its first attempt, and as served if any
/// of its attempts was served.
pub fn service_summary(history: &History, attempts: &Attempts) -> ServiceSummary {
    let first = attempts.faults.first().map(|fault| fault.from_us);
    let last = last_fault_end(attempts);
    let (mut before, mut during, mut after) =
        (ServedCount::default(), ServedCount::default(), ServedCount::default());
    let mut windows: BTreeMap<u64, ServedCount> = BTreeMap::new();
    for RequestOutcome { sent_us, is_served } in request_outcomes(attempts).into_values() {
        match (first, last) {
            (Some(first), Some(last)) if sent_us >= first => {
                if sent_us < last {
                    during.count(is_served);
                } else {
                    after.count(is_served);
                    windows.entry((sent_us - last) / WINDOW_US).or_default().count(is_served);
                }
            }
            _ => before.count(is_served),
        }
    }
    let served_share = history.bounds().map_or(0.0, |bounds| bounds.served_share);
    ServiceSummary {
        before: before.share(),
        during: first.map(|_| during.share()),
        after: first.map(|_| after.share()),
        recovered_after_ms: recovered_after_ms(&windows, served_share),
        max_starts_per_s: max_starts_per_s(history),
    }
}

/// The start of the first window from which on all windows are good, ms after the last fault. `windows` are
/// by number, and good if at least this share of their requests was served.
fn recovered_after_ms(windows: &BTreeMap<u64, ServedCount>, served_share: f64) -> Option<u64> {
    let is_good = |window: &ServedCount| window.all < MIN_REQUESTS || window.share() >= served_share;
    let last_bad = windows.iter().filter(|(_, window)| !is_good(window)).map(|(number, _)| *number).max();
    match (last_bad, windows.keys().max()) {
        (None, _) => Some(0),
        (Some(bad), Some(last)) if bad < *last => Some((bad + 1) * WINDOW_US / 1000),
        _ => None,
    }
}

fn max_starts_per_s(history: &History) -> u64 {
    // By backend and second.
    let mut starts: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    for entry in &history.entries {
        if matches!(entry.event, Event::ExecutionStarted { .. }) {
            *starts.entry((&entry.source, entry.at_us / 1_000_000)).or_default() += 1;
        }
    }
    starts.into_values().max().unwrap_or(0)
}

/// Reports that too few requests were served before the faults, or that service did not recover in time.
pub struct RecoveryChecker;

impl Checker for RecoveryChecker {
    fn name(&self) -> &'static str {
        "recovery"
    }

    fn rule(&self) -> &'static str {
        "requests are served before any fault, and service recovers in time after the last one"
    }

    fn check(&self, history: &History, attempts: &Attempts) -> Vec<Violation> {
        let Some(bounds) = history.bounds() else { return Vec::new() };
        let summary = service_summary(history, attempts);
        let violation =
            |at_us, description| Violation { checker: self.name(), description, at_us, evidence: Vec::new() };
        let mut violations = Vec::new();
        if summary.before < bounds.served_share {
            let description = format!(
                "{:.1}% of requests were served before any fault, at least {:.1}% must be",
                100.0 * summary.before,
                100.0 * bounds.served_share
            );
            violations.push(violation(0, description));
        }
        let last = last_fault_end(attempts).unwrap_or(0);
        match summary.recovered_after_ms {
            Some(after) if after > bounds.recovery_ms => {
                let most = bounds.recovery_ms;
                let description =
                    format!("service recovered {after} ms after the last fault, the limit is {most} ms");
                violations.push(violation(last, description));
            }
            None => {
                violations.push(violation(last, "service did not recover before the end of the run".into()))
            }
            Some(_) => {}
        }
        violations
    }
}
