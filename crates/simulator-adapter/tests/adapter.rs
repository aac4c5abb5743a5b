//! The adapter as a process: complete frames in and out, and one line on standard error for invalid input.

mod support;

use support::run;

const SETTINGS: &str = r#"{"NInstances": 2, "Surprise": {"Deep": [1]}, "Classes": [{"Target": 400.0, "GiveUp": 1000.0,
    "Idempotency": "free", "Unheard": true}]}"#;

struct Batch {
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Batch {
    fn new() -> Self {
        Batch { count: 0, records: Vec::new(), tail: Vec::new() }
    }
    fn record(mut self, code: u8, instance: u16, fields: &[&[u8]]) -> Self {
        let mut record = vec![code];
        record.extend(instance.to_be_bytes());
        fields.iter().for_each(|field| record.extend(*field));
        record.resize(48, 0);
        self.records.extend(record);
        self.count += 1;
        self
    }
    /// A start of an instance, whose settings are appended to the tail.
    fn start(mut self, instance: u16, settings: &[u8]) -> Self {
        let at = (self.tail.len() as u32).to_be_bytes();
        self.tail.extend(settings);
        self.record(1, instance, &[&9u64.to_be_bytes(), &at, &(settings.len() as u32).to_be_bytes()])
    }
    /// A full list of ready servers.
    fn list(mut self, instance: u16, servers: u16) -> Self {
        let at = (self.tail.len() as u32).to_be_bytes();
        for number in 0..servers {
            let mut entry = vec![10, 0, 0, 1];
            entry.extend(number.to_be_bytes());
            entry.extend([0, 0, 0, 0, 2]);
            entry.resize(23, 0);
            self.tail.extend(entry);
        }
        self.record(2, instance, &[&[1], &1u32.to_be_bytes(), &at, &u32::from(servers).to_be_bytes()])
    }
    fn request(self, instance: u16, id: u64) -> Self {
        let remaining = 900f64.to_be_bytes();
        self.record(3, instance, &[&id.to_be_bytes(), &[0; 12], &remaining])
    }
    fn frame(self, number: u32) -> Vec<u8> {
        let mut frame = Vec::new();
        frame.extend(number.to_be_bytes());
        frame.extend(self.count.to_be_bytes());
        frame.extend(((self.records.len() + self.tail.len()) as u32).to_be_bytes());
        frame.extend((f64::from(number) * 10.0).to_be_bytes());
        frame.extend(self.records);
        frame.extend(self.tail);
        frame
    }
}

/// The codes of the actions of each reply.
fn replies(output: &[u8]) -> Vec<Vec<u8>> {
    let word = |at: usize| u32::from_be_bytes(output[at..at + 4].try_into().expect("four bytes")) as usize;
    let (mut at, mut replies) = (0, Vec::new());
    while at < output.len() {
        let (length, count) = (word(at + 4), word(at + 8));
        replies.push((0..count).map(|i| output[at + 12 + 32 * i]).collect());
        at += 12 + length;
    }
    replies
}

#[test]
fn instances_run_concurrently_and_may_restart_or_stop_within_a_batch() {
    let settings = SETTINGS.as_bytes();
    let first = Batch::new().start(1, settings).list(1, 2).start(2, settings).list(2, 2).frame(1);
    let requests = Batch::new().request(1, 5).request(2, 6).frame(2);
    // Instance 1 restarts in one batch, instance 2 stops in it.
    let restart = Batch::new()
        .record(10, 1, &[])
        .start(1, settings)
        .list(1, 1)
        .request(1, 7)
        .record(10, 2, &[])
        .frame(3);
    let output = run(&[first, requests, restart, Batch::new().frame(4)].concat());
    assert!(output.status.success());
    let replies = replies(&output.stdout);
    assert_eq!(replies.len(), 4);
    let sends = |reply: usize| replies[reply].iter().filter(|code| **code == 76).count();
    assert_eq!((sends(0), sends(1), sends(2), replies[3].len()), (0, 2, 1, 0));
}

#[test]
fn a_megabyte_batch_gets_a_complete_reply() {
    let start = Batch::new().start(1, SETTINGS.as_bytes()).list(1, 40).frame(1);
    let many = (0..25_000).fold(Batch::new(), |batch, id| batch.request(1, id)).frame(2);
    assert!(many.len() > 1_000_000);
    let output = run(&[start, many].concat());
    assert!(output.status.success());
    let replies = replies(&output.stdout);
    // Each request is forwarded, rejected or queued for a while.
    let actions = replies[1].iter().filter(|code| [76, 75, 68].contains(code)).count();
    assert!(actions >= 25_000);
}

/// A list, a start or a message with a reference past the end of a tail of 20 bytes.
fn reference_past_the_tail(code: u8, at: u32, length: u32) -> Vec<u8> {
    let (at, length) = (at.to_be_bytes(), length.to_be_bytes());
    let before: &[u8] = if code == 1 { &[0; 8] } else { &[0; 5][..if code == 2 { 5 } else { 4 }] };
    let mut batch = Batch::new().start(1, SETTINGS.as_bytes()).record(code, 1, &[before, &at, &length]);
    batch.records.drain(..48);
    (batch.count, batch.tail) = (1, vec![0; 20]);
    batch.frame(6)
}

#[test]
fn invalid_input_gives_a_one_line_error_and_no_partial_reply() {
    let good = Batch::new().start(1, SETTINGS.as_bytes()).list(1, 2).frame(1);
    let cases = [
        (good[..30].to_vec(), "batch 1: body: 10 of"),
        (Batch::new().record(77, 1, &[]).frame(9), "batch 9: record 0: unknown event code 77"),
        (Batch::new().start(1, b"{\"Classes\": 5}").frame(3), "batch 3: record 0: bad settings:"),
        (Batch::new().start(1, b"{\"Classes\": []}").frame(3), "batch 3: record 0: bad settings: no classes"),
        (Batch::new().start(1, b"\xff\xfe").frame(3), "batch 3: record 0: bad settings:"),
        ([&good[..], &[0, 0, 0]].concat(), "batch header: 3 of 20 bytes"),
        (
            [&good[..], &Batch::new().request(1, 5).request(7, 6).frame(2)].concat(),
            "batch 2: record 1: instance 7 is not running",
        ),
        (Batch::new().record(10, 4, &[]).frame(2), "batch 2: record 0: instance 4 is not running"),
        (
            [&good[..], &Batch::new().record(10, 1, &[]).request(1, 6).frame(2)].concat(),
            "batch 2: record 1: instance 1 is not running",
        ),
        (
            reference_past_the_tail(2, 8, 5),
            "batch 6: record 0: refers to 5 x 23 bytes at offset 8 of a tail of 20 bytes",
        ),
        (
            reference_past_the_tail(1, 21, 0),
            "batch 6: record 0: refers to 0 x 1 bytes at offset 21 of a tail of 20 bytes",
        ),
        (reference_past_the_tail(9, u32::MAX, u32::MAX), "batch 6: record 0: refers to 4294967295 x 1 bytes"),
        (
            Batch::new().start(1, b"{\"Classes\": [{\"Target\": 4}]}").frame(3),
            "batch 3: record 0: bad settings: missing",
        ),
        (Batch::new().start(1, b"nothing").frame(3), "batch 3: record 0: bad settings:"),
    ];
    for (input, expected) in cases {
        let output = run(&input);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{expected}");
        assert!(stderr.starts_with(&format!("simulator-adapter: {expected}")), "{stderr}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        let complete = usize::from(input.starts_with(&good)); // an invalid batch gets no reply
        assert_eq!(replies(&output.stdout).len(), complete, "{expected}");
    }
}

#[test]
fn an_untrusted_length_allocates_no_memory() {
    let mut frame = Batch::new().frame(1);
    frame[8..12].copy_from_slice(&u32::MAX.to_be_bytes());
    let output = run(&frame);
    assert!(String::from_utf8_lossy(&output.stderr).contains("batch 1: body: 0 of 4294967295 bytes"));
}
