//! Long-lived connections that carry frames of [`control_protocol`]. Used by coordinators and agents.
//!
//! [`connect`] opens a connection and [`listen`] binds a listener; [`split`] divides a connection into a
//! [`FrameReader`] and a [`FrameWriter`]. If a peer doesn't read, its connection is closed once the send
//! queue is full, so that it never blocks a sender.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod address_translation;
mod frame_reader;
mod frame_writer;
mod socket;

pub use address_translation::AddressTranslation;
pub use frame_reader::FrameReader;
pub use frame_writer::{CloseCause, FrameWriter, MAX_QUEUED_BYTES, MAX_QUEUED_FRAMES};
pub use socket::{CONNECT_TIMEOUT, USER_TIMEOUT, configure_accepted, connect, listen};

use quick_error::quick_error;
use std::fmt;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// The step in which an error occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkStep {
    /// Opening a connection to the peer.
    Connect,
    /// Opening a socket that listens at an own address.
    Listen,
    /// Reading a frame or decoding its message.
    Read,
    /// Encoding a message or writing its frame.
    Write,
}

impl fmt::Display for LinkStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            LinkStep::Connect => "connect to",
            LinkStep::Listen => "listen at",
            LinkStep::Read => "read from",
            LinkStep::Write => "write to",
        })
    }
}

quick_error! {
    /// Why a connection or a listener failed, with the step and the peer or the own address.
    #[derive(Debug)]
    pub enum LinkError {
        /// The system reported an error for the socket.
        Io(step: LinkStep, peer: SocketAddr, error: std::io::Error) {
            display("{step} {peer}: {error}")
            source(error)
        }
        /// A step did not complete within its time-out.
        TimedOut(step: LinkStep, peer: SocketAddr) { display("{step} {peer}: timed out") }
        /// The peer or this side has closed the connection.
        Closed(peer: SocketAddr) { display("connection to {peer} is closed") }
        /// The send queue is full, as the peer doesn't read.
        QueueFull(peer: SocketAddr) { display("send queue to {peer} is full: the peer does not read") }
        /// Received bytes that are not a frame, or a message that could not be encoded.
        Frame(step: LinkStep, peer: SocketAddr, error: control_protocol::FrameError) {
            display("{step} {peer}: {error}")
            source(error)
        }
    }
}

/// Divides a connection into its two halves. Frames are written by a task on the current Tokio runtime, which
/// ends when the connection is closed: by either half, by the peer, or because the send queue is full.
pub fn split(stream: TcpStream, peer: SocketAddr) -> (FrameReader, FrameWriter) {
    let (reader, writer) = stream.into_split();
    let frames = FrameWriter::start(writer, peer);
    (FrameReader::new(reader, frames.close_signal(), peer), frames)
}
