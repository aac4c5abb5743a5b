//! The machines of the fleet: their names, zones and addresses on loopback.

use crate::DemoError;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};

/// The number of coordinators.
pub const COORDINATORS: usize = 3;
/// The number of frontends.
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
/// The number of address blocks that are tried to find a free one.
const MAX_BLOCKS: u32 = 64;

/// The addresses of all machines, in a block of 256 addresses of the loopback network.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// The second and the third octet.
    block: [u8; 2],
}

impl Topology {
    /// Finds a block in which all addresses are free. The search starts at block `first`: concurrent runs
    /// pass different values, so that they do not compete for the same block.
    ///
    /// # Errors
    /// No block is free; with the error of the last block that was tried.
    pub fn find(first: u32) -> Result<Topology, DemoError> {
        let blocks = (0..MAX_BLOCKS).map(|step| first.wrapping_add(step.wrapping_mul(7919)));
        let mut last_error = io::Error::other("no block of addresses");
        for number in blocks {
            // The second octet starts at 20, as other programs use 127.0.0.0/16.
            let topology = Topology { block: [20 + (number % 200) as u8, (number / 200 % 250) as u8] };
            match topology.check_free() {
                Ok(()) => return Ok(topology),
                Err(error) => last_error = error,
            }
        }
        Err(DemoError::Io("find free addresses on loopback", last_error))
    }

    fn check_free(&self) -> io::Result<()> {
        let coordinators = (0..COORDINATORS).flat_map(|number| {
            let ip = self.coordinator_ip(number);
            [CONTROL_PORT, INTERNAL_PORTS[0]].map(|port| SocketAddrV4::new(ip, port))
        });
        let frontends = (0..FRONTENDS).flat_map(|number| {
            let ip = self.frontend_ip(number);
            [FRONTEND_PORT, READINESS_PORT, INTERNAL_PORTS[0] + 1].map(|port| SocketAddrV4::new(ip, port))
        });
        for address in coordinators.chain(frontends) {
            TcpListener::bind(address)?;
        }
        Ok(())
    }

    fn ip(&self, last_octet: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block[0], self.block[1], last_octet as u8)
    }

    /// The IP address of a coordinator.
    pub fn coordinator_ip(&self, number: usize) -> Ipv4Addr {
        self.ip(1 + number)
    }

    /// The IP address of a frontend.
    pub fn frontend_ip(&self, number: usize) -> Ipv4Addr {
        self.ip(11 + number)
    }

    /// The address of a backend, with port 0: the system assigns the port.
    pub fn backend_address(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(101 + number % 100), 0)
    }

    /// The address of the platform, with port 0: the system assigns the port.
    pub fn platform_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(250), 0)
    }

    /// The control address of a coordinator.
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
