//! Plots and prints goodput and p99 latency by offered load, for fixed limits, no limit, and an adaptive
//! limit. The argument is the folder for the plots.
//!
//! `cargo run --release -p overload-simulation --example goodput -- docs/figures`

use admission_control::backends::LimitSettings;
use admission_control::gate::{ClassSettings, TenantSettings};
use admission_control::limit::LimitBounds;
use join_up_to::{CapacitySource, Class, Hedging, Repeat, RetryOn, Settings};
use overload_simulation::tally::jain_index;
use overload_simulation::{
    BackendSpec, ClientRetry, ListedBackend, ServiceTime, Stream, Surge, Tally, simulate,
};
use plotters::prelude::*;
use std::error::Error;
use std::path::PathBuf;
use std::time::Duration;

/// The capacity in requests per second of four backends with four cores and a service time of 20 ms. With
/// more than four queued requests per core they take twice as long.
const CAPACITY: f64 = 800.0;
const LOADS: [f64; 10] = [0.5, 0.8, 0.95, 1.1, 1.5, 2.0, 3.0, 5.0, 10.0, 20.0];
const SECONDS: u32 = 40;
/// Goodput is measured from this second, when limits have converged.
const SETTLED: usize = 15;

fn surge(load: f64, bounds: Option<LimitBounds>, tenants: usize) -> Surge {
    let mut settings = Settings { capacity_source: CapacitySource::Provided, ..Settings::default() };
    settings.limits.cancel = true;
    let attempt_policy = join_up_to::AttemptPolicy {
        max_attempts: Some(3),
        retry_on: RetryOn { never_ran: true, error: false, reset: false, timed_out: false },
        hedging: Hedging::Never,
        retry_budget: Some(join_up_to::RetryBudget { share: 0.2, per_s: 1.0 }),
        ..join_up_to::AttemptPolicy::default()
    };
    let class =
        Class { repeat: Repeat::Safe, late_value: 1.0, attempt_policy, ..settings.classes[0].clone() };
    settings.classes = vec![class];
    let spec = BackendSpec { cores: 4, speed: 1.0, queue: 1000, degraded_above: 4.0, degradation: 2.0 };
    let stream = |tenant: usize| Stream {
        class: 0,
        tenant,
        node: 0,
        // The rates of tenants increase linearly, and add up to the load.
        rate: CAPACITY * load * 2.0 * (tenant + 1) as f64 / (tenants * (tenants + 1)) as f64,
        from: 0.0,
        to: f64::from(SECONDS),
        timeout: Duration::from_secs(1),
        service_time: ServiceTime::Exponential(0.02),
        retry: ClientRetry::Never,
    };
    let class = ClassSettings {
        name: "c".into(),
        priority_weight: 1.0,
        min_retry_after: Duration::from_secs(1),
        max_queue_time: None,
    };
    let tenant = |n| TenantSettings { name: format!("t{n}"), share: None, guaranteed_rate: 0.0 };
    Surge {
        settings,
        gate: Some(admission_control::GateSettings {
            limits: LimitSettings { bounds, slow_start: None },
            classes: vec![class],
            tenants: (0..tenants).map(tenant).collect(),
            brownout: Vec::new(),
        }),
        backends: vec![ListedBackend { spec, weight: 1.0, kind: 0 }; 4],
        streams: (0..tenants).map(stream).collect(),
        faults: Vec::new(),
        seconds: SECONDS,
        seed: 11,
    }
}

fn p99(tally: &Tally) -> f64 {
    tally.streams[0].latency.value_at_quantile(0.99) as f64 / 1000.0
}

/// The name of a curve, and its points: load, goodput and p99 in ms.
type Curve = (&'static str, Vec<(f64, f64, f64)>);

fn plot(
    path: &std::path::Path,
    curves: &[Curve],
    label: &str,
    value: fn(&(f64, f64, f64)) -> f64,
    max: f64,
) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, (760, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(42)
        .y_label_area_size(56)
        .build_cartesian_2d((0.5f64..20.0).log_scale(), 0.0..max)?;
    chart.configure_mesh().x_desc("offered load, in multiples of the capacity").y_desc(label).draw()?;
    for ((name, points), color) in curves.iter().zip([&RED, &BLUE, &GREEN, &MAGENTA]) {
        let points: Vec<_> = points.iter().map(|point| (point.0, value(point))).collect();
        chart
            .draw_series(LineSeries::new(points.clone(), color.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
        chart.draw_series(points.into_iter().map(|point| Circle::new(point, 3, color.filled())))?;
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3)).draw()?;
    root.present()?;
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| "docs/figures".into()));
    std::fs::create_dir_all(&folder)?;
    let fixed = |limit: f64| {
        Some(LimitBounds { initial: limit, min: 1.0, max: limit, is_adaptive: false, nodes: 1.0 })
    };
    let adaptive =
        Some(LimitBounds { initial: 16.0, min: 2.0, max: 10_000.0, is_adaptive: true, nodes: 1.0 });
    let variants =
        [("no limit", None), ("fixed 4", fixed(4.0)), ("fixed 50", fixed(50.0)), ("adaptive", adaptive)];
    let mut curves: Vec<Curve> = Vec::new();
    println!("| load | {} |", variants.map(|(name, _)| format!("{name}: served/s, p99 ms")).join(" | "));
    for (name, bounds) in variants {
        let point = |load: f64| {
            let tally = simulate(&surge(load, bounds, 1));
            assert!(tally.violations.is_empty(), "{:?}", tally.violations.first());
            (load, tally.goodput(SETTLED, SECONDS as usize), p99(&tally))
        };
        curves.push((name, LOADS.map(point).to_vec()));
    }
    for (index, load) in LOADS.iter().enumerate() {
        let cells: Vec<_> = curves
            .iter()
            .map(|(_, points)| format!("{:.0}, {:.0}", points[index].1, points[index].2))
            .collect();
        println!("| {load} | {} |", cells.join(" | "));
    }
    plot(&folder.join("goodput.svg"), &curves, "served requests per second", |point| point.1, 900.0)?;
    plot(&folder.join("p99.svg"), &curves, "p99 latency of served requests, ms", |point| point.2, 1100.0)?;
    for load in [2.0, 10.0] {
        let tally = simulate(&surge(load, adaptive, 20));
        let parts: Vec<_> = tally.streams.iter().map(|s| s.work).collect();
        println!(
            "Jain's index over 20 tenants, of which the largest sends 20 times the rate of the smallest, at {load} x: {:.4}",
            jain_index(&parts)
        );
    }
    Ok(())
}
