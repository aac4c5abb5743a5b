//! Rule 4: the nodes together do not overload a backend that warms up. The test backends record their own
//! crashes.

use super::attempts::Attempts;
use super::violation::{Checker, Violation};
use crate::history::{Event, History};

/// Reports each crash of a backend that was overloaded while it warmed up.
pub struct ColdStartChecker;

impl Checker for ColdStartChecker {
    fn name(&self) -> &'static str {
        "cold"
    }

    fn rule(&self) -> &'static str {
        "the nodes together do not overload a backend that warms up"
    }

    fn check(&self, history: &History, _: &Attempts) -> Vec<Violation> {
        let entries = history.entries.iter().enumerate();
        let crashes = entries.filter(|(_, entry)| entry.event == Event::BackendCrashed);
        crashes
            .map(|(index, entry)| Violation {
                checker: self.name(),
                description: format!("{} crashed of overload while it warmed up", entry.source),
                at_us: entry.at_us,
                evidence: vec![index],
            })
            .collect()
    }
}
