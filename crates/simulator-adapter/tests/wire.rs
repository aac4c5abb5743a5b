//! The encoding of records byte by byte, and the errors for invalid frames.

use join_up_to::settings::{Column, millis};
use join_up_to::{
    Action, AttemptEnd, Event, ListKind, LoadReport, NewRequest, Outcome, ProbeEnd, RequestId, ServerEntry,
    ServerId, ServerState,
};
use simulator_adapter::wire::{Input, Reply, WireError, load_report, read_batch};
use std::time::Duration;

const EVENT: usize = 48;
const ACTION: usize = 32;
const ENTRY: usize = 23;

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).expect("ascii"), 16).expect("hex"))
        .collect()
}

fn padded(text: &str, size: usize) -> Vec<u8> {
    let mut bytes = hex(text);
    bytes.resize(size, 0);
    bytes
}

fn batch(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let mut frame = Vec::new();
    frame.extend(12u32.to_be_bytes());
    frame.extend((records.len() as u32).to_be_bytes());
    frame.extend(((records.len() * EVENT + tail.len()) as u32).to_be_bytes());
    frame.extend(hex("40c06e2000000000"));
    records.iter().for_each(|record| frame.extend(record));
    frame.extend(tail);
    frame
}

fn read(frame: &[u8]) -> Result<Vec<(u16, Input)>, WireError> {
    let batch = read_batch(&mut &frame[..])?.expect("a batch");
    batch.records().collect()
}

fn one(record: &str, tail: &str) -> (u16, Input) {
    read(&batch(&[padded(record, EVENT)], &hex(tail))).expect("legal").remove(0)
}

fn ms(ms: f64) -> Duration {
    millis(ms)
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let frame = hex("00000001 00000000 00000000 40c06e2000000000");
    let batch = read_batch(&mut &frame[..]).expect("legal").expect("a batch");
    assert_eq!((batch.number, batch.clock, batch.records().count()), (1, ms(8412.25), 0));
    assert_eq!(Reply::default().frame(1), hex("00000001 00000000 00000000"));
}

#[test]
fn documented_batch_of_two_instances_is_parsed() {
    let records = [
        padded(
            "03 0003 000fb0475d3a91c4 0000 0000 91f03b7c55d20a64 406e000000000000 4028000000000000 01",
            EVENT,
        ),
        padded("07 0003 000000000000004d", EVENT),
        padded("06 0005 0004ed230e6f2b19", EVENT),
    ];
    let frame = batch(&records, &[]);
    assert_eq!(frame[..12], hex("0000000c 00000003 00000090"));
    let request = NewRequest {
        id: RequestId(0x000f_b047_5d3a_91c4),
        class: 0,
        tenant: 0,
        key: 0x91f0_3b7c_55d2_0a64,
        remaining: ms(240.0),
        cost: Some(ms(12.0)),
        client_retry: false,
    };
    assert_eq!(
        read(&frame).expect("legal"),
        [
            (3, Input::Event(Event::Request(request), None)),
            (3, Input::Event(Event::Timer { token: 0x4d }, None)),
            (5, Input::Event(Event::ClientGone { id: RequestId(0x0004_ed23_0e6f_2b19) }, None)),
        ]
    );
}

#[test]
fn documented_reply_of_two_records_and_a_log_line_is_byte_exact() {
    let mut reply = Reply::default();
    let server = ServerId(0x0a12_4a07_1b5b);
    reply.push(3, &Action::Send { id: RequestId(0x000f_b047_5d3a_91c4), server, timeout: ms(80.0) });
    reply.push(3, &Action::SetTimer { after: ms(500.0), token: 0x4d });
    reply.push(5, &Action::Log { text: "two servers known".into() });
    let mut expected = hex("0000000c 00000071 00000003");
    expected.extend(padded("4c 0003 000fb0475d3a91c4 0a124a07 1b5b 4054000000000000", ACTION));
    expected.extend(padded("44 0003 407f400000000000 000000000000004d", ACTION));
    expected.extend(padded("43 0005 00000000 00000011", ACTION));
    expected.extend(hex("74776f2073657276657273206b6e6f776e"));
    assert_eq!(reply.frame(12), expected);
}

#[test]
fn documented_list_is_parsed() {
    let tail = "0a124a07 1b5b 00 00 0000 02 3f800000 0000000000000000
                0a9011f2 1b84 01 00 0000 02 3fc00000 40b7d40000000000";
    let (_, input) = one("02 0003 02 00000029 00000000 00000002", tail);
    let near = ServerEntry {
        id: ServerId(0x0a12_4a07_1b5b),
        zone: 0,
        kind: 0,
        cell: 0,
        state: ServerState::Ready,
        weight: 1.0,
        started: None,
    };
    let far = ServerEntry {
        id: ServerId(0x0a90_11f2_1b84),
        zone: 1,
        weight: 1.5,
        started: Some(ms(6100.0)),
        ..near
    };
    let list = Event::List { kind: ListKind::Cached, version: 0x29, entries: vec![near, far] };
    assert_eq!(input, Input::Event(list, None));
}

#[test]
fn documented_outcome_is_parsed() {
    let (_, input) = one("05 0003 000fb0475d3a91c4 00 0a124a07 1b5b 01 4032800000000000 01 00", "");
    let end = AttemptEnd {
        id: RequestId(0x000f_b047_5d3a_91c4),
        attempt: 0,
        server: ServerId(0x0a12_4a07_1b5b),
        outcome: Outcome::Served,
        elapsed: ms(18.5),
        finished: true,
        report: None,
    };
    assert_eq!(input, Input::Event(Event::AttemptEnded(end), None));
}

#[test]
fn values_of_a_probe_load_report_are_named_by_the_columns() {
    let (_, input) = one("08 0001 0a124a07 1b5b 01 3ff0000000000000 03 40400000 3f800000 3f000000", "");
    let Input::Event(Event::Probed(end), Some(raw)) = input else { panic!("{input:?}") };
    let expected = ProbeEnd {
        server: ServerId(0x0a12_4a07_1b5b),
        outcome: Outcome::Served,
        elapsed: ms(1.0),
        report: None,
    };
    assert_eq!(end, expected);
    let report = load_report(raw, &[Column::Concurrent, Column::Unknown, Column::LoadShare]);
    let expected = LoadReport { in_flight: Some(3.0), utilisation: Some(0.5), ..LoadReport::default() };
    assert_eq!(report, expected);
}

#[test]
fn start_stop_started_and_peer_records_are_parsed() {
    let (instance, input) = one("01 0007 0000000000000009 00000001 00000002", "ff7b7d");
    assert_eq!((instance, input), (7, Input::Start { seed: 9, settings: b"{}".to_vec() }));
    assert_eq!(one("0a 0007", "").1, Input::Stop);
    let (_, input) = one("04 0001 0000000000000005 4000000000000000 02 00000000 0007", "");
    let started = Event::Started { id: RequestId(5), attempt: 2, server: ServerId(7) };
    assert_eq!(input, Input::Event(started, None));
    let (_, input) = one("09 0001 00000002 00000000 00000002", "6869");
    assert_eq!(input, Input::Event(Event::Peer { from: 2, data: b"hi".to_vec() }, None));
}

#[test]
fn all_other_actions_are_byte_exact() {
    let (id, server) = (RequestId(5), ServerId(0x0102_0304_0506));
    let cases = [
        (Action::Fail { id }, "41 0003 0000000000000005", ""),
        (Action::Probe { server }, "42 0003 01020304 0506", ""),
        (Action::Cancel { id, attempt: 2 }, "45 0003 0000000000000005 02", ""),
        (Action::Subscribe { on: true }, "46 0003 01", ""),
        (Action::FetchList, "48 0003", ""),
        (Action::Tell { to: None, data: b"hi 7".to_vec() }, "49 0003 ffff 00000000 00000004", "68692037"),
        (Action::CloseIdle { server }, "4a 0003 01020304 0506", ""),
        (
            Action::Refuse { id, retry_after: Some(ms(500.0)) },
            "4b 0003 0000000000000005 407f400000000000",
            "",
        ),
        (Action::Refuse { id, retry_after: None }, "4b 0003 0000000000000005", ""),
    ];
    for (action, record, tail) in cases {
        let mut reply = Reply::default();
        reply.push(3, &action);
        let expected: Vec<u8> = [padded(record, ACTION), hex(tail)].concat();
        assert_eq!(reply.frame(1)[12..], expected, "{action:?}");
    }
    let mut reply = Reply::default();
    reply.push_fault(3, "hi");
    assert_eq!(reply.frame(1)[12..], [padded("47 0003 00000000 00000002", ACTION), b"hi".to_vec()].concat());
}

#[test]
fn errors_name_the_batch_the_record_and_the_cause() {
    let good = padded("0a 0001", EVENT);
    let with = |bad: &str| batch(&[good.clone(), padded(bad, EVENT)], b"tail");
    let cases = [
        (hex("00000001 0000"), "batch header: 6 of 20 bytes"),
        (with("0a 0001")[..60].to_vec(), "batch 12: body: 40 of 100 bytes"),
        (hex("0000000c 7fffffff 00000000 40c06e2000000000"), "batch 12: 2147483647 records do not fit"),
        (hex("0000000c 00000000 00000000 7ff8000000000000"), "batch 12: the clock is not a finite number"),
        (with("0b 0001"), "batch 12: record 1: unknown event code 11"),
        (with("02 0001 04"), "batch 12: record 1: unknown list kind code 4"),
        (
            with("02 0001 01 00000001 00000000 ffffffff"),
            "batch 12: record 1: refers to 4294967295 x 23 bytes",
        ),
        (
            with("09 0001 00000001 00000003 00000002"),
            "batch 12: record 1: refers to 2 x 1 bytes at offset 3 of a tail of 4 bytes",
        ),
        (with("08 0001 00000000 0001 08"), "batch 12: record 1: unknown outcome code 8"),
        (
            with("08 0001 00000000 0001 01 0000000000000000 05"),
            "batch 12: record 1: a load report has 5 values, the maximum is 4",
        ),
    ];
    for (frame, expected) in cases {
        let error = read(&frame).expect_err(expected).to_string();
        assert!(error.starts_with(expected), "{error} instead of {expected}");
    }
    let entry = padded("0a124a07 1b5b 00 00 0000 03", ENTRY);
    let error = read(&batch(&[padded("02 0001 01 00000001 00000000 00000001", EVENT)], &entry));
    assert_eq!(error.expect_err("bad state").to_string(), "batch 12: record 0: unknown server state code 3");
}

#[test]
fn end_of_input_is_not_an_error() {
    assert!(read_batch(&mut &[][..]).expect("legal").is_none());
}

#[test]
fn ids_are_sent_as_they_were_received() {
    let tail = "0a90ffff 1b84 02 00 0000 02 3f800000 0000000000000000";
    let (_, input) = one("02 0003 01 00000001 00000000 00000001", tail);
    let Input::Event(Event::List { entries, .. }, None) = input else { panic!("{input:?}") };
    let (_, input) = one("03 0003 000fffffffffffff 0001 0002 0000000000000000 406e000000000000", "");
    let Input::Event(Event::Request(new), None) = input else { panic!("{input:?}") };
    assert_eq!((new.class, new.tenant, new.cost), (1, 2, None));
    let mut reply = Reply::default();
    reply.push(3, &Action::Send { id: new.id, server: entries[0].id, timeout: new.remaining });
    let expected = padded("4c 0003 000fffffffffffff 0a90ffff 1b84 406e000000000000", ACTION);
    assert_eq!(reply.frame(1)[12..], expected);
}
