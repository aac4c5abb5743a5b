//! Unit tests of the private items of the parent module.

use super::*;

const ENTRY: &str = r#"{"instanceId":"s-5be2a07c","hostPort":"127.0.0.1:8443","zone":"b","machineType":"m2",
        "cell":3,"lifecycle":"in_service","weight":1.5,"startedAtMs":0}"#;

fn read(registry: &mut EndpointRegistry, reset: bool, entry: &str) -> Vec<ListedEndpoint> {
    let line = format!(r#"{{"generation":41,"reset":{reset},"instances":[{entry}]}}"#);
    registry.apply_text(line.as_bytes(), ListSource::SameDiscovery).expect("a list").endpoints
}

#[test]
fn an_entry_is_parsed_as_sent() {
    let mut registry = EndpointRegistry::new(vec!["a".into(), "b".into()], vec!["m1".into(), "m2".into()]);
    let entries = read(&mut registry, true, ENTRY);
    let id = ServerId::named("s-5be2a07c");
    let state = ServerState::Ready;
    let expected = ServerEntry { id, zone: 1, kind: 1, cell: 3, state, weight: 1.5, started: None };
    let address = SocketAddr::from(([127, 0, 0, 1], 8443));
    assert_eq!(entries, [ListedEndpoint { entry: expected, address }]);
    let started = read(&mut registry, false, &ENTRY.replace("Ms\":0", "Ms\":1700000000250"))[0].entry.started;
    assert_eq!(started, Some(Duration::from_millis(1_700_000_000_250)));
    let gone = read(&mut registry, false, &ENTRY.replace("in_service", "terminated"));
    assert_eq!(gone[0].entry.state, ServerState::Gone);
}

#[test]
fn invalid_entries_are_skipped_and_invalid_lists_are_errors() {
    let mut registry = EndpointRegistry::new(vec!["b".into()], vec![]);
    let last = read(&mut registry, true, ENTRY);
    for (valid, invalid) in [
        ("\"b\"", "\"z\""),
        ("127.0.0.1:8443", "example:80"),
        ("in_service", "resting"),
        ("Ms\":0", "Ms\":-5"),
        ("cell\":3", "cell\":70000"),
    ] {
        assert_eq!(read(&mut registry, false, &ENTRY.replace(valid, invalid)), [], "{invalid}");
        // A backend that a complete list omits would be removed, so its last valid entry is kept.
        assert_eq!(read(&mut registry, true, &ENTRY.replace(valid, invalid)), last, "{invalid}");
    }
    for line in
        ["", "{}", "[]", r#"{"generation":-1,"instances":[]}"#, r#"{"generation":1,"instances":7}"#, "\u{0}"]
    {
        assert!(registry.apply_text(line.as_bytes(), ListSource::SameDiscovery).is_err(), "{line}");
    }
}
