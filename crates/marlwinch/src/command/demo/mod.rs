//! `marlwinch demo`: a scenario on loopback, all in this process: backends of two machine types at three
//! sites, discovery and a node. One backend drains, one becomes slow, one fails intermittently, and the load
//! has a burst. At the end the executions at the backends are checked against the rules of the deployment.

mod background;
mod configuration;
mod error;
mod progress;
mod rules;

pub use error::DemoError;

use super::load::run_with_progress;
use load_generator::engine::AttemptLog;
use load_generator::html;
use load_generator::plan::Plan;
use load_generator::report::{Report, Run};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use test_servers::script::Script;

const SCRIPT: &str = include_str!("../../../../../deploy/demo/boxes.toml");
const PLAN: &str = include_str!("../../../../../deploy/demo/evening.toml");
/// The node is ready at most 500 ms after its start, as its configuration holds the list of backends.
const NODE_START: Duration = Duration::from_millis(700);

/// The arguments of `demo`. The doc comments of the fields are the help text.
#[derive(clap::Args)]
pub struct DemoArguments {
    /// Duration of the load in seconds; all scripted failures happen within the first 30
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(3..=3600))]
    seconds: u64,
    /// Write the report as a self-contained HTML page
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

/// The result of a demonstration that ran to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DemoOutcome {
    /// All rules were kept, and the load was sent on schedule.
    Passed,
    /// A rule was broken, or the load generator fell behind its schedule.
    Failed,
}

/// Runs the demonstration and prints its progress, the report and whether each rule was kept.
///
/// # Errors
/// A component can't be started, the load can't be sent, or the page can't be written.
pub fn main(arguments: &DemoArguments) -> Result<DemoOutcome, DemoError> {
    background::end_on_signals()?;
    let script = Script::read(SCRIPT)?;
    let mut plan = Plan::read(PLAN)?;
    plan.schedule.length = Duration::from_secs(arguments.seconds);
    let plan = Arc::new(plan);
    print_introduction(&script);
    let environment = background::start_backends(script)?;
    let node = background::start_node(configuration::node_configuration(&environment))?;
    std::thread::sleep(NODE_START);
    progress::print_backend_states(environment.clone());
    let finished = run_with_progress(&plan, node, "", AttemptLog::Keep).map_err(DemoError::Load)?;
    let mut report = Report::new(&plan, node.to_string());
    report.runs.push(Run::from_output(&plan, &finished));
    println!("\n{}", report.to_table());
    if let Some(path) = &arguments.html {
        let written = std::fs::write(path, html::render_page(&report));
        written.map_err(|error| DemoError::WritePage(path.clone(), error))?;
        println!("report page: {}", path.display());
    }
    let rules_kept = rules::check_rules(&environment.execution_log, &finished.attempts);
    Ok(if rules_kept && report.is_valid() { DemoOutcome::Passed } else { DemoOutcome::Failed })
}

fn print_introduction(script: &Script) {
    println!(
        "{} backends at three sites, discovery and a node, all on loopback in this process.",
        script.backends.len()
    );
    println!(
        "Scripted failures: one backend drains and returns cold, one becomes slow, one fails intermittently."
    );
    println!("Ctrl-C ends the demonstration.\n");
}
