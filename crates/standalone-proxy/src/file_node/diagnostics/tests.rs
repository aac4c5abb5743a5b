//! Unit tests of the private items of the parent module.

use super::*;

/// The diagnostics of an invalid file, as text and as lines.
fn diagnostics(text: &str) -> (String, Vec<String>) {
    let error = route_config::load(text.as_bytes()).expect_err("an invalid file");
    let file = InvalidSource { text: text.into(), error };
    (super::text(Path::new("f.toml"), &file), lines(Path::new("f.toml"), &file))
}

#[test]
fn a_syntax_error_is_reported_with_its_line() {
    for (invalid, position) in [
        ("this is = = not toml\n", "f.toml:1:"),
        ("= 1\n", "f.toml:1:1"),
        ("a = \"open\n", "f.toml:1:"),
        ("[node\nname = \"x\"\n", "f.toml:1:"),
        ("a = 1\nb =\n", "f.toml:2:"),
    ] {
        let (text, lines) = diagnostics(invalid);
        assert!(text.contains(position), "{invalid:?}: {text}");
        assert!(lines[0].starts_with(position), "{invalid:?}: {lines:?}");
    }
    let (text, lines) = diagnostics("a = = 1\nb = 2\nc = = 3\n");
    assert!(lines.len() >= 2 && text.contains("f.toml:1:") && text.contains("f.toml:3:"), "{text}");
}

#[test]
fn control_characters_of_a_file_are_never_printed() {
    for hidden in ["\u{1b}[31m", "\u{7}", "\u{9b}2J", "\u{202e}", "\u{0}"] {
        let (text, lines) = diagnostics(&format!("[node]\nname = '{hidden}x'\nodd{hidden} = 1\n"));
        let has_hidden = |text: &str| text.chars().any(|c| c != '\n' && is_hidden(c));
        assert!(!has_hidden(&text) && !lines.iter().any(|line| has_hidden(line)), "{hidden:?}: {text:?}");
    }
    assert_eq!(mask_hidden("a\u{9b}b\u{202e}\tc\n"), "a??b???\tc\n");
}
