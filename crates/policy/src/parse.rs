//! Reads a policy file's text and says where it is at fault.

use crate::Policy;
use quick_error::quick_error;

quick_error! {
    /// Why a policy file can't be taken.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PolicyError {
        /// The text is no policy.
        Invalid(fault: Fault) {
            display("line {}, column {}: {}", fault.line, fault.column, fault.problem)
        }
    }
}

/// Where a text is at fault, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// What is wrong there.
    pub problem: String,
}

impl Policy {
    /// Reads a policy file. What it does not name keeps its default.
    ///
    /// # Errors
    ///
    /// The first fault: text that is no TOML, a key that is not known, a value of another type or outside its bounds.
    pub fn parse(text: &str) -> Result<Self, PolicyError> {
        toml::from_str(text).map_err(|error| {
            let at = error.span().map_or(0, |span| span.start.min(text.len()));
            let before = &text[..at];
            let line = before.matches('\n').count() + 1;
            let column = before.chars().rev().take_while(|character| *character != '\n').count() + 1;
            let problem = error.message().lines().collect::<Vec<_>>().join(" ");
            PolicyError::Invalid(Fault { line, column, problem })
        })
    }
}
