//! Renders a report as a self-contained HTML page with inline SVG charts.

use crate::report::{Report, RequestFigures, Run, TimeQuantiles, outcome_names};
use std::fmt::Write;

/// The size of a chart, and its margins left of and below the plot, in pixels.
const WIDTH: f64 = 860.0;
const HEIGHT: f64 = 240.0;
const LEFT: f64 = 60.0;
const BOTTOM: f64 = 30.0;

/// The colour of each outcome, in the order of reports. The legend names them.
const COLOURS: [&str; 5] = ["#2a7f3f", "#d69a1c", "#c0392b", "#6b2f8a", "#777777"];
/// The largest number of points of a curve. More than one for two pixels could not be distinguished.
const MAX_POINTS: usize = 430;

const STYLE: &str = "body{font:14px/1.5 system-ui,sans-serif;max-width:920px;margin:2em auto;padding:0 1em;color:#222}\
table{border-collapse:collapse;margin:1em 0}td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}\
td:first-child,th:first-child{text-align:left}.bad{color:#c0392b;font-weight:bold}svg{display:block;margin:.5em 0}\
text{font:11px system-ui,sans-serif;fill:#444}h2{margin-top:2em}";

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Renders the page of a report.
pub fn render_page(report: &Report) -> String {
    let mut out = String::new();
    // Writing to a string can't fail.
    let _ = write!(
        out,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Load on {0}</title><style>{STYLE}</style>\
         <h1>Load on {0}</h1><p>Seed {1}, {2:.1} s. Latency counts from the time at which a request was meant to go.</p>",
        escape(&report.target),
        report.seed,
        report.seconds
    );
    for note in &report.notes {
        let _ = write!(out, "<p>Note: {}</p>", escape(note));
    }
    for (number, run) in report.runs.iter().enumerate() {
        let _ = write!(
            out,
            "<h2>Run {}</h2><p>{} requests due, {:.1}/s asked, {:.1}/s reached, {} tries.</p>",
            number + 1,
            run.due,
            run.verdict.due_per_s,
            run.verdict.sent_per_s,
            run.attempts
        );
        for reason in &run.verdict.reasons {
            let _ = write!(out, "<p class=\"bad\">NOT VALID: {}</p>", escape(reason));
        }
        write_latency_over_time(&mut out, run);
        write_percentiles(&mut out, run);
        write_outcomes(&mut out, run);
        write_table(&mut out, "Class", std::iter::once(&run.all).chain(&run.classes));
        if !run.backends.is_empty() {
            write_table(&mut out, "Box", run.backends.iter());
        }
    }
    out.push_str("</html>\n");
    out
}

fn write_table<'p>(out: &mut String, heading: &str, rows: impl Iterator<Item = &'p RequestFigures>) {
    let _ = write!(out, "<table><tr><th>{heading}");
    for name in outcome_names() {
        let _ = write!(out, "<th>{name}");
    }
    out.push_str("<th>mean ms<th>p50<th>p90<th>p99<th>p99.9<th>max");
    for row in rows {
        let _ = write!(out, "<tr><td>{}", escape(&row.name));
        for count in row.outcomes {
            let _ = write!(out, "<td>{count}");
        }
        match row.latency {
            None => out.push_str(&"<td>–".repeat(6)),
            Some(t) => {
                for ms in [t.mean, t.p50, t.p90, t.p99, t.p999, t.max] {
                    let _ = write!(out, "<td>{ms:.2}");
                }
            }
        }
    }
    out.push_str("</table>");
}

/// How values are placed on the vertical axis.
#[derive(Clone, Copy, PartialEq)]
enum Scale {
    /// From 0.
    Linear,
    Logarithmic,
}

/// The vertical axis of a chart.
struct Axis {
    min: f64,
    max: f64,
    scale: Scale,
}

impl Axis {
    /// The vertical coordinate of a value, in pixels from the top.
    fn y(&self, value: f64) -> f64 {
        let fraction = match self.scale {
            Scale::Logarithmic => (value.max(self.min) / self.min).ln() / (self.max / self.min).ln(),
            Scale::Linear => value / self.max,
        };
        (HEIGHT - BOTTOM) * (1.0 - fraction.clamp(0.0, 1.0)) + 5.0
    }

    /// Opens the chart's SVG element and draws its grid lines.
    fn write_start(&self, out: &mut String, title: &str) {
        let _ = write!(
            out,
            "<h3>{title}</h3><svg viewBox=\"0 0 {WIDTH} {}\" width=\"100%\" role=\"img\" aria-label=\"{title}\">",
            HEIGHT + 10.0
        );
        let ticks: Vec<f64> = match self.scale {
            Scale::Logarithmic => (-3..8)
                .map(|power| 10f64.powi(power))
                .filter(|tick| (self.min..=self.max).contains(tick))
                .collect(),
            Scale::Linear => (0..5).map(|n| self.max * f64::from(n) / 4.0).collect(),
        };
        for tick in ticks {
            let y = self.y(tick);
            let _ = write!(
                out,
                "<line x1=\"{LEFT}\" x2=\"{WIDTH}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"#ddd\"/>\
                 <text x=\"{}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>",
                LEFT - 6.0,
                y + 4.0,
                (tick * 1000.0).round() / 1000.0
            );
        }
    }
}

/// Every nth item with its index, at most [`MAX_POINTS`] in all.
fn sampled<T>(all: &[T]) -> impl Iterator<Item = (usize, &T)> {
    let step = all.len().div_ceil(MAX_POINTS).max(1);
    all.iter().enumerate().step_by(step)
}

/// The horizontal coordinate of one of `count` points, in pixels.
fn x_of(number: usize, count: usize) -> f64 {
    LEFT + (WIDTH - LEFT) * number as f64 / count.saturating_sub(1).max(1) as f64
}

fn write_time_axis(out: &mut String, count: usize) {
    for quarter in 0..=4 {
        let number = (count.saturating_sub(1)) * quarter / 4;
        let anchor = if quarter == 4 { "end" } else { "start" };
        let (x, y) = (x_of(number, count), HEIGHT + 5.0);
        let _ = write!(out, "<text x=\"{x:.1}\" y=\"{y}\" text-anchor=\"{anchor}\">{number} s</text>");
    }
}

/// A curve of a chart: its colour, its dash pattern, and the value that it shows.
type Curve = (&'static str, &'static str, fn(&TimeQuantiles) -> f64);

fn write_latency_over_time(out: &mut String, run: &Run) {
    let latencies: Vec<_> = run.by_second.iter().filter_map(|second| second.latency).collect();
    if latencies.is_empty() {
        out.push_str("<p>No request was served, so there is no latency to draw.</p>");
        return;
    }
    let max = latencies.iter().map(|t| t.max).fold(0.0, f64::max).max(1.0) * 1.2;
    let min = latencies.iter().map(|t| t.p50).fold(f64::MAX, f64::min).clamp(0.01, max / 2.0) / 1.2;
    let axis = Axis { min, max, scale: Scale::Logarithmic };
    axis.write_start(out, "Latency over time, ms (p50 solid, p99 dashed, max dotted)");
    let lines: [Curve; 3] =
        [("#1f5fa8", "none", |t| t.p50), ("#d69a1c", "6 3", |t| t.p99), ("#c0392b", "1 3", |t| t.max)];
    for (colour, dashes, pick) in lines {
        let points = sampled(&run.by_second).filter_map(|(number, second)| {
            let x = x_of(number, run.by_second.len());
            Some(format!("{x:.1},{:.1}", axis.y(pick(&second.latency?))))
        });
        let points: Vec<_> = points.collect();
        let _ = write!(
            out,
            "<polyline fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\" stroke-dasharray=\"{dashes}\" points=\"{}\"/>",
            points.join(" ")
        );
    }
    write_time_axis(out, run.by_second.len());
    out.push_str("</svg>");
}

fn write_percentiles(out: &mut String, run: &Run) {
    let (Some((_, first)), Some((_, last))) = (run.curve.first(), run.curve.last()) else { return };
    let axis =
        Axis { min: first.clamp(0.01, 1e6) / 1.2, max: last.max(0.1) * 1.2, scale: Scale::Logarithmic };
    axis.write_start(out, "Latency by percentile, ms (both scales logarithmic)");
    // Logarithmic in 1 - quantile, from the minimum to the 99.999th percentile.
    let x = |quantile: f64| LEFT + (WIDTH - LEFT) * -(1.0 - quantile).max(1e-5).log10() / 5.0;
    let points: Vec<_> = run.curve.iter().map(|(q, ms)| format!("{:.1},{:.1}", x(*q), axis.y(*ms))).collect();
    let _ = write!(
        out,
        "<polyline fill=\"none\" stroke=\"#1f5fa8\" stroke-width=\"1.5\" points=\"{}\"/>",
        points.join(" ")
    );
    for (quantile, name) in [(0.0, "min"), (0.9, "p90"), (0.99, "p99"), (0.999, "p99.9"), (0.9999, "p99.99")]
    {
        let _ = write!(out, "<text x=\"{:.1}\" y=\"{}\">{name}</text>", x(quantile), HEIGHT + 5.0);
    }
    out.push_str("</svg>");
}

fn write_outcomes(out: &mut String, run: &Run) {
    let max =
        run.by_second.iter().map(|second| second.outcomes.iter().sum::<u64>()).max().unwrap_or(0) as f64;
    if max == 0.0 {
        return;
    }
    let axis = Axis { min: 0.0, max, scale: Scale::Linear };
    axis.write_start(out, "Outcomes a second");
    let count = run.by_second.len();
    let step = count.div_ceil(MAX_POINTS).max(1);
    let width = ((WIDTH - LEFT) / (count as f64 / step as f64)).max(1.0);
    for (number, second) in sampled(&run.by_second) {
        let x = LEFT + (WIDTH - LEFT) * number as f64 / count as f64;
        let mut stacked = 0.0;
        for (outcome, colour) in second.outcomes.iter().zip(COLOURS).filter(|(outcome, _)| **outcome > 0) {
            let (from, to) = (axis.y(stacked), axis.y(stacked + *outcome as f64));
            stacked += *outcome as f64;
            let _ = write!(
                out,
                "<rect x=\"{x:.1}\" y=\"{to:.1}\" width=\"{width:.1}\" height=\"{:.1}\" fill=\"{colour}\"/>",
                from - to
            );
        }
    }
    write_time_axis(out, count);
    out.push_str("</svg><p>");
    for (name, colour) in outcome_names().iter().zip(COLOURS) {
        let _ = write!(out, "<span style=\"color:{colour}\">■</span> {name} &nbsp; ");
    }
    out.push_str("</p>");
}
