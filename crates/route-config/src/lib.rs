//! The operator's configuration file of marlwinch: routes, classes, timeouts and retries, validated before
//! use.
//!
//! [`load`] compiles the bytes of a file to a [`Plan`], or returns every error of the file with its position,
//! the rule that it would break and what to write instead. A plan has the settings of a balancer for each
//! cluster, the routing table, and the limits that apply before the balancer decides. Nothing here opens a
//! file or a socket, reads a clock or depends on a runtime.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
mod check;
pub mod diagnostic;
pub mod explain;
pub mod model;
mod parse;
mod plan;
pub mod read;
pub mod resolve;
pub mod route;
pub mod target;

pub use parse::MAX_FILE_SIZE;
pub use plan::{BackendPlan, ClusterPlan, KeySource, Plan, RoutePlan};

use diagnostic::{Diagnostic, Report};

/// A valid file.
#[derive(Debug)]
pub struct LoadedFile {
    /// The compiled file, ready for use by a node.
    pub plan: Plan,
    /// The parsed file: its values with their positions in the text.
    pub file: model::File,
}

/// The errors of an invalid file.
#[derive(Debug)]
pub struct InvalidFile {
    /// The errors, sorted by position; at least one.
    pub diagnostics: Vec<Diagnostic>,
    /// The number of errors beyond those, see
    /// [`Report::MAX_DIAGNOSTICS`](diagnostic::Report::MAX_DIAGNOSTICS).
    pub omitted: usize,
}

/// Parses, checks and compiles a file.
///
/// # Errors
///
/// All errors of the file that are found in one pass. Names and routes are checked only if all values could
/// be parsed.
pub fn load(bytes: &[u8]) -> Result<LoadedFile, InvalidFile> {
    let text =
        parse::text(bytes).map_err(|diagnostic| InvalidFile { diagnostics: vec![diagnostic], omitted: 0 })?;
    let mut report = Report::default();
    let file = parse::file(text, &mut report);
    // A value that could not be parsed is absent from `file`: later checks would report it as missing or
    // unknown.
    if report.has_missing_values() {
        let omitted = report.omitted;
        return Err(InvalidFile { diagnostics: report.into_sorted(), omitted });
    }
    let routes = check::file(&file, &mut report);
    if !report.is_empty() {
        let omitted = report.omitted;
        return Err(InvalidFile { diagnostics: report.into_sorted(), omitted });
    }
    Ok(LoadedFile { plan: plan::compile(&file, routes), file })
}
