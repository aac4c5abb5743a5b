//! Why a trial could not run.

use fleet_demo::DemoError;
use quick_error::quick_error;
use std::path::PathBuf;

quick_error! {
    /// Why a trial could not run. A broken rule is no error.
    #[derive(Debug)]
    pub enum TrialError {
        /// A system call failed; with the step, as a verb phrase.
        Io(step: &'static str, error: std::io::Error) {
            display("can't {step}: {error}")
            source(error)
        }
        /// The deploy file can't be parsed, or names no command for a role.
        DeployFile(path: PathBuf, reason: String) {
            display("{}: {reason}", path.display())
        }
        /// A stand-in failed.
        StandIn(error: DemoError) {
            from()
            display("{error}")
            source(error)
        }
        /// The first configuration was not acknowledged, or a frontend was not ready, within the time limit.
        NotStarted(reason: &'static str) { display("the fleet did not start: {reason}") }
    }
}
