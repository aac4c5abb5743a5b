//! Tests of `diagnostic`, which see its private items.

use super::*;

#[test]
fn positions_count_lines_and_characters_from_one() {
    let lines = Lines::of("a\nüb\n");
    let at = |byte| (lines.position(byte).line, lines.position(byte).column);
    assert_eq!([at(0), at(2), at(4), at(6), at(99)], [(1, 1), (2, 1), (2, 2), (3, 1), (3, 1)]);
}

#[test]
fn codes_are_distinct_and_in_order() {
    let texts: Vec<_> = Code::ALL.iter().map(|code| code.as_str()).collect();
    assert!(texts.is_sorted_by(|a, b| a < b), "{texts:?}");
}

#[test]
fn errors_beyond_the_maximum_are_only_counted() {
    let mut report = Report::default();
    (0..1000).for_each(|i| report.push(Diagnostic::new(Code::UnknownKey, i..i + 1, "x", "y")));
    assert_eq!(
        (report.omitted, report.into_sorted().len()),
        (1000 - Report::MAX_DIAGNOSTICS, Report::MAX_DIAGNOSTICS)
    );
}
