//! Assignment of monitors to nodes by consistent hashing.

use agent::monitor_ring::monitors;
use std::collections::BTreeMap;

const NODES: usize = 350;
/// The coordinators other than the head.
const MEMBERS: u64 = 18;
const MONITORS: usize = 2;

fn members(count: u64) -> Vec<u64> {
    (0..count).map(|number| number * 7919 + 13).collect()
}

fn node(number: usize) -> String {
    format!("frontend-zone{}-{}", number % 13, number / 13)
}

#[test]
fn nodes_spread_evenly_over_members() {
    let members = members(MEMBERS);
    let mut monitored: BTreeMap<u64, usize> = BTreeMap::new();
    for number in 0..NODES {
        let monitors = monitors(&node(number), &members, MONITORS);
        assert_eq!(monitors.len(), MONITORS);
        assert_ne!(monitors[0], monitors[1]);
        monitors.into_iter().for_each(|member| *monitored.entry(member).or_default() += 1);
    }
    let even = NODES * MONITORS / MEMBERS as usize;
    let (fewest, most) = (monitored.values().min(), monitored.values().max());
    println!("{fewest:?} to {most:?} nodes per member, {even} if spread evenly");
    assert_eq!(monitored.len(), MEMBERS as usize);
    assert!(monitored.values().all(|count| *count >= even / 2 && *count <= even * 2), "{monitored:?}");
}

#[test]
fn only_the_nodes_of_a_removed_member_are_reassigned() {
    let before = members(MEMBERS);
    let (removed, after) = before.split_first().expect("members");
    for number in 0..NODES {
        let (old, new) =
            (monitors(&node(number), &before, MONITORS), monitors(&node(number), after, MONITORS));
        if !old.contains(removed) {
            assert_eq!(old, new, "node {number}");
        }
        assert!(
            old.iter().filter(|member| *member != removed).all(|member| new.contains(member)),
            "node {number}"
        );
    }
}

#[test]
fn all_members_are_monitors_if_there_are_too_few() {
    assert_eq!(monitors("f-1", &[5], 2), [5]);
    assert_eq!(monitors("f-1", &[], 2), [0; 0]);
    let both = monitors("f-1", &[5, 6], 2);
    assert!(both.contains(&5) && both.contains(&6));
}

/// Releases that run at the same time must assign the same monitors.
#[test]
fn monitors_do_not_change_between_releases() {
    let assigned: Vec<Vec<u64>> = (0..8).map(|number| monitors(&node(number), &[1, 2, 3, 4, 5], 2)).collect();
    assert_eq!(format!("{assigned:?}"), "[[5, 4], [4, 5], [5, 4], [4, 5], [3, 1], [4, 5], [1, 2], [1, 5]]");
}
