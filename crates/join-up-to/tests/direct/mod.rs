//! Helpers for tests that pass single events to a balancer, each at an explicit time.

use join_up_to::*;
use std::time::Duration;

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A balancer with this number of ready servers, all in one zone and cell, listed at 1 ms.
pub fn balancer_of(settings: Settings, servers: u64) -> Balancer {
    let mut balancer = Balancer::new(settings, 7);
    let entry = |id| ServerEntry {
        id: ServerId(id),
        zone: 0,
        kind: 0,
        cell: 0,
        state: ServerState::Ready,
        weight: 1.0,
        started: None,
    };
    let entries = (1..=servers).map(entry).collect();
    at(&mut balancer, 1, Event::List { kind: ListKind::Full, version: 1, entries });
    balancer
}

/// Passes an event at `now` in milliseconds. Returns the actions.
pub fn at(balancer: &mut Balancer, now: u64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    balancer.handle(ms(now), event, &mut actions);
    actions
}
