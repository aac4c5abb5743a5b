//! Listening sockets of a test.

use crate::closed_port::bound_socket;
use crate::{Message, PEER_TIMEOUT, Peer};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The interval at which connections and requests are polled for.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// A connect that takes longer shows that the backlog is full.
const FULL_AFTER: Duration = Duration::from_millis(200);
/// The number of connections before which a backlog of 0 is full.
const MAX_BACKLOG: usize = 8;

/// A listening socket of a backend or of discovery, at a free port of loopback.
pub struct Listener(TcpListener);

impl Default for Listener {
    fn default() -> Self {
        Listener::new()
    }
}

impl Listener {
    /// Listens at a free port of loopback.
    pub fn new() -> Self {
        Listener(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    /// A listener with a full backlog, and the connections that fill it. Until one of them is accepted, the
    /// system leaves other connects pending and retransmits them a second later.
    pub fn full() -> (Self, Vec<TcpStream>) {
        let socket = bound_socket();
        socket.listen(0).expect("a backlog");
        let listener = Listener(socket.into());
        let full: Vec<_> = (0..MAX_BACKLOG)
            .map_while(|_| TcpStream::connect_timeout(&listener.address(), FULL_AFTER).ok())
            .collect();
        assert!(full.len() < MAX_BACKLOG, "the backlog takes at least {MAX_BACKLOG} connections");
        (listener, full)
    }

    /// The address that it listens at.
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("an address")
    }

    /// Accepts a connection within [`PEER_TIMEOUT`].
    pub fn accept(&self) -> Peer {
        Listener::accept_any(&[self]).1
    }

    /// Accepts a connection, reads the watch request on it, and sends the start of the response with an empty
    /// line, which means that nothing has changed.
    pub fn open_watch(&self) -> Peer {
        let mut watch = self.accept();
        watch.read();
        watch.begin_watch();
        watch.line("");
        watch
    }

    /// Accepts a connection if one is pending; `None` otherwise.
    pub fn try_accept(&self) -> Option<Peer> {
        self.0.set_nonblocking(true).expect("a socket");
        let (stream, _) = self.0.accept().ok()?;
        stream.set_nonblocking(false).expect("a socket");
        Some(Peer::new(stream))
    }

    /// Accepts a connection, and waits for it without a time-out.
    pub fn accept_without_timeout(&self) -> Peer {
        self.0.set_nonblocking(false).expect("a socket");
        Peer::new(self.0.accept().expect("a connection").0)
    }

    /// Accepts a connection at any of these listeners within [`PEER_TIMEOUT`]. Returns the index of its
    /// listener, too.
    pub fn accept_any(listeners: &[&Listener]) -> (usize, Peer) {
        let start = Instant::now();
        listeners.iter().for_each(|listener| listener.0.set_nonblocking(true).expect("a socket"));
        loop {
            for (index, listener) in listeners.iter().enumerate() {
                if let Ok((stream, _)) = listener.0.accept() {
                    stream.set_nonblocking(false).expect("a socket");
                    return (index, Peer::new(stream));
                }
            }
            assert!(start.elapsed() < PEER_TIMEOUT, "no connection within {PEER_TIMEOUT:?}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Reads a request from one of the open connections in `peers` or from a new connection, within
    /// [`PEER_TIMEOUT`]. The connection of the request is removed from `peers` and returned; new connections
    /// without a request are added.
    pub fn next_request(&self, peers: &mut Vec<Peer>) -> Peer {
        self.next_message(peers).1
    }

    /// Like [`Listener::next_request`], and checks the start line of the request.
    pub fn next_request_of(&self, peers: &mut Vec<Peer>, start_line: &str) -> Peer {
        let (message, peer) = self.next_message(peers);
        assert_eq!(message.first, start_line);
        peer
    }

    /// Like [`Listener::next_request`], and returns the request, too.
    pub fn next_message(&self, peers: &mut Vec<Peer>) -> (Message, Peer) {
        let start = Instant::now();
        self.0.set_nonblocking(true).expect("a socket");
        loop {
            if let Ok((stream, _)) = self.0.accept() {
                stream.set_nonblocking(false).expect("a socket");
                peers.push(Peer::new(stream));
            }
            if let Some(index) = peers.iter().position(Peer::has_more) {
                let mut peer = peers.swap_remove(index);
                return (peer.read(), peer);
            }
            assert!(start.elapsed() < PEER_TIMEOUT, "no request within {PEER_TIMEOUT:?}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Whether no connection is pending.
    pub fn is_untouched(&self) -> bool {
        self.0.set_nonblocking(true).expect("a socket");
        self.0.accept().is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }
}
