//! What the side-by-side measurements share: boxes and a bare pass-through as processes of their own, nodes, and clients
//! that send as fast as they get answers.
#![allow(dead_code)] // each measurement uses its own part of this

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

/// Which part this process plays, if it was started as one.
pub fn play_a_part() -> bool {
    let arguments: Vec<String> = std::env::args().collect();
    match arguments.get(1).map(String::as_str) {
        Some("--boxes") => boxes(arguments[2].parse().expect("how many")),
        Some("--pass") => pass(arguments[2..].iter().map(|a| a.parse().expect("an address")).collect()),
        _ => return false,
    }
    true
}

fn on_one_thread(work: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, work);
}

/// So many boxes that answer at once with 64 bytes; prints their addresses.
fn boxes(count: usize) {
    on_one_thread(async move {
        let mut line = String::new();
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            line += &format!("{} ", listener.local_addr().expect("an address"));
            spawn_local(async move {
                while let Ok((mut stream, _)) = listener.accept().await {
                    let _ = stream.set_nodelay(true);
                    spawn_local(async move {
                        let answer = format!(
                            "HTTP/1.1 200 OK\r\nContent-Length: 64\r\nX-Backend-Load: concurrent=0,depth=0\r\n\r\n{}",
                            "x".repeat(64)
                        );
                        let mut buffer = Vec::new();
                        while stream.read_buf(&mut buffer).await.is_ok_and(|n| n > 0) {
                            // Every request of the measurements has a body of four bytes.
                            if buffer
                                .windows(4)
                                .position(|w| w == b"\r\n\r\n")
                                .is_some_and(|head| buffer.len() >= head + 8)
                            {
                                buffer.clear();
                                if stream.write_all(answer.as_bytes()).await.is_err() {
                                    return;
                                }
                            }
                        }
                    });
                }
            });
        }
        println!("{line}");
        std::future::pending::<()>().await;
    });
}

/// The least that a node could do: hyper's server, a pool for each box, one after the other, one thread.
fn pass(boxes: Vec<SocketAddr>) {
    type Pool = RefCell<Vec<SendRequest<Full<Bytes>>>>;
    let pools: Rc<Vec<Pool>> = Rc::new(boxes.iter().map(|_| RefCell::default()).collect());
    let (boxes, next) = (Rc::new(boxes), Rc::new(Cell::new(0)));
    on_one_thread(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        println!("{}", listener.local_addr().expect("an address"));
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let (pools, boxes, next) = (pools.clone(), boxes.clone(), next.clone());
            let service = service_fn(move |request: Request<hyper::body::Incoming>| {
                let (pools, boxes, next) = (pools.clone(), boxes.clone(), next.clone());
                async move {
                    let (head, body) = request.into_parts();
                    let body = body.collect().await.expect("a body").to_bytes();
                    let at = next.get() % boxes.len();
                    next.set(at + 1);
                    let idle = pools[at].borrow_mut().pop();
                    let mut sender = match idle {
                        Some(sender) if !sender.is_closed() => sender,
                        _ => {
                            let stream = tokio::net::TcpStream::connect(boxes[at]).await.expect("a box");
                            let _ = stream.set_nodelay(true);
                            let (sender, connection) =
                                hyper::client::conn::http1::handshake(TokioIo::new(stream))
                                    .await
                                    .expect("up");
                            spawn_local(async move { drop(connection.await) });
                            sender
                        }
                    };
                    sender.ready().await.expect("ready");
                    let answer = sender.send_request(Request::from_parts(head, Full::new(body))).await;
                    let (head, body) = answer.expect("an answer").into_parts();
                    let body = body.collect().await.expect("a body").to_bytes();
                    pools[at].borrow_mut().push(sender);
                    Ok::<_, Infallible>(Response::from_parts(head, Full::new(body)))
                }
            });
            spawn_local(
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service),
            );
        }
    });
}

/// A process of the measurement. It is killed when dropped.
pub struct Part {
    child: Child,
    pub addresses: Vec<SocketAddr>,
}

impl Drop for Part {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Part {
    /// Starts this program as another part, which prints its addresses.
    fn start(arguments: &[String]) -> Part {
        let mut command = Command::new(std::env::current_exe().expect("this program"));
        let mut child = command.args(arguments).stdout(Stdio::piped()).spawn().expect("it starts");
        let mut line = String::new();
        let mut out = BufReader::new(child.stdout.take().expect("its output"));
        out.read_line(&mut line).expect("its addresses");
        let addresses = line.split_whitespace().map(|a| a.parse().expect("an address")).collect();
        Part { child, addresses }
    }
    pub fn boxes(count: usize) -> Part {
        Part::start(&["--boxes".into(), count.to_string()])
    }
    pub fn pass_through(boxes: &[SocketAddr]) -> Part {
        let boxes = boxes.iter().map(SocketAddr::to_string);
        Part::start(&std::iter::once("--pass".to_string()).chain(boxes).collect::<Vec<_>>())
    }
    /// Starts a node, whose log says where it listens.
    pub fn node(mut command: Command) -> Part {
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the node starts");
        let mut log = BufReader::new(child.stderr.take().expect("its log"));
        let mut line = String::new();
        while !line.contains("listens on") {
            line.clear();
            assert!(log.read_line(&mut line).is_ok_and(|n| n > 0), "the node does not listen");
        }
        let address = line.split("listens on ").nth(1).and_then(|rest| rest.split(": ").next()?.parse().ok());
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Part { child, addresses: vec![address.expect("its address")] }
    }
    /// A node from a file with these boxes.
    pub fn file_node(boxes: &[SocketAddr]) -> Part {
        let mut text = String::from(
            "[node]\nsockets = 8192\nmemory = \"1GiB\"\n[[listener]]\naddress = \"127.0.0.1:0\"\n",
        );
        text += "[[cluster]]\nname = \"tally\"\n";
        for (i, address) in boxes.iter().enumerate() {
            text += &format!("[[cluster.box]]\nname = \"b{i}\"\naddress = \"{address}\"\nzone = \"east\"\n");
        }
        text += "[[class]]\nname = \"c\"\nrepeat = \"unsafe\"\ntime = \"1s\"\n";
        // Some routes beside the one that is asked for.
        for n in 0..50 {
            text +=
                &format!("[[route]]\ntemplate = \"/other{n}/{{a}}\"\nclass = \"c\"\ncluster = \"tally\"\n");
        }
        text += "[[route]]\ntemplate = \"/correct/{station}\"\nclass = \"c\"\ncluster = \"tally\"\nsubject = \"station\"\n";
        let path = std::env::temp_dir().join(format!("marlwinch-bench-{}.toml", std::process::id()));
        std::fs::write(&path, text).expect("the file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_marlwinch"));
        command.arg("run").arg(&path);
        let node = Part::node(command);
        let _ = std::fs::remove_file(path);
        node
    }
    /// The platform's node with these boxes.
    pub fn platform_node(boxes: &[SocketAddr]) -> Part {
        let entry = |(i, address): (usize, &SocketAddr)| {
            serde_json::json!({"instanceId": format!("b{i}"), "hostPort": address.to_string(), "zone": "east",
                "machineType": "m1", "cell": 1, "lifecycle": "in_service", "weight": 1.0, "startedAtMs": 0})
        };
        let instances: Vec<_> = boxes.iter().enumerate().map(entry).collect();
        let config = serde_json::json!({"name": "platform", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
            "seed": "1", "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": 8192},
            "known": {"generation": 1, "reset": true, "instances": instances},
            "settings": {"NInstances": 1, "Localities": ["east"], "HostTypes": ["m1"],
                "Classes": [{"Name": "correct", "Target": 1000.0, "GiveUp": 1000.0, "Idempotency": "single_shot"}],
                "LoadReport": {"Columns": ["concurrent", "depth"], "Via": "piggyback"},
                "Permissions": {"AttemptsCap": 3, "Cancel": true, "ConnectTimeout": 250.0, "IdleClose": 15000.0}}});
        let path = std::env::temp_dir().join(format!("marlwinch-bench-{}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).expect("the configuration");
        let mut command = Command::new(env!("CARGO_BIN_EXE_marlwinch"));
        command.env("ROUTER_CONFIG", &path);
        let node = Part::node(command);
        let _ = std::fs::remove_file(path);
        std::thread::sleep(Duration::from_millis(700)); // it waits for discovery's first word
        node
    }
    /// CPU time so far in microseconds, as Linux counts it in ticks of 10 ms.
    fn cpu(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let after = stat.rsplit(')').next().unwrap_or_default();
        let field =
            |n: usize| after.split_whitespace().nth(n).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
        (field(11) + field(12)) * 10_000.0
    }
    /// Resident memory in MiB.
    pub fn resident(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|kib| kib.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
    }
    /// Requests on so many connections, each as soon as the one before has its answer, for a while.
    pub fn closed_loop(&self, clients: usize, length: Duration) -> Round {
        let (address, before) = (self.addresses[0], self.cpu());
        let threads: Vec<_> = (0..clients)
            .map(|client| std::thread::spawn(move || client_loop(address, client, length)))
            .collect();
        let (mut times, mut refused) = (Vec::new(), 0);
        for thread in threads {
            let (its, more) = thread.join().expect("a client");
            times.extend(its);
            refused += more;
        }
        let cpu = (self.cpu() - before) / times.len().max(1) as f64;
        times.sort_by(f64::total_cmp);
        let at =
            |quantile: f64| times.get((times.len() as f64 * quantile) as usize).copied().unwrap_or(f64::NAN);
        Round { rate: times.len() as f64 / length.as_secs_f64(), cpu, p50: at(0.5), p99: at(0.99), refused }
    }
}

/// What a round came to; times in microseconds, CPU for each request.
#[derive(Clone, Copy, Debug)]
pub struct Round {
    pub rate: f64,
    pub cpu: f64,
    pub p50: f64,
    pub p99: f64,
    pub refused: usize,
}

fn client_loop(address: SocketAddr, client: usize, length: Duration) -> (Vec<f64>, usize) {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let _ = stream.set_nodelay(true);
    let (mut times, mut buffer, begun, mut number, mut refused) =
        (Vec::new(), Vec::new(), Instant::now(), 0, 0);
    while begun.elapsed() < length {
        number += 1;
        let request = format!(
            "POST /correct/7f3a HTTP/1.1\r\nHost: t\r\nX-Correlation-Id: {client}-{number}\r\nContent-Length: 4\r\n\r\nbody"
        );
        let sent = Instant::now();
        stream.write_all(request.as_bytes()).expect("sent");
        read_message(&mut stream, &mut buffer);
        // A node that has just started refuses until it has learnt how crowded boxes may be.
        if buffer.starts_with(b"HTTP/1.1 503") {
            refused += 1;
            continue;
        }
        assert!(buffer.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&buffer));
        times.push(sent.elapsed().as_secs_f64() * 1e6);
    }
    (times, refused)
}

/// Reads a message of a head and a body with a length.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) {
    buffer.clear();
    let mut chunk = [0; 2048];
    loop {
        let n = stream.read(&mut chunk).expect("an answer");
        assert!(n > 0, "the connection ends");
        buffer.extend_from_slice(&chunk[..n]);
        let Some(head) = buffer.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
        let text = String::from_utf8_lossy(&buffer[..head]).to_ascii_lowercase();
        let length = text.split("content-length: ").nth(1).and_then(|t| t.lines().next()?.parse().ok());
        if buffer.len() >= head + 4 + length.unwrap_or(0) {
            return;
        }
    }
}

pub fn median(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of.get(of.len() / 2).copied().unwrap_or(f64::NAN)
}
