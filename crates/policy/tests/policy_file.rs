//! What a policy file may say, and where its faults are.

use policy::{Policy, PolicyError};
use std::time::Duration;

fn fault(text: &str) -> String {
    Policy::parse(text).expect_err("the file is at fault").to_string()
}

#[test]
fn an_empty_file_is_the_default() {
    assert_eq!(Policy::parse(""), Ok(Policy::default()));
}

#[test]
fn what_a_file_names_is_taken_and_the_rest_keeps_its_default() {
    let text =
        "[routing]\nslack = 0.05\nfirst_rest_ms = 250\nestimate = false\n[recovery]\nspread_ms = 12.5\n";
    let read = Policy::parse(text).expect("a sound file");
    let mut expected = Policy::default();
    expected.routing.slack = 0.05;
    expected.routing.first_rest = Duration::from_millis(250);
    expected.routing.estimate = false;
    expected.recovery.spread = Duration::from_micros(12_500);
    assert_eq!(read, expected);
}

#[test]
fn an_unknown_key_is_told_with_its_place() {
    let told = fault("[routing]\nslak = 0.1\n");
    assert!(told.starts_with("line 2, column 1: unknown field `slak`"), "{told}");
}

#[test]
fn an_unknown_table_is_told_with_its_place() {
    let told = fault("\n[rooting]\nslack = 0.1\n");
    assert!(told.starts_with("line 2, column 2: unknown field `rooting`"), "{told}");
}

#[test]
fn a_value_outside_its_bounds_is_told_with_its_place() {
    let told = fault("[routing]\nslack = 0.1\nidle_share = 1.5\n");
    assert_eq!(told, "line 3, column 14: 1.5 is not between 0 and 1");
    let told = fault("[sends]\nleast_silence_ms = -1\n");
    assert_eq!(told, "line 2, column 20: -1 is not between 0 and 600000");
    let told = fault("[routing]\ncopies = 0\n");
    assert_eq!(told, "line 2, column 10: 0 is not between 1 and 100000");
}

#[test]
fn a_value_of_another_type_is_told_with_its_place() {
    let told = fault("[routing]\nestimate = 3\n");
    assert!(told.starts_with("line 2, column 12: invalid type: integer `3`"), "{told}");
}

#[test]
fn text_that_is_no_toml_is_told_with_its_place() {
    let PolicyError::Invalid(fault) = Policy::parse("[routing]\nslack =\n").expect_err("no value");
    assert_eq!(fault.line, 2);
}
