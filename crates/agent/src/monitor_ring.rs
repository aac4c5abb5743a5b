//! Consistent hashing of nodes to coordinators (Karger et al., STOC 1997): the monitors of a node are the
//! members of the view that follow its position on a ring. When a member joins or leaves, only the nodes that
//! it monitors are reassigned.

use range_digest::mix64;
use std::collections::BTreeSet;

/// The number of positions (virtual nodes) of each member on the ring. More positions spread nodes more
/// evenly.
const POSITIONS_PER_MEMBER: u64 = 64;

/// The monitors of a node out of the members with these ids, in the order of the ring and at most `count`.
pub fn monitors(node: &str, members: &[u64], count: usize) -> Vec<u64> {
    let positions =
        |member: u64| (0..POSITIONS_PER_MEMBER).map(move |index| (member_position(member, index), member));
    let ring: BTreeSet<(u64, u64)> = members.iter().copied().flat_map(positions).collect();
    let start = (node_position(node), 0);
    let mut found = Vec::with_capacity(count);
    for (_, member) in ring.range(start..).chain(ring.range(..start)) {
        if found.len() >= count {
            break;
        }
        if !found.contains(member) {
            found.push(*member);
        }
    }
    found
}

fn member_position(member: u64, index: u64) -> u64 {
    mix64(mix64(member).wrapping_add(index))
}

fn node_position(node: &str) -> u64 {
    node.bytes().fold(0, |hash, byte| mix64(hash ^ u64::from(byte)))
}
