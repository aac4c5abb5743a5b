//! The data plane as a process of the real program: its link to the agent.

#[path = "../../data-plane/tests/harness/mod.rs"]
mod harness;
mod sockets;

use control_protocol::{BackendListVersion, ConfigurationSequence, FromProxy, ToProxy};
use harness::{configuration, next_request, ready_backends, request, response};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command};
use test_peers::{Listener, Peer};

/// The agent of a node's process.
struct Agent(Peer, bytes::BytesMut);

impl Agent {
    fn said(&mut self) -> FromProxy {
        use std::io::Read;
        loop {
            if let Some(message) = control_protocol::decode(&mut self.1).expect("a message") {
                return message;
            }
            let mut piece = [0; 4096];
            let count = self.0.stream.read(&mut piece).expect("it says something");
            assert!(count > 0, "it has closed");
            self.1.extend_from_slice(&piece[..count]);
        }
    }

    fn tell(&mut self, message: &ToProxy) {
        self.0.write(control_protocol::encode(message).expect("a frame"));
    }
}

/// A data plane's process, whose agent is the test. It is killed when dropped.
struct Process {
    child: Child,
    settings: PathBuf,
    frontend: SocketAddr,
}

impl Process {
    /// Starts one that connects to this agent.
    fn start(agent: &Listener) -> Process {
        static STARTED: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = STARTED.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        // The agent's port is the second one of the range.
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

/// What lets a data plane serve: a list of backends, and a configuration.
fn tell_all(link: &mut Agent, backend: &Listener) {
    link.tell(&ToProxy::Backends(control_protocol::BackendList {
        version: BackendListVersion(3),
        backends: ready_backends(&[backend]),
    }));
    link.tell(&ToProxy::Configuration {
        sequence: ConfigurationSequence(4),
        document: configuration(|_| {}).into_bytes(),
    });
}

/// What the data plane finds first of a client that has left and of what its request has waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum First {
    Close,
    Configuration,
}

/// How many times a trial is made at most: one in which the machine took longer than a request may wait shows nothing.
const MAX_TRIALS: usize = 10;

/// A request waits until the data plane is ready. Its client leaves and the configuration arrives while the process does not
/// run, so that it finds both in one turn; `ahead` is what it has sent behind its request. Returns whether the request of a client that stays was served: nothing else may be.
fn leaves_in_one_turn(first: First, ahead: &str) -> bool {
    let (agent, there) = (Listener::new(), Listener::new());
    let process = Process::start(&agent);
    let mut link = Agent(agent.accept(), bytes::BytesMut::new());
    link.said();
    let ask = |id: &str| {
        let mut client = Peer::connect(process.frontend);
        client.write(request("POST /order/1", id, "", "x"));
        client
    };
    let mut leaves: Vec<Peer> = (0..4).map(|number| ask(&format!("leaves-{number}"))).collect();
    leaves.iter_mut().for_each(|client| client.write(ahead));
    let mut stays = ask("stays");
    // A head that can't be read is answered at once, behind the requests before it.
    let mut fence = Peer::connect(process.frontend);
    fence.write("BREW\r\n\r\n");
    fence.read();
    process.signal("STOP");
    let node_end = link.0.stream.peer_addr().expect("its end");
    if first == First::Configuration {
        tell_all(&mut link, &there);
        sockets::wait_for_bytes(node_end, agent.address());
    }
    let addresses: Vec<SocketAddr> =
        leaves.iter().map(|client| client.stream.local_addr().expect("an address")).collect();
    drop(leaves);
    addresses.iter().for_each(|client| sockets::wait_for_close(process.frontend, *client));
    if first == First::Close {
        tell_all(&mut link, &there);
        sockets::wait_for_bytes(node_end, agent.address());
    }
    process.signal("CONT");
    let mut peers = Vec::new();
    while !stays.has_more() {
        peers.extend(there.try_accept());
        for peer in peers.iter_mut().filter(|peer| peer.has_more()) {
            let message = peer.read();
            assert_eq!(message.header("x-request-id"), Some("stays"), "{first:?}: its client has left");
            peer.write(response("200 OK", "stays", "", ""));
        }
    }
    stays.read().status() == 200
}

#[test]
fn what_waits_for_the_configuration_is_not_sent_where_its_client_leaves_in_the_same_turn() {
    for first in [First::Close, First::Configuration] {
        for ahead in ["", "G", "POST /order/2 HTTP/1.1\r\nX: y\r\n"] {
            let served = (0..MAX_TRIALS).any(|_| leaves_in_one_turn(first, ahead));
            assert!(served, "{first:?}, {ahead:?} ahead: {MAX_TRIALS} trials took too long");
        }
    }
}

#[test]
fn the_link_to_the_agent_comes_back_and_the_node_serves_on_meanwhile() {
    let (agent, there) = (Listener::new(), Listener::new());
    let mut process = Process::start(&agent);
    let mut link = Agent(agent.accept(), bytes::BytesMut::new());
    assert_eq!(
        link.said(),
        FromProxy::Hello { version: control_protocol::VERSION, in_force: ConfigurationSequence(0) }
    );
    tell_all(&mut link, &there);
    assert_eq!(link.said(), FromProxy::ConfigurationApplied { sequence: ConfigurationSequence(4) });
    drop(link);
    let mut client = Peer::connect(process.frontend);
    client.write(request("POST /order/1", "r-1", "", "x"));
    let (_, mut peer) = next_request(&there, &mut Vec::new());
    peer.write(response("200 OK", "r-1", "", ""));
    assert_eq!(client.read().status(), 200);
    let mut link = Agent(agent.accept(), bytes::BytesMut::new());
    assert_eq!(
        link.said(),
        FromProxy::Hello { version: control_protocol::VERSION, in_force: ConfigurationSequence(4) }
    );
    process.signal("TERM");
    assert!(process.child.wait().expect("it ends").success());
}
