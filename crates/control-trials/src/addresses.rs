//! The addresses of a trial: a block of 256 addresses of the loopback network, one for each machine.

use crate::TrialError;
use fleet_demo::loopback_block::{BlockReservation, LoopbackBlock};
use std::net::{Ipv4Addr, SocketAddrV4};

// All ports are below the range that the system assigns to other sockets.
/// The port at which a frontend accepts clients.
const FRONTEND_PORT: u16 = 8662;
/// The port at which a frontend reports its readiness.
const READINESS_PORT: u16 = 8663;
/// The port of a coordinator's operator interface.
const CONTROL_PORT: u16 = 8665;
/// The first and the last port of the range for connections between machines.
pub const INTERNAL_PORTS: [u16; 2] = [7340, 7355];
/// The last octet of the first coordinator's address.
const FIRST_COORDINATOR: usize = 1;
/// The last octet of the first frontend's address.
const FIRST_FRONTEND: usize = 101;
/// The last octet of the first backend's address.
const FIRST_BACKEND: usize = 230;
/// The last octet of the platform's address.
const PLATFORM: usize = 250;
/// The largest number of coordinators of a trial, replaced ones included.
pub const MAX_COORDINATORS: usize = 24;
/// The largest number of frontends of a trial.
pub const MAX_FRONTENDS: usize = 120;

/// A block of addresses.
#[derive(Clone, Copy, Debug)]
pub struct AddressBlock {
    block: LoopbackBlock,
}

impl AddressBlock {
    /// Reserves a block whose addresses are free. The search starts at block `first`: concurrent trials pass
    /// different values.
    ///
    /// # Errors
    /// No block is free; with the error of the last one that was tried.
    pub fn reserve(first: u32) -> Result<(Self, BlockReservation), TrialError> {
        let reserved = LoopbackBlock::reserve(first, |block| AddressBlock { block }.checked_addresses());
        let failed = |error| TrialError::Io("find free addresses on loopback", error);
        let (block, reservation) = reserved.map_err(failed)?;
        Ok((AddressBlock { block }, reservation))
    }

    /// The addresses by which a block is found to be free.
    fn checked_addresses(self) -> [SocketAddrV4; 5] {
        [
            self.control(0),
            self.coordinator(0),
            self.client(0),
            self.readiness(0),
            SocketAddrV4::new(self.platform_ip(), CONTROL_PORT),
        ]
    }

    /// The address of a coordinator's machine, by its number from 0.
    pub fn coordinator_ip(self, number: usize) -> Ipv4Addr {
        self.block.ip(FIRST_COORDINATOR + number)
    }

    /// The address of a frontend's machine, by its number from 0.
    pub fn frontend_ip(self, number: usize) -> Ipv4Addr {
        self.block.ip(FIRST_FRONTEND + number)
    }

    /// The address of a backend, with port 0: the system assigns the port.
    pub fn backend(self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.block.ip(FIRST_BACKEND + number), 0)
    }

    fn platform_ip(self) -> Ipv4Addr {
        self.block.ip(PLATFORM)
    }

    /// The address of the platform, with port 0: the system assigns the port.
    pub fn platform(self) -> SocketAddrV4 {
        SocketAddrV4::new(self.platform_ip(), 0)
    }

    /// The address that a coordinator announces to agents and other coordinators.
    pub fn coordinator(self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.coordinator_ip(number), INTERNAL_PORTS[0])
    }

    /// The address of a coordinator's operator interface.
    pub fn control(self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.coordinator_ip(number), CONTROL_PORT)
    }

    /// The address at which a frontend accepts clients.
    pub fn client(self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.frontend_ip(number), FRONTEND_PORT)
    }

    /// The address at which a frontend reports its readiness.
    pub fn readiness(self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.frontend_ip(number), READINESS_PORT)
    }
}
