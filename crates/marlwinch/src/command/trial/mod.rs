//! `marlwinch trial`: runs fault-injection plans with many processes of this program, checks recorded
//! histories, and shrinks plans that fail. Parses the arguments for the package `fault-injection` and prints
//! its results.

mod error;
mod output;
mod plan_source;

pub use error::TrialError;

use super::exit::{FAILURE, USAGE};
use fault_injection::checkers::{Attempts, ServiceSummary, Verdict, judge, service_summary};
use fault_injection::history::{Event, History};
use fault_injection::plan::Plan;
use fault_injection::process::Programs;
use fault_injection::{run, shipped, shrink};
use serde::Serialize;
use std::ffi::OsString;
use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The exit code if a run has a violation, or if the plan to shrink fails.
const VIOLATION: u8 = FAILURE;

/// The commands of `trial`. The doc comments are the help text.
#[derive(clap::Subcommand)]
pub enum TrialCommand {
    /// List the built-in plans
    List,
    /// Run a plan: start nodes as processes of this program, inject faults, and check what happened
    Run {
        /// File of a plan, or the name of a built-in plan
        plan: String,
        /// Seed of the random numbers; further runs of --runs take the numbers that follow
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of runs
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=10_000))]
        runs: u32,
        /// Write an HTML page, the logs of the nodes and a history of each run to this folder
        #[arg(long, value_name = "DIR")]
        report: Option<PathBuf>,
        /// Write the verdicts of all runs as JSON
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Run the nodes with this program instead, such as an earlier version
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
    },
    /// Check the recorded history of a run again
    Judge {
        /// File of the history, as `run --report` writes it
        history: PathBuf,
        /// Write the HTML page of the run to this file
        #[arg(long, value_name = "FILE")]
        page: Option<PathBuf>,
    },
    /// Shrink a plan that fails: remove the faults, nodes, backends and time that the failure does not need
    Shrink {
        /// File of a plan, or the name of a built-in plan
        plan: String,
        /// Seed with which the plan fails
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Maximum number of runs
        #[arg(long, default_value_t = 40)]
        plays: usize,
    },
    /// Supervise one process; a run starts this itself
    #[command(hide = true)]
    Keep {
        /// The program and its arguments
        #[arg(required = true, trailing_var_arg = true, allow_hyphen_values = true)]
        program: Vec<OsString>,
    },
}

/// The result of a run, as `--json` writes it.
#[derive(Serialize)]
struct RunResult {
    plan: String,
    seed: u64,
    #[serde(flatten)]
    verdict: Verdict,
    service: ServiceSummary,
}

/// Runs a command of `trial`, and returns the exit code of the program. Errors are printed.
pub fn main(command: TrialCommand) -> ExitCode {
    let code = match command {
        TrialCommand::List => list(),
        TrialCommand::Run { plan, seed, runs, report, json, program } => {
            let seeds = (0..u64::from(runs)).map(|run| seed.wrapping_add(run));
            run_with_seeds(&plan, seeds, report.as_deref(), json.as_deref(), program)
        }
        TrialCommand::Judge { history, page } => check_history(&history, page.as_deref()),
        TrialCommand::Shrink { plan, seed, plays } => shrink(&plan, seed, plays),
        TrialCommand::Keep { program } => {
            return match program.split_first() {
                Some((program, arguments)) => fault_injection::supervisor::supervise(program, arguments),
                None => ExitCode::from(USAGE),
            };
        }
    };
    code.map_or_else(|error| error.report(), ExitCode::from)
}

fn list() -> Result<u8, TrialError> {
    for (name, _) in shipped::PLANS {
        let about = match plan_source::load_plan(name) {
            Ok(plan) => plan.about,
            Err(error) => {
                error.report();
                String::new()
            }
        };
        println!("{name:<18}{about}");
    }
    Ok(0)
}

/// The programs of a run: this program as the supervisor of each process, and the program of the nodes.
fn programs(node: Option<PathBuf>) -> Result<Programs, TrialError> {
    let own = std::env::current_exe().map_err(TrialError::OwnPath)?;
    // Each node runs in its own folder, so a relative path would not resolve there.
    let node = match node {
        Some(node) => std::fs::canonicalize(&node).map_err(|error| TrialError::NodeProgram(node, error))?,
        None => own.clone(),
    };
    let supervisor = vec![own.into(), "trial".into(), "keep".into(), "--".into()];
    Ok(Programs { supervisor, node, variables: Vec::new() })
}

/// Runs a plan once with each seed, prints the verdicts and writes the reports. Returns the worst exit code.
fn run_with_seeds(
    plan: &str,
    seeds: impl Iterator<Item = u64>,
    report_folder: Option<&Path>,
    json: Option<&Path>,
    node: Option<PathBuf>,
) -> Result<u8, TrialError> {
    let plan = plan_source::load_plan(plan)?;
    let programs = programs(node)?;
    let (mut code, mut results) = (0, Vec::new());
    for seed in seeds {
        let bar = output::progress_bar(&plan, seed);
        let finished = run::run_plan(&plan, seed, &programs);
        bar.finish_and_clear();
        let finished = finished?;
        let verdict = judge(&finished.history);
        output::print_verdict(&plan.name, seed, &finished.history, &verdict);
        if let Some(folder) = report_folder {
            output::write_report(folder, &plan.name, seed, &finished, &verdict)?;
        }
        code = worse_exit_code(code, verdict.exit_code());
        let service = service_summary(&finished.history, &Attempts::of(&finished.history));
        results.push(RunResult { plan: plan.name.clone(), seed, verdict, service });
    }
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&results).unwrap_or_default();
        std::fs::write(path, text + "\n").map_err(|error| TrialError::Write(path.into(), error))?;
    }
    Ok(code)
}

/// The worse of two exit codes: a violation is the worst, and a run without a verdict is worse than a pass.
fn worse_exit_code(before: u8, new: u8) -> u8 {
    match (before, new) {
        (VIOLATION, _) | (_, VIOLATION) => VIOLATION,
        (0, new) => new,
        (before, _) => before,
    }
}

fn check_history(path: &Path, page: Option<&Path>) -> Result<u8, TrialError> {
    let file = File::open(path).map_err(|error| TrialError::OpenHistory(path.into(), error))?;
    let history = History::read(BufReader::new(file));
    let history = history.map_err(|error| TrialError::InvalidHistory(path.into(), error))?;
    let verdict = judge(&history);
    let (name, seed) = match history.entries.first().map(|entry| &entry.event) {
        Some(Event::RunStarted { plan, seed, .. }) => (plan.as_str(), *seed),
        _ => ("", 0),
    };
    output::print_verdict(name, seed, &history, &verdict);
    if let Some(page) = page {
        let text = output::draw_page(&history, &verdict, path)?;
        std::fs::write(page, text).map_err(|error| TrialError::Write(page.into(), error))?;
    }
    Ok(verdict.exit_code())
}

/// Shrinks a plan that fails, and prints what is left of it.
fn shrink(plan: &str, seed: u64, max_runs: usize) -> Result<u8, TrialError> {
    let plan = plan_source::load_plan(plan)?;
    let programs = programs(None)?;
    let fails = |plan: &Plan| match run::run_plan(plan, seed, &programs) {
        Ok(finished) => matches!(judge(&finished.history), Verdict::Failed { .. }),
        Err(_) => false,
    };
    let drawn = plan.draw(seed);
    if !fails(&drawn) {
        println!("{} seed {seed}: does not fail, nothing to shrink", plan.name);
        return Ok(0);
    }
    let small = shrink::shrink(&drawn, max_runs, fails, |step| println!("still fails: {step}"));
    println!(
        "{} seed {seed} fails with {} nodes, {} backends, {:?} of traffic, and:",
        plan.name, small.nodes, small.backends.count, small.traffic_duration
    );
    small
        .clients
        .iter()
        .for_each(|clients| println!("  clients of `{}`, {}/s", clients.class, clients.requests_per_s));
    small.faults.iter().for_each(|fault| println!("  {}: {fault}", fault.trigger));
    Ok(VIOLATION)
}
