//! A first example: starts three small backends and a node with `deploy/example.toml` on free ports, and
//! sends one request of each class through the node. Ends by itself and leaves no files.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};

/// A running node. When dropped, the node is killed and its file is removed.
struct RunningNode {
    node: Child,
    file: PathBuf,
}

impl Drop for RunningNode {
    fn drop(&mut self) {
        let _ = self.node.kill();
        let _ = self.node.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Starts a backend that responds with its name and the request line.
fn start_backend(name: String) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let name = name.clone();
            std::thread::spawn(move || serve(&name, stream));
        }
    });
    Ok(address)
}

fn serve(name: &str, stream: TcpStream) -> std::io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    loop {
        let (request_line, length) = read_head(&mut input)?;
        input.read_exact(&mut vec![0; length])?;
        let body = format!("{name} ran {}", request_line.trim_end().trim_end_matches(" HTTP/1.1"));
        write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
    }
}

/// Reads the head of an HTTP message. Returns its first line and the length of its body.
fn read_head(input: &mut impl BufRead) -> std::io::Result<(String, usize)> {
    let (mut first, mut length) = (String::new(), 0);
    if input.read_line(&mut first)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    loop {
        let mut line = String::new();
        input.read_line(&mut line)?;
        match line.trim().split_once(':') {
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.trim().parse().unwrap_or(0);
            }
            Some(_) => {}
            None => return Ok((first, length)),
        }
    }
}

/// The path of the program `marlwinch` beside this example. Builds it if it is missing.
fn program() -> std::io::Result<PathBuf> {
    let example = std::env::current_exe()?;
    let folder = example.parent().and_then(Path::parent).ok_or(std::io::ErrorKind::NotFound)?;
    let program = folder.join("marlwinch");
    if !program.exists() {
        let mut build = Command::new(std::env::var_os("CARGO").unwrap_or("cargo".into()));
        build.args(["build", "--quiet", "--bin", "marlwinch"]);
        if folder.ends_with("release") {
            build.arg("--release");
        }
        build.status()?;
    }
    Ok(program)
}

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/example.toml");
    let mut text = std::fs::read_to_string(&example)?.replace("127.0.0.1:8080", "127.0.0.1:0");
    for number in 1..=3 {
        let address = start_backend(format!("box-{number}"))?;
        text = text.replace(&format!("127.0.0.1:900{number}"), &address.to_string());
    }
    let file = std::env::temp_dir().join(format!("marlwinch-first-{}.toml", std::process::id()));
    std::fs::write(&file, text)?;
    let node = Command::new(program()?).arg("run").arg(&file).stderr(Stdio::piped()).spawn()?;
    let mut running = RunningNode { node, file };
    let log = running.node.stderr.take().ok_or("standard error of the node is not piped")?;
    let mut lines = BufReader::new(log).lines();
    let address: SocketAddr = loop {
        let line = lines.next().ok_or("the node exited before it listened")??;
        println!("node: {line}");
        if let Some((_, rest)) = line.split_once("listens on ") {
            break rest.split(": ").next().unwrap_or(rest).parse()?;
        }
    };
    for (method, path, header) in [
        ("GET", "/tally/7f3a", ""),
        ("POST", "/tally-submit/7f3a", "Idempotency-Key: sheet-1\r\n"),
        ("POST", "/tally-correct/7f3a", ""),
    ] {
        let mut client = TcpStream::connect(address)?;
        let length = if method == "POST" { "Content-Length: 0\r\n" } else { "" };
        write!(client, "{method} {path} HTTP/1.1\r\nHost: {address}\r\n{header}{length}\r\n")?;
        let mut input = BufReader::new(client);
        let (status, length) = read_head(&mut input)?;
        let mut body = vec![0; length];
        input.read_exact(&mut body)?;
        println!("{method} {path}: {} {}", status.trim_end(), String::from_utf8_lossy(&body));
        if !status.contains(" 200 ") {
            return Err(format!("{method} {path}: status {}", status.trim_end()).into());
        }
    }
    println!(
        "next: marlwinch check deploy/example.toml; marlwinch explain deploy/example.toml GET /tally/7f3a"
    );
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("first-request: {error}");
            ExitCode::FAILURE
        }
    }
}
