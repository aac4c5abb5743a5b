//! Runs the adapter as a process.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter with this input until it exits.
pub fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // At invalid input the adapter exits without reading the rest.
    let _ = child.stdin.take().expect("standard input is piped").write_all(input);
    child.wait_with_output().expect("the adapter exits at the end of its input")
}
