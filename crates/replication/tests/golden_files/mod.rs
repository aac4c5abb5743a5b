//! Golden files: approved texts that are compared byte for byte and written only on request.

pub mod cbor;
pub mod plays;

use std::path::PathBuf;

/// Whether golden files are to be written instead of compared.
pub fn is_writing() -> bool {
    std::env::var("GOLDEN").is_ok_and(|value| value == "write")
}

fn path(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name].iter().collect()
}

/// The text of a golden file; in writing mode, the text to be written.
pub fn golden_text(name: &str, fresh: impl FnOnce() -> String) -> String {
    if is_writing() { fresh() } else { read(name) }
}

/// The text of a golden file on disk.
pub fn read(name: &str) -> String {
    let path = path(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Asserts that a golden file has this text; in writing mode, writes it.
pub fn assert_matches_golden(name: &str, text: &str) {
    if is_writing() {
        std::fs::write(path(name), text).expect("a golden file can be written");
        return;
    }
    let expected = golden_text(name, String::new);
    if expected != text {
        panic!("{name}: {}", first_difference(&expected, text));
    }
}

fn first_difference(expected: &str, text: &str) -> String {
    let (expected, text): (Vec<&str>, Vec<&str>) =
        (expected.split('\n').collect(), text.split('\n').collect());
    let same = expected.iter().zip(&text).take_while(|(expected, text)| expected == text).count();
    let (old, new) = (expected.get(same).unwrap_or(&"(ends)"), text.get(same).unwrap_or(&"(ends)"));
    let column = old.bytes().zip(new.bytes()).take_while(|(old, new)| old == new).count();
    format!("differs at line {}, byte {}:\nexpected: {old}\n  actual: {new}", same + 1, column + 1)
}
