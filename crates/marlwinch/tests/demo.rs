//! The commands `demo` and `load`. They are in a test file of their own, as other tests would disturb their
//! timing.

mod backends;
mod folder;

use backends::Backends;
use folder::Folder;
use std::io::{BufRead, BufReader};
use std::process::{Command, Output, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Held by a running test: the tests run one at a time, as each needs the whole machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marlwinch"));
    command.env("NO_COLOR", "1");
    command
}

fn load(arguments: &[&str]) -> (Option<i32>, String, String) {
    let Output { status, stdout, stderr } =
        program().arg("load").args(arguments).output().expect("the program runs");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (status.code(), text(stdout), text(stderr))
}

/// Starts a backend that runs until the end of the test, and returns its address.
fn start_target(script: &str) -> String {
    Backends::start(script).addresses[0].to_string()
}

#[test]
fn demo_keeps_the_four_rules_and_leaves_no_files() {
    let _lock = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = Folder::new("demo");
    let ended = program()
        .args(["demo", "--seconds", "4"])
        .env("TMPDIR", &folder.0)
        .output()
        .expect("the program runs");
    let output = String::from_utf8_lossy(&ended.stdout);
    assert_eq!(
        output.matches("  kept    ").count(),
        4,
        "{output}\n{}",
        String::from_utf8_lossy(&ended.stderr)
    );
    // On a busy machine the report may be not valid; the rules hold nevertheless.
    let valid = !output.contains("NOT VALID");
    assert_eq!(ended.status.code(), Some(if valid { 0 } else { 6 }), "{output}");
    assert_eq!(std::fs::read_dir(&folder.0).expect("a folder").count(), 0, "it leaves files");
}

/// Starts the demonstration with a shell command before it, sends it a signal while it runs, and returns its
/// exit code.
fn exit_code_after_signal(shell_prefix: &str, signal: &str) -> Option<i32> {
    let folder = Folder::new("interrupted");
    let mut child = Command::new("sh")
        .args([
            "-c",
            &format!("{shell_prefix}exec \"$0\" demo --seconds 600"),
            env!("CARGO_BIN_EXE_marlwinch"),
        ])
        .env("NO_COLOR", "1")
        .env("TMPDIR", &folder.0)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines();
    while !lines.next().expect("it runs").expect("a line").contains("requests in flight at each backend") {}
    let kill = Command::new("sh").args(["-c", &format!("kill -{signal} {}", child.id())]).status();
    assert!(kill.expect("a shell").success());
    let started = Instant::now();
    let ended = loop {
        if let Some(status) = child.try_wait().expect("its status") {
            break status;
        }
        if started.elapsed() > Duration::from_secs(10) {
            child.kill().and_then(|()| child.wait()).expect("it is killed");
            panic!("{shell_prefix}{signal}: the process does not exit");
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    assert_eq!(std::fs::read_dir(&folder.0).expect("a folder").count(), 0, "it leaves files");
    ended.code()
}

#[test]
fn sigint_ends_demo_at_once() {
    let _lock = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    assert_eq!(exit_code_after_signal("", "INT"), Some(130));
}

#[test]
fn sigint_ends_demo_also_if_ignored_at_start_and_sigterm_ends_it_though_the_node_handles_it() {
    let _lock = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    assert_eq!(
        exit_code_after_signal("trap '' INT; ", "INT"),
        Some(130),
        "a shell starts background processes with SIGINT ignored"
    );
    assert_eq!(exit_code_after_signal("", "TERM"), Some(143));
}

#[test]
fn load_writes_reports_and_compares_them() {
    let _lock = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let (target, folder) = (start_target("[[box]]\nname = \"a\"\ncores = 64\n"), Folder::new("load"));
    let (json, page) = (folder.file("a.json"), folder.file("a.html"));
    let arguments =
        [&target, "--rate", "100", "--for", "500ms", "--repeat", "3", "--json", &json, "--html", &page];
    let (code, output, errors) = load(&arguments);
    assert!(matches!(code, Some(0 | 5)), "{errors}");
    assert_eq!(output.matches("behind schedule").count(), 3, "{output}");
    let report =
        load_generator::report::Report::read(&std::fs::read(&json).expect("a report")).expect("a report");
    assert_eq!((report.runs.len(), report.is_valid()), (3, code == Some(0)));
    // Open loop: all scheduled requests were sent, and responses name the backend.
    for run in &report.runs {
        assert_eq!(run.all.outcomes, [run.due, 0, 0, 0, 0]);
        assert_eq!(run.backends.iter().map(|part| part.name.as_str()).collect::<Vec<_>>(), ["a"]);
    }
    let page = std::fs::read_to_string(&page).expect("a page");
    assert!(
        page.contains("<svg") && !page.contains("http://") && !page.contains("https://"),
        "the page is not self-contained"
    );
    let (_, output, _) = load(&["diff", &json, &json]);
    assert!(output.contains("p99 ms") && output.contains("(not significant)"), "{output}");
}

#[test]
fn load_that_falls_behind_is_not_valid_and_invalid_arguments_are_rejected() {
    let _lock = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let slow = start_target("[[box]]\nname = \"a\"\nservice = { fixed = \"300ms\" }\nqueue = 1000\n");
    let (code, output, _) = load(&[&slow, "--rate", "50", "--for", "1s", "--connections", "1"]);
    assert_eq!(code, Some(5), "{output}");
    assert!(output.contains("NOT VALID: out of connections"), "{output}");
    for (arguments, why) in [
        (&["10.0.0.1:80", "--rate", "1", "--for", "1s"][..], "loopback"),
        (&["127.0.0.1", "--rate", "1", "--for", "1s"], "port"),
        (&["127.0.0.1:1", "--rate", "nan", "--for", "1s"], "rate"),
        (&["127.0.0.1:1", "--rate", "1"], "--for"),
        (&["/nowhere/plan.toml", "127.0.0.1:1"], "/nowhere/plan.toml"),
        (&["diff", "/nowhere/a.json", "/nowhere/b.json"], "/nowhere/a.json"),
        (&[], "required"),
    ] {
        let (code, _, output) = load(arguments);
        assert_eq!((code, output.contains(why)), (Some(2), true), "{arguments:?}: {output}");
    }
}
