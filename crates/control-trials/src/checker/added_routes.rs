//! Whether routes that were added later are served as often as the first ones, in calm times.

use super::APPLY_BOUND;
use super::violation::Violation;
use crate::contact::Contact;
use crate::document::{Generation, Handling, TestRequest};
use crate::history::{FrontendId, History, Observation};
use std::collections::BTreeSet;

/// The least number of requests on added routes by which a frontend is judged.
const MIN_REQUESTS: usize = 20;
/// The share of the first routes' service that added routes have to reach.
const MIN_SHARE: f64 = 0.25;

/// The frontends that serve added routes too seldom.
pub fn violations(history: &History, contact: &Contact) -> Vec<Violation> {
    let frontends: BTreeSet<FrontendId> = history.observations.iter().map(|seen| seen.frontend).collect();
    frontends.into_iter().filter_map(|frontend| judge(history, contact, frontend)).collect()
}

fn judge(history: &History, contact: &Contact, frontend: FrontendId) -> Option<Violation> {
    let calm: Vec<&Observation> = history
        .observations
        .iter()
        .filter(|seen| seen.frontend == frontend && contact.is_in_touch(frontend, seen.sent_at))
        .collect();
    let first: Vec<&Observation> = calm
        .iter()
        .copied()
        .filter(|seen| matches!(seen.request, TestRequest::Lasting | TestRequest::Moving))
        .collect();
    let added: Vec<&Observation> =
        calm.iter().copied().filter(|seen| is_on_added_route(history, seen)).collect();
    let served = |seen: &[&Observation]| {
        seen.iter().filter(|seen| matches!(seen.handling, Handling::RunBy(_))).count()
    };
    let share = |seen: &[&Observation]| served(seen) as f64 / seen.len().max(1) as f64;
    (added.len() >= MIN_REQUESTS && share(&added) < MIN_SHARE * share(&first))
        .then(|| Violation::AddedRoutesNotServed(frontend, served(&added), added.len()))
}

/// Whether a request is on an added route that all versions have which may be in force.
fn is_on_added_route(history: &History, seen: &Observation) -> bool {
    let TestRequest::Added(generation) = seen.request else { return false };
    let is_in_force = |added: Generation| {
        let change = history.changes.iter().find(|change| change.version.generation == added);
        let acknowledged_at = change.and_then(|change| change.acknowledged_at());
        acknowledged_at.is_some_and(|at| seen.sent_at > at + APPLY_BOUND)
    };
    let newer = history.changes.iter().filter(|change| {
        change.version.generation >= generation && change.sent_at <= seen.ended_at && change.may_be_in_force()
    });
    is_in_force(generation) && newer.into_iter().all(|change| change.version.routes.contains(&generation))
}
