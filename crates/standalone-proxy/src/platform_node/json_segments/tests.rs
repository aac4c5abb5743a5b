//! Unit tests of the private items of the parent module.

use super::*;
use serde_json::Value;

fn is_list(line: &[u8]) -> bool {
    serde_json::from_slice::<Value>(line).is_ok_and(|value| value.get("generation").is_some())
}

/// All complete segments of these bytes. Checks that they do not depend on how the bytes are split when they
/// arrive.
fn segments(bytes: &str) -> Vec<Segment> {
    let split = |size: usize| {
        let (mut segments, mut out) = (JsonSegments::default(), Vec::new());
        for piece in bytes.as_bytes().chunks(size) {
            segments.add(piece);
            out.extend(std::iter::from_fn(|| segments.next(is_list)));
        }
        out
    };
    let complete = split(bytes.len());
    (1..bytes.len()).for_each(|size| assert_eq!(split(size), complete, "in pieces of {size} bytes"));
    complete
}

fn value(text: &str) -> Segment {
    Segment::Value(text.as_bytes().to_vec())
}

#[test]
fn lines_and_indented_values_are_distinguished() {
    let indented =
        "{\n  \"generation\": 2,\n  \"instances\": [\n    {\"a}\\\"{\": \"]\"},\n    {\"b\": 1}\n  ]\n}\n";
    let all = segments(&format!("\n{{\"generation\":1}}\n  \n{indented}\r\n"));
    assert_eq!(
        all,
        [
            Segment::EmptyLine,
            value("{\"generation\":1}\n"),
            Segment::EmptyLine,
            value(indented),
            Segment::EmptyLine
        ]
    );
}

#[test]
fn values_after_a_truncated_value_are_not_lost() {
    let valid = "{\"generation\":3,\"instances\":[]}\n";
    for truncated in
        ["{\"generation\":2,\"inst", "{\"generation\":2,\"instances\":[{", "]}", "\"", "{\n [\n  {\n"]
    {
        for between in ["\n", "\n\n"] {
            let all = segments(&format!("{truncated}{between}{valid}{valid}"));
            let complete = all.iter().filter(|segment| **segment == value(valid)).count();
            assert_eq!(complete, 2, "{truncated:?}: {all:?}");
        }
    }
}
