//! Compares the parsing of each event record and the encoding of each action record with golden files. To
//! rewrite the actions: `GOLDEN=write cargo test -p simulator-adapter --test golden_wire`. The event records are
//! written by hand.

use join_up_to::settings::{Column, millis};
use join_up_to::*;
use simulator_adapter::wire::{self, Batch, Input, Reply, load_report, read_batch};
use std::collections::BTreeSet;
use std::time::Duration;

const EVENT: usize = 48;

fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(|byte| !byte.is_ascii_whitespace()).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).expect("ASCII"), 16).expect("hex");
    digits.chunks(2).map(byte).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The name of an event record; `None` for events that do not exist in the wire format.
fn input_name(input: &Input) -> Option<&'static str> {
    Some(match input {
        Input::Start { .. } => "start",
        Input::Stop => "stop",
        Input::Event(event, _) => match event {
            Event::List { kind: ListKind::Changes, .. } => "list changes",
            Event::List { kind: ListKind::Full, .. } => "list full",
            Event::List { kind: ListKind::Cached, .. } => "list cached",
            Event::List { kind: ListKind::Failed, .. } => "list failed",
            Event::Request(_) => "request",
            Event::Started { .. } => "started",
            Event::AttemptEnded(end) => outcome_name(end.outcome),
            Event::ClientGone { .. } => "client gone",
            Event::Timer { .. } => "timer",
            Event::Probed(_) => "probed",
            Event::Peer { .. } => "peer",
            Event::Upload { .. }
            | Event::BodyConsumed { .. }
            | Event::Uploaded { .. }
            | Event::Ending { .. }
            | Event::Capacity { .. }
            | Event::Restrict(_) => return None,
        },
    })
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Error => "ended error",
        Outcome::Served => "ended served",
        Outcome::Rejected => "ended rejected",
        Outcome::TimedOut => "ended timed out",
        Outcome::ConnectFailed => "ended connect failed",
        Outcome::Reset => "ended reset",
        Outcome::Cancelled => "ended cancelled",
        Outcome::NotSent => "ended not sent",
    }
}

const INPUTS: [&str; 21] = [
    "start",
    "list changes",
    "list full",
    "list cached",
    "list failed",
    "request",
    "started",
    "ended error",
    "ended served",
    "ended rejected",
    "ended timed out",
    "ended connect failed",
    "ended reset",
    "ended cancelled",
    "ended not sent",
    "client gone",
    "timer",
    "probed",
    "peer",
    "stop",
    "request without a hint",
];

const ID: RequestId = RequestId(0x000f_b047_5d3a_91c4);
const SERVER: ServerId = ServerId(0x0a12_4a07_1b5b);

fn ms(ms: f64) -> Duration {
    millis(ms)
}

fn ended(outcome: Outcome, finished: bool, report: Option<wire::RawReport>) -> Input {
    let elapsed = ms(18.5);
    let end = AttemptEnd { id: ID, attempt: 2, server: SERVER, outcome, elapsed, finished, report: None };
    Input::Event(Event::AttemptEnded(end), report)
}

fn list(kind: ListKind, version: u32, entries: Vec<ServerEntry>) -> Input {
    Input::Event(Event::List { kind, version, entries }, None)
}

/// The expected result of parsing the record with this name.
fn input(name: &str) -> Input {
    let old = ServerEntry {
        id: SERVER,
        zone: 0,
        kind: 0,
        cell: 0,
        state: ServerState::Ready,
        weight: 1.0,
        started: None,
    };
    let cold = ServerEntry {
        id: ServerId(0x0a90_11f2_1b84),
        zone: 1,
        kind: 2,
        cell: 515,
        state: ServerState::Draining,
        weight: 1.5,
        started: Some(ms(6100.0)),
    };
    let gone = ServerEntry { state: ServerState::Gone, ..old };
    let request = NewRequest {
        id: ID,
        class: 1,
        tenant: 2,
        key: 0x91f0_3b7c_55d2_0a64,
        remaining: ms(240.0),
        cost: Some(ms(12.0)),
        client_retry: true,
    };
    let plain = |event| Input::Event(event, None);
    match name {
        "start" => Input::Start { seed: 0x0102_0304_0506_0708, settings: b"{}".to_vec() },
        "list changes" => list(ListKind::Changes, 0x29, vec![cold, gone]),
        "list full" => list(ListKind::Full, 0x29, vec![old, cold]),
        "list cached" => list(ListKind::Cached, 0x29, vec![old]),
        "list failed" => list(ListKind::Failed, 0x29, vec![]),
        "request" => plain(Event::Request(request)),
        "request without a hint" => {
            plain(Event::Request(NewRequest { cost: None, client_retry: false, ..request }))
        }
        "started" => plain(Event::Started { id: ID, attempt: 2, server: SERVER }),
        "ended error" => ended(Outcome::Error, false, None),
        "ended served" => ended(Outcome::Served, true, Some(([3.0, 1.0, 0.5, 7.25], 4))),
        "ended rejected" => ended(Outcome::Rejected, false, Some(([3.0, 0.0, 0.0, 0.0], 1))),
        "ended timed out" => ended(Outcome::TimedOut, false, None),
        "ended connect failed" => ended(Outcome::ConnectFailed, false, None),
        "ended reset" => ended(Outcome::Reset, false, None),
        "ended cancelled" => ended(Outcome::Cancelled, true, None),
        "ended not sent" => ended(Outcome::NotSent, false, None),
        "client gone" => plain(Event::ClientGone { id: ID }),
        "timer" => plain(Event::Timer { token: 0x4d }),
        "probed" => {
            let end = ProbeEnd { server: SERVER, outcome: Outcome::Served, elapsed: ms(1.25), report: None };
            Input::Event(Event::Probed(end), Some(([3.0, 1.0, 0.0, 0.0], 2)))
        }
        "peer" => plain(Event::Peer { from: 2, data: b"hi".to_vec() }),
        "stop" => Input::Stop,
        other => panic!("unknown record name {other:?}"),
    }
}

/// A batch with one record.
fn batch(record: &[u8], tail: &[u8]) -> Batch {
    let mut frame = Vec::new();
    frame.extend(12u32.to_be_bytes());
    frame.extend(1u32.to_be_bytes());
    frame.extend(((EVENT + tail.len()) as u32).to_be_bytes());
    frame.extend(8412.25f64.to_be_bytes());
    frame.extend(record);
    frame.resize(20 + EVENT, 0);
    frame.extend(tail);
    let batch = read_batch(&mut &frame[..]).expect("legal").expect("a batch");
    assert_eq!((batch.number, batch.clock), (12, ms(8412.25)));
    batch
}

#[test]
fn parsed_event_records_match_the_golden_file() {
    let golden = golden_files::read("wire/inputs.txt");
    let mut seen = Vec::new();
    for line in golden.lines().filter(|line| !line.starts_with('#')) {
        let (name, bytes) = line.split_once(": ").expect("a name");
        let (record, tail) = bytes.split_once('|').expect("a tail");
        let batch = batch(&unhex(record), &unhex(tail));
        let read: Vec<_> =
            batch.records().collect::<Result<_, _>>().unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(read, [(0x0103, input(name))], "{name}");
        let actual = input_name(&read[0].1).expect("an event of the wire format");
        assert!(name.starts_with(actual), "{name} was parsed as {actual}");
        seen.push(name);
    }
    assert_eq!(
        BTreeSet::from_iter(&seen),
        BTreeSet::from_iter(&INPUTS),
        "all event records are in the golden file"
    );
}

#[test]
fn values_of_load_reports_are_named_by_the_columns_in_their_order() {
    let columns = [Column::Tps, Column::Unknown, Column::MeanMs, Column::ErrPs, Column::Concurrent];
    let report = load_report(([1.0, 2.0, 3.0, 4.0], 4), &columns);
    let expected = LoadReport {
        in_flight: None,
        queue: None,
        utilisation: None,
        latency_ms: Some(3.0),
        throughput: Some(1.0),
        errors: Some(4.0),
    };
    assert_eq!(report, expected);
}

fn action_name(action: &Action) -> &'static str {
    match action {
        Action::Send { .. } => "send",
        Action::Refuse { retry_after: Some(_), .. } => "refuse with a wait",
        Action::Refuse { retry_after: None, .. } => "refuse",
        Action::Fail { .. } => "fail",
        Action::Cancel { .. } => "cancel",
        Action::SetTimer { .. } => "set timer",
        Action::Probe { .. } => "probe",
        Action::CloseIdle { .. } => "close idle",
        Action::Subscribe { .. } => "subscribe",
        Action::FetchList => "fetch list",
        Action::Tell { to: Some(_), .. } => "tell one",
        Action::Tell { to: None, .. } => "tell all",
        Action::Log { .. } => "log",
    }
}

#[test]
fn encoded_action_records_match_the_golden_file() {
    let actions = [
        Action::Send { id: ID, server: SERVER, timeout: ms(80.125) },
        Action::Refuse { id: ID, retry_after: Some(ms(500.0)) },
        Action::Refuse { id: ID, retry_after: None },
        Action::Fail { id: ID },
        Action::Cancel { id: ID, attempt: 2 },
        Action::SetTimer { after: ms(500.0), token: 0x4d },
        Action::Probe { server: SERVER },
        Action::CloseIdle { server: SERVER },
        Action::Subscribe { on: true },
        Action::Subscribe { on: false },
        Action::FetchList,
        Action::Tell { to: Some(7), data: b"hi 7".to_vec() },
        Action::Tell { to: None, data: b"all".to_vec() },
        Action::Log { text: "two servers known".into() },
    ];
    let mut text = String::new();
    for action in &actions {
        let mut reply = Reply::default();
        reply.push(0x0103, action);
        text += &format!("{}: {}\n", action_name(action), hex(&reply.frame(12)));
    }
    let mut reply = Reply::default();
    reply.push_fault(0x0103, "index out of bounds");
    text += &format!("fault: {}\n", hex(&reply.frame(12)));
    let mut reply = Reply::default();
    actions.iter().for_each(|action| reply.push(0x0103, action));
    text += &format!("all in one frame: {}\n", hex(&reply.frame(13)));
    golden_files::check("wire/actions.txt", &text);
    let names: BTreeSet<_> = actions.iter().map(action_name).collect();
    assert_eq!(names.len(), 13, "all actions are covered: {names:?}");
}
