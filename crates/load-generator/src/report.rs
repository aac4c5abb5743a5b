//! The report of a plan: the results of its runs, as JSON and as a table for the terminal.

use crate::engine::RunOutput;
use crate::plan::Plan;
use crate::record::{Outcome, RequestStatistics};
use crate::trace::InvalidLine;
use crate::validity::Verdict;
use hdrhistogram::Histogram;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::fmt::Write;

// Reports are stored in files: `rename` keeps the names of their fields, and `expecting` the messages of
// serde errors.

/// The version of the report format.
const FORM: u32 = 1;

/// The report of a plan that was run once or repeatedly.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The version of the report format.
    pub form: u32,
    /// The target of the requests, as the caller names it.
    pub target: String,
    /// The seed of the plan.
    pub seed: u64,
    /// The planned duration of a run, in seconds.
    pub seconds: f64,
    /// Problems of the replayed trace; empty without one.
    #[serde(default)]
    pub notes: Vec<String>,
    /// The results of each run.
    pub runs: Vec<Run>,
}

/// The results of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Whether the results are valid, and if not, why.
    pub verdict: Verdict,
    /// The number of requests that the plan scheduled.
    pub due: u64,
    /// The number of attempts, including retries.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// The figures of all requests.
    pub all: RequestFigures,
    /// The figures by class, in the order of the plan.
    pub classes: Vec<RequestFigures>,
    /// The figures by the backend that responded last.
    #[serde(rename = "boxes")]
    pub backends: Vec<RequestFigures>,
    /// The figures by the second in which requests were due.
    pub by_second: Vec<RequestFigures>,
    /// The times from sending to response, which a closed loop would show as latency; `None` if no request
    /// was served.
    #[serde(rename = "service")]
    pub service_time: Option<TimeQuantiles>,
    /// How late the generator sent first attempts; `None` if it sent none.
    pub lag: Option<TimeQuantiles>,
    /// The busiest thread's share of a core, 0 to 1; `None` if the system does not report it.
    #[serde(rename = "cpu")]
    pub cpu_share: Option<f64>,
    /// Pairs of a quantile, 0 to 1, and the latency there in milliseconds; empty if no request was served.
    pub curve: Vec<(f64, f64)>,
}

/// The figures of a set of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Part")]
pub struct RequestFigures {
    /// The class, backend or second that the requests have in common; `all` for all.
    pub name: String,
    /// The number of requests by outcome, in the order of [`outcome_names`].
    pub outcomes: [u64; 5],
    /// The latencies of served requests from their due times; `None` if none was served.
    pub latency: Option<TimeQuantiles>,
}

/// The quantiles of a distribution of times, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Times")]
pub struct TimeQuantiles {
    /// The mean.
    pub mean: f64,
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The maximum.
    pub max: f64,
}

impl TimeQuantiles {
    fn of(histogram: &Histogram<u64>) -> Option<TimeQuantiles> {
        let ms = |micros: u64| micros as f64 / 1000.0;
        let at = |quantile| ms(histogram.value_at_quantile(quantile));
        (!histogram.is_empty()).then(|| TimeQuantiles {
            mean: histogram.mean() / 1000.0,
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: ms(histogram.max()),
        })
    }
}

fn figures(name: impl Into<String>, statistics: &RequestStatistics) -> RequestFigures {
    RequestFigures {
        name: name.into(),
        outcomes: statistics.outcomes,
        latency: TimeQuantiles::of(&statistics.latency),
    }
}

/// The latencies at 51 quantiles up to 0.99999, evenly spaced in the logarithm of 1 - quantile.
fn quantile_curve(histogram: &Histogram<u64>) -> Vec<(f64, f64)> {
    if histogram.is_empty() {
        return Vec::new();
    }
    let steps = (0..=50).map(|step| 1.0 - 10f64.powf(-f64::from(step) / 10.0));
    steps.map(|q| (q, histogram.value_at_quantile(q) as f64 / 1000.0)).collect()
}

impl Run {
    /// Computes the figures of a run.
    pub fn from_output(plan: &Plan, output: &RunOutput) -> Self {
        let record = &output.record;
        let classes = plan.classes.iter().zip(&record.classes);
        Run {
            verdict: output.verdict.clone(),
            due: output.due,
            attempts: record.attempts,
            all: figures("all", &record.all),
            classes: classes.map(|(class, sum)| figures(&class.name, sum)).collect(),
            backends: record.backends.iter().map(|(name, sum)| figures(name, sum)).collect(),
            by_second: record
                .seconds
                .iter()
                .enumerate()
                .map(|(n, sum)| figures(n.to_string(), sum))
                .collect(),
            service_time: TimeQuantiles::of(&record.service_time),
            lag: TimeQuantiles::of(&record.lag),
            cpu_share: output.cpu_share,
            curve: quantile_curve(&record.all.latency),
        }
    }
}

quick_error! {
    /// Why a report can't be read.
    #[derive(Debug)]
    pub enum ReportError {
        /// The text is not a report in JSON.
        Parse(source: serde_json::Error) {
            from()
            display("not a report: {source}")
            source(source)
        }
        /// The report has another version of the format.
        OtherForm(form: u32) {
            display("unsupported report form {form}: this program reads form {FORM}")
        }
    }
}

impl Report {
    /// A report without runs, with notes on the plan's trace.
    pub fn new(plan: &Plan, target: impl Into<String>) -> Self {
        let mut notes = Vec::new();
        if let Some(trace) = &plan.trace {
            if let Some(InvalidLine { number, reason }) = &trace.first_invalid {
                let count = trace.invalid_lines;
                notes.push(format!("{count} lines of the trace were not read; line {number}: {reason}"));
            }
            if trace.out_of_order > 0 {
                notes.push(format!("{} lines of the trace were out of order", trace.out_of_order));
            }
            if trace.is_truncated {
                notes.push("the trace is cut off in its last line".into());
            }
        }
        let seconds = plan.schedule.length.as_secs_f64();
        Report {
            form: FORM,
            target: target.into(),
            seed: plan.schedule.seed,
            seconds,
            notes,
            runs: Vec::new(),
        }
    }

    /// Parses a report in JSON.
    ///
    /// # Errors
    /// The text is not a report, or has another version of the format.
    pub fn read(text: &[u8]) -> Result<Self, ReportError> {
        let report: Report = serde_json::from_slice(text)?;
        if report.form != FORM {
            return Err(ReportError::OtherForm(report.form));
        }
        Ok(report)
    }

    /// The report as JSON, in one line.
    pub fn to_json(&self) -> String {
        // Serializing these types to a string can't fail.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Whether all runs are valid.
    pub fn is_valid(&self) -> bool {
        self.runs.iter().all(|run| run.verdict.is_valid())
    }

    /// The report as a table for the terminal, with the reasons of invalid runs and the notes.
    pub fn to_table(&self) -> String {
        let mut out = String::new();
        // Writing to a string can't fail.
        for (number, run) in self.runs.iter().enumerate() {
            let prefix = if self.runs.len() > 1 { format!("run {}: ", number + 1) } else { String::new() };
            let _ = writeln!(
                out,
                "{prefix}{} requests due in {:.1} s to {}; {:.1}/s asked, {:.1}/s reached, {} tries",
                run.due,
                self.seconds,
                self.target,
                run.verdict.due_per_s,
                run.verdict.sent_per_s,
                run.attempts
            );
            write_table(&mut out, run);
            for reason in &run.verdict.reasons {
                let _ = writeln!(out, "NOT VALID: {reason}");
            }
        }
        for note in &self.notes {
            let _ = writeln!(out, "note: {note}");
        }
        out
    }
}

fn write_table(out: &mut String, run: &Run) {
    let _ = writeln!(
        out,
        "{:<20}{:>9}{:>9}{:>9}{:>7}{:>8} | ms {:>8}{:>9}{:>9}{:>9}{:>9}{:>9}",
        "", "served", "refused", "failed", "lost", "unsent", "mean", "p50", "p90", "p99", "p99.9", "max"
    );
    let times = |out: &mut String, times: &Option<TimeQuantiles>| {
        let _ = match times {
            None => writeln!(out, "{:>8}{:>9}{:>9}{:>9}{:>9}{:>9}", "-", "-", "-", "-", "-", "-"),
            Some(t) => writeln!(
                out,
                "{:>8.2}{:>9.2}{:>9.2}{:>9.2}{:>9.2}{:>9.2}",
                t.mean, t.p50, t.p90, t.p99, t.p999, t.max
            ),
        };
    };
    let mut row = |figures: &RequestFigures| {
        let [served, refused, failed, lost, unsent] = figures.outcomes;
        let name: String = figures.name.chars().take(19).collect();
        let _ = write!(out, "{name:<20}{served:>9}{refused:>9}{failed:>9}{lost:>7}{unsent:>8} |    ");
        times(out, &figures.latency);
    };
    row(&run.all);
    if run.classes.len() > 1 {
        run.classes.iter().for_each(&mut row);
    }
    run.backends.iter().for_each(&mut row);
    let _ = write!(out, "{:<62} |    ", "from sending (as a closed loop would see it)");
    times(out, &run.service_time);
    let _ = write!(out, "{:<62} |    ", "behind schedule");
    times(out, &run.lag);
}

/// The names of outcomes in the order of the counts in reports.
pub fn outcome_names() -> [&'static str; 5] {
    Outcome::ALL.map(Outcome::name)
}
