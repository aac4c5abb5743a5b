//! Compares two reports: the difference of each metric, with a confidence interval if both plans were run
//! repeatedly.

use crate::report::{Report, Run};
use std::fmt::Write;

/// A confidence interval of a difference, in the unit of its metric.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// The lower bound.
    pub from: f64,
    /// The upper bound.
    pub to: f64,
}

/// A metric that is compared between two reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The name of the metric, with its unit.
    pub name: &'static str,
    /// The mean over the runs of the first report.
    pub first_mean: f64,
    /// The mean over the runs of the second report.
    pub second_mean: f64,
    /// The second mean minus the first.
    pub difference: f64,
    /// The 95% confidence interval of the difference; `None` if a report has fewer than two runs with this
    /// metric.
    pub interval: Option<Interval>,
}

impl Row {
    /// Whether the interval excludes a difference of 0. Always `false` without an interval.
    pub fn is_significant(&self) -> bool {
        self.interval.is_some_and(|Interval { from, to }| from > 0.0 || to < 0.0)
    }
}

/// The name of a metric, and how it is read from a run; `None` if the run has no value.
type Metric = (&'static str, fn(&Run) -> Option<f64>);

const METRICS: [Metric; 8] = [
    ("p50 ms", |run| Some(run.all.latency?.p50)),
    ("p90 ms", |run| Some(run.all.latency?.p90)),
    ("p99 ms", |run| Some(run.all.latency?.p99)),
    ("p99.9 ms", |run| Some(run.all.latency?.p999)),
    ("max ms", |run| Some(run.all.latency?.max)),
    ("mean ms", |run| Some(run.all.latency?.mean)),
    ("served %", |run| {
        let all: u64 = run.all.outcomes.iter().sum();
        (all > 0).then(|| 100.0 * run.all.outcomes[0] as f64 / all as f64)
    }),
    ("reached /s", |run| Some(run.verdict.sent_per_s)),
];

/// The 97.5% quantile of Student's t-distribution with this many degrees of freedom.
fn student_quantile(degrees_of_freedom: f64) -> f64 {
    const TABLE: [f64; 30] = [
        12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
        2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048,
        2.045, 2.042,
    ];
    let row = degrees_of_freedom.floor().max(1.0) as usize - 1;
    TABLE.get(row).copied().unwrap_or(1.96 + 2.5 / degrees_of_freedom)
}

fn mean_and_variance(values: &[f64]) -> (f64, f64) {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n;
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    (mean, if values.len() > 1 { squares / (n - 1.0) } else { 0.0 })
}

/// Compares two reports, metric by metric. Intervals are Welch's: the variances of the two reports may
/// differ.
pub fn compare(first: &Report, second: &Report) -> Vec<Row> {
    let row = |(name, value_of): Metric| {
        let values = |report: &Report| report.runs.iter().filter_map(value_of).collect::<Vec<_>>();
        let (a, b) = (values(first), values(second));
        if a.is_empty() || b.is_empty() {
            return None;
        }
        let ((mean_a, var_a), (mean_b, var_b)) = (mean_and_variance(&a), mean_and_variance(&b));
        let (na, nb) = (a.len() as f64, b.len() as f64);
        let difference = mean_b - mean_a;
        let interval = (a.len() > 1 && b.len() > 1).then(|| {
            // The squared standard errors of the two means.
            let (error_a, error_b) = (var_a / na, var_b / nb);
            let denominator = error_a.powi(2) / (na - 1.0) + error_b.powi(2) / (nb - 1.0);
            let degrees_of_freedom = (error_a + error_b).powi(2) / denominator.max(1e-300);
            let margin = student_quantile(degrees_of_freedom) * (error_a + error_b).sqrt();
            Interval { from: difference - margin, to: difference + margin }
        });
        Some(Row { name, first_mean: mean_a, second_mean: mean_b, difference, interval })
    };
    METRICS.into_iter().filter_map(row).collect()
}

/// The comparison as a table for the terminal, followed by the reasons why runs are invalid.
pub fn render_table(first: &Report, second: &Report) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<12}{:>12}{:>12}{:>12}   95% confidence interval of the difference",
        "", "first", "second", "diff"
    );
    for row in compare(first, second) {
        let interval = match row.interval {
            None => "none: each report needs at least two runs".into(),
            Some(Interval { from, to }) => {
                let note = if row.is_significant() { "" } else { "  (not significant)" };
                format!("{from:.3} to {to:.3}{note}")
            }
        };
        let (a, b) = (row.first_mean, row.second_mean);
        let _ = writeln!(out, "{:<12}{a:>12.3}{b:>12.3}{:>+12.3}   {interval}", row.name, row.difference);
    }
    for (name, report) in [("first", first), ("second", second)] {
        for reason in report.runs.iter().flat_map(|run| &run.verdict.reasons) {
            let _ = writeln!(out, "NOT VALID: {name}: {reason}");
        }
    }
    out
}

#[cfg(test)]
mod tests;
