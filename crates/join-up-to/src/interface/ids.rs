//! Identifiers of servers and requests.

/// The id of a server; an opaque number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

impl ServerId {
    /// The id of a named server: the FNV-1a hash of the name. It is the same at every node, and does not
    /// change when the node restarts or the server gets another address.
    pub fn named(name: &str) -> Self {
        ServerId(name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        }))
    }
}

/// The id of a client's request at this node. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);
