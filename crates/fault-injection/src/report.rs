//! Renders a run as a self-contained HTML page: the verdict, charts of the outcomes of attempts with the
//! faults as a timeline, tables of nodes and backends, and the entries that show each violation.

mod charts;

use crate::checkers::{Attempt, AttemptEnd, Attempts, ServiceSummary, Verdict, Violation, service_summary};
use crate::history::{Entry, Event, History, ResponseKind};
use charts::charts;
use plotters::drawing::DrawingAreaErrorKind;
use quick_error::quick_error;
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::io;

/// The number of violations that are shown with their evidence; further ones are only counted.
const MAX_SHOWN_VIOLATIONS: usize = 10;

/// The names of the outcomes of attempts, in the order of table columns and curves.
const OUTCOMES: [&str; 4] = ["served", "rejected", "failed", "no response"];

/// The number of attempts with each of the [`OUTCOMES`].
type OutcomeCounts = [u64; OUTCOMES.len()];

quick_error! {
    /// Why a page can't be rendered.
    #[derive(Debug)]
    pub enum ReportError {
        /// A chart can't be drawn.
        Chart(source: DrawingAreaErrorKind<io::Error>) {
            from()
            display("{source}")
            source(source)
        }
        /// The HTML can't be formatted.
        Text(source: fmt::Error) {
            from()
            display("{source}")
            source(source)
        }
    }
}

/// The index of an attempt's outcome among the [`OUTCOMES`].
fn outcome_index(attempt: &Attempt) -> usize {
    match attempt.end.map(|(_, end)| end) {
        Some(AttemptEnd::Response(ResponseKind::Served)) => 0,
        Some(AttemptEnd::Response(ResponseKind::Rejected)) => 1,
        Some(AttemptEnd::Response(ResponseKind::Failed)) => 2,
        _ => 3,
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// An entry of a history as one line of text: its time, its source, and its fields under their stored names.
pub fn entry_text(entry: &Entry) -> String {
    let fields = serde_json::to_value(&entry.event).unwrap_or_default();
    let mut texts = vec![fields["what"].as_str().unwrap_or_default().replace('-', " ")];
    for (key, value) in fields.as_object().into_iter().flatten().filter(|(key, _)| *key != "what") {
        texts.push(format!("{key} {}", value.as_str().map_or_else(|| value.to_string(), String::from)));
    }
    format!("{:9.3} s  {:<10} {}", entry.at_us as f64 / 1e6, entry.source, texts.join(", "))
}

/// The entries that show a violation, each as [`entry_text`].
pub fn evidence_lines(history: &History, violation: &Violation) -> Vec<String> {
    violation.evidence.iter().filter_map(|index| history.entries.get(*index)).map(entry_text).collect()
}

fn percent(share: Option<f64>) -> String {
    share.map_or("–".into(), |share| format!("{:.1}%", 100.0 * share))
}

/// A service summary in one line.
pub fn summary_text(summary: &ServiceSummary) -> String {
    let recovery = match summary.recovered_after_ms {
        Some(ms) => format!("recovered after {ms} ms"),
        None => "not recovered".into(),
    };
    format!(
        "served {} before, {} during, {} after the faults; {recovery}; \
         at most {} requests per second at one backend",
        percent(Some(summary.before)),
        percent(summary.during),
        percent(summary.after),
        summary.max_starts_per_s
    )
}

fn write_table(page: &mut String, title: &str, rows: &[(String, Vec<u64>)], heads: &[&str]) -> fmt::Result {
    write!(page, "<h2>{title}</h2><table><tr><th></th>")?;
    heads.iter().try_for_each(|head| write!(page, "<th>{head}</th>"))?;
    for (name, figures) in rows {
        write!(page, "</tr><tr><td>{}</td>", escape(name))?;
        figures.iter().try_for_each(|figure| write!(page, "<td>{figure}</td>"))?;
    }
    page.push_str("</tr></table>");
    Ok(())
}

fn write_head(page: &mut String, history: &History, attempts: &Attempts, verdict: &Verdict) -> fmt::Result {
    let (name, seed) = match history.entries.first().map(|entry| &entry.event) {
        Some(Event::RunStarted { plan, seed, .. }) => (plan.clone(), *seed),
        _ => (String::new(), 0),
    };
    let result = match verdict {
        Verdict::Passed => "passed".to_string(),
        Verdict::Failed { violations } => format!("failed: {} violations", violations.len()),
        Verdict::NoVerdict { late_ms, max_lateness_ms } => {
            format!(
                "no verdict: timers of the trial were up to {late_ms} ms late, \
                 the plan allows {max_lateness_ms} ms"
            )
        }
    };
    write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{0}, seed {seed}</title><style>\
         body{{font:15px sans-serif;margin:2em;max-width:1000px}}td,th{{padding:2px 10px;text-align:right}}\
         td:first-child{{text-align:left}}pre{{background:#f4f4f4;padding:8px;overflow-x:auto}}</style>\
         <h1>{0}, seed {seed}: {1}</h1><p>{2}</p>",
        escape(&name),
        escape(&result),
        summary_text(&service_summary(history, attempts))
    )
}

fn write_tables(page: &mut String, history: &History, attempts: &Attempts) -> fmt::Result {
    let mut nodes: BTreeMap<&str, OutcomeCounts> = BTreeMap::new();
    for attempt in attempts.by_id.values() {
        nodes.entry(&attempt.node).or_default()[outcome_index(attempt)] += 1;
    }
    let rows: Vec<_> = nodes.into_iter().map(|(node, counts)| (node.to_string(), counts.to_vec())).collect();
    write_table(page, "Attempts by node", &rows, &OUTCOMES)?;
    // The numbers of executions and connections.
    let mut targets: BTreeMap<&str, [u64; 2]> = BTreeMap::new();
    for entry in &history.entries {
        match &entry.event {
            Event::ExecutionStarted { .. } => targets.entry(&entry.source).or_default()[0] += 1,
            Event::Connected { .. } => targets.entry(&entry.source).or_default()[1] += 1,
            _ => {}
        }
    }
    let rows: Vec<_> =
        targets.into_iter().map(|(name, counts)| (name.to_string(), counts.to_vec())).collect();
    write_table(page, "Backends and discovery", &rows, &["executions", "connections"])
}

fn write_violations(page: &mut String, history: &History, violations: &[Violation]) -> fmt::Result {
    for violation in violations.iter().take(MAX_SHOWN_VIOLATIONS) {
        write!(page, "<h3>{}: {}</h3>", violation.checker, escape(&violation.description))?;
        if !violation.evidence.is_empty() {
            write!(page, "<pre>{}</pre>", escape(&evidence_lines(history, violation).join("\n")))?;
        }
    }
    if violations.len() > MAX_SHOWN_VIOLATIONS {
        write!(page, "<p>and {} more</p>", violations.len() - MAX_SHOWN_VIOLATIONS)?;
    }
    Ok(())
}

/// The HTML page of a run.
///
/// # Errors
/// A chart can't be drawn.
pub fn page(history: &History, verdict: &Verdict) -> Result<String, ReportError> {
    let attempts = Attempts::of(history);
    let violations = match verdict {
        Verdict::Failed { violations } => &violations[..],
        Verdict::Passed | Verdict::NoVerdict { .. } => &[],
    };
    let mut page = String::new();
    write_head(&mut page, history, &attempts, verdict)?;
    page.push_str(&charts(history, &attempts)?);
    write_tables(&mut page, history, &attempts)?;
    write_violations(&mut page, history, violations)?;
    page.push_str("</html>\n");
    Ok(page)
}
