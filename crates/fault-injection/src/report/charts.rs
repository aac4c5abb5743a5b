//! The charts of a report page, as SVG.

use super::{OUTCOMES, OutcomeCounts, ReportError, outcome_index};
use crate::checkers::Attempts;
use crate::history::{Event, History};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// The time between two points of a curve, µs.
const STEP_US: u64 = 250_000;
/// The number of nodes with a chart of their own. The table has all nodes.
const MAX_NODE_CHARTS: usize = 12;
/// The colours of the [`OUTCOMES`].
const OUTCOME_COLOURS: [RGBColor; OUTCOMES.len()] =
    [RGBColor(30, 130, 76), RGBColor(200, 140, 20), RGBColor(190, 40, 40), RGBColor(90, 60, 150)];
/// The width of a chart, in pixels.
const WIDTH: u32 = 960;
/// The widths of the margins beside the plot area, in pixels.
const LEFT_MARGIN: f64 = 60.0;
const RIGHT_MARGIN: f64 = 10.0;
/// The height of the row of a fault, in pixels.
const FAULT_ROW_HEIGHT: u32 = 18;
/// The hue of each curve differs from the one before by this, close to the golden ratio, so that hues are
/// distinct.
const HUE_STEP: f64 = 0.618;

/// A fault on the timeline.
struct FaultBar {
    from_us: u64,
    to_us: u64,
    text: String,
}

/// A curve: its name, its colour, and its points by step.
struct Curve {
    name: String,
    colour: RGBColor,
    points: BTreeMap<u64, u64>,
}

/// The first and the last step of the charts.
#[derive(Clone, Copy)]
struct StepRange {
    first: u64,
    last: u64,
}

/// The contents of one chart.
struct Chart<'a> {
    title: &'a str,
    curves: Vec<Curve>,
    steps: StepRange,
    /// The height without the timeline of faults, in pixels.
    height: u32,
    /// The faults of the timeline below the curves.
    faults: &'a [FaultBar],
}

fn fault_bars(history: &History) -> Vec<FaultBar> {
    let end_us = history.entries.last().map_or(0, |entry| entry.at_us);
    let mut bars: BTreeMap<usize, FaultBar> = BTreeMap::new();
    for entry in &history.entries {
        match &entry.event {
            Event::FaultStarted { fault, text } => {
                let bar = FaultBar { from_us: entry.at_us, to_us: end_us, text: text.clone() };
                bars.insert(*fault, bar);
            }
            Event::FaultEnded { fault } => {
                bars.entry(*fault).and_modify(|bar| bar.to_us = entry.at_us);
            }
            _ => {}
        }
    }
    bars.into_values().collect()
}

/// A curve for each outcome: the attempts with it by the step in which they were sent, of one node or of all.
fn outcome_curves(attempts: &Attempts, node: Option<&str>) -> Vec<Curve> {
    let mut steps: BTreeMap<u64, OutcomeCounts> = BTreeMap::new();
    let sent = attempts.by_id.values().filter(|attempt| node.is_none_or(|node| attempt.node == node));
    for attempt in sent {
        steps.entry(attempt.sent_us / STEP_US).or_default()[outcome_index(attempt)] += 1;
    }
    let curve = |index: usize| Curve {
        name: OUTCOMES[index].into(),
        colour: OUTCOME_COLOURS[index],
        points: steps.iter().map(|(step, counts)| (*step, counts[index])).collect(),
    };
    (0..OUTCOMES.len()).map(curve).collect()
}

/// A curve for each backend: the executions that it started by step.
fn backend_curves(history: &History) -> Vec<Curve> {
    let mut backends: BTreeMap<&str, BTreeMap<u64, u64>> = BTreeMap::new();
    for entry in &history.entries {
        if matches!(entry.event, Event::ExecutionStarted { .. }) {
            *backends.entry(&entry.source).or_default().entry(entry.at_us / STEP_US).or_default() += 1;
        }
    }
    let curve = |(number, (name, points)): (usize, (&str, BTreeMap<u64, u64>))| {
        let (red, green, blue) = HSLColor(number as f64 * HUE_STEP % 1.0, 0.7, 0.4).to_rgba().rgb();
        Curve { name: name.into(), colour: RGBColor(red, green, blue), points }
    };
    backends.into_iter().enumerate().map(curve).collect()
}

fn second(step: u64) -> f64 {
    (step * STEP_US) as f64 / 1e6
}

fn per_second(count: u64) -> f64 {
    count as f64 * 1e6 / STEP_US as f64
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

impl Chart<'_> {
    fn draw(self) -> Result<String, ReportError> {
        let seconds = second(self.steps.first)..second(self.steps.last + 1);
        let (height, faults) = (self.height, self.faults);
        let mut svg = String::new();
        {
            let size = (WIDTH, height + FAULT_ROW_HEIGHT * faults.len() as u32);
            let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
            area.fill(&WHITE)?;
            let (upper, lower) = area.split_vertically(height);
            self.draw_curves(&upper, seconds.clone())?;
            draw_faults(&lower, faults, &seconds)?;
            area.present()?;
        }
        Ok(svg)
    }

    fn draw_curves(self, area: &Area, seconds: Range<f64>) -> Result<(), ReportError> {
        let counts = self.curves.iter().flat_map(|curve| curve.points.values());
        let max = counts.max().copied().unwrap_or(1).max(1);
        let mut chart = ChartBuilder::on(area)
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(seconds, 0.0..per_second(max) * 1.1)?;
        chart.configure_mesh().x_desc("seconds").y_desc(self.title).light_line_style(WHITE).draw()?;
        let StepRange { first, last } = self.steps;
        for Curve { name, colour, points } in self.curves {
            let points = (first..=last)
                .map(|step| (second(step), per_second(points.get(&step).copied().unwrap_or(0))));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2)));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
        Ok(())
    }
}

/// Draws the timeline: a bar for each fault, one a row.
fn draw_faults(area: &Area, faults: &[FaultBar], seconds: &Range<f64>) -> Result<(), ReportError> {
    let width = f64::from(WIDTH) - LEFT_MARGIN - RIGHT_MARGIN;
    let x = |at_us: u64| {
        let fraction = (at_us as f64 / 1e6 - seconds.start) / (seconds.end - seconds.start);
        (LEFT_MARGIN + width * fraction.clamp(0.0, 1.0)) as i32
    };
    for (row, FaultBar { from_us, to_us, text }) in faults.iter().enumerate() {
        let (left, right) = (x(*from_us), x(*to_us));
        let y = 4 + FAULT_ROW_HEIGHT as i32 * row as i32;
        let corners = [(left, y), (right.max(left + 2), y + 12)];
        area.draw(&Rectangle::new(corners, RED.mix(0.3).filled()))?;
        area.draw(&Text::new(text.clone(), (left + 4, y), ("sans-serif", 12)))?;
    }
    Ok(())
}

/// All charts: of all nodes together with the faults, of single nodes, and of the backends. Empty for a
/// history without attempts.
pub(super) fn charts(history: &History, attempts: &Attempts) -> Result<String, ReportError> {
    let curves = outcome_curves(attempts, None);
    let sent_in = || curves[0].points.keys().copied();
    let (Some(first), Some(last)) = (sent_in().min(), sent_in().max()) else { return Ok(String::new()) };
    let steps = StepRange { first, last };
    let faults = fault_bars(history);
    let mut page =
        Chart { title: "attempts per second", curves, steps, height: 300, faults: &faults }.draw()?;
    let nodes: BTreeSet<&str> = attempts.by_id.values().map(|attempt| attempt.node.as_str()).collect();
    for node in nodes.into_iter().take(MAX_NODE_CHARTS) {
        let curves = outcome_curves(attempts, Some(node));
        page += &Chart { title: node, curves, steps, height: 150, faults: &[] }.draw()?;
    }
    let curves = backend_curves(history);
    page += &Chart { title: "executions per second", curves, steps, height: 220, faults: &[] }.draw()?;
    Ok(page)
}
