//! Compatibility of data folders: golden folders of four coordinators are still read, and the core continues
//! with them.
//!
//! `tests/golden/data-folder` has one data folder for each machine (the setting `data_dir`), and a
//! description of their content in `expected.txt`. They are updated only on request: `GOLDEN=write cargo test
//! -p coordinator --test golden_data_folder`. Otherwise a missing or different file fails the test, which
//! shows the first difference.
//!
//! They come from this scenario: three machines start on empty disks and commit configurations; each of them
//! is down for a while, the disk of one is full for a while, one leaves and is replaced by a fourth machine,
//! and finally all processes end without a shutdown except that of the machine that left.
//!
//! - `first`: a log with appended records only.
//! - `full`: a log that was rewritten after the disk had been full.
//! - `left`: the machine that left; it knows the view without itself, and nothing later.
//! - `newcomer`: the machine that joined with an empty disk and a new identity.

mod golden_core;

use ciborium::Value;
use golden_core::{Core, document, settings};
use replication::{Input, Record, Replica, ViewNumber};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tempfile::TempDir;

/// The names of the folders, by machine.
const NAMES: [&str; 4] = ["first", "full", "left", "newcomer"];

/// The machines in the chain of the last view.
const FINAL_CHAIN: [usize; 3] = [0, 1, 3];

/// The last generation that was committed.
const LAST_GENERATION: u64 = 24;

fn golden_folder() -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", "data-folder"].iter().collect()
}

fn is_updating() -> bool {
    std::env::var("GOLDEN").is_ok_and(|value| value == "write")
}

/// The files below a folder, by their relative paths.
fn files(folder: &Path) -> BTreeMap<PathBuf, Vec<u8>> {
    let mut all = BTreeMap::new();
    let mut folders = vec![folder.to_path_buf()];
    while let Some(next) = folders.pop() {
        let entries = std::fs::read_dir(&next).unwrap_or_else(|error| panic!("{}: {error}", next.display()));
        for entry in entries {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
            } else {
                let name = path.strip_prefix(folder).expect("below the folder").to_path_buf();
                all.insert(name, std::fs::read(&path).expect("a file"));
            }
        }
    }
    all
}

fn write(folder: &Path, files: &BTreeMap<PathBuf, Vec<u8>>) {
    for (name, bytes) in files {
        let path = folder.join(name);
        std::fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
        std::fs::write(path, bytes).expect("written");
    }
}

fn assert_same_bytes(name: &Path, golden: &[u8], current: &[u8]) {
    if golden != current {
        let same = golden.iter().zip(current).take_while(|(golden, current)| golden == current).count();
        let part =
            |bytes: &[u8]| String::from_utf8_lossy(&bytes[same..bytes.len().min(same + 60)]).into_owned();
        let (name, old, new) = (name.display(), part(golden), part(current));
        let (expected, found) = (golden.len(), current.len());
        panic!("{name}: {expected} bytes expected, {found} found; differs at byte {same}: {old:?}, {new:?}");
    }
}

/// Runs the scenario on empty folders, and returns the folder that contains them.
fn run_scenario() -> TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    let mut core = Core::new(NAMES.map(|name| folder.path().join(name)).to_vec(), 100);
    let [first, full, left, newcomer] = [0, 1, 2, 3];
    let seeds = [first, full, left];
    seeds.into_iter().for_each(|machine| core.start(machine, true));
    core.until("a chain of three", |core| core.has_chain_of(&seeds));
    core.commit(first, 0, 1);
    core.commit(left, 1, 5);
    for (down, generation) in [(left, 6), (first, 8), (full, 10)] {
        core.stop(down);
        let other = (down + 1) % 3;
        core.until("a chain without it", |core| core.view().is_some_and(|view| view.chain.len() == 2));
        core.commit(other, generation - 1, generation);
        core.commit(other, generation, generation + 1);
        core.start(down, true);
        core.until("a chain of three", |core| core.has_chain_of(&seeds));
    }
    core.commit(first, 11, 20);
    core.machines[full].is_full = true;
    core.commit(left, 20, 21);
    core.run_for(Duration::from_secs(2));
    core.machines[full].is_full = false;
    core.run_for(Duration::from_secs(2));
    core.until("a chain of three", |core| core.has_chain_of(&seeds));
    core.commit(full, 21, 22);
    core.start(newcomer, false);
    core.run_for(Duration::from_secs(1));
    core.handle(left, Input::Shutdown);
    core.until("the last chain", |core| core.has_chain_of(&FINAL_CHAIN));
    core.run_for(Duration::from_millis(500));
    core.stop(left);
    core.commit(newcomer, 22, 23);
    core.commit(first, 23, LAST_GENERATION);
    core.run_for(Duration::from_secs(1));
    folder
}

/// A copy of the golden folders, so that tests don't change them. While the golden files are updated, the
/// result of the scenario instead.
fn golden_copy() -> TempDir {
    if is_updating() {
        return run_scenario();
    }
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path(), &files(&golden_folder()));
    folder
}

/// The encoded records in a machine's folder.
fn stored(data: &Path) -> Vec<Vec<u8>> {
    record_log::open(&data.join("replica")).expect("the log opens").1
}

/// Formats a CBOR value. Bytes are shown as text if they are JSON, and in hex otherwise.
fn format_value(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::Bool(value) => value.to_string(),
        Value::Integer(number) => i128::from(*number).to_string(),
        Value::Text(text) => format!("'{text}'"),
        Value::Bytes(bytes) => match std::str::from_utf8(bytes) {
            Ok(text) if text.starts_with('{') => text.into(),
            _ => bytes.iter().map(|byte| format!("{byte:02x}")).collect(),
        },
        Value::Array(items) => format!("[{}]", items.iter().map(format_value).collect::<Vec<_>>().join(" ")),
        Value::Map(entries) => {
            let entry = |(key, item): &(Value, Value)| {
                format!("{} {}", key.as_text().expect("keys are texts"), format_value(item))
            };
            format!("({})", entries.iter().map(entry).collect::<Vec<_>>().join(", "))
        }
        other => panic!("no such value is stored: {other:?}"),
    }
}

fn decoded(bytes: &[u8]) -> Value {
    ciborium::from_reader(bytes).expect("CBOR")
}

/// Describes the records in each folder, and the state of a replica that is opened with them.
fn describe(folder: &Path) -> String {
    let mut text = String::new();
    for (machine, name) in NAMES.iter().enumerate() {
        let data = folder.join(name);
        let _ = writeln!(text, "## {name}");
        for bytes in stored(&data) {
            let _ = writeln!(text, "{}", format_value(&decoded(&bytes)));
        }
        let (_, records) = coordinator::log_file::open(&data).expect("the log opens");
        let (replica, _) = Replica::open(settings(machine, true), records, 900, Duration::ZERO);
        let status = replica.status();
        let view = status.view.expect("a view");
        let _ = writeln!(text, "identity {:016x}", status.id.get());
        let _ = writeln!(text, "view {}, idle since {:?}", view.number, view.idle_since.map(ViewNumber::get));
        for voter in &view.voters {
            let _ = writeln!(text, "voter {:016x} at {} in '{}'", voter.id.0, voter.address, voter.zone);
        }
        let chain: Vec<String> = view.chain.iter().map(|id| format!("{:016x}", id.get())).collect();
        let _ = writeln!(text, "chain {}", chain.join(" "));
        let (stored, committed, generation) = (status.stored, status.committed, status.generation);
        let _ = writeln!(text, "stored {stored}, committed {committed}, generation {generation}\n");
    }
    text
}

#[test]
fn the_scenario_writes_the_golden_folders() {
    let folder = run_scenario();
    let description = describe(folder.path());
    std::fs::write(folder.path().join("expected.txt"), description).expect("written");
    let current = files(folder.path());
    if is_updating() {
        let _ = std::fs::remove_dir_all(golden_folder());
        return write(&golden_folder(), &current);
    }
    let golden = files(&golden_folder());
    assert!(golden.keys().eq(current.keys()), "expected {:?}, found {:?}", golden.keys(), current.keys());
    golden.iter().for_each(|(name, bytes)| assert_same_bytes(name, bytes, &current[name]));
}

#[test]
fn golden_folders_have_the_described_content() {
    let folder = golden_copy();
    let description = describe(folder.path());
    if !is_updating() {
        let golden = std::fs::read_to_string(golden_folder().join("expected.txt")).expect("expected.txt");
        assert_same_bytes(Path::new("expected.txt"), golden.as_bytes(), description.as_bytes());
    }
    for generation in [1, 5, 11, 20, LAST_GENERATION] {
        let document = String::from_utf8(document(generation)).expect("a text");
        assert!(description.contains(&document), "no configuration of generation {generation}");
        assert!(configuration::check(document.as_bytes()).is_ok(), "it is a configuration");
    }
}

#[test]
fn golden_records_are_rewritten_with_the_same_bytes() {
    let folder = golden_copy();
    let mut kinds = BTreeSet::new();
    for name in NAMES {
        let data = folder.path().join(name);
        let golden = stored(&data);
        let (mut log, records) = coordinator::log_file::open(&data).expect("the log opens");
        assert_eq!(records.len(), golden.len());
        log.rewrite(&records).expect("rewritten");
        drop(log);
        assert_eq!(stored(&data), golden, "{name}");
        let kind = |bytes: &Vec<u8>| decoded(bytes).as_map()?.first()?.0.as_text().map(String::from);
        kinds.extend(golden.iter().filter_map(kind));
    }
    let all = ["Accept", "Entry", "Identity", "Promise", "Synced", "Transfer", "View"];
    assert!(kinds.iter().map(String::as_str).eq(all), "{kinds:?}");
}

#[test]
fn records_can_be_appended_to_golden_folders() {
    let folder = golden_copy();
    for name in NAMES {
        let data = folder.path().join(name);
        let (mut log, records) = coordinator::log_file::open(&data).expect("the log opens");
        assert!(records.len() > 2, "{name}: {} records", records.len());
        let appended: Vec<Record> = records.iter().rev().take(2).cloned().collect();
        log.append(&appended).expect("appended");
        drop(log);
        let (_, recovered) = coordinator::log_file::open(&data).expect("the log opens");
        assert_eq!(recovered, [records, appended].concat(), "{name}");
    }
}

/// All machines restart from their folders, including the one that left.
#[test]
fn a_core_continues_from_golden_folders() {
    let folder = golden_copy();
    let paths: Vec<PathBuf> = NAMES.map(|name| folder.path().join(name)).to_vec();
    let mut core = Core::new(paths.clone(), 200);
    (0..NAMES.len()).for_each(|machine| core.start(machine, true));
    core.until("the last chain", |core| core.has_chain_of(&FINAL_CHAIN));
    let ids: Vec<_> = (0..NAMES.len()).map(|machine| core.id(machine)).collect();
    core.commit(0, LAST_GENERATION, 30);
    core.commit(2, 30, 31);
    core.until("the configuration everywhere", |core| {
        (0..NAMES.len()).all(|machine| core.replica(machine).status().generation.get() == 31)
    });
    (0..NAMES.len()).for_each(|machine| core.stop(machine));
    let mut core = Core::new(paths, 300);
    (0..NAMES.len()).for_each(|machine| core.start(machine, true));
    for machine in 0..NAMES.len() {
        assert_eq!(core.id(machine), ids[machine], "{}", NAMES[machine]);
    }
    core.until("the last chain", |core| core.has_chain_of(&FINAL_CHAIN));
    core.commit(1, 31, 32);
    assert!(FINAL_CHAIN.iter().all(|machine| core.replica(*machine).status().generation.get() >= 31));
}
