//! A port that refuses connections.

use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, SocketAddrV4};

/// A port of loopback that refuses connections until this is dropped. It is bound without listening, so that
/// no other test can listen at it.
pub struct ClosedPort(Socket);

impl Default for ClosedPort {
    fn default() -> Self {
        ClosedPort::new()
    }
}

impl ClosedPort {
    /// Binds a free port.
    pub fn new() -> Self {
        ClosedPort(bound_socket())
    }

    /// The address of the port.
    pub fn address(&self) -> SocketAddrV4 {
        self.0.local_addr().expect("bound").as_socket_ipv4().expect("IPv4")
    }
}

/// A socket that is bound to a free port of loopback and does not listen.
pub(crate) fn bound_socket() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket
}
