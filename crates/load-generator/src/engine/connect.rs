//! Connections to the target of a run.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A bidirectional byte stream.
pub trait Io: AsyncRead + AsyncWrite + Unpin + Send {}
impl<T: AsyncRead + AsyncWrite + Unpin + Send> Io for T {}

/// The future of a connection attempt.
pub type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<Box<dyn Io>>> + Send>>;

/// Opens connections to the target. Implemented by [`Tcp`], and by tests with an in-memory target.
pub trait Connect: Send + Sync {
    /// Opens a new connection.
    fn connect(&self) -> ConnectFuture;
}

/// Connects over TCP to this address, with `TCP_NODELAY`.
pub struct Tcp(pub SocketAddr);

impl Connect for Tcp {
    fn connect(&self) -> ConnectFuture {
        let address = self.0;
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            Ok(Box::new(stream) as Box<dyn Io>)
        })
    }
}
