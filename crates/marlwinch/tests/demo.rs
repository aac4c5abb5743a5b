//! The demonstration and the load generator as commands. Alone in their process, for the sake of their times.

mod backends;
mod folder;

use backends::Backends;
use folder::Folder;
use std::io::{BufRead, BufReader};
use std::process::{Command, Output, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// One at a time: each wants the machine for itself.
static ALONE: Mutex<()> = Mutex::new(());

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

/// A backend that serves for as long as the test runs.
fn target(script: &str) -> String {
    Backends::start(script).addresses[0].to_string()
}

#[test]
fn the_demonstration_keeps_the_four_rules_and_leaves_nothing() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
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
    // A machine that is busy with other things may make the run say nothing; the rules hold all the same.
    let valid = !output.contains("NOT VALID");
    assert_eq!(ended.status.code(), Some(if valid { 0 } else { 6 }), "{output}");
    assert_eq!(std::fs::read_dir(&folder.0).expect("a folder").count(), 0, "it leaves files");
}

/// Starts the demonstration behind `before`, sends it a signal while it goes on, and returns how it ended.
fn signalled(before: &str, signal: &str) -> Option<i32> {
    let folder = Folder::new("interrupted");
    let mut child = Command::new("sh")
        .args(["-c", &format!("{before}exec \"$0\" demo --seconds 600"), env!("CARGO_BIN_EXE_marlwinch")])
        .env("NO_COLOR", "1")
        .env("TMPDIR", &folder.0)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines();
    while !lines.next().expect("it goes on").expect("a line").contains("requests in flight at each backend") {
    }
    let kill = Command::new("sh").args(["-c", &format!("kill -{signal} {}", child.id())]).status();
    assert!(kill.expect("a shell").success());
    let begun = Instant::now();
    let ended = loop {
        if let Some(status) = child.try_wait().expect("its state") {
            break status;
        }
        if begun.elapsed() > Duration::from_secs(10) {
            child.kill().and_then(|()| child.wait()).expect("it is killed");
            panic!("{before}{signal}: it does not end");
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    assert_eq!(std::fs::read_dir(&folder.0).expect("a folder").count(), 0, "it leaves files");
    ended.code()
}

#[test]
fn ctrl_c_ends_the_demonstration_at_once() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    assert_eq!(signalled("", "INT"), Some(130));
}

#[test]
fn a_signal_ends_it_also_where_its_shell_has_it_ignore_ctrl_c_and_where_the_node_hears_it_first() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    assert_eq!(signalled("trap '' INT; ", "INT"), Some(130), "as a shell starts what runs in the background");
    assert_eq!(signalled("", "TERM"), Some(143));
}

#[test]
fn load_reports_and_compares() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let (target, folder) = (target("[[box]]\nname = \"a\"\ncores = 64\n"), Folder::new("load"));
    let (json, page) = (folder.file("a.json"), folder.file("a.html"));
    let arguments =
        [&target, "--rate", "100", "--for", "500ms", "--repeat", "3", "--json", &json, "--html", &page];
    let (code, output, errors) = load(&arguments);
    assert!(matches!(code, Some(0 | 5)), "{errors}");
    assert_eq!(output.matches("behind schedule").count(), 3, "{output}");
    let report =
        load_generator::report::Report::read(&std::fs::read(&json).expect("a report")).expect("a report");
    assert_eq!((report.runs.len(), report.is_valid()), (3, code == Some(0)));
    // Open loop: what was due has gone, and the backend has said who it is.
    for run in &report.runs {
        assert_eq!(run.all.outcomes, [run.due, 0, 0, 0, 0]);
        assert_eq!(run.backends.iter().map(|part| part.name.as_str()).collect::<Vec<_>>(), ["a"]);
    }
    let page = std::fs::read_to_string(&page).expect("a page");
    assert!(
        page.contains("<svg") && !page.contains("http://") && !page.contains("https://"),
        "it needs nothing"
    );
    let (_, output, _) = load(&["diff", &json, &json]);
    assert!(output.contains("p99 ms") && output.contains("(not significant)"), "{output}");
}

#[test]
fn what_can_t_be_kept_up_with_is_not_valid_and_what_makes_no_sense_is_refused() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let slow = target("[[box]]\nname = \"a\"\nservice = { fixed = \"300ms\" }\nqueue = 1000\n");
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
