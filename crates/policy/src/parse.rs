//! Parsing of a policy file, with the location of an error.

use crate::policy::Policy;
use quick_error::quick_error;

quick_error! {
    /// A policy file is invalid.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PolicyError {
        /// The text is not valid TOML, or has an unknown key or an invalid value.
        Invalid(error: SyntaxError) {
            display("line {}, column {}: {}", error.line, error.column, error.problem)
            source(error.source.as_ref())
        }
    }
}

/// The first error in a policy file, and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyntaxError {
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// The description of the error, as a single line.
    pub problem: String,
    /// The error of the TOML parser.
    pub source: Box<toml::de::Error>,
}

impl Policy {
    /// Parses a policy file. Keys that are not in it have their defaults.
    ///
    /// # Errors
    ///
    /// The first error: invalid TOML, an unknown key, or a value of another type or out of range.
    pub fn parse(text: &str) -> Result<Self, PolicyError> {
        toml::from_str(text).map_err(|error| {
            let offset = error.span().map_or(0, |span| span.start.min(text.len()));
            let before = &text[..offset];
            let line = before.matches('\n').count() + 1;
            let column = before.chars().rev().take_while(|character| *character != '\n').count() + 1;
            let problem = error.message().lines().collect::<Vec<_>>().join(" ");
            PolicyError::Invalid(SyntaxError { line, column, problem, source: Box::new(error) })
        })
    }
}
