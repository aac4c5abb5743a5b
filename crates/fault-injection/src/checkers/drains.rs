//! Rule 3: a node sends no new request to a draining backend after the grace period, which starts when that
//! node is notified of the drain.

use super::attempts::Attempts;
use super::violation::{Checker, Violation};
use crate::history::{Event, History};
use std::collections::HashMap;

/// Reports requests that a draining or removed backend received after the grace period.
pub struct DrainChecker;

/// The notification of a node of a drain.
struct DrainNotice {
    at_us: u64,
    /// The index of its entry.
    entry: usize,
}

impl Checker for DrainChecker {
    fn name(&self) -> &'static str {
        "drains"
    }

    fn rule(&self) -> &'static str {
        "no request reaches a draining or removed backend after the grace period from a node's notification"
    }

    fn check(&self, history: &History, attempts: &Attempts) -> Vec<Violation> {
        let grace_us = history.bounds().map_or(0, |bounds| bounds.grace_ms * 1000);
        // By node and backend.
        let mut notices: HashMap<(&str, &str), DrainNotice> = HashMap::new();
        let mut violations = Vec::new();
        for (index, entry) in history.entries.iter().enumerate() {
            let at_us = entry.at_us;
            match &entry.event {
                Event::DrainNotified { node, backend } => {
                    notices.entry((node, backend)).or_insert(DrainNotice { at_us, entry: index });
                }
                Event::ReturnNotified { node, backend } => {
                    notices.remove(&(node.as_str(), backend.as_str()));
                }
                Event::ExecutionStarted { id } => {
                    let Some(attempt) = attempts.by_id.get(id) else { continue };
                    let (node, backend) = (&attempt.node, &entry.source);
                    let Some(notice) = notices.get(&(node.as_str(), backend.as_str())) else { continue };
                    if at_us > notice.at_us + grace_us {
                        let after_ms = (at_us - notice.at_us) / 1000;
                        violations.push(Violation {
                            checker: self.name(),
                            description: format!(
                                "{id}: reached {backend} {after_ms} ms after {node} was notified of its drain"
                            ),
                            at_us,
                            evidence: vec![notice.entry, attempt.entries[0], index],
                        });
                    }
                }
                _ => {}
            }
        }
        violations
    }
}
