//! The body of a backend's response, streamed to a client.

use super::BodyError;
use crate::stream_deadline::StreamDeadline;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::any::Any;
use std::cell::Cell;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// The default maximum time for which a backend may send nothing in the middle of a streamed response.
pub const DEFAULT_MAX_GAP: Duration = Duration::from_secs(10);

/// The body of a backend's response, streamed to a client.
pub struct Download {
    /// The first part of the body, until it has been passed on.
    head: Option<Bytes>,
    remaining: Incoming,
    max_gap: Duration,
    gap_timer: Pin<Box<Sleep>>,
    /// Whether `gap_timer` is running.
    waiting: bool,
    /// When the stream is aborted at the latest.
    pub deadline: StreamDeadline,
    /// Called once the body is complete.
    on_complete: Option<Box<dyn FnOnce()>>,
    /// Set once the body is complete.
    completion_flag: Option<Rc<Cell<bool>>>,
    /// Dropped with the body, however it ends.
    guards: Vec<Box<dyn Any>>,
}

impl fmt::Debug for Download {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "Download of {:?}", self.size_hint())
    }
}

impl Download {
    /// A body whose first part, `head`, has been received. It fails if the backend then sends nothing for
    /// `max_gap`. `on_complete` is called once the body is complete.
    pub fn new(
        head: Bytes,
        remaining: Incoming,
        max_gap: Duration,
        on_complete: impl FnOnce() + 'static,
    ) -> Self {
        Download {
            head: Some(head).filter(|head| !head.is_empty()),
            remaining,
            max_gap,
            gap_timer: Box::pin(sleep_until(Instant::now() + max_gap)),
            waiting: false,
            deadline: StreamDeadline::default(),
            on_complete: Some(Box::new(on_complete)),
            completion_flag: None,
            guards: Vec::new(),
        }
    }
    /// Sets the flag that becomes `true` once the body is complete.
    pub fn set_completion_flag(&mut self, flag: Rc<Cell<bool>>) {
        self.completion_flag = Some(flag);
    }
    /// Keeps `guard` until the body is dropped.
    pub fn attach_guard(&mut self, guard: impl Any) {
        self.guards.push(Box::new(guard));
    }
    /// Whether the whole body has been passed on.
    pub(super) fn is_end_stream(&self) -> bool {
        self.head.is_none() && self.remaining.is_end_stream()
    }
    /// The size of the rest of the body, as far as it is known.
    pub(super) fn size_hint(&self) -> SizeHint {
        let head = self.head.as_ref().map_or(0, Bytes::len) as u64;
        let remaining = self.remaining.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(head + remaining.lower());
        if let Some(upper) = remaining.upper() {
            hint.set_upper(head + upper);
        }
        hint
    }
    /// The next frame: first the received part, then what the backend sends.
    pub(super) fn poll_frame(&mut self, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(head) = self.head.take() {
            return Poll::Ready(Some(Ok(Frame::data(head))));
        }
        match Pin::new(&mut self.remaining).poll_frame(cx) {
            Poll::Pending => {
                if !std::mem::replace(&mut self.waiting, true) {
                    self.gap_timer.as_mut().reset(Instant::now() + self.max_gap);
                }
                ready!(self.gap_timer.as_mut().poll(cx));
                Poll::Ready(Some(Err(BodyError::TooSlow)))
            }
            Poll::Ready(frame) => {
                self.waiting = false;
                // hyper does not poll again once it has received the announced size, so any frame may be the
                // last.
                if (frame.is_none() || matches!(frame, Some(Ok(_))) && self.remaining.is_end_stream())
                    && let Some(on_complete) = self.on_complete.take()
                {
                    on_complete();
                    self.completion_flag.iter().for_each(|flag| flag.set(true));
                }
                Poll::Ready(frame.map(|frame| frame.map_err(BodyError::Sender)))
            }
        }
    }
}
