//! Whether a machine goes back to an older version within one incarnation of its processes.

use super::ROLLBACK_SLACK;
use super::violation::Violation;
use crate::document::{Generation, Handling};
use crate::history::{FrontendId, History, Observation, Time};
use std::collections::HashMap;

/// A version that a frontend has shown, and when.
#[derive(Clone, Copy)]
struct Shown {
    generation: Generation,
    at: Time,
}

/// The requests that were handled by an older version than the frontend had shown before.
pub fn violations(history: &History) -> Vec<Violation> {
    let mut shown: HashMap<(FrontendId, u32), Vec<Shown>> = HashMap::new();
    let mut found = Vec::new();
    for seen in history.observations.iter().filter(|seen| seen.handling != Handling::Unknown) {
        let Some((oldest, newest)) = matching_generations(history, seen) else { continue };
        let before = shown.entry((seen.frontend, seen.incarnation)).or_default();
        let binding = before.iter().filter(|shown| seen.sent_at > shown.at + ROLLBACK_SLACK);
        let floor = binding.map(|shown| shown.generation).max();
        if let Some(floor) = floor.filter(|floor| newest < *floor) {
            found.push(Violation::WentBack(seen.frontend, seen.sent_at, seen.request, seen.handling, floor));
        }
        if before.last().is_none_or(|last| last.generation < oldest) {
            before.push(Shown { generation: oldest, at: seen.ended_at });
        }
    }
    found
}

/// The oldest and the newest generation that handle a request as it was handled.
fn matching_generations(history: &History, seen: &Observation) -> Option<(Generation, Generation)> {
    let matching = history.changes.iter().filter(|change| {
        change.may_be_in_force()
            && change.sent_at <= seen.ended_at
            && change.version.handling(seen.request) == seen.handling
    });
    let generations: Vec<Generation> = matching.map(|change| change.version.generation).collect();
    Some((*generations.iter().min()?, *generations.iter().max()?))
}
