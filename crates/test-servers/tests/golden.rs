//! Golden tests: how a script is parsed and its error messages, the random draws of backends, the execution
//! log and the violations of rules as JSON, and the bytes of the responses of backends and discovery.
//! `GOLDEN=write cargo test -p test-servers --test golden` rewrites the files in `tests/golden`, except
//! `scripts/full.toml`, which is written by hand.
//!
//! Parsed values are written with fixed names, so that renaming a type or field does not change golden files.
//! Ports are replaced by `<port>` before a text is written or compared.

use std::net::SocketAddr;
use std::time::Duration;
use test_servers::backend_model::{
    Admission, BackendModel, BackendSpec, ColdStart, Degradation, ModelLoad, RequestToken, ServiceTime,
};
use test_servers::discovery::{Availability, Discovery, Endpoint, Lifecycle};
use test_servers::environment::Environment;
use test_servers::execution_log::{
    ClientOutcome, Execution, ExecutionCounts, ExecutionLimit, ExecutionLog, Observation, RuleViolation,
};
use test_servers::script::{Event, EventKind, Fault, FaultRule, Script, ScriptedBackend};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const FULL: &str = include_str!("golden/scripts/full.toml");
/// The time-out of each step.
const TIMEOUT: Duration = Duration::from_secs(30);

fn ns(time: Duration) -> String {
    if time == Duration::MAX { "ever".into() } else { format!("{} ns", time.as_nanos()) }
}

fn optional_ns(time: Option<Duration>) -> String {
    time.map_or("none".into(), ns)
}

fn service(service: &ServiceTime) -> String {
    match service {
        ServiceTime::Fixed(time) => format!("fixed {}", ns(*time)),
        ServiceTime::Uniform(min, max) => format!("uniform {} to {}", ns(*min), ns(*max)),
        ServiceTime::Exponential(mean) => format!("exponential {}", ns(*mean)),
        ServiceTime::LogNormal(median, spread) => format!("log-normal {} spread {spread:?}", ns(*median)),
    }
}

fn spec(spec: &BackendSpec) -> String {
    let BackendSpec { cores, speed, queue, service_time, cold_start, degradation, deduplication_window } =
        spec;
    let cold = cold_start.map_or("none".into(), |cold| {
        let ColdStart { initial_share, warm_up_time, overload_factor, overload_time } = cold;
        format!(
            "share {initial_share:?} warm after {} factor {overload_factor:?} overload time {}",
            ns(warm_up_time),
            ns(overload_time)
        )
    });
    let degradation = degradation.map_or("none".into(), |degradation| {
        let Degradation { queued_per_core, onset, factor, recovery_time } = degradation;
        format!(
            "waiting {queued_per_core:?} after {} factor {factor:?} recovers {}",
            ns(onset),
            ns(recovery_time)
        )
    });
    let (time, window) = (service(service_time), ns(*deduplication_window));
    format!(
        "cores {cores} speed {speed:?} queue {queue} service {time}, cold {cold}, choke {degradation}, window {window}"
    )
}

fn fault(fault: &Fault) -> String {
    match fault {
        Fault::RefuseConnections => "refuse".into(),
        Fault::ResetBeforeRequest => "reset before".into(),
        Fault::TruncateResponse(bytes) => format!("reset at {bytes}"),
        Fault::Stall(time) => format!("stall {}", ns(*time)),
        Fault::ServerError => "error".into(),
        Fault::Reject => "away".into(),
        Fault::InvalidResponse => "garbage".into(),
        Fault::SlowResponse(bytes) => format!("trickle {bytes}"),
        Fault::NoResponse => "vanish".into(),
    }
}

fn lines(script: &Script) -> Vec<String> {
    let Script { seed, backends, events, faults } = script;
    let mut lines = vec![format!("seed {seed}")];
    for ScriptedBackend { name, site, machine_type, starts_later, load_report_interval, spec: properties } in
        backends
    {
        let (every, properties) = (optional_ns(*load_report_interval), spec(properties));
        lines
            .push(format!("box {name} site {site} kind {machine_type:?} later {starts_later} report every {every}: {properties}"));
    }
    for Event { at, backend, kind } in events {
        let what = match kind {
            EventKind::Drain => "drain".into(),
            EventKind::Stop => "leave".into(),
            EventKind::Start => "come".into(),
            EventKind::SlowDown(factor) => format!("slow {factor:?}"),
        };
        lines.push(format!("event at {} of {backend}: {what}", ns(*at)));
    }
    for FaultRule { backend, fault: kind, from, until, every, limit } in faults {
        let (kind, from, until) = (fault(kind), ns(*from), ns(*until));
        lines
            .push(format!("fault of {backend}: {kind} from {from} until {until} every {every} most {limit}"));
    }
    lines
}

fn read(text: &str) -> Result<Vec<String>, String> {
    Script::read(text).map(|script| lines(&script)).map_err(|e| e.to_string().trim_end().to_string())
}

#[test]
fn a_parsed_script_matches_the_golden_file() {
    golden_files::check("scripts/full.txt", &(read(FULL).expect("a script").join("\n") + "\n"));
}

/// The difference of a script from the full one, or its error.
fn difference_from(text: &str, full: &[String]) -> String {
    match read(text) {
        Err(error) => error.lines().map(|line| format!("  error: {line}\n")).collect(),
        Ok(lines) if lines == full => "  no change\n".into(),
        Ok(lines) => {
            let gone = full.iter().filter(|line| !lines.contains(line)).map(|line| format!("  - {line}\n"));
            let new = lines.iter().filter(|line| !full.contains(line)).map(|line| format!("  + {line}\n"));
            gone.chain(new).collect()
        }
    }
}

/// Removes the excerpt of the file that error messages contain. Another golden file has some of these
/// excerpts.
fn without_excerpt(change: &str) -> String {
    let is_excerpt =
        |line: &&str| line.starts_with("  error:") && line.contains(" | ") || line.ends_with(" |");
    change.lines().filter(|line| !is_excerpt(line)).map(|line| format!("{line}\n")).collect()
}

/// The full script with one of its lines replaced.
fn with_line(number: usize, line: &str) -> String {
    FULL.lines().enumerate().map(|(at, old)| format!("{}\n", if at == number { line } else { old })).collect()
}

/// Each key is omitted, misspelt and given a value of another type. The result is its default or an error
/// with the known keys.
#[test]
fn defaults_and_errors_of_each_key_of_a_script_match_the_golden_files() {
    let full = read(FULL).expect("a script");
    let (mut text, mut with_types) = (String::new(), String::new());
    let mut add = |about: String, changed: String| {
        let change = without_excerpt(&difference_from(&changed, &full));
        let into = if golden_files::shows_a_type(&change) { &mut with_types } else { &mut text };
        *into += &format!("{about}\n{change}");
    };
    for (number, line) in FULL.lines().enumerate().filter(|(_, line)| line.contains(" = ")) {
        let (key, value) = line.split_once(" = ").expect("a key");
        let place = format!("line {}: {line}", number + 1);
        add(format!("{place}, left out"), with_line(number, ""));
        add(format!("{place}, misspelt"), with_line(number, &format!("{key}x = {value}")));
        for wrong in ["[]", "-1", "\"x\""] {
            add(format!("{place}, as {wrong}"), with_line(number, &format!("{key} = {wrong}")));
        }
    }
    for (number, line) in FULL.lines().enumerate().filter(|(_, line)| line.starts_with('[')) {
        let misspelt = line.replacen(|c: char| c.is_ascii_alphabetic(), "z", 1);
        add(format!("line {}: {line}, misspelt", number + 1), with_line(number, &misspelt));
    }
    golden_files::check("scripts/keys.txt", &text);
    golden_files::check("scripts/keys_that_show_rust_types.txt", &with_types);
}

#[test]
fn errors_of_invalid_scripts_match_the_golden_files() {
    let changes = [
        ("cores = 4", "cores = 0"),
        ("speed = 1.5", "speed = 0.0"),
        ("sites = [\"a\", \"b\"]", "sites = []"),
        ("count = 3", "count = 3000"),
        ("count = 3", "count = 0"),
        ("name = \"lite\"", "name = \"std-1\""),
        ("box = \"std-2\"", "box = \"std-9\""),
        ("do = \"drain\"", "do = \"dance\""),
        ("what = \"away\"", "what = \"dance\""),
        ("time = \"1s\"", ""),
        ("bytes = 2000", "bytes = 0"),
        ("every = 10", "every = 0"),
        ("\"at-once\"\n", "\"soon\"\n"),
        ("share = \"32%\"", "share = 1.5"),
        ("\"60ms\"", "\"60\""),
    ];
    let full = read(FULL).expect("a script");
    let (mut text, mut with_types) = (String::new(), String::new());
    for (valid, invalid) in changes {
        assert!(FULL.contains(valid), "{valid}");
        let change = difference_from(&FULL.replacen(valid, invalid, 1), &full);
        let into = if golden_files::shows_a_type(&change) { &mut with_types } else { &mut text };
        *into += &format!("{valid:?} as {invalid:?}\n{change}");
    }
    golden_files::check("scripts/no_sense.txt", &text);
    golden_files::check("scripts/no_sense_that_show_rust_types.txt", &with_types);
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The times that a backend draws from a seed, to the nanosecond: a change of the order of draws is detected.
#[test]
fn the_draws_of_backends_match_the_golden_file() {
    let kinds = [
        ServiceTime::Fixed(ms(20)),
        ServiceTime::Uniform(ms(59), ms(110)),
        ServiceTime::Exponential(ms(35)),
        ServiceTime::LogNormal(ms(60), 0.3),
    ];
    let mut text = String::new();
    for service_time in kinds {
        let cold = ColdStart {
            initial_share: 0.32,
            warm_up_time: ms(800),
            overload_factor: 4.0,
            overload_time: ms(300),
        };
        let degradation =
            Degradation { queued_per_core: 1.0, onset: ms(50), factor: 2.5, recovery_time: ms(100) };
        let properties = BackendSpec {
            cores: 2,
            speed: 1.25,
            queue: 4,
            service_time,
            cold_start: Some(cold),
            degradation: Some(degradation),
            deduplication_window: ms(600),
        };
        text += &format!("{}\n", spec(&properties));
        let mut model = BackendModel::new(properties, 42, Some(ms(100)));
        for token in 0..40u64 {
            let now = ms(100 + 17 * token);
            let admitted = match model.arrive(now, RequestToken(token)) {
                Admission::Runs { completes_at } => format!("runs until {}", ns(completes_at)),
                Admission::Queued => "waits".into(),
                Admission::Rejected => "away".into(),
            };
            let ModelLoad { in_flight, queued } = model.load();
            let (share, degraded, crashed) =
                (model.capacity_share(now), model.is_degraded(), model.has_crashed());
            text += &format!(
                "{token}: {admitted}; {in_flight} {queued} warmth {share:?} choked {degraded} fallen {crashed}\n"
            );
            if token % 2 == 1 {
                let started = model.complete(now).into_iter();
                let started: Vec<_> = started.map(|each| (each.token.0, ns(each.completes_at))).collect();
                text += &format!("  begun {started:?}\n");
            }
            match token {
                20 => model.set_slowdown(1.5),
                30 => model.restart(now),
                _ => {}
            }
        }
    }
    golden_files::check("draws.txt", &text);
}

#[test]
fn the_execution_log_and_rule_violations_match_the_golden_file() {
    let execution = |key: Option<&str>, ended| Execution {
        backend: "box-1".into(),
        site: "a".into(),
        path: "/submit/1".into(),
        key: key.map(String::from),
        received_at: Duration::from_micros(1_234_567),
        completed_at: ended,
    };
    let json = |value: &dyn erased::Json| value.json() + "\n";
    let mut text = json(&execution(Some("k"), Some(ms(1500))));
    text += &json(&execution(None, None));
    let observations = [
        Observation::RequestAfterDrain {
            backend: "box-1".into(),
            request_id: "late".into(),
            delay: ms(3250),
        },
        Observation::Crash { backend: "box-2".into(), at: ms(4000) },
    ];
    for observation in &observations {
        // The match ensures that the list has each variant.
        match observation {
            Observation::RequestAfterDrain { .. } | Observation::Crash { .. } => text += &json(observation),
        }
    }
    for outcome in
        [ClientOutcome::Served, ClientOutcome::Rejected, ClientOutcome::Failed, ClientOutcome::Lost]
    {
        match outcome {
            ClientOutcome::Served | ClientOutcome::Rejected | ClientOutcome::Failed | ClientOutcome::Lost => {
                text += &json(&outcome)
            }
        }
    }
    let log = ExecutionLog::default();
    for (id, site, path) in [
        ("once", "a", "/correct"),
        ("twice", "a", "/correct"),
        ("twice", "b", "/correct"),
        ("refused", "a", "/correct"),
        ("spilt", "a", "/submit"),
        ("spilt", "b", "/submit"),
        ("free", "a", "/look"),
    ] {
        let index =
            log.record_start(id, Execution { site: site.into(), path: path.into(), ..execution(None, None) });
        log.record_completion(id, index, ms(9));
    }
    observations.into_iter().for_each(|observation| log.record_observation(observation));
    log.record_rejection();
    log.record_deduplication();
    let limit_of = |path: &str| match path {
        "/correct" => ExecutionLimit::Once,
        "/submit" => ExecutionLimit::OncePerKey,
        _ => ExecutionLimit::Unlimited,
    };
    let outcomes = [
        ("once", ClientOutcome::Served),
        ("twice", ClientOutcome::Failed),
        ("refused", ClientOutcome::Rejected),
        ("free", ClientOutcome::Rejected),
        ("nobody", ClientOutcome::Served),
        ("lost", ClientOutcome::Lost),
    ];
    let violations: Vec<RuleViolation> = log.check_rules(outcomes, limit_of, Duration::from_secs(2));
    violations.iter().for_each(|violation| text += &json(violation));
    let ExecutionCounts { executions, rejected, deduplicated } = log.counts();
    text += &format!(
        "{:?}
",
        (executions, rejected, deduplicated)
    );
    golden_files::check("ledger.txt", &text);
}

/// Object-safe serialization as JSON.
mod erased {
    pub trait Json {
        fn json(&self) -> String;
    }
    impl<T: serde::Serialize> Json for T {
        fn json(&self) -> String {
            serde_json::to_string(self).expect("JSON")
        }
    }
}

/// Sends a request and reads until `is_complete` accepts the response, or the connection ends.
async fn exchange(address: SocketAddr, request: &str, is_complete: impl Fn(&str) -> bool) -> String {
    let mut stream = match TcpStream::connect(address).await {
        Ok(stream) => stream,
        Err(e) => return format!("no connection: {:?}", e.kind()),
    };
    stream.write_all(request.as_bytes()).await.expect("written");
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if is_complete(&text) {
            return text;
        }
        match timeout(TIMEOUT, stream.read_buf(&mut bytes)).await.expect("in time") {
            Ok(0) => return text + "<end>",
            Ok(_) => {}
            Err(e) => return format!("{text}<{:?}>", e.kind()),
        }
    }
}

/// Replaces the port of each address.
fn without_ports(text: &str) -> String {
    let mut pieces = text.split("127.0.0.1:");
    let mut out = pieces.next().unwrap_or_default().to_string();
    for piece in pieces {
        out += "127.0.0.1:<port>";
        out += piece.trim_start_matches(|c: char| c.is_ascii_digit());
    }
    out
}

#[tokio::test]
async fn the_responses_of_discovery_match_the_golden_file() {
    let discovery = Discovery::start().await.expect("up");
    let endpoint = |name: &str, lifecycle, started_at_ms| Endpoint {
        instance_id: name.into(),
        host_port: SocketAddr::from(([127, 0, 0, 1], 8443)),
        zone: "a".into(),
        machine_type: "m1".into(),
        cell: 3,
        lifecycle,
        weight: 1.5,
        started_at_ms,
    };
    discovery.publish([
        endpoint("x", Lifecycle::InService, 0),
        endpoint("y", Lifecycle::InService, 1_700_000_000_250),
    ]);
    discovery.publish([endpoint("y", Lifecycle::Terminating, 0), endpoint("z", Lifecycle::Terminated, 0)]);
    let mut text = format!("known at the start\n{}", discovery.snapshot());
    let get = |target: &str| format!("GET {target} HTTP/1.1\r\nHost: d\r\n\r\n");
    let by_length =
        |text: &str| text.contains("\r\n\r\n") && !text.contains("Content-Length") || text.ends_with("}\n");
    for target in [
        "/v1/endpoints",
        "/v1/endpoints?watch=1&from=0",
        "/v1/endpoints?watch=1&from=2",
        "/v1/endpoints?watch=0&from=2",
    ] {
        let first_line = |text: &str| {
            text.ends_with("\n\r\n") && text.contains("generation")
                || by_length(text) && !text.contains("chunked")
        };
        text += &format!("{target}\n{}\n", exchange(discovery.address, &get(target), first_line).await);
    }
    let without_body = |text: &str| text.ends_with("\r\n\r\n");
    text += &format!("/other\n{}\n", exchange(discovery.address, &get("/other"), without_body).await);
    discovery.set_availability(Availability::Down);
    text += &format!("down\n{}\n", exchange(discovery.address, &get("/v1/endpoints"), without_body).await);
    golden_files::check("discovery.txt", &without_ports(&text).replace("\r\n", "\n"));
}

/// The response of a backend to each kind of request, and under each fault.
#[tokio::test]
async fn the_responses_of_backends_match_the_golden_file() {
    let faults = [
        ("none", ""),
        ("reset-before", ""),
        ("error", ""),
        ("away", ""),
        ("garbage", ""),
        ("reset-at", "bytes = 20"),
        ("reset-at", "bytes = 0"),
        ("trickle", "bytes = 2000"),
        ("stall", "time = \"1ms\""),
        ("refuse", ""),
    ];
    let mut script = String::new();
    for (number, (kind, settings)) in faults.iter().enumerate() {
        script += &format!("[[box]]\nname = \"b{number}\"\nreport-every = \"1h\"\n");
        if *kind != "none" {
            script += &format!("[[fault]]\nbox = \"b{number}\"\nwhat = \"{kind}\"\n{settings}\n");
        }
    }
    let environment =
        Environment::start(&Script::read(&script).expect("a script")).await.expect("an environment");
    let is_complete = |text: &str| {
        let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
        let length = head.split("Content-Length: ").nth(1).and_then(|rest| rest.lines().next());
        length.and_then(|length| length.parse().ok()).is_some_and(|length: usize| body.len() >= length)
    };
    let mut text = String::new();
    for (number, (kind, settings)) in faults.iter().enumerate() {
        let request = format!(
            "POST /correct/1?x=1 HTTP/1.1\r\nHost: t\r\nX-Correlation-Id: id-{number}\r\nIdempotency-Key: k{number}\r\n\
             Content-Length: 1\r\n\r\nx"
        );
        let response = exchange(environment.backends[number].address, &request, is_complete).await;
        let executions = environment.execution_log.executions_of(&format!("id-{number}"));
        let executions: Vec<_> =
            executions.iter().map(|run| (&run.backend, &run.site, &run.path, &run.key)).collect();
        text += &format!("# {kind} {settings}\n{response}\nran {executions:?}\n");
    }
    golden_files::check("answers.txt", &text.replace("\r\n", "\n"));
}
