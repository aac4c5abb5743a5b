//! Nodes release descriptors, threads and memory after traffic, and exit with code 0 when asked to.

use super::attempts::Attempts;
use super::violation::{Checker, Violation};
use crate::history::{Bounds, Event, History, ProcessEvent, ResourceUsage};
use std::collections::HashSet;

/// A thread of the pool for blocking file reads stays idle for ten seconds before it exits.
const IDLE_POOL_THREADS: u64 = 1;

/// Reports resources that a node did not release, and nodes that exited with an error.
pub struct ResourceChecker;

/// A description of each resource that a node did not release within the limits.
fn unreleased_resources(
    node: &str,
    before: &ResourceUsage,
    after: &ResourceUsage,
    bounds: &Bounds,
) -> Vec<String> {
    let mut unreleased = Vec::new();
    if after.descriptors > before.descriptors + bounds.descriptors {
        let (was, is) = (before.descriptors, after.descriptors);
        unreleased.push(format!("{node} has {is} open descriptors after traffic, {was} before"));
    }
    if after.threads > before.threads + IDLE_POOL_THREADS {
        let (was, is) = (before.threads, after.threads);
        unreleased.push(format!("{node} has {is} threads after traffic, {was} before"));
    }
    if after.memory_kib > before.memory_kib + bounds.memory_kib {
        let (was, is) = (before.memory_kib, after.memory_kib);
        unreleased.push(format!("{node} uses {is} KiB of memory after traffic, {was} KiB before"));
    }
    unreleased
}

impl Checker for ResourceChecker {
    fn name(&self) -> &'static str {
        "leftovers"
    }

    fn rule(&self) -> &'static str {
        "nodes release descriptors, threads and memory after traffic, and shut down cleanly when asked to"
    }

    fn check(&self, history: &History, _: &Attempts) -> Vec<Violation> {
        let Some(bounds) = history.bounds() else { return Vec::new() };
        let mut violations = Vec::new();
        let mut killed: HashSet<&str> = HashSet::new();
        for (index, entry) in history.entries.iter().enumerate() {
            let node = entry.source.as_str();
            let descriptions = match &entry.event {
                Event::ResourcesMeasured { before, after } => {
                    unreleased_resources(node, before, after, bounds)
                }
                Event::Process { event: ProcessEvent::Killed } => {
                    killed.insert(node);
                    continue;
                }
                Event::Process { event: ProcessEvent::Ready } => {
                    killed.remove(node);
                    continue;
                }
                Event::Process { event: ProcessEvent::Exited(code) }
                    if *code != 0 && !killed.contains(node) =>
                {
                    vec![format!("{node} exited with code {code}")]
                }
                _ => continue,
            };
            violations.extend(descriptions.into_iter().map(|description| Violation {
                checker: self.name(),
                description,
                at_us: entry.at_us,
                evidence: vec![index],
            }));
        }
        violations
    }
}
