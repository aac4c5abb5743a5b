//! `marlwinch demo`: a scenario on loopback. Backends of two kinds on three sites, discovery and a node, all in this
//! process; one backend drains, one becomes slow, and the load has a burst. At the end the executions at the backends are
//! checked against the rules.

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
/// The node is ready half a second after its start at the latest, as its configuration has the list of backends.
const NODE_START: Duration = Duration::from_millis(700);

/// The arguments of `demo`. Their comments are the help text.
#[derive(clap::Args)]
pub struct DemoArguments {
    /// Seconds that the evening lasts; what befalls the boxes is settled within the first 30
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(3..=3600))]
    seconds: u64,
    /// Write the report as one page that needs nothing else
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

/// The result of a demonstration that took place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DemoOutcome {
    /// All rules were kept, and the load was sent as planned.
    Passed,
    /// A rule was broken, or the load generator fell behind.
    Failed,
}

/// Runs the demonstration and prints its progress, its report and the state of the rules.
///
/// # Errors
/// A part of it does not start, or the page can't be written.
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
        println!("the page is {}", path.display());
    }
    let rules_kept = rules::check_rules(&environment.execution_log, &finished.attempts);
    Ok(if rules_kept && report.is_valid() { DemoOutcome::Passed } else { DemoOutcome::Failed })
}

fn print_introduction(script: &Script) {
    println!(
        "{} boxes on three sites, discovery and a node, all on loopback and in this process.",
        script.backends.len()
    );
    println!(
        "What befalls the boxes: one drains and comes back cold, one turns slow, one fails now and then."
    );
    println!("Ctrl-C ends everything.\n");
}
