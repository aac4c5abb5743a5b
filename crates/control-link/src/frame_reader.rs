//! The reading half of a connection: splits the received bytes into frames and decodes them.

use super::frame_writer::CloseSignal;
use super::{LinkError, LinkStep};
use bytes::BytesMut;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;

/// The free space that the buffer has at least before each read, in bytes.
const READ_BYTES: usize = 8 << 10;
/// An empty buffer of a larger capacity is freed, as it has only grown for a large frame.
const MAX_RETAINED_BYTES: usize = 64 << 10;

/// Reads the messages of a connection, one per frame.
pub struct FrameReader {
    reader: OwnedReadHalf,
    buffer: BytesMut,
    closed: CloseSignal,
    peer: SocketAddr,
}

impl FrameReader {
    pub(super) fn new(reader: OwnedReadHalf, closed: CloseSignal, peer: SocketAddr) -> Self {
        FrameReader { reader, buffer: BytesMut::new(), closed, peer }
    }

    /// Returns the address of the other side of the connection.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the next message. Cancel safe: no bytes are lost if the future is dropped before it completes.
    ///
    /// # Errors
    ///
    /// [`LinkError::Closed`] if either side has closed the connection, [`LinkError::Frame`] if the bytes are
    /// not a message of this type, and [`LinkError::Io`].
    pub async fn next<M: DeserializeOwned>(&mut self) -> Result<M, LinkError> {
        loop {
            let decoded = control_protocol::decode(&mut self.buffer);
            if let Some(message) =
                decoded.map_err(|error| LinkError::Frame(LinkStep::Read, self.peer, error))?
            {
                self.shrink_buffer();
                return Ok(message);
            }
            self.fill().await?;
        }
    }

    async fn fill(&mut self) -> Result<(), LinkError> {
        self.buffer.reserve(READ_BYTES);
        let count = tokio::select! {
            count = self.reader.read_buf(&mut self.buffer) => count,
            () = self.closed.wait() => return Err(LinkError::Closed(self.peer)),
        };
        match count {
            Ok(0) => Err(LinkError::Closed(self.peer)),
            Ok(_) => Ok(()),
            Err(error) => Err(LinkError::Io(LinkStep::Read, self.peer, error)),
        }
    }

    fn shrink_buffer(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_RETAINED_BYTES {
            self.buffer = BytesMut::new();
        }
    }
}
