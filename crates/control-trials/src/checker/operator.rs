//! What the operator was told: which changes were acknowledged or refused, and what was read back.

use super::APPLY_BOUND;
use super::violation::Violation;
use crate::document::Generation;
use crate::history::{Change, ChangeKind, ChangeOutcome, History, Read};
use std::collections::BTreeMap;

/// The violations in the answers that the operator got.
pub fn violations(history: &History) -> Vec<Violation> {
    let mut found = refused_repeats(history);
    found.extend(acknowledged_invalid(history));
    found.extend(acknowledged_twice(history));
    found.extend(history.reads.iter().filter_map(|read| judge_read(history, read)));
    found
}

fn refused_repeats(history: &History) -> Vec<Violation> {
    let refused = |change: &Change| match change.outcome {
        ChangeOutcome::Refused(status) if change.kind == ChangeKind::Repeated => {
            Some(Violation::RepeatRefused(change.version.generation, status))
        }
        _ => None,
    };
    history.changes.iter().filter_map(refused).collect()
}

fn acknowledged_invalid(history: &History) -> Vec<Violation> {
    let acknowledged = history.invalid_changes.iter().filter(|change| change.acknowledged);
    acknowledged.map(|change| Violation::InvalidAcknowledged(change.number, change.flaw)).collect()
}

fn acknowledged_twice(history: &History) -> Vec<Violation> {
    let mut by_base: BTreeMap<Generation, &Change> = BTreeMap::new();
    let mut found = Vec::new();
    for change in history.changes.iter().filter(|change| change.acknowledged_at().is_some()) {
        match by_base.get(&change.base) {
            Some(first) if first.version != change.version => {
                let (first, second) = (first.version.generation, change.version.generation);
                found.push(Violation::BothAcknowledged(change.base, first, second));
            }
            Some(_) => {}
            None => drop(by_base.insert(change.base, change)),
        }
    }
    found
}

fn judge_read(history: &History, read: &Read) -> Option<Violation> {
    let Some(document) = &read.document else {
        return read.is_final.then(|| Violation::NoRead(read.coordinator.clone()));
    };
    let sent = history.changes.iter().filter(|change| change.may_be_in_force());
    let Some(change) = sent.into_iter().find(|change| change.version.text() == *document) else {
        return Some(Violation::DifferentRead(read.coordinator.clone(), read.sent_at));
    };
    let bound = if read.is_final { Default::default() } else { APPLY_BOUND };
    let is_required = |change: &&Change| change.acknowledged_at().is_some_and(|at| read.sent_at > at + bound);
    let required =
        history.changes.iter().filter(is_required).map(|change| change.version.generation).max()?;
    let generation = change.version.generation;
    (generation < required)
        .then(|| Violation::OldRead(read.coordinator.clone(), read.sent_at, generation, required))
}
