//! Golden files of the platform's node: compares a text with the file of its name below
//! `tests/golden/platform`, byte for byte, and replaces the parts of a process's output that vary.
//!
//! `GOLDEN=write cargo test -p marlwinch --test TEST` writes the files of
//! a test. Without that variable a missing or different file fails the test, with the place of the first
//! difference.
//!
//! Before a text is written or compared, these parts are replaced by fixed words: the time at the beginning
//! of a line of the log by `<time>`, the path of the configuration by `<file>`, loopback ports by `<port>`, a
//! date by `<date>`.
#![allow(dead_code)] // each test file uses its own part of this

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// Asserts that a text is equal to a golden file below `tests/golden/platform`, or writes the file if
/// `GOLDEN` is `write`.
pub fn check(name: &str, text: &str) {
    golden_files::check(&format!("platform/{name}"), text);
}

/// Replaces the digits behind each occurrence of `before` by a word.
pub fn without_digits(text: &str, before: &str, word: &str) -> String {
    let mut pieces = text.split(before);
    let mut out = pieces.next().unwrap_or_default().to_string();
    for piece in pieces {
        let rest = piece.trim_start_matches(|c: char| c.is_ascii_digit());
        let shown = if rest.len() < piece.len() { word } else { "" };
        out += &format!("{before}{shown}{rest}");
    }
    out
}

/// Replaces loopback ports.
pub fn without_ports(text: &str) -> String {
    let text = without_digits(text, "127.0.0.1:", "<port>");
    let text = without_digits(&text, "127.0.0.2:", "<port>");
    without_digits(&text, "marlwinch-127.0.0.1-", "<port>")
}

/// Replaces what varies in a log line: its time, ports, and the path of the configuration.
pub fn log_line(line: &str) -> String {
    let (time, rest) = line.trim_end().split_once(' ').expect("a time");
    assert!(time.parse::<f64>().is_ok(), "a line begins with its time: {line}");
    let words = rest.split(' ').map(|word| {
        let is_file = word.starts_with('/') && word.ends_with(".json:");
        if is_file { "<file>:" } else { word }
    });
    format!("<time> {}", without_ports(&words.collect::<Vec<_>>().join(" ")))
}

/// An HTTP message as received, with its date and ports replaced.
pub fn message(text: &str) -> String {
    let lines = text.split("\r\n").map(|line| if line.starts_with("date: ") { "date: <date>" } else { line });
    without_ports(&lines.collect::<Vec<_>>().join("\n"))
}

/// A unique path for a temporary file or folder.
pub fn own_path(end: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("marlwinch-golden-{}-{number}{end}", std::process::id()))
}

/// The variables that the platform sets.
const VARIABLES: [&str; 6] =
    ["ROUTER_CONFIG", "ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONSOLE", "MARLWINCH_LOG"];

/// What a node says with this configuration and these variables until it listens, which ends it, or has ended
/// by itself.
pub fn startup_log(config: Option<&str>, variables: &[(&str, &str)]) -> String {
    let file = own_path(".json");
    let mut command = Command::new(env!("CARGO_BIN_EXE_marlwinch"));
    for name in VARIABLES {
        command.env_remove(name);
    }
    command.env_remove("TMPDIR");
    if let Some(config) = config {
        std::fs::write(&file, config).expect("the configuration is written");
        command.env("ROUTER_CONFIG", &file);
    }
    command.envs(variables.iter().copied());
    let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn().expect("the node starts");
    let mut output = String::new();
    for line in BufReader::new(child.stderr.take().expect("its log")).lines() {
        let line = line.expect("a line");
        output += &format!("  {}\n", log_line(&line));
        if line.contains(" listens on ") {
            let _ = child.kill();
            break;
        }
    }
    let status = child.wait().expect("it exits");
    let _ = std::fs::remove_file(&file);
    let code = status.code().map_or(String::new(), |code| format!("  code {code}\n"));
    output + &code
}

/// An address where no process listens. A node does not connect to it before it listens itself.
pub fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}
