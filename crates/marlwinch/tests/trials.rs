//! Runs the built-in plans with processes of this program, and tests the command `trial`.

mod peers;

use peers::command;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Runs a plan and asserts that it passes. On a busy machine a run may have no verdict, which is neither a
/// pass nor a failure, so there are up to three runs.
fn assert_passes(plan: &str, seed: &str) {
    for _ in 0..3 {
        let output = command(&["trial", "run", plan, "--seed", seed]);
        let said =
            String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
        match output.status.code() {
            Some(0) => {
                assert!(said.contains(&format!("{plan} seed {seed}: passed; served")), "{said}");
                return;
            }
            Some(3) => assert!(said.contains("no verdict"), "{said}"),
            code => panic!("{plan} seed {seed}: {code:?}\n{said}"),
        }
    }
    panic!("the machine is too busy: three runs without a verdict");
}

#[test]
fn other_nodes_take_over_from_a_killed_node() {
    assert_passes("killed", "1");
}

#[test]
fn nodes_that_resume_after_a_stall_send_no_expired_requests() {
    assert_passes("stalled", "1");
}

#[test]
fn rolling_restarts_lose_no_requests() {
    assert_passes("in-turn", "1");
}

#[test]
fn nodes_that_all_restart_at_once_serve_again() {
    assert_passes("all-at-once", "1");
}

#[test]
fn nodes_serve_on_while_discovery_is_silent() {
    assert_passes("silent-discovery", "1");
}

#[test]
fn lost_responses_cause_no_second_execution() {
    assert_passes("answers-lost", "1");
}

#[test]
fn a_slow_link_to_a_site_breaks_no_rule() {
    assert_passes("slow-site", "1");
}

#[test]
fn a_drain_holds_for_each_node_from_when_it_was_notified() {
    assert_passes("late-drain", "1");
}

#[test]
fn a_retry_through_another_node_executes_once() {
    assert_passes("other-node", "1");
}

#[test]
fn five_random_plans_pass() {
    for seed in ["1", "10", "18", "23", "26"] {
        assert_passes("draws", seed);
    }
}

#[test]
fn no_node_outlives_a_killed_trial() {
    let mut trial = Command::new(env!("CARGO_BIN_EXE_marlwinch"))
        .args(["trial", "run", "killed"])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the trial starts");
    let children = |of: u32| -> Vec<u32> {
        let tasks = std::fs::read_dir(format!("/proc/{of}/task")).into_iter().flatten().flatten();
        let lists = tasks.filter_map(|task| std::fs::read_to_string(task.path().join("children")).ok());
        lists
            .flat_map(|list| list.split(' ').filter_map(|pid| pid.parse().ok()).collect::<Vec<_>>())
            .collect()
    };
    let started = Instant::now();
    let mut all: Vec<u32> = Vec::new();
    // Three supervisors, each with a node.
    while all.len() < 6 && started.elapsed() < Duration::from_secs(30) {
        let supervisors = children(trial.id());
        all = supervisors.iter().flat_map(|pid| children(*pid)).chain(supervisors.iter().copied()).collect();
    }
    assert_eq!(all.len(), 6, "{all:?}");
    trial.kill().expect("killed");
    trial.wait().expect("ended");
    let is_running = |pid: &u32| {
        let state = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        Path::new(&format!("/proc/{pid}")).exists() && !state.contains(") Z")
    };
    while all.iter().any(is_running) && started.elapsed() < Duration::from_secs(60) {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(!all.iter().any(is_running), "{all:?}");
}

#[test]
fn exit_codes_tell_invalid_plans_from_violations_and_judge_repeats_a_verdict() {
    let output = command(&["trial", "list"]);
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(said.lines().count() == 10 && said.contains("stalled "), "{said}");
    assert_eq!(command(&["trial", "run", "no-such-plan"]).status.code(), Some(2));
    let bad = peers::OnDisk::new("name = \"x\"\nlength = \"1\"\n");
    let output = command(&["trial", "run", bad.path()]);
    assert_eq!(output.status.code(), Some(2));
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        said.contains("the duration \"1\" has no unit") && said.contains("missing key `boxes` in the plan"),
        "{said}"
    );
    // No run can keep this bound: the violation is reported, and `judge` repeats the verdict from the written
    // history.
    let plan = peers::OnDisk::new(
        "name = \"strict\"\nlength = \"1s\"\nnodes = { count = 1 }\nboxes = { count = 1 }\nbounds = { connections = 0 }\n\
         [[clients]]\nclass = \"look\"\nrepeat = \"safe\"\npath = \"/look/{n}\"\nrate = \"20/s\"\n",
    );
    let folder = format!("{}.reports", plan.path());
    let output = command(&["trial", "run", plan.path(), "--report", &folder]);
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(1), "{said}");
    assert!(said.contains("load: box-1: "), "{said}");
    assert!(said.contains(" connections were opened within 1 s, the limit is 0"), "{said}");
    let page = std::fs::read_to_string(format!("{folder}/strict-1.html")).expect("a page");
    assert!(page.contains("<svg") && page.contains("failed: 1 violations"));
    let history = format!("{folder}/strict-1.jsonl");
    let output = command(&["trial", "judge", &history]);
    assert_eq!(output.status.code(), Some(1));
    let again = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(again, said);
    // Shrinking leaves only what the violation needs.
    let output = command(&["trial", "shrink", plan.path(), "--plays", "3"]);
    assert_eq!(output.status.code(), Some(1));
    let _ = std::fs::remove_dir_all(&folder);
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(said.contains("fails with 1 nodes"), "{said}");
}
