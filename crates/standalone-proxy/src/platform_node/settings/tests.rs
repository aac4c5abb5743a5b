//! Unit tests of the private items of the parent module.

use super::*;
use serde_json::json;

fn settings(classes: &[(&str, f64)]) -> NodeSettings {
    let class = |(name, give_up): &(&str, f64)| json!({"Name": name, "Target": 100.0, "GiveUp": give_up, "Idempotency": "free"});
    let classes: Vec<_> = classes.iter().map(class).collect();
    let text = json!({ "Classes": classes }).to_string();
    let (balancer, host) = join_up_to::settings::parse(text.as_bytes()).expect("settings");
    NodeSettings { balancer, host }
}

#[test]
fn removed_and_changed_classes_follow_the_new_ones() {
    let (old, new) =
        (settings(&[("a", 1.0), ("b", 1.0), ("c", 1.0)]), settings(&[("d", 1.0), ("b", 2.0), ("a", 1.0)]));
    let merged = merge_for_changeover(&new, &old);
    assert_eq!(merged.host.classes, ["d", "b", "a", "b", "c"]);
    assert_eq!(merged.balancer.classes[3], old.balancer.classes[1]);
    assert_eq!(merge_for_changeover(&new, &new), new);
}

#[test]
fn a_missing_key_is_reported_with_its_path() {
    let old = json!({"Classes": [{"Name": "a", "Window": 1}, {"Name": "b"}], "Rules": {"DrainGrace": 1}, "Zone": 0});
    let with = |change: fn(&mut Value)| {
        let mut new = old.clone();
        change(&mut new);
        first_missing_key(&old, &new)
    };
    assert_eq!(with(|_| ()), None);
    // A key that only some classes had is not required.
    assert_eq!(with(|new| new["Classes"] = json!([{"Name": "b"}])), None);
    assert_eq!(with(|new| new["Classes"] = json!([{"Name": "b"}, {}])).as_deref(), Some("Classes.[1].Name"));
    assert_eq!(with(|new| new["Rules"] = json!({})).as_deref(), Some("Rules.DrainGrace"));
    assert_eq!(with(|new| drop(new.as_object_mut().map(|o| o.remove("Zone")))).as_deref(), Some("Zone"));
}

#[test]
fn deadlines_and_attempts_must_be_greater_than_zero() {
    for (give_up, attempts, expected) in [
        (1.0, 1, None),
        (0.0, 1, Some("Classes[0].GiveUp: must be greater than 0")),
        (-5.0, 1, Some("Classes[0].GiveUp: must be greater than 0")),
        (1.0, 0, Some("Permissions.AttemptsCap: must be greater than 0")),
        (1.0, -2, Some("Permissions.AttemptsCap: must be greater than 0")),
    ] {
        let settings = json!({"Classes": [{"GiveUp": give_up}], "Permissions": {"AttemptsCap": attempts}});
        assert_eq!(validate(&settings).err().map(|error| error.to_string()).as_deref(), expected);
    }
}
