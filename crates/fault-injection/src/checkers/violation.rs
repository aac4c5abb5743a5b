//! The interface of checkers, and the violations that they report.

use super::attempts::Attempts;
use crate::history::History;
use serde::Serialize;

/// A violation of a rule. Verdicts are written as JSON: `rename` keeps the keys stable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The name of the checker.
    pub checker: &'static str,
    /// What happened, in one line.
    #[serde(rename = "what")]
    pub description: String,
    /// When, µs since the start of the run.
    #[serde(rename = "t")]
    pub at_us: u64,
    /// The indexes of the entries of the history that show it, as few as possible.
    #[serde(rename = "story")]
    pub evidence: Vec<usize>,
}

/// Checks a history against one rule.
pub trait Checker {
    /// Its name, which is a key in verdicts and reports.
    fn name(&self) -> &'static str;

    /// Its rule, in one line.
    fn rule(&self) -> &'static str;

    /// The violations of its rule.
    fn check(&self, history: &History, attempts: &Attempts) -> Vec<Violation>;
}
