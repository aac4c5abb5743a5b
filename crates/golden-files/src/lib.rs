//! Golden files for tests: a text that a test produces is compared byte by byte with an approved file below
//! `tests/golden` of the package under test.
//!
//! `GOLDEN=write cargo test -p PACKAGE --test TEST` writes the golden files of a test. Without that variable,
//! a missing or different file fails the test, and the message shows the position of the first difference.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod difference;
mod text;

pub use difference::first_difference;
pub use text::{shows_a_type, to_twelve_digits};

use std::path::PathBuf;

/// The environment variable that makes [`check`] write golden files if its value is [`WRITE`].
const VARIABLE: &str = "GOLDEN";
/// The only value of [`VARIABLE`] with which golden files are written.
const WRITE: &str = "write";

/// The path of a golden file. Cargo sets `CARGO_MANIFEST_DIR` for the tests that it runs; without it, the
/// path is relative to the working directory.
fn path(name: &str) -> PathBuf {
    let package = std::env::var_os("CARGO_MANIFEST_DIR").map_or_else(PathBuf::new, PathBuf::from);
    package.join("tests/golden").join(name)
}

/// Reads a golden file. `name` is its path below `tests/golden`.
///
/// # Panics
///
/// If the file can't be read.
#[track_caller]
pub fn read(name: &str) -> String {
    let path = path(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Checks that a text equals a golden file, or writes the file if the environment variable `GOLDEN` is
/// `write`. `name` is its path below `tests/golden`. An empty text is represented by a missing file.
///
/// # Panics
///
/// If the file is missing, differs or can't be written. The message shows the position of the first
/// difference.
#[track_caller]
pub fn check(name: &str, text: &str) {
    if std::env::var_os(VARIABLE).is_some_and(|value| value == WRITE) {
        return write(name, text);
    }
    let golden = if text.is_empty() && !path(name).exists() { String::new() } else { read(name) };
    if let Some(difference) = first_difference(&golden, text) {
        panic!("tests/golden/{name} differs: {difference}");
    }
}

/// Writes a golden file, or removes it if the text is empty.
#[track_caller]
fn write(name: &str, text: &str) {
    let path = path(name);
    if text.is_empty() {
        // The file may not exist.
        let _ = std::fs::remove_file(&path);
        return;
    }
    let folder = path.parent().unwrap_or(&path);
    let written = std::fs::create_dir_all(folder).and_then(|()| std::fs::write(&path, text));
    written.unwrap_or_else(|error| panic!("{}: {error}", path.display()));
}
