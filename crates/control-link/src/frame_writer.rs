//! The writing half of a connection, with its bounded send queue.

use super::{LinkError, LinkStep};
use bytes::{Bytes, BytesMut};
use serde::Serialize;
use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{Notify, watch};

/// The most frames that are queued for one peer.
pub const MAX_QUEUED_FRAMES: usize = 256;
/// Once this many bytes are queued for one peer, no other frame is. The last one may exceed it, as a frame may
/// be larger than this and others queued before it.
pub const MAX_QUEUED_BYTES: usize = 4 << 20;
/// Small frames are joined into one write up to this length, in bytes.
const MAX_JOINED_BYTES: usize = 16 << 10;

/// Writes the frames of a connection. Clones share the send queue; the connection is closed when the last
/// clone is dropped.
#[derive(Clone, Debug)]
pub struct FrameWriter {
    shared: Arc<Shared>,
    // Closes the connection with the last clone. `shared` can't do so, as the writing task has a reference to
    // it.
    _close_on_drop: Arc<CloseOnDrop>,
}

/// Why this side has closed a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// A write failed, with an error of this kind.
    WriteFailed(io::ErrorKind),
    /// The send queue was full, as the peer doesn't read.
    QueueFull,
    /// The owner of the connection has closed it.
    Requested,
}

impl fmt::Display for CloseCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CloseCause::WriteFailed(kind) => write!(formatter, "write failed: {kind}"),
            CloseCause::QueueFull => formatter.write_str("send queue full"),
            CloseCause::Requested => formatter.write_str("closed by this side"),
        }
    }
}

/// Waits for the end of a connection, without keeping it open.
#[derive(Clone, Debug)]
pub struct CloseSignal {
    closed: watch::Receiver<bool>,
}

#[derive(Debug)]
struct Shared {
    peer: SocketAddr,
    queue: Mutex<Queue>,
    frame_queued: Notify,
    closed: watch::Sender<bool>,
    /// Set with the first cause for which this side closes the connection.
    close_cause: OnceLock<CloseCause>,
}

#[derive(Debug, Default)]
struct Queue {
    frames: VecDeque<Bytes>,
    bytes: usize,
}

#[derive(Debug)]
struct CloseOnDrop(Arc<Shared>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.close(CloseCause::Requested);
    }
}

impl FrameWriter {
    pub(super) fn start(writer: OwnedWriteHalf, peer: SocketAddr) -> Self {
        let (closed, _) = watch::channel(false);
        let shared = Arc::new(Shared {
            peer,
            queue: Mutex::default(),
            frame_queued: Notify::new(),
            closed,
            close_cause: OnceLock::new(),
        });
        tokio::spawn(run_writer(writer, shared.clone()));
        FrameWriter { _close_on_drop: Arc::new(CloseOnDrop(shared.clone())), shared }
    }

    /// Returns the address of the other side of the connection.
    pub fn peer(&self) -> SocketAddr {
        self.shared.peer
    }

    /// Queues a message. If the queue is full, the connection is closed.
    ///
    /// # Errors
    ///
    /// [`LinkError::Frame`] if the message can't be encoded; otherwise as [`FrameWriter::send_frame`].
    pub fn send<M: Serialize>(&self, message: &M) -> Result<(), LinkError> {
        let frame = control_protocol::encode(message);
        let frame = frame.map_err(|error| LinkError::Frame(LinkStep::Write, self.shared.peer, error))?;
        self.send_frame(frame.into())
    }

    /// Queues a frame from [`control_protocol::encode`], so that a message to many peers is encoded only
    /// once.
    ///
    /// # Errors
    ///
    /// [`LinkError::Closed`] if the connection is closed, [`LinkError::QueueFull`] if the queue is full.
    pub fn send_frame(&self, frame: Bytes) -> Result<(), LinkError> {
        if self.is_closed() {
            return Err(LinkError::Closed(self.shared.peer));
        }
        if !self.shared.queue().push(frame) {
            self.shared.close(CloseCause::QueueFull);
            return Err(LinkError::QueueFull(self.shared.peer));
        }
        self.shared.frame_queued.notify_one();
        Ok(())
    }

    /// Closes the connection. Frames that are still queued are not sent.
    pub fn close(&self) {
        self.shared.close(CloseCause::Requested);
    }

    /// Why this side has closed the connection; `None` if it has not, also if the peer has.
    pub fn close_cause(&self) -> Option<CloseCause> {
        self.shared.close_cause.get().copied()
    }

    /// Whether the connection is closed, so that frames are no longer accepted.
    pub fn is_closed(&self) -> bool {
        *self.shared.closed.borrow()
    }

    /// Returns a signal that waits for the end of the connection.
    pub fn close_signal(&self) -> CloseSignal {
        CloseSignal { closed: self.shared.closed.subscribe() }
    }
}

impl CloseSignal {
    /// Waits until the connection is closed; returns at once if it is already.
    pub async fn wait(&mut self) {
        // An error means that the sender was dropped, and the connection with it.
        let _ = self.closed.wait_for(|closed| *closed).await;
    }
}

impl Shared {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes the connection. Of several causes the first is kept.
    fn close(&self, cause: CloseCause) {
        self.close_cause.get_or_init(|| cause);
        self.closed.send_replace(true);
    }
}

impl Queue {
    /// Adds a frame. Returns false if the queue is full.
    fn push(&mut self, frame: Bytes) -> bool {
        if self.frames.len() >= MAX_QUEUED_FRAMES || self.bytes >= MAX_QUEUED_BYTES {
            return false;
        }
        self.bytes += frame.len();
        self.frames.push_back(frame);
        true
    }

    /// Removes the next bytes to write: one frame, or several small ones joined. `None` if the queue is
    /// empty.
    fn next(&mut self) -> Option<Bytes> {
        let first = self.frames.pop_front()?;
        self.bytes -= first.len();
        let mut length = first.len();
        let mut joined = BytesMut::from(first);
        while self.frames.front().is_some_and(|frame| length + frame.len() <= MAX_JOINED_BYTES) {
            let Some(frame) = self.frames.pop_front() else { break };
            self.bytes -= frame.len();
            length += frame.len();
            joined.extend_from_slice(&frame);
        }
        Some(joined.freeze())
    }
}

async fn run_writer(mut writer: OwnedWriteHalf, shared: Arc<Shared>) {
    let mut closed = CloseSignal { closed: shared.closed.subscribe() };
    tokio::select! {
        () = closed.wait() => {}
        Err(error) = write_queue(&mut writer, &shared) => {
            log::debug!("write to {}: {error}", shared.peer);
            shared.close(CloseCause::WriteFailed(error.kind()));
        }
    }
}

/// Writes the queued frames until an error occurs.
async fn write_queue(writer: &mut OwnedWriteHalf, shared: &Shared) -> io::Result<()> {
    loop {
        let next = shared.queue().next();
        match next {
            Some(bytes) => writer.write_all(&bytes).await?,
            None => shared.frame_queued.notified().await,
        }
    }
}
