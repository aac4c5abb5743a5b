//! A machine of each class as the deploy file starts it: the roles as real processes, with stand-ins for the
//! platform and a backend.
//!
//! `DEPLOY_ROOT` names a clone in which the deploy file's build was run; its programs are started then. Without
//! it, the program of this package is.

use fleet_demo::loopback_block::{BlockReservation, LoopbackBlock};
use serde::Deserialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

/// How long a test waits for a line, a response or an end.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// The roles, by their names in the deploy file.
pub const ROLES: [&str; 3] = ["coordinator", "agent", "data-plane"];
/// The variables that the platform passes on to a process.
const PASSED_VARIABLES: [&str; 3] = ["PATH", "HOME", "LANG"];

const FRONTEND_PORT: u16 = 8662;
const READINESS_PORT: u16 = 8663;
const CONTROL_PORT: u16 = 8665;
const INTERNAL_PORTS: [u16; 2] = [7340, 7355];

#[derive(Deserialize)]
struct DeployFile {
    roles: BTreeMap<String, DeployedRole>,
}

#[derive(Deserialize)]
struct DeployedRole {
    run: String,
    metrics: String,
}

/// The deploy file, and where its programs are.
struct Deployment {
    root: PathBuf,
    program: Option<PathBuf>,
    file: DeployFile,
}

impl Deployment {
    fn load() -> Self {
        let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        let built = std::env::var_os("DEPLOY_ROOT").map(PathBuf::from);
        let program = built.is_none().then(|| env!("CARGO_BIN_EXE_marlwinch-roles").into());
        let root = built.unwrap_or(sources);
        let text = std::fs::read_to_string(root.join("deploy/system.toml")).expect("the deploy file");
        Deployment { root, program, file: toml::from_str(&text).expect("a deploy file") }
    }

    /// The command of a role, with the variables that the platform sets.
    fn command(&self, role: &str, settings: &Path) -> Command {
        let mut words = self.file.roles[role].run.split(' ');
        let program = self.root.join(words.next().expect("a program"));
        let mut command = Command::new(self.program.as_ref().unwrap_or(&program));
        command.args(words).current_dir(&self.root).env_clear().env("MARLWINCH_NODE_FILE", settings);
        let passed = PASSED_VARIABLES.iter().filter_map(|name| Some((name, std::env::var_os(name)?)));
        command.envs(passed);
        command
    }
}

/// A coordinator's machine and a frontend with addresses of their own, a platform and a backend.
pub struct Fleet {
    deployment: Deployment,
    folder: tempfile::TempDir,
    platform: SocketAddr,
    block: LoopbackBlock,
    _reservation: BlockReservation,
}

impl Fleet {
    /// A fleet of which no role runs yet.
    pub fn new() -> Self {
        static STARTED: AtomicU32 = AtomicU32::new(0);
        let number =
            std::process::id().wrapping_mul(16).wrapping_add(STARTED.fetch_add(1, Ordering::Relaxed));
        let (block, reservation) = LoopbackBlock::reserve(number, |_| []).expect("a block of addresses");
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::create_dir(folder.path().join("data")).expect("a data folder");
        let backend = serve(|head| {
            let id = head.lines().find_map(|line| line.strip_prefix("x-request-id: ")).unwrap_or_default();
            (format!("x-request-id: {id}\r\nx-response-signature: i-1.{id}\r\n"), "ran".into())
        });
        let list = json!({"instances": [{"instance_id": "i-1", "service": "service", "zone": "zone",
            "address": backend.to_string(), "generation": "v1", "slots": 64, "state": "ready",
            "cold_remaining_ms": 0}], "next_page_token": null});
        let platform = serve(move |_| ("content-type: application/json\r\n".into(), list.to_string()));
        let fleet =
            Fleet { deployment: Deployment::load(), folder, platform, block, _reservation: reservation };
        for role in ROLES {
            fleet.write_settings(role);
        }
        fleet
    }

    /// The address of a role's machine. Agent and data plane run on one.
    pub fn ip(&self, role: &str) -> Ipv4Addr {
        self.block.ip(if role == "coordinator" { 1 } else { 2 })
    }

    /// The address for clients.
    pub fn frontend(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip("data-plane"), FRONTEND_PORT)
    }

    /// The address for the platform's readiness checks.
    pub fn readiness(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip("data-plane"), READINESS_PORT)
    }

    /// The address for the operator.
    pub fn control(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip("coordinator"), CONTROL_PORT)
    }

    /// The address at which a role listens for connections from others, and where it serves its metrics.
    pub fn internal(&self, role: &str) -> SocketAddrV4 {
        match role {
            "coordinator" => SocketAddrV4::new(self.ip(role), INTERNAL_PORTS[0]),
            "agent" => SocketAddrV4::new(self.ip(role), INTERNAL_PORTS[0] + 1),
            _ => self.frontend(),
        }
    }

    /// The address and the path of a role's metrics.
    pub fn metrics(&self, role: &str) -> (SocketAddrV4, String) {
        let (port, path) = self.deployment.file.roles[role].metrics.split_once('/').expect("PORT/PATH");
        (SocketAddrV4::new(self.ip(role), port.parse().expect("a port")), format!("/{path}"))
    }

    /// The path of a role's settings file.
    pub fn settings_file(&self, role: &str) -> PathBuf {
        self.folder.path().join(format!("{role}.yaml"))
    }

    /// The settings of a role, as JSON, which is YAML as well.
    pub fn settings(&self, role: &str) -> serde_json::Value {
        let mut settings = json!({"node_name": format!("node-{role}"), "zone": "zone", "ip": self.ip(role),
            "internal_port_range": INTERNAL_PORTS, "seed_nodes": [self.control()], "bootstrap": true,
            "limits": {"cpu_share": 1.0, "cores": 1, "memory_mb": 256, "max_fds": 1024},
            "fault_tolerance": {"machines": 0}, "bounds": {"grace_s": 2},
            "cloud_api": {"address": self.platform.to_string(), "rate_per_s": 40.0, "lag_ms": 100}});
        if role == "coordinator" {
            settings["data_dir"] = json!(self.folder.path().join("data"));
            settings["listen"] = json!({"control": self.control()});
        } else {
            settings["listen"] = json!({"frontend": self.frontend(), "readiness": self.readiness()});
        }
        settings
    }

    /// Writes a role's settings file, as the platform does: whole or not at all.
    pub fn write_settings(&self, role: &str) {
        let draft = self.folder.path().join("draft");
        std::fs::write(&draft, self.settings(role).to_string()).expect("written");
        std::fs::rename(draft, self.settings_file(role)).expect("renamed");
    }

    /// Starts a role.
    pub fn start(&self, role: &'static str) -> RoleProcess {
        RoleProcess::start(role, self.deployment.command(role, &self.settings_file(role)))
    }

    /// Starts a role that may have this many descriptors open at a time.
    pub fn start_with_descriptors(&self, role: &'static str, descriptors: u32) -> RoleProcess {
        let command = self.deployment.command(role, &self.settings_file(role));
        let mut limited = Command::new("/bin/sh");
        limited.args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\" \"$@\"")]);
        limited.arg(command.get_program()).args(command.get_args()).env_clear();
        limited.current_dir(command.get_current_dir().expect("a folder"));
        limited.envs(command.get_envs().filter_map(|(name, value)| Some((name, value?))));
        RoleProcess::start(role, limited)
    }

    /// Starts all roles, sends a configuration, and returns once the frontend serves by it.
    pub fn start_all(&self) -> [RoleProcess; 3] {
        let mut processes = ROLES.map(|role| self.start(role));
        let reply = self.configure();
        assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
        processes[2].wait_for_line("is active");
        processes[2].wait_for_line("first backend list");
        processes
    }

    /// Sends the configuration until a coordinator accepts it.
    fn configure(&self) -> String {
        let document =
            json!({"generation": 1, "services": [{"name": "service", "health_check_path": "/health",
                "max_connections": 100, "protocol": "h1", "tls": false}],
            "routes": [{"name": "all", "hostname": "one.example", "path_prefix": "/", "route_type": "safe",
                "timeout_ms": 5000, "target_latency_ms": 500, "priority": 1, "service": "service",
                "max_attempts": 2, "public": true}],
            "tenants": [], "limits": {"max_header_bytes": 16_384, "max_body_bytes": 1_048_576,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15_000}})
            .to_string();
        let request = format!(
            "POST /api/Config.Replace HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{document}",
            document.len()
        );
        let started = Instant::now();
        loop {
            let reply = exchange(self.control(), &request).unwrap_or_default();
            if reply.starts_with("HTTP/1.1 200") || started.elapsed() > PATIENCE {
                return reply;
            }
            thread::yield_now();
        }
    }

    /// A client's request to the frontend. Returns the response.
    pub fn request(&self) -> String {
        get(self.frontend(), "/a").expect("a response")
    }
}

/// Answers each request with 200 and what `respond` makes of its head: fields and a body. Returns the address.
fn serve(respond: impl Fn(&str) -> (String, String) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let respond = respond.clone();
            thread::spawn(move || respond_to_all(stream, respond));
        }
    });
    address
}

/// Answers the requests of one connection, which have no bodies, until it ends.
fn respond_to_all(stream: TcpStream, respond: impl Fn(&str) -> (String, String)) {
    let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
    let mut writer = stream;
    let mut head = String::new();
    loop {
        match reader.read_line(&mut head) {
            Ok(1..) if !head.ends_with("\r\n\r\n") => continue,
            Ok(1..) => {}
            _ => return,
        }
        let (fields, body) = respond(&std::mem::take(&mut head).to_lowercase());
        let reply = format!("HTTP/1.1 200 OK\r\n{fields}content-length: {}\r\n\r\n{body}", body.len());
        if writer.write_all(reply.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends a request that closes its connection, and returns the complete response.
fn exchange(address: SocketAddrV4, request: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(request.as_bytes())?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply)?;
    Ok(reply)
}

/// Sends a GET and returns the complete response.
pub fn get(address: SocketAddrV4, path: &str) -> std::io::Result<String> {
    let head = "Host: one.example\r\nX-Request-Id: r-1\r\nX-Deadline-Ms: 5000\r\nConnection: close\r\n\r\n";
    exchange(address, &format!("GET {path} HTTP/1.1\r\n{head}"))
}

/// The process of a role and the lines of its log. It is killed when dropped.
pub struct RoleProcess {
    /// The name of the role.
    pub role: &'static str,
    child: Child,
    lines: Receiver<String>,
    received: Vec<String>,
}

impl RoleProcess {
    fn start(role: &'static str, mut command: Command) -> Self {
        let command = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap_or_else(|error| panic!("{role} does not start: {error}"));
        let (sender, lines) = channel();
        follow(child.stdout.take().expect("a stream"), sender.clone());
        follow(child.stderr.take().expect("a stream"), sender);
        RoleProcess { role, child, lines, received: Vec::new() }
    }

    /// Waits for a line of the log that contains this text.
    pub fn wait_for_line(&mut self, text: &str) -> String {
        let started = Instant::now();
        loop {
            if let Some(line) = self.received.iter().find(|line| line.contains(text)) {
                return line.clone();
            }
            match self.lines.recv_timeout(PATIENCE.saturating_sub(started.elapsed())) {
                Ok(line) => self.received.push(line),
                Err(error) => {
                    panic!("{}: no line with {text:?}: {error}; received {:#?}", self.role, self.received)
                }
            }
        }
    }

    /// Forgets the lines received so far.
    pub fn forget_lines(&mut self) {
        self.received.clear();
        self.lines.try_iter().for_each(drop);
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let kill = Command::new("sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
        assert!(kill.expect("a shell").success());
    }

    /// Asserts that the process still runs.
    pub fn assert_runs(&mut self) {
        if let Some(status) = self.child.try_wait().expect("a status") {
            self.received.extend(self.lines.iter());
            panic!("{} ended by itself: {status}; its log: {:#?}", self.role, self.received);
        }
    }

    /// Waits for the end of the process. Returns its status and the lines of its log.
    pub fn wait_for_end(mut self) -> (ExitStatus, Vec<String>) {
        // The streams end with the process.
        let started = Instant::now();
        loop {
            match self.lines.recv_timeout(PATIENCE.saturating_sub(started.elapsed())) {
                Ok(line) => self.received.push(line),
                Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => break,
                Err(error) => panic!("{} does not end: {error}; its log: {:#?}", self.role, self.received),
            }
        }
        (self.child.wait().expect("a status"), std::mem::take(&mut self.received))
    }
}

fn follow(stream: impl Read + Send + 'static, lines: Sender<String>) {
    thread::spawn(move || {
        for line in BufReader::new(stream).lines() {
            let Ok(line) = line else { return };
            let _ = lines.send(line);
        }
    });
}

impl Drop for RoleProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
