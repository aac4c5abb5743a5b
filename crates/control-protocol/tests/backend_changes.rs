//! Differences between two lists of backends.

use control_protocol::{Backend, BackendChanges, BackendState};
use std::collections::BTreeMap;

fn list(states: &BTreeMap<u8, bool>) -> Vec<Backend> {
    let backend = |(id, ready): (&u8, &bool)| Backend {
        instance_id: format!("i-{id:03}"),
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "z".into(),
        generation: "v".into(),
        slots: 1,
        state: if *ready { BackendState::Ready } else { BackendState::Draining },
        cold_remaining_ms: 0,
    };
    states.iter().map(backend).collect()
}

#[test]
fn changes_between_two_lists_turn_one_into_the_other() {
    fn property(before: BTreeMap<u8, bool>, after: BTreeMap<u8, bool>) -> bool {
        let (before, after) = (list(&before), list(&after));
        let changes = BackendChanges::between(&before, &after);
        changes.apply(&before) == after && changes.is_empty() == (before == after)
    }
    quickcheck::quickcheck(property as fn(BTreeMap<u8, bool>, BTreeMap<u8, bool>) -> bool);
}

#[test]
fn a_different_remaining_warm_up_is_not_a_change() {
    let before = list(&BTreeMap::from([(1, true)]));
    let mut after = before.clone();
    after[0].cold_remaining_ms = 7;
    assert!(BackendChanges::between(&before, &after).is_empty());
}
