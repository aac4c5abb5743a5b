//! The operator's HTTP API, compared with golden files: the responses to changes and reads of the
//! configuration with their status, headers and body, and the status of a coordinator as JSON.
//!
//! In the transcripts the value of the header `date` is replaced by `(time)`.
//!
//! The golden files in `tests/golden` are updated only on request: `GOLDEN=write cargo test -p coordinator
//! --test golden_operator`. Otherwise a missing or different file fails the test, which shows the first
//! difference.

#[allow(dead_code)] // this test uses only a part of the module
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
/// The size of the largest document that is accepted, in bytes.
const LARGEST_DOCUMENT: usize = 8 << 20;
/// The text of a response to a request whose outcome is unknown.
const UNKNOWN_OUTCOME: &str = "there is no clear answer now";

/// A request from an operator.
struct ApiRequest {
    method: Method,
    path: &'static str,
    base: Option<&'static str>,
    /// The document with a short description for the transcript.
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
    /// Repeats a request until its outcome is known, and records the response.
    async fn request(&mut self, of: &Machine, request: &ApiRequest) -> String {
        let started = Instant::now();
        let response = loop {
            match self.send_once(of, request).await {
                Some(response) if !response.contains(UNKNOWN_OUTCOME) => break response,
                response => assert!(started.elapsed() < TIMEOUT, "the outcome stays unknown: {response:?}"),
            }
        };
        self.record(request, &response);
        response
    }

    /// Sends a request once, asserts that its outcome is unknown, and records the response.
    async fn request_with_unknown_outcome(&mut self, of: &Machine, request: &ApiRequest) {
        let response = self.send_once(of, request).await.expect("a response");
        assert!(response.contains(UNKNOWN_OUTCOME), "{response}");
        self.record(request, &response);
    }

    async fn send_once(&self, of: &Machine, request: &ApiRequest) -> Option<String> {
        let url = format!("http://{}{}", of.control, request.path);
        let mut call = self.client.request(request.method.clone(), url).timeout(TIMEOUT);
        if let Some(base) = request.base {
            call = call.header("X-Base-Revision", base);
        }
        if let Some((_, document)) = &request.document {
            call = call.header("Content-Type", "application/json").body(document.clone());
        }
        let response = call.send().await.ok()?;
        let header = |(name, value): (&reqwest::header::HeaderName, &reqwest::header::HeaderValue)| {
            let value = value.to_str().expect("a text");
            format!("< {name}: {}\n", if name == "date" { "(time)" } else { value })
        };
        let status = response.status();
        let mut headers: Vec<String> = response.headers().iter().map(header).collect();
        headers.sort();
        let body = response.text().await.ok()?;
        Some(format!("< {status}\n{}{body}", headers.concat()))
    }

    fn record(&mut self, request: &ApiRequest, response: &str) {
        self.transcript += &format!("{}\n{response}\n\n", request.title());
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

    /// Restarts all coordinators with a history that no longer covers the changes up to the generation
    /// `forgotten`.
    ///
    /// The real history covers thousands of changes, so the test writes a suitable record to the disks
    /// instead.
    async fn restart_with_shortened_history(&mut self, forgotten: u64) {
        let node = self.machines[0].node.clone();
        let RequestOutcome::Current(Some(entry)) = node.replica.read().outcome().await else {
            panic!("the outcome is unknown")
        };
        let view = node.replica.view().borrow().clone().expect("a view");
        let was_in_chain: Vec<bool> = self
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
        for (disk, _) in self.disks.iter_mut().zip(was_in_chain).filter(|(_, was_in_chain)| *was_in_chain) {
            disk.append(std::slice::from_ref(&record)).expect("on the disk");
        }
        self.start_machines(false);
    }
}

#[tokio::test]
async fn responses_to_changes_and_reads_match_the_golden_file() {
    let mut core = Core::start().await;
    let mut operator = Operator::default();
    let requests = [
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
        ApiRequest::replace(Some("5"), "a service that is not there", document_with_unknown_service(7)),
        ApiRequest::replace(Some("5"), "more faults than are told", document_with_many_errors()),
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
    for (at, request) in requests.iter().enumerate() {
        operator.request(&core.machines[at % 3], request).await;
    }
    core.restart_with_shortened_history(4).await;
    operator
        .request(&core.machines[0], &ApiRequest::replace(None, "generation 3, forgotten", document(3)))
        .await;
    operator.request(&core.machines[0], &ApiRequest::describe()).await;
    core.machines.drain(1..).for_each(Machine::kill);
    operator.request_with_unknown_outcome(&core.machines[0], &ApiRequest::describe()).await;
    operator
        .request_with_unknown_outcome(
            &core.machines[0],
            &ApiRequest::replace(Some("5"), "generation 7", document(7)),
        )
        .await;
    compare::assert_matches_golden("interfaces/operator.txt", &operator.transcript);
}

/// A document with a route to a service that it does not define.
fn document_with_unknown_service(generation: u64) -> String {
    document(generation).replace("\"service\":\"s\"", "\"service\":\"x\"")
}

/// A document with more errors than fit into a response.
fn document_with_many_errors() -> String {
    let route = r#"{"name":"r","hostname":7,"path_prefix":"no slash","route_type":"odd","timeout_ms":-1}"#;
    document(9).replace("\"routes\":[", &format!("\"routes\":[{}", format!("{route},").repeat(60)))
}

/// The request announces a chunked body, but what follows is not a chunk.
#[tokio::test]
async fn a_body_that_cannot_be_read_is_rejected() {
    let core = Core::start().await;
    let head = format!("POST {REPLACE} HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n");
    let response =
        raw_response(core.machines[0].control, &format!("{head}no number\r\n")).expect("a response");
    compare::assert_matches_golden("interfaces/operator_unreadable_body.txt", &response);
}

/// The coordinator runs on the paused clock of the test, so that its time limit for a body passes at once.
#[tokio::test(start_paused = true)]
async fn a_body_that_does_not_arrive_in_time_is_rejected() {
    // There is no platform at this address: the settings below name none.
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
        let started = Instant::now();
        // If the clock advances before the head has arrived, the connection counts as idle and is closed: try
        // again.
        let response = loop {
            if let Some(response) = raw_response(SocketAddrV4::new(ip, control), &format!("{head}{{")) {
                break response;
            }
            assert!(started.elapsed() < TIMEOUT, "no response");
        };
        sender.send(response).expect("the test waits");
    });
    let response = received.await.expect("the client has a response");
    compare::assert_matches_golden("interfaces/operator_late_body.txt", &response);
}

/// Sends a text on a new connection and reads the response up to its content length; `None` if there is none.
fn raw_response(to: SocketAddrV4, text: &str) -> Option<String> {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    stream.write_all(text.as_bytes()).ok()?;
    let mut response = Vec::new();
    let mut byte = [0];
    while !response.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        response.push(byte[0]);
    }
    let head = String::from_utf8(response).expect("a text").replace('\r', "");
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.expect("a length").parse().expect("a number")];
    stream.read_exact(&mut body).expect("a body");
    let dated = |line: &str| if line.starts_with("date: ") { "date: (time)" } else { line }.to_owned();
    let mut lines: Vec<String> = head.lines().filter(|line| !line.is_empty()).map(dated).collect();
    lines[1..].sort();
    Some(format!("{}\n{}\n", lines.join("\n"), String::from_utf8(body).expect("a text")))
}

/// A status in which every field has a value and every list an element.
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
    assert_eq!((kinds.len(), outcomes.len()), (3, 2), "the status has every kind and every outcome");
    IndexStatus { backends: vec![audited, unaudited], mismatches, older_mismatches: 6 }
}

/// The status of a coordinator that has just started and knows nothing yet.
fn minimal_status() -> CoordinatorStatus {
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

fn to_pretty_json(status: &CoordinatorStatus) -> String {
    serde_json::to_string_pretty(status).expect("JSON") + "\n"
}

/// A status in JSON is parsed and serialized again to the same bytes. A status without the field `index`, as
/// older coordinators send it, is parsed too.
#[test]
fn a_status_in_json_survives_a_round_trip() {
    for (name, status) in [("full", full_status()), ("least", minimal_status())] {
        let file = format!("interfaces/status_{name}.json");
        compare::assert_matches_golden(&file, &to_pretty_json(&status));
        let approved = compare::read(&file);
        let read: CoordinatorStatus = serde_json::from_str(&approved).expect("a status");
        assert_eq!(to_pretty_json(&read), approved);
    }
    let mut old: Value = serde_json::from_str(&compare::read("interfaces/status_full.json")).expect("JSON");
    old.as_object_mut().expect("an object").remove("index").expect("the index");
    let read: CoordinatorStatus = serde_json::from_value(old).expect("an old status");
    assert!(read.index.is_none());
}

/// Collects the paths of all values within a JSON value, with their types. All elements of a list have the
/// same path.
fn collect_paths(value: &Value, at: &str, found: &mut BTreeSet<(String, &'static str)>) {
    let of_type = match value {
        Value::Null => "null",
        Value::Bool(_) => "truth",
        Value::Number(_) => "number",
        Value::String(_) => "text",
        Value::Array(values) => {
            values.iter().for_each(|value| collect_paths(value, &format!("{at}[]"), found));
            "list"
        }
        Value::Object(members) => {
            members.iter().for_each(|(name, value)| collect_paths(value, &format!("{at}.{name}"), found));
            "object"
        }
    };
    found.insert((at.to_owned(), of_type));
}

fn paths_of(text: &str) -> BTreeSet<(String, &'static str)> {
    let mut found = BTreeSet::new();
    collect_paths(&serde_json::from_str(text).expect("JSON"), "", &mut found);
    found
}

/// Three coordinators with agents, backends, a configuration and an audit that finds a mismatch: the head's
/// status has exactly the paths of the golden status.
#[tokio::test]
async fn the_status_of_a_working_coordinator_has_the_paths_of_the_golden_status() {
    let core = Core::start().await;
    let cached_blocks: Vec<(u64, u64)> = (0..40).map(|number| (number << 58 | number, 100)).collect();
    let engine = Engine::start(next_ip(), "engine", &cached_blocks).await;
    core.platform.add("engine", engine.address);
    core.platform.add("elsewhere", engine.address);
    core.platform.add("without", core.platform.address);
    let mut operator = Operator::default();
    let audited = document(1).replace(r#""tls":false"#, r#""tls":false,"holdings_path":"/holdings""#);
    let head = &core.machines[0];
    operator.request(head, &ApiRequest::replace(None, "audited", audited)).await;
    head.wait_until_acting_head().await;
    let _other = Agent::connect(head, "frontend-2").await;
    let mut agent = Agent::connect(head, "frontend-1").await;
    let (sequence, _) = agent.fetch(1).await;
    agent.send(&FromAgent::ConfigurationApplied { sequence: ConfigurationSequence(sequence) });
    let backend = control_protocol::instance_key("engine");
    let change = |block, tokens| IndexChange { backend, block, tokens: Some(tokens) };
    let mut changes: Vec<IndexChange> =
        cached_blocks.iter().map(|(key, tokens)| change(*key, *tokens as u32)).collect();
    changes.push(change(0x1234_5678_9abc_def0, 700));
    let report = FromAgent::IndexChanges { restart: true, changes };
    let corrected = |message| matches!(message, ToAgent::IndexCorrections(_)).then_some(());
    agent.until_after_report(&report, corrected).await;
    let (mut status, mut states) = (String::new(), BTreeSet::new());
    while states.len() < 4 {
        let response =
            operator.send_once(head, &ApiRequest::to(Method::GET, STATUS)).await.expect("a response");
        let (line, body) = response.split_at(response.find('{').expect("a body"));
        let line: String = line.lines().filter(|line| !line.starts_with("< content-length")).collect();
        assert_eq!(line, "< 200 OK< content-type: application/json< date: (time)");
        status = body.to_owned();
        let read: CoordinatorStatus = serde_json::from_str(&status).expect("a status");
        assert_eq!(serde_json::to_string(&read).expect("JSON"), status, "serialized to the same bytes");
        let shown = read.index.expect("an index").backends;
        let looked_at = shown.into_iter().filter(|shown| shown.state != "not looked at");
        states.extend(looked_at.map(|shown| format!("{}: {}\n", shown.instance_id, shown.state)));
        agent.until(|message| (message == ToAgent::Heartbeat).then_some(())).await;
    }
    compare::assert_matches_golden("interfaces/index_states.txt", &Vec::from_iter(states).concat());
    let (full, found) = (paths_of(&to_pretty_json(&full_status())), paths_of(&status));
    let names = |paths: &BTreeSet<(String, &str)>| -> BTreeSet<String> {
        paths.iter().map(|(path, _)| path.clone()).collect()
    };
    assert_eq!(names(&found), names(&full), "paths of values");
    let known: BTreeSet<_> = full.union(&paths_of(&to_pretty_json(&minimal_status()))).cloned().collect();
    assert!(found.is_subset(&known), "types: {:?}", found.difference(&known));
}

/// A backend that has not been compared yet is shown as `not looked at`.
#[test]
fn a_backend_that_has_not_been_compared_is_shown_as_not_looked_at() {
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
