//! The interface of checkers, and the violations that they report.

use super::attempts::Attempts;
use crate::history::History;
use serde::Serialize;

/// A violation of a rule. Verdicts are written as JSON: `rename` keeps the keys stable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The name of the checker, from [`Checker::name`].
    pub checker: &'static str,
    /// A description of the violation for reports, in one line.
    #[serde(rename = "what")]
    pub description: String,
    /// The time of the violation, µs since the start of the run.
    #[serde(rename = "t")]
    pub at_us: u64,
    /// The indexes of the history's entries that show the violation, as few as possible.
    #[serde(rename = "story")]
    pub evidence: Vec<usize>,
}

/// Checks a history against one rule.
pub trait Checker {
    /// The name of the checker, which is a key in verdicts and reports.
    fn name(&self) -> &'static str;

    /// The rule that the history must satisfy, in one line for reports.
    fn rule(&self) -> &'static str;

    /// Returns the violations of the rule; empty if the history satisfies it.
    fn check(&self, history: &History, attempts: &Attempts) -> Vec<Violation>;
}
