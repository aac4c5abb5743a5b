//! Compares how a node reads the platform's configuration with golden files: missing fields, fields of a
//! wrong type, invalid values, and environment variables. The log of a start shows the node's name, its
//! address and its limit of clients, which follow from the fields, or names the field that is rejected.
//! `GOLDEN=write cargo test -p marlwinch --test golden_platform_config` writes the `.txt` files below
//! `tests/golden/platform`; `config.json` is written by hand. The package `join-up-to` tests the fields of
//! `settings`.

mod platform_golden;

use golden_files::shows_a_type;
use platform_golden::{check, startup_log};
use serde_json::{Value, json};

const CONFIG: &str = include_str!("golden/platform/config.json");

fn complete_config() -> Value {
    serde_json::from_str(CONFIG).expect("JSON")
}

/// The JSON pointers of all values, except for those within the settings.
fn pointers(value: &Value, at: String, all: &mut Vec<String>) {
    let mut add = |name: String, value: &Value| {
        let place = format!("{at}/{name}");
        all.push(place.clone());
        if name != "settings" {
            pointers(value, place, all);
        }
    };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, value)| add(name.clone(), value)),
        // The other entries have the same fields as the first.
        Value::Array(entries) => entries.first().into_iter().for_each(|entry| add("0".into(), entry)),
        _ => {}
    }
}

fn remove(config: &mut Value, place: &str) {
    let (parent, name) = place.rsplit_once('/').expect("a place");
    match config.pointer_mut(parent).expect("its parent") {
        Value::Object(fields) => drop(fields.remove(name)),
        Value::Array(entries) => drop(entries.remove(0)),
        _ => panic!("{place} has no parent"),
    }
}

/// The texts of two golden files. Those that show names of Rust types are in a file of their own.
#[derive(Default)]
struct Texts {
    plain: String,
    with_types: String,
}

impl Texts {
    fn add(&mut self, about: &str, log: &str) {
        let into = if shows_a_type(log) { &mut self.with_types } else { &mut self.plain };
        *into += &format!("{about}\n{log}");
    }
    fn check(&self, name: &str) {
        check(&format!("{name}.txt"), &self.plain);
        check(&format!("{name}_that_show_rust_types.txt"), &self.with_types);
    }
}

#[test]
fn missing_fields_and_fields_of_a_wrong_type_match_the_golden_files() {
    let mut all = Vec::new();
    pointers(&complete_config(), String::new(), &mut all);
    let mut texts = Texts::default();
    texts.add("whole", &startup_log(Some(CONFIG), &[]));
    for place in all {
        let mut without = complete_config();
        remove(&mut without, &place);
        texts.add(&format!("without {place}"), &startup_log(Some(&without.to_string()), &[]));
        let before = complete_config().pointer(&place).cloned().expect("a value");
        for bad in [Value::Null, json!(7), json!("x"), json!(true), json!([]), json!({})] {
            if std::mem::discriminant(&bad) == std::mem::discriminant(&before) && !bad.is_number() {
                continue;
            }
            let mut changed = complete_config();
            *changed.pointer_mut(&place).expect("a value") = bad.clone();
            texts.add(&format!("{place} is {bad}"), &startup_log(Some(&changed.to_string()), &[]));
        }
    }
    texts.check("config_fields");
}

#[test]
fn invalid_values_match_the_golden_files() {
    let mut texts = Texts::default();
    for (place, bad) in [
        ("/listen", json!("here")),
        ("/listen", json!("127.0.0.1")),
        ("/discovery", json!("discovery:80")),
        ("/console", json!("127.0.0.1:99999")),
        ("/seed", json!("xyz")),
        ("/seed", json!("10000000000000000")),
        ("/seed", json!("")),
        ("/limits/sockets", json!(63)),
        ("/limits/sockets", json!(64)),
        ("/limits/sockets", json!(-1)),
        ("/limits/sockets", json!(1.5)),
        ("/limits/memory_mb", json!(1)),
        ("/limits/memory_mb", json!(0)),
        ("/known/generation", json!(-1)),
        ("/known/generation", json!(4_294_967_296u64)),
        ("/known/instances/0/hostPort", json!("example:80")),
        ("/known/instances/0/zone", json!("north")),
        ("/known/instances/0/cell", json!(70_000)),
        ("/known/instances/0/lifecycle", json!("resting")),
        ("/known/instances/0/startedAtMs", json!(-5)),
        ("/known/instances/0/startedAtMs", json!(1e300)),
        ("/settings/Classes", json!([])),
        ("/settings/Classes/0/Name", json!("")),
        ("/settings/Classes/0/Target", json!("soon")),
        ("/settings/Classes/1/GiveUp", json!(0.0)),
        ("/settings/Classes/1/GiveUp", json!(-5.0)),
        ("/settings/Permissions/AttemptsCap", json!(0)),
        ("/settings/RegistryMode", json!("shout")),
    ] {
        let mut config = complete_config();
        *config.pointer_mut(place).expect("a value") = bad.clone();
        texts.add(&format!("{place} is {bad}"), &startup_log(Some(&config.to_string()), &[]));
    }
    texts.add("text behind the end", &startup_log(Some(&format!("{CONFIG} x")), &[]));
    texts.add("half of it", &startup_log(Some(&CONFIG[..CONFIG.len() / 2]), &[]));
    texts.add("nothing", &startup_log(Some(""), &[]));
    texts.check("config_values");
}

/// Environment variables override the fields of the file.
#[test]
fn environment_variables_match_the_golden_file() {
    let mut texts = Texts::default();
    texts.add("no configuration", &startup_log(None, &[]));
    texts.add("no such file", &startup_log(None, &[("ROUTER_CONFIG", "/no/such/file.json")]));
    texts.add("a folder", &startup_log(None, &[("ROUTER_CONFIG", "/")]));
    for (name, value) in [
        ("ROUTER_NAME", "n-variable"),
        ("ROUTER_LISTEN", "127.0.0.2:0"),
        ("ROUTER_LISTEN", "here"),
        ("ROUTER_DISCOVERY", "127.0.0.1:7"),
        ("ROUTER_DISCOVERY", "there"),
        ("ROUTER_CONSOLE", "127.0.0.1:0"),
        ("ROUTER_CONSOLE", "console"),
    ] {
        texts.add(&format!("{name} is {value:?}"), &startup_log(Some(CONFIG), &[(name, value)]));
    }
    let mut config = complete_config();
    config["listen"] = "127.0.0.1:nowhere".into();
    let log = startup_log(Some(&config.to_string()), &[("ROUTER_LISTEN", "127.0.0.1:0")]);
    texts.add("a bad field beside a good variable", &log);
    texts.check("config_variables");
}
