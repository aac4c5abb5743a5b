//! End-to-end tests of the checkers: runs trials with processes of a test node that violates exactly one
//! rule, and checks that the checker of that rule, and no other, reports it.

use fault_injection::checkers::{Verdict, judge};
use fault_injection::history::History;
use fault_injection::process::Programs;
use fault_injection::{plan_reader, run};
use std::collections::BTreeSet;

const PLAN: &str = r#"
name = "culprit"
length = "4s"
nodes = { count = 2, kind = "platform" }
boxes = { count = 3, service = "5ms" }
[[clients]]
class = "look"
repeat = "safe"
path = "/look/{n}"
rate = "20/s"
[[clients]]
class = "correct"
repeat = "unsafe"
path = "/correct/{n}"
rate = "20/s"
"#;

fn programs(misbehaviour: &str) -> Programs {
    let standin = env!("CARGO_BIN_EXE_trial-standin");
    Programs {
        supervisor: vec![standin.into(), "keep".into()],
        node: standin.into(),
        variables: vec![("CULPRIT".into(), misbehaviour.into())],
    }
}

/// Runs a trial with nodes of this misbehaviour and a plan with these additional lines. Returns the names of
/// the checkers that report a violation, and the descriptions of all violations.
fn run_trial(misbehaviour: &str, more: &str) -> (BTreeSet<&'static str>, Vec<String>) {
    let plan = plan_reader::read_plan(&format!("{PLAN}{more}"), |_| Err("none")).expect("a plan");
    for seed in 1..=3 {
        let output = run::run_plan(&plan, seed, &programs(misbehaviour)).expect("a run");
        let verdict = judge(&output.history);
        // The stored history gets the same verdict as the one in memory.
        let mut text = Vec::new();
        output.history.write(&mut text).expect("written");
        let stored = History::read(&text[..]).expect("a history");
        assert_eq!(judge(&stored), verdict);
        match verdict {
            Verdict::Passed => return Default::default(),
            Verdict::Failed { violations } => {
                let names = violations.iter().map(|violation| violation.checker).collect();
                return (names, violations.into_iter().map(|violation| violation.description).collect());
            }
            // The machine was too busy: try the next seed.
            Verdict::NoVerdict { .. } => {}
        }
    }
    panic!("the machine is too busy for any verdict");
}

/// Whether a violation is expected of every test node: it does not handle SIGTERM, and has a thread for each
/// connection.
fn is_expected_of_test_node(description: &str) -> bool {
    description.ends_with("exited with code -15") || description.contains("threads after traffic")
}

/// Checks that only this checker reports violations, and that all their descriptions contain a text.
fn check_only(misbehaviour: &str, more: &str, checker: &'static str, text: &str) {
    let (mut names, descriptions) = run_trial(misbehaviour, more);
    let descriptions: Vec<_> =
        descriptions.into_iter().filter(|description| !is_expected_of_test_node(description)).collect();
    if !descriptions.iter().any(|description| description.contains("descriptors")) {
        names.remove("leftovers");
    }
    assert_eq!(names, BTreeSet::from([checker]), "{descriptions:?}");
    assert!(descriptions.iter().all(|description| description.contains(text)), "{descriptions:?}");
}

#[test]
fn a_correct_node_breaks_no_rule() {
    let (_, descriptions) = run_trial("nothing", "");
    assert!(descriptions.iter().all(|description| is_expected_of_test_node(description)), "{descriptions:?}");
}

#[test]
fn a_node_that_does_not_respond_is_found() {
    check_only("silent", "[bounds]\nserved = \"70%\"", "answers", "did not respond in time");
}

#[test]
fn a_node_that_closes_without_a_response_is_found() {
    check_only("lost", "[bounds]\nserved = \"70%\"", "answers", "closed the connection without a response");
}

#[test]
fn a_node_that_sends_bytes_after_its_response_is_found() {
    check_only("extra", "", "answers", "bytes arrived after its final response");
}

#[test]
fn a_node_that_forwards_an_abandoned_request_is_found() {
    // Clients time out too, so other violations may be reported along with the late execution.
    let (names, descriptions) = run_trial("late", "[bounds]\nserved = \"70%\"");
    assert!(names.contains("answers"), "{descriptions:?}");
    assert!(
        descriptions.iter().any(|description| description.contains("after it had ended for its client")),
        "{descriptions:?}"
    );
}

#[test]
fn a_node_that_forwards_an_effect_twice_is_found() {
    check_only("twice", "", "effects", "not idempotent, but started at");
}

#[test]
fn a_node_that_rejects_an_executed_request_is_found() {
    check_only("refused", "[bounds]\nserved = \"70%\"", "effects", "rejected as not executed");
}

#[test]
fn a_node_that_sends_to_a_draining_backend_is_found() {
    let drain = "[bounds]\ngrace = \"500ms\"\n[[fault]]\ndo = \"drain\"\nof = \"node-1\"\nto = \"box-1\"\nat = \"1s\"\n";
    check_only("nothing", drain, "drains", "after node-1 was notified of its drain");
}

#[test]
fn nodes_that_overload_a_cold_backend_together_are_found() {
    let more = "[bounds]\nserved = \"10%\"\nrecovers = \"60s\"\n[[fault]]\ndo = \"leave\"\nof = \"box-1\"\nat = \"500ms\"\nlasts = \"500ms\"\n";
    let text = PLAN.replace(
        "service = \"5ms\"",
        "service = \"150ms\", cores = 2, cold = { share = 0.1, warm-after = \"20s\" }",
    );
    let plan = plan_reader::read_plan(&format!("{text}{more}"), |_| Err("none")).expect("a plan");
    let output = run::run_plan(&plan, 1, &programs("cold")).expect("a run");
    let Verdict::Failed { violations } = judge(&output.history) else { panic!("no violation was found") };
    let cold: Vec<_> =
        violations.iter().filter(|v| v.checker == "cold").map(|v| v.description.as_str()).collect();
    assert_eq!(cold, ["box-1 crashed of overload while it warmed up"], "{violations:?}");
}

#[test]
fn a_node_that_leaks_connections_is_found() {
    check_only("leak", "", "leftovers", "");
}

#[test]
fn nodes_that_open_bursts_of_connections_are_found() {
    check_only("herd", "[bounds]\nconnections = 200", "load", "connections were opened within 1 s");
}

#[test]
fn a_node_that_does_not_recover_is_found() {
    let stop = "[[fault]]\ndo = \"stop\"\nof = \"node-1\"\nat = \"500ms\"\nlasts = \"500ms\"\n";
    check_only("sulk", stop, "recovery", "service did not recover");
}
