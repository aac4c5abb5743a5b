//! The command `demo-fleet`: a short run keeps the rules, and nothing is left after a run or an interruption.

mod folder;

use folder::Folder;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::{Mutex, PoisonError};

/// Held by a running test: the tests run one at a time, as each starts eleven processes.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

#[test]
fn a_short_run_keeps_the_rules_and_leaves_no_files() {
    let _lock = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = Folder::new("demo-fleet");
    let ended = Command::new(env!("CARGO_BIN_EXE_marlwinch"))
        .args(["demo-fleet", "--for", "4s", "--rate", "40"])
        .env("TMPDIR", &folder.0)
        .output()
        .expect("the program runs");
    let output = String::from_utf8_lossy(&ended.stdout);
    let errors = String::from_utf8_lossy(&ended.stderr);
    assert_eq!(output.matches("  kept    ").count(), 13, "{output}\n{errors}");
    let wanted = [
        "kill -9",
        "coordinator of core-",
        "agent of frontend-2",
        "drains",
        "chain of",
        "loses prompt block",
        "the index audit reports block",
    ];
    for happened in wanted {
        assert!(output.contains(happened), "{happened}: {output}");
    }
    assert_eq!(ended.status.code(), Some(0), "{output}\n{errors}");
    assert_eq!(std::fs::read_dir(&folder.0).expect("a folder").count(), 0, "it leaves files");
}

#[test]
fn sigint_ends_all_processes_and_leaves_no_files() {
    let _lock = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = Folder::new("demo-fleet-interrupted");
    let mut child = Command::new(env!("CARGO_BIN_EXE_marlwinch"))
        .args(["demo-fleet", "--for", "600s"])
        .env("TMPDIR", &folder.0)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let lines = BufReader::new(child.stdout.take().expect("its output")).lines();
    let mut started = Vec::new();
    for line in lines {
        let line = line.expect("a line");
        if let Some(pid) = line.strip_prefix("  kill -9 ") {
            started.push(pid.split(' ').next().expect("a number").to_string());
        }
        if line.contains("all frontends are ready") {
            let kill = Command::new("sh").args(["-c", &format!("kill -INT {}", child.id())]).status();
            assert!(kill.expect("a shell").success());
        }
    }
    assert_eq!(child.wait().expect("its end").code(), Some(130));
    assert_eq!(started.len(), 11);
    for pid in started {
        assert!(!Path::new("/proc").join(&pid).exists(), "process {pid} is left");
    }
    assert_eq!(std::fs::read_dir(&folder.0).expect("a folder").count(), 0, "it leaves files");
}
