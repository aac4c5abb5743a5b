//! A node as a process, and the peers of its test: clients, backends and discovery on loopback, one blocking call at
//! a time. What does not come within [`PEER_TIMEOUT`] has failed; nothing else depends on time.
#![allow(dead_code)] // each test file uses its own part of this

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};
pub use test_peers::*;

/// Classes of every sort, whose times never decide a test.
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

/// The text of a configuration; `change` may alter it.
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

/// A node with these backends, all in service in the zone `east`, and its discovery.
pub fn node_with(backends: &[&Listener]) -> (Node, Listener) {
    let addresses: Vec<SocketAddr> = backends.iter().map(|b| b.address()).collect();
    node_at(&addresses, "east")
}

/// The same with addresses; the zone is that of all but the first.
pub fn node_at(addresses: &[SocketAddr], zone: &str) -> (Node, Listener) {
    let names = ["s-1", "s-2", "s-3"];
    let zone_of = |i| if i == 0 { "east" } else { zone };
    let lines: Vec<_> =
        addresses.iter().enumerate().map(|(i, a)| (names[i], *a, zone_of(i), "in_service")).collect();
    let discovery = Listener::new();
    let node = Node::start(&config(discovery.address(), &list(41, true, &lines), |_| {}));
    (node, discovery)
}

/// Lets a client's unsafe request be served on this connection of a backend.
pub fn serve_on(peer: &mut Peer, client: &mut Peer) {
    client.request("correct", "", "x");
    peer.read();
    peer.answer("200 OK", "", "done");
    assert_eq!(client.read().status(), 200);
}

/// The same where the request must come on a new connection, which is returned.
pub fn serve_anew(backend: &Listener, client: &mut Peer) -> Peer {
    client.request("correct", "", "x");
    let mut peer = backend.next_request(&mut Vec::new());
    peer.answer("200 OK", "", "done");
    assert_eq!(client.read().status(), 200);
    peer
}

/// Takes the node's next watch, which must ask for what has come after this version, and begins to answer it.
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

/// A path of its own for a file of a test.
fn own_path(end: &str) -> PathBuf {
    let unique = (std::process::id(), std::thread::current().id(), Instant::now());
    std::env::temp_dir().join(format!("marlwinch-{unique:?}.{end}").replace(['(', ')', ' ', '{', '}'], ""))
}

/// Runs a command of the program to its end.
pub fn command(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marlwinch"));
    command.args(arguments).env("NO_COLOR", "1").output().expect("the program runs")
}

/// An operator's file on the disk, which goes with this.
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

/// Starts a node's process with this text as its configuration, which is left in the file returned, and perhaps with
/// this value of `ROUTER_DISCOVERY`.
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

/// Starts a process and hands on the lines of its log.
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

/// Starts a node that can't run, and returns how it ended and all it said.
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

    /// Starts a node from an operator's file alone; its one listener is at port 0.
    pub fn from_file(text: &str) -> Node {
        let file = own_path("toml");
        std::fs::write(&file, text).expect("the file is written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_marlwinch"));
        command.arg("run").arg(&file).env_remove("ROUTER_CONFIG");
        let (child, log) = start(command);
        Node::listening(child, file, log)
    }

    /// The same, and where it tells its figures.
    pub fn from_file_with_admin(text: &str) -> (Node, SocketAddr) {
        let node = Node::from_file(text);
        let line = node.logged("metrics are served at");
        let address = line.split("http://").nth(1).and_then(|rest| rest.split('/').next());
        (node, address.and_then(|address| address.parse().ok()).expect("an address"))
    }

    /// The same with a value of `ROUTER_DISCOVERY`.
    pub fn start_with(config: &str, discovery: Option<SocketAddr>) -> Node {
        let (child, file, log) = spawn(config, discovery);
        Node::listening(child, file, log)
    }

    /// The same with a folder of its own for what outlives the process.
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

    /// The id of its process.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// What the process holds in memory now.
    pub fn memory_kib(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("its status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("its memory");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// Ends the process with no word.
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

    /// Waits for a line of the log that holds this.
    pub fn logged(&self, text: &str) -> String {
        let begun = Instant::now();
        loop {
            // The node writes a line of figures now and then, so the time for one line is no bound.
            assert!(begun.elapsed() < PEER_TIMEOUT, "no line with {text:?}");
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

    /// Puts another text in place of the configuration and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.file, config).expect("the configuration is written");
        self.signal("HUP");
    }

    /// Stops the process until what this returns is dropped: all that is done meanwhile comes to it in one turn.
    pub fn stopped(&self) -> Stopped<'_> {
        self.signal("STOP");
        Stopped(self)
    }

    fn signal(&self, name: &str) {
        let kill = Command::new("sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
        assert!(kill.expect("a shell").success());
    }

    pub fn wait(&mut self) -> ExitStatus {
        let begun = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("its state") {
                return status;
            }
            assert!(begun.elapsed() < PEER_TIMEOUT, "the node does not end");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("its state").is_none()
    }
}

/// A node that does not run.
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
