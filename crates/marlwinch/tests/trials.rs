//! The plans that ship, played with processes of this program, and the command around them.

mod peers;

use peers::command;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Plays a plan by the command. A machine that is busy with something else gets two more tries: a run without a verdict is no
/// verdict, either way.
fn passes(plan: &str, seed: &str) {
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
    panic!("the machine is too busy for any verdict");
}

#[test]
fn a_node_that_is_killed_is_replaced_by_the_others() {
    passes("killed", "1");
}

#[test]
fn nodes_that_wake_up_late_send_nothing_on_that_is_over() {
    passes("stalled", "1");
}

#[test]
fn nodes_that_restart_in_turn_lose_nothing() {
    passes("in-turn", "1");
}

#[test]
fn nodes_that_all_come_back_at_once_serve_again() {
    passes("all-at-once", "1");
}

#[test]
fn nodes_that_do_not_hear_discovery_go_on() {
    passes("silent-discovery", "1");
}

#[test]
fn answers_that_are_lost_run_nothing_twice() {
    passes("answers-lost", "1");
}

#[test]
fn a_slow_way_to_a_site_is_borne() {
    passes("slow-site", "1");
}

#[test]
fn a_drain_holds_for_each_node_from_when_it_was_notified() {
    passes("late-drain", "1");
}

#[test]
fn what_is_repeated_through_another_node_runs_once() {
    passes("other-node", "1");
}

#[test]
fn five_draws_pass() {
    for seed in ["1", "10", "18", "23", "26"] {
        passes("draws", seed);
    }
}

#[test]
fn no_node_outlives_a_rig_that_is_killed() {
    let mut rig = Command::new(env!("CARGO_BIN_EXE_marlwinch"))
        .args(["trial", "run", "killed"])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the rig");
    let children = |of: u32| -> Vec<u32> {
        let tasks = std::fs::read_dir(format!("/proc/{of}/task")).into_iter().flatten().flatten();
        let lists = tasks.filter_map(|task| std::fs::read_to_string(task.path().join("children")).ok());
        lists
            .flat_map(|list| list.split(' ').filter_map(|pid| pid.parse().ok()).collect::<Vec<_>>())
            .collect()
    };
    let begun = Instant::now();
    let mut all: Vec<u32> = Vec::new();
    // Three keepers, and a node under each.
    while all.len() < 6 && begun.elapsed() < Duration::from_secs(30) {
        let keepers = children(rig.id());
        all = keepers.iter().flat_map(|keeper| children(*keeper)).chain(keepers.iter().copied()).collect();
    }
    assert_eq!(all.len(), 6, "{all:?}");
    rig.kill().expect("killed");
    rig.wait().expect("ended");
    let runs = |pid: &u32| {
        let state = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        Path::new(&format!("/proc/{pid}")).exists() && !state.contains(") Z")
    };
    while all.iter().any(runs) && begun.elapsed() < Duration::from_secs(60) {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(!all.iter().any(runs), "{all:?}");
}

#[test]
fn the_command_separates_a_bad_plan_from_a_finding_and_judges_again_what_it_wrote() {
    let output = command(&["trial", "list"]);
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(said.lines().count() == 10 && said.contains("stalled "), "{said}");
    assert_eq!(command(&["trial", "run", "no-such-plan"]).status.code(), Some(2));
    let bad = peers::OnDisk::new("name = \"x\"\nlength = \"1\"\n");
    let output = command(&["trial", "run", bad.path()]);
    assert_eq!(output.status.code(), Some(2));
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(said.contains("the duration \"1\" has no unit") && said.contains("no `boxes`"), "{said}");
    // A bound that no run can keep is a finding, told with its story, and judged the same from what was written.
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
    // Shrinking leaves nothing that the finding does not need.
    let output = command(&["trial", "shrink", plan.path(), "--plays", "3"]);
    assert_eq!(output.status.code(), Some(1));
    let _ = std::fs::remove_dir_all(&folder);
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(said.contains("fails with 1 nodes"), "{said}");
}
