//! Translation of the addresses that coordinators announce to those at which they are reached from here.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Maps announced addresses to those to connect to. Clones share the map.
#[derive(Clone, Debug, Default)]
pub struct AddressTranslation {
    addresses: Arc<BTreeMap<SocketAddrV4, SocketAddrV4>>,
}

impl AddressTranslation {
    /// Translates these addresses, and leaves all others as they are.
    pub fn new(addresses: BTreeMap<SocketAddrV4, SocketAddrV4>) -> Self {
        AddressTranslation { addresses: Arc::new(addresses) }
    }

    /// The address to connect to in order to reach the coordinator that announces `announced`.
    pub fn resolve(&self, announced: SocketAddrV4) -> SocketAddrV4 {
        self.addresses.get(&announced).copied().unwrap_or(announced)
    }
}
