//! The machines of the fleet: their names, zones and addresses on loopback.

use crate::DemoError;
use crate::loopback_block::{BlockReservation, LoopbackBlock};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The number of coordinators, which form the core.
pub const COORDINATORS: usize = 3;
/// The number of frontends, each with an agent and a data plane.
pub const FRONTENDS: usize = 4;
/// The zones, to which machines are assigned round-robin.
pub const ZONES: [&str; 3] = ["east", "north", "west"];
// All ports are below the range that the system assigns to other sockets.
/// The port at which a frontend accepts clients.
const FRONTEND_PORT: u16 = 8662;
/// The port at which a frontend reports its readiness.
const READINESS_PORT: u16 = 8663;
/// The control port of a coordinator.
const CONTROL_PORT: u16 = 8665;
/// The first and the last port of the range for connections between machines.
pub const INTERNAL_PORTS: [u16; 2] = [7680, 7695];

/// The addresses of all machines, in a block of 256 addresses of the loopback network.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    block: LoopbackBlock,
}

impl Topology {
    /// Reserves a block in which all addresses are free. The search starts at block `first`: concurrent runs
    /// pass different values, so that they do not compete for the same block.
    ///
    /// # Errors
    /// No block is free; with the error of the last block that was tried.
    pub fn reserve(first: u32) -> Result<(Topology, BlockReservation), DemoError> {
        let reserved = LoopbackBlock::reserve(first, |block| Topology { block }.listened_addresses());
        let failed = |error| DemoError::Io("find free addresses on loopback", error);
        let (block, reservation) = reserved.map_err(failed)?;
        Ok((Topology { block }, reservation))
    }

    /// The addresses at which the processes of the fleet listen.
    fn listened_addresses(self) -> impl Iterator<Item = SocketAddrV4> {
        let coordinators = (0..COORDINATORS).flat_map(move |number| {
            let ip = self.coordinator_ip(number);
            [CONTROL_PORT, INTERNAL_PORTS[0]].map(|port| SocketAddrV4::new(ip, port))
        });
        let frontends = (0..FRONTENDS).flat_map(move |number| {
            let ip = self.frontend_ip(number);
            [FRONTEND_PORT, READINESS_PORT, INTERNAL_PORTS[0] + 1].map(|port| SocketAddrV4::new(ip, port))
        });
        coordinators.chain(frontends)
    }

    /// The IP address of a coordinator, by its number from 0.
    pub fn coordinator_ip(&self, number: usize) -> Ipv4Addr {
        self.block.ip(1 + number)
    }

    /// The IP address of a frontend, by its number from 0.
    pub fn frontend_ip(&self, number: usize) -> Ipv4Addr {
        self.block.ip(11 + number)
    }

    /// The address of a backend, with port 0: the system assigns the port.
    pub fn backend_address(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.block.ip(101 + number % 100), 0)
    }

    /// The address of the platform, with port 0: the system assigns the port.
    pub fn platform_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.block.ip(250), 0)
    }

    /// The address of a coordinator's status and configuration calls.
    pub fn control_address(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.coordinator_ip(number), CONTROL_PORT)
    }

    /// The address at which a frontend accepts client connections.
    pub fn client_address(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.frontend_ip(number), FRONTEND_PORT)
    }

    /// The address at which a frontend reports its readiness.
    pub fn readiness_address(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.frontend_ip(number), READINESS_PORT)
    }
}

/// The name of a coordinator, by its number from 0.
pub fn coordinator_name(number: usize) -> String {
    format!("core-{}", number + 1)
}

/// The name of a frontend, by its number from 0.
pub fn frontend_name(number: usize) -> String {
    format!("frontend-{}", number + 1)
}
