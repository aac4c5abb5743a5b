//! Why a command of `trial` failed, and how the error is reported.

use crate::command::exit::{FAILURE, USAGE, fail};
use fault_injection::RunError;
use fault_injection::history::HistoryError;
use fault_injection::report::ReportError;
use quick_error::quick_error;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

quick_error! {
    /// Why a command of `trial` failed.
    #[derive(Debug)]
    pub enum TrialError {
        /// The plan can't be read, and no built-in plan has this name. Holds its name or path, and the names
        /// of the built-in plans.
        ReadPlan(plan: String, known: String, error: io::Error) {
            display("{plan}: {error}; built-in plans: {known}")
            source(error)
        }
        /// The plan is invalid. Holds the diagnostics as they are printed.
        InvalidPlan(diagnostics: String) {
            display("{diagnostics}")
        }
        /// The path of this program, which supervises the nodes, is unknown.
        OwnPath(error: io::Error) {
            display("cannot find the path of this program: {error}")
            source(error)
        }
        /// The path of the nodes' program can't be resolved. Holds the path of `--program`.
        NodeProgram(path: PathBuf, error: io::Error) {
            display("{}: {error}", path.display())
            source(error)
        }
        /// A run could not be started or finished.
        Run(error: RunError) {
            from()
            display("{error}")
            source(error)
        }
        /// The file of a history can't be opened. Holds its path.
        OpenHistory(path: PathBuf, error: io::Error) {
            display("{}: {error}", path.display())
            source(error)
        }
        /// The file is not a history. Holds its path and the error of its first invalid line.
        InvalidHistory(path: PathBuf, error: HistoryError) {
            display("{}: {error}", path.display())
            source(error)
        }
        /// The page of a run can't be created. Holds the path of the report's folder or of the history.
        DrawPage(path: PathBuf, error: ReportError) {
            display("cannot create the page for {}: {error}", path.display())
            source(error)
        }
        /// A report can't be written. Holds the path of its file or folder.
        Write(path: PathBuf, error: io::Error) {
            display("cannot write {}: {error}", path.display())
            source(error)
        }
    }
}

impl TrialError {
    /// Writes the error to standard error, and returns the exit code.
    pub fn report(&self) -> ExitCode {
        match self {
            TrialError::InvalidPlan(diagnostics) => {
                // Diagnostics name the file and the location themselves, so the program's name does not stand
                // before them.
                eprint!("{diagnostics}");
                ExitCode::from(USAGE)
            }
            TrialError::ReadPlan(..)
            | TrialError::NodeProgram(..)
            | TrialError::OpenHistory(..)
            | TrialError::InvalidHistory(..) => fail(self, USAGE),
            TrialError::OwnPath(_)
            | TrialError::Run(_)
            | TrialError::DrawPage(..)
            | TrialError::Write(..) => fail(self, FAILURE),
        }
    }
}
