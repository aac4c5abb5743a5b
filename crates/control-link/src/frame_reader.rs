//! The reading half of a connection: splits the received bytes into frames and decodes them.

use super::frame_writer::CloseSignal;
use super::{LinkError, LinkStep};
use bytes::BytesMut;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::timeout;

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
            if let Some(message) = self.decode()? {
                return Ok(message);
            }
            self.fill().await?;
        }
    }

    /// Returns the next message, as [`FrameReader::next`] does, as long as some bytes arrive within each
    /// `silence`. A large message may take longer than that.
    ///
    /// # Errors
    ///
    /// [`LinkError::TimedOut`] if nothing arrives for `silence`; otherwise as [`FrameReader::next`].
    pub async fn next_within<M: DeserializeOwned>(&mut self, silence: Duration) -> Result<M, LinkError> {
        loop {
            if let Some(message) = self.decode()? {
                return Ok(message);
            }
            match timeout(silence, self.fill()).await {
                Ok(filled) => filled?,
                Err(_) => return Err(LinkError::TimedOut(LinkStep::Read, self.peer)),
            }
        }
    }

    /// The next message of the bytes received so far; `None` while it is incomplete.
    fn decode<M: DeserializeOwned>(&mut self) -> Result<Option<M>, LinkError> {
        let decoded = control_protocol::decode(&mut self.buffer);
        let message = decoded.map_err(|error| LinkError::Frame(LinkStep::Read, self.peer, error))?;
        if message.is_some() {
            self.shrink_buffer();
        }
        Ok(message)
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
