//! Compares what the program prints about its input files with approved texts, byte for byte:
//! `check-settings`, `check-configuration`, `check-policy`, `check` and `explain`, files that are rejected at
//! a start, plans, histories, reports, and a coordinator's status, with standard output, standard error and
//! exit code.
//!
//! The input files are below `tests/golden/cli/inputs`, several in one text, and in the folders of the
//! operator's files. The approved texts are below `tests/golden/cli/checks`. `GOLDEN=write cargo test -p
//! marlwinch --test golden_cli_checks` writes them; without that variable a missing or different text fails
//! its test. `(time)` stands for the time of a log line, `(address)` for an address with a free port.

mod golden_cli_support;

use golden_cli_support::{Run, TempFolder, approve, files, folder, read, transcripts};
use route_config::diagnostic::Code;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};

/// The transcripts of a command for each file of an input text. The file's name follows these words.
fn run_for_each_file(folder: &TempFolder, words: &[&str], inputs: &str) -> String {
    let names = folder.write_all(inputs);
    transcripts(names.iter().map(|name| Run::new(&[words, &[name]].concat()).within(&folder.0)))
}

/// The transcripts of a command for a missing file, a folder, and a file that is not UTF-8.
fn run_for_unreadable_files(folder: &TempFolder, words: &[&str]) -> String {
    folder.write("not-utf8", b"a: \xff\xfe\n");
    std::fs::create_dir_all(folder.0.join("folder")).expect("a folder");
    let names = ["nowhere", "folder", "not-utf8"];
    transcripts(names.iter().map(|name| Run::new(&[words, &[name]].concat()).within(&folder.0)))
}

// ---- Settings, configurations, policies ----------------------------------------------------------

#[test]
fn check_settings_matches_the_approved_text() {
    let folder = TempFolder::new("settings");
    let transcript = run_for_each_file(&folder, &["check-settings"], "inputs/settings.txt");
    let transcript = transcript + &run_for_unreadable_files(&folder, &["check-settings"]);
    approve("checks/settings.txt", &transcript);
    assert_an_error_at_each_settings_key(&transcript);
}

/// Asserts that some file has an error at each key of the settings. Does not compile for a new key until it
/// is listed.
fn assert_an_error_at_each_settings_key(transcript: &str) {
    let (_, all) = files(&read("inputs/settings.txt")).swap_remove(0);
    let settings = node_settings::Settings::parse(&all).expect("the file with all keys is valid");
    let node_settings::Settings {
        node_name: _,
        machine_class: _,
        ip: _,
        zone: _,
        region: _,
        zones: _,
        listen: node_settings::Listen { frontend: _, readiness: _, control: _ },
        internal_port_range: _,
        seed_nodes: _,
        address_translation: _,
        bootstrap: _,
        counts_for_quorum: _,
        limits:
            node_settings::Limits { cpu_share: _, cores: _, memory_mb: _, max_fds: _, link_mbps: _, disk_mb: _ },
        data_dir: _,
        heartbeat_ms: _,
        fault_tolerance: node_settings::FaultTolerance { machines: _, zones: _, regions: _ },
        bounds:
            node_settings::Bounds {
                seed_lag_s: _,
                reuse_after_s: _,
                contact_ms: _,
                ack_ms: _,
                catch_up_s: _,
                drain_ms: _,
                grace_s: _,
                loss_slack_ms: _,
                config_apply_ms: _,
                rollback_slack_ms: _,
                max_skew_ms: _,
                revoke_ms: _,
                retry_budget_ratio: _,
                budget_window_s: _,
                budget_slack: _,
                quota_window_s: _,
                quota_over: _,
                quota_slack: _,
                recovery_s: _,
                pass_ms: _,
                again_s: _,
            },
        cloud_api,
    } = settings;
    let node_settings::CloudApi { address: _, rate_per_s: _, lag_ms: _ } =
        cloud_api.expect("it has `cloud_api`");
    let value: serde_json::Value = serde_json::from_str(KEYS).expect("JSON");
    for (key, below) in value.as_object().expect("keys") {
        let places: Vec<_> = match below.as_array() {
            Some(below) => below.iter().map(|name| format!("{key}.{}", name.as_str().unwrap())).collect(),
            None => vec![key.clone()],
        };
        for place in places {
            let (top, whole) = (format!(".yaml: {place}: "), format!(".yaml: {place}["));
            assert!(
                transcript.contains(&top) || transcript.contains(&whole),
                "no file has an error at {place}"
            );
            let name = place.rsplit('.').next().expect("a word");
            assert!(all.contains(&format!("{name}:")), "the file with all keys lacks {place}");
        }
    }
}

/// The keys of a settings file.
const KEYS: &str = r#"{"node_name": 0, "machine_class": 0, "ip": 0, "zone": 0, "region": 0, "zones": 0,
    "listen": ["frontend", "readiness", "control"], "internal_port_range": 0, "seed_nodes": 0,
    "address_translation": 0, "bootstrap": 0,
    "counts_for_quorum": 0, "limits": ["cpu_share", "cores", "memory_mb", "max_fds", "link_mbps", "disk_mb"],
    "data_dir": 0, "heartbeat_ms": 0, "fault_tolerance": ["machines", "zones", "regions"],
    "bounds": ["seed_lag_s", "reuse_after_s", "contact_ms", "ack_ms", "catch_up_s", "drain_ms", "grace_s",
        "loss_slack_ms", "config_apply_ms", "rollback_slack_ms", "max_skew_ms", "revoke_ms", "retry_budget_ratio",
        "budget_window_s", "budget_slack", "quota_window_s", "quota_over", "quota_slack", "recovery_s", "pass_ms",
        "again_s"],
    "cloud_api": ["address", "rate_per_s", "lag_ms"]}"#;

#[test]
fn check_configuration_matches_the_approved_text() {
    let folder = TempFolder::new("configurations");
    let transcript = run_for_each_file(&folder, &["check-configuration"], "inputs/configurations.txt");
    let transcript = transcript + &run_for_unreadable_files(&folder, &["check-configuration"]);
    approve("checks/configurations.txt", &transcript);
    assert_an_error_at_each_configuration_key(&transcript);
}

/// Asserts that some configuration has an error at each property of the schema.
fn assert_an_error_at_each_configuration_key(transcript: &str) {
    fn properties(schema: &serde_json::Value, found: &mut BTreeSet<String>) {
        let Some(object) = schema.as_object() else { return };
        if let Some(named) = object.get("properties").and_then(|named| named.as_object()) {
            found.extend(named.keys().cloned());
        }
        object.values().for_each(|below| properties(below, found));
    }
    let mut keys = BTreeSet::new();
    properties(&serde_json::from_str(configuration::SCHEMA).expect("the schema"), &mut keys);
    assert!(keys.len() >= 35, "{keys:?}");
    for key in keys {
        let at = |end: &str| transcript.contains(&format!("/{key}{end}"));
        assert!(at(": ") || at("/"), "no configuration has an error at {key}");
    }
}

#[test]
fn check_policy_matches_the_approved_text() {
    let folder = TempFolder::new("policies");
    let transcript = run_for_each_file(&folder, &["check-policy"], "inputs/policies.txt");
    approve("checks/policies.txt", &(transcript + &run_for_unreadable_files(&folder, &["check-policy"])));
}

/// `default-policy.toml` has every key of the policy with its default. `GOLDEN=write` does not write it.
#[test]
fn default_policy_file_has_every_key_with_its_default() {
    let text = read("default-policy.toml");
    assert_eq!(policy::Policy::parse(&text), Ok(policy::Policy::default()));
    let run = Run::new(&["check-policy", "default-policy.toml"]).within(&folder());
    assert!(run.transcript().contains("exit code 0\n"));
    // The error about an unknown key lists all keys of the table.
    let expected = |wrong: &str| -> BTreeSet<String> {
        let error = policy::Policy::parse(wrong).expect_err("an unknown key").to_string();
        let (_, list) = error.split_once("expected one of ").unwrap_or_else(|| panic!("{error}"));
        list.split('`').skip(1).step_by(2).map(str::to_string).collect()
    };
    let mut stated: Vec<(String, BTreeSet<String>)> = Vec::new();
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        if let Some(table) = line.strip_prefix('[') {
            stated.push((table.trim_end_matches(']').into(), BTreeSet::new()));
        } else if let (Some((key, _)), Some((_, keys))) = (line.split_once(" = "), stated.last_mut()) {
            keys.insert(key.into());
        }
    }
    let tables: BTreeSet<_> = stated.iter().map(|(table, _)| table.clone()).collect();
    assert_eq!(tables, expected("unknown = 1\n"));
    for (table, keys) in stated {
        assert_eq!(keys, expected(&format!("[{table}]\nunknown = 1\n")), "{table}");
    }
}

// ---- The operator's file -------------------------------------------------------------------------

/// The folder `good` or `bad` of the operator's files in the tests of route-config.
fn corpus(which: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../route-config/tests/corpus").join(which)
}

/// The names of the TOML files of a folder, sorted.
fn toml_files(folder: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(folder).unwrap_or_else(|error| panic!("{}: {error}", folder.display()));
    let names = entries.map(|entry| entry.expect("an entry").file_name().into_string().expect("a name"));
    let mut names: Vec<_> = names.filter(|name| name.ends_with(".toml")).collect();
    names.sort();
    names
}

#[test]
fn check_of_invalid_files_matches_the_approved_texts() {
    let folder = corpus("bad");
    let names = toml_files(&folder);
    let check = |words: &[&str]| {
        let runs = names.iter().map(|name| Run::new(&[words, &[name]].concat()).within(&folder));
        transcripts(runs)
    };
    let transcript = check(&["check"]);
    approve("checks/operator-bad.txt", &transcript);
    // These two are about paths that are not a readable file.
    let unreadable = [Code::FileTooLarge, Code::UnreadableFile];
    let is_covered = |code: &&Code| unreadable.contains(code) || transcript.contains(code.as_str());
    let missing: Vec<_> = Code::ALL.iter().filter(|code| !is_covered(code)).collect();
    assert!(missing.is_empty(), "no file with {missing:?}");
    approve("checks/operator-bad-json.txt", &check(&["check", "--json"]));
}

#[test]
fn check_of_further_invalid_files_matches_the_approved_text() {
    let folder = TempFolder::new("operator-more");
    let transcript = run_for_each_file(&folder, &["check"], "inputs/operator-files.txt");
    approve("checks/operator-more.txt", &transcript);
}

#[test]
fn check_of_valid_files_matches_the_approved_texts() {
    let folder = corpus("good");
    let names = toml_files(&folder);
    let runs = names.iter().map(|name| Run::new(&["check", name]).within(&folder));
    approve("checks/operator-good.txt", &transcripts(runs));
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let runs = [&["check", "example.toml"][..], &["check", "--json", "example.toml"]];
    let example = transcripts(runs.iter().map(|words| Run::new(words).within(&deploy)));
    let own = Run::new(&["check", "all-terms.toml"]).within(&folder_of_inputs()).transcript();
    approve("checks/operator-examples.txt", &(example + &own));
}

fn folder_of_inputs() -> PathBuf {
    folder().join("inputs")
}

/// Paths that can't be read as a file, and a file with more errors than are shown.
#[test]
fn unreadable_files_match_the_approved_text() {
    let folder = TempFolder::new("operator-none");
    folder.write("too-large.toml", "# a line of remarks\n".repeat((8 << 20) / 20 + 1));
    folder.write("many-faults.toml", (0..300).map(|n| format!("odd{n} = 1\n")).collect::<String>());
    folder.write("hidden-characters.toml", "[node]\nname = '\u{1b}[31m\u{202e}x'\nodd\u{7} = 1\n");
    std::fs::create_dir_all(folder.0.join("folder")).expect("a folder");
    let pipe = folder.0.join("pipe");
    let made = std::process::Command::new("mkfifo").arg(&pipe).status().expect("mkfifo");
    assert!(made.success());
    let mut transcript = String::new();
    for name in ["nowhere.toml", "folder", "pipe", "too-large.toml", "hidden-characters.toml"] {
        let words = [
            &["check", name][..],
            &["check", "--json", name],
            &["run", name],
            &["explain", name, "GET", "/"],
            &["explain", name, "--overload", "--rate", "5/s"],
        ];
        transcript += &transcripts(words.iter().map(|words| Run::new(words).within(&folder.0)));
    }
    approve("checks/operator-none.txt", &transcript);
    assert!([Code::FileTooLarge, Code::UnreadableFile].iter().all(|code| transcript.contains(code.as_str())));
    let last_transcript = Run::new(&["check", "many-faults.toml"]).within(&folder.0).transcript();
    let last = last_transcript.trim_end().lines().last().expect("a line");
    assert_eq!(last, "many-faults.toml: invalid, 200 errors, and 100 more that are not shown");
}

#[test]
fn diagnostic_codes_match_the_approved_list() {
    let mut list = String::new();
    for code in Code::ALL {
        let rule = code.rule().map_or("none".to_string(), |rule| rule.to_string());
        list += &format!("{code} | {rule} | {}\n", code.summary());
    }
    approve("checks/operator-codes.txt", &list);
}

#[test]
fn explain_of_requests_matches_the_approved_texts() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let example: &[&[&str]] = &[
        &["GET", "/tally/7f3a"],
        &["GET", "/tally/%37f3a/../7f3a?a=b&c=%2F"],
        &["POST", "/tally-submit/7f3a", "-H", "Idempotency-Key: 1"],
        &["POST", "/tally-submit/7f3a"],
        &["POST", "/tally-correct/7f3a", "--header", "Host: tally.example"],
        &["GET", "/tally-submit/7f3a"],
        &["GET", "/"],
        &["GET", "/tally/..%2f"],
        &["GET", "/../tally/7f3a"],
        &["GET", "tally"],
        &["GET", "/tally/%zz"],
        &["GET", "/tally/a\\b"],
        &["GET", "/tally/..;a"],
        &["GET", "/tally/7f3a", "-H", "Host: a b"],
        &["BREW", "/tally/7f3a"],
    ];
    let runs = example
        .iter()
        .map(|words| Run::new(&[&["explain", "example.toml"], *words].concat()).within(&deploy));
    approve("checks/explain-example.txt", &transcripts(runs));
    let all: &[&[&str]] = &[
        &["GET", "/look/pati/7f3a"],
        &["GET", "/tight/a%2Fb"],
        &["HEAD", "/plain", "-H", "host: a.example", "-H", "x-api: 2", "-H", "x-beta: yes"],
        &["GET", "/plain"],
        &["PUT", "/submit/a", "-H", "idempotency-key: k"],
        &["POST", "/count/7f3a/key-1?q"],
        &["POST", "/each"],
        &["DELETE", "/correct/a"],
    ];
    let runs = all.iter().map(|words| {
        Run::new(&[&["explain", "all-terms.toml"], *words].concat()).within(&folder_of_inputs())
    });
    approve("checks/explain-all-terms.txt", &transcripts(runs));
}

/// A surge is simulated in virtual time with a seed, so the results are the same in every run.
#[test]
fn explain_of_surges_matches_the_approved_text() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let example: &[&[&str]] = &[
        &["--rate", "500/s"],
        &["--rate", "900/s", "--cores", "2", "--again", "never", "--seed", "5"],
        &[
            "--rate",
            "900",
            "--mix",
            "look=3,tally-correct=1",
            "--service",
            "10ms,look=25ms",
            "--again",
            "at-once",
        ],
        &["--rate", "200000/s"],
        &["--rate", "5/s", "--mix", "swim=1"],
        &["--rate", "5/s", "--mix", "look@pati=1"],
        &["--rate", "5/s", "--service", "swim=1ms"],
    ];
    let runs = example.iter().map(|words| {
        Run::new(&[&["explain", "example.toml", "--overload"], *words].concat()).within(&deploy)
    });
    let mut transcript = transcripts(runs);
    let all: &[&[&str]] = &[&["--rate", "300/s", "--mix", "look=50%,plain@pati=2,correct=1"]];
    let runs = all.iter().map(|words| {
        Run::new(&[&["explain", "all-terms.toml", "--overload"], *words].concat()).within(&folder_of_inputs())
    });
    transcript += &transcripts(runs);
    approve("checks/explain-surge.txt", &transcript);
}

// ---- Starts that fail ----------------------------------------------------------------------------

#[test]
fn platform_node_with_an_invalid_configuration_matches_the_approved_text() {
    let folder = TempFolder::new("platform");
    let names = folder.write_all("inputs/platform-configurations.txt");
    let start = |name: &str| Run::new(&[]).within(&folder.0).with("ROUTER_CONFIG", name);
    let mut transcript = Run::new(&[]).within(&folder.0).transcript();
    transcript += &transcripts(["", "nowhere.json", "."].map(start));
    transcript += &transcripts(names.iter().map(|name| start(name)));
    let variable = |name, value| start("an-address-that-no-machine-has.json").with(name, value);
    transcript += &transcripts([
        variable("ROUTER_LISTEN", "127.0.0.1"),
        variable("ROUTER_LISTEN", "203.0.113.2:80"),
        variable("ROUTER_DISCOVERY", "somewhere"),
        variable("ROUTER_CONSOLE", "somewhere"),
        variable("ROUTER_NAME", "another"),
        // The log level: an invalid one counts as `info`, and the error is logged at that level.
        variable("MARLWINCH_LOG", "error"),
        variable("MARLWINCH_LOG", "nonsense=nonsense=nonsense"),
        variable("MARLWINCH_LOG", "off"),
    ]);
    approve("checks/platform-start.txt", &transcript);
}

#[test]
fn file_node_that_cannot_start_matches_the_approved_text() {
    let folder = TempFolder::new("file-start");
    let text = read("inputs/all-terms.toml");
    let plain = text.replace("[::1]:8080", "203.0.113.1:8080").replace("127.0.0.1:8080", "203.0.113.1:80");
    folder.write("no-listener.toml", &plain);
    let free = text.replace("[::1]:8080", "127.0.0.1:0").replace("127.0.0.1:8080", "127.0.0.1:0");
    let plain_log = free.replace("format = \"json\"", "format = \"text\"");
    folder.write("no-admin.toml", plain_log.replace("127.0.0.1:9100", "203.0.113.1:9100").replace(TRACE, ""));
    folder.write("no-trace.toml", plain_log.replace("trace.jsonl", "nowhere/trace.jsonl"));
    folder.write("refused.toml", "[[listener]]\naddress = \"127.0.0.1:0\"\nport = 1\n");
    let names = ["no-listener.toml", "no-trace.toml", "no-admin.toml", "refused.toml"];
    // Another thread writes log lines, so they are turned off here; the test is about the final error.
    let run = |name: &&str| Run::new(&["run", name]).within(&folder.0).with("MARLWINCH_LOG", "off");
    approve("checks/file-start.txt", &transcripts(names.iter().map(run)));
}

/// The section of `all-terms.toml` that enables the trace.
const TRACE: &str = "[trace]\nfile = \"trace.jsonl\"\nqueue = 100\nmost = \"1MiB\"\n";

/// Roles without settings, with invalid settings, and with settings that lack a required key.
#[test]
fn roles_that_cannot_start_match_the_approved_text() {
    let folder = TempFolder::new("role-start");
    let least = "node_name: n\nip: 203.0.113.1\ninternal_port_range: [7680, 7681]\n";
    folder.write("least.yaml", least);
    folder.write("bad.yaml", least.replace("7681", "7680"));
    folder.write("frontend.yaml", format!("{least}listen: {{frontend: '203.0.113.1:80'}}\n"));
    folder.write("control.yaml", format!("{least}listen: {{control: '203.0.113.1:80'}}\n"));
    folder.write("data.yaml", format!("{least}data_dir: {}/data\n", folder.0.display()));
    let both =
        format!("{least}listen: {{control: '203.0.113.1:80'}}\ndata_dir: {}/data\n", folder.0.display());
    folder.write("both.yaml", both);
    folder.write("bad.toml", "[routing]\nslack = 7\n");
    let start = |role: &str, file: &str| {
        let run = Run::new(&[role]).within(&folder.0).with("MARLWINCH_NODE_FILE", file);
        run.replacing(folder.0.display().to_string(), "(folder)")
    };
    let mut transcript = String::new();
    for role in ["data-plane", "agent", "coordinator"] {
        transcript += &Run::new(&[role]).within(&folder.0).transcript();
        transcript += &transcripts(["", "nowhere.yaml", "bad.yaml"].map(|file| start(role, file)));
        transcript += &start(role, "bad.yaml").with("MARLWINCH_LOG", "off").transcript();
        transcript += &Run::new(&[role, "--policy", "bad.toml"]).within(&folder.0).transcript();
    }
    transcript += &transcripts([start("data-plane", "least.yaml"), start("data-plane", "frontend.yaml")]);
    transcript += &transcripts(
        ["least.yaml", "control.yaml", "data.yaml", "both.yaml"].map(|file| start("coordinator", file)),
    );
    approve("checks/role-start.txt", &transcript);
}

// ---- Tools ---------------------------------------------------------------------------------------

#[test]
fn trial_commands_match_the_approved_text() {
    let folder = TempFolder::new("trials");
    let mut transcript = Run::new(&["trial", "list"]).transcript();
    for name in folder.write_all("inputs/trial-plans.txt") {
        transcript += &Run::new(&["trial", "run", &name]).within(&folder.0).transcript();
    }
    transcript += &Run::new(&["trial", "shrink", "no-toml.toml"]).within(&folder.0).transcript();
    transcript += &run_for_each_file(&folder, &["trial", "judge"], "inputs/histories.txt");
    let page = ["trial", "judge", "passed.jsonl", "--page", "nowhere/page.html"];
    transcript += &Run::new(&page).within(&folder.0).transcript();
    approve("checks/trial.txt", &transcript);
}

#[test]
fn load_plans_and_reports_match_the_approved_text() {
    let folder = TempFolder::new("load");
    let names = folder.write_all("inputs/load.txt");
    let plans = names.iter().filter(|name| name.ends_with(".toml"));
    let run = |words: &[&str]| Run::new(words).within(&folder.0);
    let mut transcript: String = plans.map(|name| run(&["load", name, "127.0.0.1:1"]).transcript()).collect();
    transcript += &run(&["load", "127.0.0.1:1", "--trace", "no-lines.jsonl"]).transcript();
    for (first, second) in [
        ("first.json", "second.json"),
        ("second.json", "first.json"),
        ("first.json", "first.json"),
        ("first.json", "alone.json"),
        ("not-valid.json", "first.json"),
        ("no-notes.json", "first.json"),
        ("another-form.json", "first.json"),
        ("first.json", "no-report.json"),
    ] {
        transcript += &run(&["load", "diff", first, second]).transcript();
    }
    // The table that a run prints at its end, for stored reports.
    for name in ["first.json", "alone.json", "not-valid.json", "no-notes.json"] {
        let report = std::fs::read(folder.0.join(name)).expect("a report");
        let report = load_generator::report::Report::read(&report).expect("a report");
        transcript += &format!("# the table of {name}\n{}\n", report.to_table());
    }
    approve("checks/load.txt", &transcript);
}

/// Starts a coordinator that sends these bytes as the response to one request.
fn start_coordinator(response: String) -> String {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept");
        let (mut request, mut chunk) = (Vec::new(), [0; 512]);
        while !request.ends_with(b"\r\n\r\n") {
            let count = stream.read(&mut chunk).expect("read");
            request.extend_from_slice(&chunk[..count]);
        }
        stream.write_all(response.as_bytes()).expect("write");
    });
    address
}

#[test]
fn status_matches_the_approved_text() {
    let mut transcript = String::new();
    let mut run_status = |name: &str, response: String| {
        let address = start_coordinator(response);
        transcript += &format!("# {name}\n");
        transcript += &Run::new(&["status", &address]).replacing(&address, "(address)").transcript();
    };
    for (name, status) in files(&read("inputs/statuses.txt")) {
        run_status(&name, format!("HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n\r\n{status}"));
    }
    run_status("not found", "HTTP/1.0 404 Not Found\r\n\r\n".into());
    run_status("no end of the head", "HTTP/1.0 200 OK\r\n".into());
    run_status("nothing", String::new());
    // Bound but not listening: connections are refused, and no other process gets the port.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    let closed = socket.local_addr().ok().and_then(|address| address.as_socket()).expect("an address");
    transcript += "# nobody\n";
    let closed = closed.to_string();
    transcript += &Run::new(&["status", &closed]).replacing(&closed, "(address)").transcript();
    approve("checks/status.txt", &transcript);
}
