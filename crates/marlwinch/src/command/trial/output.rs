//! The output of a trial: a line for each run on standard output, the files of a run's report, and the
//! progress bar.

use super::error::TrialError;
use fault_injection::checkers::{Attempts, Verdict, service_summary};
use fault_injection::history::History;
use fault_injection::plan::Plan;
use fault_injection::report::{self, ReportError};
use fault_injection::run::RunOutput;
use indicatif::{ProgressBar, ProgressStyle};
use std::fs::File;
use std::io::{BufWriter, IsTerminal};
use std::path::Path;
use std::time::Duration;

/// The number of violations of a run that are printed; further ones are only counted.
const MAX_PRINTED: usize = 5;

/// Prints the verdict of a run, with the first violations.
pub fn print_verdict(name: &str, seed: u64, history: &History, verdict: &Verdict) {
    let summary = report::summary_text(&service_summary(history, &Attempts::of(history)));
    match verdict {
        Verdict::Passed => println!("{name} seed {seed}: passed; {summary}"),
        Verdict::NoVerdict { late_ms, max_lateness_ms } => println!(
            "{name} seed {seed}: no verdict, timers of the trial were {late_ms} ms late, \
             at most {max_lateness_ms} ms are allowed; \
             {summary}"
        ),
        Verdict::Failed { violations } => {
            println!("{name} seed {seed}: FAILED, {} violations; {summary}", violations.len());
            for violation in violations.iter().take(MAX_PRINTED) {
                println!("  {}: {}", violation.checker, violation.description);
                report::evidence_lines(history, violation).iter().for_each(|line| println!("    {line}"));
            }
            if violations.len() > MAX_PRINTED {
                println!("  and {} more", violations.len() - MAX_PRINTED);
            }
        }
    }
}

/// Writes the report of a run to a folder: its page (`.html`), the logs of its nodes (`.log`) and its history
/// (`.jsonl`). The files are named after the plan and the seed.
pub fn write_report(
    folder: &Path,
    name: &str,
    seed: u64,
    finished: &RunOutput,
    verdict: &Verdict,
) -> Result<(), TrialError> {
    let history = &finished.history;
    let write_error = |error| TrialError::Write(folder.into(), error);
    std::fs::create_dir_all(folder).map_err(write_error)?;
    let path = folder.join(format!("{name}-{seed}"));
    let page = draw_page(history, verdict, folder)?;
    std::fs::write(path.with_extension("html"), page).map_err(write_error)?;
    let mut logs = String::new();
    for (node, lines) in &finished.logs {
        lines.iter().for_each(|line| logs += &format!("{node}: {line}\n"));
    }
    std::fs::write(path.with_extension("log"), logs).map_err(write_error)?;
    let file = File::create(path.with_extension("jsonl")).map_err(write_error)?;
    history.write(BufWriter::new(file)).map_err(write_error)
}

/// Creates the HTML page of a history. The path is for the error.
pub fn draw_page(history: &History, verdict: &Verdict, path: &Path) -> Result<String, TrialError> {
    let failed = |error: ReportError| TrialError::DrawPage(path.into(), error);
    report::page(history, verdict).map_err(failed)
}

/// A progress bar with the elapsed time of a run; hidden unless standard error is a terminal.
pub fn progress_bar(plan: &Plan, seed: u64) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style =
        ProgressStyle::with_template("{spinner} {msg} {elapsed}").unwrap_or(ProgressStyle::default_spinner());
    let bar = ProgressBar::new_spinner().with_style(style);
    bar.set_message(format!(
        "{} seed {seed}, {:?} of traffic plus start and shutdown:",
        plan.name, plan.traffic_duration
    ));
    bar.enable_steady_tick(Duration::from_millis(200));
    bar
}
