//! Backends for tests of lists.

use control_protocol::{Backend, BackendState};
use std::net::{Ipv4Addr, SocketAddrV4};

/// A backend with an instance id and an address that are derived from its number.
pub fn numbered_backend(number: u16, state: BackendState) -> Backend {
    Backend {
        instance_id: format!("i-{number:04x}"),
        service: "s".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, (number >> 8) as u8, number as u8), 8080),
        zone: "z".into(),
        generation: "v1".into(),
        slots: 6,
        state,
        cold_remaining_ms: 0,
    }
}
