//! Tests of `script`, which see its private items.

use super::*;

const VALID: &str = include_str!("valid.toml");

#[test]
fn a_script_is_parsed_with_counts_sites_events_and_faults() {
    let script = Script::read(VALID).expect("a good script");
    let sites: Vec<_> = script.backends.iter().map(|b| (b.name.as_str(), b.site.as_str())).collect();
    assert_eq!(sites, [("std-1", "a"), ("std-2", "b"), ("std-3", "a"), ("lite", "here")]);
    assert_eq!(script.events[0], Event { at: Duration::from_secs(5), backend: 1, kind: EventKind::Drain });
    assert_eq!(script.events[1].kind, EventKind::SlowDown(3.0));
    let fault = &script.faults[0];
    assert_eq!((fault.backend, fault.fault, fault.every), (3, Fault::Stall(Duration::from_secs(1)), 10));
    assert_eq!((fault.from, fault.until), (Duration::from_secs(2), Duration::MAX));
}

#[test]
fn invalid_scripts_are_rejected_with_an_error_that_names_the_cause() {
    for (valid, invalid, expected) in [
        ("cores = 4", "cores = 0", "std"),
        ("cores = 4", "cors = 4", "cors"),
        ("\"60ms\"", "\"60\"", "unit"),
        ("box = \"std-2\"", "box = \"std-9\"", "std-9"),
        ("time = \"1s\"", "", "time"),
        ("every = 10", "every = 0", "every"),
        ("name = \"lite\"", "name = \"std-1\"", "std-1"),
        ("count = 3", "count = 3000", "2000"),
        ("do = \"drain\"", "do = \"dance\"", "dance"),
    ] {
        assert!(VALID.contains(valid));
        let error = Script::read(&VALID.replace(valid, invalid)).expect_err(invalid).to_string();
        assert!(error.contains(expected), "{invalid}: {error}");
    }
}

/// The error messages of serde are visible to users, so renaming a type must not change them.
#[test]
fn errors_about_invalid_types_do_not_depend_on_the_names_of_rust_types() {
    for (text, message) in [
        ("box = [3]", "invalid type: integer `3`, expected struct RawBox"),
        ("box = [{ name = \"a\", choke = 3 }]", "invalid type: integer `3`, expected struct RawChoke"),
    ] {
        let error = Script::read(text).expect_err(text).to_string();
        assert!(error.contains(message), "{text}: {error}");
    }
}
