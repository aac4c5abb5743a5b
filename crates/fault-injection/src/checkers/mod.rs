//! The checkers: each checks a history against one rule and reports the violations. Their only input is the
//! history: they do no I/O and read no clock.

mod attempts;
mod cold_start;
mod drains;
mod effects;
mod load;
mod recovery;
mod resources;
mod responses;
mod violation;

pub use attempts::{Attempt, AttemptEnd, Attempts, Execution, TimeSpan};
pub use cold_start::ColdStartChecker;
pub use drains::DrainChecker;
pub use effects::EffectChecker;
pub use load::LoadChecker;
pub use recovery::{RecoveryChecker, ServiceSummary, service_summary};
pub use resources::ResourceChecker;
pub use responses::ResponseChecker;
pub use violation::{Checker, Violation};

use crate::history::{Event, History};
use serde::Serialize;

/// All checkers.
pub fn all() -> Vec<Box<dyn Checker>> {
    vec![
        Box::new(ResponseChecker),
        Box::new(EffectChecker),
        Box::new(DrainChecker),
        Box::new(ColdStartChecker),
        Box::new(ResourceChecker),
        Box::new(RecoveryChecker),
        Box::new(LoadChecker),
    ]
}

// Verdicts are written as JSON: `rename` keeps the keys stable.

/// The verdict on a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "verdict")]
pub enum Verdict {
    /// No checker found a violation.
    Passed,
    /// At least one checker found a violation.
    Failed {
        /// The violations, sorted by time.
        violations: Vec<Violation>,
    },
    /// The trial's own timers were later than the plan allows, so the history does not show whether a rule
    /// was broken.
    NoVerdict {
        /// The maximum lateness, ms.
        late_ms: u64,
        /// The maximum that the plan allows, ms.
        #[serde(rename = "bears_ms")]
        max_lateness_ms: u64,
    },
}

impl Verdict {
    /// The exit code of the program: 0 if the run passed, 1 with violations, 3 without a verdict.
    pub fn exit_code(&self) -> u8 {
        match self {
            Verdict::Passed => 0,
            Verdict::Failed { .. } => 1,
            Verdict::NoVerdict { .. } => 3,
        }
    }
}

/// Runs all checkers on a history, unless the timers of the trial were too late.
pub fn judge(history: &History) -> Verdict {
    let lateness = history.entries.iter().map(|entry| match entry.event {
        Event::TimersLate { by_ms } => by_ms,
        _ => 0,
    });
    let late_ms = lateness.max().unwrap_or(0);
    let max_lateness_ms = history.bounds().map_or(0, |bounds| bounds.max_lateness_ms);
    if late_ms > max_lateness_ms {
        return Verdict::NoVerdict { late_ms, max_lateness_ms };
    }
    let attempts = Attempts::of(history);
    let mut violations: Vec<_> = all().iter().flat_map(|checker| checker.check(history, &attempts)).collect();
    violations.sort_by_key(|violation| violation.at_us);
    if violations.is_empty() { Verdict::Passed } else { Verdict::Failed { violations } }
}
