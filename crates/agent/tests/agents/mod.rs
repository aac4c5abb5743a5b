//! A running agent, and fake coordinators and a fake proxy that connect to it over loopback.

use agent::{Agent, AgentIdentity};
use bytes::Bytes;
use control_link::{AddressTranslation, FrameReader, FrameWriter};
use control_protocol::{
    Backend, BackendList, BackendListVersion, BackendState, ConfigurationSequence, CoreMember, FromAgent,
    FromProxy, ToAgent, ToProxy, VERSION,
};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Makes a test fail that would otherwise wait forever.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub fn loopback(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

pub fn listener() -> (TcpListener, SocketAddrV4) {
    let listener = control_link::listen(loopback(0)).expect("listen");
    let port = listener.local_addr().expect("address").port();
    (listener, loopback(port))
}

/// A socket that has an address on loopback, at which it refuses connections until it listens.
pub fn reserved() -> (TcpSocket, SocketAddrV4) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(loopback(0).into()).expect("bind");
    let port = socket.local_addr().expect("address").port();
    (socket, loopback(port))
}

/// An agent that runs until it is dropped.
pub struct RunningAgent {
    task: JoinHandle<()>,
    leave: Arc<Notify>,
    pub address: SocketAddrV4,
}

impl RunningAgent {
    pub fn start(seeds: Vec<SocketAddrV4>) -> Self {
        let (listener, address) = listener();
        RunningAgent::at(listener, address, seeds)
    }

    pub fn at(listener: TcpListener, address: SocketAddrV4, seeds: Vec<SocketAddrV4>) -> Self {
        RunningAgent::run(agent(listener, seeds), address)
    }

    /// Runs the main loop of an agent.
    pub fn run(mut agent: Agent, address: SocketAddrV4) -> Self {
        let leave = Arc::new(Notify::new());
        let leave_requested = leave.clone();
        let task = tokio::spawn(async move {
            loop {
                tokio::select! {
                    () = agent.step() => {}
                    () = leave_requested.notified() => return agent.leave(TEST_TIMEOUT).await,
                }
            }
        });
        RunningAgent { task, leave, address }
    }

    /// Shuts the agent down gracefully. Waits until its coordinators have closed their links.
    pub async fn leave(self) {
        self.leave.notify_one();
        self.task.await.expect("the agent ends");
    }

    /// Aborts the agent's task and waits until it has ended.
    pub async fn abort(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// An agent whose links are being opened, and whose main loop does not run yet.
pub fn agent(listener: TcpListener, seeds: Vec<SocketAddrV4>) -> Agent {
    let identity = AgentIdentity {
        node: "n-1".into(),
        ip: Ipv4Addr::LOCALHOST,
        zone: "z".into(),
        configuration_sequence: 0.into(),
    };
    Agent::start(identity, seeds, AddressTranslation::default(), listener)
}

/// A coordinator's end of the connection from an agent.
pub struct Coordinator {
    incoming: FrameReader,
    outgoing: FrameWriter,
    pub configuration_sequence: u64,
}

impl Coordinator {
    /// Accepts a connection from an agent and receives its hello.
    pub async fn accept(listener: &TcpListener) -> Self {
        let accepted = tokio::time::timeout(TEST_TIMEOUT, listener.accept()).await.expect("a connection");
        let (stream, peer) = accepted.expect("accept");
        let (incoming, outgoing) = control_link::split(stream, peer);
        let mut coordinator = Coordinator { incoming, outgoing, configuration_sequence: 0 };
        match coordinator.receive().await {
            FromAgent::Hello { version: VERSION, configuration_sequence, .. } => {
                coordinator.configuration_sequence = configuration_sequence.number()
            }
            other => panic!("expected a hello, received {other:?}"),
        }
        coordinator
    }

    pub fn send(&self, message: ToAgent) {
        self.outgoing.send(&message).expect("send");
    }

    async fn receive(&mut self) -> FromAgent {
        tokio::time::timeout(TEST_TIMEOUT, self.incoming.next()).await.expect("in time").expect("a message")
    }

    /// The next message that is neither a heartbeat nor `BackendsSeen`.
    pub async fn receive_message(&mut self) -> FromAgent {
        loop {
            match self.receive().await {
                FromAgent::Heartbeat | FromAgent::BackendsSeen { .. } => {}
                message => return message,
            }
        }
    }

    /// Responds to the next request for a configuration, and ignores other messages before it.
    pub async fn respond_to_fetch(&mut self, sequence: u64) {
        loop {
            if let FromAgent::FetchConfiguration { sequence: requested, request_id } =
                self.receive_message().await
            {
                assert!(requested <= ConfigurationSequence(sequence), "{requested} is requested");
                self.send(ToAgent::NewestConfiguration {
                    request_id,
                    sequence: ConfigurationSequence(sequence),
                });
                return self.send(configuration(sequence));
            }
        }
    }
}

pub fn configuration(sequence: u64) -> ToAgent {
    ToAgent::Configuration {
        sequence: ConfigurationSequence(sequence),
        document: document(sequence).to_vec(),
    }
}

pub fn document(sequence: u64) -> Bytes {
    format!("document {sequence}").into()
}

/// A proxy's end of its connection to an agent.
pub struct Proxy {
    incoming: FrameReader,
    outgoing: FrameWriter,
}

impl Proxy {
    pub async fn connect(to: SocketAddrV4, in_force: u64) -> Self {
        let stream = control_link::connect(to).await.expect("connect");
        let (incoming, outgoing) = control_link::split(stream, to.into());
        outgoing
            .send(&FromProxy::Hello { version: VERSION, in_force: ConfigurationSequence(in_force) })
            .expect("send");
        Proxy { incoming, outgoing }
    }

    pub fn send(&self, message: FromProxy) {
        self.outgoing.send(&message).expect("send");
    }

    pub async fn receive(&mut self) -> ToProxy {
        tokio::time::timeout(TEST_TIMEOUT, self.incoming.next()).await.expect("in time").expect("a message")
    }

    /// The sequence number of the next configuration. Other messages before it are ignored.
    pub async fn receive_configuration(&mut self) -> u64 {
        loop {
            if let ToProxy::Configuration { sequence, document: text } = self.receive().await {
                assert_eq!(text, document(sequence.number()));
                return sequence.number();
            }
        }
    }

    /// The next list of backends. Other messages before it are ignored.
    pub async fn receive_backends(&mut self) -> BackendList {
        loop {
            if let ToProxy::Backends(list) = self.receive().await {
                return list;
            }
        }
    }

    /// Waits until the agent has closed the connection.
    pub async fn wait_until_closed(&mut self) {
        while tokio::time::timeout(TEST_TIMEOUT, self.incoming.next::<ToProxy>())
            .await
            .expect("in time")
            .is_ok()
        {}
    }
}

pub fn backend(name: &str, state: BackendState) -> Backend {
    Backend {
        instance_id: name.into(),
        service: "s".into(),
        address: loopback(1),
        zone: "z".into(),
        generation: "v1".into(),
        slots: 6,
        state,
        cold_remaining_ms: 0,
    }
}

pub fn list(version: u64, names: &[&str]) -> BackendList {
    BackendList {
        version: BackendListVersion(version),
        backends: names.iter().map(|name| backend(name, BackendState::Ready)).collect(),
    }
}

pub fn view(number: u64, members: &[SocketAddrV4]) -> ToAgent {
    let member = |(id, address): (usize, &SocketAddrV4)| CoreMember {
        id: id as u64 + 1,
        address: *address,
        zone: "z".into(),
    };
    let members = members.iter().enumerate().map(member).collect();
    ToAgent::View { number, members, nodes: 1, has_quorum_contact: true }
}

impl Coordinator {
    /// The next message; `None` once the agent has closed the connection.
    pub async fn try_receive(&mut self) -> Option<FromAgent> {
        tokio::time::timeout(TEST_TIMEOUT, self.incoming.next()).await.expect("in time").ok()
    }
}
