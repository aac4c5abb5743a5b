//! Compares the metrics of the data plane, as its process serves them over HTTP, with a golden file: names,
//! descriptions, types and labels. `(value)` replaces each value, `(length)` the length and `(time)` the
//! date; the lines of a family are sorted. The test acts as the agent, the clients and the backends of the
//! process, and produces every cause that is a label.
//!
//! `GOLDEN=write cargo test -p marlwinch --test golden_data_plane` writes the golden file. Without that
//! variable a missing or different file fails the test with the location of the first difference.

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
/// The causes of responses that the data plane makes itself, by their labels, with the status of each.
const OWN_RESPONSES: [(&str, u16); 9] = [
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

/// The agent's end of the connection to the data plane.
struct AgentEnd {
    stream: TcpStream,
    read: BytesMut,
}

impl AgentEnd {
    fn send(&mut self, message: &ToProxy) {
        self.stream.write_all(&control_protocol::encode(message).expect("a frame")).expect("written");
    }

    fn receive(&mut self) -> FromProxy {
        loop {
            if let Some(message) = control_protocol::decode(&mut self.read).expect("a message") {
                return message;
            }
            let mut chunk = [0; 4096];
            let count = self.stream.read(&mut chunk).expect("a message arrives");
            assert!(count > 0, "the connection has ended");
            self.read.extend_from_slice(&chunk[..count]);
        }
    }
}

/// The process of a data plane. It is killed when dropped.
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
        // An address that only this process uses, so that no other process takes its ports.
        let process = std::process::id();
        let ip = Ipv4Addr::new(127, 1 + ((process >> 8) % 250) as u8, process as u8, 201);
        let free = || TcpListener::bind((ip, 0)).expect("a free port");
        let agent = free();
        let agent_port = agent.local_addr().expect("an address").port();
        let first = agent_port - 1;
        let [frontend, readiness, metrics] = ports_beside(first, free);
        let folder = Folder::new("golden-data-plane");
        let file = folder.file("node.yaml");
        let settings = format!(
            "node_name: f-1\nip: {ip}\nzone: east\ninternal_port_range: [{first}, {agent_port}]\n\
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

    /// Sends a new list, then a new configuration, and waits until the configuration is applied.
    fn update(&mut self, configuration: &str, backends: Vec<Backend>) {
        self.version += 1;
        self.agent
            .send(&ToProxy::Backends(BackendList { version: BackendListVersion(self.version), backends }));
        self.sequence += 1;
        let sequence = self.sequence;
        let document = configuration.as_bytes().to_vec();
        self.agent.send(&ToProxy::Configuration { sequence: ConfigurationSequence(sequence), document });
        while self.agent.receive()
            != (FromProxy::ConfigurationApplied { sequence: ConfigurationSequence(sequence) })
        {}
    }

    fn client(&self) -> Peer {
        Peer::connect(self.frontend)
    }

    /// Sends a request and returns the status of the response.
    fn status(&self, text: &str) -> u16 {
        let mut client = self.client();
        client.write(text);
        client.read().status()
    }

    /// Waits for the next quota request that names the tenant.
    fn next_quota_request(&mut self) -> QuotaRequest {
        loop {
            let FromProxy::QuotaRequest(request) = self.agent.receive() else { continue };
            if request.demands.iter().any(|demand| demand.tenant == "acme") {
                return request;
            }
        }
    }

    /// The response of the metrics endpoint, with its head.
    fn metrics_response(&self) -> String {
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

/// Three free ports other than this one.
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

/// Sends a request to a backend that responds with this text or not at all, and returns the status. Each call
/// needs a new instance id, so that the data plane knows nothing of the backend.
fn status_with_backend(plane: &mut DataPlane, instance: &str, response: Option<String>) -> u16 {
    let listener = Listener::new();
    plane.update(&configuration(|_| {}), vec![backend(instance, &listener)]);
    let mut client = plane.client();
    let time_limit_ms = if response.is_some() { "15000" } else { "300" };
    client.write(order("", "x").replace("15000", time_limit_ms));
    let (_, mut peer) = next_request(&listener, &mut Vec::new());
    if let Some(response) = response {
        peer.write(response);
    }
    client.read().status()
}

/// Sends a request beyond its tenant's quota, after the node has had a response of a grantor. Returns the
/// status.
fn status_over_quota(plane: &mut DataPlane) -> u16 {
    let limited = configuration(|c| {
        c["tenants"][0]["rate_per_s"] = 1.into();
        c["tenants"][0]["burst"] = 0.into();
    });
    plane.update(&limited, Vec::new());
    let quota_response = |number: u64, request_id: u64, amount: f64| {
        let tenant = "acme".to_owned();
        let (wait_ms, retry_ms) = (500, 700);
        let grants = vec![QuotaGrant {
            tenant,
            amount,
            fallback_rate: 0.0,
            wait_ms,
            remaining: 0.0,
            retry_ms,
            pressure: 0.0,
        }];
        ToProxy::QuotaResponse(QuotaResponse { request_id, epoch: 1, number, nodes: 4, grants })
    };
    let first = plane.next_quota_request().number;
    plane.agent.send(&quota_response(1, first, 0.001));
    while plane.next_quota_request().last_answered < first {}
    let mut client = plane.client();
    client.write(order("", "x"));
    let mut number = 1;
    while !client.has_more() {
        let request = plane.next_quota_request();
        number += 1;
        plane.agent.send(&quota_response(number, request.number, 0.0));
    }
    client.read().status()
}

/// Causes a response of the data plane itself with this cause, and returns its status.
fn status_for_cause(plane: &mut DataPlane, cause: &str) -> u16 {
    match cause {
        "refused" => {
            plane.update(&configuration(|_| {}), Vec::new());
            plane.status(&order("", "x"))
        }
        "bad" => plane.status(&order("Content-Length: 1\r\n", "x")),
        "unauthorized" => plane.status(&order("", "x").replace("k-1", "k-9")),
        "no_route" => plane.status(&order("", "x").replace("/order/", "/other/")),
        "too_large" => plane.status(&order("", &"x".repeat(100_001))),
        "slow_body" => plane.status(&order("", "x").replace("Content-Length: 1", "Content-Length: 2")),
        "failed" => {
            status_with_backend(plane, "i-1", Some(response("503 Service Unavailable", "r-1", "", "full")))
        }
        "timed_out" => status_with_backend(plane, "i-2", None),
        "over_quota" => status_over_quota(plane),
        other => panic!("unknown cause {other}"),
    }
}

#[test]
fn metrics_of_a_data_plane_match_the_golden_file() {
    let mut plane = DataPlane::start();
    for (cause, status) in OWN_RESPONSES {
        assert_eq!(status_for_cause(&mut plane, cause), status, "{cause}");
    }
    // Attempts by what they prove, besides that a request may have run.
    let rejected = response("503 Service Unavailable", "r-1", "X-Not-Executed: 1\r\n", "full");
    assert_eq!(status_with_backend(&mut plane, "i-3", Some(rejected)), 503);
    let misdirected = response("421 Misdirected Request", "r-1", "X-Instance-Id: i-7\r\n", "");
    assert_eq!(status_with_backend(&mut plane, "i-4", Some(misdirected)), 503);
    let gone = ClosedPort::new();
    plane.update(&configuration(|_| {}), vec![backend_at("i-5", gone.address())]);
    assert_eq!(plane.status(&order("", "x")), 503);
    let metrics = plane.metrics_response();
    let has_cause = |family: &str, cause: &str| {
        metrics.contains(&format!("\nmarlwinch_data_plane_{family}_total{{cause=\"{cause}\"}} "))
    };
    for (cause, _) in OWN_RESPONSES {
        assert!(has_cause("own_answers", cause), "{cause}: {metrics}");
    }
    for proof in ["not_written", "rejected", "misdirected", "may_have_run"] {
        assert!(has_cause("sends", proof), "{proof}: {metrics}");
    }
    compare::assert_matches_golden("golden_data_plane_metrics.txt", &metrics);
}
