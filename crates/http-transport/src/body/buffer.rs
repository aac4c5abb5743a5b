//! Reads a body into memory, up to a maximum size.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The default maximum size, in bytes, of a request or response body that is buffered. A larger one is
/// streamed.
pub const MAX_BUFFERED_BODY: usize = 64 << 10;

/// What has been read of a body.
pub enum ReadBody {
    /// The complete body.
    Complete(Bytes),
    /// A first part that exceeds the maximum size of the buffer. The rest follows.
    Partial(Bytes),
}

impl ReadBody {
    /// The announced size of the body in bytes, or the number of received bytes if no size was announced.
    pub fn size(&self, announced: Option<u64>) -> usize {
        let (ReadBody::Complete(received) | ReadBody::Partial(received)) = self;
        announced.and_then(|size| usize::try_from(size).ok()).unwrap_or(received.len())
    }
}

/// A body that is being read into memory.
pub struct BodyBuffer {
    received: BytesMut,
    max_size: usize,
    last_arrival: Option<Instant>,
    /// The longest wait between two arrivals.
    longest_wait: Duration,
    /// The number of waits between arrivals.
    waits: u32,
}

/// Bytes that follow others within this time count as having arrived together with them.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// A body counts as still arriving while the current pause is shorter than this multiple of the longest wait
/// so far.
const ARRIVING_PAUSE_FACTOR: u32 = 3;

impl BodyBuffer {
    /// An empty buffer for at most `max_size` bytes.
    pub fn new(max_size: usize) -> Self {
        BodyBuffer {
            received: BytesMut::new(),
            max_size,
            last_arrival: None,
            longest_wait: Duration::ZERO,
            waits: 0,
        }
    }
    /// Adds a received frame. Returns `false` once the body exceeds the maximum; the frame is in the buffer
    /// all the same.
    pub fn add(&mut self, frame: Frame<Bytes>) -> bool {
        if let Ok(data) = frame.into_data() {
            self.received.extend_from_slice(&data);
        }
        let now = Instant::now();
        let wait = self.last_arrival.map(|last| now - last).filter(|wait| *wait >= MIN_WAIT);
        self.waits += u32::from(wait.is_some());
        self.longest_wait = self.longest_wait.max(wait.unwrap_or_default());
        self.last_arrival = Some(now);
        self.received.len() <= self.max_size
    }
    /// Whether the body has arrived in several pieces and has not stalled. A body that has arrived in one
    /// piece without its end may never end.
    pub fn is_arriving(&self) -> bool {
        let pause = self.last_arrival.map(|last| last.elapsed());
        self.waits > 0 && pause.is_some_and(|pause| pause < ARRIVING_PAUSE_FACTOR * self.longest_wait)
    }
    /// The number of bytes received.
    pub fn len(&self) -> u64 {
        self.received.len() as u64
    }
    /// Whether nothing has been received.
    pub fn is_empty(&self) -> bool {
        self.received.is_empty()
    }
    /// The received bytes.
    pub fn into_bytes(self) -> Bytes {
        self.received.freeze()
    }
}

/// Why reading a body into a buffer has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// The body is complete.
    Complete,
    /// The body exceeds the maximum size of the buffer.
    TooLarge,
    /// Nothing has arrived for longer than allowed.
    Paused,
    /// The deadline has passed.
    TimedOut,
}

/// Reads a body into a buffer until the body is complete or too large, the deadline has passed, or nothing
/// has arrived for `max_pause`.
///
/// # Errors
/// The connection was lost, or the body is malformed.
pub async fn buffer_body(
    body: &mut Incoming,
    buffer: &mut BodyBuffer,
    deadline: Instant,
    max_pause: Option<Duration>,
) -> Result<ReadEnd, hyper::Error> {
    loop {
        let pause_end = max_pause.map(|pause| Instant::now() + pause).filter(|at| *at < deadline);
        let Ok(frame) = timeout_at(pause_end.unwrap_or(deadline), body.frame()).await else {
            return Ok(if pause_end.is_some() { ReadEnd::Paused } else { ReadEnd::TimedOut });
        };
        let Some(frame) = frame.transpose()? else { return Ok(ReadEnd::Complete) };
        if !buffer.add(frame) {
            return Ok(ReadEnd::TooLarge);
        }
    }
}
