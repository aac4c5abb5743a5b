//! Parsing of policy files, and the locations of errors.

use policy::{Policy, PolicyError};
use std::time::Duration;

fn error_message(text: &str) -> String {
    Policy::parse(text).expect_err("the file is invalid").to_string()
}

#[test]
fn an_empty_file_is_the_default() {
    assert_eq!(Policy::parse(""), Ok(Policy::default()));
}

#[test]
fn named_values_are_applied_and_others_keep_their_defaults() {
    let text =
        "[routing]\nslack = 0.05\nfirst_rest_ms = 250\nestimate = false\n[recovery]\nspread_ms = 12.5\n";
    let read = Policy::parse(text).expect("a valid file");
    let mut expected = Policy::default();
    expected.routing.cost_tolerance = 0.05;
    expected.routing.first_ejection = Duration::from_millis(250);
    expected.routing.estimate = false;
    expected.recovery.retry_spread = Duration::from_micros(12_500);
    assert_eq!(read, expected);
}

#[test]
fn an_unknown_key_is_reported_with_its_location() {
    let message = error_message("[routing]\nslak = 0.1\n");
    assert!(message.starts_with("line 2, column 1: unknown field `slak`"), "{message}");
}

#[test]
fn an_unknown_table_is_reported_with_its_location() {
    let message = error_message("\n[rooting]\nslack = 0.1\n");
    assert!(message.starts_with("line 2, column 2: unknown field `rooting`"), "{message}");
}

#[test]
fn a_value_out_of_range_is_reported_with_its_location() {
    let message = error_message("[routing]\nslack = 0.1\nidle_share = 1.5\n");
    assert_eq!(message, "line 3, column 14: 1.5 is not between 0 and 1");
    let message = error_message("[sends]\nleast_silence_ms = -1\n");
    assert_eq!(message, "line 2, column 20: -1 is not between 0 and 600000");
    let message = error_message("[routing]\ncopies = 0\n");
    assert_eq!(message, "line 2, column 10: 0 is not between 1 and 100000");
}

#[test]
fn a_value_of_another_type_is_reported_with_its_location() {
    let message = error_message("[routing]\nestimate = 3\n");
    assert!(message.starts_with("line 2, column 12: invalid type: integer `3`"), "{message}");
}

#[test]
fn text_that_is_no_toml_is_reported_with_its_location() {
    let PolicyError::Invalid(error) = Policy::parse("[routing]\nslack =\n").expect_err("no value");
    assert_eq!(error.line, 2);
}
