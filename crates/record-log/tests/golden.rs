//! The files of a log are compared byte for byte with golden files.
//!
//! Golden files are written only by `GOLDEN=write cargo test -p record-log --test golden`. Otherwise a
//! missing or different file fails the test, which prints the first difference. Each folder in `tests/golden`
//! is the folder of a log:
//!
//! - `appended`: batches of one, several and no records, of empty records, and of one with all byte values.
//! - `rewritten`: the same log after a rewrite and an append.
//! - `rewritten-often`: a log whose epoch has two digits.
//! - `torn`: as `appended`, with an incomplete last batch.
//! - `interrupted`: as `rewritten`, with a file that an interrupted rewrite has left.
//! - `superseded`: as `rewritten`, with the old file that was not removed.
//! - `damaged`: as `appended`, with one changed byte in an acknowledged batch.
//! - `empty`: only an empty file, as a power loss during the first write leaves it.
//!
//! `errors.txt` has the message of each error.

use record_log::{DiskFolder, Log, LogError, open};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

type Records = Vec<Vec<u8>>;

/// The contents of the files of a folder, by name.
type Files = BTreeMap<String, Vec<u8>>;

const FIRST_FILE: &str = "records-0000000000000001";
const SECOND_FILE: &str = "records-0000000000000002";

fn golden(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name].iter().collect()
}

fn is_writing() -> bool {
    std::env::var("GOLDEN").is_ok_and(|value| value == "write")
}

fn files(folder: &Path) -> Files {
    let entries = std::fs::read_dir(folder).unwrap_or_else(|error| panic!("{}: {error}", folder.display()));
    let read = |entry: std::io::Result<std::fs::DirEntry>| {
        let entry = entry.expect("an entry");
        let bytes = std::fs::read(entry.path()).expect("a file");
        (entry.file_name().into_string().expect("a name"), bytes)
    };
    entries.map(read).collect()
}

fn write(folder: &Path, files: &Files) {
    std::fs::create_dir_all(folder).expect("a folder");
    for (name, bytes) in files {
        std::fs::write(folder.join(name), bytes).expect("written");
    }
}

/// Asserts that a golden folder has exactly these files; in writing mode, writes it.
fn assert_matches_golden(name: &str, actual: &Files) {
    let folder = golden(name);
    if is_writing() {
        let _ = std::fs::remove_dir_all(&folder);
        return write(&folder, actual);
    }
    let expected = files(&folder);
    assert!(
        expected.keys().eq(actual.keys()),
        "{name}: expected {:?}, actual {:?}",
        expected.keys(),
        actual.keys()
    );
    for (file, bytes) in &expected {
        assert_same_bytes(&format!("{name}/{file}"), bytes, &actual[file]);
    }
}

fn assert_same_bytes(name: &str, expected: &[u8], actual: &[u8]) {
    if expected != actual {
        let same = expected.iter().zip(actual).take_while(|(expected, actual)| expected == actual).count();
        let part = |bytes: &[u8]| bytes[same..bytes.len().min(same + 16)].to_vec();
        let (old, new) = (part(expected), part(actual));
        panic!(
            "{name}: expected {} bytes, actual {}; first difference at byte {same}: {old:?}, {new:?}",
            expected.len(),
            actual.len()
        );
    }
}

/// A copy of a golden folder, so that tests do not change the original. In writing mode, a copy of the folder
/// to be written.
fn copy(name: &str, fresh: fn() -> Files) -> TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path(), &if is_writing() { fresh() } else { files(&golden(name)) });
    folder
}

/// The batches of `appended`.
fn batches() -> Vec<Records> {
    vec![
        vec![b"first".to_vec()],
        vec![b"second".to_vec(), Vec::new(), b"mwrl".to_vec()],
        Vec::new(),
        vec![(0..=255).collect()],
        vec![vec![0; 5_000]],
        vec![Vec::new()],
        vec![b"last".to_vec(), b"but not least".to_vec()],
    ]
}

/// The batches of `rewritten`: the rewritten one, then the appended one.
fn rewritten_batches() -> Vec<Records> {
    vec![vec![b"all".to_vec(), b"anew".to_vec()], vec![b"and more".to_vec()]]
}

fn slices(records: &Records) -> Vec<&[u8]> {
    records.iter().map(Vec::as_slice).collect()
}

/// The files that a log writes in an empty folder.
fn written(steps: impl Fn(&mut Log<DiskFolder>)) -> Files {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, found) = open(folder.path()).expect("opens");
    assert_eq!(found, Records::new());
    steps(&mut log);
    drop(log);
    files(folder.path())
}

fn append_all(log: &mut Log<DiskFolder>) {
    batches().iter().for_each(|batch| log.append(&slices(batch)).expect("appends"));
}

fn rewrite(log: &mut Log<DiskFolder>) {
    let [first, second] = [0, 1].map(|at| rewritten_batches()[at].clone());
    log.rewrite(&slices(&first)).expect("rewrites");
    log.append(&slices(&second)).expect("appends");
}

fn appended() -> Files {
    written(append_all)
}

fn rewritten() -> Files {
    written(|log| {
        append_all(log);
        rewrite(log);
    })
}

fn rewritten_often() -> Files {
    written(|log| (0..12).for_each(|_| rewrite(log)))
}

fn torn() -> Files {
    let mut files = appended();
    let file = files.get_mut(FIRST_FILE).expect("the first file");
    file.truncate(file.len() - 9);
    files
}

fn interrupted() -> Files {
    let mut files = rewritten();
    let half = files[SECOND_FILE][..25].to_vec();
    files.insert("records-0000000000000003".into(), half);
    files
}

fn superseded() -> Files {
    appended().into_iter().chain(rewritten()).collect()
}

fn damaged() -> Files {
    let mut files = appended();
    files.get_mut(FIRST_FILE).expect("the first file")[62] ^= 1;
    files
}

fn empty() -> Files {
    Files::from([(FIRST_FILE.into(), Vec::new())])
}

/// The folders that can be opened: the name, the function that writes it, and the expected batches.
type GoldenLog = (&'static str, fn() -> Files, Vec<Records>);

fn golden_logs() -> Vec<GoldenLog> {
    let mut without_last = batches();
    without_last.pop();
    vec![
        ("appended", appended, batches()),
        ("rewritten", rewritten, rewritten_batches()),
        ("rewritten-often", rewritten_often, rewritten_batches()),
        ("torn", torn, without_last),
        ("interrupted", interrupted, rewritten_batches()),
        ("superseded", superseded, rewritten_batches()),
        ("empty", empty, Vec::new()),
    ]
}

#[test]
fn logs_are_written_byte_for_byte_as_before() {
    for (name, fresh, _) in golden_logs() {
        assert_matches_golden(name, &fresh());
    }
    assert_matches_golden("damaged", &damaged());
    assert_eq!(rewritten().into_keys().collect::<Vec<_>>(), [SECOND_FILE]);
    assert_eq!(rewritten_often().into_keys().collect::<Vec<_>>(), ["records-0000000000000012"]);
}

#[test]
fn golden_logs_are_read() {
    for (name, fresh, batches) in golden_logs() {
        let folder = copy(name, fresh);
        let (_, found) = open(folder.path()).expect("opens");
        assert_eq!(found, batches.concat(), "{name}");
    }
}

/// A log that is read and written again, batch by batch, has the same bytes.
#[test]
fn golden_logs_are_rewritten_with_the_same_bytes() {
    let folder = copy("appended", appended);
    let (_, mut found) = open(folder.path()).expect("opens");
    let sizes = batches().into_iter().map(|batch| batch.len());
    let read: Vec<Records> = sizes.map(|size| found.drain(..size).collect()).collect();
    assert!(found.is_empty());
    let actual = written(|log| read.iter().for_each(|batch| log.append(&slices(batch)).expect("appends")));
    assert_same_bytes("appended", &files(folder.path())[FIRST_FILE], &actual[FIRST_FILE]);
}

/// Records can be appended to a golden log as if it had never been closed.
#[test]
fn golden_logs_can_be_appended_to() {
    for (name, fresh, mut batches) in golden_logs() {
        let folder = copy(name, fresh);
        let (mut log, _) = open(folder.path()).expect("opens");
        let more = vec![b"more".to_vec(), b"and still more".to_vec()];
        log.append(&slices(&more)).expect("appends");
        drop(log);
        batches.push(more.clone());
        let (mut log, found) = open(folder.path()).expect("opens");
        assert_eq!(found, batches.concat(), "{name}");
        log.rewrite(&slices(&more)).expect("rewrites");
        drop(log);
        assert_eq!(open(folder.path()).expect("opens").1, more, "{name}");
        assert_eq!(files(folder.path()).len(), 1, "{name}");
    }
    let folder = copy("torn", torn);
    let (mut log, _) = open(folder.path()).expect("opens");
    log.append(&slices(&batches()[batches().len() - 1])).expect("appends");
    assert_same_bytes(
        "torn, with its last batch appended again",
        &appended()[FIRST_FILE],
        &files(folder.path())[FIRST_FILE],
    );
}

#[test]
fn error_texts_are_unchanged() {
    let cause = || std::io::Error::other("the cause");
    let folder = copy("damaged", damaged);
    let error = open(folder.path()).map(|(_, found)| found).expect_err("the log is damaged");
    let name = |error: &LogError| match error {
        LogError::Disk(..) => "disk",
        LogError::Damaged(..) => "damaged",
        LogError::TooLong => "too long",
        LogError::NeedsRewrite => "needs a rewrite",
    };
    let all = [error, LogError::Disk("append", cause()), LogError::TooLong, LogError::NeedsRewrite];
    let text: String = all.iter().map(|error| format!("{}: {error}\n", name(error))).collect();
    let path = golden("errors.txt");
    if is_writing() {
        return std::fs::write(path, text).expect("written");
    }
    assert_same_bytes("errors.txt", &std::fs::read(path).expect("errors.txt"), text.as_bytes());
}
