//! A change of the list of backends, in the form that every source of lists produces. Reads and sends
//! nothing.

use join_up_to::{ListKind, ServerEntry};
use std::fmt;
use std::net::SocketAddr;

/// A version of the list, numbered by this node. Versions never decrease, even when the node switches to
/// another discovery service that numbers its lists differently.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListVersion(pub u32);

impl fmt::Display for ListVersion {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A change of the list, for the balancer and for the connections to backends.
#[derive(Clone, PartialEq)]
pub struct EndpointUpdate {
    /// Whether it is the complete list, a cached one, changed entries of the list, or a failure to get the
    /// list.
    pub kind: ListKind,
    /// Its version. An update older than the last one applied is ignored.
    pub version: ListVersion,
    /// The backends that it lists.
    pub endpoints: Vec<ListedEndpoint>,
}

/// Keeps the form that log lines at `debug` have had since before the type and its fields were renamed.
impl fmt::Debug for EndpointUpdate {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Update")
            .field("kind", &self.kind)
            .field("version", &self.version.0)
            .field("entries", &self.endpoints)
            .finish()
    }
}

/// A backend on the list.
#[derive(Clone, Copy, PartialEq)]
pub struct ListedEndpoint {
    /// What the balancer knows about it.
    pub entry: ServerEntry,
    /// The address at which it listens.
    pub address: SocketAddr,
}

/// As a pair, which is the form of the log lines of [`EndpointUpdate`].
impl fmt::Debug for ListedEndpoint {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_tuple("").field(&self.entry).field(&self.address).finish()
    }
}

#[cfg(test)]
mod tests;
