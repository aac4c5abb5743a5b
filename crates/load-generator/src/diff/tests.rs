//! Tests of `diff`, which see its private items.

use super::*;
use crate::plan::Plan;
use crate::report::{RequestFigures, TimeQuantiles};
use crate::validity::Verdict;
use std::time::Duration;

fn report(p50: &[f64]) -> Report {
    let plan = Plan::steady(1.0, Duration::from_secs(1), "GET", "/").expect("a plan");
    let mut report = Report::new(&plan, "t");
    report.runs = p50
        .iter()
        .map(|p50| {
            let latency = TimeQuantiles { mean: 1.0, p50: *p50, p90: 1.0, p99: 1.0, p999: 1.0, max: 1.0 };
            Run {
                verdict: Verdict::default(),
                due: 1,
                attempts: 1,
                all: RequestFigures { name: "all".into(), outcomes: [1, 0, 0, 0, 0], latency: Some(latency) },
                classes: vec![],
                backends: vec![],
                by_second: vec![],
                service_time: None,
                lag: None,
                cpu_share: None,
                curve: vec![],
            }
        })
        .collect();
    report
}

/// Calculated by hand: with means 10 and 12, variances 1 and 4 and five runs each, the standard error is 1
/// and Welch's degrees of freedom are 5.88.
#[test]
fn the_interval_is_that_of_welchs_test() {
    let a = report(&[9.0, 9.0, 10.0, 11.0, 11.0]);
    let b = report(&[10.0, 10.0, 12.0, 14.0, 14.0]);
    let rows = compare(&a, &b);
    assert_eq!(
        (rows[0].name, rows[0].first_mean, rows[0].second_mean, rows[0].difference),
        ("p50 ms", 10.0, 12.0, 2.0)
    );
    let Interval { from, to } = rows[0].interval.expect("an interval");
    // The quantile for 5 degrees of freedom is 2.571.
    assert!((from - (2.0 - 2.571)).abs() < 1e-9 && (to - (2.0 + 2.571)).abs() < 1e-9, "{from} {to}");
    assert!(!rows[0].is_significant());
    assert!(compare(&report(&[1.0, 1.1]), &report(&[9.0, 9.1]))[0].is_significant());
}

#[test]
fn a_single_run_has_no_interval_and_a_report_without_runs_no_rows() {
    assert_eq!(compare(&report(&[1.0]), &report(&[2.0, 3.0]))[0].interval, None);
    assert!(compare(&report(&[]), &report(&[2.0])).is_empty());
    assert!(
        render_table(&report(&[1.0]), &report(&[2.0])).contains("none: each report needs at least two runs")
    );
}
