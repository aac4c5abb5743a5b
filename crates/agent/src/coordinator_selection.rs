//! Selection of the coordinators that an agent connects to.

use crate::monitor_ring::monitors;
use control_protocol::CoreMember;
use std::net::SocketAddrV4;

/// The most members of a view to which an agent keeps links.
pub const MAX_MEMBER_LINKS: usize = 3;
/// The most addresses that are connected to at the same time. Guards against a long list of seeds.
const MAX_TARGETS: usize = 8;

/// Whether an agent is in contact with the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connectivity {
    /// A member of the newest view is in contact, or was until a short while ago.
    Connected,
    /// No member has been in contact for a while, or none is known.
    Disconnected,
}

/// The distinct addresses to keep links to. These are all members of a small view; of a larger one, the head,
/// which divides the tenants' limits, and the monitors of this node, so that agents are spread evenly over
/// the other members. While disconnected, the seeds are included as well.
pub fn select_coordinators(
    node: &str,
    members: &[CoreMember],
    seeds: &[SocketAddrV4],
    connectivity: Connectivity,
) -> Vec<SocketAddrV4> {
    let mut candidates = select_members(node, members);
    if connectivity == Connectivity::Disconnected {
        candidates.extend_from_slice(seeds);
    }
    let mut distinct = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        if !distinct.contains(&candidate) && distinct.len() < MAX_TARGETS {
            distinct.push(candidate);
        }
    }
    distinct
}

fn select_members(node: &str, members: &[CoreMember]) -> Vec<SocketAddrV4> {
    let Some((head, others)) = members.split_first() else { return Vec::new() };
    let ids: Vec<u64> = others.iter().map(|member| member.id).collect();
    let monitors = monitors(node, &ids, MAX_MEMBER_LINKS - 1);
    let address = |id: u64| others.iter().find(|member| member.id == id).map(|member| member.address);
    std::iter::once(head.address).chain(monitors.into_iter().filter_map(address)).collect()
}
