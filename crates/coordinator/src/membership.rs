//! This coordinator's current role in the core, and the order of a view's members.

use replication::{Member, View};

/// This member's role in the core, as of the replica's last tick.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoleStatus {
    /// Whether this coordinator has recently received messages from a quorum of the voters.
    pub has_quorum_contact: bool,
    /// Whether this coordinator is the head of the chain and has quorum contact.
    pub acting_head: bool,
    /// Whether a chain without this member stores everything that is committed, so that no data is lost if
    /// this member's disk is.
    pub handed_over: bool,
}

/// The members of a view: the chain from head to tail, then the voters that are not in the chain.
pub fn members_in_order(view: &View) -> Vec<&Member> {
    let in_chain = view.chain.iter().filter_map(|id| view.voters.iter().find(|voter| voter.id == *id));
    let others = view.voters.iter().filter(|voter| !view.chain.contains(&voter.id));
    in_chain.chain(others).collect()
}
