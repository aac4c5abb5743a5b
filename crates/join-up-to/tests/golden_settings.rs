//! Compares the parsing of platform settings with golden files: all fields, their defaults, the permitted
//! words of each field, and the error texts. To rewrite the files below `tests/golden/settings`, except the
//! three `.json` files, which are written by hand: `GOLDEN=write cargo test -p join-up-to --test
//! golden_settings`.
//!
//! The parsed settings are rendered with fixed names, so that a rename of a type or field changes this file
//! and no golden file.

use join_up_to::settings::{Column, HostSettings, parse};
use join_up_to::*;
use serde_json::Value;
use std::fmt::{Debug, Display};
use std::time::Duration;

const FULL: &str = include_str!("golden/settings/full.json");
const LEAST: &str = include_str!("golden/settings/least.json");
const EMPTY_SECTIONS: &str = include_str!("golden/settings/empty_sections.json");

/// The enumerated fields, with all permitted words and one that is not permitted. An empty word stands for a
/// missing field.
const CHOICES: [(&str, &[&str]); 6] = [
    ("/Classes/0/Idempotency", &["free", "guarded", "single_shot", "other"]),
    ("/Classes/1/Group", &["", "all", "zone", "cell", "other"]),
    ("/CountedBy", &["", "request", "work", "other"]),
    ("/LoadReport/Columns/0", &["concurrent", "depth", "load_share", "mean_ms", "tps", "err_ps", "other"]),
    ("/LoadReport/Via", &["", "piggyback", "pull", "silent", "other"]),
    ("/RegistryMode", &["", "push", "ask", "other"]),
];

#[derive(Default)]
struct Lines(Vec<String>);

impl Lines {
    fn put(&mut self, name: impl Display, value: impl Debug) {
        self.0.push(format!("{name} = {value:?}"));
    }
    fn time(&mut self, name: impl Display, time: Duration) {
        self.0.push(format!("{name} = {} ns", time.as_nanos()));
    }
    fn maybe_time(&mut self, name: impl Display, time: Option<Duration>) {
        match time {
            Some(time) => self.time(name, time),
            None => self.0.push(format!("{name} = none")),
        }
    }
}

/// Renders parsed settings. All structs are destructured without `..`, so that a new field must be added
/// here.
fn lines(settings: &Settings, host: &HostSettings) -> Vec<String> {
    let mut lines = Lines::default();
    let Settings {
        nodes,
        node,
        zone,
        classes,
        tenants,
        over_share_value,
        value_by_cost,
        reports,
        limits,
        rules,
        prices,
        goal,
        list_on_request,
        tick,
        capacity_source,
    } = settings;
    lines.put("nodes", nodes);
    lines.put("node", node);
    lines.put("zone", zone);
    classes.iter().enumerate().for_each(|(number, class)| class_lines(&mut lines, number, class));
    for (number, Tenant { allowance_per_s, share }) in tenants.iter().enumerate() {
        lines.put(format_args!("tenants[{number}].allowance_per_s"), allowance_per_s);
        lines.put(format_args!("tenants[{number}].share"), share);
    }
    lines.put("over_share_worth", over_share_value);
    lines.put("worth_by_work", value_by_cost);
    let reports = match reports {
        ReportSource::Answers => "with answers",
        ReportSource::Probes => "with probes",
        ReportSource::None => "never",
    };
    lines.put("reports", reports);
    limits_lines(&mut lines, limits);
    let Rules {
        drain_grace,
        initial_capacity,
        slow_start,
        overload_factor,
        overload_time,
        list_request_interval,
    } = rules;
    lines.time("rules.drain_grace", *drain_grace);
    lines.put("rules.cold_share", initial_capacity);
    lines.time("rules.warm_after", *slow_start);
    lines.put("rules.overload_factor", overload_factor);
    lines.time("rules.overload_time", *overload_time);
    lines.time("rules.ask_within", *list_request_interval);
    let Prices { probe, cross_zone, waste, late_failure } = prices;
    lines.put("prices.probe", probe);
    lines.put("prices.cross_zone", cross_zone);
    lines.put("prices.waste", waste);
    lines.put("prices.late_failure", late_failure);
    let Goal { whole, worst_window, worst_class, worst_tenant } = goal;
    lines.put("goal.whole", whole);
    lines.put("goal.worst_window", worst_window);
    lines.put("goal.worst_class", worst_class);
    lines.put("goal.worst_tenant", worst_tenant);
    lines.put("list_on_request", list_on_request);
    lines.time("tick", *tick);
    let crowding = match capacity_source {
        CapacitySource::Learned => "learnt",
        CapacitySource::Provided => "told",
    };
    lines.put("crowding", crowding);
    host_lines(&mut lines, host);
    lines.0
}

fn class_lines(lines: &mut Lines, number: usize, class: &Class) {
    let at = format!("classes[{number}]");
    let Class {
        latency_target,
        latency_target_stretch,
        deadline,
        value,
        late_value,
        repeat,
        streamed,
        attempt_policy,
    } = class;
    lines.time(format_args!("{at}.aim"), *latency_target);
    lines.put(format_args!("{at}.aim_stretch"), latency_target_stretch);
    lines.time(format_args!("{at}.deadline"), *deadline);
    lines.put(format_args!("{at}.worth"), value);
    lines.put(format_args!("{at}.late_worth"), late_value);
    match repeat {
        Repeat::Safe => lines.put(format_args!("{at}.repeat"), "safe"),
        Repeat::Unsafe => lines.put(format_args!("{at}.repeat"), "unsafe"),
        Repeat::Keyed { scope, window } => {
            let scope = match scope {
                Scope::All => "all",
                Scope::Zone => "zone",
                Scope::Cell => "cell",
            };
            lines.put(format_args!("{at}.repeat"), "keyed");
            lines.put(format_args!("{at}.repeat.scope"), scope);
            lines.time(format_args!("{at}.repeat.window"), *window);
        }
    }
    lines.put(format_args!("{at}.streamed"), streamed);
    // Platform settings contain no attempt policies.
    assert_eq!(*attempt_policy, AttemptPolicy::default());
}

fn limits_lines(lines: &mut Lines, limits: &Limits) {
    let Limits { max_attempts, cancel, probes, parallel_attempts, max_retry_after, connect_timeout } = limits;
    lines.put("limits.max_attempts", max_attempts);
    lines.put("limits.cancel", cancel);
    lines.put("limits.probes", probes);
    lines.put("limits.parallel_attempts", parallel_attempts);
    lines.maybe_time("limits.max_retry_after", *max_retry_after);
    lines.time("limits.connect_timeout", *connect_timeout);
}

fn host_lines(lines: &mut Lines, host: &HostSettings) {
    let HostSettings { columns, classes, tenants, zones, kinds, idle_close } = host;
    let columns: Vec<_> = columns.iter().copied().map(column).collect();
    lines.put("columns", columns);
    lines.put("class names", classes);
    lines.put("tenant names", tenants);
    lines.put("zone names", zones);
    lines.put("machine kinds", kinds);
    lines.time("idle_close", *idle_close);
}

fn column(column: Column) -> &'static str {
    match column {
        Column::Concurrent => "in flight",
        Column::Depth => "queue",
        Column::LoadShare => "utilisation",
        Column::MeanMs => "latency",
        Column::Tps => "throughput",
        Column::ErrPs => "errors",
        Column::Unknown => "unknown",
    }
}

fn read(text: &str) -> Result<Vec<String>, String> {
    parse(text.as_bytes()).map(|(settings, host)| lines(&settings, &host)).map_err(|error| error.to_string())
}

/// The result of parsing changed settings, as a difference to the lines of the original ones.
fn difference(text: &str, full: &[String]) -> String {
    match read(text) {
        Err(error) => format!("  error: {error}\n"),
        Ok(lines) if lines == full => "  no change\n".into(),
        Ok(lines) => {
            let gone = full.iter().filter(|line| !lines.contains(line)).map(|line| format!("  - {line}\n"));
            let new = lines.iter().filter(|line| !full.contains(line)).map(|line| format!("  + {line}\n"));
            gone.chain(new).collect()
        }
    }
}

/// The JSON pointers of all values within a value. Of a list of plain values, only the first is included.
fn pointers(value: &Value, at: String, all: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                all.push(format!("{at}/{name}"));
                pointers(value, format!("{at}/{name}"), all);
            }
        }
        Value::Array(entries) => {
            for (number, entry) in entries.iter().enumerate() {
                if number == 0 || entry.is_object() {
                    all.push(format!("{at}/{number}"));
                    pointers(entry, format!("{at}/{number}"), all);
                }
            }
        }
        _ => {}
    }
}

fn remove(settings: &mut Value, pointer: &str) {
    let (parent, name) = pointer.rsplit_once('/').expect("a pointer");
    match settings.pointer_mut(parent).expect("its parent") {
        Value::Object(fields) => drop(fields.remove(name)),
        Value::Array(entries) => drop(entries.remove(name.parse().expect("a number"))),
        _ => panic!("{pointer} has no parent"),
    }
}

/// Values whose type differs from that of `value`, or other numbers.
fn values_of_other_types(value: &Value) -> Vec<Value> {
    let all = [
        Value::Null,
        7.into(),
        (-1).into(),
        "x".into(),
        true.into(),
        Value::Array(vec![]),
        serde_json::json!({}),
    ];
    let same = |one: &Value| std::mem::discriminant(one) == std::mem::discriminant(value);
    all.into_iter().filter(|one| !same(one) || one.is_number()).collect()
}

fn full() -> (Value, Vec<String>) {
    (serde_json::from_str(FULL).expect("JSON"), read(FULL).expect("settings"))
}

fn all_pointers() -> Vec<String> {
    let mut all = Vec::new();
    pointers(&full().0, String::new(), &mut all);
    all
}

#[test]
fn complete_settings_match_the_golden_files() {
    for (name, text) in [("full", FULL), ("least", LEAST), ("empty_sections", EMPTY_SECTIONS)] {
        let lines = read(text).unwrap_or_else(|e| panic!("{name}: {e}"));
        golden_files::check(&format!("settings/{name}.txt"), &(lines.join("\n") + "\n"));
    }
}

/// Fields without effect in `full.json`: the group and window of classes that are not keyed, and fields with
/// their default value.
const WITHOUT_EFFECT: [&str; 6] = [
    "/Classes/0/Group",
    "/Classes/0/Window",
    "/Classes/1/Stream",
    "/Classes/2/Group",
    "/Classes/2/Window",
    "/Classes/2/Stream",
];

/// A field whose removal makes no difference would not be parsed at all.
#[test]
fn each_missing_field_has_its_default_or_is_an_error() {
    let (settings, lines) = full();
    let mut text = String::new();
    for pointer in all_pointers() {
        let mut without = settings.clone();
        remove(&mut without, &pointer);
        let change = difference(&without.to_string(), &lines);
        let is_read = change != "  no change\n";
        assert_eq!(is_read, !WITHOUT_EFFECT.contains(&pointer.as_str()), "{pointer}: {change}");
        text += &format!("without {pointer}\n{change}");
    }
    golden_files::check("settings/left_out.txt", &text);
}

/// Errors that contain names of Rust types are in a separate file.
#[test]
fn results_for_values_of_other_types_match_the_golden_files() {
    let (settings, lines) = full();
    let (mut text, mut with_types) = (String::new(), String::new());
    for pointer in all_pointers() {
        let before = settings.pointer(&pointer).expect("a value");
        for bad in values_of_other_types(before) {
            let mut changed = settings.clone();
            *changed.pointer_mut(&pointer).expect("a value") = bad.clone();
            let change = difference(&changed.to_string(), &lines);
            let into = if golden_files::shows_a_type(&change) { &mut with_types } else { &mut text };
            *into += &format!("{pointer} is {bad}\n{change}");
        }
    }
    golden_files::check("settings/other_types.txt", &text);
    golden_files::check("settings/other_types_that_show_rust_types.txt", &with_types);
}

#[test]
fn permitted_words_of_enumerated_fields_match_the_golden_file() {
    let (settings, lines) = full();
    let mut text = String::new();
    for (pointer, words) in CHOICES {
        for word in words {
            let mut changed = settings.clone();
            match word.is_empty() {
                true => remove(&mut changed, pointer),
                false => *changed.pointer_mut(pointer).expect("a value") = (*word).into(),
            }
            text += &format!("{pointer} is {word:?}\n{}", difference(&changed.to_string(), &lines));
        }
    }
    golden_files::check("settings/words.txt", &text);
}

#[test]
fn results_for_invalid_settings_match_the_golden_files() {
    let classes = r#"{"Classes": [{"Target": 400.0, "GiveUp": 1000.0, "Idempotency": "free"}]}"#;
    let texts = [
        "".to_string(),
        "{".into(),
        "[]".into(),
        "nothing".into(),
        "{}".into(),
        r#"{"Classes": []}"#.into(),
        r#"{"Classes": [{}]}"#.into(),
        format!("{classes} x"),
        classes.replace('}', ", \"Target\": 1}"),
        classes.replace("400.0", "1e999"),
        classes.replace("400.0", "-400.0"),
        classes.replace("400.0", "1e300"),
    ];
    let (mut text, mut with_types) = (String::new(), String::new());
    let least = read(LEAST).expect("settings");
    for bad in texts {
        let change = difference(&bad, &least);
        let into = if golden_files::shows_a_type(&change) { &mut with_types } else { &mut text };
        *into += &format!("{bad}\n{change}");
    }
    golden_files::check("settings/no_settings.txt", &text);
    golden_files::check("settings/no_settings_that_show_rust_types.txt", &with_types);
}

/// The names of columns on the wire, and the field of a load report that each sets.
#[test]
fn columns_and_their_report_fields_match_the_golden_file() {
    let mut text = String::new();
    for name in
        ["concurrent", "depth", "load_share", "mean_ms", "tps", "err_ps", "Concurrent", "of_later", ""]
    {
        let mut report = LoadReport::default();
        Column::from_name(name).set(&mut report, 2.5);
        let LoadReport { in_flight, queue, utilisation, latency_ms, throughput, errors } = report;
        let values = [in_flight, queue, utilisation, latency_ms, throughput, errors];
        let names = ["in flight", "queue", "utilisation", "latency", "throughput", "errors"];
        let set = names.iter().zip(values).filter(|(_, value)| *value == Some(2.5)).map(|(name, _)| *name);
        text += &format!(
            "{name:?} is {:?}, sets {:?}\n",
            column(Column::from_name(name)),
            set.collect::<Vec<_>>()
        );
    }
    golden_files::check("settings/columns.txt", &text);
}
