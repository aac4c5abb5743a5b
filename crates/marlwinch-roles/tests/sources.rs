//! What the platform's rule on sources allows: outside tests, no source names the programs that judge a
//! deployment, preloading, tracing of other processes or shared memory. A platform that finds such a name
//! builds nothing, so that no role starts anywhere.

use std::fs;
use std::path::{Path, PathBuf};

/// What no source may name, in lower case, with what it stands for.
const FORBIDDEN: [(&str, &[&str]); 4] = [
    (
        "the programs that judge a deployment",
        &["given/kit", "kit/bin", "kit/more", "kit/real", "fleetbench", "lbreal", "lbsim"],
    ),
    ("preloading", &["ld_preload", "ld.so.preload", "ld_audit"]),
    (
        "tracing of other processes",
        &[
            "ptrace",
            "process_vm_readv",
            "process_vm_writev",
            "pidfd_getfd",
            "/mem\"",
            "/proc/kcore",
            "strace",
        ],
    ),
    (
        "shared memory",
        &[
            "/dev/shm",
            "shm_open",
            "shm_unlink",
            "shmget",
            "shmat",
            "memfd",
            "map_shared",
            "mq_open",
            "/dev/mqueue",
            "/dev/mem",
            "shared memory",
            "shared_memory",
        ],
    ),
];
/// Folders at the root that hold no sources: pages, records, and what a build makes.
const NO_SOURCES: [&str; 6] = [".git", "target", "journal", "docs", "found", "logs"];
/// Folders that hold tests alone.
const TESTS: &str = "tests";
/// Modules of tests beside the code.
const TEST_MODULE: &str = "tests.rs";
/// Files of pages and records, which no build reads.
const NO_SOURCE_EXTENSIONS: [&str; 4] = ["md", "txt", "json", "svg"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// All sources below the root, without tests.
fn sources(root: &Path) -> Vec<PathBuf> {
    let mut sources = Vec::new();
    let mut folders = vec![root.to_path_buf()];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(&folder).expect("a folder") {
            let path = entry.expect("an entry").path();
            let name = path.file_name().and_then(|name| name.to_str()).expect("a name");
            let extension = path.extension().and_then(|extension| extension.to_str()).unwrap_or_default();
            if path.is_dir() {
                let is_excluded = folder == root && NO_SOURCES.contains(&name) || name == TESTS;
                if !is_excluded {
                    folders.push(path);
                }
            } else if name != TEST_MODULE && !NO_SOURCE_EXTENSIONS.contains(&extension) {
                sources.push(path);
            }
        }
    }
    sources.sort();
    sources
}

/// The violations in a text: the number of the line, what it stands for, and the name.
fn violations(text: &str) -> Vec<(usize, &'static str, &'static str)> {
    let mut found = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.to_lowercase();
        for (meaning, names) in FORBIDDEN {
            for name in names.iter().filter(|name| line.contains(**name)) {
                found.push((index + 1, meaning, *name));
            }
        }
    }
    found
}

#[test]
fn no_source_has_a_name_for_which_a_platform_refuses_to_build() {
    let sources = sources(&root());
    assert!(sources.len() > 300, "{} sources were found", sources.len());
    let mut found = Vec::new();
    for path in &sources {
        // A file that is no text can't be read as a source.
        let Ok(text) = fs::read_to_string(path) else { continue };
        for (line, meaning, name) in violations(&text) {
            found.push(format!("{}:{line}: {meaning}: {name}", path.display()));
        }
    }
    assert!(found.is_empty(), "{}", found.join("\n"));
}

#[test]
fn sources_are_those_that_a_build_reads_and_scripts_beside_them() {
    let sources = sources(&root());
    let has = |path: &str| sources.iter().any(|source| source.ends_with(path));
    assert!(has("crates/control-trials/src/trial.rs") && has("crates/coordinator/src/process.rs"));
    assert!(has("Cargo.toml") && has("deploy/system.toml") && has(".ci/run") && has(".cargo/config.toml"));
    assert!(!has("crates/marlwinch-roles/tests/sources.rs") && !has("README.md"));
}

#[test]
fn each_kind_of_forbidden_name_is_found() {
    let memory = "const MEMORY_FOLDER: &str = \"/dev/shm\";";
    assert_eq!(violations(&format!("//! A trial.\n{memory}")), [(2, "shared memory", "/dev/shm")]);
    assert_eq!(violations("command.env(\"LD_PRELOAD\", library);")[0].1, "preloading");
    assert_eq!(violations("fs::read(format!(\"/proc/{pid}/mem\"))")[0].1, "tracing of other processes");
    assert_eq!(violations("nix::sys::ptrace::attach(pid)?;")[0].1, "tracing of other processes");
    assert_eq!(violations("../given/kit/bin/judge")[0].1, "the programs that judge a deployment");
    assert!(violations("fs::read_to_string(\"/proc/meminfo\")?; // the machine's memory").is_empty());
}
