//! Golden files: approved texts, which the output of the code must equal byte for byte.
//!
//! Files are only written by `GOLDEN=write cargo test -p PACKAGE --test TEST`. Otherwise, a missing or
//! different file fails the test, which prints the first difference. Golden files are in `tests/golden` of
//! the package whose test includes this module; tests of other packages include it by its path.
#![allow(dead_code)] // not every test file that includes this uses all of it

use std::path::{Path, PathBuf};

/// The environment variable that has golden files written if its value is `write`.
const VARIABLE: &str = "GOLDEN";

/// The path of a golden file.
pub fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// The text of a golden file.
#[track_caller]
pub fn read(name: &str) -> String {
    let path = path(name);
    let advice = format!("{VARIABLE}=write writes golden files");
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error} ({advice})", path.display()))
}

/// Asserts that a text equals a golden file, or writes the file if the environment variable requests it.
#[track_caller]
pub fn assert_matches_golden(name: &str, actual: &str) {
    if std::env::var_os(VARIABLE).is_some_and(|value| value == "write") {
        let path = path(name);
        let directory = path.parent().expect("a parent directory");
        std::fs::create_dir_all(directory).expect("the directory of golden files");
        std::fs::write(&path, actual).expect("the golden file is written");
        return;
    }
    let approved = read(name);
    if approved != actual {
        panic!("{}:{}\ncomplete actual text:\n{actual}", path(name).display(), difference(&approved, actual));
    }
}

/// The line and the column of the first difference, and that line of both texts.
fn difference(approved: &str, actual: &str) -> String {
    let pairs = approved.bytes().zip(actual.bytes());
    let equal = pairs.take_while(|(one, other)| one == other).count();
    let before = &approved.as_bytes()[..equal];
    let line = before.iter().filter(|byte| **byte == b'\n').count();
    let column = equal - before.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1);
    let line_of = |text: &str| text.split('\n').nth(line).unwrap_or("(no such line)").to_owned();
    format!("{}:{}\napproved: {}\nactual:   {}", line + 1, column + 1, line_of(approved), line_of(actual))
}
