//! Identifiers of an agent's connections to coordinators and from proxies.

use std::fmt::{self, Display, Formatter};

/// Identifies a link, which is a connection to a coordinator. Unique within the agent's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Identifies a connection from a proxy. Unique within the agent's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyId(pub u64);

impl Display for LinkId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
