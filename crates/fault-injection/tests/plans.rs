//! Plans are read completely, or rejected with the positions of all errors, and drawn reproducibly from a
//! seed. A stored history gets the same verdict as the original.

use fault_injection::checkers::judge;
use fault_injection::history::{Bounds, Entry, Event, History, Idempotency, ProcessEvent, ResponseKind};
use fault_injection::plan::{FaultTrigger, Participant};
use fault_injection::{plan_reader, shipped};
use proptest::prelude::*;
use route_config::diagnostic::{Code, Lines};

#[test]
fn every_built_in_plan_is_valid_and_has_its_own_name() {
    for (name, text) in shipped::PLANS {
        let plan = plan_reader::read_plan(text, |_| Err("none"))
            .unwrap_or_else(|faults| panic!("{name}: {faults:?}"));
        assert_eq!(plan.name, name);
        assert!(!plan.about.is_empty() && !plan.faults.is_empty(), "{name}");
    }
}

#[test]
fn all_errors_of_a_plan_are_found_in_one_pass_with_their_positions() {
    let text = r#"
name = "x"
length = "8"
nodes = { count = 0, kind = "platfrom" }
boxes = { count = 2, sights = ["a"] }
[[clients]]
class = "look"
repeat = "safe"
path = "look"
rate = "40"
[[fault]]
do = "kill"
of = ["node-1", "box-1", "node-9"]
[[fault]]
do = "delay"
of = "node-1"
to = "box-1"
at = ["2s", "1s"]
"#;
    let faults = plan_reader::read_plan(text, |_| Err("none")).expect_err("faults");
    let lines = Lines::of(text);
    let found: Vec<_> =
        faults.iter().map(|fault| (lines.position(fault.span.start).line, fault.code)).collect();
    for expected in [
        (3, Code::MissingDurationUnit),
        (4, Code::NumberOutOfRange),
        (4, Code::InvalidChoice),
        (5, Code::UnknownKey),
        (9, Code::InvalidPath),
        (10, Code::InvalidRate),
        (11, Code::MissingKey),
        (13, Code::InvalidChoice),
        (18, Code::NumberOutOfRange),
    ] {
        assert!(found.contains(&expected), "{expected:?} in {found:?}");
    }
    let assert_rejected = |text: &str, message: &str| {
        let faults = plan_reader::read_plan(text, |_| Err("no such file")).expect_err(message);
        assert!(faults.iter().any(|fault| fault.message.contains(message)), "{message}: {faults:?}");
    };
    let valid = "name = \"x\"\nlength = \"2s\"\nnodes = { count = 2 }\nboxes = { count = 1 }\n\
                 [[clients]]\nclass = \"a\"\nrepeat = \"safe\"\npath = \"/a\"\nrate = \"1/s\"\n";
    assert!(plan_reader::read_plan(valid, |_| Err("none")).is_ok());
    let with_fault = |more: &str| format!("{valid}[[fault]]\n{more}\n");
    assert_rejected("nodes = {", "");
    assert_rejected(
        &with_fault("do = \"hold\"\nof = \"node-1\"\nto = \"discovery\"\nat = \"1s\""),
        "do not connect to discovery",
    );
    assert_rejected(
        &with_fault("do = \"hold\"\nof = \"clients\"\nto = \"box-1\"\nat = \"1s\""),
        "no such link",
    );
    assert_rejected(
        &with_fault("do = \"hold\"\nof = \"node-1\"\nat = \"1s\""),
        "this fault of a link has no `to`",
    );
    assert_rejected(&with_fault("do = \"slow\"\nof = \"node-1\"\nto = \"box-1\"\nat = \"1s\""), "no `bytes`");
    assert_rejected(
        &with_fault("do = \"kill\"\nof = \"node-1\"\nat = \"1s\"\ntaken = 5\nby = \"node-1\""),
        "exactly one trigger",
    );
    assert_rejected(&with_fault("do = \"leave\"\nof = \"node-1\"\nat = \"1s\""), "does not apply to node-1");
    assert_rejected(&valid.replace("count = 2", "count = 2, file = \"other.toml\""), "no such file");
}

#[test]
fn a_seed_draws_a_plan_reproducibly_and_completely() {
    let plan = plan_reader::read_plan(shipped::plan_text("draws").expect("a plan"), |_| Err("none"))
        .expect("a plan");
    let mut distinct = std::collections::HashSet::new();
    for seed in 0..200 {
        let drawn = plan.draw(seed);
        assert_eq!(drawn, plan.draw(seed));
        assert_eq!(drawn.faults.len(), 3);
        for fault in &drawn.faults {
            assert!(
                fault
                    .targets
                    .iter()
                    .all(|target| matches!(target, Participant::Named(_) | Participant::Clients)),
                "{fault:?}"
            );
            match fault.trigger {
                FaultTrigger::At(range) => assert_eq!(range.min, range.max),
                _ => panic!("{fault:?}"),
            }
        }
        distinct.insert(format!("{:?}", drawn.faults));
    }
    assert!(distinct.len() > 190, "only {} different draws", distinct.len());
}

fn bounds() -> Bounds {
    Bounds {
        grace_ms: 200,
        slack_ms: 50,
        recovery_ms: 1000,
        served_share: 0.9,
        connections_per_s: 5,
        discovery_calls_per_100ms: 5,
        descriptors: 2,
        memory_kib: 100,
        max_lateness_ms: 100,
    }
}

fn event(kind: u8, id: u8, other: u8) -> Event {
    let (id, node, backend) =
        (format!("{}", id % 12), format!("node-{}", other % 3), format!("box-{}", other % 2));
    match kind % 14 {
        0..=3 => {
            let idempotency =
                [Idempotency::Safe, Idempotency::Keyed, Idempotency::Unsafe][other as usize % 3];
            Event::AttemptSent {
                request: id.clone(),
                id,
                node,
                class: "c".into(),
                idempotency,
                timeout_ms: 300,
            }
        }
        4 => Event::ResponseReceived { id, kind: ResponseKind::Served, status: 200 },
        5 => Event::ResponseReceived { id, kind: ResponseKind::Rejected, status: 503 },
        6 => Event::TimedOut { id },
        7 => Event::ConnectionLost { id },
        8 | 9 => Event::ExecutionStarted { id },
        10 => Event::DrainNotified { node, backend },
        11 => Event::Connected { node },
        12 => Event::Process {
            event: [
                ProcessEvent::Paused,
                ProcessEvent::Resumed,
                ProcessEvent::Killed,
                ProcessEvent::Exited(1),
            ][other as usize % 4],
        },
        _ => Event::UnexpectedData { id },
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(50))]

    /// Random entries, in any order: the stored history gets the same verdict as the original.
    #[test]
    fn a_stored_history_gets_the_same_verdict(
        drawn in proptest::collection::vec((0u64..3_000_000, any::<u8>(), any::<u8>(), any::<u8>()), 0..120),
    ) {
        let run_started = Event::RunStarted {
            plan: "x".into(),
            seed: 1,
            nodes: vec!["node-0".into()],
            backends: vec![("box-0".into(), "a".into())],
            bounds: bounds(),
        };
        let mut lines = vec![Entry { at_us: 0, source: "rig".into(), event: run_started }];
        for (t, kind, id, other) in drawn {
            let source = if matches!(kind % 14, 8 | 9 | 11) { format!("box-{}", other % 2) } else { format!("node-{}", other % 3) };
            lines.push(Entry { at_us: t + 1, source, event: event(kind, id, other) });
        }
        let history = History::sorted(lines);
        let verdict = judge(&history);
        let mut text = Vec::new();
        history.write(&mut text).expect("written");
        prop_assert_eq!(judge(&History::read(&text[..]).expect("a history")), verdict);
    }
}

#[test]
fn a_history_without_its_first_entry_or_with_an_invalid_line_is_rejected() {
    assert!(History::read(&b""[..]).is_err());
    let e = History::read(&b"{\"t\":1,\"by\":\"rig\",\"what\":\"traffic-began\"}\nx\n"[..]).expect_err("bad");
    assert!(e.to_string().starts_with("line 2:"), "{e}");
}
