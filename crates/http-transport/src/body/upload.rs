//! The body of a client's request, streamed to a backend, and its use by an attempt.

use super::BodyError;
use bytes::Bytes;
use http_forwarding::attempt::BodyAvailability;
use hyper::body::{Body, Incoming};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// Added to the time that the size of a client's body allows. Keeps clients that stop in the middle of a body
/// from occupying a connection to a backend.
const UPLOAD_TIMEOUT_SLACK: Duration = Duration::from_millis(2500);
/// The minimum rate of a client's body, in bytes per second: 64 kB/s with a margin.
const MIN_UPLOAD_RATE: u64 = 48_000;

/// How long a client may take to send a body of `bytes` bytes.
pub fn upload_timeout(bytes: u64) -> Duration {
    UPLOAD_TIMEOUT_SLACK + Duration::from_millis(bytes.saturating_mul(1000) / MIN_UPLOAD_RATE)
}

/// The body of a client's request, streamed to a backend. Only the first part is retained, so the body can be
/// sent again only while nothing after that part has been read.
pub struct Upload {
    /// The retained first part.
    head: Bytes,
    remaining: RefCell<Option<Incoming>>,
    /// The announced size in bytes.
    size: Option<u64>,
    max_size: u64,
    finished: Cell<bool>,
    /// Whether bytes after `head` have been read.
    streaming: Cell<bool>,
    on_event: Box<dyn Fn(UploadEvent)>,
}

/// An event of a body that is streamed to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadEvent {
    /// The first bytes that are not retained have been read.
    Streaming,
    /// The last byte has been read.
    Finished,
}

impl fmt::Debug for Upload {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "Upload of {:?}", self.size)
    }
}

impl Upload {
    /// A body whose first part, `head`, has been received. It fails once it exceeds `max_size` bytes.
    /// `on_event` is called at most once for each event.
    pub fn new(
        head: Bytes,
        remaining: Incoming,
        size: Option<u64>,
        max_size: u64,
        on_event: impl Fn(UploadEvent) + 'static,
    ) -> Self {
        Upload {
            head,
            remaining: RefCell::new(Some(remaining)),
            size,
            max_size,
            finished: Cell::new(false),
            streaming: Cell::new(false),
            on_event: Box::new(on_event),
        }
    }
    /// The announced size in bytes; `None` if the client announced none.
    pub fn size(&self) -> Option<u64> {
        self.size
    }
    /// Whether the last byte has been read.
    pub fn is_finished(&self) -> bool {
        self.finished.get()
    }
    /// How much of the body is available for another attempt.
    pub fn availability(&self) -> BodyAvailability {
        if self.streaming.get() { BodyAvailability::Incomplete } else { BodyAvailability::NothingSent }
    }
    fn mark_finished(&self) {
        if !self.finished.replace(true) {
            (self.on_event)(UploadEvent::Finished);
        }
    }
    fn mark_streaming(&self) {
        if !self.streaming.replace(true) {
            (self.on_event)(UploadEvent::Streaming);
        }
    }
}

/// The use of a client's body by an attempt.
pub struct UploadAttempt {
    upload: Rc<Upload>,
    started: bool,
    /// The number of bytes passed on so far.
    received: u64,
    /// The total time spent waiting for the client. Time in which the backend accepts nothing is not
    /// included.
    waited: Duration,
    /// The start of the current wait for the client, and the timer of its time-out.
    wait: Option<(Instant, Pin<Box<Sleep>>)>,
}

impl UploadAttempt {
    /// An attempt that has not begun to send the body.
    pub(super) fn new(upload: Rc<Upload>) -> Self {
        UploadAttempt { upload, started: false, received: 0, waited: Duration::ZERO, wait: None }
    }

    /// The announced size of the body in bytes.
    pub(super) fn size(&self) -> Option<u64> {
        self.upload.size
    }

    /// The next bytes of the body: first the retained part, then what the client sends.
    pub(super) fn poll_data(&mut self, cx: &mut Context) -> Poll<Option<Result<Bytes, BodyError>>> {
        if !std::mem::replace(&mut self.started, true) && !self.upload.head.is_empty() {
            self.received = self.upload.head.len() as u64;
            return Poll::Ready(Some(Ok(self.upload.head.clone())));
        }
        loop {
            let mut remaining = self.upload.remaining.borrow_mut();
            let Some(body) = remaining.as_mut() else { return Poll::Ready(Some(Err(BodyError::Spent))) };
            let Poll::Ready(frame) = Pin::new(body).poll_frame(cx) else {
                drop(remaining);
                return self.poll_wait(cx).map(|()| Some(Err(BodyError::TooSlow)));
            };
            if let Some((since, _)) = self.wait.take() {
                self.waited += since.elapsed();
            }
            self.upload.mark_streaming();
            match frame {
                None => {
                    *remaining = None;
                    drop(remaining);
                    self.upload.mark_finished();
                    return Poll::Ready(None);
                }
                Some(Err(e)) => {
                    *remaining = None;
                    return Poll::Ready(Some(Err(BodyError::Sender(e))));
                }
                Some(Ok(frame)) => {
                    // Trailers are not forwarded: a backend that does not request them has no use for them.
                    let Ok(data) = frame.into_data() else { continue };
                    self.received += data.len() as u64;
                    if self.received > self.upload.max_size {
                        *remaining = None;
                        return Poll::Ready(Some(Err(BodyError::TooLarge)));
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }

    /// Ready once the client has taken longer than its received bytes allow.
    fn poll_wait(&mut self, cx: &mut Context) -> Poll<()> {
        let remaining = upload_timeout(self.received).saturating_sub(self.waited);
        let (_, sleep) = self.wait.get_or_insert_with(|| {
            let now = Instant::now();
            (now, Box::pin(sleep_until(now + remaining)))
        });
        sleep.as_mut().poll(cx)
    }
}
