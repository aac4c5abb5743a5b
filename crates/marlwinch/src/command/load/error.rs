//! Why `load` failed, and the exit code of each failure.

use crate::command::exit::{FAILURE, USAGE};
use load_generator::plan::PlanError;
use load_generator::report::ReportError;
use quick_error::quick_error;
use std::io;
use std::path::PathBuf;

quick_error! {
    /// Why `load` failed.
    #[derive(Debug)]
    pub enum LoadError {
        /// A file that the command line names can't be read. Holds its path.
        ReadFile(path: PathBuf, error: io::Error) {
            display("{}: {error}", path.display())
            source(error)
        }
        /// A file to compare is not a report, or has another version of the format.
        InvalidReport(path: PathBuf, error: ReportError) {
            display("{}: {error}", path.display())
            source(error)
        }
        /// The target is not an IP address with a port; host names are not resolved.
        InvalidTarget(target: String) {
            display("{target}: not an IP address with a port")
        }
        /// The target is not a loopback address, the only ones that load is sent to.
        RemoteTarget(target: String) {
            display("{target}: not a loopback address; load is sent to this machine only")
        }
        /// The command line has a plan but no target.
        MissingTarget {
            display("a plan needs a target: marlwinch load PLAN.toml 127.0.0.1:8080")
        }
        /// The plan's file is not UTF-8. Holds its path.
        NotText(path: String, error: std::string::FromUtf8Error) {
            display("{path}: {error}")
            source(error)
        }
        /// The plan in the file is invalid. Holds its path and the first error.
        InvalidPlanFile(path: String, error: PlanError) {
            display("{path}: {}", error.to_string().trim_end())
            source(error)
        }
        /// The plan that the options describe is invalid.
        InvalidPlan(error: PlanError) {
            from()
            display("{}", error.to_string().trim_end())
            source(error)
        }
        /// The load generator can't create its threads, or one of them has panicked.
        Run(error: io::Error) {
            display("cannot send the load: {error}")
            source(error)
        }
        /// The JSON or the page of a report can't be written. Holds its path.
        WriteFile(path: PathBuf, error: io::Error) {
            display("cannot write {}: {error}", path.display())
            source(error)
        }
    }
}

impl LoadError {
    /// The exit code: `USAGE` if the command line or a file that it names is invalid, `FAILURE` if the run or
    /// a write failed.
    pub fn exit_code(&self) -> u8 {
        match self {
            LoadError::Run(_) | LoadError::WriteFile(..) => FAILURE,
            LoadError::ReadFile(..)
            | LoadError::InvalidReport(..)
            | LoadError::InvalidTarget(_)
            | LoadError::RemoteTarget(_)
            | LoadError::MissingTarget
            | LoadError::NotText(..)
            | LoadError::InvalidPlanFile(..)
            | LoadError::InvalidPlan(_) => USAGE,
        }
    }
}
