//! Whether acknowledged versions are in force in time, and nothing else is.

use super::violation::Violation;
use super::{APPLY_BOUND, UNSTABLE_CORE_EXTENSION};
use crate::contact::Contact;
use crate::document::Handling;
use crate::history::{Change, History, Observation};

/// The requests that were handled as only an older version allows, or as none does.
pub fn violations(history: &History, contact: &Contact) -> Vec<Violation> {
    let known = history.observations.iter().filter(|seen| seen.handling != Handling::Unknown);
    known.filter_map(|seen| judge(history, contact, seen)).collect()
}

fn judge(history: &History, contact: &Contact, seen: &Observation) -> Option<Violation> {
    let possible = history.changes.iter().filter(|change| {
        change.may_be_in_force()
            && change.sent_at <= seen.ended_at
            && change.version.handling(seen.request) == seen.handling
    });
    let Some(newest) = possible.map(|change| change.version.generation).max() else {
        return Some(Violation::NeverAllowed(seen.frontend, seen.sent_at, seen.request, seen.handling));
    };
    let required = newest_required(history, contact, seen)?.version.generation;
    (newest < required).then_some(Violation::NotInForce(
        seen.frontend,
        seen.sent_at,
        seen.request,
        seen.handling,
        required,
    ))
}

/// The newest change that had to be in force at the frontend when the request was sent; `None` without one.
fn newest_required<'h>(history: &'h History, contact: &Contact, seen: &Observation) -> Option<&'h Change> {
    let required = history.changes.iter().filter(|change| is_required(contact, change, seen));
    required.max_by_key(|change| change.version.generation)
}

fn is_required(contact: &Contact, change: &Change, seen: &Observation) -> bool {
    let Some(acknowledged_at) = change.acknowledged_at() else { return false };
    if !contact.is_fault_free(seen.frontend, seen.sent_at)
        || !contact.is_fault_free(seen.frontend, seen.ended_at)
    {
        return false;
    }
    let is_late = |bound| seen.sent_at > acknowledged_at + bound;
    let core_was_stable = contact.is_core_stable(seen.sent_at) && contact.is_core_stable(seen.ended_at);
    is_late(APPLY_BOUND) && core_was_stable
        || is_late(APPLY_BOUND + UNSTABLE_CORE_EXTENSION)
            && contact.had_majority(acknowledged_at, seen.ended_at)
}
