//! Tests of `target`, which see its private items.

use super::*;
use proptest::prelude::*;

#[test]
fn paths_are_normalized_or_rejected() {
    for (raw, normalized) in [
        ("/", "/"),
        ("/a/b.c", "/a/b.c"),
        ("//a///b//", "/a/b/"),
        ("/a/./b/.", "/a/b/"),
        ("/a/../b", "/b"),
        ("/a/b/..", "/a/"),
        ("/a/%2e%2e/b", "/b"),
        ("/a/%2E/b", "/a/b"),
        ("/%7euser/%41", "/~user/A"),
        ("/a%c3%bc", "/a%C3%BC"),
        ("/a%20b", "/a%20b"),
        ("/a;v=1/b", "/a;v=1/b"),
        ("/.a/..b", "/.a/..b"),
    ] {
        assert_eq!(normalize_path(raw, EncodedSlash::Reject).as_deref(), Ok(normalized), "{raw}");
    }
    for (raw, error) in [
        ("", PathError::MissingSlash),
        ("a", PathError::MissingSlash),
        ("*", PathError::MissingSlash),
        ("/..", PathError::AboveRoot),
        ("/a/../../b", PathError::AboveRoot),
        ("/%2e%2e/a", PathError::AboveRoot),
        ("/a%2fb", PathError::EncodedSlash),
        ("/a%5cb", PathError::InvalidByte),
        ("/a\\b", PathError::InvalidByte),
        ("/a%00", PathError::InvalidByte),
        ("/a b", PathError::InvalidByte),
        ("/a#b", PathError::InvalidByte),
        ("/ü", PathError::InvalidByte),
        ("/a%2", PathError::InvalidEscape),
        ("/a%zz", PathError::InvalidEscape),
        ("/a/..;x/b", PathError::DotSegmentWithParameters),
        ("/a/.;/b", PathError::DotSegmentWithParameters),
    ] {
        assert_eq!(normalize_path(raw, EncodedSlash::Reject), Err(error), "{raw}");
    }
    assert_eq!(normalize_path("/a%2fb/%2e", EncodedSlash::Keep).as_deref(), Ok("/a%2Fb/"));
    // Escapes are decoded only once.
    assert_eq!(normalize_path("/%252e%252e/a", EncodedSlash::Reject).as_deref(), Ok("/%252e%252e/a"));
}

#[test]
fn hosts_are_normalized_or_rejected() {
    for (raw, normalized) in [
        ("Tally.Example:8080", "tally.example"),
        ("tally.example.", "tally.example"),
        ("10.0.0.1", "10.0.0.1"),
        ("[::1]:80", "[::1]"),
    ] {
        assert_eq!(normalize_host(raw).as_deref(), Some(normalized), "{raw}");
    }
    for raw in ["", ":80", "a b", "a/b", "[::1", "a:80:90", "a:x", "ü"] {
        assert_eq!(normalize_host(raw), None, "{raw}");
    }
}

proptest! {
    /// Normalizing any input does not panic, and normalizing the result again does not change it.
    #[test]
    fn normalization_is_idempotent(raw in "[/.%2eE5cfF;a\\PC]{0,40}", keep: bool) {
        let encoded_slash = if keep { EncodedSlash::Keep } else { EncodedSlash::Reject };
        if let Ok(normalized) = normalize_path(&raw, encoded_slash) {
            prop_assert!(normalize_path(&normalized, encoded_slash).is_ok_and(|again| again == normalized));
            prop_assert!(normalized.starts_with('/'));
            prop_assert!(!normalized.contains("//") && !normalized.contains("/../"));
        }
        if let Some(normalized) = normalize_host(&raw) {
            prop_assert!(normalize_host(&normalized).is_some_and(|again| again == normalized));
        }
    }
}
