//! Golden files are compared and written, differences are located, and texts are prepared.

use golden_files::{first_difference, shows_a_type, to_twelve_digits};
use std::path::Path;
use std::process::{Command, Output};

/// Runs an ignored test of this file in a separate process, as if it were a test of the package in folder
/// `package`.
fn run_test(name: &str, package: &Path, golden: Option<&str>) -> Output {
    let mut command = Command::new(std::env::current_exe().expect("this program"));
    command.args(["--ignored", "--exact", name]).env("CARGO_MANIFEST_DIR", package).env_remove("GOLDEN");
    if let Some(value) = golden {
        command.env("GOLDEN", value);
    }
    command.output().expect("it runs")
}

#[test]
#[ignore = "run in a process of its own by the tests below"]
fn check_a_text() {
    golden_files::check("folder/text.txt", "one\ntwo\n");
}

#[test]
#[ignore = "run in a process of its own by the tests below"]
fn check_an_empty_text() {
    golden_files::check("folder/text.txt", "");
}

#[test]
fn a_missing_file_fails_and_is_written_only_with_golden_set_to_write() {
    let package = tempfile::tempdir().expect("a folder");
    let file = package.path().join("tests/golden/folder/text.txt");
    assert!(!run_test("check_a_text", package.path(), None).status.success());
    assert!(!run_test("check_a_text", package.path(), Some("yes")).status.success());
    assert!(!file.exists());
    assert!(run_test("check_a_text", package.path(), Some("write")).status.success());
    assert_eq!(std::fs::read_to_string(&file).expect("the file"), "one\ntwo\n");
    assert!(run_test("check_a_text", package.path(), None).status.success());
}

#[test]
fn a_different_text_fails_with_the_position_of_the_first_difference() {
    let package = tempfile::tempdir().expect("a folder");
    let folder = package.path().join("tests/golden/folder");
    std::fs::create_dir_all(&folder).expect("the folder");
    std::fs::write(folder.join("text.txt"), "one\ntoo\n").expect("the file");
    let output = run_test("check_a_text", package.path(), None);
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("tests/golden/folder/text.txt differs: byte 5, line 2, column 2"), "{text}");
}

#[test]
fn an_empty_text_is_represented_by_a_missing_file() {
    let package = tempfile::tempdir().expect("a folder");
    assert!(run_test("check_an_empty_text", package.path(), None).status.success());
    let file = package.path().join("tests/golden/folder/text.txt");
    std::fs::create_dir_all(file.parent().expect("a folder")).expect("the folder");
    std::fs::write(&file, "one").expect("the file");
    assert!(!run_test("check_an_empty_text", package.path(), None).status.success());
    assert!(run_test("check_an_empty_text", package.path(), Some("write")).status.success());
    assert!(!file.exists());
}

#[test]
fn the_first_difference_is_described_by_its_position_and_both_lines() {
    assert_eq!(first_difference("a\nb\n", "a\nb\n"), None);
    let difference = first_difference("a\nbc\n", "a\nbd\n").expect("a difference");
    assert_eq!(difference, "byte 3, line 2, column 2\n golden: \"bc\"\n    now: \"bd\"");
    let difference = first_difference("a\n", "a\nb\n").expect("a difference");
    assert_eq!(difference, "byte 2, line 2, column 1\n golden: the end of the text\n    now: \"b\"");
}

#[test]
fn decimal_numbers_are_rounded_to_twelve_digits() {
    assert_eq!(
        to_twelve_digits("a 0.1234567890123456 b 12345678901234567 c"),
        "a 0.123456789012 b 12345678901234567 c"
    );
    assert_eq!(to_twelve_digits("1.5e-7, 10.0.0.1:80"), "1.5e-7, 10.0.0.1:80");
}

#[test]
fn error_texts_with_the_name_of_a_type_are_recognized() {
    assert!(shows_a_type("invalid type: map, expected struct Settings"));
    assert!(!shows_a_type("the struct of a request"));
}
