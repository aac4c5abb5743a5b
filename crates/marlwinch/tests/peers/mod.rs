//! Runs a node as a process, with blocking peers on loopback: clients, backends and discovery. A test fails
//! if something does not arrive within [`PEER_TIMEOUT`]; nothing else depends on time.
#![allow(dead_code)] // each test file uses only some of these

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};
pub use test_peers::*;

/// Settings with a class of each idempotency. Their times are so long that they do not affect a test.
const SETTINGS: &str = r#"{"NInstances": 1, "Ordinal": 0, "Zone": 0, "Localities": ["east", "west"],
    "HostTypes": ["m1"], "Quantum": 1.0, "RegistryMode": "push",
    "Classes": [
        {"Name": "look", "Target": 20000.0, "GiveUp": 20000.0, "Idempotency": "free"},
        {"Name": "submit", "Target": 20000.0, "GiveUp": 20000.0, "Idempotency": "guarded", "Group": "zone",
         "Window": 20000.0},
        {"Name": "correct", "Target": 20000.0, "GiveUp": 20000.0, "Idempotency": "single_shot"}],
    "Projects": [{"Name": "acme", "AllowancePerS": 100.0, "Share": 1.0}],
    "LoadReport": {"Columns": ["concurrent", "depth"], "Via": "piggyback"},
    "Permissions": {"AttemptsCap": 3, "Cancel": true, "ConnectTimeout": 5000.0, "IdleClose": 60000.0,
        "MaxRetryAfter": 1500.0, "ParallelTries": false, "Probes": true, "RetryAfter": true},
    "Rules": {"DrainGrace": 60000.0, "ColdFrom": 0.3, "RampTime": 1000.0, "OverloadFactor": 4.0, "TipAfter": 1500.0}}"#;

/// The text of a configuration. `change` may modify it.
pub fn config(discovery: SocketAddr, known: &str, change: impl FnOnce(&mut serde_json::Value)) -> String {
    let settings: serde_json::Value = serde_json::from_str(SETTINGS).expect("settings");
    let known: serde_json::Value = serde_json::from_str(known).expect("a list");
    let mut config = serde_json::json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known, "settings": settings});
    change(&mut config);
    config.to_string()
}

/// A list of backends, each `(name, address, zone, lifecycle)`.
pub fn list(generation: u32, reset: bool, backends: &[(&str, SocketAddr, &str, &str)]) -> String {
    let entry = |(name, address, zone, lifecycle): &(&str, SocketAddr, &str, &str)| {
        serde_json::json!({"instanceId": name, "hostPort": address.to_string(), "zone": zone, "machineType": "m1",
            "cell": 1, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
    };
    let instances: Vec<_> = backends.iter().map(entry).collect();
    serde_json::json!({"generation": generation, "reset": reset, "instances": instances}).to_string()
}

/// Starts a node with these backends, all in service in the zone `east`. Returns the node and its discovery.
pub fn node_with(backends: &[&Listener]) -> (Node, Listener) {
    let addresses: Vec<SocketAddr> = backends.iter().map(|b| b.address()).collect();
    node_at(&addresses, "east")
}

/// Like [`node_with`], with addresses. The first backend is in the zone `east`, all others are in `zone`.
pub fn node_at(addresses: &[SocketAddr], zone: &str) -> (Node, Listener) {
    let names = ["s-1", "s-2", "s-3"];
    let zone_of = |i| if i == 0 { "east" } else { zone };
    let lines: Vec<_> =
        addresses.iter().enumerate().map(|(i, a)| (names[i], *a, zone_of(i), "in_service")).collect();
    let discovery = Listener::new();
    let node = Node::start(&config(discovery.address(), &list(41, true, &lines), |_| {}));
    (node, discovery)
}

/// Sends an unsafe request that a backend must receive on this connection and serve.
pub fn serve_on(peer: &mut Peer, client: &mut Peer) {
    client.request("correct", "", "x");
    peer.read();
    peer.answer("200 OK", "", "done");
    assert_eq!(client.read().status(), 200);
}

/// Like [`serve_on`], but the backend must receive the request on a new connection, which is returned.
pub fn serve_on_new_connection(backend: &Listener, client: &mut Peer) -> Peer {
    client.request("correct", "", "x");
    let mut peer = backend.next_request(&mut Vec::new());
    peer.answer("200 OK", "", "done");
    assert_eq!(client.read().status(), 200);
    peer
}

/// Accepts the node's next watch, which must ask for changes after this generation, and sends the response
/// head.
pub fn begin_watch(discovery: &Listener, from: u32) -> Peer {
    let mut watch = discovery.accept();
    assert_eq!(watch.read().first, format!("GET /v1/endpoints?watch=1&from={from} HTTP/1.1"));
    watch.begin_watch();
    watch
}

/// A running node. It is killed when dropped.
pub struct Node {
    child: Child,
    file: PathBuf,
    pub address: SocketAddr,
    pub log: Receiver<String>,
}

/// A unique path for a temporary file.
fn own_path(end: &str) -> PathBuf {
    let unique = (std::process::id(), std::thread::current().id(), Instant::now());
    std::env::temp_dir().join(format!("marlwinch-{unique:?}.{end}").replace(['(', ')', ' ', '{', '}'], ""))
}

/// Runs the program with these arguments until it exits.
pub fn command(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marlwinch"));
    command.args(arguments).env("NO_COLOR", "1").output().expect("the program runs")
}

/// A temporary file. It is removed when this is dropped.
pub struct OnDisk(pub PathBuf);

impl OnDisk {
    pub fn new(text: &str) -> Self {
        let path = own_path("toml");
        std::fs::write(&path, text).expect("the file is written");
        OnDisk(path)
    }
    pub fn path(&self) -> &str {
        self.0.to_str().expect("a path")
    }
}

impl Drop for OnDisk {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Starts a node with this configuration, which is written to the returned path, and with `ROUTER_DISCOVERY`
/// if an address is given.
fn spawn(config: &str, discovery: Option<SocketAddr>) -> (Child, PathBuf, Receiver<String>) {
    let path = own_path("json");
    std::fs::write(&path, config).expect("the configuration is written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_marlwinch"));
    if let Some(discovery) = discovery {
        command.env("ROUTER_DISCOVERY", discovery.to_string());
    } else {
        command.env_remove("ROUTER_DISCOVERY");
    }
    command.env("ROUTER_CONFIG", &path).env_remove("ROUTER_LISTEN").env_remove("ROUTER_NAME");
    let (child, log) = start(command);
    (child, path, log)
}

/// Starts a process and forwards the lines of its log.
fn start(mut command: Command) -> (Child, Receiver<String>) {
    let mut child = command.stderr(Stdio::piped()).spawn().expect("the node starts");
    let mut errors = std::io::BufReader::new(child.stderr.take().expect("its log"));
    let (sender, log) = channel();
    std::thread::spawn(move || {
        let mut line = String::new();
        while std::io::BufRead::read_line(&mut errors, &mut line).is_ok_and(|n| n > 0) {
            let _ = sender.send(std::mem::take(&mut line));
        }
    });
    (child, log)
}

/// Starts a node that must fail to start. Returns its exit status and its log.
pub fn fails_to_start(config: &str) -> (ExitStatus, Vec<String>) {
    let (mut child, file, log) = spawn(config, None);
    let status = child.wait().expect("it ends");
    let _ = std::fs::remove_file(file);
    (status, log.iter().collect())
}

impl Node {
    pub fn start(config: &str) -> Node {
        Node::start_with(config, None)
    }

    /// Starts a node from an operator's file, whose only listener must have port 0.
    pub fn from_file(text: &str) -> Node {
        let file = own_path("toml");
        std::fs::write(&file, text).expect("the file is written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_marlwinch"));
        command.arg("run").arg(&file).env_remove("ROUTER_CONFIG");
        let (child, log) = start(command);
        Node::listening(child, file, log)
    }

    /// Like [`Node::from_file`]. Also returns the address of the metrics.
    pub fn from_file_with_admin(text: &str) -> (Node, SocketAddr) {
        let node = Node::from_file(text);
        let line = node.logged("metrics are served at");
        let address = line.split("http://").nth(1).and_then(|rest| rest.split('/').next());
        (node, address.and_then(|address| address.parse().ok()).expect("an address"))
    }

    /// Like [`Node::start`], with `ROUTER_DISCOVERY` if an address is given.
    pub fn start_with(config: &str, discovery: Option<SocketAddr>) -> Node {
        let (child, file, log) = spawn(config, discovery);
        Node::listening(child, file, log)
    }

    /// Like [`Node::start`], with `TMPDIR` set to this folder, where the socket for a handover is.
    pub fn start_in(config: &str, folder: &std::path::Path) -> Node {
        let path = own_path("json");
        std::fs::write(&path, config).expect("the configuration is written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_marlwinch"));
        command.env("ROUTER_CONFIG", &path).env("TMPDIR", folder);
        for name in ["ROUTER_LISTEN", "ROUTER_NAME", "ROUTER_DISCOVERY", "ROUTER_CONSOLE"] {
            command.env_remove(name);
        }
        let (child, log) = start(command);
        Node::listening(child, path, log)
    }

    /// The id of the process.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// The resident memory of the process.
    pub fn memory_kib(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("its status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("its memory");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("it ends");
    }

    fn listening(child: Child, file: PathBuf, log: Receiver<String>) -> Node {
        let mut node = Node { child, file, address: SocketAddr::from(([127, 0, 0, 1], 0)), log };
        let line = node.logged("listens on");
        let address = line.split("listens on ").nth(1).and_then(|rest| rest.split([':', ' ']).nth(1));
        node.address.set_port(address.and_then(|port| port.parse().ok()).expect("its port"));
        node
    }

    /// Waits for a log line that contains this text.
    pub fn logged(&self, text: &str) -> String {
        let started = Instant::now();
        loop {
            // The node logs metrics regularly, so the time limit for a single line is not enough.
            assert!(started.elapsed() < PEER_TIMEOUT, "no line with {text:?}");
            let line =
                self.log.recv_timeout(PEER_TIMEOUT).unwrap_or_else(|e| panic!("no line with {text:?}: {e}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    pub fn client(&self) -> Peer {
        Peer::connect(self.address)
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.file, config).expect("the configuration is written");
        self.signal("HUP");
    }

    /// Stops the process with SIGSTOP until the returned guard is dropped. The node then finds everything
    /// that happened meanwhile in one iteration of its event loop.
    pub fn stopped(&self) -> Stopped<'_> {
        self.signal("STOP");
        Stopped(self)
    }

    fn signal(&self, name: &str) {
        let kill = Command::new("sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
        assert!(kill.expect("a shell").success());
    }

    pub fn wait(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("its status") {
                return status;
            }
            assert!(started.elapsed() < PEER_TIMEOUT, "the node does not end");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("its status").is_none()
    }
}

/// Keeps a node stopped until it is dropped.
pub struct Stopped<'n>(&'n Node);

impl Drop for Stopped<'_> {
    fn drop(&mut self) {
        self.0.signal("CONT");
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}
