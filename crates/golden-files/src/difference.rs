//! Finds the first difference of two texts.

/// Describes the first difference of two texts: its byte offset, line and column, and the line of either
/// text. `None` if the texts are equal.
pub fn first_difference(golden: &str, text: &str) -> Option<String> {
    let byte = golden.bytes().zip(text.bytes()).position(|(one, other)| one != other);
    let byte = byte.or((golden.len() != text.len()).then(|| golden.len().min(text.len())))?;
    let before = &golden.as_bytes()[..byte];
    let line = before.iter().filter(|byte| **byte == b'\n').count();
    let line_start = before.iter().rposition(|byte| *byte == b'\n').map_or(0, |newline| newline + 1);
    let (line_number, column) = (line + 1, byte - line_start + 1);
    let (golden, text) = (shown_line(golden, line), shown_line(text, line));
    Some(format!("byte {byte}, line {line_number}, column {column}\n golden: {golden}\n    now: {text}"))
}

/// The quoted line at an index, or a note that the text has fewer lines.
fn shown_line(text: &str, index: usize) -> String {
    text.lines().nth(index).map_or("the end of the text".into(), |line| format!("{line:?}"))
}
