//! A block of 256 addresses of the loopback network, so that each machine of a fleet has an address of its own
//! with the same ports.

use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};

/// The second octet of the first block. Other programs use 127.0.0.0/16.
const FIRST_OCTET: u32 = 20;
/// The number of values of the second octet.
const SECOND_OCTETS: u32 = 200;
/// The number of values of the third octet.
const THIRD_OCTETS: u32 = 250;
/// The distance between two blocks that are tried, so that searches from adjacent blocks seldom meet.
const STEP: u32 = 7919;
/// The last octet of the address by which a block is reserved.
const RESERVATION_OCTET: usize = 254;
/// The port of this address.
const RESERVATION_PORT: u16 = 8660;
/// The number of blocks that are tried to find a free one.
const MAX_BLOCKS: u32 = 64;

/// A block of addresses: all of 127.x.y.0/24.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoopbackBlock {
    /// The second and the third octet of all addresses.
    octets: [u8; 2],
}

/// Keeps other fleets of this computer from a block until it is dropped, also while machines of the block are
/// down.
#[derive(Debug)]
pub struct BlockReservation {
    _listener: TcpListener,
}

impl LoopbackBlock {
    /// Reserves a block in which all these addresses can be listened at. The search starts at block `first`:
    /// concurrent fleets pass different values, so that they do not compete for the same block.
    ///
    /// # Errors
    /// No block is free; the error of the last one that was tried.
    pub fn reserve<A>(
        first: u32,
        addresses: impl Fn(LoopbackBlock) -> A,
    ) -> io::Result<(Self, BlockReservation)>
    where
        A: IntoIterator<Item = SocketAddrV4>,
    {
        let mut last_error = io::Error::other("no block of addresses");
        for attempt in 0..MAX_BLOCKS {
            let block = LoopbackBlock::numbered(first.wrapping_add(attempt.wrapping_mul(STEP)));
            match block.reserve_if_free(addresses(block)) {
                Ok(reservation) => return Ok((block, reservation)),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    fn reserve_if_free(
        self,
        addresses: impl IntoIterator<Item = SocketAddrV4>,
    ) -> io::Result<BlockReservation> {
        let listener = TcpListener::bind(SocketAddrV4::new(self.ip(RESERVATION_OCTET), RESERVATION_PORT))?;
        for address in addresses {
            TcpListener::bind(address)?;
        }
        Ok(BlockReservation { _listener: listener })
    }

    fn numbered(number: u32) -> Self {
        let second = FIRST_OCTET + number % SECOND_OCTETS;
        let third = number / SECOND_OCTETS % THIRD_OCTETS;
        LoopbackBlock { octets: [second as u8, third as u8] }
    }

    /// The address with this last octet, from 0 to 255.
    pub fn ip(self, last_octet: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octets[0], self.octets[1], last_octet as u8)
    }
}
