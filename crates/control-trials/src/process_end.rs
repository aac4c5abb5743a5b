//! How a process of a trial has ended, and whether the trial asked for it.

use crate::history::Time;
use std::fmt;

/// The exit code that a supervisor reports for a process that ended in order.
const IN_ORDER: i32 = 0;
/// The same for SIGKILL.
const KILLED: i32 = -9;
/// The same for SIGTERM, before the process handles it.
const TERMINATED: i32 = -15;
/// The same for a failed start.
const FAILED: i32 = 1;

/// The strongest reason that a process has been given to end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndRequest {
    /// None: it is to run on.
    #[default]
    None,
    /// Its settings were invalid for a while, so that a start in that time fails.
    InvalidSettings,
    /// SIGTERM.
    Terminate,
    /// SIGKILL.
    Kill,
}

impl EndRequest {
    /// Whether a process may end with this exit code, or by the negative number of a signal, after this request.
    pub fn allows(self, code: i32) -> bool {
        match code {
            KILLED => self == EndRequest::Kill,
            IN_ORDER | TERMINATED => self >= EndRequest::Terminate,
            FAILED => self == EndRequest::InvalidSettings,
            _ => false,
        }
    }
}

/// The end of a process that nobody asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnrequestedEnd {
    /// When it was noticed.
    pub at: Time,
    /// The name of the machine.
    pub machine: String,
    /// The name of the role.
    pub role: &'static str,
    /// The exit code, or the negative number of the signal that ended it.
    pub code: i32,
    /// The last lines of its log, the oldest first.
    pub last_lines: Vec<String>,
}

impl fmt::Display for UnrequestedEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let UnrequestedEnd { at, machine, role, code, last_lines } = self;
        write!(formatter, "{:.3} s: {role} of {machine} ended by itself with {code}", at.as_secs_f64())?;
        last_lines.iter().try_for_each(|line| write!(formatter, "\n    {line}"))
    }
}
