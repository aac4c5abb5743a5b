//! Memory does not grow with ended requests and removed servers. The only test of its process, so that the
//! memory of the process is that of the balancer.

mod harness;

use harness::{entry, ms, reports_from_probes};
use join_up_to::*;
use std::time::Duration;

/// Resident memory in KiB, as Linux reports it.
fn resident() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Runs requests while the server list changes continuously. Executes sends and probes, and ignores other
/// actions.
fn play(balancer: &mut Balancer, requests: std::ops::Range<u64>) {
    let mut actions = Vec::new();
    for number in requests {
        let now = ms(1000) + Duration::from_micros(number * 1500);
        if number % 10 == 0 {
            let servers = number / 10..number / 10 + 4;
            let entries = servers.map(entry).collect();
            let list = Event::List { kind: ListKind::Full, version: number as u32, entries };
            balancer.handle(now, list, &mut actions);
        }
        let id = RequestId(number);
        let new = NewRequest {
            id,
            class: 0,
            tenant: 0,
            key: number,
            remaining: ms(900),
            cost: None,
            client_retry: false,
        };
        balancer.handle(now, Event::Request(new), &mut actions);
        while let Some(action) = actions.pop() {
            let report = Some(LoadReport { in_flight: Some(0.0), ..LoadReport::default() });
            let (outcome, elapsed) = (Outcome::Served, ms(1));
            let event = match action {
                Action::Send { id, server, .. } => {
                    let end = AttemptEnd { id, attempt: 0, server, outcome, elapsed, finished: true, report };
                    Event::AttemptEnded(end)
                }
                Action::Probe { server } => Event::Probed(ProbeEnd { server, outcome, elapsed, report }),
                _ => continue,
            };
            balancer.handle(now, event, &mut actions);
        }
    }
}

#[test]
fn memory_does_not_grow_with_ended_requests_and_removed_servers() {
    let mut balancer = Balancer::new(reports_from_probes(), 1);
    play(&mut balancer, 1..20_000);
    let Some(before) = resident() else { return eprintln!("no /proc here: not checked") };
    play(&mut balancer, 20_000..150_000);
    let grown = resident().unwrap_or(before).saturating_sub(before);
    // A leak of 100 bytes per request would be 13 MB.
    assert!(grown < 2048, "{grown} KiB more after 130,000 requests");
}
