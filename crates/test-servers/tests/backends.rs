//! Tests of backends over sockets: responses, the effect of each fault, events, and the execution log.

use std::net::SocketAddr;
use std::time::Duration;
use test_servers::environment::Environment;
use test_servers::execution_log::{ClientOutcome, ExecutionLimit, Observation};
use test_servers::script::Script;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// The time-out of each step.
const TIMEOUT: Duration = Duration::from_secs(30);

async fn start_environment(script: &str) -> Environment {
    Environment::start(&Script::read(script).expect("a script")).await.expect("an environment")
}

fn request(method: &str, path: &str, id: &str, headers: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: t\r\nX-Correlation-Id: {id}\r\nContent-Length: 1\r\n{headers}\r\nx"
    )
}

/// Sends a request on a new connection. Returns the bytes until the response is complete or the connection
/// ends.
async fn send(address: SocketAddr, id: &str, headers: &str) -> Result<String, std::io::Error> {
    let mut stream = TcpStream::connect(address).await?;
    send_on(&mut stream, id, headers).await
}

async fn send_on(stream: &mut TcpStream, id: &str, headers: &str) -> Result<String, std::io::Error> {
    stream.write_all(request("POST", "/correct/1", id, headers).as_bytes()).await?;
    let mut all = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&all).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.split("Content-Length: ").nth(1).and_then(|rest| rest.lines().next());
            match length.and_then(|length| length.parse::<usize>().ok()) {
                Some(length) if body.len() < length => {}
                _ => return Ok(text),
            }
        }
        let read = timeout(TIMEOUT, stream.read_buf(&mut all)).await.expect("in time")?;
        if read == 0 {
            return Ok(String::from_utf8_lossy(&all).into_owned());
        }
    }
}

#[tokio::test]
async fn a_backend_responds_and_logs_the_execution() {
    let environment =
        start_environment("[[box]]\nname = \"a\"\nsites = [\"east\"]\nreport-every = \"1ms\"\n").await;
    let mut stream = TcpStream::connect(environment.backends[0].address).await.expect("up");
    for id in ["one", "two"] {
        let response = send_on(&mut stream, id, "Idempotency-Key: k\r\n").await.expect("a response");
        assert!(response.starts_with("HTTP/1.1 200 OK\r\n") && response.ends_with(&format!("\r\n\r\n{id}")));
        assert!(response.contains("X-Served-By: a\r\n") && response.contains("X-Backend-Load: concurrent="));
        let runs = environment.execution_log.executions_of(id);
        assert_eq!((runs.len(), runs[0].backend.as_str(), runs[0].site.as_str()), (1, "a", "east"));
        assert!(runs[0].completed_at.is_some() && runs[0].key.as_deref() == Some("k"));
    }
}

/// For each fault, the client gets the expected bytes, and the request is executed or not.
#[tokio::test]
async fn each_fault_is_injected_and_executions_are_logged() {
    let faults = [
        ("reset-before", "", "", false),
        ("error", "", "HTTP/1.1 500", true),
        ("away", "", "X-Unprocessed: 1", false),
        ("garbage", "", "this is no answer", true),
        ("reset-at", "bytes = 20", "HTTP/1.1 200 OK\r\nCon", true),
        ("reset-at", "bytes = 0", "", true),
        ("trickle", "bytes = 2000", "\r\n\r\nid-", true),
        ("stall", "time = \"50ms\"", "\r\n\r\nid-", true),
    ];
    let mut script = String::new();
    for (number, (kind, settings, ..)) in faults.iter().enumerate() {
        script += &format!("[[box]]\nname = \"b{number}\"\n");
        script += &format!("[[fault]]\nbox = \"b{number}\"\nwhat = \"{kind}\"\n{settings}\n");
    }
    let environment = start_environment(&script).await;
    for (number, (kind, _, expected, is_executed)) in faults.iter().enumerate() {
        let id = format!("id-{number}");
        let start = Instant::now();
        let response = send(environment.backends[number].address, &id, "").await.unwrap_or_default();
        assert!(response.contains(expected), "{kind}: {response:?}");
        if *expected == "HTTP/1.1 200 OK\r\nCon" {
            assert_eq!(response.len(), 20, "{response:?}");
        }
        if kind.starts_with("reset") && expected.is_empty() {
            assert!(response.is_empty(), "{kind}: {response:?}");
        }
        if *kind == "stall" {
            assert!(start.elapsed() >= Duration::from_millis(50));
        }
        assert_eq!(environment.execution_log.executions_of(&id).len(), usize::from(*is_executed), "{kind}");
    }
    assert_eq!(environment.execution_log.counts().rejected, 1, "only `away` rejects");
}

#[tokio::test]
async fn faults_apply_by_count_and_by_time() {
    let script = "[[box]]\nname = \"a\"\n[[box]]\nname = \"b\"\n\
        [[fault]]\nbox = \"a\"\nwhat = \"error\"\nevery = 3\nmost = 2\n\
        [[fault]]\nbox = \"b\"\nwhat = \"refuse\"\nfrom = \"0s\"\nuntil = \"300ms\"\n";
    let environment = start_environment(script).await;
    let mut failed = Vec::new();
    for number in 1..=12 {
        let response =
            send(environment.backends[0].address, &number.to_string(), "").await.expect("a response");
        if response.starts_with("HTTP/1.1 500") {
            failed.push(number);
        }
    }
    assert_eq!(failed, [3, 6]);
    // The backend does not listen during the fault, and then listens on the same port.
    let start = Instant::now();
    let mut refused = 0;
    while send(environment.backends[1].address, "late", "").await.is_err() {
        refused += 1;
        assert!(start.elapsed() < TIMEOUT, "the backend refuses connections after the fault");
        sleep(Duration::from_millis(5)).await;
    }
    assert!(refused > 0 || environment.clock.now() >= Duration::from_millis(300));
    assert!(environment.clock.now() >= Duration::from_millis(300));
}

#[tokio::test]
async fn backends_of_a_site_deduplicate_keys_within_the_window() {
    let script = "[[box]]\nname = \"e\"\ncount = 2\nsites = [\"east\"]\nwindow = \"1h\"\n\
        [[box]]\nname = \"w\"\nsites = [\"west\"]\nwindow = \"1h\"\n";
    let environment = start_environment(script).await;
    for (number, id) in ["first", "repeat", "elsewhere"].into_iter().enumerate() {
        let response = send(environment.backends[number].address, id, "Idempotency-Key: k\r\n")
            .await
            .expect("a response");
        assert!(response.ends_with(id), "a duplicate gets a response like the first request");
    }
    let executions =
        ["first", "repeat", "elsewhere"].map(|id| environment.execution_log.executions_of(id).len());
    assert_eq!(
        (executions, environment.execution_log.counts().deduplicated),
        ([1, 0, 1], 1),
        "another site does not know the key"
    );
}

#[tokio::test]
async fn a_disconnect_cancels_a_queued_request() {
    let environment =
        start_environment("[[box]]\nname = \"a\"\nservice = { fixed = \"400ms\" }\nqueue = 2\n").await;
    let address = environment.backends[0].address;
    let first = tokio::spawn(async move { send(address, "first", "").await });
    let in_flight = async |count: u32| {
        let start = Instant::now();
        while environment.backends[0].load().requests.in_flight != count {
            assert!(start.elapsed() < TIMEOUT, "there were never {count} requests in flight");
            sleep(Duration::from_millis(1)).await;
        }
    };
    in_flight(1).await;
    let mut disconnecting = TcpStream::connect(address).await.expect("up");
    let cancelled = request("POST", "/correct/1", "cancelled", "");
    disconnecting.write_all(cancelled.as_bytes()).await.expect("written");
    in_flight(2).await;
    drop(disconnecting);
    in_flight(1).await;
    assert!(first.await.expect("it ends").expect("a response").ends_with("first"));
    in_flight(0).await;
    assert_eq!(
        (
            environment.execution_log.executions_of("cancelled").len(),
            environment.execution_log.executions_of("first").len()
        ),
        (0, 1)
    );
}

#[tokio::test]
async fn discovery_publishes_events_and_requests_after_a_drain_are_logged() {
    let script = "[[box]]\nname = \"a\"\n[[box]]\nname = \"b\"\nlater = true\n\
        [[event]]\nat = \"100ms\"\nbox = \"a\"\ndo = \"drain\"\n\
        [[event]]\nat = \"150ms\"\nbox = \"b\"\ndo = \"come\"\n";
    let environment = start_environment(script).await;
    assert!(send(environment.backends[1].address, "early", "").await.is_err(), "it is down until its event");
    let mut watch = TcpStream::connect(environment.discovery.address).await.expect("up");
    watch.write_all(b"GET /v1/endpoints?watch=1&from=0 HTTP/1.1\r\nHost: d\r\n\r\n").await.expect("written");
    let mut all = String::new();
    while !all.contains("terminating") || !all.contains("\"b\"") {
        let mut buffer = [0; 4096];
        let read = timeout(TIMEOUT, watch.read(&mut buffer)).await.expect("in time").expect("a watch");
        assert!(read > 0, "the watch ended: {all}");
        all += &String::from_utf8_lossy(&buffer[..read]);
    }
    assert!(
        send(environment.backends[0].address, "late", "")
            .await
            .expect("it accepts requests in the grace period")
            .ends_with("late")
    );
    assert!(send(environment.backends[1].address, "new", "").await.expect("it has started").ends_with("new"));
    let observations = environment.execution_log.observations();
    let [Observation::RequestAfterDrain { backend, request_id, delay }] = &observations[..] else {
        panic!("{observations:?}")
    };
    assert_eq!((backend.as_str(), request_id.as_str()), ("a", "late"));
    let outcomes = [("late", ClientOutcome::Served), ("new", ClientOutcome::Served)];
    let violations = |grace| environment.execution_log.check_rules(outcomes, |_| ExecutionLimit::Once, grace);
    assert!(violations(*delay).is_empty(), "within the grace period");
    assert_eq!(violations(*delay / 2).iter().map(|violation| violation.rule).collect::<Vec<_>>(), [3]);
}

/// Under each fault, a request with a complete response of status 200 was executed once, a rejected one was
/// not executed, and none was executed more than once.
#[tokio::test]
async fn the_log_agrees_with_the_responses_under_every_fault() {
    for kind in ["error", "away", "garbage", "reset-before", "reset-at", "stall", "trickle"] {
        let script = format!(
            "[[box]]\nname = \"a\"\ncores = 2\nservice = {{ exponential = \"2ms\" }}\nqueue = 4\n\
             [[fault]]\nbox = \"a\"\nwhat = \"{kind}\"\nevery = 3\ntime = \"20ms\"\nbytes = 4000\n"
        );
        let environment = start_environment(&script).await;
        let address = environment.backends[0].address;
        let tasks: Vec<_> = (0..60)
            .map(|n| tokio::spawn(async move { (n, send(address, &format!("{kind}-{n}"), "").await) }))
            .collect();
        let (mut served, mut rejected) = (0, 0);
        for task in tasks {
            let (n, response) = task.await.expect("it ends");
            let executions = environment.execution_log.executions_of(&format!("{kind}-{n}")).len();
            let response = response.unwrap_or_default();
            assert!(executions <= 1, "{kind}-{n} was executed {executions} times");
            if response.starts_with("HTTP/1.1 200") && response.ends_with(&format!("{kind}-{n}")) {
                assert_eq!(executions, 1, "{kind}-{n}");
                served += 1;
            }
            if response.contains("X-Unprocessed") {
                assert_eq!(executions, 0, "{kind}-{n}");
                rejected += 1;
            }
        }
        assert!(served > 0, "{kind}: no request was served");
        let counts = environment.execution_log.counts();
        assert!(
            counts.executions >= served && counts.rejected == rejected,
            "{kind}: {counts:?}, {served} served, {rejected} rejected"
        );
    }
}
