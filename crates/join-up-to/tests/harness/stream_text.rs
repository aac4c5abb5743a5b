//! Text forms of events and actions that do not depend on the names of types, variants and fields in the
//! code, for golden files. All variants and fields are listed, so that a new one must be added here. The
//! texts are fixed.

use join_up_to::*;
use std::time::Duration;

/// A time in microseconds, to the nanosecond.
pub fn time(time: Duration) -> String {
    format!("{}.{:03} us", time.as_nanos() / 1000, time.as_nanos() % 1000)
}

fn optional<T>(value: Option<T>, word: impl Fn(T) -> String) -> String {
    value.map_or("none".into(), word)
}

fn list_kind(kind: ListKind) -> &'static str {
    match kind {
        ListKind::Changes => "changes",
        ListKind::Full => "full",
        ListKind::Cached => "cached",
        ListKind::Failed => "failed",
    }
}

fn entry(entry: &ServerEntry) -> String {
    let ServerEntry { id, zone, kind, cell, state, weight, started } = entry;
    let state = match state {
        ServerState::Ready => "ready",
        ServerState::Draining => "draining",
        ServerState::Gone => "gone",
    };
    let started = optional(*started, time);
    format!("{} zone {zone} kind {kind} cell {cell} {state} weight {weight:?} started {started}", id.0)
}

fn request(new: &NewRequest) -> String {
    let NewRequest { id, class, tenant, key, remaining, cost, client_retry } = new;
    let (remaining, cost) = (time(*remaining), optional(*cost, time));
    format!(
        "{} class {class} tenant {tenant} key {key:x} remaining {remaining} cost {cost} again {client_retry}",
        id.0
    )
}

fn outcome(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Error => "error",
        Outcome::Rejected => "rejected",
        Outcome::TimedOut => "timed out",
        Outcome::ConnectFailed => "connect failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not sent",
    }
}

fn report(report: &Option<LoadReport>) -> String {
    let Some(report) = report else { return "none".into() };
    let LoadReport { in_flight, queue, utilisation, latency_ms, throughput, errors } = report;
    let values = [in_flight, queue, utilisation, latency_ms, throughput, errors];
    let values = values.map(|value| optional(*value, |value| format!("{value:?}")));
    format!("[{}]", values.join(" "))
}

/// The text of an event.
pub fn event(event: &Event) -> String {
    match event {
        Event::List { kind, version, entries } => {
            let entries: Vec<_> = entries.iter().map(entry).collect();
            format!("list {} version {version}: {}", list_kind(*kind), entries.join("; "))
        }
        Event::Request(new) => format!("request {}", request(new)),
        Event::Upload { request: new, within } => format!("upload {} within {}", request(new), time(*within)),
        Event::BodyConsumed { id } => format!("drawn {}", id.0),
        Event::Uploaded { id, remaining } => format!("uploaded {} remaining {}", id.0, time(*remaining)),
        Event::Started { id, attempt, server } => {
            format!("started {} attempt {attempt} at {}", id.0, server.0)
        }
        Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            server,
            outcome: how,
            elapsed,
            finished,
            report: load,
        }) => {
            let (id, server, how, elapsed, load) =
                (id.0, server.0, outcome(*how), time(*elapsed), report(load));
            format!(
                "ended {id} attempt {attempt} at {server} {how} after {elapsed} finished {finished} report {load}"
            )
        }
        Event::ClientGone { id } => format!("client gone {}", id.0),
        Event::Ending { within } => format!("ending within {}", time(*within)),
        Event::Timer { token } => format!("timer {token:x}"),
        Event::Probed(ProbeEnd { server, outcome: how, elapsed, report: load }) => {
            format!("probed {} {} after {} report {}", server.0, outcome(*how), time(*elapsed), report(load))
        }
        Event::Capacity { server, max_in_flight, relative } => {
            format!("room {} most {max_in_flight} share {relative:?}", server.0)
        }
        Event::Restrict(AttemptRestrictions { no_hedging, no_retries_after_execution, no_retries }) => {
            format!("restrain copies {no_hedging} repeats {no_retries_after_execution} further {no_retries}")
        }
        Event::Peer { from, data } => format!("peer {from} says {data:?}"),
    }
}

/// The text of an action.
pub fn action(action: &Action) -> String {
    match action {
        Action::Send { id, server, timeout } => {
            format!("send {} to {} within {}", id.0, server.0, time(*timeout))
        }
        Action::Refuse { id, retry_after } => {
            format!("refuse {} retry after {}", id.0, optional(*retry_after, time))
        }
        Action::Fail { id } => format!("fail {}", id.0),
        Action::Cancel { id, attempt } => format!("cancel {} attempt {attempt}", id.0),
        Action::SetTimer { after, token } => format!("timer {token:x} in {}", time(*after)),
        Action::Probe { server } => format!("probe {}", server.0),
        Action::CloseIdle { server } => format!("close idle {}", server.0),
        Action::Subscribe { on } => format!("subscribe {on}"),
        Action::FetchList => "fetch list".into(),
        Action::Tell { to, data } => format!("tell {} {data:?}", optional(*to, |to| to.to_string())),
        Action::Log { text } => format!("log {text:?}"),
    }
}
