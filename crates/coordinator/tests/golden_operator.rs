//! The operator's HTTP interface, compared with golden files: every response to a change and to a request for the configuration,
//! with its status, its headers and its body, and the status of a coordinator as JSON.
//!
//! In the transcripts the value of `date` is replaced by `(time)`, and the body of a status by `(status)`, since that has a
//! golden file of its own.
//!
//! The golden files in `tests/golden` are written on purpose alone: `GOLDEN=write cargo test -p coordinator --test golden_operator`.
//! Without that, a file that is missing or differs fails the test with the place of the first difference.

#[allow(dead_code)] // the test needs a part of the set-up alone
#[path = "coordinators/clients.rs"]
mod clients;
#[path = "../../control-protocol/tests/golden/compare.rs"]
mod compare;
#[allow(dead_code)]
#[path = "coordinators/core_machines.rs"]
mod core_machines;
#[allow(dead_code)]
#[path = "coordinators/engine.rs"]
mod engine;
#[allow(dead_code)]
#[path = "coordinators/platform.rs"]
mod platform;

use clients::{Agent, TIMEOUT, document};
use configuration::Service;
use control_protocol::{
    Backend, BackendListVersion, BackendState, ConfigurationSequence, FromAgent, IndexChange, ToAgent,
};
use coordinator::agents::{AgentStatus, Agents};
use coordinator::clock::Clock;
use coordinator::index_audits::{AuditedBackend, IndexAudits, IndexReport, IndexStatus, MismatchStatus};
use coordinator::startup::RunningCoordinator;
use coordinator::status::{
    ConfigurationStatus, CoordinatorStatus, EndpointListStatus, MemberStatus, ViewStatus,
};
use coordinator::storage::ReplicaLog;
use core_machines::{Disk, Machine, Plan, next_ip};
use engine::Engine;
use index_audit::{MismatchCounts, MismatchKind, MismatchOutcome};
use node_settings::Settings;
use platform::Platform;
use replication::{Generation, Record, RequestOutcome, Sequence, ViewNumber};
use reqwest::Method;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::sync::Arc;
use std::time::Instant;

const REPLACE: &str = "/api/Config.Replace";
const DESCRIBE: &str = "/api/Config.Describe";
const STATUS: &str = "/api/status";
/// The largest document that is taken, in bytes.
const LARGEST_DOCUMENT: usize = 8 << 20;
/// What an answer says that is not clear.
const UNCLEAR: &str = "there is no clear answer now";

/// A request of an operator.
struct ApiRequest {
    method: Method,
    path: &'static str,
    base: Option<&'static str>,
    /// What the document is, for the transcript, and the document.
    document: Option<(&'static str, String)>,
}

impl ApiRequest {
    fn to(method: Method, path: &'static str) -> Self {
        ApiRequest { method, path, base: None, document: None }
    }

    fn describe() -> Self {
        ApiRequest::to(Method::GET, DESCRIBE)
    }

    fn replace(base: Option<&'static str>, what: &'static str, document: String) -> Self {
        ApiRequest { method: Method::POST, path: REPLACE, base, document: Some((what, document)) }
    }

    fn title(&self) -> String {
        let mut title = format!("> {} {}", self.method, self.path);
        if let Some(base) = self.base {
            title += &format!(", X-Base-Revision: {base}");
        }
        if let Some((what, _)) = &self.document {
            title += &format!(", document: {what}");
        }
        title
    }
}

/// An operator that records its requests and the responses.
#[derive(Default)]
struct Operator {
    client: reqwest::Client,
    transcript: String,
}

impl Operator {
    /// Sends a request until there is a clear answer.
    async fn request(&mut self, of: &Machine, request: &ApiRequest) -> String {
        let begun = Instant::now();
        let answer = loop {
            match self.once(of, request).await {
                Some(answer) if !answer.contains(UNCLEAR) => break answer,
                answer => assert!(begun.elapsed() < TIMEOUT, "no clear answer: {answer:?}"),
            }
        };
        self.record(request, &answer);
        answer
    }

    /// Sends a request once, whose answer is not clear.
    async fn request_unclear(&mut self, of: &Machine, request: &ApiRequest) {
        let answer = self.once(of, request).await.expect("an answer");
        assert!(answer.contains(UNCLEAR), "{answer}");
        self.record(request, &answer);
    }

    async fn once(&self, of: &Machine, request: &ApiRequest) -> Option<String> {
        let url = format!("http://{}{}", of.control, request.path);
        let mut call = self.client.request(request.method.clone(), url).timeout(TIMEOUT);
        if let Some(base) = request.base {
            call = call.header("X-Base-Revision", base);
        }
        if let Some((_, document)) = &request.document {
            call = call.header("Content-Type", "application/json").body(document.clone());
        }
        let answer = call.send().await.ok()?;
        let header = |(name, value): (&reqwest::header::HeaderName, &reqwest::header::HeaderValue)| {
            let value = value.to_str().expect("a text");
            format!("< {name}: {}\n", if name == "date" { "(time)" } else { value })
        };
        let status = answer.status();
        let mut headers: Vec<String> = answer.headers().iter().map(header).collect();
        headers.sort();
        let body = answer.text().await.ok()?;
        Some(format!("< {status}\n{}{body}", headers.concat()))
    }

    fn record(&mut self, request: &ApiRequest, answer: &str) {
        self.transcript += &format!("{}\n{answer}\n\n", request.title());
    }
}

/// Three coordinators that start for the first time, with a platform that lists nothing.
struct Core {
    platform: Platform,
    plan: Plan,
    disks: Vec<Disk>,
    machines: Vec<Machine>,
}

impl Core {
    async fn start() -> Self {
        let platform = Platform::start(next_ip()).await;
        let plan = Plan::new(3, platform.address);
        let disks: Vec<Disk> = (0..3).map(|_| Disk::default()).collect();
        let mut core = Core { platform, plan, disks, machines: Vec::new() };
        core.start_machines(true);
        core
    }

    fn start_machines(&mut self, bootstrap: bool) {
        let start = |number| Machine::start(&self.plan, number, &self.disks[number], bootstrap);
        self.machines = (0..3).map(start).collect();
    }

    /// Starts all coordinators anew, as if they had forgotten whether changes up to a generation were taken: they remember a
    /// few thousand.
    async fn start_again_having_forgotten(&mut self, forgotten: u64) {
        let node = self.machines[0].node.clone();
        let RequestOutcome::Current(Some(entry)) = node.replica.read().outcome().await else {
            panic!("no clear answer")
        };
        let view = node.replica.view().borrow().clone().expect("a view");
        let of_members: Vec<bool> = self
            .machines
            .iter()
            .map(|machine| view.chain.contains(&machine.node.replica.status().id))
            .collect();
        self.machines.drain(..).for_each(Machine::kill);
        let key = json!({"sequence": entry.sequence, "view": entry.view, "digest": entry.change.digest,
            "generation": entry.change.generation});
        let transfer = json!({"base": null, "keys": [key], "committed": entry, "pending": null,
            "forgotten": forgotten});
        let holding = json!({"synced": view.number, "complete": view.number});
        let record = json!({"Transfer": {"transfer": transfer, "holding": holding}});
        let record: Record = serde_json::from_value(record).expect("a record");
        for (disk, _) in self.disks.iter_mut().zip(of_members).filter(|(_, is_member)| *is_member) {
            disk.append(std::slice::from_ref(&record)).expect("on the disk");
        }
        self.start_machines(false);
    }
}

#[tokio::test]
async fn responses_to_changes_and_requests() {
    let mut core = Core::start().await;
    let mut operator = Operator::default();
    let clear = [
        ApiRequest::describe(),
        ApiRequest::replace(None, "generation 1", document(1)),
        ApiRequest::describe(),
        ApiRequest::to(Method::HEAD, DESCRIBE),
        ApiRequest::replace(None, "generation 1, sent again", document(1)),
        ApiRequest::replace(Some("1"), "generation 5", document(5)),
        ApiRequest::replace(Some("1"), "generation 6", document(6)),
        ApiRequest::replace(None, "generation 7", document(7)),
        ApiRequest::replace(Some("5"), "generation 5, other than before", document(5)),
        ApiRequest::replace(Some("5"), "generation 4", document(4)),
        ApiRequest::replace(Some("5"), "none", String::new()),
        ApiRequest::replace(Some("5"), "not JSON", "{\"generation\":".into()),
        ApiRequest::replace(Some("5"), "an empty object", "{}".into()),
        ApiRequest::replace(Some("5"), "a list", "[]".into()),
        ApiRequest::replace(Some("5"), "a service that is not there", other_service(7)),
        ApiRequest::replace(Some("5"), "more faults than are told", many_faults()),
        ApiRequest::replace(Some("5"), "as large as is taken", " ".repeat(LARGEST_DOCUMENT)),
        ApiRequest::replace(Some("5"), "one byte larger", " ".repeat(LARGEST_DOCUMENT + 1)),
        ApiRequest::replace(Some("one"), "generation 7", document(7)),
        ApiRequest::replace(Some("-1"), "generation 7", document(7)),
        ApiRequest::replace(Some("5.0"), "generation 7", document(7)),
        ApiRequest::to(Method::GET, REPLACE),
        ApiRequest::to(Method::POST, DESCRIBE),
        ApiRequest::to(Method::DELETE, STATUS),
        ApiRequest::to(Method::GET, "/"),
        ApiRequest::to(Method::GET, "/api/Config"),
        ApiRequest::to(Method::GET, "/api/config.describe"),
        ApiRequest::to(Method::POST, "/api/Config.Replace/"),
    ];
    for (at, request) in clear.iter().enumerate() {
        operator.request(&core.machines[at % 3], request).await;
    }
    core.start_again_having_forgotten(4).await;
    operator
        .request(&core.machines[0], &ApiRequest::replace(None, "generation 3, forgotten", document(3)))
        .await;
    operator.request(&core.machines[0], &ApiRequest::describe()).await;
    core.machines.drain(1..).for_each(Machine::kill);
    operator.request_unclear(&core.machines[0], &ApiRequest::describe()).await;
    operator
        .request_unclear(&core.machines[0], &ApiRequest::replace(Some("5"), "generation 7", document(7)))
        .await;
    compare::assert_matches_golden("interfaces/operator.txt", &operator.transcript);
}

/// A document whose route names a service that it does not have.
fn other_service(generation: u64) -> String {
    document(generation).replace("\"service\":\"s\"", "\"service\":\"x\"")
}

/// A document with more faults than a response can hold.
fn many_faults() -> String {
    let route = r#"{"name":"r","hostname":7,"path_prefix":"no slash","route_type":"odd","timeout_ms":-1}"#;
    document(9).replace("\"routes\":[", &format!("\"routes\":[{}", format!("{route},").repeat(60)))
}

/// A document in chunks that are none.
#[tokio::test]
async fn the_answer_to_a_body_that_cannot_be_read() {
    let core = Core::start().await;
    let head = format!("POST {REPLACE} HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n");
    let answer = raw_answer(core.machines[0].control, &format!("{head}no number\r\n")).expect("an answer");
    compare::assert_matches_golden("interfaces/operator_unreadable_body.txt", &answer);
}

/// A coordinator whose clock is the test's: the time that it allows a client passes at once.
#[tokio::test(start_paused = true)]
async fn the_answer_to_a_body_that_does_not_come() {
    // No platform is there, and none is read.
    let plan = Plan::new(1, SocketAddrV4::new(next_ip(), 1));
    let ([control, internal], ip) = (plan.ports, plan.ips[0]);
    let text = format!(
        "{{node_name: core-1, ip: {ip}, listen: {{control: '{ip}:{control}'}}, bootstrap: true,
        internal_port_range: [{internal}, {}]}}",
        internal.saturating_add(1)
    );
    let settings = Settings::parse(&text).expect("settings");
    let _running =
        RunningCoordinator::start(&settings, Box::new(Disk::default()), Vec::new(), 1).expect("it starts");
    let (sender, received) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        let head = format!("POST {REPLACE} HTTP/1.1\r\nHost: c\r\nContent-Length: 10\r\n\r\n");
        let begun = Instant::now();
        // Where the clock runs on before the head has come, the connection counts as idle and is closed.
        let answer = loop {
            if let Some(answer) = raw_answer(SocketAddrV4::new(ip, control), &format!("{head}{{")) {
                break answer;
            }
            assert!(begun.elapsed() < TIMEOUT, "no answer");
        };
        sender.send(answer).expect("the test waits");
    });
    let answer = received.await.expect("the client has a response");
    compare::assert_matches_golden("interfaces/operator_late_body.txt", &answer);
}

/// Sends a text on a connection of its own and reads the response, up to its content length; `None` if there is none.
fn raw_answer(to: SocketAddrV4, text: &str) -> Option<String> {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let mut byte = [0];
    while !answer.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        answer.push(byte[0]);
    }
    let head = String::from_utf8(answer).expect("a text").replace('\r', "");
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.expect("a length").parse().expect("a number")];
    stream.read_exact(&mut body).expect("a body");
    let dated = |line: &str| if line.starts_with("date: ") { "date: (time)" } else { line }.to_owned();
    let mut lines: Vec<String> = head.lines().filter(|line| !line.is_empty()).map(dated).collect();
    lines[1..].sort();
    Some(format!("{}\n{}\n", lines.join("\n"), String::from_utf8(body).expect("a text")))
}

/// A status with all that there can be in it.
fn full_status() -> CoordinatorStatus {
    let member =
        |member: &str, node: Option<&str>, address: &str, chain_position, has_recent_contact| MemberStatus {
            member: member.into(),
            node: node.map(str::to_owned),
            address: address.parse().expect("an address"),
            zone: "east".into(),
            chain_position,
            has_recent_contact,
        };
    let members = vec![
        member("00000000000000aa", Some("core-1"), "10.1.0.29:7680", Some(1), true),
        member("00000000000000bb", Some("core-2"), "10.2.0.37:7680", Some(2), true),
        member("ffffffffffffffff", None, "10.3.0.30:7680", None, false),
    ];
    let agent = |node: &str, applied_sequence, lag| AgentStatus {
        node: node.into(),
        zone: "east".into(),
        applied_sequence,
        lag,
        last_received_ms_ago: 80,
    };
    CoordinatorStatus {
        node: "core-1".into(),
        member: "00000000000000aa".into(),
        has_quorum_contact: true,
        acting_head: true,
        view: Some(ViewStatus { number: ViewNumber(4), members }),
        configuration: ConfigurationStatus {
            stored_sequence: Sequence(12),
            committed_sequence: Sequence(11),
            generation: Generation(31),
        },
        endpoints: EndpointListStatus {
            reader: Some("core-2".into()),
            reader_address: Some("10.2.0.37:7680".parse().expect("an address")),
            version: BackendListVersion(907),
            age_ms: 240,
            count: 16,
        },
        nodes: 2,
        agents: vec![agent("frontend-1", Sequence(11), 0), agent("frontend-2", Sequence::NONE, 11)],
        index: Some(full_index()),
    }
}

fn full_index() -> IndexStatus {
    let mismatches = MismatchCounts { dropped: 4, forgotten: 3, size_differs: 2, gone_by_themselves: 1 };
    let audited = AuditedBackend {
        instance_id: "i-1".into(),
        state: "differing in 2".into(),
        blocks: 40,
        unconfirmed: 5,
        compared_ms_ago: Some(1200),
        mismatches,
    };
    let unaudited = AuditedBackend {
        instance_id: "i-2".into(),
        state: "not looked at".into(),
        blocks: 0,
        unconfirmed: 0,
        compared_ms_ago: None,
        mismatches: MismatchCounts::default(),
    };
    let mismatch = |kind, tokens_in_index, tokens_at_backend, outcome| MismatchStatus {
        instance_id: "i-1".into(),
        block: "123456789abcdef0".into(),
        kind,
        tokens_in_index,
        tokens_at_backend,
        first_seen_ms_ago: 2100,
        observations: 2,
        outcome,
    };
    let mismatches = vec![
        mismatch(MismatchKind::Dropped, Some(700), None, MismatchOutcome::IndexCorrected),
        mismatch(MismatchKind::Forgotten, None, Some(300), MismatchOutcome::GoneByItself),
        mismatch(MismatchKind::SizeDiffers, Some(700), Some(300), MismatchOutcome::IndexCorrected),
    ];
    let variants = |mismatch: &MismatchStatus| {
        let kind = match mismatch.kind {
            MismatchKind::Dropped => 0,
            MismatchKind::Forgotten => 1,
            MismatchKind::SizeDiffers => 2,
        };
        let outcome = match mismatch.outcome {
            MismatchOutcome::IndexCorrected => 0,
            MismatchOutcome::GoneByItself => 1,
        };
        (kind, outcome)
    };
    let kinds: BTreeSet<i32> = mismatches.iter().map(|mismatch| variants(mismatch).0).collect();
    let outcomes: BTreeSet<i32> = mismatches.iter().map(|mismatch| variants(mismatch).1).collect();
    assert_eq!((kinds.len(), outcomes.len()), (3, 2), "all kinds and outcomes are there");
    IndexStatus { backends: vec![audited, unaudited], mismatches, older_mismatches: 6 }
}

/// A status of a coordinator that knows nothing yet.
fn least_status() -> CoordinatorStatus {
    CoordinatorStatus {
        node: "core-1".into(),
        member: "00000000000000aa".into(),
        has_quorum_contact: false,
        acting_head: false,
        view: None,
        configuration: ConfigurationStatus {
            stored_sequence: Sequence::NONE,
            committed_sequence: Sequence::NONE,
            generation: Generation::NONE,
        },
        endpoints: EndpointListStatus {
            reader: None,
            reader_address: None,
            version: BackendListVersion::NONE,
            age_ms: 90,
            count: 0,
        },
        nodes: 0,
        agents: Vec::new(),
        index: None,
    }
}

fn pretty(status: &CoordinatorStatus) -> String {
    serde_json::to_string_pretty(status).expect("JSON") + "\n"
}

/// A status in JSON is parsed, and written again in the same bytes. Also one without the index, as it was before.
#[test]
fn a_status_in_json() {
    for (name, status) in [("full", full_status()), ("least", least_status())] {
        let file = format!("interfaces/status_{name}.json");
        compare::assert_matches_golden(&file, &pretty(&status));
        let approved = compare::read(&file);
        let read: CoordinatorStatus = serde_json::from_str(&approved).expect("a status");
        assert_eq!(pretty(&read), approved);
    }
    let mut old: Value = serde_json::from_str(&compare::read("interfaces/status_full.json")).expect("JSON");
    old.as_object_mut().expect("an object").remove("index").expect("the index");
    let read: CoordinatorStatus = serde_json::from_value(old).expect("an old status");
    assert!(read.index.is_none());
}

/// The places of all values in a JSON value with their types, members of one list together.
fn places(value: &Value, at: &str, found: &mut BTreeSet<(String, &'static str)>) {
    let of_type = match value {
        Value::Null => "null",
        Value::Bool(_) => "truth",
        Value::Number(_) => "number",
        Value::String(_) => "text",
        Value::Array(values) => {
            values.iter().for_each(|value| places(value, &format!("{at}[]"), found));
            "list"
        }
        Value::Object(members) => {
            members.iter().for_each(|(name, value)| places(value, &format!("{at}.{name}"), found));
            "object"
        }
    };
    found.insert((at.to_owned(), of_type));
}

fn places_of(text: &str) -> BTreeSet<(String, &'static str)> {
    let mut found = BTreeSet::new();
    places(&serde_json::from_str(text).expect("JSON"), "", &mut found);
    found
}

/// Three coordinators with agents, backends, a configuration and an audit that finds something: what the head responds has all the
/// places of the golden status, and none besides.
#[tokio::test]
async fn the_status_of_a_coordinator_at_work() {
    let core = Core::start().await;
    let kept: Vec<(u64, u64)> = (0..40).map(|number| (number << 58 | number, 100)).collect();
    let engine = Engine::start(next_ip(), "engine", &kept).await;
    core.platform.add("engine", engine.address);
    core.platform.add("elsewhere", engine.address);
    core.platform.add("without", core.platform.address);
    let mut operator = Operator::default();
    let audited = document(1).replace(r#""tls":false"#, r#""tls":false,"holdings_path":"/holdings""#);
    let head = &core.machines[0];
    operator.request(head, &ApiRequest::replace(None, "audited", audited)).await;
    head.becomes_head().await;
    let _other = Agent::connect(head, "frontend-2").await;
    let mut agent = Agent::connect(head, "frontend-1").await;
    let (sequence, _) = agent.fetch(1).await;
    agent.send(&FromAgent::ConfigurationApplied { sequence: ConfigurationSequence(sequence) });
    let backend = control_protocol::instance_key("engine");
    let part = |part, tokens| IndexChange { backend, block: part, tokens: Some(tokens) };
    let mut changes: Vec<IndexChange> = kept.iter().map(|(key, tokens)| part(*key, *tokens as u32)).collect();
    changes.push(part(0x1234_5678_9abc_def0, 700));
    let report = FromAgent::IndexChanges { restart: true, changes };
    let corrected = |message| matches!(message, ToAgent::IndexCorrections(_)).then_some(());
    agent.until_after_report(&report, corrected).await;
    let (mut status, mut states) = (String::new(), BTreeSet::new());
    while states.len() < 4 {
        let answer = operator.once(head, &ApiRequest::to(Method::GET, STATUS)).await.expect("an answer");
        let (line, body) = answer.split_at(answer.find('{').expect("a body"));
        let line: String = line.lines().filter(|line| !line.starts_with("< content-length")).collect();
        assert_eq!(line, "< 200 OK< content-type: application/json< date: (time)");
        status = body.to_owned();
        let read: CoordinatorStatus = serde_json::from_str(&status).expect("a status");
        assert_eq!(serde_json::to_string(&read).expect("JSON"), status, "in the same bytes");
        let shown = read.index.expect("an index").backends;
        let looked_at = shown.into_iter().filter(|shown| shown.state != "not looked at");
        states.extend(looked_at.map(|shown| format!("{}: {}\n", shown.instance_id, shown.state)));
        agent.until(|message| (message == ToAgent::Heartbeat).then_some(())).await;
    }
    compare::assert_matches_golden("interfaces/index_states.txt", &Vec::from_iter(states).concat());
    let (full, found) = (places_of(&pretty(&full_status())), places_of(&status));
    let names = |places: &BTreeSet<(String, &str)>| -> BTreeSet<String> {
        places.iter().map(|(place, _)| place.clone()).collect()
    };
    assert_eq!(names(&found), names(&full), "places of values");
    let known: BTreeSet<_> = full.union(&places_of(&pretty(&least_status()))).cloned().collect();
    assert!(found.is_subset(&known), "types: {:?}", found.difference(&known));
}

/// A backend that was not queried yet is reported as such.
#[test]
fn the_state_of_a_backend_that_was_not_queried_yet() {
    let clock = Clock::start();
    let agents = Arc::new(Agents::new(clock));
    let audits = IndexAudits::new(agents.clone(), clock);
    assert!(audits.status().is_none());
    let service = json!({"name": "s", "holdings_path": "/holdings"});
    let service: Service = serde_json::from_value(service).expect("a service");
    audits.set_services(&[service]);
    audits.set_acting_head(true);
    let backend = Backend {
        instance_id: "i-1".into(),
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "z".into(),
        generation: "v1".into(),
        slots: 4,
        state: BackendState::Ready,
        cold_remaining_ms: 0,
    };
    agents.advertise_endpoints(BackendListVersion(1), &Arc::new(vec![backend]));
    audits.apply_report(&IndexReport { frontend: "frontend-1", restart: true, changes: &[] });
    let status = audits.status().expect("an audit");
    let states: Vec<&str> = status.backends.iter().map(|backend| backend.state.as_str()).collect();
    assert_eq!(states, ["not looked at"]);
}
