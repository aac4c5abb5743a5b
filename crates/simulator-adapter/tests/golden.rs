//! Transcripts of the adapter as a process: each batch that it reads and each reply that it writes, byte by
//! byte and with a comment for each record, are compared with golden files. To rewrite the files:
//! `GOLDEN=write cargo test -p simulator-adapter --test golden`. Frames are built from numbers only, so that a
//! rename in the code can't change them.
//!
//! The balancer currently never requests the list once, sends messages to nodes, closes idle connections,
//! logs or panics; `golden_wire.rs` covers the records of these actions.

mod support;

use std::collections::BTreeSet;
use support::run;

/// The names of records of a batch by their codes.
const EVENT_NAMES: [(u8, &str); 10] = [
    (1, "start"),
    (2, "list"),
    (3, "request"),
    (4, "started"),
    (5, "attempt ended"),
    (6, "client gone"),
    (7, "timer"),
    (8, "probed"),
    (9, "peer"),
    (10, "stop"),
];

/// The names of records of a reply by their codes.
const ACTION_NAMES: [(u8, &str); 12] = [
    (65, "fail"),
    (66, "probe"),
    (67, "log"),
    (68, "set timer"),
    (69, "cancel"),
    (70, "subscribe"),
    (71, "fault"),
    (72, "fetch list"),
    (73, "tell"),
    (74, "close idle"),
    (75, "refuse"),
    (76, "send"),
];

/// The codes of actions that the balancer currently never returns.
const UNUSED_ACTIONS: [u8; 5] = [67, 71, 72, 73, 74];

const BATCH_HEADER: usize = 20;
const EVENT: usize = 48;
const REPLY_HEADER: usize = 12;
const ACTION: usize = 32;

/// Outcomes by their codes on the wire.
const ERROR: u8 = 0;
const SERVED: u8 = 1;
const REJECTED: u8 = 2;
const TIMED_OUT: u8 = 3;
const CONNECT_FAILED: u8 = 4;
const RESET: u8 = 5;
const CANCELLED: u8 = 6;
const NOT_SENT: u8 = 7;

/// Kinds of list updates by their codes on the wire.
const CHANGES: u8 = 0;
const FULL: u8 = 1;
const CACHED: u8 = 2;
const FAILED: u8 = 3;

/// Server states by their codes on the wire.
const GONE: u8 = 0;
const DRAINING: u8 = 1;
const READY: u8 = 2;

const CLASSES: &str = r#"[{"Name": "look", "Target": 400.0, "GiveUp": 1000.0, "Idempotency": "free"},
    {"Name": "submit", "Target": 400.0, "GiveUp": 1000.0, "Idempotency": "guarded", "Group": "zone", "Window": 600.0},
    {"Name": "correct", "Target": 500.0, "GiveUp": 2500.0, "Idempotency": "single_shot", "Stream": true}]"#;

/// Settings with cancellation and retries, and load reports in responses.
fn answering() -> String {
    format!(
        r#"{{"NInstances": 2, "Ordinal": 0, "Zone": 0, "Localities": ["a", "b"], "HostTypes": ["m"], "Quantum": 5.0,
        "Classes": {CLASSES}, "LoadReport": {{"Columns": ["concurrent", "depth", "load_share", "new"], "Via": "piggyback"}},
        "Permissions": {{"AttemptsCap": 3, "Cancel": true, "ConnectTimeout": 250.0, "MaxRetryAfter": 1500.5,
            "ParallelTries": true, "Probes": false, "RetryAfter": true}},
        "Rules": {{"DrainGrace": 0.0, "ColdFrom": 0.3, "RampTime": 5000.0, "OverloadFactor": 4.0, "TipAfter": 1500.0}}}}"#
    )
}

/// Settings with load reports from probes only.
fn probing() -> String {
    format!(
        r#"{{"NInstances": 3, "Ordinal": 1, "Zone": 1, "Quantum": 1.0, "Classes": {CLASSES},
        "LoadReport": {{"Columns": ["concurrent"], "Via": "pull"}}, "Prices": {{"Probe": 0.002}},
        "Permissions": {{"AttemptsCap": 2, "Probes": true}}}}"#
    )
}

/// Settings under which the server list must be requested.
fn asking() -> String {
    format!(
        r#"{{"Classes": {CLASSES}, "RegistryMode": "ask", "Rules": {{"MustAskIn": 800.0}}, "Permissions": {{"AttemptsCap": 1}}}}"#
    )
}

#[derive(Clone, Copy)]
struct Entry {
    port: u16,
    zone: u8,
    kind: u8,
    cell: u16,
    state: u8,
    weight: f32,
    started_ms: f64,
}

const fn entry(port: u16, state: u8) -> Entry {
    Entry { port, zone: (port % 2) as u8, kind: 0, cell: port % 3, state, weight: 1.0, started_ms: 0.0 }
}

/// Builds a batch.
struct Batch {
    number: u32,
    clock_ms: f64,
    records: Vec<[u8; EVENT]>,
    tail: Vec<u8>,
}

fn batch(number: u32, clock_ms: f64) -> Batch {
    Batch { number, clock_ms, records: Vec::new(), tail: Vec::new() }
}

impl Batch {
    fn record(mut self, code: u8, instance: u16, fields: &[&[u8]]) -> Self {
        let fields = fields.concat();
        let mut record = [0; EVENT];
        record[0] = code;
        record[1..3].copy_from_slice(&instance.to_be_bytes());
        record[3..3 + fields.len()].copy_from_slice(&fields);
        self.records.push(record);
        self
    }
    /// Appends bytes to the tail. Returns the field that refers to them.
    fn at(&mut self, bytes: &[u8], count: usize) -> Vec<u8> {
        let at = self.tail.len() as u32;
        self.tail.extend(bytes);
        [at.to_be_bytes(), (count as u32).to_be_bytes()].concat()
    }
    fn start(mut self, instance: u16, seed: u64, settings: &str) -> Self {
        let at = self.at(settings.as_bytes(), settings.len());
        self.record(1, instance, &[&seed.to_be_bytes(), &at])
    }
    fn list(mut self, instance: u16, kind: u8, version: u32, entries: &[Entry]) -> Self {
        let mut bytes = Vec::new();
        for entry in entries {
            bytes.extend([10, 144, 17, 242]);
            bytes.extend(entry.port.to_be_bytes());
            bytes.extend([entry.zone, entry.kind]);
            bytes.extend(entry.cell.to_be_bytes());
            bytes.push(entry.state);
            bytes.extend(entry.weight.to_be_bytes());
            bytes.extend(entry.started_ms.to_be_bytes());
        }
        let at = self.at(&bytes, entries.len());
        self.record(2, instance, &[&[kind], &version.to_be_bytes(), &at])
    }
    /// A request, optionally with its cost, and optionally marked as a client's retry.
    fn request(self, instance: u16, id: u64, class: u16, cost_ms: Option<f64>, client_retry: bool) -> Self {
        let flags = u8::from(cost_ms.is_some()) | u8::from(client_retry) << 1;
        let (tenant, key) = (3u16.to_be_bytes(), 0x91f0_3b7c_55d2_0a64u64.to_be_bytes());
        let (remaining, cost) = (1000f64.to_be_bytes(), cost_ms.unwrap_or_default().to_be_bytes());
        self.record(
            3,
            instance,
            &[&id.to_be_bytes(), &class.to_be_bytes(), &tenant, &key, &remaining, &cost, &[flags]],
        )
    }
    fn started(self, instance: u16, id: u64, attempt: u8) -> Self {
        self.record(4, instance, &[&id.to_be_bytes(), &[0; 8], &[attempt], &[10, 144, 17, 242, 0, 1]])
    }
    fn ended(
        self,
        instance: u16,
        (id, attempt): (u64, u8),
        outcome: u8,
        finished: bool,
        report: &[f32],
    ) -> Self {
        let server = [10, 144, 17, 242, 0, 1];
        let end =
            [&[attempt][..], &server, &[outcome], &18.5f64.to_be_bytes(), &[u8::from(finished)]].concat();
        self.record(5, instance, &[&id.to_be_bytes(), &end, &values(report)])
    }
    fn client_gone(self, instance: u16, id: u64) -> Self {
        self.record(6, instance, &[&id.to_be_bytes()])
    }
    fn timer(self, instance: u16, token: u64) -> Self {
        self.record(7, instance, &[&token.to_be_bytes()])
    }
    fn probed(self, instance: u16, port: u16, outcome: u8, report: &[f32]) -> Self {
        let server = [&[10, 144, 17, 242][..], &port.to_be_bytes()].concat();
        self.record(8, instance, &[&server, &[outcome], &1.25f64.to_be_bytes(), &values(report)])
    }
    fn peer(mut self, instance: u16, from: u32, text: &str) -> Self {
        let at = self.at(text.as_bytes(), text.len());
        self.record(9, instance, &[&from.to_be_bytes(), &at])
    }
    fn stop(self, instance: u16) -> Self {
        self.record(10, instance, &[])
    }
    fn frame(&self) -> Vec<u8> {
        let mut frame = Vec::new();
        frame.extend(self.number.to_be_bytes());
        frame.extend((self.records.len() as u32).to_be_bytes());
        frame.extend(((self.records.len() * EVENT + self.tail.len()) as u32).to_be_bytes());
        frame.extend(self.clock_ms.to_be_bytes());
        frame.extend(self.records.concat());
        frame.extend(&self.tail);
        frame
    }
}

/// A load report: the number of values, and up to four values.
fn values(report: &[f32]) -> Vec<u8> {
    let mut bytes = vec![report.len() as u8];
    report.iter().for_each(|value| bytes.extend(value.to_be_bytes()));
    bytes
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Renders the tail of a frame, which is text or entries of a list.
fn tail(bytes: &[u8]) -> String {
    match std::str::from_utf8(bytes) {
        Ok(text) if !text.contains('\0') => format!("{text:?}"),
        _ => hex(bytes),
    }
}

/// Renders a frame with one record per line.
fn render_frame(
    side: &str,
    frame: &[u8],
    header: usize,
    count: usize,
    record: usize,
    names: &[(u8, &str)],
) -> String {
    let (head, rest) = frame.split_at(header);
    let (records, rest) = rest.split_at(count * record);
    let mut text = format!("{side} header {}\n", hex(head));
    for record in records.chunks_exact(record) {
        let name = names.iter().find(|(code, _)| *code == record[0]).map_or("?", |(_, name)| name);
        text += &format!("{side} record {}  # {name}\n", hex(record));
    }
    if !rest.is_empty() {
        text += &format!("{side} tail {}\n", tail(rest));
    }
    text
}

fn word(bytes: &[u8], at: usize) -> usize {
    u32::from_be_bytes(bytes[at..at + 4].try_into().expect("four bytes")) as usize
}

/// Splits the output of the adapter into replies.
fn replies(mut output: &[u8]) -> Vec<&[u8]> {
    let mut replies = Vec::new();
    while output.len() >= REPLY_HEADER {
        let (reply, rest) = output.split_at(REPLY_HEADER + word(output, 4));
        replies.push(reply);
        output = rest;
    }
    assert!(output.is_empty(), "incomplete reply");
    replies
}

/// The transcript of batches and their replies, and the record codes that occur in it.
fn transcript(play: &[(&str, Batch)]) -> (String, BTreeSet<u8>, BTreeSet<u8>) {
    let input: Vec<_> = play.iter().flat_map(|(_, batch)| batch.frame()).collect();
    let output = run(&input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = replies(&output.stdout);
    assert_eq!(replies.len(), play.len());
    let (mut text, mut input_codes, mut output_codes) = (String::new(), BTreeSet::new(), BTreeSet::new());
    for ((about, batch), reply) in play.iter().zip(replies) {
        let frame = batch.frame();
        text += &format!("# {about}\n");
        text += &render_frame("in ", &frame, BATCH_HEADER, batch.records.len(), EVENT, &EVENT_NAMES);
        text += &render_frame("out", reply, REPLY_HEADER, word(reply, 8), ACTION, &ACTION_NAMES);
        input_codes.extend(batch.records.iter().map(|record| record[0]));
        let actions = reply[REPLY_HEADER..].chunks(ACTION).take(word(reply, 8));
        output_codes.extend(actions.map(|record| record[0]));
    }
    (text, input_codes, output_codes)
}

/// Batches with all kinds of events, whose replies contain all kinds of actions that the balancer currently
/// returns.
fn all_records() -> Vec<(&'static str, Batch)> {
    let ready = [entry(1, READY), entry(2, READY), entry(3, READY), entry(4, READY)];
    let cold = Entry { started_ms: 900.5, kind: 1, weight: 1.5, ..entry(5, READY) };
    vec![
        (
            "three instances start: reports with answers, probes, a list that is asked for",
            batch(1, 1000.0).start(1, 9, &answering()).start(2, 10, &probing()).start(3, 11, &asking()),
        ),
        (
            "lists of each form",
            batch(2, 1001.0)
                .list(1, CACHED, 1, &ready[..2])
                .list(1, FULL, 2, &ready)
                .list(2, FULL, 1, &ready)
                .list(3, FAILED, 0, &[]),
        ),
        (
            "requests of each class",
            batch(3, 1010.25)
                .request(1, 101, 0, None, false)
                .request(1, 102, 1, Some(12.5), false)
                .request(1, 103, 2, Some(20.0), true)
                .request(1, 104, 0, Some(5000.0), false)
                .request(2, 201, 0, None, false)
                .request(3, 301, 0, None, false),
        ),
        (
            "probes end",
            batch(4, 1011.5).probed(2, 1, SERVED, &[0.0]).probed(2, 2, SERVED, &[3.0]).probed(
                2,
                3,
                CONNECT_FAILED,
                &[],
            ),
        ),
        (
            "attempts end in each way, with reports of up to four values",
            batch(5, 1030.0)
                .ended(1, (101, 0), ERROR, false, &[])
                .ended(1, (102, 0), REJECTED, false, &[1.0])
                .ended(1, (103, 0), RESET, false, &[0.0, 1.0, 0.5, 7.25])
                .ended(2, (201, 0), NOT_SENT, false, &[]),
        ),
        (
            "more attempts, and how they end",
            batch(6, 1050.0)
                .ended(1, (101, 1), SERVED, true, &[0.0, 0.0])
                .ended(1, (102, 1), TIMED_OUT, false, &[])
                .request(1, 105, 2, None, false)
                .request(1, 106, 0, None, false)
                .request(1, 107, 0, None, false),
        ),
        (
            "a stream starts, a client leaves, what it had out is cancelled",
            batch(7, 1060.0)
                .started(1, 105, 0)
                .client_gone(1, 106)
                .ended(1, (106, 0), CANCELLED, false, &[])
                .ended(1, (107, 0), CONNECT_FAILED, false, &[]),
        ),
        (
            "servers drain, go and come cold; another node says something",
            batch(8, 1070.0)
                .list(1, CHANGES, 3, &[entry(1, DRAINING), entry(2, GONE), cold])
                .peer(1, 2, "hello")
                .request(1, 108, 0, None, false),
        ),
        (
            "timers: one of a request, the housekeeping one of who has to ask for the list",
            batch(9, 2300.0).timer(1, 107).timer(1, 108).timer(2, 201).timer(3, 301).timer(3, u64::MAX),
        ),
        (
            "no server is left; an instance starts again within the batch",
            batch(10, 2400.0)
                .list(1, FULL, 4, &[])
                .request(1, 109, 0, None, false)
                .stop(3)
                .start(3, 12, &answering())
                .list(3, FULL, 1, &ready)
                .request(3, 302, 0, None, false),
        ),
        ("the request without a server is over", batch(11, 3500.0).timer(1, 109)),
        ("nothing", batch(12, 3600.0)),
    ]
}

#[test]
fn replies_to_all_kinds_of_records_match_the_golden_transcript() {
    let (text, input_codes, output_codes) = transcript(&all_records());
    golden_files::check("play.txt", &text);
    assert_eq!(input_codes, EVENT_NAMES.iter().map(|(code, _)| *code).collect(), "all kinds of events");
    let used = ACTION_NAMES.iter().map(|(code, _)| *code).filter(|code| !UNUSED_ACTIONS.contains(code));
    assert_eq!(output_codes, used.collect(), "all kinds of actions in use");
}

#[test]
fn errors_for_invalid_input_match_the_golden_file() {
    let good = batch(1, 1000.0).start(1, 9, &answering()).list(1, FULL, 1, &[entry(1, READY)]).frame();
    let after = |batch: Batch| [good.clone(), batch.frame()].concat();
    let settings = |text: &str| batch(3, 1.0).start(1, 9, text).frame();
    let mut past = batch(6, 1.0).record(9, 1, &[&[0; 4], &3u32.to_be_bytes(), &2u32.to_be_bytes()]);
    past.tail = vec![0; 4];
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("a truncated header", good[..7].to_vec()),
        ("a truncated body", good[..30].to_vec()),
        ("a clock that is not a number", batch(2, f64::NAN).frame()),
        ("more records than fit in the body", [&2u32.to_be_bytes()[..], &[0, 0, 1, 0], &[0; 12]].concat()),
        ("an unknown event code", after(batch(2, 1.0).record(77, 1, &[]))),
        ("an unknown list kind", after(batch(2, 1.0).list(1, 4, 1, &[]))),
        ("an unknown server state", after(batch(2, 1.0).list(1, FULL, 1, &[entry(1, 3)]))),
        ("an unknown outcome", after(batch(2, 1.0).probed(1, 1, 8, &[]))),
        ("a load report with too many values", after(batch(2, 1.0).probed(1, 1, SERVED, &[0.0; 5]))),
        ("a reference past the end of the tail", past.frame()),
        ("an event for an instance that is not running", after(batch(2, 1.0).request(7, 1, 0, None, false))),
        ("a stop of an instance that is not running", after(batch(2, 1.0).stop(7))),
        ("settings that are not JSON", settings("nothing")),
        ("settings without classes", settings("{\"Classes\": []}")),
        ("settings with a missing field", settings("{\"Classes\": [{\"Target\": 4}]}")),
    ];
    let mut text = String::new();
    for (about, input) in cases {
        let output = run(&input);
        let stderr = String::from_utf8_lossy(&output.stderr);
        text += &format!("# {about}\n{:?}\n{stderr}", output.status.code());
    }
    golden_files::check("bad_input.txt", &text);
}
