//! Errors that prevent a run of a plan.

use crate::node_files::NodeFileError;
use quick_error::quick_error;
use std::io;

quick_error! {
    /// Why a plan could not be run.
    #[derive(Debug)]
    pub enum RunError {
        /// An operating system call failed; with the step, as a verb phrase.
        System(step: &'static str, source: io::Error) {
            display("can't {step}: {source}")
            source(source)
        }
        /// A node did not start; with its name, and its last log line or the system's error.
        Node(name: String, reason: String) {
            display("{name} did not start: {reason}")
        }
        /// The operator's file that the plan names for its nodes is not valid TOML, or can't be written as
        /// TOML.
        NodeFile(source: NodeFileError) {
            from()
            display("the plan's node file is invalid: {source}")
            source(source)
        }
    }
}
