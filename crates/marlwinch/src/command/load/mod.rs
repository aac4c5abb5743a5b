//! `marlwinch load`: parses the arguments, runs the load generator or compares two reports, and writes the
//! report.

mod error;
mod progress;

pub use error::LoadError;
pub use progress::run_with_progress;

use load_generator::engine::AttemptLog;
use load_generator::plan::Plan;
use load_generator::report::{Report, Run};
use load_generator::{diff, html, trace};
use quick_error::quick_error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use units::DurationError;

/// The arguments of `load`. The doc comments of the fields are the help text.
#[derive(clap::Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct LoadArguments {
    #[command(subcommand)]
    compare: Option<Compare>,
    /// A load plan (TOML), or the target if options replace the plan
    #[arg(required = true)]
    plan_or_target: Option<String>,
    /// The target of a plan, such as 127.0.0.1:8080 or http://127.0.0.1:8080/path; loopback addresses only
    target: Option<String>,
    /// Send this number of requests per second in place of a plan
    #[arg(long, requires = "length")]
    rate: Option<f64>,
    /// Duration of a run with --rate, such as 30s
    #[arg(long = "for", value_name = "TIME", value_parser = parse_duration)]
    length: Option<Duration>,
    /// Replay a recorded trace (JSON lines) in place of the plan's schedule
    #[arg(long, value_name = "FILE")]
    trace: Option<PathBuf>,
    /// Speed of the replay as a multiple of the recorded speed
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Number of runs; `load diff` computes confidence intervals from several runs
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=100))]
    repeat: u32,
    /// Number of threads that send requests, 1 to 64
    #[arg(long)]
    threads: Option<usize>,
    /// Maximum number of connections
    #[arg(long)]
    connections: Option<usize>,
    /// Write the report as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write the report as a self-contained HTML page
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

#[derive(clap::Subcommand)]
enum Compare {
    /// Compare two reports that were written with --json
    Diff {
        /// The first report
        first: PathBuf,
        /// The second report
        second: PathBuf,
    },
}

/// Whether all runs of a report are valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportValidity {
    /// The load generator kept up with the schedule in all runs.
    Valid,
    /// The load generator fell behind its schedule in a run. The report has the reason.
    Invalid,
}

impl ReportValidity {
    fn of(reports: &[&Report]) -> Self {
        if reports.iter().all(|report| report.is_valid()) { Self::Valid } else { Self::Invalid }
    }
}

quick_error! {
    /// Why an argument is not a duration.
    #[derive(Debug)]
    enum DurationArgumentError {
        /// The text is not a number with a unit.
        Malformed(error: DurationError) {
            from()
            display("expected a number and a unit, such as 30s")
            source(error)
        }
    }
}

fn parse_duration(text: &str) -> Result<Duration, DurationArgumentError> {
    Ok(units::parse_duration(text)?)
}

fn read_file(path: &Path) -> Result<Vec<u8>, LoadError> {
    std::fs::read(path).map_err(|error| LoadError::ReadFile(path.into(), error))
}

fn write_file(path: &Path, text: String) -> Result<(), LoadError> {
    std::fs::write(path, text).map_err(|error| LoadError::WriteFile(path.into(), error))
}

/// The address and path of a target. Host names are not resolved, and load is sent to loopback addresses
/// only.
fn parse_target(text: &str) -> Result<(SocketAddr, String), LoadError> {
    let without_scheme = text.strip_prefix("http://").unwrap_or(text);
    let (address, path) = without_scheme.split_once('/').unwrap_or((without_scheme, ""));
    let address: SocketAddr = address.parse().map_err(|_| LoadError::InvalidTarget(text.into()))?;
    if !address.ip().is_loopback() {
        return Err(LoadError::RemoteTarget(text.into()));
    }
    Ok((address, format!("/{path}")))
}

/// Sends load or compares two reports, and prints the report or the comparison.
///
/// # Errors
/// The arguments or the files that they name are invalid, the load can't be sent, or a report can't be
/// written.
pub fn main(arguments: LoadArguments) -> Result<ReportValidity, LoadError> {
    match &arguments.compare {
        Some(Compare::Diff { first, second }) => compare(first, second),
        None => run(&arguments),
    }
}

fn compare(first: &Path, second: &Path) -> Result<ReportValidity, LoadError> {
    let (first, second) = (read_report(first)?, read_report(second)?);
    print!("{}", diff::render_table(&first, &second));
    Ok(ReportValidity::of(&[&first, &second]))
}

fn read_report(path: &Path) -> Result<Report, LoadError> {
    Report::read(&read_file(path)?).map_err(|error| LoadError::InvalidReport(path.into(), error))
}

fn run(arguments: &LoadArguments) -> Result<ReportValidity, LoadError> {
    let (mut plan, target) = base_plan(arguments)?;
    if let Some(path) = &arguments.trace {
        plan = Plan::from_trace(trace::read(&read_file(path)?, arguments.speed), &plan)?;
    }
    plan.threads = arguments.threads.unwrap_or(plan.threads).clamp(1, 64);
    plan.connections = arguments.connections.unwrap_or(plan.connections).max(1);
    let plan = Arc::new(plan);
    let mut report = Report::new(&plan, target.to_string());
    for number in 0..arguments.repeat {
        let label = if arguments.repeat > 1 { format!("run {} ", number + 1) } else { String::new() };
        let finished = run_with_progress(&plan, target, &label, AttemptLog::Discard);
        report.runs.push(Run::from_output(&plan, &finished.map_err(LoadError::Run)?));
    }
    if let Some(path) = &arguments.json {
        write_file(path, report.to_json())?;
    }
    if let Some(path) = &arguments.html {
        write_file(path, html::render_page(&report))?;
    }
    print!("{}", report.to_table());
    Ok(ReportValidity::of(&[&report]))
}

/// The plan and the target, from the options or from a plan's file. A trace later replaces the schedule of
/// this plan.
fn base_plan(arguments: &LoadArguments) -> Result<(Plan, SocketAddr), LoadError> {
    let plan_or_target = arguments.plan_or_target.as_deref().unwrap_or_default();
    let steady = |rate, length| {
        let (target, path) = parse_target(plan_or_target)?;
        Ok((Plan::steady(rate, length, "GET", &path)?, target))
    };
    match (arguments.rate, arguments.length) {
        (Some(rate), Some(length)) => steady(rate, length),
        _ if arguments.trace.is_some() && arguments.target.is_none() => steady(1.0, Duration::from_secs(1)),
        _ => {
            let target = arguments.target.as_deref().ok_or(LoadError::MissingTarget)?;
            let plan = read_plan(plan_or_target)?;
            Ok((plan, parse_target(target)?.0))
        }
    }
}

fn read_plan(path: &str) -> Result<Plan, LoadError> {
    let text = String::from_utf8(read_file(Path::new(path))?);
    let text = text.map_err(|error| LoadError::NotText(path.into(), error))?;
    Plan::read(&text).map_err(|error| LoadError::InvalidPlanFile(path.into(), error))
}
