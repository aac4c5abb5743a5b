//! Golden file tests of plans: the values that are read from plan files, the random choices for a seed, the
//! descriptions of faults, the errors with their codes and positions, and the files that nodes are started
//! from. `GOLDEN=write cargo test -p fault-injection --test golden_plans` rewrites the files below
//! `tests/golden/plans`, except the `.toml` files, which are inputs.
//!
//! The values are formatted here, with the key words of plan files, so that renaming a type or field does not
//! change a golden file. Only lines that begin with `shown` contain texts that the program itself formats.

use fault_injection::history::{Bounds, Idempotency};
use fault_injection::node_files::{self, BackendLink, DrainState, NodePosition};
use fault_injection::plan::{
    BackendGroup, ClientGroup, Direction, Directions, DurationRange, Fault, FaultAction, FaultTrigger,
    LinkFault, NodeKind, Participant, Plan,
};
use fault_injection::{plan_reader, shipped};
use route_config::diagnostic::{Diagnostic, Lines};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use test_servers::backend_model::{ColdStart, ServiceTime};
use test_servers::discovery::Lifecycle;

const FULL: &str = include_str!("golden/plans/full.toml");
const PLANS: [(&str, &str); 3] = [
    ("full", FULL),
    ("least", include_str!("golden/plans/least.toml")),
    ("file", include_str!("golden/plans/file.toml")),
];

fn ns(time: Duration) -> String {
    format!("{} ns", time.as_nanos())
}

fn span(DurationRange { min, max }: &DurationRange) -> String {
    format!("{} to {}", ns(*min), ns(*max))
}

fn participant(participant: &Participant) -> String {
    match participant {
        Participant::Named(name) => format!("named {name}"),
        Participant::AnyNode => "any node".into(),
        Participant::AnyBackend => "any box".into(),
        Participant::Clients => "clients".into(),
        Participant::Discovery => "discovery".into(),
    }
}

fn all(many: &[Participant]) -> String {
    many.iter().map(participant).collect::<Vec<_>>().join(" + ")
}

fn directions(directions: Directions) -> &'static str {
    match directions {
        Directions::Only(Direction::Request) => "there",
        Directions::Only(Direction::Response) => "back",
        Directions::Both => "both",
    }
}

fn link_fault(fault: &LinkFault) -> String {
    match fault {
        LinkFault::Stall(affected) => format!("hold {}", directions(*affected)),
        LinkFault::Drop(affected) => format!("lose {}", directions(*affected)),
        LinkFault::Delay { min, jitter } => format!("delay {} and {} more", ns(*min), ns(*jitter)),
        LinkFault::Throttle(bytes) => format!("slow {bytes}"),
        LinkFault::Reset => "reset".into(),
        LinkFault::Cut => "cut".into(),
        LinkFault::HalfOpen => "half open".into(),
        LinkFault::CutAfter(bytes) => format!("cut after {bytes}"),
    }
}

fn action(action: &FaultAction) -> String {
    match action {
        FaultAction::Kill => "kill".into(),
        FaultAction::Restart => "restart".into(),
        FaultAction::Pause => "stop".into(),
        FaultAction::DisturbLinks { to, fault } => {
            format!("link to {}: {}", all(to), link_fault(fault))
        }
        FaultAction::Drain(to) => format!("drain {}", all(to)),
        FaultAction::StopBackend => "leave".into(),
    }
}

fn fault(fault: &Fault) -> String {
    let Fault { trigger, action: what, targets, duration, recovery_time } = fault;
    let when = match trigger {
        FaultTrigger::At(at) => format!("at {}", span(at)),
        FaultTrigger::AfterRequests { node, count } => format!("once {node} has taken {count}"),
        FaultTrigger::AfterFault { fault, delay } => format!("after {fault} by {}", span(delay)),
    };
    let lasts = duration.as_ref().map_or("ever".into(), span);
    format!(
        "fault {} of {}, {when}, lasts {lasts}, gradually {}",
        action(what),
        all(targets),
        ns(*recovery_time)
    )
}

fn service(service: &ServiceTime) -> String {
    match service {
        ServiceTime::Fixed(time) => format!("fixed {}", ns(*time)),
        ServiceTime::Uniform(least, most) => format!("uniform {} to {}", ns(*least), ns(*most)),
        ServiceTime::Exponential(mean) => format!("exponential {}", ns(*mean)),
        ServiceTime::LogNormal(median, spread) => format!("log-normal {} {spread:?}", ns(*median)),
    }
}

fn backends(backends: &BackendGroup) -> String {
    let BackendGroup { count, sites, cores, service_time, cold_start, deduplication_window } = backends;
    let cold = cold_start.map_or(
        "none".into(),
        |ColdStart {
             initial_share: share,
             warm_up_time: warm_after,
             overload_factor: factor,
             overload_time,
         }| {
            format!(
                "share {share:?} warm after {} factor {factor:?} overload {}",
                ns(warm_after),
                ns(overload_time)
            )
        },
    );
    let (time, window) = (service(service_time), ns(*deduplication_window));
    format!("boxes {count} sites {sites:?} cores {cores} service {time} cold {cold} window {window}")
}

fn clients(clients: &ClientGroup) -> String {
    let ClientGroup { class, idempotency, method, path, headers, requests_per_s, timeout, max_retries } =
        clients;
    let repeat = match idempotency {
        Idempotency::Safe => "safe",
        Idempotency::Keyed => "keyed",
        Idempotency::Unsafe => "unsafe",
    };
    let patience = ns(*timeout);
    format!(
        "clients {class} {repeat} {method} {path} headers {headers:?} rate {requests_per_s:?} patience {patience} repeats {max_retries}"
    )
}

fn bounds(bounds: &Bounds) -> String {
    let Bounds {
        grace_ms,
        slack_ms,
        recovery_ms,
        served_share,
        connections_per_s,
        discovery_calls_per_100ms,
        descriptors,
        memory_kib,
        max_lateness_ms,
    } = bounds;
    format!(
        "bounds grace {grace_ms} slack {slack_ms} recovers {recovery_ms} served {served_share:?} \
         connections {connections_per_s} calls {discovery_calls_per_100ms} descriptors {descriptors} memory {memory_kib} KiB \
         bears {max_lateness_ms}"
    )
}

fn lines(plan: &Plan) -> Vec<String> {
    let Plan {
        name,
        about,
        nodes,
        node_kind,
        backends: group,
        clients: groups,
        traffic_duration,
        faults,
        sampled_faults,
        bounds: bounded,
    } = plan;
    let kind = match node_kind {
        NodeKind::File(text) if text == plan_reader::DEFAULT_NODE_FILE => "the plans' own file".to_string(),
        NodeKind::File(text) => format!("a file of {text:?}"),
        NodeKind::Platform => "platform".into(),
    };
    let mut lines = vec![
        format!("name {name:?} about {about:?} length {} draw {sampled_faults:?}", ns(*traffic_duration)),
        format!("nodes {nodes} from {kind}, {:?}", plan.node_names()),
        format!("{}, {:?}", backends(group), plan.backend_names()),
    ];
    lines.extend(groups.iter().map(clients));
    for each in faults {
        lines.push(fault(each));
        // The texts in histories and in the output of `trial shrink`.
        lines.push(format!("shown {each}"));
        lines.push(format!("shown {}", each.trigger));
    }
    lines.push(bounds(bounded));
    lines
}

fn other_file(name: &str) -> Result<String, String> {
    if name == "other.toml" { Ok("[node]".into()) } else { Err(format!("{name}: no such file")) }
}

fn plan(text: &str) -> Result<Plan, Vec<Diagnostic>> {
    plan_reader::read_plan(text, other_file)
}

fn read(text: &str) -> Result<Vec<String>, String> {
    plan(text).map(|plan| lines(&plan)).map_err(|faults| {
        let places = Lines::of(text);
        let errors = faults.iter().map(|Diagnostic { code, message, span, related, help }| {
            let place = places.position(span.start);
            let related: Vec<_> = related.iter().map(|(_, what)| what).collect();
            format!("{code} line {} column {}: {message}; {help} {related:?}\n", place.line, place.column)
        });
        errors.collect()
    })
}

#[test]
fn values_of_plans_match_the_golden_files() {
    for (name, text) in PLANS {
        let lines = read(text).unwrap_or_else(|e| panic!("{name}: {e}"));
        golden_files::check(&format!("plans/{name}.txt"), &(lines.join("\n") + "\n"));
    }
    let shipped: Vec<_> = shipped::PLANS
        .iter()
        .map(|(name, text)| {
            format!("{name}\n{}\n", read(text).unwrap_or_else(|e| panic!("{name}: {e}")).join("\n"))
        })
        .collect();
    golden_files::check("plans/shipped.txt", &shipped.join("\n"));
}

/// Guards the other tests, which use this plan for full coverage.
#[test]
fn the_full_plan_has_every_kind_of_fault() {
    let plan = plan(FULL).expect("a plan");
    let kind = |fault: &Fault| match &fault.action {
        FaultAction::Kill => "kill",
        FaultAction::Restart => "restart",
        FaultAction::Pause => "stop",
        FaultAction::Drain(_) => "drain",
        FaultAction::StopBackend => "leave",
        FaultAction::DisturbLinks { fault, .. } => match fault {
            LinkFault::Stall(_) => "hold",
            LinkFault::Drop(_) => "lose",
            LinkFault::Delay { .. } => "delay",
            LinkFault::Throttle(_) => "slow",
            LinkFault::Reset => "reset",
            LinkFault::Cut => "cut",
            LinkFault::HalfOpen => "half-open",
            LinkFault::CutAfter(_) => "cut-after",
        },
    };
    let kinds: BTreeSet<_> = plan.faults.iter().map(kind).collect();
    assert_eq!(kinds.len(), 13, "{kinds:?}");
}

/// The random choices depend on the plan and the seed alone, with durations exact to the nanosecond.
#[test]
fn drawn_plans_match_the_golden_file() {
    let mut text = String::new();
    for (name, plan_text) in [("full", Some(FULL)), ("draws", shipped::plan_text("draws"))] {
        let plan = plan(plan_text.expect("a plan")).expect("a plan");
        for seed in [0, 1, 7, u64::MAX] {
            text += &format!("{name} by {seed}\n{}\n\n", lines(&plan.draw(seed)).join("\n"));
        }
    }
    golden_files::check("plans/drawn.txt", &text);
}

/// The errors of a plan, or the differences of its values from the full plan.
fn compare_with_full(text: &str, full: &[String]) -> String {
    match read(text) {
        Err(error) => error.lines().map(|line| format!("  {line}\n")).collect(),
        Ok(lines) if lines == full => "  no change\n".into(),
        Ok(lines) => {
            let removed =
                full.iter().filter(|line| !lines.contains(line)).map(|line| format!("  - {line}\n"));
            let added = lines.iter().filter(|line| !full.contains(line)).map(|line| format!("  + {line}\n"));
            removed.chain(added).collect()
        }
    }
}

/// The full plan with one line replaced.
fn with_line(number: usize, line: &str) -> String {
    FULL.lines().enumerate().map(|(at, old)| format!("{}\n", if at == number { line } else { old })).collect()
}

/// Each key left out, misspelt and with a value of another type: its default, or the errors.
#[test]
fn defaults_and_errors_of_each_key_match_the_golden_file() {
    let full = read(FULL).expect("a plan");
    let mut text = String::new();
    for (number, line) in FULL.lines().enumerate().filter(|(_, line)| line.contains(" = ")) {
        let (key, value) = line.split_once(" = ").expect("a key");
        let place = format!("line {}: {line}", number + 1);
        for (about, changed) in [
            ("left out", String::new()),
            ("misspelt", format!("{key}x = {value}")),
            ("as true", format!("{key} = true")),
            ("as a number", format!("{key} = -1")),
        ] {
            text += &format!("{place}, {about}\n{}", compare_with_full(&with_line(number, &changed), &full));
        }
    }
    for (number, line) in FULL.lines().enumerate().filter(|(_, line)| line.starts_with('[')) {
        let misspelt = line.replacen(|c: char| c.is_ascii_alphabetic(), "z", 1);
        text += &format!(
            "line {}: {line}, misspelt\n{}",
            number + 1,
            compare_with_full(&with_line(number, &misspelt), &full)
        );
    }
    golden_files::check("plans/keys.txt", &text);
}

#[test]
fn errors_of_invalid_plans_match_the_golden_file() {
    let changes = [
        ("to = \"discovery\"", "to = \"box-1\""),
        ("kind = \"platform\"", "kind = \"platform\"\nfile = \"other.toml\""),
        ("kind = \"platform\"", ""),
        ("kind = \"platform\"", "kind = \"file\"\nfile = \"missing.toml\""),
        ("of = [\"node-1\", \"node-2\"]", "of = [\"node-9\", \"box-1\"]"),
        ("of = \"node-4\"", "of = \"box-1\""),
        ("of = \"clients\"", "of = \"discovery\""),
        ("to = \"box-5\"", "to = \"node-1\""),
        ("by = \"node-1\"", "by = \"box-1\""),
        ("taken = 200", "taken = 200\nat = \"1s\""),
        ("after = 2", "after = 99"),
        ("at = [\"1s\", \"3s\"]", "at = [\"3s\", \"1s\"]"),
        ("at = [\"1s\", \"3s\"]", "at = [\"3s\"]"),
        ("delay = [\"60ms\", \"120ms\"]", ""),
        ("bytes = \"16KiB\"", ""),
        ("bytes = \"100B\"", "bytes = \"100\""),
        ("lasts = \"350ms\"", "lasts = \"350ms\"\ngradually = \"1s\""),
        ("draw = 14", "draw = 99"),
        ("path = \"/look/{n}\"", "path = \"look\""),
        ("x-other = \"b\"", "x-other = \"b\\nc\""),
        ("rate = \"40/s\"", "rate = \"40\""),
        ("served = \"85%\"", "served = 1.5"),
        ("memory = \"16MiB\"", "memory = \"16\""),
        ("name = \"full\"", "name = \"a b\""),
        ("length = \"8s\"", "length = \"0s\""),
        ("length = \"8s\"", "length = "),
    ];
    let full = read(FULL).expect("a plan");
    let mut text = String::new();
    for (good, bad) in changes {
        assert!(FULL.contains(good), "{good}");
        text += &format!("{good:?} as {bad:?}\n{}", compare_with_full(&FULL.replacen(good, bad, 1), &full));
    }
    let least = PLANS[1].1;
    let without_clients = least.split("[[clients]]").next().expect("a beginning");
    text += &format!(
        "no clients\n{}nothing\n{}",
        compare_with_full(without_clients, &full),
        compare_with_full("", &full)
    );
    golden_files::check("plans/invalid_plans.txt", &text);
}

/// The configuration files and the arguments of nodes, and the entries of backends in discovery.
#[test]
fn configurations_and_arguments_of_nodes_match_the_golden_files() {
    let position = NodePosition { name: "node-2".into(), site: "srondol".into(), index: 1, nodes: 3 };
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let link = |name: &str, site: &str, port, drain_state| BackendLink {
        name: name.into(),
        site: site.into(),
        address: address(port),
        drain_state,
    };
    let links = [
        link("box-1", "tembalang", 9001, DrainState::InService),
        link("box-2", "srondol", 9002, DrainState::Draining),
    ];
    let file = node_files::operator_file(
        &format!("{}\n[admin]\naddress = \"127.0.0.1:1\"\n", plan_reader::DEFAULT_NODE_FILE),
        &position,
        &links,
    );
    golden_files::check("plans/node.toml.txt", &file.expect("a file"));
    golden_files::check(
        "plans/invalid_node_file.txt",
        &node_files::operator_file("x = ", &position, &links).expect_err("no TOML").to_string(),
    );
    let sites = ["tembalang".to_string(), "srondol".to_string()];
    let known = r#"{"generation": 2, "reset": true, "instances": []}"#;
    golden_files::check(
        "plans/platform.json",
        &node_files::platform_configuration(&position, &sites, address(9003), known, 0x8c1f),
    );
    let mut text = String::new();
    for (kind, about) in [(NodeKind::File(String::new()), "file"), (NodeKind::Platform, "platform")] {
        let command = node_files::node_command(&kind);
        text += &format!("{about} {:?}\n", (command.file, command.arguments));
    }
    for lifecycle in [Lifecycle::InService, Lifecycle::Terminating, Lifecycle::Terminated] {
        let endpoint = node_files::endpoint(&links[1], lifecycle, 1_700_000_000_250);
        text += &(serde_json::to_string(&endpoint).expect("JSON") + "\n");
    }
    golden_files::check("plans/starts.txt", &text);
}
