//! The figures that the data plane tells, as its process tells them over HTTP, held against a golden file:
//! names, helps, types and labels. Each value is replaced by `(value)`, the length by `(length)` and the date
//! by `(time)`; lines of one family stand in the order of the alphabet. The test is the agent of the process,
//! its clients and its backends, and brings about every cause that is a label.
//!
//! The golden file is written on purpose alone: `GOLDEN=write cargo test -p marlwinch --test
//! golden_data_plane`. Without that, a file that is missing or differs fails the test with the place of the
//! first difference.

#[path = "../../control-protocol/tests/golden/compare.rs"]
mod compare;
#[path = "../../control-protocol/tests/golden/exposition.rs"]
mod exposition;
mod folder;
#[path = "../../data-plane/tests/harness/mod.rs"]
mod harness;
mod peers;

use bytes::BytesMut;
use control_protocol::{
    Backend, BackendList, BackendListVersion, ConfigurationSequence, FromProxy, QuotaGrant, QuotaRequest,
    QuotaResponse, ToProxy,
};
use exposition::without_values;
use folder::Folder;
use harness::{backend, backend_at, configuration, next_request, request, response};
use peers::{ClosedPort, Listener, PEER_TIMEOUT, Peer};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};

const ORDER: &str = "POST /order/1";
/// The causes for which the data plane answers by itself, as its figures label them, with the status of each.
const OWN_ANSWERS: [(&str, u16); 9] = [
    ("refused", 503),
    ("bad", 400),
    ("unauthorized", 401),
    ("no_route", 404),
    ("too_large", 413),
    ("slow_body", 408),
    ("failed", 502),
    ("timed_out", 504),
    ("over_quota", 429),
];

/// The agent's end of the link to the data plane.
struct AgentEnd {
    stream: TcpStream,
    read: BytesMut,
}

impl AgentEnd {
    fn say(&mut self, message: &ToProxy) {
        self.stream.write_all(&control_protocol::encode(message).expect("a frame")).expect("written");
    }

    fn hear(&mut self) -> FromProxy {
        loop {
            if let Some(message) = control_protocol::decode(&mut self.read).expect("a message") {
                return message;
            }
            let mut piece = [0; 4096];
            let count = self.stream.read(&mut piece).expect("it goes on");
            assert!(count > 0, "the link has ended");
            self.read.extend_from_slice(&piece[..count]);
        }
    }
}

/// A data plane that runs as a process. It is killed when dropped.
struct DataPlane {
    process: Child,
    agent: AgentEnd,
    frontend: SocketAddr,
    metrics: SocketAddr,
    sequence: u64,
    version: u64,
    _folder: Folder,
}

impl DataPlane {
    fn start() -> Self {
        // An address of this process alone, whose ports nobody else takes.
        let process = std::process::id();
        let ip = Ipv4Addr::new(127, 1 + ((process >> 8) % 250) as u8, process as u8, 201);
        let free = || TcpListener::bind((ip, 0)).expect("a free port");
        let agent = free();
        let at_agent = agent.local_addr().expect("an address").port();
        let first = at_agent - 1;
        let [frontend, readiness, metrics] = ports_beside(first, free);
        let folder = Folder::new("golden-data-plane");
        let file = folder.file("node.yaml");
        let settings = format!(
            "node_name: f-1\nip: {ip}\nzone: east\ninternal_port_range: [{first}, {at_agent}]\n\
             listen: {{frontend: '{ip}:{frontend}', readiness: '{ip}:{readiness}'}}\n\
             limits: {{cpu_share: 1, cores: 1, memory_mb: 200, max_fds: 1024, link_mbps: 1000, disk_mb: 0}}\n"
        );
        std::fs::write(&file, settings).expect("the settings are written");
        let process = Command::new(env!("CARGO_BIN_EXE_marlwinch"))
            .args(["data-plane", "--metrics", &format!("{metrics}/metrics")])
            .env("MARLWINCH_NODE_FILE", &file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program runs");
        let (stream, _) = agent.accept().expect("it connects to its agent");
        stream.set_read_timeout(Some(PEER_TIMEOUT)).expect("a socket");
        let agent = AgentEnd { stream, read: BytesMut::new() };
        let at = |port| SocketAddr::V4(SocketAddrV4::new(ip, port));
        let (frontend, metrics) = (at(frontend), at(metrics));
        DataPlane { process, agent, frontend, metrics, sequence: 0, version: 0, _folder: folder }
    }

    /// Gives it a newer list, and after that a newer configuration, and waits until that is in force.
    fn serve(&mut self, configuration: &str, backends: Vec<Backend>) {
        self.version += 1;
        self.agent
            .say(&ToProxy::Backends(BackendList { version: BackendListVersion(self.version), backends }));
        self.sequence += 1;
        let sequence = self.sequence;
        let document = configuration.as_bytes().to_vec();
        self.agent.say(&ToProxy::Configuration { sequence: ConfigurationSequence(sequence), document });
        while self.agent.hear()
            != (FromProxy::ConfigurationApplied { sequence: ConfigurationSequence(sequence) })
        {}
    }

    fn client(&self) -> Peer {
        Peer::connect(self.frontend)
    }

    /// The status of the answer to this.
    fn status(&self, text: &str) -> u16 {
        let mut client = self.client();
        client.write(text);
        client.read().status()
    }

    /// The node's next question that names the tenant.
    fn question(&mut self) -> QuotaRequest {
        loop {
            let FromProxy::QuotaRequest(question) = self.agent.hear() else { continue };
            if question.demands.iter().any(|demand| demand.tenant == "acme") {
                return question;
            }
        }
    }

    /// What its figures are told as, with the head of that answer.
    fn figures(&self) -> String {
        let mut client = Peer::connect(self.metrics);
        client.write("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
        let answer = client.read();
        let replaced = |line: &String| match line.split_once(": ").expect("a header") {
            ("date", _) => "date: (time)".to_owned(),
            ("content-length", _) => "content-length: (length)".to_owned(),
            _ => line.clone(),
        };
        let mut headers: Vec<String> = answer.headers.iter().map(replaced).collect();
        headers.sort();
        let text = String::from_utf8(answer.body).expect("a text");
        format!("{}\n{}\n\n{}", answer.first, headers.join("\n"), without_values(&text))
    }
}

impl Drop for DataPlane {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Three ports that are free, none of which is this one.
fn ports_beside(taken: u16, free: impl Fn() -> TcpListener) -> [u16; 3] {
    let (mut held, mut ports) = (Vec::new(), Vec::new());
    while ports.len() < 3 {
        let listener = free();
        let port = listener.local_addr().expect("an address").port();
        held.push(listener);
        if port != taken {
            ports.push(port);
        }
    }
    ports.try_into().expect("three")
}

fn order(more: &str, body: &str) -> String {
    request(ORDER, "r-1", more, body)
}

/// A request for which some backend fails or refuses in a way of its own; each under another instance, so
/// that nothing is known of it from before.
fn ask_of_backend(plane: &mut DataPlane, instance: &str, answered: Option<String>) -> u16 {
    let there = Listener::new();
    plane.serve(&configuration(|_| {}), vec![backend(instance, &there)]);
    let mut client = plane.client();
    let patience = if answered.is_some() { "15000" } else { "300" };
    client.write(order("", "x").replace("15000", patience));
    let (_, mut peer) = next_request(&there, &mut Vec::new());
    if let Some(answered) = answered {
        peer.write(answered);
    }
    client.read().status()
}

/// A request beyond its tenant's limit, once the node knows of a grantor.
fn ask_beyond_limit(plane: &mut DataPlane) -> u16 {
    let limited = configuration(|c| {
        c["tenants"][0]["rate_per_s"] = 1.into();
        c["tenants"][0]["burst"] = 0.into();
    });
    plane.serve(&limited, Vec::new());
    let allotment = |number: u64, question: u64, amount: f64| {
        let tenant = "acme".to_owned();
        let (wait_ms, retry_ms) = (500, 700);
        let allotments = vec![QuotaGrant {
            tenant,
            amount,
            fallback_rate: 0.0,
            wait_ms,
            remaining: 0.0,
            retry_ms,
            pressure: 0.0,
        }];
        ToProxy::QuotaResponse(QuotaResponse {
            request_id: question,
            epoch: 1,
            number,
            nodes: 4,
            grants: allotments,
        })
    };
    let first = plane.question().number;
    plane.agent.say(&allotment(1, first, 0.001));
    while plane.question().last_answered < first {}
    let mut client = plane.client();
    client.write(order("", "x"));
    let mut number = 1;
    while !client.has_more() {
        let asked = plane.question();
        number += 1;
        plane.agent.say(&allotment(number, asked.number, 0.0));
    }
    client.read().status()
}

/// Brings about what the data plane answers by itself for a cause.
fn bring_about(plane: &mut DataPlane, cause: &str) -> u16 {
    match cause {
        "refused" => {
            plane.serve(&configuration(|_| {}), Vec::new());
            plane.status(&order("", "x"))
        }
        "bad" => plane.status(&order("Content-Length: 1\r\n", "x")),
        "unauthorized" => plane.status(&order("", "x").replace("k-1", "k-9")),
        "no_route" => plane.status(&order("", "x").replace("/order/", "/other/")),
        "too_large" => plane.status(&order("", &"x".repeat(100_001))),
        "slow_body" => plane.status(&order("", "x").replace("Content-Length: 1", "Content-Length: 2")),
        "failed" => {
            ask_of_backend(plane, "i-1", Some(response("503 Service Unavailable", "r-1", "", "full")))
        }
        "timed_out" => ask_of_backend(plane, "i-2", None),
        "over_quota" => ask_beyond_limit(plane),
        other => panic!("nothing is known of {other}"),
    }
}

#[test]
fn the_figures_of_a_data_plane() {
    let mut plane = DataPlane::start();
    for (cause, status) in OWN_ANSWERS {
        assert_eq!(bring_about(&mut plane, cause), status, "{cause}");
    }
    // What sends prove, beside that a request may have run.
    let rejected = response("503 Service Unavailable", "r-1", "X-Not-Executed: 1\r\n", "full");
    assert_eq!(ask_of_backend(&mut plane, "i-3", Some(rejected)), 503);
    let misdirected = response("421 Misdirected Request", "r-1", "X-Instance-Id: i-7\r\n", "");
    assert_eq!(ask_of_backend(&mut plane, "i-4", Some(misdirected)), 503);
    let gone = ClosedPort::new();
    plane.serve(&configuration(|_| {}), vec![backend_at("i-5", gone.address())]);
    assert_eq!(plane.status(&order("", "x")), 503);
    let figures = plane.figures();
    let told = |family: &str, cause: &str| {
        figures.contains(&format!("\nmarlwinch_data_plane_{family}_total{{cause=\"{cause}\"}} "))
    };
    for (cause, _) in OWN_ANSWERS {
        assert!(told("own_answers", cause), "{cause}: {figures}");
    }
    for proof in ["not_written", "rejected", "misdirected", "may_have_run"] {
        assert!(told("sends", proof), "{proof}: {figures}");
    }
    compare::assert_matches_golden("golden_data_plane_metrics.txt", &figures);
}
