//! Golden tests of plans and traces: how the file of a plan is parsed, the requests that it generates, the
//! error messages, and the lines of a trace, read and written. `GOLDEN=write cargo test -p load-generator
//! --test golden_plans` rewrites the files in `tests/golden/plans` and `tests/golden/traces`, except the
//! `.toml` and `.jsonl` files, which are written by hand.
//!
//! Parsed values are written with fixed names, so that renaming a type or field does not change golden files.
//! Times and random numbers are written exactly, so that a change of the order of draws is detected.

use load_generator::mix::{DrawnRequest, KeyDistribution, RequestClass};
use load_generator::plan::{ClientBehaviour, Plan, ScheduledRequest, TenantWeight};
use load_generator::schedule::{Schedule, Shape, Spacing};
use load_generator::trace::{self, Trace, TraceEntry, TraceRequest};
use std::time::Duration;

const PLANS: [(&str, &str); 3] = [
    ("full", include_str!("golden/plans/full.toml")),
    ("least", include_str!("golden/plans/least.toml")),
    ("chance", include_str!("golden/plans/chance.toml")),
];
const LINES: &str = include_str!("golden/traces/lines.jsonl");
const ODD: &str = include_str!("golden/traces/odd.jsonl");
/// The number of requests of a plan that a golden file contains.
const SHOWN: usize = 60;

fn ns(time: Duration) -> String {
    format!("{} ns", time.as_nanos())
}

fn shape(shape: &Shape) -> String {
    match shape {
        Shape::Constant(rate) => format!("constant rate {rate:?}"),
        Shape::Ramp { from, to, over } => format!("ramp from {from:?} to {to:?} over {}", ns(*over)),
        Shape::Step { from, until, rate } => {
            format!("step from {} until {} rate {rate:?}", ns(*from), ns(*until))
        }
        Shape::Sine { mean, amplitude, period } => {
            format!("sine mean {mean:?} swing {amplitude:?} period {}", ns(*period))
        }
        Shape::Burst { at, count } => format!("burst at {} count {count}", ns(*at)),
    }
}

fn class(class: &RequestClass) -> String {
    let RequestClass { name, weight, method, path, keyed, body, timeout_ms } = class;
    format!("{name} weight {weight:?} {method} {path} keyed {keyed} body {body} patience {timeout_ms} ms")
}

fn lines(plan: &Plan) -> Vec<String> {
    let Plan { schedule, classes, tenants, keys, clients, trace, connections, threads, max_lag } = plan;
    let Schedule { shapes, spacing, length, seed } = schedule;
    let spacing = match spacing {
        Spacing::Even => "even",
        Spacing::Poisson => "poisson",
    };
    let ClientBehaviour { retry_share, max_retries, retry_delay, honour_share } = clients;
    let mut lines =
        vec![format!("seed {seed}"), format!("length {}", ns(*length)), format!("spacing {spacing}")];
    lines.extend(shapes.iter().map(|one| format!("shape {}", shape(one))));
    lines.extend(classes.iter().map(|one| format!("class {}", class(one))));
    lines.extend(
        tenants.iter().map(|TenantWeight { name, weight }| format!("tenant {name} weight {weight:?}")),
    );
    let KeyDistribution { count, exponent } = keys;
    lines.push(format!("keys {count} exponent {exponent:?}"));
    lines.push(format!(
        "clients retry {retry_share:?} retries {max_retries} wait {} honour {honour_share:?}",
        ns(*retry_delay)
    ));
    lines.push(format!("trace lines {:?}", trace.as_ref().map(|trace| trace.requests.len())));
    lines.push(format!("connections {connections} threads {threads} most lag {}", ns(*max_lag)));
    lines
}

fn requests(plan: &Plan) -> String {
    let request = |request: ScheduledRequest| {
        let ScheduledRequest { number, at, drawn: DrawnRequest { class, tenant, key, random } } = request;
        format!("{number} at {} class {class} tenant {tenant:?} key {key} chance {random:016x}\n", ns(at))
    };
    let shown: String = plan.requests().take(SHOWN).map(request).collect();
    format!("{shown}{} in all\n", plan.requests().count())
}

fn read(text: &str) -> Result<Vec<String>, String> {
    Plan::read(text).map(|plan| lines(&plan)).map_err(|error| error.to_string().trim_end().to_string())
}

#[test]
fn plans_and_their_requests_match_the_golden_files() {
    for (name, text) in PLANS {
        let plan = Plan::read(text).unwrap_or_else(|e| panic!("{name}: {e}"));
        golden_files::check(
            &format!("plans/{name}.txt"),
            &format!("{}\n\n{}", lines(&plan).join("\n"), requests(&plan)),
        );
    }
    let steady = Plan::steady(12.5, Duration::from_secs(2), "GET", "/a?b").expect("a plan");
    golden_files::check(
        "plans/steady.txt",
        &format!("{}\n\n{}", lines(&steady).join("\n"), requests(&steady)),
    );
}

/// The difference of a plan from the full one, or its error.
fn difference_from(text: &str, full: &[String]) -> String {
    match read(text) {
        Err(error) => error.lines().map(|line| format!("  error: {line}\n")).collect(),
        Ok(lines) if lines == full => "  no change\n".into(),
        Ok(lines) => {
            let gone = full.iter().filter(|line| !lines.contains(line)).map(|line| format!("  - {line}\n"));
            let new = lines.iter().filter(|line| !full.contains(line)).map(|line| format!("  + {line}\n"));
            gone.chain(new).collect()
        }
    }
}

/// Removes the excerpt of the file that error messages contain. Another golden file has some of these
/// excerpts.
fn without_excerpt(change: &str) -> String {
    let is_excerpt =
        |line: &&str| line.starts_with("  error:") && line.contains(" | ") || line.ends_with(" |");
    change.lines().filter(|line| !is_excerpt(line)).map(|line| format!("{line}\n")).collect()
}

/// The text with one of its lines replaced.
fn with_line(text: &str, number: usize, line: &str) -> String {
    text.lines().enumerate().map(|(at, old)| format!("{}\n", if at == number { line } else { old })).collect()
}

/// Each key is omitted, misspelt and given a value of another type. The result is its default or an error
/// with the known keys.
#[test]
fn defaults_and_errors_of_each_key_of_a_plan_match_the_golden_files() {
    let full = PLANS[0].1;
    let lines = read(full).expect("a plan");
    let (mut text, mut with_types) = (String::new(), String::new());
    let mut add = |about: String, changed: String| {
        let change = without_excerpt(&difference_from(&changed, &lines));
        let into = if golden_files::shows_a_type(&change) { &mut with_types } else { &mut text };
        *into += &format!("{about}\n{change}");
    };
    for (number, line) in full.lines().enumerate().filter(|(_, line)| line.contains(" = ")) {
        let (key, _) = line.split_once(" = ").expect("a key");
        let place = format!("line {}: {line}", number + 1);
        add(format!("{place}, left out"), with_line(full, number, ""));
        add(
            format!("{place}, misspelt"),
            with_line(full, number, &line.replacen(key, &format!("{key}x"), 1)),
        );
        for wrong in ["[]", "true", "-1", "\"x\""] {
            add(format!("{place}, as {wrong}"), with_line(full, number, &format!("{key} = {wrong}")));
        }
    }
    for (number, line) in full.lines().enumerate().filter(|(_, line)| line.starts_with('[')) {
        let misspelt = line.replacen(|c: char| c.is_ascii_alphabetic(), "z", 1);
        add(format!("line {}: {line}, misspelt", number + 1), with_line(full, number, &misspelt));
    }
    golden_files::check("plans/keys.txt", &text);
    golden_files::check("plans/keys_that_show_rust_types.txt", &with_types);
}

#[test]
fn errors_of_invalid_plans_match_the_golden_files() {
    let full = PLANS[0].1;
    let changes = [
        ("rate = 10.5", "rate = 1e8"),
        ("for = \"10s\"", "for = \"0s\""),
        ("for = \"10s\"", "for = \"10\""),
        ("for = \"10s\"", "for = \"25h\""),
        ("for = \"10s\"", "for = \"soon\""),
        ("kind = \"step\"", "kind = \"stairs\""),
        ("spacing = \"even\"", "spacing = \"odd\""),
        ("weight = 68.0", "weight = -1.0"),
        ("path = \"/tally/{key}\"", "path = \"tally\""),
        ("path = \"/tally/{key}\"", "path = \"/tally/{keys}\""),
        ("method = \"GET\"", "method = \"get\""),
        ("patience = \"1500ms\"", "patience = \"0ms\""),
        ("body = 212", "body = 20000000"),
        ("connections = 64", "connections = 0"),
        ("threads = 2", "threads = 65"),
        ("count = 500", "count = 0"),
        ("zipf = 1.25", "zipf = -0.5"),
        ("retry = \"50%\"", "retry = \"150%\""),
        ("honour-retry-after = 0.8", "honour-retry-after = 1.5"),
    ];
    let lines = read(full).expect("a plan");
    let (mut text, mut with_types) = (String::new(), String::new());
    let mut add = |about: &str, changed: &str| {
        let change = difference_from(changed, &lines);
        let into = if golden_files::shows_a_type(&change) { &mut with_types } else { &mut text };
        *into += &format!("{about}\n{change}");
    };
    for (valid, invalid) in changes {
        assert!(full.contains(valid), "{valid}");
        add(invalid, &full.replacen(valid, invalid, 1));
    }
    let weightless = full.replace("weight = 68.0", "weight = 0").replace("weight = 32.0", "weight = 0");
    add("no weight at all", &weightless);
    add("nothing", "");
    add("no class", "for = \"1s\"\n[[shape]]\nkind = \"constant\"\nrate = 1\n");
    add("no shape", "for = \"1s\"\n[[class]]\nname = \"c\"\nmethod = \"GET\"\npath = \"/\"\n");
    add("no TOML", "for = ");
    golden_files::check("plans/no_sense.txt", &text);
    golden_files::check("plans/no_sense_that_show_rust_types.txt", &with_types);
}

/// Entries that are read from a trace and written again equal the original bytes.
#[test]
fn trace_lines_are_parsed_and_written_as_in_the_golden_file() {
    let line = |t, method: &str, target: &str, class: &str, tenant: Option<&str>, key, body| TraceEntry {
        t,
        method: method.into(),
        target: target.into(),
        class: class.into(),
        tenant: tenant.map(String::from),
        key,
        body,
    };
    let expected = [
        line(0.016, "POST", "/tally-submit/7f3a?a=1", "tally-submit", Some("pati"), true, 212),
        line(0.5, "GET", "/look", "look", None, false, 0),
        line(1.25, "PUT", "/p", "p", Some("kudus"), false, 0),
        line(2.0, "POST", "/k", "k", None, true, 0),
        line(1_700_000_000.123_456, "POST", "/b", "b", None, false, 16 << 20),
    ];
    let read: Vec<TraceEntry> =
        LINES.lines().map(|line| serde_json::from_str(line).expect("a line")).collect();
    assert_eq!(read, expected);
    let written: String =
        expected.iter().map(|line| serde_json::to_string(line).expect("written") + "\n").collect();
    golden_files::check("traces/lines.jsonl", &written);
}

#[test]
fn plans_of_traces_match_the_golden_files() {
    let trace = trace::read(ODD.as_bytes(), 2.0);
    let Trace { requests: recorded, invalid_lines, first_invalid, out_of_order, is_truncated } = &trace;
    let mut text = String::new();
    for TraceRequest { at, entry } in recorded {
        text += &format!("at {} {}\n", ns(*at), serde_json::to_string(entry).expect("written"));
    }
    let first = first_invalid.as_ref().map(|line| (line.number, &line.reason));
    text +=
        &format!("bad {invalid_lines}, first {first:?}, out of order {out_of_order}, cut {is_truncated}\n\n");
    let from = Plan::steady(1.0, Duration::from_secs(1), "GET", "/").expect("a plan");
    let plan = Plan::from_trace(trace, &from).expect("a plan");
    text += &format!("{}\n\n{}", lines(&plan).join("\n"), requests(&plan));
    for (about, bad) in [("an empty trace", ""), ("no line", "x\n")] {
        let refused = Plan::from_trace(trace::read(bad.as_bytes(), 1.0), &from).expect_err(about);
        text += &format!("\n{about}: {refused}\n");
    }
    golden_files::check("traces/odd.txt", &text);
}
