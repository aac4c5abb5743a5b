//! Tests of `discovery`, which see its private items.

use super::*;

fn endpoint(name: &str, lifecycle: Lifecycle) -> Endpoint {
    Endpoint {
        instance_id: name.into(),
        host_port: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "a".into(),
        machine_type: "m".into(),
        cell: 0,
        lifecycle,
        weight: 1.0,
        started_at_ms: 0,
    }
}

#[test]
fn an_update_has_the_changes_since_a_generation_or_the_full_list() {
    let mut state = State { generation: Generation(3), ..State::default() };
    state.endpoints.insert(
        "x".into(),
        ListedEndpoint { endpoint: endpoint("x", Lifecycle::InService), changed_in: Generation(2) },
    );
    state.endpoints.insert(
        "y".into(),
        ListedEndpoint { endpoint: endpoint("y", Lifecycle::Terminated), changed_in: Generation(3) },
    );
    let names = |line: &str| -> (bool, Vec<String>) {
        let list: serde_json::Value = serde_json::from_str(line).expect("JSON");
        let names = list["instances"].as_array().expect("a list").iter();
        let names = names.map(|e| e["instanceId"].as_str().expect("a name").to_string()).collect();
        (list["reset"] == true, names)
    };
    assert_eq!(
        names(&state.update_since(Generation::NONE)),
        (true, vec!["x".into()]),
        "a full list has no terminated endpoint"
    );
    assert_eq!(names(&state.update_since(Generation(2))), (false, vec!["y".into()]));
    assert_eq!(names(&state.update_since(Generation(3))), (false, vec![]));
}

#[test]
fn a_watch_is_requested_with_a_generation() {
    assert_eq!(watched_from("/v1/endpoints?watch=1&from=41"), Some(Generation(41)));
    assert_eq!(watched_from("/v1/endpoints?from=x&watch=1"), Some(Generation::NONE));
    assert_eq!(watched_from("/v1/endpoints?watch=0"), None);
    assert_eq!(watched_from("/v1/endpoints"), None);
}
