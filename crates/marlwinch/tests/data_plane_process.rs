//! The data plane as a process: its connection to the agent.

#[path = "../../data-plane/tests/harness/mod.rs"]
mod harness;
mod sockets;

use control_protocol::{BackendListVersion, ConfigurationSequence, FromProxy, ToProxy};
use harness::{configuration, next_request, ready_backends, request, response};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command};
use test_peers::{Listener, Peer};

/// The agent's end of the connection to a data plane, with the bytes that are not decoded yet.
struct Agent(Peer, bytes::BytesMut);

impl Agent {
    fn receive(&mut self) -> FromProxy {
        use std::io::Read;
        loop {
            if let Some(message) = control_protocol::decode(&mut self.1).expect("a message") {
                return message;
            }
            let mut chunk = [0; 4096];
            let count = self.0.stream.read(&mut chunk).expect("a message arrives");
            assert!(count > 0, "the data plane has closed the connection");
            self.1.extend_from_slice(&chunk[..count]);
        }
    }

    fn send(&mut self, message: &ToProxy) {
        self.0.write(control_protocol::encode(message).expect("a frame"));
    }
}

/// The process of a data plane, whose agent is the test. It is killed when dropped.
struct Process {
    child: Child,
    settings: PathBuf,
    frontend: SocketAddr,
}

impl Process {
    /// Starts a data plane that connects to this agent.
    fn start(agent: &Listener) -> Process {
        static STARTED: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = STARTED.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        // The agent's port is the second of the range.
        let port = agent.address().port();
        let free =
            || std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
        let (frontend, readiness) = (free(), free());
        let settings =
            std::env::temp_dir().join(format!("marlwinch-plane-{}-{number}.yaml", std::process::id()));
        let text = format!(
            "node_name: f-1\nip: 127.0.0.1\nzone: east\ninternal_port_range: [{}, {}]\n\
             listen: {{frontend: \"{frontend}\", readiness: \"{readiness}\"}}\nbounds: {{grace_s: 1}}\n",
            port - 1,
            port + 1
        );
        std::fs::write(&settings, text).expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_marlwinch"))
            .arg("data-plane")
            .env("MARLWINCH_NODE_FILE", &settings)
            .spawn()
            .expect("it starts");
        Process { child, settings, frontend }
    }

    fn signal(&self, name: &str) {
        let kill = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(kill.expect("a signal").success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Sends a list of backends and a configuration, so that the data plane can serve.
fn send_list_and_configuration(link: &mut Agent, backend: &Listener) {
    link.send(&ToProxy::Backends(control_protocol::BackendList {
        version: BackendListVersion(3),
        backends: ready_backends(&[backend]),
    }));
    link.send(&ToProxy::Configuration {
        sequence: ConfigurationSequence(4),
        document: configuration(|_| {}).into_bytes(),
    });
}

/// Which of two events reaches the data plane first: the client's close, or the configuration that its
/// request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum First {
    Close,
    Configuration,
}

/// At most this number of trials are made. A trial in which the machine took longer than a request may wait
/// is repeated.
const MAX_TRIALS: usize = 10;

/// Requests wait until the data plane is ready. Their clients disconnect and the configuration arrives while
/// the process is stopped, so that it finds both in one iteration of its event loop. `ahead` is what these
/// clients have sent behind their request. Asserts that only the request of a client that stays is sent, and
/// returns whether it was served.
fn disconnects_in_one_iteration(first: First, ahead: &str) -> bool {
    let (agent, backend) = (Listener::new(), Listener::new());
    let process = Process::start(&agent);
    let mut link = Agent(agent.accept(), bytes::BytesMut::new());
    link.receive();
    let ask = |id: &str| {
        let mut client = Peer::connect(process.frontend);
        client.write(request("POST /order/1", id, "", "x"));
        client
    };
    let mut leaves: Vec<Peer> = (0..4).map(|number| ask(&format!("leaves-{number}"))).collect();
    leaves.iter_mut().for_each(|client| client.write(ahead));
    let mut stays = ask("stays");
    // The response to this invalid head shows that the data plane has read the requests before it.
    let mut fence = Peer::connect(process.frontend);
    fence.write("BREW\r\n\r\n");
    fence.read();
    process.signal("STOP");
    let node_end = link.0.stream.peer_addr().expect("its end");
    if first == First::Configuration {
        send_list_and_configuration(&mut link, &backend);
        sockets::wait_for_bytes(node_end, agent.address());
    }
    let addresses: Vec<SocketAddr> =
        leaves.iter().map(|client| client.stream.local_addr().expect("an address")).collect();
    drop(leaves);
    addresses.iter().for_each(|client| sockets::wait_for_close(process.frontend, *client));
    if first == First::Close {
        send_list_and_configuration(&mut link, &backend);
        sockets::wait_for_bytes(node_end, agent.address());
    }
    process.signal("CONT");
    let mut peers = Vec::new();
    while !stays.has_more() {
        peers.extend(backend.try_accept());
        for peer in peers.iter_mut().filter(|peer| peer.has_more()) {
            let message = peer.read();
            assert_eq!(
                message.header("x-request-id"),
                Some("stays"),
                "{first:?}: its client has disconnected"
            );
            peer.write(response("200 OK", "stays", "", ""));
        }
    }
    stays.read().status() == 200
}

#[test]
fn a_request_waiting_for_the_configuration_is_not_sent_if_its_client_disconnects_in_the_same_iteration() {
    for first in [First::Close, First::Configuration] {
        for ahead in ["", "G", "POST /order/2 HTTP/1.1\r\nX: y\r\n"] {
            let served = (0..MAX_TRIALS).any(|_| disconnects_in_one_iteration(first, ahead));
            assert!(served, "{first:?}, {ahead:?} ahead: {MAX_TRIALS} trials took too long");
        }
    }
}

#[test]
fn the_data_plane_reconnects_to_the_agent_and_serves_meanwhile() {
    let (agent, backend) = (Listener::new(), Listener::new());
    let mut process = Process::start(&agent);
    let mut link = Agent(agent.accept(), bytes::BytesMut::new());
    assert_eq!(
        link.receive(),
        FromProxy::Hello { version: control_protocol::VERSION, in_force: ConfigurationSequence(0) }
    );
    send_list_and_configuration(&mut link, &backend);
    assert_eq!(link.receive(), FromProxy::ConfigurationApplied { sequence: ConfigurationSequence(4) });
    drop(link);
    let mut client = Peer::connect(process.frontend);
    client.write(request("POST /order/1", "r-1", "", "x"));
    let (_, mut peer) = next_request(&backend, &mut Vec::new());
    peer.write(response("200 OK", "r-1", "", ""));
    assert_eq!(client.read().status(), 200);
    let mut link = Agent(agent.accept(), bytes::BytesMut::new());
    assert_eq!(
        link.receive(),
        FromProxy::Hello { version: control_protocol::VERSION, in_force: ConfigurationSequence(4) }
    );
    process.signal("TERM");
    assert!(process.child.wait().expect("it ends").success());
}
