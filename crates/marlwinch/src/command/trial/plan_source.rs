//! Reads the plan of a trial from a file or from the plans that are built into the program.

use super::error::TrialError;
use fault_injection::plan::Plan;
use fault_injection::{plan_reader, shipped};
use quick_error::quick_error;
use route_config::InvalidFile;
use standalone_proxy::file_node::diagnostics;
use standalone_proxy::file_node::source::InvalidSource;
use std::io;
use std::path::Path;

quick_error! {
    /// Why the nodes of a plan can't use the operator's file that the plan names.
    #[derive(Debug)]
    enum NodeFileError {
        /// The file can't be read. Holds its name in the plan.
        Read(name: String, error: io::Error) {
            display("{name}: {error}")
            source(error)
        }
        /// A node would reject the file. Holds its name in the plan and the number of its errors.
        Rejected(name: String, errors: usize) {
            display("{name}: invalid, {errors} errors; `marlwinch check` shows them")
        }
    }
}

/// Reads a plan. A file at this path takes precedence over a built-in plan of this name.
pub fn load_plan(name_or_path: &str) -> Result<Plan, TrialError> {
    let path = Path::new(name_or_path);
    let text = read_text(name_or_path, path)?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let node_file = |name: &str| read_node_file(folder, name);
    plan_reader::read_plan(&text, node_file).map_err(|faults| {
        let error = InvalidFile { diagnostics: faults, omitted: 0 };
        TrialError::InvalidPlan(diagnostics::text(path, &InvalidSource { text: text.clone(), error }))
    })
}

fn read_text(name_or_path: &str, path: &Path) -> Result<String, TrialError> {
    if let Some(text) = shipped::plan_text(name_or_path).filter(|_| !path.exists()) {
        return Ok(text.to_string());
    }
    std::fs::read_to_string(path).map_err(|error| {
        let known: Vec<_> = shipped::PLANS.iter().map(|(name, _)| *name).collect();
        TrialError::ReadPlan(name_or_path.into(), known.join(", "), error)
    })
}

/// Reads the operator's file of the nodes from the folder of the plan. A file that a node would reject is
/// reported here as an error of the plan; otherwise its rejection at start would look like a finding of the
/// run.
fn read_node_file(folder: &Path, name: &str) -> Result<String, NodeFileError> {
    let text = std::fs::read_to_string(folder.join(name));
    let text = text.map_err(|error| NodeFileError::Read(name.into(), error))?;
    match route_config::load(text.as_bytes()) {
        Ok(_) => Ok(text),
        Err(refused) => {
            Err(NodeFileError::Rejected(name.into(), refused.diagnostics.len() + refused.omitted))
        }
    }
}
