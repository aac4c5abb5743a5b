//! Golden tests of the load generator's output: the bytes of its requests, the report as JSON, table and HTML
//! page, the comparison of two reports, and the reasons of invalid runs. `GOLDEN=write cargo test -p
//! load-generator --test golden_reports` rewrites the files in `tests/golden/reports`, except `old.json`,
//! which is written by hand.
//!
//! Runs use an in-memory target and paused time, which advances only while all tasks wait, so that the output
//! is deterministic.

use load_generator::engine::{AttemptLog, AttemptResult, Connect, ConnectFuture, Io, run_on_current_runtime};
use load_generator::plan::Plan;
use load_generator::record::{AttemptKind, Outcome, Record};
use load_generator::report::{Report, RequestFigures, Run, TimeQuantiles, outcome_names};
use load_generator::validity::{Measurements, Verdict, judge};
use load_generator::{diff, html, trace};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::time::{Instant, sleep};

const PLAN: &str = r#"
    seed = 26
    for = "2s"
    spacing = "even"
    connections = 50
    clients = { retry = 1.0, retries = 1, wait = "100ms", honour-retry-after = 0.5 }
    shape = [{ kind = "constant", rate = 20 }]
    class = [
        { name = "submit", weight = 2, method = "POST", path = "/submit/{key}", keyed = true, body = 4, patience = "2s" },
        { name = "look", method = "GET", path = "/look/{key}?x=1", patience = "700ms" },
    ]
    tenant = [{ name = "pati", weight = 2 }, { name = "kudus" }]
"#;

/// An in-memory target. It records its requests, and responds with each of [`RESPONSES`] in turn.
#[derive(Clone, Default)]
struct Target {
    received: Arc<Mutex<Vec<String>>>,
}

/// Responses with their delays in milliseconds; an empty one is never sent.
const RESPONSES: [(u64, &str); 8] = [
    (3, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Served-By: box-1\r\n\r\n"),
    (20, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Served-By: box-2\r\n\r\nok"),
    (1, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\nRetry-After: 0.25\r\n\r\n"),
    (7, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
    (2, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\nX-Served-By: box-2\r\n\r\n"),
    (45, "HTTP/1.1 204 No Content\r\nX-Served-By: box-1\r\n\r\n"),
    (0, ""),
    (5, "HTTP/1.1 429 Too Many\r\nContent-Length: 0\r\n\r\n"),
];

impl Connect for Target {
    fn connect(&self) -> ConnectFuture {
        let target = self.clone();
        Box::pin(async move {
            let (ours, theirs) = duplex(64 << 10);
            tokio::spawn(target.serve(theirs));
            Ok(Box::new(ours) as Box<dyn Io>)
        })
    }
}

impl Target {
    async fn serve(self, mut stream: DuplexStream) {
        let mut bytes = Vec::new();
        loop {
            let head = loop {
                if let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
                    break at + 4;
                }
                if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
                    return;
                }
            };
            let text = String::from_utf8_lossy(&bytes[..head]).into_owned();
            let length =
                text.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse::<usize>().ok());
            let total = head + length.unwrap_or(0);
            while bytes.len() < total {
                if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
                    return;
                }
            }
            let request: Vec<u8> = bytes.drain(..total).collect();
            let number = {
                let mut received = self.received.lock().expect("not poisoned");
                received.push(String::from_utf8_lossy(&request).into_owned());
                received.len() - 1
            };
            let (delay_ms, response) = RESPONSES[number % RESPONSES.len()];
            if response.is_empty() {
                return sleep(Duration::from_secs(3600)).await;
            }
            sleep(Duration::from_millis(delay_ms)).await;
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// A report in which every field is set.
fn full_report() -> Report {
    let times = |base: f64| TimeQuantiles {
        mean: base + 0.125,
        p50: base,
        p90: base * 2.0,
        p99: base * 3.0,
        p999: base * 4.5,
        max: base * 10.0,
    };
    let figures = |name: &str, outcomes, base: Option<f64>| RequestFigures {
        name: name.into(),
        outcomes,
        latency: base.map(times),
    };
    let run = |base: f64| Run {
        verdict: Verdict { reasons: Vec::new(), sent_per_s: 99.5 + base, due_per_s: 100.0 },
        due: 1000,
        attempts: 1100,
        all: figures("all", [900, 50, 30, 15, 5], Some(base)),
        classes: vec![
            figures("tally-submit", [600, 50, 0, 0, 0], Some(base + 1.0)),
            figures("look <&> \"a very long name\"", [0, 0, 30, 15, 5], None),
        ],
        backends: vec![
            figures("box-1", [500, 0, 0, 0, 0], Some(base)),
            figures("box-2", [400, 50, 30, 0, 0], Some(base)),
        ],
        by_second: vec![
            figures("0", [400, 0, 0, 0, 0], Some(base)),
            figures("1", [0, 50, 30, 15, 5], None),
            figures("2", [500, 0, 0, 0, 0], Some(base * 2.0)),
        ],
        service_time: Some(times(base / 2.0)),
        lag: Some(times(0.1)),
        cpu_share: Some(0.375),
        curve: vec![(0.0, 0.5), (0.5, base), (0.99, base * 3.0), (0.99999, base * 10.0)],
    };
    let run_without_requests = Run {
        verdict: Verdict {
            reasons: vec!["sent 0 of 1000 requests".into()],
            sent_per_s: 0.0,
            due_per_s: 100.0,
        },
        due: 1000,
        attempts: 0,
        all: figures("all", [0; 5], None),
        classes: Vec::new(),
        backends: Vec::new(),
        by_second: Vec::new(),
        service_time: None,
        lag: None,
        cpu_share: None,
        curve: Vec::new(),
    };
    Report {
        form: 1,
        target: "127.0.0.1:8080 <&>".into(),
        seed: 7,
        seconds: 10.0,
        notes: vec!["3 lines of the trace were out of order".into()],
        runs: vec![run(2.0), run(2.5), run(2.25), run_without_requests],
    }
}

#[test]
fn a_report_is_written_and_read_as_in_the_golden_file() {
    let report = full_report();
    golden_files::check("reports/full.json", &report.to_json());
    let golden = golden_files::read("reports/full.json");
    let read = Report::read(golden.as_bytes()).expect("a report");
    assert_eq!(read, report);
    assert_eq!(read.to_json(), golden);
}

/// Reports of earlier versions have no notes.
#[test]
fn a_report_without_notes_is_read() {
    let read = Report::read(include_bytes!("golden/reports/old.json")).expect("a report");
    assert_eq!(read, Report { notes: Vec::new(), runs: vec![full_report().runs.remove(3)], ..full_report() });
}

#[test]
fn errors_of_invalid_reports_match_the_golden_file() {
    let valid = full_report().to_json();
    let mut text = String::new();
    for invalid in
        [valid.replacen("\"form\":1", "\"form\":2", 1), valid.replacen("\"due\"", "\"dues\"", 1), "x".into()]
    {
        let error = Report::read(invalid.as_bytes()).expect_err("invalid");
        text += &format!("{error}\n");
    }
    golden_files::check("reports/refused.txt", &text);
}

#[test]
fn the_table_page_and_comparison_of_reports_match_the_golden_files() {
    let report = full_report();
    golden_files::check("reports/full.txt", &report.to_table());
    golden_files::check("reports/full.html", &html::render_page(&report));
    let mut other = full_report();
    other.runs.truncate(2);
    other.runs[1].all.latency.as_mut().expect("times").p50 = 40.0;
    golden_files::check("reports/diff.txt", &diff::render_table(&report, &other));
    let mut one = full_report();
    one.runs.truncate(1);
    golden_files::check("reports/diff_of_one.txt", &diff::render_table(&report, &one));
    let mut valid = full_report();
    valid.runs.truncate(3);
    assert!(!report.is_valid() && valid.is_valid());
}

/// A run with paused time: the bytes of each request, and each figure to the last digit.
#[tokio::test(start_paused = true)]
async fn the_requests_and_the_report_of_a_run_match_the_golden_files() {
    let plan = Arc::new(Plan::read(PLAN).expect("a plan"));
    let target = Target::default();
    let received = target.received.clone();
    let start = Instant::now();
    let finished = run_on_current_runtime(plan.clone(), Arc::new(target), AttemptLog::Keep).await;
    let mut report = Report::new(&plan, "memory");
    report.runs.push(Run::from_output(&plan, &finished));
    golden_files::check("reports/played.json", &report.to_json());
    golden_files::check("reports/played.txt", &report.to_table());
    golden_files::check("reports/played.html", &html::render_page(&report));
    let requests = received
        .lock()
        .expect("not poisoned")
        .iter()
        .map(|text| text.replace("\r\n", "\n"))
        .collect::<Vec<_>>();
    golden_files::check("reports/requests.txt", &requests.join("\n--\n"));
    let mut outcomes = format!("{} requests due\n", finished.due);
    for AttemptResult { id, outcome } in &finished.attempts {
        outcomes += &format!("{id} {}\n", outcome.name());
    }
    golden_files::check("reports/answers.txt", &outcomes);
    assert!(start.elapsed() < Duration::from_secs(5));
}

#[test]
fn the_notes_on_a_trace_match_the_golden_file() {
    let text = "what?\n{\"t\":2,\"method\":\"GET\",\"target\":\"/a\",\"class\":\"c\"}\n\
                {\"t\":1,\"method\":\"GET\",\"target\":\"/a\",\"class\":\"c\"}\n{\"t\":8,\"me";
    let from = Plan::steady(1.0, Duration::from_secs(1), "GET", "/").expect("a plan");
    let plan = Plan::from_trace(trace::read(text.as_bytes(), 1.0), &from).expect("a plan");
    golden_files::check("reports/notes.json", &Report::new(&plan, "t").to_json());
}

#[test]
fn the_reasons_of_an_invalid_run_match_the_golden_file() {
    let name = |outcome: Outcome| match outcome {
        Outcome::Served => "served",
        Outcome::Rejected => "refused",
        Outcome::Failed => "failed",
        Outcome::Lost => "lost",
        Outcome::Unsent => "unsent",
    };
    assert_eq!(Outcome::ALL.map(name), outcome_names());
    let ms = Duration::from_millis;
    let mut record = Record::new(1);
    for number in 0..100u64 {
        record.record_sent(ms(number), AttemptKind::First, ms(10 * number));
        record.record_request(0, None, ms(10 * number), ms(5), Outcome::ALL[number as usize % 5]);
    }
    record.connection_waits = 3;
    record.record_generator_error("no descriptor left");
    record.record_generator_error("no port left");
    record.record_generator_error("no port left");
    let measurements = Measurements { due: 110, length: ms(900), cpu_share: Some(0.953), max_lag: ms(10) };
    let Verdict { reasons, sent_per_s, due_per_s } = judge(&record, &measurements);
    let text = format!("{}\nreached {sent_per_s:?} asked {due_per_s:?}\n", reasons.join("\n"));
    golden_files::check("reports/reasons.txt", &text);
}
