//! Opening and accepting of connections, with their socket options.

use super::{LinkError, LinkStep};
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

/// How long sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`). Ends connections across a partition.
pub const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a connection may take to open. Less than the second after which the kernel retransmits a lost SYN
/// packet: a machine that had no power at the first SYN may be back before that, and a new attempt reaches
/// it.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The interval at which [`connect`] opens further sockets to send another SYN packet. Longer than the round
/// trip within a region.
const SYN_INTERVAL: Duration = Duration::from_millis(60);
/// The most connections that wait to be accepted. Allows for many nodes that reconnect at the same time.
const BACKLOG: u32 = 512;

/// Sets the socket options of a connection that was accepted.
///
/// # Errors
///
/// That of the system call which failed.
pub fn configure_accepted(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    set_user_timeout(stream)
}

/// Opens a connection within [`CONNECT_TIMEOUT`]. Until the peer responds, another SYN packet is sent every
/// 60 ms from a new socket, and the first connection that is established is used. A machine that has just got
/// its power back has lost the earlier packets and is reached without waiting for a retransmission.
///
/// # Errors
///
/// [`LinkError::TimedOut`], or [`LinkError::Io`] if the first attempt to end has failed, as when the peer
/// refuses it.
pub async fn connect(to: SocketAddrV4) -> Result<TcpStream, LinkError> {
    let peer = SocketAddr::V4(to);
    let failed = |error| LinkError::Io(LinkStep::Connect, peer, error);
    let mut attempts = JoinSet::new();
    let mut next_attempt = interval(SYN_INTERVAL);
    let timeout = sleep(CONNECT_TIMEOUT);
    tokio::pin!(timeout);
    loop {
        tokio::select! {
            biased;
            Some(connected) = attempts.join_next() => {
                let connected = connected.unwrap_or_else(|error| Err(io::Error::other(error)));
                return connected.map_err(failed);
            }
            () = &mut timeout => return Err(LinkError::TimedOut(LinkStep::Connect, peer)),
            _ = next_attempt.tick() => {
                let socket = new_socket().map_err(failed)?;
                attempts.spawn(socket.connect(peer));
            }
        }
    }
}

/// Creates a socket with the options that all connections have.
fn new_socket() -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_nodelay(true)?;
    set_user_timeout(&socket)?;
    Ok(socket)
}

/// Listens at an address; port 0 selects a free port.
///
/// # Errors
///
/// [`LinkError::Io`] with [`LinkStep::Listen`] and the address.
pub fn listen(address: SocketAddrV4) -> Result<TcpListener, LinkError> {
    let local = SocketAddr::V4(address);
    let failed = |error| LinkError::Io(LinkStep::Listen, local, error);
    let socket = TcpSocket::new_v4().map_err(failed)?;
    socket.set_reuseaddr(true).map_err(failed)?;
    socket.bind(local).map_err(failed)?;
    socket.listen(BACKLOG).map_err(failed)
}

fn set_user_timeout(socket: impl std::os::fd::AsFd) -> io::Result<()> {
    let milliseconds = USER_TIMEOUT.as_millis() as u32;
    rustix::net::sockopt::set_tcp_user_timeout(socket, milliseconds).map_err(io::Error::from)
}
