//! Formats the observations and the results of the rules for the terminal.

use crate::configuration::{LIMITED_TENANT, UNLIMITED_TENANT};
use crate::observations::{Attempt, Observations, Outcome};
use crate::request_kind::RequestKind;
use crate::rules::RuleResult;
use crate::topology::FRONTENDS;
use std::time::Duration;

/// The number of violations of a rule that are shown; further ones are only counted.
const MAX_SHOWN: usize = 5;

/// Formats the observations as tables.
pub fn format_observations(observations: &Observations) -> String {
    [
        format_requests(observations),
        format_configurations(observations),
        format_drains(observations),
        format_views(observations),
    ]
    .join("\n")
}

fn format_requests(observations: &Observations) -> String {
    let head = ["requests", "sent", "served", "rejected", "timed out", "failed", "p50 ms", "p99 ms"];
    let mut rows = vec![head.map(str::to_string).to_vec()];
    let ordinary = RequestKind::ALL.into_iter().filter(|kind| *kind != RequestKind::Added);
    for kind in ordinary {
        let of_kind = |attempt: &&Attempt| attempt.kind == kind && attempt.tenant == UNLIMITED_TENANT.name;
        rows.push(request_row(kind.name().to_string(), observations.attempts.iter().filter(of_kind)));
    }
    let limited = LIMITED_TENANT;
    let of_limited = observations.attempts.iter().filter(|attempt| attempt.tenant == limited.name);
    let name = format!("{}, limited to {:.0}/s", limited.name, limited.rate_per_s);
    rows.push(request_row(name, of_limited));
    let note = "(ms to the first event of a stream, or to the first byte of other responses)";
    format!("{}{note}\n", format_columns(&rows))
}

fn request_row<'a>(name: String, attempts: impl Iterator<Item = &'a Attempt>) -> Vec<String> {
    let attempts: Vec<&Attempt> = attempts.collect();
    let count =
        |which: fn(&Outcome) -> bool| attempts.iter().filter(|attempt| which(&attempt.outcome)).count();
    let served = attempts.iter().filter(|attempt| attempt.outcome == Outcome::Served);
    let mut latencies: Vec<Duration> = served.filter_map(|attempt| attempt.first_byte).collect();
    latencies.sort();
    vec![
        name,
        attempts.len().to_string(),
        count(|outcome| *outcome == Outcome::Served).to_string(),
        count(|outcome| matches!(outcome, Outcome::Rejected(_) | Outcome::Denied(_))).to_string(),
        count(|outcome| *outcome == Outcome::TimedOut).to_string(),
        count(|outcome| matches!(outcome, Outcome::Interrupted(_) | Outcome::Failed(_))).to_string(),
        format_quantile(&latencies, 0.5),
        format_quantile(&latencies, 0.99),
    ]
}

/// A quantile in whole milliseconds, or `-` without values.
fn format_quantile(sorted: &[Duration], quantile: f64) -> String {
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .map_or("-".into(), |time| time.as_millis().to_string())
}

fn format_configurations(observations: &Observations) -> String {
    let mut head = vec!["configuration".to_string(), "acknowledged".to_string()];
    head.extend((1..=FRONTENDS).map(|number| format!("frontend-{number}")));
    let mut rows = vec![head];
    for acknowledged in &observations.acknowledged {
        let Some(prefix) = &acknowledged.added_route else { continue };
        let mut row =
            vec![acknowledged.generation.to_string(), format!("{:.1} s", acknowledged.at.as_secs_f64())];
        row.extend((0..FRONTENDS).map(|frontend| {
            let on_route = |attempt: &&Attempt| {
                attempt.frontend == frontend
                    && attempt.path.starts_with(prefix)
                    && attempt.outcome == Outcome::Served
            };
            let first = observations.attempts.iter().filter(on_route).map(|attempt| attempt.sent_at).min();
            first.map_or("not seen".into(), |at| {
                format!("{:+} ms", at.as_millis() as i64 - acknowledged.at.as_millis() as i64)
            })
        }));
        rows.push(row);
    }
    let note = "(time from the acknowledgement until it was first seen in force; probed every 100 ms)";
    format!("{}{note}\n", format_columns(&rows))
}

fn format_drains(observations: &Observations) -> String {
    let mut text = String::new();
    for drain in &observations.drains {
        let arrivals = observations.arrivals.iter().filter(|arrival| arrival.instance == drain.instance);
        let last =
            arrivals.map(|arrival| arrival.at.saturating_sub(drain.listed_at)).max().unwrap_or_default();
        text += &format!(
            "drain of {}: the last request arrived {} ms after it was listed\n",
            drain.instance,
            last.as_millis()
        );
    }
    text
}

fn format_views(observations: &Observations) -> String {
    let mut rows = vec![["view", "seen", "chain"].map(str::to_string).to_vec()];
    rows.extend(observations.views.iter().map(|view| {
        vec![view.number.to_string(), format!("{:.1} s", view.at.as_secs_f64()), view.chain.join(" > ")]
    }));
    format_columns(&rows)
}

/// Formats the rules with their first violations.
pub fn format_rules(rules: &[RuleResult]) -> String {
    let mut text = String::new();
    for rule in rules {
        let state = if rule.violations.is_empty() { "kept  " } else { "BROKEN" };
        text += &format!("  {state}  {}\n", rule.name);
        for violation in rule.violations.iter().take(MAX_SHOWN) {
            text += &format!("            {violation}\n");
        }
        if rule.violations.len() > MAX_SHOWN {
            text += &format!("            and {} more\n", rule.violations.len() - MAX_SHOWN);
        }
    }
    text
}

/// Formats rows as columns, each as wide as its widest cell. The first column is left-aligned, the others
/// right-aligned.
fn format_columns(rows: &[Vec<String>]) -> String {
    let count = rows.first().map_or(0, Vec::len);
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..count).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let mut line = format!("  {:<1$}", row[0], widths[0]);
        for (cell, width) in row.iter().zip(&widths).skip(1) {
            line += &format!("  {cell:>width$}");
        }
        text += line.trim_end();
        text.push('\n');
    }
    text
}
