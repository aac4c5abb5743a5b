//! Golden file tests of histories: every kind of line written and read, verdicts and service summaries as
//! JSON, the texts and pages that are rendered, and the protocol between a trial and the supervisor of a
//! process. `GOLDEN=write cargo test -p fault-injection --test golden_histories` rewrites the files below
//! `tests/golden/histories`.
//!
//! The histories are constructed here with fixed times, so that the results are reproducible. The id of a
//! supervised process is replaced by `<pid>`.

use fault_injection::checkers::{Attempts, ServiceSummary, Verdict, Violation, all, judge, service_summary};
use fault_injection::history::{
    Bounds, Entry, Event, History, Idempotency, ProcessEvent, ResourceUsage, ResponseKind,
};
use fault_injection::report;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};
use std::time::Duration;

fn bounds() -> Bounds {
    Bounds {
        grace_ms: 2200,
        slack_ms: 100,
        recovery_ms: 1500,
        served_share: 0.9,
        connections_per_s: 3,
        discovery_calls_per_100ms: 2,
        descriptors: 64,
        memory_kib: 32 << 10,
        max_lateness_ms: 250,
    }
}

fn run_started() -> Event {
    Event::RunStarted {
        plan: "golden <&>".into(),
        seed: 7,
        nodes: vec!["node-1".into(), "node-2".into()],
        backends: vec![("box-1".into(), "a".into()), ("box-2".into(), "b".into())],
        bounds: bounds(),
    }
}

fn sent(id: &str, request: &str, node: &str, class: &str, idempotency: Idempotency) -> Event {
    let (id, request, node, class) = (id.into(), request.into(), node.into(), class.into());
    Event::AttemptSent { id, request, node, class, idempotency, timeout_ms: 1000 }
}

fn resources(descriptors: u64, threads: u64, memory_kib: u64) -> ResourceUsage {
    ResourceUsage { descriptors, threads, memory_kib }
}

/// An entry of each kind, and for each value of an enum that an entry may contain.
fn every_entry() -> Vec<Entry> {
    let id = || "r-1".to_string();
    let mut events = vec![
        ("rig", run_started()),
        ("client", sent("r-1", "r-1", "node-1", "look", Idempotency::Safe)),
        ("client", sent("r-1.1", "r-1", "node-2", "submit", Idempotency::Keyed)),
        ("client", sent("r-2", "r-2", "node-1", "correct", Idempotency::Unsafe)),
        ("client", Event::ResponseReceived { id: id(), kind: ResponseKind::Served, status: 200 }),
        ("client", Event::ResponseReceived { id: id(), kind: ResponseKind::Rejected, status: 503 }),
        ("client", Event::ResponseReceived { id: id(), kind: ResponseKind::Failed, status: 502 }),
        ("client", Event::TimedOut { id: id() }),
        ("client", Event::ConnectionLost { id: id() }),
        ("client", Event::ConnectFailed { id: id() }),
        ("client", Event::UnexpectedData { id: id() }),
        ("box-1", Event::ExecutionStarted { id: id() }),
        ("box-1", Event::BackendCrashed),
        ("rig", Event::DrainNotified { node: "node-1".into(), backend: "box-1".into() }),
        ("rig", Event::ReturnNotified { node: "node-1".into(), backend: "box-1".into() }),
        ("box-1", Event::Connected { node: "node-1".into() }),
        ("rig", Event::FaultStarted { fault: 2, text: "node-1 killed for 1s".into() }),
        ("rig", Event::FaultEnded { fault: 2 }),
        (
            "node-1",
            Event::ResourcesMeasured { before: resources(20, 3, 9000), after: resources(21, 4, 9001) },
        ),
        ("rig", Event::TrafficStarted),
        ("rig", Event::TrafficEnded),
        ("rig", Event::TimersLate { by_ms: 12 }),
    ];
    let changes = [
        ProcessEvent::Ready,
        ProcessEvent::Paused,
        ProcessEvent::Resumed,
        ProcessEvent::Killed,
        ProcessEvent::Terminating,
        ProcessEvent::Exited(0),
        ProcessEvent::Exited(-9),
    ];
    events.extend(changes.map(|event| ("node-1", Event::Process { event })));
    let times = (0..).map(|number| Duration::from_micros(1_234_567 * number));
    times.zip(events).map(|(at, (source, event))| Entry::new(at, source, event)).collect()
}

/// The kind of an entry. A new kind must be added here, to [`KINDS`] and to [`every_entry`].
fn kind(entry: &Entry) -> &'static str {
    match &entry.event {
        Event::RunStarted { .. } => "begun",
        Event::AttemptSent { idempotency: Idempotency::Safe, .. } => "sent safe",
        Event::AttemptSent { idempotency: Idempotency::Keyed, .. } => "sent keyed",
        Event::AttemptSent { idempotency: Idempotency::Unsafe, .. } => "sent unsafe",
        Event::ResponseReceived { kind: ResponseKind::Served, .. } => "served",
        Event::ResponseReceived { kind: ResponseKind::Rejected, .. } => "refused",
        Event::ResponseReceived { kind: ResponseKind::Failed, .. } => "failed",
        Event::TimedOut { .. } => "gave up",
        Event::ConnectionLost { .. } => "lost",
        Event::ConnectFailed { .. } => "not taken",
        Event::UnexpectedData { .. } => "extra",
        Event::ExecutionStarted { .. } => "began",
        Event::BackendCrashed => "fell over",
        Event::DrainNotified { .. } => "drained",
        Event::ReturnNotified { .. } => "back",
        Event::Connected { .. } => "connected",
        Event::FaultStarted { .. } => "fault",
        Event::FaultEnded { .. } => "healed",
        Event::Process { event } => match event {
            ProcessEvent::Ready => "ready",
            ProcessEvent::Paused => "stopped",
            ProcessEvent::Resumed => "woken",
            ProcessEvent::Killed => "killed",
            ProcessEvent::Terminating => "told",
            ProcessEvent::Exited(_) => "ended",
        },
        Event::ResourcesMeasured { .. } => "holds",
        Event::TrafficStarted => "traffic began",
        Event::TrafficEnded => "traffic ended",
        Event::TimersLate { .. } => "late",
    }
}

/// The number of kinds of entries.
const KINDS: usize = 28;

fn written(history: &History) -> String {
    let mut bytes = Vec::new();
    history.write(&mut bytes).expect("written");
    String::from_utf8(bytes).expect("text")
}

#[test]
fn every_kind_of_entry_is_written_read_and_rendered_as_in_the_golden_files() {
    let entries = every_entry();
    let kinds: BTreeSet<_> = entries.iter().map(kind).collect();
    assert_eq!(kinds.len(), KINDS, "{kinds:?}");
    let history = History { entries };
    golden_files::check("histories/every_line.jsonl", &written(&history));
    let golden = golden_files::read("histories/every_line.jsonl");
    let read = History::read(golden.as_bytes()).expect("a history");
    assert_eq!(read, history);
    assert_eq!(written(&read), golden);
    let text: String = history.entries.iter().map(|entry| report::entry_text(entry) + "\n").collect();
    golden_files::check("histories/every_line_as_text.txt", &text);
}

#[test]
fn errors_of_invalid_histories_match_the_golden_file() {
    let first = written(&History { entries: every_entry() }).lines().next().expect("a line").to_string();
    let mut text = String::new();
    for bad in [
        String::new(),
        "x\n".into(),
        format!("{first}\nx\n"),
        "{\"t\":1,\"by\":\"rig\",\"what\":\"traffic-began\"}\n".into(),
        format!("{first}\n{{\"t\":1,\"by\":\"rig\",\"what\":\"danced\"}}\n"),
        format!("{first}\n{{\"t\":1,\"by\":\"client\",\"what\":\"lost\"}}\n"),
        format!("{first}\n{{\"t\":1,\"by\":\"node-1\",\"what\":\"process\",\"did\":\"danced\"}}\n"),
    ] {
        text += &(History::read(bad.as_bytes()).expect_err("no history").to_string()
            + "
");
    }
    golden_files::check("histories/invalid_histories.txt", &text);
}

/// The history of a run: a request every 20 ms, to two nodes in turn, of which one is killed for 500 ms. It
/// may contain violations of all rules.
fn run(with_violations: bool) -> History {
    let ms = Duration::from_millis;
    let mut lines =
        vec![Entry::new(ms(0), "rig", run_started()), Entry::new(ms(5), "rig", Event::TrafficStarted)];
    for number in 0..150u64 {
        let at = 10 + 20 * number;
        let (node, by) = (format!("node-{}", 1 + number % 2), format!("box-{}", 1 + number % 2));
        let id = format!("r-{number}");
        let (class, repeat) =
            [("look", Idempotency::Safe), ("submit", Idempotency::Keyed), ("correct", Idempotency::Unsafe)]
                [number as usize % 3];
        lines.push(Entry::new(ms(at), "client", sent(&id, &id, &node, class, repeat)));
        let killed = node == "node-1" && (1000..1500).contains(&at);
        if killed {
            lines.push(Entry::new(ms(at + 1), "client", Event::ConnectFailed { id }));
            continue;
        }
        lines.push(Entry::new(ms(at + 3), by, Event::ExecutionStarted { id: id.clone() }));
        lines.push(Entry::new(
            ms(at + 15),
            "client",
            Event::ResponseReceived { id, kind: ResponseKind::Served, status: 200 },
        ));
    }
    lines.extend([
        Entry::new(ms(1000), "rig", Event::FaultStarted { fault: 0, text: "node-1 killed for 500ms".into() }),
        Entry::new(ms(1000), "node-1", Event::Process { event: ProcessEvent::Killed }),
        Entry::new(ms(1500), "node-1", Event::Process { event: ProcessEvent::Ready }),
        Entry::new(ms(1500), "rig", Event::FaultEnded { fault: 0 }),
        Entry::new(ms(3100), "rig", Event::TrafficEnded),
        Entry::new(
            ms(3200),
            "node-1",
            Event::ResourcesMeasured { before: resources(20, 3, 9000), after: resources(21, 3, 9001) },
        ),
        Entry::new(ms(3300), "rig", Event::TimersLate { by_ms: 3 }),
    ]);
    if with_violations {
        let served =
            |id: &str| Event::ResponseReceived { id: id.into(), kind: ResponseKind::Served, status: 200 };
        let rejected =
            |id: &str| Event::ResponseReceived { id: id.into(), kind: ResponseKind::Rejected, status: 503 };
        let started = |id: &str| Event::ExecutionStarted { id: id.into() };
        lines.extend([
            // Rule 1: a time-out, a lost connection, no outcome, bytes after the response, and an execution
            // after the client has left.
            Entry::new(ms(1900), "client", sent("late", "late", "node-2", "look", Idempotency::Safe)),
            Entry::new(ms(2900), "client", Event::TimedOut { id: "late".into() }),
            Entry::new(ms(1901), "client", sent("lost", "lost", "node-2", "look", Idempotency::Safe)),
            Entry::new(ms(1950), "client", Event::ConnectionLost { id: "lost".into() }),
            Entry::new(ms(1902), "client", sent("nothing", "nothing", "node-2", "look", Idempotency::Safe)),
            Entry::new(ms(1903), "client", sent("extra", "extra", "node-2", "look", Idempotency::Safe)),
            Entry::new(ms(1920), "client", served("extra")),
            Entry::new(ms(1921), "client", Event::UnexpectedData { id: "extra".into() }),
            Entry::new(ms(1904), "client", sent("begun", "begun", "node-2", "correct", Idempotency::Unsafe)),
            Entry::new(ms(1930), "client", Event::ConnectionLost { id: "begun".into() }),
            Entry::new(ms(2300), "box-2", started("begun")),
            // Rule 2: two executions, two executions under one key, and a rejection after an execution.
            Entry::new(ms(2000), "client", sent("twice", "twice", "node-1", "correct", Idempotency::Unsafe)),
            Entry::new(ms(2003), "box-1", started("twice")),
            Entry::new(ms(2004), "box-2", started("twice")),
            Entry::new(ms(2010), "client", served("twice")),
            Entry::new(ms(2001), "client", sent("keyed", "keyed", "node-1", "submit", Idempotency::Keyed)),
            Entry::new(ms(2005), "box-1", started("keyed")),
            Entry::new(ms(2006), "box-2", started("keyed")),
            Entry::new(ms(2011), "client", served("keyed")),
            Entry::new(
                ms(2002),
                "client",
                sent("refused", "refused", "node-1", "correct", Idempotency::Unsafe),
            ),
            Entry::new(ms(2007), "box-1", started("refused")),
            Entry::new(ms(2012), "client", rejected("refused")),
            // Rule 3: a drain with requests after the grace period, and one that ends before it.
            Entry::new(
                ms(20),
                "rig",
                Event::DrainNotified { node: "node-2".into(), backend: "box-2".into() },
            ),
            Entry::new(
                ms(30),
                "rig",
                Event::DrainNotified { node: "node-1".into(), backend: "box-1".into() },
            ),
            Entry::new(
                ms(900),
                "rig",
                Event::ReturnNotified { node: "node-1".into(), backend: "box-1".into() },
            ),
            Entry::new(
                ms(2400),
                "rig",
                Event::ReturnNotified { node: "node-2".into(), backend: "box-2".into() },
            ),
            // Rule 4: a backend crashes while it warms up.
            Entry::new(ms(2100), "box-2", Event::BackendCrashed),
            // Resources that are not released, and an exit with an error.
            Entry::new(
                ms(3210),
                "node-2",
                Event::ResourcesMeasured { before: resources(20, 3, 9000), after: resources(99, 5, 99_000) },
            ),
            Entry::new(ms(3220), "node-2", Event::Process { event: ProcessEvent::Terminating }),
            Entry::new(ms(3230), "node-2", Event::Process { event: ProcessEvent::Exited(1) }),
        ]);
        for number in 0..4 {
            lines.push(Entry::new(ms(2200 + number), "box-1", Event::Connected { node: "node-1".into() }));
            lines.push(Entry::new(
                ms(2200 + number),
                "discovery",
                Event::Connected { node: "node-1".into() },
            ));
        }
        // No recovery: all requests at the end fail.
        for number in 0..40u64 {
            let (id, at) = (format!("f-{number}"), ms(2500 + 10 * number));
            lines.push(Entry::new(at, "client", sent(&id, &id, "node-2", "look", Idempotency::Safe)));
            lines.push(Entry::new(
                at + ms(2),
                "client",
                Event::ResponseReceived { id, kind: ResponseKind::Failed, status: 502 },
            ));
        }
    }
    History::sorted(lines)
}

/// A run whose timers were too late for a verdict.
fn late() -> History {
    let late = Entry::new(Duration::from_millis(9), "rig", Event::TimersLate { by_ms: 900 });
    History { entries: vec![Entry::new(Duration::ZERO, "rig", run_started()), late] }
}

#[test]
fn verdicts_summaries_and_pages_match_the_golden_files() {
    for (name, history) in [("passed", run(false)), ("failed", run(true)), ("late", late())] {
        let verdict = judge(&history);
        let result = match &verdict {
            Verdict::Passed => "passed",
            Verdict::Failed { .. } => "failed",
            Verdict::NoVerdict { .. } => "late",
        };
        assert_eq!(result, name, "{verdict:?}");
        let summary: ServiceSummary = service_summary(&history, &Attempts::of(&history));
        let mut text = format!("exit code {}\n", verdict.exit_code());
        text += &(serde_json::to_string_pretty(&verdict).expect("JSON") + "\n");
        text += &(serde_json::to_string(&summary).expect("JSON") + "\n");
        text += &(report::summary_text(&summary) + "\n");
        if let Verdict::Failed { violations } = &verdict {
            for violation in violations {
                let Violation { checker, description, at_us, evidence: _ } = violation;
                text += &format!(
                    "{checker} at {at_us}: {description}\n  {}\n",
                    report::evidence_lines(&history, violation).join("\n  ")
                );
            }
            let checkers: BTreeSet<_> = violations.iter().map(|violation| violation.checker).collect();
            assert_eq!(
                checkers,
                all().iter().map(|checker| checker.name()).collect(),
                "each checker reports a violation"
            );
        }
        golden_files::check(&format!("histories/{name}.txt"), &text);
        golden_files::check(
            &format!("histories/{name}.html"),
            &report::page(&history, &verdict).expect("a page"),
        );
    }
    let rules: String =
        all().iter().map(|checker| format!("{}: {}\n", checker.name(), checker.rule())).collect();
    golden_files::check("histories/checkers.txt", &rules);
}

/// The commands and reports of a supervisor, for each way in which its process can end.
#[test]
fn commands_and_reports_of_a_supervisor_match_the_golden_file() {
    let mut text = String::new();
    for (commands, script) in [
        (&["stop", "wake", "kill"][..], "exec sleep 60"),
        (&["dance", "end"], "exec sleep 60"),
        (&["reload"], "exec sleep 60"),
        (&[], "exit 7"),
    ] {
        text += &format!("# sh -c {script:?}\n{}", supervise(commands, &["sh", "-c", script]));
    }
    text += &format!("# the input ends\n{}", supervise(&["<end>"], &["sleep", "60"]));
    text += &format!("# no program\n{}", supervise(&[], &["/no/such/program"]));
    golden_files::check("histories/supervisor.txt", &text);
}

/// Runs a program under a supervisor, sends it commands, and returns both sides of the conversation and the
/// exit code. `<end>` closes the supervisor's input.
fn supervise(commands: &[&str], program: &[&str]) -> String {
    let mut supervisor = Command::new(env!("CARGO_BIN_EXE_trial-standin"))
        .arg("keep")
        .args(program)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut input = supervisor.stdin.take().expect("its input");
    let mut lines = BufReader::new(supervisor.stdout.take().expect("its output")).lines();
    let mut text = String::new();
    let mut read_report = |text: &mut String| {
        let line = lines.next()?.expect("a line");
        let words: Vec<_> = line.split(' ').collect();
        let line = if words[0] == "pid" { "pid <pid>".to_string() } else { line };
        *text += &format!("out {line}\n");
        Some(())
    };
    read_report(&mut text);
    for command in commands {
        text += &format!("in  {command}\n");
        if *command != "<end>" {
            // Fails if the supervisor has exited already.
            let _ = input.write_all(format!("{command}\n").as_bytes());
        }
    }
    if commands == ["<end>"] {
        drop(input);
        while read_report(&mut text).is_some() {}
    } else {
        while read_report(&mut text).is_some() {}
        drop(input);
    }
    let status = supervisor.wait().expect("it ends");
    text + &format!("code {:?}\n", status.code())
}
