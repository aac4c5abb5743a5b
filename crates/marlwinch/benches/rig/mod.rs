//! Shared by the benchmarks: backends and a minimal proxy as helper processes, nodes, and closed-loop
//! clients.
#![allow(dead_code)] // each benchmark uses only some of these

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

/// Runs as backends or as the minimal proxy if the arguments say that this is a helper process. Returns
/// `false` if not.
pub fn run_as_helper() -> bool {
    let arguments: Vec<String> = std::env::args().collect();
    match arguments.get(1).map(String::as_str) {
        Some("--boxes") => serve_backends(arguments[2].parse().expect("how many")),
        Some("--pass") => {
            run_minimal_proxy(arguments[2..].iter().map(|a| a.parse().expect("an address")).collect())
        }
        _ => return false,
    }
    true
}

fn run_on_one_thread(work: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, work);
}

/// Serves this number of backends, which respond at once with 64 bytes, and prints their addresses.
fn serve_backends(count: usize) {
    run_on_one_thread(async move {
        let mut line = String::new();
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            line += &format!("{} ", listener.local_addr().expect("an address"));
            spawn_local(async move {
                while let Ok((mut stream, _)) = listener.accept().await {
                    let _ = stream.set_nodelay(true);
                    spawn_local(async move {
                        let response = format!(
                            "HTTP/1.1 200 OK\r\nContent-Length: 64\r\nX-Backend-Load: concurrent=0,depth=0\r\n\r\n{}",
                            "x".repeat(64)
                        );
                        let mut buffer = Vec::new();
                        while stream.read_buf(&mut buffer).await.is_ok_and(|n| n > 0) {
                            // Every request of the benchmarks has a body of 4 bytes.
                            if buffer
                                .windows(4)
                                .position(|w| w == b"\r\n\r\n")
                                .is_some_and(|head| buffer.len() >= head + 8)
                            {
                                buffer.clear();
                                if stream.write_all(response.as_bytes()).await.is_err() {
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

/// A minimal proxy for comparison: hyper's server, a connection pool for each backend, round robin, one
/// thread. Prints its address.
fn run_minimal_proxy(backends: Vec<SocketAddr>) {
    type Pool = RefCell<Vec<SendRequest<Full<Bytes>>>>;
    let pools: Rc<Vec<Pool>> = Rc::new(backends.iter().map(|_| RefCell::default()).collect());
    let (backends, next) = (Rc::new(backends), Rc::new(Cell::new(0)));
    run_on_one_thread(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        println!("{}", listener.local_addr().expect("an address"));
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let (pools, backends, next) = (pools.clone(), backends.clone(), next.clone());
            let service = service_fn(move |request: Request<hyper::body::Incoming>| {
                let (pools, backends, next) = (pools.clone(), backends.clone(), next.clone());
                async move {
                    let (head, body) = request.into_parts();
                    let body = body.collect().await.expect("a body").to_bytes();
                    let at = next.get() % backends.len();
                    next.set(at + 1);
                    let idle = pools[at].borrow_mut().pop();
                    let mut sender = match idle {
                        Some(sender) if !sender.is_closed() => sender,
                        _ => {
                            let stream =
                                tokio::net::TcpStream::connect(backends[at]).await.expect("a backend");
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
                    let response = sender.send_request(Request::from_parts(head, Full::new(body))).await;
                    let (head, body) = response.expect("a response").into_parts();
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

/// A process of a benchmark. It is killed when dropped.
pub struct HelperProcess {
    child: Child,
    pub addresses: Vec<SocketAddr>,
}

impl Drop for HelperProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl HelperProcess {
    /// Starts this program with arguments that make it a helper process, and reads the addresses that it
    /// prints.
    fn start(arguments: &[String]) -> HelperProcess {
        let mut command = Command::new(std::env::current_exe().expect("this program"));
        let mut child = command.args(arguments).stdout(Stdio::piped()).spawn().expect("it starts");
        let mut line = String::new();
        let mut out = BufReader::new(child.stdout.take().expect("its output"));
        out.read_line(&mut line).expect("its addresses");
        let addresses = line.split_whitespace().map(|a| a.parse().expect("an address")).collect();
        HelperProcess { child, addresses }
    }
    pub fn backends(count: usize) -> HelperProcess {
        HelperProcess::start(&["--boxes".into(), count.to_string()])
    }
    pub fn minimal_proxy(backends: &[SocketAddr]) -> HelperProcess {
        let backends = backends.iter().map(SocketAddr::to_string);
        HelperProcess::start(&std::iter::once("--pass".to_string()).chain(backends).collect::<Vec<_>>())
    }
    /// Starts a node and reads its address from its log.
    pub fn node(mut command: Command) -> HelperProcess {
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the node starts");
        let mut log = BufReader::new(child.stderr.take().expect("its log"));
        let mut line = String::new();
        while !line.contains("listens on") {
            line.clear();
            assert!(log.read_line(&mut line).is_ok_and(|n| n > 0), "the node does not listen");
        }
        let address = line.split("listens on ").nth(1).and_then(|rest| rest.split(": ").next()?.parse().ok());
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        HelperProcess { child, addresses: vec![address.expect("its address")] }
    }
    /// Starts a node with a configuration file that lists these backends.
    pub fn file_node(backends: &[SocketAddr]) -> HelperProcess {
        let mut text = String::from(
            "[node]\nsockets = 8192\nmemory = \"1GiB\"\n[[listener]]\naddress = \"127.0.0.1:0\"\n",
        );
        text += "[[cluster]]\nname = \"tally\"\n";
        for (i, address) in backends.iter().enumerate() {
            text += &format!("[[cluster.box]]\nname = \"b{i}\"\naddress = \"{address}\"\nzone = \"east\"\n");
        }
        text += "[[class]]\nname = \"c\"\nrepeat = \"unsafe\"\ntime = \"1s\"\n";
        // Other routes, which no request matches.
        for n in 0..50 {
            text +=
                &format!("[[route]]\ntemplate = \"/other{n}/{{a}}\"\nclass = \"c\"\ncluster = \"tally\"\n");
        }
        text += "[[route]]\ntemplate = \"/correct/{station}\"\nclass = \"c\"\ncluster = \"tally\"\nsubject = \"station\"\n";
        let path = std::env::temp_dir().join(format!("marlwinch-bench-{}.toml", std::process::id()));
        std::fs::write(&path, text).expect("the file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_marlwinch"));
        command.arg("run").arg(&path);
        let node = HelperProcess::node(command);
        let _ = std::fs::remove_file(path);
        node
    }
    /// Starts the platform's node with these backends.
    pub fn platform_node(backends: &[SocketAddr]) -> HelperProcess {
        let entry = |(i, address): (usize, &SocketAddr)| {
            serde_json::json!({"instanceId": format!("b{i}"), "hostPort": address.to_string(), "zone": "east",
                "machineType": "m1", "cell": 1, "lifecycle": "in_service", "weight": 1.0, "startedAtMs": 0})
        };
        let instances: Vec<_> = backends.iter().enumerate().map(entry).collect();
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
        let node = HelperProcess::node(command);
        let _ = std::fs::remove_file(path);
        // It waits for the first message of discovery, but not longer than this.
        std::thread::sleep(Duration::from_millis(700));
        node
    }
    /// The CPU time of the process so far, in microseconds. Linux counts it in ticks of 10 ms.
    fn cpu_us(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let after = stat.rsplit(')').next().unwrap_or_default();
        let field =
            |n: usize| after.split_whitespace().nth(n).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
        (field(11) + field(12)) * 10_000.0
    }
    /// The resident memory of the process in MiB.
    pub fn resident_mib(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|kib| kib.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
    }
    /// Sends requests on this number of connections, each as soon as the previous one has its response.
    pub fn closed_loop(&self, clients: usize, length: Duration) -> Round {
        let (address, cpu_before) = (self.addresses[0], self.cpu_us());
        let threads: Vec<_> = (0..clients)
            .map(|client| std::thread::spawn(move || client_loop(address, client, length)))
            .collect();
        let (mut times, mut rejected) = (Vec::new(), 0);
        for thread in threads {
            let (client_times, client_rejected) = thread.join().expect("a client");
            times.extend(client_times);
            rejected += client_rejected;
        }
        let cpu = (self.cpu_us() - cpu_before) / times.len().max(1) as f64;
        times.sort_by(f64::total_cmp);
        let at =
            |quantile: f64| times.get((times.len() as f64 * quantile) as usize).copied().unwrap_or(f64::NAN);
        Round { rate: times.len() as f64 / length.as_secs_f64(), cpu, p50: at(0.5), p99: at(0.99), rejected }
    }
}

/// The result of a round. Times are in microseconds; the CPU time is per request.
#[derive(Clone, Copy, Debug)]
pub struct Round {
    pub rate: f64,
    pub cpu: f64,
    pub p50: f64,
    pub p99: f64,
    pub rejected: usize,
}

fn client_loop(address: SocketAddr, client: usize, length: Duration) -> (Vec<f64>, usize) {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let _ = stream.set_nodelay(true);
    let (mut times, mut buffer, started, mut number, mut rejected) =
        (Vec::new(), Vec::new(), Instant::now(), 0, 0);
    while started.elapsed() < length {
        number += 1;
        let request = format!(
            "POST /correct/7f3a HTTP/1.1\r\nHost: t\r\nX-Correlation-Id: {client}-{number}\r\nContent-Length: 4\r\n\r\nbody"
        );
        let sent = Instant::now();
        stream.write_all(request.as_bytes()).expect("sent");
        read_message(&mut stream, &mut buffer);
        // A node that has just started rejects requests until its concurrency limits have adapted.
        if buffer.starts_with(b"HTTP/1.1 503") {
            rejected += 1;
            continue;
        }
        assert!(buffer.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&buffer));
        times.push(sent.elapsed().as_secs_f64() * 1e6);
    }
    (times, rejected)
}

/// Reads an HTTP message whose body, if any, has a `Content-Length`.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) {
    buffer.clear();
    let mut chunk = [0; 2048];
    loop {
        let n = stream.read(&mut chunk).expect("a response");
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

pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}
