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
        /// A file that the command line names can't be read.
        ReadFile(path: PathBuf, error: io::Error) {
            display("{}: {error}", path.display())
            source(error)
        }
        /// A file to compare is not a report.
        InvalidReport(path: PathBuf, error: ReportError) {
            display("{}: {error}", path.display())
            source(error)
        }
        /// The target is not an IP address with a port.
        InvalidTarget(target: String) {
            display("{target}: not an IP address with a port")
        }
        /// The target is not a loopback address.
        RemoteTarget(target: String) {
            display("{target}: not a loopback address; load is sent to this machine only")
        }
        /// The command line has a plan but no target.
        MissingTarget {
            display("a plan needs a target: marlwinch load PLAN.toml 127.0.0.1:8080")
        }
        /// The plan's file is not UTF-8.
        NotText(path: String, error: std::string::FromUtf8Error) {
            display("{path}: {error}")
            source(error)
        }
        /// The plan in the file is invalid.
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
        /// The load can't be sent.
        Run(error: io::Error) {
            display("cannot send the load: {error}")
            source(error)
        }
        /// A report can't be written.
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
