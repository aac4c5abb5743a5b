//! The listening sockets for clients: can be replaced by a reload and handed over to another process. Serves
//! no connection.

use quick_error::quick_error;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::task::Poll;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;

/// The number of connections that the system may queue. Large enough for a burst, and for connections that
/// arrive while the process is stopped. Beyond it, clients believe that they are connected, but their
/// requests are delayed until the system retransmits them.
pub const BACKLOG: u32 = 1024;

quick_error! {
    /// Why the listening sockets were not replaced.
    #[derive(Debug)]
    pub enum ListenError {
        /// A socket could not listen at the address.
        Bind(address: SocketAddr, error: io::Error) {
            display("cannot listen on {address}: {error}")
            source(error)
        }
    }
}

/// The listening sockets. They can be replaced at any time; accepted connections are not affected.
#[derive(Default)]
pub struct Listeners {
    open: RefCell<Vec<TcpListener>>,
    paused: Cell<bool>,
    changed: Notify,
}

impl Listeners {
    /// Listens on these sockets.
    pub fn new(listeners: Vec<TcpListener>) -> Self {
        Listeners { open: RefCell::new(listeners), ..Listeners::default() }
    }
    /// Whether accepting is paused, as another process accepts the connections.
    pub fn is_paused(&self) -> bool {
        self.paused.get()
    }
    /// Pauses or resumes accepting. In the meantime connections wait in the queue of the system.
    pub fn set_paused(&self, paused: bool) {
        self.paused.set(paused);
        self.changed.notify_one();
    }
    /// Duplicates the sockets for another process.
    ///
    /// # Errors
    /// The process has no descriptor left.
    pub fn duplicate(&self) -> io::Result<Vec<std::net::TcpListener>> {
        let duplicate = |listener: &TcpListener| listener.as_fd().try_clone_to_owned().map(Into::into);
        self.open.borrow().iter().map(duplicate).collect()
    }
    /// Opens sockets for those of these addresses that have none, and closes the sockets of all other
    /// addresses.
    ///
    /// # Errors
    /// A socket could not listen at its address; nothing is changed then.
    pub fn replace(&self, addresses: &[SocketAddr]) -> Result<(), ListenError> {
        let is_open = |address: &SocketAddr| self.open.borrow().iter().any(|l| is_at(l, *address));
        let mut opened = Vec::new();
        for address in addresses.iter().filter(|address| !is_open(address)) {
            opened.push(bind(*address).map_err(|error| ListenError::Bind(*address, error))?);
        }
        let mut listeners = self.open.borrow_mut();
        listeners.retain(|l| addresses.iter().any(|address| is_at(l, *address)));
        listeners.extend(opened);
        Ok(())
    }
    /// The addresses of the sockets. For a configured port 0, this is the port that the system has chosen.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.open.borrow().iter().filter_map(|listener| listener.local_addr().ok()).collect()
    }
    /// Closes all sockets.
    pub fn close(&self) {
        self.open.borrow_mut().clear();
    }
    /// Accepts the next connection on any of the sockets.
    ///
    /// # Errors
    /// The system could not accept a connection, for example as the process has no descriptor left.
    pub async fn accept(&self) -> io::Result<TcpStream> {
        loop {
            if self.paused.get() {
                self.changed.notified().await;
                continue;
            }
            tokio::select! {
                biased;
                () = self.changed.notified() => {}
                accepted = self.accept_any() => return accepted,
            }
        }
    }
    async fn accept_any(&self) -> io::Result<TcpStream> {
        poll_fn(|cx| {
            let listeners = self.open.borrow();
            let mut ready = listeners.iter().map(|listener| listener.poll_accept(cx));
            let first = ready.find_map(|poll| match poll {
                Poll::Ready(accepted) => Some(accepted.map(|(stream, _)| stream)),
                Poll::Pending => None,
            });
            first.map_or(Poll::Pending, Poll::Ready)
        })
        .await
    }
}

/// Opens a listening socket. The address may have been in use until just now.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Whether a listener is at the configured address. Port 0 matches any port.
fn is_at(listener: &TcpListener, configured: SocketAddr) -> bool {
    listener.local_addr().is_ok_and(|at| {
        at.ip() == configured.ip() && (configured.port() == 0 || at.port() == configured.port())
    })
}
