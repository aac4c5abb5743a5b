//! Compares `--help`, `--version` and usage errors of every command with approved texts, byte for byte:
//! standard output, standard error and exit code.
//!
//! The approved texts are below `tests/golden/cli/help` and `tests/golden/cli/usage`. `GOLDEN=write cargo
//! test -p marlwinch --test golden_cli` writes them; without that variable a missing or different text fails
//! its test. `(version)` stands for the version of the program.

mod golden_cli_support;

use golden_cli_support::{Run, TempFolder, approve, transcripts};
use marlwinch::command::system;
use marlwinch_roles::RoleCommand;
use std::collections::BTreeSet;

/// A command, and invalid arguments of it. The program exits at once on each of these.
struct CommandCase {
    words: &'static [&'static str],
    invalid: &'static [&'static [&'static str]],
}

/// The commands of the standalone proxy and its tools.
const PROXY_COMMANDS: &[CommandCase] = &[
    CommandCase {
        words: &[],
        invalid: &[
            &["swim"],
            &["chek"],
            &["--swim"],
            &["-x"],
            &["--versio"],
            &["--version=1"],
            &["help", "swim"],
            &["check-setting"],
        ],
    },
    CommandCase {
        words: &["demo"],
        invalid: &[
            &["swim"],
            &["--swim"],
            &["--second", "5"],
            &["--seconds"],
            &["--seconds", "2"],
            &["--seconds", "3601"],
            &["--seconds", "soon"],
            &["--seconds", "5", "--seconds", "6"],
            &["--html"],
        ],
    },
    CommandCase {
        words: &["load"],
        invalid: &[
            &[],
            &["--swim"],
            &["plan.toml", "127.0.0.1:1", "more"],
            &["127.0.0.1:1", "--rate", "5"],
            &["127.0.0.1:1", "--rate", "many", "--for", "1s"],
            &["127.0.0.1:1", "--rate", "5", "--for", "5"],
            &["127.0.0.1:1", "--rate", "5", "--for"],
            &["127.0.0.1:1", "--rate", "5", "--for", "1s", "--repeat", "0"],
            &["127.0.0.1:1", "--rate", "5", "--for", "1s", "--repeat", "101"],
            &["127.0.0.1:1", "--rate", "5", "--for", "1s", "--speed", "fast"],
            &["127.0.0.1:1", "--rate", "5", "--for", "1s", "--threads", "-1"],
            &["127.0.0.1:1", "--rate", "5", "--for", "1s", "--connections", "few"],
            &["--json"],
            &["--html"],
            &["--trace"],
            // Errors that the parser does not detect.
            &["127.0.0.1", "--rate", "5", "--for", "1s"],
            &["here:80", "--rate", "5", "--for", "1s"],
            &["10.0.0.1:80", "--rate", "5", "--for", "1s"],
            &["http://127.0.0.1:1/a b", "--rate", "5", "--for", "1s"],
            &["127.0.0.1:1", "--rate", "0", "--for", "0s"],
            &["127.0.0.1:1", "--rate", "1e9", "--for", "1s"],
            &["127.0.0.1:1", "--for", "1s"],
            &["plan.toml"],
            &["plan.toml", "127.0.0.1:1"],
            &["127.0.0.1:1", "--trace", "trace.jsonl"],
        ],
    },
    CommandCase {
        words: &["load", "diff"],
        invalid: &[
            &[],
            &["first.json"],
            &["first.json", "second.json", "third.json"],
            &["--swim"],
            &["first.json", "second.json"],
        ],
    },
    CommandCase { words: &["trial"], invalid: &[&[], &["swim"], &["--swim"], &["rum"], &["help", "swim"]] },
    CommandCase { words: &["trial", "list"], invalid: &[&["more"], &["--swim"]] },
    CommandCase {
        words: &["trial", "run"],
        invalid: &[
            &[],
            &["stalled", "more"],
            &["stalled", "--swim"],
            &["stalled", "--seed"],
            &["stalled", "--seed", "one"],
            &["stalled", "--runs", "0"],
            &["stalled", "--runs", "10001"],
            &["stalled", "--report"],
            &["stalled", "--json"],
            &["stalled", "--program"],
            &["stalled", "--program", "nowhere/at-all"],
            &["nowhere.toml"],
        ],
    },
    CommandCase {
        words: &["trial", "judge"],
        invalid: &[&[], &["a.jsonl", "b.jsonl"], &["--swim"], &["a.jsonl", "--page"], &["a.jsonl"]],
    },
    CommandCase {
        words: &["trial", "shrink"],
        invalid: &[
            &[],
            &["stalled", "more"],
            &["stalled", "--swim"],
            &["stalled", "--seed", "one"],
            &["stalled", "--plays", "some"],
            &["nowhere.toml"],
        ],
    },
    // Hidden: a trial starts it itself.
    CommandCase { words: &["trial", "keep"], invalid: &[&[], &["--swim"], &["nowhere/at-all"]] },
    CommandCase {
        words: &["run"],
        invalid: &[&[], &["a.toml", "b.toml"], &["--swim"], &["--config", "a.toml"]],
    },
    CommandCase {
        words: &["check"],
        invalid: &[&[], &["a.toml", "b.toml"], &["--swim"], &["--jsn", "a.toml"], &["--json"]],
    },
    CommandCase {
        words: &["explain"],
        invalid: &[
            &[],
            &["a.toml"],
            &["a.toml", "GET"],
            &["a.toml", "G ET", "/"],
            &["a.toml", "GET", "/", "more"],
            &["a.toml", "GET", "/", "--swim"],
            &["a.toml", "GET", "/", "-H"],
            &["a.toml", "GET", "/", "-H", "no colon"],
            &["a.toml", "GET", "/", "-H", "a name: 1"],
            &["a.toml", "GET", "/", "-H", "name: 1\u{7}"],
            &["a.toml", "--overload"],
            &["a.toml", "--rate", "5/s"],
            &["a.toml", "GET", "/", "--mix", "look=1"],
            &["a.toml", "--overload", "--rate"],
            &["a.toml", "--overload", "--rate", "many"],
            &["a.toml", "--overload", "--rate", "0/s"],
            &["a.toml", "--overload", "--rate", "5/s", "GET", "/"],
            &["a.toml", "--overload", "--rate", "5/s", "-H", "a: 1"],
            &["a.toml", "--overload", "--rate", "5/s", "--mix", "look"],
            &["a.toml", "--overload", "--rate", "5/s", "--mix", "look=none"],
            &["a.toml", "--overload", "--rate", "5/s", "--service", "soon"],
            &["a.toml", "--overload", "--rate", "5/s", "--service", "look=0ms"],
            &["a.toml", "--overload", "--rate", "5/s", "--cores", "0"],
            &["a.toml", "--overload", "--rate", "5/s", "--again", "perhaps"],
            &["a.toml", "--overload", "--rate", "5/s", "--seed", "x"],
        ],
    },
];

/// Invalid arguments of a role. The role is not started.
const INVALID_ROLE_ARGUMENTS: &[&[&str]] = &[
    &["swim"],
    &["--swim"],
    &["--metric", "9464/metrics"],
    &["--metrics"],
    &["--metrics", "9464"],
    &["--metrics", "0/metrics"],
    &["--metrics", "70000/metrics"],
    &["--metrics", "9464/"],
    &["--metrics", "9464/a b"],
    &["--metrics", "9464/a", "--metrics", "9465/a"],
    &["--policy"],
    &["--policy", "nowhere.toml"],
    &["--policy", "bad.toml"],
    &["--version"],
];

/// Invalid arguments of a command that checks a file.
const INVALID_CHECK_ARGUMENTS: &[&[&str]] = &[&[], &["a", "b"], &["--swim"], &["--version"]];

/// The commands of the distributed system: its roles and tools.
const SYSTEM_COMMANDS: &[CommandCase] = &[
    CommandCase { words: &["data-plane"], invalid: INVALID_ROLE_ARGUMENTS },
    CommandCase { words: &["agent"], invalid: INVALID_ROLE_ARGUMENTS },
    CommandCase { words: &["coordinator"], invalid: INVALID_ROLE_ARGUMENTS },
    CommandCase { words: &["check-settings"], invalid: INVALID_CHECK_ARGUMENTS },
    CommandCase { words: &["check-configuration"], invalid: INVALID_CHECK_ARGUMENTS },
    CommandCase { words: &["check-policy"], invalid: INVALID_CHECK_ARGUMENTS },
    CommandCase {
        words: &["status"],
        invalid: &[
            &[],
            &["10.0.0.4"],
            &["core-1:8665"],
            &["[::1]:8665"],
            &["10.0.0.4:8665", "10.0.0.5:8665"],
            &["--swim"],
            &["--version"],
        ],
    },
    CommandCase {
        words: &["demo-fleet"],
        invalid: &[
            &["swim"],
            &["--swim"],
            &["--for"],
            &["--for", "1s"],
            &["--for", "11m"],
            &["--for", "15"],
            &["--rate"],
            &["--rate", "0"],
            &["--rate", "1001"],
            &["--rate", "many"],
            &["--seed", "x"],
            &["--keep=1"],
            &["--version"],
        ],
    },
];

/// The name of a command in the names of its files.
fn file_name(command: &CommandCase) -> String {
    if command.words.is_empty() { "marlwinch".into() } else { command.words.join("-") }
}

fn run(command: &CommandCase, more: &[&str]) -> Run {
    Run::new(&[command.words, more].concat())
}

/// The output of the long and the short flag, at the default width.
fn help_transcripts(command: &CommandCase) -> String {
    transcripts([run(command, &["--help"]), run(command, &["-h"])])
}

#[test]
fn help_matches_the_approved_texts() {
    for command in PROXY_COMMANDS.iter().chain(SYSTEM_COMMANDS) {
        approve(&format!("help/{}.txt", file_name(command)), &help_transcripts(command));
    }
}

/// Also with a terminal whose width is unknown.
#[test]
fn help_wraps_at_the_width_of_the_terminal_within_bounds() {
    for width in ["40", "200", ""] {
        let runs = [&["--help"][..], &["load", "--help"], &["agent", "--help"], &["demo-fleet", "--help"]];
        let runs = runs.iter().map(|arguments| Run::new(arguments).with("COLUMNS", width));
        let name = if width.is_empty() { "unknown" } else { width };
        approve(&format!("help/width-{name}.txt"), &transcripts(runs));
    }
}

#[test]
fn help_command_and_help_flag_print_the_same_text() {
    for command in PROXY_COMMANDS {
        let output = |run: Run| String::from_utf8(run.output().stdout).expect("a text");
        let arguments = match command.words {
            ["load", "diff"] => continue, // `load` has no `help` command, as it takes arguments of its own
            ["trial", rest @ ..] if !rest.is_empty() => [&["trial", "help"], rest].concat(),
            words => [&["help"], words].concat(),
        };
        let (by_command, by_flag) = (output(Run::new(&arguments)), output(run(command, &["--help"])));
        assert_eq!(by_command, by_flag, "{arguments:?}");
    }
}

#[test]
fn version_matches_the_approved_text() {
    let runs = [&["--version"][..], &["-V"], &["run", "--version"], &["load", "-V"]];
    let version = env!("CARGO_PKG_VERSION");
    let runs = runs.iter().map(|arguments| Run::new(arguments).replacing(version, "(version)"));
    approve("help/version.txt", &transcripts(runs));
}

#[test]
fn usage_errors_match_the_approved_texts() {
    let folder = TempFolder::new("usage");
    folder.write("bad.toml", "[routing]\nslack = 7\n");
    for command in PROXY_COMMANDS.iter().chain(SYSTEM_COMMANDS) {
        let runs = command.invalid.iter().map(|more| run(command, more).within(&folder.0));
        approve(&format!("usage/{}.txt", file_name(command)), &transcripts(runs));
    }
}

/// The commands that a help text lists.
fn listed_commands(help: &str) -> BTreeSet<String> {
    let commands = help.split("Commands:\n").nth(1).unwrap_or_default();
    let lines = commands.lines().take_while(|line| !line.is_empty());
    let entry =
        |line: &str| line.strip_prefix("  ").filter(|rest| !rest.starts_with(' ')).map(str::to_string);
    let words = lines.filter_map(entry).filter_map(|line| line.split(' ').next().map(str::to_string));
    words.filter(|word| word != "help").collect()
}

/// The commands below these words that the tests cover.
fn covered_commands(words: &[&str]) -> BTreeSet<String> {
    let below = PROXY_COMMANDS.iter().filter_map(|command| command.words.strip_prefix(words));
    below.filter_map(|rest| rest.first()).map(|word| word.to_string()).collect()
}

/// Fails for a new command without approved texts: the help and the tests must list the same commands.
#[test]
fn every_proxy_command_has_approved_texts() {
    let help = |words: &[&str]| {
        let arguments = [words, &["--help"]].concat();
        String::from_utf8(Run::new(&arguments).output().stdout).expect("a text")
    };
    assert_eq!(listed_commands(&help(&[])), covered_commands(&[]));
    assert_eq!(listed_commands(&help(&["load"])), covered_commands(&["load"]));
    // Only trials use it, so the help does not list it.
    let hidden = BTreeSet::from(["keep".to_string()]);
    assert_eq!(listed_commands(&help(&["trial"])), &covered_commands(&["trial"]) - &hidden);
}

/// Fails for a new command without approved texts: `word` does not compile until it names the command.
#[test]
fn every_system_command_has_approved_texts() {
    use system::Command;
    fn word(command: &Command) -> &'static str {
        match command {
            Command::Role(role) => match **role {
                RoleCommand::DataPlane(_) => "data-plane",
                RoleCommand::Agent(_) => "agent",
                RoleCommand::Coordinator(_) => "coordinator",
            },
            Command::CheckSettings { .. } => "check-settings",
            Command::CheckConfiguration { .. } => "check-configuration",
            Command::CheckPolicy { .. } => "check-policy",
            Command::Status { .. } => "status",
            Command::DemoFleet(_) => "demo-fleet",
        }
    }
    let file = || std::path::PathBuf::from("a");
    let options = role_runtime::process::RoleOptions::default;
    let all = [
        Command::Role(Box::new(RoleCommand::DataPlane(options()))),
        Command::Role(Box::new(RoleCommand::Agent(options()))),
        Command::Role(Box::new(RoleCommand::Coordinator(options()))),
        Command::CheckSettings { file: file() },
        Command::CheckConfiguration { file: file() },
        Command::CheckPolicy { file: file() },
        Command::Status { address: std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 1) },
    ];
    let mut words: BTreeSet<_> = all.iter().map(word).collect();
    words.insert("demo-fleet");
    let approved: BTreeSet<_> = SYSTEM_COMMANDS.iter().map(|command| command.words[0]).collect();
    assert_eq!(words, approved);
    assert!(approved.iter().all(|word| system::is_command(word)));
    // The commands of the proxy are parsed by `cli`.
    assert!(
        !PROXY_COMMANDS
            .iter()
            .filter_map(|command| command.words.first())
            .any(|word| system::is_command(word))
    );
}
