//! Limits on the connections that all nodes together open: to a backend within any second, and to discovery
//! within any 100 ms.

use super::attempts::Attempts;
use super::violation::{Checker, Violation};
use crate::history::{Bounds, Event, History};
use std::collections::{HashMap, VecDeque};

/// Reports bursts of connections to a backend or to discovery.
pub struct LoadChecker;

/// The most connections to a target within a window.
struct ConnectionLimit {
    window_us: u64,
    /// The window, as shown in a violation.
    window_name: &'static str,
    connections: u64,
}

impl ConnectionLimit {
    fn of(target: &str, bounds: &Bounds) -> Self {
        match target {
            "discovery" => ConnectionLimit {
                window_us: 100_000,
                window_name: "100 ms",
                connections: bounds.discovery_calls_per_100ms,
            },
            _ => ConnectionLimit {
                window_us: 1_000_000,
                window_name: "1 s",
                connections: bounds.connections_per_s,
            },
        }
    }
}

/// Connections to a target beyond its limit.
struct Excess {
    /// When the limit was first exceeded, µs.
    at_us: u64,
    /// The index of the entry that exceeded it.
    entry: usize,
    /// The largest number of connections within a window.
    max_connections: u64,
}

impl Checker for LoadChecker {
    fn name(&self) -> &'static str {
        "load"
    }

    fn rule(&self) -> &'static str {
        "connections to a backend in any second, and to discovery in any 100 ms, stay within their limits"
    }

    fn check(&self, history: &History, _: &Attempts) -> Vec<Violation> {
        let Some(bounds) = history.bounds() else { return Vec::new() };
        let mut recent: HashMap<&str, VecDeque<u64>> = HashMap::new();
        let mut excesses: HashMap<&str, Excess> = HashMap::new();
        for (index, entry) in history.entries.iter().enumerate() {
            let Event::Connected { .. } = &entry.event else { continue };
            let (target, at_us) = (entry.source.as_str(), entry.at_us);
            let limit = ConnectionLimit::of(target, bounds);
            let times = recent.entry(target).or_default();
            times.push_back(at_us);
            while times.front().is_some_and(|first| *first + limit.window_us <= at_us) {
                times.pop_front();
            }
            let connections = times.len() as u64;
            if connections > limit.connections {
                let first = Excess { at_us, entry: index, max_connections: connections };
                let excess = excesses.entry(target).or_insert(first);
                excess.max_connections = excess.max_connections.max(connections);
            }
        }
        // One violation a target, with the number of its worst window.
        let mut violations: Vec<_> = excesses
            .into_iter()
            .map(|(target, excess)| {
                let limit = ConnectionLimit::of(target, bounds);
                let (worst, window, most) = (excess.max_connections, limit.window_name, limit.connections);
                Violation {
                    checker: self.name(),
                    description: format!(
                        "{target}: {worst} connections were opened within {window}, the limit is {most}"
                    ),
                    at_us: excess.at_us,
                    evidence: vec![excess.entry],
                }
            })
            .collect();
        violations.sort_by_key(|violation| violation.at_us);
        violations
    }
}
