//! A change of the list of backends, as every source of lists hands it on. Reads and sends nothing.

use larchspread::{ListKind, ServerEntry, ServerId};
use std::net::SocketAddr;

/// One change of the list, for the module and for the connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    pub kind: ListKind,
    pub version: u32,
    pub entries: Vec<(ServerEntry, SocketAddr)>,
}

/// A backend's number: a hash (FNV-1a) of its name, so that it outlives restarts of the node and changes of address.
pub fn server_id(name: &str) -> ServerId {
    ServerId(name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    }))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Another number after a restart would be another backend to whoever compares logs of two runs or two nodes.
    #[test]
    fn a_backends_number_never_changes() {
        assert_eq!(server_id("a"), ServerId(0xaf63_dc4c_8601_ec8c));
        assert_eq!(server_id("foobar"), ServerId(0x8594_4171_f739_67e8));
    }
}
