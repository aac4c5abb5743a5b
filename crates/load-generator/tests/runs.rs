//! Runs against an in-memory target with paused time, which advances only while all tasks wait: results are
//! deterministic.

use load_generator::engine::{AttemptLog, Connect, ConnectFuture, Io, run_on_current_runtime};
use load_generator::plan::Plan;
use load_generator::record::Outcome;
use load_generator::report::{Report, Run};
use load_generator::{html, trace};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::time::{Instant, sleep, sleep_until};

/// The time and the text of the response to a request that arrives at a time; no response if the text is
/// empty.
type Behaviour = dyn Fn(Duration) -> (Duration, &'static str) + Send + Sync;

struct Target {
    start: Instant,
    behaviour: Arc<Behaviour>,
    connections: Arc<AtomicUsize>,
    /// The OS error with which connects fail; `None` if they succeed.
    connect_error: Option<i32>,
}

impl Target {
    fn new(behaviour: impl Fn(Duration) -> (Duration, &'static str) + Send + Sync + 'static) -> Self {
        Target {
            start: Instant::now(),
            behaviour: Arc::new(behaviour),
            connections: Arc::default(),
            connect_error: None,
        }
    }
}

impl Connect for Target {
    fn connect(&self) -> ConnectFuture {
        if let Some(code) = self.connect_error {
            return Box::pin(async move { Err(std::io::Error::from_raw_os_error(code)) });
        }
        let (start, behaviour) = (self.start, self.behaviour.clone());
        self.connections.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            let (ours, theirs) = duplex(64 << 10);
            tokio::spawn(serve(theirs, start, behaviour));
            Ok(Box::new(ours) as Box<dyn Io>)
        })
    }
}

async fn serve(mut stream: DuplexStream, start: Instant, behaviour: Arc<Behaviour>) {
    let mut buffer = Vec::new();
    loop {
        while !buffer.windows(4).any(|w| w == b"\r\n\r\n") {
            if stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 {
                return;
            }
        }
        buffer.clear();
        let (respond_at, response) = behaviour(start.elapsed());
        if response.is_empty() {
            sleep(Duration::from_secs(3600)).await;
        }
        sleep_until(start + respond_at).await;
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Served-By: a\r\n\r\n";
const REJECTED: &str = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\nRetry-After: 0.5\r\n\r\n";

fn plan(rate: f64, seconds: u64, settings: &str) -> Arc<Plan> {
    let text = format!(
        "for = \"{seconds}s\"\nspacing = \"even\"\n{settings}\n[[shape]]\nkind = \"constant\"\nrate = {rate}\n\
         [[class]]\nname = \"c\"\nmethod = \"GET\"\npath = \"/\"\npatience = \"20s\"\n"
    );
    Arc::new(Plan::read(&text).expect("a plan"))
}

/// A backend that stalls from second 5 to 6, and then responds to all waiting requests.
fn stalls(at: Duration) -> (Duration, &'static str) {
    let stalled = (5.0..6.0).contains(&at.as_secs_f64());
    (if stalled { Duration::from_secs(6) } else { at }, OK)
}

/// 1,000 requests per second for 10 s; the backend stalls from second 5 to 6. The 1,000 requests of that
/// second wait until its end, the others don't wait: the upper tenth of the latencies is uniformly
/// distributed from 0 to 1 s. So p50 is 0, p99 0.9 s, p99.9 0.99 s and the maximum 1 s, within the precision
/// of the histogram (0.1%) and of the timer (1 ms).
#[tokio::test(start_paused = true)]
async fn a_stall_of_one_second_appears_in_the_latency_quantiles_as_calculated() {
    let finished = run_on_current_runtime(
        plan(1000.0, 10, "connections = 2000"),
        Arc::new(Target::new(stalls)),
        AttemptLog::Discard,
    )
    .await;
    assert!(finished.verdict.is_valid(), "{:?}", finished.verdict);
    let latency = &finished.record.all.latency;
    assert_eq!((latency.len(), finished.record.all.outcomes), (10_000, [10_000, 0, 0, 0, 0]));
    let ms = |quantile| latency.value_at_quantile(quantile) as f64 / 1000.0;
    for (quantile, expected) in
        [(0.5, 0.0), (0.9, 0.0), (0.95, 500.0), (0.99, 900.0), (0.999, 990.0), (1.0, 1000.0)]
    {
        let difference = (ms(quantile) - expected).abs();
        assert!(
            difference <= 2.0 + expected / 1000.0,
            "p{}: {} ms, expected {expected}",
            quantile * 100.0,
            ms(quantile)
        );
    }
    // Only the second of the stall shows it.
    let by_second: Vec<_> = finished.record.seconds.iter().map(|s| s.latency.max() / 1000).collect();
    assert!(
        by_second[5] >= 998 && by_second.iter().enumerate().all(|(n, ms)| n == 5 || *ms <= 3),
        "{by_second:?}"
    );
}

/// A closed loop, in which a client sends its next request after a response, has only one slow request in the
/// same stall. This is the coordinated omission that the open loop avoids.
#[tokio::test(start_paused = true)]
async fn a_closed_loop_misses_the_stall() {
    let target = Target::new(stalls);
    let start = target.start;
    let mut stream = target.connect().await.expect("a connection");
    let mut times = Vec::new();
    while start.elapsed() < Duration::from_secs(10) {
        let sent = Instant::now();
        stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("written");
        let mut buffer = [0; 256];
        assert!(stream.read(&mut buffer).await.expect("read") > 0);
        times.push(sent.elapsed());
        // About the rate of the open loop.
        sleep(Duration::from_millis(1)).await;
    }
    times.sort();
    assert!(times.len() > 4000);
    assert!(times[times.len() * 999 / 1000] < Duration::from_millis(5), "p99.9 does not show the stall");
    assert!(*times.last().expect("times") >= Duration::from_millis(900), "the slowest request does");
}

/// With a single connection requests queue in the generator. The run is invalid, and the latency includes the
/// wait, which the service time does not show.
#[tokio::test(start_paused = true)]
async fn too_few_connections_invalidate_a_run_and_latency_includes_the_wait() {
    let busy = |at: Duration| (at + Duration::from_millis(20), OK);
    let finished = run_on_current_runtime(
        plan(100.0, 2, "connections = 1"),
        Arc::new(Target::new(busy)),
        AttemptLog::Discard,
    )
    .await;
    assert!(!finished.verdict.is_valid());
    assert!(
        finished.verdict.reasons.iter().any(|r| r.contains("out of connections")),
        "{:?}",
        finished.verdict
    );
    let record = &finished.record;
    assert!(
        record.all.latency.value_at_quantile(0.99) > 1_500_000,
        "200 requests of 20 ms, one after the other"
    );
    assert!(record.service_time.value_at_quantile(0.99) < 30_000);
}

#[tokio::test(start_paused = true)]
async fn all_of_ten_thousand_simultaneous_requests_are_sent() {
    let text = "for = \"2s\"\nconnections = 20000\n[[shape]]\nkind = \"burst\"\nat = \"1s\"\ncount = 10000\n\
        [[class]]\nname = \"c\"\nmethod = \"GET\"\npath = \"/\"\n";
    let plan = Arc::new(Plan::read(text).expect("a plan"));
    let finished =
        run_on_current_runtime(plan, Arc::new(Target::new(|at| (at, OK))), AttemptLog::Discard).await;
    assert_eq!(finished.record.all.outcomes, [10_000, 0, 0, 0, 0]);
    assert!(finished.verdict.is_valid(), "{:?}", finished.verdict);
}

/// A target that accepts connections and never responds: each request is lost at its time-out, and the report
/// of a run without a served request can be written and read.
#[tokio::test(start_paused = true)]
async fn a_run_without_responses_has_a_report() {
    let plan = plan(10.0, 3, "");
    let finished =
        run_on_current_runtime(plan.clone(), Arc::new(Target::new(|at| (at, ""))), AttemptLog::Keep).await;
    assert_eq!(finished.record.all.outcomes, [0, 0, 0, 30, 0]);
    assert!(finished.attempts.len() == 30 && finished.attempts.iter().all(|a| a.outcome == Outcome::Lost));
    let mut report = Report::new(&plan, "nobody <&>");
    report.runs.push(Run::from_output(&plan, &finished));
    assert_eq!(Report::read(report.to_json().as_bytes()).expect("a report"), report);
    assert!(report.to_table().contains("-"));
    let page = html::render_page(&report);
    assert!(page.contains("No request was served") && page.contains("nobody &lt;&amp;&gt;"));
}

#[tokio::test(start_paused = true)]
async fn connect_errors_of_the_generator_invalidate_a_run_and_those_of_the_target_do_not() {
    for (code, reason) in [(24, Some("no descriptor left")), (99, Some("no port left")), (111, None)] {
        let target = Target { connect_error: Some(code), ..Target::new(|at| (at, OK)) };
        let finished = run_on_current_runtime(plan(10.0, 1, ""), Arc::new(target), AttemptLog::Discard).await;
        match reason {
            Some(reason) => {
                assert!(
                    finished.verdict.reasons.iter().any(|r| r.contains(reason)),
                    "{:?}",
                    finished.verdict
                );
                assert_eq!(finished.record.all.outcomes, [0, 0, 0, 0, 10]);
            }
            None => {
                assert!(finished.verdict.is_valid(), "{:?}", finished.verdict);
                assert_eq!(finished.record.all.outcomes, [0, 0, 0, 10, 0]);
            }
        }
    }
}

/// The configured share of requests is retried after a rejection, after the delay of `Retry-After` or their
/// own.
#[tokio::test(start_paused = true)]
async fn the_configured_share_of_requests_is_retried_after_its_delay() {
    let with = |retry: &str, honour: &str| {
        plan(
            100.0,
            10,
            &format!(
                "clients = {{ retry = {retry}, retries = 1, wait = \"100ms\", honour-retry-after = {honour} }}"
            ),
        )
    };
    let run = async |plan| {
        run_on_current_runtime(plan, Arc::new(Target::new(|at| (at, REJECTED))), AttemptLog::Discard)
            .await
            .record
    };
    let none = run(with("0", "1")).await;
    assert_eq!((none.attempts, none.all.outcomes), (1000, [0, 1000, 0, 0, 0]));
    let half = run(with("0.5", "1")).await;
    assert!((1430..1570).contains(&half.attempts), "{}", half.attempts);
    assert_eq!(run(with("1", "0.3")).await.attempts, 2000);
    // Served at the second attempt: the latency counts from the due time and includes the delay.
    let at_first = Duration::from_secs(5);
    let later = move |at: Duration| if at < at_first { (at, REJECTED) } else { (at, OK) };
    for (honour, delay_ms) in [("1", 500), ("0", 100)] {
        let plan = with("1", honour);
        let record =
            run_on_current_runtime(plan, Arc::new(Target::new(later)), AttemptLog::Discard).await.record;
        let longest = record.all.latency.max() / 1000;
        assert!((delay_ms..delay_ms + 5).contains(&longest), "{longest} ms with a delay of {delay_ms}");
        assert!(record.service_time.max() < 5_000, "the service time does not include it");
    }
}

/// The target receives the requests of a trace with their recorded intervals, scaled by the speed.
#[tokio::test(start_paused = true)]
async fn a_replayed_trace_keeps_its_intervals() {
    let line = |i: u32| {
        format!("{{\"t\":{},\"method\":\"GET\",\"target\":\"/{i}\",\"class\":\"c\"}}\n", f64::from(i) * 0.02)
    };
    let text: String = (0..5000).map(line).collect();
    let from = Plan::steady(1.0, Duration::from_secs(1), "GET", "/").expect("a plan");
    let plan = Arc::new(Plan::from_trace(trace::read(text.as_bytes(), 2.0), &from).expect("a plan"));
    let seen = Arc::new(std::sync::Mutex::new(Vec::new()));
    let noted = seen.clone();
    let target = Target::new(move |at| {
        noted.lock().expect("noted").push(at);
        (at, OK)
    });
    let finished = run_on_current_runtime(plan, Arc::new(target), AttemptLog::Discard).await;
    assert!(finished.verdict.is_valid(), "{:?}", finished.verdict);
    let seen = seen.lock().expect("seen");
    assert_eq!(seen.len(), 5000);
    for (number, at) in seen.iter().enumerate() {
        let due = Duration::from_millis(10 * number as u64);
        assert!(at.abs_diff(due) <= Duration::from_millis(1), "{number}: {at:?}");
    }
}

/// A connect that blocks the worker's thread for 0.3 s delays the requests that are due meanwhile: the run is
/// invalid.
#[test]
fn a_run_with_a_blocked_sender_is_invalid() {
    struct BlockingConnect(std::sync::atomic::AtomicBool, tokio::runtime::Handle);
    impl Connect for BlockingConnect {
        fn connect(&self) -> ConnectFuture {
            if !self.0.swap(true, Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(300));
            }
            let (ours, theirs) = duplex(64 << 10);
            self.1.spawn(serve(theirs, Instant::now(), Arc::new(|at| (at, OK))));
            Box::pin(async move { Ok(Box::new(ours) as Box<dyn Io>) })
        }
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let handle = runtime.handle().clone();
    std::thread::spawn(move || runtime.block_on(std::future::pending::<()>()));
    let connect: Arc<dyn Connect> = Arc::new(BlockingConnect(Default::default(), handle));
    let finished =
        load_generator::engine::run(&plan(100.0, 1, ""), &connect, &Arc::default(), AttemptLog::Discard)
            .expect("a run");
    assert!(
        finished.verdict.reasons.iter().any(|r| r.contains("behind its schedule")),
        "{:?}",
        finished.verdict
    );
    // Latency counts from due times, so it includes the delay.
    assert!(finished.record.all.latency.value_at_quantile(0.99) > 150_000);
    assert_eq!(finished.due, 100);
}

/// No machine can send 30,000 requests within 10 ms: the run is invalid, and shows the rate that it reached.
#[test]
fn a_run_of_a_trace_that_is_too_fast_is_invalid() {
    let line = |i: u32| {
        format!("{{\"t\":{:.9},\"method\":\"GET\",\"target\":\"/\",\"class\":\"c\"}}\n", f64::from(i) / 3e6)
    };
    let text: String = (0..30_000).map(line).collect();
    let from = Plan::steady(1.0, Duration::from_secs(1), "GET", "/").expect("a plan");
    let plan = Arc::new(Plan::from_trace(trace::read(text.as_bytes(), 1.0), &from).expect("a plan"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    struct InMemory(tokio::runtime::Handle);
    impl Connect for InMemory {
        fn connect(&self) -> ConnectFuture {
            let (ours, theirs) = duplex(64 << 10);
            self.0.spawn(serve(theirs, Instant::now(), Arc::new(|at| (at, OK))));
            Box::pin(async move { Ok(Box::new(ours) as Box<dyn Io>) })
        }
    }
    let connect: Arc<dyn Connect> = Arc::new(InMemory(runtime.handle().clone()));
    std::thread::spawn(move || runtime.block_on(std::future::pending::<()>()));
    let finished =
        load_generator::engine::run(&plan, &connect, &Arc::default(), AttemptLog::Discard).expect("a run");
    let verdict = &finished.verdict;
    assert!(!verdict.is_valid() && verdict.sent_per_s < verdict.due_per_s / 2.0, "{verdict:?}");
    assert_eq!((finished.due, finished.record.all.count()), (30_000, 30_000), "each request has an outcome");
}
