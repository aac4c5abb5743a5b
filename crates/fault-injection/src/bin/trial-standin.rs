//! A program for the tests of this package. With the argument `keep` it is the supervisor of a process;
//! otherwise it is a minimal proxy node that violates exactly one rule, which the environment variable
//! `CULPRIT` selects. The node reads the platform's configuration and forwards requests to the backends in
//! turn, without balancing load.
#![forbid(unsafe_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One of this number of requests is handled wrongly.
const FAULT_INTERVAL: u64 = 10;
/// How long after its start a node with [`Misbehaviour::FailAfterAWhile`] begins to fail requests.
const FAILS_AFTER: Duration = Duration::from_secs(2);
/// How long a node that does not respond keeps the connection open.
const SILENCE: Duration = Duration::from_secs(5);
/// The delay of a node that forwards late: longer than the clients wait.
const LATENESS: Duration = Duration::from_millis(2500);
/// The number of additional connections that a node with bursts opens for a request.
const BURST: usize = 20;

/// How a node misbehaves.
#[derive(Clone, Copy, PartialEq)]
enum Misbehaviour {
    None,
    /// Sends all requests to one backend.
    OverloadOne,
    /// Does not respond.
    Silent,
    /// Closes without a response.
    CloseEarly,
    /// Forwards a request after its client has timed out.
    ForwardLate,
    /// Forwards a request to two backends.
    ForwardTwice,
    /// Rejects a request that it has forwarded.
    RejectExecuted,
    /// Opens many connections at once.
    ConnectionBurst,
    /// Opens connections that it never closes.
    LeakConnections,
    /// Fails all requests some time after its start.
    FailAfterAWhile,
    /// Sends bytes after a response.
    ExtraData,
}

impl Misbehaviour {
    /// The misbehaviour that a value of `CULPRIT` selects; none for unknown values.
    fn from_name(name: &str) -> Self {
        match name {
            "cold" => Misbehaviour::OverloadOne,
            "silent" => Misbehaviour::Silent,
            "lost" => Misbehaviour::CloseEarly,
            "late" => Misbehaviour::ForwardLate,
            "twice" => Misbehaviour::ForwardTwice,
            "refused" => Misbehaviour::RejectExecuted,
            "herd" => Misbehaviour::ConnectionBurst,
            "leak" => Misbehaviour::LeakConnections,
            "sulk" => Misbehaviour::FailAfterAWhile,
            "extra" => Misbehaviour::ExtraData,
            _ => Misbehaviour::None,
        }
    }
}

struct FaultyNode {
    misbehaviour: Misbehaviour,
    backends: Vec<SocketAddr>,
    requests: AtomicU64,
    started_at: Instant,
    /// The connections that are never closed.
    leaked: Mutex<Vec<TcpStream>>,
}

/// A request or a response.
struct Message {
    head: String,
    body: Vec<u8>,
}

fn read_message(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    });
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(Message { head, body })
}

fn respond(client: &mut BufReader<TcpStream>, status: &str, body: &[u8]) -> Option<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    client.get_mut().write_all(&bytes).ok()
}

impl FaultyNode {
    /// Connects to the backend that the number of a request selects.
    fn connect(&self, number: u64) -> Option<TcpStream> {
        let address = match self.misbehaviour {
            Misbehaviour::OverloadOne => self.backends[0],
            _ => self.backends[number as usize % self.backends.len()],
        };
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    /// Forwards a request and returns the response; `None` if the backend can't be reached or does not
    /// respond.
    fn forward(&self, number: u64, request: &[u8]) -> Option<Message> {
        let mut stream = self.connect(number)?;
        stream.write_all(request).ok()?;
        read_message(&mut BufReader::new(stream))
    }

    /// Serves the requests of one connection. Returns `None` when the connection ends.
    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut client = BufReader::new(stream);
        loop {
            let Message { head, body } = read_message(&mut client)?;
            if head.starts_with("GET /ready ") {
                respond(&mut client, "200 OK", b"ready")?;
                continue;
            }
            let number = self.requests.fetch_add(1, Ordering::Relaxed);
            let is_faulty = number % FAULT_INTERVAL == FAULT_INTERVAL - 1;
            let request = [head.as_bytes(), &body].concat();
            if self.misbehave(&mut client, number, is_faulty, &request)? == Progress::Responded {
                continue;
            }
            match self.forward(number, &request) {
                Some(response) => respond(&mut client, "200 OK", &response.body)?,
                None => respond(&mut client, "502 Bad Gateway", b"")?,
            }
            if self.misbehaviour == Misbehaviour::ExtraData && is_faulty {
                client.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").ok()?;
            }
        }
    }

    /// Misbehaves before a request is forwarded. `None` closes the connection.
    fn misbehave(
        &self,
        client: &mut BufReader<TcpStream>,
        number: u64,
        is_faulty: bool,
        request: &[u8],
    ) -> Option<Progress> {
        let has_effect = request.starts_with(b"POST");
        match self.misbehaviour {
            Misbehaviour::Silent if is_faulty => {
                std::thread::sleep(SILENCE);
                return None;
            }
            Misbehaviour::CloseEarly if is_faulty => return None,
            Misbehaviour::ForwardLate if is_faulty && has_effect => {
                std::thread::sleep(LATENESS);
                self.forward(number, request);
                return None;
            }
            Misbehaviour::ForwardTwice if is_faulty && has_effect => {
                drop(self.forward(number + 1, request));
            }
            Misbehaviour::RejectExecuted if is_faulty && has_effect => {
                self.forward(number, request);
                respond(client, "503 Service Unavailable", b"")?;
                return Some(Progress::Responded);
            }
            Misbehaviour::ConnectionBurst => {
                let burst: Vec<_> = (0..BURST).filter_map(|_| self.connect(number)).collect();
                drop(burst);
            }
            Misbehaviour::LeakConnections => {
                let stream = self.connect(number)?;
                self.leaked.lock().ok()?.push(stream);
            }
            Misbehaviour::FailAfterAWhile if self.started_at.elapsed() > FAILS_AFTER => {
                respond(client, "500 Internal Server Error", b"")?;
                return Some(Progress::Responded);
            }
            _ => {}
        }
        Some(Progress::NotForwarded)
    }
}

/// Whether the misbehaviour of the node has already responded to a request.
#[derive(PartialEq)]
enum Progress {
    NotForwarded,
    Responded,
}

fn run_node() -> Result<(), Box<dyn std::error::Error>> {
    let text = std::fs::read_to_string(std::env::var("ROUTER_CONFIG")?)?;
    let config: serde_json::Value = serde_json::from_str(&text)?;
    let listener = TcpListener::bind(config["listen"].as_str().ok_or("the configuration has no `listen`")?)?;
    let endpoints =
        config["known"]["instances"].as_array().ok_or("the configuration has no list of instances")?;
    let backends = endpoints.iter().filter_map(|entry| entry["hostPort"].as_str()?.parse().ok()).collect();
    let node = Arc::new(FaultyNode {
        misbehaviour: Misbehaviour::from_name(&std::env::var("CULPRIT").unwrap_or_default()),
        backends,
        requests: AtomicU64::new(0),
        started_at: Instant::now(),
        leaked: Mutex::default(),
    });
    eprintln!("{} listens on {}: a test node", config["name"], listener.local_addr()?);
    for stream in listener.incoming() {
        let (stream, node) = (stream?, node.clone());
        std::thread::spawn(move || node.serve(stream));
    }
    Ok(())
}

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    if arguments.next().is_some_and(|word| word == "keep") {
        return match arguments.next() {
            Some(program) => fault_injection::supervisor::supervise(&program, &arguments.collect::<Vec<_>>()),
            None => ExitCode::from(2),
        };
    }
    match run_node() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
